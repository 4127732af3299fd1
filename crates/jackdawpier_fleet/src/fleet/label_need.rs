//! The machines with one label that a pool holds and needs.

use super::label_shares::ShareBounds;
use crate::spec::{Resources, StepSpec};

/// The machines with one label that a pool holds, and the demand for them.
#[derive(Debug, Default, Clone)]
pub(super) struct LabelNeed {
    /// Machines with the label that are up or moving to the pool.
    pub(super) machines: usize,
    /// Number of tasks of the largest need that fit beside the running tasks.
    pub(super) tasks_with_room: usize,
    /// Waiting tasks. Running tasks aren't included: counted at the size of the largest need, they kept idle
    /// machines in a pool while 2,000 tasks waited elsewhere.
    pub(super) waiting: usize,
    /// The largest need of a waiting task.
    largest_need: Resources,
    /// Need of the waiting tasks with the label, and also of the running ones if the label is scarce.
    pub(super) need_millicores: u64,
    /// Machines with long-running tasks that need the label, if it is scarce.
    pub(super) pinned: usize,
    /// Minimum number of machines for the waiting long-running steps with a bound per executor, if the label
    /// is scarce. Machines that already run tasks of such a step have no room for more of them.
    min_machines: usize,
}

impl LabelNeed {
    /// Returns how many tasks of the largest need fit into `room`; 0 if no task waits.
    pub(super) fn tasks_fitting(&self, room: &Resources) -> usize {
        if self.waiting == 0 { 0 } else { room.fit_count(&self.largest_need) }
    }

    /// Returns the number of missing machines, given the room of each machine.
    pub(super) fn missing_machines(&self, machine: &Resources) -> usize {
        let missing = self.waiting.saturating_sub(self.tasks_with_room);
        let per_machine = self.tasks_fitting(machine);
        // The largest need exceeds a whole machine, so more machines don't help.
        if per_machine == 0 {
            return 0;
        }
        missing.div_ceil(per_machine).max(self.min_machines.saturating_sub(self.machines))
    }

    /// Counts waiting tasks of a step.
    pub(super) fn add_waiting(&mut self, step: &StepSpec, tasks: usize, is_scarce: bool) {
        if tasks == 0 {
            return;
        }
        let need = step.allocated();
        self.waiting += tasks;
        self.need_millicores += need.cpu_millicores * tasks as u64;
        self.largest_need.raise_to(&need);
        if is_scarce && step.is_long_running && step.max_per_executor > 0 {
            let machines = step.count.div_ceil(step.max_per_executor) as usize;
            self.min_machines = self.min_machines.max(machines);
        }
    }

    /// Returns the bounds of the pool's share of the machines with the label, given the room of each machine.
    pub(super) fn share_bounds(&self, machine: &Resources) -> ShareBounds {
        let needed = self.need_millicores.div_ceil(machine.cpu_millicores.max(1)) as usize;
        ShareBounds { pinned: self.pinned, needed: needed.max(self.min_machines) }
    }
}

//! What a pool holds and needs of the machines with one label.

use super::label_shares::ShareBounds;
use crate::spec::{Resources, StepSpec};

/// What a pool holds and needs of one label.
#[derive(Debug, Default, Clone)]
pub(super) struct LabelNeed {
    /// Machines with the label that are up or on their way.
    pub(super) machines: usize,
    /// Tasks of the largest need below that there is room for beside what runs.
    pub(super) tasks_with_room: usize,
    /// Tasks that wait. What runs already has its room: counted with those that wait, at the size of
    /// the largest, it kept machines that ran nothing while 2,000 tasks waited elsewhere.
    pub(super) waiting: usize,
    /// The largest need of any of them.
    largest: Resources,
    /// What waits and needs the label, and if few machines have it what runs too, in thousandths of a core.
    pub(super) need_millicores: u64,
    /// Machines with lasting work that needs the label, if few have it.
    pub(super) pinned: usize,
    /// Machines over which lasting work that waits has to be spread, if few have the label: those that it
    /// runs on already have no room for more of it.
    min_machines: usize,
}

impl LabelNeed {
    /// Tasks of the largest need that fit into some room; none while none waits.
    pub(super) fn tasks_fitting(&self, room: &Resources) -> usize {
        if self.waiting == 0 { 0 } else { room.count(&self.largest) }
    }

    /// Machines that are missing, where each has this much room.
    pub(super) fn missing_machines(&self, machine: &Resources) -> usize {
        let missing = self.waiting.saturating_sub(self.tasks_with_room);
        let per_machine = self.tasks_fitting(machine);
        // Larger than any machine: fetching more of them is of no use.
        if per_machine == 0 {
            return 0;
        }
        missing.div_ceil(per_machine).max(self.min_machines.saturating_sub(self.machines))
    }

    /// Counts a task of a step that waits.
    pub(super) fn add_waiting(&mut self, step: &StepSpec, is_scarce: bool) {
        let need = step.booked();
        self.waiting += 1;
        self.need_millicores += need.cpu_millicores;
        self.largest.raise_to(&need);
        if is_scarce && step.is_long_running && step.max_per_executor > 0 {
            let machines = step.count.div_ceil(step.max_per_executor) as usize;
            self.min_machines = self.min_machines.max(machines);
        }
    }

    /// What bounds the pool's part of the machines with the label, each with this much room.
    pub(super) fn share_bounds(&self, machine: &Resources) -> ShareBounds {
        let needed = self.need_millicores.div_ceil(machine.cpu_millicores.max(1)) as usize;
        ShareBounds { pinned: self.pinned, needed: needed.max(self.min_machines) }
    }
}

//! Defragments the room that long-running tasks leave.
//!
//! Long-running tasks may be spread so that no executor has enough room left for a waiting task, or too
//! few have for its gang, though there is enough room in total, and no ending task will change that. If
//! no machine is available either, some of the long-running tasks are relocated, each as its step
//! allows, while the executors are reserved for the waiting task.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, PoolName, ServiceName},
};

use super::{
    Fleet, Shortage, StopReason, defragmentation_plan::Relocation, placement_round::PlacementRound,
    pool_view::PoolView,
};
use crate::{
    executor::{Executor, TaskRef},
    job::Phase,
};

/// Maximum time for which executors are reserved: about eight relocations in sequence.
const MAX_DURATION: Duration = Duration::from_secs(15);
/// Minimum time between two attempts for the same service. Tasks that end in between may free enough
/// room, and each relocation interrupts a long-running task.
const RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Executors that are being defragmented for one task, or its gang.
#[derive(Debug)]
struct Defragmentation {
    task: TaskRef,
    relocations: Vec<Relocation>,
    reserved: BTreeSet<ExecutorId>,
    until: Now,
}

/// The defragmentations in progress, at most one per service.
#[derive(Debug, Default)]
pub(super) struct Defragmentations {
    active: BTreeMap<ServiceName, Defragmentation>,
    /// When the next one of a service may start.
    next_allowed_at: BTreeMap<ServiceName, Now>,
}

impl Fleet {
    /// Starts a defragmentation for a task that waits in a pool that lacks machines and can't get any.
    pub(super) fn begin_defragmentation(
        &mut self,
        now: Now,
        shortage: &Shortage,
        pools: &BTreeMap<PoolName, PoolView>,
    ) {
        let service = &shortage.pool;
        let is_too_early =
            self.defragmentations.next_allowed_at.get(service).is_some_and(|at| now < *at);
        let is_under_way = self.defragmentations.active.contains_key(service);
        if is_too_early || is_under_way || !self.settings.policy.defragments {
            return;
        }
        let Some(stuck) = pools.get(service).and_then(|pool| pool.stuck.as_ref()) else { return };
        let (id, index) = &stuck.task;
        if self.jobs[id].step(*index).required_label != shortage.label {
            return;
        }
        self.defragmentations.next_allowed_at.insert(service.clone(), now + RETRY_INTERVAL);
        let rounds = self.start_rounds(now);
        let Some(round) = rounds.get(service) else { return };
        let Some(plan) = self.plan_defragmentation(now, &stuck.task, &round.executors) else {
            return;
        };
        let (task, until) = (stuck.task.clone(), now + MAX_DURATION);
        let defragmentation =
            Defragmentation { task, relocations: plan.relocations, reserved: plan.reserved, until };
        self.defragmentations.active.insert(service.clone(), defragmentation);
    }

    /// Returns whether tasks of a service are being relocated, which may free room while tasks are placed.
    pub(super) fn is_defragmenting(&self, service: &ServiceName) -> bool {
        self.defragmentations.active.contains_key(service)
    }

    /// Advances the relocations, places the waiting tasks once they are complete, and keeps other tasks off the
    /// reserved executors.
    pub(super) fn continue_defragmentations(
        &mut self,
        now: Now,
        rounds: &mut BTreeMap<ServiceName, PlacementRound>,
    ) {
        for (service, defragmentation) in std::mem::take(&mut self.defragmentations.active) {
            let Some(round) = rounds.get_mut(&service) else { continue };
            if !self.is_still_useful(now, &defragmentation) {
                continue;
            }
            defragmentation
                .relocations
                .iter()
                .for_each(|relocation| self.continue_relocation(now, relocation, round));
            let is_placed = !self.is_relocating(&defragmentation)
                && self.place_job(now, &defragmentation.task.0, round, 1)
                && !self.is_waiting(&defragmentation.task);
            if is_placed {
                continue;
            }
            round.retain_executors(|id| !defragmentation.reserved.contains(id));
            round.has_reservation = true;
            self.defragmentations.active.insert(service, defragmentation);
        }
    }

    /// Returns whether the task still waits and all reserved executors stay available.
    fn is_still_useful(&self, now: Now, defragmentation: &Defragmentation) -> bool {
        let is_available = |id: &ExecutorId| {
            self.executors.get(id).is_some_and(Executor::is_usable)
                && !self.machines.vacating_executors().any(|vacating| vacating == id)
        };
        now < defragmentation.until
            && self.is_waiting(&defragmentation.task)
            && defragmentation.reserved.iter().all(is_available)
    }

    fn is_waiting(&self, (id, index): &TaskRef) -> bool {
        self.jobs.get(id).is_some_and(|job| job.startable.contains(index))
    }

    /// Returns whether a stopped task has yet to start on its new executor.
    fn is_relocating(&self, defragmentation: &Defragmentation) -> bool {
        defragmentation.relocations.iter().any(|relocation| self.is_waiting(&relocation.task))
    }

    /// Stops a task once its step allows it and its new executor has room, then starts it there.
    fn continue_relocation(&mut self, now: Now, relocation: &Relocation, round: &PlacementRound) {
        let Relocation { task, from, to } = relocation;
        let Some(job) = self.jobs.get(&task.0) else { return };
        let Some(target) = self.executors.get(to) else { return };
        if !round.executors.contains(to) || !self.has_room_for_relocated(now, task, target) {
            return;
        }
        let phase = &job.tasks[task.1].phase;
        if matches!(phase, Phase::Running { executor, .. } if executor == from) {
            if self.can_stop(now, task, from) {
                self.stop_task(now, task, StopReason::MakesRoom);
            }
        } else if self.is_waiting(task) && !self.is_suspect(job, task.1) {
            self.start_relocated(task, to);
        }
    }

    /// Returns whether a task may be stopped for its relocation now. Without a `may_miss` a step's
    /// tasks are relocated one at a time.
    fn can_stop(&self, now: Now, (id, index): &TaskRef, from: &ExecutorId) -> bool {
        let job = &self.jobs[id];
        let may_miss = job.step(*index).may_miss.max(1);
        let is_isolating = self.executors.get(from).is_some_and(|one| one.is_isolating(now));
        !is_isolating && self.tasks_away(now, job, job.slot(*index)) < may_miss
    }

    fn start_relocated(&mut self, (id, index): &TaskRef, to: &ExecutorId) {
        if !self.is_within_cap(&self.jobs[id], *index) {
            return;
        }
        self.assign(id, *index, to.clone());
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.startable.retain(|one| one != index);
        self.mark_changed(id);
    }
}

//! Lasting work that makes way for work that else never finds room.
//!
//! It may be spread so that no executor has enough left for a task, or too few have for a gang, though there is room in all. Nothing that
//! ends makes room then. If no machine can be had either, some of it moves beside the rest, each task as its step allows, and the
//! executors are kept meanwhile for what waits.

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

/// Executors are kept for this long at most: some eight moves one after another.
const KEPT_FOR: Duration = Duration::from_secs(15);
/// Another try of the same service begins this long after one: what ends meanwhile may help, and moves cost lasting work.
const TRY_AGAIN_AFTER: Duration = Duration::from_secs(10);

/// Executors that are cleared for one task, or its gang.
#[derive(Debug)]
struct Defragmentation {
    task: TaskRef,
    relocations: Vec<Relocation>,
    kept: BTreeSet<ExecutorId>,
    until: Now,
}

/// The clearings under way, at most one of a service.
#[derive(Debug, Default)]
pub(super) struct Defragmentations {
    open: BTreeMap<ServiceName, Defragmentation>,
    /// When the next one may begin.
    not_before: BTreeMap<ServiceName, Now>,
}

impl Fleet {
    /// Begins to clear executors for what waits in a pool that lacks machines and can't get any.
    pub(super) fn begin_defragmentation(
        &mut self,
        now: Now,
        shortage: &Shortage,
        pools: &BTreeMap<PoolName, PoolView>,
    ) {
        let service = &shortage.pool;
        let is_early = self.defragmentations.not_before.get(service).is_some_and(|at| now < *at);
        let is_under_way = self.defragmentations.open.contains_key(service);
        if is_early || is_under_way || !self.settings.policy.makes_room {
            return;
        }
        let Some(stuck) = pools.get(service).and_then(|pool| pool.stuck.as_ref()) else { return };
        let (id, index) = &stuck.task;
        if self.jobs[id].step(*index).required_label != shortage.label {
            return;
        }
        self.defragmentations.not_before.insert(service.clone(), now + TRY_AGAIN_AFTER);
        let rounds = self.start_rounds(now);
        let Some(round) = rounds.get(service) else { return };
        let Some(plan) = self.plan_defragmentation(now, &stuck.task, &round.executors) else {
            return;
        };
        let (task, until) = (stuck.task.clone(), now + KEPT_FOR);
        let defragmentation =
            Defragmentation { task, relocations: plan.relocations, kept: plan.kept, until };
        self.defragmentations.open.insert(service.clone(), defragmentation);
    }

    /// Moves what has to move, places what waits for it, and keeps the executors from all else.
    pub(super) fn continue_defragmentations(
        &mut self,
        now: Now,
        rounds: &mut BTreeMap<ServiceName, PlacementRound>,
    ) {
        for (service, defragmentation) in std::mem::take(&mut self.defragmentations.open) {
            let Some(round) = rounds.get_mut(&service) else { continue };
            if !self.is_of_use(now, &defragmentation) {
                continue;
            }
            defragmentation
                .relocations
                .iter()
                .for_each(|relocation| self.go_on_relocating(now, relocation, round));
            let is_placed = !self.is_relocating(&defragmentation)
                && self.place_job(now, &defragmentation.task.0, round, 1)
                && !self.waits(&defragmentation.task);
            if is_placed {
                continue;
            }
            round.executors.retain(|id| !defragmentation.kept.contains(id));
            round.has_held = true;
            self.defragmentations.open.insert(service, defragmentation);
        }
    }

    /// Whether the task still waits, and the executors may yet be free for it.
    fn is_of_use(&self, now: Now, defragmentation: &Defragmentation) -> bool {
        let may_be_free = |id: &ExecutorId| {
            self.executors.get(id).is_some_and(Executor::is_usable)
                && !self.machines.vacating().any(|leaving| leaving == id)
        };
        now < defragmentation.until
            && self.waits(&defragmentation.task)
            && defragmentation.kept.iter().all(may_be_free)
    }

    fn waits(&self, (id, index): &TaskRef) -> bool {
        self.jobs.get(id).is_some_and(|job| job.startable.contains(index))
    }

    /// Whether a task that was stopped has yet to start where it goes.
    fn is_relocating(&self, defragmentation: &Defragmentation) -> bool {
        defragmentation.relocations.iter().any(|relocation| self.waits(&relocation.task))
    }

    /// Stops a task once its step can spare it and there is room where it goes, and starts it there.
    fn go_on_relocating(&mut self, now: Now, relocation: &Relocation, round: &PlacementRound) {
        let Relocation { task, from, to } = relocation;
        let Some(job) = self.jobs.get(&task.0) else { return };
        let Some(target) = self.executors.get(to) else { return };
        if !round.executors.contains(to) || !self.has_room_for_relocated(now, task, target) {
            return;
        }
        let phase = &job.tasks[task.1].phase;
        if matches!(phase, Phase::Running { executor, .. } if executor == from) {
            if self.can_spare(now, task, from) {
                self.stop_task(now, task, StopReason::MakesRoom);
            }
        } else if self.waits(task) && !self.is_suspect(job, task.1) {
            self.start_relocated(task, to);
        }
    }

    /// Whether a task may leave its executor now. A step that says nothing of what it may miss gives them one by one.
    fn can_spare(&self, now: Now, (id, index): &TaskRef, from: &ExecutorId) -> bool {
        let job = &self.jobs[id];
        let may_miss = job.step(*index).may_miss.max(1);
        let is_watching = self.executors.get(from).is_some_and(|one| one.is_watching(now));
        !is_watching && self.tasks_away(now, job, job.slot(*index)) < may_miss
    }

    fn start_relocated(&mut self, (id, index): &TaskRef, to: &ExecutorId) {
        if !self.is_within_cap(&self.jobs[id], *index) {
            return;
        }
        self.assign(id, *index, to.clone());
        let job = self.jobs.get_mut(id).expect("it was read above");
        job.startable.retain(|one| one != index);
        self.mark_changed(id);
    }
}

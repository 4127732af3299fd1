//! Plans which long-running tasks to relocate so that a task, or its gang, finds room.
//!
//! The whole plan is made before the first relocation: a partial one would interrupt tasks without
//! freeing enough room.

use std::{cmp::Reverse, collections::BTreeSet};

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{
    Fleet,
    fitting::{count_fitting, is_eligible, step_tasks_on},
    pool_demand::start_group_size,
};
use crate::{
    executor::{Executor, TaskRef},
    job::{Job, Phase, TaskIndex},
    spec::Resources,
};

/// Maximum number of relocations for one waiting task. More would take longer than waiting for other
/// tasks to end.
const MAX_RELOCATIONS: usize = 8;
/// Maximum number of executors compared for the next relocations, those with the fewest tasks to move first.
const MAX_CANDIDATES: usize = 16;

/// The relocation of a long-running task.
#[derive(Debug, Clone)]
pub(super) struct Relocation {
    pub(super) task: TaskRef,
    pub(super) from: ExecutorId,
    pub(super) to: ExecutorId,
}

/// The relocations that make room, and the executors to reserve meanwhile.
#[derive(Debug)]
pub(super) struct DefragmentationPlan {
    pub(super) relocations: Vec<Relocation>,
    pub(super) reserved: BTreeSet<ExecutorId>,
}

/// A task with the resources that it occupies.
type SizedTask = (Resources, TaskRef);

/// An executor that may be defragmented, as it will be once its short tasks have ended and the planned
/// relocations are done.
#[derive(Debug)]
struct Candidate {
    id: ExecutorId,
    /// Room beside its long-running tasks.
    room: Resources,
    /// Maximum number of the waiting tasks that it may run.
    max_tasks: usize,
    /// Long-running tasks that may be relocated, smallest first.
    movable: Vec<SizedTask>,
}

impl Candidate {
    fn slots(&self, need: &Resources) -> usize {
        self.room.fit_count(need).min(self.max_tasks)
    }

    /// Returns the tasks to relocate so that one more waiting task fits; none if no relocation achieves that.
    fn blocking_tasks(&self, need: &Resources) -> Option<Vec<SizedTask>> {
        let wanted = self.slots(need).saturating_add(1);
        if wanted > self.max_tasks {
            return None;
        }
        let is_enough = |room: &Resources| room.fit_count(need) >= wanted;
        let single = self.movable.iter().find(|(size, _)| {
            let mut room = self.room;
            room.add(size);
            is_enough(&room)
        });
        if let Some(task) = single {
            return Some(vec![task.clone()]);
        }
        let mut room = self.room;
        let mut tasks = Vec::new();
        for (size, task) in self.movable.iter().rev() {
            room.add(size);
            tasks.push((*size, task.clone()));
            if is_enough(&room) {
                return Some(tasks);
            }
        }
        None
    }
}

impl Fleet {
    /// Plans the relocations that make room for a task, or its gang, on these executors; none if none
    /// are needed or too many would be.
    pub(super) fn plan_defragmentation(
        &self,
        now: Now,
        (id, index): &TaskRef,
        executors: &[ExecutorId],
    ) -> Option<DefragmentationPlan> {
        let job = self.jobs.get(id)?;
        let step = job.step(*index);
        let (need, wanted) = (step.allocated(), start_group_size(step));
        let mut candidates: Vec<Candidate> =
            executors.iter().filter_map(|one| self.candidate(now, one, job, *index)).collect();
        let mut relocations = Vec::new();
        let slots = |candidates: &[Candidate]| {
            candidates.iter().map(|one| one.slots(&need)).fold(0, usize::saturating_add)
        };
        while slots(&candidates) < wanted {
            let next = self.next_relocations(&candidates, &need, &relocations)?;
            next.iter().for_each(|relocation| apply(relocation, &mut candidates));
            relocations.extend(next);
            if relocations.len() > MAX_RELOCATIONS {
                return None;
            }
        }
        let reserved = reserved_executors(&candidates, &relocations, &need, wanted);
        (!relocations.is_empty()).then_some(DefragmentationPlan { relocations, reserved })
    }

    fn candidate(
        &self,
        now: Now,
        id: &ExecutorId,
        job: &Job,
        index: TaskIndex,
    ) -> Option<Candidate> {
        let executor = self.executors.get(id)?;
        let mut movable: Vec<SizedTask> = executor
            .tasks
            .iter()
            .filter(|task| !executor.is_isolating(now) && self.may_relocate(task))
            .map(|task| (self.jobs[&task.0].step(task.1).allocated(), task.clone()))
            .collect();
        movable.sort_by_key(|(size, _)| size.cpu_millicores);
        Some(Candidate {
            id: id.clone(),
            room: self.room_beside_long_running(executor),
            max_tasks: count_fitting(executor, job, index, &Resources::MAX),
            movable,
        })
    }

    /// Returns whether a task may be relocated: it is a running long-running task without a gang, data
    /// rack, placement advice or suspicion.
    fn may_relocate(&self, (id, index): &TaskRef) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_over()) else { return false };
        let step = job.step(*index);
        let needs_advice = self.queues.get(&job.queue).is_none_or(|queue| queue.needs_advice);
        step.is_long_running
            && !step.is_gang
            && step.data_rack.is_none()
            && !needs_advice
            && !self.is_suspect(job, *index)
            && matches!(job.tasks[*index].phase, Phase::Running { .. })
    }

    /// Returns the relocations from one executor that make room for most waiting tasks, then those of
    /// the fewest tasks.
    fn next_relocations(
        &self,
        candidates: &[Candidate],
        need: &Resources,
        planned: &[Relocation],
    ) -> Option<Vec<Relocation>> {
        let blocked = candidates
            .iter()
            .filter_map(|candidate| Some((candidate, candidate.blocking_tasks(need)?)));
        let mut blocked: Vec<(&Candidate, Vec<SizedTask>)> = blocked.collect();
        blocked.sort_by_key(|(_, tasks)| {
            (tasks.len(), tasks.iter().map(|(size, _)| size.cpu_millicores).sum::<u64>())
        });
        let compared = blocked.into_iter().take(MAX_CANDIDATES);
        let found = compared.filter_map(|(from, tasks)| {
            let (relocations, lost_slots) =
                self.plan_moves(from, &tasks, candidates, need, planned)?;
            let mut room = from.room;
            tasks.iter().for_each(|(size, _)| room.add(size));
            let gained = room.fit_count(need).min(from.max_tasks) - from.slots(need);
            (gained > lost_slots).then(|| (gained - lost_slots, Reverse(tasks.len()), relocations))
        });
        let best = found.max_by_key(|(gained, count, _)| (*gained, *count));
        best.map(|(.., relocations)| relocations)
    }

    /// Chooses the new executors of some tasks. Returns the relocations, and how many waiting tasks no
    /// longer fit on those executors.
    fn plan_moves(
        &self,
        from: &Candidate,
        tasks: &[SizedTask],
        candidates: &[Candidate],
        need: &Resources,
        planned: &[Relocation],
    ) -> Option<(Vec<Relocation>, usize)> {
        let mut rooms: Vec<Resources> = candidates.iter().map(|candidate| candidate.room).collect();
        let mut relocations = planned.to_vec();
        let mut lost_slots = 0;
        for (size, task) in tasks.iter().rev() {
            let choices = candidates.iter().enumerate().filter_map(|(place, candidate)| {
                let can_host = candidate.id != from.id
                    && size.fits(&rooms[place])
                    && self.can_host(task, &candidate.id, &relocations);
                let left = rooms[place].minus(size);
                let slots = |room: &Resources| room.fit_count(need).min(candidate.max_tasks);
                let lost = slots(&rooms[place]) - slots(&left);
                can_host.then_some((lost, left.cpu_millicores, place))
            });
            let (lost, _, place) = choices.min()?;
            rooms[place].subtract(size);
            lost_slots += lost;
            let (from, to) = (from.id.clone(), candidates[place].id.clone());
            relocations.push(Relocation { task: task.clone(), from, to });
        }
        Some((relocations.split_off(planned.len()), lost_slots))
    }

    /// Returns whether a task may run on an executor in addition to the tasks that are relocated there.
    fn can_host(&self, (id, index): &TaskRef, to: &ExecutorId, relocations: &[Relocation]) -> bool {
        let Some(executor) = self.executors.get(to) else { return false };
        let job = &self.jobs[id];
        let slot = job.slot(*index);
        let is_same_step = |relocation: &&Relocation| {
            let (other, place) = &relocation.task;
            relocation.to == *to && other == id && job.slot(*place) == slot
        };
        let incoming = relocations.iter().filter(is_same_step).count() as u32;
        let max_tasks = job.step(*index).max_per_executor;
        is_eligible(executor, job, *index)
            && (max_tasks == 0 || step_tasks_on(executor, job, *index) + incoming < max_tasks)
    }

    /// Returns whether an executor has room for a relocated task now.
    pub(super) fn has_room_for_relocated(&self, now: Now, task: &TaskRef, to: &Executor) -> bool {
        let job = &self.jobs[&task.0];
        !to.is_isolating(now) && super::fitting::has_room_for(to, job, task.1, None)
    }
}

fn apply(relocation: &Relocation, candidates: &mut [Candidate]) {
    let Some(from) = candidates.iter_mut().find(|candidate| candidate.id == relocation.from) else {
        return;
    };
    let Some(place) = from.movable.iter().position(|(_, task)| *task == relocation.task) else {
        return;
    };
    let (size, _) = from.movable.remove(place);
    from.room.add(&size);
    if let Some(to) = candidates.iter_mut().find(|candidate| candidate.id == relocation.to) {
        to.room.subtract(&size);
    }
}

/// Returns the executors that a relocation involves, and further ones until all waiting tasks fit.
fn reserved_executors(
    candidates: &[Candidate],
    relocations: &[Relocation],
    need: &Resources,
    wanted: usize,
) -> BTreeSet<ExecutorId> {
    let mut reserved: BTreeSet<ExecutorId> = relocations
        .iter()
        .flat_map(|relocation| [relocation.from.clone(), relocation.to.clone()])
        .collect();
    let is_touched = |candidate: &&Candidate| reserved.contains(&candidate.id);
    let mut found: usize = candidates.iter().filter(is_touched).map(|one| one.slots(need)).sum();
    for candidate in candidates {
        if found < wanted && candidate.slots(need) > 0 && reserved.insert(candidate.id.clone()) {
            found += candidate.slots(need);
        }
    }
    reserved
}

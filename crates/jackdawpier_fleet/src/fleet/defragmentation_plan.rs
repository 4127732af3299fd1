//! Which lasting tasks have to run elsewhere so that a task, or its gang, finds room.
//!
//! All moves are known before the first: half of them would cost the moved work and help nobody.

use std::{cmp::Reverse, collections::BTreeSet};

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{
    Fleet,
    placement::{count_fitting, is_eligible, step_tasks_on},
    pool_view::start_group_size,
};
use crate::{
    executor::{Executor, TaskRef},
    job::{Job, Phase, TaskIndex},
    spec::Resources,
};

/// Tasks that move for one: more take longer than work waits that something ends for.
const MOST_RELOCATIONS: usize = 8;
/// Executors that are compared for the next moves, those first that lose least.
const MOST_COMPARED: usize = 16;

/// A lasting task that is to run elsewhere.
#[derive(Debug, Clone)]
pub(super) struct Relocation {
    pub(super) task: TaskRef,
    pub(super) from: ExecutorId,
    pub(super) to: ExecutorId,
}

/// The moves that make room, and the executors that have it then.
#[derive(Debug)]
pub(super) struct DefragmentationPlan {
    pub(super) relocations: Vec<Relocation>,
    pub(super) kept: BTreeSet<ExecutorId>,
}

/// A task with the room that it takes.
type SizedTask = (Resources, TaskRef);

/// An executor that may be cleared, beside what will have ended or moved.
#[derive(Debug)]
struct Candidate {
    id: ExecutorId,
    /// Room beside its lasting work.
    room: Resources,
    /// Tasks of those that wait which it may run at most.
    most: usize,
    /// Lasting tasks that may move, the smallest first.
    movable: Vec<SizedTask>,
}

impl Candidate {
    fn fits(&self, need: &Resources) -> usize {
        self.room.count(need).min(self.most)
    }

    /// The tasks without which one more of those that wait would fit; none if that never is so.
    fn in_the_way(&self, need: &Resources) -> Option<Vec<SizedTask>> {
        let wanted = self.fits(need).saturating_add(1);
        if wanted > self.most {
            return None;
        }
        let is_enough = |room: &Resources| room.count(need) >= wanted;
        let alone = self.movable.iter().find(|(size, _)| {
            let mut room = self.room;
            room.add(size);
            is_enough(&room)
        });
        if let Some(task) = alone {
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
    /// The fewest moves found that make room for a task, or its gang, on these executors.
    pub(super) fn plan_defragmentation(
        &self,
        now: Now,
        (id, index): &TaskRef,
        executors: &[ExecutorId],
    ) -> Option<DefragmentationPlan> {
        let job = self.jobs.get(id)?;
        let step = job.step(*index);
        let (need, wanted) = (step.booked(), start_group_size(step));
        let mut candidates: Vec<Candidate> =
            executors.iter().filter_map(|one| self.candidate(now, one, job, *index)).collect();
        let mut relocations = Vec::new();
        let fits = |candidates: &[Candidate]| {
            candidates.iter().map(|one| one.fits(&need)).fold(0, usize::saturating_add)
        };
        while fits(&candidates) < wanted {
            let next = self.next_relocations(&candidates, &need, &relocations)?;
            next.iter().for_each(|relocation| apply(relocation, &mut candidates));
            relocations.extend(next);
            if relocations.len() > MOST_RELOCATIONS {
                return None;
            }
        }
        let kept = kept(&candidates, &relocations, &need, wanted);
        (!relocations.is_empty()).then_some(DefragmentationPlan { relocations, kept })
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
            .filter(|task| !executor.is_watching(now) && self.may_relocate(task))
            .map(|task| (self.jobs[&task.0].step(task.1).booked(), task.clone()))
            .collect();
        movable.sort_by_key(|(size, _)| size.cpu_millicores);
        Some(Candidate {
            id: id.clone(),
            room: self.room_beside_long_running(executor),
            most: count_fitting(executor, job, index, &Resources::MAX),
            movable,
        })
    }

    /// Whether a lasting task can simply run elsewhere: by itself, without a suspicion, near no data.
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

    /// The moves off one executor that bring most room, by the fewest tasks.
    fn next_relocations(
        &self,
        candidates: &[Candidate],
        need: &Resources,
        before: &[Relocation],
    ) -> Option<Vec<Relocation>> {
        let blocked = candidates
            .iter()
            .filter_map(|candidate| Some((candidate, candidate.in_the_way(need)?)));
        let mut blocked: Vec<(&Candidate, Vec<SizedTask>)> = blocked.collect();
        blocked.sort_by_key(|(_, tasks)| {
            (tasks.len(), tasks.iter().map(|(size, _)| size.cpu_millicores).sum::<u64>())
        });
        let compared = blocked.into_iter().take(MOST_COMPARED);
        let found = compared.filter_map(|(from, tasks)| {
            let (relocations, lost) = self.move_off(from, &tasks, candidates, need, before)?;
            let mut room = from.room;
            tasks.iter().for_each(|(size, _)| room.add(size));
            let won = room.count(need).min(from.most) - from.fits(need);
            (won > lost).then(|| (won - lost, Reverse(tasks.len()), relocations))
        });
        let best = found.max_by_key(|(won, count, _)| (*won, *count));
        best.map(|(.., relocations)| relocations)
    }

    /// Where tasks go from an executor, and how many of those that wait find no room there any more.
    fn move_off(
        &self,
        from: &Candidate,
        tasks: &[SizedTask],
        candidates: &[Candidate],
        need: &Resources,
        before: &[Relocation],
    ) -> Option<(Vec<Relocation>, usize)> {
        let mut rooms: Vec<Resources> = candidates.iter().map(|candidate| candidate.room).collect();
        let mut relocations = before.to_vec();
        let mut lost = 0;
        for (size, task) in tasks.iter().rev() {
            let choices = candidates.iter().enumerate().filter_map(|(place, candidate)| {
                let can_stand = candidate.id != from.id
                    && size.fits(&rooms[place])
                    && self.may_stand(task, &candidate.id, &relocations);
                let left = rooms[place].minus(size);
                let fits = |room: &Resources| room.count(need).min(candidate.most);
                let loses = fits(&rooms[place]) - fits(&left);
                can_stand.then_some((loses, left.cpu_millicores, place))
            });
            let (loses, _, place) = choices.min()?;
            rooms[place].subtract(size);
            lost += loses;
            let (from, to) = (from.id.clone(), candidates[place].id.clone());
            relocations.push(Relocation { task: task.clone(), from, to });
        }
        Some((relocations.split_off(before.len()), lost))
    }

    /// Whether a task may run on an executor once others have moved there.
    fn may_stand(
        &self,
        (id, index): &TaskRef,
        to: &ExecutorId,
        relocations: &[Relocation],
    ) -> bool {
        let Some(executor) = self.executors.get(to) else { return false };
        let job = &self.jobs[id];
        let slot = job.slot(*index);
        let is_alike = |relocation: &&Relocation| {
            let (other, place) = &relocation.task;
            relocation.to == *to && other == id && job.slot(*place) == slot
        };
        let coming = relocations.iter().filter(is_alike).count() as u32;
        let most = job.step(*index).max_per_executor;
        is_eligible(executor, job, *index)
            && (most == 0 || step_tasks_on(executor, job, *index) + coming < most)
    }

    /// Whether an executor has room for a task that is to move there now.
    pub(super) fn has_room_for_relocated(&self, now: Now, task: &TaskRef, to: &Executor) -> bool {
        let job = &self.jobs[&task.0];
        !to.is_watching(now) && super::placement::has_room_for(to, job, task.1, None)
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

/// The executors on which those that wait will fit, and all that a move touches.
fn kept(
    candidates: &[Candidate],
    relocations: &[Relocation],
    need: &Resources,
    wanted: usize,
) -> BTreeSet<ExecutorId> {
    let mut kept: BTreeSet<ExecutorId> = relocations
        .iter()
        .flat_map(|relocation| [relocation.from.clone(), relocation.to.clone()])
        .collect();
    let is_touched = |candidate: &&Candidate| kept.contains(&candidate.id);
    let mut found: usize = candidates.iter().filter(is_touched).map(|one| one.fits(need)).sum();
    for candidate in candidates {
        if found < wanted && candidate.fits(need) > 0 && kept.insert(candidate.id.clone()) {
            found += candidate.fits(need);
        }
    }
    kept
}

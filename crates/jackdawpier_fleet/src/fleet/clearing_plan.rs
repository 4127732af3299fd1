//! Which lasting tasks have to stand elsewhere so that a task, or its gang, finds room.
//!
//! All moves are known before the first: half of them would cost the moved work and help nobody.

use std::{cmp::Reverse, collections::BTreeSet};

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{
    Fleet,
    placement::{fitting, may_run, tasks_here},
    pool_view::together,
};
use crate::{
    executor::{Executor, TaskRef},
    job::{Job, Phase, TaskIndex},
    spec::Resources,
};

/// Tasks that move for one: more take longer than work waits that something ends for.
const MOST_SHIFTS: usize = 8;
/// Executors that are compared for the next moves, those first that lose least.
const MOST_COMPARED: usize = 16;

/// A lasting task that is to stand elsewhere.
#[derive(Debug, Clone)]
pub(super) struct Shift {
    pub(super) task: TaskRef,
    pub(super) from: ExecutorId,
    pub(super) to: ExecutorId,
}

/// The moves that make room, and the executors that have it then.
#[derive(Debug)]
pub(super) struct ClearingPlan {
    pub(super) shifts: Vec<Shift>,
    pub(super) kept: BTreeSet<ExecutorId>,
}

/// A task with the room that it takes.
type SizedTask = (Resources, TaskRef);

/// An executor beside what will have ended or moved.
#[derive(Debug)]
struct Stand {
    id: ExecutorId,
    /// Room beside its lasting work.
    room: Resources,
    /// Tasks of those that wait which it may run at most.
    most: usize,
    /// Lasting tasks that may move, the smallest first.
    movable: Vec<SizedTask>,
}

impl Stand {
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
    pub(super) fn plan_clearing(
        &self,
        now: Now,
        (id, index): &TaskRef,
        executors: &[ExecutorId],
    ) -> Option<ClearingPlan> {
        let job = self.jobs.get(id)?;
        let step = job.step(*index);
        let (need, wanted) = (step.booked(), together(step));
        let mut stands: Vec<Stand> =
            executors.iter().filter_map(|one| self.stand(now, one, job, *index)).collect();
        let mut shifts = Vec::new();
        let fits = |stands: &[Stand]| {
            stands.iter().map(|one| one.fits(&need)).fold(0, usize::saturating_add)
        };
        while fits(&stands) < wanted {
            let next = self.next_shifts(&stands, &need, &shifts)?;
            next.iter().for_each(|shift| apply(shift, &mut stands));
            shifts.extend(next);
            if shifts.len() > MOST_SHIFTS {
                return None;
            }
        }
        let kept = kept(&stands, &shifts, &need, wanted);
        (!shifts.is_empty()).then_some(ClearingPlan { shifts, kept })
    }

    fn stand(&self, now: Now, id: &ExecutorId, job: &Job, index: TaskIndex) -> Option<Stand> {
        let executor = self.executors.get(id)?;
        let mut movable: Vec<SizedTask> = executor
            .tasks
            .iter()
            .filter(|task| !executor.is_watching(now) && self.may_shift(task))
            .map(|task| (self.jobs[&task.0].step(task.1).booked(), task.clone()))
            .collect();
        movable.sort_by_key(|(size, _)| size.cpu_millicores);
        Some(Stand {
            id: id.clone(),
            room: self.room_beside_lasting(executor),
            most: fitting(executor, job, index, &Resources::MAX),
            movable,
        })
    }

    /// Whether a lasting task can simply run elsewhere: by itself, without a suspicion, near no data.
    fn may_shift(&self, (id, index): &TaskRef) -> bool {
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
    fn next_shifts(
        &self,
        stands: &[Stand],
        need: &Resources,
        before: &[Shift],
    ) -> Option<Vec<Shift>> {
        let blocked = stands.iter().filter_map(|stand| Some((stand, stand.in_the_way(need)?)));
        let mut blocked: Vec<(&Stand, Vec<SizedTask>)> = blocked.collect();
        blocked.sort_by_key(|(_, tasks)| {
            (tasks.len(), tasks.iter().map(|(size, _)| size.cpu_millicores).sum::<u64>())
        });
        let compared = blocked.into_iter().take(MOST_COMPARED);
        let found = compared.filter_map(|(from, tasks)| {
            let (shifts, lost) = self.move_off(from, &tasks, stands, need, before)?;
            let mut room = from.room;
            tasks.iter().for_each(|(size, _)| room.add(size));
            let won = room.count(need).min(from.most) - from.fits(need);
            (won > lost).then(|| (won - lost, Reverse(tasks.len()), shifts))
        });
        let best = found.max_by_key(|(won, count, _)| (*won, *count));
        best.map(|(.., shifts)| shifts)
    }

    /// Where tasks go from an executor, and how many of those that wait find no room there any more.
    fn move_off(
        &self,
        from: &Stand,
        tasks: &[SizedTask],
        stands: &[Stand],
        need: &Resources,
        before: &[Shift],
    ) -> Option<(Vec<Shift>, usize)> {
        let mut rooms: Vec<Resources> = stands.iter().map(|stand| stand.room).collect();
        let mut shifts = before.to_vec();
        let mut lost = 0;
        for (size, task) in tasks.iter().rev() {
            let choices = stands.iter().enumerate().filter_map(|(place, stand)| {
                let can_stand = stand.id != from.id
                    && size.fits(&rooms[place])
                    && self.may_stand(task, &stand.id, &shifts);
                let left = rooms[place].minus(size);
                let fits = |room: &Resources| room.count(need).min(stand.most);
                let loses = fits(&rooms[place]) - fits(&left);
                can_stand.then_some((loses, left.cpu_millicores, place))
            });
            let (loses, _, place) = choices.min()?;
            rooms[place].subtract(size);
            lost += loses;
            let (from, to) = (from.id.clone(), stands[place].id.clone());
            shifts.push(Shift { task: task.clone(), from, to });
        }
        Some((shifts.split_off(before.len()), lost))
    }

    /// Whether a task may stand on an executor once others have moved there.
    fn may_stand(&self, (id, index): &TaskRef, to: &ExecutorId, shifts: &[Shift]) -> bool {
        let Some(executor) = self.executors.get(to) else { return false };
        let job = &self.jobs[id];
        let slot = job.slot(*index);
        let is_alike = |shift: &&Shift| {
            let (other, place) = &shift.task;
            shift.to == *to && other == id && job.slot(*place) == slot
        };
        let coming = shifts.iter().filter(is_alike).count() as u32;
        let most = job.step(*index).max_per_executor;
        may_run(executor, job, *index)
            && (most == 0 || tasks_here(executor, job, *index) + coming < most)
    }

    /// Whether an executor has room for a task that is to move there now.
    pub(super) fn takes_shifted(&self, now: Now, task: &TaskRef, to: &Executor) -> bool {
        let job = &self.jobs[&task.0];
        !to.is_watching(now) && super::placement::suits(to, job, task.1, None)
    }
}

fn apply(shift: &Shift, stands: &mut [Stand]) {
    let Some(from) = stands.iter_mut().find(|stand| stand.id == shift.from) else { return };
    let Some(place) = from.movable.iter().position(|(_, task)| *task == shift.task) else { return };
    let (size, _) = from.movable.remove(place);
    from.room.add(&size);
    if let Some(to) = stands.iter_mut().find(|stand| stand.id == shift.to) {
        to.room.subtract(&size);
    }
}

/// The executors on which those that wait will fit, and all that a move touches.
fn kept(
    stands: &[Stand],
    shifts: &[Shift],
    need: &Resources,
    wanted: usize,
) -> BTreeSet<ExecutorId> {
    let mut kept: BTreeSet<ExecutorId> =
        shifts.iter().flat_map(|shift| [shift.from.clone(), shift.to.clone()]).collect();
    let is_touched = |stand: &&Stand| kept.contains(&stand.id);
    let mut found: usize = stands.iter().filter(is_touched).map(|one| one.fits(need)).sum();
    for stand in stands {
        if found < wanted && stand.fits(need) > 0 && kept.insert(stand.id.clone()) {
            found += stand.fits(need);
        }
    }
    kept
}

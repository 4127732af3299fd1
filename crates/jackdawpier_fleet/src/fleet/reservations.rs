//! Room that is held for work which needs much of it at one moment.
//!
//! Under a burst smaller tasks fill each gap as it comes, so a gang, or a task of half a machine, would
//! wait until the burst is over. A job that has waited for long gets the executors on which it could run
//! soonest to itself: what runs there ends, nothing new starts. One job of a service at a time, so that
//! the others lose little by it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, ServiceName},
};

use super::{Fleet, placement::is_eligible, placement_round::PlacementRound};
use crate::{
    executor::Executor,
    job::{Job, Phase, TaskIndex},
    order::Rank,
    spec::Resources,
};

/// Room is held for a job that has waited this long with nothing running: longer than a usual task of
/// the short kinds, so that gaps have come and were too small.
const HELD_AFTER: Duration = Duration::from_millis(1500);
/// A job that has waited this long goes before jobs that could still be in time, so that none waits for
/// as long as a burst lasts.
const FIRST_AFTER: Duration = Duration::from_secs(5);
/// Of each [`HELD_PERIOD`] that a job waits room is held for it this long: what runs there may be far
/// slower than usual, or stand still.
const HELD_FOR: Duration = Duration::from_secs(6);
const HELD_PERIOD: Duration = Duration::from_secs(10);
/// Starved jobs of a service that are tried in a round and find no room: some can't run anywhere, and
/// each try compares all executors.
const MISSES_AT_ONCE: usize = 8;

impl Fleet {
    /// Gives the jobs that have waited longest a task each ahead of all others, and holds room for the
    /// first of a service that finds none.
    ///
    /// One each, since a job of hundreds of tasks would keep the other starved ones from running
    /// anything until it is through. Where work for 25 s had piled up for the few machines with a label,
    /// jobs ran nothing for up to 24 s; in turn each gets a task every three seconds.
    pub(super) fn place_starved(
        &mut self,
        now: Now,
        waiting: &[(Rank, JobId)],
        rounds: &mut BTreeMap<ServiceName, PlacementRound>,
    ) {
        let starved: BTreeSet<(Now, JobId)> = waiting
            .iter()
            .filter_map(|(_, id)| {
                let job = &self.jobs[id];
                let index = starved_task(now, job, FIRST_AFTER)?;
                let waits_since = job.tasks[index].waits_since;
                let in_turn_since = job.served_at.map_or(waits_since, |at| at.max(waits_since));
                Some((in_turn_since, id.clone()))
            })
            .collect();
        for (_, id) in starved {
            let round = self.service_of(&id).and_then(|service| rounds.get_mut(service));
            let Some(round) = round else { continue };
            let next = self.jobs[&id].startable.front();
            let is_refused =
                next.is_some_and(|&index| round.is_known_unplaceable(self.jobs[&id].step(index)));
            if is_refused || round.unplaced_starved_jobs >= MISSES_AT_ONCE {
                continue;
            }
            if !self.place_job(now, &id, round, 1) {
                round.unplaced_starved_jobs += 1;
                self.reserve_executors(now, &id, round);
            }
        }
    }

    /// Keeps executors free for a job that found no room, one job at a time for each service.
    pub(super) fn reserve_executors(&mut self, now: Now, id: &JobId, round: &mut PlacementRound) {
        if round.has_held || !self.settings.policy.holds_room {
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        let Some(index) = starved_task(now, job, HELD_AFTER) else { return };
        let waited = now.saturating_sub(job.tasks[index].waits_since + HELD_AFTER);
        if waited.as_millis() % HELD_PERIOD.as_millis() >= HELD_FOR.as_millis() {
            return;
        }
        let held = self.executors_to_hold(job, index, round);
        if held.is_empty() {
            return;
        }
        round.has_held = true;
        round.executors.retain(|executor| !held.contains(executor));
    }

    /// The room of an executor once all that ends by itself has ended.
    fn room_once_empty(&self, executor: &Executor) -> Option<Resources> {
        let mut room = executor.info.as_ref()?.capacity;
        let steps = executor.tasks.iter().filter_map(|(id, index)| {
            let job = self.jobs.get(id)?;
            Some(job.step(*index))
        });
        steps.filter(|step| step.is_long_running).for_each(|step| room.subtract(&step.booked()));
        Some(room)
    }

    /// The executors with most room on which a task, or its gang, fits once they are empty; none if
    /// there are too few.
    fn executors_to_hold(
        &self,
        job: &Job,
        index: TaskIndex,
        round: &PlacementRound,
    ) -> Vec<ExecutorId> {
        let step = job.step(index);
        let need = step.booked();
        let mut missing = if step.is_gang { step.count as usize } else { 1 };
        let mut able: Vec<(Reverse<u64>, &ExecutorId, usize)> = round
            .executors
            .iter()
            .filter_map(|id| {
                let executor = self.executors.get(id)?;
                let room = self.room_once_empty(executor)?;
                let fits = match step.max_per_executor {
                    0 => room.count(&need),
                    most => room.count(&need).min(most as usize),
                };
                let is_able = fits > 0 && is_eligible(executor, job, index);
                is_able.then_some((Reverse(executor.free().cpu_millicores), id, fits))
            })
            .collect();
        able.sort_unstable();
        let mut held = Vec::new();
        for (_, id, fits) in able {
            held.push(id.clone());
            missing = missing.saturating_sub(fits);
            if missing == 0 {
                return held;
            }
        }
        Vec::new()
    }
}

/// The first waiting task of a job that has nothing running and has waited for at least `waited`.
fn starved_task(now: Now, job: &Job, waited: Duration) -> Option<TaskIndex> {
    let index = *job.startable.front()?;
    let has_waited = now.saturating_sub(job.tasks[index].waits_since) >= waited;
    let is_waiting = job.tasks[index].phase == Phase::Waiting;
    let has_running = job.tasks.iter().any(|task| task.phase.executor().is_some());
    (has_waited && is_waiting && !has_running).then_some(index)
}

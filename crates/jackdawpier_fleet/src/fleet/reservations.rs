//! Reserves executors for jobs that need much room at once.
//!
//! Under a burst smaller tasks fill each gap as it opens, so a gang, or a task of half a machine, would
//! wait until the burst is over. The executors on which a starved job could start soonest are reserved for
//! it: their running tasks finish, no others start. At most one job per service holds a reservation, to
//! limit the cost for the others.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, ServiceName},
};

use super::{
    Fleet, fitting::is_eligible, placement::WaitingJob, placement_round::PlacementRound,
    starved_budget::StarvedBudget,
};
use crate::{
    executor::Executor,
    job::{Job, Phase, TaskIndex},
    spec::Resources,
};

/// Executors are reserved for a job that has waited this long with nothing running. Longer than the usual
/// short task, so gaps have opened in the meantime and were too small.
const RESERVE_AFTER: Duration = Duration::from_millis(1500);
/// A job that has waited this long is placed before jobs that could still meet their objectives, so that
/// no job waits for the whole of a burst. How much of a service such jobs get is limited; see
/// [`super::starved_budget`].
const STARVED_AFTER: Duration = Duration::from_secs(5);
/// Duration of a reservation within each [`RESERVATION_PERIOD`] of a job's wait. It is limited because the
/// tasks on the reserved executors may be far slower than usual, or make no progress.
const RESERVATION_DURATION: Duration = Duration::from_secs(6);
const RESERVATION_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of starved jobs per service and round that are tried without success. Some can't run
/// anywhere, and each attempt compares all executors.
const MAX_FAILED_ATTEMPTS: usize = 8;

/// A job that has waited for [`STARVED_AFTER`] with nothing running.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StarvedJob {
    unplaced_since: Now,
    id: JobId,
    priority: u32,
    service: ServiceName,
}

impl Fleet {
    /// Returns the starved jobs in the order in which they are tried: in each service the ones with the longest time
    /// since their last start, and the others by turns.
    pub(super) fn starved_jobs(&self, now: Now, waiting: &[WaitingJob]) -> Vec<StarvedJob> {
        let mut starved: Vec<StarvedJob> = waiting
            .iter()
            .filter_map(|waiting| {
                let job = &self.jobs[waiting.id()];
                let index = starved_task(now, job, STARVED_AFTER)
                    .filter(|index| !self.awaits_isolation(job, *index))?;
                let waiting_since = job.waiting_since(index);
                Some(StarvedJob {
                    unplaced_since: job
                        .last_placed_at
                        .map_or(waiting_since, |at| at.max(waiting_since)),
                    id: job.id.clone(),
                    priority: waiting.rank().priority(),
                    service: waiting.service().clone(),
                })
            })
            .collect();
        starved.sort_unstable();
        let mut by_service: BTreeMap<ServiceName, Vec<StarvedJob>> = BTreeMap::new();
        for job in starved {
            by_service.entry(job.service.clone()).or_default().push(job);
        }
        let turns = &self.starved_turns;
        let in_turns =
            |jobs| turns.order(jobs, MAX_FAILED_ATTEMPTS, |job: &StarvedJob| job.id.clone());
        by_service.into_values().flat_map(in_turns).collect()
    }

    /// Places one task of each starved job ahead of all other jobs, within the budget of its service, and
    /// reserves executors for the first job of a service that finds no room.
    ///
    /// One task per job: a job of hundreds of tasks would otherwise block the other starved jobs until all
    /// of it is placed. With a backlog of 25 s for a few machines with a label, jobs ran nothing for up to
    /// 24 s; in turn, each gets a task every three seconds.
    pub(super) fn place_starved(
        &mut self,
        now: Now,
        starved: &[StarvedJob],
        rounds: &mut BTreeMap<ServiceName, PlacementRound>,
    ) {
        self.starved_turns.forget_old(now);
        let is_limited = self.settings.policy.limits_starved_jobs;
        for StarvedJob { id, service, .. } in starved {
            let Some(round) = rounds.get_mut(service) else { continue };
            let is_spent = is_limited && !self.starved_budget(now, service).has_left();
            if is_spent || self.is_skipped(id, round) {
                continue;
            }
            let startable = self.jobs[id].startable.front().copied();
            let is_placed = self.place_starved_job(now, id, round);
            if is_limited && let Some(index) = startable.filter(|_| is_placed) {
                let step = self.jobs[id].step(index);
                let tasks = if step.is_gang { u64::from(step.count) } else { 1 };
                let (need, estimate) = (step.allocated(), step.estimate);
                self.starved_budget(now, service).take(tasks, need.cpu_millicores, estimate);
            }
        }
    }

    /// Places one task of each starved job of a priority, when only expired jobs of that priority are left. The
    /// budget doesn't apply, since no work that has any value is displaced.
    pub(super) fn place_starved_among_expired(
        &mut self,
        now: Now,
        priority: u32,
        starved: &[StarvedJob],
        rounds: &mut BTreeMap<ServiceName, PlacementRound>,
    ) {
        let of_priority = starved.iter().filter(|job| job.priority == priority);
        for StarvedJob { id, service, .. } in of_priority {
            let Some(round) = rounds.get_mut(service) else { continue };
            // Jobs of which a task was placed earlier in this round are skipped.
            let is_waiting = || starved_task(now, &self.jobs[id], STARVED_AFTER).is_some();
            if !self.is_skipped(id, round) && is_waiting() {
                self.place_starved_job(now, id, round);
            }
        }
    }

    /// Places one task of a starved job, or reserves executors for it; returns whether it was placed.
    fn place_starved_job(&mut self, now: Now, id: &JobId, round: &mut PlacementRound) -> bool {
        let job = &self.jobs[id];
        let next = job.startable.front();
        let is_refused = next.is_some_and(|&index| round.is_known_unplaceable(job.step(index)));
        if is_refused || round.unplaced_starved_jobs >= MAX_FAILED_ATTEMPTS {
            return false;
        }
        let is_placed = self.place_job(now, id, round, 1);
        self.note_if_newly_full(round);
        if !is_placed {
            self.starved_turns.note_failure(now, id.clone());
            round.unplaced_starved_jobs += 1;
            self.reserve_executors(now, id, round);
        }
        is_placed
    }

    fn starved_budget(&mut self, now: Now, service: &ServiceName) -> &mut StarvedBudget {
        let millicores = self.short_task_cores.of_service_millicores(service);
        let budget = self
            .starved_budgets
            .entry(service.clone())
            .or_insert_with(|| StarvedBudget::new(now, millicores));
        budget.refill(now, millicores);
        budget
    }

    /// Reserves executors for a job that found no room; at most one job per service.
    pub(super) fn reserve_executors(&mut self, now: Now, id: &JobId, round: &mut PlacementRound) {
        if round.has_reservation || !self.settings.policy.reserves_room {
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        let Some(index) = starved_task(now, job, RESERVE_AFTER)
            .filter(|index| !self.awaits_isolation(job, *index))
        else {
            return;
        };
        let waited = now.saturating_sub(job.waiting_since(index) + RESERVE_AFTER);
        if waited.as_millis() % RESERVATION_PERIOD.as_millis() >= RESERVATION_DURATION.as_millis() {
            return;
        }
        let reserved = self.executors_to_reserve(job, index, round);
        if reserved.is_empty() {
            return;
        }
        round.has_reservation = true;
        round.retain_executors(|executor| !reserved.contains(executor));
    }

    /// Returns the room of an executor once all but its long-running tasks have ended.
    fn room_after_short_tasks(&self, executor: &Executor) -> Option<Resources> {
        let mut room = executor.info.as_ref()?.capacity;
        let steps = executor.tasks.iter().filter_map(|(id, index)| {
            let job = self.jobs.get(id)?;
            Some(job.step(*index))
        });
        steps.filter(|step| step.is_long_running).for_each(|step| room.subtract(&step.allocated()));
        Some(room)
    }

    /// Returns the executors with most free processors on which a task, or its gang, fits once their other
    /// tasks have ended; empty if there are too few.
    fn executors_to_reserve(
        &self,
        job: &Job,
        index: TaskIndex,
        round: &PlacementRound,
    ) -> Vec<ExecutorId> {
        let permissions = self.permissions(job, index);
        if !permissions.has_allowed() {
            return Vec::new();
        }
        let step = job.step(index);
        let need = step.allocated();
        let mut missing = if step.is_gang { step.count as usize } else { 1 };
        let mut candidates: Vec<(Reverse<u64>, &ExecutorId, usize)> = round
            .executors
            .iter()
            .filter_map(|id| {
                let executor = self.executors.get(id)?;
                let room = self.room_after_short_tasks(executor)?;
                let max_tasks = match step.max_per_executor {
                    0 => room.fit_count(&need),
                    most => room.fit_count(&need).min(most as usize),
                };
                let is_candidate = max_tasks > 0
                    && is_eligible(executor, job, index)
                    && permissions.allows(id, executor) == Some(true);
                is_candidate.then_some((Reverse(executor.free().cpu_millicores), id, max_tasks))
            })
            .collect();
        candidates.sort_unstable();
        let mut reserved = Vec::new();
        for (_, id, max_tasks) in candidates {
            reserved.push(id.clone());
            missing = missing.saturating_sub(max_tasks);
            if missing == 0 {
                return reserved;
            }
        }
        Vec::new()
    }
}

/// Returns the first waiting task of a job that has nothing running, if it has waited for at least `min_wait`.
fn starved_task(now: Now, job: &Job, min_wait: Duration) -> Option<TaskIndex> {
    let index = *job.startable.front()?;
    let has_waited = now.saturating_sub(job.waiting_since(index)) >= min_wait;
    let is_waiting = job.tasks[index].phase == Phase::Waiting;
    (has_waited && is_waiting && !job.tasks.has_placed()).then_some(index)
}

//! Starts the suspects among the short tasks in isolation, ahead of other work, on a bounded share of the
//! executors.
//!
//! A suspect whose job is late is ranked behind all work that can be on time, and under a burst that work
//! takes each gap as it opens, so the suspect would start only after the burst. See `docs/design/overload.md`.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, ServiceName},
};

use super::{
    Fleet, crash_attribution::START_CRASH_WINDOW, fitting::is_eligible,
    placement_round::PlacementRound,
};
use crate::{
    attempt_order::AttemptOrder,
    crash::fewest_alternatives,
    executor::{Executor, TaskRef},
    job::{Job, Phase, TaskIndex},
    spec::Resources,
};

/// Number of executors of a service for each one that may isolate a start, or be held for one, at the same
/// time.
const EXECUTORS_PER_ISOLATION: usize = 5;
/// Minimum number of executors that may isolate a start at the same time. Where this is more than the share,
/// suspects are placed with their jobs: in a service of six executors, waiting for one of two delayed
/// suspects by 5 s, and five unaffected jobs were given up.
const MIN_ISOLATIONS: usize = 2;
/// Maximum time for which an executor is held until a suspect can start there: about the time that an
/// isolated start takes.
const MAX_HOLD: Duration = Duration::from_millis(500);
/// Minimum time between two holds of an executor.
const MIN_HOLD_INTERVAL: Duration = Duration::from_millis(500);
/// A suspect that has waited this long goes before those that are less likely to be the cause, so that the
/// tasks that crash their executors are identified as well.
const MAX_OVERTAKEN_WAIT: Duration = Duration::from_secs(2);
/// Maximum number of suspects per service and round that are tried without success. Each attempt compares
/// all executors.
const MAX_FAILED_ATTEMPTS: usize = 8;
/// Maximum number of suspects per service and round for which no executor is found to hold. Each attempt
/// looks at the tasks of all executors.
const MAX_FAILED_HOLDS: usize = 2;

/// The suspects, and the executors that are held for them.
#[derive(Debug, Default)]
pub(super) struct Isolations {
    /// Tasks against which a crash has been counted, including those that have ended since the last round.
    suspects: BTreeSet<TaskRef>,
    /// Start of the current or the last hold of executors.
    held_since: BTreeMap<ExecutorId, Now>,
    /// Turns of the suspects that find no executor to start on, by job and slot.
    start_turns: AttemptOrder<(JobId, usize)>,
    /// Turns of the suspects for which no executor is found to hold.
    hold_turns: AttemptOrder<(JobId, usize)>,
}

impl Isolations {
    pub(super) fn note_suspect(&mut self, task: TaskRef) {
        self.suspects.insert(task);
    }

    fn is_held(&self, now: Now, id: &ExecutorId) -> bool {
        self.held_since.get(id).is_some_and(|since| now < *since + MAX_HOLD)
    }

    /// Ends the hold of an executor. The next one may begin [`MIN_HOLD_INTERVAL`] later.
    fn end_hold(&mut self, now: Now, id: &ExecutorId) {
        if let Some(since) = self.held_since.get_mut(id) {
            *since = (*since).min(now.saturating_sub(MAX_HOLD));
        }
    }

    fn forget_old(&mut self, now: Now) {
        self.start_turns.forget_old(now);
        self.hold_turns.forget_old(now);
        self.held_since.retain(|_, since| now < *since + MAX_HOLD + MIN_HOLD_INTERVAL);
    }
}

/// Sort key of a waiting suspect; lower ones start first. Within a priority these are the overdue ones, then
/// those least likely to be the cause: they have the fewest crashes, which the most other tasks may have caused.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SuspectOrder {
    priority: u32,
    /// Number of crashes, and of alternative causes; `None` for an overdue suspect.
    evidence: Option<(usize, Reverse<u32>)>,
    waiting_since: Now,
    task: TaskRef,
}

impl Fleet {
    /// Returns the number of executors that isolate a start or are held for one.
    pub fn isolations(&self, now: Now) -> usize {
        let is_isolating = |id: &&ExecutorId| {
            let executor = self.executors.get(*id);
            executor.is_some_and(|one| one.is_isolating(now)) || self.isolations.is_held(now, id)
        };
        self.by_service.values().flatten().filter(is_isolating).count()
    }

    /// Whether a task starts only when it is its turn among the suspects. Long-running tasks and gangs are
    /// placed with their jobs.
    pub(super) fn awaits_isolation(&self, job: &Job, index: TaskIndex) -> bool {
        let step = job.step(index);
        !step.is_long_running
            && !step.is_gang
            && self.is_suspect(job, index)
            && self.widens_isolation(job)
    }

    /// Whether the service of a job is large enough for more isolated starts than [`MIN_ISOLATIONS`].
    fn widens_isolation(&self, job: &Job) -> bool {
        let service = self.queues.get(&job.queue).map(|queue| &queue.service);
        let executors = service.and_then(|name| self.by_service.get(name)).map_or(0, Vec::len);
        self.settings.policy.widens_isolation
            && executors >= MIN_ISOLATIONS * EXECUTORS_PER_ISOLATION
    }

    /// Records the suspects of a job that a previous owner has left.
    pub(super) fn recover_suspects(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_over()) else { return };
        let suspects = job.tasks.whole().filter(|(_, task)| !task.crashes().is_empty());
        suspects.for_each(|(index, _)| self.isolations.note_suspect((id.clone(), index)));
    }

    /// Places waiting suspects, and holds executors for the next ones.
    pub(super) fn place_suspects(
        &mut self,
        now: Now,
        rounds: &mut BTreeMap<ServiceName, PlacementRound>,
    ) {
        self.isolations.forget_old(now);
        let mut waiting = self.waiting_suspects(now);
        for (service, round) in rounds {
            let turns = waiting.remove(service).unwrap_or_default();
            if !turns.is_empty() || !self.isolations.held_since.is_empty() {
                let remaining = self.remaining_isolations(now, round);
                let (unplaced, remaining) = self.start_suspects(now, turns, remaining, round);
                self.hold_executors(now, &unplaced, remaining, round);
            }
        }
    }

    /// Places waiting suspects in the room that other work has left, on any number of executors, so that none
    /// waits while executors are idle.
    pub(super) fn place_remaining_suspects(
        &mut self,
        now: Now,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
    ) {
        for (service, turns) in self.waiting_suspects(now) {
            if let Some(round) = rounds.get(&service) {
                self.start_suspects(now, turns, usize::MAX, round);
            }
        }
    }

    /// Returns the waiting suspects of each service in the order of their turns.
    fn waiting_suspects(&mut self, now: Now) -> BTreeMap<ServiceName, Vec<SuspectOrder>> {
        let jobs = &self.jobs;
        self.isolations.suspects.retain(|(id, index)| {
            let job = jobs.get(id).filter(|job| !job.is_over());
            job.is_some_and(|job| {
                let task = &job.tasks[*index];
                task.phase != Phase::Done && !task.crashes().is_empty()
            })
        });
        let mut waiting: BTreeMap<ServiceName, Vec<SuspectOrder>> = BTreeMap::new();
        for (id, index) in &self.isolations.suspects {
            let job = &self.jobs[id];
            let task = &job.tasks[*index];
            let is_startable = task.phase == Phase::Waiting
                && task.not_before <= now
                && job.startable.contains(index)
                && self.awaits_isolation(job, *index);
            let Some(queue) = self.queues.get(&job.queue).filter(|_| is_startable) else {
                continue;
            };
            let is_overdue = now >= task.waiting_since + MAX_OVERTAKEN_WAIT;
            waiting.entry(queue.service.clone()).or_default().push(SuspectOrder {
                priority: queue.priority,
                evidence: (!is_overdue)
                    .then(|| (task.crashes().len(), Reverse(fewest_alternatives(task.crashes())))),
                waiting_since: task.waiting_since,
                task: (id.clone(), *index),
            });
        }
        waiting.values_mut().for_each(|turns| turns.sort_unstable());
        waiting
    }

    /// Starts at most `remaining` suspects; returns the others, and how many more may start.
    fn start_suspects(
        &mut self,
        now: Now,
        turns: Vec<SuspectOrder>,
        mut remaining: usize,
        round: &PlacementRound,
    ) -> (Vec<TaskRef>, usize) {
        let mut unplaced: Vec<TaskRef> = Vec::new();
        let mut failed: Vec<TaskRef> = Vec::new();
        let slot_of = |suspect: &SuspectOrder| self.slot_of(&suspect.task);
        let turns = self.isolations.start_turns.order(turns, MAX_FAILED_ATTEMPTS, slot_of);
        for SuspectOrder { task, .. } in turns {
            let job = &self.jobs[&task.0];
            if !self.is_within_cap(job, task.1) {
                continue;
            }
            let is_skipped = remaining == 0
                || failed.len() == MAX_FAILED_ATTEMPTS
                || failed.iter().any(|other| is_same_step(job, &task, other));
            if is_skipped {
                unplaced.push(task);
            } else if let Some(executor) = self.choose_executor(now, &task.0, task.1, None, round) {
                self.start_suspect(now, &task, executor);
                remaining -= 1;
            } else {
                self.isolations.start_turns.note_failure(now, self.slot_of(&task));
                failed.push(task.clone());
                unplaced.push(task);
            }
        }
        (unplaced, remaining)
    }

    fn slot_of(&self, (id, index): &TaskRef) -> (JobId, usize) {
        (id.clone(), self.jobs[id].slot(*index))
    }

    /// Returns how many more executors may isolate a start.
    fn remaining_isolations(&self, now: Now, round: &PlacementRound) -> usize {
        let is_isolating =
            |id: &&ExecutorId| self.executors.get(*id).is_some_and(|one| one.is_isolating(now));
        let isolating = round.executors.iter().filter(is_isolating).count();
        let most = (round.executors.len() / EXECUTORS_PER_ISOLATION).max(MIN_ISOLATIONS);
        most.saturating_sub(isolating)
    }

    fn start_suspect(&mut self, now: Now, (id, index): &TaskRef, executor: ExecutorId) {
        self.isolations.end_hold(now, &executor);
        self.assign(id, *index, executor);
        let job = self.jobs.get_mut(id).expect("its task was just placed");
        job.startable.retain(|other| other != index);
        job.last_placed_at = Some(now);
        self.mark_changed(id);
    }

    /// Holds as many executors as suspects may start next, so that no other task starts there meanwhile.
    fn hold_executors(
        &mut self,
        now: Now,
        suspects: &[TaskRef],
        remaining: usize,
        round: &mut PlacementRound,
    ) {
        let most = remaining.min(suspects.len());
        let (mut held, excess) = {
            let is_held = |id: &&ExecutorId| self.isolations.is_held(now, id);
            let mut held: Vec<ExecutorId> =
                round.executors.iter().filter(is_held).cloned().collect();
            held.sort_by_key(|id| self.isolations.held_since[id]);
            let excess = held.split_off(held.len().min(most));
            (held, excess)
        };
        excess.iter().for_each(|id| self.isolations.end_hold(now, id));
        let suspects = suspects.iter().collect();
        let slot_of = |task: &&TaskRef| self.slot_of(task);
        let suspects = self.isolations.hold_turns.order(suspects, MAX_FAILED_HOLDS, slot_of);
        let mut failures = 0;
        for task in suspects {
            if held.len() >= most || failures == MAX_FAILED_HOLDS {
                break;
            }
            if let Some(executor) = self.executor_to_hold(now, task, round) {
                self.isolations.held_since.insert(executor.clone(), now);
                held.push(executor);
            } else {
                self.isolations.hold_turns.note_failure(now, self.slot_of(task));
                failures += 1;
            }
        }
        round.retain_executors(|id| !held.contains(id));
    }

    /// Returns the executor on which a suspect could start soonest if nothing else started there.
    fn executor_to_hold(
        &self,
        now: Now,
        (id, index): &TaskRef,
        round: &PlacementRound,
    ) -> Option<ExecutorId> {
        let job = &self.jobs[id];
        let permissions = self.permissions(job, *index);
        let candidates = round.executors.iter().filter_map(|id| {
            let executor = self.executors.get(id)?;
            let is_candidate = !self.isolations.held_since.contains_key(id)
                && !executor.is_isolating(now)
                && is_eligible(executor, job, *index)
                && permissions.allows(id, executor) == Some(true);
            if !is_candidate {
                return None;
            }
            let ready_at = self.ready_at(now, executor, &job.step(*index).allocated())?;
            (ready_at <= now + MAX_HOLD).then_some((ready_at, id))
        });
        candidates.min().map(|(_, id)| id.clone())
    }

    /// Returns when an executor is expected to have room for an isolated start, if nothing else starts there;
    /// `None` if its short tasks leave too little room when they end.
    fn ready_at(&self, now: Now, executor: &Executor, need: &Resources) -> Option<Now> {
        let mut ready_at = now;
        let mut ends: Vec<(Now, Resources)> = Vec::new();
        for (id, index) in &executor.tasks {
            let job = self.jobs.get(id)?;
            let since = match &job.tasks[*index].phase {
                Phase::Running { since, .. } => *since,
                _ => now,
            };
            ready_at = ready_at.max(since + START_CRASH_WINDOW);
            let step = job.step(*index);
            if !step.is_long_running {
                ends.push((now.max(since + step.estimate), step.allocated()));
            }
        }
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut free = executor.free();
        let mut ends = ends.into_iter();
        while !need.fits(&free) {
            let (at, released) = ends.next()?;
            free.add(&released);
            ready_at = ready_at.max(at);
        }
        Some(ready_at)
    }
}

/// Whether two tasks belong to the same step, so that neither fits where the other doesn't.
fn is_same_step(job: &Job, task: &TaskRef, other: &TaskRef) -> bool {
    task.0 == other.0 && job.slot(task.1) == job.slot(other.1)
}

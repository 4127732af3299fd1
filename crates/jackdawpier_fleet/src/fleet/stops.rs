//! Orders to stop runs, each try of which is decided anew: what a step could spare when the first one left it may not be
//! able to spare seconds later.
//!
//! See `docs/design/stops.md`.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{Command, Fleet, StopReason};
use crate::{
    executor::{Executor, TaskRef},
    job::{Job, Phase, StopOrder, TaskIndex},
    spec::{RunNumber, TaskKey},
};

/// What an executor didn't list this shortly before isn't at work yet, though it may have begun since: a start takes longer
/// to be at full speed.
const UNLISTED_LATELY: Duration = Duration::from_millis(400);
/// An order to stop that wasn't answered may be carried out this much later: longer than executors hang.
pub(super) const MAX_STOP_DELAY: Duration = Duration::from_secs(12);

/// How an order to stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run can't begin there any more and ends within the time that executors have for it.
    Taken,
    /// Not taken; it is decided anew by the executor's next report.
    NotTaken,
}

/// What is known of a run of a long-running step when an order to stop it leaves, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopEvidence {
    /// How long ago its executor last listed it; none if it never did.
    pub listed_ago: Option<Duration>,
    /// Share of its full speed at that time, in percent.
    pub percent: u32,
    /// Other tasks of its step that aren't settled at work.
    pub others_away: u32,
    /// Tasks that its step may miss.
    pub may_miss: u32,
}

impl Fleet {
    /// Whether an order to stop a run may leave now, asked right before each try.
    pub fn may_send_stop(&self, now: Now, executor: &str, key: &TaskKey, run: RunNumber) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return true };
        let Some(index) = job.index(key) else { return true };
        let task = &job.tasks[index];
        let is_there = task.phase.executor().is_some_and(|at| **at == *executor);
        if task.run != run || !is_there {
            // Nobody wants this run.
            return true;
        }
        matches!(task.phase, Phase::Stopping { .. }) && self.can_end(now, job, index)
    }

    /// Whether nobody misses a task if it ends now.
    fn can_end(&self, now: Now, job: &Job, index: TaskIndex) -> bool {
        let step = job.step(index);
        let is_bounded = job.may_go_on(index) && step.may_miss > 0;
        !is_bounded
            || self.other_tasks_away(now, job, index) < step.may_miss
            || self.is_unlisted_lately(now, job, index)
    }

    /// Whether a run wasn't there when its executor answered a moment ago.
    fn is_unlisted_lately(&self, now: Now, job: &Job, index: TaskIndex) -> bool {
        let task = &job.tasks[index];
        let executor = task.phase.executor().and_then(|id| self.executors.get(id));
        let reported_at = executor.and_then(Executor::heard_at);
        reported_at.is_some_and(|at| {
            now.saturating_sub(at) < UNLISTED_LATELY && task.listed_at.is_none_or(|last| last < at)
        })
    }

    /// An order to stop has ended.
    pub fn stop_ended(&mut self, now: Now, key: &TaskKey, run: RunNumber, end: StopOutcome) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(index) = job.index(key) else { return };
        let task = &mut job.tasks[index];
        if task.run != run {
            return;
        }
        if let Phase::Stopping { order, .. } = &mut task.phase {
            *order = match (*order, end) {
                (StopOrder::Taken { at }, _) => StopOrder::Taken { at },
                (_, StopOutcome::Taken) => StopOrder::Taken { at: now },
                (_, StopOutcome::NotTaken) => StopOrder::Unanswered,
            };
        }
    }

    /// Repeats the orders to stop at an executor that weren't taken and may leave now; asked after each of its reports.
    pub fn repeat_stops(&mut self, now: Now, id: &ExecutorId) -> Vec<Command> {
        let Some(executor) = self.executors.get(id) else { return Vec::new() };
        let is_due = |(job, index): &&TaskRef| {
            self.jobs.get(job).is_some_and(|job| {
                let phase = &job.tasks[*index].phase;
                matches!(phase, Phase::Stopping { order: StopOrder::Unanswered, .. })
                    && self.can_end(now, job, *index)
            })
        };
        let due: Vec<TaskRef> = executor.tasks.iter().filter(is_due).cloned().collect();
        due.iter().filter_map(|task| self.repeat_stop(id, task)).collect()
    }

    fn repeat_stop(&mut self, id: &ExecutorId, (job, index): &TaskRef) -> Option<Command> {
        let job = self.jobs.get_mut(job)?;
        let key = job.key(*index);
        let task = &mut job.tasks[*index];
        task.phase = Phase::Stopping { executor: id.clone(), order: StopOrder::UnderWay };
        let (executor, run) = (id.clone(), task.run);
        Some(Command::Stop { executor, task: key, run, reason: StopReason::Repeated })
    }

    /// What is known of a run now; none if it isn't the present one of a task that lasts.
    pub fn stop_evidence(&self, now: Now, key: &TaskKey, run: RunNumber) -> Option<StopEvidence> {
        let job = self.jobs.get(&key.job)?;
        let index = job.index(key).filter(|index| job.tasks[*index].run == run)?;
        let (task, step) = (&job.tasks[index], job.step(index));
        step.is_long_running.then(|| StopEvidence {
            listed_ago: task.listed_at.map(|at| now.saturating_sub(at)),
            percent: task.listed_at.map_or(0, |_| task.percent),
            others_away: self.other_tasks_away(now, job, index),
            may_miss: step.may_miss,
        })
    }
}

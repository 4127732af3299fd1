//! Stop orders for runs.
//!
//! Whether an order may be sent is decided anew for each attempt: a task that its step could miss
//! at the first attempt may be needed seconds later, when another one is away.
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

/// A run that its executor didn't list this recently isn't at full speed yet, even if it has
/// started since: starting up takes longer.
const RECENT_REPORT_AGE: Duration = Duration::from_millis(400);
/// An unanswered stop order may still be carried out within this time, which is longer than
/// executors hang.
pub(super) const MAX_STOP_DELAY: Duration = Duration::from_secs(12);

/// Outcome of a stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run can't start there any more, and ends within the stop timeout of executors.
    Taken,
    /// The order wasn't taken. It is decided anew after the executor's next report.
    NotTaken,
}

/// State of a run of a long-running step when a stop order for it is sent, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopEvidence {
    /// Time since its executor last listed the run, or `None` if it never did.
    pub listed_ago: Option<Duration>,
    /// Share of its full speed in that report, in percent.
    pub percent: u32,
    /// Number of other tasks of its step that aren't stably at work.
    pub others_away: u32,
    /// Number of tasks that its step may miss.
    pub may_miss: u32,
}

impl Fleet {
    /// Whether a stop order for a run may be sent now. Called right before each attempt.
    pub fn may_send_stop(&self, now: Now, executor: &str, key: &TaskKey, run: RunNumber) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return true };
        let Some(index) = job.index(key) else { return true };
        let task = &job.tasks[index];
        let is_there = task.phase.executor().is_some_and(|at| **at == *executor);
        if task.run != run || !is_there {
            // The run isn't the current one.
            return true;
        }
        matches!(task.phase, Phase::Stopping { .. }) && self.may_end_now(now, job, index)
    }

    /// Whether a task may end now without its step missing more tasks than it may.
    fn may_end_now(&self, now: Now, job: &Job, index: TaskIndex) -> bool {
        let step = job.step(index);
        let is_bounded = job.may_continue(index) && step.may_miss > 0;
        !is_bounded
            || self.other_tasks_away(now, job, index) < step.may_miss
            || self.is_missing_in_recent_report(now, job, index)
    }

    /// Whether a recent answer of the executor didn't list the run.
    fn is_missing_in_recent_report(&self, now: Now, job: &Job, index: TaskIndex) -> bool {
        let task = &job.tasks[index];
        let executor = task.phase.executor().and_then(|id| self.executors.get(id));
        let reported_at = executor.and_then(Executor::clock_read_at);
        reported_at.is_some_and(|at| {
            now.saturating_sub(at) < RECENT_REPORT_AGE
                && task.last_reported_at.is_none_or(|last| last < at)
        })
    }

    /// Applies the outcome of a stop order.
    pub fn stop_ended(&mut self, now: Now, key: &TaskKey, run: RunNumber, outcome: StopOutcome) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(index) = job.index(key) else { return };
        let Some(task) = job.tasks.get_whole_mut(index).filter(|task| task.run == run) else {
            return;
        };
        if let Phase::Stopping { order, .. } = &mut task.phase {
            *order = match (*order, outcome) {
                (StopOrder::Taken { at }, _) => StopOrder::Taken { at },
                (_, StopOutcome::Taken) => StopOrder::Taken { at: now },
                (_, StopOutcome::NotTaken) => StopOrder::Unanswered,
            };
        }
    }

    /// Returns the untaken stop orders of an executor that may be sent again now. Called after each
    /// of its reports.
    pub fn repeat_stops(&mut self, now: Now, id: &ExecutorId) -> Vec<Command> {
        let Some(executor) = self.executors.get(id) else { return Vec::new() };
        let is_due = |(job, index): &&TaskRef| {
            self.jobs.get(job).is_some_and(|job| {
                let phase = &job.tasks[*index].phase;
                matches!(phase, Phase::Stopping { order: StopOrder::Unanswered, .. })
                    && self.may_end_now(now, job, *index)
            })
        };
        let due: Vec<TaskRef> = executor.tasks.iter().filter(is_due).cloned().collect();
        due.iter().filter_map(|task| self.repeat_stop(id, task)).collect()
    }

    fn repeat_stop(&mut self, id: &ExecutorId, (job, index): &TaskRef) -> Option<Command> {
        let job = self.jobs.get_mut(job)?;
        let key = job.key(*index);
        let task = &mut job.tasks[*index];
        task.phase = Phase::Stopping { executor: id.clone(), order: StopOrder::InFlight };
        let (executor, run) = (id.clone(), task.run);
        Some(Command::Stop { executor, task: key, run, reason: StopReason::Repeated })
    }

    /// Returns the state of a run now, or `None` if it isn't the current run of a long-running
    /// task.
    pub fn stop_evidence(&self, now: Now, key: &TaskKey, run: RunNumber) -> Option<StopEvidence> {
        let job = self.jobs.get(&key.job)?;
        let index = job.index(key).filter(|index| job.tasks[*index].run == run)?;
        let (task, step) = (&job.tasks[index], job.step(index));
        step.is_long_running.then(|| StopEvidence {
            listed_ago: task.last_reported_at.map(|at| now.saturating_sub(at)),
            percent: task.last_reported_at.map_or(0, |_| task.speed_percent),
            others_away: self.other_tasks_away(now, job, index),
            may_miss: step.may_miss,
        })
    }
}

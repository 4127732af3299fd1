//! When a lasting task that may crash its executors is tried again, so that a crash tells something of it.
//!
//! See `docs/design/lives.md`. It has two such starts in all; one that an accident hits is spent.

use std::time::Duration;

use jackdawpier_kernel::Now;

use super::{Fleet, recent_crashes::ExecutorCrash};
use crate::{
    crash::has_failed_trial,
    executor::{Executor, TaskRef},
    job::{Job, TaskIndex},
};

/// Time without a crash that may be an accident before a task is put on trial ...
const CALM_FOR: Duration = Duration::from_secs(4);
/// ... unless it has waited for that for so long.
const CALM_AWAITED: Duration = Duration::from_secs(30);
/// Executors have accidents now if one had one within this time.
const ACCIDENTS_WITHIN: Duration = Duration::from_secs(20);

impl Fleet {
    /// Whether a task may be put on trial: no executor of its service has just had what may be an accident. A start
    /// that one hits is spent for nothing.
    pub(super) fn may_start_probation(&self, now: Now, job: &Job, index: TaskIndex) -> bool {
        let service = self.service_of(&job.id);
        let mut not_isolated = self.recent_crashes.not_isolated();
        let last = not_isolated.find(|crash| crash.service.as_ref() == service);
        let since = last.map_or(self.started_at, |crash| crash.at);
        now >= since + CALM_FOR || now >= job.tasks[index].waits_since + CALM_AWAITED
    }

    /// Whether executors crash without a task as well, so that what hit it may have been an accident. After a failed
    /// trial only crashes count that hardly were any task's.
    pub(super) fn has_unattributed_crashes_without(&self, now: Now, task_ref: &TaskRef) -> bool {
        let Some(task) = self.task(task_ref) else { return false };
        let has_failed_trial = has_failed_trial(task.crashes());
        let is_recent = |crash: &&ExecutorCrash| now.saturating_sub(crash.at) < ACCIDENTS_WITHIN;
        let counts = |crash: &ExecutorCrash| crash.is_spontaneous || !has_failed_trial;
        let mut recent = self.recent_crashes.not_isolated().take_while(is_recent);
        recent.any(|crash| counts(crash) && !crash.involves(task_ref))
    }

    /// Whether the task that is watched on an executor is on trial.
    pub(super) fn is_isolating_probation(&self, executor: &Executor) -> bool {
        executor.watch.as_ref().is_some_and(|watch| {
            let job = self.jobs.get(&watch.task.0);
            job.is_some_and(|job| job.is_on_trial(watch.task.1))
        })
    }
}

//! Probation of long-running tasks that may crash their executors: when such a task is restarted,
//! so that a crash is evidence against it.
//!
//! See `docs/design/lives.md`. A task has two such starts in total. A start that is hit by an
//! unrelated crash is used up.

use std::time::Duration;

use jackdawpier_kernel::Now;

use super::{Fleet, recent_crashes::ExecutorCrash};
use crate::{
    crash::has_crashed_on_probation,
    executor::{Executor, TaskRef},
    job::{Job, TaskIndex},
};

/// Time without an unattributed crash that is required before a probation start ...
const REQUIRED_CRASH_FREE_TIME: Duration = Duration::from_secs(4);
/// ... unless the task has waited for this long.
const MAX_CRASH_FREE_WAIT: Duration = Duration::from_secs(30);
/// Unattributed crashes within this time count as recent.
const RECENT_CRASH_WINDOW: Duration = Duration::from_secs(20);

impl Fleet {
    /// Whether a task may start on probation: no executor of its service has just had an
    /// unattributed crash. Another such crash would waste the start.
    pub(super) fn may_start_probation(&self, now: Now, job: &Job, index: TaskIndex) -> bool {
        let service = self.service_of(&job.id);
        let mut not_isolated = self.recent_crashes.not_isolated();
        let last = not_isolated.find(|crash| crash.service.as_ref() == service);
        let since = last.map_or(self.started_at, |crash| crash.at);
        now >= since + REQUIRED_CRASH_FREE_TIME
            || now >= job.waiting_since(index) + MAX_CRASH_FREE_WAIT
    }

    /// Whether executors have recently crashed without the task as well, so that its own crashes
    /// may be unrelated to it. After a crash on probation only spontaneous crashes count.
    pub(super) fn has_unattributed_crashes_without(&self, now: Now, task_ref: &TaskRef) -> bool {
        let Some(task) = self.task(task_ref) else { return false };
        let has_crashed_on_probation = has_crashed_on_probation(task.crashes());
        let is_recent = |crash: &&ExecutorCrash| now.saturating_sub(crash.at) < RECENT_CRASH_WINDOW;
        let counts = |crash: &ExecutorCrash| crash.lacks_recent_start || !has_crashed_on_probation;
        let mut recent = self.recent_crashes.not_isolated().take_while(is_recent);
        recent.any(|crash| counts(crash) && !crash.involves(task_ref))
    }

    /// Whether the isolated task on an executor is on probation.
    pub(super) fn is_isolating_probation(&self, executor: &Executor) -> bool {
        executor.isolated_start.as_ref().is_some_and(|start| {
            let job = self.jobs.get(&start.task.0);
            job.is_some_and(|job| job.is_on_probation(start.task.1))
        })
    }
}

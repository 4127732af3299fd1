//! Tracks which runs were on an executor when it crashed, so that the others can be cleared once one of them
//! turns out to be the cause.
//!
//! See `docs/design/lives.md`. A new owner starts without this history, but inherits the crashes in the job
//! records.

use std::collections::VecDeque;

use jackdawpier_kernel::{Now, ids::ServiceName};

use super::Fleet;
use crate::{executor::TaskRef, spec::RunNumber};

/// Maximum number of crashes kept: a suspect is judged within seconds, in which a few dozen executors crash.
const MAX_CRASHES: usize = 256;
/// A run that may have caused a crash.
type RunRef = (TaskRef, RunNumber);

/// A crash of an executor.
#[derive(Debug)]
pub(super) struct ExecutorCrash {
    pub(super) at: Now,
    pub(super) service: Option<ServiceName>,
    /// A task ran in isolation there, which is the likely cause.
    pub(super) is_isolated: bool,
    /// No task had started there recently, so a task is an unlikely cause.
    pub(super) lacks_recent_start: bool,
    /// The runs on the executor.
    pub(super) runs: Vec<RunRef>,
}

impl ExecutorCrash {
    pub(super) fn involves(&self, task: &TaskRef) -> bool {
        self.runs.iter().any(|(one, _)| one == task)
    }
}

/// The most recent crashes without a known cause, oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentCrashes(VecDeque<ExecutorCrash>);

impl RecentCrashes {
    pub(super) fn note(&mut self, crash: ExecutorCrash) {
        if self.0.len() == MAX_CRASHES {
            self.0.pop_front();
        }
        self.0.push_back(crash);
    }

    /// Removes the crashes that a task was present at, and returns the other runs that were present.
    fn take_co_located_runs(&mut self, cause: &TaskRef) -> Vec<RunRef> {
        let (of_cause, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.0).into_iter().partition(|crash| crash.involves(cause));
        self.0 = others.into();
        let mut co_located: Vec<RunRef> =
            of_cause.into_iter().flat_map(|crash| crash.runs).collect();
        co_located.retain(|(task, _)| task != cause);
        co_located
    }

    /// Returns the crashes with no isolated task, newest first. They may have had no task as their cause.
    pub(super) fn not_isolated(&self) -> impl Iterator<Item = &ExecutorCrash> {
        self.0.iter().rev().filter(|crash| !crash.is_isolated)
    }
}

impl Fleet {
    /// Clears all other tasks of the crashes that a task has caused.
    pub(super) fn clear_co_located_crashes(&mut self, cause: &TaskRef) {
        if !self.settings.policy.attributes_crashes {
            return;
        }
        for (task, run) in self.recent_crashes.take_co_located_runs(cause) {
            let job = self.jobs.get_mut(&task.0).filter(|job| !job.is_over());
            if job
                .and_then(|job| job.tasks.get_whole_mut(task.1))
                .is_some_and(|task| task.attribute_crash_elsewhere(run))
            {
                self.mark_changed(&task.0);
            }
        }
    }
}

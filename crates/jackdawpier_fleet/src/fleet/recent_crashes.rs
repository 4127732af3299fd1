//! Who was on an executor when it crashed, so that the others are cleared once one of them turns out to be
//! the cause.
//!
//! See `docs/design/lives.md`. What an earlier owner saw isn't known; the crashes that it noted stay.

use std::collections::VecDeque;

use jackdawpier_kernel::{Now, ids::ServiceName};

use super::Fleet;
use crate::{executor::TaskRef, spec::RunNumber};

/// Crashes that are remembered: a suspect is judged within seconds, in which some dozens of executors crash.
const REMEMBERED: usize = 256;
/// A run that may have been why an executor crashed.
type Present = (TaskRef, RunNumber);

/// A crash of an executor.
#[derive(Debug)]
pub(super) struct ExecutorCrash {
    pub(super) at: Now,
    pub(super) service: Option<ServiceName>,
    /// A task was watched there, which is the likely cause.
    pub(super) is_watched: bool,
    /// Nothing had begun there lately, so it hardly was any task.
    pub(super) is_spontaneous: bool,
    /// The runs that were there.
    pub(super) present: Vec<Present>,
}

impl ExecutorCrash {
    pub(super) fn involves(&self, task: &TaskRef) -> bool {
        self.present.iter().any(|(one, _)| one == task)
    }
}

/// The last crashes that aren't explained yet.
#[derive(Debug, Default)]
pub(super) struct RecentCrashes(VecDeque<ExecutorCrash>);

impl RecentCrashes {
    pub(super) fn note(&mut self, crash: ExecutorCrash) {
        if self.0.len() == REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(crash);
    }

    /// Runs that were there when a task's executors crashed, other than its own.
    fn beside(&mut self, cause: &TaskRef) -> Vec<Present> {
        let (of_cause, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.0).into_iter().partition(|crash| crash.involves(cause));
        self.0 = others.into();
        let mut beside: Vec<Present> =
            of_cause.into_iter().flat_map(|crash| crash.present).collect();
        beside.retain(|(task, _)| task != cause);
        beside
    }

    /// Crashes that may be accidents, the last one first.
    pub(super) fn not_isolated(&self) -> impl Iterator<Item = &ExecutorCrash> {
        self.0.iter().rev().filter(|crash| !crash.is_watched)
    }
}

impl Fleet {
    /// Clears all others that were there of the crashes that a task has caused.
    pub(super) fn clear_co_located_crashes(&mut self, cause: &TaskRef) {
        if !self.settings.policy.explains_crashes {
            return;
        }
        for (task, run) in self.recent_crashes.beside(cause) {
            let job = self.jobs.get_mut(&task.0).filter(|job| !job.is_over());
            if job.is_some_and(|job| job.tasks[task.1].explain_crash(run)) {
                self.mark_changed(&task.0);
            }
        }
    }
}

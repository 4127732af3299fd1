//! Bounds the tasks that the owner holds whole.
//!
//! Callers decide how many tasks a job has and how little each needs, so the capacity of the executors doesn't bound the
//! memory of placed tasks. A task beyond the bound waits as it does for room on an executor. Plain functions of jobs,
//! below the fleet. See `docs/design/job-memory.md`.

use crate::job::{Job, TaskIndex};

/// Number of tasks up to which a job is small: it may use the room that large jobs leave.
pub(super) const SMALL_JOB_TASKS: usize = 64;
/// Part of the room that large jobs may use together, in percent.
const LARGE_JOBS_PERCENT: usize = 75;
/// Numbers of tasks that are held whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ActiveTasks {
    /// Tasks that are placed, or were and aren't done.
    pub held: usize,
    /// Maximum of these.
    pub max: usize,
    /// Whether tasks waited in the last round because of the maximum.
    pub is_full: bool,
}

impl ActiveTasks {
    /// Counts the tasks that jobs hold whole.
    pub(super) fn count<'a>(jobs: impl Iterator<Item = &'a Job>, max: usize) -> Self {
        let held = jobs.map(|job| job.tasks.whole_count()).sum();
        Self { held, max, is_full: false }
    }

    /// Returns whether a task, or its gang, may be held whole, so that it can be placed.
    pub(super) fn admit(&self, job: &Job, index: TaskIndex) -> bool {
        let step = job.step(index);
        let added = if step.is_gang {
            step.count as usize - job.whole_tasks_in_slot(job.slot(index)).count()
        } else {
            usize::from(job.tasks.get_whole(index).is_none())
        };
        let is_small = job.tasks.whole_count() + added <= SMALL_JOB_TASKS;
        let max = if is_small { self.max } else { self.max / 100 * LARGE_JOBS_PERCENT };
        added == 0 || self.held + added <= max
    }

    /// Counts a task that is about to be placed.
    pub(super) fn add(&mut self, job: &Job, index: TaskIndex) {
        self.held += usize::from(job.tasks.get_whole(index).is_none());
    }
}

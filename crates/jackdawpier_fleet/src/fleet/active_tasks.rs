//! Bounds the tasks that the owner holds whole, and how many of a large job are placed in one round.
//!
//! Callers decide how many tasks a job has and how little each needs, so the capacity of the executors bounds neither the
//! memory of placed tasks nor the time of a round. A task beyond the bound waits as it does for room on an executor.
//! See `docs/design/job-memory.md`.

use super::Fleet;
use crate::job::{Job, TaskIndex};

/// Number of held tasks up to which a job is small: it may use the room that large jobs leave.
const SMALL_JOB_TASKS: usize = 64;
/// Part of the room that large jobs may use together, in percent.
const LARGE_JOBS_PERCENT: usize = 75;
/// Number of executors that may be compared with tasks in a round, before large jobs wait for the next one, so that a round
/// takes a small part of the owner's lease.
const MAX_COMPARED_PER_ROUND: u64 = 200_000;

/// Returns whether a job that holds `of_job` tasks may hold `added` more, where all jobs hold `held` of `max`.
fn admits(held: usize, max: usize, of_job: usize, added: usize) -> bool {
    let is_small = of_job + added <= SMALL_JOB_TASKS;
    let max = if is_small { max } else { max / 100 * LARGE_JOBS_PERCENT };
    held + added <= max
}

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

impl Fleet {
    /// Returns the tasks that are held whole.
    pub fn active_tasks(&self) -> ActiveTasks {
        self.active_tasks
    }

    /// Counts the tasks that are held whole, before a placement round.
    pub(super) fn count_active_tasks(&mut self) {
        let held = self.jobs.unordered_values().map(|job| job.tasks.whole_count()).sum();
        self.active_tasks =
            ActiveTasks { held, max: self.settings.max_active_tasks, is_full: false };
        self.round_began_at_comparison = self.executors_compared;
    }

    /// Returns whether a task, or its gang, may be held whole, so that it can be placed.
    pub(super) fn may_become_active(&self, job: &Job, index: TaskIndex) -> bool {
        let step = job.step(index);
        let added = if step.is_gang {
            step.count as usize - job.whole_tasks_in_slot(job.slot(index)).count()
        } else {
            usize::from(job.tasks.get_whole(index).is_none())
        };
        let ActiveTasks { held, max, .. } = self.active_tasks;
        added == 0 || admits(held, max, job.tasks.whole_count(), added)
    }

    /// Returns whether a job of which `placed` tasks were placed in this round waits for the next one.
    pub(super) fn is_round_over_for(&self, placed: usize) -> bool {
        let compared = self.executors_compared - self.round_began_at_comparison;
        placed >= SMALL_JOB_TASKS && compared >= MAX_COMPARED_PER_ROUND
    }
}

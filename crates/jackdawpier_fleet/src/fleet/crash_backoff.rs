//! Crash-loop back-off of long-running tasks.
//!
//! See `docs/design/lives.md`. A task isn't startable during its back-off, so no room is reserved and
//! no machine is moved for it.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::JobId};

use super::Fleet;
use crate::{
    crash::{BACKOFF_SUSPECT, Retry},
    executor::TaskRef,
    job::Phase,
    spec::{RunNumber, TaskKey},
};

/// The back-off of a task after executors crashed while they ran it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashBackoff {
    /// The task.
    pub task: TaskKey,
    /// Number of its last run.
    pub run: RunNumber,
    /// Number of crashes that count against the task.
    pub crashes: usize,
    /// Its duration; none if the task isn't started again.
    pub duration: Option<Duration>,
}

/// A task in back-off.
#[derive(Debug)]
struct BackedOffTask {
    task: TaskRef,
    /// When the back-off may end early, if unattributed crashes also occur without the task.
    earliest_end: Now,
    until: Now,
}

/// The tasks in back-off.
#[derive(Debug, Default)]
pub(super) struct CrashBackoffs {
    tasks: Vec<BackedOffTask>,
    /// Back-offs that have started, for the log.
    started: Vec<CrashBackoff>,
}

impl Fleet {
    /// Takes the back-offs that have started since the last call.
    pub fn take_crash_backoffs(&mut self) -> Vec<CrashBackoff> {
        std::mem::take(&mut self.crash_backoffs.started)
    }

    /// Starts the back-off of a long-running task: for `duration`, or for good without one.
    pub(super) fn back_off(&mut self, now: Now, task_ref: &TaskRef, duration: Option<Duration>) {
        let Some(job) = self.jobs.get(&task_ref.0) else { return };
        if !job.step(task_ref.1).is_long_running {
            return;
        }
        let task = &job.tasks[task_ref.1];
        let (key, run, crashes) = (job.key(task_ref.1), task.run, task.crashes().len());
        self.crash_backoffs.started.push(CrashBackoff { task: key, run, crashes, duration });
        if let Some(delay) = duration {
            let (earliest_end, until) = (now + delay.min(BACKOFF_SUSPECT), now + delay);
            self.crash_backoffs.tasks.push(BackedOffTask {
                task: task_ref.clone(),
                earliest_end,
                until,
            });
        }
    }

    /// Restarts the back-offs of a previous owner's job in full: how much of them has passed isn't known.
    pub(super) fn restore_backoffs(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_over()) else { return };
        let waiting = job.tasks.whole().filter(|(_, task)| task.phase == Phase::Waiting);
        let delay = |(index, _)| match job.retry(index) {
            Retry::After(delay) => Some((index, delay)),
            _ => None,
        };
        let backed_off: Vec<(usize, Duration)> = waiting.filter_map(delay).collect();
        for (index, delay) in backed_off {
            self.back_off(now, &(id.clone(), index), Some(delay));
        }
    }

    /// Makes the tasks startable whose back-off is over.
    pub(super) fn release_backed_off(&mut self, now: Now) {
        let (expired, remaining): (Vec<BackedOffTask>, Vec<BackedOffTask>) =
            std::mem::take(&mut self.crash_backoffs.tasks).into_iter().partition(|backed_off| {
                let may_end_early = now >= backed_off.earliest_end;
                now >= backed_off.until
                    || (may_end_early
                        && self.has_unattributed_crashes_without(now, &backed_off.task))
            });
        self.crash_backoffs.tasks = remaining;
        for BackedOffTask { task: (id, index), .. } in expired {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if !job.is_over() && !job.is_cancelled && job.tasks[index].phase == Phase::Waiting {
                job.enqueue_now(now, index);
            }
        }
    }
}

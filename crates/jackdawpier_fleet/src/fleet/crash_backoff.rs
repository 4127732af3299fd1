//! Tasks that last and are held back for the crashes under them, each until it is tried again.
//!
//! See `docs/design/lives.md`. They aren't startable meanwhile, so that no room is kept and no machine is fetched
//! for them.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::JobId};

use super::Fleet;
use crate::{
    crash::{PAUSE_SUSPECT, Retry},
    executor::TaskRef,
    job::Phase,
    spec::{RunNumber, TaskKey},
};

/// A task that is tried again after a pause, since executors crashed under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashBackoff {
    /// The task.
    pub task: TaskKey,
    /// Number of its last start.
    pub run: RunNumber,
    /// Executors that have crashed under it.
    pub crashes: usize,
    /// The pause; none if the task isn't started again.
    pub lasts_for: Option<Duration>,
}

/// A task that is held back.
#[derive(Debug)]
struct Held {
    task: TaskRef,
    /// Where executors have accidents, it is so for less.
    short_until: Now,
    until: Now,
}

/// The tasks that are held back.
#[derive(Debug, Default)]
pub(super) struct CrashBackoffs {
    tasks: Vec<Held>,
    /// Pauses that have begun, for the log.
    begun: Vec<CrashBackoff>,
}

impl Fleet {
    /// Pauses that have begun since the last call.
    pub fn take_crash_backoffs(&mut self) -> Vec<CrashBackoff> {
        std::mem::take(&mut self.crash_backoffs.begun)
    }

    /// Keeps a task from starting for a while, or for good.
    pub(super) fn back_off(&mut self, now: Now, task_ref: &TaskRef, lasts_for: Option<Duration>) {
        let Some(job) = self.jobs.get(&task_ref.0) else { return };
        if !job.step(task_ref.1).is_long_running {
            return;
        }
        let task = &job.tasks[task_ref.1];
        let (key, run, crashes) = (job.key(task_ref.1), task.run, task.crashes().len());
        self.crash_backoffs.begun.push(CrashBackoff { task: key, run, crashes, lasts_for });
        if let Some(pause) = lasts_for {
            let (short_until, until) = (now + pause.min(PAUSE_SUSPECT), now + pause);
            self.crash_backoffs.tasks.push(Held { task: task_ref.clone(), short_until, until });
        }
    }

    /// Holds back what an earlier owner had held back; how much of the pause is over isn't known.
    pub(super) fn restore_backoffs(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_over()) else { return };
        let pause = |index: usize| match job.retry(index) {
            Retry::After(pause) if job.tasks[index].phase == Phase::Waiting => Some((index, pause)),
            _ => None,
        };
        let held: Vec<(usize, Duration)> = (0..job.tasks.len()).filter_map(pause).collect();
        for (index, pause) in held {
            self.back_off(now, &(id.clone(), index), Some(pause));
        }
    }

    /// Lets the tasks start whose pauses are over.
    pub(super) fn release_backed_off(&mut self, now: Now) {
        let (due, rest): (Vec<Held>, Vec<Held>) =
            std::mem::take(&mut self.crash_backoffs.tasks).into_iter().partition(|held| {
                let is_short = now >= held.short_until;
                now >= held.until
                    || (is_short && self.has_unattributed_crashes_without(now, &held.task))
            });
        self.crash_backoffs.tasks = rest;
        for Held { task: (id, index), .. } in due {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if !job.is_over() && !job.is_cancelled && job.tasks[index].phase == Phase::Waiting {
                job.try_again(now, index);
            }
        }
    }
}

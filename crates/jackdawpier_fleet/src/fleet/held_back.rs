//! Tasks that last and are held back for the crashes under them, each until it is tried again.
//!
//! See `docs/design/lives.md`. They aren't startable meanwhile, so that no room is kept and no machine is fetched
//! for them.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::JobId};

use super::Fleet;
use crate::{
    executor::TaskRef,
    job::Phase,
    spec::{RunNumber, TaskKey},
};

/// A task that is tried again after a pause, since executors crashed under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pause {
    /// The task.
    pub task: TaskKey,
    /// Number of its last start.
    pub run: RunNumber,
    /// Executors that have crashed under it.
    pub crashes: usize,
    /// The pause.
    pub lasts_for: Duration,
}

/// The tasks that are held back.
#[derive(Debug, Default)]
pub(super) struct HeldBack {
    /// Each with the end of its pause.
    tasks: Vec<(Now, TaskRef)>,
    /// Pauses that have begun, for the log.
    begun: Vec<Pause>,
}

impl Fleet {
    /// Pauses that have begun since the last call.
    pub fn take_pauses(&mut self) -> Vec<Pause> {
        std::mem::take(&mut self.held_back.begun)
    }

    /// Keeps a task from starting for a while.
    pub(super) fn hold_back(&mut self, now: Now, task_ref: &TaskRef, lasts_for: Duration) {
        let Some(job) = self.jobs.get(&task_ref.0) else { return };
        let task = &job.tasks[task_ref.1];
        let (key, run, crashes) = (job.key(task_ref.1), task.run, task.crashes().len());
        self.held_back.begun.push(Pause { task: key, run, crashes, lasts_for });
        self.held_back.tasks.push((now + lasts_for, task_ref.clone()));
    }

    /// Holds back what an earlier owner had given up; how much of the pause is over isn't known.
    pub(super) fn hold_back_again(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_over()) else { return };
        let is_held = |index: &usize| {
            job.tasks[*index].is_given_up && job.tasks[*index].phase == Phase::Waiting
        };
        let held = (0..job.tasks.len()).filter(is_held);
        let held: Vec<(usize, Duration)> =
            held.filter_map(|index| Some((index, job.pause(index)?))).collect();
        for (index, pause) in held {
            self.hold_back(now, &(id.clone(), index), pause);
        }
    }

    /// Lets the tasks start whose pauses are over.
    pub(super) fn release_held(&mut self, now: Now) {
        let is_due = |held: &mut (Now, TaskRef)| held.0 <= now;
        let due: Vec<(Now, TaskRef)> = self.held_back.tasks.extract_if(.., is_due).collect();
        for (_, (id, index)) in due {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if !job.is_over() && !job.is_cancelled && job.tasks[index].phase == Phase::Waiting {
                job.try_again(now, index);
            }
        }
    }
}

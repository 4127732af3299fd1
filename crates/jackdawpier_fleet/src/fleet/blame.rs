//! Tasks that may be the cause when their executors crash, and those that are given up for it.
//!
//! See `docs/design/lives.md`.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::Fleet;
use crate::{
    crash::{Crash, Suspicion, suspicion},
    executor::TaskRef,
    job::Phase,
    record::JobOutcome,
    spec::{RunNumber, TaskKey},
};

/// An executor that answers this long after a start has survived it: some ten times what a task that
/// crashes its executor at once takes for that.
const SUDDEN: Duration = Duration::from_millis(100);
/// What ran on an executor that has been silent for longer may have ended before it crashed: one long
/// poll and its timeout.
const KNOWN_FOR: Duration = Duration::from_millis(1500);
/// An order without an answer tells something only of an executor that was heard of this shortly before
/// the order left; another one may have been gone by then.
const ALIVE_BEFORE_ORDER: Duration = Duration::from_millis(300);
/// A task that lasts and has run for this long isn't what its executor crashed of, nor earlier ones:
/// it may see any number of crashes in its life.
const LASTING_PROOF: Duration = Duration::from_secs(10);

/// A task under which an executor has crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blame {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: RunNumber,
    /// The executor.
    pub executor: ExecutorId,
    /// What is known of this crash.
    pub crash: Crash,
    /// Executors that have crashed under it by now.
    pub crashes: usize,
    /// The task is given up, and its job with it.
    pub is_given_up: bool,
}

impl Fleet {
    /// Tasks under which executors have crashed since the last call.
    pub fn take_blames(&mut self) -> Vec<Blame> {
        std::mem::take(&mut self.blames)
    }

    /// Counts the crash of an executor against a task that was ordered there.
    pub(super) fn note_crash(&mut self, now: Now, id: &ExecutorId, task_ref: &TaskRef) {
        let Some(executor) = self.executors.get(id) else { return };
        let Some(job) = self.jobs.get_mut(&task_ref.0) else { return };
        let lasts = job.step(task_ref.1).is_long_running;
        let key = job.key(task_ref.1);
        let task = &mut job.tasks[task_ref.1];
        if matches!(task.phase, Phase::Planned { .. }) {
            return;
        }
        let survived = task.confirmed_at.map(|at| executor.answered_at.saturating_sub(at));
        if lasts && survived.is_some_and(|time| time >= LASTING_PROOF) {
            task.clear_crashes();
            return;
        }
        let is_from_before = matches!(task.phase, Phase::Doubt { .. });
        let was_alive = executor.answered_at + ALIVE_BEFORE_ORDER >= task.ordered_at;
        if survived.is_none() && !is_from_before && !was_alive {
            return;
        }
        let is_sudden = survived.is_none_or(|time| time <= SUDDEN);
        let is_known = now.saturating_sub(executor.answered_at) <= KNOWN_FOR;
        let is_stopping = matches!(task.phase, Phase::Stopping { .. });
        let is_confirmed = survived.is_some() && !is_stopping && (is_known || is_sudden);
        let crash = Crash { run: task.run, is_confirmed, is_sudden };
        task.note_crash(crash.clone());
        let crashes = task.crashes().len();
        let is_given_up = suspicion(task.crashes()) == Suspicion::Plain;
        let (run, executor) = (task.run, id.clone());
        self.blames.push(Blame { task: key, run, executor, crash, crashes, is_given_up });
    }

    /// Ends the job of a task with plain evidence against it.
    pub(super) fn give_up_if_plain(&mut self, now: Now, task_ref: &TaskRef) {
        let Some(job) = self.jobs.get(&task_ref.0) else { return };
        let is_plain = suspicion(job.tasks[task_ref.1].crashes()) == Suspicion::Plain;
        if is_plain && !job.is_over() {
            self.finish(now, &task_ref.0, JobOutcome::Failed);
        }
    }
}

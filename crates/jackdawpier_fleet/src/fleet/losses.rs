//! Executors whose lives are over: what ran there is released, and named for the log.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::Fleet;
use crate::{
    executor::{Executor, TaskRef},
    job::{Phase, Task},
    spec::{RunNumber, TaskKey},
};

/// An executor that a list of machines has named within this time was alive: a few listings.
const NAMED_LATELY: Duration = Duration::from_secs(1);

/// How it is known that an executor runs nothing any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossEvidence {
    /// The list of machines doesn't name it.
    Unlisted,
    /// Its machine was moved or maintained.
    Taken,
    /// The list of machines doesn't name it, and an order about its machine had left: it was taken, or has crashed.
    PerhapsTaken,
    /// It has started again under its id.
    Restarted,
    /// It has been silent for so long that all it ran has lapsed.
    Lapsed,
}

/// A run that was lost with its executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: RunNumber,
    /// How long ago the executor confirmed the start; none if it never did, or to an earlier owner.
    pub age: Option<Duration>,
}

/// An executor that had tasks when its life was over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorLoss {
    /// The executor.
    pub executor: ExecutorId,
    /// How it is known.
    pub evidence: LossEvidence,
    /// How long ago it answered last; none if it never did under this ownership.
    pub silent_for: Option<Duration>,
    /// The runs that were ordered there.
    pub runs: Vec<LostRun>,
}

impl Fleet {
    /// Executors that were lost with tasks since the last call.
    pub fn take_executor_losses(&mut self) -> Vec<ExecutorLoss> {
        std::mem::take(&mut self.losses)
    }

    /// Releases what ran on an executor, and blames it if the executor may have crashed.
    pub(super) fn release_lost_executor(
        &mut self,
        now: Now,
        id: &ExecutorId,
        evidence: LossEvidence,
    ) {
        let Some(executor) = self.executors.get(id) else { return };
        let signs = executor.last_signs();
        let is_lapsed = evidence == LossEvidence::Lapsed;
        // The registry names it for seconds more, and each list of machines says again that it is gone.
        let is_news = !executor.is_over;
        let ordered_at = self.machines.ordered_at(id);
        let crash = executor.crash_by(now, evidence, ordered_at);
        let tasks: Vec<TaskRef> = executor.tasks.iter().cloned().collect();
        self.note_loss(now, id, evidence, &tasks);
        if is_lapsed {
            self.machines.note_lapsed(id);
        }
        if is_news && crash != Certainty::No {
            self.note_crash(now, id, crash == Certainty::Yes, signs, &tasks);
        }
        tasks.iter().for_each(|task| self.end_run(now, task, None));
    }

    /// Notes for the log which runs are lost.
    pub(super) fn note_loss(
        &mut self,
        now: Now,
        id: &ExecutorId,
        evidence: LossEvidence,
        tasks: &[TaskRef],
    ) {
        let Some(executor) = self.executors.get(id) else { return };
        let runs: Vec<LostRun> = tasks
            .iter()
            .filter_map(|(job_id, index)| {
                let job = self.jobs.get(job_id)?;
                let task = &job.tasks[*index];
                let is_ordered = !matches!(task.phase, Phase::Planned { .. });
                is_ordered.then(|| LostRun {
                    task: job.key(*index),
                    run: task.run,
                    age: age(now, task),
                })
            })
            .collect();
        if runs.is_empty() {
            return;
        }
        let silent_for = executor.heard_at().map(|at| now.saturating_sub(at));
        self.losses.push(ExecutorLoss { executor: id.clone(), evidence, silent_for, runs });
    }
}

/// Whether something is so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Certainty {
    No,
    Perhaps,
    Yes,
}

impl Executor {
    /// Whether an executor that is lost has crashed: it wasn't taken away, had said nothing of leaving, and isn't
    /// merely cut off. `ordered_at` is when an order about its machine left.
    fn crash_by(&self, now: Now, evidence: LossEvidence, ordered_at: Option<Now>) -> Certainty {
        if self.info.as_ref().is_some_and(|info| info.is_draining) {
            return Certainty::No;
        }
        let heard_at = self.heard_at().unwrap_or(self.known_at);
        let fell_silent_before = |at: Now| self.failed_at.is_some_and(|failed_at| failed_at < at);
        match evidence {
            LossEvidence::PerhapsTaken => Certainty::Perhaps,
            LossEvidence::Taken if ordered_at.is_some_and(fell_silent_before) => Certainty::Perhaps,
            LossEvidence::Taken => Certainty::No,
            LossEvidence::Lapsed if self.is_listed || self.named_at + NAMED_LATELY >= now => {
                Certainty::No
            }
            LossEvidence::Lapsed if self.named_at > heard_at => Certainty::Perhaps,
            LossEvidence::Unlisted | LossEvidence::Restarted | LossEvidence::Lapsed => {
                Certainty::Yes
            }
        }
    }
}

fn age(now: Now, task: &Task) -> Option<Duration> {
    let confirmed_at = task.confirmed_at.filter(|at| *at > Now::ZERO)?;
    Some(now.saturating_sub(confirmed_at))
}

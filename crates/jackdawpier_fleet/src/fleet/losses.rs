//! Executors whose lives are over, and what ran there: for the log.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::Fleet;
use crate::{
    job::Phase,
    spec::{RunNumber, TaskKey},
};

/// How it is known that an executor runs nothing any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossEvidence {
    /// The list of machines doesn't name it.
    Unlisted,
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
    /// How long ago the executor confirmed the start; none if it never did.
    pub age: Option<Duration>,
}

/// An executor that had tasks when its life was over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
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
    pub fn take_losses(&mut self) -> Vec<Loss> {
        std::mem::take(&mut self.losses)
    }

    /// Notes what an executor takes along that is about to be given up.
    pub(super) fn note_loss(&mut self, now: Now, id: &ExecutorId, evidence: LossEvidence) {
        let Some(executor) = self.executors.get(id) else { return };
        let runs: Vec<LostRun> = executor
            .tasks
            .iter()
            .filter_map(|(job_id, index)| {
                let job = self.jobs.get(job_id)?;
                let task = &job.tasks[*index];
                let age = match &task.phase {
                    Phase::Planned { .. } => return None,
                    Phase::Running { since, .. } => Some(now.saturating_sub(*since)),
                    _ => None,
                };
                Some(LostRun { task: job.key(*index), run: task.run, age })
            })
            .collect();
        if runs.is_empty() {
            return;
        }
        let silent_for = executor.heard_at().map(|at| now.saturating_sub(at));
        self.losses.push(Loss { executor: id.clone(), evidence, silent_for, runs });
    }
}

//! Releases the runs of lost executors, and records them for the log.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::Fleet;
use crate::{
    executor::{Executor, TaskRef},
    job::{Phase, Task},
    spec::{RunNumber, TaskKey},
};

/// An executor that was in a list of machines this recently is taken for alive: a few listing intervals.
const RECENTLY_LISTED: Duration = Duration::from_secs(1);

/// The evidence that an executor no longer runs anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossEvidence {
    /// It isn't in the list of machines.
    Unlisted,
    /// Its machine was moved or taken for maintenance.
    Taken,
    /// It isn't in the list of machines, and an order for its machine had been sent: either the machine
    /// was taken or the executor has crashed.
    PerhapsTaken,
    /// It has restarted under the same id.
    Restarted,
    /// It has been silent for so long that the leases of all its runs have lapsed.
    Lapsed,
}

/// A run that was lost with its executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// The run number.
    pub run: RunNumber,
    /// Time since the executor confirmed the start; none if it didn't, or confirmed it to a previous owner.
    pub confirmed_age: Option<Duration>,
}

/// An executor that was lost with runs on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorLoss {
    /// The executor.
    pub executor: ExecutorId,
    /// The evidence of the loss.
    pub evidence: LossEvidence,
    /// Time since its last answer; none if it never answered this owner.
    pub silent_for: Option<Duration>,
    /// The runs that had been ordered there.
    pub runs: Vec<LostRun>,
}

impl Fleet {
    /// Takes the executors that were lost with runs on them since the last call.
    pub fn take_executor_losses(&mut self) -> Vec<ExecutorLoss> {
        std::mem::take(&mut self.losses)
    }

    /// Releases the runs of a lost executor, and counts the loss against them if it may have crashed.
    pub(super) fn release_lost_executor(
        &mut self,
        now: Now,
        id: &ExecutorId,
        evidence: LossEvidence,
    ) {
        let Some(executor) = self.executors.get(id) else { return };
        let contact = executor.last_contact();
        let is_lapsed = evidence == LossEvidence::Lapsed;
        // The loss is reported repeatedly: the registry still has the executor for seconds, and each
        // list of machines shows again that it is missing.
        let is_first_notice = !executor.has_ended;
        let ordered_at = self.machines.ordered_at(id);
        let crash = executor.crash_likelihood(now, evidence, ordered_at);
        let tasks: Vec<TaskRef> = executor.tasks.iter().cloned().collect();
        self.note_loss(now, id, evidence, &tasks);
        if is_lapsed {
            self.machines.note_executor_ended(id);
        }
        if is_first_notice && crash != Likelihood::Excluded {
            self.note_crash(now, id, crash == Likelihood::Certain, contact, &tasks);
        }
        tasks.iter().for_each(|task| self.end_run(now, task, None));
    }

    /// Records the lost runs for the log.
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
                    confirmed_age: confirmed_age(now, task),
                })
            })
            .collect();
        if runs.is_empty() {
            return;
        }
        let silent_for = executor.clock_read_at().map(|at| now.saturating_sub(at));
        self.losses.push(ExecutorLoss { executor: id.clone(), evidence, silent_for, runs });
    }
}

/// How likely it is that a lost executor has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Likelihood {
    Excluded,
    Possible,
    Certain,
}

impl Executor {
    /// Returns how likely a lost executor has crashed, rather than been taken with its machine,
    /// drained, or partitioned. `ordered_at` is when an order for its machine was sent.
    fn crash_likelihood(
        &self,
        now: Now,
        evidence: LossEvidence,
        ordered_at: Option<Now>,
    ) -> Likelihood {
        if self.info.as_ref().is_some_and(|info| info.is_draining) {
            return Likelihood::Excluded;
        }
        let clock_read_at = self.clock_read_at().unwrap_or(self.known_at);
        let fell_silent_before = |at: Now| self.failed_at.is_some_and(|failed_at| failed_at < at);
        match evidence {
            LossEvidence::PerhapsTaken => Likelihood::Possible,
            LossEvidence::Taken if ordered_at.is_some_and(fell_silent_before) => {
                Likelihood::Possible
            }
            LossEvidence::Taken => Likelihood::Excluded,
            LossEvidence::Lapsed
                if self.is_listed || self.last_listed_at + RECENTLY_LISTED >= now =>
            {
                Likelihood::Excluded
            }
            LossEvidence::Lapsed if self.last_listed_at > clock_read_at => Likelihood::Possible,
            LossEvidence::Unlisted | LossEvidence::Restarted | LossEvidence::Lapsed => {
                Likelihood::Certain
            }
        }
    }
}

fn confirmed_age(now: Now, task: &Task) -> Option<Duration> {
    let confirmed_at = task.confirmed_at.filter(|at| *at > Now::ZERO)?;
    Some(now.saturating_sub(confirmed_at))
}

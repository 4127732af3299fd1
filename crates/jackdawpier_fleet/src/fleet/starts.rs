//! Outcomes of start orders.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{Fleet, StopReason};
use crate::{
    job::{Phase, Task},
    spec::{RunNumber, TaskKey},
};

/// Outcome of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task is running.
    Started,
    /// Refused for lack of room. Nothing was done.
    NoRoom,
    /// Refused because this run, or a later one, has already ended there.
    RunIsOver,
    /// Refused because the lease would have expired. Nothing was done.
    TooLate,
    /// Refused because the ticket of the placement advisor isn't valid. Nothing was done.
    BadTicket,
    /// The executor is unhealthy, or another one runs at its address. Nothing was done.
    Unavailable,
    /// The order wasn't sent because the executor had just failed to take another one, or had started again since the
    /// task was placed there.
    Withheld,
    /// The order is malformed. Nothing was done.
    Invalid,
    /// No answer. The task may have started or may still start.
    Unanswered,
}

impl StartOutcome {
    /// Whether the addressed executor has answered.
    fn is_answer(self) -> bool {
        match self {
            Self::Started | Self::NoRoom | Self::RunIsOver | Self::TooLate | Self::BadTicket => {
                true
            }
            Self::Unavailable | Self::Withheld | Self::Invalid | Self::Unanswered => false,
        }
    }
}

/// Whether a start order may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartPermission {
    /// It may.
    Granted,
    /// The start is no longer wanted.
    Withdrawn,
    /// The executor has started again since the task was placed there: its labels and its room may be others.
    OtherIncarnation,
}

/// Time without placements on an executor that refused a start for lack of room. About the interval
/// of its reports of free room.
const AVOID_AFTER_REFUSAL: Duration = Duration::from_millis(400);
/// Time without placements on an executor that doesn't answer or isn't healthy. Longer than after a
/// refusal, so that few tasks wait for its timeouts.
const AVOID_AFTER_NO_ANSWER: Duration = Duration::from_millis(1500);
/// Delay before a task is retried whose order was invalid, so that it can't flood the command
/// queue.
const INVALID_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Fleet {
    /// Returns whether a start order may be sent. Called right before each attempt.
    pub fn start_permission(
        &self,
        executor: &ExecutorId,
        key: &TaskKey,
        run: RunNumber,
    ) -> StartPermission {
        let found = self.jobs.get(&key.job).and_then(|job| Some(&job.tasks[job.index(key)?]));
        let is_wanted = |task: &&Task| {
            let is_starting =
                matches!(&task.phase, Phase::Starting { executor: at } if at == executor);
            is_starting && task.run == run
        };
        let Some(task) = found.filter(is_wanted) else { return StartPermission::Withdrawn };
        if task.placed_incarnation == self.executor_peer(executor).incarnation {
            StartPermission::Granted
        } else {
            StartPermission::OtherIncarnation
        }
    }

    /// Applies the outcome of a start order. `is_certain` is false if an earlier attempt of the
    /// same order went unanswered, so that a refusal of the last attempt doesn't prove that none is
    /// carried out.
    pub fn start_ended(
        &mut self,
        now: Now,
        executor_id: &str,
        key: &TaskKey,
        run: RunNumber,
        outcome: StartOutcome,
        is_certain: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(index) = job.index(key) else { return };
        let isolation_time = job.tasks[index].isolation_time(job.step(index).is_long_running);
        let Some(task) = job.tasks.get_whole_mut(index) else { return };
        let is_current = task.run == run
            && matches!(&task.phase, Phase::Starting { executor } if &**executor == executor_id);
        if !is_current {
            return;
        }
        let task_ref = (key.job.clone(), index);
        let mut executor = self.executors.get_mut(executor_id);
        if let Some(executor) = executor.as_deref_mut().filter(|_| outcome.is_answer()) {
            executor.answered_at = now;
        }
        match outcome {
            StartOutcome::Started => {
                let Phase::Starting { executor: at } = task.phase.clone() else { return };
                task.phase = Phase::Running { executor: at, since: now };
                task.confirmed_at = Some(now);
                if let Some(executor) = executor {
                    executor.note_confirmed_start(now, &task_ref, isolation_time);
                }
                task.speed_percent = 0;
                task.pace_percent = 100;
                if !job.has_begun {
                    job.has_begun = true;
                    self.mark_changed(&key.job);
                }
                return;
            }
            StartOutcome::NoRoom => {
                if let Some(executor) = executor {
                    executor.avoid_until = now + AVOID_AFTER_REFUSAL;
                }
            }
            StartOutcome::Unavailable | StartOutcome::Unanswered => {
                if let Some(executor) = executor {
                    executor.avoid_until = now + AVOID_AFTER_NO_ANSWER;
                }
            }
            StartOutcome::Invalid => task.not_before = now + INVALID_RETRY_DELAY,
            StartOutcome::BadTicket => {
                self.advice.reject_ticket(now, &key.into(), executor_id);
            }
            StartOutcome::RunIsOver | StartOutcome::TooLate | StartOutcome::Withheld => {}
        }
        let gang = job.step(index).is_gang.then(|| job.slot(index));
        let is_single_long_running = job.step(index).is_long_running && gang.is_none();
        let task = &mut job.tasks[index];
        if outcome == StartOutcome::Unanswered
            && (isolation_time.is_some() || is_single_long_running)
        {
            // The next report shows whether the task started. A stop would waste one of the few
            // starts of a suspect, and could reach a task that has been at work for long.
            task.unanswered_at = Some(now);
            return;
        }
        if is_certain && !matches!(outcome, StartOutcome::Unanswered | StartOutcome::RunIsOver) {
            task.note_refused();
            self.end_run(now, &task_ref, None);
        } else {
            self.stop_task(now, &task_ref, StopReason::StartUnsure);
        }
        if let Some(slot) = gang {
            self.stop_gang(now, &key.job, slot);
        }
    }
}

//! What becomes of orders to start and to stop.

use std::time::Duration;

use jackdawpier_kernel::Now;

use super::{Fleet, StopReason};
use crate::{
    job::Phase,
    spec::{RunNumber, TaskKey},
};

/// How an order to start ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task runs.
    Started,
    /// Refused for want of room; nothing was done.
    NoRoom,
    /// Refused because this run, or a later one, has ended there already.
    RunIsOver,
    /// Refused because the lease would have been over; nothing was done.
    TooLate,
    /// Refused because the placement advisor's ticket isn't valid; nothing was done.
    BadTicket,
    /// The executor is unhealthy or another one lives at its address; nothing was done.
    Unavailable,
    /// The order wasn't sent, since the executor had just failed to take another.
    Withheld,
    /// The order was wrong in itself; nothing was done.
    Invalid,
    /// No answer: it may have been started, or may yet be.
    Unanswered,
}

impl StartOutcome {
    /// Whether the executor that was meant has answered.
    fn is_answer(self) -> bool {
        match self {
            Self::Started | Self::NoRoom | Self::RunIsOver | Self::TooLate | Self::BadTicket => {
                true
            }
            Self::Unavailable | Self::Withheld | Self::Invalid | Self::Unanswered => false,
        }
    }
}

/// A refusing executor gets no placements for this long: about one report of its room.
const AVOID_AFTER_REFUSAL: Duration = Duration::from_millis(400);
/// Longer for one that doesn't answer or isn't healthy, so that few tasks wait on its timeouts.
const AVOID_AFTER_SILENCE: Duration = Duration::from_millis(1500);
/// A task whose order is invalid isn't tried again at once, so that it can't fill the channel.
const PAUSE_AFTER_INVALID: Duration = Duration::from_secs(1);

impl Fleet {
    /// An order to start has ended. `is_certain` is false if an earlier try of the same order went
    /// unanswered, so that a refusal of the last try doesn't prove that none is carried out.
    pub fn start_ended(
        &mut self,
        now: Now,
        executor_id: &str,
        key: &TaskKey,
        run: RunNumber,
        end: StartOutcome,
        is_certain: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(index) = job.index(key) else { return };
        let watched_for = job.tasks[index].watched_for(job.step(index).is_long_running);
        let task = &mut job.tasks[index];
        let is_current = task.run == run
            && matches!(&task.phase, Phase::Starting { executor } if &**executor == executor_id);
        if !is_current {
            return;
        }
        let task_ref = (key.job.clone(), index);
        let mut executor = self.executors.get_mut(executor_id);
        if let Some(executor) = executor.as_deref_mut().filter(|_| end.is_answer()) {
            executor.answered_at = now;
        }
        match end {
            StartOutcome::Started => {
                let Phase::Starting { executor: at } = task.phase.clone() else { return };
                task.phase = Phase::Running { executor: at, since: now };
                task.confirmed_at = Some(now);
                if let Some(executor) = executor {
                    executor.has_begun(now, &task_ref, watched_for);
                }
                task.percent = 0;
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
                    executor.avoid_until = now + AVOID_AFTER_SILENCE;
                }
            }
            StartOutcome::Invalid => task.not_before = now + PAUSE_AFTER_INVALID,
            StartOutcome::BadTicket => {
                let slot = job.slot(index);
                self.advice.remove(&(key.job.clone(), slot));
            }
            StartOutcome::RunIsOver | StartOutcome::TooLate | StartOutcome::Withheld => {}
        }
        let gang = job.step(index).is_gang.then(|| job.slot(index));
        let lasts_alone = job.step(index).is_long_running && gang.is_none();
        let task = &mut job.tasks[index];
        if end == StartOutcome::Unanswered && (watched_for.is_some() || lasts_alone) {
            // The next report tells whether it began. A stop would spend a start of a suspect, and may come when the task has
            // been at work for long.
            task.unanswered_at = Some(now);
            return;
        }
        if is_certain && !matches!(end, StartOutcome::Unanswered | StartOutcome::RunIsOver) {
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

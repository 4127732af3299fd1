//! A task of a job: its phase, its runs and its crashes.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::ExecutorId};

use crate::{
    crash::{Crash, Retry, is_given_up, is_on_probation, isolation_time, retry},
    executor::IncarnationId,
    record::{TaskRecord, TaskStatus},
    spec::RunNumber,
};

/// Phase of a task in this process.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Phase {
    /// The task isn't placed and doesn't run.
    Waiting,
    /// Assigned to an executor; the placement isn't durable yet, so no order has been sent.
    Planned { executor: ExecutorId },
    /// The start order is in flight, or its answer was lost.
    Starting { executor: ExecutorId },
    /// The executor has confirmed the start.
    Running { executor: ExecutorId, since: Now },
    /// Placed by a previous owner; the executor hasn't reported to this owner yet.
    Inherited { executor: ExecutorId },
    /// The task has been ordered to stop.
    Stopping { executor: ExecutorId, order: StopOrder },
    /// The task completed successfully, or its job has ended and it isn't placed.
    Done,
}

/// Progress of a stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopOrder {
    /// The order is about to be sent, or in flight.
    InFlight,
    /// No attempt was accepted; one may still be executed.
    Unanswered,
    /// The executor has accepted the order.
    Taken { at: Now },
}

impl Phase {
    /// Returns the executor on which the task allocates resources, if any.
    pub(crate) fn executor(&self) -> Option<&ExecutorId> {
        match self {
            Self::Waiting | Self::Done => None,
            Self::Planned { executor }
            | Self::Starting { executor }
            | Self::Running { executor, .. }
            | Self::Inherited { executor }
            | Self::Stopping { executor, .. } => Some(executor),
        }
    }

    /// Returns whether the task is placed and hasn't been ordered to stop.
    pub(crate) fn may_be_stopped(&self) -> bool {
        self.executor().is_some() && !matches!(self, Self::Stopping { .. })
    }
}

/// State of a task.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) phase: Phase,
    pub(crate) run: RunNumber,
    /// Runs that ended in failure.
    failed_runs: Vec<RunNumber>,
    /// Runs during which the executor crashed.
    crashes: Vec<Crash>,
    /// Runs after the first crash that certainly never started.
    refused_runs: Vec<RunNumber>,
    /// The task is suspected of crashing executors: a long-running task is retried after a back-off, any other
    /// isn't started again.
    pub(crate) is_given_up: bool,
    /// Incarnation of the executor that the task was last placed on, if known.
    pub(crate) placed_incarnation: Option<IncarnationId>,
    /// When the start order of the current run was sent.
    pub(crate) ordered_at: Now,
    /// When the start order was found to have no answer, if the executor's report is awaited before the run is
    /// stopped.
    pub(crate) unanswered_at: Option<Now>,
    /// When the executor confirmed the current run; [`Now::ZERO`] if to a previous owner.
    pub(crate) confirmed_at: Option<Now>,
    pub(crate) checkpoint: Box<str>,
    /// Time until which a reverted order to stop the current run may still be executed.
    pub(crate) late_stop_until: Now,
    /// When the executor last reported the current run.
    pub(crate) last_reported_at: Option<Now>,
    /// Last reported share of the full speed, in percent.
    pub(crate) speed_percent: u32,
    /// Last ordered share of the full speed, in percent.
    pub(crate) pace_percent: u32,
    /// Since when the task has been running at full speed without interruption.
    pub(crate) at_work_since: Option<Now>,
    /// Time before which the task isn't placed.
    pub(crate) not_before: Now,
    /// Since when the task has been startable without running.
    pub(crate) waiting_since: Now,
}

impl Task {
    /// Returns a task that was never placed.
    pub(super) fn new() -> Self {
        Self {
            phase: Phase::Waiting,
            run: 0,
            failed_runs: Vec::new(),
            crashes: Vec::new(),
            refused_runs: Vec::new(),
            is_given_up: false,
            placed_incarnation: None,
            ordered_at: Now::ZERO,
            unanswered_at: None,
            confirmed_at: None,
            checkpoint: "".into(),
            late_stop_until: Now::ZERO,
            last_reported_at: None,
            speed_percent: 100,
            pace_percent: 100,
            at_work_since: None,
            not_before: Now::ZERO,
            waiting_since: Now::ZERO,
        }
    }

    /// Returns a task that is done in this run, or that doesn't start again because its job has ended.
    pub(super) fn settled(run: RunNumber) -> Self {
        Self { phase: Phase::Done, run, ..Self::new() }
    }

    /// Returns the task of a record. A placed one becomes [`Phase::Inherited`].
    pub(super) fn restored(record: &TaskRecord) -> Self {
        let phase = match &record.status {
            TaskStatus::Waiting => Phase::Waiting,
            TaskStatus::Placed(executor) => Phase::Inherited { executor: executor.clone() },
            TaskStatus::Done => Phase::Done,
        };
        Self {
            phase,
            run: record.run,
            failed_runs: record.failed_runs.clone(),
            crashes: record.crashes.clone(),
            refused_runs: record.refused_runs.clone(),
            is_given_up: record.is_given_up,
            placed_incarnation: record.placed_incarnation,
            checkpoint: record.checkpoint.clone(),
            ..Self::new()
        }
    }

    /// Lets a task continue that its executor still reports, if no attempt to stop it was accepted. An attempt may
    /// still be executed within `max_delay`.
    pub(crate) fn revert_stop(&mut self, now: Now, max_delay: Duration) {
        if let Phase::Stopping { executor, order: StopOrder::Unanswered } = &self.phase {
            self.phase = Phase::Running { executor: executor.clone(), since: now };
            self.late_stop_until = now + max_delay;
        }
    }

    /// Records a failed run; repeated reports count once.
    pub(crate) fn note_failure(&mut self, run: RunNumber) {
        if !self.failed_runs.contains(&run) {
            self.failed_runs.push(run);
        }
    }

    /// Returns the number of failed runs.
    pub(crate) fn failures(&self) -> u32 {
        self.failed_runs.len() as u32
    }

    /// Records a run during which the executor crashed; returns false if it is already known.
    pub(crate) fn note_crash(&mut self, crash: Crash) -> bool {
        let is_new = self.crashes.iter().all(|known| known.run != crash.run);
        if is_new {
            self.crashes.push(crash);
        }
        is_new
    }

    /// Attributes the crash of a run to another task, unless the start of this one was isolated; returns whether
    /// anything changed.
    pub(crate) fn attribute_crash_elsewhere(&mut self, run: RunNumber) -> bool {
        let crash = self.crashes.iter_mut().find(|crash| crash.run == run && !crash.is_isolated);
        crash.is_some_and(|crash| !std::mem::replace(&mut crash.has_other_cause, true))
    }

    /// Clears the crashes of a task that has run long enough not to be their cause; returns whether there were any.
    pub(crate) fn clear_crashes(&mut self) -> bool {
        let is_new = self.is_given_up || !self.crashes.is_empty();
        self.is_given_up = false;
        self.crashes.clear();
        self.refused_runs.clear();
        is_new
    }

    /// Records that the current run was refused, so that it doesn't count as a start, unless the executor may have
    /// crashed during it.
    pub(crate) fn note_refused(&mut self) {
        let has_no_crash = self.crashes.iter().all(|crash| crash.run != self.run);
        if has_no_crash && !self.crashes.is_empty() && !self.refused_runs.contains(&self.run) {
            self.refused_runs.push(self.run);
        }
    }

    /// Returns whether the crashes of its executors keep the task from being started again.
    pub(crate) fn is_given_up_after_crashes(&self, is_long_running: bool) -> bool {
        is_given_up(&self.crashes, self.run, &self.refused_runs, is_long_running)
    }

    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns for how long the start of the task is isolated; `None` if it isn't.
    pub(crate) fn isolation_time(&self, is_long_running: bool) -> Option<Duration> {
        isolation_time(&self.crashes, is_long_running)
    }

    /// Returns whether the next start of the task, a long-running one, is on probation.
    pub(super) fn is_on_probation(&self) -> bool {
        is_on_probation(&self.crashes)
    }

    /// Returns when the task, a long-running one, may start again, given the crashes of its executors.
    pub(super) fn retry(&self) -> Retry {
        match retry(&self.crashes, self.run, &self.refused_runs) {
            // The back-off already passed before the run that was refused.
            Retry::After(_) if self.refused_runs.contains(&self.run) => {
                Retry::After(Duration::ZERO)
            }
            retry => retry,
        }
    }

    /// Returns the durable record of the task.
    pub(super) fn record(&self) -> TaskRecord {
        let status = match (&self.phase, self.phase.executor()) {
            (Phase::Done, _) => TaskStatus::Done,
            (_, Some(executor)) => TaskStatus::Placed(executor.clone()),
            (_, None) => TaskStatus::Waiting,
        };
        TaskRecord {
            placed_incarnation: self
                .placed_incarnation
                .filter(|_| matches!(status, TaskStatus::Placed(_))),
            status,
            run: self.run,
            failed_runs: self.failed_runs.clone(),
            crashes: self.crashes.clone(),
            refused_runs: self.refused_runs.clone(),
            is_given_up: self.is_given_up,
            checkpoint: self.checkpoint.clone(),
        }
    }
}

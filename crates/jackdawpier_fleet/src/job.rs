//! The in-memory state of a job: its tasks, which of them may start, and how far its record is durable.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{AccountName, ExecutorId, JobId, Revision},
};

use crate::{
    crash::{Crash, Retry, is_given_up, is_on_probation, isolation_time, retry},
    executor::IncarnationId,
    record::{JobOutcome, JobRecord, LastStart, LeftoverUsage, Reruns, TaskRecord, TaskStatus},
    spec::{JobSpec, QueueName, Resources, RunNumber, StepSpec, Submission, TaskKey},
};

/// Index of a task in its job's flat list of tasks.
pub type TaskIndex = usize;

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
    /// The task completed successfully.
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
}

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
    fn new() -> Self {
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

    fn record(&self) -> TaskRecord {
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

/// Progress of one step of one occurrence.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepProgress {
    /// Number of tasks that haven't completed yet.
    pub(crate) remaining: u32,
    /// Whether the tasks may start.
    pub(crate) is_open: bool,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) queue: QueueName,
    pub(crate) account: Option<AccountName>,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) tasks: Vec<Task>,
    pub(crate) progress: Vec<StepProgress>,
    /// When each occurrence began: at its due time, or at the job's acceptance.
    began_at: Vec<Now>,
    /// Queue of the tasks that wait for an executor.
    pub(crate) startable: VecDeque<TaskIndex>,
    /// When a task of the job was last placed.
    pub(crate) last_placed_at: Option<Now>,
    pub(crate) outcome: Option<JobOutcome>,
    /// Time of the job's end, in milliseconds since 1970.
    pub(crate) ended_ms: u64,
    pub(crate) is_cancelled: bool,
    pub(crate) has_begun: bool,
    /// Whether the job exceeded the share of its client account when this owner learned of it.
    pub(crate) is_over_share: bool,
    /// Whether the job's arrival has been counted for the load note.
    pub(crate) is_arrival_reported: bool,
    /// Whether a previous owner ordered any task to start more than once.
    had_rerun: bool,
    /// What the record of an ended job says of its tasks; `None` if the job ended under this owner, or is open.
    recorded_reruns: Option<Reruns>,
    /// Estimated time of the longest chain from each step to the end.
    pub(crate) remaining_chains: Vec<Duration>,
    first_task_of_step: Vec<usize>,
    tasks_per_occurrence: usize,
    /// Number of changes of the state to persist.
    pub(crate) changes: u64,
    /// Executors with unacknowledged ends, each with the number of changes that must be durable first.
    pub(crate) unacknowledged_ends: Vec<(u64, ExecutorId)>,
    pub(crate) durable_changes: u64,
    pub(crate) is_writing: bool,
    pub(crate) is_dirty: bool,
    pub(crate) revision: Revision,
    /// The outcome, once it is durable and may be shown to callers.
    pub(crate) durable_outcome: Option<JobOutcome>,
}

impl Job {
    pub(crate) fn new(id: JobId, submission: Submission, accepted_at: Now) -> Self {
        let spec = Arc::new(submission.spec);
        let first_task_of_step: Vec<usize> = spec
            .steps
            .iter()
            .scan(0, |next, step| {
                let first = *next;
                *next += step.count as usize;
                Some(first)
            })
            .collect();
        let tasks_per_occurrence = spec.steps.iter().map(|step| step.count as usize).sum();
        let occurrences = spec.occurrences() as usize;
        let occurrence_progress: Vec<StepProgress> = spec
            .steps
            .iter()
            .map(|step| StepProgress { remaining: step.count, is_open: false })
            .collect();
        Self {
            id,
            queue: submission.queue,
            account: submission.account,
            tasks: vec![Task::new(); tasks_per_occurrence * occurrences],
            progress: occurrence_progress.repeat(occurrences),
            began_at: vec![accepted_at; occurrences],
            startable: VecDeque::new(),
            last_placed_at: None,
            outcome: None,
            ended_ms: 0,
            is_cancelled: false,
            has_begun: false,
            is_over_share: false,
            is_arrival_reported: false,
            had_rerun: false,
            recorded_reruns: None,
            remaining_chains: spec.remaining_chains(),
            first_task_of_step,
            tasks_per_occurrence,
            changes: 0,
            unacknowledged_ends: Vec::new(),
            durable_changes: 0,
            is_writing: false,
            is_dirty: false,
            revision: 0,
            durable_outcome: None,
            spec,
        }
    }

    /// Restores the record of a previous owner. Placed tasks become [`Phase::Inherited`].
    pub(crate) fn restore(&mut self, record: &JobRecord, revision: Revision) {
        self.revision = revision;
        self.outcome = record.outcome;
        self.durable_outcome = record.outcome;
        self.has_begun = record.has_begun;
        self.had_rerun = record.has_rerun;
        self.recorded_reruns = record.outcome.map(|_| record.reruns());
        for (index, (task, stored)) in self.tasks.iter_mut().zip(&record.tasks).enumerate() {
            task.run = stored.run;
            task.failed_runs.clone_from(&stored.failed_runs);
            task.crashes.clone_from(&stored.crashes);
            task.refused_runs.clone_from(&stored.refused_runs);
            task.is_given_up = stored.is_given_up;
            task.placed_incarnation = stored.placed_incarnation;
            task.checkpoint.clone_from(&stored.checkpoint);
            match &stored.status {
                TaskStatus::Waiting => {}
                TaskStatus::Placed(executor) => {
                    task.phase = Phase::Inherited { executor: executor.clone() };
                }
                TaskStatus::Done => {
                    task.phase = Phase::Done;
                    let per_occurrence = self.tasks_per_occurrence;
                    let step = step_at(&self.first_task_of_step, index % per_occurrence);
                    let steps = self.first_task_of_step.len();
                    self.progress[index / per_occurrence * steps + step].remaining -= 1;
                }
            }
        }
    }

    /// Returns the durable record of the current state.
    pub(crate) fn record(&self) -> JobRecord {
        let tasks = match self.outcome {
            Some(_) => Vec::new(),
            None => self.tasks.iter().map(Task::record).collect(),
        };
        let has_rerun = self.had_rerun || self.tasks.iter().any(|task| task.run > 1);
        JobRecord {
            outcome: self.outcome,
            account: self.account.clone(),
            tombstone: None,
            remains: self.remains(),
            has_begun: self.has_begun,
            has_rerun,
            last_starts: self.outcome.filter(|_| has_rerun).and_then(|_| self.last_starts()),
            tasks,
        }
    }

    /// Returns whether the job has ended, its end is durable, and none of its tasks may still run.
    pub(crate) fn is_settled(&self) -> bool {
        let is_durable = !self.is_writing && self.durable_changes == self.changes;
        let is_placed = |task: &Task| task.phase.executor().is_some();
        self.durable_outcome.is_some() && is_durable && !self.tasks.iter().any(is_placed)
    }

    /// Returns what is known of tasks that were started more than once, once the job is over.
    pub(crate) fn reruns(&self) -> Reruns {
        self.last_starts().map_or(Reruns::Unknown, Reruns::Known)
    }

    /// Returns the last starts for the record of the ended job; `None` if a record of an earlier version doesn't
    /// tell them.
    fn last_starts(&self) -> Option<Vec<LastStart>> {
        match &self.recorded_reruns {
            Some(Reruns::Known(last_starts)) => return Some(last_starts.clone()),
            Some(Reruns::Unknown) => return None,
            None => {}
        }
        let rerun = self
            .tasks
            .iter()
            .enumerate()
            .filter(|(index, task)| task.run > 1 && self.step(*index).counts_completions());
        let last_starts = rerun.map(|(index, task)| {
            let TaskKey { occurrence, step, index, .. } = self.key(index);
            LastStart { occurrence, step, index, run: task.run }
        });
        Some(last_starts.collect())
    }

    /// Returns the resources that a finished job may still use; `None` if there are none, or if the job belongs to
    /// no account.
    fn remains(&self) -> Option<LeftoverUsage> {
        self.account.as_ref().filter(|_| self.is_over())?;
        let mut amount = Resources::default();
        for (index, task) in self.tasks.iter().enumerate() {
            if task.phase.executor().is_some() {
                amount.add(&self.step(index).need);
            }
        }
        (amount != Resources::default())
            .then_some(LeftoverUsage { amount, ended_ms: self.ended_ms })
    }

    /// Returns whether a task may have been started again after this run.
    pub(crate) fn may_be_superseded(&self, index: TaskIndex, run: RunNumber) -> bool {
        match &self.recorded_reruns {
            Some(reruns) => reruns.may_be_superseded(&self.key(index), run),
            None => self.tasks[index].run > run,
        }
    }

    pub(crate) fn is_over(&self) -> bool {
        self.outcome.is_some()
    }

    pub(crate) fn step_number(&self, index: TaskIndex) -> usize {
        step_at(&self.first_task_of_step, index % self.tasks_per_occurrence)
    }

    pub(crate) fn step(&self, index: TaskIndex) -> &StepSpec {
        &self.spec.steps[self.step_number(index)]
    }

    /// Returns the slot of a task: the index of its step over the steps of all occurrences.
    pub(crate) fn slot(&self, index: TaskIndex) -> usize {
        let occurrence = index / self.tasks_per_occurrence;
        occurrence * self.spec.steps.len() + self.step_number(index)
    }

    /// Returns all tasks of a slot, see [`Self::slot`].
    pub(crate) fn tasks_in_slot(&self, slot: usize) -> std::ops::Range<TaskIndex> {
        let (occurrence, step) = (slot / self.spec.steps.len(), slot % self.spec.steps.len());
        let first = occurrence * self.tasks_per_occurrence + self.first_task_of_step[step];
        first..first + self.spec.steps[step].count as usize
    }

    pub(crate) fn key(&self, index: TaskIndex) -> TaskKey {
        let step = self.step_number(index);
        let within = index % self.tasks_per_occurrence - self.first_task_of_step[step];
        TaskKey {
            job: self.id.clone(),
            occurrence: (index / self.tasks_per_occurrence) as u32,
            step: step as u32,
            index: within as u32,
        }
    }

    pub(crate) fn index(&self, key: &TaskKey) -> Option<TaskIndex> {
        let step = key.step as usize;
        let is_known = key.occurrence < self.spec.occurrences()
            && step < self.spec.steps.len()
            && key.index < self.spec.steps[step].count;
        is_known.then(|| {
            key.occurrence as usize * self.tasks_per_occurrence
                + self.first_task_of_step[step]
                + key.index as usize
        })
    }

    /// Opens the steps that are due and whose dependencies have completed.
    pub(crate) fn open_steps(&mut self, now: Now, wall_ms: u64) {
        if self.is_over() || self.is_cancelled {
            return;
        }
        let steps = self.spec.steps.len();
        for slot in 0..self.progress.len() {
            let progress = self.progress[slot];
            if progress.is_open || progress.remaining == 0 {
                continue;
            }
            let (occurrence, step) = (slot / steps, slot % steps);
            let is_due = self.due_ms(occurrence).is_none_or(|due_ms| due_ms <= wall_ms);
            let is_ready = self.spec.steps[step]
                .after
                .iter()
                .all(|&after| self.progress[occurrence * steps + after].remaining == 0);
            if is_due && is_ready {
                self.progress[slot].is_open = true;
                if let Some(due_ms) = self.due_ms(occurrence) {
                    let delay = Duration::from_millis(wall_ms.saturating_sub(due_ms));
                    self.began_at[occurrence] = now.saturating_sub(delay);
                }
                for index in self.tasks_in_slot(slot) {
                    if self.tasks[index].phase == Phase::Waiting {
                        self.enqueue(now, index);
                    }
                }
            }
        }
    }

    /// Appends a task to the queue of startable tasks, unless its crashes keep it from starting now.
    pub(crate) fn enqueue(&mut self, now: Now, index: TaskIndex) {
        if self.retry(index) == Retry::AtOnce {
            self.enqueue_now(now, index);
        }
    }

    /// Appends a task to the queue of startable tasks, also after a crash back-off.
    pub(crate) fn enqueue_now(&mut self, now: Now, index: TaskIndex) {
        self.tasks[index].waiting_since = now;
        self.startable.push_back(index);
    }

    /// Returns when a task may start again, given the crashes of its executors.
    pub(crate) fn retry(&self, index: TaskIndex) -> Retry {
        let (step, task) = (self.step(index), &self.tasks[index]);
        if !step.is_long_running || step.is_gang {
            return if task.is_given_up { Retry::Never } else { Retry::AtOnce };
        }
        match retry(&task.crashes, task.run, &task.refused_runs) {
            // The back-off already passed before the run that was refused.
            Retry::After(_) if task.refused_runs.contains(&task.run) => {
                Retry::After(Duration::ZERO)
            }
            retry => retry,
        }
    }

    /// Returns whether the next start of a long-running task is on probation.
    pub(crate) fn is_on_probation(&self, index: TaskIndex) -> bool {
        let step = self.step(index);
        step.is_long_running && !step.is_gang && is_on_probation(&self.tasks[index].crashes)
    }

    /// Returns the due time of an occurrence, in milliseconds since 1970; `None` for a job without a schedule.
    pub(crate) fn due_ms(&self, occurrence: usize) -> Option<u64> {
        let schedule = self.spec.schedule?;
        Some(schedule.first_ms + schedule.interval_ms * occurrence as u64)
    }

    /// Marks the waiting tasks of a gang as done, since the end of one member counts for all.
    pub(crate) fn finish_waiting_tasks(&mut self, slot: usize) {
        for index in self.tasks_in_slot(slot) {
            if self.tasks[index].phase == Phase::Waiting {
                self.tasks[index].phase = Phase::Done;
                self.progress[slot].remaining -= 1;
            }
        }
    }

    /// Returns whether a task that was ordered to stop may continue: the reason of the stop can wait until the step
    /// may lose a task, or no longer applies.
    pub(crate) fn may_continue(&self, index: TaskIndex) -> bool {
        let step = self.step(index);
        step.is_long_running && !step.is_gang && !self.is_over()
    }

    /// Returns whether any task runs until the job is cancelled.
    pub(crate) fn has_long_running_tasks(&self) -> bool {
        self.spec.steps.iter().any(|step| step.is_long_running)
    }

    /// Returns when the occurrence of the next startable task began.
    pub(crate) fn next_occurrence_began_at(&self) -> Now {
        let next = self.startable.front().copied().unwrap_or(0);
        self.began_at[next / self.tasks_per_occurrence.max(1)]
    }

    /// Returns whether occurrences are still to be opened.
    pub(crate) fn has_unopened_occurrence(&self) -> bool {
        self.spec.schedule.is_some()
            && self.progress.iter().any(|slot| !slot.is_open && slot.remaining > 0)
    }

    /// Returns the estimated time that the job needs once its next tasks start.
    pub(crate) fn remaining_estimate(&self) -> Duration {
        let steps = self.spec.steps.len();
        self.progress
            .iter()
            .enumerate()
            .filter(|(_, progress)| progress.remaining > 0 && progress.is_open)
            .map(|(slot, _)| self.remaining_chains[slot % steps])
            .max()
            .unwrap_or_default()
    }

    /// Returns the estimated time of the longest chain of the whole job.
    pub(crate) fn longest_chain(&self) -> Duration {
        self.remaining_chains.iter().copied().max().unwrap_or_default()
    }
}

fn step_at(first_task_of_step: &[usize], within: usize) -> usize {
    first_task_of_step.partition_point(|first| *first <= within) - 1
}

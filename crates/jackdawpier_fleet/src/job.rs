//! A job in memory: its tasks, what of it may start, and how far its record is durable.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{AccountName, ExecutorId, JobId, Revision},
};

use crate::{
    crash::{Crash, Retry, is_given_up, is_on_probation, isolation_time, retry},
    executor::IncarnationId,
    record::{JobOutcome, JobRecord, LeftoverUsage, TaskRecord, TaskStatus},
    spec::{JobSpec, QueueName, Resources, RunNumber, StepSpec, Submission, TaskKey},
};

/// Place of a task in the flat list of its job.
pub type TaskIndex = usize;

/// Where a task stands in this process.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Phase {
    /// Nothing of it runs anywhere.
    Waiting,
    /// Chosen for an executor; the placement isn't durable yet, so no order has left.
    Planned { executor: ExecutorId },
    /// The order to start is on its way, or its answer was lost.
    Starting { executor: ExecutorId },
    /// The executor has confirmed the start.
    Running { executor: ExecutorId, since: Now },
    /// An earlier owner placed it; the executor hasn't spoken under this ownership yet.
    Inherited { executor: ExecutorId },
    /// It has been ordered to stop.
    Stopping { executor: ExecutorId, order: StopOrder },
    /// It has ended well.
    Done,
}

/// How far an order to stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopOrder {
    /// It is about to leave, or on its way.
    UnderWay,
    /// No try of it was taken; one may yet be carried out.
    Unanswered,
    /// The executor has taken it.
    Taken { at: Now },
}

impl Phase {
    /// The executor on which the task takes room, if any.
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
    /// Runs during which their executors crashed.
    crashes: Vec<Crash>,
    /// Runs since the first crash that certainly never began.
    refused_runs: Vec<RunNumber>,
    /// Executors crash under it: it is tried again after a pause if it lasts, or else not started again.
    pub(crate) is_given_up: bool,
    /// The life of the executor that it was last placed on, if that is known.
    pub(crate) placed_incarnation: Option<IncarnationId>,
    /// When the order for the present run left.
    pub(crate) ordered_at: Now,
    /// When it is known that this order has no answer, if its executor is asked before the run is stopped.
    pub(crate) unanswered_at: Option<Now>,
    /// When the executor confirmed the present run; [`Now::ZERO`] if to an earlier owner.
    pub(crate) confirmed_at: Option<Now>,
    pub(crate) checkpoint: Box<str>,
    /// Until then an order to stop the present run may still be carried out, though it was taken back.
    pub(crate) late_stop_until: Now,
    /// When the executor last reported that the present run is there.
    pub(crate) last_reported_at: Option<Now>,
    /// Last share of its full speed that the executor reported, in percent.
    pub(crate) speed_percent: u32,
    /// Share of its full speed that was last ordered, in percent.
    pub(crate) pace_percent: u32,
    /// Since when it has been at work at full speed without a break.
    pub(crate) at_work_since: Option<Now>,
    /// Not to be placed before this time.
    pub(crate) not_before: Now,
    /// Since when it has been startable without running.
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

    /// Its executor lists it though it was ordered to stop, and no try of that was taken: it goes on. One of them may
    /// still be carried out within `late`.
    pub(crate) fn revert_stop(&mut self, now: Now, late: Duration) {
        if let Phase::Stopping { executor, order: StopOrder::Unanswered } = &self.phase {
            self.phase = Phase::Running { executor: executor.clone(), since: now };
            self.late_stop_until = now + late;
        }
    }

    /// Counts a run that ended in failure, once however often it is reported.
    pub(crate) fn note_failure(&mut self, run: RunNumber) {
        if !self.failed_runs.contains(&run) {
            self.failed_runs.push(run);
        }
    }

    /// Number of runs that ended in failure.
    pub(crate) fn failures(&self) -> u32 {
        self.failed_runs.len() as u32
    }

    /// Counts a run during which its executor crashed, and returns whether that is news.
    pub(crate) fn note_crash(&mut self, crash: Crash) -> bool {
        let is_new = self.crashes.iter().all(|known| known.run != crash.run);
        if is_new {
            self.crashes.push(crash);
        }
        is_new
    }

    /// Another task turned out to be the cause of the crash of this run, unless this one was watched;
    /// returns whether that is news.
    pub(crate) fn attribute_crash_elsewhere(&mut self, run: RunNumber) -> bool {
        let crash = self.crashes.iter_mut().find(|crash| crash.run == run && !crash.is_isolated);
        crash.is_some_and(|crash| !std::mem::replace(&mut crash.has_other_cause, true))
    }

    /// The executor lived on long enough for it to be no cause of earlier crashes; returns whether there were
    /// any.
    pub(crate) fn clear_crashes(&mut self) -> bool {
        let is_new = self.is_given_up || !self.crashes.is_empty();
        self.is_given_up = false;
        self.crashes.clear();
        self.refused_runs.clear();
        is_new
    }

    /// Its present run was refused, so it is no start that counts; unless its executor may have crashed under it.
    pub(crate) fn note_refused(&mut self) {
        let is_open = self.crashes.iter().all(|crash| crash.run != self.run);
        if is_open && !self.crashes.is_empty() && !self.refused_runs.contains(&self.run) {
            self.refused_runs.push(self.run);
        }
    }

    /// Whether executors have crashed under it so often that it isn't started again.
    pub(crate) fn is_given_up_after_crashes(&self, lasts: bool) -> bool {
        is_given_up(&self.crashes, self.run, &self.refused_runs, lasts)
    }

    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// For how long it is watched once it starts; none if it isn't.
    pub(crate) fn isolation_time(&self, lasts: bool) -> Option<Duration> {
        isolation_time(&self.crashes, lasts)
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

/// One step of one occurrence.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepProgress {
    /// Tasks that are not done yet.
    pub(crate) remaining: u32,
    /// Its tasks may start.
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
    /// When each occurrence began: at its due time, or with the job's acceptance.
    began_at: Vec<Now>,
    /// Tasks that wait for an executor, in the order in which they are tried.
    pub(crate) startable: VecDeque<TaskIndex>,
    /// When some of them last got one.
    pub(crate) last_placed_at: Option<Now>,
    pub(crate) outcome: Option<JobOutcome>,
    /// Time of day at which it was over.
    pub(crate) ended_ms: u64,
    pub(crate) is_cancelled: bool,
    pub(crate) has_begun: bool,
    /// An earlier owner ordered some task more than once.
    had_rerun: bool,
    /// Estimated time from each step to the end.
    pub(crate) remaining_chains: Vec<Duration>,
    first_task_of_step: Vec<usize>,
    tasks_per_occurrence: usize,
    /// Counts changes of the durable state.
    pub(crate) changes: u64,
    /// Executors with ends that are durable once that many changes are.
    pub(crate) unacknowledged_ends: Vec<(u64, ExecutorId)>,
    pub(crate) durable_changes: u64,
    pub(crate) is_writing: bool,
    pub(crate) is_dirty: bool,
    pub(crate) revision: Revision,
    /// The outcome as far as it is durable: what callers may be told.
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
        let one: Vec<StepProgress> = spec
            .steps
            .iter()
            .map(|step| StepProgress { remaining: step.count, is_open: false })
            .collect();
        Self {
            id,
            queue: submission.queue,
            account: submission.account,
            tasks: vec![Task::new(); tasks_per_occurrence * occurrences],
            progress: one.repeat(occurrences),
            began_at: vec![accepted_at; occurrences],
            startable: VecDeque::new(),
            last_placed_at: None,
            outcome: None,
            ended_ms: 0,
            is_cancelled: false,
            has_begun: false,
            had_rerun: false,
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

    /// Takes over what an earlier owner wrote. Placed tasks become doubtful.
    pub(crate) fn restore(&mut self, record: &JobRecord, revision: Revision) {
        self.revision = revision;
        self.outcome = record.outcome;
        self.durable_outcome = record.outcome;
        self.has_begun = record.has_begun;
        self.had_rerun = record.has_rerun;
        for (index, (task, known)) in self.tasks.iter_mut().zip(&record.tasks).enumerate() {
            task.run = known.run;
            task.failed_runs.clone_from(&known.failed_runs);
            task.crashes.clone_from(&known.crashes);
            task.refused_runs.clone_from(&known.refused_runs);
            task.is_given_up = known.is_given_up;
            task.placed_incarnation = known.placed_incarnation;
            task.checkpoint.clone_from(&known.checkpoint);
            match &known.status {
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

    pub(crate) fn record(&self) -> JobRecord {
        let tasks = match self.outcome {
            Some(_) => Vec::new(),
            None => self.tasks.iter().map(Task::record).collect(),
        };
        let has_rerun = self.had_rerun || self.tasks.iter().any(|task| task.run > 1);
        JobRecord {
            outcome: self.outcome,
            account: self.account.clone(),
            remains: self.remains(),
            has_begun: self.has_begun,
            has_rerun,
            tasks,
        }
    }

    /// What may still be running of a job that is over; none if nothing is, or nobody's cap covers it.
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

    /// Whether a task may have been started again after this run of it.
    pub(crate) fn may_be_superseded(&self, index: TaskIndex, run: RunNumber) -> bool {
        let task = &self.tasks[index];
        // What an earlier owner wrote of a job that is over doesn't name its runs any more.
        task.run > run || (task.run == 0 && self.had_rerun)
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

    /// Number of the step of the occurrence that the task belongs to, over all occurrences.
    pub(crate) fn slot(&self, index: TaskIndex) -> usize {
        let occurrence = index / self.tasks_per_occurrence;
        occurrence * self.spec.steps.len() + self.step_number(index)
    }

    /// All tasks of a slot, see [`Self::slot`].
    pub(crate) fn tasks_of(&self, slot: usize) -> std::ops::Range<TaskIndex> {
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

    /// Opens the steps whose turn has come.
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
                    let late = Duration::from_millis(wall_ms.saturating_sub(due_ms));
                    self.began_at[occurrence] = now.saturating_sub(late);
                }
                for index in self.tasks_of(slot) {
                    if self.tasks[index].phase == Phase::Waiting {
                        self.enqueue(now, index);
                    }
                }
            }
        }
    }

    /// Puts a task at the end of those that wait for an executor, if it may be started.
    pub(crate) fn enqueue(&mut self, now: Now, index: TaskIndex) {
        if self.retry(index) == Retry::AtOnce {
            self.enqueue_now(now, index);
        }
    }

    /// Puts a task there again that was held back for its crashes.
    pub(crate) fn enqueue_now(&mut self, now: Now, index: TaskIndex) {
        self.tasks[index].waiting_since = now;
        self.startable.push_back(index);
    }

    /// When a task starts again, by the crashes under it.
    pub(crate) fn retry(&self, index: TaskIndex) -> Retry {
        let (step, task) = (self.step(index), &self.tasks[index]);
        if !step.is_long_running || step.is_gang {
            return if task.is_given_up { Retry::Never } else { Retry::AtOnce };
        }
        match retry(&task.crashes, task.run, &task.refused_runs) {
            // It has paused before the run that was refused.
            Retry::After(_) if task.refused_runs.contains(&task.run) => {
                Retry::After(Duration::ZERO)
            }
            retry => retry,
        }
    }

    /// Whether a task that lasts is on trial when it starts.
    pub(crate) fn is_on_probation(&self, index: TaskIndex) -> bool {
        let step = self.step(index);
        step.is_long_running && !step.is_gang && is_on_probation(&self.tasks[index].crashes)
    }

    /// Time of day at which an occurrence is due; none for a job without a schedule.
    pub(crate) fn due_ms(&self, occurrence: usize) -> Option<u64> {
        let schedule = self.spec.schedule?;
        Some(schedule.first_ms + schedule.interval_ms * occurrence as u64)
    }

    /// Marks the tasks of a gang that don't run as done, since another member's end counts for all.
    pub(crate) fn finish_waiting(&mut self, slot: usize) {
        for index in self.tasks_of(slot) {
            if self.tasks[index].phase == Phase::Waiting {
                self.tasks[index].phase = Phase::Done;
                self.progress[slot].remaining -= 1;
            }
        }
    }

    /// Whether a task that was ordered to stop may as well go on: what its order was for can wait until its step can spare
    /// it, or hasn't come true.
    pub(crate) fn may_continue(&self, index: TaskIndex) -> bool {
        let step = self.step(index);
        step.is_long_running && !step.is_gang && !self.is_over()
    }

    /// Whether some of its tasks run until it is cancelled.
    pub(crate) fn has_long_running_tasks(&self) -> bool {
        self.spec.steps.iter().any(|step| step.is_long_running)
    }

    /// When the occurrence began that its next task belongs to.
    pub(crate) fn next_occurrence_began_at(&self) -> Now {
        let next = self.startable.front().copied().unwrap_or(0);
        self.began_at[next / self.tasks_per_occurrence.max(1)]
    }

    /// Whether occurrences are still to come.
    pub(crate) fn has_unopened_occurrence(&self) -> bool {
        self.spec.schedule.is_some()
            && self.progress.iter().any(|slot| !slot.is_open && slot.remaining > 0)
    }

    /// The estimated time that the job still needs once its next tasks start.
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

    /// The estimated time of the longest chain of the whole job.
    pub(crate) fn longest_chain(&self) -> Duration {
        self.remaining_chains.iter().copied().max().unwrap_or_default()
    }
}

fn step_at(first_task_of_step: &[usize], within: usize) -> usize {
    first_task_of_step.partition_point(|first| *first <= within) - 1
}

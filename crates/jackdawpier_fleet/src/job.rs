//! The in-memory state of a job: its tasks, which of them may start, and how far its record is durable.

mod slots;
mod task;
mod tasks;

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{AccountName, ExecutorId, JobId, Revision},
};

pub(crate) use slots::{Opening, Slot, Slots};
pub(crate) use task::{Phase, StopOrder, Task};
pub use tasks::TaskIndex;
pub(crate) use tasks::Tasks;

use crate::{
    crash::Retry,
    record::{JobOutcome, JobRecord, LastStart, LeftoverUsage, Reruns, TaskStatus},
    spec::{JobSpec, QueueName, Resources, RunNumber, StepSpec, Submission, TaskKey},
};

/// Maximum number of slots that are open at a time, but for those of a single occurrence. Each takes memory, and later
/// occurrences wait for the same executors as the first ones.
pub(crate) const MAX_OPEN_SLOTS: usize = 256;
/// Size of a record without tasks.
const EMPTY_RECORD_BYTES: usize = 200;

/// State of a job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) queue: QueueName,
    pub(crate) account: Option<AccountName>,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) tasks: Tasks,
    pub(crate) slots: Slots,
    /// The first occurrence that hasn't come due.
    next_occurrence: usize,
    /// When the first occurrence began: at its due time, or at the job's acceptance.
    first_began_at: Now,
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
        let task_counts = spec.steps.iter().map(|step| step.count).collect();
        Self {
            id,
            queue: submission.queue,
            account: submission.account,
            tasks: Tasks::new(tasks_per_occurrence * occurrences),
            slots: Slots::new(task_counts, occurrences),
            next_occurrence: 0,
            first_began_at: accepted_at,
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
        for (index, stored) in record.tasks.iter().enumerate().take(self.tasks.len()) {
            self.tasks.restore(index, stored);
            if stored.status == TaskStatus::Done {
                self.slots.complete_task(self.slot(index));
            }
        }
    }

    /// Returns the durable record of the current state.
    pub(crate) fn record(&self) -> JobRecord {
        let tasks = match self.outcome {
            Some(_) => Vec::new(),
            None => self.tasks.records(),
        };
        let has_rerun = self.had_rerun || self.tasks.has_rerun();
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

    /// Returns the approximate size of the record in the store, in bytes.
    pub(crate) fn record_bytes(&self) -> usize {
        if self.is_over() {
            EMPTY_RECORD_BYTES
        } else {
            EMPTY_RECORD_BYTES + self.tasks.record_bytes()
        }
    }

    /// Returns whether the job has ended, its end is durable, and none of its tasks may still run.
    pub(crate) fn is_settled(&self) -> bool {
        let is_durable = !self.is_writing && self.durable_changes == self.changes;
        self.durable_outcome.is_some() && is_durable && !self.tasks.has_placed()
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
        let reruns = self.tasks.reruns();
        let counted =
            reruns.into_iter().filter(|(index, _)| self.step(*index).counts_completions());
        let last_starts = counted.map(|(index, run)| {
            let TaskKey { occurrence, step, index, .. } = self.key(index);
            LastStart { occurrence, step, index, run }
        });
        Some(last_starts.collect())
    }

    /// Returns the resources that a finished job may still use; `None` if there are none, or if the job belongs to
    /// no account.
    fn remains(&self) -> Option<LeftoverUsage> {
        self.account.as_ref().filter(|_| self.is_over())?;
        let mut amount = Resources::default();
        self.tasks.placed().for_each(|(index, _)| amount.add(&self.step(index).need));
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
    pub(crate) fn slot(&self, index: TaskIndex) -> Slot {
        let occurrence = index / self.tasks_per_occurrence;
        occurrence * self.spec.steps.len() + self.step_number(index)
    }

    /// Returns the step of a slot, see [`Self::slot`].
    pub(crate) fn step_of_slot(&self, slot: Slot) -> &StepSpec {
        &self.spec.steps[slot % self.spec.steps.len()]
    }

    /// Returns all tasks of a slot, see [`Self::slot`].
    pub(crate) fn tasks_in_slot(&self, slot: Slot) -> Range<TaskIndex> {
        let (occurrence, step) = (slot / self.spec.steps.len(), slot % self.spec.steps.len());
        let first = occurrence * self.tasks_per_occurrence + self.first_task_of_step[step];
        first..first + self.spec.steps[step].count as usize
    }

    /// Returns those tasks of a slot that are held whole, see [`Tasks::whole`].
    pub(crate) fn whole_tasks_in_slot(
        &self,
        slot: Slot,
    ) -> impl Iterator<Item = (TaskIndex, &Task)> {
        self.tasks.whole_in(self.tasks_in_slot(slot))
    }

    /// Returns the number of tasks of a slot that are neither placed nor done.
    pub(crate) fn waiting_in_slot(&self, slot: Slot) -> usize {
        let placed =
            self.whole_tasks_in_slot(slot).filter(|(_, task)| task.phase.executor().is_some());
        self.slots.remaining(slot) as usize - placed.count()
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

    /// Opens the steps of the occurrences that have come due since the last call, as far as their dependencies have
    /// completed. Those beyond the bound on open slots are opened by a later call.
    pub(crate) fn open_steps(&mut self, now: Now, wall_ms: u64) {
        while self.has_unopened_occurrence()
            && self.is_due(self.next_occurrence, wall_ms)
            && self.slots.begun_count() < MAX_OPEN_SLOTS
        {
            self.next_occurrence += 1;
            self.open_occurrence(now, wall_ms, self.next_occurrence - 1);
        }
    }

    /// Opens the steps that only waited for a slot to complete.
    pub(crate) fn open_steps_after(&mut self, now: Now, wall_ms: u64, slot: Slot) {
        let occurrence = slot / self.spec.steps.len();
        if occurrence < self.next_occurrence {
            self.open_occurrence(now, wall_ms, occurrence);
        }
    }

    fn is_due(&self, occurrence: usize, wall_ms: u64) -> bool {
        self.due_ms(occurrence).is_none_or(|due_ms| due_ms <= wall_ms)
    }

    /// Opens the steps of a due occurrence whose dependencies have completed.
    fn open_occurrence(&mut self, now: Now, wall_ms: u64, occurrence: usize) {
        if self.is_over() || self.is_cancelled {
            return;
        }
        let began_at = match self.due_ms(occurrence) {
            Some(due_ms) => {
                let delay = Duration::from_millis(wall_ms.saturating_sub(due_ms));
                now.saturating_sub(delay)
            }
            None => self.first_began_at,
        };
        let first_slot = occurrence * self.spec.steps.len();
        for step in 0..self.spec.steps.len() {
            let slot = first_slot + step;
            let after = &self.spec.steps[step].after;
            let is_ready = after.iter().all(|&after| self.slots.is_complete(first_slot + after));
            if !is_ready || self.slots.is_open(slot) {
                continue;
            }
            self.slots.set_open(slot, Opening { at: now, began_at });
            if occurrence == 0 {
                self.first_began_at = began_at;
            }
            for index in self.tasks_in_slot(slot) {
                if self.tasks[index].phase == Phase::Waiting {
                    self.enqueue(now, index);
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
        if let Some(task) = self.tasks.get_whole_mut(index) {
            task.waiting_since = now;
        }
        self.startable.push_back(index);
    }

    /// Returns when a task may start again, given the crashes of its executors.
    pub(crate) fn retry(&self, index: TaskIndex) -> Retry {
        let (step, task) = (self.step(index), &self.tasks[index]);
        if !step.is_long_running || step.is_gang {
            return if task.is_given_up { Retry::Never } else { Retry::AtOnce };
        }
        task.retry()
    }

    /// Returns since when a waiting task has been startable.
    pub(crate) fn waiting_since(&self, index: TaskIndex) -> Now {
        if let Some(task) = self.tasks.get_whole(index) {
            return task.waiting_since;
        }
        self.slots.opening(self.slot(index)).map_or(Now::ZERO, |opening| opening.at)
    }

    /// Returns a waiting task that is about to be placed.
    pub(crate) fn task_to_place(&mut self, index: TaskIndex) -> &mut Task {
        let waiting_since = self.waiting_since(index);
        let task = &mut self.tasks[index];
        task.waiting_since = waiting_since;
        task
    }

    /// Returns whether the next start of a long-running task is on probation.
    pub(crate) fn is_on_probation(&self, index: TaskIndex) -> bool {
        let step = self.step(index);
        step.is_long_running && !step.is_gang && self.tasks[index].is_on_probation()
    }

    /// Returns the numbers of startable tasks by step.
    pub(crate) fn startable_by_step(&self) -> BTreeMap<usize, u64> {
        let mut counts = BTreeMap::new();
        if self.has_long_running_tasks() {
            // Tasks that wait for the end of a back-off aren't startable.
            let steps = self.startable.iter().map(|&index| self.step_number(index));
            steps.for_each(|step| *counts.entry(step).or_default() += 1);
            return counts;
        }
        for (slot, _) in self.slots.open() {
            let waiting = self.waiting_in_slot(slot) as u64;
            if waiting > 0 {
                *counts.entry(slot % self.spec.steps.len()).or_default() += waiting;
            }
        }
        counts
    }

    /// Returns the startable task that has waited longest: tasks are queued in the order in which they become startable.
    pub(crate) fn longest_waiting_task(&self) -> Option<TaskIndex> {
        let mut startable = self.startable.iter().copied();
        startable.find(|&index| self.tasks[index].phase == Phase::Waiting)
    }

    /// Returns the due time of an occurrence, in milliseconds since 1970; `None` for a job without a schedule.
    pub(crate) fn due_ms(&self, occurrence: usize) -> Option<u64> {
        let schedule = self.spec.schedule?;
        Some(schedule.first_ms + schedule.interval_ms * occurrence as u64)
    }

    /// Counts a task as done. Returns whether that completes its slot.
    pub(crate) fn complete_task(&mut self, index: TaskIndex) -> bool {
        let slot = self.slot(index);
        self.tasks.settle(index);
        self.slots.complete_task(slot)
    }

    /// Marks the waiting tasks of a gang as done, since the end of one member counts for all. Returns whether that
    /// completes its slot.
    pub(crate) fn finish_waiting_tasks(&mut self, slot: Slot) -> bool {
        let tasks = self.tasks_in_slot(slot);
        let waiting = tasks.filter(|&index| self.tasks[index].phase == Phase::Waiting);
        let waiting: Vec<TaskIndex> = waiting.collect();
        let mut is_complete = false;
        for index in waiting {
            is_complete |= self.complete_task(index);
        }
        is_complete
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
        let next = self.startable.front().map(|&index| self.slot(index));
        let opening = next.and_then(|slot| self.slots.opening(slot));
        opening.map_or(self.first_began_at, |opening| opening.began_at)
    }

    /// Returns whether occurrences are still to be opened.
    pub(crate) fn has_unopened_occurrence(&self) -> bool {
        self.next_occurrence < self.spec.occurrences() as usize
    }

    /// Returns the estimated time that the job needs once its next tasks start.
    pub(crate) fn remaining_estimate(&self) -> Duration {
        let steps = self.spec.steps.len();
        let chains = self.slots.open().map(|(slot, _)| self.remaining_chains[slot % steps]);
        chains.max().unwrap_or_default()
    }

    /// Returns the estimated time of the longest chain of the whole job.
    pub(crate) fn longest_chain(&self) -> Duration {
        self.remaining_chains.iter().copied().max().unwrap_or_default()
    }
}

fn step_at(first_task_of_step: &[usize], within: usize) -> usize {
    first_task_of_step.partition_point(|first| *first <= within) - 1
}

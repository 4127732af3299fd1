//! The tasks of a job, of which only those are held that differ from all others.
//!
//! A job may have thousands of tasks, most of which wait or are done. A task that was never placed is described by its
//! step, and one that is settled by its last run. See `docs/design/job-memory.md`.

use std::{
    collections::BTreeMap,
    ops::{Index, IndexMut, Range},
    sync::LazyLock,
};

use fixedbitset::FixedBitSet;

use super::task::Task;
use crate::{
    record::{TaskRecord, TaskStatus},
    spec::RunNumber,
};

/// Index of a task in its job's flat list of tasks.
pub type TaskIndex = usize;

/// Number of the run in which most tasks are settled.
const FIRST_RUN: RunNumber = 1;

/// Approximate size of the record of a task that is placed.
const WHOLE_RECORD_BYTES: usize = 64;
/// Approximate size of the record of a task that is done.
const SETTLED_RECORD_BYTES: usize = 16;

/// What a task reads as that was never placed.
static UNTOUCHED: LazyLock<Task> = LazyLock::new(Task::new);
/// What a task reads as that was settled in its first run.
static SETTLED_IN_FIRST_RUN: LazyLock<Task> = LazyLock::new(|| Task::settled(FIRST_RUN));

/// The tasks of a job. To write to a task makes it whole.
#[derive(Debug)]
pub(crate) struct Tasks {
    len: usize,
    /// Tasks whose state the other fields don't describe.
    whole: BTreeMap<TaskIndex, Box<Task>>,
    /// Tasks that were settled in their first run.
    settled_in_first_run: FixedBitSet,
    /// Last runs of the other settled tasks.
    settled_in_other_run: BTreeMap<TaskIndex, RunNumber>,
    /// What these tasks read as, by their last run.
    settled_by_run: BTreeMap<RunNumber, Box<Task>>,
    /// Failed runs of the settled task that failed most often.
    most_settled_failures: u32,
    /// Crashes of the settled task with most of them.
    most_settled_crashes: usize,
}

impl Tasks {
    /// Creates tasks that were never placed.
    pub(crate) fn new(len: usize) -> Self {
        Self {
            len,
            whole: BTreeMap::new(),
            settled_in_first_run: FixedBitSet::new(),
            settled_in_other_run: BTreeMap::new(),
            settled_by_run: BTreeMap::new(),
            most_settled_failures: 0,
            most_settled_crashes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of tasks that are held whole.
    pub(crate) fn whole_count(&self) -> usize {
        self.whole.len()
    }

    /// Returns a task if it is held whole.
    pub(crate) fn get_whole(&self, index: TaskIndex) -> Option<&Task> {
        self.whole.get(&index).map(AsRef::as_ref)
    }

    /// Returns a task if it is held whole. Others have nothing to change.
    pub(crate) fn get_whole_mut(&mut self, index: TaskIndex) -> Option<&mut Task> {
        self.whole.get_mut(&index).map(AsMut::as_mut)
    }

    /// Returns the tasks that are held whole, among them all that are placed, and all that have crashes and aren't settled.
    pub(crate) fn whole(&self) -> impl Iterator<Item = (TaskIndex, &Task)> {
        self.whole.iter().map(|(index, task)| (*index, task.as_ref()))
    }

    /// Returns those of [`Self::whole`] within a range.
    pub(crate) fn whole_in(
        &self,
        range: Range<TaskIndex>,
    ) -> impl Iterator<Item = (TaskIndex, &Task)> {
        self.whole.range(range).map(|(index, task)| (*index, task.as_ref()))
    }

    /// Returns the placed tasks.
    pub(crate) fn placed(&self) -> impl Iterator<Item = (TaskIndex, &Task)> {
        self.whole().filter(|(_, task)| task.phase.executor().is_some())
    }

    /// Returns whether any task is placed.
    pub(crate) fn has_placed(&self) -> bool {
        self.placed().next().is_some()
    }

    /// Settles a task that isn't placed: it is done, or its job has ended. Only its last run is kept.
    pub(crate) fn settle(&mut self, index: TaskIndex) {
        let run = self[index].run;
        if let Some(task) = self.whole.remove(&index) {
            self.most_settled_failures = self.most_settled_failures.max(task.failures());
            self.most_settled_crashes = self.most_settled_crashes.max(task.crashes().len());
        }
        if run == FIRST_RUN {
            self.settled_in_first_run.grow_and_insert(index);
            return;
        }
        self.settled_in_other_run.insert(index, run);
        self.settled_by_run.entry(run).or_insert_with(|| Box::new(Task::settled(run)));
    }

    /// Settles all tasks that are held and not placed, once their job has ended.
    pub(crate) fn settle_unplaced(&mut self) {
        let unplaced = self.whole().filter(|(_, task)| task.phase.executor().is_none());
        let unplaced: Vec<TaskIndex> = unplaced.map(|(index, _)| index).collect();
        unplaced.into_iter().for_each(|index| self.settle(index));
    }

    /// Restores a task from its record.
    pub(super) fn restore(&mut self, index: TaskIndex, record: &TaskRecord) {
        if *record == TaskRecord::default() {
            return;
        }
        self[index] = Task::restored(record);
        if record.status == TaskStatus::Done {
            self.settle(index);
        }
    }

    /// Returns the records of the tasks up to the last one that was ever placed.
    pub(super) fn records(&self) -> Vec<TaskRecord> {
        let last_whole = self.whole.last_key_value().map(|(index, _)| *index);
        let last_other = self.settled_in_other_run.last_key_value().map(|(index, _)| *index);
        let last = last_whole.max(last_other).max(self.settled_in_first_run.maximum());
        let end = last.map_or(0, |last| last + 1);
        (0..end).map(|index| self[index].record()).collect()
    }

    /// Returns the approximate size of the records, in bytes.
    pub(super) fn record_bytes(&self) -> usize {
        let settled = self.settled_in_first_run.count_ones(..) + self.settled_in_other_run.len();
        self.whole.len() * WHOLE_RECORD_BYTES + settled * SETTLED_RECORD_BYTES
    }

    /// Returns the tasks that were started more than once with their last runs, in order.
    pub(super) fn reruns(&self) -> BTreeMap<TaskIndex, RunNumber> {
        let whole = self.whole().map(|(index, task)| (index, task.run));
        let settled = self.settled_in_other_run.iter().map(|(index, run)| (*index, *run));
        whole.chain(settled).filter(|(_, run)| *run > FIRST_RUN).collect()
    }

    /// Returns whether any task was started more than once.
    pub(super) fn has_rerun(&self) -> bool {
        self.whole.values().any(|task| task.run > FIRST_RUN)
            || self.settled_by_run.keys().any(|run| *run > FIRST_RUN)
    }

    /// Returns the failed runs of the task that failed most often.
    pub(crate) fn most_failures(&self) -> u32 {
        let whole = self.whole.values().map(|task| task.failures()).max().unwrap_or(0);
        whole.max(self.most_settled_failures)
    }

    /// Returns the number of crashes that count against the task with most of them.
    pub(crate) fn most_crashes(&self) -> usize {
        let whole = self.whole.values().map(|task| task.crashes().len()).max().unwrap_or(0);
        whole.max(self.most_settled_crashes)
    }
}

impl Index<TaskIndex> for Tasks {
    type Output = Task;

    fn index(&self, index: TaskIndex) -> &Task {
        assert!(index < self.len, "task {index} of {}", self.len);
        if let Some(task) = self.whole.get(&index) {
            return task;
        }
        if self.settled_in_first_run.contains(index) {
            return &SETTLED_IN_FIRST_RUN;
        }
        match self.settled_in_other_run.get(&index) {
            Some(run) => &self.settled_by_run[run],
            None => &UNTOUCHED,
        }
    }
}

impl IndexMut<TaskIndex> for Tasks {
    fn index_mut(&mut self, index: TaskIndex) -> &mut Task {
        if !self.whole.contains_key(&index) {
            let task = Box::new(self[index].clone());
            self.settled_in_other_run.remove(&index);
            if self.settled_in_first_run.contains(index) {
                self.settled_in_first_run.set(index, false);
            }
            self.whole.insert(index, task);
        }
        self.whole.get_mut(&index).expect("it was just inserted")
    }
}

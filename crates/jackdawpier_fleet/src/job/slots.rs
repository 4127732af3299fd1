//! Progress of the steps of a job's occurrences.
//!
//! A slot is one step of one occurrence. Only slots that have been opened and aren't complete are held, so that
//! occurrences that aren't due take no memory.

use std::collections::BTreeMap;

use fixedbitset::FixedBitSet;
use jackdawpier_kernel::Now;

/// Index of a step over the steps of all occurrences.
pub(crate) type Slot = usize;

/// When a slot was opened.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Opening {
    /// When its tasks could start.
    pub(crate) at: Now,
    /// When its occurrence began: at its due time, or at the job's acceptance.
    pub(crate) began_at: Now,
}

/// Progress of a slot.
#[derive(Debug, Clone, Copy)]
struct Progress {
    /// Number of tasks that haven't completed yet.
    remaining: u32,
    /// When its tasks could start; `None` if they can't yet.
    opening: Option<Opening>,
}

/// The slots of a job.
#[derive(Debug)]
pub(crate) struct Slots {
    /// Number of tasks of each step.
    task_counts: Vec<u32>,
    /// Slots that are open or have completed tasks, and aren't complete.
    begun: BTreeMap<Slot, Progress>,
    completed: FixedBitSet,
    incomplete: usize,
}

impl Slots {
    /// Creates the slots of steps with these numbers of tasks, none of which is open.
    pub(crate) fn new(task_counts: Vec<u32>, occurrences: usize) -> Self {
        Self {
            incomplete: task_counts.len() * occurrences,
            task_counts,
            begun: BTreeMap::new(),
            completed: FixedBitSet::new(),
        }
    }

    /// Returns the number of a slot's tasks.
    pub(crate) fn task_count(&self, slot: Slot) -> u32 {
        self.task_counts[slot % self.task_counts.len()]
    }

    /// Returns the number of tasks that haven't completed yet.
    pub(crate) fn remaining(&self, slot: Slot) -> u32 {
        match self.begun.get(&slot) {
            Some(progress) => progress.remaining,
            None if self.completed.contains(slot) => 0,
            None => self.task_count(slot),
        }
    }

    /// Returns whether all tasks have completed.
    pub(crate) fn is_complete(&self, slot: Slot) -> bool {
        self.completed.contains(slot)
    }

    /// Returns whether all tasks of all slots have completed.
    pub(crate) fn are_complete(&self) -> bool {
        self.incomplete == 0
    }

    /// Returns whether the tasks may start.
    pub(crate) fn is_open(&self, slot: Slot) -> bool {
        self.is_complete(slot) || self.opening(slot).is_some()
    }

    /// Returns when an incomplete slot was opened; `None` if it isn't open.
    pub(crate) fn opening(&self, slot: Slot) -> Option<Opening> {
        self.begun.get(&slot)?.opening
    }

    /// Returns the slots that are open and not complete, with the number of their tasks that haven't completed.
    pub(crate) fn open(&self) -> impl Iterator<Item = (Slot, u32)> {
        let open = self.begun.iter().filter(|(_, progress)| progress.opening.is_some());
        open.map(|(slot, progress)| (*slot, progress.remaining))
    }

    /// Returns the number of slots that are open or have completed tasks, and aren't complete.
    pub(super) fn begun_count(&self) -> usize {
        self.begun.len()
    }

    /// Opens a slot that isn't complete.
    pub(super) fn set_open(&mut self, slot: Slot, opening: Opening) {
        self.begun_mut(slot).opening = Some(opening);
    }

    /// Counts a completed task. Returns whether it completes the slot.
    pub(crate) fn complete_task(&mut self, slot: Slot) -> bool {
        let progress = self.begun_mut(slot);
        progress.remaining -= 1;
        if progress.remaining > 0 {
            return false;
        }
        self.begun.remove(&slot);
        self.completed.grow_and_insert(slot);
        self.incomplete -= 1;
        true
    }

    fn begun_mut(&mut self, slot: Slot) -> &mut Progress {
        let remaining = self.task_count(slot);
        self.begun.entry(slot).or_insert(Progress { remaining, opening: None })
    }
}

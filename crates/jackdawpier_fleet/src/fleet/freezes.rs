//! Freezes executors that list an end which must not be acknowledged, until their leases have expired.
//!
//! A frozen executor gets no new work. Its short tasks run on to their ends, long-running ones are relocated, and then
//! its lease is left to expire, after which the end can be acknowledged. See
//! `docs/design/lives.md#ends-that-bar-an-executor`.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, ServiceName},
};

use super::{Fleet, StopReason, placement_round::PlacementRound};
use crate::{
    executor::{EndedTask, Executor, TaskRef},
    job::Phase,
    spec::{RunNumber, TaskKey},
};

/// A long-running task leaves a frozen executor only if another one has room for it, but no longer than this. After
/// that it is stopped for the time that the lease takes to expire, since the rest of the executor is idle meanwhile.
const MAX_WAIT_FOR_ROOM: Duration = Duration::from_secs(10);

/// Begin or end of the freeze of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Freeze {
    /// A task that completed there has been started again, or may have been.
    Began {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// The run that completed there.
        run: RunNumber,
    },
    /// The lease has expired, so the ends may be acknowledged.
    Ended {
        /// The executor.
        executor: ExecutorId,
    },
}

impl Fleet {
    /// Returns the number of frozen executors.
    pub fn frozen_executors(&self) -> usize {
        self.executors.unordered_values().filter(|executor| executor.is_frozen()).count()
    }

    /// Takes the freezes that have begun or ended since the last call, for the log.
    pub fn take_freezes(&mut self) -> Vec<Freeze> {
        std::mem::take(&mut self.freezes)
    }

    /// Freezes an executor: this end and all later ones aren't acknowledged before its lease has expired.
    pub(super) fn freeze(&mut self, now: Now, id: &ExecutorId, end: &EndedTask) {
        let Some(executor) = self.executors.get_mut(id) else { return };
        if executor.acks.bar(end.sequence) {
            executor.frozen_since = now;
            let (executor, task) = (id.clone(), end.task.clone());
            self.freezes.push(Freeze::Began { executor, task, run: end.run });
        }
    }

    /// Ends the freeze of an executor whose lease has expired.
    pub(super) fn unfreeze(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else { return };
        if executor.acks.note_lease_expired() {
            self.freezes.push(Freeze::Ended { executor: id.clone() });
        }
    }

    /// Relocates the long-running tasks of frozen executors, within the numbers that their steps may miss.
    pub(super) fn vacate_frozen_executors(&mut self, now: Now) {
        let frozen = self.executors.keys_where(|_, executor| executor.is_frozen());
        if frozen.is_empty() {
            return;
        }
        let rounds = self.start_rounds(now);
        for id in frozen {
            if let Some(task) = self.relocatable_task(now, &self.executors[&id], &rounds) {
                self.stop_task(now, &task, StopReason::ExecutorFrozen);
            }
        }
    }

    /// Returns a long-running task of a frozen executor that its step can miss now; `None` while tasks that end by
    /// themselves run beside it, since it would be away for longer than needed.
    fn relocatable_task(
        &self,
        now: Now,
        executor: &Executor,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
    ) -> Option<TaskRef> {
        let ends_by_itself = |(id, index): &TaskRef| {
            self.jobs.get(id).is_some_and(|job| !job.step(*index).is_long_running)
        };
        let has_short = executor.tasks.iter().any(ends_by_itself);
        let needs_room = now < executor.frozen_since + MAX_WAIT_FOR_ROOM;
        let mut tasks = executor.tasks.iter().filter(|_| !has_short);
        let can_leave = |task: &TaskRef| !needs_room || self.has_room_elsewhere(task, rounds);
        tasks.find(|task| self.can_miss(now, task) && can_leave(task)).cloned()
    }

    /// Whether a running long-running task may be stopped now.
    fn can_miss(&self, now: Now, (id, index): &TaskRef) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let step = job.step(*index);
        let is_running = matches!(job.tasks[*index].phase, Phase::Running { .. });
        let can_be_missed =
            step.may_miss == 0 || self.other_tasks_away(now, job, *index) < step.may_miss;
        is_running && job.may_continue(*index) && can_be_missed
    }
}

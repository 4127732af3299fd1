//! Which executors there are, and when what ran on one has certainly ended.

use std::{sync::Arc, time::Duration};

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::Fleet;
use crate::executor::{Executor, ExecutorInfo, TaskRef};

/// An executor that is in the registry and in the list of machines gets this long to answer, though
/// its lease has lapsed before: longer than executors hang, and than an owner is short of processor.
const ALIVE_PATIENCE: Duration = Duration::from_secs(12);

impl Fleet {
    /// Takes in the executors that the registry lists now.
    pub fn list_executors(&mut self, now: Now, listed: Vec<ExecutorInfo>) {
        for executor in self.executors.values_mut() {
            executor.is_listed = false;
        }
        let doubt_until = self.started_at + self.settings.doubt;
        self.by_service.clear();
        for info in listed {
            let of_service = self.by_service.entry(info.service.clone()).or_default();
            of_service.push(info.id.clone());
            let id = info.id.clone();
            let executor =
                self.executors.entry(id).or_insert_with(|| Executor::new(now, doubt_until));
            executor.is_listed = true;
            executor.info = Some(info);
        }
        self.by_service.values_mut().for_each(|of_service| of_service.sort_unstable());
        self.expire_executors(now);
    }

    /// Ends the executors that can't run anything any more.
    pub fn expire_executors(&mut self, now: Now) {
        let lapsed: Vec<ExecutorId> = self
            .executors
            .iter()
            .filter(|(id, executor)| {
                let is_idle = executor.tasks.is_empty();
                let is_silent = !executor.is_synced
                    || executor
                        .heard_at()
                        .is_none_or(|at| now.saturating_sub(at) > self.settings.lease / 2);
                let is_given_up = !executor.is_listed || is_silent;
                is_given_up
                    && !is_idle
                    && !self.may_answer(now, id, executor)
                    && executor.has_lapsed(now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        lapsed.iter().for_each(|id| self.release_tasks(now, id));
        let lease = self.settings.lease;
        self.executors.retain(|_, executor| {
            let is_heard = executor.heard_at().is_some_and(|at| now.saturating_sub(at) < lease);
            executor.is_listed
                || !executor.tasks.is_empty()
                || (executor.has_unacknowledged() && is_heard)
        });
    }

    /// Whether an executor is alive by all that is known of it, so that its silence may be ours: what
    /// has ended well there would be run again.
    fn may_answer(&self, now: Now, id: &ExecutorId, executor: &Executor) -> bool {
        let silent_since = executor.heard_at().unwrap_or(executor.known_at);
        executor.is_listed
            && self.machines.has_executor(id)
            && now.saturating_sub(silent_since) < ALIVE_PATIENCE
    }

    /// An executor's life is certainly over, so everything that ran there has ended.
    pub fn executor_ended(&mut self, now: Now, id: &ExecutorId) {
        self.release_tasks(now, id);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.avoid_until = Now::MAX;
        }
    }

    fn release_tasks(&mut self, now: Now, id: &ExecutorId) {
        let Some(executor) = self.executors.get(id) else { return };
        let tasks: Vec<TaskRef> = executor.tasks.iter().cloned().collect();
        tasks.into_iter().for_each(|task| self.run_over(now, &task, None));
    }

    /// The executors that are known, with their addresses.
    pub fn executors(&self) -> impl Iterator<Item = (&ExecutorId, Option<&ExecutorInfo>)> {
        self.executors.iter().map(|(id, executor)| (id, executor.info.as_ref()))
    }

    /// Where to reach an executor; none once it is forgotten.
    pub fn executor_address(&self, id: &str) -> Option<Arc<str>> {
        self.executors.get(id)?.info.as_ref().map(|info| info.address.clone())
    }

    /// Whether an executor is left out for now, after a refusal or a missing answer.
    pub fn is_avoided(&self, now: Now, executor: &str) -> bool {
        self.executors.get(executor).is_none_or(|executor| now < executor.avoid_until)
    }
}

//! Which executors there are, and when what ran on one has certainly ended.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, ServiceName},
};

use super::{Fleet, losses::LossEvidence};
use crate::executor::{Executor, ExecutorInfo};

/// An executor that is in the registry and in the list of machines gets this long to answer, though
/// its lease has lapsed before: longer than executors hang, and than an owner is short of processor.
const ALIVE_PATIENCE: Duration = Duration::from_secs(12);

/// How often leases that may have lapsed are looked for: a small part of the seconds that they last,
/// where decisions are made up to a hundred times a second.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(50);

impl Fleet {
    /// An executor is registered, for the first time or with another entry than before.
    pub fn register_executor(&mut self, now: Now, info: ExecutorInfo) {
        let doubt_until = self.started_at + self.settings.takeover_uncertainty;
        let id = info.id.clone();
        let executor =
            self.executors.get_or_insert_with(id.clone(), || Executor::new(now, doubt_until));
        let former = executor.info.as_ref().filter(|_| executor.is_listed);
        let moved_from = former.map(|one| one.service.clone()).filter(|name| *name != info.service);
        let is_new = former.is_none() || moved_from.is_some();
        executor.is_listed = true;
        let was_over = executor.is_over;
        executor.note_registered(now, &info);
        let is_back = was_over && !executor.is_over;
        let service = info.service.clone();
        executor.info = Some(info);
        if let Some(former) = moved_from {
            self.leave_service(&former, &id);
        }
        self.machines.may_be_occupied |= is_new || is_back;
        if is_new {
            let of_service = self.by_service.entry(service).or_default();
            if let Err(place) = of_service.binary_search(&id) {
                of_service.insert(place, id);
            }
        }
    }

    /// An executor isn't registered any more. What ran there is followed until it has ended.
    pub fn unregister_executor(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else { return };
        executor.is_listed = false;
        let service = executor.info.as_ref().map(|info| info.service.clone());
        if let Some(service) = service {
            self.leave_service(&service, id);
        }
    }

    fn leave_service(&mut self, service: &ServiceName, id: &ExecutorId) {
        let Some(of_service) = self.by_service.get_mut(service) else { return };
        if let Ok(place) = of_service.binary_search(id) {
            of_service.remove(place);
        }
    }

    /// Takes in all executors that are registered, in place of those that were.
    pub fn replace_executors(&mut self, now: Now, listed: Vec<ExecutorInfo>) {
        let ids: BTreeSet<ExecutorId> = listed.iter().map(|info| info.id.clone()).collect();
        let gone = self.executors.keys_of(|id, one| one.is_listed && !ids.contains(id));
        gone.iter().for_each(|id| self.unregister_executor(id));
        listed.into_iter().for_each(|info| self.register_executor(now, info));
        self.expire_executors(now);
    }

    /// Ends the executors that can't run anything any more, if that was last looked at a while ago.
    pub(super) fn expire_executors_if_due(&mut self, now: Now) {
        if now >= self.last_expiry_at + EXPIRE_INTERVAL {
            self.last_expiry_at = now;
            self.expire_executors(now);
        }
    }

    /// Ends the executors that can't run anything any more.
    pub fn expire_executors(&mut self, now: Now) {
        let lapsed = self.executors.keys_of(|id, executor| {
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
        });
        lapsed.iter().for_each(|id| self.release_lost_executor(now, id, LossEvidence::Lapsed));
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
    pub fn executor_ended(&mut self, now: Now, id: &ExecutorId, evidence: LossEvidence) {
        self.release_lost_executor(now, id, evidence);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.is_over = true;
            let registered = executor.info.as_ref().and_then(|info| info.life);
            executor.life = executor.life.or(registered);
        }
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

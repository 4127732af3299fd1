//! Tracks the registered executors, and when all runs on one have certainly ended.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, ServiceName},
};

use super::{Fleet, losses::LossEvidence};
use crate::{
    connection_peer::ConnectionPeer,
    executor::{Executor, ExecutorInfo},
};

/// How long an executor that is registered and in the list of machines may stay silent before it counts as
/// lost, even if its lease lapses earlier. Longer than executors hang, and than an owner is starved of
/// processor time.
const MAX_SILENCE_WHILE_LISTED: Duration = Duration::from_secs(12);

/// Minimum time between two checks for lapsed leases. A small fraction of a lease, which lasts seconds,
/// while decisions are made up to a hundred times a second.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Fleet {
    /// Adds a registered executor, or updates the registry entry of a known one.
    pub fn register_executor(&mut self, now: Now, info: ExecutorInfo) {
        let uncertain_until = self.started_at + self.settings.takeover_uncertainty;
        let id = info.id.clone();
        let executor =
            self.executors.get_or_insert_with(id.clone(), || Executor::new(now, uncertain_until));
        let previous = executor.info.as_ref().filter(|_| executor.is_listed);
        let previous_service =
            previous.map(|one| one.service.clone()).filter(|name| *name != info.service);
        let is_new = previous.is_none() || previous_service.is_some();
        executor.is_listed = true;
        let had_ended = executor.has_ended;
        executor.note_registered(now, &info);
        let is_back = had_ended && !executor.has_ended;
        let service = info.service.clone();
        executor.info = Some(info);
        if let Some(previous) = previous_service {
            self.remove_from_service(&previous, &id);
        }
        self.machines.has_unlisted_executors |= is_new || is_back;
        if is_new {
            let of_service = self.by_service.entry(service).or_default();
            if let Err(position) = of_service.binary_search(&id) {
                of_service.insert(position, id);
            }
        }
    }

    /// Marks an executor as no longer registered. Its runs are tracked until they have ended.
    pub fn unregister_executor(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else { return };
        executor.is_listed = false;
        let service = executor.info.as_ref().map(|info| info.service.clone());
        if let Some(service) = service {
            self.remove_from_service(&service, id);
        }
    }

    fn remove_from_service(&mut self, service: &ServiceName, id: &ExecutorId) {
        let Some(of_service) = self.by_service.get_mut(service) else { return };
        if let Ok(position) = of_service.binary_search(id) {
            of_service.remove(position);
        }
    }

    /// Replaces the registered executors by `listed`.
    pub fn replace_executors(&mut self, now: Now, listed: Vec<ExecutorInfo>) {
        let ids: BTreeSet<ExecutorId> = listed.iter().map(|info| info.id.clone()).collect();
        let missing = self.executors.keys_where(|id, one| one.is_listed && !ids.contains(id));
        missing.iter().for_each(|id| self.unregister_executor(id));
        listed.into_iter().for_each(|info| self.register_executor(now, info));
        self.expire_executors(now);
    }

    /// Calls [`Fleet::expire_executors`] if the last check was long enough ago.
    pub(super) fn expire_executors_if_due(&mut self, now: Now) {
        if now >= self.last_expiry_at + LEASE_CHECK_INTERVAL {
            self.last_expiry_at = now;
            self.expire_executors(now);
        }
    }

    /// Releases the runs of executors whose leases have lapsed, and forgets executors that are neither
    /// registered nor in use.
    pub fn expire_executors(&mut self, now: Now) {
        let lapsed = self.executors.keys_where(|id, executor| {
            let is_idle = executor.tasks.is_empty();
            let is_unresponsive = !executor.is_synced
                || executor
                    .clock_read_at()
                    .is_none_or(|at| now.saturating_sub(at) > self.settings.lease / 2);
            let is_lost = !executor.is_listed || is_unresponsive;
            is_lost
                && !is_idle
                && !self.is_presumed_alive(now, id, executor)
                && executor.has_lapsed(now)
        });
        lapsed.iter().for_each(|id| self.release_lost_executor(now, id, LossEvidence::Lapsed));
        let lease = self.settings.lease;
        self.executors.retain(|_, executor| {
            let is_responsive =
                executor.clock_read_at().is_some_and(|at| now.saturating_sub(at) < lease);
            executor.is_listed
                || !executor.tasks.is_empty()
                || (executor.acks.has_pending() && is_responsive)
        });
    }

    /// Returns whether an executor is presumed alive though it doesn't answer, since the connection may be at
    /// fault. Releasing its runs would repeat those that have completed there.
    fn is_presumed_alive(&self, now: Now, id: &ExecutorId, executor: &Executor) -> bool {
        let silent_since = executor.clock_read_at().unwrap_or(executor.known_at);
        executor.is_listed
            && self.machines.is_executor_listed(id)
            && now.saturating_sub(silent_since) < MAX_SILENCE_WHILE_LISTED
    }

    /// Handles the certain end of an executor's incarnation: all runs there have ended.
    pub fn executor_ended(&mut self, now: Now, id: &ExecutorId, evidence: LossEvidence) {
        self.release_lost_executor(now, id, evidence);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.has_ended = true;
            let registered = executor.info.as_ref().and_then(|info| info.incarnation);
            executor.incarnation = executor.incarnation.or(registered);
            // The registration of the next incarnation may have come before the evidence, and comes only once.
            if let Some(incarnation) = registered.filter(|one| executor.is_unknown(*one)) {
                executor.begin_incarnation(now, incarnation);
            }
        }
    }

    /// Returns the known executors with their registry entries.
    pub fn executors(&self) -> impl Iterator<Item = (&ExecutorId, Option<&ExecutorInfo>)> {
        self.executors.iter().map(|(id, executor)| (id, executor.info.as_ref()))
    }

    /// Returns the address of an executor; none once the executor is forgotten.
    pub fn executor_address(&self, id: &str) -> Option<Arc<str>> {
        self.executors.get(id)?.info.as_ref().map(|info| info.address.clone())
    }

    /// Returns the current incarnation of an executor, to which orders and requests are addressed.
    pub fn executor_peer(&self, id: &ExecutorId) -> ConnectionPeer {
        let incarnation = self.executors.get(id).and_then(|executor| executor.incarnation);
        ConnectionPeer { executor: id.clone(), incarnation }
    }

    /// Returns whether no tasks are placed on an executor for now, after a refusal or a missing answer.
    pub fn is_avoided(&self, now: Now, executor: &str) -> bool {
        self.executors.get(executor).is_none_or(|executor| now < executor.avoid_until)
    }
}

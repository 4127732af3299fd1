//! Executors of one service: free slots, draining and ejection of failing ones.
//!
//! An executor that can't be connected to provably runs nothing, so it is ejected at once, with a
//! short back-off. One that fails requests is ejected only while at least half of its zone stays in
//! use, so a correlated fault can't eject a whole zone. See `docs/design/routing.md`.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, ZoneName},
};

/// Number of consecutive failed attempts after which an executor is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Initial ejection time; doubles with each failed probe.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum ejection time.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// At most one in this many executors of a zone is ejected for failed attempts.
const MAX_EJECTED_DIVISOR: usize = 2;

/// Description of an executor from the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorInfo {
    /// Id of the executor.
    pub id: ExecutorId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Whether it is leaving and must get no new work.
    pub is_leaving: bool,
}

/// Health of an executor as shown by one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The executor answered or declined the request.
    Healthy,
    /// The executor reported a failure or its answer was lost.
    Failing,
    /// The connection failed.
    Unreachable,
}

#[derive(Debug)]
struct Executor {
    info: ExecutorInfo,
    in_flight: u32,
    consecutive_failures: u32,
    backoff: Duration,
    ejected_until: Option<Now>,
    last_use: u64,
}

impl Executor {
    fn has_free_slot(&self) -> bool {
        let limit = self.info.slots.min(self.info.connections);
        let limit =
            if self.consecutive_failures >= EJECT_AFTER_FAILURES { limit.min(1) } else { limit };
        !self.info.is_leaving && self.ejected_until.is_none() && self.in_flight < limit
    }

    /// Returns the sort key for the choice: executors without recent failures first, then the least
    /// loaded, then the least recently used.
    fn rank(&self) -> (bool, u32, u64) {
        (self.consecutive_failures > 0, self.in_flight, self.last_use)
    }
}

#[derive(Debug, Default)]
struct ZoneCounts {
    all: usize,
    ejected: usize,
}

type RankedExecutor = ((bool, u32, u64), ExecutorId);

/// Table of executors, with the usable ones sorted by rank.
#[derive(Debug, Default)]
pub struct Executors {
    all: HashMap<ExecutorId, Executor>,
    usable: BTreeSet<RankedExecutor>,
    by_ejection_end: BTreeSet<(Now, ExecutorId)>,
    zones: HashMap<ZoneName, ZoneCounts>,
    use_count: u64,
    total_slots: u32,
}

impl Executors {
    /// Returns the slots of all executors that aren't leaving, including ejected ones.
    pub fn total_slots(&self) -> u32 {
        self.total_slots
    }

    /// Returns the number of executors that aren't leaving, including ejected ones.
    pub fn accepting_count(&self) -> usize {
        self.all.values().filter(|executor| !executor.info.is_leaving).count()
    }

    /// Returns the number of attempts in flight at `id`.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.all.get(id).map_or(0, |executor| executor.in_flight)
    }

    /// Returns the ids of all known executors.
    pub fn ids(&self) -> impl Iterator<Item = &ExecutorId> {
        self.all.keys()
    }

    /// Returns whether any usable executor has a free slot.
    pub fn has_free_slot(&self) -> bool {
        !self.usable.is_empty()
    }

    /// Adds or updates an executor. Leaving is final: a stale list must not reactivate an executor
    /// that has itself announced that it leaves.
    pub fn upsert(&mut self, mut info: ExecutorInfo) {
        let id = info.id.clone();
        self.update(&id, |existing| {
            if let Some(executor) = existing {
                info.is_leaving |= executor.info.is_leaving;
                executor.info = info;
                return None;
            }
            Some(Executor {
                info,
                in_flight: 0,
                consecutive_failures: 0,
                backoff: INITIAL_BACKOFF,
                ejected_until: None,
                last_use: 0,
            })
        });
    }

    /// Marks an executor as leaving, whichever source reports it first.
    pub fn mark_leaving(&mut self, id: &str) {
        self.update(id, |executor| {
            if let Some(executor) = executor {
                executor.info.is_leaving = true;
            }
            None
        });
    }

    /// Removes an executor that is no longer listed. Its attempts in flight may still end later.
    pub fn remove(&mut self, id: &str) {
        self.remove_from_indexes(id);
        self.all.remove(id);
    }

    /// Acquires a slot of the best usable executor.
    pub fn acquire_slot(&mut self) -> Option<ExecutorId> {
        self.acquire_slot_avoiding(None)
    }

    /// Acquires a slot of the best usable executor, and of `avoid` only if no other has a free
    /// slot.
    pub fn acquire_slot_avoiding(&mut self, avoid: Option<&ExecutorId>) -> Option<ExecutorId> {
        let other = self.usable.iter().map(|(_, id)| id).find(|id| Some(*id) != avoid);
        let id = other.or_else(|| self.usable.first().map(|(_, id)| id))?.clone();
        self.use_count += 1;
        let use_count = self.use_count;
        self.update(&id, |executor| {
            let executor = executor.expect("every usable executor is in the table");
            executor.in_flight += 1;
            executor.last_use = use_count;
            None
        });
        Some(id)
    }

    /// Releases a slot.
    pub fn release_slot(&mut self, id: &str) {
        self.update(id, |executor| {
            if let Some(executor) = executor {
                executor.in_flight = executor.in_flight.saturating_sub(1);
            }
            None
        });
    }

    /// Updates the health of an executor after an attempt, and ejects it if need be.
    pub fn observe(&mut self, now: Now, id: &str, health: Health) {
        let may_eject = match health {
            Health::Healthy => false,
            Health::Unreachable => true,
            Health::Failing => self.may_eject_in_zone(id),
        };
        let mut ejection_end = None;
        self.update(id, |executor| {
            let executor = executor?;
            if health == Health::Healthy {
                executor.consecutive_failures = 0;
                executor.backoff = INITIAL_BACKOFF;
                return None;
            }
            executor.consecutive_failures += 1;
            let must_eject = health == Health::Unreachable
                || executor.consecutive_failures >= EJECT_AFTER_FAILURES;
            if must_eject && may_eject && executor.ejected_until.is_none() {
                let until = now + executor.backoff;
                executor.consecutive_failures =
                    executor.consecutive_failures.max(EJECT_AFTER_FAILURES);
                executor.ejected_until = Some(until);
                executor.backoff = (executor.backoff * 2).min(MAX_BACKOFF);
                ejection_end = Some((until, executor.info.id.clone()));
            }
            None
        });
        self.by_ejection_end.extend(ejection_end);
    }

    /// Readmits executors whose back-off has passed; each gets one probe at a time.
    pub fn tick(&mut self, now: Now) {
        while let Some((until, id)) = self.by_ejection_end.first().cloned() {
            if until > now {
                return;
            }
            self.by_ejection_end.pop_first();
            self.update(&id, |executor| {
                if let Some(executor) = executor {
                    executor.ejected_until = None;
                }
                None
            });
        }
    }

    /// Returns whether one more executor of the zone of `id` may be ejected for failed attempts.
    fn may_eject_in_zone(&self, id: &str) -> bool {
        let zone = self.all.get(id).and_then(|executor| self.zones.get(&executor.info.zone));
        zone.is_some_and(|zone| (zone.ejected + 1) * MAX_EJECTED_DIVISOR <= zone.all)
    }

    /// Changes or adds one executor and updates the indexes.
    fn update(&mut self, id: &str, update: impl FnOnce(Option<&mut Executor>) -> Option<Executor>) {
        self.remove_from_indexes(id);
        if let Some(created) = update(self.all.get_mut(id)) {
            self.all.insert(created.info.id.clone(), created);
        }
        self.add_to_indexes(id);
    }

    fn remove_from_indexes(&mut self, id: &str) {
        let Some(executor) = self.all.get(id) else { return };
        self.usable.remove(&(executor.rank(), executor.info.id.clone()));
        self.total_slots -= if executor.info.is_leaving { 0 } else { executor.info.slots };
        if let Some(zone) = self.zones.get_mut(&executor.info.zone) {
            zone.all -= 1;
            zone.ejected -= usize::from(executor.ejected_until.is_some());
        }
    }

    fn add_to_indexes(&mut self, id: &str) {
        let Some(executor) = self.all.get(id) else { return };
        self.total_slots += if executor.info.is_leaving { 0 } else { executor.info.slots };
        if executor.has_free_slot() {
            self.usable.insert((executor.rank(), executor.info.id.clone()));
        }
        let zone = self.zones.entry(executor.info.zone.clone()).or_default();
        zone.all += 1;
        zone.ejected += usize::from(executor.ejected_until.is_some());
    }
}

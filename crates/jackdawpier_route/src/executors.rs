//! The executors of one service: free slots, leaving ones, and those that fail.
//!
//! An executor that can't be connected to provably runs nothing and is left out at once, with a
//! short backoff. One that answers badly is left out only while at least half of its zone stays
//! in, so that a correlated fault can't eject a zone. See `docs/design/routing.md`.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, ZoneName},
};

/// Failed attempts in a row after which an executor is left out.
const EJECT_AFTER: u32 = 3;
/// First time for which an executor is left out; doubles with each failed probe.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time for which an executor is left out.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// At most one part in this many of a zone is left out for bad answers.
const EJECT_SHARE_DIVISOR: usize = 2;

/// What the platform's instance list says of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorInfo {
    /// Its id.
    pub id: ExecutorId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
    /// Whether it is leaving and must get no new work.
    pub is_leaving: bool,
}

/// How an attempt bears on the executor's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answered.
    Good,
    /// It answered badly or not at all.
    Bad,
    /// It could not be connected to.
    Unreachable,
}

#[derive(Debug)]
struct Executor {
    info: ExecutorInfo,
    in_flight: u32,
    failures: u32,
    backoff: Duration,
    left_out_until: Option<Now>,
    last_use: u64,
}

impl Executor {
    fn has_free_slot(&self) -> bool {
        let limit = self.info.slots.min(self.info.connections);
        let limit = if self.failures >= EJECT_AFTER { limit.min(1) } else { limit };
        !self.info.is_leaving && self.left_out_until.is_none() && self.in_flight < limit
    }

    /// Suspects come last, then the emptiest, then the one unused for longest.
    fn rank(&self) -> (bool, u32, u64) {
        (self.failures > 0, self.in_flight, self.last_use)
    }
}

#[derive(Debug, Default)]
struct ZoneCount {
    all: usize,
    left_out: usize,
}

type Rank = ((bool, u32, u64), ExecutorId);

/// The table of executors, with the usable ones in order of choice.
#[derive(Debug, Default)]
pub struct Executors {
    all: HashMap<ExecutorId, Executor>,
    usable: BTreeSet<Rank>,
    returning: BTreeSet<(Now, ExecutorId)>,
    zones: HashMap<ZoneName, ZoneCount>,
    uses: u64,
    slots: u32,
}

impl Executors {
    /// Slots of the executors that take new work, those left out for a while included.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Executors that take new work.
    pub fn accepting_count(&self) -> usize {
        self.all.values().filter(|executor| !executor.info.is_leaving).count()
    }

    /// Attempts in flight at `id`.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.all.get(id).map_or(0, |executor| executor.in_flight)
    }

    /// Ids of all known executors.
    pub fn ids(&self) -> impl Iterator<Item = &ExecutorId> {
        self.all.keys()
    }

    /// Whether any executor has a free slot.
    pub fn has_free_slot(&self) -> bool {
        !self.usable.is_empty()
    }

    /// Adds an executor or takes over what the list says of it. Leaving is final: a lagging list
    /// must not bring an executor back that itself said it leaves.
    pub fn upsert(&mut self, mut info: ExecutorInfo) {
        let id = info.id.clone();
        self.change(&id, |existing| {
            if let Some(executor) = existing {
                info.is_leaving |= executor.info.is_leaving;
                executor.info = info;
                return None;
            }
            Some(Executor {
                info,
                in_flight: 0,
                failures: 0,
                backoff: FIRST_BACKOFF,
                left_out_until: None,
                last_use: 0,
            })
        });
    }

    /// Marks an executor as leaving, from whichever source said so first.
    pub fn mark_leaving(&mut self, id: &str) {
        self.change(id, |executor| {
            if let Some(executor) = executor {
                executor.info.is_leaving = true;
            }
            None
        });
    }

    /// Forgets an executor that is gone from the list; attempts in flight may still end.
    pub fn remove(&mut self, id: &str) {
        self.unlist(id);
        self.all.remove(id);
    }

    /// Takes a slot of the best usable executor.
    pub fn acquire_slot(&mut self) -> Option<ExecutorId> {
        self.acquire_slot_avoiding(None)
    }

    /// Takes a slot of the best usable executor other than `avoid`, if another has room.
    pub fn acquire_slot_avoiding(&mut self, avoid: Option<&ExecutorId>) -> Option<ExecutorId> {
        let other = self.usable.iter().map(|(_, id)| id).find(|id| Some(*id) != avoid);
        let id = other.or_else(|| self.usable.first().map(|(_, id)| id))?.clone();
        self.uses += 1;
        let uses = self.uses;
        self.change(&id, |executor| {
            let executor = executor.expect("a usable executor is in the table");
            executor.in_flight += 1;
            executor.last_use = uses;
            None
        });
        Some(id)
    }

    /// Gives a slot back.
    pub fn release_slot(&mut self, id: &str) {
        self.change(id, |executor| {
            if let Some(executor) = executor {
                executor.in_flight = executor.in_flight.saturating_sub(1);
            }
            None
        });
    }

    /// Learns how an attempt went.
    pub fn observe(&mut self, now: Now, id: &str, health: Health) {
        let may_eject = match health {
            Health::Good => false,
            Health::Unreachable => true,
            Health::Bad => self.is_above_floor(id),
        };
        let mut return_at = None;
        self.change(id, |executor| {
            let executor = executor?;
            if health == Health::Good {
                executor.failures = 0;
                executor.backoff = FIRST_BACKOFF;
                return None;
            }
            executor.failures += 1;
            let is_ejected = health == Health::Unreachable || executor.failures >= EJECT_AFTER;
            if is_ejected && may_eject && executor.left_out_until.is_none() {
                let until = now + executor.backoff;
                executor.failures = executor.failures.max(EJECT_AFTER);
                executor.left_out_until = Some(until);
                executor.backoff = (executor.backoff * 2).min(MAX_BACKOFF);
                return_at = Some((until, executor.info.id.clone()));
            }
            None
        });
        self.returning.extend(return_at);
    }

    /// Lets executors whose backoff has passed take one probe each.
    pub fn tick(&mut self, now: Now) {
        while let Some((until, id)) = self.returning.first().cloned() {
            if until > now {
                return;
            }
            self.returning.pop_first();
            self.change(&id, |executor| {
                if let Some(executor) = executor {
                    executor.left_out_until = None;
                }
                None
            });
        }
    }

    /// Whether one more executor of the zone of `id` may be left out for bad answers.
    fn is_above_floor(&self, id: &str) -> bool {
        let zone = self.all.get(id).and_then(|executor| self.zones.get(&executor.info.zone));
        zone.is_some_and(|zone| (zone.left_out + 1) * EJECT_SHARE_DIVISOR <= zone.all)
    }

    /// Changes one executor and keeps the order and the counts in step.
    fn change(&mut self, id: &str, change: impl FnOnce(Option<&mut Executor>) -> Option<Executor>) {
        self.unlist(id);
        if let Some(created) = change(self.all.get_mut(id)) {
            self.all.insert(created.info.id.clone(), created);
        }
        self.list(id);
    }

    fn unlist(&mut self, id: &str) {
        let Some(executor) = self.all.get(id) else { return };
        self.usable.remove(&(executor.rank(), executor.info.id.clone()));
        self.slots -= if executor.info.is_leaving { 0 } else { executor.info.slots };
        if let Some(zone) = self.zones.get_mut(&executor.info.zone) {
            zone.all -= 1;
            zone.left_out -= usize::from(executor.left_out_until.is_some());
        }
    }

    fn list(&mut self, id: &str) {
        let Some(executor) = self.all.get(id) else { return };
        self.slots += if executor.info.is_leaving { 0 } else { executor.info.slots };
        if executor.has_free_slot() {
            self.usable.insert((executor.rank(), executor.info.id.clone()));
        }
        let zone = self.zones.entry(executor.info.zone.clone()).or_default();
        zone.all += 1;
        zone.left_out += usize::from(executor.left_out_until.is_some());
    }
}

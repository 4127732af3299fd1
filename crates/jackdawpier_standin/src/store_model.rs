//! The platform's store as a value: pure, in virtual time, for tests and for the process.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use jackdawpier_kernel::{Now, ids::Revision};
use jackdawpier_store::{
    Change, Condition, LeaseId, Record, Request, Response, StoreError, StoreResult,
};

/// Changes that a watch can go back to.
const KEPT_CHANGES: usize = 4096;

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    until: Now,
}

/// Calls by operation.
pub type CallCounts = BTreeMap<&'static str, u64>;

/// The store's whole state.
#[derive(Debug, Clone, Default)]
pub struct StoreModel {
    records: BTreeMap<String, Record>,
    leases: BTreeMap<LeaseId, Lease>,
    revision: Revision,
    changes: VecDeque<Change>,
    compacted_at: Revision,
    next_lease: LeaseId,
    counts: CallCounts,
}

/// What goes wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// Nothing.
    None,
    /// The store refuses or can't be reached; no effect.
    Down,
    /// The call is lost on its way; no effect, but the caller can't know.
    LostBefore,
    /// The call takes effect and its answer is lost.
    LostAfter,
}

impl StoreModel {
    /// Calls so far, by operation.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// All records, for checks.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes a copy back: a store that was restored from an old backup.
    pub fn roll_back(&mut self, old: &Self) {
        let counts = std::mem::take(&mut self.counts);
        *self = Self { counts, ..old.clone() };
    }

    /// Makes a call that may go wrong.
    pub fn call_with(&mut self, now: Now, request: &Request, fault: CallFault) -> StoreResult {
        match fault {
            CallFault::None => Ok(self.call(now, request)),
            CallFault::Down => Err(StoreError::unavailable("down")),
            CallFault::LostBefore => Err(StoreError::ambiguous("lost on the way")),
            CallFault::LostAfter => {
                self.call(now, request);
                Err(StoreError::ambiguous("answer lost"))
            }
        }
    }

    /// Makes a call. A watch answers at once; the process around it does the waiting.
    pub fn call(&mut self, now: Now, request: &Request) -> Response {
        *self.counts.entry(request.name()).or_default() += 1;
        self.expire(now);
        match request {
            Request::Get { key } => Response::Record {
                record: self.records.get(key).cloned(),
                store_revision: self.revision,
            },
            Request::Range { prefix, after_key, limit } => self.range(prefix, after_key, *limit),
            Request::Put { key, value, condition, lease } => {
                self.put(key, value, *condition, *lease)
            }
            Request::Delete { key, condition } => self.delete(key, *condition),
            Request::LeaseGrant { ttl_ms } => self.grant(now, Duration::from_millis(*ttl_ms)),
            Request::LeaseRenew { lease } => self.renew(now, *lease),
            Request::LeaseRevoke { lease } => {
                self.end_lease(*lease);
                Response::Written { revision: self.revision }
            }
            Request::Watch { prefix, after_revision, .. } => self.changes(prefix, *after_revision),
        }
    }

    fn range(&self, prefix: &str, after_key: &str, limit: usize) -> Response {
        let start = if after_key > prefix { after_key } else { prefix };
        let mut found = self
            .records
            .range(start.to_owned()..)
            .map(|(_, record)| record)
            .take_while(|record| record.key.starts_with(prefix))
            .filter(|record| record.key.as_str() > after_key);
        let records: Vec<Record> = found.by_ref().take(limit).cloned().collect();
        let more = found.next().is_some();
        Response::Records { records, more, store_revision: self.revision }
    }

    fn holds(&self, key: &str, condition: Condition) -> bool {
        match (condition, self.records.get(key)) {
            (Condition::Always, _) | (Condition::Absent, None) => true,
            (Condition::Revision(expected), Some(record)) => record.revision == expected,
            _ => false,
        }
    }

    fn put(
        &mut self,
        key: &str,
        value: &str,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> Response {
        if !self.holds(key, condition) {
            return Response::Conflict { current: self.records.get(key).cloned() };
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Response::LeaseGone;
        }
        self.revision += 1;
        let revision = self.revision;
        let record = Record { key: key.to_owned(), value: value.to_owned(), revision, lease };
        self.records.insert(key.to_owned(), record.clone());
        self.note(Change::Put(record));
        Response::Written { revision }
    }

    fn delete(&mut self, key: &str, condition: Condition) -> Response {
        if self.records.contains_key(key) && !self.holds(key, condition) {
            return Response::Conflict { current: self.records.get(key).cloned() };
        }
        self.remove(key);
        Response::Written { revision: self.revision }
    }

    fn remove(&mut self, key: &str) {
        if self.records.remove(key).is_some() {
            self.revision += 1;
            self.note(Change::Delete { key: key.to_owned(), revision: self.revision });
        }
    }

    fn note(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            let dropped = self.changes.pop_front().expect("it is longer than the limit");
            self.compacted_at = revision_of(&dropped);
        }
    }

    fn grant(&mut self, now: Now, ttl: Duration) -> Response {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, until: now + ttl });
        Response::Lease { lease: self.next_lease }
    }

    fn renew(&mut self, now: Now, lease: LeaseId) -> Response {
        match self.leases.get_mut(&lease) {
            Some(found) => {
                found.until = now + found.ttl;
                Response::Lease { lease }
            }
            None => Response::LeaseGone,
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .records
            .values()
            .filter(|record| record.lease == Some(lease))
            .map(|record| record.key.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Ends the leases that have run out.
    pub fn expire(&mut self, now: Now) {
        let ended: Vec<LeaseId> =
            self.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
        ended.iter().for_each(|lease| self.end_lease(*lease));
    }

    /// Ends every lease at once, as after a fault of the platform.
    pub fn lapse_all_leases(&mut self) {
        let all: Vec<LeaseId> = self.leases.keys().copied().collect();
        all.iter().for_each(|lease| self.end_lease(*lease));
    }

    /// Changes under a prefix, for a watch that goes on waiting; not counted as a call.
    pub fn changes(&self, prefix: &str, after_revision: Revision) -> Response {
        if after_revision < self.compacted_at || after_revision > self.revision {
            return Response::Compacted { store_revision: self.revision };
        }
        let start = self.changes.partition_point(|change| revision_of(change) <= after_revision);
        let changes = self
            .changes
            .range(start..)
            .filter(|change| key_of(change).starts_with(prefix))
            .cloned()
            .collect();
        Response::Changes { changes, store_revision: self.revision }
    }
}

fn revision_of(change: &Change) -> Revision {
    match change {
        Change::Put(record) => record.revision,
        Change::Delete { revision, .. } => *revision,
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(record) => &record.key,
        Change::Delete { key, .. } => key,
    }
}

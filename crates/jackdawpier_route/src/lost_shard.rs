//! States of the keys of a shard that this entry has lost.
//!
//! The outcome of a request stays valid after a change of ownership, but only the current owner can
//! write it. An entry that loses a shard therefore keeps the outcomes that it could not write, and
//! the current owner queries them when the request is repeated. See `docs/design/at-most-once.md`.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{Now, ids::RequestKey, outcome::Outcome};

use crate::dedupe::{KeyState, retained_outcome};

/// Keys of a lost shard whose latest state may be missing from the log.
#[derive(Debug)]
pub struct LostShardKeys {
    retention: Duration,
    keys: HashMap<RequestKey, (Now, KeyState)>,
    expiring: BTreeSet<(Now, RequestKey)>,
}

impl LostShardKeys {
    /// Returns an empty table that keeps each state for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { retention, keys: HashMap::new(), expiring: BTreeSet::new() }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Adds or replaces the state of a key. [`KeyState::Intent`] means that the request still runs
    /// here.
    pub(crate) fn insert(&mut self, now: Now, key: RequestKey, state: KeyState) {
        let expires_at = now + self.retention;
        self.expiring.insert((expires_at, Arc::clone(&key)));
        self.keys.insert(key, (expires_at, state));
    }

    /// Records the outcome of a request that was running when the shard was lost.
    pub fn record_outcome(&mut self, now: Now, key: &RequestKey, outcome: &Outcome) {
        let Some((_, KeyState::Intent { fingerprint, .. })) = self.keys.get(key) else { return };
        let state = match outcome {
            Outcome::NotRun { .. } => KeyState::Released,
            _ => KeyState::Ended { fingerprint: *fingerprint, outcome: retained_outcome(outcome) },
        };
        self.insert(now, Arc::clone(key), state);
    }

    /// Returns the state of a key.
    pub fn get(&self, key: &str) -> Option<KeyState> {
        self.keys.get(key).map(|(_, state)| state.clone())
    }

    /// Removes all keys; called when this entry owns the shard again.
    pub(crate) fn clear(&mut self) {
        self.keys.clear();
        self.expiring.clear();
    }

    /// Removes states past their retention.
    pub fn expire(&mut self, now: Now) {
        while self.expiring.first().is_some_and(|(at, _)| *at <= now) {
            let (at, key) = self.expiring.pop_first().expect("the set has a first element");
            if self.keys.get(&key).is_some_and(|(expires_at, _)| *expires_at == at) {
                self.keys.remove(&key);
            }
        }
    }
}

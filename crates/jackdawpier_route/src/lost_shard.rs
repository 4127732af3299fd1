//! What an entry remembers of the keys of a shard that it lost.
//!
//! The end of a request is true whoever owns its key by now, but only the owner can write it. So
//! an entry that loses a shard keeps the ends that it could not write, and the owner asks for them
//! when a repeat arrives. See `docs/design/at-most-once.md`.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{Now, ids::RequestKey, outcome::Outcome};

use crate::dedupe::{KeyState, retained_outcome};

/// Keys of a lost shard whose last state may not be in the log.
#[derive(Debug)]
pub struct LostShardKeys {
    retention: Duration,
    keys: HashMap<RequestKey, (Now, KeyState)>,
    expiring: BTreeSet<(Now, RequestKey)>,
}

impl LostShardKeys {
    /// Returns an empty memory that keeps a state for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { retention, keys: HashMap::new(), expiring: BTreeSet::new() }
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Remembers a state. [`KeyState::Intent`] says that the request still runs here.
    pub(crate) fn insert(&mut self, now: Now, key: RequestKey, state: KeyState) {
        let expires_at = now + self.retention;
        self.expiring.insert((expires_at, Arc::clone(&key)));
        self.keys.insert(key, (expires_at, state));
    }

    /// Notes the outcome of a request that still ran when the shard was lost.
    pub fn record_outcome(&mut self, now: Now, key: &RequestKey, outcome: &Outcome) {
        let Some((_, KeyState::Intent { fingerprint, .. })) = self.keys.get(key) else { return };
        let state = match outcome {
            Outcome::NotRun { .. } => KeyState::Released,
            _ => KeyState::Ended { fingerprint: *fingerprint, outcome: retained_outcome(outcome) },
        };
        self.insert(now, Arc::clone(key), state);
    }

    /// What is remembered of a key.
    pub fn get(&self, key: &str) -> Option<KeyState> {
        self.keys.get(key).map(|(_, state)| state.clone())
    }

    /// Forgets everything, when this entry owns the shard again.
    pub(crate) fn clear(&mut self) {
        self.keys.clear();
        self.expiring.clear();
    }

    /// Forgets what is past its retention.
    pub fn expire(&mut self, now: Now) {
        while self.expiring.first().is_some_and(|(at, _)| *at <= now) {
            let (at, key) = self.expiring.pop_first().expect("it was there above");
            if self.keys.get(&key).is_some_and(|(expires_at, _)| *expires_at == at) {
                self.keys.remove(&key);
            }
        }
    }
}

//! At-most-once execution of keyed requests, across all entries and changes of ownership.
//!
//! An intent is durable before the first byte of its request is sent. An intent that a new owner
//! finds in the log without an outcome is never sent again. If such a request is repeated, the
//! owner queries the entry that wrote the intent, and answers "unknown" only if that entry doesn't
//! know the outcome. See `docs/design/at-most-once.md`.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{EntryId, RequestKey, Ticket},
    outcome::{Answer, Outcome},
};
use serde::{Deserialize, Serialize};

use crate::lost_shard::LostShardKeys;

/// Maximum size of an answer body that is retained for repeated requests.
pub const MAX_RETAINED_BODY_BYTES: usize = 16 * 1024;

/// Hash of a request's method, path and body; detects the use of one key for different requests.
pub type Fingerprint = u64;

/// Durable state of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum KeyState {
    /// The request may be sent once, by the entry that wrote this state.
    Intent {
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// The entry that wrote this state; no other entry can know the outcome.
        entry: EntryId,
    },
    /// The request has ended.
    Ended {
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// The outcome; a body above the size limit is replaced by a notice.
        outcome: Outcome,
    },
    /// The request provably did not run; the key may be used again.
    Released,
}

/// Decision on a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Write the intent, and send the request once [`Dedupe::on_committed`] returns its ticket.
    WriteIntent {
        /// The state to make durable.
        state: KeyState,
    },
    /// The same request is in progress; its outcome will be returned for this ticket too.
    Wait,
    /// A previous owner may have sent the request: query this entry and pass its reply to
    /// [`Dedupe::resolve`], which returns this ticket.
    QueryWriter(EntryId),
    /// The request has already ended with this outcome.
    Replay(Outcome),
    /// The key belongs to a different request.
    KeyReused,
}

/// Result of [`Dedupe::resolve`]: what to do about an intent of a previous owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// Write the outcome; once it is durable, [`CommitResult::resolved`] returns the waiting
    /// tickets. Answering them earlier could give an outcome that is lost if its only holder
    /// crashes.
    WriteEnd(KeyState),
    /// The request never ran: write the release, and let the waiting callers retry.
    Release(Vec<Ticket>),
    /// The outcome wasn't found: answer these tickets that it is unknown.
    Unknown(Vec<Ticket>),
}

/// Tickets to act on after a commit.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CommitResult {
    /// Requests whose intents are durable now, so they may be sent.
    pub sendable: Vec<Ticket>,
    /// Outcomes learned from a previous owner, each with the tickets that wait for it.
    pub resolved: Vec<(Outcome, Vec<Ticket>)>,
}

#[derive(Debug)]
enum TrackedKey {
    Running {
        fingerprint: Fingerprint,
        waiters: Vec<Ticket>,
    },
    Ended {
        fingerprint: Fingerprint,
        outcome: Outcome,
    },
    /// An intent of a previous owner. It is rare, and boxed to keep the other variants small.
    Unresolved {
        fingerprint: Fingerprint,
        intent: Box<UnresolvedIntent>,
    },
}

#[derive(Debug)]
struct UnresolvedIntent {
    /// The entry that wrote the intent.
    entry: EntryId,
    waiters: Vec<Ticket>,
    /// The outcome, learned from that entry but not durable here yet.
    learned: Option<Outcome>,
}

/// Deduplication table of one shard.
#[derive(Debug)]
pub struct Dedupe {
    entry: EntryId,
    retention: Duration,
    keys: HashMap<RequestKey, TrackedKey>,
    expiring: BTreeSet<(Now, RequestKey)>,
    /// Intents that aren't durable yet, in the order of their writes.
    pending_intents: VecDeque<(u64, Ticket, RequestKey)>,
    /// Outcomes that aren't durable yet, in the order of their writes.
    pending_ends: VecDeque<(u64, RequestKey)>,
}

impl Dedupe {
    /// Returns an empty table for the owner `entry` that keeps each outcome for `retention`.
    pub fn new(entry: EntryId, retention: Duration) -> Self {
        Self {
            entry,
            retention,
            keys: HashMap::new(),
            expiring: BTreeSet::new(),
            pending_intents: VecDeque::new(),
            pending_ends: VecDeque::new(),
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Recovers the durable states of a previous owner, which may have been this entry;
    /// `lost_shard` holds what this entry kept when it lost the shard. Returns the states that the
    /// log lacks, to be made durable.
    ///
    /// Clears `lost_shard`, since its states are out of date from now on. Otherwise an entry that
    /// has lost the shard again without noticing could report a key as released although it has
    /// sent the request in the meantime.
    pub fn recover(
        &mut self,
        now: Now,
        states: impl IntoIterator<Item = (RequestKey, KeyState)>,
        lost_shard: &mut LostShardKeys,
    ) -> Vec<(RequestKey, KeyState)> {
        let mut missing_states = Vec::new();
        for (key, state) in states {
            let remembered = match &state {
                KeyState::Intent { entry, .. } if *entry == self.entry => lost_shard.get(&key),
                _ => None,
            };
            match remembered {
                Some(KeyState::Intent { fingerprint, .. }) => {
                    self.keys.insert(key, TrackedKey::Running { fingerprint, waiters: Vec::new() });
                }
                Some(state) => {
                    self.recover_key(now, Arc::clone(&key), state.clone());
                    missing_states.push((key, state));
                }
                None => self.recover_key(now, key, state),
            }
        }
        lost_shard.clear();
        missing_states
    }

    fn recover_key(&mut self, now: Now, key: RequestKey, state: KeyState) {
        let tracked = match state {
            KeyState::Intent { fingerprint, entry } => {
                let intent = UnresolvedIntent { entry, waiters: Vec::new(), learned: None };
                TrackedKey::Unresolved { fingerprint, intent: Box::new(intent) }
            }
            KeyState::Ended { fingerprint, outcome } => TrackedKey::Ended { fingerprint, outcome },
            KeyState::Released => return,
        };
        self.expiring.insert((now + self.retention, Arc::clone(&key)));
        self.keys.insert(key, tracked);
    }

    /// Decides on a request. After [`Decision::WriteIntent`], the caller reports by
    /// [`Dedupe::on_intent_write_queued`] which write contains the intent.
    pub fn begin(
        &mut self,
        key: &RequestKey,
        fingerprint: Fingerprint,
        ticket: Ticket,
    ) -> Decision {
        match self.keys.get_mut(key) {
            None => {
                let tracked = TrackedKey::Running { fingerprint, waiters: Vec::new() };
                self.keys.insert(Arc::clone(key), tracked);
                let entry = self.entry.clone();
                Decision::WriteIntent { state: KeyState::Intent { fingerprint, entry } }
            }
            Some(TrackedKey::Running { fingerprint: known, waiters }) if *known == fingerprint => {
                waiters.push(ticket);
                Decision::Wait
            }
            Some(TrackedKey::Ended { fingerprint: known, outcome }) if *known == fingerprint => {
                Decision::Replay(outcome.clone())
            }
            Some(TrackedKey::Unresolved { fingerprint: known, intent })
                if *known == fingerprint =>
            {
                intent.waiters.push(ticket);
                let is_first = intent.waiters.len() == 1 && intent.learned.is_none();
                if is_first { Decision::QueryWriter(intent.entry.clone()) } else { Decision::Wait }
            }
            Some(_) => Decision::KeyReused,
        }
    }

    /// Processes the reply of the queried entry: its state of the key, if it has one. Without an
    /// outcome the key stays unresolved, and the next repeated request causes another query.
    pub fn resolve(&mut self, key: &RequestKey, reply: Option<KeyState>) -> Resolution {
        let Some(TrackedKey::Unresolved { intent, .. }) = self.keys.get_mut(key) else {
            return Resolution::Unknown(Vec::new());
        };
        let UnresolvedIntent { waiters, learned, .. } = &mut **intent;
        match reply {
            Some(KeyState::Ended { fingerprint, outcome }) => {
                *learned = Some(outcome.clone());
                Resolution::WriteEnd(KeyState::Ended { fingerprint, outcome })
            }
            Some(KeyState::Released) if learned.is_none() => {
                let waiters = std::mem::take(waiters);
                self.keys.remove(key);
                Resolution::Release(waiters)
            }
            _ if learned.is_some() => Resolution::Unknown(Vec::new()),
            _ => Resolution::Unknown(std::mem::take(waiters)),
        }
    }

    /// Records that write `number` contains the intent of `ticket`.
    pub fn on_intent_write_queued(&mut self, number: u64, ticket: Ticket, key: &RequestKey) {
        self.pending_intents.push_back((number, ticket, Arc::clone(key)));
    }

    /// Records that write `number` contains the outcome of `key`.
    pub fn on_end_write_queued(&mut self, number: u64, key: &RequestKey) {
        self.pending_ends.push_back((number, Arc::clone(key)));
    }

    /// Records that all writes up to number `up_to` are durable, and returns the tickets to act on.
    pub fn on_committed(&mut self, up_to: u64) -> CommitResult {
        let written = self.pending_ends.iter().take_while(|(number, _)| *number <= up_to).count();
        let written: Vec<RequestKey> =
            self.pending_ends.drain(..written).map(|(_, key)| key).collect();
        let learned = written.iter().filter_map(|key| self.finish_learned(key)).collect();
        let count = self.pending_intents.iter().take_while(|(number, ..)| *number <= up_to).count();
        let sendable = self.pending_intents.drain(..count).map(|(_, ticket, _)| ticket).collect();
        CommitResult { sendable, resolved: learned }
    }

    /// Marks a key as ended after its learned outcome has become durable.
    fn finish_learned(&mut self, key: &RequestKey) -> Option<(Outcome, Vec<Ticket>)> {
        let tracked = self.keys.get_mut(key)?;
        let TrackedKey::Unresolved { fingerprint, intent } = tracked else { return None };
        let outcome = intent.learned.take()?;
        let waiters = std::mem::take(&mut intent.waiters);
        *tracked = TrackedKey::Ended { fingerprint: *fingerprint, outcome: outcome.clone() };
        Some((outcome, waiters))
    }

    /// Ends this ownership and moves the states that the log may lack into `lost_shard`. Returns
    /// the tickets whose intents aren't known to be durable; their requests are never sent.
    pub fn release_ownership(mut self, now: Now, lost_shard: &mut LostShardKeys) -> Vec<Ticket> {
        let mut unsent = Vec::new();
        for (_, ticket, key) in std::mem::take(&mut self.pending_intents) {
            self.keys.remove(&key);
            lost_shard.insert(now, key, KeyState::Released);
            unsent.push(ticket);
        }
        for (_, key) in std::mem::take(&mut self.pending_ends) {
            match self.keys.remove(&key) {
                Some(TrackedKey::Ended { fingerprint, outcome }) => {
                    lost_shard.insert(now, key, KeyState::Ended { fingerprint, outcome });
                }
                Some(tracked) => drop(self.keys.insert(key, tracked)),
                None => lost_shard.insert(now, key, KeyState::Released),
            }
        }
        for (key, tracked) in self.keys {
            if let TrackedKey::Running { fingerprint, .. } = tracked {
                let entry = self.entry.clone();
                lost_shard.insert(now, key, KeyState::Intent { fingerprint, entry });
            }
        }
        unsent
    }

    /// Records the outcome of a running request. Returns the state to make durable and the tickets
    /// that wait for the same outcome.
    pub fn record_outcome(
        &mut self,
        now: Now,
        key: &RequestKey,
        outcome: &Outcome,
    ) -> Option<(KeyState, Vec<Ticket>)> {
        let Some(TrackedKey::Running { fingerprint, waiters }) = self.keys.get_mut(key) else {
            return None;
        };
        let (fingerprint, waiters) = (*fingerprint, std::mem::take(waiters));
        if matches!(outcome, Outcome::NotRun { .. }) {
            self.keys.remove(key);
            return Some((KeyState::Released, waiters));
        }
        let kept = retained_outcome(outcome);
        let tracked = TrackedKey::Ended { fingerprint, outcome: kept.clone() };
        self.keys.insert(Arc::clone(key), tracked);
        self.expiring.insert((now + self.retention, Arc::clone(key)));
        Some((KeyState::Ended { fingerprint, outcome: kept }, waiters))
    }

    /// Removes the keys past their retention and returns them.
    pub fn expire(&mut self, now: Now) -> Vec<RequestKey> {
        let mut expired = Vec::new();
        while self.expiring.first().is_some_and(|(at, _)| *at <= now) {
            let (_, key) = self.expiring.pop_first().expect("the set has a first element");
            self.keys.remove(&key);
            expired.push(key);
        }
        expired
    }
}

pub(crate) fn retained_outcome(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Answered(answer) if answer.body.len() > MAX_RETAINED_BODY_BYTES => {
            Outcome::Answered(Answer {
                status: answer.status,
                content_type: "text/plain".to_owned(),
                body: b"the request ran; its answer is too long to be kept".to_vec(),
            })
        }
        other => other.clone(),
    }
}

//! Keyed requests run at most once, over all entries and over the replacement of any entry.
//!
//! The intent is durable before the first byte leaves. An intent that a new owner finds without
//! an end is never sent again by anyone; a repeat of it is told "unknown". See
//! `docs/design/at-most-once.md`.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{RequestKey, Ticket},
    outcome::{Answer, Outcome},
};
use serde::{Deserialize, Serialize};

/// Largest answer body that is kept for a repeat, in bytes.
pub const MAX_KEPT_BODY_BYTES: usize = 16 * 1024;

/// Hash of a request's method, path and body: a key must not be used for two requests.
pub type Fingerprint = u64;

/// Durable state of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum KeyState {
    /// The request may be sent once by the entry that wrote this.
    Intent {
        /// Hash of the request.
        fingerprint: Fingerprint,
    },
    /// The request has ended with this outcome.
    Ended {
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// The outcome; a long body is dropped and told as such.
        outcome: Outcome,
    },
    /// The request provably did not run; the key may be used again.
    Released,
}

/// What to do with a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Write the intent, and run the request once [`Dedupe::committed`] returns its ticket.
    Record {
        /// The state to make durable.
        state: KeyState,
    },
    /// The same request is under way: its outcome will be returned for this ticket too.
    Wait,
    /// The request has ended before: this is its outcome.
    Repeat(Outcome),
    /// The key was used for another request.
    KeyReused,
}

#[derive(Debug)]
enum Live {
    Running { fingerprint: Fingerprint, waiters: Vec<Ticket> },
    Ended { fingerprint: Fingerprint, outcome: Outcome },
}

/// The keys of one shard.
#[derive(Debug)]
pub struct Dedupe {
    retention: Duration,
    keys: HashMap<RequestKey, Live>,
    expiring: BTreeSet<(Now, RequestKey)>,
    uncommitted: VecDeque<(u64, Ticket)>,
}

impl Dedupe {
    /// Returns an empty table that keeps outcomes for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            keys: HashMap::new(),
            expiring: BTreeSet::new(),
            uncommitted: VecDeque::new(),
        }
    }

    /// Keys that are known.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Takes over the durable state of a key from an earlier owner.
    pub fn recover(&mut self, now: Now, key: RequestKey, state: KeyState) {
        let (fingerprint, outcome) = match state {
            KeyState::Intent { fingerprint } => {
                let detail = "an earlier owner may have sent this request".to_owned();
                (fingerprint, Outcome::Unknown { detail })
            }
            KeyState::Ended { fingerprint, outcome } => (fingerprint, outcome),
            KeyState::Released => return,
        };
        self.expiring.insert((now + self.retention, Arc::clone(&key)));
        self.keys.insert(key, Live::Ended { fingerprint, outcome });
    }

    /// Decides on a request. After [`Decision::Record`] the caller says by
    /// [`Dedupe::recording`] which durable write carries the intent.
    pub fn begin(
        &mut self,
        key: &RequestKey,
        fingerprint: Fingerprint,
        ticket: Ticket,
    ) -> Decision {
        match self.keys.get_mut(key) {
            None => {
                let live = Live::Running { fingerprint, waiters: Vec::new() };
                self.keys.insert(Arc::clone(key), live);
                Decision::Record { state: KeyState::Intent { fingerprint } }
            }
            Some(Live::Running { fingerprint: known, waiters }) if *known == fingerprint => {
                waiters.push(ticket);
                Decision::Wait
            }
            Some(Live::Ended { fingerprint: known, outcome }) if *known == fingerprint => {
                Decision::Repeat(outcome.clone())
            }
            Some(_) => Decision::KeyReused,
        }
    }

    /// Says that durable write `number` carries the intent of `ticket`.
    pub fn recording(&mut self, number: u64, ticket: Ticket) {
        self.uncommitted.push_back((number, ticket));
    }

    /// Returns the tickets whose intents are durable now, so that they may be sent.
    pub fn committed(&mut self, up_to: u64) -> Vec<Ticket> {
        let count = self.uncommitted.iter().take_while(|(number, _)| *number <= up_to).count();
        self.uncommitted.drain(..count).map(|(_, ticket)| ticket).collect()
    }

    /// Returns the tickets whose intents are not durable and never will be, after a fence.
    pub fn fenced(&mut self) -> Vec<Ticket> {
        self.uncommitted.drain(..).map(|(_, ticket)| ticket).collect()
    }

    /// Notes the outcome of a request that was recorded. Returns the state to make durable and
    /// the tickets that wait for the same outcome.
    pub fn end(
        &mut self,
        now: Now,
        key: &RequestKey,
        outcome: &Outcome,
    ) -> Option<(KeyState, Vec<Ticket>)> {
        let Some(Live::Running { fingerprint, waiters }) = self.keys.get_mut(key) else {
            return None;
        };
        let (fingerprint, waiters) = (*fingerprint, std::mem::take(waiters));
        if matches!(outcome, Outcome::NotRun { .. }) {
            self.keys.remove(key);
            return Some((KeyState::Released, waiters));
        }
        let kept = kept_outcome(outcome);
        let live = Live::Ended { fingerprint, outcome: kept.clone() };
        self.keys.insert(Arc::clone(key), live);
        self.expiring.insert((now + self.retention, Arc::clone(key)));
        Some((KeyState::Ended { fingerprint, outcome: kept }, waiters))
    }

    /// Forgets outcomes past their retention and returns their keys.
    pub fn expire(&mut self, now: Now) -> Vec<RequestKey> {
        let mut gone = Vec::new();
        while self.expiring.first().is_some_and(|(at, _)| *at <= now) {
            let (_, key) = self.expiring.pop_first().expect("it was there above");
            self.keys.remove(&key);
            gone.push(key);
        }
        gone
    }
}

fn kept_outcome(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Answered(answer) if answer.body.len() > MAX_KEPT_BODY_BYTES => {
            Outcome::Answered(Answer {
                status: answer.status,
                content_type: "text/plain".to_owned(),
                body: b"the request ran; its answer is too long to be kept".to_vec(),
            })
        }
        other => other.clone(),
    }
}

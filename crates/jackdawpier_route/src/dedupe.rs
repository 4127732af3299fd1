//! Keyed requests run at most once, over all entries and over the replacement of any entry.
//!
//! The intent is durable before the first byte leaves. An intent that a new owner finds without
//! an end is never sent again by anyone; a repeat of it makes the owner ask the entry that wrote
//! the intent, and is told "unknown" only if that entry can't say. See
//! `docs/design/at-most-once.md`.

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

/// Largest answer body that is kept for a repeat, in bytes.
pub const MAX_RETAINED_BODY_BYTES: usize = 16 * 1024;

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
        /// The entry that wrote this, which alone can know how the request ended.
        entry: EntryId,
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
    /// Write the intent, and run the request once [`Dedupe::on_committed`] returns its ticket.
    WriteIntent {
        /// The state to make durable.
        state: KeyState,
    },
    /// The same request is under way: its outcome will be returned for this ticket too.
    Wait,
    /// An earlier owner may have sent it: ask this entry, and give its word to
    /// [`Dedupe::resolve`], which returns this ticket.
    QueryWriter(EntryId),
    /// The request has ended before: this is its outcome.
    Replay(Outcome),
    /// The key was used for another request.
    KeyReused,
}

/// What to do once the entry that wrote an intent was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// Make the end durable; [`CommitResult::resolved`] then returns those that wait. Told earlier, an
    /// answer could be lost with the one process that can tell it again.
    WriteEnd(KeyState),
    /// It never ran: make the release durable, and let those that wait ask again.
    Release(Vec<Ticket>),
    /// Nothing was learned: tell those that wait that the outcome is unknown.
    Unknown(Vec<Ticket>),
}

/// What became durable.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CommitResult {
    /// Tickets whose intents are durable, so that they may be sent.
    pub sendable: Vec<Ticket>,
    /// Ends learned from an earlier owner, each with the tickets that wait for it.
    pub resolved: Vec<(Outcome, Vec<Ticket>)>,
}

#[derive(Debug)]
enum Live {
    Running {
        fingerprint: Fingerprint,
        waiters: Vec<Ticket>,
    },
    Ended {
        fingerprint: Fingerprint,
        outcome: Outcome,
    },
    /// An earlier owner's intent. It is seldom, and boxed so that the other keys stay small.
    Doubtful {
        fingerprint: Fingerprint,
        doubt: Box<Doubt>,
    },
}

#[derive(Debug)]
struct Doubt {
    /// The entry that wrote the intent.
    entry: EntryId,
    waiters: Vec<Ticket>,
    /// Its end while that is not durable here.
    learned: Option<Outcome>,
}

/// The keys of one shard.
#[derive(Debug)]
pub struct Dedupe {
    entry: EntryId,
    retention: Duration,
    keys: HashMap<RequestKey, Live>,
    expiring: BTreeSet<(Now, RequestKey)>,
    /// Intents that are not durable yet, by the number of their write.
    uncommitted: VecDeque<(u64, Ticket, RequestKey)>,
    /// Ends that are not durable yet, by the number of their write.
    unwritten: VecDeque<(u64, RequestKey)>,
}

impl Dedupe {
    /// Returns the empty table of the owner `entry`, which keeps outcomes for `retention`.
    pub fn new(entry: EntryId, retention: Duration) -> Self {
        Self {
            entry,
            retention,
            keys: HashMap::new(),
            expiring: BTreeSet::new(),
            uncommitted: VecDeque::new(),
            unwritten: VecDeque::new(),
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

    /// Takes over the durable states of an earlier owner, which may have been this entry: `former`
    /// is what it remembers. Returns the states to make durable, where more is known than the log
    /// says.
    ///
    /// `former` is empty afterwards, since this table knows better from now on. Without that an
    /// entry that loses the shard again and has not noticed could call a key released that it has
    /// sent meanwhile.
    pub fn recover(
        &mut self,
        now: Now,
        states: impl IntoIterator<Item = (RequestKey, KeyState)>,
        former: &mut LostShardKeys,
    ) -> Vec<(RequestKey, KeyState)> {
        let mut news = Vec::new();
        for (key, state) in states {
            let remembered = match &state {
                KeyState::Intent { entry, .. } if *entry == self.entry => former.get(&key),
                _ => None,
            };
            match remembered {
                Some(KeyState::Intent { fingerprint, .. }) => {
                    self.keys.insert(key, Live::Running { fingerprint, waiters: Vec::new() });
                }
                Some(state) => {
                    self.recover_one(now, Arc::clone(&key), state.clone());
                    news.push((key, state));
                }
                None => self.recover_one(now, key, state),
            }
        }
        former.clear();
        news
    }

    fn recover_one(&mut self, now: Now, key: RequestKey, state: KeyState) {
        let live = match state {
            KeyState::Intent { fingerprint, entry } => {
                let doubt = Doubt { entry, waiters: Vec::new(), learned: None };
                Live::Doubtful { fingerprint, doubt: Box::new(doubt) }
            }
            KeyState::Ended { fingerprint, outcome } => Live::Ended { fingerprint, outcome },
            KeyState::Released => return,
        };
        self.expiring.insert((now + self.retention, Arc::clone(&key)));
        self.keys.insert(key, live);
    }

    /// Decides on a request. After [`Decision::WriteIntent`] the caller says by
    /// [`Dedupe::on_intent_write_queued`] which durable write carries the intent.
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
                let entry = self.entry.clone();
                Decision::WriteIntent { state: KeyState::Intent { fingerprint, entry } }
            }
            Some(Live::Running { fingerprint: known, waiters }) if *known == fingerprint => {
                waiters.push(ticket);
                Decision::Wait
            }
            Some(Live::Ended { fingerprint: known, outcome }) if *known == fingerprint => {
                Decision::Replay(outcome.clone())
            }
            Some(Live::Doubtful { fingerprint: known, doubt }) if *known == fingerprint => {
                doubt.waiters.push(ticket);
                let is_first = doubt.waiters.len() == 1 && doubt.learned.is_none();
                if is_first { Decision::QueryWriter(doubt.entry.clone()) } else { Decision::Wait }
            }
            Some(_) => Decision::KeyReused,
        }
    }

    /// Takes the word of the entry that was asked: what it remembers of the key, if anything.
    /// Without an end the key stays in doubt, and the next repeat asks again.
    pub fn resolve(&mut self, key: &RequestKey, word: Option<KeyState>) -> Resolution {
        let Some(Live::Doubtful { doubt, .. }) = self.keys.get_mut(key) else {
            return Resolution::Unknown(Vec::new());
        };
        let Doubt { waiters, learned, .. } = &mut **doubt;
        match word {
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

    /// Says that durable write `number` carries the intent of `ticket`.
    pub fn on_intent_write_queued(&mut self, number: u64, ticket: Ticket, key: &RequestKey) {
        self.uncommitted.push_back((number, ticket, Arc::clone(key)));
    }

    /// Says that durable write `number` carries the end of `key`.
    pub fn on_end_write_queued(&mut self, number: u64, key: &RequestKey) {
        self.unwritten.push_back((number, Arc::clone(key)));
    }

    /// Returns what is durable now.
    pub fn on_committed(&mut self, up_to: u64) -> CommitResult {
        let written = self.unwritten.iter().take_while(|(number, _)| *number <= up_to).count();
        let written: Vec<RequestKey> =
            self.unwritten.drain(..written).map(|(_, key)| key).collect();
        let learned = written.iter().filter_map(|key| self.confirm(key)).collect();
        let count = self.uncommitted.iter().take_while(|(number, ..)| *number <= up_to).count();
        let sendable = self.uncommitted.drain(..count).map(|(_, ticket, _)| ticket).collect();
        CommitResult { sendable, resolved: learned }
    }

    /// Turns a learned end that is durable into an end like any other.
    fn confirm(&mut self, key: &RequestKey) -> Option<(Outcome, Vec<Ticket>)> {
        let live = self.keys.get_mut(key)?;
        let Live::Doubtful { fingerprint, doubt } = live else { return None };
        let outcome = doubt.learned.take()?;
        let waiters = std::mem::take(&mut doubt.waiters);
        *live = Live::Ended { fingerprint: *fingerprint, outcome: outcome.clone() };
        Some((outcome, waiters))
    }

    /// Ends this ownership: `former` remembers what the next owner can't read in the log. Returns
    /// the tickets whose intents are not known to be durable; they are never sent.
    pub fn release_ownership(mut self, now: Now, former: &mut LostShardKeys) -> Vec<Ticket> {
        let mut unsent = Vec::new();
        for (_, ticket, key) in std::mem::take(&mut self.uncommitted) {
            self.keys.remove(&key);
            former.insert(now, key, KeyState::Released);
            unsent.push(ticket);
        }
        for (_, key) in std::mem::take(&mut self.unwritten) {
            match self.keys.remove(&key) {
                Some(Live::Ended { fingerprint, outcome }) => {
                    former.insert(now, key, KeyState::Ended { fingerprint, outcome });
                }
                Some(live) => drop(self.keys.insert(key, live)),
                None => former.insert(now, key, KeyState::Released),
            }
        }
        for (key, live) in self.keys {
            if let Live::Running { fingerprint, .. } = live {
                let entry = self.entry.clone();
                former.insert(now, key, KeyState::Intent { fingerprint, entry });
            }
        }
        unsent
    }

    /// Notes the outcome of a request that was recorded. Returns the state to make durable and
    /// the tickets that wait for the same outcome.
    pub fn record_outcome(
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
        let kept = retained_outcome(outcome);
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

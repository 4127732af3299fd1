//! Configuration documents in force at this entry.
//!
//! An entry replaces a document only by a newer revision, whether from the store or from a peer. A
//! change is accepted once its compare-and-swap took effect, and in force everywhere once every
//! member with a live lease reports its revision. An entry that hears from neither the store nor a
//! peer for the isolation limit stops serving before its lease expires, so the revision is then in
//! force at every serving entry. See `docs/design/configuration.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ClassName, EntryId, Revision},
};
use jackdawpier_settings::{
    declaration::{Class, Declaration},
    loader::MAX_RESOLVED_BYTES,
};
use jackdawpier_store::{
    Condition, Record, Request, Response, StoreError, StoreResult, protocol::MAX_VALUE_BYTES,
};
use serde::{Deserialize, Serialize};

use crate::{keys, membership::View};

/// Time for which an entry counts as possibly serving after it was last seen as a member or sent a
/// heartbeat.
const ENTRY_RETENTION: Duration = Duration::from_secs(30);

/// Room in a document's record for the fields beside its declaration.
const RECORD_OVERHEAD_BYTES: usize = 1024;
const _: () = assert!(MAX_RESOLVED_BYTES + RECORD_OVERHEAD_BYTES <= MAX_VALUE_BYTES);

/// Configuration document as stored and exchanged between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Revision, incremented by one with each accepted change.
    pub revision: Revision,
    /// Identity of the write, to recognize its own write after a lost answer.
    pub writer: WriterId,
    /// Declared targets.
    pub declaration: Declaration,
}

/// Identity of a write of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterId {
    /// Entry that wrote the change to the store.
    pub entry: EntryId,
    /// Incarnation of that entry.
    pub incarnation: u64,
    /// Sequence number of the write in that incarnation.
    pub sequence: u64,
}

/// Outcome of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ApplyOutcome {
    /// The change is accepted and durable.
    Accepted {
        /// Revision of the document.
        revision: Revision,
    },
    /// The document was changed since the base revision, and this change was not applied.
    Conflict {
        /// Base revision given by the operator.
        base: Revision,
        /// Current document.
        current: Option<Document>,
    },
    /// The store is unreachable or behind, and the change was not applied.
    Unavailable {
        /// What failed.
        detail: String,
    },
    /// The store's answers were lost, and the change may be applied. The operator has to check the
    /// revision before retrying.
    Unknown {
        /// What failed.
        detail: String,
    },
}

/// Latest heartbeat of a peer.
#[derive(Debug, Clone)]
struct PeerContact {
    received_at: Now,
    /// When the store last answered the peer, on this entry's clock.
    store_answered_at: Option<Now>,
    in_force: BTreeMap<String, Revision>,
    is_ready: bool,
}

/// Part of a peer's heartbeat that concerns the configuration.
#[derive(Debug, Clone)]
pub struct PeerReport {
    /// Name of the peer.
    pub peer: EntryId,
    /// Whether the peer serves.
    pub is_ready: bool,
    /// Time since the store last answered the peer.
    pub store_age: Option<Duration>,
    /// Revision of each document in force at the peer.
    pub in_force: BTreeMap<String, Revision>,
}

/// Membership status of this entry.
#[derive(Debug, Clone)]
pub struct MembershipStatus {
    /// Name of this entry.
    pub entry: EntryId,
    /// Time until which the entry can rely on being a member, or zero if it never was one.
    pub member_until: Now,
}

/// Documents in force at this entry, and what is known about the documents of its peers.
#[derive(Debug)]
pub struct Configuration {
    documents: BTreeMap<String, Document>,
    first_store_answer_at: Option<Now>,
    last_store_answer_at: Option<Now>,
    contacts: BTreeMap<EntryId, PeerContact>,
    /// When each entry was last seen as a member or sent a heartbeat.
    last_seen: BTreeMap<EntryId, Now>,
    isolation_limit: Duration,
    is_loaded: bool,
}

impl Configuration {
    /// Creates a configuration without documents.
    pub fn new(isolation_limit: Duration) -> Self {
        Self {
            documents: BTreeMap::new(),
            first_store_answer_at: None,
            last_store_answer_at: None,
            contacts: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            isolation_limit,
            is_loaded: false,
        }
    }

    /// Adopts `document` if it is newer than the one in force, and returns whether it was.
    pub fn adopt_if_newer(&mut self, document: Document) -> bool {
        let name = document.declaration.deployment.clone();
        let is_newer =
            self.documents.get(&name).is_none_or(|current| document.revision > current.revision);
        if is_newer {
            self.documents.insert(name, document);
        }
        is_newer
    }

    /// Adopts the document in a stored record if it is newer, and returns whether it was. Records that
    /// can't be parsed are ignored.
    pub fn adopt_record_if_newer(&mut self, record: &Record) -> bool {
        serde_json::from_str(&record.value).is_ok_and(|document| self.adopt_if_newer(document))
    }

    /// Records an answer of the store together with the members in `view`. Must not be called before
    /// the documents were read for the first time.
    ///
    /// If the answer was recorded before the members, the entry would take itself for the only
    /// member, report itself ready, and refuse the next request.
    pub fn on_store_answer(&mut self, now: Now, view: &View) {
        self.record_members(now, view);
        self.first_store_answer_at.get_or_insert(now);
        self.last_store_answer_at = Some(now);
    }

    /// Returns the time since the store last answered.
    pub fn store_age(&self, now: Now) -> Option<Duration> {
        self.last_store_answer_at.map(|at| now.saturating_sub(at))
    }

    /// Records a heartbeat of a peer, after its documents were adopted.
    pub fn on_peer_report(&mut self, now: Now, report: PeerReport) {
        let contact = PeerContact {
            received_at: now,
            store_answered_at: report.store_age.map(|age| now.saturating_sub(age)),
            in_force: report.in_force,
            is_ready: report.is_ready,
        };
        self.last_seen.insert(report.peer.clone(), now);
        self.contacts.insert(report.peer, contact);
    }

    /// Records the members in `view`, and removes entries that were not seen for `ENTRY_RETENTION`.
    pub fn record_members(&mut self, now: Now, view: &View) {
        for member in view.members() {
            self.last_seen.insert(member.entry.clone(), now);
        }
        self.last_seen.retain(|_, seen_at| now < *seen_at + ENTRY_RETENTION);
        self.contacts.retain(|_, contact| now < contact.received_at + ENTRY_RETENTION);
    }

    /// Whether `count` entries, including this one, are a majority of those that may be serving.
    fn is_majority(&self, count: usize, own: &EntryId) -> bool {
        let others = self.last_seen.keys().filter(|name| *name != own).count();
        count * 2 > others + 1
    }

    fn recent_contacts(&self, now: Now) -> impl Iterator<Item = (&EntryId, &PeerContact)> {
        let limit = self.isolation_limit;
        self.contacts.iter().filter(move |(_, contact)| now < contact.received_at + limit)
    }

    /// Whether this entry may serve.
    ///
    /// A new entry first needs the documents of a serving peer. The documents of the store suffice
    /// only if there is no other member, or if no peer has provided them within the isolation limit.
    /// Thus any live peer overrides a store that was rolled back.
    ///
    /// Afterwards the entry needs its lease. Without one, it needs recent heartbeats of a majority of
    /// the members, none of which may have reached the store since the lease ended. A store outage
    /// therefore stops no entry, while a single entry that is cut off from the store stops before its
    /// lease expires there.
    pub fn is_ready(&mut self, now: Now, status: &MembershipStatus) -> bool {
        if !self.is_loaded {
            let from_peer =
                self.recent_contacts(now).any(|(_, c)| c.is_ready && self.is_caught_up_with(c));
            let from_store = self.first_store_answer_at.is_some_and(|at| {
                self.is_majority(1, &status.entry) || now >= at + self.isolation_limit
            });
            self.is_loaded = !self.documents.is_empty() && (from_peer || from_store);
        }
        let is_member = now < status.member_until;
        self.is_loaded && (is_member || self.is_store_outage(now, status))
    }

    /// Whether the store seems to be out, rather than only this entry's connection to it. If the
    /// store recently answered this entry, it is up, and a lease will follow.
    fn is_store_outage(&self, now: Now, status: &MembershipStatus) -> bool {
        let contact_count = self.recent_contacts(now).count();
        let has_majority = self.is_majority(contact_count + 1, &status.entry);
        let lease_ended_at = status.member_until;
        let is_recent = |at: &Now| now < *at + self.isolation_limit;
        let own_answered_at = self.last_store_answer_at.filter(is_recent);
        let peers_answered_at =
            self.recent_contacts(now).map(|(_, contact)| contact.store_answered_at);
        let store_answers =
            peers_answered_at.chain([own_answered_at]).any(|at| at > Some(lease_ended_at));
        has_majority && !store_answers
    }

    /// Whether this entry has every document of a peer in the same or a newer revision.
    fn is_caught_up_with(&self, contact: &PeerContact) -> bool {
        !self.is_behind(&contact.in_force)
    }

    /// Returns the entries that haven't reported `revision` of `deployment` yet, among the members
    /// with a live lease and the ready peers with a recent heartbeat. The latter may serve without a
    /// lease while the store is out.
    ///
    /// Returns `None` if this can't be determined, because the view is older than the revision or
    /// fewer than a majority of the entries that may be serving have reported. Entries that serve without a lease
    /// have a majority, so any other majority overlaps with them.
    pub fn lagging_entries(
        &self,
        now: Now,
        view: &View,
        own: &EntryId,
        deployment: &str,
        revision: Revision,
    ) -> Option<Vec<EntryId>> {
        let members = view.members().map(|member| (&member.entry, &member.in_force));
        let contacts = self
            .recent_contacts(now)
            .filter(|(_, contact)| contact.is_ready)
            .map(|(peer, contact)| (peer, &contact.in_force));
        // The revision at an entry never decreases, so the newer of its two reports counts.
        let mut reported: BTreeMap<&EntryId, Revision> = BTreeMap::new();
        for (entry, in_force) in members.chain(contacts) {
            let latest = reported.entry(entry).or_default();
            *latest = (*latest).max(in_force.get(deployment).copied().unwrap_or(0));
        }
        let is_determined =
            view.has_seen(deployment, revision) && self.is_majority(reported.len(), own);
        let behind = reported.iter().filter(|(_, latest)| **latest < revision);
        is_determined.then(|| behind.map(|(entry, _)| (*entry).clone()).collect())
    }

    /// Returns the revision of each document in force.
    pub fn revisions(&self) -> BTreeMap<String, Revision> {
        self.documents.iter().map(|(name, document)| (name.clone(), document.revision)).collect()
    }

    /// Returns documents that are newer than those of a peer, up to `max_bytes` of JSON in total.
    pub fn newer_than(
        &self,
        peer_revisions: &BTreeMap<String, Revision>,
        max_bytes: usize,
    ) -> Vec<Document> {
        let mut remaining_bytes = max_bytes;
        self.documents
            .values()
            .filter(|document| {
                let peer_revision =
                    peer_revisions.get(&document.declaration.deployment).copied().unwrap_or(0);
                document.revision > peer_revision
            })
            .filter(|document| {
                let length = serde_json::to_string(document).expect("documents serialize").len();
                let fits = length <= remaining_bytes;
                remaining_bytes -= if fits { length } else { 0 };
                fits
            })
            .cloned()
            .collect()
    }

    /// Whether a peer has a newer or an additional document.
    pub fn is_behind(&self, peer_revisions: &BTreeMap<String, Revision>) -> bool {
        peer_revisions.iter().any(|(name, revision)| {
            self.documents.get(name).is_none_or(|own| own.revision < *revision)
        })
    }

    /// Returns the document of `deployment`.
    pub fn document(&self, deployment: &str) -> Option<&Document> {
        self.documents.get(deployment)
    }

    /// Returns all documents.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Returns the class named `name`, from any document.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.documents.values().find_map(|document| document.declaration.class(name))
    }

    /// Returns all classes by name.
    pub fn classes(&self) -> BTreeMap<ClassName, Class> {
        self.documents
            .values()
            .flat_map(|document| &document.declaration.classes)
            .map(|class| (class.name.clone(), class.clone()))
            .collect()
    }

    /// Returns the names of the services, each of which is a shard of the request path.
    pub fn services(&self) -> BTreeSet<String> {
        self.classes().values().map(|class| class.service.to_string()).collect()
    }

    /// Returns the write that restores the document in force if the stored `record` is older, after a
    /// rollback of the store.
    pub fn rollback_repair(&self, record: &Record) -> Option<Request> {
        let stored: Document = serde_json::from_str(&record.value).ok()?;
        let current = self.document(&stored.declaration.deployment)?;
        (stored.revision < current.revision).then(|| Request::Put {
            key: record.key.clone(),
            value: serde_json::to_string(current).expect("documents serialize"),
            condition: Condition::Revision(record.revision),
            lease: None,
        })
    }
}

/// State machine that applies an operator's change, one store call per step.
#[derive(Debug)]
pub struct Apply {
    base: Revision,
    /// Highest revision that this entry has seen.
    highest_seen: Revision,
    document: Document,
    step: Step,
    read_backs_left: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Read,
    Write(Condition),
    ReadBack,
}

/// Next action of an [`Apply`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutput {
    /// Make this call and pass its result to [`Apply::on_result`].
    Call(Request),
    /// The outcome is determined.
    Done(ApplyOutcome),
}

/// Maximum number of further reads after a lost answer before the outcome is reported as unknown.
const MAX_READ_BACKS: u32 = 5;

impl Apply {
    /// Creates a change to revision `base`. `highest_seen` is the highest revision that this entry has
    /// seen.
    pub fn new(
        base: Revision,
        highest_seen: Revision,
        declaration: Declaration,
        writer: WriterId,
    ) -> Self {
        let document = Document { revision: base + 1, writer, declaration };
        Self { base, highest_seen, document, step: Step::Read, read_backs_left: MAX_READ_BACKS }
    }

    /// Returns the document that this change puts in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the call of the current step.
    pub fn request(&self) -> Request {
        let key = keys::configuration(&self.document.declaration.deployment);
        match self.step {
            Step::Read | Step::ReadBack => Request::Get { key },
            Step::Write(condition) => Request::Put {
                key,
                value: serde_json::to_string(&self.document).expect("documents serialize"),
                condition,
                lease: None,
            },
        }
    }

    /// Handles the result of the call.
    pub fn on_result(&mut self, result: StoreResult) -> ApplyOutput {
        match (self.step, result) {
            (Step::Read, Ok(Response::Record { record, .. })) => self.on_read(record.as_ref()),
            (Step::Write(_), Ok(Response::Written { .. })) => self.accepted(),
            (Step::Write(_), Ok(Response::Conflict { current })) => {
                self.on_conflict(current.as_ref())
            }
            (Step::Write(_), Err(StoreError::Ambiguous { .. })) => {
                self.step = Step::ReadBack;
                ApplyOutput::Call(self.request())
            }
            (Step::ReadBack, Ok(Response::Record { record, .. })) => {
                self.on_conflict(record.as_ref())
            }
            (Step::ReadBack, other) => self.read_back_again(&other),
            (_, Err(error)) => {
                ApplyOutput::Done(ApplyOutcome::Unavailable { detail: error.to_string() })
            }
            (_, Ok(other)) => ApplyOutput::Done(ApplyOutcome::Unavailable {
                detail: format!("unexpected answer {other:?}"),
            }),
        }
    }

    fn on_read(&mut self, record: Option<&Record>) -> ApplyOutput {
        let current =
            record.and_then(|record| serde_json::from_str::<Document>(&record.value).ok());
        let stored_revision = current.as_ref().map_or(0, |document| document.revision);
        if stored_revision < self.highest_seen {
            let detail = format!(
                "the store is behind: it has revision {stored_revision}, {} was in force",
                self.highest_seen
            );
            return ApplyOutput::Done(ApplyOutcome::Unavailable { detail });
        }
        if stored_revision != self.base {
            return ApplyOutput::Done(ApplyOutcome::Conflict { base: self.base, current });
        }
        let condition =
            record.map_or(Condition::Absent, |record| Condition::Revision(record.revision));
        self.step = Step::Write(condition);
        ApplyOutput::Call(self.request())
    }

    /// Handles a stored record that is either this change, whose answer was lost, or a different one.
    fn on_conflict(&mut self, record: Option<&Record>) -> ApplyOutput {
        let current =
            record.and_then(|record| serde_json::from_str::<Document>(&record.value).ok());
        match current {
            Some(document) if document.writer == self.document.writer => self.accepted(),
            // The stored document is still the base, so the write may still be in flight.
            current if self.step == Step::ReadBack && self.is_base(current.as_ref()) => {
                let detail = "the base still stands and the write may be under way";
                self.read_back_again(&Err(StoreError::ambiguous(detail)))
            }
            // The newer document may be based on this change.
            current
                if self.step == Step::ReadBack && self.is_newer_than_change(current.as_ref()) =>
            {
                let detail = "a newer revision stands; it may follow this change";
                ApplyOutput::Done(ApplyOutcome::Unknown { detail: detail.to_owned() })
            }
            current => ApplyOutput::Done(ApplyOutcome::Conflict { base: self.base, current }),
        }
    }

    fn is_base(&self, current: Option<&Document>) -> bool {
        current.map_or(0, |document| document.revision) == self.base
    }

    fn is_newer_than_change(&self, current: Option<&Document>) -> bool {
        current.is_some_and(|document| document.revision > self.document.revision)
    }

    fn read_back_again(&mut self, result: &StoreResult) -> ApplyOutput {
        if self.read_backs_left == 0 {
            let detail = match result {
                Err(error) => error.to_string(),
                Ok(_) => "the answer could not be read back".to_owned(),
            };
            return ApplyOutput::Done(ApplyOutcome::Unknown { detail });
        }
        self.read_backs_left -= 1;
        ApplyOutput::Call(self.request())
    }

    fn accepted(&self) -> ApplyOutput {
        ApplyOutput::Done(ApplyOutcome::Accepted { revision: self.document.revision })
    }
}

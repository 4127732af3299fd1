//! The configuration documents in force here: only ever newer ones, from whichever source.
//!
//! Accepted means that the compare-and-swap took effect. In force means that every member with a
//! live lease reports the revision. An entry that has seen neither store nor peer for the
//! isolation limit stops serving, before its lease lapses, so "in force everywhere" holds for
//! whoever serves. See `docs/design/configuration.md`.

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

/// Time for which an entry that was a member or was heard counts as one that may live and serve.
const MEMORY: Duration = Duration::from_secs(30);

/// Room in a document's record for its revision and its writer.
const WRITER_BYTES: usize = 1024;
const _: () = assert!(MAX_RESOLVED_BYTES + WRITER_BYTES <= MAX_VALUE_BYTES);

/// One configuration document as stored and passed between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Count of accepted changes; the next one has this number plus one.
    pub revision: Revision,
    /// Who wrote it and which of its writes this is, to recognise a lost answer.
    pub writer: WriterId,
    /// The targets.
    pub declaration: Declaration,
}

/// Identity of one accepted write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterId {
    /// The entry that carried the change to the store.
    pub entry: EntryId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its sequence number.
    pub sequence: u64,
}

/// What became of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ApplyOutcome {
    /// The change is accepted and cannot be lost.
    Accepted {
        /// Revision of the document.
        revision: Revision,
    },
    /// Someone else changed the document since the base revision; nothing was changed.
    Conflict {
        /// The base that the operator named.
        base: Revision,
        /// The document that stands now.
        current: Option<Document>,
    },
    /// The store cannot be reached; nothing was changed.
    Unavailable {
        /// What failed.
        detail: String,
    },
    /// The store's answers were lost; ask for the revision before trying again.
    Unknown {
        /// What failed.
        detail: String,
    },
}

/// What a peer last said of itself.
#[derive(Debug, Clone)]
struct Contact {
    heard_at: Now,
    /// When the peer last heard the store, on this entry's clock.
    store_at: Option<Now>,
    in_force: BTreeMap<String, Revision>,
    is_ready: bool,
}

/// A heartbeat of a peer, as far as configuration is concerned.
#[derive(Debug, Clone)]
pub struct PeerReport {
    /// The peer.
    pub peer: EntryId,
    /// Whether it serves.
    pub is_ready: bool,
    /// Time since it last heard the store.
    pub store_age: Option<Duration>,
    /// Revision of each document in force there.
    pub in_force: BTreeMap<String, Revision>,
}

/// This entry's standing as a member.
#[derive(Debug, Clone)]
pub struct MembershipStatus {
    /// This entry.
    pub entry: EntryId,
    /// Until when the entry can rely on being counted as a member; zero if it never was one.
    pub member_until: Now,
}

/// The documents in force at this entry.
#[derive(Debug)]
pub struct Configuration {
    documents: BTreeMap<String, Document>,
    first_store_at: Option<Now>,
    heard_store_at: Option<Now>,
    contacts: BTreeMap<EntryId, Contact>,
    known: BTreeMap<EntryId, Now>,
    isolation_limit: Duration,
    is_loaded: bool,
}

impl Configuration {
    /// Returns a configuration without documents.
    pub fn new(isolation_limit: Duration) -> Self {
        Self {
            documents: BTreeMap::new(),
            first_store_at: None,
            heard_store_at: None,
            contacts: BTreeMap::new(),
            known: BTreeMap::new(),
            isolation_limit,
            is_loaded: false,
        }
    }

    /// Adopts `document` if it is newer than what is in force; returns whether it was.
    pub fn adopt_if_newer(&mut self, document: Document) -> bool {
        let name = document.declaration.deployment.clone();
        let is_newer =
            self.documents.get(&name).is_none_or(|current| document.revision > current.revision);
        if is_newer {
            self.documents.insert(name, document);
        }
        is_newer
    }

    /// Adopts a stored record if it is newer; unreadable ones are ignored, never adopted.
    pub fn adopt_record_if_newer(&mut self, record: &Record) -> bool {
        serde_json::from_str(&record.value).is_ok_and(|document| self.adopt_if_newer(document))
    }

    /// Notes an answer of the store, after the documents were read at least once, and the members
    /// that the view has by then. Both belong together: an entry that had the answer but not yet the
    /// members took itself for the only one, said that it was ready, and refused the next request.
    pub fn on_store_answer(&mut self, now: Now, view: &View) {
        self.record_members(now, view);
        self.first_store_at.get_or_insert(now);
        self.heard_store_at = Some(now);
    }

    /// Time since the store last answered.
    pub fn store_age(&self, now: Now) -> Option<Duration> {
        self.heard_store_at.map(|at| now.saturating_sub(at))
    }

    /// Notes a heartbeat of a peer, after its documents were offered.
    pub fn on_peer_report(&mut self, now: Now, report: PeerReport) {
        let contact = Contact {
            heard_at: now,
            store_at: report.store_age.map(|age| now.saturating_sub(age)),
            in_force: report.in_force,
            is_ready: report.is_ready,
        };
        self.known.insert(report.peer.clone(), now);
        self.contacts.insert(report.peer, contact);
    }

    /// Notes who is a member, as the view has it; forgets whom nobody has seen for long.
    pub fn record_members(&mut self, now: Now, view: &View) {
        for member in view.members() {
            self.known.insert(member.entry.clone(), now);
        }
        self.known.retain(|_, seen_at| now < *seen_at + MEMORY);
        self.contacts.retain(|_, contact| now < contact.heard_at + MEMORY);
    }

    /// Whether `count` entries are most of those that may live, this one included.
    fn is_majority(&self, count: usize, own: &EntryId) -> bool {
        let others = self.known.keys().filter(|name| *name != own).count();
        count * 2 > others + 1
    }

    fn fresh_contacts(&self, now: Now) -> impl Iterator<Item = (&EntryId, &Contact)> {
        let limit = self.isolation_limit;
        self.contacts.iter().filter(move |(_, contact)| now < contact.heard_at + limit)
    }

    /// Whether this entry may serve.
    ///
    /// A new entry first needs the documents of a serving peer. The store's alone do when no other
    /// member lives or none has answered for the isolation limit: a store that was rolled back is
    /// thus outvoted by any living peer. Later it needs its lease; without one, most of the
    /// members must be heard and none of them may have heard the store since the lease ended.
    /// A store outage therefore stops nobody, while an entry that alone is cut off from the store
    /// stops before its lease lapses there.
    pub fn is_ready(&mut self, now: Now, standing: &MembershipStatus) -> bool {
        if !self.is_loaded {
            let from_peer = self.fresh_contacts(now).any(|(_, c)| c.is_ready && self.has_all(c));
            let from_store = self.first_store_at.is_some_and(|at| {
                self.is_majority(1, &standing.entry) || now >= at + self.isolation_limit
            });
            self.is_loaded = !self.documents.is_empty() && (from_peer || from_store);
        }
        let is_member = now < standing.member_until;
        self.is_loaded && (is_member || self.is_store_outage(now, standing))
    }

    /// Whether it is the store that is out, as far as can be told, and not this entry. An answer that
    /// came here without a lease says that the store is up and the lease will follow.
    fn is_store_outage(&self, now: Now, standing: &MembershipStatus) -> bool {
        let heard = self.fresh_contacts(now).count();
        let has_majority = self.is_majority(heard + 1, &standing.entry);
        let since = standing.member_until;
        let is_recent = |at: &Now| now < *at + self.isolation_limit;
        let own_at = self.heard_store_at.filter(is_recent);
        let others_at = self.fresh_contacts(now).map(|(_, contact)| contact.store_at);
        let store_answers = others_at.chain([own_at]).any(|at| at > Some(since));
        has_majority && !store_answers
    }

    /// Whether everything that a peer has in force is in force here.
    fn has_all(&self, contact: &Contact) -> bool {
        !self.is_behind(&contact.in_force)
    }

    /// Entries that have not reported `revision` of `deployment` yet: members with a live lease,
    /// and whoever was heard lately, for it may serve without a lease while the store is out.
    ///
    /// `None` while nothing can be told: the view is older than the revision, or most of the
    /// entries that may live are out of sight. Entries that serve without a lease are a majority,
    /// so they can't be overlooked by another one.
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
            .fresh_contacts(now)
            .filter(|(_, contact)| contact.is_ready)
            .map(|(peer, contact)| (peer, &contact.in_force));
        // A revision never falls at an entry, so the newer of its two reports counts.
        let mut reported: BTreeMap<&EntryId, Revision> = BTreeMap::new();
        for (entry, in_force) in members.chain(contacts) {
            let known = reported.entry(entry).or_default();
            *known = (*known).max(in_force.get(deployment).copied().unwrap_or(0));
        }
        let can_tell = view.has_seen(deployment, revision) && self.is_majority(reported.len(), own);
        let behind = reported.iter().filter(|(_, known)| **known < revision);
        can_tell.then(|| behind.map(|(entry, _)| (*entry).clone()).collect())
    }

    /// Revision of each document in force.
    pub fn revisions(&self) -> BTreeMap<String, Revision> {
        self.documents.iter().map(|(name, document)| (name.clone(), document.revision)).collect()
    }

    /// Documents that are newer than what a peer has, as many as `most_bytes` hold as JSON.
    pub fn newer_than(
        &self,
        theirs: &BTreeMap<String, Revision>,
        most_bytes: usize,
    ) -> Vec<Document> {
        let mut left_bytes = most_bytes;
        self.documents
            .values()
            .filter(|document| {
                let known = theirs.get(&document.declaration.deployment).copied().unwrap_or(0);
                document.revision > known
            })
            .filter(|document| {
                let length = serde_json::to_string(document).expect("it is plain data").len();
                let is_held = length <= left_bytes;
                left_bytes -= if is_held { length } else { 0 };
                is_held
            })
            .cloned()
            .collect()
    }

    /// Whether a peer has a newer document than is in force here.
    pub fn is_behind(&self, theirs: &BTreeMap<String, Revision>) -> bool {
        theirs.iter().any(|(name, revision)| {
            self.documents.get(name).is_none_or(|own| own.revision < *revision)
        })
    }

    /// One document.
    pub fn document(&self, deployment: &str) -> Option<&Document> {
        self.documents.get(deployment)
    }

    /// All documents.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// The class called `name`, from whichever document declares it.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.documents.values().find_map(|document| document.declaration.class(name))
    }

    /// Every class by name.
    pub fn classes(&self) -> BTreeMap<ClassName, Class> {
        self.documents
            .values()
            .flat_map(|document| &document.declaration.classes)
            .map(|class| (class.name.clone(), class.clone()))
            .collect()
    }

    /// Names of the services, which are the shards of the request path.
    pub fn services(&self) -> BTreeSet<String> {
        self.classes().values().map(|class| class.service.to_string()).collect()
    }

    /// Returns the write that puts a newer document back over a store that was rolled back.
    pub fn rollback_repair(&self, record: &Record) -> Option<Request> {
        let stored: Document = serde_json::from_str(&record.value).ok()?;
        let current = self.document(&stored.declaration.deployment)?;
        (stored.revision < current.revision).then(|| Request::Put {
            key: record.key.clone(),
            value: serde_json::to_string(current).expect("documents are plain data"),
            condition: Condition::Revision(record.revision),
            lease: None,
        })
    }
}

/// The steps of one operator's change, each one call to the store.
#[derive(Debug)]
pub struct Apply {
    base: Revision,
    known: Revision,
    document: Document,
    step: Step,
    tries_left: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Read,
    Write(Condition),
    ReadBack,
}

/// What an [`Apply`] wants next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutput {
    /// Make this call and give the result to [`Apply::on_result`].
    Call(Request),
    /// The change is decided.
    Done(ApplyOutcome),
}

/// Readings after a lost answer before the outcome is told as unknown.
const READ_BACK_TRIES: u32 = 5;

impl Apply {
    /// Starts a change from `base`; `known` is the highest revision that this entry has seen.
    pub fn new(
        base: Revision,
        known: Revision,
        declaration: Declaration,
        writer: WriterId,
    ) -> Self {
        let document = Document { revision: base + 1, writer, declaration };
        Self { base, known, document, step: Step::Read, tries_left: READ_BACK_TRIES }
    }

    /// The document that this change would put in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The call to make now.
    pub fn request(&self) -> Request {
        let key = keys::configuration(&self.document.declaration.deployment);
        match self.step {
            Step::Read | Step::ReadBack => Request::Get { key },
            Step::Write(condition) => Request::Put {
                key,
                value: serde_json::to_string(&self.document).expect("documents are plain data"),
                condition,
                lease: None,
            },
        }
    }

    /// Takes the result of the call.
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
        let stands = current.as_ref().map_or(0, |document| document.revision);
        if stands < self.known {
            let detail = format!(
                "the store is behind: it has revision {stands}, {} was in force",
                self.known
            );
            return ApplyOutput::Done(ApplyOutcome::Unavailable { detail });
        }
        if stands != self.base {
            return ApplyOutput::Done(ApplyOutcome::Conflict { base: self.base, current });
        }
        let condition =
            record.map_or(Condition::Absent, |record| Condition::Revision(record.revision));
        self.step = Step::Write(condition);
        ApplyOutput::Call(self.request())
    }

    /// Something stands there: our own write whose answer was lost, or somebody else's.
    fn on_conflict(&mut self, record: Option<&Record>) -> ApplyOutput {
        let current =
            record.and_then(|record| serde_json::from_str::<Document>(&record.value).ok());
        match current {
            Some(document) if document.writer == self.document.writer => self.accepted(),
            // The lost write may still be under way while the base stands: wait for it.
            current if self.step == Step::ReadBack && self.is_base(current.as_ref()) => {
                let detail = "the base still stands and the write may be under way";
                self.read_back_again(&Err(StoreError::ambiguous(detail)))
            }
            // A newer document may stand on top of our own write, which then was in force.
            current if self.step == Step::ReadBack && self.is_above(current.as_ref()) => {
                let detail = "a newer revision stands; it may follow this change";
                ApplyOutput::Done(ApplyOutcome::Unknown { detail: detail.to_owned() })
            }
            current => ApplyOutput::Done(ApplyOutcome::Conflict { base: self.base, current }),
        }
    }

    fn is_base(&self, current: Option<&Document>) -> bool {
        current.map_or(0, |document| document.revision) == self.base
    }

    fn is_above(&self, current: Option<&Document>) -> bool {
        current.is_some_and(|document| document.revision > self.document.revision)
    }

    fn read_back_again(&mut self, result: &StoreResult) -> ApplyOutput {
        if self.tries_left == 0 {
            let detail = match result {
                Err(error) => error.to_string(),
                Ok(_) => "the answer could not be read back".to_owned(),
            };
            return ApplyOutput::Done(ApplyOutcome::Unknown { detail });
        }
        self.tries_left -= 1;
        ApplyOutput::Call(self.request())
    }

    fn accepted(&self) -> ApplyOutput {
        ApplyOutput::Done(ApplyOutcome::Accepted { revision: self.document.revision })
    }
}

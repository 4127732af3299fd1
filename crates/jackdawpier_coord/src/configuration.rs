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
use jackdawpier_settings::declaration::{Class, Declaration};
use jackdawpier_store::{Condition, Record, Request, Response, StoreError, StoreResult};
use serde::{Deserialize, Serialize};

use crate::{keys, membership::View};

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

/// The documents in force at this entry.
#[derive(Debug)]
pub struct Configuration {
    documents: BTreeMap<String, Document>,
    first_store_at: Option<Now>,
    heard_store_at: Option<Now>,
    heard_peers_at: BTreeMap<EntryId, Now>,
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
            heard_peers_at: BTreeMap::new(),
            isolation_limit,
            is_loaded: false,
        }
    }

    /// Adopts `document` if it is newer than what is in force; returns whether it was.
    pub fn offer(&mut self, document: Document) -> bool {
        let name = document.declaration.deployment.clone();
        let is_newer =
            self.documents.get(&name).is_none_or(|current| document.revision > current.revision);
        if is_newer {
            self.documents.insert(name, document);
        }
        is_newer
    }

    /// Adopts a stored record if it is newer; unreadable ones are ignored, never adopted.
    pub fn offer_record(&mut self, record: &Record) -> bool {
        serde_json::from_str(&record.value).is_ok_and(|document| self.offer(document))
    }

    /// Notes an answer of the store, after the documents were read at least once.
    pub fn heard_store(&mut self, now: Now) {
        self.first_store_at.get_or_insert(now);
        self.heard_store_at = Some(now);
    }

    /// Notes a heartbeat of a peer that serves.
    pub fn heard_peer(&mut self, now: Now, peer: &EntryId) {
        self.heard_peers_at.insert(peer.clone(), now);
    }

    /// Whether this entry may serve, with `member_count` live members known, itself included.
    ///
    /// A new entry first needs the documents of a serving peer. The store's alone do when no other
    /// member lives or none has answered for the isolation limit: a store that was rolled back is
    /// thus outvoted by any living peer. Later it needs the store or most of the members within
    /// the isolation limit. A store outage therefore stops nobody, while a minority that is cut
    /// off from the store stops before its leases lapse.
    pub fn is_ready(&mut self, now: Now, member_count: usize) -> bool {
        if !self.is_loaded {
            let from_peer = !self.heard_peers_at.is_empty();
            let from_store = self
                .first_store_at
                .is_some_and(|at| member_count <= 1 || now >= at + self.isolation_limit);
            self.is_loaded = !self.documents.is_empty() && (from_peer || from_store);
        }
        let is_fresh = |at: Now| now < at + self.isolation_limit;
        let heard_peers = self.heard_peers_at.values().filter(|at| is_fresh(**at)).count();
        let has_majority = (heard_peers + 1) * 2 > member_count;
        self.is_loaded && (self.heard_store_at.is_some_and(is_fresh) || has_majority)
    }

    /// Revision of each document in force.
    pub fn revisions(&self) -> BTreeMap<String, Revision> {
        self.documents.iter().map(|(name, document)| (name.clone(), document.revision)).collect()
    }

    /// Documents that are newer than what a peer has.
    pub fn newer_than(&self, theirs: &BTreeMap<String, Revision>) -> Vec<Document> {
        self.documents
            .values()
            .filter(|document| {
                let known = theirs.get(&document.declaration.deployment).copied().unwrap_or(0);
                document.revision > known
            })
            .cloned()
            .collect()
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
    pub fn repair(&self, record: &Record) -> Option<Request> {
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

/// Members that hold a live lease but have not reported `revision` of `deployment` yet.
pub fn lagging_members<'a>(
    view: &'a View,
    deployment: &'a str,
    revision: Revision,
) -> impl Iterator<Item = &'a str> {
    view.members()
        .filter(move |member| member.in_force.get(deployment).copied().unwrap_or(0) < revision)
        .map(|member| &*member.entry)
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

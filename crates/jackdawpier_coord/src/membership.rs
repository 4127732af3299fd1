//! This entry's membership: a lease, a member record under it, and the view of the others.
//!
//! The entry counts its own lease from the moment it *sent* the renewal and stops effects a margin
//! before the store could let it lapse. What a pause between that check and an effect can do is
//! bounded by the fences: see `docs/design/coordination.md`.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{EntryId, Revision, ZoneName},
    rendezvous,
};
use jackdawpier_store::{Change, Condition, LeaseId, Record, Request, Response, StoreResult};
use serde::{Deserialize, Serialize};

use crate::{
    configuration::{Document, MembershipStatus},
    keys,
};

/// Renewals a lease's time to live.
const RENEWALS_PER_TTL: u32 = 3;
/// Share of the time to live after which the holder stops relying on the lease.
const TRUSTED_PERCENT: u32 = 80;
/// Wait before a failed call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What an entry tells the others about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address of its peer port (UDP).
    pub peer_address: String,
    /// Address of its operators' port.
    pub operator_address: String,
    /// Distinguishes two starts of the same entry.
    pub incarnation: u64,
    /// Revision of each configuration document in force here.
    pub in_force: BTreeMap<String, Revision>,
    /// Whether it is in a planned stop and takes no more ownership.
    pub is_stopping: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flight {
    None,
    Grant,
    Renew,
    Publish,
    Revoke,
}

/// This entry's own lease and record.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    ttl: Duration,
    lease: Option<LeaseId>,
    sent_at: Now,
    trusted_until: Now,
    next_renewal_at: Now,
    retry_at: Now,
    is_published: bool,
    published_revision: Option<Revision>,
    is_member: bool,
    member_until: Now,
    is_revoked: bool,
    flight: Flight,
}

impl Membership {
    /// Returns a membership that has not asked for its lease yet.
    pub fn new(own: Member, ttl: Duration) -> Self {
        Self {
            own,
            ttl,
            lease: None,
            sent_at: Now::ZERO,
            trusted_until: Now::ZERO,
            next_renewal_at: Now::ZERO,
            retry_at: Now::ZERO,
            is_published: false,
            published_revision: None,
            is_member: false,
            member_until: Now::ZERO,
            is_revoked: false,
            flight: Flight::None,
        }
    }

    /// The lease to attach records to, while it can be relied on.
    pub fn lease(&self, now: Now) -> Option<LeaseId> {
        self.lease.filter(|_| now < self.trusted_until)
    }

    /// This entry's standing among the members of `view`.
    ///
    /// It counts as a member again only once the view includes its own record: whoever reports a
    /// revision as in force from then on has to wait for this entry, and whatever was in force
    /// before has been read.
    pub fn status(&mut self, view: &View) -> MembershipStatus {
        let has_seen_own = |revision| view.store_revision >= revision;
        self.is_member |= self.published_revision.is_some_and(has_seen_own);
        if self.is_member && self.lease.is_some() {
            self.member_until = self.trusted_until;
        }
        MembershipStatus { entry: self.own.entry.clone(), member_until: self.member_until }
    }

    /// What this entry tells the others.
    pub fn own_member(&self) -> &Member {
        &self.own
    }

    /// Changes what this entry tells the others; the record follows with the next tick.
    pub fn update_own_member(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own != before {
            self.is_published = false;
        }
    }

    /// Ends the membership at a planned stop, as the last call.
    pub fn revoke(&mut self) -> Option<Request> {
        self.is_revoked = true;
        self.flight = Flight::Revoke;
        self.lease.take().map(|lease| Request::LeaseRevoke { lease })
    }

    /// Returns the call that is due, if any; one is in flight at a time.
    pub fn tick(&mut self, now: Now) -> Option<Request> {
        if self.flight != Flight::None || now < self.retry_at || self.is_revoked {
            return None;
        }
        if now >= self.trusted_until {
            // Renewals may reach the store though their answers don't come back: going on with this
            // lease would keep its shards from everyone else. Without renewals it lapses.
            self.lose_lease();
        }
        let Some(lease) = self.lease else {
            return Some(self.start(
                now,
                Flight::Grant,
                Request::LeaseGrant { ttl_ms: self.ttl_ms() },
            ));
        };
        if !self.is_published {
            let request = self.publish_request(lease);
            self.is_published = true;
            return Some(self.start(now, Flight::Publish, request));
        }
        if now < self.next_renewal_at {
            return None;
        }
        Some(self.start(now, Flight::Renew, Request::LeaseRenew { lease }))
    }

    /// Takes the result of the call in flight.
    pub fn on_result(&mut self, now: Now, result: &StoreResult) {
        let flight = std::mem::replace(&mut self.flight, Flight::None);
        match (flight, result) {
            (Flight::Grant | Flight::Renew, Ok(Response::Lease { lease })) => {
                self.lease = Some(*lease);
                self.trusted_until = self.sent_at + self.ttl * TRUSTED_PERCENT / 100;
                self.next_renewal_at = self.sent_at + self.ttl / RENEWALS_PER_TTL;
            }
            (Flight::Publish, Ok(Response::Written { revision })) => {
                self.published_revision.get_or_insert(*revision);
            }
            (Flight::Revoke, _) => {}
            (_, Ok(Response::LeaseGone)) => self.lose_lease(),
            (Flight::Publish, _) => {
                self.is_published = false;
                self.retry_at = now + RETRY_INTERVAL;
            }
            _ => self.retry_at = now + RETRY_INTERVAL,
        }
    }

    fn lose_lease(&mut self) {
        self.lease = None;
        self.is_published = false;
        self.published_revision = None;
        self.is_member = false;
    }

    fn start(&mut self, now: Now, flight: Flight, request: Request) -> Request {
        self.flight = flight;
        if flight != Flight::Publish {
            self.sent_at = now;
        }
        request
    }

    fn ttl_ms(&self) -> u64 {
        self.ttl.as_millis() as u64
    }

    fn publish_request(&self, lease: LeaseId) -> Request {
        Request::Put {
            key: keys::member(&self.own.entry),
            value: serde_json::to_string(&self.own).expect("members are plain data"),
            condition: Condition::Always,
            lease: Some(lease),
        }
    }
}

/// The members and shard owners, as last learned from the store.
#[derive(Debug, Default, Clone)]
pub struct View {
    members: BTreeMap<EntryId, Member>,
    owners: BTreeMap<String, Owner>,
    documents: BTreeMap<String, Revision>,
    /// Rankings of the candidates by shard, made when first asked for after a change of members.
    rankings: BTreeMap<String, Arc<[EntryId]>>,
    /// Revision up to which the view has seen.
    pub store_revision: Revision,
}

/// Who owns a shard, as stored under the owner's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The owning entry.
    pub entry: EntryId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Revision of the owner record; zero inside the record itself.
    #[serde(default)]
    pub revision: Revision,
}

impl View {
    /// Forgets everything, before a whole reading.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Takes one record of the members or shards.
    pub fn apply_record(&mut self, record: &Record) {
        self.store_revision = self.store_revision.max(record.revision);
        if let Some(name) = record.key.strip_prefix(keys::MEMBERS) {
            if let Ok(member) = serde_json::from_str::<Member>(&record.value) {
                self.note_candidate(name, &member);
                self.members.insert(name.into(), member);
            }
        } else if let Some(shard) = record.key.strip_prefix(keys::SHARDS)
            && let Ok(mut owner) = serde_json::from_str::<Owner>(&record.value)
        {
            owner.revision = record.revision;
            self.owners.insert(shard.to_owned(), owner);
        } else if let Some(deployment) = record.key.strip_prefix(keys::CONFIGURATION)
            && let Ok(document) = serde_json::from_str::<Document>(&record.value)
        {
            self.documents.insert(deployment.to_owned(), document.revision);
        }
    }

    /// Whether the view has seen `revision` of a document, and so every member that had joined by
    /// the time it was accepted.
    pub fn has_seen(&self, deployment: &str, revision: Revision) -> bool {
        self.documents.get(deployment).is_some_and(|seen| *seen >= revision)
    }

    /// Takes one change that a watch reported.
    pub fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Put(record) => self.apply_record(record),
            Change::Delete { key, revision } => {
                self.store_revision = self.store_revision.max(*revision);
                if let Some(name) = key.strip_prefix(keys::MEMBERS) {
                    self.members.remove(name);
                    self.rankings.clear();
                } else if let Some(shard) = key.strip_prefix(keys::SHARDS) {
                    self.owners.remove(shard);
                }
            }
        }
    }

    /// Only a change of who may own shards ends the rankings; reports of revisions do not.
    fn note_candidate(&mut self, name: &str, member: &Member) {
        let before = self.members.get(name).map(|known| known.is_stopping);
        if before != Some(member.is_stopping) {
            self.rankings.clear();
        }
    }

    /// The candidates from the most to the least preferred owner of `shard`.
    pub fn ranking(&mut self, shard: &str) -> Arc<[EntryId]> {
        if let Some(known) = self.rankings.get(shard) {
            return Arc::clone(known);
        }
        let ranked: Arc<[EntryId]> =
            rendezvous::ranking(shard, self.candidates()).into_iter().map(EntryId::from).collect();
        self.rankings.insert(shard.to_owned(), Arc::clone(&ranked));
        ranked
    }

    /// The members in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One member.
    pub fn member(&self, entry: &str) -> Option<&Member> {
        self.members.get(entry)
    }

    /// Names of the members that may own shards.
    pub fn candidates(&self) -> impl Iterator<Item = &str> {
        self.members.values().filter(|member| !member.is_stopping).map(|member| &*member.entry)
    }

    /// Owner of `shard`, if a live one is recorded.
    pub fn owner(&self, shard: &str) -> Option<&Owner> {
        self.owners.get(shard)
    }

    /// All recorded owners by shard.
    pub fn owners(&self) -> impl Iterator<Item = (&str, &Owner)> {
        self.owners.iter().map(|(shard, owner)| (shard.as_str(), owner))
    }
}

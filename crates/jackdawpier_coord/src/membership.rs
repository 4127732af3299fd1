//! Cluster membership of this entry: its lease, its member record, and its view of the members.
//!
//! The entry counts the lease from when it *sent* the renewal, and stops acting under it a margin
//! before the store can expire it. The process may still pause between checking the lease and
//! acting on it; fencing bounds the effects: see `docs/design/coordination.md`.

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

/// Number of lease renewals per time to live.
const RENEWALS_PER_TTL: u32 = 3;
/// Percentage of the time to live after which the holder stops relying on the lease.
const TRUSTED_PERCENT: u32 = 80;
/// Delay before a failed call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Member record that an entry publishes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address of its peer port (UDP).
    pub peer_address: String,
    /// Address of its operator port.
    pub operator_address: String,
    /// Distinguishes restarts of the same entry.
    pub incarnation: u64,
    /// Revision of each configuration document in force at the entry.
    pub in_force: BTreeMap<String, Revision>,
    /// Whether the entry is in a planned stop and claims no more shards.
    pub is_stopping: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InFlight {
    None,
    Grant,
    Renew,
    Publish,
    Revoke,
}

/// Maintains the lease and the member record of this entry.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    ttl: Duration,
    lease: Option<LeaseId>,
    /// When the latest grant or renewal was sent.
    sent_at: Now,
    trusted_until: Now,
    next_renewal_at: Now,
    retry_at: Now,
    is_published: bool,
    published_revision: Option<Revision>,
    is_member: bool,
    member_until: Now,
    is_revoked: bool,
    in_flight: InFlight,
}

impl Membership {
    /// Creates a membership without a lease.
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
            in_flight: InFlight::None,
        }
    }

    /// Returns the lease to attach records to, while it can be relied on.
    pub fn lease(&self, now: Now) -> Option<LeaseId> {
        self.lease.filter(|_| now < self.trusted_until)
    }

    /// Returns the membership status of this entry.
    ///
    /// The entry counts as a member only once `view` includes its own record. By then it has read all
    /// revisions that were in force, and a later one is reported as in force only once this entry has
    /// it too.
    pub fn status(&mut self, view: &View) -> MembershipStatus {
        let includes_own_record = |revision| view.store_revision >= revision;
        self.is_member |= self.published_revision.is_some_and(includes_own_record);
        if self.is_member && self.lease.is_some() {
            self.member_until = self.trusted_until;
        }
        MembershipStatus { entry: self.own.entry.clone(), member_until: self.member_until }
    }

    /// Returns the member record of this entry.
    pub fn own_member(&self) -> &Member {
        &self.own
    }

    /// Changes the member record of this entry; a later tick publishes it.
    pub fn update_own_member(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own != before {
            self.is_published = false;
        }
    }

    /// Ends the membership at a planned stop. No further calls are made after the returned one.
    pub fn revoke(&mut self) -> Option<Request> {
        self.is_revoked = true;
        self.in_flight = InFlight::Revoke;
        self.lease.take().map(|lease| Request::LeaseRevoke { lease })
    }

    /// Returns the call that is due, if any. Only one call is in flight at a time.
    pub fn tick(&mut self, now: Now) -> Option<Request> {
        if self.in_flight != InFlight::None || now < self.retry_at || self.is_revoked {
            return None;
        }
        if now >= self.trusted_until {
            // Renewals may still reach the store while their answers are lost. Renewing a lease that
            // isn't relied on would block its shards, so it is abandoned and expires.
            self.drop_lease();
        }
        let Some(lease) = self.lease else {
            return Some(self.start(
                now,
                InFlight::Grant,
                Request::LeaseGrant { ttl_ms: self.ttl_ms() },
            ));
        };
        if !self.is_published {
            let request = self.publish_request(lease);
            self.is_published = true;
            return Some(self.start(now, InFlight::Publish, request));
        }
        if now < self.next_renewal_at {
            return None;
        }
        Some(self.start(now, InFlight::Renew, Request::LeaseRenew { lease }))
    }

    /// Handles the result of the call in flight.
    pub fn on_result(&mut self, now: Now, result: &StoreResult) {
        let in_flight = std::mem::replace(&mut self.in_flight, InFlight::None);
        match (in_flight, result) {
            (InFlight::Grant | InFlight::Renew, Ok(Response::Lease { lease })) => {
                self.lease = Some(*lease);
                self.trusted_until = self.sent_at + self.ttl * TRUSTED_PERCENT / 100;
                self.next_renewal_at = self.sent_at + self.ttl / RENEWALS_PER_TTL;
            }
            (InFlight::Publish, Ok(Response::Written { revision })) => {
                self.published_revision.get_or_insert(*revision);
            }
            (InFlight::Revoke, _) => {}
            (_, Ok(Response::LeaseGone)) => self.drop_lease(),
            (InFlight::Publish, _) => {
                self.is_published = false;
                self.retry_at = now + RETRY_INTERVAL;
            }
            _ => self.retry_at = now + RETRY_INTERVAL,
        }
    }

    fn drop_lease(&mut self) {
        self.lease = None;
        self.is_published = false;
        self.published_revision = None;
        self.is_member = false;
    }

    fn start(&mut self, now: Now, in_flight: InFlight, request: Request) -> Request {
        self.in_flight = in_flight;
        if in_flight != InFlight::Publish {
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
            value: serde_json::to_string(&self.own).expect("member records serialize"),
            condition: Condition::Always,
            lease: Some(lease),
        }
    }
}

/// Members, shard owners and document revisions, as last read from the store.
#[derive(Debug, Default, Clone)]
pub struct View {
    members: BTreeMap<EntryId, Member>,
    owners: BTreeMap<String, Owner>,
    documents: BTreeMap<String, Revision>,
    /// Cached candidate rankings by shard, cleared when the candidates change.
    rankings: BTreeMap<String, Arc<[EntryId]>>,
    /// Highest store revision included in the view.
    pub store_revision: Revision,
}

/// Owner record of a shard, attached to the owner's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Entry that owns the shard.
    pub entry: EntryId,
    /// Incarnation of that entry.
    pub incarnation: u64,
    /// Revision of the owner record; zero inside the record itself.
    #[serde(default)]
    pub revision: Revision,
}

impl View {
    /// Clears the view before a full read.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Applies a member, owner or configuration record.
    pub fn apply_record(&mut self, record: &Record) {
        self.store_revision = self.store_revision.max(record.revision);
        if let Some(name) = record.key.strip_prefix(keys::MEMBERS) {
            if let Ok(member) = serde_json::from_str::<Member>(&record.value) {
                self.invalidate_rankings(name, &member);
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

    /// Whether the view includes `revision` of a document, and thus every member that had joined when
    /// it was accepted.
    pub fn has_seen(&self, deployment: &str, revision: Revision) -> bool {
        self.documents.get(deployment).is_some_and(|seen| *seen >= revision)
    }

    /// Applies a change reported by a watch.
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

    /// Clears the cached rankings if `member` is a new member or its candidacy changes. Other updates,
    /// such as new document revisions, keep them.
    fn invalidate_rankings(&mut self, name: &str, member: &Member) {
        let before = self.members.get(name).map(|existing| existing.is_stopping);
        if before != Some(member.is_stopping) {
            self.rankings.clear();
        }
    }

    /// Returns the candidates from the most to the least preferred owner of `shard`.
    pub fn ranking(&mut self, shard: &str) -> Arc<[EntryId]> {
        if let Some(cached) = self.rankings.get(shard) {
            return Arc::clone(cached);
        }
        let ranked: Arc<[EntryId]> =
            rendezvous::ranking(shard, self.candidates()).into_iter().map(EntryId::from).collect();
        self.rankings.insert(shard.to_owned(), Arc::clone(&ranked));
        ranked
    }

    /// Returns the members, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a member by name.
    pub fn member(&self, entry: &str) -> Option<&Member> {
        self.members.get(entry)
    }

    /// Returns the names of the members that may own shards.
    pub fn candidates(&self) -> impl Iterator<Item = &str> {
        self.members.values().filter(|member| !member.is_stopping).map(|member| &*member.entry)
    }

    /// Returns the recorded owner of `shard`.
    pub fn owner(&self, shard: &str) -> Option<&Owner> {
        self.owners.get(shard)
    }

    /// Returns all recorded owners by shard.
    pub fn owners(&self) -> impl Iterator<Item = (&str, &Owner)> {
        self.owners.iter().map(|(shard, owner)| (shard.as_str(), owner))
    }
}

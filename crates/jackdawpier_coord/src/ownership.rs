//! Claims, keeps and releases shards.
//!
//! A shard's owner record is attached to the owner's lease, so the store deletes it when that lease
//! expires. The record only decides which entry opens the shard's cell. An entry that wrongly
//! believes that it still owns a shard is fenced by the log of that cell ([`crate::cell`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{EntryId, Revision},
    rendezvous,
};
use jackdawpier_store::{Condition, LeaseId, Request, Response, StoreError, StoreResult};

use crate::{
    keys,
    membership::{Owner, View},
};

/// Time for which an owner must be outranked by another member before it releases a shard.
const REBALANCE_DELAY: Duration = Duration::from_secs(5);
/// Delay before a failed call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Action that [`Ownership`] requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Make this call for the shard and pass its result to [`Ownership::on_result`].
    Call {
        /// The shard.
        shard: String,
        /// The call.
        request: Request,
    },
    /// Open the cell of the shard, which this entry now owns.
    Acquired {
        /// The shard.
        shard: String,
    },
    /// Stop serving the shard, settle its cell and call [`Ownership::on_cell_settled`].
    Release {
        /// The shard.
        shard: String,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Claiming,
    Owned,
    Releasing,
    Deleting,
}

#[derive(Debug)]
struct Shard {
    phase: Phase,
    /// Revision of the owner record, once the shard is claimed.
    revision: Revision,
    in_flight: bool,
    retry_at: Now,
    outranked_since: Option<Now>,
}

/// Tracks the shards of this entry.
#[derive(Debug)]
pub struct Ownership {
    entry: EntryId,
    incarnation: u64,
    /// Names of all shards in the configuration in force.
    shard_names: BTreeSet<String>,
    held: BTreeMap<String, Shard>,
    /// Lease that the owner records of `held` are attached to.
    lease: Option<LeaseId>,
    is_stopping: bool,
}

impl Ownership {
    /// Creates an ownership without shards.
    pub fn new(entry: EntryId, incarnation: u64) -> Self {
        Self {
            entry,
            incarnation,
            shard_names: BTreeSet::new(),
            held: BTreeMap::new(),
            lease: None,
            is_stopping: false,
        }
    }

    /// Sets the names of all shards, from the configuration in force.
    pub fn set_shards(&mut self, names: BTreeSet<String>) {
        self.shard_names = names;
    }

    /// Whether this entry owns `shard` and may serve it.
    pub fn owns(&self, shard: &str) -> bool {
        self.held.get(shard).is_some_and(|held| held.phase == Phase::Owned)
    }

    /// Returns the shards being released whose cells may not be settled yet.
    pub fn releasing_shards(&self) -> Vec<String> {
        let is_releasing = |held: &&Shard| held.phase == Phase::Releasing;
        self.held
            .iter()
            .filter(|(_, held)| is_releasing(held))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether no shard is claimed, owned or being released.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Releases every shard from the next tick on, for a planned stop.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Drops a shard whose cell was fenced by another owner.
    pub fn on_fenced(&mut self, shard: &str) {
        self.held.remove(shard);
    }

    /// Whether all owner records of this entry are attached to `lease`, the member lease while it can
    /// be relied on. If not, the records expire with an earlier lease, and the caller has to call
    /// [`Ownership::drop_all`].
    pub fn is_backed_by(&self, lease: Option<LeaseId>) -> bool {
        self.held.is_empty() || lease.is_some() && self.lease == lease
    }

    /// Drops every shard after the member lease was lost, and returns their names.
    pub fn drop_all(&mut self) -> Vec<String> {
        std::mem::take(&mut self.held).into_keys().collect()
    }

    /// Handles that the cell of a shard being released is settled; its owner record is then deleted.
    pub fn on_cell_settled(&mut self, shard: &str) {
        if let Some(held) = self.held.get_mut(shard) {
            held.phase = Phase::Deleting;
        }
    }

    /// Returns the actions due for all shards. `lease` is the member lease while it can be relied on.
    pub fn tick(&mut self, now: Now, lease: Option<LeaseId>, view: &View) -> Vec<Output> {
        let Some(lease) = lease else { return Vec::new() };
        self.lease = Some(lease);
        let names: Vec<String> = self
            .shard_names
            .iter()
            .chain(self.held.keys())
            .cloned()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
        names.iter().filter_map(|name| self.advance_shard(now, name, lease, view)).collect()
    }

    fn advance_shard(
        &mut self,
        now: Now,
        name: &str,
        lease: LeaseId,
        view: &View,
    ) -> Option<Output> {
        let preferred = rendezvous::owner(name, view.candidates());
        let is_preferred = preferred == Some(&*self.entry);
        let Some(held) = self.held.get_mut(name) else {
            return self.claim_or_delete(now, name, lease, view, is_preferred);
        };
        if held.in_flight || now < held.retry_at {
            return None;
        }
        match held.phase {
            Phase::Claiming => Some(self.call(name, self.claim_request(name, lease, view))),
            Phase::Owned => {
                let should_keep = self.shard_names.contains(name) && !self.is_stopping;
                let since = held.outranked_since.get_or_insert(now);
                if is_preferred {
                    held.outranked_since = None;
                } else if should_keep && now < *since + REBALANCE_DELAY {
                    return None;
                }
                if is_preferred && should_keep {
                    return None;
                }
                held.phase = Phase::Releasing;
                Some(Output::Release { shard: name.to_owned() })
            }
            Phase::Releasing => None,
            Phase::Deleting => {
                let request = delete_request(name, held.revision);
                Some(self.call(name, request))
            }
        }
    }

    /// Claims a shard that has no owner, or reclaims or deletes a stale record of this entry.
    fn claim_or_delete(
        &mut self,
        now: Now,
        name: &str,
        lease: LeaseId,
        view: &View,
        is_preferred: bool,
    ) -> Option<Output> {
        let owner = view.owner(name);
        let stale_revision = owner.filter(|owner| self.is_own(owner)).map(|owner| owner.revision);
        let is_claiming = is_preferred && !self.is_stopping;
        if owner.is_some() && stale_revision.is_none() || stale_revision.is_none() && !is_claiming {
            return None;
        }
        // This process has an owner record for a shard that it doesn't hold. Such a stale record
        // remains after a claim that took effect late, or after the lease couldn't be relied on for
        // a while. It is claimed again, or deleted so that the preferred entry can own the shard.
        let phase = if is_claiming { Phase::Claiming } else { Phase::Deleting };
        let revision = stale_revision.unwrap_or(0);
        let shard =
            Shard { phase, revision, in_flight: false, retry_at: now, outranked_since: None };
        self.held.insert(name.to_owned(), shard);
        let request = match phase {
            Phase::Deleting => delete_request(name, revision),
            _ => self.claim_request(name, lease, view),
        };
        Some(self.call(name, request))
    }

    fn claim_request(&self, name: &str, lease: LeaseId, view: &View) -> Request {
        let condition = match view.owner(name).filter(|owner| self.is_own(owner)) {
            Some(owner) => Condition::Revision(owner.revision),
            None => Condition::Absent,
        };
        let owner = Owner { entry: self.entry.clone(), incarnation: self.incarnation, revision: 0 };
        Request::Put {
            key: keys::shard(name),
            value: serde_json::to_string(&owner).expect("owner records serialize"),
            condition,
            lease: Some(lease),
        }
    }

    fn call(&mut self, name: &str, request: Request) -> Output {
        if let Some(held) = self.held.get_mut(name) {
            held.in_flight = true;
        }
        Output::Call { shard: name.to_owned(), request }
    }

    fn is_own(&self, owner: &Owner) -> bool {
        owner.entry == self.entry && owner.incarnation == self.incarnation
    }

    /// Handles the result of the call in flight for `shard`.
    pub fn on_result(&mut self, now: Now, shard: &str, result: &StoreResult) -> Vec<Output> {
        let own_revision = match result {
            Ok(Response::Written { revision }) => Some(*revision),
            // The answer to an earlier try was lost, but its record shows that it took effect. A
            // record attached to an earlier lease expires with it, and the shard is claimed again.
            Ok(Response::Conflict { current: Some(record) }) if record.lease == self.lease => {
                let owner = serde_json::from_str::<Owner>(&record.value).ok();
                owner.filter(|owner| self.is_own(owner)).map(|_| record.revision)
            }
            _ => None,
        };
        let Some(held) = self.held.get_mut(shard) else { return Vec::new() };
        held.in_flight = false;
        match (held.phase, result) {
            (Phase::Claiming, Ok(_)) if own_revision.is_some() => {
                self.acquire(shard, own_revision.unwrap_or_default())
            }
            (Phase::Claiming | Phase::Deleting, Ok(_)) => {
                self.held.remove(shard);
                Vec::new()
            }
            (_, Ok(_) | Err(StoreError::Ambiguous { .. } | StoreError::Unavailable { .. })) => {
                held.retry_at = now + RETRY_INTERVAL;
                Vec::new()
            }
        }
    }

    fn acquire(&mut self, shard: &str, revision: Revision) -> Vec<Output> {
        if let Some(held) = self.held.get_mut(shard) {
            held.phase = Phase::Owned;
            held.revision = revision;
        }
        vec![Output::Acquired { shard: shard.to_owned() }]
    }
}

fn delete_request(name: &str, revision: Revision) -> Request {
    Request::Delete { key: keys::shard(name), condition: Condition::Revision(revision) }
}

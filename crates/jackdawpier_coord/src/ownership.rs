//! Which shards this entry claims, keeps and gives up.
//!
//! A shard's owner record lives under its owner's lease, so the store deletes it when the owner
//! dies. The record decides who *tries*; what fences an owner that wrongly believes it still owns
//! a shard is the shard's cell log ([`crate::cell`]).

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

/// Time for which a member that ranks higher must live before a shard is handed to it.
const REBALANCE_DELAY: Duration = Duration::from_secs(5);
/// Wait before a failed call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What ownership wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Make this call for the shard and give its result to [`Ownership::on_result`].
    Call {
        /// The shard.
        shard: String,
        /// The call.
        request: Request,
    },
    /// This entry owns the shard: open its cell.
    Acquired {
        /// The shard.
        shard: String,
    },
    /// Stop working on the shard, settle its cell and call [`Ownership::on_cell_settled`].
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
    /// Revision of the owner record, once the claim took effect.
    revision: Revision,
    in_flight: bool,
    retry_at: Now,
    outranked_since: Option<Now>,
}

/// The shards of this entry.
#[derive(Debug)]
pub struct Ownership {
    entry: EntryId,
    incarnation: u64,
    names: BTreeSet<String>,
    held: BTreeMap<String, Shard>,
    /// The lease under which the records of `held` stand.
    lease: Option<LeaseId>,
    is_stopping: bool,
}

impl Ownership {
    /// Returns an ownership without shards.
    pub fn new(entry: EntryId, incarnation: u64) -> Self {
        Self {
            entry,
            incarnation,
            names: BTreeSet::new(),
            held: BTreeMap::new(),
            lease: None,
            is_stopping: false,
        }
    }

    /// Sets the shards that exist, from the configuration in force.
    pub fn set_shards(&mut self, names: BTreeSet<String>) {
        self.names = names;
    }

    /// Whether this entry owns `shard` and may work on it.
    pub fn owns(&self, shard: &str) -> bool {
        self.held.get(shard).is_some_and(|held| held.phase == Phase::Owned)
    }

    /// Shards that are being given up and whose cells may not be settled yet.
    pub fn releasing_shards(&self) -> Vec<String> {
        let is_releasing = |held: &&Shard| held.phase == Phase::Releasing;
        self.held
            .iter()
            .filter(|(_, held)| is_releasing(held))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether nothing is held or being given up.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Gives every shard up, at a planned stop.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Drops a shard whose cell reported that another owner has taken over.
    pub fn on_fenced(&mut self, shard: &str) {
        self.held.remove(shard);
    }

    /// Whether every record of this entry stands under `lease`, the one that can be relied on. If
    /// not, they lapse with an earlier one, and [`Ownership::drop_all`] has to be called.
    pub fn is_backed_by(&self, lease: Option<LeaseId>) -> bool {
        self.held.is_empty() || lease.is_some() && self.lease == lease
    }

    /// Drops every shard, when the member lease was lost.
    pub fn drop_all(&mut self) -> Vec<String> {
        std::mem::take(&mut self.held).into_keys().collect()
    }

    /// Says that a released shard's cell is settled, so that its record can go.
    pub fn on_cell_settled(&mut self, shard: &str) {
        if let Some(held) = self.held.get_mut(shard) {
            held.phase = Phase::Deleting;
        }
    }

    /// Decides on every shard. `lease` is the member lease while it can be relied on.
    pub fn tick(&mut self, now: Now, lease: Option<LeaseId>, view: &View) -> Vec<Output> {
        let Some(lease) = lease else { return Vec::new() };
        self.lease = Some(lease);
        let names: Vec<String> = self
            .names
            .iter()
            .chain(self.held.keys())
            .cloned()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
        names.iter().filter_map(|name| self.decide(now, name, lease, view)).collect()
    }

    fn decide(&mut self, now: Now, name: &str, lease: LeaseId, view: &View) -> Option<Output> {
        let preferred = rendezvous::owner(name, view.candidates());
        let is_preferred = preferred == Some(&*self.entry);
        let Some(held) = self.held.get_mut(name) else {
            return self.consider_claim(now, name, lease, view, is_preferred);
        };
        if held.in_flight || now < held.retry_at {
            return None;
        }
        match held.phase {
            Phase::Claiming => Some(self.call(name, self.claim_request(name, lease, view))),
            Phase::Owned => {
                let is_wanted = self.names.contains(name) && !self.is_stopping;
                let since = held.outranked_since.get_or_insert(now);
                if is_preferred {
                    held.outranked_since = None;
                } else if is_wanted && now < *since + REBALANCE_DELAY {
                    return None;
                }
                if is_preferred && is_wanted {
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

    fn consider_claim(
        &mut self,
        now: Now,
        name: &str,
        lease: LeaseId,
        view: &View,
        is_preferred: bool,
    ) -> Option<Output> {
        let owner = view.owner(name);
        let leftover = owner.filter(|owner| self.is_self(owner)).map(|owner| owner.revision);
        let is_claiming = is_preferred && !self.is_stopping;
        if owner.is_some() && leftover.is_none() || leftover.is_none() && !is_claiming {
            return None;
        }
        // A record of this very process that it does not hold is left over from a claim that took
        // effect late, or from a lease that could not be relied on for a while. It is claimed
        // again, or deleted so that the preferred entry can have the shard.
        let phase = if is_claiming { Phase::Claiming } else { Phase::Deleting };
        let revision = leftover.unwrap_or(0);
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
        let condition = match view.owner(name).filter(|owner| self.is_self(owner)) {
            Some(owner) => Condition::Revision(owner.revision),
            None => Condition::Absent,
        };
        let owner = Owner { entry: self.entry.clone(), incarnation: self.incarnation, revision: 0 };
        Request::Put {
            key: keys::shard(name),
            value: serde_json::to_string(&owner).expect("owners are plain data"),
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

    fn is_self(&self, owner: &Owner) -> bool {
        owner.entry == self.entry && owner.incarnation == self.incarnation
    }

    /// Takes the result of the call in flight for `shard`.
    pub fn on_result(&mut self, now: Now, shard: &str, result: &StoreResult) -> Vec<Output> {
        let own_revision = match result {
            Ok(Response::Written { revision }) => Some(*revision),
            // The answer to the first try was lost; the record shows that it took effect. One that
            // stands under an earlier lease lapses with it, and is claimed again.
            Ok(Response::Conflict { current: Some(record) }) if record.lease == self.lease => {
                let owner = serde_json::from_str::<Owner>(&record.value).ok();
                owner.filter(|owner| self.is_self(owner)).map(|_| record.revision)
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

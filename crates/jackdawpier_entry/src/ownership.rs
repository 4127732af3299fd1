//! Which entry owns the fleet: one key of the store under a lease.
//!
//! The key's revision is the fence of the term. The key may vanish before the lease does, so each
//! renewal also reads it, each durable write expects its revision, and machine orders ask for it
//! anew.

use std::{cell::RefCell, rc::Rc, time::Duration};

use jackdawpier_kernel::{Now, ids::Revision};
use serde::{Deserialize, Serialize};

use crate::{
    clock, keys,
    ports::{CallError, CallResult, LeaseId, Platform, Transaction, TransactionOutcome},
};

/// Life of the lease. A killed owner is polled_executors after this long, and a store that doesn't answer
/// for a little less costs the ownership.
const TTL: Duration = Duration::from_millis(1500);
/// Renewals an owner may miss: three of four.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// Pause between two tries to end the lease of a term that is over.
const RELEASE_PAUSE: Duration = Duration::from_millis(100);
/// An outage that lasts for longer than this is rare; after it the lease ends by itself.
const RELEASE_PATIENCE: Duration = Duration::from_secs(20);
/// The owner stops this long before its lease ends, for the way of an order and clocks' drift.
const MARGIN: Duration = Duration::from_millis(300);

#[derive(Debug, Serialize, Deserialize)]
struct OwnerValue {
    entry: String,
    /// Process of the entry: distinguishes restarts.
    #[serde(rename = "life")]
    incarnation: String,
    /// Its share of a core.
    cpu_share: f64,
}

#[derive(Debug)]
struct State {
    valid_until: Now,
    is_lost: bool,
}

/// One term of ownership.
#[derive(Debug, Clone)]
pub struct Term {
    /// Fencing token of all orders.
    pub fence: Revision,
    lease: LeaseId,
    ttl: Duration,
    state: Rc<RefCell<State>>,
}

impl Term {
    /// How long a renewal holds, from the moment at which it was asked for.
    fn valid_for(&self) -> Duration {
        self.ttl.saturating_sub(MARGIN)
    }

    /// Whether orders may leave now. Once it isn't so it never is again: the loops of the term end
    /// at different moments, and a term that came back would be kept alive by some of them only.
    pub fn is_valid(&self) -> bool {
        let mut state = self.state.borrow_mut();
        state.is_lost |= clock::now() >= state.valid_until;
        !state.is_lost
    }

    /// Ends the term at this entry: another may have begun.
    pub fn mark_lost(&self) {
        self.state.borrow_mut().is_lost = true;
    }

    /// Reads the key and returns whether it is still this term's.
    pub async fn confirm<P: Platform>(&self, platform: &P) -> bool {
        match platform.get(keys::OWNER).await {
            Ok(Some(item)) if item.revision == self.fence => true,
            Ok(_) => {
                self.mark_lost();
                false
            }
            Err(_) => false,
        }
    }

    /// Renews the lease once.
    pub async fn renew<P: Platform>(&self, platform: &P) -> CallResult<()> {
        if !self.is_valid() {
            return Err(CallError::LeaseEnded);
        }
        let asked_at = clock::now();
        match platform.renew_lease(self.lease).await {
            Ok(()) if !self.is_valid() => Err(CallError::LeaseEnded),
            Ok(()) => {
                let mut state = self.state.borrow_mut();
                state.valid_until = state.valid_until.max(asked_at + self.valid_for());
                Ok(())
            }
            Err(CallError::LeaseEnded) => {
                self.mark_lost();
                Err(CallError::LeaseEnded)
            }
            Err(error) => Err(error),
        }
    }

    /// Gives the ownership up, so that another entry needn't wait for the lease to end. Returns whether
    /// the lease has ended for certain.
    pub async fn release<P: Platform>(&self, platform: &P) -> bool {
        self.mark_lost();
        matches!(platform.end_lease(self.lease).await, Ok(()) | Err(CallError::LeaseEnded))
    }

    /// Gives the ownership up as soon as the store answers: leases may pause while it is down, and after
    /// its return nothing would start for as long as the lease had left.
    pub async fn release_with_retries<P: Platform>(&self, platform: &P) {
        let began_at = clock::now();
        while !self.release(platform).await && clock::since(began_at) < RELEASE_PATIENCE {
            tokio::time::sleep(RELEASE_PAUSE).await;
        }
    }
}

/// An entry that would own the fleet.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of the entry.
    pub entry: String,
    /// Process of the entry: distinguishes restarts.
    pub incarnation: String,
    /// Its share of a core.
    pub cpu_share: f64,
    /// Life of the lease, see [`lease_ttl`].
    pub ttl: Duration,
}

/// Life of the lease, where the store grants none below `shortest`.
pub fn lease_ttl(shortest: Duration) -> Duration {
    TTL.max(shortest)
}

/// Whether a share of a core is enough to own a large fleet: an owner of 350 executors takes some
/// 0.15 cores, more than the smallest machines have.
fn is_enough(cpu_share: f64) -> bool {
    cpu_share >= ENOUGH_CPU
}

/// Tries to become the owner and returns the term if this entry is it now. An entry with little
/// processor leaves a free ownership to larger ones until each has looked, and a larger one takes it
/// from such an entry. Where all are small each keeps what it holds.
pub async fn acquire<P: Platform>(platform: &P, candidate: &Candidate) -> CallResult<Option<Term>> {
    let mut held = platform.get(keys::OWNER).await?;
    if held.is_none() && !is_enough(candidate.cpu_share) {
        tokio::time::sleep(TRY_INTERVAL * 3 / 2).await;
        held = platform.get(keys::OWNER).await?;
    }
    let expected = match &held {
        None => 0,
        Some(item) if may_replace(&item.value, candidate) => item.revision,
        Some(_) => return Ok(None),
    };
    let asked_at = clock::now();
    let lease = platform.grant_lease(candidate.ttl).await?;
    let (entry, incarnation) = (candidate.entry.clone(), candidate.incarnation.clone());
    let value = OwnerValue { entry, incarnation, cpu_share: candidate.cpu_share };
    let value = serde_json::to_vec(&value).expect("plain strings can be written as JSON");
    let transaction = Transaction {
        expect: vec![(keys::OWNER.to_owned(), expected)],
        puts: vec![(keys::OWNER.to_owned(), value.clone(), Some(lease))],
        removes: Vec::new(),
    };
    let fence = match platform.commit(&transaction).await {
        Ok(TransactionOutcome::Committed(revision)) => revision,
        Ok(TransactionOutcome::Conflict(_)) | Err(CallError::NotDone { .. }) => {
            let _ = platform.end_lease(lease).await;
            return Ok(None);
        }
        // The answer is lost: the key says whether the write was carried out.
        Err(_) => match platform.get(keys::OWNER).await? {
            Some(item) if item.value == value => item.revision,
            _ => {
                // The lease's end keeps the write from being carried out later.
                let _ = platform.end_lease(lease).await;
                return Ok(None);
            }
        },
    };
    let valid_until = asked_at + candidate.ttl.saturating_sub(MARGIN);
    let state = State { valid_until, is_lost: false };
    Ok(Some(Term { fence, lease, ttl: candidate.ttl, state: Rc::new(RefCell::new(state)) }))
}

/// Whether the holder of the key is an earlier life of this very entry, which is certainly gone, or
/// has too little processor where this entry has enough. Its term then ends as if the key had been
/// taken away.
fn may_replace(value: &[u8], candidate: &Candidate) -> bool {
    serde_json::from_slice::<OwnerValue>(value).is_ok_and(|holder| {
        let is_previous_incarnation =
            holder.entry == candidate.entry && holder.incarnation != candidate.incarnation;
        let is_larger = is_enough(candidate.cpu_share) && !is_enough(holder.cpu_share);
        is_previous_incarnation || is_larger
    })
}

/// Share of a core from which an entry takes a free ownership at once.
const ENOUGH_CPU: f64 = 0.2;
/// Pause between two tries to become the owner. A stale reading, though cheaper, may show an owner
/// that has been gone for seconds.
const TRY_INTERVAL: Duration = Duration::from_millis(500);
/// The same for an entry that leaves a free ownership to larger ones first. Of hundreds of entries most are
/// small, and their looks were a seventh of all calls of the store.
const SMALL_TRY_INTERVAL: Duration = Duration::from_millis(1500);

/// Pause between two tries of an entry with this share of a core.
pub fn acquire_interval(cpu_share: f64) -> Duration {
    if is_enough(cpu_share) { TRY_INTERVAL } else { SMALL_TRY_INTERVAL }
}

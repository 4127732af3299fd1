//! Ownership of the fleet: a key of the store under a lease.
//!
//! The key's revision is the fencing token of the term. The key may be removed before the lease ends, so the
//! owner also reads the key with each renewal, every durable write expects its revision, and a machine order is
//! sent only after a write that expects it.

use std::{cell::RefCell, rc::Rc, time::Duration};

use jackdawpier_kernel::{Now, ids::Revision};
use serde::{Deserialize, Serialize};

use crate::{
    clock, keys,
    ports::{CallError, CallResult, Item, LeaseId, Platform, Transaction, TransactionOutcome},
    speed::MachineSpeed,
};

/// TTL of the lease. A killed owner is replaced after this long, and a store outage that is a little shorter
/// loses the ownership.
const LEASE_TTL: Duration = Duration::from_millis(1500);
/// Interval between renewals. An owner keeps the lease if three consecutive renewals fail.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before a failed release of a lease is retried.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum duration of release attempts. Longer outages are rare, and after one the lease expires.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(20);
/// The owner stops this long before its lease ends, to allow for the transit time of orders and clock drift.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

#[derive(Debug, Serialize, Deserialize)]
struct OwnerValue {
    entry: String,
    /// Process of the entry: distinguishes restarts.
    #[serde(rename = "life")]
    incarnation: String,
    /// The entry's share of a core.
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
    /// Returns how long a renewal is valid, counted from its request.
    fn valid_for(&self) -> Duration {
        self.ttl.saturating_sub(LEASE_MARGIN)
    }

    /// Whether orders may be sent. A term that has become invalid stays invalid: its loops end at different
    /// times, and a term that became valid again would have only some of them.
    pub fn is_valid(&self) -> bool {
        let mut state = self.state.borrow_mut();
        state.is_lost |= clock::now() >= state.valid_until;
        !state.is_lost
    }

    /// Ends the term at this entry; another entry may already own the fleet.
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

    /// Releases the ownership, so that another entry needn't wait until the lease expires. Returns whether the
    /// lease has certainly ended.
    pub async fn release<P: Platform>(&self, platform: &P) -> bool {
        self.mark_lost();
        matches!(platform.end_lease(self.lease).await, Ok(()) | Err(CallError::LeaseEnded))
    }

    /// Releases the ownership as soon as the store answers. Leases may pause while the store is down, and
    /// nothing would start after its return until the rest of the lease has passed.
    pub async fn release_with_retries<P: Platform>(&self, platform: &P) {
        let began_at = clock::now();
        while !self.release(platform).await && clock::since(began_at) < RELEASE_TIMEOUT {
            tokio::time::sleep(RELEASE_RETRY_DELAY).await;
        }
    }
}

/// An entry that can become the owner.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of the entry.
    pub entry: String,
    /// Process of the entry: distinguishes restarts.
    pub incarnation: String,
    /// The entry's share of a core.
    pub cpu_share: f64,
    /// Speed of the entry's machine.
    pub speed: MachineSpeed,
    /// TTL of the lease, see [`lease_ttl`].
    pub ttl: Duration,
}

impl Candidate {
    /// Returns the share of a core at the usual speed that the entry's share is worth now: a slow machine counts as
    /// a small one.
    pub fn current_cpu_share(&self) -> f64 {
        let factor = if self.speed.is_slow() { self.speed.relative_speed() } else { 1.0 };
        self.cpu_share * factor
    }
}

/// Returns the TTL of the lease for a store that grants none below `min_ttl`.
pub fn lease_ttl(min_ttl: Duration) -> Duration {
    LEASE_TTL.max(min_ttl)
}

/// Whether a share of a core is enough to own a large fleet: an owner of 350 executors uses about 0.15 cores,
/// more than the smallest machines have.
fn has_enough_cpu(cpu_share: f64) -> bool {
    cpu_share >= MIN_OWNER_CPU_SHARE
}

/// Tries to become the owner, and returns the term if this entry succeeds. A small entry waits until all larger
/// ones have tried to acquire a free ownership, and a larger entry takes the ownership from a small one. Among
/// small entries the owner keeps it.
pub async fn acquire<P: Platform>(platform: &P, candidate: &Candidate) -> CallResult<Option<Term>> {
    let mut current = platform.get(keys::OWNER).await?;
    if !is_available(current.as_ref(), candidate, candidate.cpu_share) {
        return Ok(None);
    }
    // Whatever has slowed the last owner's machine may have slowed this one as well.
    candidate.speed.sample_current();
    let cpu_share = candidate.current_cpu_share();
    if current.is_none() && !has_enough_cpu(cpu_share) {
        tokio::time::sleep(ACQUIRE_INTERVAL * 3 / 2).await;
        current = platform.get(keys::OWNER).await?;
    }
    if !is_available(current.as_ref(), candidate, cpu_share) {
        return Ok(None);
    }
    let expected = current.as_ref().map_or(0, |item| item.revision);
    let asked_at = clock::now();
    let lease = platform.grant_lease(candidate.ttl).await?;
    let (entry, incarnation) = (candidate.entry.clone(), candidate.incarnation.clone());
    let value = OwnerValue { entry, incarnation, cpu_share };
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
        // The answer is lost: the key shows whether the write took effect.
        Err(_) => match platform.get(keys::OWNER).await? {
            Some(item) if item.value == value => item.revision,
            _ => {
                // Ending the lease keeps the write from taking effect later.
                let _ = platform.end_lease(lease).await;
                return Ok(None);
            }
        },
    };
    let valid_until = asked_at + candidate.ttl.saturating_sub(LEASE_MARGIN);
    let state = State { valid_until, is_lost: false };
    Ok(Some(Term { fence, lease, ttl: candidate.ttl, state: Rc::new(RefCell::new(state)) }))
}

/// Whether an entry with this share of a core may acquire the ownership that the store holds.
fn is_available(current: Option<&Item>, candidate: &Candidate, cpu_share: f64) -> bool {
    current.is_none_or(|item| may_take_over(&item.value, candidate, cpu_share))
}

/// Whether the owner is a previous process of this entry, which has certainly ended, or has too little
/// processor while this entry has enough. Its term then ends as if the key had been removed.
fn may_take_over(value: &[u8], candidate: &Candidate, cpu_share: f64) -> bool {
    serde_json::from_slice::<OwnerValue>(value).is_ok_and(|owner| {
        let is_previous_incarnation =
            owner.entry == candidate.entry && owner.incarnation != candidate.incarnation;
        let is_larger = has_enough_cpu(cpu_share) && !has_enough_cpu(owner.cpu_share);
        is_previous_incarnation || is_larger
    })
}

/// Minimum share of a core with which an entry acquires a free ownership at once.
const MIN_OWNER_CPU_SHARE: f64 = 0.2;
/// Interval between attempts to become the owner. Each attempt reads the newest state: a stale read is cheaper,
/// but may show an owner that has been gone for seconds.
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval for small entries, which leave a free ownership to larger ones first. Of hundreds of entries most
/// are small, and their attempts at the usual interval were a seventh of all calls of the store.
const SMALL_ENTRY_ACQUIRE_INTERVAL: Duration = Duration::from_millis(1500);

/// Returns the interval between attempts of an entry with this share of a core.
pub fn acquire_interval(cpu_share: f64) -> Duration {
    if has_enough_cpu(cpu_share) { ACQUIRE_INTERVAL } else { SMALL_ENTRY_ACQUIRE_INTERVAL }
}

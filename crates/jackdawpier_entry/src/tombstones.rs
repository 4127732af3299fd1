//! Tombstones of jobs that were cancelled, or refused, before the store held them.
//!
//! Another entry may still be writing a job that the store doesn't hold. So the answer that there is no such job is
//! given only once the job's record is a tombstone: a job is written under the condition that it has no record, so the
//! store refuses the write, however late it arrives. Tombstones are attached to leases, and each entry writes a
//! bounded number of them. See `docs/design/cancellation.md`.

use std::{cell::RefCell, rc::Rc, time::Duration};

use jackdawpier_fleet::record::{JobOutcome, JobRecord, Tombstone};
use jackdawpier_kernel::{
    Now,
    ids::{AccountName, JobId, Revision},
};
use tokio::sync::Mutex;

use crate::{
    clock, keys,
    ports::{CallError, CallResult, Item, LeaseId, Platform, Transaction, TransactionOutcome},
};

/// Minimum time for which a tombstone refuses writes: many times the longest pause of an entry and the longest delay
/// of a write.
pub const MIN_LIFETIME: Duration = Duration::from_secs(45);
/// Time for which one lease is used for new tombstones, so that few leases are needed.
const LEASE_SHARING_TIME: Duration = Duration::from_secs(45);
/// Tombstones that an entry may write at once, for the callers of another entry that has failed.
const BURST: f64 = 50.0;
/// Tombstones that an entry may write per second after a burst. With the lifetime this limits the tombstones of an
/// entry to 95, and of a hundred entries to a listing of twenty pages.
const RATE_PER_S: f64 = 0.5;

/// Token bucket that limits the tombstones of one entry.
#[derive(Debug)]
pub struct TombstoneBudget {
    tokens: f64,
    filled_at: Now,
}

impl TombstoneBudget {
    /// Creates a full bucket.
    pub fn new(now: Now) -> Self {
        Self { tokens: BURST, filled_at: now }
    }

    /// Takes a token; returns false if there is none.
    pub fn take(&mut self, now: Now) -> bool {
        let passed = now.saturating_sub(self.filled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * RATE_PER_S).min(BURST);
        self.filled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns a token for which nothing was written.
    pub fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(BURST);
    }
}

/// A lease that items written within [`LEASE_SHARING_TIME`] share.
#[derive(Debug)]
struct SharedLease {
    /// Minimum lifetime of the items.
    lifetime: Duration,
    current: Mutex<Option<(LeaseId, Now)>>,
}

impl SharedLease {
    fn new(lifetime: Duration) -> Self {
        Self { lifetime, current: Mutex::default() }
    }

    async fn get<P: Platform>(&self, platform: &P) -> CallResult<LeaseId> {
        let mut current = self.current.lock().await;
        if let Some((lease, granted_at)) = *current
            && clock::since(granted_at) < LEASE_SHARING_TIME
        {
            return Ok(lease);
        }
        let granted_at = clock::now();
        let lease = platform.grant_lease(self.lifetime + LEASE_SHARING_TIME).await?;
        *current = Some((lease, granted_at));
        Ok(lease)
    }

    /// Forgets a lease that the store doesn't know any more.
    async fn forget(&self, lease: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|(known, _)| known == lease) {
            *current = None;
        }
    }
}

/// The outcome of writing a tombstone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TombstoneOutcome {
    /// The store refuses the job from now on.
    Written,
    /// The store holds the job, or has a record of it.
    Exists,
    /// This entry has written too many tombstones recently. Nothing was done.
    OverBudget,
}

#[derive(Debug)]
struct Inner {
    budget: RefCell<TombstoneBudget>,
    /// For jobs that were refused, so that they take no tokens of cancellations.
    refusal_budget: RefCell<TombstoneBudget>,
    /// Lease of tombstones of jobs that may never have been submitted.
    unsubmitted: SharedLease,
    /// Lease of tombstones that show their jobs as cancelled.
    submitted: SharedLease,
}

/// Writes the tombstones of an entry.
#[derive(Debug, Clone)]
pub struct Tombstones(Rc<Inner>);

impl Tombstones {
    /// Creates a writer; a job that was submitted is shown as cancelled for at least `job_retention`.
    pub fn new(job_retention: Duration) -> Self {
        Self(Rc::new(Inner {
            budget: RefCell::new(TombstoneBudget::new(clock::now())),
            refusal_budget: RefCell::new(TombstoneBudget::new(clock::now())),
            unsubmitted: SharedLease::new(MIN_LIFETIME),
            submitted: SharedLease::new(job_retention.max(MIN_LIFETIME)),
        }))
    }

    /// Writes the tombstone of a job that the store doesn't hold, over the one that other accounts have written, if any.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer or refuses the call; the tombstone may have been written.
    pub async fn write<P: Platform>(
        &self,
        platform: &P,
        job: &JobId,
        account: Option<&AccountName>,
        previous: Option<StoredTombstone>,
    ) -> CallResult<TombstoneOutcome> {
        let (revision, mut tombstone) =
            previous.map_or_else(Default::default, |it| (it.revision, it.tombstone));
        tombstone.accounts.push(account.cloned());
        self.write_within(&self.0.budget, platform, job, revision, &tombstone).await
    }

    /// Writes the tombstone of a job that is refused and that the store doesn't hold. It names no account that has
    /// cancelled the job, so the job replaces it when it is submitted again.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer or refuses the call; the tombstone may have been written.
    pub async fn write_refusal<P: Platform>(
        &self,
        platform: &P,
        job: &JobId,
    ) -> CallResult<TombstoneOutcome> {
        let budget = &self.0.refusal_budget;
        self.write_within(budget, platform, job, 0, &Tombstone::default()).await
    }

    async fn write_within<P: Platform>(
        &self,
        budget: &RefCell<TombstoneBudget>,
        platform: &P,
        job: &JobId,
        revision: Revision,
        tombstone: &Tombstone,
    ) -> CallResult<TombstoneOutcome> {
        if !budget.borrow_mut().take(clock::now()) {
            return Ok(TombstoneOutcome::OverBudget);
        }
        let outcome = self.write_once(platform, job, revision, tombstone).await;
        let may_be_written =
            matches!(outcome, Ok(TombstoneOutcome::Written) | Err(CallError::Unanswered { .. }));
        if !may_be_written {
            budget.borrow_mut().put_back();
        }
        outcome
    }

    async fn write_once<P: Platform>(
        &self,
        platform: &P,
        job: &JobId,
        revision: Revision,
        tombstone: &Tombstone,
    ) -> CallResult<TombstoneOutcome> {
        let lease = self.0.unsubmitted.get(platform).await?;
        // Earlier versions compare a single account.
        let record = encode(tombstone, tombstone.accounts.first().and_then(Option::as_ref));
        let transaction = Transaction {
            expect: vec![(keys::submission(job), 0), (keys::record(job), revision)],
            puts: vec![(keys::record(job), record, Some(lease))],
            removes: Vec::new(),
        };
        match platform.commit(&transaction).await {
            Ok(TransactionOutcome::Committed(_)) => Ok(TombstoneOutcome::Written),
            Ok(TransactionOutcome::Conflict(_)) => Ok(TombstoneOutcome::Exists),
            Err(error) => {
                if error == CallError::LeaseEnded {
                    self.0.unsubmitted.forget(lease).await;
                }
                Err(error)
            }
        }
    }

    /// Returns the lease for tombstones of submitted jobs.
    pub(crate) async fn submitted_lease<P: Platform>(&self, platform: &P) -> CallResult<LeaseId> {
        self.0.submitted.get(platform).await
    }

    /// Forgets a lease of submitted jobs that the store doesn't know any more.
    pub(crate) async fn forget_submitted_lease(&self, lease: LeaseId) {
        self.0.submitted.forget(lease).await;
    }
}

/// A tombstone in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredTombstone {
    /// Revision of the record.
    pub revision: Revision,
    /// Account of the record.
    pub account: Option<AccountName>,
    /// The tombstone.
    pub tombstone: Tombstone,
}

impl StoredTombstone {
    /// Reads the record of a job; `None` if it isn't a tombstone.
    pub(crate) fn read(item: &Item) -> Option<Self> {
        let record: JobRecord = serde_json::from_slice(&item.value).ok()?;
        let tombstone = record.tombstone?;
        Some(Self { revision: item.revision, account: record.account, tombstone })
    }

    /// Returns the record once an account has submitted the job after its cancellation.
    pub(crate) fn encode_submitted(&self, account: Option<&AccountName>) -> Vec<u8> {
        encode(&Tombstone { is_submitted: true, ..self.tombstone.clone() }, account)
    }
}

/// Encodes the record of a job that was cancelled before the store held it.
fn encode(tombstone: &Tombstone, account: Option<&AccountName>) -> Vec<u8> {
    let record = JobRecord {
        outcome: Some(JobOutcome::Cancelled),
        account: account.cloned(),
        tombstone: Some(tombstone.clone()),
        ..JobRecord::default()
    };
    serde_json::to_vec(&record).expect("a record can be written as JSON")
}

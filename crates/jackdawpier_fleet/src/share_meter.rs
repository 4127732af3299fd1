//! Decides which jobs exceed the share of their client account.
//!
//! Each account with a weight has a token bucket of core time, which is filled at its share of the cores
//! that short tasks may use. The share is of core time and not of jobs, since the weights add up to more
//! jobs per second than the fleet can run. See `docs/design/overload.md`.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::{Now, ids::AccountName};

/// Period of an account's share that its bucket holds.
const DEPTH: Duration = Duration::from_secs(3);
/// Minimum depth of a bucket in mean jobs of its account, since a small account's share over [`DEPTH`] is
/// less than a single job needs.
const MIN_DEPTH_JOBS: f64 = 4.0;
/// Weight of the newest job in the mean size of an account's jobs. The sizes vary several times, so about
/// the last 16 jobs count.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Token buckets of all accounts with a weight.
#[derive(Debug, Default)]
pub(crate) struct ShareMeter {
    millicores: u64,
    total_weight: f64,
    buckets: BTreeMap<AccountName, Bucket>,
}

/// Bucket of one account. It stores what is missing from a full bucket, so that a change of the share
/// changes the depth only.
#[derive(Debug, Default)]
struct Bucket {
    weight: f64,
    missing_core_ms: f64,
    mean_job_core_ms: Option<f64>,
    filled_at: Now,
}

impl ShareMeter {
    /// Applies the weights of all accounts. Accounts without a positive weight aren't metered; those that
    /// stay keep the state of their buckets.
    pub(crate) fn configure(&mut self, weights: impl IntoIterator<Item = (AccountName, f64)>) {
        let mut previous = std::mem::take(&mut self.buckets);
        self.buckets = weights
            .into_iter()
            .filter(|(_, weight)| weight.is_finite() && *weight > 0.0)
            .map(|(account, weight)| {
                let bucket = previous.remove(&account).unwrap_or_default();
                (account, Bucket { weight, ..bucket })
            })
            .collect();
        self.total_weight = self.buckets.values().map(|bucket| bucket.weight).sum();
    }

    /// Sets the cores that the accounts share.
    pub(crate) fn set_capacity(&mut self, now: Now, millicores: u64) {
        let shares = Shares { millicores: self.millicores, total_weight: self.total_weight };
        self.buckets.values_mut().for_each(|bucket| bucket.fill(now, shares));
        self.millicores = millicores;
    }

    /// Returns whether a job of this account could be over share.
    pub(crate) fn is_metered(&self, account: &AccountName) -> bool {
        self.buckets.contains_key(account)
    }

    /// Returns whether the cores that the accounts share are known.
    pub(crate) fn has_capacity(&self) -> bool {
        self.millicores > 0
    }

    /// Takes the work of a job from its account's bucket and returns whether the bucket covered it. A bucket that
    /// isn't empty covers any job and goes into debt for it. If it had to cover the whole job, the small jobs of a
    /// busy account would use up the share and its large ones would never be covered.
    pub(crate) fn charge(&mut self, now: Now, account: &AccountName, core_ms: u64) -> bool {
        let shares = Shares { millicores: self.millicores, total_weight: self.total_weight };
        let Some(bucket) = self.buckets.get_mut(account) else { return true };
        bucket.fill(now, shares);
        let core_ms = core_ms as f64;
        let depth_core_ms = bucket.note_job(core_ms, shares);
        let is_covered = bucket.missing_core_ms < depth_core_ms;
        if is_covered {
            bucket.missing_core_ms += core_ms;
        }
        is_covered
    }
}

/// What all accounts share.
#[derive(Debug, Clone, Copy)]
struct Shares {
    millicores: u64,
    total_weight: f64,
}

impl Shares {
    /// Returns the core time that a weight is worth over a period.
    fn core_ms(self, weight: f64, period: Duration) -> f64 {
        let cores = self.millicores as f64 / 1000.0 * weight / self.total_weight;
        cores * period.as_secs_f64() * 1000.0
    }
}

impl Bucket {
    fn fill(&mut self, now: Now, shares: Shares) {
        let filled = shares.core_ms(self.weight, now.saturating_sub(self.filled_at));
        self.missing_core_ms = (self.missing_core_ms - filled).max(0.0);
        // A full bucket may be charged for an earlier job that a new owner recovers.
        self.filled_at = if self.is_full() { now } else { self.filled_at.max(now) };
    }

    fn is_full(&self) -> bool {
        self.missing_core_ms <= 0.0
    }

    /// Counts a job in the mean size and returns the depth of the bucket.
    fn note_job(&mut self, core_ms: f64, shares: Shares) -> f64 {
        let mean = self.mean_job_core_ms.unwrap_or(core_ms);
        let mean = mean + (core_ms - mean) * MEAN_WEIGHT;
        self.mean_job_core_ms = Some(mean);
        shares.core_ms(self.weight, DEPTH).max(mean * MIN_DEPTH_JOBS)
    }
}

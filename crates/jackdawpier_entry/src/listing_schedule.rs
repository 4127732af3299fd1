//! Schedules listings that find changes which a watch has missed.
//!
//! A watch may report nothing for more than a second although changes are made, and a whole burst of demand
//! goes unnoticed meanwhile. If changes usually arrive every few milliseconds, a long gap is unlikely to be
//! chance, so the next listing is made long before the maximum interval has passed. See
//! `docs/design/platform.md`.

use std::time::Duration;

use jackdawpier_kernel::Now;

/// Gap without changes, in mean gaps, that triggers a listing: chance alone makes one in 3,000 gaps this long.
const SUSPICIOUS_MEAN_GAPS: u32 = 8;
/// Minimum time between two listings, which limits them to five a second.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Weight of the newest gap in the mean, which covers about five changes.
const NEW_GAP_WEIGHT: f64 = 0.2;

/// Decides when to list what one watch follows.
#[derive(Debug, Clone)]
pub struct ListingSchedule {
    /// Maximum time between two listings, regardless of the watch.
    max_interval: Duration,
    mean_gap: Option<Duration>,
    last_change_at: Now,
    listed_at: Now,
    /// Doubles with each listing that finds no change that the watch missed.
    backoff_factor: u32,
}

impl ListingSchedule {
    /// Creates the schedule for a watch that begins now, with a listing at least every `max_interval`.
    pub fn new(now: Now, max_interval: Duration) -> Self {
        Self {
            max_interval,
            mean_gap: None,
            last_change_at: now,
            listed_at: now,
            backoff_factor: 1,
        }
    }

    /// Notes that the watch has reported this many changes.
    pub fn on_changes(&mut self, now: Now, changes: usize) {
        let Ok(changes @ 1..) = u32::try_from(changes) else { return };
        let gap = now.saturating_sub(self.last_change_at) / changes;
        let mean = self
            .mean_gap
            .map_or(gap, |mean| mean.mul_f64(1.0 - NEW_GAP_WEIGHT) + gap.mul_f64(NEW_GAP_WEIGHT));
        self.mean_gap = Some(mean);
        self.last_change_at = now;
        self.backoff_factor = 1;
    }

    /// Notes that a listing has found this many changes that the watch missed.
    pub fn on_listed(&mut self, now: Now, missed: usize) {
        self.listed_at = now;
        // A watch that misses changes usually continues to miss them for a while.
        self.backoff_factor = if missed > 0 { 1 } else { self.backoff_factor.saturating_mul(2) };
    }

    /// Sets the maximum time between two listings, which depends on the size of a listing.
    pub fn set_max_interval(&mut self, max_interval: Duration) {
        self.max_interval = max_interval;
    }

    /// Returns the time until the next listing.
    pub fn time_until_listing(&self, now: Now) -> Duration {
        let suspicious_gap = self.mean_gap.map_or(self.max_interval, |mean| {
            (mean * SUSPICIOUS_MEAN_GAPS).max(MIN_INTERVAL).saturating_mul(self.backoff_factor)
        });
        let by_gap = self.last_change_at.max(self.listed_at) + suspicious_gap;
        let by_interval = self.listed_at + self.max_interval;
        by_gap.min(by_interval).saturating_sub(now)
    }
}

//! Tells a watch that hears nothing from one that has nothing to hear.
//!
//! A watch may hear nothing for a second and more while changes are made, and a whole turn of demand
//! begins unseen meanwhile. Where changes came every few milliseconds such a silence is no chance, so
//! what is watched is listed long before the usual safety net would. See `docs/design/platform.md`.

use std::time::Duration;

use jackdawpier_kernel::Now;

/// A silence of this many mean gaps between changes is suspicious: chance alone makes one in 3,000.
const SUSPICIOUS_GAPS: u32 = 8;
/// Shortest time between two listings, so that a burst costs at most five a second.
const SHORTEST: Duration = Duration::from_millis(200);
/// Part of the new gap in the mean: some five changes make the mean.
const NEW_GAP_PART: f64 = 0.2;

/// What is known of one watch.
#[derive(Debug, Clone)]
pub struct ListingSchedule {
    /// Longest time between two listings, whatever the watch hears.
    longest: Duration,
    mean_gap: Option<Duration>,
    heard_at: Now,
    listed_at: Now,
    /// Grows while listings find nothing that the watch hasn't told.
    patience: u32,
}

impl ListingSchedule {
    /// A watch that begins now, with a listing at least every `longest`.
    pub fn new(now: Now, longest: Duration) -> Self {
        Self { longest, mean_gap: None, heard_at: now, listed_at: now, patience: 1 }
    }

    /// The watch has told of some changes.
    pub fn on_changes(&mut self, now: Now, changes: usize) {
        let Ok(changes @ 1..) = u32::try_from(changes) else { return };
        let gap = now.saturating_sub(self.heard_at) / changes;
        let mean = self
            .mean_gap
            .map_or(gap, |mean| mean.mul_f64(1.0 - NEW_GAP_PART) + gap.mul_f64(NEW_GAP_PART));
        self.mean_gap = Some(mean);
        self.heard_at = now;
        self.patience = 1;
    }

    /// A listing has found that many changes that the watch hadn't told.
    pub fn on_listed(&mut self, now: Now, found: usize) {
        self.listed_at = now;
        // A watch that misses changes goes on missing them for a while.
        self.patience = if found > 0 { 1 } else { self.patience.saturating_mul(2) };
    }

    /// Changes the longest time between two listings, for what has become longer to list.
    pub fn set_max_interval(&mut self, longest: Duration) {
        self.longest = longest;
    }

    /// How long to wait until the next listing.
    pub fn time_until_listing(&self, now: Now) -> Duration {
        let suspicious = self.mean_gap.map_or(self.longest, |mean| {
            (mean * SUSPICIOUS_GAPS).max(SHORTEST).saturating_mul(self.patience)
        });
        let by_silence = self.heard_at.max(self.listed_at) + suspicious;
        let by_time = self.listed_at + self.longest;
        by_silence.min(by_time).saturating_sub(now)
    }
}

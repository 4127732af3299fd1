//! How much work arrives, by pool.
//!
//! What waits shows a burst only once there is a backlog, and machines take a second and a half to
//! come; the rate of arrivals shows it within some tenths of a second.

use std::{collections::VecDeque, time::Duration};

use jackdawpier_kernel::Now;

use crate::policy::Policy;

/// The rate of arrivals is taken over this time.
const RATE_WINDOW: Duration = Duration::from_millis(1000);
/// Arrivals are remembered for this time: the window and the one before it, which tell a trend.
const RETENTION: Duration = Duration::from_millis(2000);
/// From the middle of the window to the moment at which a machine that is ordered now takes work, in
/// windows.
const TREND_LEAD_WINDOWS: f64 = 2.3;
/// Growth from one window to the next that isn't chance, in standard deviations of its count.
const TREND_DEVIATIONS: f64 = 2.0;
/// The rate is taken over this much at least, so that two jobs at once aren't a burst.
const MIN_RATE_PERIOD: Duration = Duration::from_millis(400);

/// A sudden rise shows within this time, in which the longer window still holds the calm before it. Seen
/// 0.3 s sooner, a five-fold rise has 0.02 of a day's worth more in time (20 paired days), and on a calm
/// day the jobs late in it fall from 98 to 17 of 1,000.
const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Jobs within that time from which on it is taken for a rise: fewer are chance.
const BURST_MIN_JOBS: usize = 5;

/// Arrivals of one pool within the last two seconds.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    jobs: VecDeque<(Now, u64)>,
}

impl Arrivals {
    /// A job with this much work, in core-milliseconds, came at `arrived_at`. One that has waited to be
    /// noticed doesn't count as coming now.
    pub(crate) fn add(&mut self, now: Now, arrived_at: Now, core_ms: u64) {
        if now.saturating_sub(arrived_at) > RETENTION {
            return;
        }
        let place = self.jobs.partition_point(|(at, _)| *at <= arrived_at);
        self.jobs.insert(place, (arrived_at, core_ms));
    }

    /// The room that work arriving at the present rate takes on the long run, in thousandths of a
    /// core.
    pub(crate) fn demand_millicores(&mut self, now: Now, policy: Policy) -> u64 {
        let is_old = |at: Now| now.saturating_sub(at) > RETENTION;
        while self.jobs.front().is_some_and(|(at, _)| is_old(*at)) {
            self.jobs.pop_front();
        }
        let steady = if policy.uses_arrival_rate { self.steady_millicores(now) } else { 0 };
        let burst = if policy.detects_bursts { self.burst_millicores(now) } else { 0 };
        let trend = if policy.extrapolates_trend { self.trend_millicores(now) } else { 0 };
        steady.max(burst).max(trend)
    }

    /// The jobs of the last window.
    fn recent(&self, now: Now) -> impl Iterator<Item = &(Now, u64)> {
        let is_recent = move |(at, _): &&(Now, u64)| now.saturating_sub(*at) <= RATE_WINDOW;
        self.jobs.iter().rev().take_while(is_recent)
    }

    fn steady_millicores(&self, now: Now) -> u64 {
        let oldest = self.recent(now).last();
        let over = oldest.map_or(RATE_WINDOW, |(at, _)| now.saturating_sub(*at));
        let over_ms = over.clamp(MIN_RATE_PERIOD, RATE_WINDOW).as_millis() as u64;
        let core_ms: u64 = self.recent(now).map(|(_, core_ms)| core_ms).sum();
        core_ms * 1000 / over_ms
    }

    /// What the rate will be when machines that are ordered now take work, if it grows.
    fn trend_millicores(&self, now: Now) -> u64 {
        let recent = self.recent(now).count() as f64;
        let before = self.jobs.len() as f64 - recent;
        let growth = recent - before;
        if growth <= TREND_DEVIATIONS * (recent + before).sqrt() {
            return 0;
        }
        let core_ms: u64 = self.jobs.iter().map(|(_, core_ms)| core_ms).sum();
        let mean_core_ms = core_ms as f64 / (recent + before);
        // A core-millisecond a millisecond is a core.
        let cores =
            (recent + growth * TREND_LEAD_WINDOWS) * mean_core_ms / RATE_WINDOW.as_millis() as f64;
        (cores * 1000.0) as u64
    }

    fn burst_millicores(&self, now: Now) -> u64 {
        let recent = || {
            let jobs = self.jobs.iter().rev();
            jobs.take_while(|(at, _)| now.saturating_sub(*at) <= BURST_WINDOW)
        };
        if recent().count() < BURST_MIN_JOBS {
            return 0;
        }
        let core_ms: u64 = recent().map(|(_, core_ms)| core_ms).sum();
        core_ms * 1000 / BURST_WINDOW.as_millis() as u64
    }
}

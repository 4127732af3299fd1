//! Estimates the demand of a pool from the rate at which jobs arrive.
//!
//! Waiting tasks show a burst only once there is a backlog, and a moved machine takes 1.5 seconds to
//! become available; the arrival rate shows a burst within some tenths of a second.

use std::{collections::VecDeque, time::Duration};

use jackdawpier_kernel::Now;

use crate::policy::Policy;

/// Period over which the arrival rate is measured.
const RATE_WINDOW: Duration = Duration::from_millis(1000);
/// Arrivals are kept for the current window and the one before it, from which the trend is computed.
const RETENTION: Duration = Duration::from_millis(2000);
/// Time from the middle of the window until a machine that is ordered now accepts work, in windows.
const TREND_LEAD_WINDOWS: f64 = 2.3;
/// Minimum growth between windows that counts as a trend, in standard deviations of the job count.
const TREND_DEVIATIONS: f64 = 2.0;
/// Minimum period of the rate, so that two simultaneous jobs don't count as a burst.
const MIN_RATE_PERIOD: Duration = Duration::from_millis(400);

/// Window for the detection of bursts; the longer window still averages over the time before a burst.
/// With a five-fold rise detected 0.3 s sooner, an additional 0.02 of a day's value is on time (20 paired
/// days); on a day with low load, late jobs during a burst fall from 98 to 17 of 1,000.
const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Minimum number of jobs within [`BURST_WINDOW`] that counts as a burst; fewer are random variation.
const BURST_MIN_JOBS: usize = 5;

/// Recent job arrivals of one pool, kept for [`RETENTION`].
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    jobs: VecDeque<(Now, u64)>,
}

impl Arrivals {
    /// Records a job with `core_ms` of work that arrived at `arrived_at`. A job that is recorded late counts
    /// at its arrival time, not now.
    pub(crate) fn add(&mut self, now: Now, arrived_at: Now, core_ms: u64) {
        if now.saturating_sub(arrived_at) > RETENTION {
            return;
        }
        let position = self.jobs.partition_point(|(at, _)| *at <= arrived_at);
        self.jobs.insert(position, (arrived_at, core_ms));
    }

    /// Returns the CPU that work arriving at the current rate needs in steady state, in thousandths of a
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

    /// Returns the jobs of the last window.
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

    /// Returns the demand extrapolated to the time when machines that are ordered now accept work; 0
    /// without a growing trend.
    fn trend_millicores(&self, now: Now) -> u64 {
        let recent = self.recent(now).count() as f64;
        let before = self.jobs.len() as f64 - recent;
        let growth = recent - before;
        if growth <= TREND_DEVIATIONS * (recent + before).sqrt() {
            return 0;
        }
        let core_ms: u64 = self.jobs.iter().map(|(_, core_ms)| core_ms).sum();
        let mean_core_ms = core_ms as f64 / (recent + before);
        // One core-millisecond per millisecond equals one core.
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

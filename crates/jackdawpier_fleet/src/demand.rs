//! How much work arrives, by pool.
//!
//! What waits shows a burst only once there is a backlog, and machines take a second and a half to
//! come; the rate of arrivals shows it within some tenths of a second.

use std::{collections::VecDeque, time::Duration};

use jackdawpier_kernel::Now;

/// Arrivals are looked at over this time.
const WINDOW: Duration = Duration::from_millis(1000);
/// The rate is taken over this much at least, so that two jobs at once aren't a burst.
const SHORTEST: Duration = Duration::from_millis(400);

/// Arrivals of one pool within the last second.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    jobs: VecDeque<(Now, u64)>,
    core_ms: u64,
}

impl Arrivals {
    /// A job with this much work has come, in thousandths of a core times milliseconds over a
    /// thousand: core-milliseconds.
    pub(crate) fn add(&mut self, now: Now, core_ms: u64) {
        self.jobs.push_back((now, core_ms));
        self.core_ms += core_ms;
    }

    /// The room that work arriving at the present rate takes on the long run, in thousandths of a
    /// core.
    pub(crate) fn millicores(&mut self, now: Now) -> u64 {
        while let Some(&(at, core_ms)) = self.jobs.front() {
            if now.saturating_sub(at) <= WINDOW {
                break;
            }
            self.core_ms -= core_ms;
            self.jobs.pop_front();
        }
        let over = self.jobs.front().map_or(WINDOW, |(at, _)| now.saturating_sub(*at));
        let over_ms = over.clamp(SHORTEST, WINDOW).as_millis() as u64;
        self.core_ms * 1000 / over_ms
    }
}

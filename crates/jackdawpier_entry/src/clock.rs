//! The clocks used for decisions.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jackdawpier_kernel::Now;
use nix::time::{ClockId, clock_gettime};

/// Returns the time since the machine started, including time while it was suspended.
///
/// The monotonic clock stops while a machine is suspended, so by that clock a lease would seem valid
/// although it has expired for all others.
pub fn now() -> Now {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the kernel supports CLOCK_BOOTTIME since 2.6.39");
    Duration::from(time)
}

/// Returns the time since an earlier reading of [`now`].
pub fn since(earlier: Now) -> Duration {
    now().saturating_sub(earlier)
}

/// Returns the time of day in milliseconds since the Unix epoch. It may jump.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

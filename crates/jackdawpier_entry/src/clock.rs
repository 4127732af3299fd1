//! The clocks that decisions go by.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jackdawpier_kernel::Now;
use nix::time::{ClockId, clock_gettime};

/// Time since the machine started, which counts while it is suspended.
///
/// The monotonic clock stops while a machine is suspended, so a lease judged by it would seem to
/// last although everybody else has seen it end.
pub fn now() -> Now {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the kernel has had this clock since 2.6.39 and reading it can't fail");
    Duration::from(time)
}

/// Time since an earlier reading of [`now`].
pub fn since(earlier: Now) -> Duration {
    now().saturating_sub(earlier)
}

/// Time of day in milliseconds since 1970. It may jump.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

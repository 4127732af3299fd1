//! Transfer times on a link.

use std::time::Duration;

use jackdawpier_entry::link;

#[test]
fn slow_link() {
    assert_eq!(link::transfer_time_of_bits(512_000.0, 2.0, 1.0), Duration::from_millis(256));
    assert_eq!(link::transfer_time_of_values(100_000, 2.0, 0.5), Duration::from_millis(1200));
}

/// A bandwidth of zero leads to a long but bounded time.
#[test]
fn zero_bandwidth() {
    assert!(link::transfer_time_of_values(100_000, 0.0, 0.1) < Duration::from_secs(600));
}

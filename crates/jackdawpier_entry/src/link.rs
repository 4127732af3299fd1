//! Transfer times on a machine's network link.
//!
//! Machines have links of 2 to 1,000 Mbit/s. Transfers without urgency use only a share of the link, so that
//! lease renewals, orders and answers aren't delayed by them.

use std::time::Duration;

/// Bytes on the wire per byte of a value in the store, including base64, keys and HTTP headers.
const WIRE_BYTES_PER_VALUE_BYTE: f64 = 1.5;
/// Lower limit of the assumed bandwidth, so that computed delays stay bounded.
const MIN_LINK_MBPS: f64 = 0.1;

/// Returns the time to transfer `bits` over a `share` of a link.
pub fn transfer_time_of_bits(bits: f64, link_mbps: f64, share: f64) -> Duration {
    Duration::from_secs_f64(bits / (link_mbps.max(MIN_LINK_MBPS) * 1e6 * share))
}

/// Returns the time to transfer `bytes` of values of the store over a `share` of a link.
pub fn transfer_time_of_values(bytes: usize, link_mbps: f64, share: f64) -> Duration {
    transfer_time_of_bits(bytes as f64 * WIRE_BYTES_PER_VALUE_BYTE * 8.0, link_mbps, share)
}

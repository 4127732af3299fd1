//! What a machine's link carries, and how long something takes of it.
//!
//! Machines have links of 2 to 1,000 Mbit/s. What is sent or read without urgency keeps to a part of the
//! link, so that renewals, orders and answers never wait long behind it.

use std::time::Duration;

/// Bytes on the wire for each byte of a value in the store: base64, keys and the rest of the call.
const WIRE_PER_VALUE: f64 = 1.5;
/// No link is taken to be slower than this, so that waits worked out from it stay bounded.
const SLOWEST_MBPS: f64 = 0.1;

/// The time that so many bits take of `part` of a link.
pub fn transfer_time_of_bits(bits: f64, link_mbps: f64, part: f64) -> Duration {
    Duration::from_secs_f64(bits / (link_mbps.max(SLOWEST_MBPS) * 1e6 * part))
}

/// The time that values of the store with so many bytes take of `part` of a link.
pub fn transfer_time_of_values(bytes: usize, link_mbps: f64, part: f64) -> Duration {
    transfer_time_of_bits(bytes as f64 * WIRE_PER_VALUE * 8.0, link_mbps, part)
}

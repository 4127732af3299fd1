//! A limit on bodies or answers exceeds the size of a message between entries.
//!
//! A request may be forwarded to another entry. If it doesn't fit into a message, it is dropped, and
//! the target entry is considered unreachable.
//!
//! Example: `body_bytes: 33554432` is rejected; write at most 16711680.

use crate::{
    options::Options,
    rules::{Checker, MESSAGE_SIZE},
};

/// Maximum size of a body or answer in a message between entries, besides its path and names.
pub const MAX_PEER_PAYLOAD_BYTES: usize = 16_711_680;

pub(crate) fn check(options: &Options, checker: &mut Checker<'_>) {
    let limits = &options.limits;
    let size_limits =
        [("limits.body_bytes", &limits.body_bytes), ("limits.answer_bytes", &limits.answer_bytes)];
    for (field, limit) in size_limits {
        let Some(limit) = limit.as_ref().filter(|limit| limit.value > MAX_PEER_PAYLOAD_BYTES)
        else {
            continue;
        };
        let message = format!("{} bytes don't fit into a message between entries", limit.value);
        let suggestion = format!("at most {MAX_PEER_PAYLOAD_BYTES} bytes");
        checker.report(&MESSAGE_SIZE, limit, field, message, suggestion);
    }
}

//! Bodies or answers are allowed that are longer than what entries can send each other.
//!
//! A request may have to be decided by another entry. One that doesn't fit into a message is lost on
//! its way, and the entry that it was sent to is taken for unreachable.
//!
//! Example: `body_bytes: 33554432` is refused; write at most 16711680.

use crate::{
    options::Options,
    rules::{Checker, MESSAGE_SIZE},
};

/// Longest body or answer that entries can send each other beside its path and names.
pub const MAX_PEER_PAYLOAD_BYTES: usize = 16_711_680;

pub(crate) fn check(options: &Options, checker: &mut Checker<'_>) {
    let limits = &options.limits;
    let given =
        [("limits.body_bytes", &limits.body_bytes), ("limits.answer_bytes", &limits.answer_bytes)];
    for (field, limit) in given {
        let Some(limit) = limit.as_ref().filter(|limit| limit.value > MAX_PEER_PAYLOAD_BYTES)
        else {
            continue;
        };
        let message = format!("{} bytes don't fit into a message between entries", limit.value);
        let fix = format!("at most {MAX_PEER_PAYLOAD_BYTES} bytes");
        checker.report(&MESSAGE_SIZE, limit, field, message, fix);
    }
}

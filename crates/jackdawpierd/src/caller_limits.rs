//! What callers may make the daemon hold, from the memory of its machine.

use jackdawpier_http::{MAX_HEAD_BYTES, ServerLimits, request_body::BodyMemory};
use jackdawpier_kernel::{
    body_budget::BodyLimits,
    caller_memory::{CallerMemory, MB},
};
use jackdawpier_settings::settings::Limits;

/// Divisor of the machine's memory that gives the part of callers. The rest is for keys, jobs and the fleet.
const CALLERS_DIVISOR: usize = 2;
/// Number of times that a body is held while its request is processed: as received, and encoded for a peer, an executor
/// or the store.
const BODY_COPIES: usize = 3;

/// Returns the limits of the callers' port, and the memory for the bodies of its requests.
pub(crate) fn resolve(limits: &Limits) -> (ServerLimits, BodyMemory) {
    let total_bytes = limits.memory_mb * MB / CALLERS_DIVISOR;
    let memory = CallerMemory::divide(total_bytes, MAX_HEAD_BYTES, limits.connections);
    let server_limits = ServerLimits {
        max_connections: memory.max_connections,
        read_timeout: limits.read_timeout,
        max_body_bytes: limits.body_bytes,
    };
    let body_limits = BodyLimits::new(memory.body_bytes / BODY_COPIES);
    if body_limits.largest_body_bytes() < limits.body_bytes {
        let largest_bytes = body_limits.largest_body_bytes();
        log::warn!(
            event = "memory_too_small", body_bytes = limits.body_bytes, largest_bytes;
            "the memory of the machine has no room for the largest body"
        );
    }
    (server_limits, BodyMemory::new(body_limits))
}

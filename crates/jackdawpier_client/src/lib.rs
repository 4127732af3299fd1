//! Blocking HTTP client whose patience counts from the last byte that moved.
//!
//! The size of what the store, the instance list, workers and entries send is set by others. A
//! limit on a whole call would make a document too large for its link one that never arrives: the
//! reading is given up, begins again from nothing, and keeps the link full. A silent peer is given
//! up as soon as with such a limit.

use std::{io, time::Duration};

use ureq::{Agent, Error, Timeout, config::Config};

/// Least rate at which the body of a call is taken to leave, in bytes a second.
const MIN_UPLOAD_BYTES_PER_S: f64 = 100_000.0;

/// How long a client waits, and what it keeps open.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Time for a connection to open; nothing was sent before.
    pub connect_timeout: Duration,
    /// Longest time in which no byte moves, from the first byte sent to the last one received.
    pub io_timeout: Duration,
    /// Idle connections kept to one host.
    pub max_idle_connections: usize,
}

/// Returns an agent that gives every answer with its status, whatever that is.
///
/// The time without a byte is `timeout_per_read` and `timeout_per_write` of its configuration, so a
/// call that may be quiet for longer, or has a large body ([`upload_time`]), can raise the former.
pub fn agent(limits: ClientLimits) -> Agent {
    let config = Config::builder()
        .timeout_connect(Some(limits.connect_timeout))
        .timeout_per_read(Some(limits.io_timeout))
        .timeout_per_write(Some(limits.io_timeout))
        .http_status_as_error(false)
        .max_idle_connections_per_host(limits.max_idle_connections)
        .build();
    config.new_agent()
}

/// Time for a body to leave after it was written: the system takes in megabytes at once, so the call seems to be sent
/// long before it is, and the peer silent.
pub fn upload_time(body_bytes: usize) -> Duration {
    Duration::from_secs_f64(body_bytes as f64 / MIN_UPLOAD_BYTES_PER_S)
}

/// Whether a call failed before any byte of it was sent.
pub fn is_not_sent(error: &Error) -> bool {
    match error {
        Error::ConnectionFailed | Error::Timeout(Timeout::Connect) => true,
        Error::Io(io) => io.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

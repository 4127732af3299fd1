//! Blocking HTTP client whose timeout counts from the last byte sent or received.
//!
//! The store, the instance list, workers and entries send answers of any size. With a timeout for a
//! whole call, a document too large for its link would never arrive: each read would be aborted and
//! started again from the beginning, and would keep the link busy. An unresponsive peer is detected
//! as fast as with such a timeout.

use std::{io, time::Duration};

use ureq::{Agent, Error, Timeout, config::Config};

/// Assumed minimum upload rate of a call's body, in bytes per second.
const MIN_UPLOAD_BYTES_PER_S: f64 = 100_000.0;

/// Timeouts and connection limits of a client.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Timeout for opening a connection; nothing is sent before that.
    pub connect_timeout: Duration,
    /// Maximum time without a byte sent or received, from the first byte sent to the last received.
    pub io_timeout: Duration,
    /// Maximum number of idle connections kept per host.
    pub max_idle_connections: usize,
}

/// Returns an agent that returns every answer with its status; no status counts as an error.
///
/// [`ClientLimits::io_timeout`] sets `timeout_per_read` and `timeout_per_write`. A call that may
/// wait longer for its answer, or that has a large body ([`upload_time`]), can raise the former.
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

/// Returns the time that a body may take to leave the send buffer. The operating system buffers
/// megabytes at once, so a body seems sent long before it is, and the peer seems unresponsive.
pub fn upload_time(body_bytes: usize) -> Duration {
    Duration::from_secs_f64(body_bytes as f64 / MIN_UPLOAD_BYTES_PER_S)
}

/// Whether a call failed before any of its bytes was sent.
pub fn is_not_sent(error: &Error) -> bool {
    match error {
        Error::ConnectionFailed | Error::Timeout(Timeout::Connect) => true,
        Error::Io(io) => io.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

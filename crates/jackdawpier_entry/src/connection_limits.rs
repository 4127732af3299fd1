//! Limits of a port's connections, and their numbers.

use std::time::Duration;

/// Maximum number of open connections: half of the file descriptors of the smallest machine.
pub const DEFAULT_MAX_OPEN: usize = 1500;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle timeout of a connection if the configuration contains none.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for a request that was sent within the idle timeout to arrive; after that its caller no longer waits
/// for the answer.
const DEFAULT_IDLE_MARGIN: Duration = Duration::from_secs(3);

/// Limits of a port.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum number of open connections; at this limit one that holds up others is closed for a new one, an idle
    /// one first.
    pub max_open: usize,
    /// Time from the first byte of a request head until it is complete.
    pub header_timeout: Duration,
    /// Time for which callers may use an idle connection, and within which an answer has to be received.
    pub idle_timeout: Duration,
    /// Time after `idle_timeout` for which an idle connection stays open, since a request that was sent in time
    /// may still be in transit.
    pub idle_margin: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_open: DEFAULT_MAX_OPEN,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            idle_margin: DEFAULT_IDLE_MARGIN,
        }
    }
}

/// Numbers of connections that are open or were closed, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Currently open connections.
    pub open: usize,
    /// Connections closed after the idle timeout.
    pub idle_closed: u64,
    /// Connections closed to make room for new ones.
    pub evicted: u64,
    /// Connections aborted because a head wasn't completed or an answer wasn't received in time.
    pub aborted: u64,
}

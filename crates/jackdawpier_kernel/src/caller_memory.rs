//! How the memory that a process has for its callers is divided.

/// Unit of the sizes of machines.
pub const MB: usize = 1024 * 1024;

/// Size of a socket's receive buffer, which bounds the bytes that have been received and not read.
pub const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of connections that wait to be accepted: more than arrive while a process is suspended for seconds.
pub const BACKLOG: u32 = 256;
/// Part of a request body that counts as memory of its connection: more than an ordinary request takes until its answer.
pub const CONNECTION_BODY_BYTES: usize = 16 * 1024;
/// Number of read buffers of a connection: one that is being filled, and one whose bytes haven't all been taken.
const READ_BUFFERS: usize = 2;
/// Memory of a connection beside its buffers: its task, its state, and the parsed head of a request.
const CONNECTION_STATE_BYTES: usize = 8 * 1024;

/// What callers may make a process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerMemory {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum size of all request bodies beyond [`CONNECTION_BODY_BYTES`] of each.
    pub body_bytes: usize,
}

impl CallerMemory {
    /// Divides `total_bytes`, without the receive buffers of the backlog: up to a half is for connections, whose read buffers have `read_buffer_bytes`, and the rest is
    /// for bodies. There are at most `max_connections`.
    pub fn divide(total_bytes: usize, read_buffer_bytes: usize, max_connections: usize) -> Self {
        let connection_bytes = READ_BUFFERS * read_buffer_bytes
            + RECEIVE_BUFFER_BYTES
            + CONNECTION_BODY_BYTES
            + CONNECTION_STATE_BYTES;
        let total_bytes = total_bytes.saturating_sub(BACKLOG as usize * RECEIVE_BUFFER_BYTES);
        let max_connections = max_connections.min(total_bytes / 2 / connection_bytes).max(1);
        let body_bytes = total_bytes.saturating_sub(max_connections * connection_bytes);
        Self { max_connections, body_bytes }
    }
}

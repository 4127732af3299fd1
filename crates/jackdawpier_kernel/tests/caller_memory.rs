//! How the memory for callers is divided.

use jackdawpier_kernel::caller_memory::{
    BACKLOG, CONNECTION_BODY_BYTES, CallerMemory, MB, RECEIVE_BUFFER_BYTES,
};

const READ_BUFFER_BYTES: usize = 16 * 1024;

#[test]
fn sum() {
    for total_mb in [16, 40, 65, 128] {
        let memory = CallerMemory::divide(total_mb * MB, READ_BUFFER_BYTES, 1500);
        let buffers = 2 * READ_BUFFER_BYTES + RECEIVE_BUFFER_BYTES + CONNECTION_BODY_BYTES;
        let backlog = BACKLOG as usize * RECEIVE_BUFFER_BYTES;
        let sum = backlog + memory.max_connections * buffers + memory.body_bytes;
        assert!(sum <= total_mb * MB, "{total_mb} MB: {memory:?}");
        assert!(memory.body_bytes >= (total_mb * MB - backlog) / 2, "{total_mb} MB: {memory:?}");
    }
}

#[test]
fn most_connections() {
    let memory = CallerMemory::divide(1024 * MB, READ_BUFFER_BYTES, 1500);
    assert_eq!(memory.max_connections, 1500);
}

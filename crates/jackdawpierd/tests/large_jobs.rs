//! Jobs whose payload doesn't fit into one record of the store.

mod support;

use support::{Deployment, http, http_full, wait_for, work};

/// Number of quotes in the payload. Each takes four bytes in the store, as it is escaped in the job
/// and again in the segment.
const QUOTES: usize = 300_000;

/// Guards against retrying the write of a job that is too large for a record for ever, which blocks
/// all later jobs and keys.
#[test]
fn beyond_one_record() {
    let deployment = Deployment::new("beyond-one-record", 1, 1);
    let daemons = deployment.start_all(2);
    for daemon in &daemons {
        let headers = [("idempotency-key", "large")];
        let body = "\"".repeat(QUOTES);
        let (status, answered, text) =
            http_full("POST", daemon.callers, "/ledger/x", &headers, body.as_bytes())
                .expect("it answers");
        assert_eq!(status, 413);
        assert_eq!(answered["x-reason"], "too_large");
        let text = String::from_utf8_lossy(&text);
        assert!(text.contains("1032192 bytes"), "the limit isn't named: {text}");
    }
    let headers = [("idempotency-key", "small")];
    let accepted = http("POST", daemons[0].callers, "/ledger/x", &headers, &work(1, 1_000));
    assert_eq!(accepted.expect("it answers").0, 202);
    wait_for("the small job to run", || {
        let shown = http("GET", daemons[0].callers, "/ledger/jobs/ledger~none~small", &[], b"");
        shown.is_some_and(|(_, job)| job["state"]["state"] == "done")
    });
}

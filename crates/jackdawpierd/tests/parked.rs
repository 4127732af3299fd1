//! Operators' decisions on parked jobs.

mod support;

use serde_json::json;
use support::{Deployment, http, set_faults, wait_for, work};

#[test]
fn operator_decides() {
    let deployment = Deployment::new("operator-decides", 1, 1);
    let daemons = deployment.start_all(2);
    set_faults(deployment.workers[0], &json!({ "is_failing": true }));
    for key in ["key-1", "key-2"] {
        let headers = [("idempotency-key", key)];
        let accepted = http("POST", daemons[0].callers, "/ledger/x", &headers, &work(1, 1_000));
        assert_eq!(accepted.expect("it answers").0, 202);
    }
    let state = |key: &str, action: &str| {
        let path = format!("/v1/jobs/ledger/ledger~none~{key}/{action}");
        let answer = http("POST", daemons[1].operators, &path, &[], b"").expect("it answers");
        assert_eq!(answer.0, 200, "{}", answer.1);
        answer.1["state"]["state"].as_str().unwrap_or_default().to_owned()
    };
    wait_for("both to be parked", || {
        ["key-1", "key-2"].iter().all(|key| state(key, "show") == "parked")
    });
    set_faults(deployment.workers[0], &json!({}));
    assert_eq!(state("key-2", "discard"), "cancelled");
    assert_eq!(state("key-1", "retry"), "queued");
    wait_for("the first to be done", || state("key-1", "show") == "done");
    assert_eq!(state("key-2", "show"), "cancelled");
    let unknown = http("POST", daemons[0].operators, "/v1/jobs/ledger/none/show", &[], b"");
    assert_eq!(unknown.expect("it answers").0, 404);
}

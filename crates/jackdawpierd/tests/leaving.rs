//! Leaving executors get no new work, whether their own answers or the instance list show it first.

mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use support::{Deployment, http, set_faults, wait_for, work};

#[test]
fn leaving_header() {
    let deployment = Deployment::new("leaving-header", 2, 0);
    let daemons = deployment.start_all(2);
    let _ = http("POST", deployment.list, "/admin/lag/600000", &[], b"");
    let (_, leaving) = deployment.executors[0];
    set_faults(leaving, &json!({ "is_leaving": true }));
    for nonce in 0..200 {
        let daemon = &daemons[nonce as usize % 2];
        let answer = http("POST", daemon.callers, "/render/x", &[], &work(nonce, 500));
        assert_eq!(answer.expect("it answers").0, 200, "callers are not affected");
    }
    let counts = http("GET", leaving, "/admin/counts", &[], b"").expect("it answers").1;
    let attempts = counts["new_while_leaving"].as_u64().expect("it counts");
    println!(
        "last new work {} ms after its first answer as leaving",
        counts["last_new_while_leaving_ms"]
    );
    assert!(attempts <= 2, "one answer is enough for each deciding entry: {attempts}");
}

#[test]
fn leaving_listed() {
    let deployment = Deployment::new("leaving-listed", 2, 0);
    let daemons = deployment.start_all(1);
    let (id, address) = &deployment.executors[0];
    let _ = http("POST", deployment.list, &format!("/admin/leave/{id}"), &[], b"");
    let runs = |address| {
        let counts = http("GET", address, "/admin/counts", &[], b"").expect("it answers").1;
        counts["runs"].as_object().map_or(0, serde_json::Map::len)
    };
    let marked_at = Instant::now();
    let mut last_work = Duration::ZERO;
    let mut nonce = 0;
    wait_for("the leaving executor to get no more work", || {
        let before = runs(*address);
        for _ in 0..20 {
            nonce += 1;
            let answer = http("POST", daemons[0].callers, "/render/x", &[], &work(nonce, 100));
            assert_eq!(answer.expect("it answers").0, 200);
        }
        let is_idle = runs(*address) == before;
        if !is_idle {
            last_work = marked_at.elapsed();
        }
        is_idle
    });
    println!("last new work at most {} ms after it was listed as leaving", last_work.as_millis());
}

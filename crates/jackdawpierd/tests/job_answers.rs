//! Answers on an accepted job to callers and operators while the owner of its shard is unavailable.

mod support;

use std::{net::SocketAddr, thread, time::Duration};

use serde_json::json;
use support::{Daemon, Deployment, http, http_full, set_faults, wait_for, work};

const CALLERS_JOB: &str = "/ledger/jobs/ledger~none~key-1";
const OPERATORS_JOB: &str = "/v1/jobs/ledger/ledger~none~key-1/show";

/// Submits a job to `daemon` that runs longer than the test.
fn submit_long_job(daemon: &Daemon) {
    let headers = [("idempotency-key", "key-1")];
    let accepted = http("POST", daemon.callers, "/ledger/x", &headers, &work(1, 60_000_000));
    assert_eq!(accepted.expect("it answers").0, 202);
}

/// Returns the owner of the service `refresh`, and the other entry.
fn owner_of_refresh(mut daemons: Vec<Daemon>) -> (Daemon, Daemon) {
    let at = daemons
        .iter()
        .position(|daemon| daemon.owned().contains(&"refresh".to_owned()))
        .expect("every cell is open");
    let owner = daemons.remove(at);
    (owner, daemons.remove(0))
}

/// Sends a request and returns its status, 200 or 503. A 503 has to have a `retry-after` and to say
/// that nothing was done.
fn status(method: &str, address: SocketAddr, path: &str) -> u16 {
    let (status, headers, body) =
        http_full(method, address, path, &[], b"").expect("it is answered");
    let body = String::from_utf8_lossy(&body);
    if status == 503 {
        let retry_after_s = headers.get("retry-after").expect("a refusal has this header");
        let retry_after_s: u64 =
            retry_after_s.to_str().expect("it is text").parse().expect("it is a number");
        assert!(retry_after_s > 0);
        assert!(body.contains("not run"), "{body}");
    }
    assert!(
        [200, 503].contains(&status),
        "an accepted job is never reported as missing: {status} {body}"
    );
    status
}

/// Requests the job at both ports until both show it; returns the number of 503 answers.
fn refusals_until_shown(daemon: &Daemon) -> u32 {
    let mut refusals = 0;
    wait_for("the job to be shown", || {
        let at_callers = status("GET", daemon.callers, CALLERS_JOB);
        let at_operators = status("POST", daemon.operators, OPERATORS_JOB);
        refusals += u32::from(at_callers == 503) + u32::from(at_operators == 503);
        at_callers == 200 && at_operators == 200
    });
    refusals
}

/// The owner was killed and its lease has not expired, so the cancellation can't be sent.
#[test]
fn killed_owner() {
    let deployment = Deployment::new("job-killed-owner", 1, 1);
    let (owner, other) = owner_of_refresh(deployment.start_all(2));
    submit_long_job(&other);
    owner.signal("KILL");
    assert_eq!(status("GET", other.callers, CALLERS_JOB), 503);
    assert_eq!(status("DELETE", other.callers, CALLERS_JOB), 503);
    assert!(refusals_until_shown(&other) > 0);
    let shown = http("GET", other.callers, CALLERS_JOB, &[], b"").expect("it answers").1;
    assert_ne!(shown["state"]["state"], "cancelled", "the refused cancellation has no effect");
}

/// The only entry restarts with a slow store, so that it serves before it owns the shard, and owns
/// the shard before it has loaded the jobs.
#[test]
fn loading_owner() {
    let deployment = Deployment::new("job-loading-owner", 1, 1).with_default_timing();
    let daemons = deployment.start_all(1);
    submit_long_job(&daemons[0]);
    drop(daemons);
    set_faults(deployment.store, &json!({ "slow_ms": 300 }));
    let restarted = deployment.start("a", "");
    wait_for("the entry to serve", || restarted.is_ready());
    assert!(refusals_until_shown(&restarted) > 0);
}

/// The owner is suspended while the cancellation is in transit, and may execute it when it resumes.
#[test]
fn lost_cancellation() {
    let deployment = Deployment::new("job-lost-cancellation", 1, 1).with_default_timing();
    let (owner, other) = owner_of_refresh(deployment.start_all(2));
    submit_long_job(&other);
    owner.suspend();
    let (status, headers, body) =
        http_full("DELETE", other.callers, CALLERS_JOB, &[], b"").expect("it is answered");
    let body = String::from_utf8_lossy(&body);
    assert_eq!(status, 504, "{body}");
    assert_eq!(headers["x-outcome"], "unknown");
    assert!(headers.contains_key("retry-after"));
    assert!(!body.contains("not run"), "{body}");
    refusals_until_shown(&other);
    owner.signal("CONT");
    wait_for("the repeated cancellation to succeed", || {
        http("DELETE", other.callers, CALLERS_JOB, &[], b"").expect("it answers");
        let shown = http("GET", other.callers, CALLERS_JOB, &[], b"").expect("it answers").1;
        shown["state"]["state"] == "cancelled"
    });
}

#[test]
fn unknown_job() {
    let deployment = Deployment::new("job-unknown", 1, 1);
    for daemon in &deployment.start_all(2) {
        wait_for("the owner to be known", || {
            http("GET", daemon.callers, CALLERS_JOB, &[], b"").expect("it answers").0 != 503
        });
        for method in ["GET", "DELETE"] {
            let answer = http(method, daemon.callers, "/ledger/jobs/ledger~none~none", &[], b"");
            assert_eq!(answer, Some((404, json!("no such job\n"))));
        }
        let answer = http("POST", daemon.operators, "/v1/jobs/ledger/none/show", &[], b"");
        assert_eq!(answer, Some((404, json!("no such job\n"))));
    }
}

/// The owner is suspended while another takes over and accepts the job; requests for the job reach
/// it as it resumes.
#[test]
fn resumed_owner() {
    let deployment = Deployment::new("job-resumed-owner", 1, 1).with_default_timing();
    let (owner, other) = owner_of_refresh(deployment.start_all(2));
    owner.suspend();
    wait_for("the other entry to take over", || other.owned().contains(&"refresh".to_owned()));
    submit_long_job(&other);
    thread::scope(|scope| {
        let show = || status("GET", owner.callers, CALLERS_JOB);
        let answers: Vec<_> = (0..32).map(|_| scope.spawn(show)).collect();
        // The requests wait for the suspended process.
        thread::sleep(Duration::from_millis(300));
        owner.signal("CONT");
        answers.into_iter().for_each(|answer| {
            answer.join().expect("an accepted job is never reported as missing");
        });
    });
}

//! Requests, jobs and configuration changes end to end, over several processes.

mod support;

use std::{io::Write, net::TcpStream};

use support::{DECLARATION, Deployment, http, http_full, part, set_faults, wait_for, work};

#[test]
fn all_kinds() {
    let deployment = Deployment::new("all-kinds", 3, 2);
    let daemons = deployment.start_all(3);
    let targets = daemons.iter().map(|daemon| daemon.callers).collect();
    let mix = vec![
        part("render", 1_000, false),
        part("export", 1_000, true),
        part("nightly", 5_000, true),
    ];
    let report = deployment.load(targets, mix, 300, 1);
    assert!(report.violations.is_zero(), "{report}");
    assert_eq!(report.outcomes.get("answered"), Some(&300), "{report}");
}

#[test]
fn key_repeated() {
    let deployment = Deployment::new("key-repeated", 2, 0);
    let daemons = deployment.start_all(2);
    let headers = [("idempotency-key", "k1")];
    let first = http("POST", daemons[0].callers, "/export/x", &headers, &work(7, 1_000));
    let second = http("POST", daemons[1].callers, "/export/x", &headers, &work(7, 1_000));
    assert_eq!(first, second, "a repeat gets the same answer from any entry");
    assert_eq!(deployment.runs().get(&7), Some(&1));
    let other = http_full("POST", daemons[0].callers, "/export/x", &headers, &work(8, 1_000));
    assert_eq!(other.expect("it answers").0, 400, "a key can't be reused for another request");
    assert_eq!(deployment.runs().get(&8), None);
}

#[test]
fn job_shown() {
    let deployment = Deployment::new("job-shown", 1, 1);
    let daemons = deployment.start_all(2);
    let headers = [("idempotency-key", "key-5")];
    let accepted = http("POST", daemons[0].callers, "/nightly/x", &headers, &work(5, 20_000));
    let (status, body) = accepted.expect("it answers");
    assert_eq!(status, 202);
    let path = format!("/nightly/jobs/{}", body["job"].as_str().expect("it has an id"));
    wait_for("the job to be done", || {
        let shown = http("GET", daemons[1].callers, &path, &[], b"").expect("it answers").1;
        shown["state"]["state"] == "done"
    });
    assert_eq!(deployment.runs().get(&5), Some(&1));
}

#[test]
fn corrupt_answers() {
    let deployment = Deployment::new("corrupt-answers", 1, 0);
    let daemons = deployment.start_all(1);
    let executor = deployment.executors[0].1;
    for fault in ["is_truncating", "is_mixing_up"] {
        set_faults(executor, &serde_json::json!({ fault: true }));
        let answer = http_full("POST", daemons[0].callers, "/update/x", &[], &work(1, 1_000));
        let (status, headers, _) = answer.expect("it answers");
        assert_eq!((status, &headers["x-outcome"] == "unknown"), (504, true), "{fault}");
    }
    set_faults(executor, &serde_json::json!({}));
    wait_for("the executor to be used again", || {
        http("POST", daemons[0].callers, "/update/x", &[], &work(2, 1_000))
            .is_some_and(|(status, _)| status == 200)
    });
}

#[test]
fn two_operators() {
    let deployment = Deployment::new("two-operators", 1, 0);
    let daemons = deployment.start_all(2);
    let changed = DECLARATION.replace("capacity_instances: 1", "capacity_instances: 2");
    let (first, _) = daemons[0].apply(1, &changed);
    let (second, conflict) = daemons[1].apply(1, DECLARATION);
    assert_eq!((first, second), (200, 409), "{conflict}");
    assert_eq!(conflict["current"]["revision"], 2);
    wait_for("both to have the change", || daemons.iter().all(|daemon| daemon.revision() == 2));
}

#[test]
fn disconnected_callers() {
    let deployment = Deployment::new("disconnected-callers", 1, 0);
    let daemons = deployment.start_all(2);
    let busy: Vec<_> = (0..8)
        .map(|nonce| {
            let callers = daemons[0].callers;
            std::thread::spawn(move || {
                http("POST", callers, "/update/x", &[], &work(nonce, 1_500_000))
            })
        })
        .collect();
    wait_for("all slots to be busy", || deployment.runs().len() == 8);
    for nonce in 100..140 {
        let mut stream = TcpStream::connect(daemons[nonce % 2].callers).expect("it listens");
        let body = String::from_utf8(work(nonce as u64, 100)).expect("it is text");
        let text = format!(
            "POST /update/x HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).expect("it is read");
    }
    for caller in busy {
        assert_eq!(caller.join().expect("the caller ends").expect("it answers").0, 200);
    }
    let last = http("POST", daemons[0].callers, "/update/x", &[], &work(500, 100));
    assert_eq!(last.expect("it answers").0, 200);
    let ran = deployment.runs().keys().filter(|nonce| (100..140).contains(*nonce)).count();
    assert!(ran <= 4, "{ran} of 40 requests ran after their callers had disconnected");
}

#[test]
fn keys_per_customer() {
    let deployment = Deployment::new("keys-per-customer", 1, 1);
    let daemons = deployment.start_all(2);
    let send = |class: &str, customer: &str, key: &str| {
        let headers = [("idempotency-key", key), ("x-customer", customer)];
        let path = format!("/{class}/x");
        http("POST", daemons[0].callers, &path, &headers, &work(77, 1_000)).expect("it answers")
    };
    for (customer, key) in [("one", "same"), ("two", "same"), ("a/b", "c"), ("a", "b/c")] {
        assert_eq!(send("export", customer, key).0, 200);
    }
    assert_eq!(deployment.runs().get(&77), Some(&4), "keys are scoped to customers");
    let jobs: std::collections::BTreeSet<String> =
        [("one", "same"), ("two", "same"), ("a-b", "c"), ("a", "b-c"), ("one", "same")]
            .into_iter()
            .map(|(customer, key)| send("nightly", customer, key).1["job"].to_string())
            .collect();
    assert_eq!(jobs.len(), 4, "{jobs:?}");
}

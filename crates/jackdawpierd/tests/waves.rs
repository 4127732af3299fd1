//! Maintenance waves end to end: budgets, a killed holder, and conflicting operators.

mod support;

use std::{thread, time::Duration};

use serde_json::Value;
use support::{Daemon, Deployment, http, part, wait_for};

const EXECUTORS: u32 = 6;
/// Need of `widgets` by the tests' declaration: two instances for each of three classes.
const NEED: usize = 6;

fn post(daemon: &Daemon, path: &str) -> (u16, Value) {
    http("POST", daemon.operators, path, &[], b"").expect("it answers")
}

fn order_counts(deployment: &Deployment) -> serde_json::Map<String, Value> {
    let counts = http("GET", deployment.list, "/admin/counts", &[], b"").expect("it answers").1;
    counts.as_object().cloned().unwrap_or_default()
}

fn leaving_count(deployment: &Deployment) -> usize {
    let list = http("GET", deployment.list, "/v1/instances", &[], b"").expect("it answers").1;
    let instances = list["instances"].as_array().cloned().unwrap_or_default();
    instances.iter().filter(|i| i["service"] == "widgets" && i["state"] == "leaving").count()
}

fn set_order_time(deployment: &Deployment, ms: u32) {
    let _ = http("POST", deployment.list, &format!("/admin/order-time/{ms}"), &[], b"");
}

fn holder_index(daemons: &[Daemon]) -> usize {
    let owns = |daemon: &Daemon| {
        let members = daemon.get("/v1/status").1["members"].clone();
        members.as_array().into_iter().flatten().any(|member| {
            member["entry"] == format!("entry-{}", daemon.name)
                && member["owns"].as_array().is_some_and(|all| all.contains(&"~capacity".into()))
        })
    };
    let mut found = None;
    wait_for("a holder of the capacity role", || {
        found = daemons.iter().position(owns);
        found.is_some()
    });
    found.expect("it was just found")
}

/// Starts a deployment that needs 6 of its 9 executors and survives the loss of one, so that two may
/// be in maintenance at once.
fn deployment(test: &str) -> (Deployment, Vec<Daemon>) {
    let deployment = Deployment::new(test, EXECUTORS + 3, 4).with_default_timing();
    let daemons = deployment.start_all(3);
    (deployment, daemons)
}

#[test]
fn whole_wave() {
    let (deployment, daemons) = deployment("whole-wave");
    set_order_time(&deployment, 300);
    holder_index(&daemons);
    let targets = daemons.iter().map(|daemon| daemon.callers).collect();
    let mut most_out = 0;
    let load = thread::scope(|scope| {
        let mix = vec![part("render", 1_000, false), part("update", 1_000, false)];
        let load = scope.spawn(|| deployment.load(targets, mix, 4_000, 6));
        wait_for("the wave to start", || post(&daemons[0], "/v1/wave/start").0 == 200);
        assert_eq!(post(&daemons[1], "/v1/wave/start").0, 409, "one wave at a time");
        wait_for("the wave to finish", || {
            most_out = most_out.max(leaving_count(&deployment));
            daemons[2].get("/v1/wave").1["state"] == "finished"
        });
        load.join().expect("the load ends")
    });
    assert!(load.violations.is_zero(), "{load}");
    assert_eq!(load.outcomes.get("answered"), Some(&4_000), "callers are not affected: {load}");
    let counts = order_counts(&deployment);
    assert_eq!(counts.len(), EXECUTORS as usize + 7, "executors and workers: {counts:?}");
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
    // One more instance is reserved for the loss of any single one.
    let allowed = EXECUTORS as usize + 3 - NEED - 1;
    assert!((1..=allowed).contains(&most_out), "{most_out} were out, {allowed} may be");
}

#[test]
fn killed_holder() {
    let (deployment, mut daemons) = deployment("killed-holder");
    set_order_time(&deployment, 600);
    let at = holder_index(&daemons);
    wait_for("the wave to start", || post(&daemons[at], "/v1/wave/start").0 == 200);
    wait_for("some instances to be done", || order_counts(&deployment).len() >= 3);
    daemons.remove(at).signal("KILL");
    wait_for("another holder to finish the wave", || {
        daemons[0].get("/v1/wave").1["state"] == "finished"
    });
    let counts = order_counts(&deployment);
    assert_eq!(counts.len(), EXECUTORS as usize + 7, "{counts:?}");
    assert!(counts.values().all(|count| *count == 1), "no reboot is repeated: {counts:?}");
}

#[test]
fn paused_wave() {
    let (deployment, daemons) = deployment("paused-wave");
    set_order_time(&deployment, 200);
    holder_index(&daemons);
    wait_for("the wave to start", || post(&daemons[0], "/v1/wave/start").0 == 200);
    assert_eq!(post(&daemons[1], "/v1/wave/pause").0, 200);
    assert_eq!(post(&daemons[2], "/v1/wave/pause").0, 409, "it is paused already");
    wait_for("what is out to come back", || daemons[0].get("/v1/wave").1["out"] == 0);
    let before = order_counts(&deployment).len();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(order_counts(&deployment).len(), before, "a paused wave starts nothing");
    assert_eq!(post(&daemons[2], "/v1/wave/resume").0, 200);
    wait_for("the wave to finish", || daemons[0].get("/v1/wave").1["state"] == "finished");
}

#[test]
fn buffer_explained() {
    let (_deployment, daemons) = deployment("buffer-explained");
    holder_index(&daemons);
    let mut shown = Value::Null;
    wait_for("the fleet to be known", || {
        shown = daemons[0].get("/v1/explain/render").1;
        shown["explanation"]["have"] == 9
    });
    assert_eq!(shown["explanation"]["need"], 6);
    assert_eq!(shown["explanation"]["buffer"], 3);
    assert_eq!(daemons[0].get("/v1/explain/nothing").0, 404);
}

#[test]
fn pools_shown() {
    let deployment = Deployment::new("pools-shown", EXECUTORS, 0);
    let daemons = deployment.start_all(2);
    for daemon in &daemons {
        wait_for("the pools, from the holder or through a peer", || {
            let (status, pools) = daemon.get("/v1/pools");
            status == 200 && pools["widgets"]["have"] == EXECUTORS
        });
        let explained = daemon.get("/v1/explain/render").1;
        assert_eq!(daemon.get("/v1/pools").1["widgets"], explained["explanation"]);
    }
}

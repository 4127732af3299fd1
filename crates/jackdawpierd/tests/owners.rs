//! Owners that stop, are killed or are suspended: requests are answered, none runs twice, and another
//! entry takes over.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use support::{Daemon, Deployment, http, part, wait_for, work};

/// Returns the owner of the service `widgets`, and the other entries.
fn owner_of_widgets(mut daemons: Vec<Daemon>) -> (Daemon, Vec<Daemon>) {
    let at = daemons
        .iter()
        .position(|daemon| daemon.owned().contains(&"widgets".to_owned()))
        .expect("every cell is open");
    let owner = daemons.remove(at);
    (owner, daemons)
}

/// Retries a new keyed request until it is answered; returns the time that this took.
fn time_without_owner(daemon: &Daemon, nonce: u64) -> Duration {
    let started_at = Instant::now();
    let key = format!("fresh-{nonce}");
    wait_for("a keyed request to be answered", || {
        let headers = [("idempotency-key", key.as_str())];
        http("POST", daemon.callers, "/export/x", &headers, &work(nonce, 1_000))
            .is_some_and(|(status, _)| status == 200)
    });
    started_at.elapsed()
}

#[test]
fn planned_stop() {
    let deployment = Deployment::new("planned-stop", 3, 1).with_default_timing();
    let (mut owner, others) = owner_of_widgets(deployment.start_all(3));
    let targets = vec![others[0].callers, others[1].callers];
    let slow = {
        let callers = owner.callers;
        thread::spawn(move || http("POST", callers, "/render/x", &[], &work(900_001, 1_200_000)))
    };
    let mix = vec![
        part("render", 2_000, false),
        part("export", 2_000, true),
        part("nightly", 2_000, true),
    ];
    let load = thread::scope(|scope| {
        let load = scope.spawn(|| deployment.load(targets, mix, 1_500, 2));
        thread::sleep(Duration::from_millis(300));
        owner.signal("TERM");
        assert!(owner.wait(), "a planned stop succeeds");
        load.join().expect("the load ends")
    });
    let answered = slow.join().expect("the caller ends").expect("its connection was not closed");
    assert_eq!(answered.0, 200, "a request in flight at the stopping entry is answered");
    assert!(load.violations.is_zero(), "{load}");
    assert_eq!(load.outcomes.get("answered"), Some(&1_500), "{load}");
    println!(
        "time without an owner after a clean stop: {:?}",
        time_without_owner(&others[0], 900_002)
    );
}

#[test]
fn killed_owner() {
    let deployment = Deployment::new("killed-owner", 3, 1).with_default_timing();
    let (owner, others) = owner_of_widgets(deployment.start_all(3));
    let targets = vec![others[0].callers, others[1].callers];
    let mix = vec![part("export", 2_000, true), part("nightly", 2_000, true)];
    let load = thread::scope(|scope| {
        let load = scope.spawn(|| deployment.load(targets, mix, 800, 3));
        thread::sleep(Duration::from_millis(500));
        owner.signal("KILL");
        println!(
            "time without an owner after a kill: {:?}",
            time_without_owner(&others[0], 900_003)
        );
        load.join().expect("the load ends")
    });
    assert!(load.violations.is_zero(), "{load}");
}

#[test]
fn suspended_owner() {
    let deployment = Deployment::new("suspended-owner", 3, 1).with_default_timing();
    let (owner, others) = owner_of_widgets(deployment.start_all(3));
    let targets = vec![others[0].callers, others[1].callers];
    let mix = vec![part("export", 2_000, true), part("nightly", 2_000, true)];
    let load = thread::scope(|scope| {
        let load = scope.spawn(|| deployment.load(targets, mix, 800, 4));
        thread::sleep(Duration::from_millis(500));
        owner.signal("STOP");
        println!(
            "time without an owner after a suspension: {:?}",
            time_without_owner(&others[0], 900_004)
        );
        owner.signal("CONT");
        load.join().expect("the load ends")
    });
    assert!(load.violations.is_zero(), "{load}");
    wait_for("one owner of each cell", || {
        let all = others.iter().chain([&owner]);
        let cells: Vec<String> = all.flat_map(Daemon::owned).collect();
        cells.len() == 2 && cells.contains(&"widgets".to_owned())
    });
    wait_for("the resumed entry to serve again", || owner.is_ready());
}

/// The owner is suspended while a request runs, and another entry takes over. A repeat is answered
/// "unknown" until the first owner can be queried for the outcome.
#[test]
fn outcome_queried() {
    let deployment = Deployment::new("outcome-queried", 2, 0).with_default_timing();
    let (owner, others) = owner_of_widgets(deployment.start_all(2));
    let key = [("idempotency-key", "slow")];
    let body = work(1, 1_000_000);
    thread::scope(|scope| {
        let first = scope.spawn(|| http("POST", owner.callers, "/export/x", &key, &body));
        wait_for("the request to run", || deployment.runs().contains_key(&1));
        owner.signal("STOP");
        wait_for("the other entry to take over", || {
            others[0].owned().contains(&"widgets".to_owned())
        });
        let repeat = || http("POST", others[0].callers, "/export/x", &key, &body);
        assert_eq!(repeat().expect("it answers").0, 504, "the outcome can't be known");
        owner.signal("CONT");
        let first = first.join().expect("the caller ends").expect("it answers");
        assert_eq!(first.0, 200, "{}", first.1);
        wait_for("the other entry to get the outcome", || repeat().as_ref() == Some(&first));
    });
    assert_eq!(deployment.runs().get(&1), Some(&1));
}

#[test]
fn two_deciding_entries() {
    let deployment = Deployment::new("two-deciding-entries", 2, 0).with_default_timing();
    let (owner, others) = owner_of_widgets(deployment.start_all(3));
    let targets = vec![others[0].callers, others[1].callers];
    let mix = vec![part("render", 40_000, false)];
    let load = thread::scope(|scope| {
        let drive_load = || deployment.load_with(targets, mix, 2_400, 8, 64);
        let load = scope.spawn(drive_load);
        thread::sleep(Duration::from_millis(800));
        owner.signal("STOP");
        thread::sleep(Duration::from_millis(2_500));
        owner.signal("CONT");
        load.join().expect("the load ends")
    });
    assert!(load.violations.is_zero(), "{load}");
    for (id, address) in &deployment.executors {
        let counts = http("GET", *address, "/admin/counts", &[], b"").expect("it answers").1;
        let most = counts["max_at_once"].as_u64().expect("it counts");
        println!("{id}: at most {most} in 8 slots, over them for {} us", counts["over_slots_us"]);
        assert!(most <= 16, "at most two entries decide at once: {most}");
    }
}

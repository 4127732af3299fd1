//! An owner records each machine order in a note before it sends it, and the next owner reads the note.

mod support;

use std::time::Duration;

use jackdawpier_entry::keys;
use support::{Fake, WriteFault, run, start_owner, wait_until};

/// A machine that is due for maintenance is in the stored note before its order arrives.
#[test]
fn recorded_before_sent() {
    run(async {
        let fake = Fake::default();
        fake.request_maintenance();
        let (_handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| !fake.machine_orders().is_empty()).await);
        for (machine, note) in fake.machine_orders() {
            assert!(note.is_some_and(|note| note.contains(&*machine)), "{machine} isn't recorded");
        }
    });
}

/// No machine order is sent while writes of the note are unanswered.
#[test]
fn unanswered_write() {
    run(async {
        let fake = Fake::default();
        let (_handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        fake.fail_next_writes(&[WriteFault::Lost; 400]);
        fake.request_maintenance();
        tokio::time::sleep(Duration::from_millis(1200)).await;
        assert!(fake.machine_orders().is_empty());
    });
}

/// An executor registers while orders wait for the note. It may run on a machine that seemed idle, and an order for
/// that machine would stop it with all its tasks.
#[test]
fn occupied_while_waiting() {
    run(async {
        let fake = Fake::default();
        let (_handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        tokio::time::sleep(Duration::from_millis(500)).await;
        fake.fail_next_writes(&[WriteFault::Hangs; 2]);
        fake.request_maintenance_of(3);
        tokio::time::sleep(Duration::from_millis(600)).await;
        fake.put("executors/executor-2", b"");
        // A listing of machines without the executor counts as its end only later.
        tokio::time::sleep(Duration::from_millis(600)).await;
        let orders = fake.machine_orders();
        assert!(orders.is_empty(), "{orders:?}");
    });
}

/// The next owner delays orders for a recorded machine, whose last order may still be in flight.
#[test]
fn delayed_after_takeover() {
    run(async {
        let fake = Fake::default();
        fake.request_maintenance();
        fake.put(keys::MACHINE_ORDERS, br#"[{"machine":"machine-1","age_ms":0}]"#);
        let (_handle, _owning) = start_owner(&fake, "a");
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert!(fake.machine_orders().is_empty());
        assert!(wait_until(|| !fake.machine_orders().is_empty()).await);
    });
}

/// The note is rewritten without outdated orders: ages in it are relative to its write, so each later owner would
/// otherwise delay orders for those machines for seconds.
#[test]
fn outdated_orders() {
    run(async {
        let fake = Fake::default();
        fake.request_maintenance();
        let (_handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| !fake.machine_orders().is_empty()).await);
        let is_empty = || fake.value(keys::MACHINE_ORDERS).is_some_and(|note| note == b"[]");
        assert!(!is_empty());
        assert!(wait_until(is_empty).await);
    });
}

/// Guards against an owner that reads the store for each of a hundred waiting orders after it has lost the fleet.
#[test]
fn ended_term() {
    run(async {
        let fake = Fake::default();
        let (_handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        // The first write of the note delays the others, and the fleet is lost meanwhile.
        fake.fail_next_writes(&[WriteFault::Hangs; 4]);
        fake.request_maintenance_of(100);
        tokio::time::sleep(Duration::from_millis(600)).await;
        fake.remove(keys::OWNER);
        let before = fake.reads();
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let reads = fake.reads() - before;
        assert!(reads <= 10, "{reads} reads after the end of the term");
    });
}

//! An owner notes each machine before it orders it, and the next one finds the note.

mod support;

use std::time::Duration;

use jackdawpier_entry::keys;
use support::{Fake, WriteFault, run, start_owner, wait_until};

/// A machine that is due for maintenance is in the store's note before the order arrives.
#[test]
fn noted_before() {
    run(async {
        let fake = Fake::default();
        fake.request_maintenance();
        let (_cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| !fake.machine_orders().is_empty()).await);
        for (machine, note) in fake.machine_orders() {
            assert!(note.is_some_and(|note| note.contains(&*machine)), "{machine} isn't noted");
        }
    });
}

/// Without the store's word no order about a machine leaves.
#[test]
fn unanswered_note() {
    run(async {
        let fake = Fake::default();
        let (_cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        fake.fail_next_writes(&[WriteFault::Lost; 400]);
        fake.request_maintenance();
        tokio::time::sleep(Duration::from_millis(1200)).await;
        assert!(fake.machine_orders().is_empty());
    });
}

/// An executor is registered while orders wait for the note, and may live on a machine that seemed idle: it would be taken with
/// all that runs there.
#[test]
fn occupied_meanwhile() {
    run(async {
        let fake = Fake::default();
        let (_cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        tokio::time::sleep(Duration::from_millis(500)).await;
        fake.fail_next_writes(&[WriteFault::Hangs; 2]);
        fake.request_maintenance_of(3);
        tokio::time::sleep(Duration::from_millis(600)).await;
        fake.put("executors/executor-2", b"");
        // A list of machines that doesn't name it counts as its end only later.
        tokio::time::sleep(Duration::from_millis(600)).await;
        let orders = fake.machine_orders();
        assert!(orders.is_empty(), "{orders:?}");
    });
}

/// The next owner leaves a noted machine alone, whose order may still be under way.
#[test]
fn next_owner() {
    run(async {
        let fake = Fake::default();
        fake.request_maintenance();
        fake.put(keys::MACHINE_ORDERS, br#"[{"machine":"machine-1","age_ms":0}]"#);
        let (_cell, _owning) = start_owner(&fake, "a");
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert!(fake.machine_orders().is_empty());
        assert!(wait_until(|| !fake.machine_orders().is_empty()).await);
    });
}

/// Ages in the note are as old as the note: once no order in it matters any more it is written anew, or
/// each later owner would leave its machines alone for seconds.
#[test]
fn old_orders() {
    run(async {
        let fake = Fake::default();
        fake.request_maintenance();
        let (_cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| !fake.machine_orders().is_empty()).await);
        let names_none = || fake.value(keys::MACHINE_ORDERS).is_some_and(|note| note == b"[]");
        assert!(!names_none());
        assert!(wait_until(names_none).await);
    });
}

/// An owner that has lost the fleet while a hundred orders waited for the note asked the store for each of them.
#[test]
fn ended_term() {
    run(async {
        let fake = Fake::default();
        let (_cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        // The first write of the note holds the others up, and the fleet is lost meanwhile.
        fake.fail_next_writes(&[WriteFault::Hangs; 4]);
        fake.request_maintenance_of(100);
        tokio::time::sleep(Duration::from_millis(600)).await;
        fake.remove(keys::OWNER);
        let before = fake.reads();
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let reads = fake.reads() - before;
        assert!(reads <= 10, "{reads} readings after the term");
    });
}

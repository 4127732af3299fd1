//! An owner on a machine that turns slow.

mod support;

use std::{cell::Cell, time::Duration};

use jackdawpier_entry::{keys, speed::MachineSpeed};
use support::{Fake, run, start_owner, start_owner_with_speed, wait_until};

thread_local! {
    /// What the computation takes on the machine that these tests slow down.
    static TAKES: Cell<Duration> = const { Cell::new(Duration::from_micros(10)) };
}

fn changing_speed() -> MachineSpeed {
    TAKES.set(Duration::from_micros(10));
    MachineSpeed::new(|| TAKES.get())
}

fn owner_name(fake: &Fake) -> String {
    let value = fake.value(keys::OWNER).unwrap_or_default();
    let value: serde_json::Value = serde_json::from_slice(&value).unwrap_or_default();
    value["entry"].as_str().unwrap_or_default().to_owned()
}

/// A few interrupted measurements say nothing; most of them do.
#[test]
fn slow_machine() {
    let speed = changing_speed();
    TAKES.set(Duration::from_micros(60));
    (0..4).for_each(|_| speed.sample());
    assert!(!speed.is_slow());
    speed.sample();
    assert!(speed.is_slow());
    TAKES.set(Duration::from_micros(11));
    (0..5).for_each(|_| speed.sample());
    assert!(!speed.is_slow());
}

/// Everything waits behind the decisions of an owner whose machine runs at a sixth of its speed, though it
/// renews its lease in time: another entry gets the fleet within the next look.
#[test]
fn slow_owner() {
    run(async {
        let fake = Fake::default();
        let (_first, _owning) = start_owner_with_speed(&fake, "slow", changing_speed());
        assert!(wait_until(|| owner_name(&fake) == "slow").await);
        let (_second, _waiting) = start_owner(&fake, "other");
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(owner_name(&fake), "slow");
        TAKES.set(Duration::from_micros(60));
        tokio::time::sleep(Duration::from_millis(1200)).await;
        assert_eq!(owner_name(&fake), "other");
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(owner_name(&fake), "other", "the slow one doesn't take it back");
    });
}

/// Where all machines are slow each keeps what it holds, so that there is an owner.
#[test]
fn all_slow() {
    run(async {
        let fake = Fake::default();
        let (_first, _owning) = start_owner_with_speed(&fake, "a", changing_speed());
        let (_second, _waiting) =
            start_owner_with_speed(&fake, "b", MachineSpeed::new(|| TAKES.get()));
        assert!(wait_until(|| !owner_name(&fake).is_empty()).await);
        TAKES.set(Duration::from_micros(60));
        tokio::time::sleep(Duration::from_secs(5)).await;
        let term = fake.revision(keys::OWNER);
        assert!(term.is_some());
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(fake.revision(keys::OWNER), term);
    });
}

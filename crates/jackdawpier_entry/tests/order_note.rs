//! An owner notes each machine before it orders it, and the next one finds the note.

mod support;

use std::{rc::Rc, time::Duration};

use jackdawpier_entry::{
    configuration::Active,
    events::Events,
    keys,
    owner::{OwnerCell, own_when_free},
};
use support::{Fake, Fate, configuration, run, settings};

fn start_owner(fake: &Fake, entry: &str) -> (OwnerCell, tokio::task::JoinHandle<()>) {
    fake.put("executors/executor-1", b"");
    let active = Active::default();
    active.offer(configuration(1), 1);
    let (cell, events) = (OwnerCell::default(), Events::new(entry));
    let (settings, life) = (Rc::new(settings(entry)), "life".to_owned());
    let owning = own_when_free(fake.clone(), settings, active, cell.clone(), events, life);
    (cell, tokio::task::spawn_local(owning))
}

async fn wait_until(mut is_so: impl FnMut() -> bool) -> bool {
    for _ in 0..600 {
        if is_so() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// A machine that is due for maintenance is in the store's note before the order arrives.
#[test]
fn noted_before() {
    run(async {
        let fake = Fake::default();
        fake.ask_for_maintenance();
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
        fake.next_writes(&[Fate::Lost; 400]);
        fake.ask_for_maintenance();
        tokio::time::sleep(Duration::from_millis(1200)).await;
        assert!(fake.machine_orders().is_empty());
    });
}

/// The next owner leaves a noted machine alone, whose order may still be under way.
#[test]
fn next_owner() {
    run(async {
        let fake = Fake::default();
        fake.ask_for_maintenance();
        fake.put(keys::MACHINE_ORDERS, br#"[{"machine":"machine-1","age_ms":0}]"#);
        let (_cell, _owning) = start_owner(&fake, "a");
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert!(fake.machine_orders().is_empty());
        assert!(wait_until(|| !fake.machine_orders().is_empty()).await);
    });
}

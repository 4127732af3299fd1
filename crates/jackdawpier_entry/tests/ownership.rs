//! One entry owns the fleet, and knows when it doesn't any more.

mod support;

use std::{rc::Rc, time::Duration};

use jackdawpier_entry::{
    configuration::ActiveConfiguration,
    events::Events,
    keys,
    owner::{FleetHandle, compete_for_ownership},
    ownership::{Candidate, acquire, lease_ttl},
    settings::EntrySettings,
};
use support::{
    Fake, WriteFault, configuration, outcome, run, settings, start_owner, steady_speed, submission,
    wait_until,
};

fn candidate(entry: &str, incarnation: &str, cpu_share: f64) -> Candidate {
    Candidate {
        entry: entry.to_owned(),
        incarnation: incarnation.to_owned(),
        cpu_share,
        ttl: lease_ttl(Duration::ZERO),
    }
}

/// A store that grants no short leases gets asked for its shortest.
#[test]
fn shortest_lease() {
    assert_eq!(lease_ttl(Duration::from_secs(5)), Duration::from_secs(5));
    assert!(lease_ttl(Duration::from_secs(1)) >= Duration::from_secs(1));
}

#[test]
fn one_owner() {
    run(async {
        let fake = Fake::default();
        let first = acquire(&fake, &candidate("a", "1", 1.0)).await.expect("the store answers");
        assert!(first.is_some_and(|term| term.is_valid()));
        let second = acquire(&fake, &candidate("b", "1", 1.0)).await.expect("the store answers");
        assert!(second.is_none());
    });
}

/// A process that was killed and started again needn't wait for its own lease.
#[test]
fn former_life() {
    run(async {
        let fake = Fake::default();
        let first = acquire(&fake, &candidate("a", "1", 1.0))
            .await
            .expect("it answers")
            .expect("nobody owns");
        let second = acquire(&fake, &candidate("a", "2", 1.0))
            .await
            .expect("it answers")
            .expect("it is gone");
        assert!(second.fence > first.fence);
        assert!(!first.confirm(&fake).await);
        assert!(!first.is_valid());
    });
}

/// The key can be taken away while the lease lives on.
#[test]
fn key_taken_away() {
    run(async {
        let fake = Fake::default();
        let term = acquire(&fake, &candidate("a", "1", 1.0))
            .await
            .expect("it answers")
            .expect("nobody owns");
        assert!(term.confirm(&fake).await);
        fake.remove(keys::OWNER);
        assert!(term.renew(&fake).await.is_ok());
        assert!(!term.confirm(&fake).await);
        assert!(!term.is_valid());
    });
}

#[test]
fn unreachable_store() {
    run(async {
        let fake = Fake::default();
        let term = acquire(&fake, &candidate("a", "1", 1.0))
            .await
            .expect("it answers")
            .expect("nobody owns");
        fake.set_down(true);
        assert!(!term.confirm(&fake).await, "no order about a machine without the store's word");
        assert!(term.is_valid(), "running work keeps its leases meanwhile");
    });
}

#[test]
fn lost_answer() {
    run(async {
        let fake = Fake::default();
        fake.fail_next_writes(&[WriteFault::AnswerLost]);
        let term = acquire(&fake, &candidate("a", "1", 1.0)).await.expect("it answers");
        assert!(term.is_some());
    });
}

/// A try that may be carried out later must not make an owner that doesn't know of it.
#[test]
fn late_write() {
    run(async {
        let fake = Fake::default();
        fake.fail_next_writes(&[WriteFault::Delayed]);
        assert!(acquire(&fake, &candidate("a", "1", 1.0)).await.expect("it answers").is_none());
        let other = acquire(&fake, &candidate("b", "1", 1.0)).await.expect("it answers");
        fake.apply_delayed_writes();
        assert!(other.expect("nobody owns").confirm(&fake).await);
    });
}

/// An entry with little processor leaves a free ownership to those with more.
#[test]
fn small_machine() {
    run(async {
        let fake = Fake::default();
        let small = {
            let fake = fake.clone();
            tokio::task::spawn_local(async move {
                acquire(&fake, &candidate("small", "1", 0.12)).await.expect("it answers").is_some()
            })
        };
        tokio::task::yield_now().await;
        let large = acquire(&fake, &candidate("large", "1", 0.5)).await.expect("it answers");
        assert!(large.is_some());
        assert!(!small.await.expect("it doesn't panic"));
    });
}

/// A term that has run out at its holder stays over, even if a late renewal succeeds: its loops have
/// ended, and nobody else could take over while the lease is kept alive.
#[test]
fn late_renewal() {
    run(async {
        let fake = Fake::default();
        let term = acquire(&fake, &candidate("a", "1", 1.0)).await.expect("it answers");
        let term = term.expect("nobody owns");
        tokio::time::sleep(lease_ttl(Duration::ZERO) * 9 / 10).await;
        assert!(!term.is_valid());
        assert!(term.renew(&fake).await.is_err());
        assert!(!term.is_valid());
    });
}

/// A larger machine that comes back takes the ownership from a small one; nobody takes it from a
/// large one, nor a small one from another.
#[test]
fn larger_machine() {
    run(async {
        let fake = Fake::default();
        let small = acquire(&fake, &candidate("small", "1", 0.12)).await.expect("it answers");
        let small = small.expect("nobody owns");
        let other = acquire(&fake, &candidate("other", "1", 0.12)).await.expect("it answers");
        assert!(other.is_none());
        let large = acquire(&fake, &candidate("large", "1", 0.5)).await.expect("it answers");
        let large = large.expect("it is larger");
        assert!(large.fence > small.fence);
        assert!(!small.confirm(&fake).await && !small.is_valid());
        let second = acquire(&fake, &candidate("second", "1", 0.5)).await.expect("it answers");
        assert!(second.is_none() && large.confirm(&fake).await);
    });
}

/// Where all machines are small the owner keeps what it holds.
#[test]
fn small_machines() {
    run(async {
        let fake = Fake::default();
        fake.put("executors/executor-1", b"");
        let active = ActiveConfiguration::default();
        active.adopt_if_newer(configuration(1), 1);
        let entries = ["a", "b", "c"].map(|entry| {
            let settings = Rc::new(EntrySettings { cpu_share: 0.12, ..settings(entry) });
            let (cell, events) = (FleetHandle::default(), Events::new(entry));
            let (fake, active, incarnation) =
                (fake.clone(), active.clone(), "incarnation".to_owned());
            let owning = compete_for_ownership(
                fake,
                settings,
                active,
                cell,
                events,
                incarnation,
                steady_speed(),
            );
            tokio::task::spawn_local(owning)
        });
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let first = fake.value(keys::OWNER).expect("one of them owns");
        tokio::time::sleep(Duration::from_secs(6)).await;
        assert_eq!(fake.value(keys::OWNER), Some(first));
        entries.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

/// A store that takes long for each answer, though less than a renewal holds, costs no ownership: a
/// change of owner would keep all work waiting for seconds more.
#[test]
fn slow_store() {
    run(async {
        let fake = Fake::default();
        let (_cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        let term = fake.value(keys::OWNER);
        fake.set_delay(Duration::from_millis(600));
        for _ in 0..40 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(fake.value(keys::OWNER), term);
        }
        fake.set_delay(Duration::ZERO);
        let value = serde_json::to_vec(&submission()).expect("it is plain data");
        fake.put(&keys::submission("j"), &value);
        assert!(wait_until(|| outcome(&fake, "j").is_some()).await);
        assert_eq!(fake.value(keys::OWNER), term);
    });
}

/// Leases pause while the store is down. The owner's term is over by then, so nobody waits for the rest of
/// its lease once the store is back.
#[test]
fn paused_lease() {
    run(async {
        let fake = Fake::default();
        let (_cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        let first = fake.revision(keys::OWNER);
        fake.pause_store(Duration::from_millis(2200)).await;
        for _ in 0..120 {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let now = fake.revision(keys::OWNER);
            if now.is_some() && now != first {
                return;
            }
        }
        panic!("no new term 1.2 s after the store is back");
    });
}

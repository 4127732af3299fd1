//! One entry owns the fleet, and knows when it doesn't any more.

mod support;

use std::time::Duration;

use jackdawpier_entry::{
    keys,
    ownership::{Candidate, acquire, patience, ttl},
};
use support::{Fake, Fate, run};

fn candidate(entry: &str, life: &str, cpu_share: f64) -> Candidate {
    Candidate {
        entry: entry.to_owned(),
        life: life.to_owned(),
        patience: patience(cpu_share),
        ttl: ttl(Duration::ZERO),
    }
}

/// A store that grants no short leases gets asked for its shortest.
#[test]
fn shortest_lease() {
    assert_eq!(ttl(Duration::from_secs(5)), Duration::from_secs(5));
    assert!(ttl(Duration::from_secs(1)) >= Duration::from_secs(1));
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
        fake.next_writes(&[Fate::AnswerLost]);
        let term = acquire(&fake, &candidate("a", "1", 1.0)).await.expect("it answers");
        assert!(term.is_some());
    });
}

/// A try that may be carried out later must not make an owner that doesn't know of it.
#[test]
fn late_write() {
    run(async {
        let fake = Fake::default();
        fake.next_writes(&[Fate::Late]);
        assert!(acquire(&fake, &candidate("a", "1", 1.0)).await.expect("it answers").is_none());
        let other = acquire(&fake, &candidate("b", "1", 1.0)).await.expect("it answers");
        fake.carry_out_late();
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
        tokio::time::sleep(ttl(Duration::ZERO) * 9 / 10).await;
        assert!(!term.is_valid());
        assert!(term.renew(&fake).await.is_err());
        assert!(!term.is_valid());
    });
}

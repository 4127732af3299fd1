//! An entry proves continuously that its configuration is the newest.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use jackdawpier_entry::{
    clock,
    configuration::{ActiveConfiguration, follow},
    events::Events,
    freshness::prove_configuration,
};
use support::{Fake, WriteFault, run, wait_until};

const KEY: &str = "configuration";
const VALID_FOR: Duration = Duration::from_millis(2500);

/// Starts an entry that proves the configuration, and waits until the document is in force.
async fn start(fake: &Fake, document: &str) -> ActiveConfiguration {
    fake.put(KEY, document.as_bytes());
    let active = ActiveConfiguration::new(Some(VALID_FOR));
    tokio::task::spawn_local(follow(fake.clone(), active.clone(), Events::new("a")));
    tokio::task::spawn_local(prove_configuration(fake.clone(), active.clone(), Events::new("a")));
    assert!(wait_until(|| active.get().is_some()).await);
    active
}

/// Proofs continue while nothing changes, with about one call a second.
#[test]
fn steady_proof() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake, "1 valid:shop").await;
        for _ in 0..40 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(active.can_verify_keys(clock::now()));
        }
        assert!(fake.commits() <= 4, "{} calls in four seconds", fake.commits());
    });
}

/// A watch that misses changes answers as if nothing had changed. That is no proof, and the next proof delivers the
/// change.
#[test]
fn stalled_watch() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake, "1 valid:shop").await;
        fake.stall_watches(true);
        fake.put(KEY, b"2 other:shop");
        let version = || active.get().map(|current| current.version);
        assert!(wait_until(|| version() == Some(2)).await);
        assert!(active.proof_age().is_some_and(|age| age < Duration::from_secs(2)));
    });
}

/// During a store outage an entry can't verify keys once its last proof has expired. It can again soon after the store
/// is back.
#[test]
fn store_outage() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake, "1 valid:shop").await;
        fake.set_down(true);
        tokio::time::sleep(VALID_FOR).await;
        assert!(!active.can_verify_keys(clock::now()));
        fake.set_down(false);
        let since = clock::now();
        assert!(active.wait_for_proof_since(since, Duration::from_secs(1)).await);
        assert!(active.can_verify_keys(clock::now()));
    });
}

/// If the store leaves writes unanswered, the entry reads it instead and continues to verify keys.
#[test]
fn lost_answers() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake, "1 valid:shop").await;
        fake.fail_next_writes(&[WriteFault::AnswerLost; 20]);
        for _ in 0..50 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(active.can_verify_keys(clock::now()));
        }
    });
}

/// Guards against reading the whole document after each rate-limited proof, ten times a second while callers wait:
/// with hundreds of entries that saturates the store's link.
#[test]
fn refused_writes() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake, "1 valid:shop").await;
        let document_reads = || fake.reads_of(KEY) + fake.listings_of(KEY);
        let before = document_reads();
        fake.fail_next_writes(&[WriteFault::Refused; 200]);
        for _ in 0..20 {
            active.wait_for_proof_since(clock::now(), Duration::from_millis(100)).await;
            assert!(active.can_verify_keys(clock::now()));
        }
        let reads = document_reads() - before;
        assert!(reads <= 2, "{reads} reads of the document in two seconds");
    });
}

/// A proof is as old as the request, not as its delayed answer.
#[test]
fn delayed_answer() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake, "1 valid:shop").await;
        fake.set_delay(Duration::from_millis(1000));
        let since = clock::now();
        assert!(active.wait_for_proof_since(since, Duration::from_secs(4)).await);
        assert!(active.proof_age().is_some_and(|age| age >= Duration::from_millis(990)));
    });
}

/// A hundred callers with unknown keys share a few requests to the store.
#[test]
fn many_unknown_keys() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake, "1 valid:shop").await;
        let before = fake.commits();
        let answered = Rc::new(Cell::new(0));
        for number in 0..100 {
            let (active, answered) = (active.clone(), answered.clone());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(10 * number)).await;
                if active.wait_for_proof_since(clock::now(), Duration::from_millis(400)).await {
                    answered.set(answered.get() + 1);
                }
            });
        }
        tokio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(answered.get(), 100);
        let calls = fake.commits() - before;
        assert!(calls <= 17, "{calls} calls in a second and a half");
    });
}

/// No proof is requested if callers need no keys.
#[test]
fn no_keys() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake, "1").await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(fake.commits(), 0);
        assert!(active.can_verify_keys(clock::now()));
    });
}

/// Guards against transferring an unreadable newest document with each proof.
#[test]
fn unreadable_document() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake, "1 valid:shop").await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        fake.put(KEY, b"unreadable");
        let before = fake.commits() + fake.reads_of(KEY) + fake.listings_of(KEY);
        tokio::time::sleep(Duration::from_secs(6)).await;
        let after = fake.commits() + fake.reads_of(KEY) + fake.listings_of(KEY) - before;
        drop(active);
        assert!(after <= 6, "{after} transfers of the document in six seconds");
    });
}

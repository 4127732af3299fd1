//! One entry's proof of the keys for all of them.

mod support;

use std::time::Duration;

use jackdawpier_entry::{
    access::Proof,
    clock,
    configuration::{ActiveConfiguration, follow},
    events::Events,
    freshness::prove_configuration,
    keys,
    ports::Item,
    shared_proof::{Reading, SharedProof},
};
use support::{CONFIGURATION, Fake, WriteFault, run, wait_until};
use tokio::task::JoinHandle;

const HOLDS_FOR: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(50);

struct Prover {
    connection: Fake,
    active: ActiveConfiguration,
    proving: JoinHandle<()>,
}

impl Prover {
    fn start(fake: &Fake, valid_for: Duration) -> Self {
        let (connection, active) =
            (fake.with_own_connection(), ActiveConfiguration::new(Some(valid_for)));
        tokio::task::spawn_local(follow(connection.clone(), active.clone(), Events::new("a")));
        let proving = prove_configuration(connection.clone(), active.clone(), Events::new("a"));
        let proving = tokio::task::spawn_local(proving);
        Self { connection, active, proving }
    }

    fn can_prove(&self) -> bool {
        self.active.can_verify_keys(clock::now())
    }
}

async fn start(fake: &Fake, count: usize, valid_for: Duration) -> Vec<Prover> {
    if fake.value(CONFIGURATION).is_none() {
        fake.put(CONFIGURATION, b"1 standing:shop");
    }
    let provers: Vec<_> = (0..count).map(|_| Prover::start(fake, valid_for)).collect();
    assert!(wait_until(|| provers.iter().all(Prover::can_prove)).await);
    provers
}

/// Looks again and again whether all can prove keys.
async fn all_prove(provers: &[Prover], time: Duration) {
    let until = clock::now() + time;
    while clock::now() < until {
        assert!(provers.iter().all(Prover::can_prove));
        tokio::time::sleep(LOOK).await;
    }
}

fn note(revision: u64, document: u64) -> Item {
    let value = format!("{{\"document\":{document}}}").into_bytes();
    Item { key: keys::PROOF.to_owned(), value, revision }
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Forty entries wrote 120 times in four seconds, and a thousand as often as the store allows.
#[test]
fn few_writes() {
    run(async {
        let fake = Fake::default();
        fake.set_delay(Duration::from_millis(6));
        let provers = start(&fake, 40, HOLDS_FOR).await;
        let before = fake.commits();
        all_prove(&provers, s(6)).await;
        let writes = fake.commits() - before;
        assert!(writes <= 20, "{writes} writes in six seconds");
    });
}

/// An entry is cut off, and a key is taken away at that moment, after the note was read at any time before.
#[test]
fn cut_off() {
    run(async {
        let fake = Fake::default();
        let valid_for = Duration::from_millis(3000);
        let provers = start(&fake, 14, valid_for).await;
        let mut cuts = Vec::new();
        for (prover, version) in provers.iter().zip(2..) {
            tokio::time::sleep(Duration::from_millis(100)).await;
            prover.connection.disconnect();
            fake.put(CONFIGURATION, format!("{version} other:shop").as_bytes());
            cuts.push((clock::now(), prover));
        }
        for (cut_at, prover) in cuts {
            tokio::time::sleep((cut_at + valid_for).saturating_sub(clock::now())).await;
            assert!(!prover.can_prove());
        }
    });
}

/// The note was written before a key was taken away, and read after it.
#[test]
fn late_reading() {
    let mut shared = SharedProof::default();
    assert_eq!(shared.on_read(s(1), Some(&note(5, 3))), Reading::Inconclusive);
    // It is written at 2 s, and the key goes at 3 s.
    assert_eq!(
        shared.on_read(s(4), Some(&note(6, 3))),
        Reading::Confirmed { document: 3, at: s(1) },
        "the time of an answer proves nothing"
    );
}

/// An entry is suspended between two readings: what the second shows is as old as the first.
#[test]
fn suspended() {
    let mut shared = SharedProof::default();
    shared.on_read(s(1), Some(&note(5, 3)));
    let reading = shared.on_read(s(11), Some(&note(9, 3)));
    let Reading::Confirmed { at, .. } = reading else { panic!("{reading:?}") };
    let proof = Proof { asked_at: Some(at), valid_for: Some(HOLDS_FOR) };
    assert!(!proof.is_valid(s(11)));
}

/// An unchanged note proves nothing, but makes what the next one proves younger.
#[test]
fn unchanged_note() {
    let mut shared = SharedProof::default();
    shared.on_read(s(1), Some(&note(5, 3)));
    assert_eq!(shared.on_read(s(2), Some(&note(5, 3))), Reading::Unchanged);
    let reading = shared.on_read(s(3), Some(&note(6, 3)));
    assert_eq!(reading, Reading::Confirmed { document: 3, at: s(2) });
}

/// An answer that is older than one seen before doesn't make the next look like news.
#[test]
fn old_answer() {
    let mut shared = SharedProof::default();
    shared.on_read(s(1), Some(&note(6, 3)));
    assert_eq!(shared.on_read(s(2), Some(&note(5, 3))), Reading::Inconclusive);
    assert_eq!(shared.on_read(s(3), Some(&note(6, 3))), Reading::Unchanged);
}

/// Whoever writes stops, one after another: the others go on without a gap.
#[test]
fn dead_writers() {
    run(async {
        let fake = Fake::default();
        let mut provers = start(&fake, 5, HOLDS_FOR).await;
        while provers.len() > 1 {
            all_prove(&provers, Duration::from_millis(1500)).await;
            provers.remove(0).proving.abort();
        }
        all_prove(&provers, s(3)).await;
    });
}

/// The store carries writes out and loses their answers.
#[test]
fn lost_answers() {
    run(async {
        let fake = Fake::default();
        let provers = start(&fake, 5, HOLDS_FOR).await;
        fake.fail_next_writes(&[WriteFault::AnswerLost; 100]);
        all_prove(&provers, s(6)).await;
    });
}

/// The store turns all writes away, as one does that is asked for too many: few are tried, and keys go on standing.
#[test]
fn refused_writes() {
    run(async {
        let fake = Fake::default();
        let provers = start(&fake, 10, HOLDS_FOR).await;
        fake.fail_next_writes(&[WriteFault::Refused; 1000]);
        let before = fake.commits();
        all_prove(&provers, s(6)).await;
        let writes = fake.commits() - before;
        assert!(writes <= 50, "{writes} writes in six seconds");
    });
}

/// A write that is carried out after the document has changed says nothing.
#[test]
fn late_write() {
    run(async {
        let fake = Fake::default();
        let provers = start(&fake, 1, HOLDS_FOR).await;
        fake.fail_next_writes(&[WriteFault::Delayed]);
        let before = fake.commits();
        assert!(wait_until(|| fake.commits() > before).await);
        provers[0].connection.disconnect();
        fake.put(CONFIGURATION, b"2 other:shop");
        let revision = fake.revision(keys::PROOF);
        fake.apply_delayed_writes();
        assert_eq!(fake.revision(keys::PROOF), revision);
    });
}

/// The document changes and no watch tells of it: one entry finds it out by its write, the others by the note.
#[test]
fn deaf_watches() {
    run(async {
        let fake = Fake::default();
        let provers = start(&fake, 10, HOLDS_FOR).await;
        fake.stall_watches(true);
        fake.put(CONFIGURATION, b"2 other:shop");
        let has_changed = |prover: &Prover| prover.active.get().is_some_and(|one| one.version == 2);
        assert!(wait_until(|| provers.iter().all(has_changed)).await);
    });
}

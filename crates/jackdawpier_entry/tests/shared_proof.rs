//! One entry proves the configuration for all entries.

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

const VALID_FOR: Duration = Duration::from_secs(5);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

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
        fake.put(CONFIGURATION, b"1 valid:shop");
    }
    let provers: Vec<_> = (0..count).map(|_| Prover::start(fake, valid_for)).collect();
    assert!(wait_until(|| provers.iter().all(Prover::can_prove)).await);
    provers
}

/// Asserts repeatedly during a time that all entries can verify keys.
async fn assert_all_prove(provers: &[Prover], time: Duration) {
    let until = clock::now() + time;
    while clock::now() < until {
        assert!(provers.iter().all(Prover::can_prove));
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn note(revision: u64, document: u64) -> Item {
    let value = format!("{{\"document\":{document}}}").into_bytes();
    Item { key: keys::PROOF.to_owned(), value, revision }
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against entries that all write the note: forty made 120 writes in four seconds, and a thousand reached the
/// store's rate limit.
#[test]
fn few_writes() {
    run(async {
        let fake = Fake::default();
        fake.set_delay(Duration::from_millis(6));
        let provers = start(&fake, 40, VALID_FOR).await;
        let before = fake.commits();
        assert_all_prove(&provers, s(6)).await;
        let writes = fake.commits() - before;
        assert!(writes <= 20, "{writes} writes in six seconds");
    });
}

/// A disconnected entry stops accepting a key that is removed at the same moment, whenever it last read the note.
#[test]
fn disconnected_entry() {
    run(async {
        let fake = Fake::default();
        let valid_for = Duration::from_millis(3000);
        let provers = start(&fake, 14, valid_for).await;
        let mut disconnected = Vec::new();
        for (prover, version) in provers.iter().zip(2..) {
            tokio::time::sleep(Duration::from_millis(100)).await;
            prover.connection.disconnect();
            fake.put(CONFIGURATION, format!("{version} other:shop").as_bytes());
            disconnected.push((clock::now(), prover));
        }
        for (disconnected_at, prover) in disconnected {
            tokio::time::sleep((disconnected_at + valid_for).saturating_sub(clock::now())).await;
            assert!(!prover.can_prove());
        }
    });
}

/// The note was written before a key was removed, and read afterwards.
#[test]
fn read_after_change() {
    let mut shared = SharedProof::default();
    assert_eq!(shared.on_read(s(1), Some(&note(5, 3))), Reading::Inconclusive);
    // The note is written at 2 s, and the key is removed at 3 s.
    assert_eq!(
        shared.on_read(s(4), Some(&note(6, 3))),
        Reading::Confirmed { document: 3, at: s(1) },
        "the time of an answer proves nothing"
    );
}

/// An entry is suspended between two reads: the proof of the second is as old as the first.
#[test]
fn suspended() {
    let mut shared = SharedProof::default();
    shared.on_read(s(1), Some(&note(5, 3)));
    let reading = shared.on_read(s(11), Some(&note(9, 3)));
    let Reading::Confirmed { at, .. } = reading else { panic!("{reading:?}") };
    let proof = Proof { asked_at: Some(at), valid_for: Some(VALID_FOR) };
    assert!(!proof.is_valid(s(11)));
}

/// An unchanged note proves nothing, but makes the next proof more recent.
#[test]
fn unchanged_note() {
    let mut shared = SharedProof::default();
    shared.on_read(s(1), Some(&note(5, 3)));
    assert_eq!(shared.on_read(s(2), Some(&note(5, 3))), Reading::Unchanged);
    let reading = shared.on_read(s(3), Some(&note(6, 3)));
    assert_eq!(reading, Reading::Confirmed { document: 3, at: s(2) });
}

/// An answer older than a previous one doesn't make the next read look like a change.
#[test]
fn delayed_answer() {
    let mut shared = SharedProof::default();
    shared.on_read(s(1), Some(&note(6, 3)));
    assert_eq!(shared.on_read(s(2), Some(&note(5, 3))), Reading::Inconclusive);
    assert_eq!(shared.on_read(s(3), Some(&note(6, 3))), Reading::Unchanged);
}

/// The writers stop one after another: the other entries continue without a gap.
#[test]
fn stopped_writers() {
    run(async {
        let fake = Fake::default();
        let mut provers = start(&fake, 5, VALID_FOR).await;
        while provers.len() > 1 {
            assert_all_prove(&provers, Duration::from_millis(1500)).await;
            provers.remove(0).proving.abort();
        }
        assert_all_prove(&provers, s(3)).await;
    });
}

/// The store applies writes but loses their answers.
#[test]
fn lost_answers() {
    run(async {
        let fake = Fake::default();
        let provers = start(&fake, 5, VALID_FOR).await;
        fake.fail_next_writes(&[WriteFault::AnswerLost; 100]);
        assert_all_prove(&provers, s(6)).await;
    });
}

/// The store refuses all writes, as a rate limit does: few are attempted, and keys remain verifiable.
#[test]
fn refused_writes() {
    run(async {
        let fake = Fake::default();
        let provers = start(&fake, 10, VALID_FOR).await;
        fake.fail_next_writes(&[WriteFault::Refused; 1000]);
        let before = fake.commits();
        assert_all_prove(&provers, s(6)).await;
        let writes = fake.commits() - before;
        assert!(writes <= 50, "{writes} writes in six seconds");
    });
}

/// A delayed write has no effect once the document has changed.
#[test]
fn delayed_write() {
    run(async {
        let fake = Fake::default();
        let provers = start(&fake, 1, VALID_FOR).await;
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

/// All watches miss a change of the document: one entry detects it by its write, the others by the note.
#[test]
fn stalled_watches() {
    run(async {
        let fake = Fake::default();
        let provers = start(&fake, 10, VALID_FOR).await;
        fake.stall_watches(true);
        fake.put(CONFIGURATION, b"2 other:shop");
        let has_changed =
            |prover: &Prover| prover.active.get().is_some_and(|current| current.version == 2);
        assert!(wait_until(|| provers.iter().all(has_changed)).await);
    });
}

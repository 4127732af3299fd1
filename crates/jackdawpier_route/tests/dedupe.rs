//! Keys: intents, repeats, reuse, release and retention.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    ids::RequestKey,
    outcome::{Answer, Outcome, RefusalReason},
};
use jackdawpier_route::{
    dedupe::{Decision, Dedupe, KeyState, MAX_RETAINED_BODY_BYTES, Resolution},
    lost_shard::LostShardKeys,
};

const RETENTION: Duration = Duration::from_secs(60);

fn key() -> RequestKey {
    "k/export/1".into()
}

fn answered(body: &[u8]) -> Outcome {
    Outcome::Answered(Answer {
        status: 200,
        content_type: "text/plain".into(),
        body: body.to_vec(),
    })
}

/// A table of `entry-a` whose write 1 carries the intent of ticket 1.
fn recorded() -> Dedupe {
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    assert!(matches!(dedupe.begin(&key(), 1, 1), Decision::WriteIntent { .. }));
    dedupe.on_intent_write_queued(1, 1, &key());
    dedupe
}

#[test]
fn repeat_answered() {
    let mut dedupe = recorded();
    assert!(dedupe.on_committed(0).sendable.is_empty(), "not durable yet, so it must not be sent");
    assert_eq!(dedupe.on_committed(1).sendable, [1]);
    assert_eq!(dedupe.begin(&key(), 1, 2), Decision::Wait);
    let (_, waiters) =
        dedupe.record_outcome(Now::ZERO, &key(), &answered(b"done")).expect("it ran");
    assert_eq!(waiters, [2]);
    assert_eq!(dedupe.begin(&key(), 1, 3), Decision::Replay(answered(b"done")));
}

#[test]
fn key_reused() {
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    dedupe.begin(&key(), 1, 1);
    assert_eq!(dedupe.begin(&key(), 2, 2), Decision::KeyReused);
}

/// A table of `entry-b` that read an intent of `entry-a` in the log.
fn in_doubt() -> Dedupe {
    let mut dedupe = Dedupe::new("entry-b".into(), RETENTION);
    let intent = KeyState::Intent { fingerprint: 1, entry: "entry-a".into() };
    let mut former = LostShardKeys::new(RETENTION);
    let news = dedupe.recover(Now::ZERO, [(key(), intent)], &mut former);
    assert!(news.is_empty(), "nothing is known beyond the log");
    dedupe
}

#[test]
fn intent_recovered() {
    let mut dedupe = in_doubt();
    assert_eq!(dedupe.begin(&key(), 1, 1), Decision::QueryWriter("entry-a".into()));
    assert_eq!(dedupe.begin(&key(), 1, 2), Decision::Wait);
    assert_eq!(dedupe.begin(&key(), 2, 3), Decision::KeyReused);
    assert_eq!(dedupe.resolve(&key(), None), Resolution::Unknown(vec![1, 2]));
    assert_eq!(
        dedupe.begin(&key(), 1, 4),
        Decision::QueryWriter("entry-a".into()),
        "it is asked again"
    );
}

#[test]
fn end_recalled() {
    let mut former = LostShardKeys::new(RETENTION);
    let mut dedupe = recorded();
    dedupe.on_committed(1);
    dedupe.record_outcome(Now::ZERO, &key(), &answered(b"done"));
    dedupe.on_end_write_queued(2, &key());
    assert!(dedupe.release_ownership(Now::ZERO, &mut former).is_empty());
    let word = former.get(&key());
    let mut next = in_doubt();
    next.begin(&key(), 1, 7);
    let ended = word.clone().expect("the end was not written");
    assert_eq!(next.resolve(&key(), word), Resolution::WriteEnd(ended));
    next.on_end_write_queued(1, &key());
    assert_eq!(next.begin(&key(), 1, 9), Decision::Wait, "not told before it is durable");
    assert_eq!(next.on_committed(1).resolved, [(answered(b"done"), vec![7, 9])]);
    assert_eq!(next.begin(&key(), 1, 8), Decision::Replay(answered(b"done")));
}

#[test]
fn unsent_released() {
    let mut former = LostShardKeys::new(RETENTION);
    let dedupe = recorded();
    assert_eq!(dedupe.release_ownership(Now::ZERO, &mut former), [1], "it is not sent any more");
    let mut next = in_doubt();
    next.begin(&key(), 1, 7);
    assert_eq!(next.resolve(&key(), former.get(&key())), Resolution::Release(vec![7]));
    assert!(matches!(next.begin(&key(), 1, 8), Decision::WriteIntent { .. }));
}

#[test]
fn owned_again() {
    let mut former = LostShardKeys::new(RETENTION);
    let mut dedupe = recorded();
    dedupe.on_committed(1);
    let intent = KeyState::Intent { fingerprint: 1, entry: "entry-a".into() };
    dedupe.release_ownership(Now::ZERO, &mut former);
    assert_eq!(former.get(&key()), Some(intent.clone()), "it still runs here");
    let mut again = Dedupe::new("entry-a".into(), RETENTION);
    assert!(again.recover(Now::ZERO, [(key(), intent)], &mut former).is_empty());
    assert_eq!(again.begin(&key(), 1, 2), Decision::Wait);
    let (_, waiters) = again.record_outcome(Now::ZERO, &key(), &answered(b"done")).expect("it ran");
    assert_eq!(waiters, [2]);
}

/// The intent of the first ownership never became durable. In the second the key is sent; were it
/// still remembered as unsent, an owner that asks now would let it run again.
#[test]
fn former_outdated() {
    let mut former = LostShardKeys::new(RETENTION);
    recorded().release_ownership(Now::ZERO, &mut former);
    assert_eq!(former.get(&key()), Some(KeyState::Released));
    let mut second = Dedupe::new("entry-a".into(), RETENTION);
    second.recover(Now::ZERO, [], &mut former);
    second.begin(&key(), 1, 2);
    second.on_intent_write_queued(1, 2, &key());
    assert_eq!(second.on_committed(1).sendable, [2], "it is sent");
    assert_eq!(former.get(&key()), None);
}

#[test]
fn end_after_loss() {
    let mut former = LostShardKeys::new(RETENTION);
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    dedupe.begin(&key(), 1, 1);
    dedupe.release_ownership(Now::ZERO, &mut former);
    former.record_outcome(Now::ZERO, &key(), &answered(b"done"));
    let ended = KeyState::Ended { fingerprint: 1, outcome: answered(b"done") };
    assert_eq!(former.get(&key()), Some(ended));
    former.expire(RETENTION);
    assert!(former.is_empty());
}

#[test]
fn not_run_released() {
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    dedupe.begin(&key(), 1, 1);
    let outcome =
        Outcome::NotRun { reason: RefusalReason::NotConnected, retry_after: Duration::ZERO };
    let (state, _) = dedupe.record_outcome(Now::ZERO, &key(), &outcome).expect("it was recorded");
    assert_eq!(state, KeyState::Released);
    assert!(matches!(dedupe.begin(&key(), 1, 2), Decision::WriteIntent { .. }));
}

#[test]
fn long_answer() {
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    dedupe.begin(&key(), 1, 1);
    dedupe.record_outcome(Now::ZERO, &key(), &answered(&vec![b'x'; MAX_RETAINED_BODY_BYTES + 1]));
    let Decision::Replay(Outcome::Answered(answer)) = dedupe.begin(&key(), 1, 2) else {
        panic!("a long answer is still an answer");
    };
    assert!(answer.body.len() < MAX_RETAINED_BODY_BYTES);
}

#[test]
fn retention_ends() {
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    dedupe.begin(&key(), 1, 1);
    dedupe.record_outcome(Now::ZERO, &key(), &answered(b"done"));
    assert!(dedupe.expire(RETENTION / 2).is_empty());
    assert_eq!(dedupe.expire(RETENTION), [key()]);
    assert!(dedupe.is_empty());
}

//! Deduplication of keyed requests: intents, repeated requests, key reuse, ownership changes and
//! retention.

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

/// Returns a table of `entry-a` whose write 1 contains the intent of ticket 1.
fn table_with_intent() -> Dedupe {
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    assert!(matches!(dedupe.begin(&key(), 1, 1), Decision::WriteIntent { .. }));
    dedupe.on_intent_write_queued(1, 1, &key());
    dedupe
}

#[test]
fn repeat_replayed() {
    let mut dedupe = table_with_intent();
    assert!(
        dedupe.on_committed(0).sendable.is_empty(),
        "no request is sent before its intent is durable"
    );
    assert_eq!(dedupe.on_committed(1).sendable, [1]);
    assert_eq!(dedupe.begin(&key(), 1, 2), Decision::Wait);
    let (_, waiters) = dedupe
        .record_outcome(Now::ZERO, &key(), &answered(b"done"))
        .expect("the request is running");
    assert_eq!(waiters, [2]);
    assert_eq!(dedupe.begin(&key(), 1, 3), Decision::Replay(answered(b"done")));
}

#[test]
fn key_reused() {
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    dedupe.begin(&key(), 1, 1);
    assert_eq!(dedupe.begin(&key(), 2, 2), Decision::KeyReused);
}

/// Returns a table of `entry-b` that recovered an intent of `entry-a` from the log.
fn table_with_foreign_intent() -> Dedupe {
    let mut dedupe = Dedupe::new("entry-b".into(), RETENTION);
    let intent = KeyState::Intent { fingerprint: 1, entry: "entry-a".into() };
    let mut lost_shard = LostShardKeys::new(RETENTION);
    let missing_states = dedupe.recover(Now::ZERO, [(key(), intent)], &mut lost_shard);
    assert!(missing_states.is_empty(), "the log lacks no state");
    dedupe
}

#[test]
fn intent_recovered() {
    let mut dedupe = table_with_foreign_intent();
    assert_eq!(dedupe.begin(&key(), 1, 1), Decision::QueryWriter("entry-a".into()));
    assert_eq!(dedupe.begin(&key(), 1, 2), Decision::Wait);
    assert_eq!(dedupe.begin(&key(), 2, 3), Decision::KeyReused);
    assert_eq!(dedupe.resolve(&key(), None), Resolution::Unknown(vec![1, 2]));
    assert_eq!(
        dedupe.begin(&key(), 1, 4),
        Decision::QueryWriter("entry-a".into()),
        "the writer is queried again"
    );
}

#[test]
fn outcome_queried() {
    let mut lost_shard = LostShardKeys::new(RETENTION);
    let mut dedupe = table_with_intent();
    dedupe.on_committed(1);
    dedupe.record_outcome(Now::ZERO, &key(), &answered(b"done"));
    dedupe.on_end_write_queued(2, &key());
    assert!(dedupe.release_ownership(Now::ZERO, &mut lost_shard).is_empty());
    let reply = lost_shard.get(&key());
    let mut next = table_with_foreign_intent();
    next.begin(&key(), 1, 7);
    let ended = reply.clone().expect("the lost shard has the unwritten outcome");
    assert_eq!(next.resolve(&key(), reply), Resolution::WriteEnd(ended));
    next.on_end_write_queued(1, &key());
    assert_eq!(next.begin(&key(), 1, 9), Decision::Wait, "no answer before the outcome is durable");
    assert_eq!(next.on_committed(1).resolved, [(answered(b"done"), vec![7, 9])]);
    assert_eq!(next.begin(&key(), 1, 8), Decision::Replay(answered(b"done")));
}

#[test]
fn unsent_released() {
    let mut lost_shard = LostShardKeys::new(RETENTION);
    let dedupe = table_with_intent();
    assert_eq!(
        dedupe.release_ownership(Now::ZERO, &mut lost_shard),
        [1],
        "a request without a durable intent is never sent"
    );
    let mut next = table_with_foreign_intent();
    next.begin(&key(), 1, 7);
    assert_eq!(next.resolve(&key(), lost_shard.get(&key())), Resolution::Release(vec![7]));
    assert!(matches!(next.begin(&key(), 1, 8), Decision::WriteIntent { .. }));
}

#[test]
fn ownership_regained() {
    let mut lost_shard = LostShardKeys::new(RETENTION);
    let mut dedupe = table_with_intent();
    dedupe.on_committed(1);
    let intent = KeyState::Intent { fingerprint: 1, entry: "entry-a".into() };
    dedupe.release_ownership(Now::ZERO, &mut lost_shard);
    assert_eq!(lost_shard.get(&key()), Some(intent.clone()), "the request is still running");
    let mut again = Dedupe::new("entry-a".into(), RETENTION);
    assert!(again.recover(Now::ZERO, [(key(), intent)], &mut lost_shard).is_empty());
    assert_eq!(again.begin(&key(), 1, 2), Decision::Wait);
    let (_, waiters) = again
        .record_outcome(Now::ZERO, &key(), &answered(b"done"))
        .expect("the request is running");
    assert_eq!(waiters, [2]);
}

/// A key is released in the first ownership and sent in the second. If the lost shard still had it
/// as released, the next owner would let the request run a second time.
#[test]
fn lost_shard_cleared() {
    let mut lost_shard = LostShardKeys::new(RETENTION);
    table_with_intent().release_ownership(Now::ZERO, &mut lost_shard);
    assert_eq!(lost_shard.get(&key()), Some(KeyState::Released));
    let mut second = Dedupe::new("entry-a".into(), RETENTION);
    second.recover(Now::ZERO, [], &mut lost_shard);
    second.begin(&key(), 1, 2);
    second.on_intent_write_queued(1, 2, &key());
    assert_eq!(second.on_committed(1).sendable, [2], "a request with a durable intent is sent");
    assert_eq!(lost_shard.get(&key()), None);
}

#[test]
fn outcome_after_loss() {
    let mut lost_shard = LostShardKeys::new(RETENTION);
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    dedupe.begin(&key(), 1, 1);
    dedupe.release_ownership(Now::ZERO, &mut lost_shard);
    lost_shard.record_outcome(Now::ZERO, &key(), &answered(b"done"));
    let ended = KeyState::Ended { fingerprint: 1, outcome: answered(b"done") };
    assert_eq!(lost_shard.get(&key()), Some(ended));
    lost_shard.expire(RETENTION);
    assert!(lost_shard.is_empty());
}

#[test]
fn not_run_released() {
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    dedupe.begin(&key(), 1, 1);
    let outcome =
        Outcome::NotRun { reason: RefusalReason::NotConnected, retry_after: Duration::ZERO };
    let (state, _) =
        dedupe.record_outcome(Now::ZERO, &key(), &outcome).expect("the request is running");
    assert_eq!(state, KeyState::Released);
    assert!(matches!(dedupe.begin(&key(), 1, 2), Decision::WriteIntent { .. }));
}

#[test]
fn long_body_dropped() {
    let mut dedupe = Dedupe::new("entry-a".into(), RETENTION);
    dedupe.begin(&key(), 1, 1);
    dedupe.record_outcome(Now::ZERO, &key(), &answered(&vec![b'x'; MAX_RETAINED_BODY_BYTES + 1]));
    let Decision::Replay(Outcome::Answered(answer)) = dedupe.begin(&key(), 1, 2) else {
        panic!("the outcome of a long answer is still an answer");
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

//! An entry's decision whether it admits a job.

use std::{collections::BTreeSet, time::Duration};

use jackdawpier_fleet::admission::{
    AccountLoad, Admission, LoadNote, NOTE_TTL, QueueLoad, decide, position,
};

const AT_MS: u64 = 1_000_000;

fn note(admitted_permille: u32, retry_after_ms: u64) -> LoadNote {
    let load = AccountLoad { admitted_permille, retry_after_ms };
    let queue = QueueLoad { priority: 0, accounts: [("loud".into(), load)].into() };
    LoadNote { at_ms: AT_MS, queues: [("queue".into(), queue)].into() }
}

fn ids() -> impl Iterator<Item = String> {
    (0..2000_u64).map(|number| format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

/// Returns the delay before a job of the loud account may return; `None` if it is admitted.
fn delay(note: &LoadNote, id: &str) -> Option<u64> {
    match decide(Some(note), Duration::ZERO, "queue", Some(&"loud".into()), id, AT_MS) {
        Admission::Admit => None,
        Admission::Reject { retry_after } => Some(retry_after.as_secs()),
    }
}

/// Guards against rejections without a current note for the queue and account, and of jobs without an account.
#[test]
fn unaffected_jobs() {
    let (note, loud) = (note(0, 1000), Some("loud".into()));
    let is_admitted = |age, queue, account: Option<&_>, now_ms| {
        decide(Some(&note), age, queue, account, "id", now_ms) == Admission::Admit
    };
    assert!(!is_admitted(NOTE_TTL, "queue", loud.as_ref(), AT_MS + 7000));
    assert!(is_admitted(NOTE_TTL + Duration::from_millis(1), "queue", loud.as_ref(), AT_MS));
    assert!(is_admitted(Duration::ZERO, "queue", loud.as_ref(), AT_MS + 7001));
    assert!(is_admitted(Duration::ZERO, "other", loud.as_ref(), AT_MS));
    assert!(is_admitted(Duration::ZERO, "queue", Some(&"quiet".into()), AT_MS));
    assert!(is_admitted(Duration::ZERO, "queue", None, AT_MS));
}

/// Guards against an admitted job that a higher fraction rejects: a rejected job would then not return in order.
#[test]
fn fractions() {
    let mut admitted = BTreeSet::new();
    for permille in [0, 100, 500, 1000] {
        let note = note(permille, 1000);
        let now: BTreeSet<String> = ids().filter(|id| delay(&note, id).is_none()).collect();
        assert!(now.is_superset(&admitted), "a job is no longer admitted at {permille}");
        let expected = 2 * permille as usize;
        assert!(now.len().abs_diff(expected) <= 70, "{} of 2000 at {permille}", now.len());
        admitted = now;
    }
}

/// Guards against rejected jobs that all return at once, also where only those with high hashes are rejected.
#[test]
fn spread_returns() {
    for permille in [50, 800] {
        let note = note(permille, 1999);
        let delays: Vec<u64> = ids().filter_map(|id| delay(&note, &id)).collect();
        for seconds in [2, 3, 4] {
            let count = delays.iter().filter(|delay| **delay == seconds).count();
            assert!(count <= delays.len() * 6 / 10, "{count} of {} in {seconds} s", delays.len());
        }
        assert!(delays.iter().all(|delay| (1..=4).contains(delay)));
    }
    let first = ids().min_by_key(|id| position(id)).expect("there are ids");
    for (retry_after_ms, expected) in [(0, 1), (400, 1), (2500, 3), (u64::MAX, 4)] {
        assert_eq!(delay(&note(0, retry_after_ms), &first), Some(expected));
    }
}

/// Guards against a change of the format or the hash: entries of two versions would admit different jobs.
#[test]
fn format() {
    let text = r#"{"at_ms":1000000,"queues":{"queue":{"priority":0,"accounts":{"loud":{"admitted_permille":300,"retry_after_ms":1500}}}}}"#;
    let read: LoadNote = serde_json::from_str(text).expect("the note is readable");
    assert_eq!(read, note(300, 1500));
    assert_eq!(serde_json::to_string(&read).expect("the note can be written"), text);
    assert_eq!(position("00000000deadbeef"), 391);
}

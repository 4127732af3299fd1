//! Who takes and who gives back the memory for request bodies.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    body_budget::{BodyBudget, BodyId, BodyLimits, MAX_STALL, NoRoom},
};

const TOTAL_BYTES: usize = 100_000;
const UNCOUNTED_BYTES: usize = 1_000;
const START: Now = Duration::from_secs(100);

fn budget() -> BodyBudget {
    let limits = BodyLimits { uncounted_bytes: UNCOUNTED_BYTES, ..BodyLimits::new(TOTAL_BYTES) };
    BodyBudget::new(limits)
}

fn begin(budget: &mut BodyBudget, at: Now, bytes: usize) -> BodyId {
    let id = budget.begin(at);
    budget.reserve(id, at, bytes).expect("there is room");
    id
}

#[test]
fn room_of_large_bodies() {
    let mut budget = budget();
    let first = begin(&mut budget, START, TOTAL_BYTES + UNCOUNTED_BYTES);
    let second = budget.begin(START);
    assert_eq!(budget.reserve(second, START, UNCOUNTED_BYTES + 1), Err(NoRoom::Full));
    assert_eq!(budget.reserve(second, START, UNCOUNTED_BYTES), Ok(()));
    budget.end(first);
    assert_eq!(budget.held_bytes(), 0);
    assert_eq!(budget.reserve(second, START, TOTAL_BYTES), Ok(()));
    budget.end(second);
    assert_eq!((budget.held_bytes(), budget.count()), (0, 0));
}

/// Room is taken by whole segments, however small the parts of a body are.
#[test]
fn small_parts() {
    const BYTES: usize = 40_000;
    const SEGMENT_BYTES: usize = 8_192;
    let mut budget = budget();
    let id = budget.begin(START);
    for _ in 0..BYTES {
        budget.append(id, START, b"x").expect("there is room");
    }
    let room_bytes = budget.figures(id, START).room_bytes;
    assert!((BYTES..BYTES + SEGMENT_BYTES).contains(&room_bytes), "{room_bytes}");
    assert_eq!(budget.complete(id).map(|body| body.len()), Ok(BYTES));
}

#[test]
fn unchanged_bytes() {
    let mut budget = budget();
    let id = budget.begin(START);
    let body: Vec<u8> = (0..50_000_u32).map(|number| number as u8).collect();
    for (part, length) in body.chunks(7_001).zip(1..) {
        budget.append(id, START + Duration::from_millis(length), part).expect("there is room");
    }
    assert_eq!(budget.complete(id), Ok(body));
}

/// The body that takes much room for long goes first, and only after it has stalled.
#[test]
fn costliest_first() {
    let mut budget = budget();
    let small = begin(&mut budget, START, 20_000);
    let large = begin(&mut budget, START, 60_000);
    let (later, newcomer) = (START + MAX_STALL, budget.begin(START));
    let just_before = later.saturating_sub(Duration::from_millis(1));
    assert_eq!(budget.reserve(newcomer, just_before, 50_000), Err(NoRoom::Full));
    assert_eq!(budget.reserve(newcomer, later, 50_000), Ok(()));
    assert!(budget.is_evicted(large) && !budget.is_evicted(small));
    assert_eq!(budget.append(large, later, b"x"), Err(NoRoom::Evicted));
    assert_eq!(budget.complete(large), Err(NoRoom::Evicted));
    budget.end(large);
    budget.end(small);
    assert_eq!(budget.held_bytes(), 50_000 - UNCOUNTED_BYTES);
}

/// Nobody is evicted for a body that wouldn't fit anyway.
#[test]
fn futile_eviction() {
    let mut budget = budget();
    let stalled = begin(&mut budget, START, 30_000);
    let later = START + MAX_STALL;
    let active = begin(&mut budget, later, 50_000);
    let newcomer = budget.begin(later);
    assert_eq!(budget.reserve(newcomer, later, 90_000), Err(NoRoom::Full));
    assert!(!budget.is_evicted(stalled) && !budget.is_evicted(active));
}

/// A body that arrives steadily keeps its room, and one that trickles doesn't.
#[test]
fn slow_and_trickling() {
    let mut budget = budget();
    let steady = begin(&mut budget, START, 50_000);
    let trickling = begin(&mut budget, START, 50_000);
    let mut now = START;
    for _ in 0..20 {
        now += Duration::from_millis(100);
        budget.append(steady, now, &[0; 2_000]).expect("there is room");
        budget.append(trickling, now, &[0; 64]).expect("there is room");
    }
    assert!(budget.evict_stalled(now));
    assert!(budget.is_evicted(trickling) && !budget.is_evicted(steady));
    assert!(!budget.evict_stalled(now));
}

/// What was received early doesn't count as progress later.
#[test]
fn stalled_before_end() {
    let mut budget = budget();
    let id = begin(&mut budget, START, 90_000);
    budget.append(id, START, &vec![0; 89_999]).expect("there is room");
    assert!(budget.evict_stalled(START + MAX_STALL));
}

/// A request whose body is complete isn't evicted while it is processed.
#[test]
fn complete_body() {
    let mut budget = budget();
    let id = begin(&mut budget, START, 90_000);
    budget.append(id, START, &vec![0; 90_000]).expect("there is room");
    budget.complete(id).expect("it wasn't evicted");
    let later = START + MAX_STALL * 10;
    assert!(!budget.evict_stalled(later));
    let newcomer = budget.begin(later);
    assert_eq!(budget.reserve(newcomer, later, 90_000), Err(NoRoom::Full));
}

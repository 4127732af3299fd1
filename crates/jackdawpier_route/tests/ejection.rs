//! Executors that fail, and the floor that keeps a zone in.

use std::time::Duration;

use jackdawpier_kernel::Now;
use jackdawpier_route::executors::{ExecutorInfo, Executors, Health};

fn zone_of(count: u32) -> Executors {
    let mut executors = Executors::default();
    for index in 0..count {
        executors.upsert(ExecutorInfo {
            id: format!("executor-{index}").into(),
            zone: "riga-1".into(),
            slots: 8,
            connections: 64,
            is_leaving: false,
        });
    }
    executors
}

fn usable(executors: &mut Executors) -> usize {
    let mut taken = Vec::new();
    while let Some(id) = executors.acquire_slot() {
        taken.push(id);
    }
    let mut distinct = taken.clone();
    distinct.sort();
    distinct.dedup();
    taken.iter().for_each(|id| executors.release_slot(id));
    distinct.len()
}

#[test]
fn zone_floor() {
    let mut executors = zone_of(6);
    for _ in 0..10 {
        for index in 0..6 {
            executors.observe(Now::ZERO, &format!("executor-{index}"), Health::Bad);
        }
    }
    assert_eq!(usable(&mut executors), 3, "half of the zone stays in");
}

#[test]
fn unreachable_out() {
    let mut executors = zone_of(2);
    executors.observe(Now::ZERO, "executor-0", Health::Unreachable);
    executors.observe(Now::ZERO, "executor-1", Health::Unreachable);
    assert_eq!(usable(&mut executors), 0, "what can't be connected to is left out at once");
    executors.tick(Duration::from_secs(1));
    assert_eq!(usable(&mut executors), 2, "each gets a probe after its backoff");
}

#[test]
fn probe_single() {
    let mut executors = zone_of(1);
    executors.observe(Now::ZERO, "executor-0", Health::Unreachable);
    executors.tick(Duration::from_secs(1));
    assert!(executors.acquire_slot().is_some());
    assert!(executors.acquire_slot().is_none(), "one probe at a time");
    executors.release_slot("executor-0");
    executors.observe(Duration::from_secs(1), "executor-0", Health::Good);
    assert!(executors.acquire_slot().is_some() && executors.acquire_slot().is_some());
}

#[test]
fn leaving_final() {
    let mut executors = zone_of(1);
    executors.mark_leaving("executor-0");
    let listed = ExecutorInfo {
        id: "executor-0".into(),
        zone: "riga-1".into(),
        slots: 8,
        connections: 64,
        is_leaving: false,
    };
    executors.upsert(listed);
    assert!(executors.acquire_slot().is_none(), "a lagging list doesn't bring it back");
}

//! Ejection of failing executors, and the minimum share of a zone that stays in use.

use std::time::Duration;

use jackdawpier_kernel::Now;
use jackdawpier_route::executors::{ExecutorInfo, Executors, Health};

fn zone_with(count: u32) -> Executors {
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

fn usable_count(executors: &mut Executors) -> usize {
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
fn zone_minimum_kept() {
    let mut executors = zone_with(6);
    for _ in 0..10 {
        for index in 0..6 {
            executors.observe(Now::ZERO, &format!("executor-{index}"), Health::Failing);
        }
    }
    assert_eq!(usable_count(&mut executors), 3, "half of the zone stays in use");
}

#[test]
fn unreachable_ejected() {
    let mut executors = zone_with(2);
    executors.observe(Now::ZERO, "executor-0", Health::Unreachable);
    executors.observe(Now::ZERO, "executor-1", Health::Unreachable);
    assert_eq!(usable_count(&mut executors), 0, "unreachable executors are ejected at once");
    executors.tick(Duration::from_secs(1));
    assert_eq!(usable_count(&mut executors), 2, "each executor gets a probe after its back-off");
}

#[test]
fn single_probe() {
    let mut executors = zone_with(1);
    executors.observe(Now::ZERO, "executor-0", Health::Unreachable);
    executors.tick(Duration::from_secs(1));
    assert!(executors.acquire_slot().is_some());
    assert!(executors.acquire_slot().is_none(), "one probe at a time");
    executors.release_slot("executor-0");
    executors.observe(Duration::from_secs(1), "executor-0", Health::Healthy);
    assert!(executors.acquire_slot().is_some() && executors.acquire_slot().is_some());
}

#[test]
fn leaving_is_final() {
    let mut executors = zone_with(1);
    executors.mark_leaving("executor-0");
    let listed = ExecutorInfo {
        id: "executor-0".into(),
        zone: "riga-1".into(),
        slots: 8,
        connections: 64,
        is_leaving: false,
    };
    executors.upsert(listed);
    assert!(executors.acquire_slot().is_none(), "a stale list doesn't reactivate it");
}

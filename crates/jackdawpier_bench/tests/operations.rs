//! Work of one decision at small and large sizes, counted in allocations and candidates, which
//! no machine changes.

use std::alloc::System;

use jackdawpier_bench::scale;
use jackdawpier_capacity::planner::{Ceilings, Planner};
use jackdawpier_route::dedupe::Dedupe;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const DECISIONS: u64 = 2_000;

/// Allocations of each decision. One test program, one thread: nothing else is counted.
fn allocations(mut act: impl FnMut(u64)) -> f64 {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    (0..DECISIONS).for_each(&mut act);
    region.change().allocations as f64 / DECISIONS as f64
}

fn route_allocations(executors: u32) -> f64 {
    let mut dispatcher = scale::dispatcher(executors);
    allocations(|ticket| scale::route_one(&mut dispatcher, ticket))
}

fn entry_allocations(entries: u32) -> f64 {
    let mut view = scale::view(entries);
    (0..4).for_each(|step| {
        scale::choose_entry(&mut view, step);
    });
    allocations(|step| {
        scale::choose_entry(&mut view, step as u32);
    })
}

fn lookup_allocations(keys: u64) -> f64 {
    let mut dedupe = Dedupe::new("entry".into(), std::time::Duration::from_secs(300));
    let key = |ix: u64| format!("k/export/key-{ix}").into();
    (0..keys).for_each(|ix| {
        dedupe.begin(&key(ix), 1, ix);
    });
    allocations(|ix| {
        dedupe.begin(&key(ix % keys), 2, 0);
    })
}

fn replan_candidates(instances: u32, pools: u32, zones: u32) -> f64 {
    let mut fleet = scale::fleet(instances, pools, zones);
    scale::plan_from_nothing(&mut fleet, &mut Planner::new(Ceilings::default()));
    let mut planner = Planner::new(Ceilings::default());
    for step in 0..200 {
        scale::replan_after_failure(&mut fleet, &mut planner, step);
    }
    planner.candidates_examined as f64 / 200.0
}

/// All in one test, so that no other thread allocates meanwhile.
#[test]
fn flat_decisions() {
    let (small, large) = (route_allocations(50), route_allocations(5_000));
    println!("route: {small:.2} allocations at 50 executors, {large:.2} at 5,000");
    assert!(large <= small * 1.25 + 1.0, "{large:.2} against {small:.2}");
    let (small, large) = (entry_allocations(8), entry_allocations(800));
    println!("choice of the entry: {small:.2} allocations at 8 entries, {large:.2} at 800");
    assert!(large <= small + 0.1, "{large:.2} against {small:.2}");
    let (small, large) = (lookup_allocations(1_000), lookup_allocations(100_000));
    println!("key look-up: {small:.2} allocations at 1,000 keys, {large:.2} at 100,000");
    assert!(large <= small + 1.0, "{large:.2} against {small:.2}");
    let (small, large) = (replan_candidates(500, 12, 12), replan_candidates(32_000, 115, 47));
    println!("re-plan: {small:.0} candidates at 500 instances, {large:.0} at 32,000");
    assert!(large <= 47.0 * 2.0 + 16.0, "bounded by the zones: {large:.0}");
    let (same_zones_small, same_zones_large) =
        (replan_candidates(500, 12, 12), replan_candidates(32_000, 12, 12));
    assert!(same_zones_large <= same_zones_small + 1.0, "does not grow with the fleet");
}

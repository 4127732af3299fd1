//! Placement and restarts of gangs.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{
    record::JobOutcome,
    spec::{JobSpec, Schedule, StepSpec},
};
use world::{World, job, step};

fn gang(count: u32, cores: u64, run_ms: u64) -> StepSpec {
    StepSpec { is_gang: true, ..step(count, cores, run_ms) }
}

#[test]
fn all_or_none() {
    let mut world = World::new(&["view"], 2);
    world.submit("busy", "q-view", job(vec![step(2, 6, 2_000)]));
    world.run_for(Duration::from_millis(300));
    world.submit("j", "q-view", job(vec![gang(6, 2, 500)]));
    world.run_for(Duration::from_millis(1_000));
    assert_eq!(world.runs_of("j"), 0, "four cores are free, and twelve are needed");
    let outcome = world.run_until_over("j", Duration::from_secs(4));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

#[test]
fn second_occurrence() {
    let mut world = World::new(&["view"], 2);
    let schedule = Schedule { first_ms: world.wall_ms() + 500, interval_ms: 2_000, repeats: 3 };
    let mut second = gang(3, 2, 300);
    second.after = vec![0];
    let steps = vec![gang(4, 2, 300), second];
    let spec = JobSpec { schedule: Some(schedule), ..job(steps) };
    world.submit("j", "q-view", spec);
    let outcome = world.run_until_over("j", Duration::from_secs(10));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

#[test]
fn lost_member() {
    let mut world = World::new(&["view"], 3);
    world.submit("j", "q-view", job(vec![gang(6, 3, 2_000)]));
    world.run_for(Duration::from_millis(500));
    world.crash("m-view-0", Some(Duration::from_secs(2)));
    let outcome = world.run_until_over("j", Duration::from_secs(12));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// The gang never fits on the rack of its data: once the job is late, it is placed elsewhere.
#[test]
fn gang_off_data_rack() {
    let mut world = World::new(&["view"], 6);
    let near = StepSpec { data_rack: Some("rack-0".into()), ..gang(6, 4, 300) };
    world.submit("j", "q-view", job(vec![near]));
    let outcome = world.run_until_over("j", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

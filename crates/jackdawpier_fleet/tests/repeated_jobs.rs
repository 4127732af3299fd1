//! Jobs with a schedule.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{
    record::JobOutcome,
    spec::{JobSpec, Schedule},
};
use world::{World, job, step};

fn repeated(world: &World, in_ms: u64, interval_ms: u64, repeats: u32) -> JobSpec {
    let schedule = Schedule { first_ms: world.wall_ms() + in_ms, interval_ms, repeats };
    JobSpec { schedule: Some(schedule), ..job(vec![step(2, 4, 300)]) }
}

#[test]
fn due_times() {
    let mut world = World::new(&["view"], 2);
    let spec = repeated(&world, 1_000, 1_000, 3);
    world.submit("j", "q-view", spec);
    world.run_for(Duration::from_millis(900));
    assert_eq!(world.runs_of("j"), 0);
    world.run_for(Duration::from_millis(200));
    assert_eq!(world.runs_of("j"), 2);
    let outcome = world.run_until_over("j", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// An occurrence is ranked by its own due time, not by the earlier acceptance of its job.
#[test]
fn late_occurrence() {
    let mut world = World::new(&["view"], 1);
    let spec = repeated(&world, 0, 6_000, 2);
    world.submit("repeated", "q-view", spec);
    world.run_for(Duration::from_millis(5_700));
    for number in 0..6 {
        world.submit(&format!("j{number}"), "q-view", job(vec![step(2, 4, 1_000)]));
    }
    let outcome = world.run_until_over("repeated", Duration::from_millis(3_500));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

//! Jobs that need much room at once get executors reserved though smaller tasks fill every gap.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{record::JobOutcome, spec::StepSpec};
use world::{World, job, step};

/// Returns a step of two small tasks. The run time depends on `number`, so that steps don't end simultaneously.
fn small_step(number: u64) -> StepSpec {
    step(2, 2, 400 + 130 * (number % 7))
}

/// Submits a small job every 100 ms, more than the pool can run, until `id` is over.
fn run_under_load(world: &mut World, id: &str) -> Option<JobOutcome> {
    for number in 0..120 {
        world.submit(&format!("small-{number}"), "q-view", job(vec![small_step(number)]));
        let outcome = world.run_until_over(id, Duration::from_millis(100));
        if outcome.is_some() {
            return outcome;
        }
    }
    None
}

/// A gang that fills two machines waits behind small tasks.
#[test]
fn large_gang() {
    let mut world = World::new(&["view"], 2);
    for number in 0..8 {
        world.submit(&format!("early-{number}"), "q-view", job(vec![small_step(number)]));
    }
    world.run_for(Duration::from_millis(300));
    let gang = StepSpec { is_gang: true, ..step(4, 4, 500) };
    world.submit("gang", "q-view", job(vec![gang]));
    assert_eq!(run_under_load(&mut world, "gang"), Some(JobOutcome::Completed));
}

/// A task that fills a machine waits behind tasks that need a quarter of one.
#[test]
fn large_task() {
    let mut world = World::new(&["view"], 2);
    for number in 0..8 {
        world.submit(&format!("early-{number}"), "q-view", job(vec![small_step(number)]));
    }
    world.run_for(Duration::from_millis(300));
    world.submit("large", "q-view", job(vec![step(1, 8, 500)]));
    assert_eq!(run_under_load(&mut world, "large"), Some(JobOutcome::Completed));
}

/// A gang that never fits beside long-running tasks doesn't block other jobs.
#[test]
fn unplaceable_gang() {
    let mut world = World::new(&["view"], 2);
    let long_running = StepSpec { is_long_running: true, max_per_executor: 1, ..step(2, 3, 0) };
    world.submit("lasts", "q-view", job(vec![long_running]));
    let gang = StepSpec { is_gang: true, ..step(3, 4, 500) };
    world.submit("gang", "q-view", job(vec![gang]));
    world.run_for(Duration::from_secs(7));
    world.submit("j", "q-view", job(vec![step(2, 2, 500)]));
    let outcome = world.run_until_over("j", Duration::from_secs(2));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// A task on the reserved executor never ends: the reservation expires, and other jobs use the executor again.
#[test]
fn reservation_expires() {
    let mut world = World::new(&["view"], 1);
    world.submit("endless", "q-view", job(vec![step(1, 2, 600_000)]));
    world.run_for(Duration::from_secs(1));
    world.submit("large", "q-view", job(vec![step(1, 8, 500)]));
    world.run_for(Duration::from_secs(7));
    world.submit("j", "q-view", job(vec![step(1, 2, 500)]));
    let outcome = world.run_until_over("j", Duration::from_secs(8));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

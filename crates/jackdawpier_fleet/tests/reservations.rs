//! Work that needs much room at one moment gets it though smaller work fills every gap.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{record::JobOutcome, spec::StepSpec};
use world::{World, job, step};

/// Two small tasks; their run times differ, so that they don't end at the same moment.
fn small(number: u64) -> StepSpec {
    step(2, 2, 400 + 130 * (number % 7))
}

/// Hands in a small job every 100 ms, more than the pool can run, while `id` is awaited.
fn run_under_load(world: &mut World, id: &str) -> Option<JobOutcome> {
    for number in 0..120 {
        world.submit(&format!("small-{number}"), "q-view", job(vec![small(number)]));
        let outcome = world.run_until_over(id, Duration::from_millis(100));
        if outcome.is_some() {
            return outcome;
        }
    }
    None
}

/// A gang of four members that fill two machines waits behind single tasks that fill gaps.
#[test]
fn large_gang() {
    let mut world = World::new(&["view"], 2);
    for number in 0..8 {
        world.submit(&format!("early-{number}"), "q-view", job(vec![small(number)]));
    }
    world.run_for(Duration::from_millis(300));
    let gang = StepSpec { is_gang: true, ..step(4, 4, 500) };
    world.submit("gang", "q-view", job(vec![gang]));
    assert_eq!(run_under_load(&mut world, "gang"), Some(JobOutcome::Completed));
}

/// One task that fills a machine waits behind tasks that fill a quarter.
#[test]
fn large_task() {
    let mut world = World::new(&["view"], 2);
    for number in 0..8 {
        world.submit(&format!("early-{number}"), "q-view", job(vec![small(number)]));
    }
    world.run_for(Duration::from_millis(300));
    world.submit("large", "q-view", job(vec![step(1, 8, 500)]));
    assert_eq!(run_under_load(&mut world, "large"), Some(JobOutcome::Completed));
}

/// A gang for which there is never room, since lasting work takes some, holds nobody else up.
#[test]
fn hopeless_gang() {
    let mut world = World::new(&["view"], 2);
    let lasting = StepSpec { is_long_running: true, max_per_executor: 1, ..step(2, 3, 0) };
    world.submit("lasts", "q-view", job(vec![lasting]));
    let gang = StepSpec { is_gang: true, ..step(3, 4, 500) };
    world.submit("gang", "q-view", job(vec![gang]));
    world.run_for(Duration::from_secs(7));
    world.submit("j", "q-view", job(vec![step(2, 2, 500)]));
    let outcome = world.run_until_over("j", Duration::from_secs(2));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// What runs on the executors that are held never ends: others get them back after a while.
#[test]
fn endless_task() {
    let mut world = World::new(&["view"], 1);
    world.submit("endless", "q-view", job(vec![step(1, 2, 600_000)]));
    world.run_for(Duration::from_secs(1));
    world.submit("large", "q-view", job(vec![step(1, 8, 500)]));
    world.run_for(Duration::from_secs(7));
    world.submit("j", "q-view", job(vec![step(1, 2, 500)]));
    let outcome = world.run_until_over("j", Duration::from_secs(8));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

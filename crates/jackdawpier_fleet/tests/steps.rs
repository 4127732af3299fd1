//! The steps of a job run in order, and each task once.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{fleet::JobView, record::JobOutcome};
use world::{World, job, step};

#[test]
fn one_job() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(4, 2, 500)]));
    let outcome = world.run_until_over("j", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

#[test]
fn second_step() {
    let mut world = World::new(&["view"], 2);
    let mut second = step(3, 1, 400);
    second.after = vec![0];
    world.submit("j", "q-view", job(vec![step(4, 2, 500), second]));
    let outcome = world.run_until_over("j", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

#[test]
fn cancelled_job() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(4, 2, 60_000)]));
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.runs_of("j"), 4);
    world.cancel("j");
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.runs_of("j"), 0);
    assert_eq!(world.fleet.view("j"), Some(JobView::Over(JobOutcome::Cancelled)));
}

#[test]
fn failing_job() {
    let mut world = World::new(&["view"], 2);
    world.executors.values_mut().for_each(|executor| executor.fails_all = true);
    world.submit("j", "q-view", job(vec![step(1, 2, 100)]));
    let outcome = world.run_until_over("j", Duration::from_secs(20));
    assert_eq!(outcome, Some(JobOutcome::Failed));
}

//! Each failed run counts once against its job, however often and to however many owners it is reported.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{fleet::Command, record::JobOutcome};
use world::{STEP, World, job, step};

fn starts(world: &World) -> usize {
    let is_start = |command: &Command| matches!(command, Command::Start { .. });
    world.commands.iter().filter(|(_, command)| is_start(command)).count()
}

fn failing_world() -> World {
    let mut world = World::new(&["view"], 2);
    world.executors.values_mut().for_each(|executor| executor.fails_all = true);
    world.submit("j", "q-view", job(vec![step(1, 6, 300)]));
    world
}

#[test]
fn three_attempts() {
    let mut world = failing_world();
    let outcome = world.run_until_over("j", Duration::from_secs(10));
    assert_eq!(outcome, Some(JobOutcome::Failed));
    assert_eq!(starts(&world), 3);
}

/// Guards against counting a failure twice: the first owner persisted it, but the acknowledgement was lost, so
/// that the executor reports it again to the next owner.
#[test]
fn failure_reported_twice() {
    let mut world = failing_world();
    while !world.executors.values().any(world::executor::FakeExecutor::has_ends) {
        world.run_for(STEP);
    }
    let reported = world.executors.iter().find(|(_, one)| one.has_ends());
    world.drops_answers_of = reported.map(|(id, _)| id.clone());
    world.run_for(Duration::from_millis(150));
    world.take_over();
    world.drops_answers_of = None;
    let outcome = world.run_until_over("j", Duration::from_secs(10));
    assert_eq!(outcome, Some(JobOutcome::Failed));
    assert_eq!(starts(&world), 3);
}

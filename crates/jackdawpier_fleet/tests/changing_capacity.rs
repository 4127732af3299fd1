//! The capacity of an executor may shrink and grow while it runs. Unguarded executors accept every
//! start, and the world checks that none exceeds their capacity.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{record::JobOutcome, spec::Resources};
use world::{World, job, step};

fn room(cores: u64) -> Resources {
    Resources { cpu_millicores: cores * 1000, memory_mb: 64_000, gpus: 0 }
}

fn resize(world: &mut World, machine: &str, cores: u64) {
    let id = world.executor_of(machine);
    world.executors.get_mut(&id).expect("the executor runs").resize(room(cores));
}

fn unguarded_world(executors: usize) -> World {
    let mut world = World::new(&["view"], executors);
    world.executors.values_mut().for_each(|executor| executor.accepts_overload = true);
    world
}

/// Running tasks continue on an executor that shrinks, and no more are started there until they
/// have ended.
#[test]
fn shrunk_capacity() {
    let mut world = unguarded_world(2);
    for round in 0..30 {
        world.submit(&format!("j-{round}"), "q-view", job(vec![step(5, 2, 700)]));
        world.run_for(Duration::from_millis(300));
        match round {
            5 => resize(&mut world, "m-view-0", 3),
            15 => resize(&mut world, "m-view-1", 0),
            22 => resize(&mut world, "m-view-1", 8),
            _ => {}
        }
    }
    for round in 0..30 {
        let outcome = world.run_until_over(&format!("j-{round}"), Duration::from_secs(60));
        assert_eq!(outcome, Some(JobOutcome::Completed));
    }
}

/// Restored capacity is used within a second.
#[test]
fn grown_capacity() {
    let mut world = unguarded_world(1);
    resize(&mut world, "m-view-0", 2);
    world.run_for(Duration::from_secs(1));
    world.submit("j", "q-view", job(vec![step(1, 6, 300)]));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.runs_of("j"), 0);
    resize(&mut world, "m-view-0", 8);
    let outcome = world.run_until_over("j", Duration::from_millis(1300));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// The capacity shrinks below the members of a running gang.
#[test]
fn shrunk_under_gang() {
    let mut world = unguarded_world(3);
    let mut gang = step(6, 4, 2_000);
    gang.is_gang = true;
    world.submit("gang", "q-view", job(vec![gang]));
    world.run_for(Duration::from_millis(800));
    resize(&mut world, "m-view-0", 4);
    world.submit("small", "q-view", job(vec![step(4, 4, 500)]));
    for id in ["gang", "small"] {
        let outcome = world.run_until_over(id, Duration::from_secs(30));
        assert_eq!(outcome, Some(JobOutcome::Completed));
    }
}

//! Checks how the simulated world counts a crash at the moment a run ends: it counts against the task
//! only if the end can't have been reported to the owner before.

mod world;

use std::time::Duration;

use world::{STEP, World, job, step};

/// Returns a world in which a run ends in the same step in which its executor crashes.
fn crash_at_end(is_reported: bool) -> World {
    let mut world = World::new(&["view"], 1);
    world.submit("j", "q-view", job(vec![step(1, 1, 500)]));
    world.run_until_started("j");
    if !is_reported {
        world.drops_answers_of = Some(world.executor_of("m-view-0"));
    }
    while world.runs_of("j") > 0 {
        world.run_for(STEP);
    }
    world.crash("m-view-0", Some(Duration::from_secs(2)));
    world
}

/// A crash after a reported end must not count against the task.
#[test]
fn reported_end() {
    assert_eq!(crash_at_end(true).crashes.max_crashes_of("j"), 0);
}

/// A crash after an unreported end counts: the owner can't tell it from a crash during the run.
#[test]
fn unreported_end() {
    assert_eq!(crash_at_end(false).crashes.max_crashes_of("j"), 1);
}

//! Which crashes the model counts under a task whose run ended in the moment of the crash: those of which the owner can't have
//! heard that it had ended before.

mod world;

use std::time::Duration;

use world::{STEP, World, job, step};

/// A run ends in the step in which its executor crashes.
fn end_and_crash(is_heard: bool) -> World {
    let mut world = World::new(&["view"], 1);
    world.submit("j", "q-view", job(vec![step(1, 1, 500)]));
    world.run_until_started("j");
    if !is_heard {
        world.drops_answers_of = Some(world.executor_of("m-view-0"));
    }
    while world.runs_of("j") > 0 {
        world.run_for(STEP);
    }
    world.crash("m-view-0", Some(Duration::from_secs(2)));
    world
}

/// An end that the owner had been told of counted as a crash under the task.
#[test]
fn heard_end() {
    assert_eq!(end_and_crash(true).crashes.most_under("j"), 0);
}

/// What the owner can't tell from a crash under the task still counts.
#[test]
fn unheard_end() {
    assert_eq!(end_and_crash(false).crashes.most_under("j"), 1);
}

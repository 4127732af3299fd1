//! Filler tasks are slowed at once where they interfere with serving tasks, and restored slowly.

mod world;

use std::time::Duration;

use jackdawpier_fleet::spec::{StepSpec, TaskKey};
use world::{Delivery, World, job, step};

fn long_running() -> StepSpec {
    StepSpec { is_long_running: true, ..step(1, 2, 0) }
}

fn filler() -> TaskKey {
    TaskKey { job: "filler".into(), occurrence: 0, step: 0, index: 0 }
}

/// Returns a world with one executor that runs a serving and a filler task.
fn shared_executor() -> World {
    let mut world = World::new(&["view"], 1);
    let serving = StepSpec { tail_target: Some(Duration::from_millis(100)), ..long_running() };
    world.submit("serving", "q-view", job(vec![serving]));
    world.submit("filler", "q-view", job(vec![StepSpec { is_filler: true, ..long_running() }]));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.runs_of("filler"), 1);
    world
}

fn set_tail(world: &mut World, tail_ms: u64) {
    world.executors.values_mut().for_each(|executor| executor.tail_ms = tail_ms);
}

fn pace(world: &World) -> u32 {
    world.executors.values().next().expect("there is one").pace_of(&filler())
}

#[test]
fn cut_and_restore() {
    let mut world = shared_executor();
    set_tail(&mut world, 120);
    world.run_for(Duration::from_millis(500));
    assert_eq!(pace(&world), 0);
    set_tail(&mut world, 20);
    world.run_for(Duration::from_millis(700));
    assert!((10..=50).contains(&pace(&world)), "{}", pace(&world));
    world.run_for(Duration::from_secs(5));
    assert_eq!(pace(&world), 100);
}

#[test]
fn lost_order() {
    let mut world = shared_executor();
    world.delivery = Box::new(|_| Delivery::Late(Duration::from_secs(600)));
    set_tail(&mut world, 120);
    world.run_for(Duration::from_millis(300));
    world.delivery = Box::new(|_| Delivery::Answered);
    world.run_for(Duration::from_millis(500));
    assert_eq!(pace(&world), 0, "the order is repeated");
}

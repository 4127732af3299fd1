//! Gangs that need a little more room than there is.

mod world;

use std::time::Duration;

use jackdawpier_fleet::spec::{Resources, StepSpec};
use world::{World, job, step};

const EXECUTORS: usize = 60;
const MEMBERS: u32 = 2_000;
const GANGS: u64 = 12;

/// A gang that needs this part of the service.
fn gang(world: &World, percent: u64) -> StepSpec {
    let infos = world.fleet.executors().filter_map(|(_, info)| info);
    let millicores: u64 = infos.map(|info| info.capacity.cpu_millicores).sum();
    let cpu_millicores = millicores * percent / 100 / u64::from(MEMBERS);
    StepSpec {
        need: Resources { cpu_millicores, memory_mb: 0, gpus: 0 },
        is_gang: true,
        ..step(MEMBERS, 0, 1_000)
    }
}

/// Guards against ticks that last longer than the owner's lease because each gang that finds no room is placed member by
/// member and given up again.
#[test]
fn compared_once() {
    let mut world = World::new(&["view"], EXECUTORS);
    world.run_for(Duration::from_millis(200));
    let hopeless = gang(&world, 103);
    for number in 0..GANGS {
        world.submit(&format!("gang-{number}"), "q-view", job(vec![hopeless.clone()]));
    }
    let before = world.fleet.executors_compared();
    world.run_for(Duration::from_millis(500));
    let ticks = 500 / world::STEP.as_millis() as u64;
    let compared = world.fleet.executors_compared() - before;
    let per_gang_and_tick = compared / ticks / GANGS;
    assert!(per_gang_and_tick <= 2 * EXECUTORS as u64, "{per_gang_and_tick} comparisons");
}

/// Guards against a long tick for a gang that finds room: each member doesn't need its own search.
#[test]
fn placed_by_executor() {
    let mut world = World::new(&["view"], EXECUTORS);
    world.run_for(Duration::from_millis(200));
    let before = world.fleet.executors_compared();
    let gang = gang(&world, 60);
    world.submit("gang", "q-view", job(vec![gang]));
    world.run_for(Duration::from_millis(200));
    assert_eq!(world.runs_of("gang"), MEMBERS as usize, "all members run");
    let compared = world.fleet.executors_compared() - before;
    let max_compared = (2 * EXECUTORS * EXECUTORS) as u64;
    assert!(compared <= max_compared, "{compared} comparisons");
}

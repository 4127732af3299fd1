//! Cost of placement while hundreds of jobs wait for a full pool.

mod world;

use std::time::Duration;

use world::{World, job, step};

const JOBS: u64 = 200;
const EXECUTORS: u64 = 20;

/// In one tick with 200 jobs for 20 executors, each executor is compared once per placed task and a
/// few times without success.
#[test]
fn burst_cost() {
    let mut world = World::new(&["pool"], EXECUTORS as usize);
    let before = world.fleet.executors_compared();
    for number in 0..JOBS {
        let cores = 2 + number % 3;
        let spec = job(vec![step(8, cores, 2000), step(4, cores, 2000)]);
        world.submit(&format!("job-{number}"), "q-pool", spec);
    }
    let (now, wall_ms) = (world.now, world.wall_ms());
    world.fleet.tick(now, wall_ms);
    let placed = EXECUTORS * 4;
    let tried = world.fleet.executors_compared() - before;
    assert!(tried <= (placed + 8) * EXECUTORS, "{tried} executors compared");
}

/// Needs that fitted no executor are tried again once room is free.
#[test]
fn retried_needs() {
    let mut world = World::new(&["pool"], 2);
    for number in 0..6 {
        world.submit(&format!("job-{number}"), "q-pool", job(vec![step(4, 4, 300)]));
    }
    world.submit("small", "q-pool", job(vec![step(1, 1, 300)]));
    world.run_for(Duration::from_secs(6));
    for id in (0..6).map(|number| format!("job-{number}")).chain(["small".to_owned()]) {
        assert!(world.run_until_over(&id, Duration::from_millis(10)).is_some(), "{id} waits");
    }
}

//! Cost of planning a wave of which many machines wait.

mod world;

use std::{sync::Arc, time::Duration};

use jackdawpier_fleet::machines::Wave;
use world::World;

const MACHINES: usize = 60;

/// A new owner finds the maximum number of machines away and has chosen as many others. For each of
/// these all machines of the wave were counted again, ten times a second, which left no time to
/// renew the ownership.
#[test]
fn after_takeover() {
    let mut world = World::new(&["view"], MACHINES);
    world.run_for(Duration::from_secs(4));
    let machines: Vec<Arc<str>> = world.machines.keys().cloned().collect();
    let within = Duration::from_secs(60);
    world.waves.push(Wave { number: 1, machines, within, max_away: MACHINES / 2 });
    world.run_for(Duration::from_millis(500));
    assert_eq!(world.machine_orders.len(), MACHINES / 2);
    world.take_over();
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.machine_orders.len(), MACHINES / 2, "the maximum number is away");
    let counted = world.fleet.wave_machines_counted();
    let plans = 11;
    assert!(counted <= plans * MACHINES as u64, "{counted} machines counted");
}

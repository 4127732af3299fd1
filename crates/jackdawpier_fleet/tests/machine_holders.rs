//! Owners that follow each other don't order the same machine by turns, and lose no time.

mod world;

use std::time::Duration;

use jackdawpier_fleet::fleet::Command;
use world::{STEP, World, job, step};

/// A pool that asks for more machines than it has, beside one with idle machines; runs until the
/// owner has ordered the first.
fn moving_world() -> World {
    let mut world = World::new(&["view", "spare"], 6);
    world.machine_order_delay = Duration::from_millis(500);
    for number in 0..20 {
        world.submit(&format!("j-{number}"), "q-view", job(vec![step(4, 4, 3_000)]));
    }
    for _ in 0..1000 {
        if orders(&world, world.now).next().is_some() {
            return world;
        }
        world.run_for(STEP);
    }
    panic!("no machine is ordered");
}

/// Machines that were ordered since `since`.
fn orders(world: &World, since: Duration) -> impl Iterator<Item = &str> {
    world.commands.iter().filter(move |(at, _)| *at >= since).filter_map(|(_, command)| {
        let Command::Machine(order) = command else { return None };
        Some(&*order.machine)
    })
}

/// The next owner leaves alone what its predecessor has just ordered (the world checks that), and
/// orders other machines at once.
#[test]
fn next_owner() {
    let mut world = moving_world();
    let before: Vec<String> = orders(&world, Duration::ZERO).map(str::to_owned).collect();
    world.take_over();
    let taken_at = world.now + STEP;
    for number in 0..20 {
        world.submit(&format!("k-{number}"), "q-view", job(vec![step(4, 4, 3_000)]));
    }
    world.run_for(Duration::from_millis(1500));
    let after: Vec<String> = orders(&world, taken_at).map(str::to_owned).collect();
    assert!(!after.is_empty(), "it waits though {before:?} alone were ordered");
    assert!(after.iter().all(|machine| !before.contains(machine)));
    world.run_for(Duration::from_secs(6));
}

/// Without the note nothing is known of the predecessor's orders, so all machines wait.
#[test]
fn lost_note() {
    let mut world = moving_world();
    world.order_note_lost = true;
    world.take_over();
    let taken_at = world.now + STEP;
    world.run_for(Duration::from_millis(3400));
    assert_eq!(orders(&world, taken_at).count(), 0);
}

//! A new owner doesn't order machines that its predecessor ordered recently, and orders others without delay.

mod world;

use std::time::Duration;

use jackdawpier_fleet::fleet::Command;
use world::{STEP, World, job, step};

/// Returns a world with a pool that needs more machines and one with idle machines, after the first machine
/// order.
fn moving_world() -> World {
    let mut world = World::new(&["view", "spare"], 6);
    world.machine_order_delay = Duration::from_millis(500);
    for number in 0..20 {
        world.submit(&format!("j-{number}"), "q-view", job(vec![step(4, 4, 3_000)]));
    }
    for _ in 0..1000 {
        if orders_since(&world, world.now).next().is_some() {
            return world;
        }
        world.run_for(STEP);
    }
    panic!("no machine is ordered");
}

/// Returns the machines that were ordered since `since`.
fn orders_since(world: &World, since: Duration) -> impl Iterator<Item = &str> {
    world.commands.iter().filter(move |(at, _)| *at >= since).filter_map(|(_, command)| {
        let Command::Machine(order) = command else { return None };
        Some(&*order.machine)
    })
}

/// The next owner doesn't order the machines that its predecessor has just ordered (checked by the world), and
/// orders other machines at once.
#[test]
fn next_owner() {
    let mut world = moving_world();
    let previous_orders: Vec<String> =
        orders_since(&world, Duration::ZERO).map(str::to_owned).collect();
    world.take_over();
    let takeover_at = world.now + STEP;
    for number in 0..20 {
        world.submit(&format!("k-{number}"), "q-view", job(vec![step(4, 4, 3_000)]));
    }
    world.run_for(Duration::from_millis(1500));
    let new_orders: Vec<String> = orders_since(&world, takeover_at).map(str::to_owned).collect();
    assert!(!new_orders.is_empty(), "it waits though only {previous_orders:?} were ordered");
    assert!(new_orders.iter().all(|machine| !previous_orders.contains(machine)));
    world.run_for(Duration::from_secs(6));
}

/// Without the note the predecessor's orders are unknown, so no machine is ordered for a while.
#[test]
fn order_note_lost() {
    let mut world = moving_world();
    world.order_note_lost = true;
    world.take_over();
    let takeover_at = world.now + STEP;
    world.run_for(Duration::from_millis(3400));
    assert_eq!(orders_since(&world, takeover_at).count(), 0);
}

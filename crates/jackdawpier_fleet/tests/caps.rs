//! The usage of an account, including everything that may be running, stays within its cap.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{fleet::JobView, spec::StepSpec};
use world::{Delivery, World, accounts::cores, job, step};

/// Returns a world with a pool of 32 cores and an account that may use half of it.
fn capped_world() -> World {
    let mut world = World::new(&["view"], 4);
    world.set_cap("shop", cores(16));
    world
}

fn submit(world: &mut World, id: &str, account: &str, steps: Vec<StepSpec>) {
    world.accounts.assign_job(id, account);
    world.submit(id, "q-view", job(steps));
}

#[test]
fn half_the_pool() {
    let mut world = capped_world();
    submit(&mut world, "large", "shop", vec![step(40, 2, 500)]);
    submit(&mut world, "other", "cafe", vec![step(8, 2, 500)]);
    world.run_for(Duration::from_millis(300));
    assert_eq!(world.used_by("shop").cpu_millicores, 16_000);
    assert_eq!(world.used_by("cafe").cpu_millicores, 16_000);
    let waits = world.fleet.longest_waiting_tasks(world.now, Duration::ZERO, 5);
    assert!(waits.iter().all(|wait| wait.is_capped), "{waits:?}");
    for id in ["large", "other"] {
        assert!(world.run_until_over(id, Duration::from_secs(6)).is_some(), "{id} ends");
    }
}

/// A task that exceeds its account's cap by itself runs alone; it could never run otherwise.
#[test]
fn larger_than_cap() {
    let mut world = World::new(&["view"], 2);
    world.set_cap("shop", cores(2));
    submit(&mut world, "j", "shop", vec![step(3, 4, 300)]);
    for _ in 0..100 {
        world.run_for(world::STEP);
        assert!(world.used_by("shop").cpu_millicores <= 4_000);
    }
    assert!(world.run_until_over("j", Duration::from_secs(3)).is_some());
}

/// A gang counts as a whole: it doesn't start until all of its tasks fit within the cap.
#[test]
fn whole_gang() {
    let mut world = capped_world();
    submit(&mut world, "small", "shop", vec![step(2, 4, 1_000)]);
    world.run_for(Duration::from_millis(200));
    let gang = StepSpec { is_gang: true, ..step(3, 4, 300) };
    submit(&mut world, "gang", "shop", vec![gang]);
    world.run_for(Duration::from_millis(500));
    assert_eq!(world.runs_of("gang"), 0);
    assert!(world.run_until_over("gang", Duration::from_secs(3)).is_some());
}

/// A cap that is lowered below the current usage stops no tasks and prevents new starts.
#[test]
fn lowered_cap() {
    let mut world = capped_world();
    submit(&mut world, "j", "shop", vec![step(24, 2, 2_000)]);
    world.run_for(Duration::from_millis(300));
    world.set_cap("shop", cores(4));
    world.run_for(Duration::from_millis(500));
    assert_eq!(world.runs_of("j"), 8, "running tasks continue");
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.runs_of("j"), 2);
}

/// Placements of the previous owner count before their executors report to the new one.
#[test]
fn new_owner() {
    let mut world = capped_world();
    submit(&mut world, "j", "shop", vec![step(24, 2, 2_000)]);
    world.run_for(Duration::from_millis(300));
    world.take_over();
    for _ in 0..150 {
        world.run_for(world::STEP);
        assert!(world.used_by("shop").cpu_millicores <= 16_000);
    }
}

/// Guards against exceeding a cap when the owner is lost after the end of a cancelled job became durable and
/// before any stop order arrived: the next owner knows of its tasks only from the record.
#[test]
fn cancelled_before_takeover() {
    let mut world = capped_world();
    submit(&mut world, "first", "shop", vec![step(8, 2, 60_000)]);
    world.run_for(Duration::from_millis(300));
    world.delivery = Box::new(|_| Delivery::Late(Duration::from_secs(60)));
    world.cancel("first");
    world.run_for(Duration::from_millis(30));
    assert!(matches!(world.fleet.view("first"), Some(JobView::Over(_))), "its end is durable");
    let executors: Vec<_> = world.executors.keys().cloned().collect();
    for id in &executors[..2] {
        world.executors.get_mut(id).expect("the executor exists").set_cut(true);
    }
    world.delivery = Box::new(|_| Delivery::Answered);
    world.take_over();
    submit(&mut world, "second", "shop", vec![step(8, 2, 500)]);
    world.run_for(Duration::from_secs(12));
    assert!(world.run_until_over("second", Duration::from_secs(5)).is_some());
}

/// The task of an unanswered order counts until the order can't be executed any more.
#[test]
fn unanswered_orders() {
    let mut world = capped_world();
    world.delivery = Box::new(|number| match number % 3 {
        0 => Delivery::Late(Duration::from_millis(2_500)),
        _ => Delivery::Answered,
    });
    submit(&mut world, "j", "shop", vec![step(40, 2, 400)]);
    world.run_for(Duration::from_secs(12));
    world.delivery = Box::new(|_| Delivery::Answered);
    assert!(world.run_until_over("j", Duration::from_secs(20)).is_some());
}

/// No machines are ordered for tasks that a cap keeps from running.
#[test]
fn capped_demand() {
    let mut world = World::new(&["view", "report"], 4);
    world.set_cap("shop", cores(8));
    // From here on machines may be ordered.
    world.run_for(Duration::from_secs(4));
    submit(&mut world, "j", "shop", vec![step(200, 2, 500)]);
    world.run_for(Duration::from_secs(2));
    assert!(world.machine_orders.is_empty(), "{:?}", world.machine_orders);
}

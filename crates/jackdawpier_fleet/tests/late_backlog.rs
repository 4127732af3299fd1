//! One pool has a late backlog worth many times its machines while others get on-time work.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{
    fleet::{Fleet, FleetSettings, JobView},
    machines::MachineWork,
    policy::Policy,
    spec::JobSpec,
};
use world::{World, job, settings, step};

fn moves_to(world: &World, pool: &str) -> usize {
    let to = MachineWork::Move(pool.into());
    world.machine_orders.iter().filter(|(_, order)| order.work == to).count()
}

/// Submits a job that was accepted some time ago.
fn submit_old(world: &mut World, id: &str, queue: &str, age: Duration, spec: JobSpec) {
    world.store_job(id, queue, spec);
    let submission = world.submissions.get_mut(id).expect("it was just stored");
    submission.accepted_ms -= age.as_millis() as u64;
    let submission = submission.clone();
    let (now, wall_ms) = (world.now, world.wall_ms());
    world.fleet.add_job(now, now.saturating_sub(age), wall_ms, id.into(), submission);
}

/// Submits jobs that can't be on time any more, but still have some value.
fn submit_late(world: &mut World, queue: &str, jobs: usize) {
    for number in 0..jobs {
        let id = format!("late-{number}");
        submit_old(world, &id, queue, Duration::from_secs(3), job(vec![step(4, 4, 1_000)]));
    }
}

/// The larger shortage of the late backlog took the idle machines that on-time work needed.
#[test]
fn idle_machines() {
    let mut world = World::new(&["late", "idle", "fresh"], 4);
    world.run_for(Duration::from_secs(4));
    submit_late(&mut world, "q-late", 60);
    for number in 0..4 {
        world.submit(&format!("fresh-{number}"), "q-fresh", job(vec![step(4, 4, 1_000)]));
    }
    world.run_for(Duration::from_millis(300));
    assert_eq!((moves_to(&world, "late"), moves_to(&world, "fresh")), (0, 2));
}

const FRESH: [&str; 3] = ["a", "b", "c"];
const SMALL: usize = 7;
const LARGE: usize = 48;

/// A fifth of a fleet in which one pool holds 239 of 350 machines and the three others 37 each.
fn uneven() -> World {
    let mut world = World::new(&["late", "a", "b", "c"], SMALL);
    for number in SMALL..LARGE {
        world.add_machine(&format!("m-late-{number}").into(), "late", "rack");
    }
    world.run_for(Duration::from_secs(4));
    world
}

/// Runs with new on-time jobs in the three small pools, each worth `machines`.
fn run_with_fresh_work(world: &mut World, time: Duration, machines: usize) {
    let until = world.now + time;
    let interval = Duration::from_millis(1_000 / machines as u64);
    while world.now < until {
        for pool in FRESH {
            let id = format!("{pool}-{}", world.now.as_millis());
            world.submit(&id, &format!("q-{pool}"), job(vec![step(8, 1, 1_000)]));
        }
        world.run_for(interval);
    }
}

/// Returns the number of machines that are up in a pool.
fn up_in(world: &World, pool: &str) -> usize {
    let machines = world.machines.values().filter(|machine| &*machine.pool == pool);
    machines.filter(|machine| machine.back_at.is_none()).count()
}

fn backlog(world: &mut World) {
    for number in 0..10 * LARGE {
        let id = format!("late-{number}");
        submit_old(world, &id, "q-late", Duration::from_secs(3), job(vec![step(8, 1, 1_000)]));
    }
    world.run_for(Duration::from_millis(300));
}

/// The late backlog held its machines until it was done, while the others had half of what their
/// on-time work needed.
#[test]
fn on_time_work() {
    let mut world = uneven();
    backlog(&mut world);
    run_with_fresh_work(&mut world, Duration::from_millis(3_200), 14);
    for pool in FRESH {
        let up = up_in(&world, pool);
        assert!(up >= 13, "{pool} has {up} of 14 machines");
    }
    // They need 21 more; the rate of the first arrivals is rough.
    assert!(up_in(&world, "late") >= LARGE - 30, "{} left", up_in(&world, "late"));
}

/// A pool without any primary demand keeps its minimum share, however much the others need.
#[test]
fn minimum_share() {
    let mut world = uneven();
    backlog(&mut world);
    run_with_fresh_work(&mut world, Duration::from_secs(4), 40);
    let kept = (LARGE + 3 * SMALL).div_ceil(2 * 4);
    assert_eq!(up_in(&world, "late"), kept);
}

/// Without late work the same machines move at the same times as without the mechanism.
#[test]
fn ordinary_load() {
    let orders = |takes_busy_machines| {
        let mut world = World::new(&["late", "a", "b", "c"], SMALL);
        let policy = Policy { takes_busy_machines, ..Policy::default() };
        world.fleet = Fleet::new(FleetSettings { policy, ..settings() }, world.now);
        world.configure();
        world.run_for(Duration::from_secs(4));
        for turn in 0..60_usize {
            for (number, pool) in ["late", "a", "b", "c"].into_iter().enumerate() {
                let tasks = if turn / 15 == number { 6 + turn as u32 % 15 / 2 } else { 2 };
                let spec = job(vec![step(tasks, 2, 400)]);
                world.submit(&format!("{pool}-{turn}"), &format!("q-{pool}"), spec);
                if let Some(ended) = turn.checked_sub(8) {
                    let view = world.fleet.view(&format!("{pool}-{ended}"));
                    assert!(matches!(view, Some(JobView::Over(_))), "{pool}-{ended} is late");
                }
            }
            world.run_for(Duration::from_millis(150));
        }
        world.machine_orders
    };
    let without = orders(false);
    assert!(without.len() >= 4, "{} moves", without.len());
    assert_eq!(orders(true), without);
}

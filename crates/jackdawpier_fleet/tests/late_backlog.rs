//! One pool has a late backlog worth many times its machines while others get on-time work.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{machines::MachineWork, spec::JobSpec};
use world::{World, job, step};

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

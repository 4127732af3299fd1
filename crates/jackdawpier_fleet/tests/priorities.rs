//! Order in which waiting jobs are placed.

mod world;

use std::time::Duration;

use jackdawpier_fleet::fleet::JobView;
use world::{World, job, step};

#[test]
fn priority_first() {
    let mut world = World::new(&["view"], 1);
    world.queues.push(world::queue("q-urgent", "view"));
    world.queues[0].priority = 1;
    world.configure();
    world.submit("busy", "q-view", job(vec![step(1, 8, 600)]));
    world.run_for(Duration::from_millis(100));
    for number in 0..4 {
        world.submit(&format!("patient-{number}"), "q-view", job(vec![step(1, 8, 600)]));
    }
    world.submit("urgent", "q-urgent", job(vec![step(1, 8, 600)]));
    world.run_for(Duration::from_millis(900));
    assert_eq!(world.fleet.view("urgent"), Some(JobView::Running));
    assert_eq!(world.fleet.view("patient-0"), Some(JobView::Queued));
}

/// A job that can still end in time is placed before one that can't.
#[test]
fn expired_last() {
    let mut world = World::new(&["view"], 1);
    world.submit("busy", "q-view", job(vec![step(1, 8, 4_000)]));
    world.run_for(Duration::from_millis(100));
    world.submit("hopeless", "q-view", job(vec![step(1, 8, 500)]));
    world.run_for(Duration::from_millis(3_800));
    world.submit("fresh", "q-view", job(vec![step(1, 8, 500)]));
    world.run_for(Duration::from_millis(400));
    assert_eq!(world.fleet.view("fresh"), Some(JobView::Running));
    assert_eq!(world.fleet.view("hopeless"), Some(JobView::Queued));
}

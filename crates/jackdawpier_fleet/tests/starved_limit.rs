//! Starved jobs get a limited part of the room while other jobs can still be on time.

mod world;

use std::time::Duration;

use jackdawpier_fleet::fleet::JobView;
use world::{World, job, step};

/// Objective of a job of one step of 500 ms in the model's queues, and the time in which its start and end
/// become durable and known: under overload by due time, jobs start when they are just on time.
const OBJECTIVE: Duration = Duration::from_millis(1400 + 200);
const BACKLOG: usize = 400;

/// Returns a pool of 32 cores with a backlog of expired jobs that takes 12 s.
fn expired_backlog() -> World {
    let mut world = World::new(&["view"], 4);
    for number in 0..BACKLOG {
        world.submit(&format!("old-{number:03}"), "q-view", job(vec![step(1, 2, 500)]));
    }
    world.run_for(Duration::from_secs(6));
    world
}

/// Submits a job every `interval` and returns how many of `count` ended within their objective.
fn on_time_of(world: &mut World, count: usize, interval: Duration) -> usize {
    let ids: Vec<String> = (0..count).map(|number| format!("new-{number:04}")).collect();
    let began_at = world.now;
    let mut open: Vec<(Duration, &str)> = Vec::new();
    let mut on_time = 0;
    let mut submitted = 0;
    while submitted < count || !open.is_empty() {
        while submitted < count && world.now >= began_at + interval * submitted as u32 {
            world.submit(&ids[submitted], "q-view", job(vec![step(1, 2, 500)]));
            open.push((world.now, &ids[submitted]));
            submitted += 1;
        }
        world.run_for(world::STEP);
        open.retain(|(since, id)| {
            let is_over = matches!(world.fleet.view(id), Some(JobView::Over(_)));
            let has_time = world.now <= *since + OBJECTIVE;
            on_time += usize::from(is_over && has_time);
            !is_over && has_time
        });
    }
    on_time
}

/// New jobs need half of the pool. Expired jobs that are starved must not take the room from them.
#[test]
fn new_before_expired() {
    let mut world = expired_backlog();
    let on_time = on_time_of(&mut world, 200, Duration::from_millis(60));
    assert!(on_time >= 190, "only {on_time} of 200 jobs were on time");
    let left = (0..BACKLOG).rev().map(|number| format!("old-{number:03}"));
    for id in left {
        assert!(world.run_until_over(&id, Duration::from_secs(12)).is_some(), "{id} never ends");
    }
}

/// New jobs take all room for long. Each starved job must still end, and the new ones must lose no
/// more than a tenth against the same load alone.
#[test]
fn ends_under_lasting_load() {
    // The pool runs 32 such jobs a second.
    let (count, interval) = (1200, Duration::from_millis(28));
    let alone = on_time_of(&mut World::new(&["view"], 4), count, interval);
    let mut world = World::new(&["view"], 4);
    for number in 0..30 {
        world.submit(&format!("old-{number:03}"), "q-view", job(vec![step(1, 2, 500)]));
    }
    world.submit("large", "q-view", job(vec![step(3, 8, 500)]));
    let on_time = on_time_of(&mut world, count, interval);
    assert!(on_time * 10 >= alone * 9, "{on_time} jobs were on time instead of {alone}");
    for id in (0..30).map(|number| format!("old-{number:03}")).chain(["large".to_owned()]) {
        let view = world.fleet.view(&id);
        assert!(matches!(view, Some(JobView::Over(_))), "{id} has not ended: {view:?}");
    }
}

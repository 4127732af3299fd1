//! A new owner continues from the store and the reports of executors alone.

mod world;

use std::time::Duration;

use jackdawpier_fleet::record::{JobOutcome, TaskRecord};
use world::{World, job, step};

#[test]
fn running_tasks() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(6, 2, 2_000)]));
    world.run_for(Duration::from_millis(700));
    world.take_over();
    world.run_for(Duration::from_millis(300));
    assert_eq!(world.runs_of("j"), 6, "running tasks continue");
    let outcome = world.run_until_over("j", Duration::from_secs(4));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// Late orders of a previous owner start nothing.
#[test]
fn late_orders() {
    let mut world = World::new(&["view"], 2);
    world.delivery = Box::new(|_| world::Delivery::Late(Duration::from_millis(2_500)));
    world.submit("j", "q-view", job(vec![step(4, 2, 1_000)]));
    world.run_for(Duration::from_millis(100));
    world.delivery = Box::new(|_| world::Delivery::Answered);
    world.take_over();
    let outcome = world.run_until_over("j", Duration::from_secs(6));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.runs_of("j"), 0);
}

/// The route of an accepted job was removed, and no entry has it in memory.
#[test]
fn removed_queue() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(6, 2, 500)]));
    world.queues.clear();
    world.take_over();
    let outcome = world.run_until_over("j", Duration::from_secs(4));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// Guards against a job that begins anew, or never ends, because an owner of another version wrote its record: earlier
/// versions list all tasks, also those that were never placed.
#[test]
fn records_of_both_versions() {
    for is_earlier in [true, false] {
        let mut world = World::new(&["view"], 1);
        world.submit("j", "q-view", job(vec![step(40, 2, 400)]));
        world.run_for(Duration::from_millis(700));
        let (record, _) = world.store.get_mut("j").expect("it has begun");
        let listed = record.tasks.len();
        assert!((1..40).contains(&listed), "{listed} of 40 tasks were placed");
        if is_earlier {
            record.tasks.resize(40, TaskRecord::default());
        }
        world.take_over();
        let outcome = world.run_until_over("j", Duration::from_secs(12));
        assert_eq!(outcome, Some(JobOutcome::Completed));
    }
}

//! Guards against giving up a long-running task for crashes that its neighbours caused.
//!
//! A long-running task never ends, so it is present at every crash of its executor. When only ten
//! seconds of run time cleared it, no executor stayed up that long where crashing tasks were submitted
//! every few seconds. The job failed with the third crash, and its healthy tasks, which had been at
//! work for seconds, were stopped together.
//!
//! At every order that stops a task at work the world checks that the task's step can miss it.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{fleet::JobView, record::JobOutcome, spec::StepSpec};
use world::{World, job, step};

fn long_running_step(count: u32, cores: u64) -> StepSpec {
    StepSpec { is_long_running: true, may_miss: 1, max_per_executor: 1, ..step(count, cores, 0) }
}

/// Submits other jobs at a steady rate; one of every `crashing_every` has a task that crashes its
/// executor. Returns the healthy ones.
fn submit_neighbours(world: &mut World, rounds: usize, crashing_every: usize) -> Vec<String> {
    let mut healthy = Vec::new();
    for round in 0..rounds {
        let id = format!("other-{}", world.submissions.len());
        if round % crashing_every == 0 {
            world.crashes.crashing_jobs.push(id.as_str().into());
        } else {
            healthy.push(id.clone());
        }
        world.submit(&id, "q-view", job(vec![step(4, 1, 900)]));
        world.run_for(Duration::from_millis(150));
    }
    healthy
}

/// Asserts that, once the neighbours are over, all tasks of the long-running job are at work and the
/// job is shown as running.
fn assert_all_at_work(world: &mut World, id: &str, tasks: usize) {
    assert_eq!(world.fleet.view(id), Some(JobView::Running));
    let others: Vec<_> =
        world.submissions.keys().filter(|other| ***other != *id).cloned().collect();
    let limit = Duration::from_secs(30);
    assert!(others.iter().all(|other| world.run_until_over(other, limit).is_some()));
    world.run_for(Duration::from_secs(8));
    assert_eq!(world.fleet.view(id), Some(JobView::Running));
    assert_eq!(world.at_work_of(id), tasks);
}

#[test]
fn crashing_neighbours() {
    let mut world = World::new(&["view"], 6);
    world.submit("lasting", "q-view", job(vec![long_running_step(4, 2)]));
    world.run_for(Duration::from_secs(3));
    submit_neighbours(&mut world, 200, 8);
    assert_all_at_work(&mut world, "lasting", 4);
}

/// The same with a new owner every few seconds.
#[test]
fn changing_owners() {
    let mut world = World::new(&["view"], 6);
    world.submit("lasting", "q-view", job(vec![long_running_step(4, 2)]));
    world.run_for(Duration::from_secs(3));
    for _ in 0..8 {
        submit_neighbours(&mut world, 25, 8);
        world.take_over();
    }
    assert_all_at_work(&mut world, "lasting", 4);
}

/// One task of a long-running job crashes its executors: it isn't started again, and the others stay at work.
#[test]
fn crashing_task_isolated() {
    let mut world = World::new(&["view"], 6);
    world.crashes.crashing_jobs.push("lasting".into());
    world.submit("lasting", "q-view", job(vec![long_running_step(4, 2)]));
    world.run_for(Duration::from_secs(30));
    assert_eq!(world.crashes.max_crashes_of("lasting"), 2, "the task has crashed a third executor");
    assert_eq!(world.fleet.view("lasting"), Some(JobView::Running));
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// Guards against a permanent back-off of a long-running task after three unattributed crashes.
#[test]
fn retried_after_backoff() {
    let mut world = World::new(&["view"], 3);
    world.submit("lasting", "q-view", job(vec![long_running_step(1, 2)]));
    for _ in 0..3 {
        let limit = world.now + Duration::from_secs(20);
        while world.at_work_of("lasting") == 0 && world.now < limit {
            world.run_for(Duration::from_millis(10));
        }
        let is_running_there = |machine: &&std::sync::Arc<str>| {
            let id = world.machines[*machine].executor.as_ref();
            id.is_some_and(|id| world.executors[id].running().next().is_some())
        };
        let machine = world.machines.keys().find(is_running_there).expect("the task runs").clone();
        world.crash(&machine, Some(Duration::from_secs(2)));
    }
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.at_work_of("lasting"), 0, "the task is in back-off");
    world.run_for(Duration::from_secs(16));
    assert_eq!(world.at_work_of("lasting"), 1);
}

/// Guards against endless retries of a task that crashes its executors a while after its starts. The
/// world checks the starts after the third crash.
#[test]
fn bounded_retries() {
    let mut world = World::new(&["view"], 6);
    world.crashes.crash_after = Duration::from_millis(1_300);
    world.crashes.crashing_jobs.push("lasting".into());
    world.submit("lasting", "q-view", job(vec![long_running_step(4, 2)]));
    world.run_for(Duration::from_secs(1_000));
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// A task that was given up isn't started under later owners either, and its caller can cancel the job.
#[test]
fn given_up_across_owners() {
    let mut world = World::new(&["view"], 6);
    world.crashes.crashing_jobs.push("lasting".into());
    world.submit("lasting", "q-view", job(vec![long_running_step(4, 2)]));
    for _ in 0..6 {
        world.run_for(Duration::from_secs(4));
        world.take_over();
    }
    world.run_for(Duration::from_secs(4));
    assert!(world.crashes.max_crashes_of("lasting") <= 3);
    assert_eq!(world.at_work_of("lasting"), 3);
    world.cancel("lasting");
    let outcome = world.run_until_over("lasting", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Cancelled));
}

/// Healthy jobs aren't given up in a pool where an executor crashes every second, though each loses a
/// run now and then.
#[test]
fn unaffected_jobs() {
    let mut world = World::new(&["view"], 6);
    let healthy = submit_neighbours(&mut world, 200, 8);
    let limit = Duration::from_secs(30);
    let failed =
        healthy.iter().filter(|id| world.run_until_over(id, limit) != Some(JobOutcome::Completed));
    assert_eq!(failed.count(), 0);
}

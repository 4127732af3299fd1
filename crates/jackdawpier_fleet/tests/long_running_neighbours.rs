//! A lasting task was given up for crashes that its neighbours caused. It never ends, so it is there
//! whenever its executor crashes; only ten seconds of life took that back, and where tasks that crash
//! their executors come every few seconds no executor lives for so long. With the third crash its job was
//! shown as failed, and the healthy tasks of the job, which had been at work for seconds, were stopped
//! together:
//!
//! ```text
//! 18.862  task_given_up  task c65e0641aaa58128.0.0.1, run 4, crashes 3, confirmed, not sudden
//! 18.912  task_stopped   task c65e0641aaa58128.0.0.3, run 2, why JobOver(Failed)
//! 18.912  task_stopped   task c65e0641aaa58128.0.0.0, run 2, why JobOver(Failed)
//! ```
//!
//! The world checks at every order that ends work at work that its step can spare it.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{fleet::JobView, record::JobOutcome, spec::StepSpec};
use world::{World, job, step};

fn lasting(count: u32, cores: u64) -> StepSpec {
    StepSpec { is_long_running: true, may_miss: 1, max_per_executor: 1, ..step(count, cores, 0) }
}

/// Work of others comes all the while; of every `crashing_of` jobs one has a task that crashes.
fn neighbours(world: &mut World, rounds: usize, crashing_of: usize) -> Vec<String> {
    let mut innocent = Vec::new();
    for round in 0..rounds {
        let id = format!("other-{}", world.submissions.len());
        if round % crashing_of == 0 {
            world.crashes.crashing_jobs.push(id.as_str().into());
        } else {
            innocent.push(id.clone());
        }
        world.submit(&id, "q-view", job(vec![step(4, 1, 900)]));
        world.run_for(Duration::from_millis(150));
    }
    innocent
}

/// Once the neighbours are over, all of the lasting job is at work, and its caller sees that it runs.
fn assert_lives(world: &mut World, id: &str, tasks: usize) {
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
    world.submit("lasting", "q-view", job(vec![lasting(4, 2)]));
    world.run_for(Duration::from_secs(3));
    neighbours(&mut world, 200, 8);
    assert_lives(&mut world, "lasting", 4);
}

/// The owner changes every few seconds.
#[test]
fn changing_owners() {
    let mut world = World::new(&["view"], 6);
    world.submit("lasting", "q-view", job(vec![lasting(4, 2)]));
    world.run_for(Duration::from_secs(3));
    for _ in 0..8 {
        neighbours(&mut world, 25, 8);
        world.take_over();
    }
    assert_lives(&mut world, "lasting", 4);
}

/// One task of a lasting job is the cause: it stops starting, and the others stay at work.
#[test]
fn lasting_cause() {
    let mut world = World::new(&["view"], 6);
    world.crashes.crashing_jobs.push("lasting".into());
    world.submit("lasting", "q-view", job(vec![lasting(4, 2)]));
    world.run_for(Duration::from_secs(30));
    assert_eq!(world.crashes.max_crashes_of("lasting"), 2, "no third executor falls to it");
    assert_eq!(world.fleet.view("lasting"), Some(JobView::Running));
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// A lasting task was held back for good after three crashes that its executors had by themselves.
#[test]
fn returns_by_itself() {
    let mut world = World::new(&["view"], 3);
    world.submit("lasting", "q-view", job(vec![lasting(1, 2)]));
    for _ in 0..3 {
        let limit = world.now + Duration::from_secs(20);
        while world.at_work_of("lasting") == 0 && world.now < limit {
            world.run_for(Duration::from_millis(10));
        }
        let runs_it = |machine: &&std::sync::Arc<str>| {
            let id = world.machines[*machine].executor.as_ref();
            id.is_some_and(|id| world.executors[id].running().next().is_some())
        };
        let machine = world.machines.keys().find(runs_it).expect("it runs").clone();
        world.crash(&machine, Some(Duration::from_secs(2)));
    }
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.at_work_of("lasting"), 0, "it isn't tried again at once");
    world.run_for(Duration::from_secs(16));
    assert_eq!(world.at_work_of("lasting"), 1);
}

/// A cause that crashes its executors a while after its starts was tried again for ever. The world checks its starts
/// after the third crash.
#[test]
fn cause_for_ever() {
    let mut world = World::new(&["view"], 6);
    world.crashes.crash_after = Duration::from_millis(1_300);
    world.crashes.crashing_jobs.push("lasting".into());
    world.submit("lasting", "q-view", job(vec![lasting(4, 2)]));
    world.run_for(Duration::from_secs(1_000));
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// It is still not started under a later owner, and its caller can end the job.
#[test]
fn cause_over_owners() {
    let mut world = World::new(&["view"], 6);
    world.crashes.crashing_jobs.push("lasting".into());
    world.submit("lasting", "q-view", job(vec![lasting(4, 2)]));
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

/// Jobs that end are no cause either because they were there: each has one of several tasks hit now and
/// then, in a pool where an executor crashes every second.
#[test]
fn innocent_jobs() {
    let mut world = World::new(&["view"], 6);
    let innocent = neighbours(&mut world, 200, 8);
    let limit = Duration::from_secs(30);
    let failed =
        innocent.iter().filter(|id| world.run_until_over(id, limit) != Some(JobOutcome::Completed));
    assert_eq!(failed.count(), 0);
}

//! Some tasks crash each executor that starts them. The owner counted the failures that executors
//! reported, and an executor that crashes reports nothing: such a task was started again whenever its
//! executor was given up. One was at its 89th run two minutes after its job came, and the pool lost ten
//! executors a second with all that ran there; three in four of its quick jobs failed. That the task was
//! the cause shows in how soon each executor was silent after it had confirmed the start:
//!
//! ```text
//! 17.646  task_started     run 10, executor i-3189bf564f, up_ms 14129826
//! 17.646  executor_silent  executor i-3189bf564f, up_ms 14129848
//! 17.947  task_started     run 11, executor i-ee989b45ea, up_ms 14130129
//! 17.947  executor_silent  executor i-ee989b45ea, up_ms 14130152
//! ```
//!
//! The world checks after every step that such a task isn't started three times more once three
//! executors have crashed under it.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{fleet::Command, record::JobOutcome};
use world::{World, job, step};

/// Long enough for ten runs that crash, each followed by the next listing of machines.
const LONG: Duration = Duration::from_secs(30);

fn world_with_crasher() -> World {
    let mut world = World::new(&["view"], 6);
    world.crashes.jobs.push("bad".into());
    world.submit("bad", "q-view", job(vec![step(4, 2, 800)]));
    world
}

#[test]
fn sudden_crash() {
    let mut world = world_with_crasher();
    let outcome = world.run_until_over("bad", LONG);
    assert_eq!(outcome, Some(JobOutcome::Failed));
    assert_eq!(world.crashes.most_under("bad"), 2, "no third executor falls to it");
}

/// It works for a while before it takes its executor along.
#[test]
fn late_crash() {
    let mut world = world_with_crasher();
    world.crashes.after = Duration::from_millis(700);
    let outcome = world.run_until_over("bad", LONG);
    assert_eq!(outcome, Some(JobOutcome::Failed));
    assert!(world.crashes.excuse("bad"));
}

/// The fleet changes its owner between one crash and the next.
#[test]
fn crash_each_term() {
    let mut world = world_with_crasher();
    let mut outcome = None;
    for _ in 0..12 {
        world.run_for(Duration::from_millis(600));
        world.take_over();
        outcome = outcome.or_else(|| world.run_until_over("bad", Duration::from_secs(2)));
    }
    assert_eq!(outcome, Some(JobOutcome::Failed));
    assert!(world.crashes.excuse("bad"));
}

/// The start's answer is lost with the executor.
#[test]
fn crash_before_answer() {
    let mut world = world_with_crasher();
    world.delivery = Box::new(|_| world::Delivery::AnswerLost);
    let outcome = world.run_until_over("bad", Duration::from_secs(90));
    assert_eq!(outcome, Some(JobOutcome::Failed));
    assert!(world.crashes.excuse("bad"));
}

/// A gang is lost with the one of its members.
#[test]
fn crashing_member() {
    let mut world = World::new(&["view"], 6);
    world.crashes.jobs.push("bad".into());
    let mut gang = step(4, 2, 800);
    gang.is_gang = true;
    world.submit("bad", "q-view", job(vec![gang]));
    let outcome = world.run_until_over("bad", LONG);
    assert_eq!(outcome, Some(JobOutcome::Failed));
}

/// Work of others comes all the while, and starts beside the tasks that crash: it is hit, and none of it
/// is given up.
#[test]
fn innocent_neighbours() {
    let mut world = World::new(&["view"], 8);
    let mut innocent = Vec::new();
    for round in 0..40 {
        if round % 8 == 2 {
            let id = format!("bad-{round}");
            world.crashes.jobs.push(id.as_str().into());
            world.submit(&id, "q-view", job(vec![step(4, 1, 800)]));
        }
        let id = format!("good-{round}");
        world.submit(&id, "q-view", job(vec![step(6, 1, 800)]));
        innocent.push(id);
        world.run_for(Duration::from_millis(150));
    }
    let failed = innocent
        .iter()
        .filter(|id| world.run_until_over(id, LONG) != Some(JobOutcome::Completed))
        .count();
    assert_eq!(failed, 0);
    for round in (2..40).step_by(8) {
        let id = format!("bad-{round}");
        assert_eq!(world.run_until_over(&id, LONG), Some(JobOutcome::Failed));
    }
}

/// A suspect was ordered to an executor that had fallen silent under the one that was watched there before.
#[test]
fn watch_unanswered() {
    let mut world = World::new(&["view"], 1);
    world.crashes.jobs.push("bad".into());
    world.crashes.after = Duration::from_millis(250);
    world.submit("bad", "q-view", job(vec![step(1, 1, 800)]));
    world.submit("good", "q-view", job(vec![step(1, 1, 800)]));
    world.run_for(Duration::from_millis(60));
    world.crash("m-view-0", Some(Duration::from_millis(500)));
    assert_eq!(world.run_until_over("bad", LONG), Some(JobOutcome::Failed));
    assert_eq!(world.run_until_over("good", LONG), Some(JobOutcome::Completed));
    let starts = world.commands.iter().filter(|(_, command)| match command {
        Command::Start { task, .. } => &*task.job == "good",
        _ => false,
    });
    assert_eq!(starts.count(), 2, "one under the accident, and the one that ends well");
}

/// A run had ended behind a cut under an owner that had no list of machines yet, and its executor crashed later: that counted as a
/// crash under it for certain, so that its job was failed with the next.
#[test]
fn ended_unlisted() {
    let mut world = World::new(&["view"], 1);
    world.machine_list_unavailable = true;
    world.take_over();
    world.run_for(Duration::from_secs(2));
    world.submit("good", "q-view", job(vec![step(1, 1, 300)]));
    world.run_until_started("good");
    world.run_for(Duration::from_millis(50));
    let executor = world.executor_of("m-view-0");
    world.executors.get_mut(&executor).expect("it lives").set_cut(true);
    world.run_for(Duration::from_millis(700));
    world.crash("m-view-0", Some(Duration::from_secs(1)));
    world.run_for(Duration::from_millis(200));
    world.machine_list_unavailable = false;
    world.run_until_started("good");
    world.run_for(Duration::from_millis(150));
    world.crash("m-view-0", Some(Duration::from_secs(1)));
    assert_eq!(world.crashes.most_under("good"), 1);
    assert_eq!(world.run_until_over("good", LONG), Some(JobOutcome::Completed));
}

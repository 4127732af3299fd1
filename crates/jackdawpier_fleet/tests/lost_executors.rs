//! Executors that fall silent: their tasks run again, and only once it is certain that they don't
//! run there any more. The world checks after every step that no task runs twice.

mod world;

use std::{sync::Arc, time::Duration};

use jackdawpier_fleet::{
    fleet::{Command, LossEvidence},
    record::JobOutcome,
    spec::StepSpec,
};
use world::{World, job, step};

#[test]
fn dark_executor() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(8, 2, 2_000)]));
    world.run_for(Duration::from_millis(500));
    world.crash("m-view-0", None);
    let outcome = world.run_until_over("j", Duration::from_secs(12));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

#[test]
fn cut_executor() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(8, 2, 20_000)]));
    world.run_for(Duration::from_millis(500));
    let cut = world.executor_of("m-view-0");
    world.executors.get_mut(&cut).expect("it lives").set_cut(true);
    world.run_for(Duration::from_secs(9));
    world.executors.get_mut(&cut).expect("it lives").set_cut(false);
    let outcome = world.run_until_over("j", Duration::from_secs(60));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// A world in which a task has ended well on an executor that nobody can ask, and then elsewhere;
/// and that executor.
fn world_with_lost_end() -> (World, Arc<str>) {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(2, 6, 1_000)]));
    world.run_for(Duration::from_millis(500));
    let cut = world.executor_of("m-view-0");
    world.executors.get_mut(&cut).expect("it lives").set_cut(true);
    let outcome = world.run_until_over("j", Duration::from_secs(12));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    (world, cut)
}

/// The first end must not be acknowledged any more: it would count as done twice.
#[test]
fn end_found_late() {
    let (mut world, cut) = world_with_lost_end();
    world.executors.get_mut(&cut).expect("it lives").set_cut(false);
    world.run_for(Duration::from_secs(3));
    assert!(world.executors[&cut].has_ends());
}

/// The same, but an owner finds it that knows of the job only that it is over.
#[test]
fn end_found_by_next_owner() {
    let (mut world, cut) = world_with_lost_end();
    world.run_for(Duration::from_millis(500));
    world.take_over();
    world.executors.get_mut(&cut).expect("it lives").set_cut(false);
    world.run_for(Duration::from_secs(3));
    assert!(world.executors[&cut].has_ends());
}

/// The owner doesn't hear an executor for longer than its lease, but the registry and the list of
/// machines show that it lives: a task that has ended there isn't run again.
#[test]
fn deaf_owner() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(1, 6, 1_000)]));
    world.run_for(Duration::from_millis(500));
    let executors = ["m-view-0", "m-view-1"].map(|machine| world.executor_of(machine));
    world.drops_answers_of =
        executors.into_iter().find(|id| world.executors[id].running().count() > 0);
    world.run_for(Duration::from_secs(8));
    world.drops_answers_of = None;
    let outcome = world.run_until_over("j", Duration::from_secs(2));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    let starts = world
        .commands
        .iter()
        .filter(|(_, command)| matches!(command, jackdawpier_fleet::fleet::Command::Start { .. }));
    assert_eq!(starts.count(), 1);
}

/// The list of machines doesn't name an executor that has crashed, so that one's life is over: its
/// tasks needn't wait for its lease, nor for a new owner's doubt.
#[test]
fn ended_life() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", lasting_job());
    world.run_for(Duration::from_millis(1500));
    world.crash("m-view-0", Some(Duration::from_secs(1)));
    world.run_for(Duration::from_millis(1500));
    assert_eq!(world.runs_of("j"), 2);
}

#[test]
fn ended_life_at_takeover() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", lasting_job());
    world.run_for(Duration::from_millis(1500));
    world.crash("m-view-0", Some(Duration::from_millis(300)));
    world.run_for(Duration::from_millis(310));
    world.take_over();
    world.run_for(Duration::from_millis(2500));
    assert_eq!(world.runs_of("j"), 2);
}

fn lasting_job() -> jackdawpier_fleet::spec::JobSpec {
    let mut lasting = step(2, 6, 0);
    lasting.is_long_running = true;
    job(vec![lasting])
}

/// The entry of an executor that lives turns unreadable: what runs there ends there, and only there.
#[test]
fn unreadable_entry() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(2, 3, 9_000)]));
    world.run_for(Duration::from_millis(500));
    world.unreadable_executor = Some(world.executor_of(&world.machine_of_task("j")));
    world.run_for(Duration::from_millis(500));
    world.submit("later", "q-view", job(vec![step(2, 2, 300)]));
    let outcome = world.run_until_over("later", Duration::from_secs(3));
    assert_eq!(outcome, Some(JobOutcome::Completed), "the other executor is used");
    let outcome = world.run_until_over("j", Duration::from_secs(10));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    let starts = world
        .commands
        .iter()
        .filter(|(_, command)| matches!(command, Command::Start { task, .. } if &*task.job == "j"));
    assert_eq!(starts.count(), 2, "none is run again");
}

/// An answer that gets lost hides an end only where something runs that ends: there the owner asks again
/// sooner.
#[test]
fn expected_ends() {
    let mut world = World::new(&["view"], 3);
    let lasting = StepSpec { is_long_running: true, ..step(1, 6, 0) };
    world.submit("lasts", "q-view", job(vec![lasting]));
    world.run_for(Duration::from_secs(2));
    world.submit("ends", "q-view", job(vec![step(1, 4, 3_000)]));
    world.run_for(Duration::from_millis(500));
    let of = |world: &World, job: &str| world.executor_of(&world.machine_of_task(job));
    let (ends, lasts) = (of(&world, "ends"), of(&world, "lasts"));
    let now = world.now;
    assert!(world.fleet.hold_directive(now, &ends).is_some_and(|order| order.expects_end));
    assert!(world.fleet.hold_directive(now, &lasts).is_some_and(|order| !order.expects_end));
}

/// The list of machines no longer names an executor, which the registry does for seconds more: nobody
/// needs to ask it, and the loops that ask hundreds of such ones take the owner's time.
#[test]
fn ended_executor() {
    let mut world = World::new(&["view"], 2);
    world.run_for(Duration::from_secs(2));
    let gone = world.executor_of("m-view-0");
    assert!(world.fleet.hold_directive(world.now, &gone).is_some());
    world.fleet.executor_ended(world.now, &gone, LossEvidence::Unlisted);
    assert!(world.fleet.hold_directive(world.now, &gone).is_none());
    let others = world.executor_of("m-view-1");
    assert!(world.fleet.hold_directive(world.now, &others).is_some());
}

/// Whoever looks for the task that took an executor along needs what ran there, and since when.
#[test]
fn runs_named() {
    let mut world = World::new(&["view"], 2);
    world.submit("j", "q-view", job(vec![step(2, 6, 9_000)]));
    world.run_for(Duration::from_millis(1500));
    let gone = world.executor_of("m-view-0");
    world.crash("m-view-0", Some(Duration::from_secs(2)));
    world.run_for(Duration::from_millis(500));
    let losses = world.fleet.take_executor_losses();
    assert_eq!(losses.len(), 1);
    assert_eq!((&losses[0].executor, losses[0].evidence), (&gone, LossEvidence::Unlisted));
    let run = &losses[0].runs[0];
    assert_eq!((&*run.task.job, run.run), ("j", 1));
    assert!(
        run.confirmed_age.is_some_and(|age| age >= Duration::from_secs(1)),
        "{:?}",
        run.confirmed_age
    );
}

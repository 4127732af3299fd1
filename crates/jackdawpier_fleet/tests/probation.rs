//! Checks that a healthy long-running task doesn't stay in back-off for crashes that it was merely
//! present at: it is cleared once it has been observed for long enough, starts on probation where a
//! crash can only be its own, and is retried while no unattributed crashes occur. The histories
//! `lasting_returns` fail without this, see `docs/incidents/held-back-for-good.md`.

mod world;

use std::{sync::Arc, time::Duration};

use jackdawpier_fleet::{machines::Wave, record::JobOutcome, spec::StepSpec};
use world::{STEP, World, job, step};

/// A long-running suspect is cleared after this run time.
const CLEARING_RUN_TIME: Duration = Duration::from_secs(2);

fn long_running_step() -> StepSpec {
    StepSpec { is_long_running: true, may_miss: 1, ..step(1, 2, 0) }
}

fn world_with_long_running(executors: usize) -> World {
    let mut world = World::new(&["view"], executors);
    world.submit("lasting", "q-view", job(vec![long_running_step()]));
    world
}

/// Crashes the executor of the long-running task, without a task as the cause, this long after its start.
fn crash_after(world: &mut World, run_time: Duration) {
    world.run_until_started("lasting");
    world.run_for(run_time);
    let machine = world.machine_of_task("lasting");
    world.crash(&machine, Some(Duration::from_secs(2)));
}

/// Returns a world with a long-running task in back-off that has so many crashes that it is only
/// started on probation.
fn world_in_backoff(executors: usize) -> World {
    let mut world = world_with_long_running(executors);
    (0..3).for_each(|_| crash_after(&mut world, Duration::from_millis(700)));
    world.run_for(Duration::from_millis(500));
    assert_eq!(world.long_running.backoffs.len(), 1, "the task is in back-off");
    world
}

/// Guards against crashes that add up over several owners, though the task had run for seconds after each.
#[test]
fn cleared_by_run_time() {
    let mut world = world_with_long_running(3);
    for _ in 0..6 {
        world.run_until_started("lasting");
        world.run_for(CLEARING_RUN_TIME * 2);
        world.take_over();
        crash_after(&mut world, Duration::from_millis(500));
    }
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.long_running.backoffs, []);
    assert_eq!(world.at_work_of("lasting"), 1);
}

/// Guards against a suspect that starts beside a task which has run only briefly: the task crashed the
/// executor a second later.
#[test]
fn neighbours_proven() {
    let mut world = World::new(&["view"], 2);
    world.crashes.crash_after = Duration::from_millis(1_200);
    world.crashes.crashing_jobs.push("bad".into());
    world.label("m-view-1", "gpu");
    world.run_for(Duration::from_secs(1));
    world.submit("lasting", "q-view", job(vec![long_running_step()]));
    let bad = StepSpec { required_label: Some("gpu".into()), ..step(1, 2, 2_400) };
    world.submit("bad", "q-view", job(vec![bad]));
    world.run_until_started("lasting");
    world.run_for(Duration::from_millis(50));
    assert_eq!(&*world.machine_of_task("lasting"), "m-view-0");
    world.crash("m-view-0", None);
    world.run_for(Duration::from_millis(1_500));
    assert_eq!(world.crashes.max_crashes_of("bad"), 1);
    assert_eq!(world.crashes.max_crashes_of("lasting"), 1);
    assert_eq!(world.run_until_over("bad", Duration::from_secs(20)), Some(JobOutcome::Failed));
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.at_work_of("lasting"), 1);
}

/// Guards against probation while executors crash one after another: such a crash uses the start up.
#[test]
fn no_probation_during_crashes() {
    let mut world = world_in_backoff(3);
    for round in 0..5 {
        world.crash(&format!("m-view-{}", round % 3), Some(Duration::from_secs(1)));
        world.run_for(Duration::from_secs(3));
        assert_eq!(world.runs_of("lasting"), 0);
    }
    world.run_for(Duration::from_secs(5));
    assert_eq!(world.at_work_of("lasting"), 1);
}

/// Guards against a machine order of the owner that takes the machine of a task on probation.
#[test]
fn machine_kept_on_probation() {
    let mut world = world_in_backoff(3);
    world.run_until_started("lasting");
    let machine: Arc<str> = world.machine_of_task("lasting");
    let within = Duration::from_millis(100);
    world.waves.push(Wave { number: 1, machines: vec![machine], within, max_away: 1 });
    let until = world.now + CLEARING_RUN_TIME;
    while world.now < until {
        world.run_for(STEP);
        assert_eq!(world.runs_of("lasting"), 1);
    }
}

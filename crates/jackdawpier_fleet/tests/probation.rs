//! What keeps a lasting task that is no cause from being held back for the crashes that it was there for: it is cleared as soon
//! as it has been seen alive, starts where a crash could only be its own, and is tried again while nothing else crashes.
//! The histories `lasting_returns` fail without these decisions, see `docs/incidents/held-back-for-good.md`.

mod world;

use std::{sync::Arc, time::Duration};

use jackdawpier_fleet::{machines::Wave, record::JobOutcome, spec::StepSpec};
use world::{STEP, World, job, step};

/// A lasting task that may crash its executor is cleared by this much life.
const PROOF: Duration = Duration::from_secs(2);

fn lasting() -> StepSpec {
    StepSpec { is_long_running: true, may_miss: 1, ..step(1, 2, 0) }
}

fn world_with_lasting(executors: usize) -> World {
    let mut world = World::new(&["view"], executors);
    world.submit("lasting", "q-view", job(vec![lasting()]));
    world
}

/// Its executor crashes without any task's doing, this long after its start.
fn crash_after(world: &mut World, lived: Duration) {
    world.run_until_started("lasting");
    world.run_for(lived);
    let machine = world.machine_of_task("lasting");
    world.crash(&machine, Some(Duration::from_secs(2)));
}

/// A task with so many crashes that it is started on trial only.
fn held_back(executors: usize) -> World {
    let mut world = world_with_lasting(executors);
    (0..3).for_each(|_| crash_after(&mut world, Duration::from_millis(700)));
    world.run_for(Duration::from_millis(500));
    assert_eq!(world.long_running.backoffs.len(), 1, "it is held back");
    world
}

/// Crashes under earlier owners added up, though it had lived for seconds after each.
#[test]
fn cleared_alive() {
    let mut world = world_with_lasting(3);
    for _ in 0..6 {
        world.run_until_started("lasting");
        world.run_for(PROOF * 2);
        world.take_over();
        crash_after(&mut world, Duration::from_millis(500));
    }
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.long_running.backoffs, []);
    assert_eq!(world.at_work_of("lasting"), 1);
}

/// A suspect started beside what had survived its own start only, and was hit by its crash a second later.
#[test]
fn settled_neighbours() {
    let mut world = World::new(&["view"], 2);
    world.crashes.crash_after = Duration::from_millis(1_200);
    world.crashes.crashing_jobs.push("bad".into());
    world.label("m-view-1", "gpu");
    world.run_for(Duration::from_secs(1));
    world.submit("lasting", "q-view", job(vec![lasting()]));
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

/// A trial was spent while executors crashed one after the other.
#[test]
fn calm_trial() {
    let mut world = held_back(3);
    for round in 0..5 {
        world.crash(&format!("m-view-{}", round % 3), Some(Duration::from_secs(1)));
        world.run_for(Duration::from_secs(3));
        assert_eq!(world.runs_of("lasting"), 0);
    }
    world.run_for(Duration::from_secs(5));
    assert_eq!(world.at_work_of("lasting"), 1);
}

/// The owner's own order took the machine during a trial.
#[test]
fn spared_trial() {
    let mut world = held_back(3);
    world.run_until_started("lasting");
    let machine: Arc<str> = world.machine_of_task("lasting");
    let within = Duration::from_millis(100);
    world.waves.push(Wave { number: 1, machines: vec![machine], within, max_away: 1 });
    let until = world.now + PROOF;
    while world.now < until {
        world.run_for(STEP);
        assert_eq!(world.runs_of("lasting"), 1);
    }
}

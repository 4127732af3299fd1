//! Machines with a label that several pools ask for, and that are too few for all.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{
    machines::MachineWork,
    record::JobOutcome,
    spec::{JobSpec, StepSpec},
};
use world::{World, job, step};

const LABEL: &str = "gpu";
const LABELLED: [&str; 4] = ["m-report-0", "m-report-1", "m-report-2", "m-report-3"];

/// Three pools of four machines; some of `report` have the label.
fn labelled_report(machines: &[&str]) -> World {
    let mut world = World::new(&["view", "report", "other"], 4);
    for machine in machines {
        world.label(machine, LABEL);
    }
    world.run_for(Duration::from_secs(4));
    world
}

fn labelled(tasks: u32) -> JobSpec {
    job(vec![StepSpec { required_label: Some(LABEL.into()), ..step(tasks, 4, 500) }])
}

/// A world in which the label's machines are busy with a backlog of `report` when `view` asks for them too.
fn competing(machines: &[&str], tasks: u32) -> World {
    let mut world = labelled_report(machines);
    compete(&mut world, tasks);
    world
}

fn compete(world: &mut World, tasks: u32) {
    world.submit("first", "q-report", labelled(1_000));
    world.run_for(Duration::from_millis(500));
    world.submit("second", "q-view", labelled(tasks));
}

/// Machines with the label that were told to move to a pool.
fn moves_to(world: &World, pool: &str) -> usize {
    let to = MachineWork::Move(pool.into());
    let orders = world.machine_orders.iter().map(|(_, order)| order);
    let is_labelled = |machine: &str| world.labels.contains_key(machine);
    orders.filter(|order| order.work == to && is_labelled(&order.machine)).count()
}

/// One pool's backlog for the label fills all machines that have it. They change pools one after the
/// other until both hold as many, though they are never idle, and stay there.
#[test]
fn shared_backlog() {
    let mut world = competing(&LABELLED, 1_000);
    world.run_for(Duration::from_secs(6));
    assert!(world.runs_of("second") > 0, "nothing of it has run");
    assert_eq!(moves_to(&world, "view"), 2);
    world.run_for(Duration::from_secs(15));
    assert_eq!((moves_to(&world, "view"), moves_to(&world, "report")), (2, 0));
}

/// A pool that can do with fewer machines than an equal share keeps what it needs.
#[test]
fn small_need() {
    let mut world = competing(&LABELLED, 1);
    let outcome = world.run_until_over("second", Duration::from_secs(8));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    assert_eq!(moves_to(&world, "view"), 1);
}

/// Machines that hold lasting work with the label can't be shared, and count as their pool's part.
#[test]
fn lasting_stays() {
    let mut world = labelled_report(&LABELLED);
    let lasting = StepSpec { is_long_running: true, max_per_executor: 1, ..step(3, 1, 0) };
    let lasting = StepSpec { required_label: Some(LABEL.into()), may_miss: 1, ..lasting };
    world.submit("lasting", "q-report", job(vec![lasting]));
    world.run_for(Duration::from_secs(1));
    compete(&mut world, 1_000);
    world.run_for(Duration::from_secs(8));
    assert!(world.runs_of("second") > 0, "nothing of it has run");
    assert_eq!(moves_to(&world, "view"), 1);
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// Of two machines one goes: they aren't both taken because both are more than the part of their pool.
#[test]
fn one_each() {
    let mut world = competing(&LABELLED[..2], 1_000);
    world.run_for(Duration::from_secs(10));
    assert_eq!((moves_to(&world, "view"), moves_to(&world, "report")), (1, 0));
    assert_eq!(
        world.fleet.shortages().iter().filter_map(|one| one.entitled).collect::<Vec<_>>(),
        [1, 1]
    );
}

/// A label that most machines have isn't scarce: busy machines of others are left alone.
#[test]
fn common_label() {
    let mut world = World::new(&["view", "report"], 4);
    for machine in LABELLED {
        world.label(machine, LABEL);
    }
    world.label("m-view-0", LABEL);
    world.run_for(Duration::from_secs(4));
    compete(&mut world, 1_000);
    world.run_for(Duration::from_secs(6));
    assert_eq!(moves_to(&world, "view"), 0);
    assert!(world.fleet.shortages().iter().all(|one| one.entitled.is_none()));
}

/// Lasting tasks that may not share an executor need a machine each, though the first would have room for
/// all of them.
#[test]
fn one_per_executor() {
    let mut world = World::new(&["view", "report", "other"], 4);
    for machine in ["m-view-0", "m-report-0", "m-report-1"] {
        world.label(machine, LABEL);
    }
    world.run_for(Duration::from_secs(4));
    let lasting = StepSpec { is_long_running: true, max_per_executor: 1, ..step(3, 1, 0) };
    let lasting = StepSpec { required_label: Some(LABEL.into()), ..lasting };
    world.submit("lasting", "q-view", job(vec![lasting]));
    world.run_for(Duration::from_secs(8));
    assert_eq!(world.at_work_of("lasting"), 3);
}

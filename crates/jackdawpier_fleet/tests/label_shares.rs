//! Shares of machines with a scarce label among several pools.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{
    machines::MachineWork,
    record::JobOutcome,
    spec::{JobSpec, StepSpec},
};
use world::{World, job, step};

const LABEL: &str = "gpu";
const LABELLED_MACHINES: [&str; 4] = ["m-report-0", "m-report-1", "m-report-2", "m-report-3"];

/// Returns a world with three pools of four machines each, where `machines` have the label.
fn world_with_labelled(machines: &[&str]) -> World {
    let mut world = World::new(&["view", "report", "other"], 4);
    for machine in machines {
        world.label(machine, LABEL);
    }
    world.run_for(Duration::from_secs(4));
    world
}

fn labelled_job(tasks: u32) -> JobSpec {
    job(vec![StepSpec { required_label: Some(LABEL.into()), ..step(tasks, 4, 500) }])
}

/// Returns a world in which the labelled machines are busy with a backlog of `report` when `view` needs
/// them too.
fn world_with_competition(machines: &[&str], tasks: u32) -> World {
    let mut world = world_with_labelled(machines);
    submit_competing_jobs(&mut world, tasks);
    world
}

fn submit_competing_jobs(world: &mut World, tasks: u32) {
    world.submit("first", "q-report", labelled_job(1_000));
    world.run_for(Duration::from_millis(500));
    world.submit("second", "q-view", labelled_job(tasks));
}

/// Returns the number of orders to move a labelled machine to a pool.
fn moves_to(world: &World, pool: &str) -> usize {
    let to = MachineWork::Move(pool.into());
    let orders = world.machine_orders.iter().map(|(_, order)| order);
    let is_labelled = |machine: &str| world.labels.contains_key(machine);
    orders.filter(|order| order.work == to && is_labelled(&order.machine)).count()
}

/// A backlog of one pool occupies all labelled machines. They move one by one until both pools hold the same
/// number, though they are never idle, and stay there.
#[test]
fn shared_backlog() {
    let mut world = world_with_competition(&LABELLED_MACHINES, 1_000);
    world.run_for(Duration::from_secs(6));
    assert!(world.runs_of("second") > 0, "no task of the second job runs");
    assert_eq!(moves_to(&world, "view"), 2);
    world.run_for(Duration::from_secs(15));
    assert_eq!((moves_to(&world, "view"), moves_to(&world, "report")), (2, 0));
}

/// A pool that needs less than an equal share gets what it needs.
#[test]
fn need_below_equal_share() {
    let mut world = world_with_competition(&LABELLED_MACHINES, 1);
    let outcome = world.run_until_over("second", Duration::from_secs(8));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    assert_eq!(moves_to(&world, "view"), 1);
}

/// Machines with long-running tasks that need the label can't be moved, and count towards their pool's share.
#[test]
fn long_running_stays() {
    let mut world = world_with_labelled(&LABELLED_MACHINES);
    let long_running = StepSpec { is_long_running: true, max_per_executor: 1, ..step(3, 1, 0) };
    let long_running = StepSpec { required_label: Some(LABEL.into()), may_miss: 1, ..long_running };
    world.submit("lasting", "q-report", job(vec![long_running]));
    world.run_for(Duration::from_secs(1));
    submit_competing_jobs(&mut world, 1_000);
    world.run_for(Duration::from_secs(8));
    assert!(world.runs_of("second") > 0, "no task of the second job runs");
    assert_eq!(moves_to(&world, "view"), 1);
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// Of two labelled machines only one moves, though together they exceed the share of their pool.
#[test]
fn two_machines_split() {
    let mut world = world_with_competition(&LABELLED_MACHINES[..2], 1_000);
    world.run_for(Duration::from_secs(10));
    assert_eq!((moves_to(&world, "view"), moves_to(&world, "report")), (1, 0));
    assert_eq!(
        world.fleet.shortages().iter().filter_map(|one| one.entitled).collect::<Vec<_>>(),
        [1, 1]
    );
}

/// A label that most machines have isn't scarce: busy machines of other pools aren't moved.
#[test]
fn label_not_scarce() {
    let mut world = World::new(&["view", "report"], 4);
    for machine in LABELLED_MACHINES {
        world.label(machine, LABEL);
    }
    world.label("m-view-0", LABEL);
    world.run_for(Duration::from_secs(4));
    submit_competing_jobs(&mut world, 1_000);
    world.run_for(Duration::from_secs(6));
    assert_eq!(moves_to(&world, "view"), 0);
    assert!(world.fleet.shortages().iter().all(|one| one.entitled.is_none()));
}

/// Long-running tasks that may not share an executor get a machine each, though the first has room for all.
#[test]
fn one_per_executor() {
    let mut world = World::new(&["view", "report", "other"], 4);
    for machine in ["m-view-0", "m-report-0", "m-report-1"] {
        world.label(machine, LABEL);
    }
    world.run_for(Duration::from_secs(4));
    let long_running = StepSpec { is_long_running: true, max_per_executor: 1, ..step(3, 1, 0) };
    let long_running = StepSpec { required_label: Some(LABEL.into()), ..long_running };
    world.submit("lasting", "q-view", job(vec![long_running]));
    world.run_for(Duration::from_secs(8));
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// Guards against labels that are never shared since jobs have required many others before.
#[test]
fn many_other_labels() {
    let mut world = world_with_labelled(&LABELLED_MACHINES);
    for number in 0..70 {
        let label = format!("nobody-{number}");
        let nowhere = StepSpec { required_label: Some(label.as_str().into()), ..step(1, 1, 500) };
        world.submit(&label, "q-other", job(vec![nowhere]));
    }
    submit_competing_jobs(&mut world, 1);
    let outcome = world.run_until_over("second", Duration::from_secs(8));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

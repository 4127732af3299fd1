//! Tasks that need a label or lie near their data.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{machines::MachineWork, record::JobOutcome, spec::StepSpec};
use world::{World, job, step};

fn label(world: &mut World, machine: &str, label: &str) {
    let id = world.executor_of(machine);
    world.executors.get_mut(&id).expect("it lives").info.labels.push(label.into());
    world.labels.insert(machine.into(), label.into());
}

fn far_runs(world: &World) -> usize {
    world.executors.values().map(world::executor::FakeExecutor::far_runs).sum()
}

#[test]
fn needed_label() {
    let mut world = World::new(&["view"], 3);
    label(&mut world, "m-view-2", "gpu");
    world.run_for(Duration::from_millis(500));
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(6, 3, 500) };
    world.submit("j", "q-view", job(vec![needs]));
    let outcome = world.run_until_over("j", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// No machine of the pool has the label, but an idle one of another pool has.
#[test]
fn borrowed_label() {
    let mut world = World::new(&["view", "report"], 4);
    label(&mut world, "m-report-3", "gpu");
    world.run_for(Duration::from_secs(4));
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(2, 3, 500) };
    world.submit("j", "q-view", job(vec![needs]));
    world.run_for(Duration::from_secs(3));
    let moved = world.machine_orders.iter().find(|(_, order)| &*order.machine == "m-report-3");
    let to = moved.map(|(_, order)| order.work.clone());
    assert_eq!(to, Some(MachineWork::Move("view".into())));
}

/// Far from its data a task takes three times as long and as much more room: if it would be late
/// there it waits for room near its data.
#[test]
fn waits_near() {
    let mut world = World::new(&["view"], 4);
    let near = StepSpec { data_rack: Some("rack-0".into()), ..step(8, 4, 1_000) };
    world.submit("j", "q-view", job(vec![near]));
    world.run_for(Duration::from_millis(300));
    assert_eq!(far_runs(&world), 0);
    let outcome = world.run_until_over("j", Duration::from_millis(2_500));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

#[test]
fn goes_far() {
    let mut world = World::new(&["view"], 4);
    let nowhere = StepSpec { data_rack: Some("rack-9".into()), ..step(2, 4, 1_000) };
    world.submit("j", "q-view", job(vec![nowhere]));
    world.run_for(Duration::from_millis(300));
    assert_eq!(far_runs(&world), 2);
}

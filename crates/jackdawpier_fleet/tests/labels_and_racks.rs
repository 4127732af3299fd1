//! Placement of tasks by required label and by the rack of their data.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{
    machines::MachineWork,
    record::JobOutcome,
    spec::{Resources, StepSpec},
};
use world::{World, job, step};

fn far_runs(world: &World) -> usize {
    world.executors.values().map(world::executor::FakeExecutor::remote_runs).sum()
}

#[test]
fn required_label() {
    let mut world = World::new(&["view"], 3);
    world.label("m-view-2", "gpu");
    world.run_for(Duration::from_millis(500));
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(6, 3, 500) };
    world.submit("j", "q-view", job(vec![needs]));
    let outcome = world.run_until_over("j", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// No machine of the pool has the label, but an idle one of another pool does.
#[test]
fn moved_label_machine() {
    let mut world = World::new(&["view", "report"], 4);
    world.label("m-report-3", "gpu");
    world.run_for(Duration::from_secs(4));
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(2, 3, 500) };
    world.submit("j", "q-view", job(vec![needs]));
    world.run_for(Duration::from_secs(3));
    let moved = world.machine_orders.iter().find(|(_, order)| &*order.machine == "m-report-3");
    let to = moved.map(|(_, order)| order.work.clone());
    assert_eq!(to, Some(MachineWork::Move("view".into())));
}

/// Outside the rack of its data a task takes three times as long. If it would be late there it
/// waits for room near its data.
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
fn runs_remote() {
    let mut world = World::new(&["view"], 4);
    let nowhere = StepSpec { data_rack: Some("rack-9".into()), ..step(2, 4, 1_000) };
    world.submit("j", "q-view", job(vec![nowhere]));
    world.run_for(Duration::from_millis(300));
    assert_eq!(far_runs(&world), 2);
}

/// The pool's only machine with the label is full of other tasks, so one of another pool is moved.
#[test]
fn full_label_machine() {
    let mut world = World::new(&["view", "report"], 4);
    world.label("m-view-0", "gpu");
    world.label("m-report-0", "gpu");
    world.label("m-report-1", "gpu");
    world.run_for(Duration::from_secs(4));
    world.submit("others", "q-view", job(vec![step(4, 7, 8_000)]));
    world.run_for(Duration::from_secs(1));
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(2, 3, 500) };
    world.submit("j", "q-view", job(vec![needs]));
    let outcome = world.run_until_over("j", Duration::from_secs(4));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// Long-running tasks that can run anywhere avoid the few machines with a label that other tasks
/// require.
#[test]
fn avoids_label_machine() {
    let mut world = World::new(&["view"], 4);
    world.label("m-view-0", "gpu");
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(2, 3, 500) };
    world.submit("asks", "q-view", job(vec![needs.clone()]));
    world.run_for(Duration::from_secs(2));
    let long_running = StepSpec { is_long_running: true, max_per_executor: 1, ..step(3, 6, 0) };
    world.submit("lasts", "q-view", job(vec![long_running]));
    world.run_for(Duration::from_secs(1));
    world.submit("j", "q-view", job(vec![needs]));
    let outcome = world.run_until_over("j", Duration::from_secs(2));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// The only executor with the label isn't near the data and never half free.
#[test]
fn label_outside_rack() {
    let mut world = World::new(&["view"], 4);
    world.label("m-view-2", "gpu");
    let labelled = |step| StepSpec { required_label: Some("gpu".into()), ..step };
    let long_running = StepSpec { is_long_running: true, ..step(1, 5, 0) };
    world.submit("lasts", "q-view", job(vec![labelled(long_running)]));
    world.run_for(Duration::from_secs(1));
    let near = StepSpec { data_rack: Some("rack-0".into()), ..step(1, 3, 1_000) };
    world.submit("j", "q-view", job(vec![labelled(near)]));
    world.run_for(Duration::from_millis(300));
    assert_eq!(far_runs(&world), 1, "no executor near the data has the label");
}

/// The executor near the data never has room, and the others are never half free.
#[test]
fn full_data_rack() {
    let mut world = World::new(&["view"], 2);
    world.machines.keys().cloned().collect::<Vec<_>>().iter().for_each(|machine| {
        let rack = if &**machine == "m-view-0" { "rack-0" } else { "rack-1" };
        let id = world.executor_of(machine);
        world.executors.get_mut(&id).expect("the executor runs").info.rack = Some(rack.into());
    });
    world.run_for(Duration::from_millis(300));
    let long_running = StepSpec { is_long_running: true, max_per_executor: 1, ..step(2, 5, 0) };
    world.submit("lasts", "q-view", job(vec![long_running]));
    let more =
        StepSpec { is_long_running: true, data_rack: Some("rack-0".into()), ..step(1, 1, 0) };
    world.submit("fills", "q-view", job(vec![more]));
    world.run_for(Duration::from_secs(1));
    let near = StepSpec { data_rack: Some("rack-0".into()), ..step(1, 3, 1_000) };
    world.submit("j", "q-view", job(vec![near]));
    let outcome = world.run_until_over("j", Duration::from_secs(12));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// The only machine with the label runs long-running tasks of another pool that have room
/// elsewhere.
#[test]
fn reclaimed_label() {
    let mut world = World::new(&["view", "report"], 4);
    world.run_for(Duration::from_secs(4));
    let long_running =
        StepSpec { is_long_running: true, max_per_executor: 1, may_miss: 1, ..step(3, 3, 0) };
    world.submit("lasts", "q-report", job(vec![long_running]));
    world.run_for(Duration::from_secs(2));
    world.label("m-report-0", "gpu");
    let more = StepSpec { is_long_running: true, may_miss: 1, ..step(2, 1, 0) };
    world.submit("more", "q-report", job(vec![more]));
    world.run_for(Duration::from_secs(2));
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(2, 3, 500) };
    world.submit("j", "q-view", job(vec![needs]));
    let outcome = world.run_until_over("j", Duration::from_secs(8));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    assert!(world.at_work_of("lasts") >= 2, "no more are away than may be");
}

/// Long-running tasks of a pool without label requirements avoid the machines with a label that
/// another pool requires.
#[test]
fn other_pools_label() {
    let mut world = World::new(&["view", "report"], 4);
    world.label("m-report-0", "gpu");
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(2, 3, 500) };
    world.submit("asks", "q-view", job(vec![needs]));
    world.run_for(Duration::from_millis(200));
    let long_running = StepSpec { is_long_running: true, max_per_executor: 1, ..step(3, 3, 0) };
    world.submit("lasts", "q-report", job(vec![long_running]));
    let outcome = world.run_until_over("asks", Duration::from_secs(7));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    assert_eq!(world.at_work_of("lasts"), 3);
}

/// Two machines of another pool run long-running tasks that require the label, one of them larger
/// than the others. The third machine is idle and must not be kept for tasks that already run.
#[test]
fn idle_label_machine() {
    let mut world = World::new(&["view", "report"], 4);
    for machine in ["m-report-0", "m-report-1", "m-report-2"] {
        world.label(machine, "gpu");
    }
    world.run_for(Duration::from_secs(4));
    let long_running = |count, memory_mb| StepSpec {
        need: Resources { cpu_millicores: 1_000, memory_mb, gpus: 0 },
        required_label: Some("gpu".into()),
        is_long_running: true,
        ..step(count, 1, 0)
    };
    world.submit("large", "q-report", job(vec![long_running(1, 60_000)]));
    world.submit("small", "q-report", job(vec![long_running(3, 1_000)]));
    world.run_for(Duration::from_secs(2));
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(4, 3, 500) };
    world.submit("j", "q-view", job(vec![needs]));
    let outcome = world.run_until_over("j", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// The machine with the label runs short tasks of another pool that could run anywhere. New tasks
/// of that pool are placed elsewhere, and the machine moves once it is empty.
#[test]
fn busy_label_machine() {
    let mut world = World::new(&["view", "report"], 4);
    world.label("m-report-0", "gpu");
    world.run_for(Duration::from_secs(4));
    world.submit("others", "q-report", job(vec![step(400, 4, 1_000)]));
    world.run_for(Duration::from_millis(500));
    let needs = StepSpec { required_label: Some("gpu".into()), ..step(2, 3, 500) };
    world.submit("j", "q-view", job(vec![needs]));
    let outcome = world.run_until_over("j", Duration::from_secs(6));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

//! Executors that list ends of runs which a previous owner had written and not acknowledged, or which were superseded.

mod world;

use std::{sync::Arc, time::Duration};

use jackdawpier_fleet::{
    record::{JobOutcome, JobRecord},
    spec::{Resources, Schedule, StepSpec},
};
use world::{EPOCH_MS, STEP, World, executor::FakeExecutor, job, step};

/// Time within which jobs must end after a kill: they take half a second, and nothing else is in their way.
const PROMPT: Duration = Duration::from_secs(4);
/// Time after which a frozen executor must take work: a lease, its margin, the polls of an idle executor, and the jobs.
const AFTER_LEASE: Duration = Duration::from_secs(9);

/// A world of three executors in which all runs fail for as long as `is_failing`.
fn three_executors() -> World {
    let mut world = World::new(&["view"], 3);
    set_failing(&mut world, true);
    world
}

fn set_failing(world: &mut World, is_failing: bool) {
    world.executors.values_mut().for_each(|executor| executor.fails_all = is_failing);
}

fn gang() -> StepSpec {
    StepSpec { is_gang: true, max_per_executor: 1, ..step(3, 5, 500) }
}

/// Runs until the store has the ends of the jobs, and their executors still list the ends of the last runs.
fn run_until_written(world: &mut World, ids: &[&str]) {
    let until = world.now + Duration::from_secs(20);
    let is_written = |world: &World, id: &str| {
        world.store.get(id).is_some_and(|(record, _)| record.outcome.is_some())
    };
    while !ids.iter().all(|id| is_written(world, id)) {
        assert!(world.now < until, "the jobs don't end");
        world.run_for(STEP);
    }
    assert!(world.executors.values().any(FakeExecutor::has_ends), "all ends are acknowledged");
}

/// Runs until a task of the job runs for the second time, with no failures from then on.
fn run_until_rerun(world: &mut World, id: &str) {
    let until = world.now + Duration::from_secs(20);
    let has_rerun = |world: &World| world.store.get(id).is_some_and(|(record, _)| record.has_rerun);
    while !(has_rerun(world) && world.runs_of(id) > 0) {
        assert!(world.now < until, "{id} isn't started again");
        world.run_for(STEP);
    }
    set_failing(world, false);
}

/// Submits a gang of three and two single tasks, which must end within `limit`.
fn check_in_service(world: &mut World, limit: Duration) {
    let until = world.now + limit;
    world.submit("gang", "q-view", job(vec![gang()]));
    world.submit("single", "q-view", job(vec![step(2, 5, 500)]));
    for id in ["gang", "single"] {
        let left = until.saturating_sub(world.now);
        assert_eq!(world.run_until_over(id, left), Some(JobOutcome::Completed), "{id}");
    }
    let has_ends = world.executors.values().filter(|executor| executor.has_ends()).count();
    world.run_for(Duration::from_millis(500));
    let left = world.executors.values().filter(|executor| executor.has_ends()).count();
    assert_eq!(left, 0, "{has_ends} executors list ends, {left} half a second later");
}

/// Guards against executors that a new owner never uses again after its predecessor was killed between the write of a
/// gang's end and its acknowledgement.
#[test]
fn killed_before_acknowledgement() {
    let mut world = three_executors();
    world.submit("j", "q-view", job(vec![gang()]));
    run_until_rerun(&mut world, "j");
    run_until_written(&mut world, &["j"]);
    world.take_over();
    check_in_service(&mut world, PROMPT);
}

/// The same if the next owner is killed as well, before or after its first reports.
#[test]
fn successors_killed() {
    for lived in [Duration::ZERO, STEP, STEP * 2, Duration::from_millis(300)] {
        let mut world = three_executors();
        world.submit("j", "q-view", job(vec![gang()]));
        run_until_rerun(&mut world, "j");
        run_until_written(&mut world, &["j"]);
        world.take_over();
        world.run_for(lived);
        world.take_over();
        check_in_service(&mut world, PROMPT);
    }
}

/// The same for single tasks, steps with copies, and several jobs that end in one write.
#[test]
fn several_jobs_in_one_write() {
    let mut world = three_executors();
    world.write_delay = Duration::from_millis(60);
    let copies = StepSpec { is_speculative: true, ..step(3, 1, 500) };
    world.submit("a", "q-view", job(vec![step(3, 1, 500)]));
    world.submit("b", "q-view", job(vec![copies]));
    world.submit("c", "q-view", job(vec![step(2, 1, 500)]));
    for id in ["a", "b", "c"] {
        run_until_rerun(&mut world, id);
    }
    run_until_written(&mut world, &["a", "b", "c"]);
    world.take_over();
    check_in_service(&mut world, PROMPT);
}

/// The same for a repeated job.
#[test]
fn repeated_occurrences() {
    let mut world = three_executors();
    let mut spec = job(vec![step(2, 1, 300)]);
    let first_ms = EPOCH_MS + world.now.as_millis() as u64;
    spec.schedule = Some(Schedule { first_ms, interval_ms: 200, repeats: 3 });
    world.submit("j", "q-view", spec);
    run_until_rerun(&mut world, "j");
    run_until_written(&mut world, &["j"]);
    world.take_over();
    check_in_service(&mut world, PROMPT);
}

/// The same after an outage of the store during which more ends pile up than an executor lists at once.
#[test]
fn more_ends_than_listed() {
    let mut world = three_executors();
    let need = Resources { cpu_millicores: 5, memory_mb: 1, gpus: 0 };
    let small = StepSpec { need, ..step(1800, 1, 500) };
    world.submit("j", "q-view", job(vec![small]));
    run_until_rerun(&mut world, "j");
    world.write_delay = Duration::from_secs(2);
    run_until_written(&mut world, &["j"]);
    world.write_delay = Duration::from_millis(10);
    world.take_over();
    check_in_service(&mut world, PROMPT);
}

/// Makes the record of a job one of an earlier version, which doesn't tell the last starts.
fn make_record_old(world: &mut World, id: &str) {
    let (record, _) = world.store.get_mut(id).expect("the job is over");
    record.last_starts = None;
    let text = serde_json::to_string(record).expect("a record can be written as JSON");
    assert!(!text.contains("last_starts"));
    *record =
        serde_json::from_str::<JobRecord>(&text).expect("earlier versions wrote such records");
}

/// Guards against executors that stay frozen after an upgrade: the record of an earlier version doesn't tell which run
/// counted, so their leases have to expire first.
#[test]
fn record_of_earlier_version() {
    let mut world = three_executors();
    world.submit("j", "q-view", job(vec![gang()]));
    run_until_rerun(&mut world, "j");
    run_until_written(&mut world, &["j"]);
    make_record_old(&mut world, "j");
    world.take_over();
    world.run_for(Duration::from_millis(200));
    assert_eq!(world.fleet.frozen_executors(), 3);
    check_in_service(&mut world, AFTER_LEASE);
    assert_eq!(world.fleet.frozen_executors(), 0);
}

/// Guards against an acknowledgement of a superseded end before the lease has expired, while other tasks run on.
#[test]
fn not_before_lease_expires() {
    let mut world = three_executors();
    world.submit("j", "q-view", job(vec![gang()]));
    run_until_rerun(&mut world, "j");
    world.submit("beside", "q-view", job(vec![step(3, 2, 8_000)]));
    run_until_written(&mut world, &["j"]);
    make_record_old(&mut world, "j");
    world.take_over();
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.runs_of("beside"), 3, "the freeze ends no task");
    assert!(world.executors.values().all(FakeExecutor::has_ends));
    let outcome = world.run_until_over("beside", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    check_in_service(&mut world, AFTER_LEASE);
}

/// Guards against long-running tasks that keep their executors frozen for good.
#[test]
fn long_running_tasks_relocated() {
    let mut world = three_executors();
    world.submit("j", "q-view", job(vec![gang()]));
    run_until_rerun(&mut world, "j");
    let lasting = StepSpec { is_long_running: true, may_miss: 1, ..step(3, 2, 1_000) };
    world.submit("lasting", "q-view", job(vec![StepSpec { max_per_executor: 1, ..lasting }]));
    run_until_written(&mut world, &["j"]);
    make_record_old(&mut world, "j");
    world.take_over();
    check_in_service(&mut world, Duration::from_secs(60));
    world.run_for(Duration::from_secs(5));
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// A task has completed on an executor that is out of touch, and again elsewhere.
fn superseded_end(world: &mut World, loses_touch: fn(&mut World, &Arc<str>)) -> Arc<str> {
    world.submit("j", "q-view", job(vec![StepSpec { max_per_executor: 1, ..step(3, 5, 1_000) }]));
    world.run_until_started("j");
    let executor = world.executor_of("m-view-0");
    loses_touch(world, &executor);
    let outcome = world.run_until_over("j", Duration::from_secs(20));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    executor
}

fn set_cut(world: &mut World, executor: &str, is_cut: bool) {
    world.executors.get_mut(executor).expect("it is up").set_cut(is_cut);
}

/// Guards against an executor that stays frozen once it answers again: its lease has expired in the meantime.
#[test]
fn silent_executor_returns() {
    let mut world = World::new(&["view"], 3);
    superseded_end(&mut world, |world, executor| {
        world.drops_answers_of = Some(executor.clone());
    });
    world.drops_answers_of = None;
    world.run_for(Duration::from_millis(500));
    check_in_service(&mut world, PROMPT);
}

/// Guards against a partitioned executor that stays frozen once it is back. The owner doesn't know its lease any more,
/// so it waits for the expiry of a new one.
#[test]
fn partitioned_executor_returns() {
    for is_taken_over in [false, true] {
        let mut world = World::new(&["view"], 3);
        let executor = superseded_end(&mut world, |world, executor| set_cut(world, executor, true));
        if is_taken_over {
            world.take_over();
        }
        set_cut(&mut world, &executor, false);
        world.run_for(Duration::from_millis(500));
        check_in_service(&mut world, AFTER_LEASE);
    }
}

/// Guards against an end that bars an executor though the run after it was planned and never ordered.
#[test]
fn planned_run_not_ordered() {
    let mut world = World::new(&["view"], 3);
    world.submit("j", "q-view", job(vec![StepSpec { max_per_executor: 1, ..step(3, 5, 1_000) }]));
    world.run_until_started("j");
    let partitioned: Arc<str> = world.executor_of("m-view-0");
    set_cut(&mut world, &partitioned, true);
    world.run_for(Duration::from_secs(2));
    // Its task is placed anew, and the placement isn't durable yet when it is back.
    world.write_delay = Duration::from_secs(1);
    let until = world.now + Duration::from_secs(20);
    while world.fleet.take_executor_losses().is_empty() {
        assert!(world.now < until, "the task isn't placed anew");
        world.run_for(STEP);
    }
    set_cut(&mut world, &partitioned, false);
    run_until_written(&mut world, &["j"]);
    world.write_delay = Duration::from_millis(10);
    world.take_over();
    check_in_service(&mut world, PROMPT);
}

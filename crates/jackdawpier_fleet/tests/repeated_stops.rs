//! Stop orders for long-running tasks that weren't taken: the conditions for the stop may no longer
//! hold when they are repeated.

mod world;

use std::{sync::Arc, time::Duration};

use jackdawpier_fleet::{
    fleet::Command,
    machines::Wave,
    spec::{StepSpec, TaskKey},
};
use world::{Delivery, World, job, step};

/// Delivery later than the end of any test.
const NEVER: Delivery = Delivery::Late(Duration::from_secs(1000));
/// Time after a crash by which the lost tasks count as away.
const LOSS_NOTICED_AFTER: Duration = Duration::from_millis(4600);

/// Machine that runs two tasks of a step.
const CROWDED: &str = "m-view-0";

/// Executor, task and run number of a stop order.
type Stop = (Arc<str>, TaskKey, u32);

fn long_running(count: u32) -> StepSpec {
    StepSpec { is_long_running: true, may_miss: 1, max_per_executor: 1, ..step(count, 6, 0) }
}

/// Starts three tasks, then restarts one by an order whose answer is lost. Returns the machines of
/// the others.
fn with_unanswered_start(world: &mut World) -> Vec<Arc<str>> {
    world.submit("j", "q-view", job(vec![long_running(3)]));
    world.run_for(Duration::from_secs(7));
    let busy = world.busy_machines();
    world.run_for(Duration::from_millis(10));
    let mut orders = 0;
    world.delivery = Box::new(move |_| {
        orders += 1;
        if orders == 1 { Delivery::AnswerLost } else { NEVER }
    });
    world.crash(&busy[0], None);
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.runs_of("j"), 3, "the start was carried out");
    busy[1..].to_vec()
}

/// Crashes a machine without any list of machines showing it.
fn crash_undetected(world: &mut World, machine: &str) {
    world.machine_list_unavailable = true;
    world.crash(machine, None);
}

fn starts(world: &World) -> usize {
    world.commands.iter().filter(|(_, command)| matches!(command, Command::Start { .. })).count()
}

/// An unanswered start had been carried out. The task had been at work for seconds when it was
/// stopped, while another one was away.
#[test]
fn unanswered_start() {
    let mut world = World::new(&["view"], 5);
    let others = with_unanswered_start(&mut world);
    crash_undetected(&mut world, &others[0]);
    world.run_for(LOSS_NOTICED_AFTER);
    let started = starts(&world);
    world.delivery = Box::new(|_| Delivery::Answered);
    world.run_for(Duration::from_millis(400));
    assert_eq!(world.at_work_of("j"), 2, "one may be missed");
    assert_eq!(starts(&world), started);
}

/// Starts a step with two tasks on one machine, more than it may miss. Returns the machine of the
/// third.
fn with_crowded_machine(world: &mut World) -> Arc<str> {
    let cut: Vec<_> =
        ["m-view-1", "m-view-2"].iter().map(|machine| world.executor_of(machine)).collect();
    cut.iter().for_each(|id| world.executors.get_mut(id).expect("the executor runs").set_cut(true));
    world.run_for(Duration::from_secs(2));
    let small = StepSpec { max_per_executor: 2, need: step(1, 2, 0).need, ..long_running(3) };
    world.submit("j", "q-view", job(vec![small]));
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.runs_of("j"), 2);
    cut.iter()
        .for_each(|id| world.executors.get_mut(id).expect("the executor runs").set_cut(false));
    world.run_for(Duration::from_secs(5));
    assert_eq!(world.at_work_of("j"), 3);
    let other = world.busy_machines().into_iter().find(|one| **one != *CROWDED);
    other.expect("a task runs on another machine")
}

fn wave(number: u64, machine: &str) -> Wave {
    let within = Duration::from_secs(20);
    Wave { number, machines: vec![machine.into()], within, max_away: 1 }
}

/// Runs until a stop order is issued, and returns it.
fn run_until_stop(world: &mut World) -> Stop {
    loop {
        world.run_for(world::STEP);
        let stop = world.commands.iter().find_map(|(_, command)| match command {
            Command::Stop { executor, task, run, .. } => {
                Some((executor.clone(), task.clone(), *run))
            }
            _ => None,
        });
        if let Some(stop) = stop {
            return stop;
        }
    }
}

/// Orders a task off the crowded machine by a stop that isn't taken. Returns the machine of the
/// third task and the order.
fn with_untaken_stop(world: &mut World) -> (Arc<str>, Stop) {
    let other = with_crowded_machine(world);
    world.delivery = Box::new(|_| NEVER);
    world.waves.push(wave(1, CROWDED));
    (other, run_until_stop(world))
}

/// A stop was ordered while the step could miss the task, and was delivered seconds later, when
/// another task was away.
#[test]
fn outdated_stop() {
    let mut world = World::new(&["view"], 3);
    let (other, _) = with_untaken_stop(&mut world);
    crash_undetected(&mut world, &other);
    world.run_for(LOSS_NOTICED_AFTER);
    world.delivery = Box::new(|_| Delivery::Answered);
    world.run_for(Duration::from_millis(400));
    assert_eq!(world.at_work_of("j"), 2, "one may be missed");
}

/// A delayed attempt of a stop order was sent although another task was away by then.
#[test]
fn delayed_attempt() {
    let mut world = World::new(&["view"], 3);
    let (other, (executor, task, run)) = with_untaken_stop(&mut world);
    assert!(world.fleet.may_send_stop(world.now, &executor, &task, run));
    world.executors.get_mut(&executor).expect("the executor runs").set_cut(true);
    crash_undetected(&mut world, &other);
    world.run_for(Duration::from_secs(2));
    assert!(!world.fleet.may_send_stop(world.now, &executor, &task, run), "one is away already");
}

/// Checks a revoked stop that is carried out `late` all the same. The wave for a machine with
/// another task starts `wave_after` the stop was ordered.
fn check_revoked_stop(late: Duration, wave_after: Duration) {
    let mut world = World::new(&["view"], 5);
    world.submit("j", "q-view", job(vec![long_running(3)]));
    world.run_for(Duration::from_secs(7));
    let busy = world.busy_machines();
    let mut orders = 0;
    world.delivery = Box::new(move |_| {
        orders += 1;
        match orders {
            1 => Delivery::Late(Duration::from_millis(500)),
            2 => Delivery::Late(late),
            3 => NEVER,
            _ => Delivery::Answered,
        }
    });
    world.crash(&busy[0], None);
    run_until_stop(&mut world);
    world.run_for(wave_after);
    world.waves.push(wave(1, &busy[1]));
    while world.at_work_of("j") < 3 {
        world.run_for(world::STEP);
    }
    for _ in 0..2000 {
        world.run_for(world::STEP);
        assert!(world.at_work_of("j") >= 2, "one may be missed");
    }
    assert_eq!(world.machine_orders.len(), 1);
    assert_eq!(world.runs_of("j"), 3);
}

/// The task of a revoked stop counts as away until the stop can't be carried out any more.
#[test]
fn revoked_stop_late() {
    check_revoked_stop(Duration::from_millis(2200), Duration::ZERO);
}

/// Executors may carry out orders up to twelve seconds late.
#[test]
fn revoked_stop_hanging() {
    check_revoked_stop(Duration::from_secs(9), Duration::from_millis(8400));
}

//! Orders to stop a long-running task that weren't taken: what made them right may not hold when they are repeated.

mod world;

use std::{sync::Arc, time::Duration};

use jackdawpier_fleet::{
    fleet::Command,
    machines::Wave,
    spec::{StepSpec, TaskKey},
};
use world::{Delivery, World, job, step};

/// Longer than any test runs.
const NEVER: Delivery = Delivery::Late(Duration::from_secs(1000));
/// What hasn't been at work for this long counts as away.
const NOTICED: Duration = Duration::from_millis(4600);

/// A machine that two tasks of a step share.
const CROWDED: &str = "m-view-0";

/// An order to stop a run: its executor, task and number.
type Stop = (Arc<str>, TaskKey, u32);

fn lasting(count: u32) -> StepSpec {
    StepSpec { is_long_running: true, may_miss: 1, max_per_executor: 1, ..step(count, 6, 0) }
}

/// Three tasks at work, of which one has just been started again by an order whose answer was lost; returns the
/// machines of the others.
fn with_unsure_start(world: &mut World) -> Vec<Arc<str>> {
    world.submit("j", "q-view", job(vec![lasting(3)]));
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

/// The machine of one more task fails, and no list of machines shows it.
fn lose_unseen(world: &mut World, machine: &str) {
    world.machine_list_unavailable = true;
    world.crash(machine, None);
}

fn starts(world: &World) -> usize {
    world.commands.iter().filter(|(_, command)| matches!(command, Command::Start { .. })).count()
}

/// A start without an answer had begun after all: the task was at work for seconds when it was stopped, and another one was away.
#[test]
fn unsure_start() {
    let mut world = World::new(&["view"], 5);
    let others = with_unsure_start(&mut world);
    lose_unseen(&mut world, &others[0]);
    world.run_for(NOTICED);
    let started = starts(&world);
    world.delivery = Box::new(|_| Delivery::Answered);
    world.run_for(Duration::from_millis(400));
    assert_eq!(world.at_work_of("j"), 2, "one may be missed");
    assert_eq!(starts(&world), started);
}

/// A step of which two tasks run on one machine, more than it may miss; returns the machine of the third.
fn with_crowded_machine(world: &mut World) -> Arc<str> {
    let cut: Vec<_> =
        ["m-view-1", "m-view-2"].iter().map(|machine| world.executor_of(machine)).collect();
    cut.iter().for_each(|id| world.executors.get_mut(id).expect("it lives").set_cut(true));
    world.run_for(Duration::from_secs(2));
    let small = StepSpec { max_per_executor: 2, need: step(1, 2, 0).need, ..lasting(3) };
    world.submit("j", "q-view", job(vec![small]));
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.runs_of("j"), 2);
    cut.iter().for_each(|id| world.executors.get_mut(id).expect("it lives").set_cut(false));
    world.run_for(Duration::from_secs(5));
    assert_eq!(world.at_work_of("j"), 3);
    let other = world.busy_machines().into_iter().find(|one| **one != *CROWDED);
    other.expect("a task runs on another machine")
}

fn wave(number: u64, machine: &str) -> Wave {
    let within = Duration::from_secs(20);
    Wave { number, machines: vec![machine.into()], within, max_away: 1 }
}

/// Runs until a task is told to stop.
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

/// A task that is told to leave the crowded machine, by an order that isn't taken; returns the machine of the third and the order.
fn with_untaken_stop(world: &mut World) -> (Arc<str>, Stop) {
    let other = with_crowded_machine(world);
    world.delivery = Box::new(|_| NEVER);
    world.waves.push(wave(1, CROWDED));
    (other, run_until_stop(world))
}

/// A task had been told to leave its machine while its step could spare it; the order came seconds later, when another one was away.
#[test]
fn spared_before() {
    let mut world = World::new(&["view"], 3);
    let (other, _) = with_untaken_stop(&mut world);
    lose_unseen(&mut world, &other);
    world.run_for(NOTICED);
    world.delivery = Box::new(|_| Delivery::Answered);
    world.run_for(Duration::from_millis(400));
    assert_eq!(world.at_work_of("j"), 2, "one may be missed");
}

/// A try of a stop that had waited behind others left though another task was away by then.
#[test]
fn held_up_try() {
    let mut world = World::new(&["view"], 3);
    let (other, (executor, task, run)) = with_untaken_stop(&mut world);
    assert!(world.fleet.may_send_stop(world.now, &executor, &task, run));
    world.executors.get_mut(&executor).expect("it lives").set_cut(true);
    lose_unseen(&mut world, &other);
    world.run_for(Duration::from_secs(2));
    assert!(!world.fleet.may_send_stop(world.now, &executor, &task, run), "one is away already");
}

/// A stop that was taken back is carried out after all, `late`; a machine with another task is asked for `asked_after` it was ordered.
fn carried_out(late: Duration, asked_after: Duration) {
    let mut world = World::new(&["view"], 5);
    world.submit("j", "q-view", job(vec![lasting(3)]));
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
    world.run_for(asked_after);
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

/// Until a stop that was taken back can't be carried out any more its task counts as away.
#[test]
fn taken_back_late() {
    carried_out(Duration::from_millis(2200), Duration::ZERO);
}

/// Executors carry orders out up to twelve seconds late.
#[test]
fn taken_back_hanging() {
    carried_out(Duration::from_secs(9), Duration::from_millis(8400));
}

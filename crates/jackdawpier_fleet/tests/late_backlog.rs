//! One pool has a late backlog worth many times its machines while others get on-time work.

mod world;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use jackdawpier_fleet::{
    fleet::{Command, Fleet, FleetSettings, JobView, StopReason},
    machines::{MachineOrderOutcome, MachineWork},
    policy::Policy,
    spec::{JobSpec, StepSpec},
};
use world::{Machine, World, job, settings, step};

const FRESH: [&str; 3] = ["a", "b", "c"];
/// Machines of the pool with the backlog and of each other one: a tenth of 239 and 37.
const LARGE: usize = 24;
const SMALL: usize = 4;

/// Submits a job that was accepted some time ago.
fn submit_old(world: &mut World, id: &str, age_s: u64, spec: JobSpec) {
    world.store_job(id, "q-late", spec);
    world.submissions.get_mut(id).expect("it was just stored").accepted_ms -= age_s * 1_000;
    let (now, submission) = (world.now, world.submissions[id].clone());
    let arrived_at = now.saturating_sub(Duration::from_secs(age_s));
    world.fleet.add_job(now, arrived_at, world.wall_ms(), id.into(), submission);
}

/// Submits jobs that can't be on time any more, but still have some value.
fn submit_late(world: &mut World, jobs: usize) {
    for number in 0..jobs {
        submit_old(world, &format!("late-{number}"), 3, job(vec![step(8, 1, 1_000)]));
    }
    world.run_for(Duration::from_millis(300));
}

fn uneven() -> World {
    let mut world = World::new(&["late", "a", "b", "c"], SMALL);
    for number in SMALL..LARGE {
        world.add_machine(&format!("m-late-{number}").into(), "late", "rack");
    }
    world.run_for(Duration::from_secs(4));
    submit_late(&mut world, 10 * LARGE);
    world
}

/// Runs with new on-time jobs in some pools, each worth `machines`.
fn run_with_fresh(world: &mut World, pools: &[&str], time_ms: u64, machines: u64) {
    let until = world.now + Duration::from_millis(time_ms);
    while world.now < until {
        for pool in pools {
            let id = format!("{pool}-{}", world.now.as_millis());
            world.submit(&id, &format!("q-{pool}"), job(vec![step(8, 1, 1_000)]));
        }
        world.run_for(Duration::from_millis(1_000 / machines));
    }
}

fn machines_in(world: &World, pool: &str) -> usize {
    let machines = world.machines.values().filter(|one| &*one.pool == pool);
    machines.filter(|machine| machine.back_at.is_none()).count()
}

fn assert_moved(world: &World) {
    let machines = FRESH.map(|pool| machines_in(world, pool));
    assert!(machines.iter().all(|count| *count >= 7), "{machines:?} of 8 machines each");
}

fn moves_to(world: &World, pool: &str) -> usize {
    let to = MachineWork::Move(pool.into());
    world.machine_orders.iter().filter(|(_, order)| order.work == to).count()
}

/// Returns the executor and the job of each task that was stopped for a move.
fn stopped(world: &World) -> Vec<(Arc<str>, Arc<str>)> {
    let commands = world.commands.iter().filter_map(|(_, command)| match command {
        Command::Stop { executor, task, reason: StopReason::MachineTaken, .. } => {
            Some((executor.clone(), task.job.clone()))
        }
        _ => None,
    });
    commands.collect()
}

/// Adds on-time work until a task is stopped for it.
fn run_until_stopped(world: &mut World, pools: &[&str]) {
    let until = world.now + Duration::from_secs(2);
    while stopped(world).is_empty() {
        assert!(world.now < until, "no task is stopped");
        run_with_fresh(world, pools, 120, 8);
    }
}

/// The larger shortage of the late backlog took the idle machines that on-time work needed.
#[test]
fn idle_machines() {
    let mut world = World::new(&["late", "idle", "a"], 4);
    world.run_for(Duration::from_secs(4));
    world.submit("on-time", "q-a", job(vec![step(64, 1, 1_000)]));
    submit_late(&mut world, 60);
    let idle = world.machine_orders.iter().filter(|(_, one)| one.machine.starts_with("m-idle"));
    assert_eq!((moves_to(&world, "late"), idle.count()), (0, 2));
}

/// The late backlog held its machines until it was done, while the others had half of what their
/// on-time work needed.
#[test]
fn on_time_work() {
    let mut world = uneven();
    run_with_fresh(&mut world, &FRESH, 3_000, 8);
    assert_moved(&world);
    // They need 12 more in total. The rate of the first arrivals is rough.
    assert!(machines_in(&world, "late") >= LARGE - 18, "{}", machines_in(&world, "late"));
}

/// A pool without any primary demand keeps its minimum share, however much the others need.
#[test]
fn minimum_share() {
    let mut world = uneven();
    run_with_fresh(&mut world, &FRESH, 4_000, 25);
    assert_eq!(machines_in(&world, "late"), (LARGE + 3 * SMALL).div_ceil(2 * 4));
}

/// Without late work the same machines move at the same times as without the mechanism.
#[test]
fn ordinary_load() {
    let orders = |takes_busy_machines| {
        let mut world = World::new(&["late", "a", "b", "c"], 7);
        let policy = Policy { takes_busy_machines, ..Policy::default() };
        world.fleet = Fleet::new(FleetSettings { policy, ..settings() }, world.now);
        world.configure();
        world.run_for(Duration::from_secs(4));
        for turn in 0..60 {
            for (number, pool) in (0..).zip(["late", "a", "b", "c"]) {
                let tasks = if turn / 15 == number { 6 + turn % 15 / 2 } else { 2 };
                let spec = job(vec![step(tasks, 2, 400)]);
                world.submit(&format!("{pool}-{turn}"), &format!("q-{pool}"), spec);
                let before = world.fleet.view(&format!("{pool}-{}", turn.saturating_sub(8)));
                let is_over = matches!(before, Some(JobView::Over(_)));
                assert!(turn < 8 || is_over, "a job is late in turn {turn}");
            }
            world.run_for(Duration::from_millis(150));
        }
        world.machine_orders
    };
    let without = orders(false);
    assert!(without.len() >= 4, "{} moves", without.len());
    assert_eq!(orders(true), without);
}

/// Each machine of a pool runs an on-time, a late and an expired task when some are taken.
fn mixed_load() -> World {
    let mut world = World::new(&["late", "a"], 4);
    world.run_for(Duration::from_secs(4));
    let spread = |run_ms| job(vec![StepSpec { max_per_executor: 1, ..step(4, 1, run_ms) }]);
    submit_old(&mut world, "expired", 30, spread(3_000));
    submit_old(&mut world, "late", 6, spread(3_000));
    world.submit("on-time", "q-late", spread(1_800));
    run_until_stopped(&mut world, &["a"]);
    world
}

/// Late and expired tasks of three seconds kept a machine until they had ended. On-time tasks must
/// not be stopped, and late ones only once the room beside them is of no use.
#[test]
fn stopped_tasks() {
    let mut world = mixed_load();
    assert!(stopped(&world).iter().all(|(_, job)| &**job == "expired"));
    let until = world.now + Duration::from_secs(2);
    while !stopped(&world).iter().any(|(_, job)| &**job == "late") {
        assert!(world.now < until, "no late task is stopped");
        let runs_on_time: BTreeSet<Arc<str>> = world
            .executors
            .values()
            .filter(|one| one.running().any(|task| &*task.job == "on-time"))
            .map(|one| one.info.id.clone())
            .collect();
        let before = stopped(&world).len();
        run_with_fresh(&mut world, &["a"], 10, 100);
        for (executor, job) in &stopped(&world)[before..] {
            assert!(&**job == "expired" || !runs_on_time.contains(executor), "{job} is stopped");
        }
    }
}

/// The machine must accept work again if it isn't needed any more when it could be ordered.
#[test]
fn shortage_gone() {
    let mut world = mixed_load();
    let fresh: Vec<Arc<str>> =
        world.submissions.keys().filter(|id| id.starts_with("a-")).cloned().collect();
    fresh.iter().for_each(|id| world.cancel(id));
    submit_late(&mut world, 60);
    world.run_for(Duration::from_millis(2_200));
    let busy = world.busy_machines();
    let of_late = busy.iter().filter(|machine| machine.starts_with("m-late"));
    assert_eq!((moves_to(&world, "a"), of_late.count()), (0, 4));
}

/// Brings about a fault when the first tasks are stopped, after which the machines must still
/// arrive. The model asserts that no task runs twice.
fn assert_recovers(before: impl Fn(&mut World), fault: impl Fn(&mut World)) {
    let mut world = uneven();
    before(&mut world);
    run_until_stopped(&mut world, &FRESH);
    fault(&mut world);
    run_with_fresh(&mut world, &FRESH, 4_000, 8);
    assert_moved(&world);
}

#[test]
fn new_owner() {
    assert_recovers(|_| {}, World::take_over);
}

#[test]
fn refused_order() {
    let end = |world: &mut World| {
        world.run_for(Duration::from_millis(300));
        assert!(moves_to(world, "a") > 0, "no order was refused");
        world.refuses_moves = false;
    };
    assert_recovers(|world| world.refuses_moves = true, end);
}

#[test]
fn lost_order() {
    let lose = |world: &mut World| {
        world.run_for(Duration::from_millis(300));
        world.machine_order_delay = Duration::ZERO;
        let now = world.now;
        let orders = world.commands.iter().filter_map(|(_, command)| match command {
            Command::Machine(order) => Some(order),
            _ => None,
        });
        assert!(orders.clone().count() > 0, "no order was lost");
        let outcome = MachineOrderOutcome::Unanswered;
        orders.for_each(|order| world.fleet.machine_order_ended(now, order, outcome));
    };
    assert_recovers(|world| world.machine_order_delay = Duration::from_secs(3_600), lose);
}

#[test]
fn dying_machines() {
    let crash = |world: &mut World| {
        let vacated: BTreeSet<Arc<str>> = stopped(world).into_iter().map(|(id, _)| id).collect();
        let is_vacated = |one: &Machine| one.executor.iter().any(|id| vacated.contains(id));
        let machines = world.machines.iter().filter(|(_, one)| is_vacated(one));
        let machines: Vec<Arc<str>> = machines.map(|(id, _)| id.clone()).collect();
        machines.iter().for_each(|machine| world.crash(machine, None));
    };
    assert_recovers(|_| {}, crash);
}

//! Defragmentation: tasks that would have room if long-running tasks were placed differently. No
//! ending task makes room for them, so they waited forever.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{fleet::JobView, record::JobOutcome, spec::StepSpec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{World, job, step};

/// Number of random histories by default; override with `HISTORIES=2000`.
const HISTORIES: u64 = 30;

/// Maximum wait of a task for long-running tasks that can run elsewhere.
const ROOM_WITHIN: Duration = Duration::from_secs(12);

/// A long-running step whose tasks may share an executor.
fn long_running(count: u32, cores: u64) -> StepSpec {
    StepSpec { is_long_running: true, may_miss: 1, ..step(count, cores, 0) }
}

fn gang(count: u32, cores: u64) -> StepSpec {
    StepSpec { is_gang: true, ..step(count, cores, 500) }
}

/// Two executors without any other machine, each running a long-running task of three cores.
fn two_spread_tasks(may_miss: u32) -> World {
    let mut world = World::new(&["view"], 2);
    world.submit("first", "q-view", job(vec![step(2, 5, 3_000)]));
    world.run_for(Duration::from_millis(300));
    world.submit("lasting", "q-view", job(vec![StepSpec { may_miss, ..long_running(2, 3) }]));
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.at_work_of("lasting"), 2);
    world
}

fn assert_done(world: &mut World, id: &str) {
    let outcome = world.run_until_over(id, ROOM_WITHIN);
    assert_eq!(outcome, Some(JobOutcome::Completed), "{:?}", world.fleet.view(id));
}

/// A task waited forever although one long-running task could move to the other's executor.
#[test]
fn joins_other_task() {
    let mut world = two_spread_tasks(1);
    world.submit("large", "q-view", job(vec![step(1, 6, 500)]));
    assert_done(&mut world, "large");
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.at_work_of("lasting"), 2);
}

/// The same with a long-running step that sets no limit on missed tasks.
#[test]
fn without_limit() {
    let mut world = two_spread_tasks(0);
    world.submit("large", "q-view", job(vec![step(1, 6, 500)]));
    assert_done(&mut world, "large");
}

/// The same for a gang that needs room on three executors at once.
#[test]
fn gang_room() {
    let mut world = World::new(&["view"], 3);
    world.submit("first", "q-view", job(vec![step(3, 6, 3_000)]));
    world.run_for(Duration::from_millis(300));
    world.submit("lasting", "q-view", job(vec![long_running(3, 2)]));
    world.run_for(Duration::from_secs(4));
    world.submit("gang", "q-view", job(vec![gang(4, 4)]));
    assert_done(&mut world, "gang");
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// Other tasks keep arriving and take each gap.
#[test]
fn busy_pool() {
    let mut world = two_spread_tasks(1);
    world.submit("large", "q-view", job(vec![step(1, 6, 500)]));
    for number in 0..60 {
        world.submit(&format!("other-{number}"), "q-view", job(vec![step(2, 2, 400)]));
        world.run_for(Duration::from_millis(200));
    }
    assert_eq!(world.fleet.view("large"), Some(JobView::Over(JobOutcome::Completed)));
}

/// Two tasks block the room and their step may miss one, so they are moved one after the other.
#[test]
fn one_by_one() {
    let mut world = World::new(&["view"], 2);
    world.submit("first", "q-view", job(vec![step(2, 5, 3_000)]));
    world.run_for(Duration::from_millis(300));
    world.submit("lasting", "q-view", job(vec![long_running(5, 1)]));
    world.run_for(Duration::from_secs(4));
    world.submit("large", "q-view", job(vec![step(1, 8, 500)]));
    assert_done(&mut world, "large");
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.at_work_of("lasting"), 5);
}

/// No relocation makes room for the whole gang, so none is started.
#[test]
fn impossible_gang() {
    let mut world = two_spread_tasks(1);
    world.submit("large", "q-view", job(vec![step(2, 6, 500)]));
    world.run_for(Duration::from_secs(4));
    let stops = world.long_running.gaps.len();
    world.submit("too-large", "q-view", job(vec![gang(2, 6)]));
    world.run_for(Duration::from_secs(60));
    assert!(world.long_running.gaps.len() <= stops + 1, "{:?}", world.long_running.gaps);
}

/// Executors crash and are disconnected, owners change and other tasks arrive during
/// defragmentation. No step misses more tasks than it may, which the world checks at each order.
#[test]
fn random_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("FIRST").unwrap_or(0);
    for seed in first..first + number("HISTORIES").unwrap_or(HISTORIES) {
        println!("seed {seed}");
        run_history(seed);
    }
}

fn run_history(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // One executor more than the large job needs, since an executor that is frozen after a task ran
    // twice accepts no more work.
    let mut world = World::new(&["view"], 4);
    world.restarts_keep_ids = random.random_bool(0.5);
    // The long-running tasks are submitted while other tasks fill most of each executor, so they
    // are spread.
    world.submit("first", "q-view", job(vec![step(4, 6, 2_000)]));
    world.run_for(Duration::from_millis(300));
    let long_running: Vec<(String, u32)> =
        (0..3).map(|number| (format!("lasting-{number}"), random.random_range(1..3))).collect();
    for (id, count) in &long_running {
        let most = random.random_range(0..2) * count;
        let spec = StepSpec { max_per_executor: most, ..self::long_running(*count, 1) };
        world.submit(id, "q-view", job(vec![spec]));
    }
    world.run_for(Duration::from_secs(3));
    let large = if random.random_bool(0.5) { step(1, 8, 500) } else { gang(2, 8) };
    world.submit("large", "q-view", job(vec![large]));
    world.run_for(Duration::from_millis(random.random_range(0..6_000)));
    for number in 0..random.random_range(0..12) {
        let machine = format!("m-view-{}", random.random_range(0..4));
        let is_up = world.machines[machine.as_str()].back_at.is_none();
        match random.random_range(0..8) {
            0 if is_up => world.crash(&machine, Some(Duration::from_secs(2))),
            1 if is_up => {
                let id = world.executor_of(&machine);
                let executor = world.executors.get_mut(&id).expect("the executor runs");
                let is_cut = !executor.is_cut;
                executor.set_cut(is_cut);
            }
            2 => world.take_over(),
            _ => {
                let other = step(random.random_range(1..4), random.random_range(1..4), 400);
                world.submit(&format!("other-{number}"), "q-view", job(vec![other]));
            }
        }
        world.run_for(Duration::from_millis(random.random_range(10..900)));
    }
    world.executors.values_mut().for_each(|executor| executor.set_cut(false));
    let outcome = world.run_until_over("large", Duration::from_secs(60));
    assert_eq!(outcome, Some(JobOutcome::Completed), "seed {seed}");
    world.run_for(Duration::from_secs(20));
    for (id, count) in &long_running {
        assert_eq!(world.at_work_of(id), *count as usize, "seed {seed}: {id}");
    }
}

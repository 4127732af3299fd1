//! Work that would have room if lasting work stood otherwise: nothing that ends makes room for it, so it waited for ever.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{fleet::JobView, record::JobOutcome, spec::StepSpec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{World, job, step};

/// Random histories in an ordinary run; more by `HISTORIES=2000`.
const HISTORIES: u64 = 30;

/// Work waits for no longer than this beside lasting work that can stand elsewhere.
const ROOM_WITHIN: Duration = Duration::from_secs(12);

/// Lasting tasks that may stand together.
fn lasting(count: u32, cores: u64) -> StepSpec {
    StepSpec { is_long_running: true, may_miss: 1, ..step(count, cores, 0) }
}

fn gang(count: u32, cores: u64) -> StepSpec {
    StepSpec { is_gang: true, ..step(count, cores, 500) }
}

/// Two executors without any other machine; a lasting task of three cores stands on each.
fn spread(may_miss: u32) -> World {
    let mut world = World::new(&["view"], 2);
    world.submit("first", "q-view", job(vec![step(2, 5, 3_000)]));
    world.run_for(Duration::from_millis(300));
    world.submit("lasting", "q-view", job(vec![StepSpec { may_miss, ..lasting(2, 3) }]));
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.at_work_of("lasting"), 2);
    world
}

fn assert_done(world: &mut World, id: &str) {
    let outcome = world.run_until_over(id, ROOM_WITHIN);
    assert_eq!(outcome, Some(JobOutcome::Completed), "{:?}", world.fleet.view(id));
}

/// A task waited for ever though one lasting task could join the other.
#[test]
fn no_machine_left() {
    let mut world = spread(1);
    world.submit("large", "q-view", job(vec![step(1, 6, 500)]));
    assert_done(&mut world, "large");
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.at_work_of("lasting"), 2);
}

/// The same beside a step that says nothing of what it may miss.
#[test]
fn without_budget() {
    let mut world = spread(0);
    world.submit("large", "q-view", job(vec![step(1, 6, 500)]));
    assert_done(&mut world, "large");
}

/// The same for a gang that needs room on three executors at once.
#[test]
fn gang_at_once() {
    let mut world = World::new(&["view"], 3);
    world.submit("first", "q-view", job(vec![step(3, 6, 3_000)]));
    world.run_for(Duration::from_millis(300));
    world.submit("lasting", "q-view", job(vec![lasting(3, 2)]));
    world.run_for(Duration::from_secs(4));
    world.submit("gang", "q-view", job(vec![gang(4, 4)]));
    assert_done(&mut world, "gang");
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.at_work_of("lasting"), 3);
}

/// Other work comes all the while and takes each gap.
#[test]
fn busy_beside() {
    let mut world = spread(1);
    world.submit("large", "q-view", job(vec![step(1, 6, 500)]));
    for number in 0..60 {
        world.submit(&format!("other-{number}"), "q-view", job(vec![step(2, 2, 400)]));
        world.run_for(Duration::from_millis(200));
    }
    assert_eq!(world.fleet.view("large"), Some(JobView::Over(JobOutcome::Completed)));
}

/// Two tasks stand in the way and their step allows one to be away: they leave one after the other.
#[test]
fn one_by_one() {
    let mut world = World::new(&["view"], 2);
    world.submit("first", "q-view", job(vec![step(2, 5, 3_000)]));
    world.run_for(Duration::from_millis(300));
    world.submit("lasting", "q-view", job(vec![lasting(5, 1)]));
    world.run_for(Duration::from_secs(4));
    world.submit("large", "q-view", job(vec![step(1, 8, 500)]));
    assert_done(&mut world, "large");
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.at_work_of("lasting"), 5);
}

/// No move makes room for all of a gang, so nothing moves for it.
#[test]
fn nothing_in_vain() {
    let mut world = spread(1);
    world.submit("large", "q-view", job(vec![step(2, 6, 500)]));
    world.run_for(Duration::from_secs(4));
    let stops = world.lasting.gaps.len();
    world.submit("too-large", "q-view", job(vec![gang(2, 6)]));
    world.run_for(Duration::from_secs(60));
    assert!(world.lasting.gaps.len() <= stops + 1, "{:?}", world.lasting.gaps);
}

/// Executors fail and are cut off, owners change and other work comes while room is made; no step misses more than it may,
/// which the world checks at each order.
#[test]
fn faults_meanwhile() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("FIRST").unwrap_or(0);
    for seed in first..first + number("HISTORIES").unwrap_or(HISTORIES) {
        println!("seed {seed}");
        play(seed);
    }
}

fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // One more than the large work needs: what has run something twice takes no more work.
    let mut world = World::new(&["view"], 4);
    world.restarts_keep_ids = random.random_bool(0.5);
    // Lasting tasks come beside work that fills most of each executor, so they are spread.
    world.submit("first", "q-view", job(vec![step(4, 6, 2_000)]));
    world.run_for(Duration::from_millis(300));
    let lasting: Vec<(String, u32)> =
        (0..3).map(|number| (format!("lasting-{number}"), random.random_range(1..3))).collect();
    for (id, count) in &lasting {
        let most = random.random_range(0..2) * count;
        let spec = StepSpec { max_per_executor: most, ..self::lasting(*count, 1) };
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
                let executor = world.executors.get_mut(&id).expect("it lives");
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
    for (id, count) in &lasting {
        assert_eq!(world.at_work_of(id), *count as usize, "seed {seed}: {id}");
    }
}

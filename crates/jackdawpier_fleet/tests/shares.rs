//! Jobs beyond the share of their client account are placed behind those of other accounts.

mod world;

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_fleet::{
    account::Cap,
    fleet::{Fleet, FleetSettings, JobView},
    policy::Policy,
};
use world::{World, job, step};

/// Objective of a job of one step of 500 ms in the model's queues, and the time in which its start
/// and end become durable and known.
const OBJECTIVE: Duration = Duration::from_millis(1400 + 200);
const LOUD: &str = "loud";
const QUIET: [&str; 4] = ["quiet-0", "quiet-1", "quiet-2", "quiet-3"];
/// Time of the overload.
const LOAD: Duration = Duration::from_secs(9);

/// Returns a pool of 32 cores, which runs 32 jobs a second, with five accounts of the same weight.
fn shared_pool() -> World {
    let mut world = World::new(&["view"], 4);
    QUIET.iter().chain([&LOUD]).for_each(|account| world.set_cap(account, Cap::default()));
    world.run_for(Duration::from_millis(200));
    world
}

/// Jobs of an account: those submitted, and those that ended within their objective.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    submitted: usize,
    on_time: usize,
}

/// Submits five jobs a second of each quiet account, and ten times as many of the loud one.
fn run_load(world: &mut World) -> BTreeMap<&'static str, Served> {
    let mut served: BTreeMap<&str, Served> = BTreeMap::new();
    let mut open: Vec<(Duration, String, &str)> = Vec::new();
    let began_at = world.now;
    while world.now < began_at + LOAD || !open.is_empty() {
        let elapsed_ms = world.now.saturating_sub(began_at).as_millis();
        for account in QUIET.iter().chain([&LOUD]) {
            let interval_ms = if *account == LOUD { 20 } else { 200 };
            if world.now < began_at + LOAD && elapsed_ms.is_multiple_of(interval_ms) {
                let id = format!("{account}-{}", world.now.as_millis());
                world.accounts.assign_job(&id, account);
                world.submit(&id, "q-view", job(vec![step(1, 2, 500)]));
                open.push((world.now, id, account));
                served.entry(account).or_default().submitted += 1;
            }
        }
        world.run_for(world::STEP);
        open.retain(|(since, id, account)| {
            let is_over = matches!(world.fleet.view(id), Some(JobView::Over(_)));
            let has_time = world.now <= *since + OBJECTIVE;
            served.entry(account).or_default().on_time += usize::from(is_over && has_time);
            !is_over && has_time
        });
    }
    served
}

fn assert_shared(served: &BTreeMap<&str, Served>) {
    for account in QUIET {
        let Served { submitted, on_time } = served[account];
        assert!(on_time * 100 >= submitted * 95, "{account}: {on_time} of {submitted} on time");
    }
    // The pool runs 32 jobs a second, of which the quiet accounts take 20; a fifth is its share.
    let least = 32 / 5 * LOAD.as_secs() as usize;
    assert!(served[LOUD].on_time >= least, "loud: {:?}", served[LOUD]);
}

/// One account sends ten times its rate. The others must not be late, and it must get its share.
#[test]
fn loud_account() {
    let mut world = shared_pool();
    assert_shared(&run_load(&mut world));
}

/// The same after a change of owner, for jobs that arrive once the new one knows the executors.
#[test]
fn recovered_jobs() {
    let mut world = shared_pool();
    run_load(&mut world);
    for number in 0..200 {
        let id = format!("late-{number:03}");
        world.accounts.assign_job(&id, LOUD);
        world.submit(&id, "q-view", job(vec![step(1, 2, 500)]));
    }
    world.take_over();
    world.run_for(Duration::from_millis(500));
    assert_shared(&run_load(&mut world));
}

/// Without the switch, and so without shares, the loud account makes the others late: the load is one
/// that the shares are needed for.
#[test]
fn switched_off() {
    let mut world = shared_pool();
    let policy = Policy { enforces_shares: false, ..Policy::default() };
    let settings = FleetSettings { policy, ..world::settings() };
    world.fleet = Fleet::new(settings, world.now);
    world.configure();
    world.run_for(Duration::from_millis(300));
    let served = run_load(&mut world);
    let late = QUIET.iter().filter(|account| {
        let Served { submitted, on_time } = served[**account];
        on_time * 100 < submitted * 95
    });
    assert_eq!(late.count(), QUIET.len(), "{served:?}");
}

//! Order of jobs that exceed the share of their client account.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{
    account::Cap,
    fleet::{Fleet, FleetSettings, JobView},
    policy::Policy,
};
use world::{World, job, step};

/// Objective of a job of two steps of 300 ms in the model's queues, and the time in which its starts
/// and ends become durable and known.
const OBJECTIVE: Duration = Duration::from_millis(1560 + 200);
const LOAD: Duration = Duration::from_secs(10);

/// Returns a pool of 32 cores.
fn pool(accounts: &[&str], enforces_shares: bool) -> World {
    let mut world = World::new(&["view"], 4);
    accounts.iter().for_each(|account| world.set_cap(account, Cap::default()));
    let policy = Policy { enforces_shares, ..Policy::default() };
    let settings = FleetSettings { policy, ..world::settings() };
    world.fleet = Fleet::new(settings, world.now);
    world.configure();
    world.run_for(Duration::from_millis(300));
    world
}

/// Submits twice the jobs that the pool can run; returns how many began, and how many ended within
/// their objective.
fn run_double_load(world: &mut World, account: Option<&str>) -> (usize, usize) {
    let mut open: Vec<(Duration, String)> = Vec::new();
    let began_at = world.now;
    let (mut begun, mut on_time) = (0, 0);
    while world.now < began_at + LOAD || !open.is_empty() {
        if world.now < began_at + LOAD && world.now.as_millis().is_multiple_of(20) {
            let id = format!("job-{}", world.now.as_millis());
            if let Some(account) = account {
                world.accounts.assign_job(&id, account);
            }
            world.submit(&id, "q-view", job(two_steps()));
            open.push((world.now, id));
        }
        world.run_for(world::STEP);
        open.retain(|(since, id)| {
            let view = world.fleet.view(id);
            let is_over = matches!(view, Some(JobView::Over(_)));
            let has_time = world.now <= *since + OBJECTIVE;
            let is_settled = is_over || !has_time;
            begun += usize::from(is_settled && view != Some(JobView::Queued));
            on_time += usize::from(is_over && has_time);
            !is_settled
        });
    }
    (begun, on_time)
}

fn two_steps() -> Vec<jackdawpier_fleet::spec::StepSpec> {
    let mut second = step(1, 2, 300);
    second.after = vec![0];
    vec![step(1, 2, 300), second]
}

/// Over-share jobs fill the pool for long. Its room must go to jobs that end on time: by due time all
/// start when they are almost late, and without regard to progress first steps start while second steps
/// wait.
#[test]
fn lasting_overload() {
    let (begun, on_time) = run_double_load(&mut pool(&["loud", "idle"], true), Some("loud"));
    assert!(on_time * 10 >= begun * 9, "{begun} jobs began and {on_time} were on time");
    // A job takes 1.2 core seconds.
    let most = LOAD.as_secs() as usize * 32 * 10 / 12;
    assert!(on_time * 10 >= most * 9, "{on_time} of at most {most} jobs were on time");
}

/// Without accounts the switch must change nothing.
#[test]
fn without_accounts() {
    let commands = |enforces_shares| {
        let mut world = pool(&[], enforces_shares);
        run_double_load(&mut world, None);
        world.commands
    };
    assert_eq!(format!("{:?}", commands(true)), format!("{:?}", commands(false)));
}

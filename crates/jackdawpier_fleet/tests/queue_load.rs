//! Waiting work by queue and account, as it is logged.

mod world;

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_fleet::fleet::{Backlog, JobLoad, ServiceCapacity, WaitingClass, WaitingJobs};
use world::{World, job, step};

fn waiting(queue: &str, account: &str, class: Option<WaitingClass>) -> JobLoad {
    JobLoad {
        queue: queue.into(),
        service: "view".into(),
        account: Some(account.into()),
        class,
        running_millicores: 500,
        waiting_millicores: if class.is_some() { 1_000 } else { 0 },
        waited: Duration::from_secs(if class.is_some() { 2 } else { 0 }),
    }
}

fn backlog(jobs: Vec<JobLoad>, limit: usize) -> Backlog {
    let capacity = ServiceCapacity { millicores: 8_000, slow_executors: 1 };
    Backlog::of(jobs, &BTreeMap::from([("view".into(), capacity)]), |_| 2_000, limit)
}

/// Only work that waits beyond a share makes a line for an account, but all running work of the account counts in it.
#[test]
fn over_share() {
    let (over, on_time) = (Some(WaitingClass::OverShare), Some(WaitingClass::OnTime));
    let jobs = [("a", over), ("a", over), ("a", None), ("b", on_time)];
    let found = backlog(jobs.map(|(account, class)| waiting("q", account, class)).into(), 5);
    assert_eq!(found.accounts.len(), 1, "{found:?}");
    let account = &found.accounts[0];
    assert_eq!((&*account.account, account.waiting), ("a", 2));
    assert_eq!((account.granted_millicores, account.running_millicores), (2_000, 1_500));
    assert_eq!(found.queues[0].waiting.over_share, 2);
    assert_eq!(found.queues[0].demand_millicores, 5_000);
}

/// The number of lines must stay bounded with any number of queues and accounts; the totals count all of them.
#[test]
fn bounded_lines() {
    let over = Some(WaitingClass::OverShare);
    let mut jobs = Vec::new();
    for number in 0..20 {
        let name = format!("n{number:02}");
        jobs.extend(std::iter::repeat_n(waiting(&name, &name, over), number));
        jobs.push(waiting(&format!("idle-{number}"), &name, None));
    }
    let found = backlog(jobs, 5);
    assert_eq!((found.queues.len(), found.accounts.len()), (5, 5));
    assert_eq!((&*found.queues[0].queue, &*found.accounts[0].account), ("n19", "n19"));
    assert_eq!(found.waiting.total(), 190);
}

#[test]
fn fleet_classes() {
    let mut world = World::new(&["view", "idle"], 1);
    assert_eq!(world.fleet.backlog(world.now, 5), Backlog::default());
    world.submit("busy", "q-view", job(vec![step(8, 1, 6_000)]));
    world.run_for(Duration::from_millis(100));
    world.submit("expired", "q-view", job(vec![step(1, 1, 100)]));
    world.run_for(Duration::from_millis(1_500));
    world.submit("late", "q-view", job(vec![step(1, 1, 100)]));
    world.run_for(Duration::from_millis(1_000));
    world.submit("fresh", "q-view", job(vec![step(2, 1, 100)]));
    world.run_for(Duration::from_millis(100));
    let found = world.fleet.backlog(world.now, 5);
    let classes = WaitingJobs { on_time: 1, over_share: 0, late: 1, expired: 1 };
    assert_eq!(found.waiting, classes);
    assert_eq!(found.queues.len(), 1, "{found:?}");
    let queue = &found.queues[0];
    assert_eq!((&*queue.queue, queue.waiting), ("q-view", classes));
    assert_eq!((queue.capacity.millicores, queue.demand_millicores), (8_000, 12_000));
    assert!(queue.oldest_wait >= Duration::from_millis(2_500), "{:?}", queue.oldest_wait);
}

//! Queues whose tasks run only where the placement advisor allows it.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{fleet::Command, record::JobOutcome};
use world::{World, job, step};

fn advised_world() -> World {
    let mut world = World::new(&["view"], 4);
    world.queues[0].needs_advice = true;
    world.configure();
    world
}

#[test]
fn approved_only() {
    let mut world = advised_world();
    let approved = world.executor_of("m-view-2");
    world.approved.push(approved.clone());
    world.submit("j", "q-view", job(vec![step(6, 2, 300)]));
    let outcome = world.run_until_over("j", Duration::from_secs(5));
    assert_eq!(outcome, Some(JobOutcome::Completed));
    let starts = world.commands.iter().filter_map(|(_, command)| match command {
        Command::Start { executor, ticket, .. } => Some((executor.clone(), ticket.clone())),
        _ => None,
    });
    for (executor, ticket) in starts {
        assert_eq!(executor, approved);
        assert_eq!(ticket.as_deref(), Some(&*format!("ticket-{approved}")));
    }
    assert_eq!(world.advice_requests, 1, "one answer applies to all tasks of the step");
}

#[test]
fn no_executor_approved() {
    let mut world = advised_world();
    world.submit("j", "q-view", job(vec![step(1, 2, 300)]));
    world.run_for(Duration::from_secs(9));
    assert_eq!(world.runs_of("j"), 0);
    assert!(world.advice_requests <= 6, "asked {} times in nine seconds", world.advice_requests);
}

//! Rounds try a bounded number of tasks that find no place. Those that fit nowhere must not use up the bound for good.

mod world;

use std::{collections::BTreeSet, time::Duration};

use jackdawpier_fleet::{attempt_order::AttemptOrder, record::JobOutcome, spec::StepSpec};
use world::{World, job, step};

/// More kinds of tasks than a round tries without success.
const KINDS: usize = 12;

fn labelled(label: &str) -> StepSpec {
    StepSpec { required_label: Some(label.into()), ..step(1, 1, 500) }
}

/// Guards against starved jobs that are never tried since starved jobs of other kinds, which fit nowhere, have waited
/// longer.
#[test]
fn starved_jobs() {
    let mut world = World::new(&["view"], 1);
    for number in 0..KINDS {
        let nowhere = labelled(&format!("nobody-{number}"));
        world.submit(&format!("a-{number:02}"), "q-view", job(vec![nowhere]));
    }
    world.submit("long", "q-view", job(vec![step(400, 2, 500)]));
    world.run_for(Duration::from_millis(100));
    world.submit("z", "q-view", job(vec![step(1, 2, 500)]));
    let outcome = world.run_until_over("z", Duration::from_secs(10));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// Guards against suspects that are never started in isolation since suspects that fit nowhere come before them.
#[test]
fn suspects() {
    let mut world = World::new(&["view"], 12);
    world.label("m-view-11", "rare");
    for number in 0..KINDS {
        let only_there = StepSpec { required_label: Some("rare".into()), ..step(1, 0, 20_000) };
        world.submit(&format!("a-{number:02}"), "q-view", job(vec![only_there]));
    }
    world.run_until_started("a-00");
    world.crash("m-view-11", None);
    world.run_for(Duration::from_secs(10));
    world.submit("z", "q-view", job(vec![step(1, 2, 3_000)]));
    world.run_until_started("z");
    let machine = world.machine_of_task("z");
    world.crash(&machine, None);
    let outcome = world.run_until_over("z", Duration::from_secs(15));
    assert_eq!(outcome, Some(JobOutcome::Completed));
}

/// Guards against items that are never tried because others always fail before them.
#[test]
fn each_tried_in_turn() {
    let mut order = AttemptOrder::default();
    let mut tried = BTreeSet::new();
    for round in 0..100 {
        let now = Duration::from_millis(20 * round);
        let attempts = order.order((0..200).collect(), 8, |item: &u32| *item);
        assert_eq!(attempts[..4], [0, 1, 2, 3], "the highest ranks come first");
        for item in attempts.into_iter().take(8) {
            order.note_failure(now, item);
            tried.insert(item);
        }
    }
    assert_eq!(tried.len(), 200);
}

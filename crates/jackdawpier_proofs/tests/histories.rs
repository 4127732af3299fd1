//! Checks the invariants of keyed requests and configuration over seeded histories of faults.

mod world;

use world::{Mutations, Schedule, Summary, World, first_violation, history_count};

const SEED: u64 = 20_261_202;
/// Number of histories within which a disabled mechanism must be detected.
const MUTATION_HISTORIES: u64 = 400;

fn must_detect(mutations: Mutations, expected: &str) {
    let result = first_violation(SEED, mutations, MUTATION_HISTORIES);
    let violation = result.expect_err("the disabled mechanism must be detected");
    assert!(violation.contains(expected), "detected a different violation: {violation}");
}

#[test]
fn invariants_hold() {
    let result = first_violation(SEED, Mutations::default(), history_count());
    assert!(result.is_ok(), "{}", result.unwrap_err());
}

#[test]
fn conditions_off() {
    must_detect(
        Mutations { ignores_conditions: true, ..Mutations::default() },
        "were accepted as revision",
    );
}

/// Without the fence, two owners write the same log and overwrite each other's outcomes or intents.
#[test]
fn fence_off() {
    must_detect(Mutations { ignores_fence: true, ..Mutations::default() }, "is forgotten");
}

#[test]
fn intent_off() {
    must_detect(Mutations { skips_intent: true, ..Mutations::default() }, "ran twice");
}

#[test]
fn recovery_off() {
    must_detect(Mutations { forgets_intents: true, ..Mutations::default() }, "ran twice");
}

#[test]
fn outcomes_forgotten() {
    must_detect(Mutations { forgets_outcomes: true, ..Mutations::default() }, "is forgotten");
}

#[test]
fn reply_before_durable() {
    must_detect(Mutations { replies_before_durable: true, ..Mutations::default() }, "is forgotten");
}

#[test]
fn monotonicity_off() {
    must_detect(Mutations { adopts_older_revisions: true, ..Mutations::default() }, "went back to");
}

#[test]
fn isolation_off() {
    must_detect(Mutations { ignores_isolation: true, ..Mutations::default() }, "serves");
}

#[test]
fn base_off() {
    must_detect(
        Mutations { ignores_base: true, ..Mutations::default() },
        "were accepted as revision",
    );
}

/// Guards against histories that pass because no request is answered and no change is accepted.
#[test]
fn work_done() {
    let mut total = Summary::default();
    for seed in 0..20 {
        let schedule = Schedule { seed, faults: Vec::new() };
        let summary = World::new(seed, Mutations::default()).run(&schedule).expect("no faults");
        total.answered += summary.answered;
        total.accepted += summary.accepted;
        total.open_steps += summary.open_steps;
    }
    println!("{total:?}");
    assert!(total.answered > 2_000 && total.accepted > 50 && total.open_steps > 20_000);
}

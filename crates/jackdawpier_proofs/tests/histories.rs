//! Keyed requests and configuration over seeded histories of faults.

mod world;

use world::{Schedule, Summary, Switches, World, first_violation, histories};

const SEED: u64 = 20_261_202;
/// Histories within which a mechanism that is off must be noticed.
const MUTATION_HISTORIES: u64 = 400;

fn must_fail(switches: Switches, expected: &str) {
    let result = first_violation(SEED, switches, MUTATION_HISTORIES);
    let violation = result.expect_err("the mechanism that is off goes unnoticed");
    assert!(violation.contains(expected), "noticed another fault: {violation}");
}

#[test]
fn promises_hold() {
    let result = first_violation(SEED, Switches::default(), histories());
    assert!(result.is_ok(), "{}", result.unwrap_err());
}

#[test]
fn conditions_off() {
    must_fail(
        Switches { ignores_conditions: true, ..Switches::default() },
        "were accepted as revision",
    );
}

/// Two owners write one log: an end goes missing, and so may an intent.
#[test]
fn fence_off() {
    must_fail(Switches { ignores_fence: true, ..Switches::default() }, "is forgotten");
}

#[test]
fn intent_off() {
    must_fail(Switches { skips_intent: true, ..Switches::default() }, "ran twice");
}

#[test]
fn recovery_off() {
    must_fail(Switches { forgets_intents: true, ..Switches::default() }, "ran twice");
}

#[test]
fn ends_forgotten() {
    must_fail(Switches { forgets_ends: true, ..Switches::default() }, "is forgotten");
}

#[test]
fn told_early() {
    must_fail(Switches { tells_early: true, ..Switches::default() }, "is forgotten");
}

#[test]
fn monotony_off() {
    must_fail(Switches { adopts_older: true, ..Switches::default() }, "went back to");
}

#[test]
fn isolation_off() {
    must_fail(Switches { ignores_isolation: true, ..Switches::default() }, "serves");
}

#[test]
fn base_off() {
    must_fail(Switches { ignores_base: true, ..Switches::default() }, "were accepted as revision");
}

/// Histories that answered and accepted nothing would prove nothing.
#[test]
fn work_done() {
    let mut total = Summary::default();
    for seed in 0..20 {
        let schedule = Schedule { seed, faults: Vec::new() };
        let summary = World::new(seed, Switches::default()).run(&schedule).expect("no faults");
        total.answered += summary.answered;
        total.accepted += summary.accepted;
        total.open_steps += summary.open_steps;
    }
    println!("{total:?}");
    assert!(total.answered > 2_000 && total.accepted > 50 && total.open_steps > 20_000);
}

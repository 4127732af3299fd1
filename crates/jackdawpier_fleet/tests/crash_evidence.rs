//! Unit tests of the crash evidence rules, without the platform model.

use std::time::Duration;

use jackdawpier_fleet::crash::{
    Crash, Retry, RunTimeBounds, Suspicion, is_given_up, isolation_time, retry, suspicion,
};

fn crash(run: u32) -> Crash {
    Crash { run, is_confirmed: true, ..Crash::default() }
}

fn crash_at_start(run: u32) -> Crash {
    Crash { is_at_start: true, ..crash(run) }
}

fn crash_with_likelier_cause(run: u32) -> Crash {
    Crash { has_likelier_cause: true, ..crash(run) }
}

fn is_isolated(crashes: &[Crash]) -> bool {
    matches!(suspicion(crashes), Suspicion::Isolated(_))
}

#[test]
fn two_crashes_at_start() {
    assert!(is_isolated(&[crash_at_start(1)]));
    assert_eq!(suspicion(&[crash_at_start(1), crash_at_start(2)]), Suspicion::Conclusive);
}

/// A long-established task beside recently started ones is never given up for that alone.
#[test]
fn always_likelier_cause() {
    let crashes: Vec<Crash> = (1..20).map(crash_with_likelier_cause).collect();
    assert!(is_isolated(&crashes));
    assert!(!is_given_up(&crashes, 30, &[], false));
}

#[test]
fn isolated_crash() {
    let isolated_run = |run| Crash { is_isolated: true, ..crash(run) };
    assert!(is_isolated(&[crash_with_likelier_cause(1), crash_with_likelier_cause(2)]));
    let third = [crash_with_likelier_cause(1), crash_with_likelier_cause(2), isolated_run(3)];
    assert!(is_given_up(&third, 3, &[], false));
    assert!(!is_given_up(&third, 3, &[], true), "a long-running task may have another start");
    let fourth = [
        crash_with_likelier_cause(1),
        crash_with_likelier_cause(2),
        isolated_run(3),
        crash_with_likelier_cause(4),
    ];
    assert!(is_given_up(&fourth, 4, &[], true));
    assert_eq!(suspicion(&[crash(1), isolated_run(2), isolated_run(3)]), Suspicion::Conclusive);
}

/// Crashes that were attributed to another task don't count before the third.
#[test]
fn known_other_cause() {
    let crash_with_other_cause = |run| Crash { has_other_cause: true, ..crash_at_start(run) };
    assert_eq!(suspicion(&[crash_with_other_cause(1), crash_with_other_cause(2)]), Suspicion::None);
    assert!(is_isolated(&[crash_with_other_cause(1), crash_at_start(2)]));
    assert_ne!(
        suspicion(&[
            crash_with_other_cause(1),
            crash_with_other_cause(2),
            crash_with_likelier_cause(3)
        ]),
        Suspicion::None
    );
}

/// A start that was certainly refused doesn't count as one of the two allowed after the third crash.
#[test]
fn refused_starts() {
    let crashes = [
        crash_with_likelier_cause(1),
        crash_with_likelier_cause(2),
        Crash { is_confirmed: false, ..crash(3) },
    ];
    assert!(!is_given_up(&crashes, 4, &[], false));
    assert!(is_given_up(&crashes, 5, &[], false));
    assert!(!is_given_up(&crashes, 5, &[4], false));
}

/// Unconfirmed crashes aren't conclusive before the fifth.
#[test]
fn unconfirmed() {
    let unconfirmed = |run| Crash { is_confirmed: false, ..crash_at_start(run) };
    let four: Vec<Crash> = (1..5).map(unconfirmed).collect();
    assert_ne!(suspicion(&four), Suspicion::Conclusive);
    let five: Vec<Crash> = (1..6).map(unconfirmed).collect();
    assert_eq!(suspicion(&five), Suspicion::Conclusive);
}

/// A long-running task is retried soon while it is only suspected, later after a crash on probation, and never
/// after two starts following the third crash.
#[test]
fn probation_backoffs() {
    let isolated_run = |run| Crash { is_isolated: true, ..crash(run) };
    let crashes = [
        crash_with_likelier_cause(1),
        crash_with_likelier_cause(2),
        isolated_run(3),
        isolated_run(4),
        isolated_run(5),
    ];
    let after = |count: usize| retry(&crashes[..count], count as u32, &[]);
    assert_eq!([after(1), after(2)], [Retry::AtOnce; 2]);
    let Retry::After(first) = after(3) else { panic!("{:?}", after(3)) };
    let Retry::After(second) = after(4) else { panic!("{:?}", after(4)) };
    assert!(first < Duration::from_secs(6), "the first back-off is short");
    assert!(second >= first * 10, "{first:?}, {second:?}");
    assert_eq!(after(5), Retry::Never);
    assert_eq!(retry(&crashes[..3], 5, &[]), Retry::Never, "starts count whatever their outcome");
    assert_eq!(retry(&crashes[..3], 5, &[4]), Retry::After(first), "a refused start doesn't count");
}

/// A crash on probation after a different run time than the ones before may be unrelated to the task.
#[test]
fn run_times_differ() {
    let bounds = |least_ms, most_ms| Some(RunTimeBounds { least_ms, most_ms });
    let probation = Crash { is_isolated: true, run_time: bounds(100, 300), ..crash(4) };
    let after = |third: Option<RunTimeBounds>| {
        let third = Crash { run_time: third, ..crash(3) };
        let Retry::After(backoff) = retry(
            &[crash_with_likelier_cause(1), crash_with_likelier_cause(2), third, probation.clone()],
            4,
            &[],
        ) else {
            panic!("it gets a second start on probation");
        };
        backoff
    };
    assert_eq!(after(bounds(200, 400)), after(None));
    assert!(after(bounds(900, 1_100)) < after(None) / 10);
}

/// Two crashes right after its starts are strong evidence against a long-running task.
#[test]
fn backoff_after_start_crashes() {
    let Retry::After(backoff) = retry(&[crash_at_start(1), crash_at_start(2)], 2, &[]) else {
        panic!("retried at once")
    };
    assert!(backoff >= Duration::from_secs(30), "{backoff:?}");
}

/// Only long-running tasks are isolated after a single later crash, and on probation.
#[test]
fn isolation_of_long_running() {
    assert!(isolation_time(&[crash(1)], true).is_some());
    assert!(isolation_time(&[crash(1)], false).is_none());
    let conclusive = [crash_at_start(1), crash_at_start(2)];
    assert!(isolation_time(&conclusive, true).is_some());
    assert!(isolation_time(&conclusive, false).is_none());
}

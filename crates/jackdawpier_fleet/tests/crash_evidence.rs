//! What crashes say of a task, by what is known of each: the decision by itself, without a world.

use std::time::Duration;

use jackdawpier_fleet::crash::{
    Crash, Retry, RunTimeBounds, Suspicion, is_given_up, isolation_time, retry, suspicion,
};

fn crash(run: u32) -> Crash {
    Crash { run, is_confirmed: true, ..Crash::default() }
}

fn sudden(run: u32) -> Crash {
    Crash { is_at_start: true, ..crash(run) }
}

fn shared(run: u32) -> Crash {
    Crash { has_likelier_cause: true, ..crash(run) }
}

fn is_isolated(crashes: &[Crash]) -> bool {
    matches!(suspicion(crashes), Suspicion::Isolated(_))
}

#[test]
fn sudden_twice() {
    assert!(is_isolated(&[sudden(1)]));
    assert_eq!(suspicion(&[sudden(1), sudden(2)]), Suspicion::Conclusive);
}

/// What had been there for long beside newcomers is never given up for that alone.
#[test]
fn always_shared() {
    let crashes: Vec<Crash> = (1..20).map(shared).collect();
    assert!(is_isolated(&crashes));
    assert!(!is_given_up(&crashes, 30, &[], false));
}

#[test]
fn crash_while_watched() {
    let watched = |run| Crash { is_isolated: true, ..crash(run) };
    assert!(is_isolated(&[shared(1), shared(2)]));
    let third = [shared(1), shared(2), watched(3)];
    assert!(is_given_up(&third, 3, &[], false));
    assert!(!is_given_up(&third, 3, &[], true), "one that lasts may have another start");
    let fourth = [shared(1), shared(2), watched(3), shared(4)];
    assert!(is_given_up(&fourth, 4, &[], true));
    assert_eq!(suspicion(&[crash(1), watched(2), watched(3)]), Suspicion::Conclusive);
}

/// One that another task turned out to have caused is as good as none, but for the third.
#[test]
fn explained_crash() {
    let explained = |run| Crash { has_other_cause: true, ..sudden(run) };
    assert_eq!(suspicion(&[explained(1), explained(2)]), Suspicion::None);
    assert!(is_isolated(&[explained(1), sudden(2)]));
    assert_ne!(suspicion(&[explained(1), explained(2), shared(3)]), Suspicion::None);
}

/// A start that was refused for certain isn't one of the two that are left after the third crash.
#[test]
fn refused_starts() {
    let crashes = [shared(1), shared(2), Crash { is_confirmed: false, ..crash(3) }];
    assert!(!is_given_up(&crashes, 4, &[], false));
    assert!(is_given_up(&crashes, 5, &[], false));
    assert!(!is_given_up(&crashes, 5, &[4], false));
}

/// Nothing that was never confirmed is held against a task before the fifth.
#[test]
fn unconfirmed() {
    let unconfirmed = |run| Crash { is_confirmed: false, ..sudden(run) };
    let four: Vec<Crash> = (1..5).map(unconfirmed).collect();
    assert_ne!(suspicion(&four), Suspicion::Conclusive);
    let five: Vec<Crash> = (1..6).map(unconfirmed).collect();
    assert_eq!(suspicion(&five), Suspicion::Conclusive);
}

/// A task that lasts is tried again: soon while it is no more than suspect, later once it has crashed on trial, and
/// never once a cause would have been started twice after its third crash.
#[test]
fn two_trials() {
    let watched = |run| Crash { is_isolated: true, ..crash(run) };
    let crashes = [shared(1), shared(2), watched(3), watched(4), watched(5)];
    let after = |count: usize| retry(&crashes[..count], count as u32, &[]);
    assert_eq!([after(1), after(2)], [Retry::AtOnce; 2]);
    let Retry::After(first) = after(3) else { panic!("{:?}", after(3)) };
    let Retry::After(second) = after(4) else { panic!("{:?}", after(4)) };
    assert!(first < Duration::from_secs(6), "no longer than it may wait");
    assert!(second >= first * 10, "{first:?}, {second:?}");
    assert_eq!(after(5), Retry::Never);
    assert_eq!(retry(&crashes[..3], 5, &[]), Retry::Never, "whatever became of them");
    assert_eq!(retry(&crashes[..3], 5, &[4]), Retry::After(first), "one never began");
}

/// A crash on trial after a quite different time than the ones before may be an accident.
#[test]
fn lives_differ() {
    let lived = |least_ms, most_ms| Some(RunTimeBounds { least_ms, most_ms });
    let trial = Crash { is_isolated: true, run_time: lived(100, 300), ..crash(4) };
    let after = |third: Option<RunTimeBounds>| {
        let third = Crash { run_time: third, ..crash(3) };
        let Retry::After(pause) = retry(&[shared(1), shared(2), third, trial.clone()], 4, &[])
        else {
            panic!("it has a second trial");
        };
        pause
    };
    assert_eq!(after(lived(200, 400)), after(None));
    assert!(after(lived(900, 1_100)) < after(None) / 10);
}

/// Two crashes right after its starts leave little doubt of one that lasts.
#[test]
fn sudden_pause() {
    let Retry::After(pause) = retry(&[sudden(1), sudden(2)], 2, &[]) else {
        panic!("tried at once")
    };
    assert!(pause >= Duration::from_secs(30), "{pause:?}");
}

/// Only what lasts is watched after one crash that came later than at once, and when it is tried again.
#[test]
fn watched_trial() {
    assert!(isolation_time(&[crash(1)], true).is_some());
    assert!(isolation_time(&[crash(1)], false).is_none());
    let plain = [sudden(1), sudden(2)];
    assert!(isolation_time(&plain, true).is_some());
    assert!(isolation_time(&plain, false).is_none());
}

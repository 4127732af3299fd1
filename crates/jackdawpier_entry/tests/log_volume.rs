//! In a burst only routine log lines are suppressed, and they are counted within a second.

use std::time::Duration;

use jackdawpier_entry::log_volume::{LogVolume, SuppressedLines};

const BURST: u64 = 3000;

#[test]
fn rare_decisions() {
    let mut volume = LogVolume::default();
    let now = Duration::from_secs(7);
    assert!(volume.begin_second(now).is_empty());
    let mut started = 0;
    for _ in 0..BURST {
        started += u64::from(volume.admit("task_started"));
        assert!(volume.admit("task_stopped"), "a decision that ends a caller's work");
    }
    assert!(started < BURST);
    assert!(volume.admit("task_given_up") && volume.admit("job_over"));
    let suppressed = volume.begin_second(now + Duration::from_secs(1));
    assert_eq!(suppressed, [SuppressedLines { kind: "task_started", lines: BURST - started }]);
    assert!(volume.admit("task_started"), "a new second");
}

/// Rare kinds are limited as well.
#[test]
fn bounded_volume() {
    let mut volume = LogVolume::default();
    let written = (0..100_000).filter(|_| volume.admit("executor_lost")).count();
    assert!(written < 10_000, "{written} lines in a second");
}

//! What the run times of a queue show.

use std::time::Duration;

use jackdawpier_fleet::run_times::{QueueIndex, RunTimeModel, RunTimes, log_ratio};
use jackdawpier_kernel::Now;
use quickcheck::{TestResult, quickcheck};

const RUN_TIME: Duration = Duration::from_secs(2);
const ESTIMATE: Duration = Duration::from_secs(1);

/// Records ends of jobs with `tasks` tasks each, one every `interval`.
fn note(run_times: &mut RunTimes, queue: QueueIndex, ends: u32, interval: Duration, tasks: usize) {
    for number in 0..ends {
        let now: Now = Duration::from_secs(100) + interval * number;
        run_times.note_end(now, queue, RUN_TIME, ESTIMATE, tasks);
    }
}

fn is_known(ends: u32, interval: Duration, tasks: usize) -> bool {
    let mut run_times = RunTimes::default();
    let queue = run_times.index(&"queue".into());
    note(&mut run_times, queue, ends, interval, tasks);
    run_times.model(queue).is_some()
}

/// The first ends are those of the shortest runs, and those of one job are alike.
#[test]
fn known_after() {
    let second = Duration::from_secs(1);
    assert!(!is_known(10, second, 1), "few jobs");
    assert!(is_known(30, second, 1));
    assert!(!is_known(30, second, 10), "three jobs");
    assert!(!is_known(1_000, Duration::from_millis(1), 1), "half a run time");
}

/// A long run must count as usual in a queue where all take as long.
#[test]
fn relative_to_queue() {
    let mut run_times = RunTimes::default();
    let queue = run_times.index(&"queue".into());
    note(&mut run_times, queue, 300, Duration::from_millis(100), 1);
    let model = run_times.model(queue).expect("it is known");
    let slowdown = 4.0_f64.ln();
    assert!(model.evidence_of_end(log_ratio(RUN_TIME, ESTIMATE), slowdown) < 0.0);
    assert!(model.evidence_of_end(log_ratio(RUN_TIME * 5, ESTIMATE), slowdown) > 1.0);
    assert_eq!(run_times.known_index("other"), None);
}

quickcheck! {
    /// Evidence must be finite and bounded, so that no single run decides.
    fn bounded_evidence(run_ms: u32, estimate_ms: u32, mean: f64, deviation: f64) -> TestResult {
        if !(mean.abs() < 10.0 && deviation.is_finite()) {
            return TestResult::discard();
        }
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        let ratio = log_ratio(millis(run_ms), millis(estimate_ms));
        let model = RunTimeModel::new(mean, deviation, 1.0);
        let evidences = [
            model.evidence_of_end(ratio, 4.0_f64.ln()),
            model.evidence_of_running(ratio, 4.0_f64.ln()),
        ];
        TestResult::from_bool(
            evidences.iter().all(|one| one.is_finite() && *one <= 2.5) && evidences[1] >= 0.0,
        )
    }
}

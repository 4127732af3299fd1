//! Jobs that are cancelled while nobody knows whether they run.

mod support;

use std::time::Duration;

use jackdawpier_jobs::{
    job::{Job, JobState},
    queue::{Command, JobQueue},
};
use jackdawpier_kernel::{Now, ids::JobId};
use support::{job, worker};

const LEASE: Duration = Duration::from_secs(3);
/// Longer than a task's lease and its margin.
const LONG_AFTER: Now = Now::from_secs(20);

/// A queue that has taken a claimed job over, whose start its worker never got; the states that it writes after a cancellation.
fn cancel_claimed(is_idempotent: bool) -> Vec<JobState> {
    let id: JobId = "job".into();
    let mut queue = JobQueue::new(LEASE, Duration::from_secs(60));
    queue.upsert_worker(worker("worker", "rack"));
    let claimed = JobState::Claimed { worker: "worker".into() };
    queue.recover(Now::ZERO, Job { attempts: 1, state: claimed, ..job(&id, is_idempotent) });
    assert!(queue.cancel(&id).0, "it is answered as cancelled");
    let commands = queue.on_reports(LONG_AFTER, &"worker".into(), &[]);
    let writes = commands.into_iter().filter_map(|command| match command {
        Command::Write(job) => Some(job.state),
        _ => None,
    });
    writes.collect()
}

/// A job that may not be repeated was parked though its caller had been told that it is cancelled.
#[test]
fn unknown_once() {
    assert_eq!(cancel_claimed(false), [JobState::Cancelled]);
}

/// One that may be repeated waited again.
#[test]
fn unknown_repeatable() {
    assert_eq!(cancel_claimed(true), [JobState::Cancelled]);
}

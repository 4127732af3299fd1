//! Cancellation of jobs whose start outcome is unknown.

mod support;

use std::time::Duration;

use jackdawpier_jobs::{
    job::{Job, JobState},
    queue::{Command, JobQueue},
};
use jackdawpier_kernel::{Now, ids::JobId};
use support::{job, worker};

const LEASE: Duration = Duration::from_secs(3);
/// Later than the end of a task lease and its margin.
const AFTER_LEASE: Now = Now::from_secs(20);

/// Recovers a claimed job that its worker never received, cancels it, and returns the states that
/// the queue writes after the task lease has expired.
fn cancel_recovered(is_idempotent: bool) -> Vec<JobState> {
    let id: JobId = "job".into();
    let mut queue = JobQueue::new(LEASE, Duration::from_secs(60));
    queue.upsert_worker(worker("worker", "rack"));
    let claimed = JobState::Claimed { worker: "worker".into() };
    queue.recover(Now::ZERO, Job { attempts: 1, state: claimed, ..job(&id, is_idempotent) });
    assert!(queue.cancel(&id).0, "the cancellation is accepted");
    let commands = queue.on_reports(AFTER_LEASE, &"worker".into(), &[]);
    let writes = commands.into_iter().filter_map(|command| match command {
        Command::Write(job) => Some(job.state),
        _ => None,
    });
    writes.collect()
}

/// Guards against parking a non-idempotent job after its cancellation was accepted.
#[test]
fn non_idempotent() {
    assert_eq!(cancel_recovered(false), [JobState::Cancelled]);
}

/// Guards against queueing an idempotent job again after its cancellation was accepted.
#[test]
fn idempotent() {
    assert_eq!(cancel_recovered(true), [JobState::Cancelled]);
}

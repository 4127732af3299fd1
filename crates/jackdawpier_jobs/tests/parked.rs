//! Operator decisions on a parked job whose last state is not durable yet.

mod support;

use std::time::Duration;

use jackdawpier_jobs::{
    job::{Job, JobState, ParkReason},
    queue::{Command, JobQueue, StartOutcome},
};
use jackdawpier_kernel::{
    Now,
    ids::JobId,
    task::{TaskReport, TaskState},
};
use support::{SIZE, job, worker};

/// Owner of a queue that numbers its writes, as a cell does.
struct Owner {
    queue: JobQueue,
    writes: Vec<Job>,
}

impl Owner {
    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            if let Command::Write(job) = command {
                let id = job.id.clone();
                self.writes.push(job);
                self.queue.on_write_queued(self.writes.len() as u64, id);
            }
        }
    }

    fn commit(&mut self, up_to: usize) -> Vec<Command> {
        let commands = self.queue.on_committed(Now::ZERO, up_to as u64);
        self.execute(commands.clone());
        commands
    }

    /// Applies an operator's decision; returns whether it was accepted.
    fn decide(&mut self, id: &JobId, is_retry: bool) -> bool {
        let (is_accepted, commands) = self.queue.resolve_parked(id, is_retry);
        self.execute(commands);
        is_accepted
    }

    fn state(&self, id: &JobId) -> JobState {
        self.queue.job(id).expect("the job is known").state.clone()
    }
}

/// Returns an owner whose non-idempotent job has just failed. The write of the parked state is in
/// flight.
fn owner_with_failed_job(id: &JobId) -> Owner {
    let mut queue = JobQueue::new(Duration::from_secs(3), Duration::from_secs(60));
    queue.upsert_worker(worker("worker", "rack"));
    let mut owner = Owner { queue, writes: Vec::new() };
    let job = job(id, false);
    let submitted = owner.queue.submit(job);
    owner.execute(submitted);
    owner.commit(1);
    let claimed = owner.queue.tick(Now::ZERO);
    owner.execute(claimed);
    owner.commit(2);
    let report = TaskReport {
        job: id.clone(),
        attempt: 1,
        state: TaskState::Failed,
        usage: SIZE,
        ran_ms: 1,
    };
    let ended = owner.queue.on_start_outcome(Now::ZERO, id, 1, StartOutcome::Reported(report));
    owner.execute(ended);
    assert_eq!(owner.state(id), JobState::Parked { reason: ParkReason::Failed });
    owner
}

/// Guards against dropping a decision to discard a job while the write of its parked state is in
/// flight.
#[test]
fn discarded_early() {
    let id: JobId = "job".into();
    let mut owner = owner_with_failed_job(&id);
    assert!(owner.decide(&id, false), "the decision must be accepted");
    assert_eq!(owner.state(&id), JobState::Cancelled);
    owner.commit(3);
    owner.commit(4);
    assert_eq!(owner.writes[3].state, JobState::Cancelled, "last state written to the store");
    assert_eq!(owner.state(&id), JobState::Cancelled);
}

/// Guards against claiming a job before the decision to retry it is durable.
#[test]
fn retried_early() {
    let id: JobId = "job".into();
    let mut owner = owner_with_failed_job(&id);
    assert!(owner.decide(&id, true), "the decision must be accepted");
    owner.commit(3);
    let early = owner.queue.tick(Now::ZERO);
    assert!(early.is_empty(), "claimed while the store still shows it as parked: {early:?}");
    owner.commit(4);
    let claimed = owner.queue.tick(Now::ZERO);
    owner.execute(claimed);
    assert!(matches!(owner.state(&id), JobState::Claimed { .. }));
    assert_eq!(owner.writes.len(), 5);
}

/// Guards against accepting a second decision on the same parked job.
#[test]
fn decided_twice() {
    let id: JobId = "job".into();
    let mut owner = owner_with_failed_job(&id);
    assert!(owner.decide(&id, false), "the decision must be accepted");
    let (is_accepted, commands) = owner.queue.resolve_parked(&id, true);
    assert!(!is_accepted && commands.is_empty());
    owner.commit(4);
    assert_eq!(owner.state(&id), JobState::Cancelled);
}

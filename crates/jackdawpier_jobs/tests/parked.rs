//! An operator's decision on a parked job, while the job's last state is not durable yet.

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

/// A queue that numbers its writes, as the cell of its owner does.
struct Owner {
    queue: JobQueue,
    writes: Vec<Job>,
}

impl Owner {
    fn follow(&mut self, commands: Vec<Command>) {
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
        self.follow(commands.clone());
        commands
    }

    /// Carries an operator's decision out and says whether it was taken.
    fn decide(&mut self, id: &JobId, runs_again: bool) -> bool {
        let (is_accepted, commands) = self.queue.resolve_parked(id, runs_again);
        self.follow(commands);
        is_accepted
    }

    fn state(&self, id: &JobId) -> JobState {
        self.queue.job(id).expect("it is known").state.clone()
    }
}

/// An owner at which a job that may not be repeated has just failed, with that state under way
/// to the store.
fn owner_of_failed(id: &JobId) -> Owner {
    let mut queue = JobQueue::new(Duration::from_secs(3), Duration::from_secs(60));
    queue.upsert_worker(worker("worker", "rack"));
    let mut owner = Owner { queue, writes: Vec::new() };
    let job = job(id, false);
    let submitted = owner.queue.submit(job);
    owner.follow(submitted);
    owner.commit(1);
    let claimed = owner.queue.tick(Now::ZERO);
    owner.follow(claimed);
    owner.commit(2);
    let report = TaskReport {
        job: id.clone(),
        attempt: 1,
        state: TaskState::Failed,
        usage: SIZE,
        ran_ms: 1,
    };
    let ended = owner.queue.on_start_outcome(Now::ZERO, id, 1, StartOutcome::Reported(report));
    owner.follow(ended);
    assert_eq!(owner.state(id), JobState::Parked { reason: ParkReason::Failed });
    owner
}

/// What is shown as parked can be discarded: the decision isn't lost because the store is slow.
#[test]
fn discarded_early() {
    let id: JobId = "job".into();
    let mut owner = owner_of_failed(&id);
    assert!(owner.decide(&id, false), "the decision was dropped");
    assert_eq!(owner.state(&id), JobState::Cancelled);
    owner.commit(3);
    owner.commit(4);
    assert_eq!(owner.writes[3].state, JobState::Cancelled, "the last state in the store");
    assert_eq!(owner.state(&id), JobState::Cancelled);
}

/// A job that may run again waits for a worker once the decision is durable, not before.
#[test]
fn retried_early() {
    let id: JobId = "job".into();
    let mut owner = owner_of_failed(&id);
    assert!(owner.decide(&id, true), "the decision was dropped");
    owner.commit(3);
    let early = owner.queue.tick(Now::ZERO);
    assert!(early.is_empty(), "claimed while the store still shows it as parked: {early:?}");
    owner.commit(4);
    let claimed = owner.queue.tick(Now::ZERO);
    owner.follow(claimed);
    assert!(matches!(owner.state(&id), JobState::Claimed { .. }));
    assert_eq!(owner.writes.len(), 5);
}

/// Two operators decide one after the other: the second one finds the job decided.
#[test]
fn decided_twice() {
    let id: JobId = "job".into();
    let mut owner = owner_of_failed(&id);
    assert!(owner.decide(&id, false), "the decision was dropped");
    let (is_accepted, commands) = owner.queue.resolve_parked(&id, true);
    assert!(!is_accepted && commands.is_empty());
    owner.commit(4);
    assert_eq!(owner.state(&id), JobState::Cancelled);
}

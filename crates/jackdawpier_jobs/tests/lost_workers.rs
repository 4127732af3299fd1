//! Idempotent jobs that crash their workers.
//!
//! Guards against retrying such a job without limit: a crashed worker reports nothing, so the job
//! was placed on one worker after another as its task leases expired.

mod support;

use std::{collections::BTreeSet, time::Duration};

use jackdawpier_jobs::{
    job::{JobState, ParkReason},
    queue::{Command, JobQueue, StartOutcome},
    workers::WorkerInfo,
};
use jackdawpier_kernel::{
    Now,
    ids::{JobId, WorkerId},
    task::{TaskReport, TaskState},
};
use support::{SIZE, job, worker};

const LEASE: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(100);

/// Simulates a queue with `worker_count` workers in two racks. A worker stops responding once it
/// starts a job that is not in `harmless`.
struct CrashingWorkers {
    queue: JobQueue,
    worker_count: usize,
    now: Now,
    writes: u64,
    starts: Vec<JobId>,
    harmless: BTreeSet<JobId>,
    unresponsive: BTreeSet<WorkerId>,
}

/// Returns worker `number`; the racks alternate.
fn rack_worker(number: usize) -> WorkerInfo {
    worker(&format!("worker-{number}"), &format!("rack-{}", number % 2))
}

impl CrashingWorkers {
    fn new(worker_count: usize) -> Self {
        let mut queue = JobQueue::new(LEASE, Duration::from_secs(60));
        for number in 0..worker_count {
            queue.upsert_worker(rack_worker(number));
        }
        Self {
            queue,
            worker_count,
            now: Now::ZERO,
            writes: 0,
            starts: Vec::new(),
            harmless: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
        }
    }

    fn submit(&mut self, id: &JobId) {
        let job = job(id, true);
        let commands = self.queue.submit(job);
        self.execute(commands);
    }

    /// Replaces the queue by one that has recovered the durable jobs, as a new owner of the shard does.
    fn change_owner(&mut self) {
        let mut queue = JobQueue::new(LEASE, Duration::from_secs(60));
        for number in 0..self.worker_count {
            queue.upsert_worker(rack_worker(number));
        }
        self.queue.jobs().for_each(|job| queue.recover(self.now, job.clone()));
        self.queue = queue;
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Write(job) => {
                    self.writes += 1;
                    self.queue.on_write_queued(self.writes, job.id.clone());
                    let durable = self.queue.on_committed(self.now, self.writes);
                    self.execute(durable);
                }
                Command::Start { worker, task: start } => {
                    self.starts.push(start.job.clone());
                    if !self.harmless.contains(&start.job) {
                        self.unresponsive.insert(worker);
                    }
                    let report = TaskReport {
                        job: start.job.clone(),
                        attempt: start.attempt,
                        state: TaskState::Running,
                        usage: SIZE,
                        ran_ms: 1,
                    };
                    let end = StartOutcome::Reported(report);
                    let next =
                        self.queue.on_start_outcome(self.now, &start.job, start.attempt, end);
                    self.execute(next);
                }
                _ => {}
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            let commands = self.queue.tick(self.now);
            self.execute(commands);
            self.renew();
        }
    }

    fn renew(&mut self) {
        for renewal in self.queue.renewals(self.now) {
            let Command::Send { worker, command } = renewal else { continue };
            if !self.unresponsive.contains(&worker) {
                self.queue.on_renewed(self.now, &command.job);
            }
        }
    }
}

#[test]
fn parked_after_losses() {
    let id: JobId = "job".into();
    let mut world = CrashingWorkers::new(6);
    world.submit(&id);
    world.run_for(LEASE * 12);
    let state = world.queue.job(&id).expect("the job is known").state.clone();
    assert_eq!(world.starts.len(), 3);
    assert_eq!(state, JobState::Parked { reason: ParkReason::NeverRuns });
}

/// Guards against parking a job that loses its workers to jobs that start later on the same worker:
/// losses with a likelier cause must not count as its own failures.
#[test]
fn likelier_cause() {
    let long: JobId = "long".into();
    let mut world = CrashingWorkers::new(24);
    world.harmless.insert(long.clone());
    world.submit(&long);
    world.run_for(LEASE * 2);
    for number in 0..3 {
        let short: JobId = format!("short-{number}").as_str().into();
        world.submit(&short);
        world.run_for(LEASE * 3);
        let unresponsive = world.unresponsive.clone();
        world.queue.retain_workers(|worker| !unresponsive.contains(worker));
    }
    let state = world.queue.job(&long).expect("the job is known").state.clone();
    assert!(matches!(state, JobState::Claimed { .. }), "{state:?}");
    let starts = world.starts.iter().filter(|id| **id == long).count();
    assert!(starts > 3, "three losses must have a likelier cause: {starts} starts");
}

/// Guards against retrying a job without limit if each new owner of the shard restarts the count of
/// its failures.
#[test]
fn counted_anew() {
    let id: JobId = "job".into();
    let mut world = CrashingWorkers::new(24);
    world.submit(&id);
    for _ in 0..12 {
        world.run_for(LEASE * 2);
        world.change_owner();
    }
    let state = world.queue.job(&id).expect("the job is known").state.clone();
    assert_eq!(world.starts.len(), 3);
    assert_eq!(state, JobState::Parked { reason: ParkReason::NeverRuns });
}

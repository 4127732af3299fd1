//! A job that may be repeated crashed each worker that ran it. A worker that crashes reports nothing, so
//! the job was claimed again whenever its lease was over, by one worker after the other, without end.

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

/// A queue with as many workers in two racks, each of which falls silent once it has taken a start, other
/// than of a harmless job.
struct SilentWorkers {
    queue: JobQueue,
    workers: usize,
    now: Now,
    writes: u64,
    starts: Vec<JobId>,
    harmless: BTreeSet<JobId>,
    silent: BTreeSet<WorkerId>,
}

/// One of the workers, every other in the second rack.
fn rack_worker(number: usize) -> WorkerInfo {
    worker(&format!("worker-{number}"), &format!("rack-{}", number % 2))
}

impl SilentWorkers {
    fn new(workers: usize) -> Self {
        let mut queue = JobQueue::new(LEASE, Duration::from_secs(60));
        for number in 0..workers {
            queue.upsert_worker(rack_worker(number));
        }
        Self {
            queue,
            workers,
            now: Now::ZERO,
            writes: 0,
            starts: Vec::new(),
            harmless: BTreeSet::new(),
            silent: BTreeSet::new(),
        }
    }

    fn submit(&mut self, id: &JobId) {
        let job = job(id, true);
        let commands = self.queue.submit(job);
        self.follow(commands);
    }

    /// Another process holds the shard from now on; it knows what is durable.
    fn change_holder(&mut self) {
        let mut queue = JobQueue::new(LEASE, Duration::from_secs(60));
        for number in 0..self.workers {
            queue.upsert_worker(rack_worker(number));
        }
        self.queue.jobs().for_each(|job| queue.recover(self.now, job.clone()));
        self.queue = queue;
    }

    fn follow(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Write(job) => {
                    self.writes += 1;
                    self.queue.on_write_queued(self.writes, job.id.clone());
                    let durable = self.queue.on_committed(self.now, self.writes);
                    self.follow(durable);
                }
                Command::Start { worker, task: start } => {
                    self.starts.push(start.job.clone());
                    if !self.harmless.contains(&start.job) {
                        self.silent.insert(worker);
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
                    self.follow(next);
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
            self.follow(commands);
            self.renew();
        }
    }

    fn renew(&mut self) {
        for renewal in self.queue.renewals(self.now) {
            let Command::Send { worker, command } = renewal else { continue };
            if !self.silent.contains(&worker) {
                self.queue.on_renewed(self.now, &command.job);
            }
        }
    }
}

#[test]
fn loses_each() {
    let id: JobId = "job".into();
    let mut world = SilentWorkers::new(6);
    world.submit(&id);
    world.run_for(LEASE * 12);
    let state = world.queue.job(&id).expect("it is known").state.clone();
    assert_eq!(world.starts.len(), 3);
    assert_eq!(state, JobState::Parked { reason: ParkReason::NeverRuns });
}

/// A long job loses its workers to others that had just begun there. It was parked with the third, as if
/// it could run nowhere, though it had run for seconds on each.
#[test]
fn beside_another() {
    let long: JobId = "long".into();
    let mut world = SilentWorkers::new(24);
    world.harmless.insert(long.clone());
    world.submit(&long);
    world.run_for(LEASE * 2);
    for number in 0..3 {
        let short: JobId = format!("short-{number}").as_str().into();
        world.submit(&short);
        world.run_for(LEASE * 3);
        let silent = world.silent.clone();
        world.queue.retain_workers(|worker| !silent.contains(worker));
    }
    let state = world.queue.job(&long).expect("it is known").state.clone();
    assert!(matches!(state, JobState::Claimed { .. }), "{state:?}");
    let starts = world.starts.iter().filter(|id| **id == long).count();
    assert!(starts > 3, "it has lost three workers to the others: {starts} starts");
}

/// Each later holder of a shard counted anew, so a job lost workers without end.
#[test]
fn counted_anew() {
    let id: JobId = "job".into();
    let mut world = SilentWorkers::new(24);
    world.submit(&id);
    for _ in 0..12 {
        world.run_for(LEASE * 2);
        world.change_holder();
    }
    let state = world.queue.job(&id).expect("it is known").state.clone();
    assert_eq!(world.starts.len(), 3);
    assert_eq!(state, JobState::Parked { reason: ParkReason::NeverRuns });
}

//! A job that may be repeated crashed each worker that ran it. A worker that crashes reports nothing, so
//! the job was claimed again whenever its lease was over, by one worker after the other, without end.

use std::time::Duration;

use jackdawpier_jobs::{
    job::{Job, JobState, ParkReason},
    queue::{Command, JobQueue, StartEnd},
    workers::WorkerInfo,
};
use jackdawpier_kernel::{
    Now,
    ids::JobId,
    task::{Size, TaskReport, TaskState},
};

const SIZE: Size = Size { cores_milli: 1_000, memory_mb: 1_000, accelerators: 0 };
const CAPACITY: Size = Size { cores_milli: 8_000, memory_mb: 8_000, accelerators: 0 };
const LEASE: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(100);

/// A queue with as many workers in two racks, all of which take a start and then fall silent.
struct SilentWorkers {
    queue: JobQueue,
    now: Now,
    writes: u64,
    starts: usize,
}

impl SilentWorkers {
    fn new(workers: usize) -> Self {
        let mut queue = JobQueue::new(LEASE, Duration::from_secs(60));
        for number in 0..workers {
            queue.upsert_worker(WorkerInfo {
                id: format!("worker-{number}").into(),
                zone: "zone".into(),
                rack: format!("rack-{}", number % 2).into(),
                capacity: CAPACITY,
                is_leaving: false,
            });
        }
        Self { queue, now: Now::ZERO, writes: 0, starts: 0 }
    }

    fn submit(&mut self, id: &JobId) {
        let job = Job {
            id: id.clone(),
            class: "ledger".into(),
            customer: "none".into(),
            is_idempotent: true,
            declared: SIZE,
            payload: String::new(),
            attempts: 0,
            state: JobState::Queued,
        };
        let commands = self.queue.submit(job);
        self.follow(commands);
    }

    fn follow(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Write(job) => {
                    self.writes += 1;
                    self.queue.recording(self.writes, job.id.clone());
                    let durable = self.queue.committed(self.now, self.writes);
                    self.follow(durable);
                }
                Command::Start { task: start, .. } => {
                    self.starts += 1;
                    let report = TaskReport {
                        job: start.job.clone(),
                        attempt: start.attempt,
                        state: TaskState::Running,
                        usage: SIZE,
                        ran_ms: 1,
                    };
                    let end = StartEnd::Reported(report);
                    let next = self.queue.start_ended(self.now, &start.job, start.attempt, end);
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
    assert_eq!(world.starts, 3);
    assert_eq!(state, JobState::Parked { reason: ParkReason::NeverRuns });
}

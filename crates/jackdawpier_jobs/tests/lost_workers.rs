//! A job that may be repeated crashed each worker that ran it. A worker that crashes reports nothing, so
//! the job was claimed again whenever its lease was over, by one worker after the other, without end.

mod support;

use std::time::Duration;

use jackdawpier_jobs::{
    job::{JobState, ParkReason},
    queue::{Command, JobQueue, StartEnd},
};
use jackdawpier_kernel::{
    Now,
    ids::JobId,
    task::{TaskReport, TaskState},
};
use support::{SIZE, job, worker};

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
            queue.upsert_worker(worker(
                &format!("worker-{number}"),
                &format!("rack-{}", number % 2),
            ));
        }
        Self { queue, now: Now::ZERO, writes: 0, starts: 0 }
    }

    fn submit(&mut self, id: &JobId) {
        let job = job(id, true);
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

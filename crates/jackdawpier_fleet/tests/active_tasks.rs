//! The bound on the tasks that are placed.

mod world;

use std::time::Duration;

use jackdawpier_fleet::{
    executor::{EndKind, EndedTask, ExecutorInfo, HoldReport},
    fleet::{Command, Fleet, FleetSettings, JobView, StartOutcome},
    record::JobOutcome,
    spec::{JobSpec, Resources, RunNumber, Service, StepSpec, Submission, TaskKey},
};
use jackdawpier_kernel::{Now, ids::ExecutorId};
use world::{EPOCH_MS, job, queue, settings, step};

const QUEUE: &str = "q-view";
const SERVICE: &str = "view";
const MAX_ACTIVE_TASKS: usize = 400;
const TICK: Duration = Duration::from_millis(50);

/// An owner with one executor that has room for everything.
struct Owner {
    fleet: Fleet,
    now: Now,
    executor: ExecutorId,
    running: Vec<(TaskKey, RunNumber)>,
    sequence: u64,
}

impl Owner {
    fn new() -> Self {
        let settings = FleetSettings { max_active_tasks: MAX_ACTIVE_TASKS, ..settings() };
        let mut fleet = Fleet::new(settings, Now::ZERO);
        let service = Service { name: SERVICE.into(), is_standby: false };
        fleet.configure(vec![queue(QUEUE, SERVICE)], vec![service], Vec::new());
        let executor: ExecutorId = "executor".into();
        let capacity = Resources { cpu_millicores: 1 << 40, memory_mb: 1 << 40, gpus: 0 };
        let info = ExecutorInfo {
            id: executor.clone(),
            incarnation: None,
            service: SERVICE.into(),
            address: "address".into(),
            zone: "zone".into(),
            rack: None,
            labels: Vec::new(),
            capacity,
            is_draining: false,
        };
        fleet.register_executor(Now::ZERO, info);
        let mut owner = Self { fleet, now: Now::ZERO, executor, running: Vec::new(), sequence: 0 };
        owner.report(0);
        owner
    }

    fn add_job(&mut self, id: &str, spec: JobSpec) {
        let accepted_ms = self.wall_ms();
        let submission =
            Submission { queue: QUEUE.into(), settings: None, account: None, accepted_ms, spec };
        self.fleet.add_job(self.now, self.now, accepted_ms, id.into(), submission);
    }

    fn wall_ms(&self) -> u64 {
        EPOCH_MS + self.now.as_millis() as u64
    }

    /// Ticks, writes all changes, and confirms all starts.
    fn tick(&mut self) {
        self.now += TICK;
        self.fleet.tick(self.now, self.wall_ms());
        self.write_changes();
        for command in self.fleet.take_commands() {
            let Command::Start { executor, task, run, .. } = command else { continue };
            let outcome = StartOutcome::Started;
            self.fleet.start_ended(self.now, &executor, &task, run, outcome, true);
            self.running.push((task, run));
        }
        self.write_changes();
    }

    fn write_changes(&mut self) {
        while let Some(batch) = self.fleet.take_batch(30, usize::MAX) {
            let revisions = vec![1; batch.jobs.len()];
            self.fleet.batch_durable(self.now, &batch, &revisions);
        }
    }

    /// Reports that the first tasks have completed.
    fn report(&mut self, completed: usize) {
        let ended = self.running.drain(..completed).collect::<Vec<_>>();
        let ended = ended.into_iter().map(|(task, run)| {
            self.sequence += 1;
            let (sequence, checkpoint) = (self.sequence, "".into());
            EndedTask { sequence, task, run, kind: EndKind::Done, checkpoint }
        });
        let ended = ended.collect();
        let report = HoldReport { incarnation: None, clock: self.now, running: Vec::new(), ended };
        let (now, id) = (self.now, self.executor.clone());
        self.fleet.hold_answered(now, now, &id, &report);
    }

    fn running_of(&self, id: &str) -> usize {
        self.running.iter().filter(|(task, _)| &*task.job == id).count()
    }
}

/// A step of tasks that need nothing.
fn free_step(count: u32) -> StepSpec {
    StepSpec { need: Resources::default(), ..step(count, 0, 1_000) }
}

/// Guards against owners that exceed their memory because callers decide how many tasks are placed.
#[test]
fn large_jobs() {
    let mut owner = Owner::new();
    (0..3)
        .for_each(|number| owner.add_job(&format!("large-{number}"), job(vec![free_step(8_000)])));
    owner.tick();
    assert!(owner.running.len() <= MAX_ACTIVE_TASKS, "{} tasks run", owner.running.len());
    assert!(owner.fleet.active_tasks().is_full);
}

/// Guards against small jobs that wait behind large ones.
#[test]
fn small_job_beside_large() {
    let mut owner = Owner::new();
    owner.add_job("large", job(vec![free_step(8_000)]));
    owner.tick();
    owner.add_job("small", job(vec![free_step(2)]));
    owner.tick();
    assert_eq!(owner.running_of("small"), 2);
}

/// Guards against a job that stops at the bound.
#[test]
fn large_job_completes() {
    let mut owner = Owner::new();
    owner.add_job("large", job(vec![free_step(2_000)]));
    for _ in 0..40 {
        owner.tick();
        owner.report(owner.running.len());
        owner.write_changes();
    }
    assert_eq!(owner.fleet.view("large"), Some(JobView::Over(JobOutcome::Completed)));
    owner.tick();
    assert_eq!(owner.fleet.active_tasks().held, 0);
}

/// Guards against tasks that wait for good because others of their job, which were never placed, stand before them at the
/// bound.
#[test]
fn rerun_at_bound() {
    let mut owner = Owner::new();
    owner.add_job("large", job(vec![free_step(8_000)]));
    owner.tick();
    let running = owner.running.len();
    // The executor ends without a report, so that all placed tasks wait again.
    owner.running.clear();
    owner.now += Duration::from_secs(30);
    owner.fleet.expire_executors(owner.now);
    owner.report(0);
    owner.report(0);
    owner.tick();
    assert!(owner.running.len() >= running.min(64), "{} tasks run again", owner.running.len());
}

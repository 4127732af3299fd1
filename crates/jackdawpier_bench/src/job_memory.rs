//! Memory and processor time of jobs with thousands of tasks in the fleet's owner, and what they cost the store.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawpier_fleet::{
    executor::{EndKind, EndedTask, ExecutorInfo, HoldReport, MAX_ENDS_PER_REPORT},
    fleet::{Command, Fleet, StartOutcome},
    record::JobRecord,
    spec::{JobSpec, Resources, RunNumber, Schedule, Service, StepSpec, Submission, TaskKey},
};
use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId},
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region};

use crate::owner::{queue, settings};

const POOL: usize = 0;
const QUEUE: &str = "queue-0";
const SERVICE: &str = "pool-0";
const EXECUTORS: usize = 12;
const TASKS_PER_JOB: u32 = 8_000;
/// Jobs that name a million tasks.
const MANY_JOBS: usize = 125;
/// Jobs that place a hundred thousand tasks.
const PLACED_JOBS: usize = 13;
const CANCELLED_JOBS: usize = 100_000;
const WALL_MS: u64 = 1_796_000_000_000;
const DAY_MS: u64 = 24 * 3600 * 1000;
const TICK: Duration = Duration::from_millis(50);
/// Ticks in which everything that has room is placed.
const PLACING_TICKS: usize = 20;
/// Rows of a transaction, and the size of its records.
const MAX_ROWS: usize = 30;
const MAX_BYTES: usize = 512 * 1024;
/// Ends that all executors list at a time at the most, and those of a write where tasks end one after the other.
const MOST_ENDS: usize = EXECUTORS * MAX_ENDS_PER_REPORT;
const FEW_ENDS: usize = 50;

/// What one state of the owner takes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    /// Heap that the owner holds, in bytes.
    pub held_bytes: usize,
    /// Number of tasks, or of jobs, among which it is divided.
    pub count: usize,
    /// Processor time of one more tick.
    pub tick: Duration,
}

/// An owner with executors that confirm each start at once.
struct Owner {
    fleet: Fleet,
    now: Now,
    running: Vec<(ExecutorId, TaskKey, RunNumber)>,
    ended: usize,
    written_bytes: usize,
    /// Processor time of taking and encoding the records.
    writing: Duration,
    /// The last record of each job.
    records: BTreeMap<JobId, JobRecord>,
}

impl Owner {
    fn new(millicores: u64) -> Self {
        let mut fleet = Fleet::new(settings(), Now::ZERO);
        let service = Service { name: SERVICE.into(), is_standby: false };
        fleet.configure(vec![queue(POOL)], vec![service], Vec::new());
        for number in 0..EXECUTORS {
            fleet.register_executor(Now::ZERO, executor_info(number, millicores));
        }
        let (running, records) = (Vec::new(), BTreeMap::new());
        let mut owner = Self {
            fleet,
            now: Now::ZERO,
            running,
            ended: 0,
            written_bytes: 0,
            writing: Duration::ZERO,
            records,
        };
        owner.hold(Vec::new());
        owner
    }

    fn add(&mut self, number: usize, spec: JobSpec) {
        let submission = submission(spec);
        self.fleet.add_job(self.now, self.now, self.wall_ms(), job_id(number), submission);
    }

    fn wall_ms(&self) -> u64 {
        WALL_MS + self.now.as_millis() as u64
    }

    fn tick(&mut self) {
        self.now += TICK;
        let wall_ms = self.wall_ms();
        self.fleet.tick(self.now, wall_ms);
        self.write();
        for command in self.fleet.take_commands() {
            let Command::Start { executor, task, run, .. } = command else { continue };
            let outcome = StartOutcome::Started;
            self.fleet.start_ended(self.now, &executor, &task, run, outcome, true);
            self.running.push((executor, task, run));
        }
        self.write();
    }

    /// Writes all changes, and counts their records as JSON.
    fn write(&mut self) {
        let mut began_at = Instant::now();
        while let Some(batch) = self.fleet.take_batch(MAX_ROWS, MAX_BYTES) {
            for changed in &batch.jobs {
                let value = serde_json::to_vec(&changed.record).expect("a record is JSON");
                self.written_bytes += value.len();
            }
            self.writing += began_at.elapsed();
            let revisions = vec![1; batch.jobs.len()];
            self.fleet.batch_durable(self.now, &batch, &revisions);
            began_at = Instant::now();
        }
        self.fleet.take_finished();
    }

    /// Reports these ends from all executors.
    fn hold(&mut self, mut ended: Vec<(ExecutorId, TaskKey, RunNumber)>) {
        for id in (0..EXECUTORS).map(executor_id) {
            let here = ended.extract_if(.., |(executor, ..)| *executor == id);
            let ended = here.map(|(_, task, run)| {
                self.ended += 1;
                let (sequence, checkpoint) = (self.ended as u64, "".into());
                EndedTask { sequence, task, run, kind: EndKind::Done, checkpoint }
            });
            let ended = ended.collect();
            let (clock, running) = (self.now, Vec::new());
            let report = HoldReport { incarnation: None, clock, running, ended };
            self.fleet.hold_answered(self.now, Now::ZERO, &id, &report);
        }
    }

    fn place_all(&mut self) {
        for _ in 0..PLACING_TICKS {
            self.tick();
        }
    }

    /// Completes all running tasks in groups of at most this many, each of which is written.
    fn complete_all(&mut self, group: usize) {
        while !self.running.is_empty() {
            let first = self.running.len().min(group);
            let ended = self.running.drain(..first).collect();
            self.hold(ended);
            self.tick();
        }
    }
}

fn executor_id(number: usize) -> ExecutorId {
    format!("i-{number:08}").into()
}

fn executor_info(number: usize, millicores: u64) -> ExecutorInfo {
    ExecutorInfo {
        id: executor_id(number),
        incarnation: None,
        service: SERVICE.into(),
        address: "10.0.0.1:1".into(),
        zone: "zone".into(),
        rack: None,
        labels: Vec::new(),
        capacity: Resources { cpu_millicores: millicores, memory_mb: 1 << 30, gpus: 0 },
        is_draining: false,
    }
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").into()
}

fn submission(spec: JobSpec) -> Submission {
    Submission { queue: QUEUE.into(), settings: None, account: None, accepted_ms: WALL_MS, spec }
}

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        need: Resources { cpu_millicores: 5, memory_mb: 1, gpus: 0 },
        estimate: Duration::from_secs(30),
        ..StepSpec::default()
    }
}

/// A job of many tasks that can start at once.
fn wide_job() -> JobSpec {
    JobSpec { payload: "payload".into(), steps: vec![step(TASKS_PER_JOB)], schedule: None }
}

/// A job that repeats each minute from tomorrow on.
fn later_job() -> JobSpec {
    let first_ms = WALL_MS + DAY_MS;
    let schedule = Schedule { first_ms, interval_ms: 60_000, repeats: TASKS_PER_JOB };
    JobSpec { payload: "payload".into(), steps: vec![step(1)], schedule: Some(schedule) }
}

/// Brings an owner into a state, and measures what that adds to the memory of an idle one.
fn measure(millicores: u64, count: usize, act: impl FnOnce(&mut Owner)) -> (Figures, Owner) {
    let mut owner = Owner::new(millicores);
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    act(&mut owner);
    owner.running.shrink_to_fit();
    let change = region.change();
    let own_bytes: usize = owner.running.capacity() * size_of::<(ExecutorId, TaskKey, RunNumber)>();
    let held_bytes = change.bytes_allocated.saturating_sub(change.bytes_deallocated);
    let began_at = Instant::now();
    owner.now += TICK;
    let wall_ms = owner.wall_ms();
    owner.fleet.tick(owner.now, wall_ms);
    let tick = began_at.elapsed();
    (Figures { held_bytes: held_bytes.saturating_sub(own_bytes), count, tick }, owner)
}

fn add_jobs(owner: &mut Owner, jobs: usize, spec: &JobSpec) {
    (0..jobs).for_each(|number| owner.add(number, spec.clone()));
    owner.tick();
}

fn print_line(state: &str, figures: &Figures) {
    println!(
        "{state:46} {:8.1} MB {:9.1} bytes each {:9.2} ms a tick",
        figures.held_bytes as f64 / 1e6,
        figures.held_bytes as f64 / figures.count as f64,
        figures.tick.as_secs_f64() * 1e3,
    );
}

/// Prints the size of a job's records if its tasks end one after the other.
fn print_slow_ends() {
    let mut owner = Owner::new(1 << 30);
    add_jobs(&mut owner, 1, &wide_job());
    owner.place_all();
    owner.complete_all(FEW_ENDS);
    let bytes = owner.written_bytes as f64;
    println!("  records of a job of which {FEW_ENDS} tasks end at a time: {:.1} MB", bytes / 1e6);
}

/// Measures and prints all states.
pub fn print() {
    let tasks_of = |jobs: usize| jobs * TASKS_PER_JOB as usize;
    let later = |owner: &mut Owner| add_jobs(owner, MANY_JOBS, &later_job());
    print_line("1,000,000 tasks, not due", &measure(0, tasks_of(MANY_JOBS), later).0);
    let full = |owner: &mut Owner| add_jobs(owner, MANY_JOBS, &wide_job());
    print_line("1,000,000 tasks, due, no room", &measure(0, tasks_of(MANY_JOBS), full).0);

    let placed = |owner: &mut Owner| {
        add_jobs(owner, PLACED_JOBS, &wide_job());
        owner.place_all();
    };
    let (figures, mut owner) = measure(1 << 30, tasks_of(PLACED_JOBS), placed);
    assert_eq!(owner.running.len(), figures.count, "all tasks were placed");
    print_line("104,000 tasks, running", &figures);
    let written = owner.written_bytes;
    // All but one complete, so that the jobs stay open.
    let mut last: Vec<_> =
        owner.running.extract_if(.., |(_, task, _)| task.index + 1 == TASKS_PER_JOB).collect();
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    owner.complete_all(MOST_ENDS);
    let change = region.change();
    let freed = change.bytes_deallocated.saturating_sub(change.bytes_allocated);
    println!("  of these, all but {} done: {:.1} MB freed", last.len(), freed as f64 / 1e6);
    owner.running.append(&mut last);
    owner.complete_all(MOST_ENDS);
    println!(
        "  records of a job: {:.2} MB until all its tasks run, {:.2} MB in all, {:.1} ns a byte",
        written as f64 / PLACED_JOBS as f64 / 1e6,
        owner.written_bytes as f64 / PLACED_JOBS as f64 / 1e6,
        owner.writing.as_nanos() as f64 / owner.written_bytes as f64
    );

    print_slow_ends();

    let cancelled = |owner: &mut Owner| {
        for number in 0..CANCELLED_JOBS {
            owner.add(number, later_job());
            owner.fleet.cancel(owner.now, &job_id(number));
            owner.write();
        }
        owner.tick();
    };
    print_line("100,000 cancelled jobs", &measure(0, CANCELLED_JOBS, cancelled).0);
    print_take_over();
}

/// Prints what a new owner takes of placed tasks.
fn print_take_over() {
    let mut previous = Owner::new(1 << 30);
    for number in 0..PLACED_JOBS {
        previous.add(number, wide_job());
    }
    for _ in 0..PLACING_TICKS {
        previous.now += TICK;
        let wall_ms = previous.wall_ms();
        previous.fleet.tick(previous.now, wall_ms);
        while let Some(batch) = previous.fleet.take_batch(MAX_ROWS, MAX_BYTES) {
            let revisions = vec![1; batch.jobs.len()];
            previous.fleet.batch_durable(previous.now, &batch, &revisions);
            let records = batch.jobs.into_iter().map(|changed| (changed.job, changed.record));
            previous.records.extend(records);
        }
    }
    let records = std::mem::take(&mut previous.records);
    drop(previous);
    let take_over = |owner: &mut Owner| {
        for (id, record) in &records {
            let written = Some((record.clone(), 1));
            let (wall_ms, submission) = (owner.wall_ms(), submission(wide_job()));
            owner.fleet.recover_job(owner.now, wall_ms, id.clone(), submission, written);
        }
    };
    let count = PLACED_JOBS * TASKS_PER_JOB as usize;
    print_line("104,000 tasks, recovered as placed", &measure(1 << 30, count, take_over).0);
}

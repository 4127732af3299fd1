//! What the owner holds of jobs with thousands of tasks.

mod world;

use std::{
    alloc::System,
    sync::{Mutex, MutexGuard, PoisonError},
};

use jackdawpier_fleet::{
    fleet::Fleet,
    job_size::open_job_bytes,
    spec::{JobSpec, Schedule, StepSpec, Submission},
};
use jackdawpier_kernel::{Now, ids::JobId};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use world::{EPOCH_MS, job, queue, settings, step};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Lets one test allocate at a time.
static ALLOCATING: Mutex<()> = Mutex::new(());

const MB: usize = 1024 * 1024;
const DAY_MS: u64 = 24 * 3600 * 1000;
/// Memory that callers leave of the smallest machine.
const OWNER_BYTES: usize = 120 * MB;
const QUEUE: &str = "q-view";

/// A job that repeats each minute from tomorrow on.
fn repeated_job() -> JobSpec {
    let first_ms = EPOCH_MS + DAY_MS;
    let schedule = Schedule { first_ms, interval_ms: 60_000, repeats: 8_000 };
    JobSpec { schedule: Some(schedule), ..job(vec![step(1, 1, 1_000)]) }
}

/// The heap that is held since its creation.
struct Heap {
    region: Region<'static, System>,
    _allocating: MutexGuard<'static, ()>,
}

impl Heap {
    fn measure() -> Self {
        let allocating = ALLOCATING.lock().unwrap_or_else(PoisonError::into_inner);
        Self { region: Region::new(ALLOCATOR), _allocating: allocating }
    }

    fn held_bytes(&self) -> usize {
        let change = self.region.change();
        change.bytes_allocated.saturating_sub(change.bytes_deallocated)
    }
}

fn job_id(number: usize) -> JobId {
    format!("5c0e7a2100{number:06}").into()
}

/// An owner without executors.
fn owner() -> Fleet {
    let mut fleet = Fleet::new(settings(), Now::ZERO);
    fleet.configure(vec![queue(QUEUE, "view")], Vec::new(), Vec::new());
    fleet
}

fn add_job(fleet: &mut Fleet, id: &JobId, spec: JobSpec) {
    let submission = Submission {
        queue: QUEUE.into(),
        settings: None,
        account: None,
        accepted_ms: EPOCH_MS,
        spec,
    };
    fleet.add_job(Now::ZERO, Now::ZERO, EPOCH_MS, id.clone(), submission);
}

fn write_changes(fleet: &mut Fleet) {
    while let Some(batch) = fleet.take_batch(30, usize::MAX) {
        let revisions = vec![1; batch.jobs.len()];
        fleet.batch_durable(Now::ZERO, &batch, &revisions);
    }
    fleet.take_finished();
}

/// Guards against owners that exceed their memory because ended jobs keep their tasks for as long as callers may ask.
#[test]
fn cancelled_jobs() {
    const JOBS: usize = 500;
    // A quarter of the memory has to hold a hundred thousand jobs that were cancelled within a minute.
    const MAX_BYTES_PER_JOB: usize = OWNER_BYTES / 4 / 100_000;
    let heap = Heap::measure();
    let mut fleet = owner();
    for id in (0..JOBS).map(job_id) {
        add_job(&mut fleet, &id, repeated_job());
        fleet.cancel(Now::ZERO, &id);
        write_changes(&mut fleet);
        fleet.tick(Now::ZERO, EPOCH_MS);
    }
    let bytes_per_job = heap.held_bytes() / JOBS;
    assert!(bytes_per_job <= MAX_BYTES_PER_JOB, "{bytes_per_job} bytes a job");
}

/// Guards against owners that exceed their memory because jobs hold tasks that aren't due.
#[test]
fn repeated_jobs() {
    const JOBS: usize = 130;
    let heap = Heap::measure();
    let mut fleet = owner();
    for id in (0..JOBS).map(job_id) {
        add_job(&mut fleet, &id, repeated_job());
    }
    fleet.tick(Now::ZERO, EPOCH_MS);
    let held = heap.held_bytes();
    // A quarter of the memory is for open jobs.
    assert!(held <= OWNER_BYTES / 4, "{held} bytes for {JOBS} jobs");
}

/// Overdue occurrences of a job that can't start.
fn overdue_job(interval_ms: u64, tasks: u32) -> JobSpec {
    let schedule = Schedule { first_ms: EPOCH_MS, interval_ms, repeats: 8_000 / tasks };
    JobSpec { schedule: Some(schedule), ..job(vec![step(tasks, 1, 1_000)]) }
}

/// Guards against a room for open jobs that ends above the memory, because a job takes more than it counts with.
#[test]
fn counted_size() {
    const JOBS: usize = 20;
    let heap = Heap::measure();
    let chain = (0..300).map(|number| StepSpec {
        after: (0..number).collect(),
        required_label: Some("label".into()),
        ..step(1, 1, 1_000)
    });
    let shapes: [(&str, JobSpec); 7] = [
        ("small", job(vec![step(2, 1, 300)])),
        ("wide", job(vec![step(8_192, 1, 1_000)])),
        ("many steps", job(vec![step(2, 1, 1_000); 3_000])),
        ("chain", job(chain.collect())),
        ("later", repeated_job()),
        ("overdue", overdue_job(1, 1)),
        ("wide and overdue", overdue_job(1, 80)),
    ];
    for (name, spec) in shapes {
        let mut fleet = owner();
        let fixed = heap.held_bytes();
        for id in (0..JOBS).map(job_id) {
            add_job(&mut fleet, &id, spec.clone());
        }
        for second in 0..10 {
            fleet.tick(Now::from_secs(second), EPOCH_MS + second * 1_000);
        }
        let held = (heap.held_bytes() - fixed) / JOBS;
        let counted = open_job_bytes(&spec);
        assert!(held <= counted, "{name}: {held} bytes held, {counted} counted");
    }
}

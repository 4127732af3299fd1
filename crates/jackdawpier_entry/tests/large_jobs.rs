//! Jobs of thousands of tasks fit into the memory of their owner.

mod support;

use std::{alloc::System, time::Duration};

use jackdawpier_entry::keys;
use jackdawpier_fleet::{
    record::{JobRecord, TaskStatus},
    spec::Resources,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use support::{Fake, run, settings, start_owner, submission, wait_until};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const MB: usize = 1024 * 1024;
const JOBS: usize = 5;
const TASKS: u32 = 8_000;

/// Submits a job of many tasks that need next to nothing.
fn put_large_job(fake: &Fake, id: &str) {
    let mut submission = submission();
    submission.spec.steps[0].count = TASKS;
    submission.spec.steps[0].need = Resources { cpu_millicores: 0, memory_mb: 0, gpus: 0 };
    let value = serde_json::to_vec(&submission).expect("a submission can be written as JSON");
    fake.put(&keys::submission(id), &value);
}

/// Returns the number of tasks that the store names as placed.
fn placed(fake: &Fake, id: &str) -> usize {
    let Some(value) = fake.value(&keys::record(id)) else { return 0 };
    let record: JobRecord = serde_json::from_slice(&value).expect("the owner's records are valid");
    let is_placed = |status: &TaskStatus| matches!(status, TaskStatus::Placed(_));
    record.tasks.iter().filter(|task| is_placed(&task.status)).count()
}

fn held_bytes(region: &Region<'_, System>) -> usize {
    let change = region.change();
    change.bytes_allocated.saturating_sub(change.bytes_deallocated)
}

/// Guards against owners that exceed their memory because each start that waits for its turn takes kilobytes.
#[test]
fn waiting_starts() {
    run(async {
        let fake = Fake::default();
        fake.hold_starts();
        let region = Region::new(ALLOCATOR);
        let ids: Vec<String> = (0..JOBS).map(|number| format!("job-{number}")).collect();
        ids.iter().for_each(|id| put_large_job(&fake, id));
        let (_handle, owning) = start_owner(&fake, "a");
        let are_placed = || ids.iter().all(|id| placed(&fake, id) == TASKS as usize);
        assert!(wait_until(are_placed).await, "the store names all tasks as placed");
        tokio::time::sleep(Duration::from_millis(200)).await;
        // A third of what callers leave of the machine is for the tasks that are placed.
        let max_bytes = settings("a").memory_mb * MB * 3 / 4 / 3;
        let held = held_bytes(&region);
        assert!(held < max_bytes, "{held} bytes for {JOBS} jobs of {TASKS} tasks");
        owning.abort();
    });
}

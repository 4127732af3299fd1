//! A job's record fits into the store.

use jackdawpier_fleet::{
    record::{JobRecord, TaskRecord, TaskStatus},
    spec::{MAX_TASKS_PER_JOB, RunNumber},
};

/// Maximum size of a value in the store.
const MAX_VALUE_BYTES: usize = 1_048_576;

fn placed_task() -> TaskRecord {
    TaskRecord {
        status: TaskStatus::Placed("i-0123456789abcdef".into()),
        placed_incarnation: Some(1_796_331_053_676),
        run: RunNumber::MAX,
        failed_runs: vec![1],
        checkpoint: "0123456789abcdef".into(),
        ..TaskRecord::default()
    }
}

/// Guards against accepting a job whose record the store refuses, together with the other jobs in the same write.
#[test]
fn largest_job() {
    let tasks = vec![placed_task(); MAX_TASKS_PER_JOB as usize];
    let record = JobRecord { has_begun: true, tasks, ..JobRecord::default() };
    let bytes = serde_json::to_vec(&record).expect("a record can be written as JSON").len();
    assert!(bytes <= MAX_VALUE_BYTES, "{bytes} bytes");
}

//! Shared fixtures.

#![allow(dead_code, unreachable_pub, reason = "each test file uses only some of the fixtures")]

use jackdawpier_jobs::{
    job::{Job, JobState},
    workers::WorkerInfo,
};
use jackdawpier_kernel::{ids::JobId, task::TaskResources};

pub const SIZE: TaskResources =
    TaskResources { cores_milli: 1_000, memory_mb: 1_000, accelerators: 0 };
const CAPACITY: TaskResources =
    TaskResources { cores_milli: 8_000, memory_mb: 8_000, accelerators: 0 };

/// Returns a worker with room for eight jobs.
pub fn worker(id: &str, rack: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        zone: "zone".into(),
        rack: rack.into(),
        capacity: CAPACITY,
        is_leaving: false,
    }
}

/// Returns a job as it is submitted.
pub fn job(id: &JobId, is_idempotent: bool) -> Job {
    Job {
        id: id.clone(),
        class: "ledger".into(),
        customer: "none".into(),
        is_idempotent,
        declared: SIZE,
        payload: String::new(),
        attempts: 0,
        state: JobState::Queued,
    }
}

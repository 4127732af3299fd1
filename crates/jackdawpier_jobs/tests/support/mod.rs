//! Jobs and workers of the tests.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of it")]

use jackdawpier_jobs::{
    job::{Job, JobState},
    workers::WorkerInfo,
};
use jackdawpier_kernel::{ids::JobId, task::TaskResources};

pub const SIZE: TaskResources =
    TaskResources { cores_milli: 1_000, memory_mb: 1_000, accelerators: 0 };
const CAPACITY: TaskResources =
    TaskResources { cores_milli: 8_000, memory_mb: 8_000, accelerators: 0 };

/// A worker with room for eight jobs.
pub fn worker(id: &str, rack: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        zone: "zone".into(),
        rack: rack.into(),
        capacity: CAPACITY,
        is_leaving: false,
    }
}

/// A job as it is handed in.
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

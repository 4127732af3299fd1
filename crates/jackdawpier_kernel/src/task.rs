//! The workers' published protocol: tasks under leases, over HTTP with JSON.

use serde::{Deserialize, Serialize};

use crate::ids::{ClassName, CustomerName, JobId};

/// Path of the tasks at a worker.
pub const TASKS_PATH: &str = "/v1/tasks";

/// Resources that a task declares or uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskResources {
    /// Processor cores, in thousandths.
    pub cores_milli: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// A request to start a task: `POST /v1/tasks`. The attempt makes it idempotent: a worker that
/// knows a later attempt of the job refuses this one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartTask {
    /// The job.
    pub job: JobId,
    /// Number of the attempt, from one.
    pub attempt: u32,
    /// Class of the job.
    pub class: ClassName,
    /// Customer of the job.
    pub customer: CustomerName,
    /// Declared size.
    pub size: TaskResources,
    /// Time without renewal after which the worker stops the task by itself.
    pub lease_ms: u64,
    /// What to do.
    pub payload: String,
}

/// How a task stands: `GET /v1/tasks`, or the answer to a start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// How it stands.
    pub state: TaskState,
    /// Usage as last measured, which lags.
    pub usage: TaskResources,
    /// Time that it has run, in milliseconds.
    pub ran_ms: u64,
}

/// States of a task at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It finished well.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by a request or by the end of its lease.
    Stopped,
}

/// A request about a running task: `POST /v1/tasks/renew` and the like.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskCommand {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// What to do.
    pub action: TaskAction,
}

/// What can be asked of a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskAction {
    /// Extend its lease.
    Renew,
    /// Write a checkpoint.
    Checkpoint,
    /// Use less of the processor.
    Throttle,
    /// Stop for good.
    Stop,
}

//! Types of the workers' published protocol: tasks with leases, over HTTP with JSON.

use serde::{Deserialize, Serialize};

use crate::ids::{ClassName, CustomerName, JobId};

/// Path of the tasks in a worker's API.
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
    /// Lease in milliseconds; without a renewal for this long, the worker stops the task.
    pub lease_ms: u64,
    /// Payload of the job, passed to the task.
    pub payload: String,
}

/// Status of a task: `GET /v1/tasks`, or the answer to a start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// State of the task.
    pub state: TaskState,
    /// Last measured usage, which lags behind.
    pub usage: TaskResources,
    /// Run time in milliseconds.
    pub ran_ms: u64,
}

/// State of a task at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It is running.
    Running,
    /// It finished successfully.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by a request or by the end of its lease.
    Stopped,
}

/// Command for a running task: `POST /v1/tasks/command`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskCommand {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Action to carry out.
    pub action: TaskAction,
}

/// Action of a [`TaskCommand`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskAction {
    /// Extend its lease.
    Renew,
    /// Write a checkpoint.
    Checkpoint,
    /// Use less CPU.
    Throttle,
    /// Stop the task for good.
    Stop,
}

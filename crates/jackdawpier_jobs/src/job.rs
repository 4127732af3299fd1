//! Stored form of a job. Each record holds the complete state, so the last one written suffices.

use jackdawpier_kernel::{
    ids::{ClassName, CustomerName, JobId, WorkerId},
    task::TaskResources,
};
use serde::{Deserialize, Serialize};

/// Durable job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Unique id.
    pub id: JobId,
    /// Class that the job belongs to.
    pub class: ClassName,
    /// Customer that submitted the job.
    pub customer: CustomerName,
    /// Whether the job can safely run more than once.
    pub is_idempotent: bool,
    /// Declared size, which can differ widely from the real usage.
    pub declared: TaskResources,
    /// Payload passed to the worker.
    pub payload: String,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Current state.
    pub state: JobState,
}

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum JobState {
    /// Waiting for a worker.
    Queued,
    /// Assigned to a worker, on which attempt number `attempts` may have been started.
    Claimed {
        /// Assigned worker.
        worker: WorkerId,
    },
    /// Finished successfully.
    Done,
    /// Waiting for an operator's decision.
    Parked {
        /// Why the job was parked.
        reason: ParkReason,
    },
    /// Cancelled by its caller, or discarded by an operator, before it finished.
    Cancelled,
}

/// Why a job was parked for an operator.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParkReason {
    /// The job is not idempotent and may have finished.
    #[display("its outcome is unknown and it is not idempotent")]
    OutcomeUnknown,
    /// The job is not idempotent and failed.
    #[display("it failed and is not idempotent")]
    Failed,
    /// The job failed on several healthy workers in different racks, or they stopped responding
    /// while they ran it.
    #[display("it failed on several healthy workers, or lost them")]
    NeverRuns,
    /// The job doesn't fit on any worker.
    #[display("no worker is large enough")]
    TooLarge,
}

impl JobState {
    /// Whether the job stays in this state until an operator or its retention changes that.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Done | Self::Parked { .. } | Self::Cancelled)
    }
}

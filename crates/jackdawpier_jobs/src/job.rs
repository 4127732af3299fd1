//! A job as stored: its whole state in one value, so that the last one written is enough.

use jackdawpier_kernel::{
    ids::{ClassName, CustomerName, JobId, WorkerId},
    task::TaskResources,
};
use serde::{Deserialize, Serialize};

/// One durable job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identity.
    pub id: JobId,
    /// Class.
    pub class: ClassName,
    /// Customer.
    pub customer: CustomerName,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
    /// Declared size, which may be far off.
    pub declared: TaskResources,
    /// What to do, passed on to the worker.
    pub payload: String,
    /// Attempts so far.
    pub attempts: u32,
    /// How it stands.
    pub state: JobState,
}

/// States of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum JobState {
    /// It waits for a worker.
    Queued,
    /// The attempt counted in the job may have been started at this worker.
    Claimed {
        /// The worker.
        worker: WorkerId,
    },
    /// It ran to its end.
    Done,
    /// It needs an operator.
    Parked {
        /// Why.
        reason: ParkReason,
    },
    /// Its caller gave it up before it ran to its end.
    Cancelled,
}

/// Why a job needs an operator.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParkReason {
    /// It is not idempotent and may have run to its end.
    #[display("its outcome is unknown and it is not idempotent")]
    OutcomeUnknown,
    /// It is not idempotent and failed.
    #[display("it failed and is not idempotent")]
    Failed,
    /// It failed on several healthy workers in different racks, or these fell silent under it.
    #[display("it failed on several healthy workers, or lost them")]
    NeverRuns,
    /// No worker is large enough.
    #[display("no worker is large enough")]
    TooLarge,
}

impl JobState {
    /// Whether nothing more will happen by itself.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Done | Self::Parked { .. } | Self::Cancelled)
    }
}

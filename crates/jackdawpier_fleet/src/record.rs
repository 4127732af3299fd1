//! The durable progress of a job: what a later owner of the fleet has to know.
//!
//! A placement is written before the first order leaves, so that whatever may be running anywhere
//! is named in the store; an end is written before its executor may forget it.

use jackdawpier_kernel::ids::{AccountName, ExecutorId};
use serde::{Deserialize, Serialize};

use crate::{
    crash::Crash,
    executor::IncarnationId,
    spec::{Resources, RunNumber},
};

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// Where a task stands durably.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// Nothing of it runs anywhere.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// A run may have been ordered at this executor.
    #[serde(rename = "p")]
    Placed(ExecutorId),
    /// It has ended well.
    #[serde(rename = "d")]
    Done,
}

/// The durable state of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Where it stands.
    #[serde(rename = "s")]
    pub status: TaskStatus,
    /// The life of the executor that it was placed on, if that is known.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub placed_incarnation: Option<IncarnationId>,
    /// Number of its last start; 0 before the first.
    #[serde(rename = "r", default)]
    pub run: RunNumber,
    /// Runs that ended in failure. Their numbers are kept, since an executor reports an end again to
    /// a later owner until it is acknowledged.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<RunNumber>,
    /// Runs during which their executors crashed.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Runs since the first of these crashes that certainly never began.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub refused_runs: Vec<RunNumber>,
    /// Executors crash under it, and its job lasts and goes on: a task that lasts itself is tried again after a
    /// pause, another isn't started again.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_given_up: bool,
    /// Checkpoint to go on from; empty if there is none.
    #[serde(rename = "c", default, skip_serializing_if = "str::is_empty")]
    pub checkpoint: Box<str>,
}

/// What a job that is over may have left running: its tasks were told to stop and hadn't said yet that
/// they did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftoverUsage {
    /// The room of those tasks.
    pub amount: Resources,
    /// Time of day of the job's end, in milliseconds since 1970.
    pub ended_ms: u64,
}

/// The durable state of one job, in the order of occurrences, steps and tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Set once the job is over.
    pub outcome: Option<JobOutcome>,
    /// The client account that it belongs to; none where no key was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// What may still have been running of it when it was over, for the account's cap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remains: Option<LeftoverUsage>,
    /// Some task has been ordered at least once.
    pub has_begun: bool,
    /// Some task was ordered more than once.
    #[serde(default)]
    pub has_rerun: bool,
    /// All tasks; empty once the job is over.
    pub tasks: Vec<TaskRecord>,
}

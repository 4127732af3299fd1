//! The durable state of a job, from which the next owner of the fleet recovers.
//!
//! A placement is written before its first order is sent, so that the store names everything that may be
//! running; the end of a run is written before it is acknowledged to the executor.

use jackdawpier_kernel::ids::{AccountName, ExecutorId};
use serde::{Deserialize, Serialize};

use crate::{
    crash::Crash,
    executor::IncarnationId,
    spec::{Resources, RunNumber, TaskKey},
};

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All tasks completed.
    Completed,
    /// A task reached the attempt limit of its queue.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// Marks the record of a job that was cancelled before the store held it. While it exists, the store refuses writes of
/// the job that are still in flight. See `docs/design/cancellation.md`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// The client accounts that have cancelled the job; `None` for callers without a key.
    pub accounts: Vec<Option<AccountName>>,
    /// Whether the account of the record has submitted the job since, so that it is shown as cancelled. Otherwise
    /// nobody may ever have submitted it, and it isn't shown.
    #[serde(default)]
    pub is_submitted: bool,
}

impl Tombstone {
    /// Whether an account has cancelled the job.
    pub fn is_cancelled_by(&self, account: Option<&AccountName>) -> bool {
        self.accounts.iter().any(|one| one.as_ref() == account)
    }
}

/// Durable status of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// The task isn't placed and doesn't run.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// A start may have been ordered on this executor.
    #[serde(rename = "p")]
    Placed(ExecutorId),
    /// The task completed successfully.
    #[serde(rename = "d")]
    Done,
}

/// Durable state of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Status of the task.
    #[serde(rename = "s")]
    pub status: TaskStatus,
    /// Incarnation of the executor that the task was placed on, if known.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub placed_incarnation: Option<IncarnationId>,
    /// Number of the last start; 0 before the first.
    #[serde(rename = "r", default)]
    pub run: RunNumber,
    /// Runs that ended in failure. The numbers deduplicate reports: an executor repeats the end of a run,
    /// also to the next owner, until it is acknowledged.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<RunNumber>,
    /// Runs during which the executor crashed.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Runs after the first of these crashes that certainly never started.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub refused_runs: Vec<RunNumber>,
    /// The task is suspected of crashing executors while its long-running job continues: a long-running task
    /// is retried after a back-off, any other isn't started again.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_given_up: bool,
    /// Checkpoint to resume from; empty if there is none.
    #[serde(rename = "c", default, skip_serializing_if = "str::is_empty")]
    pub checkpoint: Box<str>,
}

/// Resources that may still be in use by a finished job: those of tasks that were ordered to stop and
/// whose end hadn't been reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftoverUsage {
    /// Resources of those tasks.
    pub amount: Resources,
    /// Time of day of the job's end, in milliseconds since 1970.
    pub ended_ms: u64,
}

/// The last start of a task of an ended job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastStart {
    /// Number of the occurrence.
    #[serde(rename = "o")]
    pub occurrence: u32,
    /// Number of the step.
    #[serde(rename = "s")]
    pub step: u32,
    /// Number of the task in its step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
}

impl LastStart {
    fn is_of(&self, task: &TaskKey) -> bool {
        (self.occurrence, self.step, self.index) == (task.occurrence, task.step, task.index)
    }
}

/// What the record of an ended job says of tasks that were started more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reruns {
    /// Their last starts.
    Known(Vec<LastStart>),
    /// Some task was started more than once, and an earlier version didn't record which.
    Unknown,
}

impl Reruns {
    /// Whether a task may have been started again after this run.
    pub fn may_be_superseded(&self, task: &TaskKey, run: RunNumber) -> bool {
        match self {
            Self::Known(last_starts) => {
                last_starts.iter().any(|last| last.is_of(task) && last.run > run)
            }
            Self::Unknown => true,
        }
    }
}

/// Highest run number in a record from which a job is recovered. Real jobs have far fewer runs, and the numbers of the
/// next ones must be representable.
const MAX_RECORDED_RUN: RunNumber = RunNumber::MAX / 2;

impl JobRecord {
    /// Whether the record can be one that an owner has written. Another writer's might crash each owner in turn.
    pub fn is_plausible(&self) -> bool {
        self.tasks.iter().all(|task| task.run <= MAX_RECORDED_RUN)
    }

    /// Returns what is known of tasks that were started more than once, if the job is over.
    pub fn reruns(&self) -> Reruns {
        match &self.last_starts {
            Some(last_starts) => Reruns::Known(last_starts.clone()),
            None if self.has_rerun => Reruns::Unknown,
            None => Reruns::Known(Vec::new()),
        }
    }
}

/// Durable state of one job; tasks are ordered by occurrence, step and index. Tasks after the last recorded one were
/// never placed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Outcome of the job, once it is over.
    pub outcome: Option<JobOutcome>,
    /// Client account that submitted the job; `None` where no API key was required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// Set if the job was cancelled before the store held it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tombstone: Option<Tombstone>,
    /// Resources that may still have been in use when the job was over; they count towards the account's cap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remains: Option<LeftoverUsage>,
    /// Whether any task has been ordered to start.
    pub has_begun: bool,
    /// Whether any task has been ordered to start more than once.
    #[serde(default)]
    pub has_rerun: bool,
    /// The last starts of tasks that were started more than once and of which completions count, once the job is
    /// over; `None` in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_starts: Option<Vec<LastStart>>,
    /// The tasks up to the last one that was ever placed; empty once the job is over.
    pub tasks: Vec<TaskRecord>,
}

//! Faults of the stand-in processes, set at run time by `POST /admin/faults`.

use serde::{Deserialize, Serialize};

/// Faults of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Rejects every call.
    pub is_down: bool,
    /// Delay of every answer, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes that take effect but whose answer is lost, in permille.
    pub lose_answers_permille: u32,
    /// Answers reads from the state at the time when this fault was set.
    pub is_stale: bool,
    /// Maximum number of calls per second; 0 means no limit.
    pub calls_per_s: u32,
}

/// Faults of an executor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExecutorFaults {
    /// Extra time that every request takes, in milliseconds.
    pub slow_ms: u64,
    /// Accepts requests and never answers.
    pub is_frozen: bool,
    /// Truncates every answer.
    pub is_truncating: bool,
    /// Answers with the ID of another request.
    pub is_mixing_up: bool,
    /// Answers every request with status 500.
    pub is_failing: bool,
    /// Rejects new work and reports that the executor is leaving.
    pub is_leaving: bool,
}

/// Faults of a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Fails every task.
    pub is_failing: bool,
    /// Starts tasks but loses the answer.
    pub is_losing_answers: bool,
}

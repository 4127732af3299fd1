//! Faults of the stand-in processes, switched on at run time by `POST /admin/faults`.

use serde::{Deserialize, Serialize};

/// Faults of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Refuses every call.
    pub is_down: bool,
    /// Delays every answer.
    pub slow_ms: u64,
    /// Share of writes whose answer is lost after they took effect.
    pub lose_answers_permille: u32,
    /// Answers readings from the state at the time of the switch.
    pub is_stale: bool,
    /// Calls a second that are taken; zero is without limit.
    pub calls_per_s: u32,
}

/// Faults of an executor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExecutorFaults {
    /// Adds to the time of every request.
    pub slow_ms: u64,
    /// Takes requests and never answers.
    pub is_frozen: bool,
    /// Breaks every answer off half way.
    pub is_truncating: bool,
    /// Answers with another request's id.
    pub is_mixing_up: bool,
    /// Answers status 500 to every request.
    pub is_failing: bool,
    /// Refuses new work and says that it is leaving.
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

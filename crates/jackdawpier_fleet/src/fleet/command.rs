//! What the owner wants done.

use std::sync::Arc;

use jackdawpier_kernel::ids::ExecutorId;

use crate::{
    machines::{MachineOrder, WaveState},
    record::JobOutcome,
    spec::{RunNumber, TaskKey},
};

/// What the owner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Start a task; report by [`super::Fleet::start_ended`].
    Start {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: RunNumber,
        /// What the job's caller gave for its tasks.
        payload: Arc<str>,
        /// Checkpoint to go on from; empty if there is none.
        checkpoint: Box<str>,
        /// Permission of the placement advisor, where the queue needs one.
        ticket: Option<Arc<str>>,
    },
    /// Stop a task; report by [`super::Fleet::stop_ended`].
    Stop {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: RunNumber,
        /// Why, for the log.
        reason: StopReason,
    },
    /// Let a task work at this share of its speed.
    Pace {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: RunNumber,
        /// The share in percent.
        percent: u32,
    },
    /// Ask which of these executors may run a step; report by [`super::Fleet::advised`].
    Advise {
        /// A task of the step.
        task: TaskKey,
        /// The executors.
        executors: Vec<ExecutorId>,
    },
    /// An order about a machine; report by [`super::Fleet::machine_order_ended`].
    Machine(MachineOrder),
    /// The state of a wave of maintenance, for the operators.
    Wave(WaveState),
}

/// Why a run is stopped. What ends work of callers has to be found in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job is over, by this outcome.
    JobOver(JobOutcome),
    /// Another member of its gang doesn't run.
    GangBroken,
    /// It runs elsewhere from now on, so that its machine can be taken.
    MachineTaken,
    /// It runs elsewhere from now on, so that other work finds room.
    MakesRoom,
    /// The order to start it went without a sure answer.
    StartUnsure,
    /// Its executor had confirmed it and doesn't list it.
    Unlisted,
    /// Its executor has started again while the order to start it was on its way.
    ExecutorRestarted,
    /// It is of a job that is over or unknown, or was followed by a later run.
    Superseded,
    /// The order to stop it went without an answer before.
    Repeated,
}

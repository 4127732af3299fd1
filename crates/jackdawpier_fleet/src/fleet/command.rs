//! Commands from the fleet state to the owner process.

use std::{sync::Arc, time::Duration};

use jackdawpier_kernel::ids::ExecutorId;

use crate::{
    machines::{MachineOrder, WaveState},
    record::JobOutcome,
    spec::{RunNumber, TaskKey},
};

/// A command that the owner process carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Starts a task; its outcome goes to [`super::Fleet::start_ended`].
    Start {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// The run number.
        run: RunNumber,
        /// The payload that the job's caller submitted for its tasks.
        payload: Arc<str>,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: Box<str>,
        /// Ticket of the placement advisor, if the queue needs one.
        ticket: Option<Arc<str>>,
    },
    /// Stops a task; its outcome goes to [`super::Fleet::stop_ended`].
    Stop {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// The run number.
        run: RunNumber,
        /// The reason, for the log.
        reason: StopReason,
    },
    /// Throttles a task to a share of its speed.
    Pace {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// The run number.
        run: RunNumber,
        /// The share in percent.
        percent: u32,
    },
    /// Asks the placement advisor which executors may run a step; its answer goes to
    /// [`super::Fleet::advice_received`], and a failure to [`super::Fleet::advice_failed`].
    Advise {
        /// A task of the step.
        task: TaskKey,
        /// The executors.
        executors: Vec<ExecutorId>,
        /// Time after which the answer is given up.
        timeout: Duration,
    },
    /// Sends a machine order; its outcome goes to [`super::Fleet::machine_order_ended`].
    Machine(MachineOrder),
    /// Publishes the state of a maintenance wave for the operators.
    Wave(WaveState),
}

/// Why a run is stopped. Logged, so that every stop of a caller's work can be traced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended with this outcome.
    JobOver(JobOutcome),
    /// Another member of its gang isn't running.
    GangBroken,
    /// It is relocated so that its machine can be taken.
    MachineTaken,
    /// It is relocated so that another task has room.
    MakesRoom,
    /// It is relocated so that the lease of its frozen executor can expire.
    ExecutorFrozen,
    /// The outcome of its start order is unknown.
    StartUnsure,
    /// Its executor had confirmed it and no longer reports it.
    Unlisted,
    /// Its executor restarted while the start order was in flight.
    ExecutorRestarted,
    /// Its job has ended or is unknown, or a later run has replaced it.
    Superseded,
    /// A previous stop order wasn't answered.
    Repeated,
}

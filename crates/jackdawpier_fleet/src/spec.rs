//! Job specifications as submitted by callers, and the settings of queues and services.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use jackdawpier_kernel::ids::{AccountName, JobId, ServiceName};
use serde::{Deserialize, Serialize};

/// Name of a queue, from the configuration.
pub type QueueName = Arc<str>;
/// Capability of an executor that a task may require.
pub type Label = Arc<str>;
/// Number of a run of a task, increasing with each start.
pub type RunNumber = u32;

/// Maximum number of tasks of a job over all steps and occurrences. The job's record has to fit into one value
/// of the store: a megabyte, at up to 128 bytes per task.
pub const MAX_TASKS_PER_JOB: u64 = 8_192;

/// Maximum run time estimate of a task, one year, so that the longest possible chain of tasks multiplied by
/// any slack factor doesn't overflow. Each owner in turn recovers every accepted job, so one that overflows
/// would crash them all.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(366 * 24 * 3600);

/// Maximum amount of one resource that a task may request, a million cores or a petabyte: far more than any
/// machine has, and small enough that the sum over all waiting tasks doesn't overflow.
pub const MAX_RESOURCE_AMOUNT: u64 = 1_000_000_000;

/// Maximum work that a job counts with in the arrival rate, in core-milliseconds: it already demands all
/// machines, and the sum over a thousand such jobs a second doesn't overflow.
pub const MAX_CORE_MS: u64 = 100_000_000_000;

/// Amounts of the resources of an executor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Unlimited resources.
    pub const MAX: Self = Self { cpu_millicores: u64::MAX, memory_mb: u64::MAX, gpus: u64::MAX };

    /// Returns whether this amount fits into `room`.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu_millicores <= room.cpu_millicores
            && self.memory_mb <= room.memory_mb
            && self.gpus <= room.gpus
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.cpu_millicores += other.cpu_millicores;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }

    /// Returns this amount multiplied by the number of tasks.
    #[must_use]
    pub fn times(&self, tasks: u64) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(tasks),
            memory_mb: self.memory_mb.saturating_mul(tasks),
            gpus: self.gpus.saturating_mul(tasks),
        }
    }

    /// Subtracts `other`, down to zero.
    pub fn subtract(&mut self, other: &Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_sub(other.cpu_millicores);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }

    /// Raises each amount to at least that of `other`.
    pub fn raise_to(&mut self, other: &Self) {
        self.cpu_millicores = self.cpu_millicores.max(other.cpu_millicores);
        self.memory_mb = self.memory_mb.max(other.memory_mb);
        self.gpus = self.gpus.max(other.gpus);
    }

    /// Returns how many times `need` fits into this room; `usize::MAX` if `need` is zero.
    pub fn fit_count(&self, need: &Self) -> usize {
        let pairs = [
            (self.cpu_millicores, need.cpu_millicores),
            (self.memory_mb, need.memory_mb),
            (self.gpus, need.gpus),
        ];
        let times = pairs.iter().filter_map(|(room, need)| room.checked_div(*need));
        times.min().map_or(usize::MAX, |times| times as usize)
    }

    /// Returns the remainder of this room after subtracting `used`.
    #[must_use]
    pub fn minus(&self, used: &Self) -> Self {
        let mut left = *self;
        left.subtract(used);
        left
    }
}

/// One step of a job: `count` identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requests.
    pub need: Resources,
    /// The caller's estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps that must complete before this one starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Whether tasks write checkpoints from which a later run resumes.
    #[serde(default)]
    pub saves_progress: bool,
    /// Whether the tasks form a gang: they start and end together.
    #[serde(default)]
    pub is_gang: bool,
    /// Whether tasks are slower when they run on more than one rack.
    #[serde(default)]
    pub same_rack: bool,
    /// Label that the executor must have.
    #[serde(default)]
    pub required_label: Option<Label>,
    /// Rack where the data is stored; the task is slower elsewhere.
    #[serde(default)]
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step, per occurrence, on one executor; 0 for no limit.
    #[serde(default)]
    pub max_per_executor: u32,
    /// Whether copies of a task may run at the same time.
    #[serde(default)]
    pub is_speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(default)]
    pub is_long_running: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    #[serde(default)]
    pub image: Option<Arc<str>>,
    /// Maximum tail latency of a long-running task that serves users.
    #[serde(default)]
    pub tail_target: Option<Duration>,
    /// Whether tasks only use CPU that other tasks leave idle; their CPU need isn't allocated.
    #[serde(default)]
    pub is_filler: bool,
    /// Number of tasks that may be down at the same time for planned work; 0 for no such budget.
    #[serde(default)]
    pub may_miss: u32,
}

impl StepSpec {
    /// Returns the resources that a task allocates on an executor.
    pub fn allocated(&self) -> Resources {
        let cpu_millicores = if self.is_filler { 0 } else { self.need.cpu_millicores };
        Resources { cpu_millicores, ..self.need }
    }

    /// Whether a task must not be started again once a completion of it is acknowledged.
    pub fn counts_completions(&self) -> bool {
        !self.is_speculative && !self.is_long_running
    }
}

/// Schedule of a repeated job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_ms: u64,
    /// Interval between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub repeats: u32,
}

impl Schedule {
    /// Returns the due time of the last occurrence, in milliseconds since 1970; `None` on overflow.
    fn last_ms(&self) -> Option<u64> {
        self.interval_ms.checked_mul(u64::from(self.repeats))?.checked_add(self.first_ms)
    }
}

/// Specification of a job as submitted by its caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that is passed to each task.
    pub payload: Arc<str>,
    /// Steps in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Schedule of a repeated job.
    #[serde(default)]
    pub schedule: Option<Schedule>,
}

/// Reason for the rejection of a job; nothing has been stored.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum SpecError {
    /// The job has no steps.
    #[display("a job needs at least one step")]
    NoSteps,
    /// A step has no tasks.
    #[display("step {step} has no tasks")]
    EmptyStep {
        /// Number of the step.
        step: usize,
    },
    /// A step depends on itself, on a later step or on a step that doesn't exist.
    #[display("step {step} waits for step {after}, which isn't an earlier one")]
    InvalidDependency {
        /// Number of the step.
        step: usize,
        /// Number of the step it depends on.
        after: usize,
    },
    /// The run time estimate exceeds [`MAX_ESTIMATE`].
    #[display("step {step} is estimated at longer than a year")]
    EstimateTooLong {
        /// Number of the step.
        step: usize,
    },
    /// A task requests more than [`MAX_RESOURCE_AMOUNT`] of one resource.
    #[display("step {step} asks for more than {MAX_RESOURCE_AMOUNT} of one resource")]
    NeedTooLarge {
        /// Number of the step.
        step: usize,
    },
    /// The due time of the last occurrence overflows.
    #[display("the last time of the schedule is too far away")]
    ScheduleTooLong,
    /// The job has more than [`MAX_TASKS_PER_JOB`] tasks.
    #[display("{tasks} tasks are more than {MAX_TASKS_PER_JOB}")]
    TooManyTasks {
        /// Number of tasks over all occurrences.
        tasks: u64,
    },
}

impl JobSpec {
    /// Returns the number of occurrences; a job without a schedule has one.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repeats.max(1))
    }

    /// Rejects specifications that can never be executed.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SpecError::EmptyStep { step: number });
            }
            if let Some(&after) = step.after.iter().find(|after| **after >= number) {
                return Err(SpecError::InvalidDependency { step: number, after });
            }
            if step.estimate > MAX_ESTIMATE {
                return Err(SpecError::EstimateTooLong { step: number });
            }
            let need = &step.need;
            if need.cpu_millicores.max(need.memory_mb).max(need.gpus) > MAX_RESOURCE_AMOUNT {
                return Err(SpecError::NeedTooLarge { step: number });
            }
        }
        if self.schedule.is_some_and(|schedule| schedule.last_ms().is_none()) {
            return Err(SpecError::ScheduleTooLong);
        }
        let per_occurrence: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let tasks = per_occurrence.saturating_mul(u64::from(self.occurrences()));
        if tasks > MAX_TASKS_PER_JOB {
            return Err(SpecError::TooManyTasks { tasks });
        }
        Ok(())
    }

    /// Returns the estimated work of one occurrence, in core-milliseconds; at most [`MAX_CORE_MS`].
    pub fn core_ms(&self) -> u64 {
        let of_step = |step: &StepSpec| {
            let millicore_ms =
                u128::from(step.allocated().cpu_millicores) * step.estimate.as_millis();
            millicore_ms / 1000 * u128::from(step.count)
        };
        let core_ms = self.steps.iter().map(of_step).sum::<u128>();
        core_ms.min(u128::from(MAX_CORE_MS)) as u64
    }

    /// Returns, for each step, the estimated time of the longest chain of dependent steps from it to the end.
    pub fn remaining_chains(&self) -> Vec<Duration> {
        let mut chains: Vec<Duration> = self.steps.iter().map(|step| step.estimate).collect();
        for number in (0..self.steps.len()).rev() {
            for &after in &self.steps[number].after {
                let through = self.steps[after].estimate + chains[number];
                chains[after] = chains[after].max(through);
            }
        }
        chains
    }
}

/// A job as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Queue that the job was submitted to.
    pub queue: QueueName,
    /// Settings of the queue at that time. An owner that starts later may not have them: the queue may be
    /// removed while its jobs wait.
    #[serde(default)]
    pub settings: Option<Queue>,
    /// Client account that submitted the job; `None` where no API key is required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Specification of the job.
    pub spec: JobSpec,
}

/// Identity of a task over all its runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Number of the task in its step.
    pub index: u32,
}

impl std::fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Settings of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: QueueName,
    /// Service whose executors run the queue's tasks.
    pub service: ServiceName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails; 0 for no limit.
    pub max_attempts: u32,
    /// Part of the objective: multiple of the estimated time of the job's longest chain of steps.
    pub slack_factor: f64,
    /// Part of the objective: fixed time that is added.
    pub target: Duration,
    /// Whether starts need a ticket of the placement advisor.
    pub needs_advice: bool,
    /// Time that the placement advisor takes. Zero in the records of earlier versions.
    #[serde(default, skip_serializing_if = "AdviceCost::is_unknown")]
    pub advice_cost: AdviceCost,
}

/// Time that the placement advisor takes for a request; zero if unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// Fixed time of a request.
    pub per_request: Duration,
    /// Additional time for each executor that the request names.
    pub per_executor: Duration,
}

impl AdviceCost {
    fn is_unknown(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the time that a request about this many executors takes.
    pub fn of_request(self, executors: usize) -> Duration {
        self.per_request + self.per_executor * executors as u32
    }
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether its machines are on standby: switched off and free of cost.
    pub is_standby: bool,
}

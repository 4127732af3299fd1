//! What callers ask for: jobs of steps of equal tasks, and the settings of the queues they enter.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use jackdawpier_kernel::ids::{AccountName, JobId, ServiceName};
use serde::{Deserialize, Serialize};

/// Name of a queue, from the configuration.
pub type QueueName = Arc<str>;
/// Something that an executor can do or has, which a task may need.
pub type Label = Arc<str>;
/// Number of a start of a task; a later start has a higher one.
pub type RunNumber = u32;

/// Most tasks that one job may have over all its steps and occurrences: a record of that many tasks still fits into
/// one value of the store, a megabyte at up to 128 bytes a task.
pub const MAX_TASKS_PER_JOB: u64 = 8_192;

/// Longest time that a task may be said to take, a year: a chain of as many as a job may have can be added up
/// and multiplied by any slack. Each owner in turn reads a job that was taken in, so one that can't be
/// planned with would end them all.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(366 * 24 * 3600);

/// Most that a task may ask for of one resource, a million cores or a petabyte: far more than any machine
/// has, and little enough to be added up over all tasks that wait.
pub const MAX_RESOURCE_AMOUNT: u64 = 1_000_000_000;

/// Most work that a job counts as in the rate at which work arrives: it asks for all machines there are,
/// and a thousand such jobs a second can still be added up.
pub const MAX_CORE_MS: u64 = 100_000_000_000;

/// An amount of an executor's room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// More than anything asks for.
    pub const MAX: Self = Self { cpu_millicores: u64::MAX, memory_mb: u64::MAX, gpus: u64::MAX };

    /// Whether this much fits into `room`.
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

    /// This much for each of some tasks.
    #[must_use]
    pub fn times(&self, tasks: u64) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(tasks),
            memory_mb: self.memory_mb.saturating_mul(tasks),
            gpus: self.gpus.saturating_mul(tasks),
        }
    }

    /// Takes `other` away.
    pub fn subtract(&mut self, other: &Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_sub(other.cpu_millicores);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }

    /// Raises each amount to that of `other` where that is larger.
    pub fn raise_to(&mut self, other: &Self) {
        self.cpu_millicores = self.cpu_millicores.max(other.cpu_millicores);
        self.memory_mb = self.memory_mb.max(other.memory_mb);
        self.gpus = self.gpus.max(other.gpus);
    }

    /// How often `need` fits into this room; nothing at all fits no end of times.
    pub fn fit_count(&self, need: &Self) -> usize {
        let pairs = [
            (self.cpu_millicores, need.cpu_millicores),
            (self.memory_mb, need.memory_mb),
            (self.gpus, need.gpus),
        ];
        let times = pairs.iter().filter_map(|(room, need)| room.checked_div(*need));
        times.min().map_or(usize::MAX, |times| times as usize)
    }

    /// What is left of this room once `used` is taken.
    #[must_use]
    pub fn minus(&self, used: &Self) -> Self {
        let mut left = *self;
        left.subtract(used);
        left
    }
}

/// One step of a job: `count` tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task asks for.
    pub need: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps, all of whose tasks have to be done first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Tasks leave checkpoints from which a later run goes on.
    #[serde(default)]
    pub saves_progress: bool,
    /// Tasks work only together and end together.
    #[serde(default)]
    pub is_gang: bool,
    /// Tasks are slower when they run on more than one rack.
    #[serde(default)]
    pub same_rack: bool,
    /// A label that the executor must have.
    #[serde(default)]
    pub required_label: Option<Label>,
    /// The rack where the data lies; elsewhere the task is slower.
    #[serde(default)]
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step (of one occurrence) on one executor; 0 means no bound.
    #[serde(default)]
    pub max_per_executor: u32,
    /// Copies of a task may run at the same time.
    #[serde(default)]
    pub is_speculative: bool,
    /// Tasks run until the job is cancelled.
    #[serde(default)]
    pub is_long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(default)]
    pub image: Option<Arc<str>>,
    /// Bound on the tail of the response times of a long-running task that serves users.
    #[serde(default)]
    pub tail_target: Option<Duration>,
    /// The processor need isn't counted: the tasks use what the others leave.
    #[serde(default)]
    pub is_filler: bool,
    /// Tasks that may be away at the same time because of planned work; 0 means no such budget.
    #[serde(default)]
    pub may_miss: u32,
}

impl StepSpec {
    /// The room that a task takes on an executor.
    pub fn allocated(&self) -> Resources {
        let cpu_millicores = if self.is_filler { 0 } else { self.need.cpu_millicores };
        Resources { cpu_millicores, ..self.need }
    }
}

/// When the steps of a repeated job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_ms: u64,
    /// Milliseconds between occurrences.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub repeats: u32,
}

impl Schedule {
    /// Due time of the last occurrence, in milliseconds since 1970; none if no clock shows it.
    fn last_ms(&self) -> Option<u64> {
        self.interval_ms.checked_mul(u64::from(self.repeats))?.checked_add(self.first_ms)
    }
}

/// A job as its caller handed it in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that is handed to each task.
    pub payload: Arc<str>,
    /// The steps in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Set for a job that runs at given times.
    #[serde(default)]
    pub schedule: Option<Schedule>,
}

/// Why a job can't be taken in. Nothing has been stored.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum SpecError {
    /// There is nothing to run.
    #[display("a job needs at least one step")]
    NoSteps,
    /// A step has no tasks.
    #[display("step {step} has no tasks")]
    EmptyStep {
        /// Number of the step.
        step: usize,
    },
    /// A step waits for itself, for a later step or for one that doesn't exist.
    #[display("step {step} waits for step {after}, which isn't an earlier one")]
    InvalidDependency {
        /// Number of the step.
        step: usize,
        /// The step it waits for.
        after: usize,
    },
    /// A task is said to take longer than any does.
    #[display("step {step} is estimated at longer than a year")]
    EstimateTooLong {
        /// Number of the step.
        step: usize,
    },
    /// A task asks for more than any machine has.
    #[display("step {step} asks for more than {MAX_RESOURCE_AMOUNT} of one resource")]
    NeedTooLarge {
        /// Number of the step.
        step: usize,
    },
    /// The last occurrence has a time that no clock shows.
    #[display("the last time of the schedule is too far away")]
    ScheduleTooLong,
    /// The job has more tasks than a record can hold.
    #[display("{tasks} tasks are more than {MAX_TASKS_PER_JOB}")]
    TooManyTasks {
        /// Number of tasks over all occurrences.
        tasks: u64,
    },
}

impl JobSpec {
    /// Number of occurrences; a job without a schedule has one.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repeats.max(1))
    }

    /// Refuses what could never be carried out.
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

    /// The estimated work of one occurrence, in core-milliseconds; at most [`MAX_CORE_MS`].
    pub fn core_ms(&self) -> u64 {
        let of_step = |step: &StepSpec| {
            let millicore_ms =
                u128::from(step.allocated().cpu_millicores) * step.estimate.as_millis();
            millicore_ms / 1000 * u128::from(step.count)
        };
        let core_ms = self.steps.iter().map(of_step).sum::<u128>();
        core_ms.min(u128::from(MAX_CORE_MS)) as u64
    }

    /// The estimated time of the longest chain of dependent steps from each step to the end.
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

/// A job as it lies in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue it entered.
    pub queue: QueueName,
    /// The queue's settings at that time, for an owner that never sees them: the queue may be removed
    /// while its jobs wait.
    #[serde(default)]
    pub settings: Option<Queue>,
    /// The client account that handed it in; none where no key is asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// Time of day of its acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// What to run.
    pub spec: JobSpec,
}

/// The identity of one task over all its runs.
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

/// The settings of a queue that decisions need.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: QueueName,
    /// The service whose executors run its tasks.
    pub service: ServiceName,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed; 0 means no bound.
    pub max_attempts: u32,
    /// Part of the objective: this many times the longest chain of work.
    pub slack_factor: f64,
    /// Part of the objective: this much more.
    pub target: Duration,
    /// Starts need a ticket of the placement advisor.
    pub needs_advice: bool,
}

/// The settings of a service that decisions need.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Its machines are switched off and cost nothing.
    pub is_standby: bool,
}

//! State of the process that owns the fleet: all jobs, executors and machines.
//!
//! Each new owner rebuilds the state from the store and from the reports of executors, so nothing
//! here has to survive the process. Start orders are sent only for placements that are durable.

mod active_tasks;
mod advice;
mod busy_machines;
mod command;
mod commits;
mod crash_attribution;
mod crash_backoff;
mod defragmentation;
mod defragmentation_plan;
mod executor_speeds;
mod executors;
mod fitting;
mod freezes;
mod gangs;
mod incarnations;
mod intake;
mod isolation;
mod label_need;
mod label_reclaim;
mod label_shares;
mod load_report;
mod losses;
mod maintenance;
mod pacing;
mod placement;
mod placement_round;
mod pool_demand;
mod pool_view;
mod pools;
mod probation;
mod queue_load;
mod recent_crashes;
mod reports;
mod reservations;
mod runs;
mod short_task_cores;
mod starts;
mod starved_budget;
mod stops;
mod vacating;
mod waits;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{AccountName, ExecutorId, JobId, PoolName, ServiceName},
};

pub use active_tasks::ActiveTasks;
pub use busy_machines::{BusyMachine, DemandForecast, Donor, choose_busy_machine};
pub use command::{Command, StopReason};
pub use commits::{Batch, ChangedJob, FinishedJob};
pub use crash_attribution::{GivenUpTask, TaskCrash};
pub use crash_backoff::CrashBackoff;
pub use executor_speeds::{Assessment, ObservedRun, SpeedTracker, select_slow};
pub use freezes::Freeze;
pub use load_report::{ArrivedJob, LoadController, QueueReport};
pub use losses::{ExecutorLoss, LossEvidence, LostRun};
pub use pools::Shortage;
pub use queue_load::{
    AccountBacklog, Backlog, JobLoad, QueueBacklog, ServiceCapacity, WaitingClass, WaitingJobs,
};
pub use reports::HoldDirective;
pub use starts::{StartOutcome, StartPermission};
pub use stops::{StopEvidence, StopOutcome};
pub use waits::{Obstacles, WaitingTask};

use crash_backoff::CrashBackoffs;
use defragmentation::Defragmentations;
use intake::{EndedJob, UnchargedJob};
use isolation::Isolations;
use recent_crashes::RecentCrashes;
use short_task_cores::ShortTaskCores;
use starved_budget::StarvedBudget;

use crate::{
    account::{Account, Accounts},
    advice::Advice,
    attempt_order::AttemptOrder,
    demand::Arrivals,
    executor::Executor,
    job::Job,
    job_room::JobRoom,
    machines::Machines,
    policy::Policy,
    record::JobOutcome,
    run_times::RunTimes,
    share_meter::ShareMeter,
    sorted_hash_map::SortedHashMap,
    spec::{Label, Queue, QueueName, Service},
};

/// Timing bounds and policy of the owner's decisions.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Lease granted to executors for their running tasks. A task is stopped once it hasn't been
    /// renewed for this long.
    pub lease: Duration,
    /// Longest lease that executors accept.
    pub longest_lease: Duration,
    /// How long after a take-over an executor that hasn't answered yet may still run tasks of a
    /// previous owner.
    pub takeover_uncertainty: Duration,
    /// Maximum time that an executor takes to stop a task.
    pub stop_timeout: Duration,
    /// Duration of a machine's maintenance.
    pub maintenance: Duration,
    /// Factor by which a task takes longer outside the rack of its data.
    pub remote_factor: f64,
    /// Time after a take-over by which all machine orders of a previous owner have arrived.
    pub order_lease: Duration,
    /// Maximum number of tasks that are placed, or were and aren't done.
    pub max_active_tasks: usize,
    /// Memory for open jobs, see [`crate::job_size::open_job_bytes`].
    pub open_job_bytes: usize,
    /// Mechanisms that are switched on.
    pub policy: Policy,
}

/// State of a job as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobView {
    /// No task of the job has started.
    Queued,
    /// At least one task has started.
    Running,
    /// The job has ended, and its end is durable.
    Over(JobOutcome),
}

/// State of the owner.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    started_at: Now,
    queues: BTreeMap<QueueName, Queue>,
    services: BTreeMap<ServiceName, Service>,
    accounts: Accounts,
    share_meter: ShareMeter,
    /// Jobs that are charged to their accounts once the capacity is known.
    uncharged_jobs: Vec<UnchargedJob>,
    load: LoadController,
    jobs: SortedHashMap<JobId, Job>,
    /// Jobs that haven't ended, by queue.
    open_jobs: BTreeMap<QueueName, BTreeSet<JobId>>,
    /// Repeated jobs with further occurrences.
    scheduled: BTreeSet<JobId>,
    executors: SortedHashMap<ExecutorId, Executor>,
    by_service: BTreeMap<ServiceName, Vec<ExecutorId>>,
    changed_jobs: VecDeque<JobId>,
    /// Sum of [`open_job_bytes`] over the open jobs.
    open_job_bytes: usize,
    /// Ended jobs with the time of their end, oldest first.
    ended_jobs: VecDeque<(JobId, Now)>,
    /// Ended jobs of which nothing runs any more, among them those that ended under a previous owner.
    reduced_jobs: BTreeMap<JobId, EndedJob>,
    advice: Advice,
    commands: Vec<Command>,
    finished: Vec<FinishedJob>,
    losses: Vec<ExecutorLoss>,
    task_crashes: Vec<TaskCrash>,
    given_up: Vec<GivenUpTask>,
    freezes: Vec<Freeze>,
    crash_backoffs: CrashBackoffs,
    recent_crashes: RecentCrashes,
    isolations: Isolations,
    defragmentations: Defragmentations,
    /// Executors with reported ends that have become durable since the last acknowledgement.
    acknowledgeable: Vec<ExecutorId>,
    machines: Machines,
    last_machine_planning_at: Now,
    last_expiry_at: Now,
    shortages: Vec<Shortage>,
    /// Since when pools lack machines with a label.
    label_shortages_since: BTreeMap<(PoolName, Label), Now>,
    arrivals: BTreeMap<ServiceName, Arrivals>,
    /// Labels that jobs have required since this owner took over.
    requested_labels: BTreeSet<Label>,
    short_task_cores: ShortTaskCores,
    starved_budgets: BTreeMap<ServiceName, StarvedBudget>,
    /// Turns of starved jobs that find no room.
    starved_turns: AttemptOrder<JobId>,
    run_times: RunTimes,
    last_speed_review_at: Now,
    next_batch: u64,
    executors_compared: u64,
    active_tasks: ActiveTasks,
    wave_machines_counted: u64,
    /// Wall clock at the last tick, in milliseconds since the Unix epoch.
    wall_ms: u64,
}

impl Fleet {
    /// Creates the state of an owner that has just taken over.
    pub fn new(settings: FleetSettings, now: Now) -> Self {
        Self {
            machines: Machines::new(now, now + settings.order_lease),
            settings,
            started_at: now,
            queues: BTreeMap::new(),
            services: BTreeMap::new(),
            accounts: Accounts::default(),
            share_meter: ShareMeter::default(),
            uncharged_jobs: Vec::new(),
            load: LoadController::default(),
            jobs: SortedHashMap::default(),
            open_jobs: BTreeMap::new(),
            scheduled: BTreeSet::new(),
            executors: SortedHashMap::default(),
            by_service: BTreeMap::new(),
            changed_jobs: VecDeque::new(),
            open_job_bytes: 0,
            ended_jobs: VecDeque::new(),
            reduced_jobs: BTreeMap::new(),
            advice: Advice::default(),
            commands: Vec::new(),
            finished: Vec::new(),
            losses: Vec::new(),
            task_crashes: Vec::new(),
            given_up: Vec::new(),
            freezes: Vec::new(),
            crash_backoffs: CrashBackoffs::default(),
            recent_crashes: RecentCrashes::default(),
            isolations: Isolations::default(),
            defragmentations: Defragmentations::default(),
            acknowledgeable: Vec::new(),
            last_machine_planning_at: Now::ZERO,
            last_expiry_at: Now::ZERO,
            shortages: Vec::new(),
            label_shortages_since: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            requested_labels: BTreeSet::new(),
            short_task_cores: ShortTaskCores::default(),
            starved_budgets: BTreeMap::new(),
            starved_turns: AttemptOrder::default(),
            run_times: RunTimes::default(),
            last_speed_review_at: Now::ZERO,
            next_batch: 0,
            executors_compared: 0,
            active_tasks: ActiveTasks::default(),
            wave_machines_counted: 0,
            wall_ms: 0,
        }
    }

    /// Applies the configuration. Removed queues and accounts keep their last settings for the jobs
    /// that they still have.
    pub fn configure(
        &mut self,
        queues: Vec<Queue>,
        services: Vec<Service>,
        accounts: Vec<Account>,
    ) {
        let weights = accounts.iter().map(|account| (account.name.clone(), account.weight));
        self.share_meter.configure(weights);
        self.configure_load(&accounts);
        self.accounts.configure(accounts);
        for queue in queues {
            self.queues.insert(queue.name.clone(), queue);
        }
        self.services = services.into_iter().map(|one| (one.name.clone(), one)).collect();
    }

    /// Cancels a job whose cancellation is durable.
    pub fn cancel(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.is_over() || job.is_cancelled {
            return;
        }
        job.is_cancelled = true;
        self.finish_job(now, &id.clone(), JobOutcome::Cancelled);
    }

    /// Returns the state of a job as reported to callers, or `None` if the job is unknown.
    pub fn view(&self, id: &str) -> Option<JobView> {
        let Some(job) = self.jobs.get(id) else {
            return self.reduced_jobs.get(id).map(|ended| JobView::Over(ended.outcome));
        };
        Some(match job.durable_outcome {
            Some(outcome) => JobView::Over(outcome),
            None if job.has_begun => JobView::Running,
            None => JobView::Queued,
        })
    }

    /// Whether a job has ended and its end isn't known to be durable yet. Its record may already be
    /// stored, so other readers may see the end.
    pub fn is_ending(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.is_over() && job.durable_outcome.is_none())
    }

    /// Returns the tasks that are held whole.
    pub fn active_tasks(&self) -> ActiveTasks {
        self.active_tasks
    }

    /// Returns the room for open jobs.
    pub fn job_room(&self) -> JobRoom {
        JobRoom { total_bytes: self.settings.open_job_bytes, used_bytes: self.open_job_bytes }
    }

    /// Returns the client account of a job, or `None` if the job is unknown.
    pub fn account_of(&self, id: &str) -> Option<Option<&AccountName>> {
        let of_open = self.jobs.get(id).map(|job| job.account.as_ref());
        of_open.or_else(|| self.reduced_jobs.get(id).map(|ended| ended.account.as_ref()))
    }

    /// Returns the number of jobs per queue of which no task has started.
    pub fn pending(&self) -> BTreeMap<QueueName, u64> {
        let count = |ids: &BTreeSet<JobId>| {
            ids.iter().filter(|id| self.jobs.get(*id).is_some_and(|job| !job.has_begun)).count()
        };
        self.open_jobs.iter().map(|(queue, ids)| (queue.clone(), count(ids) as u64)).collect()
    }

    /// Returns how many machines of waves have been examined so far to count those that are away.
    pub fn wave_machines_counted(&self) -> u64 {
        self.wave_machines_counted
    }

    /// Returns how many executors have been compared with tasks so far, as a measure of the cost of
    /// placement.
    pub fn executors_compared(&self) -> u64 {
        self.executors_compared
    }

    /// Takes the commands that were issued since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Advances the time: opens due occurrences, expires leases and places waiting tasks.
    pub fn tick(&mut self, now: Now, wall_ms: u64) {
        self.wall_ms = wall_ms;
        self.accounts.expire(now);
        self.update_share_capacity(now);
        self.open_due_occurrences(now, wall_ms);
        self.expire_executors_if_due(now);
        self.review_speeds_if_due(now);
        self.plan_machines(now);
        self.reopen_machine(now);
        self.release_backed_off(now);
        self.vacate_frozen_executors(now);
        self.place(now);
    }

    fn open_due_occurrences(&mut self, now: Now, wall_ms: u64) {
        let jobs = &mut self.jobs;
        self.scheduled.retain(|id| {
            let Some(job) = jobs.get_mut(id) else { return false };
            job.open_steps(now, wall_ms);
            !job.is_over() && job.has_unopened_occurrence()
        });
    }

    /// Marks the durable state of a job as changed.
    fn mark_changed(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.changes += 1;
        if !job.is_dirty {
            job.is_dirty = true;
            self.changed_jobs.push_back(id.clone());
        }
    }

    /// Removes jobs that ended at least `retention` ago and returns them, so that the store can
    /// delete them.
    pub fn forget_jobs(&mut self, now: Now, retention: Duration) -> Vec<JobId> {
        let mut forgotten = Vec::new();
        while let Some((_, over_at)) = self.ended_jobs.front() {
            if now.saturating_sub(*over_at) < retention {
                break;
            }
            let (id, _) = self.ended_jobs.pop_front().expect("the front was just read");
            self.jobs.remove(&id);
            self.reduced_jobs.remove(&id);
            forgotten.push(id);
        }
        forgotten
    }
}

//! The state of the one process that owns the fleet: all jobs, executors and machines.
//!
//! Everything here is rebuilt by each new owner from the store and from what executors say, so
//! nothing in it has to outlive the process. Orders leave only for placements that are durable.

mod command;
mod commits;
mod crash_attribution;
mod crash_backoff;
mod defragmentation;
mod defragmentation_plan;
mod executors;
mod gangs;
mod incarnations;
mod intake;
mod label_need;
mod label_reclaim;
mod label_shares;
mod losses;
mod maintenance;
mod pacing;
mod placement;
mod placement_round;
mod pool_view;
mod pools;
mod probation;
mod recent_crashes;
mod reports;
mod reservations;
mod runs;
mod starts;
mod stops;
mod vacating;
mod waits;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{AccountName, ExecutorId, JobId, PoolName, ServiceName},
};

pub use command::{Command, StopReason};
pub use commits::{Batch, ChangedJob, FinishedJob};
pub use crash_attribution::{GivenUpTask, TaskCrash};
pub use crash_backoff::CrashBackoff;
pub use losses::{ExecutorLoss, LossEvidence, LostRun};
pub use pools::Shortage;
pub use reports::HoldDirective;
pub use starts::StartOutcome;
pub use stops::{StopEvidence, StopOutcome};
pub use waits::{Obstacles, WaitingTask};

use crash_backoff::CrashBackoffs;
use defragmentation::Defragmentations;
use intake::InheritedEndedJob;
use recent_crashes::RecentCrashes;

use crate::{
    account::{Account, Accounts},
    demand::Arrivals,
    executor::Executor,
    job::{Job, Phase},
    machines::Machines,
    policy::Policy,
    record::JobOutcome,
    spec::{Label, Queue, QueueName, RunNumber, Service, TaskKey},
    table::Table,
};

/// What the owner's decisions are bounded by.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Lease that executors get for what they run; a running task survives that long without
    /// word from an owner.
    pub lease: Duration,
    /// The longest lease that executors accept.
    pub longest_lease: Duration,
    /// How long after a take-over an executor that never answered may still run something.
    pub takeover_uncertainty: Duration,
    /// An executor needs at most this long to stop a task.
    pub stop_timeout: Duration,
    /// How long a machine is away for maintenance.
    pub maintenance: Duration,
    /// A task away from its data takes this many times as long.
    pub remote_factor: f64,
    /// An earlier holder's machine orders have all arrived this long after a take-over.
    pub order_lease: Duration,
    /// Which mechanisms decide.
    pub policy: Policy,
}

/// What a caller is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobView {
    /// None of its tasks has begun.
    Queued,
    /// Some task has begun.
    Running,
    /// It is over, durably.
    Over(JobOutcome),
}

/// Permissions of the placement advisor for one step.
#[derive(Debug)]
struct Advice {
    asked_at: Now,
    valid_until: Now,
    tickets: BTreeMap<ExecutorId, Arc<str>>,
}

/// The owner's state.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    started_at: Now,
    queues: BTreeMap<QueueName, Queue>,
    services: BTreeMap<ServiceName, Service>,
    accounts: Accounts,
    jobs: Table<JobId, Job>,
    /// Jobs that aren't over, by queue.
    open_jobs: BTreeMap<QueueName, BTreeSet<JobId>>,
    /// Repeated jobs with occurrences to come.
    scheduled: BTreeSet<JobId>,
    executors: Table<ExecutorId, Executor>,
    by_service: BTreeMap<ServiceName, Vec<ExecutorId>>,
    changed_jobs: VecDeque<JobId>,
    /// Jobs that are over, with the time since when.
    ended_jobs: VecDeque<(JobId, Now)>,
    /// Those that an earlier owner ended.
    inherited_ended_jobs: BTreeMap<JobId, InheritedEndedJob>,
    advice: BTreeMap<(JobId, usize), Advice>,
    commands: Vec<Command>,
    finished: Vec<FinishedJob>,
    losses: Vec<ExecutorLoss>,
    task_crashes: Vec<TaskCrash>,
    given_up: Vec<GivenUpTask>,
    crash_backoffs: CrashBackoffs,
    recent_crashes: RecentCrashes,
    defragmentations: Defragmentations,
    /// Executors of which more ends have become durable.
    acknowledgeable: Vec<ExecutorId>,
    machines: Machines,
    last_machine_planning_at: Now,
    last_expiry_at: Now,
    shortages: Vec<Shortage>,
    /// Since when pools lack machines with a label.
    label_shortages_since: BTreeMap<(PoolName, Label), Now>,
    arrivals: BTreeMap<ServiceName, Arrivals>,
    /// Labels that jobs have asked for in this term.
    requested_labels: BTreeSet<Label>,
    next_batch: u64,
    executors_tried: u64,
    wave_machines_counted: u64,
    /// Time of day at the last tick, in milliseconds since 1970.
    wall_ms: u64,
}

impl Fleet {
    /// Returns the state of an owner that has just taken over.
    pub fn new(settings: FleetSettings, now: Now) -> Self {
        Self {
            machines: Machines::new(now, now + settings.order_lease),
            settings,
            started_at: now,
            queues: BTreeMap::new(),
            services: BTreeMap::new(),
            accounts: Accounts::default(),
            jobs: Table::default(),
            open_jobs: BTreeMap::new(),
            scheduled: BTreeSet::new(),
            executors: Table::default(),
            by_service: BTreeMap::new(),
            changed_jobs: VecDeque::new(),
            ended_jobs: VecDeque::new(),
            inherited_ended_jobs: BTreeMap::new(),
            advice: BTreeMap::new(),
            commands: Vec::new(),
            finished: Vec::new(),
            losses: Vec::new(),
            task_crashes: Vec::new(),
            given_up: Vec::new(),
            crash_backoffs: CrashBackoffs::default(),
            recent_crashes: RecentCrashes::default(),
            defragmentations: Defragmentations::default(),
            acknowledgeable: Vec::new(),
            last_machine_planning_at: Now::ZERO,
            last_expiry_at: Now::ZERO,
            shortages: Vec::new(),
            label_shortages_since: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            requested_labels: BTreeSet::new(),
            next_batch: 0,
            executors_tried: 0,
            wave_machines_counted: 0,
            wall_ms: 0,
        }
    }

    /// Takes over the configuration. Queues and accounts that are gone keep their last settings for
    /// the jobs that they accepted or handed in.
    pub fn configure(
        &mut self,
        queues: Vec<Queue>,
        services: Vec<Service>,
        accounts: Vec<Account>,
    ) {
        self.accounts.configure(accounts);
        for queue in queues {
            self.queues.insert(queue.name.clone(), queue);
        }
        self.services = services.into_iter().map(|one| (one.name.clone(), one)).collect();
    }

    /// Its caller has cancelled a job, durably.
    pub fn cancel(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.is_over() || job.is_cancelled {
            return;
        }
        job.is_cancelled = true;
        self.finish_job(now, &id.clone(), JobOutcome::Cancelled);
    }

    /// What a caller is told of a job; none if it isn't known here.
    pub fn view(&self, id: &str) -> Option<JobView> {
        let Some(job) = self.jobs.get(id) else {
            return self.inherited_ended_jobs.get(id).map(|ended| JobView::Over(ended.outcome));
        };
        Some(match job.shown {
            Some(outcome) => JobView::Over(outcome),
            None if job.has_begun => JobView::Running,
            None => JobView::Queued,
        })
    }

    /// Whether a job is over and it isn't known yet that this is durable: others may be told of its end already.
    pub fn is_ending(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.is_over() && job.shown.is_none())
    }

    /// The client account that a job belongs to; none if the job isn't known here.
    pub fn account_of(&self, id: &str) -> Option<Option<&AccountName>> {
        let of_open = self.jobs.get(id).map(|job| job.account.as_ref());
        of_open.or_else(|| self.inherited_ended_jobs.get(id).map(|ended| ended.account.as_ref()))
    }

    /// Jobs of each queue of which no task has begun.
    pub fn pending(&self) -> BTreeMap<QueueName, u64> {
        let count = |ids: &BTreeSet<JobId>| {
            ids.iter().filter(|id| self.jobs.get(*id).is_some_and(|job| !job.has_begun)).count()
        };
        self.open_jobs.iter().map(|(queue, ids)| (queue.clone(), count(ids) as u64)).collect()
    }

    /// Machines of waves that have been looked at so far to count those that are away.
    pub fn wave_machines_counted(&self) -> u64 {
        self.wave_machines_counted
    }

    /// Executors that have been compared for tasks so far: what placing costs.
    pub fn executors_tried(&self) -> u64 {
        self.executors_tried
    }

    /// Takes what has been decided since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether a start is still wanted, asked right before its order leaves.
    pub fn may_send_start(&self, executor: &str, key: &TaskKey, run: RunNumber) -> bool {
        self.jobs.get(&key.job).is_some_and(|job| {
            let index = job.index(key);
            index.is_some_and(|index| {
                let task = &job.tasks[index];
                let is_starting =
                    matches!(&task.phase, Phase::Starting { executor: at } if &**at == executor);
                is_starting && task.run == run
            })
        })
    }

    /// Lets time pass: occurrences become due, leases lapse, waiting tasks get room.
    pub fn tick(&mut self, now: Now, wall_ms: u64) {
        self.wall_ms = wall_ms;
        self.accounts.expire(now);
        self.open_due(now, wall_ms);
        self.expire_executors_if_due(now);
        self.plan_machines(now);
        self.reopen_machine(now);
        self.release_backed_off(now);
        self.place(now);
    }

    fn open_due(&mut self, now: Now, wall_ms: u64) {
        let jobs = &mut self.jobs;
        self.scheduled.retain(|id| {
            let Some(job) = jobs.get_mut(id) else { return false };
            job.open_steps(now, wall_ms);
            !job.is_over() && job.has_unopened_occurrence()
        });
    }

    /// Marks a job's durable state as changed.
    fn mark_changed(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.changes += 1;
        if !job.is_dirty {
            job.is_dirty = true;
            self.changed_jobs.push_back(id.clone());
        }
    }

    /// Forgets jobs that ended over `retention` ago and returns them, for the store to follow.
    pub fn forget_jobs(&mut self, now: Now, retention: Duration) -> Vec<JobId> {
        let mut forgotten = Vec::new();
        while let Some((_, over_at)) = self.ended_jobs.front() {
            if now.saturating_sub(*over_at) < retention {
                break;
            }
            let (id, _) = self.ended_jobs.pop_front().expect("the front was just read");
            self.jobs.remove(&id);
            self.inherited_ended_jobs.remove(&id);
            forgotten.push(id);
        }
        forgotten
    }
}

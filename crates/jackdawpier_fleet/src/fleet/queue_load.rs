//! Which queues and accounts have waiting work, and by how much it exceeds what they may use, for operators.
//!
//! See `docs/OPERATIONS.md`.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{AccountName, ServiceName},
};

use super::Fleet;
use crate::{
    job::Job,
    job_rank::{Rank, rank},
    spec::{Queue, QueueName},
};

/// Class of a waiting job, which decides when it is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitingClass {
    /// The job can be on time, or is long-running.
    OnTime,
    /// The job can be on time, but exceeds the share of its client account.
    OverShare,
    /// The job can't be on time any more.
    Late,
    /// The job is too late to have any value.
    Expired,
}

/// Number of waiting jobs by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitingJobs {
    /// See [`WaitingClass::OnTime`].
    pub on_time: usize,
    /// See [`WaitingClass::OverShare`].
    pub over_share: usize,
    /// See [`WaitingClass::Late`].
    pub late: usize,
    /// See [`WaitingClass::Expired`].
    pub expired: usize,
}

impl WaitingJobs {
    fn add(&mut self, class: WaitingClass) {
        match class {
            WaitingClass::OnTime => self.on_time += 1,
            WaitingClass::OverShare => self.over_share += 1,
            WaitingClass::Late => self.late += 1,
            WaitingClass::Expired => self.expired += 1,
        }
    }

    /// Returns the number of jobs over all classes.
    pub fn total(&self) -> usize {
        self.on_time + self.over_share + self.late + self.expired
    }
}

/// The load that one open job adds.
#[derive(Debug, Clone, PartialEq)]
pub struct JobLoad {
    /// Queue of the job.
    pub queue: QueueName,
    /// Service of the queue.
    pub service: ServiceName,
    /// Client account of the job.
    pub account: Option<AccountName>,
    /// Class of the job, if a task of it waits.
    pub class: Option<WaitingClass>,
    /// CPU of its placed tasks, in thousandths of a core.
    pub running_millicores: u64,
    /// CPU of its tasks that may start, in thousandths of a core.
    pub waiting_millicores: u64,
    /// Time that its longest waiting task has waited.
    pub waited: Duration,
}

/// Executors of a service that may accept work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// CPU, in thousandths of a core.
    pub millicores: u64,
    /// Number of executors that are avoided since they are slow.
    pub slow_executors: usize,
}

/// Load of a queue with waiting work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueBacklog {
    /// The queue.
    pub queue: QueueName,
    /// Executors of its service, which other queues may use too.
    pub capacity: ServiceCapacity,
    /// CPU of its placed tasks and of those that may start, in thousandths of a core.
    pub demand_millicores: u64,
    /// Waiting jobs.
    pub waiting: WaitingJobs,
    /// Longest wait of a task.
    pub oldest_wait: Duration,
}

/// Load of an account in a service in which jobs beyond its share wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountBacklog {
    /// The account.
    pub account: AccountName,
    /// The service.
    pub service: ServiceName,
    /// The account's part, by weight, of the CPU of all executors less their long-running tasks, in thousandths of a
    /// core.
    pub granted_millicores: u64,
    /// CPU of its placed tasks in the service, in thousandths of a core.
    pub running_millicores: u64,
    /// Number of its jobs beyond the share that wait in the service.
    pub waiting: usize,
}

/// Waiting work of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Waiting jobs over all queues.
    pub waiting: WaitingJobs,
    /// Queues with most waiting jobs.
    pub queues: Vec<QueueBacklog>,
    /// Accounts and services with most waiting jobs beyond the share.
    pub accounts: Vec<AccountBacklog>,
}

impl Backlog {
    /// Sums up the load of open jobs. Lists at most `limit` queues and accounts each, those with most waiting jobs first.
    /// `granted_millicores` returns the share of an account.
    pub fn of(
        jobs: impl IntoIterator<Item = JobLoad>,
        capacities: &BTreeMap<ServiceName, ServiceCapacity>,
        granted_millicores: impl Fn(&AccountName) -> u64,
        limit: usize,
    ) -> Self {
        let mut result = Self::default();
        let mut queues: BTreeMap<QueueName, QueueBacklog> = BTreeMap::new();
        let mut accounts: BTreeMap<(AccountName, ServiceName), AccountBacklog> = BTreeMap::new();
        for job in jobs {
            let queue = queues.entry(job.queue.clone()).or_insert_with(|| QueueBacklog {
                queue: job.queue.clone(),
                capacity: capacities.get(&job.service).copied().unwrap_or_default(),
                demand_millicores: 0,
                waiting: WaitingJobs::default(),
                oldest_wait: Duration::ZERO,
            });
            queue.demand_millicores += job.running_millicores + job.waiting_millicores;
            if let Some(class) = job.class {
                result.waiting.add(class);
                queue.waiting.add(class);
                queue.oldest_wait = queue.oldest_wait.max(job.waited);
            }
            let Some(account) = job.account else { continue };
            let key = (account.clone(), job.service.clone());
            let account = accounts.entry(key).or_insert_with(|| AccountBacklog {
                granted_millicores: granted_millicores(&account),
                account,
                service: job.service,
                running_millicores: 0,
                waiting: 0,
            });
            account.running_millicores += job.running_millicores;
            account.waiting += usize::from(job.class == Some(WaitingClass::OverShare));
        }
        result.queues = queues.into_values().filter(|queue| queue.waiting.total() > 0).collect();
        result.queues.sort_by_key(|queue| Reverse(queue.waiting.total()));
        result.queues.truncate(limit);
        result.accounts = accounts.into_values().filter(|account| account.waiting > 0).collect();
        result.accounts.sort_by_key(|account| Reverse(account.waiting));
        result.accounts.truncate(limit);
        result
    }
}

impl Fleet {
    /// Returns the waiting work, with at most `limit` queues and accounts each.
    pub fn backlog(&self, now: Now, limit: usize) -> Backlog {
        let open = self.open_jobs.iter().filter_map(|(name, ids)| {
            let queue = self.queues.get(name)?;
            Some(ids.iter().filter_map(|id| self.jobs.get(id)).map(move |job| (queue, job)))
        });
        let jobs = open.flatten().map(|(queue, job)| self.job_load(now, queue, job));
        let granted = |account: &AccountName| {
            (self.shared_millicores() as f64 * self.accounts.weight_share(account)) as u64
        };
        Backlog::of(jobs, &self.service_capacities(), granted, limit)
    }

    fn job_load(&self, now: Now, queue: &Queue, job: &Job) -> JobLoad {
        let millicores = |index: usize| job.step(index).allocated().cpu_millicores;
        let since = job.longest_waiting_task().map(|index| job.waiting_since(index));
        let waiting = job.startable_by_step().into_iter();
        let waiting_millicores =
            waiting.map(|(step, tasks)| job.spec.steps[step].allocated().cpu_millicores * tasks);
        JobLoad {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            account: job.account.clone(),
            class: since.map(|_| class_of(&rank(now, job, queue, self.settings.policy))),
            running_millicores: job.tasks.placed().map(|(index, _)| millicores(index)).sum(),
            waiting_millicores: waiting_millicores.sum(),
            waited: since.map_or(Duration::ZERO, |since| now.saturating_sub(since)),
        }
    }

    fn service_capacities(&self) -> BTreeMap<ServiceName, ServiceCapacity> {
        let capacity = |ids: &Vec<_>| {
            let mut capacity = ServiceCapacity::default();
            for executor in ids.iter().filter_map(|id| self.executors.get(id)) {
                if let Some(info) = executor.info.as_ref().filter(|_| executor.is_usable()) {
                    capacity.millicores += info.capacity.cpu_millicores;
                    capacity.slow_executors += usize::from(executor.speed.slow_since().is_some());
                }
            }
            capacity
        };
        self.by_service.iter().map(|(service, ids)| (service.clone(), capacity(ids))).collect()
    }
}

fn class_of(rank: &Rank) -> WaitingClass {
    if rank.is_expired() {
        WaitingClass::Expired
    } else if rank.is_late() {
        WaitingClass::Late
    } else if rank.is_primary() {
        WaitingClass::OnTime
    } else {
        WaitingClass::OverShare
    }
}

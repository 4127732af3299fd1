//! Adds newly accepted jobs, and recovers those of previous owners.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    ids::{AccountName, JobId, Revision},
};

use super::{Fleet, runs::allocate};
use crate::{
    executor::{Executor, IsolatedStart},
    job::Job,
    job_size::open_job_bytes,
    machines::MachineId,
    record::{JobOutcome, JobRecord, Reruns},
    spec::{JobSpec, Submission},
};

/// Maximum difference between the wall clocks of two entries, also while a clock is being corrected.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// Number of requested labels from which on only those that a machine has are kept. Labels are free text from
/// callers.
const MANY_REQUESTED_LABELS: usize = 64;

/// What is kept of an ended job of which nothing runs any more.
#[derive(Debug)]
pub(super) struct EndedJob {
    pub(super) outcome: JobOutcome,
    pub(super) account: Option<AccountName>,
    pub(super) reruns: Reruns,
}

/// A job that is yet to be charged to its account.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UnchargedJob {
    accepted_at: Now,
    id: JobId,
}

impl Fleet {
    /// Adds an accepted job that arrived at `arrived_at`. Does nothing if the job is already known.
    pub fn add_job(
        &mut self,
        now: Now,
        arrived_at: Now,
        wall_ms: u64,
        id: JobId,
        submission: Submission,
    ) {
        let is_known = self.is_known(&id);
        let service = self.queues.get(&submission.queue).map(|queue| queue.service.clone());
        // Work beyond the account's cap per second doesn't count as demand for machines.
        let max_millicores = self.accounts.remaining_millicores(submission.account.as_ref());
        let core_ms = submission.spec.core_ms().min(max_millicores);
        self.recover_job(now, wall_ms, id.clone(), submission, None);
        // Nor does work beyond the account's share.
        let is_over_share = self.jobs.get(&id).is_some_and(|job| job.is_over_share);
        if let Some(service) = service.filter(|_| !is_known && !is_over_share) {
            self.arrivals.entry(service).or_default().add(now, arrived_at, core_ms);
        }
    }

    /// Adds a job with the record that a previous owner wrote, if any.
    pub fn recover_job(
        &mut self,
        now: Now,
        wall_ms: u64,
        id: JobId,
        submission: Submission,
        written: Option<(JobRecord, Revision)>,
    ) {
        if self.is_known(&id) {
            return;
        }
        if let Some(settings) = &submission.settings {
            let known = self.queues.entry(submission.queue.clone());
            known.or_insert_with(|| settings.clone());
        }
        self.record_requested_labels(&submission.spec);
        let age = Duration::from_millis(wall_ms.saturating_sub(submission.accepted_ms));
        let mut job = Job::new(id.clone(), submission, now.saturating_sub(age));
        if let Some((record, revision)) = &written {
            job.restore(record, *revision);
        }
        if job.is_over() {
            if let Some((record, _)) = &written {
                self.count_leftover_usage(now, wall_ms, record);
            }
            self.ended_jobs.push_back((id.clone(), now));
        } else {
            self.open_jobs.entry(job.queue.clone()).or_default().insert(id.clone());
            self.open_job_bytes += open_job_bytes(&job.spec);
            if job.spec.schedule.is_some() {
                self.scheduled.insert(id.clone());
            }
            self.allocate_inherited_tasks(&job);
            job.open_steps(now, wall_ms);
        }
        let is_open = !job.is_over();
        self.jobs.insert(id.clone(), job);
        self.restore_backoffs(now, &id);
        self.recover_suspects(&id);
        if is_open {
            self.charge_or_defer(now, now.saturating_sub(age), id);
        } else {
            self.reduce_if_settled(&id);
        }
    }

    fn is_known(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.reduced_jobs.contains_key(id)
    }

    /// Charges a job to its account, or has it charged once the capacity that the accounts share is known.
    fn charge_or_defer(&mut self, now: Now, accepted_at: Now, id: JobId) {
        let job = &self.jobs[&id];
        let is_metered =
            job.account.as_ref().is_some_and(|account| self.share_meter.is_metered(account));
        // Long-running tasks are excluded from the capacity, so they aren't charged either.
        if !self.settings.policy.enforces_shares || !is_metered || job.has_long_running_tasks() {
            return;
        }
        if self.share_meter.has_capacity() {
            self.charge(now, &id);
        } else {
            self.uncharged_jobs.push(UnchargedJob { accepted_at, id });
        }
    }

    fn charge(&mut self, at: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(account) = &job.account else { return };
        job.is_over_share = !self.share_meter.charge(at, account, job.spec.core_ms());
    }

    /// Updates the capacity that the accounts share. Once it is known, charges the jobs that were added before, in
    /// the order and as of the time of their acceptance, when the previous owner charged most of them.
    pub(super) fn update_share_capacity(&mut self, now: Now) {
        if !self.measure_short_task_cores(now) {
            return;
        }
        self.share_meter.set_capacity(now, self.shared_millicores());
        if self.share_meter.has_capacity() {
            let mut uncharged = std::mem::take(&mut self.uncharged_jobs);
            uncharged.sort_unstable();
            uncharged.iter().for_each(|job| self.charge(job.accepted_at, &job.id));
        }
    }

    /// Returns the cores that the accounts share, in thousandths. Bursts of several accounts tend to meet in one pool,
    /// which can't hold the whole fleet, and with shares of the whole fleet a single account fills that pool.
    pub(super) fn shared_millicores(&self) -> u64 {
        self.short_task_cores.total_millicores() * self.max_pool_percent() / 100
    }

    /// Records the labels that a job requires, since further jobs are likely to require them too.
    fn record_requested_labels(&mut self, spec: &JobSpec) {
        for label in spec.steps.iter().filter_map(|step| step.required_label.as_ref()) {
            let has_few = self.requested_labels.len() < MANY_REQUESTED_LABELS;
            if has_few || self.machines.may_have_label(label) {
                self.requested_labels.insert(label.clone());
            }
        }
    }

    /// Adds a job that ended under a previous owner and of which only the record is left in the store.
    pub fn recover_ended_job(&mut self, now: Now, wall_ms: u64, id: JobId, record: &JobRecord) {
        let Some(outcome) = record.outcome else { return };
        if self.is_known(&id) {
            return;
        }
        self.count_leftover_usage(now, wall_ms, record);
        let account = record.account.clone();
        let ended = EndedJob { outcome, account, reruns: record.reruns() };
        self.reduced_jobs.insert(id.clone(), ended);
        self.ended_jobs.push_back((id, now));
    }

    /// Recovers a previous owner's notes of its recent machine orders. Each machine comes with the time
    /// between its order and the last note. These machines get no orders until the noted ones must have
    /// arrived; all others may be ordered at once.
    pub fn recover_orders(&mut self, now: Now, machines: Vec<(MachineId, Duration)>) {
        self.machines.restore_recent_orders(now, machines);
    }

    /// Counts the usage of runs that an ended job of a previous owner may still have, until they must have
    /// ended.
    fn count_leftover_usage(&mut self, now: Now, wall_ms: u64, record: &JobRecord) {
        let (Some(account), Some(remains)) = (&record.account, record.remains) else { return };
        let age = Duration::from_millis(wall_ms.saturating_sub(remains.ended_ms));
        if age < self.settings.takeover_uncertainty + MAX_CLOCK_SKEW {
            let until = self.started_at.max(now) + self.settings.takeover_uncertainty;
            self.accounts.add_usage_until(until, account, &remains.amount);
        }
    }

    /// Allocates the resources of the tasks that a previous owner placed.
    fn allocate_inherited_tasks(&mut self, job: &Job) {
        let uncertain_until = self.started_at + self.settings.takeover_uncertainty;
        for (index, task) in job.tasks.placed() {
            let Some(id) = task.phase.executor() else { continue };
            let is_suspect = self.is_suspect(job, index);
            let executor = self
                .executors
                .get_or_insert_with(id.clone(), || Executor::new(self.started_at, uncertain_until));
            allocate(executor, &mut self.accounts, job, index);
            if is_suspect {
                executor.isolated_start =
                    Some(IsolatedStart { task: (job.id.clone(), index), until: None });
            }
        }
    }
}

//! Attributes failures to jobs or to workers.
//!
//! A failure counts against both the job and the worker; a later success of either clears its
//! count. A worker that fails several different jobs in a row is quarantined, and its failures no
//! longer count against those jobs. See `docs/design/blame.md`.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{JobId, RackName, WorkerId},
};

/// Number of different jobs failed in a row after which a worker is quarantined.
const QUARANTINE_AFTER_JOBS: usize = 3;
/// Number of healthy workers that a job must fail on or lose before it is parked, not counting
/// losses with a likelier cause.
const PARK_AFTER_WORKERS: usize = 3;
/// Minimum number of racks that these workers must span.
const PARK_MIN_RACKS: usize = 2;
/// Number of healthy workers that a job must fail on or lose before it is parked, including
/// losses with a likelier cause.
const PARK_AFTER_WORKERS_ANY_CAUSE: usize = 12;
/// Duration of a worker's first quarantine; doubles with each further one.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(30);
const MAX_QUARANTINE: Duration = Duration::from_secs(3600);

#[derive(Debug, Default)]
struct WorkerFailures {
    consecutive_failed_jobs: BTreeSet<JobId>,
    quarantined_until: Option<Now>,
    last_quarantine: Option<Duration>,
}

/// Worker on which a job failed, or which stopped responding while it ran the job.
#[derive(Debug)]
struct FailedPlacement {
    worker: WorkerId,
    rack: RackName,
    /// Whether another job had just started on the worker, which is the likelier cause of its loss.
    has_likelier_cause: bool,
}

/// Tracks failures of jobs and workers.
#[derive(Debug, Default)]
pub struct FailureTracker {
    workers: HashMap<WorkerId, WorkerFailures>,
    placements_by_job: HashMap<JobId, Vec<FailedPlacement>>,
}

/// Consequence of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Retry the job on another worker.
    RetryElsewhere,
    /// The worker is quarantined; retry the job on another one.
    WorkerQuarantined,
    /// The job fails on every worker and has to be parked.
    JobNeverRuns,
}

impl FailureTracker {
    /// Whether `worker` is quarantined.
    pub fn is_quarantined(&self, now: Now, worker: &str) -> bool {
        self.workers
            .get(worker)
            .and_then(|record| record.quarantined_until)
            .is_some_and(|until| now < until)
    }

    /// Returns the number of quarantined workers.
    pub fn quarantined_count(&self, now: Now) -> usize {
        self.workers.keys().filter(|worker| self.is_quarantined(now, worker)).count()
    }

    /// Returns the workers on which `job` failed or which it lost. It is placed there again only if
    /// no other worker has room.
    pub fn failed_workers(&self, job: &str) -> impl Iterator<Item = &WorkerId> {
        self.placements_by_job.get(job).into_iter().flatten().map(|placement| &placement.worker)
    }

    /// Records a successful run and clears the failures of `job` and `worker`.
    pub fn record_success(&mut self, job: &str, worker: &WorkerId) {
        self.placements_by_job.remove(job);
        self.workers.remove(worker);
    }

    /// Clears the failures of a job.
    pub fn forget_job(&mut self, job: &str) {
        self.placements_by_job.remove(job);
    }

    /// Records that a worker stopped responding while it ran `job`. The job may be the cause, since a
    /// crashed worker reports nothing. The loss doesn't count against the worker, because another job
    /// may have crashed it. With `has_likelier_cause`, i.e. if another job had just started there, it
    /// counts against `job` only towards `PARK_AFTER_WORKERS_ANY_CAUSE`.
    pub fn record_worker_loss(
        &mut self,
        now: Now,
        job: &JobId,
        worker: &WorkerId,
        rack: &RackName,
        has_likelier_cause: bool,
    ) -> Verdict {
        self.record_placement(job, worker, rack, has_likelier_cause);
        if self.reaches_failure_limit(now, job) {
            Verdict::JobNeverRuns
        } else {
            Verdict::RetryElsewhere
        }
    }

    fn record_placement(
        &mut self,
        job: &JobId,
        worker: &WorkerId,
        rack: &RackName,
        has_likelier_cause: bool,
    ) {
        let placements = self.placements_by_job.entry(job.clone()).or_default();
        match placements.iter_mut().find(|placement| placement.worker == *worker) {
            Some(placement) => placement.has_likelier_cause &= has_likelier_cause,
            None => placements.push(FailedPlacement {
                worker: worker.clone(),
                rack: rack.clone(),
                has_likelier_cause,
            }),
        }
    }

    /// Records that `job` failed on `worker`.
    pub fn record_failure(
        &mut self,
        now: Now,
        job: &JobId,
        worker: &WorkerId,
        rack: &RackName,
    ) -> Verdict {
        self.record_placement(job, worker, rack, false);
        let record = self.workers.entry(worker.clone()).or_default();
        record.consecutive_failed_jobs.insert(job.clone());
        if record.consecutive_failed_jobs.len() >= QUARANTINE_AFTER_JOBS {
            self.quarantine(now, worker);
            return Verdict::WorkerQuarantined;
        }
        if self.reaches_failure_limit(now, job) {
            Verdict::JobNeverRuns
        } else {
            Verdict::RetryElsewhere
        }
    }

    fn quarantine(&mut self, now: Now, worker: &WorkerId) {
        let record = self.workers.entry(worker.clone()).or_default();
        let duration = record
            .last_quarantine
            .map_or(INITIAL_QUARANTINE, |last| (last * 2).min(MAX_QUARANTINE));
        record.last_quarantine = Some(duration);
        record.quarantined_until = Some(now + duration);
        let failed_jobs = std::mem::take(&mut record.consecutive_failed_jobs);
        for job in failed_jobs {
            if let Some(placements) = self.placements_by_job.get_mut(&job) {
                placements.retain(|placement| placement.worker != *worker);
            }
        }
    }

    fn reaches_failure_limit(&self, now: Now, job: &JobId) -> bool {
        let healthy: Vec<&FailedPlacement> = self
            .placements_by_job
            .get(job)
            .into_iter()
            .flatten()
            .filter(|placement| !self.is_quarantined(now, &placement.worker))
            .collect();
        let attributed = || healthy.iter().filter(|placement| !placement.has_likelier_cause);
        let racks: BTreeSet<&RackName> = attributed().map(|placement| &placement.rack).collect();
        let reaches_attributed_limit =
            attributed().count() >= PARK_AFTER_WORKERS && racks.len() >= PARK_MIN_RACKS;
        reaches_attributed_limit || healthy.len() >= PARK_AFTER_WORKERS_ANY_CAUSE
    }
}

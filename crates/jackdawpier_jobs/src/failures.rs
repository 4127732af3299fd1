//! Tells jobs that can never run from workers that fail everything.
//!
//! A failure counts against both; whatever succeeds elsewhere clears its side. A worker that
//! fails several different jobs in a row is left out for a while, and its failures no longer
//! count against jobs. See `docs/design/blame.md`.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{JobId, RackName, WorkerId},
};

/// Different jobs failed in a row after which a worker is left out.
const QUARANTINE_AFTER: usize = 3;
/// Healthy workers on which a job must fail before it is parked.
const PARK_AFTER: usize = 3;
/// Racks that these workers must stand in at least.
const PARK_RACKS: usize = 2;
/// Workers that a job may lose in all before it is parked, also beside likelier causes.
const PARK_AFTER_LOSSES: usize = 12;
/// Time for which a worker is left out; doubles each time.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
const MAX_QUARANTINE: Duration = Duration::from_secs(3600);

#[derive(Debug, Default)]
struct WorkerRecord {
    failed_in_a_row: BTreeSet<JobId>,
    quarantined_until: Option<Now>,
    quarantine: Option<Duration>,
}

/// A worker on which a job has failed, or which fell silent while it ran there.
#[derive(Debug)]
struct Place {
    worker: WorkerId,
    rack: RackName,
    /// Another job had just begun there, which is the likelier cause.
    is_shared: bool,
}

/// Failures of jobs and workers.
#[derive(Debug, Default)]
pub struct FailureTracker {
    workers: HashMap<WorkerId, WorkerRecord>,
    jobs: HashMap<JobId, Vec<Place>>,
}

/// What follows from a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Try elsewhere.
    RetryElsewhere,
    /// The worker fails everything and is left out; try elsewhere.
    WorkerQuarantined,
    /// The job can never run.
    JobNeverRuns,
}

impl FailureTracker {
    /// Whether `worker` is left out at the moment.
    pub fn is_quarantined(&self, now: Now, worker: &str) -> bool {
        self.workers
            .get(worker)
            .and_then(|record| record.quarantined_until)
            .is_some_and(|until| now < until)
    }

    /// Workers left out at the moment.
    pub fn quarantined_count(&self, now: Now) -> usize {
        self.workers.keys().filter(|worker| self.is_quarantined(now, worker)).count()
    }

    /// Workers on which `job` has failed, or which it lost; it is not placed there again while others are free.
    pub fn failed_workers(&self, job: &str) -> impl Iterator<Item = &WorkerId> {
        self.jobs.get(job).into_iter().flatten().map(|place| &place.worker)
    }

    /// Notes that a job ran to its end.
    pub fn record_success(&mut self, job: &str, worker: &WorkerId) {
        self.jobs.remove(job);
        self.workers.remove(worker);
    }

    /// Forgets a job that is over.
    pub fn forget_job(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Notes that a worker fell silent while it ran a job, which may be why: one that crashes reports
    /// nothing. It doesn't count against the worker, which others may have taken along; nor, but for a bound
    /// on all losses, against a job that had been there for longer than one that `is_shared` tells of.
    pub fn record_worker_loss(
        &mut self,
        now: Now,
        job: &JobId,
        worker: &WorkerId,
        rack: &RackName,
        is_shared: bool,
    ) -> Verdict {
        self.note_place(job, worker, rack, is_shared);
        if self.never_runs(now, job) { Verdict::JobNeverRuns } else { Verdict::RetryElsewhere }
    }

    fn note_place(&mut self, job: &JobId, worker: &WorkerId, rack: &RackName, is_shared: bool) {
        let places = self.jobs.entry(job.clone()).or_default();
        match places.iter_mut().find(|place| place.worker == *worker) {
            Some(place) => place.is_shared &= is_shared,
            None => places.push(Place { worker: worker.clone(), rack: rack.clone(), is_shared }),
        }
    }

    /// Notes that a job failed on a worker.
    pub fn record_failure(
        &mut self,
        now: Now,
        job: &JobId,
        worker: &WorkerId,
        rack: &RackName,
    ) -> Verdict {
        self.note_place(job, worker, rack, false);
        let record = self.workers.entry(worker.clone()).or_default();
        record.failed_in_a_row.insert(job.clone());
        if record.failed_in_a_row.len() >= QUARANTINE_AFTER {
            self.quarantine(now, worker);
            return Verdict::WorkerQuarantined;
        }
        if self.never_runs(now, job) { Verdict::JobNeverRuns } else { Verdict::RetryElsewhere }
    }

    fn quarantine(&mut self, now: Now, worker: &WorkerId) {
        let record = self.workers.entry(worker.clone()).or_default();
        let time =
            record.quarantine.map_or(FIRST_QUARANTINE, |time| (time * 2).min(MAX_QUARANTINE));
        record.quarantine = Some(time);
        record.quarantined_until = Some(now + time);
        let accused = std::mem::take(&mut record.failed_in_a_row);
        for job in accused {
            if let Some(places) = self.jobs.get_mut(&job) {
                places.retain(|place| place.worker != *worker);
            }
        }
    }

    fn never_runs(&self, now: Now, job: &JobId) -> bool {
        let healthy: Vec<&Place> = self
            .jobs
            .get(job)
            .into_iter()
            .flatten()
            .filter(|place| !self.is_quarantined(now, &place.worker))
            .collect();
        let own = || healthy.iter().filter(|place| !place.is_shared);
        let racks: BTreeSet<&RackName> = own().map(|place| &place.rack).collect();
        let fails_everywhere = own().count() >= PARK_AFTER && racks.len() >= PARK_RACKS;
        fails_everywhere || healthy.len() >= PARK_AFTER_LOSSES
    }
}

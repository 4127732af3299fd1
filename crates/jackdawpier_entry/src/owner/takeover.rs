//! Reads the stored state of jobs before a new owner's first decision.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use jackdawpier_fleet::{record::JobRecord, spec::Submission};
use jackdawpier_kernel::{
    Now,
    ids::{JobId, Revision},
};
use serde_json::json;

use super::Owner;
use crate::{
    clock, keys,
    metrics::Latency,
    ports::{Item, Platform, UnreadableItem},
};

/// Delay before a failed listing is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How the owner received a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobSource {
    /// From the watch, on arrival.
    Watch,
    /// From a listing, after the watch missed it or no entry owned the fleet.
    Listing,
}

impl JobSource {
    /// Returns when a job arrived. A job from the watch has arrived now, whatever another entry's wall clock says.
    fn arrived_at(self, now: Now, wall_ms: u64, submission: &Submission) -> Now {
        match self {
            Self::Watch => now,
            Self::Listing => {
                let age_ms = wall_ms.saturating_sub(submission.accepted_ms);
                now.saturating_sub(Duration::from_millis(age_ms))
            }
        }
    }
}

/// The accepted jobs and the cancellations that the store holds.
#[derive(Debug, Default)]
struct StoredIntake {
    submissions: BTreeMap<String, Submission>,
    cancelled: BTreeSet<JobId>,
}

impl<P: Platform> Owner<P> {
    /// Rebuilds the fleet's state from the store and returns the revision from which to watch the intake; `None`
    /// if the ownership ended meanwhile. Of the records, one page is held at a time.
    pub(super) async fn take_over(self: &Rc<Self>) -> Option<Revision> {
        let began_at = clock::now();
        let mut intake = StoredIntake::default();
        let add_page = |items| self.read_intake(items, &mut intake);
        let revision = self.list_with_retries(keys::INTAKE, add_page).await?;
        let jobs = intake.submissions.len();
        let recover_page = |items| self.recover_records(items, &mut intake.submissions);
        self.list_with_retries(keys::RECORDS, recover_page).await?;
        let unwritten = std::mem::take(&mut intake.submissions);
        let unwritten = unwritten.into_iter().map(|(id, submission)| (id.into(), submission));
        self.add_jobs(JobSource::Listing, unwritten, &intake.cancelled);
        self.cancel_jobs(&intake.cancelled);
        self.tick();
        let fields = json!({
            "fence": self.term.fence,
            "jobs": jobs,
            "took_ms": clock::since(began_at).as_millis() as u64,
        });
        self.events.metrics().observe(Latency::TakeOver, clock::since(began_at));
        self.events.emit("taken_over", fields);
        Some(revision)
    }

    /// Lists a prefix until it succeeds and returns the store's revision; `None` if the ownership ended meanwhile.
    /// After a failure, pages are passed on again.
    async fn list_with_retries(
        &self,
        prefix: &str,
        mut on_page: impl FnMut(Vec<Item>),
    ) -> Option<Revision> {
        while self.is_valid() {
            match self.platform.list_pages(prefix, &mut on_page).await {
                Ok(end) => {
                    self.log_left_out(&end.unreadable);
                    return Some(end.revision);
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        None
    }

    /// Parses a page of the intake.
    fn read_intake(&self, items: Vec<Item>, intake: &mut StoredIntake) {
        for item in items {
            if let Some(id) = item.key.strip_prefix(keys::CANCELLATIONS) {
                intake.cancelled.insert(id.into());
            } else if let Some(id) = item.key.strip_prefix(keys::SUBMISSIONS)
                && let Some(submission) = self.read_submission(&item)
            {
                intake.submissions.insert(id.to_owned(), submission);
            }
        }
    }

    /// Recovers the jobs of a page of records, with their submissions.
    fn recover_records(&self, items: Vec<Item>, submissions: &mut BTreeMap<String, Submission>) {
        let (now, wall_ms) = (clock::now(), clock::wall_ms());
        let mut fleet = self.fleet.borrow_mut();
        for item in items {
            let Some(id) = item.key.strip_prefix(keys::RECORDS) else { continue };
            let submission = submissions.remove(id);
            match (read_record(&item.value), submission) {
                // It ends with its lease, after which the id may be submitted again.
                (Ok(record), Some(submission)) if record.tombstone.is_some() => {
                    submissions.insert(id.to_owned(), submission);
                }
                (Ok(record), None) if record.tombstone.is_some() => {}
                (Ok(record), Some(submission)) => {
                    let written = Some((record, item.revision));
                    fleet.recover_job(now, wall_ms, id.into(), submission, written);
                }
                (Ok(record), None) if record.outcome.is_some() => {
                    fleet.recover_ended_job(now, wall_ms, id.into(), &record);
                }
                // The page has been passed on before.
                (Ok(_), None) if fleet.view(id).is_some() => {}
                (Ok(_), None) => {
                    let why = "missing, though its job hasn't ended";
                    self.log_unreadable(&keys::submission(id), why);
                }
                (Err(reason), _) => {
                    self.log_unreadable(&item.key, &reason);
                    self.unrecoverable_jobs.borrow_mut().insert(id.to_owned());
                }
            }
        }
    }

    /// Adds accepted jobs and then cancellations, whatever their order of arrival. Returns the number of jobs
    /// that weren't known.
    pub(super) fn ingest(&self, source: JobSource, items: Vec<Item>) -> usize {
        let mut cancelled = BTreeSet::new();
        let new_jobs = self.ingest_submissions(source, items, &mut cancelled);
        self.cancel_jobs(&cancelled);
        new_jobs
    }

    /// Adds accepted jobs and returns the number of those that weren't known. Appends the ids of cancelled jobs.
    pub(super) fn ingest_submissions(
        &self,
        source: JobSource,
        items: Vec<Item>,
        cancelled: &mut BTreeSet<JobId>,
    ) -> usize {
        let mut jobs = Vec::new();
        for item in items {
            if let Some(id) = item.key.strip_prefix(keys::CANCELLATIONS) {
                cancelled.insert(id.into());
            } else if let Some(id) = item.key.strip_prefix(keys::SUBMISSIONS)
                && !self.is_known(id)
                && let Some(submission) = self.read_submission(&item)
            {
                jobs.push((id.into(), submission));
            }
        }
        self.add_jobs(source, jobs.into_iter(), cancelled)
    }

    /// Whether a job has been added, or can't be: what has run of it can't be told without its record, nor can a new
    /// one be written over it.
    fn is_known(&self, id: &str) -> bool {
        self.fleet.borrow().view(id).is_some() || self.unrecoverable_jobs.borrow().contains(id)
    }

    /// Adds jobs that have no record, and returns their number. Those for which there is no room stay in the store until
    /// a later listing, unless they are cancelled and end at once.
    fn add_jobs(
        &self,
        source: JobSource,
        jobs: impl Iterator<Item = (JobId, Submission)>,
        cancelled: &BTreeSet<JobId>,
    ) -> usize {
        let (now, wall_ms) = (clock::now(), clock::wall_ms());
        let mut fleet = self.fleet.borrow_mut();
        let (mut added, mut deferred) = (0, 0);
        for (id, submission) in jobs {
            if !fleet.job_room().takes_in(&submission, wall_ms) && !cancelled.contains(&id) {
                deferred += 1;
                continue;
            }
            added += 1;
            let arrived_at = source.arrived_at(now, wall_ms, &submission);
            fleet.add_job(now, arrived_at, wall_ms, id, submission);
        }
        if deferred > 0 {
            self.events.emit("jobs_deferred", json!({ "jobs": deferred }));
        }
        added
    }

    /// Applies durable cancellations. Those of jobs that aren't known have no effect.
    pub(super) fn cancel_jobs(&self, jobs: &BTreeSet<JobId>) {
        let now = clock::now();
        let mut fleet = self.fleet.borrow_mut();
        jobs.iter().for_each(|id| fleet.cancel(now, id));
    }

    /// Parses an accepted job; logs one that can't be read.
    fn read_submission(&self, item: &Item) -> Option<Submission> {
        let read = read_submission(&item.value);
        read.inspect_err(|reason| self.log_unreadable(&item.key, reason)).ok()
    }

    /// Logs the items that a listing or a watch has left out.
    pub(super) fn log_left_out(&self, items: &[UnreadableItem]) {
        items.iter().for_each(|item| self.log_unreadable(&item.key, &item.reason));
    }

    pub(super) fn log_unreadable(&self, key: &str, why: &str) {
        self.events.emit_unreadable(key, why);
    }
}

/// Parses the record of a job; the error is the reason for the log.
fn read_record(value: &[u8]) -> Result<JobRecord, String> {
    let record: JobRecord = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    if !record.is_plausible() {
        return Err("the number of a run is too large".to_owned());
    }
    Ok(record)
}

/// Parses an accepted job; the error is the reason for the log. Entries accept valid jobs only, but other writers may
/// store any.
fn read_submission(value: &[u8]) -> Result<Submission, String> {
    let submission: Submission =
        serde_json::from_slice(value).map_err(|error| error.to_string())?;
    submission.spec.validate().map_err(|error| error.to_string())?;
    Ok(submission)
}

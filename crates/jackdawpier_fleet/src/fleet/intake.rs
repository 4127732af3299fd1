//! How jobs come in: newly accepted ones, and those that an earlier owner left.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    ids::{AccountName, JobId, Revision},
};

use super::{Fleet, runs::allocate};
use crate::{
    executor::{Executor, Watch},
    job::Job,
    machines::MachineId,
    record::{JobOutcome, JobRecord},
    spec::{JobSpec, Submission},
};

/// Entries' times of day differ by no more than this, also while they are set right.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(5);
/// Labels that are remembered: callers may make up any number.
const MAX_ASKED_LABELS: usize = 64;

/// What is left of a job that an earlier owner ended.
#[derive(Debug)]
pub(super) struct InheritedEndedJob {
    pub(super) outcome: JobOutcome,
    pub(super) account: Option<AccountName>,
    /// Some task of it was ordered more than once.
    pub(super) has_rerun: bool,
}

impl Fleet {
    /// Takes in an accepted job that arrived at `arrived_at`. A job that is known already stays as it is.
    pub fn add_job(
        &mut self,
        now: Now,
        arrived_at: Now,
        wall_ms: u64,
        id: JobId,
        submission: Submission,
    ) {
        if let Some(queue) = self.queues.get(&submission.queue)
            && !self.jobs.contains_key(&id)
        {
            let arrivals = self.arrivals.entry(queue.service.clone()).or_default();
            // What a cap keeps from running within a second needs no machines.
            let most = self.accounts.left_millicores(submission.account.as_ref());
            arrivals.add(now, arrived_at, submission.spec.core_ms().min(most));
        }
        self.recover_job(now, wall_ms, id, submission, None);
    }

    /// Takes in a job with what an earlier owner wrote of it.
    pub fn recover_job(
        &mut self,
        now: Now,
        wall_ms: u64,
        id: JobId,
        submission: Submission,
        written: Option<(JobRecord, Revision)>,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        if let Some(settings) = &submission.settings {
            let known = self.queues.entry(submission.queue.clone());
            known.or_insert_with(|| settings.clone());
        }
        self.note_labels(&submission.spec);
        let age = Duration::from_millis(wall_ms.saturating_sub(submission.accepted_ms));
        let mut job = Job::new(id.clone(), submission, now.saturating_sub(age));
        if let Some((record, revision)) = &written {
            job.restore(record, *revision);
        }
        if job.is_over() {
            if let Some((record, _)) = &written {
                self.count_remains(now, wall_ms, record);
            }
            self.ended_jobs.push_back((id.clone(), now));
        } else {
            self.open_jobs.entry(job.queue.clone()).or_default().insert(id.clone());
            if job.spec.schedule.is_some() {
                self.scheduled.insert(id.clone());
            }
            self.place_doubtful(&job);
            job.open_steps(now, wall_ms);
        }
        self.jobs.insert(id.clone(), job);
        self.restore_backoffs(now, &id);
    }

    /// Remembers the labels that a job asks for: others like it will come.
    fn note_labels(&mut self, spec: &JobSpec) {
        for label in spec.steps.iter().filter_map(|step| step.required_label.as_ref()) {
            if self.requested_labels.len() < MAX_ASKED_LABELS {
                self.requested_labels.insert(label.clone());
            }
        }
    }

    /// Takes in a job that an earlier owner ended, of which the store only has the record.
    pub fn recover_ended_job(&mut self, now: Now, wall_ms: u64, id: JobId, record: &JobRecord) {
        let Some(outcome) = record.outcome else { return };
        if self.jobs.contains_key(&id) {
            return;
        }
        self.count_remains(now, wall_ms, record);
        let account = record.account.clone();
        let ended = InheritedEndedJob { outcome, account, has_rerun: record.has_rerun };
        self.inherited_ended_jobs.insert(id.clone(), ended);
        self.ended_jobs.push_back((id, now));
    }

    /// An earlier owner has noted which machines it ordered lately, before each order left, and how
    /// long before its last note that was. Those are left alone until its orders must have arrived;
    /// all others may be ordered at once.
    pub fn recover_orders(&mut self, now: Now, machines: Vec<(MachineId, Duration)>) {
        self.machines.hold(now, machines);
    }

    /// Counts what a job that an earlier owner ended may still have running, until it must have ended.
    fn count_remains(&mut self, now: Now, wall_ms: u64, record: &JobRecord) {
        let (Some(account), Some(remains)) = (&record.account, record.remains) else { return };
        let age = Duration::from_millis(wall_ms.saturating_sub(remains.ended_ms));
        if age < self.settings.takeover_uncertainty + CLOCK_DIFFERENCE {
            let until = self.started_at.max(now) + self.settings.takeover_uncertainty;
            self.accounts.book_until(until, account, &remains.amount);
        }
    }

    /// Books the room of the tasks that an earlier owner placed.
    fn place_doubtful(&mut self, job: &Job) {
        let doubt_until = self.started_at + self.settings.takeover_uncertainty;
        for (index, task) in job.tasks.iter().enumerate() {
            let Some(id) = task.phase.executor() else { continue };
            let is_suspect = self.is_suspect(job, index);
            let executor = self
                .executors
                .get_or_insert_with(id.clone(), || Executor::new(self.started_at, doubt_until));
            allocate(executor, &mut self.accounts, job, index);
            if is_suspect {
                executor.watch = Some(Watch { task: (job.id.clone(), index), until: None });
            }
        }
    }
}

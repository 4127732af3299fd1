//! Tasks on workers: start outcomes, reports, lease renewals and lease timeout.

use std::{collections::BTreeSet, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{JobId, RackName, WorkerId},
    task::{TaskAction, TaskCommand, TaskReport, TaskState},
};

use super::{Command, JobQueue, Phase, StartOutcome};
use crate::{
    failures::Verdict,
    job::{JobState, ParkReason},
};

/// Number of renewals per task lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Wait beyond the task lease before an unresponsive task is considered stopped.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

impl JobQueue {
    /// Handles the outcome of a request to start a task.
    pub fn on_start_outcome(
        &mut self,
        now: Now,
        id: &JobId,
        attempt: u32,
        outcome: StartOutcome,
    ) -> Vec<Command> {
        let Some(tracked) = self.jobs.get_mut(id) else { return Vec::new() };
        if tracked.phase != Phase::Starting || tracked.job.attempts != attempt {
            return Vec::new();
        }
        match outcome {
            StartOutcome::Reported(report) => {
                tracked.phase = Phase::Running;
                self.on_report(now, &report)
            }
            StartOutcome::NotSent => {
                let worker = tracked.worker().cloned();
                let is_cancelled = tracked.is_cancelled;
                self.release_worker(id);
                if let Some(worker) = worker {
                    self.exclude_worker(&worker);
                }
                let state = if is_cancelled { JobState::Cancelled } else { JobState::Queued };
                self.finish(id, state)
            }
            // The task may run, so it counts as running until its worker reports or its lease expires.
            StartOutcome::Unanswered => {
                tracked.phase = Phase::Running;
                Vec::new()
            }
        }
    }

    /// Excludes an unreachable worker from placement until the instance list adds it again.
    fn exclude_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// Handles the complete task reports of one worker. Tasks missing from them are not running.
    pub fn on_reports(
        &mut self,
        now: Now,
        worker: &WorkerId,
        reports: &[TaskReport],
    ) -> Vec<Command> {
        let mut commands: Vec<Command> =
            reports.iter().flat_map(|report| self.on_report(now, report)).collect();
        let reported: BTreeSet<&JobId> = reports.iter().map(|report| &report.job).collect();
        let missing: Vec<JobId> = self
            .by_worker
            .get(worker)
            .into_iter()
            .flatten()
            .filter(|id| !reported.contains(id))
            .filter(|id| self.jobs[*id].phase == Phase::Running)
            // A delayed start request may still reach the worker within the lease.
            .filter(|id| now >= self.jobs[*id].renewed_at + self.task_lease + LEASE_MARGIN)
            .cloned()
            .collect();
        commands.extend(missing.iter().flat_map(|id| self.on_lease_expired(now, id)));
        commands
    }

    /// Handles the report of one task.
    pub fn on_report(&mut self, now: Now, report: &TaskReport) -> Vec<Command> {
        let Some(tracked) = self.jobs.get_mut(&report.job) else { return Vec::new() };
        let is_current = tracked.job.attempts == report.attempt
            && matches!(tracked.phase, Phase::Starting | Phase::Running);
        if !is_current {
            return Vec::new();
        }
        let Some(worker) = tracked.worker().cloned() else { return Vec::new() };
        let (id, class, customer) =
            (report.job.clone(), tracked.job.class.clone(), tracked.job.customer.clone());
        self.size_estimator.observe(&class, &customer, tracked.job.declared, report.usage);
        match report.state {
            TaskState::Running => {
                tracked.phase = Phase::Running;
                Vec::new()
            }
            TaskState::Done => {
                self.failures.record_success(&id, &worker);
                self.release_worker(&id);
                self.finish(&id, JobState::Done)
            }
            TaskState::Failed => self.on_failed(now, &id, &worker),
            TaskState::Stopped => self.on_stopped(&id),
        }
    }

    fn on_failed(&mut self, now: Now, id: &JobId, worker: &WorkerId) -> Vec<Command> {
        let rack = self.rack_of(worker);
        let verdict = self.failures.record_failure(now, id, worker, &rack);
        self.release_worker(id);
        let state = self.state_after_attempt(id, ParkReason::Failed, verdict);
        self.finish(id, state)
    }

    /// Handles a task that stopped before it finished, on request or because its lease expired.
    fn on_stopped(&mut self, id: &JobId) -> Vec<Command> {
        self.release_worker(id);
        let state =
            self.state_after_attempt(id, ParkReason::OutcomeUnknown, Verdict::RetryElsewhere);
        self.finish(id, state)
    }

    /// Returns the next state of a job whose attempt ended without success. A job that is not
    /// idempotent is parked for `non_idempotent_reason`.
    fn state_after_attempt(
        &self,
        id: &JobId,
        non_idempotent_reason: ParkReason,
        verdict: Verdict,
    ) -> JobState {
        let tracked = &self.jobs[id];
        if tracked.is_cancelled {
            JobState::Cancelled
        } else if !tracked.job.is_idempotent {
            JobState::Parked { reason: non_idempotent_reason }
        } else if verdict == Verdict::JobNeverRuns {
            JobState::Parked { reason: ParkReason::NeverRuns }
        } else {
            JobState::Queued
        }
    }

    /// Returns the rack of a worker. An unknown worker counts as a rack of its own.
    fn rack_of(&self, worker: &WorkerId) -> RackName {
        self.workers.info(worker).map_or_else(|| worker.clone(), |info| info.rack.clone())
    }

    /// Handles a task whose lease expired and whose outcome is unknown.
    fn on_lease_expired(&mut self, now: Now, id: &JobId) -> Vec<Command> {
        let worker = self.jobs[id].worker().cloned();
        let has_likelier_cause = self.has_later_start_on_worker(id);
        self.release_worker(id);
        let verdict = worker.map_or(Verdict::RetryElsewhere, |worker| {
            let rack = self.rack_of(&worker);
            self.failures.record_worker_loss(now, id, &worker, &rack, has_likelier_cause)
        });
        let state = self.state_after_attempt(id, ParkReason::OutcomeUnknown, verdict);
        self.finish(id, state)
    }

    /// Whether another job started on the worker of `id` at least one renewal interval after it and
    /// is still there.
    fn has_later_start_on_worker(&self, id: &JobId) -> bool {
        let tracked = &self.jobs[id];
        let min_started_at = tracked.started_at + self.task_lease / RENEWALS_PER_LEASE;
        let same_worker = tracked.worker().and_then(|worker| self.by_worker.get(worker));
        same_worker.into_iter().flatten().any(|other| self.jobs[other].started_at >= min_started_at)
    }

    /// Whether placing `id` on `worker` would start it together with another job while one of the two
    /// has failures on record. If the worker is lost, the loss couldn't be attributed to either.
    pub(super) fn would_obscure_failure_cause(&self, now: Now, id: &JobId, worker: &str) -> bool {
        let is_suspect = |id: &JobId| self.failures.failed_workers(id).next().is_some();
        let is_recent_start = |other: &&JobId| {
            let tracked = &self.jobs[*other];
            let recent_until = tracked.started_at + self.task_lease / RENEWALS_PER_LEASE;
            matches!(tracked.phase, Phase::Claiming | Phase::Starting) || recent_until > now
        };
        let same_worker = self.by_worker.get(worker);
        let mut recent_starts = same_worker.into_iter().flatten().filter(is_recent_start);
        recent_starts.any(|other| is_suspect(id) || is_suspect(other))
    }

    /// Records that a renewal sent at `sent_at` reached the worker.
    pub fn on_renewed(&mut self, sent_at: Now, id: &str) {
        if let Some(tracked) = self.jobs.get_mut(id) {
            tracked.renewed_at = tracked.renewed_at.max(sent_at);
        }
    }

    /// Returns the due renewals of running tasks, or stop commands for those being stopped.
    pub fn renewals(&self, now: Now) -> Vec<Command> {
        let interval = self.task_lease / RENEWALS_PER_LEASE;
        self.claimed
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|tracked| {
                tracked.phase == Phase::Running && now >= tracked.renewed_at + interval
            })
            .filter_map(|tracked| {
                let action = if tracked.is_stopping { TaskAction::Stop } else { TaskAction::Renew };
                tracked.command(action)
            })
            .collect()
    }

    /// Returns renewals of all tasks that may run, for an owner that can't rely on its member lease.
    /// They keep the tasks running for the next owner of the shard. Renewals by two entries are
    /// harmless.
    pub fn keep_alive_renewals(&self) -> Vec<(WorkerId, TaskCommand)> {
        self.claimed
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|tracked| matches!(tracked.phase, Phase::Starting | Phase::Running))
            .filter(|tracked| !tracked.is_stopping)
            .filter_map(|tracked| match tracked.command(TaskAction::Renew)? {
                Command::Send { worker, command } => Some((worker, command)),
                _ => None,
            })
            .collect()
    }

    /// Ends the attempts whose task leases have expired.
    pub(super) fn expire_task_leases(&mut self, now: Now) -> Vec<Command> {
        let timeout = self.task_lease + LEASE_MARGIN;
        let expired: Vec<JobId> = self
            .claimed
            .iter()
            .filter(|id| self.jobs[*id].phase == Phase::Running)
            .filter(|id| now >= self.jobs[*id].renewed_at + timeout)
            .cloned()
            .collect();
        expired.iter().flat_map(|id| self.on_lease_expired(now, id)).collect()
    }
}

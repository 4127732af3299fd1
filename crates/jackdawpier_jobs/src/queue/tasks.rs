//! Tasks at their workers: starts, reports, renewals and the end of silent ones.

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

/// Renewals a task lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Waited beyond a task lease before a silent task is taken for stopped.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

impl JobQueue {
    /// Learns how the start of a task went.
    pub fn on_start_outcome(
        &mut self,
        now: Now,
        id: &JobId,
        attempt: u32,
        end: StartOutcome,
    ) -> Vec<Command> {
        let Some(live) = self.jobs.get_mut(id) else { return Vec::new() };
        if live.phase != Phase::Starting || live.job.attempts != attempt {
            return Vec::new();
        }
        match end {
            StartOutcome::Reported(report) => {
                live.phase = Phase::Running;
                self.on_report(now, &report)
            }
            StartOutcome::NotSent => {
                let worker = live.worker().cloned();
                let is_cancelled = live.is_cancelled;
                self.free_worker(id);
                if let Some(worker) = worker {
                    self.leave_out(&worker);
                }
                let state = if is_cancelled { JobState::Cancelled } else { JobState::Queued };
                self.finish(id, state)
            }
            // The worker is asked, and the lease is waited out.
            StartOutcome::Unanswered => {
                live.phase = Phase::Running;
                Vec::new()
            }
        }
    }

    /// Takes no new work to a worker that can't be reached, until the list says otherwise.
    fn leave_out(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// Takes the reports of one worker that answered; tasks that it doesn't know are not running.
    pub fn on_reports(
        &mut self,
        now: Now,
        worker: &WorkerId,
        reports: &[TaskReport],
    ) -> Vec<Command> {
        let mut commands: Vec<Command> =
            reports.iter().flat_map(|report| self.on_report(now, report)).collect();
        let known: BTreeSet<&JobId> = reports.iter().map(|report| &report.job).collect();
        let missing: Vec<JobId> = self
            .by_worker
            .get(worker)
            .into_iter()
            .flatten()
            .filter(|id| !known.contains(id))
            .filter(|id| self.jobs[*id].phase == Phase::Running)
            // A start that was lost may still arrive within the lease.
            .filter(|id| now >= self.jobs[*id].renewed_at + self.task_lease + LEASE_MARGIN)
            .cloned()
            .collect();
        commands.extend(missing.iter().flat_map(|id| self.on_unknown(now, id)));
        commands
    }

    /// Takes the report of one task.
    pub fn on_report(&mut self, now: Now, report: &TaskReport) -> Vec<Command> {
        let Some(live) = self.jobs.get_mut(&report.job) else { return Vec::new() };
        let is_current = live.job.attempts == report.attempt
            && matches!(live.phase, Phase::Starting | Phase::Running);
        if !is_current {
            return Vec::new();
        }
        let Some(worker) = live.worker().cloned() else { return Vec::new() };
        let (id, class, customer) =
            (report.job.clone(), live.job.class.clone(), live.job.customer.clone());
        self.size_estimator.observe(&class, &customer, live.job.declared, report.usage);
        match report.state {
            TaskState::Running => {
                live.phase = Phase::Running;
                Vec::new()
            }
            TaskState::Done => {
                self.failures.record_success(&id, &worker);
                self.free_worker(&id);
                self.finish(&id, JobState::Done)
            }
            TaskState::Failed => self.on_failed(now, &id, &worker),
            TaskState::Stopped => self.on_stopped(&id),
        }
    }

    fn on_failed(&mut self, now: Now, id: &JobId, worker: &WorkerId) -> Vec<Command> {
        let rack = self.rack_of(worker);
        let verdict = self.failures.record_failure(now, id, worker, &rack);
        self.free_worker(id);
        let state = self.state_after(id, ParkReason::Failed, verdict);
        self.finish(id, state)
    }

    /// The task stopped before its end, by our word or by the end of its lease.
    fn on_stopped(&mut self, id: &JobId) -> Vec<Command> {
        self.free_worker(id);
        let state = self.state_after(id, ParkReason::OutcomeUnknown, Verdict::RetryElsewhere);
        self.finish(id, state)
    }

    /// What becomes of a job whose task has ended without success; `once` is why it is parked if it may not be repeated.
    fn state_after(&self, id: &JobId, once: ParkReason, verdict: Verdict) -> JobState {
        let live = &self.jobs[id];
        if live.is_cancelled {
            JobState::Cancelled
        } else if !live.job.is_idempotent {
            JobState::Parked { reason: once }
        } else if verdict == Verdict::JobNeverRuns {
            JobState::Parked { reason: ParkReason::NeverRuns }
        } else {
            JobState::Queued
        }
    }

    /// The rack of a worker; one that isn't known stands alone.
    fn rack_of(&self, worker: &WorkerId) -> RackName {
        self.workers.info(worker).map_or_else(|| worker.clone(), |info| info.rack.clone())
    }

    /// The lease is over and nobody knows how the task ended.
    fn on_unknown(&mut self, now: Now, id: &JobId) -> Vec<Command> {
        let worker = self.jobs[id].worker().cloned();
        let is_shared = self.has_newcomer_beside(id);
        self.free_worker(id);
        let verdict = worker.map_or(Verdict::RetryElsewhere, |worker| {
            let rack = self.rack_of(&worker);
            self.failures.record_worker_loss(now, id, &worker, &rack, is_shared)
        });
        let state = self.state_after(id, ParkReason::OutcomeUnknown, verdict);
        self.finish(id, state)
    }

    /// Whether another job began on the worker of a job long after it, and hasn't ended there.
    fn has_newcomer_beside(&self, id: &JobId) -> bool {
        let live = &self.jobs[id];
        let began_after = live.started_at + self.task_lease / RENEWALS_PER_LEASE;
        let beside = live.worker().and_then(|worker| self.by_worker.get(worker));
        beside.into_iter().flatten().any(|other| self.jobs[other].started_at >= began_after)
    }

    /// Whether a job and another that has just begun on a worker would begin there together, and one of them
    /// has lost a worker before: if this one falls silent too, nothing would tell which of them it was.
    pub(super) fn would_obscure_failure_cause(&self, now: Now, id: &JobId, worker: &str) -> bool {
        let is_suspect = |id: &JobId| self.failures.failed_workers(id).next().is_some();
        let is_newcomer = |other: &&JobId| {
            let live = &self.jobs[*other];
            let began = live.started_at + self.task_lease / RENEWALS_PER_LEASE;
            matches!(live.phase, Phase::Claiming | Phase::Starting) || began > now
        };
        let there = self.by_worker.get(worker);
        let mut newcomers = there.into_iter().flatten().filter(is_newcomer);
        newcomers.any(|other| is_suspect(id) || is_suspect(other))
    }

    /// Notes that a renewal reached the worker, sent at `sent_at`.
    pub fn on_renewed(&mut self, sent_at: Now, id: &str) {
        if let Some(live) = self.jobs.get_mut(id) {
            live.renewed_at = live.renewed_at.max(sent_at);
        }
    }

    /// Renewals that are due, for tasks that run.
    pub fn renewals(&self, now: Now) -> Vec<Command> {
        let interval = self.task_lease / RENEWALS_PER_LEASE;
        self.running
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|live| live.phase == Phase::Running && now >= live.renewed_at + interval)
            .filter_map(|live| {
                let action = if live.is_stopping { TaskAction::Stop } else { TaskAction::Renew };
                live.command(action)
            })
            .collect()
    }

    /// Renewals of every task that may run, for an owner that can't rely on its lease: whoever
    /// owns the shard later finds the tasks running. A renewal by two entries does no harm.
    pub fn keep_alive_renewals(&self) -> Vec<(WorkerId, TaskCommand)> {
        self.running
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|live| matches!(live.phase, Phase::Starting | Phase::Running))
            .filter(|live| !live.is_stopping)
            .filter_map(|live| match live.command(TaskAction::Renew)? {
                Command::Send { worker, command } => Some((worker, command)),
                _ => None,
            })
            .collect()
    }

    pub(super) fn expire_task_leases(&mut self, now: Now) -> Vec<Command> {
        let wait = self.task_lease + LEASE_MARGIN;
        let silent: Vec<JobId> = self
            .running
            .iter()
            .filter(|id| self.jobs[*id].phase == Phase::Running)
            .filter(|id| now >= self.jobs[*id].renewed_at + wait)
            .cloned()
            .collect();
        silent.iter().flat_map(|id| self.on_unknown(now, id)).collect()
    }
}

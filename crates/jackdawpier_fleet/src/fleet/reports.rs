//! Applies the reports of executors: running tasks, ended runs, and proof that orders of previous
//! owners can no longer start anything.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{
    Command, Fleet, FleetSettings, StopReason, incarnations::ReportOrigin, runs::TaskOutcome,
    stops::MAX_STOP_DELAY,
};
use crate::{
    executor::{EndKind, EndedTask, HoldReport, LastContact, MAX_ENDS_PER_REPORT, TaskRef},
    job::{Phase, StopOrder},
    record::JobOutcome,
    spec::RunNumber,
};

/// Parameters of the next hold request to an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldDirective {
    /// Ends up to this position are durable and may be dropped by the executor.
    pub acknowledged: u64,
    /// End of the lease by the executor's clock, or `None` before its clock is known.
    pub lease_until: Option<Duration>,
    /// Whether the executor may delay its answer until a run ends.
    pub may_wait: bool,
    /// Whether tasks run there that end by themselves, so that a lost answer may hide an end.
    pub expects_end: bool,
    /// Whether the executor lists ends that can't be acknowledged yet. It then answers every request
    /// at once, so it should be asked rarely.
    pub is_frozen: bool,
}

/// Number of consecutive failed runs, of any job, after which an executor is excluded from
/// placement for a while.
const EXCLUSION_FAILURES: u32 = 3;
/// First exclusion of a failing executor, doubled for each further consecutive failure up to
/// [`MAX_EXCLUSION`].
const FIRST_EXCLUSION: Duration = Duration::from_secs(1);
/// Maximum exclusion of a failing executor, so that a recovered one is used again.
const MAX_EXCLUSION: Duration = Duration::from_secs(4);
/// A stop counts as carried out this long after the executor's own time limit for it.
const STOP_MARGIN: Duration = Duration::from_millis(100);

impl Fleet {
    /// Returns the parameters of the next hold request, or `None` if the executor is unknown or has
    /// ended.
    pub fn hold_directive(&mut self, now: Now, id: &str) -> Option<HoldDirective> {
        let lease = self.settings.lease;
        let jobs = &self.jobs;
        let executor = self.executors.get_mut(id).filter(|executor| !executor.has_ended)?;
        let ends_by_itself = |(id, index): &TaskRef| {
            jobs.get(id).is_some_and(|job| !job.step(*index).is_long_running)
        };
        let expects_end = executor.tasks.iter().any(ends_by_itself);
        // The changes of a removed job became durable long before.
        let acknowledged = executor
            .acks
            .acknowledge(|job| jobs.get(job).map_or(u64::MAX, |job| job.durable_changes));
        let is_clock_known = executor.clock_read_at().is_some();
        let may_wait = executor.is_synced && is_clock_known && !executor.acks.has_pending();
        // After a failed request the next one can't carry a lease, and one that counted as granted would only delay the
        // release of the tasks there.
        let may_grant = executor.failed_at.is_none() && !executor.awaits_lease_expiry();
        let lease_until = if may_grant { executor.grant_lease(now, lease) } else { None };
        let is_frozen = executor.is_frozen();
        Some(HoldDirective { acknowledged, lease_until, may_wait, expects_end, is_frozen })
    }

    /// Whether ends that an executor reported aren't acknowledged yet.
    pub fn has_unacknowledged(&self, id: &str) -> bool {
        let Some(executor) = self.executors.get(id) else { return false };
        executor.acks.has_pending()
    }

    /// Returns the lease to send with an order to an executor.
    pub fn order_lease(&mut self, now: Now, id: &str) -> Option<Duration> {
        let lease = self.settings.lease;
        self.executors.get_mut(id)?.grant_lease(now, lease)
    }

    /// Applies an executor's answer to a hold request that was sent at `sent_at`.
    pub fn hold_answered(&mut self, now: Now, sent_at: Now, id: &ExecutorId, report: &HoldReport) {
        let Some(executor) = self.executors.get_mut(id) else { return };
        let origin = executor.report_origin(report);
        match origin {
            ReportOrigin::Current => {}
            ReportOrigin::Previous => return,
            ReportOrigin::New(incarnation) => executor.begin_incarnation(now, incarnation),
        }
        let FleetSettings { lease, longest_lease, .. } = self.settings;
        let has_expired = executor.has_expired_by(report.clock);
        executor.note_answer(now, report.clock, lease, longest_lease);
        executor.reports_running = !report.running.is_empty();
        let last_processed = executor.acks.last_processed();
        let is_complete = report.ended.len() < MAX_ENDS_PER_REPORT;
        for end in report.ended.iter().filter(|end| end.sequence > last_processed) {
            self.record_end(now, id, end);
        }
        if has_expired {
            self.unfreeze(id);
        }
        if matches!(origin, ReportOrigin::New(_)) {
            self.settle_previous_incarnation(now, sent_at, id, report);
        }
        self.note_speed_answer(now, id);
        self.apply_running_tasks(now, sent_at, id, report, is_complete);
        if is_complete && let Some(executor) = self.executors.get_mut(id) {
            executor.is_synced = true;
        }
        self.pace_fillers(now, id, report);
    }

    fn record_end(&mut self, now: Now, id: &ExecutorId, end: &EndedTask) {
        let job_id = end.task.job.clone();
        self.apply_end(now, id, end);
        let needed_changes = self.jobs.get_mut(&job_id).map_or(0, |job| {
            job.unacknowledged_ends.push((job.changes, id.clone()));
            job.changes
        });
        if let Some(executor) = self.executors.get_mut(id) {
            executor.acks.note_processed(end.sequence, job_id, needed_changes);
        }
    }

    fn apply_end(&mut self, now: Now, id: &ExecutorId, end: &EndedTask) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            let ended = self.reduced_jobs.get(&end.task.job);
            let may_be_superseded =
                ended.is_some_and(|job| job.reruns.may_be_superseded(&end.task, end.run));
            if end.kind == EndKind::Done && may_be_superseded {
                self.freeze(now, id, end);
            }
            return;
        };
        let Some(index) = job.index(&end.task) else { return };
        let task = &job.tasks[index];
        let is_here = task.phase.executor() == Some(id) && task.run == end.run;
        // The run was taken for lapsed but succeeded. No other run was started, so it counts.
        let is_late_success =
            end.kind == EndKind::Done && task.phase == Phase::Waiting && task.run == end.run;
        // Another run is planned, but its order hasn't been sent.
        let is_before_next_start = end.kind == EndKind::Done
            && matches!(task.phase, Phase::Planned { .. })
            && end.run.checked_add(1) == Some(task.run);
        if !is_here && !is_late_success && !is_before_next_start {
            self.apply_superseded_end(now, id, end, index);
            return;
        }
        let task = &mut job.tasks[index];
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if is_before_next_start {
            // The next run was never ordered.
            task.run = end.run;
        }
        if !job.has_begun {
            job.has_begun = true;
        }
        let step = job.step(index);
        let (is_gang, is_long_running) = (step.is_gang, step.is_long_running);
        let slot = job.slot(index);
        let task_ref: TaskRef = (end.task.job.clone(), index);
        if is_here && end.kind == EndKind::Done {
            self.note_run_time(now, id, &end.task.job, index);
        }
        self.track_failures(now, id, end.kind);
        let outcome = match end.kind {
            // A long-running task is restarted however it ends.
            EndKind::Done | EndKind::Failed if is_long_running => None,
            EndKind::Done => Some(TaskOutcome::Done),
            EndKind::Failed if is_gang => {
                self.record_gang_failure(&end.task.job, slot, end.run);
                None
            }
            EndKind::Failed => Some(TaskOutcome::Failed),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => None,
        };
        self.end_run(now, &task_ref, outcome);
        self.check_attempt_limit(now, &task_ref);
    }

    /// Applies the end of a run that was superseded by another.
    fn apply_superseded_end(&mut self, now: Now, id: &ExecutorId, end: &EndedTask, index: usize) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        if !job.may_be_superseded(index, end.run) || !job.step(index).counts_completions() {
            return;
        }
        match end.kind {
            EndKind::Done => self.freeze(now, id, end),
            EndKind::Failed => {
                // The failures of a settled task don't count any more.
                if let Some(task) = job.tasks.get_whole_mut(index) {
                    task.note_failure(end.run);
                    self.mark_changed(&end.task.job);
                }
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    fn track_failures(&mut self, now: Now, id: &ExecutorId, kind: EndKind) {
        let Some(executor) = self.executors.get_mut(id) else { return };
        match kind {
            EndKind::Done => executor.consecutive_failures = 0,
            EndKind::Failed => {
                executor.consecutive_failures += 1;
                let excludes_failing = self.settings.policy.excludes_failing_executors;
                if excludes_failing && executor.consecutive_failures >= EXCLUSION_FAILURES {
                    let doublings = (executor.consecutive_failures - EXCLUSION_FAILURES).min(2);
                    let exclusion = (FIRST_EXCLUSION * (1 << doublings)).min(MAX_EXCLUSION);
                    executor.avoid_until = executor.avoid_until.max(now + exclusion);
                }
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    /// Fails the job once a task has used up the attempts that its queue allows.
    fn check_attempt_limit(&mut self, now: Now, task_ref: &TaskRef) {
        let Some(job) = self.jobs.get(&task_ref.0) else { return };
        let Some(queue) = self.queues.get(&job.queue) else { return };
        let failures = job.tasks[task_ref.1].failures();
        let is_used_up = queue.max_attempts > 0 && failures >= queue.max_attempts;
        if is_used_up && !job.is_over() && !job.step(task_ref.1).is_long_running {
            self.finish_job(now, &task_ref.0, JobOutcome::Failed);
        }
    }

    /// Compares the reported running tasks with the expected ones.
    fn apply_running_tasks(
        &mut self,
        now: Now,
        sent_at: Now,
        id: &ExecutorId,
        report: &HoldReport,
        is_complete: bool,
    ) {
        let mut present: BTreeMap<TaskRef, RunNumber> = BTreeMap::new();
        let mut has_unaccounted_runs = false;
        for running in &report.running {
            let known = self.jobs.get_mut(&running.task.job).and_then(|job| {
                let index = job.index(&running.task)?;
                let task = &job.tasks[index];
                let is_here = task.phase.executor() == Some(id) && task.run == running.run;
                is_here.then_some((job, index))
            });
            let Some((job, index)) = known else {
                has_unaccounted_runs = true;
                self.stop_unaccounted_run(id, running);
                continue;
            };
            let is_long_running = job.step(index).is_long_running;
            let may_continue = job.may_continue(index);
            let task = &mut job.tasks[index];
            present.insert((job.id.clone(), index), running.run);
            if !running.checkpoint.is_empty() {
                task.checkpoint.clone_from(&running.checkpoint);
            }
            task.last_reported_at = Some(now);
            task.speed_percent = running.speed_percent;
            if may_continue {
                task.revert_stop(now, MAX_STOP_DELAY);
            }
            let is_kept = !matches!(task.phase, Phase::Stopping { .. });
            let is_at_work = running.speed_percent >= 100 && is_kept;
            task.at_work_since = if is_at_work { task.at_work_since.or(Some(now)) } else { None };
            if task.confirmed_at.is_none() {
                let is_inherited = matches!(task.phase, Phase::Inherited { .. });
                task.confirmed_at = Some(if is_inherited { Now::ZERO } else { now });
                if let Some(executor) = self.executors.get_mut(id) {
                    executor.note_confirmed_start(
                        now,
                        &(job.id.clone(), index),
                        task.isolation_time(is_long_running),
                    );
                }
            }
            if matches!(task.phase, Phase::Inherited { .. } | Phase::Starting { .. }) {
                task.phase = Phase::Running { executor: id.clone(), since: now };
                if !job.has_begun {
                    job.has_begun = true;
                    self.mark_changed(&running.task.job);
                }
            }
        }
        if let Some(executor) = self.executors.get_mut(id) {
            executor.has_unaccounted_runs = has_unaccounted_runs;
        }
        self.clear_stable_tasks(id, present.keys());
        if is_complete {
            self.settle_unlisted_tasks(now, sent_at, id, &present);
        }
    }

    /// Stops a run that belongs to no task placed there: its job has ended, or a newer run exists.
    fn stop_unaccounted_run(&mut self, id: &ExecutorId, running: &crate::executor::RunningTask) {
        self.commands.push(Command::Stop {
            executor: id.clone(),
            task: running.task.clone(),
            run: running.run,
            reason: StopReason::Superseded,
        });
    }

    /// Settles the tasks that were placed on an executor and that its report doesn't list.
    fn settle_unlisted_tasks(
        &mut self,
        now: Now,
        sent_at: Now,
        id: &ExecutorId,
        present: &BTreeMap<TaskRef, RunNumber>,
    ) {
        let Some(executor) = self.executors.get(id) else { return };
        let incarnation = executor.incarnation;
        let unlisted: Vec<TaskRef> =
            executor.tasks.iter().filter(|task| !present.contains_key(*task)).cloned().collect();
        let stop_bound = self.settings.stop_timeout + STOP_MARGIN;
        for task_ref in unlisted {
            let Some(job) = self.jobs.get_mut(&task_ref.0) else { continue };
            let task = &mut job.tasks[task_ref.1];
            match &task.phase {
                // The fence prevents a late order of a previous owner from starting the task now.
                Phase::Inherited { .. } => {
                    match (task.placed_incarnation, incarnation) {
                        (Some(placed), Some(current)) if placed != current => {
                            let signs = LastContact::default();
                            let tasks = std::slice::from_ref(&task_ref);
                            self.note_crash(now, id, true, signs, tasks);
                        }
                        // An end of the run would be listed.
                        (Some(_), Some(_)) => task.note_refused(),
                        _ => {}
                    }
                    self.end_run(now, &task_ref, None);
                }
                Phase::Stopping { order: StopOrder::Taken { at }, .. }
                    if sent_at > *at + stop_bound =>
                {
                    // An end of the run would have been listed before.
                    if task.confirmed_at.is_none() {
                        task.note_refused();
                    }
                    self.end_run(now, &task_ref, None);
                }
                Phase::Starting { .. } if task.unanswered_at.is_some_and(|at| sent_at > at) => {
                    self.stop_task(now, &task_ref, StopReason::StartUnsure);
                    self.stop_other_members(now, &task_ref);
                }
                // The start was confirmed before the request was sent, yet the run is neither
                // running nor ended: stop it to be certain.
                Phase::Running { since, .. } if sent_at > *since => {
                    self.stop_task(now, &task_ref, StopReason::Unlisted);
                }
                _ => {}
            }
        }
    }
}

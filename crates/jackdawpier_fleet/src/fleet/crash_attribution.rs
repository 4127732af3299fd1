//! Attributes executor crashes to the tasks that ran there, and gives up tasks that keep causing them.
//!
//! See `docs/design/lives.md`.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId},
};

use super::{
    Fleet, fitting::has_room_for, placement_round::PlacementRound, recent_crashes::ExecutorCrash,
};
use crate::{
    crash::{Crash, RunTimeBounds},
    executor::{Executor, IsolatedStart, LastContact, TaskRef},
    job::{Job, Phase, Task, TaskIndex},
    record::JobOutcome,
    spec::{RunNumber, StepSpec, TaskKey},
};

/// A crash later than this after a start isn't attributed to the start itself. About ten times the time
/// that a task which crashes its executor on start needs for it.
pub(super) const START_CRASH_WINDOW: Duration = Duration::from_millis(100);
/// Maximum age of an executor's last report for its runs to count as present at the crash: one long poll
/// and its timeout. Runs may have ended unreported after that.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// An executor that is still in the list of machines this long after it stopped answering was partitioned:
/// its runs may have ended unreported.
const LISTED_AFTER_SILENCE: Duration = Duration::from_millis(300);
/// Maximum gap between lists of machines. After a longer one the executor may have been partitioned, or
/// its machine taken, before the loss was noticed.
const MAX_LISTING_GAP: Duration = Duration::from_secs(2);
/// Maximum time between an executor's last answer and an order to it. An executor that was silent for
/// longer may already have crashed when the order was sent.
const MAX_SILENCE_BEFORE_ORDER: Duration = Duration::from_millis(300);
/// A long-running task is cleared of this and earlier crashes after this run time. It is present at every
/// crash of its executor, whatever the cause, so its presence alone is no evidence.
const CLEARING_RUN_TIME: Duration = Duration::from_secs(2);
/// Maximum number of executors per service that are reserved for waiting long-running suspects at the same
/// time.
const MAX_RESERVED_FOR_SUSPECTS: usize = 2;

/// A crash of an executor that counts against a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskCrash {
    /// The task.
    pub task: TaskKey,
    /// The run number.
    pub run: RunNumber,
    /// The executor.
    pub executor: ExecutorId,
    /// The evidence against the task.
    pub crash: Crash,
    /// Number of crashes that count against the task so far.
    pub crashes: usize,
}

/// A task that isn't started again because executors crashed while they ran it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GivenUpTask {
    /// The task.
    pub task: TaskKey,
    /// Number of its last run.
    pub run: RunNumber,
    /// Number of crashes that count against the task.
    pub crashes: usize,
    /// Its job is long-running, so the job's other tasks keep running.
    pub job_goes_on: bool,
}

impl Fleet {
    /// Takes the crashes that were counted against tasks since the last call.
    pub fn take_task_crashes(&mut self) -> Vec<TaskCrash> {
        std::mem::take(&mut self.task_crashes)
    }

    /// Takes the tasks that were given up since the last call.
    pub fn take_given_up_tasks(&mut self) -> Vec<GivenUpTask> {
        std::mem::take(&mut self.given_up)
    }

    /// Counts the crash of an executor against the tasks that were ordered there; `contact` are the last
    /// contacts with the incarnation that crashed.
    pub(super) fn note_crash(
        &mut self,
        now: Now,
        id: &ExecutorId,
        is_certain: bool,
        contact: LastContact,
        tasks: &[TaskRef],
    ) {
        let contact = LastContact { listing_gap: self.machines.listing_gap(now), ..contact };
        let crashes: Vec<(&TaskRef, Crash)> = tasks
            .iter()
            .filter_map(|one| {
                let job = self.jobs.get(&one.0)?;
                let (task, step) = (&job.tasks[one.1], job.step(one.1));
                Some((one, assess_crash(now, task, step, contact, is_certain)?))
            })
            .collect();
        let isolated = self.isolated_task(id, contact);
        let runs = crashes.iter().map(|(task, crash)| ((*task).clone(), crash.run)).collect();
        let lacks_recent_start = is_certain
            && tasks.iter().all(|task| self.observed_run_time(task, contact) >= CLEARING_RUN_TIME);
        self.recent_crashes.note(ExecutorCrash {
            at: now,
            service: self.executors.get(id).and_then(Executor::service),
            is_isolated: isolated.is_some(),
            lacks_recent_start,
            runs,
        });
        let confirmed =
            crashes.iter().filter_map(|(task, _)| self.confirmed_run_time(task, contact));
        let shortest = confirmed.min();
        let has_recent_start = shortest.is_some_and(|run_time| run_time < CLEARING_RUN_TIME);
        let mut assessed: Vec<(&TaskRef, Crash)> = Vec::new();
        for (task_ref, mut crash) in crashes {
            if self.is_long_running_task(task_ref)
                && self.observed_run_time(task_ref, contact) >= CLEARING_RUN_TIME
            {
                self.clear_crashes(task_ref);
                continue;
            }
            let run_time = self.confirmed_run_time(task_ref, contact);
            // A run whose start was never confirmed may not have begun at all.
            let has_likelier_cause = match (run_time, shortest) {
                (Some(run_time), Some(shortest)) => {
                    !crash.is_at_start && run_time > shortest + START_CRASH_WINDOW
                }
                _ => has_recent_start,
            };
            crash.has_likelier_cause |= has_likelier_cause && self.settings.policy.weighs_run_time;
            crash.is_isolated = self.start_confirmed_here(task_ref)
                && isolated.as_ref().is_some_and(|one| self.is_same_task_or_gang(one, task_ref));
            assessed.push((task_ref, crash));
        }
        let likely = assessed.iter().filter(|(_, crash)| !crash.has_likelier_cause).count() as u32;
        for (task_ref, mut crash) in assessed {
            crash.alternatives = likely.saturating_sub(u32::from(!crash.has_likelier_cause));
            self.attribute_crash(id, task_ref, crash);
        }
    }

    /// Returns the time between the confirmation of a task's start and the executor's last answer; none if
    /// the start was never confirmed.
    fn confirmed_run_time(&self, task_ref: &TaskRef, contact: LastContact) -> Option<Duration> {
        self.task(task_ref).and_then(|task| run_time(task, contact))
    }

    /// Returns for how long this owner has observed a task running.
    fn observed_run_time(&self, task_ref: &TaskRef, contact: LastContact) -> Duration {
        let confirmed_at = self.task(task_ref).and_then(|task| task.confirmed_at);
        let observed_from = confirmed_at.map(|at| at.max(self.started_at));
        observed_from.map(|at| contact.last_answer.saturating_sub(at)).unwrap_or_default()
    }

    /// Returns whether the executor has confirmed the start of a task to this owner.
    fn start_confirmed_here(&self, task_ref: &TaskRef) -> bool {
        let confirmed_at = self.task(task_ref).and_then(|task| task.confirmed_at);
        confirmed_at.is_some_and(|at| at >= self.started_at)
    }

    fn is_long_running_task(&self, task_ref: &TaskRef) -> bool {
        self.jobs.get(&task_ref.0).is_some_and(|job| job.step(task_ref.1).is_long_running)
    }

    /// Counts one crash against a task, and records it for the log.
    fn attribute_crash(&mut self, id: &ExecutorId, task_ref: &TaskRef, crash: Crash) {
        let Some(job) = self.jobs.get_mut(&task_ref.0) else { return };
        let task_key = job.key(task_ref.1);
        let task = &mut job.tasks[task_ref.1];
        if !task.note_crash(crash.clone()) {
            return;
        }
        self.isolations.note_suspect(task_ref.clone());
        let (run, crashes) = (task.run, task.crashes().len());
        // The run may still be open for this owner, so the crash is written for the next owner now.
        self.mark_changed(&task_ref.0);
        self.task_crashes.push(TaskCrash {
            task: task_key,
            run,
            executor: id.clone(),
            crash,
            crashes,
        });
    }

    /// Returns the task that ran in isolation on an executor when the executor last answered.
    fn isolated_task(&self, id: &ExecutorId, contact: LastContact) -> Option<TaskRef> {
        let isolated_start = self.executors.get(id)?.isolated_start.as_ref()?;
        let is_active = isolated_start.until.is_none_or(|until| contact.last_answer < until);
        is_active.then(|| isolated_start.task.clone())
    }

    /// Returns whether two references name the same task or members of the same gang.
    fn is_same_task_or_gang(&self, one: &TaskRef, other: &TaskRef) -> bool {
        let Some(job) = self.jobs.get(&one.0).filter(|_| one.0 == other.0) else { return false };
        let is_gang = job.step(one.1).is_gang && job.slot(one.1) == job.slot(other.1);
        is_gang || one.1 == other.1
    }

    pub(super) fn task(&self, task_ref: &TaskRef) -> Option<&Task> {
        self.jobs.get(&task_ref.0).map(|job| &job.tasks[task_ref.1])
    }

    fn clear_crashes(&mut self, task_ref: &TaskRef) {
        let job = self.jobs.get_mut(&task_ref.0);
        let task = job.and_then(|job| job.tasks.get_whole_mut(task_ref.1));
        if task.is_some_and(Task::clear_crashes) {
            self.mark_changed(&task_ref.0);
        }
    }

    /// Forgets the crashes of long-running tasks that have been observed for long enough; `running` are the
    /// runs of a report.
    pub(super) fn clear_stable_tasks<'a>(
        &mut self,
        id: &ExecutorId,
        running: impl Iterator<Item = &'a TaskRef>,
    ) {
        let Some(contact) = self.executors.get(id).map(Executor::last_contact) else { return };
        let is_cleared = |task: &&TaskRef| {
            self.is_long_running_task(task)
                && self.observed_run_time(task, contact) >= CLEARING_RUN_TIME
        };
        let cleared: Vec<&TaskRef> = running.filter(is_cleared).collect();
        cleared.into_iter().for_each(|task| self.clear_crashes(task));
    }

    /// Returns whether a task has to start in isolation.
    pub(super) fn is_suspect(&self, job: &Job, index: TaskIndex) -> bool {
        let is_long_running = job.step(index).is_long_running;
        job.tasks[index].isolation_time(is_long_running).is_some()
            && self.settings.policy.isolates_suspects
    }

    /// Returns whether a suspect may start on an executor: the executor has answered recently, so that a
    /// crash can be attributed, and no other task has just started there but members of the same gang.
    pub(super) fn can_isolate(
        &self,
        now: Now,
        executor: &Executor,
        job: &Job,
        index: TaskIndex,
    ) -> bool {
        let has_answered_recently = executor.answered_at + MAX_SILENCE_BEFORE_ORDER >= now;
        let is_retry_allowed =
            !job.is_on_probation(index) || self.may_start_probation(now, job, index);
        let is_eligible =
            has_answered_recently && executor.has_answered_since_isolation() && is_retry_allowed;
        is_eligible && self.unproven_task_count(executor, job, index) == 0
    }

    /// Returns the number of tasks on an executor that started too recently to be ruled out as the cause of
    /// a crash. Members of the task's own gang don't count.
    fn unproven_task_count(&self, executor: &Executor, job: &Job, index: TaskIndex) -> usize {
        let is_gang = job.step(index).is_gang;
        let required_run_time = required_run_time(job, index);
        let is_unproven = |(id, other): &&TaskRef| {
            let is_same_gang = *id == job.id && job.slot(*other) == job.slot(index);
            match self.jobs.get(id).map(|job| &job.tasks[*other].phase) {
                _ if is_gang && is_same_gang => false,
                Some(Phase::Running { since, .. }) => {
                    *since + required_run_time > executor.answered_at
                }
                phase => !matches!(phase, Some(Phase::Stopping { .. })),
            }
        };
        executor.tasks.iter().filter(is_unproven).count()
    }

    /// Reserves for this round the executor on which a long-running suspect could soonest start in
    /// isolation. In a busy pool other tasks would take any free room first.
    pub(super) fn reserve_for_suspect(
        &self,
        now: Now,
        id: &JobId,
        index: TaskIndex,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[id];
        if !job.step(index).is_long_running
            || round.reserved_for_suspects >= MAX_RESERVED_FOR_SUSPECTS
        {
            return;
        }
        let permissions = self.permissions(job, index);
        let target = round
            .executors
            .iter()
            .filter_map(|id| Some((id, self.executors.get(id)?)))
            .filter(|(_, executor)| has_room_for(executor, job, index, None))
            .filter(|(_, executor)| !executor.is_isolating(now))
            .filter(|(id, executor)| permissions.allows(id, executor) == Some(true))
            .min_by_key(|(id, executor)| (self.unproven_task_count(executor, job, index), *id))
            .map(|(id, _)| id.clone());
        if let Some(target) = target {
            round.retain_executors(|id| *id != target);
            round.reserved_for_suspects += 1;
        }
    }

    /// Keeps other tasks from starting beside a suspect that was just placed.
    pub(super) fn isolate_start(&mut self, executor: &ExecutorId, id: &JobId, index: TaskIndex) {
        let is_suspect = self.jobs.get(id).is_some_and(|job| self.is_suspect(job, index));
        if let Some(executor) = self.executors.get_mut(executor).filter(|_| is_suspect) {
            executor.isolated_start =
                Some(IsolatedStart { task: (id.clone(), index), until: None });
        }
    }

    /// Gives up a task that has crashed its executors too often, and fails its job. A long-running job
    /// continues without the task: stopping the others would exceed what their step may miss.
    pub(super) fn give_up(&mut self, now: Now, task_ref: &TaskRef) {
        let Some(job) = self.jobs.get_mut(&task_ref.0) else { return };
        let task = &job.tasks[task_ref.1];
        if job.is_over()
            || task.is_given_up
            || !task.is_given_up_after_crashes(job.has_long_running_tasks())
        {
            return;
        }
        let given_up = GivenUpTask {
            task: job.key(task_ref.1),
            run: task.run,
            crashes: task.crashes().len(),
            job_goes_on: job.has_long_running_tasks(),
        };
        job.tasks[task_ref.1].is_given_up = true;
        self.clear_co_located_crashes(task_ref);
        if given_up.job_goes_on {
            self.mark_changed(&task_ref.0);
        } else {
            self.finish_job(now, &task_ref.0, JobOutcome::Failed);
        }
        self.given_up.push(given_up);
    }
}

/// Returns how long other tasks must have run before a suspect may start beside them. A long-running
/// suspect can wait until a neighbour that crashes its executor would have done so.
fn required_run_time(job: &Job, index: TaskIndex) -> Duration {
    let isolation_time = job.tasks[index].isolation_time(true);
    isolation_time
        .filter(|_| job.step(index).is_long_running)
        .map_or(START_CRASH_WINDOW, |time| time.max(CLEARING_RUN_TIME))
}

/// Returns the time between the confirmation of a task's start and the executor's last answer; none if
/// the start was never confirmed.
fn run_time(task: &Task, contact: LastContact) -> Option<Duration> {
    task.confirmed_at.map(|at| contact.last_answer.saturating_sub(at))
}

/// Returns the evidence of an executor's crash against a task; none if the run may not have begun at
/// all. A crash that is uncertain, or an order that was sent when the executor was already silent,
/// counts as having a likelier cause.
fn assess_crash(
    now: Now,
    task: &Task,
    step: &StepSpec,
    contact: LastContact,
    is_certain: bool,
) -> Option<Crash> {
    let run_time = run_time(task, contact);
    let may_have_begun = match task.phase {
        Phase::Planned { .. } => false,
        Phase::Inherited { .. } => true,
        _ => {
            run_time.is_some() || contact.last_answer + MAX_SILENCE_BEFORE_ORDER >= task.ordered_at
        }
    };
    if !may_have_begun {
        return None;
    }
    let was_unresponsive =
        run_time.is_none() && contact.first_failure.is_some_and(|at| at <= task.ordered_at);
    if was_unresponsive || !is_certain {
        return Some(Crash { run: task.run, has_likelier_cause: true, ..Crash::default() });
    }
    let may_be_stopped = contact.last_answer < task.late_stop_until;
    let is_stopping = may_be_stopped || matches!(task.phase, Phase::Stopping { .. });
    let was_running =
        run_time.is_some() && !is_stopping && !may_have_ended_unreported(now, task, step, contact);
    let is_confirmed = was_running && contact.is_current_until_crash(now);
    let is_at_start = run_time.is_none_or(|time| time <= START_CRASH_WINDOW);
    let bounds = run_time_bounds(now, task, contact).filter(|_| is_confirmed);
    Some(Crash { run: task.run, is_confirmed, is_at_start, run_time: bounds, ..Crash::default() })
}

/// Returns whether a run may have ended unreported before its executor crashed: the executor was listed
/// after it had failed to answer, so it was partitioned, and the run was due to end by now.
fn may_have_ended_unreported(now: Now, task: &Task, step: &StepSpec, contact: LastContact) -> bool {
    let was_partitioned = contact.first_failure.is_some_and(|at| contact.last_listing > at);
    was_partitioned && !step.is_long_running && task.ordered_at + step.estimate <= now
}

/// Returns the bounds of a task's run time at the crash of its executor; none if this owner didn't
/// order the run.
fn run_time_bounds(now: Now, task: &Task, contact: LastContact) -> Option<RunTimeBounds> {
    let least = run_time(task, contact).filter(|_| task.ordered_at > Now::ZERO)?;
    let most = contact.first_failure.unwrap_or(now).saturating_sub(task.ordered_at);
    Some(RunTimeBounds { least_ms: least.as_millis() as u64, most_ms: most.as_millis() as u64 })
}

impl LastContact {
    /// Returns whether the executor's last report still held when it crashed: the executor answered
    /// shortly before its first failure to answer, and hasn't been listed since.
    fn is_current_until_crash(&self, now: Now) -> bool {
        let silent_from = self.first_failure.unwrap_or(now);
        let was_listed_later = self.last_listing > silent_from + LISTED_AFTER_SILENCE;
        let is_noticed_in_time = now.saturating_sub(silent_from) <= MAX_REPORT_AGE
            && self.listing_gap <= MAX_LISTING_GAP;
        silent_from.saturating_sub(self.last_answer) <= MAX_REPORT_AGE
            && is_noticed_in_time
            && !was_listed_later
    }
}

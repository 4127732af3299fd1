//! Tasks that may be the cause when their executors crash, and those that are given up for it.
//!
//! See `docs/design/lives.md`.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId},
};

use super::{
    Fleet, placement::has_room_for, placement_round::PlacementRound, recent_crashes::ExecutorCrash,
};
use crate::{
    crash::{Crash, Lived},
    executor::{Executor, LastSigns, TaskRef, Watch},
    job::{Job, Phase, Task, TaskIndex},
    record::JobOutcome,
    spec::{RunNumber, StepSpec, TaskKey},
};

/// An executor that answers this long after a start has survived it: some ten times what a task that
/// crashes its executor at once takes for that.
const SUDDEN: Duration = Duration::from_millis(100);
/// What ran on an executor that has been silent for longer may have ended before it crashed: one long
/// poll and its timeout.
const KNOWN_FOR: Duration = Duration::from_millis(1500);
/// An executor that a list of machines names this long after it fell silent was cut off: what it ran may have ended
/// unheard.
const LIVED_ON: Duration = Duration::from_millis(300);
/// Where no list of machines was seen for this long an executor may have been cut off or taken before it was missed.
const LISTS_MISSED: Duration = Duration::from_secs(2);
/// An order without an answer tells something only of an executor that was heard of this shortly before
/// the order left; another one may have been gone by then.
const ALIVE_BEFORE_ORDER: Duration = Duration::from_millis(300);
/// A task that lasts and has run for this long is no cause, neither of this crash nor of earlier ones: it
/// has been at work, and is there whenever its executor crashes of another.
const LASTING_PROOF: Duration = Duration::from_secs(2);
/// Executors of a service that are kept from starting anything at a time, for suspects that wait.
const QUIETED_AT_ONCE: usize = 2;

/// A task under which an executor has crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskCrash {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: RunNumber,
    /// The executor.
    pub executor: ExecutorId,
    /// What is known of this crash.
    pub crash: Crash,
    /// Executors that have crashed under it by now.
    pub crashes: usize,
}

/// A task that isn't started again, or only after a pause if it lasts, since executors crash under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GivenUpTask {
    /// The task.
    pub task: TaskKey,
    /// Number of its last start.
    pub run: RunNumber,
    /// Executors that have crashed under it.
    pub crashes: usize,
    /// Its job lasts, so the other tasks of it go on.
    pub job_goes_on: bool,
}

impl Fleet {
    /// Tasks under which executors have crashed since the last call.
    pub fn take_task_crashes(&mut self) -> Vec<TaskCrash> {
        std::mem::take(&mut self.task_crashes)
    }

    /// Tasks that were given up since the last call.
    pub fn take_given_up_tasks(&mut self) -> Vec<GivenUpTask> {
        std::mem::take(&mut self.given_up)
    }

    /// Counts the crash of an executor against the tasks that were ordered there; `signs` are the last of
    /// the life that crashed.
    pub(super) fn note_crash(
        &mut self,
        now: Now,
        id: &ExecutorId,
        is_certain: bool,
        signs: LastSigns,
        tasks: &[TaskRef],
    ) {
        let signs = LastSigns { unlisted_for: self.machines.unlisted_for(now), ..signs };
        let crashes: Vec<(&TaskRef, Crash)> = tasks
            .iter()
            .filter_map(|one| {
                let job = self.jobs.get(&one.0)?;
                let (task, step) = (&job.tasks[one.1], job.step(one.1));
                Some((one, crash_under(now, task, step, signs, is_certain)?))
            })
            .collect();
        let watched = self.isolated_task(id, signs);
        let present = crashes.iter().map(|(task, crash)| ((*task).clone(), crash.run)).collect();
        let is_spontaneous =
            is_certain && tasks.iter().all(|task| self.seen_for(task, signs) >= LASTING_PROOF);
        self.recent_crashes.note(ExecutorCrash {
            at: now,
            service: self.executors.get(id).and_then(Executor::service),
            is_watched: watched.is_some(),
            is_spontaneous,
            present,
        });
        let confirmed = crashes.iter().filter_map(|(task, _)| self.lived(task, signs));
        let shortest = confirmed.min();
        let has_newcomer = shortest.is_some_and(|lived| lived < LASTING_PROOF);
        for (task_ref, mut crash) in crashes {
            if self.lasts(task_ref) && self.seen_for(task_ref, signs) >= LASTING_PROOF {
                self.clear_crashes(task_ref);
                continue;
            }
            let lived = self.lived(task_ref, signs);
            // One whose start was never confirmed may not have begun at all.
            let has_likelier_cause = match (lived, shortest) {
                (Some(lived), Some(shortest)) => !crash.is_sudden && lived > shortest + SUDDEN,
                _ => has_newcomer,
            };
            crash.is_shared |= has_likelier_cause && self.settings.policy.weighs_life;
            crash.is_watched = self.saw_start(task_ref)
                && watched.as_ref().is_some_and(|one| self.start_together(one, task_ref));
            self.blame(id, task_ref, crash);
        }
    }

    /// How long an executor was heard of after it had confirmed the start of a task; none if it never did.
    fn lived(&self, task_ref: &TaskRef, signs: LastSigns) -> Option<Duration> {
        self.task(task_ref).and_then(|task| survived(task, signs))
    }

    /// For how long this owner has seen a task alive.
    fn seen_for(&self, task_ref: &TaskRef, signs: LastSigns) -> Duration {
        let confirmed_at = self.task(task_ref).and_then(|task| task.confirmed_at);
        let seen_from = confirmed_at.map(|at| at.max(self.started_at));
        seen_from.map(|at| signs.last_answer.saturating_sub(at)).unwrap_or_default()
    }

    /// Whether the executor has confirmed the start of a task to this owner.
    fn saw_start(&self, task_ref: &TaskRef) -> bool {
        let confirmed_at = self.task(task_ref).and_then(|task| task.confirmed_at);
        confirmed_at.is_some_and(|at| at >= self.started_at)
    }

    fn lasts(&self, task_ref: &TaskRef) -> bool {
        self.jobs.get(&task_ref.0).is_some_and(|job| job.step(task_ref.1).is_long_running)
    }

    fn blame(&mut self, id: &ExecutorId, task_ref: &TaskRef, crash: Crash) {
        let Some(job) = self.jobs.get_mut(&task_ref.0) else { return };
        let task_key = job.key(task_ref.1);
        let task = &mut job.tasks[task_ref.1];
        if !task.note_crash(crash.clone()) {
            return;
        }
        let (run, crashes) = (task.run, task.crashes().len());
        // The run may not be over for this owner yet, and the next one has to know.
        self.mark_changed(&task_ref.0);
        self.task_crashes.push(TaskCrash {
            task: task_key,
            run,
            executor: id.clone(),
            crash,
            crashes,
        });
    }

    /// The task that was watched on an executor when it was last heard of.
    fn isolated_task(&self, id: &ExecutorId, signs: LastSigns) -> Option<TaskRef> {
        let watch = self.executors.get(id)?.watch.as_ref()?;
        let is_on = watch.until.is_none_or(|until| signs.last_answer < until);
        is_on.then(|| watch.task.clone())
    }

    /// Whether two tasks are one, or members of one gang.
    fn start_together(&self, one: &TaskRef, other: &TaskRef) -> bool {
        let Some(job) = self.jobs.get(&one.0).filter(|_| one.0 == other.0) else { return false };
        let is_gang = job.step(one.1).is_gang && job.slot(one.1) == job.slot(other.1);
        is_gang || one.1 == other.1
    }

    pub(super) fn task(&self, task_ref: &TaskRef) -> Option<&Task> {
        self.jobs.get(&task_ref.0).map(|job| &job.tasks[task_ref.1])
    }

    fn clear_crashes(&mut self, task_ref: &TaskRef) {
        let job = self.jobs.get_mut(&task_ref.0);
        if job.is_some_and(|job| job.tasks[task_ref.1].clear_crashes()) {
            self.mark_changed(&task_ref.0);
        }
    }

    /// Clears the tasks that last and have been seen alive for long enough, by a report of these runs.
    pub(super) fn clear_stable_tasks<'a>(
        &mut self,
        id: &ExecutorId,
        running: impl Iterator<Item = &'a TaskRef>,
    ) {
        let Some(signs) = self.executors.get(id).map(Executor::last_signs) else { return };
        let is_cleared =
            |task: &&TaskRef| self.lasts(task) && self.seen_for(task, signs) >= LASTING_PROOF;
        let cleared: Vec<&TaskRef> = running.filter(is_cleared).collect();
        cleared.into_iter().for_each(|task| self.clear_crashes(task));
    }

    /// Whether a task is watched when it starts.
    pub(super) fn is_suspect(&self, job: &Job, index: TaskIndex) -> bool {
        let lasts = job.step(index).is_long_running;
        job.tasks[index].watched_for(lasts).is_some() && self.settings.policy.watches_suspects
    }

    /// Whether a task can be watched on an executor: it was heard of a moment ago, so that its end means
    /// something, and all else has survived its start there but members of its own gang.
    pub(super) fn can_isolate(
        &self,
        now: Now,
        executor: &Executor,
        job: &Job,
        index: TaskIndex,
    ) -> bool {
        let is_fresh = executor.answered_at + ALIVE_BEFORE_ORDER >= now;
        let may_try = !job.is_on_trial(index) || self.may_start_probation(now, job, index);
        let may_watch = is_fresh && executor.has_survived_watch() && may_try;
        may_watch && self.newcomers(executor, job, index) == 0
    }

    /// Tasks on an executor that may yet crash of their start, other than members of a task's own gang.
    fn newcomers(&self, executor: &Executor, job: &Job, index: TaskIndex) -> usize {
        let is_gang = job.step(index).is_gang;
        let survives_after = survives_after(job, index);
        let is_newcomer = |(id, other): &&TaskRef| {
            let is_own = *id == job.id && job.slot(*other) == job.slot(index);
            match self.jobs.get(id).map(|job| &job.tasks[*other].phase) {
                _ if is_gang && is_own => false,
                Some(Phase::Running { since, .. }) => {
                    *since + survives_after > executor.answered_at
                }
                phase => !matches!(phase, Some(Phase::Stopping { .. })),
            }
        };
        executor.tasks.iter().filter(is_newcomer).count()
    }

    /// Lets nothing start in this round on the executor where a suspect task that lasts could be watched
    /// soonest. In a busy pool there is none otherwise: whatever room there is is taken at once.
    pub(super) fn reserve_for_suspect(
        &self,
        now: Now,
        id: &JobId,
        index: TaskIndex,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[id];
        if !job.step(index).is_long_running || round.reserved_for_suspects >= QUIETED_AT_ONCE {
            return;
        }
        let quietest = round
            .executors
            .iter()
            .filter_map(|id| Some((id, self.executors.get(id)?)))
            .filter(|(_, executor)| has_room_for(executor, job, index, None))
            .filter(|(_, executor)| !executor.is_watching(now))
            .min_by_key(|(id, executor)| (self.newcomers(executor, job, index), *id))
            .map(|(id, _)| id.clone());
        if let Some(quietest) = quietest {
            round.executors.retain(|id| *id != quietest);
            round.reserved_for_suspects += 1;
        }
    }

    /// Keeps other tasks from starting beside one that is watched.
    pub(super) fn isolate_start(&mut self, executor: &ExecutorId, id: &JobId, index: TaskIndex) {
        let is_suspect = self.jobs.get(id).is_some_and(|job| self.is_suspect(job, index));
        if let Some(executor) = self.executors.get_mut(executor).filter(|_| is_suspect) {
            executor.watch = Some(Watch { task: (id.clone(), index), until: None });
        }
    }

    /// Ends the job of a task that isn't started again. A job that lasts goes on without it: its other
    /// tasks serve, and stopping them would take away more at once than their step may miss.
    pub(super) fn give_up(&mut self, now: Now, task_ref: &TaskRef) {
        let Some(job) = self.jobs.get_mut(&task_ref.0) else { return };
        let task = &job.tasks[task_ref.1];
        if job.is_over() || task.is_given_up || !task.crashes_too_often(job.lasts()) {
            return;
        }
        let given_up = GivenUpTask {
            task: job.key(task_ref.1),
            run: task.run,
            crashes: task.crashes().len(),
            job_goes_on: job.lasts(),
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

/// How long others have to be there before a task is watched beside them. One that lasts can wait until
/// the executors that it saw crash would have crashed by then.
fn survives_after(job: &Job, index: TaskIndex) -> Duration {
    let watched_for = job.tasks[index].watched_for(true);
    watched_for
        .filter(|_| job.step(index).is_long_running)
        .map_or(SUDDEN, |time| time.max(LASTING_PROOF))
}

/// As [`Fleet::lived`]; none if the start was never confirmed.
fn survived(task: &Task, signs: LastSigns) -> Option<Duration> {
    task.confirmed_at.map(|at| signs.last_answer.saturating_sub(at))
}

/// What the crash of its executor says of a task; none if the task may not have been there at all. One that isn't
/// certain, or of a task whose order left when the executor had fallen silent, only counts as one that may have been.
fn crash_under(
    now: Now,
    task: &Task,
    step: &StepSpec,
    signs: LastSigns,
    is_certain: bool,
) -> Option<Crash> {
    let survived = survived(task, signs);
    let may_have_begun = match task.phase {
        Phase::Planned { .. } => false,
        Phase::Doubt { .. } => true,
        _ => survived.is_some() || signs.last_answer + ALIVE_BEFORE_ORDER >= task.ordered_at,
    };
    if !may_have_begun {
        return None;
    }
    let was_silent =
        survived.is_none() && signs.first_failure.is_some_and(|at| at <= task.ordered_at);
    if was_silent || !is_certain {
        return Some(Crash { run: task.run, is_shared: true, ..Crash::default() });
    }
    let may_be_stopped = signs.last_answer < task.may_stop_until;
    let is_stopping = may_be_stopped || matches!(task.phase, Phase::Stopping { .. });
    let was_there = survived.is_some() && !is_stopping && !may_have_ended(now, task, step, signs);
    let is_confirmed = was_there && signs.hold_until_end(now);
    let is_sudden = survived.is_none_or(|time| time <= SUDDEN);
    let lived = lived_between(now, task, signs).filter(|_| is_confirmed);
    Some(Crash { run: task.run, is_confirmed, is_sudden, lived, ..Crash::default() })
}

/// Whether a run may have ended unheard before its executor crashed: a list of machines has named the executor since
/// it failed to answer, so it was cut off, and the run was due to end by now.
fn may_have_ended(now: Now, task: &Task, step: &StepSpec, signs: LastSigns) -> bool {
    let was_cut_off = signs.first_failure.is_some_and(|at| signs.last_listing > at);
    was_cut_off && !step.is_long_running && task.ordered_at + step.estimate <= now
}

/// How long a task had lived when its executor crashed; none if this owner hasn't ordered it.
fn lived_between(now: Now, task: &Task, signs: LastSigns) -> Option<Lived> {
    let least = survived(task, signs).filter(|_| task.ordered_at > Now::ZERO)?;
    let most = signs.first_failure.unwrap_or(now).saturating_sub(task.ordered_at);
    Some(Lived { least_ms: least.as_millis() as u64, most_ms: most.as_millis() as u64 })
}

impl LastSigns {
    /// Whether what the executor said of its runs holds until its crash: it had just answered when it first
    /// failed to, and nobody has seen it alive since.
    fn hold_until_end(&self, now: Now) -> bool {
        let silent_from = self.first_failure.unwrap_or(now);
        let lived_on = self.last_listing > silent_from + LIVED_ON;
        let is_prompt =
            now.saturating_sub(silent_from) <= KNOWN_FOR && self.unlisted_for <= LISTS_MISSED;
        silent_from.saturating_sub(self.last_answer) <= KNOWN_FOR && is_prompt && !lived_on
    }
}

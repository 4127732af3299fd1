//! Tasks that may be the cause when their executors crash, and those that are given up for it.
//!
//! See `docs/design/lives.md`.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId},
};

use super::Fleet;
use crate::{
    crash::{Crash, Suspicion, suspicion},
    executor::{Executor, LastSigns, TaskRef, Watch},
    job::{Job, Phase, Task, TaskIndex},
    record::JobOutcome,
    spec::{RunNumber, TaskKey},
};

/// An executor that answers this long after a start has survived it: some ten times what a task that
/// crashes its executor at once takes for that.
const SUDDEN: Duration = Duration::from_millis(100);
/// What ran on an executor that has been silent for longer may have ended before it crashed: one long
/// poll and its timeout.
const KNOWN_FOR: Duration = Duration::from_millis(1500);
/// An order without an answer tells something only of an executor that was heard of this shortly before
/// the order left; another one may have been gone by then.
const ALIVE_BEFORE_ORDER: Duration = Duration::from_millis(300);
/// A task that lasts and has run for this long isn't what its executor crashed of, nor earlier ones:
/// it may see any number of crashes in its life.
const LASTING_PROOF: Duration = Duration::from_secs(10);

/// A task under which an executor has crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blame {
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
    /// The task is given up, and its job with it.
    pub is_given_up: bool,
}

impl Fleet {
    /// Tasks under which executors have crashed since the last call.
    pub fn take_blames(&mut self) -> Vec<Blame> {
        std::mem::take(&mut self.blames)
    }

    /// Counts the crash of an executor against a task that was ordered there; `signs` are the last of the
    /// life that crashed.
    pub(super) fn note_crash(
        &mut self,
        now: Now,
        id: &ExecutorId,
        signs: LastSigns,
        task_ref: &TaskRef,
    ) {
        let Some(job) = self.jobs.get_mut(&task_ref.0) else { return };
        let lasts = job.step(task_ref.1).is_long_running;
        let key = job.key(task_ref.1);
        let task = &mut job.tasks[task_ref.1];
        if lasts && survived(task, signs).is_some_and(|time| time >= LASTING_PROOF) {
            task.clear_crashes();
            return;
        }
        let Some(crash) = crash_under(now, task, signs) else { return };
        task.note_crash(crash.clone());
        let crashes = task.crashes().len();
        let is_given_up = suspicion(task.crashes()) == Suspicion::Plain;
        let (run, executor) = (task.run, id.clone());
        self.blames.push(Blame { task: key, run, executor, crash, crashes, is_given_up });
    }

    /// Whether a task is watched when it starts.
    pub(super) fn is_suspect(&self, job: &Job, index: TaskIndex) -> bool {
        let is_watched = matches!(suspicion(job.tasks[index].crashes()), Suspicion::Watched(_));
        is_watched && self.settings.policy.watches_suspects
    }

    /// Whether a task can be watched on an executor: it was heard of a moment ago, so that its end means
    /// something, and nothing else has yet to begin there but members of its own gang.
    pub(super) fn can_watch(
        &self,
        now: Now,
        executor: &Executor,
        job: &Job,
        index: TaskIndex,
    ) -> bool {
        let is_gang = job.step(index).is_gang;
        let has_begun = |(id, other): &TaskRef| {
            if is_gang && *id == job.id && job.slot(*other) == job.slot(index) {
                return true;
            }
            let phase = self.jobs.get(id).map(|job| &job.tasks[*other].phase);
            matches!(phase, Some(Phase::Running { .. } | Phase::Stopping { .. }))
        };
        executor.answered_at + ALIVE_BEFORE_ORDER >= now && executor.tasks.iter().all(has_begun)
    }

    /// Keeps other tasks from starting beside one that is watched.
    pub(super) fn watch_start(&mut self, executor: &ExecutorId, id: &JobId, index: TaskIndex) {
        let is_suspect = self.jobs.get(id).is_some_and(|job| self.is_suspect(job, index));
        if let Some(executor) = self.executors.get_mut(executor).filter(|_| is_suspect) {
            executor.watch = Some(Watch { task: (id.clone(), index), until: None });
        }
    }

    /// Ends the job of a task with plain evidence against it.
    pub(super) fn give_up_if_plain(&mut self, now: Now, task_ref: &TaskRef) {
        let Some(job) = self.jobs.get(&task_ref.0) else { return };
        let is_plain = suspicion(job.tasks[task_ref.1].crashes()) == Suspicion::Plain;
        if is_plain && !job.is_over() {
            self.finish(now, &task_ref.0, JobOutcome::Failed);
        }
    }
}

/// How long an executor was heard of after it had confirmed the start of a task; none if it never did.
fn survived(task: &Task, signs: LastSigns) -> Option<Duration> {
    task.confirmed_at.map(|at| signs.last_answer.saturating_sub(at))
}

/// What the crash of its executor says of a task; none if the task may not have been there at all.
fn crash_under(now: Now, task: &Task, signs: LastSigns) -> Option<Crash> {
    let survived = survived(task, signs);
    let may_have_begun = match task.phase {
        Phase::Planned { .. } => false,
        Phase::Doubt { .. } => true,
        _ => survived.is_some() || signs.last_answer + ALIVE_BEFORE_ORDER >= task.ordered_at,
    };
    if !may_have_begun {
        return None;
    }
    let is_stopping = matches!(task.phase, Phase::Stopping { .. });
    let is_confirmed = survived.is_some() && !is_stopping && signs.hold_until_end(now);
    let is_sudden = survived.is_none_or(|time| time <= SUDDEN);
    Some(Crash { run: task.run, is_confirmed, is_sudden })
}

impl LastSigns {
    /// Whether what the executor said of its runs holds until its crash: it had just answered when it first
    /// failed to, and nobody has seen it alive since.
    fn hold_until_end(&self, now: Now) -> bool {
        let silent_from = self.first_failure.unwrap_or(now);
        let lived_on = self.last_listing > silent_from + KNOWN_FOR;
        silent_from.saturating_sub(self.last_answer) <= KNOWN_FOR && !lived_on
    }
}

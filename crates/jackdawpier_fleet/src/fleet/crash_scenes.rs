//! Who was on an executor when it crashed, so that the others are cleared once one of them turns out to be
//! the cause.
//!
//! See `docs/design/lives.md`. What an earlier owner saw isn't known; the crashes that it noted stay.

use std::{collections::VecDeque, time::Duration};

use jackdawpier_kernel::{Now, ids::ServiceName};

use super::Fleet;
use crate::{
    crash::has_failed_trial,
    executor::TaskRef,
    job::{Job, TaskIndex},
    spec::RunNumber,
};

/// Crashes that are remembered: a suspect is judged within seconds, in which some dozens of executors crash.
const REMEMBERED: usize = 256;
/// Time without a crash that may be an accident before a task is put on trial ...
const CALM_FOR: Duration = Duration::from_secs(4);
/// ... unless it has waited for that for so long.
const CALM_AWAITED: Duration = Duration::from_secs(30);
/// Executors have accidents now if one had one within this time.
const ACCIDENTS_WITHIN: Duration = Duration::from_secs(20);

/// A run that may have been why an executor crashed.
type Present = (TaskRef, RunNumber);

/// A crash of an executor.
#[derive(Debug)]
pub(super) struct CrashScene {
    pub(super) at: Now,
    pub(super) service: Option<ServiceName>,
    /// A task was watched there, which is the likely cause.
    pub(super) is_watched: bool,
    /// Nothing had begun there lately, so it hardly was any task.
    pub(super) is_spontaneous: bool,
    /// The runs that were there.
    pub(super) present: Vec<Present>,
}

impl CrashScene {
    fn has(&self, task: &TaskRef) -> bool {
        self.present.iter().any(|(one, _)| one == task)
    }
}

/// The last crashes that aren't explained yet.
#[derive(Debug, Default)]
pub(super) struct CrashScenes(VecDeque<CrashScene>);

impl CrashScenes {
    pub(super) fn note(&mut self, scene: CrashScene) {
        if self.0.len() == REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(scene);
    }

    /// Runs that were there when a task's executors crashed, other than its own.
    fn beside(&mut self, cause: &TaskRef) -> Vec<Present> {
        let (of_cause, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.0).into_iter().partition(|scene| scene.has(cause));
        self.0 = others.into();
        let mut beside: Vec<Present> =
            of_cause.into_iter().flat_map(|scene| scene.present).collect();
        beside.retain(|(task, _)| task != cause);
        beside
    }

    /// Crashes that may be accidents, the last one first.
    fn accidents(&self) -> impl Iterator<Item = &CrashScene> {
        self.0.iter().rev().filter(|scene| !scene.is_watched)
    }
}

impl Fleet {
    /// Whether a task may be put on trial: no executor of its service has just had what may be an accident. A start
    /// that one hits is spent for nothing.
    pub(super) fn is_calm(&self, now: Now, job: &Job, index: TaskIndex) -> bool {
        let service = self.service_of(&job.id);
        let mut accidents = self.crash_scenes.accidents();
        let last = accidents.find(|scene| scene.service.as_ref() == service);
        let since = last.map_or(self.started_at, |scene| scene.at.max(self.started_at));
        now >= since + CALM_FOR || now >= job.tasks[index].waits_since + CALM_AWAITED
    }

    /// Whether executors crash without a task as well, so that what hit it may have been an accident. After a failed
    /// trial only crashes count that hardly were any task's.
    pub(super) fn has_accidents_without(&self, now: Now, task_ref: &TaskRef) -> bool {
        let Some(task) = self.task(task_ref) else { return false };
        let has_failed_trial = has_failed_trial(task.crashes());
        let is_recent = |scene: &&CrashScene| now.saturating_sub(scene.at) < ACCIDENTS_WITHIN;
        let counts = |scene: &CrashScene| scene.is_spontaneous || !has_failed_trial;
        let mut recent = self.crash_scenes.accidents().take_while(is_recent);
        recent.any(|scene| counts(scene) && !scene.has(task_ref))
    }

    /// Clears all others that were there of the crashes that a task has caused.
    pub(super) fn clear_beside(&mut self, cause: &TaskRef) {
        if !self.settings.policy.explains_crashes {
            return;
        }
        for (task, run) in self.crash_scenes.beside(cause) {
            let job = self.jobs.get_mut(&task.0).filter(|job| !job.is_over());
            if job.is_some_and(|job| job.tasks[task.1].explain_crash(run)) {
                self.touch(&task.0);
            }
        }
    }
}

//! Work that lasts, and the bound on how much of a step orders may end at a time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jackdawpier_fleet::{
    fleet::CrashBackoff,
    spec::{StepSpec, TaskKey},
};

use super::{World, executor::FakeExecutor};

/// What hasn't been at work for this long counts as away, whatever the cause.
const NOTICE: Duration = Duration::from_millis(4500);

#[derive(Debug, Default)]
pub struct Lasting {
    /// When each task was last at work.
    at_work: BTreeMap<TaskKey, Duration>,
    /// Tasks whose last run was ended by an order.
    ordered_away: BTreeSet<TaskKey>,
    /// How long tasks weren't at work between two times at which they were.
    pub gaps: Vec<(TaskKey, Duration)>,
    /// Tasks that were held back.
    pub pauses: Vec<CrashBackoff>,
}

impl World {
    pub(super) fn note_lasting(&mut self) {
        let at_work = self.executors.values().filter(|one| one.is_alive());
        for task in at_work.flat_map(FakeExecutor::at_work_not_stopping) {
            if !self.submissions[&task.job].spec.steps[task.step as usize].is_long_running {
                continue;
            }
            let last = self.lasting.at_work.insert(task.clone(), self.now);
            let gap = last.map(|at| self.now.saturating_sub(at)).filter(|gap| *gap > super::STEP);
            self.lasting.gaps.extend(gap.map(|gap| (task.clone(), gap)));
            self.lasting.ordered_away.remove(task);
        }
    }

    /// An order ends a run: if it is at work, no more others of its step may be away than it may miss.
    pub(super) fn check_spared(&mut self, executor: &str, task: &TaskKey) {
        let step = self.submissions[&task.job].spec.steps[task.step as usize].clone();
        let is_bounded = step.is_long_running && step.may_miss > 0;
        let is_cancelled = self.cancelled.contains(&task.job);
        let runs_there = self.executors[executor].at_work_not_stopping().any(|one| one == task);
        if !is_bounded || is_cancelled || !runs_there {
            return;
        }
        let away = self.others_away(task, &step);
        let job = &task.job;
        assert!(
            away < step.may_miss as usize,
            "{task} is ended at {:?} while {away} others of its step are away, view {:?}",
            self.now,
            self.fleet.view(job)
        );
        self.lasting.ordered_away.insert(task.clone());
    }

    /// The same for all that runs on an executor.
    pub(super) fn check_all_spared(&mut self, executor: &Arc<str>) {
        let tasks: Vec<TaskKey> =
            self.executors[executor].at_work_not_stopping().cloned().collect();
        tasks.iter().for_each(|task| self.check_spared(executor, task));
    }

    fn others_away(&self, task: &TaskKey, step: &StepSpec) -> usize {
        let accepted_ms = self.submissions[&task.job].accepted_ms - super::EPOCH_MS;
        let accepted_at = Duration::from_millis(accepted_ms);
        let others = (0..step.count).filter(|index| *index != task.index);
        let is_away = |index: u32| {
            let other = TaskKey { index, ..task.clone() };
            let last = self.lasting.at_work.get(&other).copied().unwrap_or(accepted_at);
            self.lasting.ordered_away.contains(&other) || self.now >= last + NOTICE
        };
        others.filter(|index| is_away(*index)).count()
    }
}

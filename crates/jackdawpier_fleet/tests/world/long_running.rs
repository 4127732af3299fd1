//! Tracks long-running tasks, and checks that orders stop no more of a step at once than it may miss.

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

/// A task that hasn't been at work for this long counts as away, whatever the cause.
const MAX_ABSENCE: Duration = Duration::from_millis(4500);

#[derive(Debug, Default)]
pub struct LongRunning {
    /// When each task was last at work.
    at_work: BTreeMap<TaskKey, Duration>,
    /// Tasks whose last run was stopped by an order.
    ordered_away: BTreeSet<TaskKey>,
    /// Periods in which a task wasn't at work, between two periods in which it was.
    pub gaps: Vec<(TaskKey, Duration)>,
    /// Crash back-offs of tasks.
    pub backoffs: Vec<CrashBackoff>,
}

impl World {
    pub(super) fn note_long_running(&mut self) {
        let at_work = self.executors.values().filter(|one| one.is_alive());
        for task in at_work.flat_map(FakeExecutor::at_work_not_stopping) {
            if !self.submissions[&task.job].spec.steps[task.step as usize].is_long_running {
                continue;
            }
            let last = self.long_running.at_work.insert(task.clone(), self.now);
            let gap = last.map(|at| self.now.saturating_sub(at)).filter(|gap| *gap > super::STEP);
            self.long_running.gaps.extend(gap.map(|gap| (task.clone(), gap)));
            self.long_running.ordered_away.remove(task);
        }
    }

    /// Checks an order that stops a task: if the task is at work, fewer others of its step may be away
    /// than the step may miss.
    pub(super) fn check_may_miss(&mut self, executor: &str, task: &TaskKey) {
        let step = self.submissions[&task.job].spec.steps[task.step as usize].clone();
        let is_bounded = step.is_long_running && step.may_miss > 0;
        let is_cancelled = self.cancelled.contains(&task.job);
        let runs_there = self.executors[executor].at_work_not_stopping().any(|one| one == task);
        if !is_bounded || is_cancelled || !runs_there {
            return;
        }
        let away = self.other_tasks_away(task, &step);
        let job = &task.job;
        assert!(
            away < step.may_miss as usize,
            "{task} is stopped at {:?} while {away} others of its step are away, view {:?}",
            self.now,
            self.fleet.view(job)
        );
        self.long_running.ordered_away.insert(task.clone());
    }

    /// Checks an order that stops all tasks on an executor.
    pub(super) fn check_may_miss_on(&mut self, executor: &Arc<str>) {
        let tasks: Vec<TaskKey> =
            self.executors[executor].at_work_not_stopping().cloned().collect();
        tasks.iter().for_each(|task| self.check_may_miss(executor, task));
    }

    fn other_tasks_away(&self, task: &TaskKey, step: &StepSpec) -> usize {
        let accepted_ms = self.submissions[&task.job].accepted_ms - super::EPOCH_MS;
        let accepted_at = Duration::from_millis(accepted_ms);
        let others = (0..step.count).filter(|index| *index != task.index);
        let is_away = |index: u32| {
            let other = TaskKey { index, ..task.clone() };
            let last = self.long_running.at_work.get(&other).copied().unwrap_or(accepted_at);
            self.long_running.ordered_away.contains(&other) || self.now >= last + MAX_ABSENCE
        };
        others.filter(|index| is_away(*index)).count()
    }
}

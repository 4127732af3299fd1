//! Reasons why tasks wait, for operators who look into a job that doesn't start.
//!
//! Each executor of the job's service is counted under the first reason that keeps it from running
//! the task, in the order in which placement checks them. See `docs/OPERATIONS.md`.

use std::{collections::BTreeSet, time::Duration};

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{Fleet, fitting::is_eligible};
use crate::{
    executor::Executor,
    job::{Job, TaskIndex},
    spec::TaskKey,
};

/// A task that waits for an executor.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingTask {
    /// The task.
    pub task: TaskKey,
    /// Time since it became startable.
    pub waited: Duration,
    /// Whether the cap of its client account leaves no room for it.
    pub is_capped: bool,
    /// Reasons that keep it from the executors of its service.
    pub obstacles: Obstacles,
}

/// Number of executors of a service by the first reason that keeps a task from them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Obstacles {
    /// No reason known: the task is placed in the next round, or waits for room near its data.
    pub open: usize,
    /// Leaving, or no longer in the registry.
    pub leaving: usize,
    /// Without a recent answer, or without any to this owner.
    pub silent: usize,
    /// Excluded for a while after refusing or failing tasks.
    pub left_out: usize,
    /// Excluded until its lease has expired, since one of its ends must not be acknowledged before.
    pub frozen: usize,
    /// A suspect task has just started there in isolation.
    pub watched: usize,
    /// The machine is about to be moved or maintained.
    pub vacating: usize,
    /// Without the required label, or at the limit on tasks of the step per executor.
    pub unsuited: usize,
    /// Forbidden by the placement advisor.
    pub forbidden: usize,
    /// Without enough free room.
    pub full: usize,
    /// The placement advisor hasn't been asked about it yet, or its ticket has expired.
    pub unasked: usize,
}

impl Obstacles {
    /// Returns each count with the name of its reason.
    pub fn by_reason(&self) -> [(&'static str, usize); 11] {
        [
            ("open", self.open),
            ("leaving", self.leaving),
            ("silent", self.silent),
            ("left_out", self.left_out),
            ("frozen", self.frozen),
            ("watched", self.watched),
            ("vacating", self.vacating),
            ("unsuited", self.unsuited),
            ("forbidden", self.forbidden),
            ("full", self.full),
            ("unasked", self.unasked),
        ]
    }
}

/// What the placement advisor has said of an executor for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdviceState {
    /// Allowed, with a valid ticket, or the task needs none.
    Allowed,
    /// Not asked about yet, or the ticket has expired.
    Unasked,
    Forbidden,
}

impl Fleet {
    /// Returns the longest waiting task of each job that has nothing running and has waited for at
    /// least `longer_than`. Returns at most `limit` tasks, the longest waiting first.
    pub fn longest_waiting_tasks(
        &self,
        now: Now,
        longer_than: Duration,
        limit: usize,
    ) -> Vec<WaitingTask> {
        let mut waiting: Vec<(Now, &Job, TaskIndex)> = self
            .open_jobs
            .values()
            .flatten()
            .filter_map(|id| self.jobs.get(id))
            .filter_map(|job| longest_waiting_task(job).map(|(since, index)| (since, job, index)))
            .filter(|(since, ..)| now.saturating_sub(*since) >= longer_than)
            .collect();
        waiting.sort_unstable_by_key(|(since, job, _)| (*since, job.id.clone()));
        let vacating: BTreeSet<&ExecutorId> = self.machines.vacating_executors().collect();
        let shown = waiting.into_iter().take(limit);
        shown
            .map(|(since, job, index)| WaitingTask {
                task: job.key(index),
                waited: now.saturating_sub(since),
                is_capped: !self.is_within_cap(job, index),
                obstacles: self.obstacles(now, job, index, &vacating),
            })
            .collect()
    }

    fn obstacles(
        &self,
        now: Now,
        job: &Job,
        index: TaskIndex,
        vacating: &BTreeSet<&ExecutorId>,
    ) -> Obstacles {
        let mut obstacles = Obstacles::default();
        let service = self.queues.get(&job.queue).map(|queue| &queue.service);
        let permissions = self.permissions(job, index);
        for id in service.and_then(|name| self.by_service.get(name)).into_iter().flatten() {
            let Some(executor) = self.executors.get(id) else { continue };
            let is_vacating = vacating.contains(id);
            let advice = if permissions.can_start_on(now, id, executor) {
                AdviceState::Allowed
            } else if permissions.allows(id, executor) == Some(false) {
                AdviceState::Forbidden
            } else {
                AdviceState::Unasked
            };
            *obstacles.of(now, executor, is_vacating, advice, job, index) += 1;
        }
        obstacles
    }
}

impl Obstacles {
    /// Returns the count that an executor belongs to.
    fn of(
        &mut self,
        now: Now,
        executor: &Executor,
        is_vacating: bool,
        advice: AdviceState,
        job: &Job,
        index: TaskIndex,
    ) -> &mut usize {
        let is_active = executor.info.as_ref().is_some_and(|info| !info.is_draining);
        if !is_active || !executor.is_listed || executor.has_ended {
            &mut self.leaving
        } else if !executor.is_responsive(now) {
            &mut self.silent
        } else if executor.is_frozen() {
            &mut self.frozen
        } else if now < executor.avoid_until {
            &mut self.left_out
        } else if executor.is_isolating(now) {
            &mut self.watched
        } else if is_vacating {
            &mut self.vacating
        } else if !is_eligible(executor, job, index) {
            &mut self.unsuited
        } else if advice == AdviceState::Forbidden {
            &mut self.forbidden
        } else if !job.step(index).allocated().fits(&executor.free()) {
            &mut self.full
        } else if advice == AdviceState::Unasked {
            &mut self.unasked
        } else {
            &mut self.open
        }
    }
}

/// Returns the longest waiting task of a job, if the job has no running task or the task is
/// long-running.
fn longest_waiting_task(job: &Job) -> Option<(Now, TaskIndex)> {
    let is_long_running =
        job.startable.front().is_some_and(|&index| job.step(index).is_long_running);
    if job.tasks.has_placed() && !is_long_running {
        return None;
    }
    job.longest_waiting_task().map(|index| (job.waiting_since(index), index))
}

//! Why work waits, for operators who ask after a job that doesn't begin.
//!
//! Each executor of the job's service is counted under the first thing that keeps it from taking the
//! task, in the order in which placing asks. See `docs/OPERATIONS.md`.

use std::{collections::BTreeSet, time::Duration};

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{Fleet, placement::is_eligible};
use crate::{
    executor::Executor,
    job::{Job, Phase, TaskIndex},
    spec::TaskKey,
};

/// A task that has been waiting for an executor.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingTask {
    /// The task.
    pub task: TaskKey,
    /// How long it has been startable.
    pub waited: Duration,
    /// Its client account has as much running as its cap allows.
    pub is_capped: bool,
    /// What keeps it from the executors of its service.
    pub obstacles: Obstacles,
}

/// Executors of a service by the first thing that keeps a task from them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Obstacles {
    /// Nothing known: it is placed in the next round, or waits for data nearby or a ticket.
    pub open: usize,
    /// They leave, or the registry doesn't name them any more.
    pub leaving: usize,
    /// They haven't answered lately, or not yet under this ownership.
    pub silent: usize,
    /// They refused work or failed it, and are left out for a while.
    pub left_out: usize,
    /// A task that may be what executors crash of has just started there.
    pub watched: usize,
    /// Their machines are about to be moved or maintained.
    pub vacating: usize,
    /// They lack the label, or hold as many tasks of the step as it allows.
    pub unsuited: usize,
    /// They have too little room now.
    pub full: usize,
}

impl Fleet {
    /// The tasks that have waited longest, one a job, of jobs that have nothing running and have waited
    /// for at least `longer_than`; at most `most`.
    pub fn longest_waiting_tasks(
        &self,
        now: Now,
        longer_than: Duration,
        most: usize,
    ) -> Vec<WaitingTask> {
        let mut waiting: Vec<(Now, &Job, TaskIndex)> = self
            .open_jobs
            .values()
            .flatten()
            .filter_map(|id| self.jobs.get(id))
            .filter_map(|job| longest_waiting(job).map(|(since, index)| (since, job, index)))
            .filter(|(since, ..)| now.saturating_sub(*since) >= longer_than)
            .collect();
        waiting.sort_unstable_by_key(|(since, job, _)| (*since, job.id.clone()));
        let vacating: BTreeSet<&ExecutorId> = self.machines.vacating().collect();
        let shown = waiting.into_iter().take(most);
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
        for id in service.and_then(|name| self.by_service.get(name)).into_iter().flatten() {
            let Some(executor) = self.executors.get(id) else { continue };
            let is_vacating = vacating.contains(id);
            *obstacles.of(now, executor, is_vacating, job, index) += 1;
        }
        obstacles
    }
}

impl Obstacles {
    /// The count to which an executor belongs.
    fn of(
        &mut self,
        now: Now,
        executor: &Executor,
        is_vacating: bool,
        job: &Job,
        index: TaskIndex,
    ) -> &mut usize {
        let is_open = executor.info.as_ref().is_some_and(|info| !info.is_draining);
        if !is_open || !executor.is_listed || executor.is_over {
            &mut self.leaving
        } else if !executor.is_responsive(now) {
            &mut self.silent
        } else if now < executor.avoid_until || executor.is_frozen {
            &mut self.left_out
        } else if executor.is_watching(now) {
            &mut self.watched
        } else if is_vacating {
            &mut self.vacating
        } else if !is_eligible(executor, job, index) {
            &mut self.unsuited
        } else if !job.step(index).booked().fits(&executor.free()) {
            &mut self.full
        } else {
            &mut self.open
        }
    }
}

/// The task of a job that has waited longest, if none of its tasks runs or it lasts.
fn longest_waiting(job: &Job) -> Option<(Now, TaskIndex)> {
    let is_lasting = job.startable.front().is_some_and(|&index| job.step(index).is_long_running);
    let has_running = job.tasks.iter().any(|task| task.phase.executor().is_some());
    if has_running && !is_lasting {
        return None;
    }
    let waiting = job.startable.iter().filter(|&&index| job.tasks[index].phase == Phase::Waiting);
    waiting.map(|&index| (job.tasks[index].waits_since, index)).min()
}

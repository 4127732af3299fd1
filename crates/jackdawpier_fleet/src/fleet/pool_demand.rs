//! Demand of jobs for the machines of a pool: on-time and other work, and what running tasks still need.
//!
//! Plain functions of jobs and steps, below the fleet; [`super::pool_view`] adds them up by pool.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::{Now, ids::JobId};

use super::busy_machines::DemandForecast;
use crate::{
    job::{Job, Phase, Task, TaskIndex},
    spec::{Label, StepSpec},
};

/// Why the demand of a job is secondary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SecondaryReason {
    /// It can end in time but exceeds the share of its client account.
    OverShare,
    Late,
    Expired,
}

/// The jobs with running tasks whose demand is secondary. All other running jobs are primary. Kept
/// for one planning, so that each job is ranked once and not for each of its tasks.
pub(super) type SecondaryJobs = BTreeMap<JobId, SecondaryReason>;

/// Demand of the jobs that can end in time and are within the share of their client account.
#[derive(Debug, Default, Clone)]
pub(super) struct PrimaryDemand {
    /// Demand of running, waiting and arriving tasks.
    pub(super) need_millicores: u64,
    /// Additional machines that a stuck job needs beside long-running tasks.
    pub(super) missing_for_stuck: usize,
    /// Highest priority of the waiting tasks, by required label.
    pub(super) urgency: BTreeMap<Option<Label>, u32>,
    /// The same demand with the remaining work of its short tasks.
    pub(super) outlook: DemandForecast,
}

impl PrimaryDemand {
    /// Adds the running tasks of a job to the outlook. The need of running tasks is counted by
    /// machine, since those on machines that leave the pool don't count.
    pub(super) fn add_running(&mut self, now: Now, job: &Job) {
        for (index, task) in job.tasks.placed() {
            let step = job.step(index);
            let remaining = step.estimate.saturating_sub(elapsed(now, task));
            self.outlook.add(step, step.allocated().cpu_millicores, remaining);
        }
    }

    pub(super) fn add_waiting(&mut self, job: &Job, priority: u32, millicores: u64) {
        self.need_millicores += millicores;
        if millicores == 0 {
            return;
        }
        let startable = job.startable_by_step();
        let asked: u64 = startable
            .iter()
            .map(|(step, tasks)| job.spec.steps[*step].allocated().cpu_millicores * tasks)
            .sum();
        for (step, tasks) in startable {
            let step = &job.spec.steps[step];
            // Tasks beyond the cap of their account need no machines.
            let allocated = u128::from(step.allocated().cpu_millicores) * u128::from(millicores);
            let within_cap = (allocated / u128::from(asked.max(1))) as u64;
            self.outlook.add(step, within_cap * tasks, step.estimate);
            let label = &step.required_label;
            if let Some(highest) = self.urgency.get_mut(label) {
                *highest = priority.min(*highest);
            } else {
                self.urgency.insert(label.clone(), priority);
            }
        }
    }
}

impl DemandForecast {
    fn add(&mut self, step: &StepSpec, millicores: u64, remaining: Duration) {
        if step.is_long_running {
            self.long_running_millicores += millicores;
        } else {
            self.short_millicores += millicores;
            self.short_millicore_ms += u128::from(millicores) * remaining.as_millis();
        }
    }
}

/// Returns why the demand of a running task is secondary, or `None` if it is primary. Gangs that run
/// count as primary: stopping one task ends the work of all, and they need room for all at once
/// again.
pub(super) fn standing_of_task(
    job: &Job,
    index: TaskIndex,
    secondary_jobs: &SecondaryJobs,
) -> Option<SecondaryReason> {
    secondary_jobs.get(&job.id).copied().filter(|_| !job.step(index).is_gang)
}

/// Whether tasks of a job may be running: not all tasks of its open steps are startable.
pub(super) fn has_running_tasks(job: &Job) -> bool {
    let remaining = job.slots.open().map(|(_, remaining)| remaining as usize);
    remaining.sum::<usize>() > job.startable.len()
}

/// Returns the part of the remaining estimate of a job that its running tasks have already run.
/// Without it, jobs that wait for most of their slack and then end in time would be late while they
/// run.
pub(super) fn time_run(now: Now, job: &Job) -> Duration {
    if !job.startable.is_empty() {
        return Duration::ZERO;
    }
    let steps = job.spec.steps.len();
    let remaining = job.slots.open().map(|(slot, _)| {
        // No task waits, so all that aren't done have been placed.
        let unfinished =
            job.whole_tasks_in_slot(slot).filter(|(_, task)| task.phase != Phase::Done);
        let time_run = unfinished.map(|(_, task)| elapsed(now, task)).min().unwrap_or_default();
        let step = job.step_of_slot(slot);
        job.remaining_chains[slot % steps].saturating_sub(time_run.min(step.estimate))
    });
    job.remaining_estimate().saturating_sub(remaining.max().unwrap_or_default())
}

/// Returns how long a task has been running.
pub(super) fn elapsed(now: Now, task: &Task) -> Duration {
    match task.phase {
        Phase::Running { since, .. } => now.saturating_sub(since),
        _ => Duration::ZERO,
    }
}

/// Returns the number of machines that a long-running step needs under its limit on tasks per
/// executor, or 0 without a limit.
pub(super) fn min_machines(step: &StepSpec) -> usize {
    let is_bounded = step.is_long_running && step.max_per_executor > 0;
    if is_bounded { step.count.div_ceil(step.max_per_executor) as usize } else { 0 }
}

/// Returns the number of tasks of a step that start together.
pub(super) fn start_group_size(step: &StepSpec) -> usize {
    if step.is_gang { step.count as usize } else { 1 }
}

/// Returns the cores that the next task of a job, or its gang, needs to start.
pub(super) fn min_start_millicores(job: &Job) -> u64 {
    job.startable.front().map_or(0, |&index| {
        let step = job.step(index);
        step.allocated().cpu_millicores * start_group_size(step) as u64
    })
}

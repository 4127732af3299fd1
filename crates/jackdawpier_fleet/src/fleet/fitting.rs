//! Whether and how often a task fits an executor. Plain functions of jobs and executors, below the fleet.

use crate::{
    executor::Executor,
    job::{Job, TaskIndex},
    spec::Resources,
};

/// Whether an executor isn't in the rack of the data of a task.
pub(super) fn is_remote(executor: &Executor, job: &Job, index: TaskIndex) -> bool {
    let rack = executor.info.as_ref().and_then(|info| info.rack.as_ref());
    job.step(index).data_rack.as_ref().is_some_and(|data| rack != Some(data))
}

/// Whether at least half of the executor's cores are free.
pub(super) fn is_roomy(executor: &Executor) -> bool {
    executor
        .info
        .as_ref()
        .is_some_and(|info| executor.allocated.cpu_millicores * 2 <= info.capacity.cpu_millicores)
}

/// Whether an executor can run a task now: checks room, label, rack and the limit on tasks of the
/// step per executor.
pub(super) fn has_room_for(
    executor: &Executor,
    job: &Job,
    index: TaskIndex,
    rack: Option<&str>,
) -> bool {
    let Some(info) = &executor.info else { return false };
    let is_in_rack = rack.is_none_or(|rack| info.rack.as_deref() == Some(rack));
    job.step(index).allocated().fits(&executor.free())
        && is_in_rack
        && is_eligible(executor, job, index)
}

/// Whether an executor may run a task given enough room: checks the label and the limit on tasks of
/// the step per executor.
pub(super) fn is_eligible(executor: &Executor, job: &Job, index: TaskIndex) -> bool {
    let step = job.step(index);
    let Some(info) = &executor.info else { return false };
    let has_label = step.required_label.as_ref().is_none_or(|label| info.labels.contains(label));
    let is_apart =
        step.max_per_executor == 0 || step_tasks_on(executor, job, index) < step.max_per_executor;
    has_label && is_apart
}

/// Returns how many more tasks of a step an executor could run if it had this free room.
pub(super) fn count_fitting(
    executor: &Executor,
    job: &Job,
    index: TaskIndex,
    room: &Resources,
) -> usize {
    if !is_eligible(executor, job, index) {
        return 0;
    }
    let step = job.step(index);
    let fits = room.fit_count(&step.allocated());
    match step.max_per_executor {
        0 => fits,
        most => fits.min((most - step_tasks_on(executor, job, index)) as usize),
    }
}

/// Returns the number of tasks of the same step and occurrence on an executor.
pub(super) fn step_tasks_on(executor: &Executor, job: &Job, index: TaskIndex) -> u32 {
    executor.tasks_per_slot.get(&(job.id.clone(), job.slot(index))).copied().unwrap_or(0)
}

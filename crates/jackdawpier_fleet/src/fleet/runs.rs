//! Ends of runs and jobs: stops tasks, decides how a task continues after a run, and releases its
//! room.

use jackdawpier_kernel::{Now, ids::JobId};

use super::{Command, Fleet, StopReason, intake::EndedJob};
use crate::{
    account::Accounts,
    advice::StepKey,
    crash::Retry,
    executor::{Executor, IsolatedStart, TaskRef},
    job::{Job, Phase, StopOrder, TaskIndex},
    job_size::open_job_bytes,
    record::JobOutcome,
};

/// Outcome of a run that counts for its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskOutcome {
    Done,
    Failed,
}

impl Fleet {
    /// Ends a job: none of its tasks starts any more, and running ones are stopped.
    pub(super) fn finish_job(&mut self, now: Now, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.outcome = Some(outcome);
        job.ended_ms = self.wall_ms;
        job.startable.clear();
        if let Some(open) = self.open_jobs.get_mut(&job.queue) {
            open.remove(id);
        }
        self.open_job_bytes -= open_job_bytes(&job.spec);
        self.ended_jobs.push_back((id.clone(), now));
        self.advice.forget_job(id);
        let placed: Vec<TaskIndex> = job.tasks.placed().map(|(index, _)| index).collect();
        for index in placed {
            self.stop_task(now, &(id.clone(), index), StopReason::JobOver(outcome));
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.tasks.settle_unplaced();
        }
        self.mark_changed(id);
    }

    /// Reduces an ended job to what later reports and questions need, once nothing else of it is read.
    pub(super) fn reduce_if_settled(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|job| job.is_settled()) else { return };
        let Some(outcome) = job.outcome else { return };
        let ended = EndedJob { outcome, account: job.account.clone(), reruns: job.reruns() };
        self.jobs.remove(id);
        self.reduced_jobs.insert(id.clone(), ended);
    }

    /// Orders the stop of a task that may run. A planned start that hasn't been sent is dropped.
    pub(super) fn stop_task(&mut self, now: Now, task_ref: &TaskRef, reason: StopReason) {
        let Some(job) = self.jobs.get_mut(&task_ref.0) else { return };
        let Some(task) = job.tasks.get_whole_mut(task_ref.1) else { return };
        // The task counts as away from now on, although it takes a moment to end.
        task.at_work_since = None;
        match &task.phase {
            Phase::Waiting | Phase::Done | Phase::Stopping { .. } => {}
            Phase::Planned { .. } => self.end_run(now, task_ref, None),
            Phase::Starting { executor }
            | Phase::Running { executor, .. }
            | Phase::Inherited { executor } => {
                let executor = executor.clone();
                let order = StopOrder::InFlight;
                task.phase = Phase::Stopping { executor: executor.clone(), order };
                let run = task.run;
                let task = job.key(task_ref.1);
                self.commands.push(Command::Stop { executor, task, run, reason });
            }
        }
    }

    /// Applies the certain end of a run. `outcome` is `None` if the run never began or was cut
    /// short.
    pub(super) fn end_run(&mut self, now: Now, task_ref: &TaskRef, outcome: Option<TaskOutcome>) {
        let (id, index) = (&task_ref.0, task_ref.1);
        let is_gang_done = outcome.is_none() && self.is_gang_done(task_ref);
        let outcome = if is_gang_done { Some(TaskOutcome::Done) } else { outcome };
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(executor) = job.tasks[index].phase.executor().cloned()
            && let Some(executor) = self.executors.get_mut(&executor)
        {
            release(executor, &mut self.accounts, job, index);
        }
        let slot = job.slot(index);
        let is_gang = job.step(index).is_gang;
        let task = &mut job.tasks[index];
        task.at_work_since = None;
        task.phase = Phase::Waiting;
        if outcome == Some(TaskOutcome::Failed) {
            task.note_failure(task.run);
        }
        let is_done = outcome == Some(TaskOutcome::Done);
        if is_done {
            let is_first_of_gang =
                is_gang && job.slots.remaining(slot) == job.slots.task_count(slot);
            let mut is_complete = job.complete_task(index);
            if is_first_of_gang {
                is_complete |= job.finish_waiting_tasks(slot);
            }
            if is_complete {
                self.advice.forget_step(&StepKey::from(&job.key(index)));
                job.open_steps_after(now, self.wall_ms, slot);
            }
        }
        if job.is_over() {
            job.tasks.settle(index);
            self.reduce_if_settled(id);
            return;
        }
        let is_job_done = job.slots.are_complete();
        self.mark_changed(id);
        if is_job_done {
            self.finish_job(now, id, JobOutcome::Completed);
        } else if !is_done {
            self.requeue(now, task_ref);
        }
    }

    /// Queues a task for its next start after an unsuccessful run, unless it is given up.
    pub(super) fn requeue(&mut self, now: Now, task_ref: &TaskRef) {
        self.give_up(now, task_ref);
        let Some(job) = self.jobs.get_mut(&task_ref.0).filter(|job| !job.is_over()) else { return };
        let slot = job.slot(task_ref.1);
        let is_open = job.slots.is_open(slot);
        match job.retry(task_ref.1) {
            Retry::AtOnce if is_open => job.enqueue(now, task_ref.1),
            Retry::AtOnce => {}
            Retry::After(pause) => self.back_off(now, task_ref, Some(pause)),
            Retry::Never => self.back_off(now, task_ref, None),
        }
        self.stop_other_members(now, task_ref);
    }
}

pub(super) fn allocate(
    executor: &mut Executor,
    accounts: &mut Accounts,
    job: &Job,
    index: TaskIndex,
) {
    let step = job.step(index);
    if !executor.tasks.insert((job.id.clone(), index)) {
        return;
    }
    accounts.add_usage(job.account.as_ref(), &step.need);
    executor.allocated.add(&step.allocated());
    *executor.tasks_per_slot.entry((job.id.clone(), job.slot(index))).or_default() += 1;
    executor.serving_tasks += u32::from(step.tail_target.is_some());
    executor.filler_tasks += u32::from(step.is_filler);
}

pub(super) fn release(
    executor: &mut Executor,
    accounts: &mut Accounts,
    job: &Job,
    index: TaskIndex,
) {
    let step = job.step(index);
    if !executor.tasks.remove(&(job.id.clone(), index)) {
        return;
    }
    accounts.subtract_usage(job.account.as_ref(), &step.need);
    executor.allocated.subtract(&step.allocated());
    let is_isolated = |start: &IsolatedStart| start.task.0 == job.id && start.task.1 == index;
    if executor.isolated_start.as_ref().is_some_and(is_isolated) {
        executor.isolated_start = None;
    }
    let slot = (job.id.clone(), job.slot(index));
    if let Some(count) = executor.tasks_per_slot.get_mut(&slot) {
        *count -= 1;
        if *count == 0 {
            executor.tasks_per_slot.remove(&slot);
        }
    }
    executor.serving_tasks -= u32::from(step.tail_target.is_some());
    executor.filler_tasks -= u32::from(step.is_filler);
}

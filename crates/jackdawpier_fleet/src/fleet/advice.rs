//! Requests to the placement advisor, and its answers. [`crate::advice`] decides which executors to ask about.

use std::{sync::Arc, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId},
};

use super::{
    Command, Fleet,
    fitting::{has_room_for, is_eligible, is_remote},
    placement_round::PlacementRound,
};
use crate::{
    advice::{Candidate, StepAdvice, StepKey},
    executor::Executor,
    job::{Job, TaskIndex},
    spec::TaskKey,
};

/// Where a task may run.
#[derive(Debug, Clone, Copy)]
pub(super) enum Permissions<'a> {
    /// Its queue needs no advice.
    Everywhere,
    /// Where the advisor allows it; `None` if it hasn't been asked about the step.
    Advised(Option<&'a StepAdvice>),
}

impl Permissions<'_> {
    /// Returns whether the task may run on an executor; `None` if that isn't known.
    pub(super) fn allows(self, id: &ExecutorId, executor: &Executor) -> Option<bool> {
        match self {
            Self::Everywhere => Some(true),
            Self::Advised(advice) => advice?.allows(id, executor.incarnation),
        }
    }

    /// Whether the task can be started on an executor without asking the advisor.
    pub(super) fn can_start_on(self, now: Now, id: &ExecutorId, executor: &Executor) -> bool {
        match self {
            Self::Everywhere => true,
            Self::Advised(advice) => {
                advice.is_some_and(|advice| advice.has_ticket(now, id, executor.incarnation))
            }
        }
    }

    /// Whether the task can perhaps be started somewhere without asking the advisor.
    pub(super) fn may_start_now(self, now: Now) -> bool {
        match self {
            Self::Everywhere => true,
            Self::Advised(advice) => advice.is_some_and(|advice| advice.may_have_ticket(now)),
        }
    }

    /// Whether the task is known to be allowed on some executor.
    pub(super) fn has_allowed(self) -> bool {
        match self {
            Self::Everywhere => true,
            Self::Advised(advice) => advice.is_some_and(StepAdvice::has_allowed),
        }
    }
}

impl Fleet {
    /// Returns the step of a task if its queue needs advice.
    fn advised_step(&self, job: &Job, index: TaskIndex) -> Option<StepKey> {
        let needs_advice = self.queues.get(&job.queue).is_some_and(|queue| queue.needs_advice);
        needs_advice.then(|| StepKey::from(&job.key(index)))
    }

    /// Returns where a task may run by what the advisor has said.
    pub(super) fn permissions(&self, job: &Job, index: TaskIndex) -> Permissions<'_> {
        match self.advised_step(job, index) {
            None => Permissions::Everywhere,
            Some(step) => Permissions::Advised(self.advice.of_step(&step)),
        }
    }

    /// Asks the advisor about executors on which a task that found no place could start.
    pub(super) fn request_advice(
        &mut self,
        now: Now,
        id: &JobId,
        index: TaskIndex,
        round: &PlacementRound,
    ) {
        let job = &self.jobs[id];
        let Some(step) = self.advised_step(job, index) else { return };
        if !self.advice.may_request(now, &step) {
            return;
        }
        let Some(queue) = self.queues.get(&job.queue) else { return };
        let is_suspect = self.is_suspect(job, index);
        let candidates: Vec<Candidate<'_>> = round
            .executors
            .iter()
            .filter_map(|executor_id| {
                let executor = self.executors.get(executor_id)?;
                let has_room = has_room_for(executor, job, index, None)
                    && !executor.is_isolating(now)
                    && (!is_suspect || self.can_isolate(now, executor, job, index));
                is_eligible(executor, job, index).then(|| Candidate {
                    executor: executor_id,
                    incarnation: executor.incarnation,
                    has_room,
                    is_remote: is_remote(executor, job, index),
                })
            })
            .collect();
        let waiting_tasks = job.waiting_in_slot(job.slot(index));
        let cost = queue.advice_cost;
        let request =
            self.advice.request(now, &step, &queue.name, cost, waiting_tasks, &candidates);
        let Some(request) = request else { return };
        let (executors, timeout) = (request.executors, request.timeout);
        self.commands.push(Command::Advise { task: job.key(index), executors, timeout });
    }

    /// Applies an answer of the advisor: the executors that may run the step, with their tickets.
    pub fn advice_received(
        &mut self,
        now: Now,
        task: &TaskKey,
        approved: Vec<(ExecutorId, Arc<str>)>,
        valid_for: Duration,
    ) {
        self.advice.apply_answer(now, &task.into(), approved, valid_for);
    }

    /// Records that a request to the advisor has no usable answer.
    pub fn advice_failed(&mut self, now: Now, task: &TaskKey) {
        self.advice.note_failure(now, &task.into());
    }
}

//! Which waiting task gets room on which executor.

use std::{sync::Arc, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, ServiceName},
};

use super::{Advice, Command, Fleet, placement_round::PlacementRound, runs::allocate};
use crate::{
    executor::Executor,
    job::{Job, Phase, TaskIndex},
    order::{Rank, objective, rank},
    spec::{Resources, StepSpec},
};

/// Advice is asked for again after this long without an answer.
const ASK_AGAIN: Duration = Duration::from_secs(2);
/// Executors that one question names: the advisor takes time for each, and a step needs few.
const EXECUTORS_PER_ADVICE: usize = 30;

/// A task that has waited this long for room near its data goes wherever there is any.
const NEAR_FOR: Duration = Duration::from_secs(5);

/// How well an executor suits a task; the lowest is taken.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// More of a long-running step than it may miss would be here, so that the machine could never
    /// be taken.
    crowds: bool,
    /// Tasks that would go with its executor, of one that may well crash it.
    endangers: usize,
    /// It would take for long a machine with a label that few have and others ask for.
    blocks_label: bool,
    /// Work that fills beside work that serves disturbs it.
    disturbs: bool,
    /// Its machine is due for maintenance, which would end a long-running task.
    is_due: bool,
    /// The data lies elsewhere.
    is_far: bool,
    /// It would take room from tasks that need a label which few have.
    uses_label: bool,
    /// Tightest first, which leaves the largest gaps elsewhere.
    left_millicores: u64,
    left_mb: u64,
}

/// Whether a task may be placed away from its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Far {
    Allowed,
    WhereRoomy,
    Forbidden,
}

impl Fleet {
    /// Gives room to waiting tasks, in the order of [`crate::order`].
    pub(super) fn place(&mut self, now: Now) {
        let mut waiting: Vec<(Rank, JobId)> = Vec::new();
        for (queue, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(queue) else { continue };
            let ranked = ids.iter().filter_map(|id| {
                let job = self.jobs.get(id)?;
                let policy = self.settings.policy;
                (!job.startable.is_empty()).then(|| (rank(now, job, queue, policy), id.clone()))
            });
            waiting.extend(ranked);
        }
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        let mut rounds = self.start_rounds(now);
        self.continue_defragmentations(now, &mut rounds);
        self.place_starved(now, &waiting, &mut rounds);
        for (_, id) in waiting {
            let round = self.service_of(&id).and_then(|service| rounds.get_mut(service));
            if let Some(round) = round.filter(|one| !one.executors.is_empty()) {
                self.place_job(now, &id, round, usize::MAX);
                self.reserve_executors(now, &id, round);
            }
        }
    }

    pub(super) fn service_of(&self, id: &JobId) -> Option<&ServiceName> {
        let job = self.jobs.get(id)?;
        self.queues.get(&job.queue).map(|queue| &queue.service)
    }

    /// Places what fits of one job, at most `most` single tasks or gangs, and returns whether there was
    /// room for any.
    pub(super) fn place_job(
        &mut self,
        now: Now,
        id: &JobId,
        round: &mut PlacementRound,
        most: usize,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let candidates: Vec<TaskIndex> = job.startable.drain(..).collect();
        let mut kept = Vec::new();
        // Tasks of a step are alike: once one fits nowhere, none does.
        let mut full_slots: Vec<usize> = Vec::new();
        let mut placed = 0;
        for index in candidates {
            let job = &self.jobs[id];
            if job.tasks[index].phase != Phase::Waiting {
                continue;
            }
            let (step, slot) = (job.step(index), job.slot(index));
            let is_skipped = placed >= most
                || full_slots.contains(&slot)
                || round.is_known_unplaceable(step)
                || job.tasks[index].not_before > now;
            if is_skipped {
                kept.push(index);
                continue;
            }
            if !self.is_within_cap(job, index) {
                full_slots.push(slot);
                kept.push(index);
                continue;
            }
            if step.is_gang {
                placed += usize::from(self.place_gang(now, id, slot, round));
                if self.jobs[id].tasks[index].phase == Phase::Waiting {
                    full_slots.push(slot);
                    kept.push(index);
                }
                continue;
            }
            let is_suspect = self.is_suspect(job, index);
            let is_plain = !is_suspect && self.is_plain(job, step);
            if let Some(executor) = self.choose_executor(now, id, index, None, round) {
                self.assign(id, index, executor);
                placed += 1;
                continue;
            }
            if is_plain {
                round.note_unplaceable(self.jobs[id].step(index));
            }
            if is_suspect {
                self.reserve_for_suspect(now, id, index, round);
            } else {
                full_slots.push(slot);
            }
            kept.push(index);
        }
        let job = self.jobs.get_mut(id).expect("it was read above");
        job.startable.extend(kept);
        if placed > 0 {
            job.served_at = Some(now);
            self.mark_changed(id);
        }
        placed > 0
    }

    /// Whether a task, or its whole gang, may start without its account having more running than its
    /// cap allows.
    pub(super) fn is_within_cap(&self, job: &Job, index: TaskIndex) -> bool {
        let step = job.step(index);
        let together = if step.is_gang { step.count } else { 1 };
        self.accounts.allows(job.account.as_ref(), &step.need, together)
    }

    /// Whether nothing but its room and its labels keeps an executor from running a step.
    fn is_plain(&self, job: &Job, step: &StepSpec) -> bool {
        let needs_advice = self.queues.get(&job.queue).is_some_and(|queue| queue.needs_advice);
        !needs_advice && step.data_rack.is_none() && step.max_per_executor == 0
    }

    pub(super) fn assign(&mut self, id: &JobId, index: TaskIndex, executor: ExecutorId) {
        let job = self.jobs.get_mut(id).expect("the caller has just read it");
        let task = &mut job.tasks[index];
        task.run += 1;
        task.confirmed_at = None;
        task.unanswered_at = None;
        task.may_stop_until = Now::ZERO;
        task.listed_at = None;
        task.phase = Phase::Planned { executor: executor.clone() };
        let chosen = self.executors.get_mut(&executor).expect("just chosen");
        task.placed_in = chosen.life;
        allocate(chosen, &mut self.accounts, job, index);
        self.isolate_start(&executor, id, index);
    }

    /// The executor that suits a task best; none if it fits nowhere now.
    pub(super) fn choose_executor(
        &mut self,
        now: Now,
        id: &JobId,
        index: TaskIndex,
        rack: Option<&str>,
        round: &PlacementRound,
    ) -> Option<ExecutorId> {
        let needs_advice = self.queues.get(&self.jobs[id].queue)?.needs_advice;
        if needs_advice && !self.has_advice(now, id, index, round) {
            return None;
        }
        self.executors_tried += round.executors.len() as u64;
        let job = &self.jobs[id];
        let far = self.may_go_far(now, round, job, index);
        let advice = self.advice.get(&(id.clone(), job.slot(index))).filter(|_| needs_advice);
        let is_suspect = self.is_suspect(job, index);
        round
            .executors
            .iter()
            .filter(|executor| advice.is_none_or(|one| one.tickets.contains_key(*executor)))
            .filter_map(|executor_id| {
                let executor = self.executors.get(executor_id)?;
                if !has_room_for(executor, job, index, rack)
                    || executor.is_watching(now)
                    || (is_suspect && !self.can_isolate(now, executor, job, index))
                {
                    return None;
                }
                let may_go = match far {
                    Far::Allowed => true,
                    Far::WhereRoomy => is_roomy(executor) || !is_far(executor, job, index),
                    Far::Forbidden => !is_far(executor, job, index),
                };
                if !may_go {
                    return None;
                }
                let uses_label = round.has_unneeded_scarce_label(executor_id, job.step(index));
                Some((self.fit(executor_id, executor, job, index, uses_label), executor_id))
            })
            .min()
            .map(|(_, executor_id)| executor_id.clone())
    }

    /// Whether a task may be placed away from its data, where it takes several times as long and
    /// so as much more room: if it still ends in time there or can't run near it at all, and once
    /// it is late where room is plenty, so that it doesn't wait for ever.
    fn may_go_far(&self, now: Now, round: &PlacementRound, job: &Job, index: TaskIndex) -> Far {
        let step = job.step(index);
        let Some(data_rack) = &step.data_rack else { return Far::Allowed };
        let Some(queue) = self.queues.get(&job.queue) else { return Far::Allowed };
        let far = step.estimate.mul_f64(self.settings.remote_factor.max(1.0));
        let rest = job.remaining_estimate().saturating_sub(step.estimate);
        let due = job.next_began_at() + objective(job, queue);
        let exists_near = round.executors.iter().any(|id| {
            let Some(executor) = self.executors.get(id) else { return false };
            let is_near = executor.info.as_ref().is_some_and(|info| {
                info.rack.as_ref() == Some(data_rack) && step.booked().fits(&info.capacity)
            });
            is_near && is_eligible(executor, job, index)
        });
        let has_waited = now.saturating_sub(job.tasks[index].waits_since) >= NEAR_FOR;
        if now + far + rest <= due || !exists_near || has_waited {
            return Far::Allowed;
        }
        match (now > due, step.is_gang) {
            (false, _) => Far::Forbidden,
            (true, false) => Far::WhereRoomy,
            // Its members need room at the same moment, which may never come near the data.
            (true, true) => Far::Allowed,
        }
    }

    fn fit(
        &self,
        id: &ExecutorId,
        executor: &Executor,
        job: &Job,
        index: TaskIndex,
        uses_label: bool,
    ) -> Fit {
        let step = job.step(index);
        let is_tight = self.settings.policy.fits_tightly;
        let left = executor.free().minus(&step.booked());
        let disturbs = (step.is_filler && executor.serving > 0)
            || (step.tail_target.is_some() && executor.fillers > 0);
        let is_bounded = step.is_long_running && step.may_miss > 0;
        Fit {
            crowds: is_bounded && step_tasks_on(executor, job, index) >= step.may_miss,
            endangers: if job.is_on_trial(index) { executor.tasks.len() } else { 0 },
            blocks_label: uses_label && step.is_long_running,
            disturbs,
            is_due: step.is_long_running && self.machines.is_due(id),
            is_far: is_far(executor, job, index),
            uses_label,
            left_millicores: if is_tight { left.cpu_millicores } else { 0 },
            left_mb: if is_tight { left.memory_mb } else { 0 },
        }
    }

    /// Whether the advisor's tickets for a step are at hand; asks for them if not.
    fn has_advice(
        &mut self,
        now: Now,
        id: &JobId,
        index: TaskIndex,
        round: &PlacementRound,
    ) -> bool {
        let job = &self.jobs[id];
        let place = (id.clone(), job.slot(index));
        if let Some(advice) = self.advice.get(&place) {
            if now < advice.valid_until {
                return true;
            }
            if now < advice.asked_at + ASK_AGAIN {
                return false;
            }
        }
        let executors: Vec<ExecutorId> =
            round.executors.iter().take(EXECUTORS_PER_ADVICE).cloned().collect();
        if executors.is_empty() {
            return false;
        }
        let task = job.key(index);
        let tickets = std::collections::BTreeMap::new();
        let asked = Advice { asked_at: now, valid_until: Now::ZERO, tickets };
        self.advice.insert(place, asked);
        self.commands.push(Command::Advise { task, executors });
        false
    }

    /// The advisor has answered: the executors that may run the step, with their tickets.
    pub fn advice_received(
        &mut self,
        now: Now,
        task: &crate::spec::TaskKey,
        approved: Vec<(ExecutorId, Arc<str>)>,
        valid_for: Duration,
    ) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(index) = job.index(task) else { return };
        if let Some(advice) = self.advice.get_mut(&(task.job.clone(), job.slot(index))) {
            advice.valid_until = now + valid_for * 4 / 5;
            advice.tickets = approved.into_iter().collect();
        }
    }
}

fn is_far(executor: &Executor, job: &Job, index: TaskIndex) -> bool {
    let rack = executor.info.as_ref().and_then(|info| info.rack.as_ref());
    job.step(index).data_rack.as_ref().is_some_and(|data| rack != Some(data))
}

/// At least half of an executor is free.
fn is_roomy(executor: &Executor) -> bool {
    executor
        .info
        .as_ref()
        .is_some_and(|info| executor.booked.cpu_millicores * 2 <= info.capacity.cpu_millicores)
}

/// Whether an executor can run a task: its room, labels and rack, and the bound on tasks of a step.
pub(super) fn has_room_for(
    executor: &Executor,
    job: &Job,
    index: TaskIndex,
    rack: Option<&str>,
) -> bool {
    let Some(info) = &executor.info else { return false };
    let is_in_rack = rack.is_none_or(|rack| info.rack.as_deref() == Some(rack));
    job.step(index).booked().fits(&executor.free())
        && is_in_rack
        && is_eligible(executor, job, index)
}

/// Whether an executor may run a task if it has room: its label, and the bound on tasks of a step.
pub(super) fn is_eligible(executor: &Executor, job: &Job, index: TaskIndex) -> bool {
    let step = job.step(index);
    let Some(info) = &executor.info else { return false };
    let has_label = step.required_label.as_ref().is_none_or(|label| info.labels.contains(label));
    let is_apart =
        step.max_per_executor == 0 || step_tasks_on(executor, job, index) < step.max_per_executor;
    has_label && is_apart
}

/// Tasks of a step that an executor could run beside those of the step that it has, if it had this room.
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
    let fits = room.count(&step.booked());
    match step.max_per_executor {
        0 => fits,
        most => fits.min((most - step_tasks_on(executor, job, index)) as usize),
    }
}

/// Tasks of the same step and occurrence on an executor.
pub(super) fn step_tasks_on(executor: &Executor, job: &Job, index: TaskIndex) -> u32 {
    executor.per_slot.get(&(job.id.clone(), job.slot(index))).copied().unwrap_or(0)
}

//! Placement: assigns waiting tasks to executors.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, ServiceName},
};

use super::{
    ActiveTasks, Fleet,
    executor_speeds::SpeedClass,
    fitting::{has_room_for, is_eligible, is_remote, is_roomy, step_tasks_on},
    placement_round::PlacementRound,
    runs::allocate,
};
use crate::{
    executor::Executor,
    job::{Job, Phase, Slot, TaskIndex},
    job_rank::{Rank, objective, rank},
    spec::{Resources, StepSpec},
};

/// A task that has waited this long for room near its data may run anywhere.
const MAX_DATA_LOCALITY_WAIT: Duration = Duration::from_secs(5);

/// Cost of placing a task on an executor, compared field by field. The executor with the lowest
/// cost is chosen.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementCost {
    /// The executor would run more tasks of a long-running step than the step may miss, so that its
    /// machine could never be taken.
    exceeds_missable: bool,
    /// Number of tasks on the executor, if the task is on probation and may crash it.
    endangered_tasks: usize,
    /// A long-running task would occupy a machine with a scarce label that it doesn't require.
    blocks_scarce_label: bool,
    /// A filler task would run beside a task that serves users and interfere with it.
    interferes: bool,
    /// The machine is due for maintenance, which would end a long-running task.
    is_maintenance_due: bool,
    /// The executor is observed to be slow, or is tried again.
    speed_class: SpeedClass,
    /// The executor isn't in the rack of the task's data.
    is_remote: bool,
    /// The task would use room that tasks which require a scarce label need.
    uses_scarce_label: bool,
    /// Best fit: the least remaining room first, which leaves the largest gaps elsewhere.
    remaining_millicores: u64,
    remaining_mb: u64,
}

/// A waiting job; the greatest is placed first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingJob {
    order: Reverse<(Rank, JobId)>,
    service: ServiceName,
}

impl WaitingJob {
    pub(super) fn rank(&self) -> Rank {
        self.order.0.0
    }

    pub(super) fn id(&self) -> &JobId {
        &self.order.0.1
    }

    pub(super) fn service(&self) -> &ServiceName {
        &self.service
    }
}

/// Whether a task may be placed outside the rack of its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RemotePlacement {
    Allowed,
    WhereRoomy,
    Forbidden,
}

impl Fleet {
    /// Places waiting tasks in the order of [`crate::job_rank`].
    ///
    /// Jobs are sorted only as far as they are tried, and those of a service without room for the smallest
    /// waiting task aren't ranked.
    pub(super) fn place(&mut self, now: Now) {
        let jobs = self.jobs.unordered_values();
        self.active_tasks = ActiveTasks::count(jobs, self.settings.max_active_tasks);
        let smallest_needs = self.smallest_waiting_needs();
        if smallest_needs.is_empty() {
            return;
        }
        let mut rounds = self.start_rounds(now);
        for (service, need) in smallest_needs {
            let Some(round) = rounds.get_mut(&service) else { continue };
            round.smallest_need = need;
            // Relocations may free room in the course of the round.
            if !self.is_defragmenting(&service) {
                self.note_if_full(round);
            }
        }
        let waiting = self.rank_waiting(now, &rounds);
        self.continue_defragmentations(now, &mut rounds);
        self.place_suspects(now, &mut rounds);
        let starved = self.starved_jobs(now, &waiting);
        self.place_starved(now, &starved, &mut rounds);
        let limits_starved = self.settings.policy.limits_starved_jobs;
        let mut expired_priority = None;
        let mut waiting = BinaryHeap::from(waiting);
        while let Some(WaitingJob { order: Reverse((rank, id)), service }) = waiting.pop() {
            let priority = Some(rank.priority());
            if limits_starved && rank.is_expired() && expired_priority != priority {
                expired_priority = priority;
                self.place_starved_among_expired(now, rank.priority(), &starved, &mut rounds);
            }
            let Some(round) = rounds.get_mut(&service) else { continue };
            if round.executors.is_empty() || self.is_skipped(&id, round) {
                continue;
            }
            if !self.is_known_unplaceable(&id, round) {
                self.place_job(now, &id, round, usize::MAX);
                self.note_if_newly_full(round);
            }
            self.reserve_executors(now, &id, round);
        }
        self.place_remaining_suspects(now, &rounds);
    }

    /// Returns, for each service with waiting jobs, the least of each resource that a task of them needs.
    fn smallest_waiting_needs(&self) -> BTreeMap<ServiceName, Resources> {
        let mut needs: BTreeMap<&ServiceName, Resources> = BTreeMap::new();
        for (queue, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(queue) else { continue };
            for job in ids.iter().filter_map(|id| self.jobs.get(id)) {
                if job.startable.is_empty() {
                    continue;
                }
                let need = needs.entry(&queue.service).or_insert(Resources {
                    cpu_millicores: u64::MAX,
                    memory_mb: u64::MAX,
                    gpus: u64::MAX,
                });
                if queue.needs_advice {
                    // Advice is requested whether there is room or not.
                    *need = Resources::default();
                }
                job.spec.steps.iter().for_each(|step| lower_to(need, &step.allocated()));
            }
        }
        needs.into_iter().map(|(service, need)| (service.clone(), need)).collect()
    }

    fn rank_waiting(
        &self,
        now: Now,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
    ) -> Vec<WaitingJob> {
        let mut waiting = Vec::new();
        for (queue, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(queue) else { continue };
            let is_full = rounds.get(&queue.service).is_some_and(|round| round.is_full);
            let ranked = ids.iter().filter_map(|id| {
                let job = self.jobs.get(id)?;
                if job.startable.is_empty() || (is_full && !needs_visit(job)) {
                    return None;
                }
                let rank = rank(now, job, queue, self.settings.policy);
                let service = queue.service.clone();
                Some(WaitingJob { order: Reverse((rank, id.clone())), service })
            });
            waiting.extend(ranked);
        }
        waiting
    }

    /// Records whether the smallest waiting task fits no executor. Room doesn't grow within a round.
    fn note_if_full(&self, round: &mut PlacementRound) {
        if round.is_full || round.smallest_need == Resources::default() {
            return;
        }
        let need = round.smallest_need;
        let mut executors = round.executors.iter().filter_map(|id| self.executors.get(id));
        round.is_full = !executors.any(|executor| need.fits(&executor.free()));
    }

    /// Calls [`Self::note_if_full`] if a task has fitted no executor since the last call.
    pub(super) fn note_if_newly_full(&self, round: &mut PlacementRound) {
        if std::mem::take(&mut round.has_new_unplaceable) {
            self.note_if_full(round);
        }
    }

    /// Returns whether no task of a job can start in this round because its service is full.
    pub(super) fn is_skipped(&self, id: &JobId, round: &PlacementRound) -> bool {
        round.is_full && self.jobs.get(id).is_some_and(|job| !needs_visit(job))
    }

    /// Returns whether all startable tasks of a job are known to fit no executor.
    fn is_known_unplaceable(&self, id: &JobId, round: &PlacementRound) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| !needs_visit(job)) else { return false };
        let mut last_step = None;
        job.startable.iter().all(|&index| {
            let step = Some(job.step_number(index));
            // Most tasks wait beside others of their step.
            let is_known = last_step == step || round.is_known_unplaceable(job.step(index));
            last_step = step;
            is_known
        })
    }

    pub(super) fn service_of(&self, id: &JobId) -> Option<&ServiceName> {
        let job = self.jobs.get(id)?;
        self.queues.get(&job.queue).map(|queue| &queue.service)
    }

    /// Places startable tasks of a job, at most `max_starts` single tasks or gangs, and returns
    /// whether any was placed.
    pub(super) fn place_job(
        &mut self,
        now: Now,
        id: &JobId,
        round: &mut PlacementRound,
        max_starts: usize,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let startable: Vec<TaskIndex> = job.startable.drain(..).collect();
        let mut kept = Vec::new();
        // The tasks of a step are alike: once one fits no executor, none does.
        let mut full_slots: Vec<Slot> = Vec::new();
        let mut last_choice: Option<(Slot, ExecutorId)> = None;
        let mut placed = 0;
        for index in startable {
            let job = &self.jobs[id];
            if job.tasks[index].phase != Phase::Waiting {
                continue;
            }
            if round.is_over_for(placed, self.executors_compared) {
                kept.push(index);
                continue;
            }
            let (step, slot) = (job.step(index), job.slot(index));
            let is_skipped = placed >= max_starts
                || full_slots.contains(&slot)
                || round.is_known_unplaceable(step)
                || job.tasks[index].not_before > now
                || self.awaits_isolation(job, index);
            if is_skipped {
                kept.push(index);
                continue;
            }
            if !self.is_within_cap(job, index) {
                full_slots.push(slot);
                kept.push(index);
                continue;
            }
            if !self.active_tasks.admit(job, index) {
                self.active_tasks.is_full = true;
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
            let needs_only_room_and_label =
                !is_suspect && self.needs_only_room_and_label(job, step);
            let last = last_choice.take().filter(|(last_slot, _)| *last_slot == slot);
            let chosen = last
                .map(|(_, executor)| executor)
                .filter(|executor| self.is_still_best(&self.jobs[id], index, None, executor))
                .or_else(|| self.choose_executor(now, id, index, None, round));
            if let Some(executor) = chosen {
                last_choice = Some((slot, executor.clone()));
                self.assign(id, index, executor);
                placed += 1;
                continue;
            }
            if needs_only_room_and_label {
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
            job.last_placed_at = Some(now);
            self.mark_changed(id);
        }
        placed > 0
    }

    /// Whether a task, or its whole gang, can start within the cap of its account.
    pub(super) fn is_within_cap(&self, job: &Job, index: TaskIndex) -> bool {
        let step = job.step(index);
        let together = if step.is_gang { step.count } else { 1 };
        self.accounts.allows(job.account.as_ref(), &step.need, together)
    }

    /// Whether only free room and labels decide which executors can run a step.
    fn needs_only_room_and_label(&self, job: &Job, step: &StepSpec) -> bool {
        let needs_advice = self.queues.get(&job.queue).is_some_and(|queue| queue.needs_advice);
        !needs_advice && step.data_rack.is_none() && step.max_per_executor == 0
    }

    pub(super) fn assign(&mut self, id: &JobId, index: TaskIndex, executor: ExecutorId) {
        let job = self.jobs.get_mut(id).expect("the caller has just read it");
        self.active_tasks.add(job, index);
        let task = job.task_to_place(index);
        task.run += 1;
        task.confirmed_at = None;
        task.unanswered_at = None;
        task.late_stop_until = Now::ZERO;
        task.last_reported_at = None;
        task.phase = Phase::Planned { executor: executor.clone() };
        let chosen = self.executors.get_mut(&executor).expect("just chosen");
        task.placed_incarnation = chosen.incarnation;
        allocate(chosen, &mut self.accounts, job, index);
        self.isolate_start(&executor, id, index);
    }

    /// Returns the executor with the lowest placement cost for a task, or `None` if the task fits
    /// nowhere now.
    pub(super) fn choose_executor(
        &mut self,
        now: Now,
        id: &JobId,
        index: TaskIndex,
        rack: Option<&str>,
        round: &PlacementRound,
    ) -> Option<ExecutorId> {
        self.executors_compared += round.executors.len() as u64;
        let job = &self.jobs[id];
        let remote = self.remote_placement(now, round, job, index);
        let is_suspect = self.is_suspect(job, index);
        let need = job.step(index).allocated();
        let permissions = self.permissions(job, index);
        if !permissions.may_start_now(now) {
            self.request_advice(now, id, index, round);
            return None;
        }
        let chosen = round
            .executors_with_room(&need)
            .filter_map(|executor_id| {
                let executor = self.executors.get(executor_id)?;
                if !has_room_for(executor, job, index, rack)
                    || executor.is_isolating(now)
                    || (is_suspect && !self.can_isolate(now, executor, job, index))
                    || !permissions.can_start_on(now, executor_id, executor)
                {
                    return None;
                }
                let is_allowed = match remote {
                    RemotePlacement::Allowed => true,
                    RemotePlacement::WhereRoomy => {
                        is_roomy(executor) || !is_remote(executor, job, index)
                    }
                    RemotePlacement::Forbidden => !is_remote(executor, job, index),
                };
                if !is_allowed {
                    return None;
                }
                let uses_scarce_label =
                    round.has_unneeded_scarce_label(executor_id, job.step(index));
                Some((
                    self.placement_cost(now, executor_id, executor, job, index, uses_scarce_label),
                    executor_id,
                ))
            })
            .min()
            .map(|(_, executor_id)| executor_id.clone());
        let Some(chosen) = chosen else {
            self.request_advice(now, id, index, round);
            return None;
        };
        self.note_chosen(now, &chosen, id, index);
        Some(chosen)
    }

    /// Returns whether the executor that was just chosen for a task of the same step is the best one for this task as well.
    /// With less room left, its cost is lower than before, and that of the others is the same; but other fields of the
    /// cost change with each placement for some steps.
    pub(super) fn is_still_best(
        &self,
        job: &Job,
        index: TaskIndex,
        rack: Option<&str>,
        last: &ExecutorId,
    ) -> bool {
        let step = job.step(index);
        let has_changing_cost = step.is_long_running
            || step.is_filler
            || step.tail_target.is_some()
            || step.max_per_executor > 0
            || step.data_rack.is_some()
            || self.is_suspect(job, index)
            || self.queues.get(&job.queue).is_some_and(|queue| queue.needs_advice);
        let executor = self.executors.get(last).filter(|_| !has_changing_cost);
        executor.is_some_and(|executor| {
            executor.speed.slow_since().is_none() && has_room_for(executor, job, index, rack)
        })
    }

    /// Decides whether a task may be placed outside the rack of its data, where it occupies its
    /// room several times as long. It may if it would still end in time or can't run near its data
    /// at all. Once it is late it may use roomy executors, so that it doesn't wait forever.
    fn remote_placement(
        &self,
        now: Now,
        round: &PlacementRound,
        job: &Job,
        index: TaskIndex,
    ) -> RemotePlacement {
        let step = job.step(index);
        let Some(data_rack) = &step.data_rack else { return RemotePlacement::Allowed };
        let Some(queue) = self.queues.get(&job.queue) else { return RemotePlacement::Allowed };
        let remote_estimate = step.estimate.mul_f64(self.settings.remote_factor.max(1.0));
        let rest = job.remaining_estimate().saturating_sub(step.estimate);
        let due = job.next_occurrence_began_at() + objective(job, queue);
        let permissions = self.permissions(job, index);
        let can_run_near = round.executors.iter().any(|id| {
            let Some(executor) = self.executors.get(id) else { return false };
            let is_near = executor.info.as_ref().is_some_and(|info| {
                info.rack.as_ref() == Some(data_rack) && step.allocated().fits(&info.capacity)
            });
            is_near
                && is_eligible(executor, job, index)
                && permissions.allows(id, executor) != Some(false)
        });
        let has_waited = now.saturating_sub(job.waiting_since(index)) >= MAX_DATA_LOCALITY_WAIT;
        if now + remote_estimate + rest <= due || !can_run_near || has_waited {
            return RemotePlacement::Allowed;
        }
        match (now > due, step.is_gang) {
            (false, _) => RemotePlacement::Forbidden,
            (true, false) => RemotePlacement::WhereRoomy,
            // Gang members need room at the same moment, which may never be available near the
            // data.
            (true, true) => RemotePlacement::Allowed,
        }
    }

    fn placement_cost(
        &self,
        now: Now,
        id: &ExecutorId,
        executor: &Executor,
        job: &Job,
        index: TaskIndex,
        uses_scarce_label: bool,
    ) -> PlacementCost {
        let step = job.step(index);
        let is_tight = self.settings.policy.uses_best_fit;
        let left = executor.free().minus(&step.allocated());
        let interferes = (step.is_filler && executor.serving_tasks > 0)
            || (step.tail_target.is_some() && executor.filler_tasks > 0);
        let is_bounded = step.is_long_running && step.may_miss > 0;
        PlacementCost {
            exceeds_missable: is_bounded && step_tasks_on(executor, job, index) >= step.may_miss,
            endangered_tasks: if job.is_on_probation(index) { executor.tasks.len() } else { 0 },
            blocks_scarce_label: uses_scarce_label && step.is_long_running,
            interferes,
            is_maintenance_due: step.is_long_running && self.machines.has_pending_maintenance(id),
            speed_class: self.speed_class(now, executor, job, index),
            is_remote: is_remote(executor, job, index),
            uses_scarce_label,
            remaining_millicores: if is_tight { left.cpu_millicores } else { 0 },
            remaining_mb: if is_tight { left.memory_mb } else { 0 },
        }
    }
}

/// Lowers each amount to at most that of `other`.
fn lower_to(amount: &mut Resources, other: &Resources) {
    amount.cpu_millicores = amount.cpu_millicores.min(other.cpu_millicores);
    amount.memory_mb = amount.memory_mb.min(other.memory_mb);
    amount.gpus = amount.gpus.min(other.gpus);
}

/// Whether a job is visited even if its service is full. All startable tasks of other jobs are waiting, and an
/// attempt to place them has no effect without room.
fn needs_visit(job: &Job) -> bool {
    job.spec.steps.iter().any(|step| step.is_gang || step.is_long_running)
}

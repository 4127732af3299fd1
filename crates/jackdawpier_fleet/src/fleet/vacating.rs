//! Vacates machines before they are moved or maintained.
//!
//! Tasks that end by themselves get time to finish. Long-running tasks are stopped within the
//! number that their steps may miss, one by one where there are more, and only while another
//! executor has room for them: a task that no other machine can run would be away for as long as
//! the machine is kept free. On a machine that is taken for primary demand of another pool, tasks
//! of late jobs are stopped as well, see `docs/design/overload.md#3-machines-for-on-time-work`.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, PoolName, ServiceName},
};

use super::{
    Command, Fleet, StopReason,
    fitting::has_room_for,
    placement_round::PlacementRound,
    pool_demand::{SecondaryJobs, SecondaryReason, standing_of_task},
    pool_view::PoolView,
};
use crate::{
    executor::{Executor, TaskRef},
    job::{Job, Phase, Task, TaskIndex},
    machines::{
        MachineId, MachineOperation, MachineOrder, MachineState, MachineWork, OperationStage,
        WaveNumber,
    },
    spec::StepSpec,
};

/// Delay before an unanswered order about a machine is repeated.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum time that tasks on a machine get to end before its order is sent all the same.
const MAX_VACATING_TIME: Duration = Duration::from_secs(4);
/// Tasks on an executor count as away once it hasn't answered for this long.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1800);
/// A long-running task counts as back once it has been reported at work for this long. A failure
/// that wasn't ordered counts against the step only after the notice period that operators grant,
/// which is far longer than detecting an unresponsive executor takes.
const STABLE_AFTER: Duration = Duration::from_millis(400);
/// A machine that no task has left for this long accepts work again. A task takes about two seconds
/// to be at work elsewhere before the next one may leave.
const STALLED_AFTER: Duration = Duration::from_secs(6);
/// A long-running task that has waited this long may use a machine that is being vacated.
const REOPEN_FOR_WAIT: Duration = Duration::from_secs(2);

impl Fleet {
    /// Begins the move of a busy machine to a pool that lacks machines for primary demand.
    pub(super) fn begin_busy_move(&mut self, now: Now, machine: MachineId, to: PoolName) {
        self.begin_operation(now, machine.clone(), MachineWork::Move(to));
        if let Some(operation) = self.machines.operations.get_mut(&machine) {
            operation.is_busy_move = true;
        }
    }

    pub(super) fn begin_operation(&mut self, now: Now, machine: MachineId, work: MachineWork) {
        let executor = self.machines.listed.get(&machine).and_then(|info| info.executor.clone());
        let stage = OperationStage::Vacating { since: now };
        let not_before = self.machines.orderable_from(&machine);
        let (long_running, others) = self.task_counts_on(&machine);
        let tasks = long_running + others;
        let operation = MachineOperation {
            work,
            stage,
            executor,
            not_before,
            may_execute_until: Now::ZERO,
            tasks,
            last_progress_at: now,
            is_busy_move: false,
        };
        self.machines.operations.insert(machine, operation);
    }

    /// Returns the numbers of long-running and of other tasks on a machine.
    pub(super) fn task_counts_on(&self, machine: &MachineId) -> (usize, usize) {
        let executor = self
            .machines
            .listed
            .get(machine)
            .and_then(|info| info.executor.as_ref())
            .and_then(|id| self.executors.get(id));
        let Some(executor) = executor else { return (0, 0) };
        let is_long_running = |task: &&crate::executor::TaskRef| {
            self.jobs.get(&task.0).is_some_and(|job| job.step(task.1).is_long_running)
        };
        let long_running = executor.tasks.iter().filter(is_long_running).count();
        (long_running, executor.tasks.len() - long_running)
    }

    /// Whether all long-running steps with tasks on a machine can miss them now, and the executor
    /// on the machine is known.
    pub(super) fn can_lose_machine(&self, now: Now, machine: &MachineId) -> bool {
        let info = self.machines.listed.get(machine);
        let executor = info.and_then(|info| info.executor.as_ref());
        self.machines.is_listing_current(machine)
            && executor.is_none_or(|id| self.can_lose_executor(now, id))
            && (executor.is_some_and(|id| self.is_running_executor(now, id))
                || !self.machines.has_unlisted_executors)
    }

    /// Whether an executor has answered recently, which proves that it runs on its machine.
    fn is_running_executor(&self, now: Now, id: &ExecutorId) -> bool {
        self.executors
            .get(id)
            .is_some_and(|executor| !executor.has_ended && executor.is_responsive(now))
    }

    fn can_lose_executor(&self, now: Now, id: &ExecutorId) -> bool {
        let Some(executor) = self.executors.get(id) else { return true };
        if executor.is_isolating(now) && self.is_isolating_probation(executor) {
            return false;
        }
        executor.tasks_per_slot.iter().all(|((job_id, slot), &here)| {
            let Some(job) = self.jobs.get(job_id) else { return true };
            let step = job.step(job.tasks_in_slot(*slot).start);
            if !step.is_long_running || job.is_over() || step.may_miss == 0 {
                return true;
            }
            let on_it_or_at_work = job.whole_tasks_in_slot(*slot).filter(|(_, task)| {
                task.phase.executor() == Some(id) || self.is_at_work(now, task)
            });
            let away = step.count - on_it_or_at_work.count() as u32;
            away + here <= step.may_miss
        })
    }

    /// Returns the number of tasks of a step that aren't stably at work.
    pub(super) fn tasks_away(&self, now: Now, job: &Job, slot: usize) -> u32 {
        let tasks = job.whole_tasks_in_slot(slot);
        let at_work = tasks.filter(|(_, task)| self.is_at_work(now, task)).count() as u32;
        job.slots.task_count(slot) - at_work
    }

    /// Like [`Self::tasks_away`], without one of the tasks.
    pub(super) fn other_tasks_away(&self, now: Now, job: &Job, index: TaskIndex) -> u32 {
        let itself = u32::from(!self.is_at_work(now, &job.tasks[index]));
        self.tasks_away(now, job, job.slot(index)) - itself
    }

    /// Whether a task has been at work for long enough on an executor that still answers.
    fn is_at_work(&self, now: Now, task: &Task) -> bool {
        let Some(id) = task.phase.executor() else { return false };
        let clock_read_at = self.executors.get(id).and_then(Executor::clock_read_at);
        let is_responsive =
            clock_read_at.is_some_and(|at| now.saturating_sub(at) < UNRESPONSIVE_AFTER);
        let since = task.at_work_since;
        is_responsive
            && now >= task.late_stop_until
            && !self.machines.is_leaving(id)
            && !self.machines.is_executor_locked(now, id)
            && since.is_some_and(|since| now.saturating_sub(since) >= STABLE_AFTER)
    }

    pub(super) fn order_vacated_machines(&mut self, now: Now) {
        self.cancel_stalled_operations(now);
        let machines: Vec<MachineId> = self.machines.operations.keys().cloned().collect();
        if machines.is_empty() {
            return;
        }
        let rounds = self.start_rounds(now);
        let mut slots = self.wave_slots(now);
        for machine in machines {
            let operation = &self.machines.operations[&machine];
            if now < operation.not_before {
                continue;
            }
            let is_due = match operation.stage {
                OperationStage::Vacating { since } => self.is_vacated(now, &machine, since),
                OperationStage::Ordered { at, is_in_flight } => {
                    !is_in_flight
                        && now >= at + ORDER_RETRY_INTERVAL
                        && self.can_lose_machine(now, &machine)
                }
                OperationStage::Away { .. } => false,
            };
            if !is_due || !take_slot(&mut slots, &self.machines.operations[&machine]) {
                self.evict_one_task(now, &machine, &rounds);
                continue;
            }
            self.mark_long_running_away(&machine);
            let operation = self.machines.operations.get_mut(&machine).expect("it was read above");
            operation.stage = OperationStage::Ordered { at: now, is_in_flight: true };
            let work = operation.work.clone();
            self.commands.push(Command::Machine(MachineOrder { machine, work }));
        }
    }

    /// Whether an order about a machine may be sent now. Called right before it is sent, since it
    /// may have been delayed after the decision.
    pub fn may_send_machine_order(&self, now: Now, order: &MachineOrder) -> bool {
        let operation = self.machines.operations.get(&order.machine);
        let is_current = operation.is_some_and(|operation| {
            let is_in_flight =
                matches!(operation.stage, OperationStage::Ordered { is_in_flight: true, .. });
            operation.work == order.work && is_in_flight
        });
        is_current && self.can_lose_machine(now, &order.machine)
    }

    /// Stops one long-running task on a machine that can't be taken yet, so that it can be later:
    /// one of a step of which more tasks run there than it may miss, or, once only long-running
    /// tasks are left, any that its step can miss. A machine runs tasks of many steps, which can
    /// seldom all miss one at the same moment: waiting for that blocked the last tenth of a wave of
    /// 144 of 350 machines.
    fn evict_one_task(
        &mut self,
        now: Now,
        machine: &MachineId,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
    ) {
        let is_vacating =
            matches!(self.machines.operations[machine].stage, OperationStage::Vacating { .. });
        if !is_vacating || !self.settings.policy.migrates_long_running {
            return;
        }
        let (_, others) = self.task_counts_on(machine);
        let mut task = self.excess_task(now, machine, rounds);
        if task.is_none() && others == 0 && !self.can_lose_machine(now, machine) {
            task = self.evictable_task(now, machine, rounds, |_, _| true);
        }
        if let Some(task) = task {
            self.stop_task(now, &task, StopReason::MachineTaken);
        }
    }

    /// Whether a busy machine can be vacated within the limits of its steps: they can miss all its
    /// long-running tasks at once, or one task of a step with too many there has room elsewhere.
    pub(super) fn can_be_vacated(
        &self,
        now: Now,
        machine: &MachineId,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
    ) -> bool {
        self.can_lose_machine(now, machine) || self.excess_task(now, machine, rounds).is_some()
    }

    /// Whether an executor other than the task's own accepts work and has room for the task.
    pub(super) fn has_room_elsewhere(
        &self,
        (id, index): &TaskRef,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
    ) -> bool {
        let job = &self.jobs[id];
        let own = job.tasks[*index].phase.executor();
        let permissions = self.permissions(job, *index);
        let round = self.service_of(id).and_then(|service| rounds.get(service));
        round.is_some_and(|round| {
            let others = round.executors.iter().filter(|id| Some(*id) != own);
            let mut others = others.filter_map(|id| Some((id, self.executors.get(id)?)));
            others.any(|(id, executor)| {
                has_room_for(executor, job, *index, None)
                    && permissions.allows(id, executor) != Some(false)
            })
        })
    }

    /// Returns a task of a step of which more tasks run on a machine than it may miss.
    fn excess_task(
        &self,
        now: Now,
        machine: &MachineId,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
    ) -> Option<TaskRef> {
        self.evictable_task(now, machine, rounds, |step, here| here > step.may_miss)
    }

    /// Returns a long-running task on a machine that its step can miss now and that has room
    /// elsewhere. `is_allowed` filters by the step and the number of its tasks there.
    fn evictable_task(
        &self,
        now: Now,
        machine: &MachineId,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
        is_allowed: impl Fn(&StepSpec, u32) -> bool,
    ) -> Option<TaskRef> {
        let id = self.machines.listed.get(machine)?.executor.as_ref()?;
        let executor = self.executors.get(id)?;
        if executor.is_isolating(now) && self.is_isolating_probation(executor) {
            return None;
        }
        executor.tasks_per_slot.iter().find_map(|((job_id, slot), &here)| {
            let job = self.jobs.get(job_id)?;
            let step = job.step(job.tasks_in_slot(*slot).start);
            let is_bounded = step.is_long_running && step.may_miss > 0;
            if !is_bounded || !is_allowed(step, here) || job.is_over() {
                return None;
            }
            if self.tasks_away(now, job, *slot) >= step.may_miss {
                return None;
            }
            let mut running_here = job.whole_tasks_in_slot(*slot).filter(|(_, task)| {
                let phase = &task.phase;
                phase.executor() == Some(id) && !matches!(phase, Phase::Stopping { .. })
            });
            let (index, _) = running_here.next()?;
            let task = (job_id.clone(), index);
            self.has_room_elsewhere(&task, rounds).then_some(task)
        })
    }

    /// Stops the tasks on machines being taken that are worth least to finish: those of expired jobs
    /// at once, and those of late jobs once no task that can be on time is left beside them. Until
    /// then their room would only be idle. Vacating takes about a second this way, instead of the 2
    /// to 4 until the last task has ended.
    pub(super) fn stop_tasks_for_busy_move(&mut self, now: Now, secondary_jobs: &SecondaryJobs) {
        let taken = self.machines.operations.iter().filter(|(_, one)| is_vacating_take(one));
        let stopped: Vec<TaskRef> = taken
            .filter_map(|(machine, _)| self.machines.listed.get(machine)?.executor.as_ref())
            .filter_map(|id| self.executors.get(id))
            .flat_map(|executor| self.stoppable_tasks(executor, secondary_jobs))
            .collect();
        for task in stopped {
            self.stop_task(now, &task, StopReason::MachineTaken);
        }
    }

    fn stoppable_tasks(&self, executor: &Executor, secondary_jobs: &SecondaryJobs) -> Vec<TaskRef> {
        let standings = executor.tasks.iter().filter_map(|task| {
            let job = self.jobs.get(&task.0)?;
            let is_ending =
                job.is_over() || matches!(job.tasks[task.1].phase, Phase::Stopping { .. });
            (!is_ending).then(|| (task, standing_of_task(job, task.1, secondary_jobs)))
        });
        let standings: Vec<(&TaskRef, Option<SecondaryReason>)> = standings.collect();
        let can_be_on_time = |standing| matches!(standing, None | Some(SecondaryReason::OverShare));
        let has_on_time = standings.iter().any(|(_, standing)| can_be_on_time(*standing));
        let is_stopped = |standing| match standing {
            Some(SecondaryReason::Expired) => true,
            Some(SecondaryReason::Late) => !has_on_time,
            Some(SecondaryReason::OverShare) | None => false,
        };
        let stopped = standings.into_iter().filter(|(_, standing)| is_stopped(*standing));
        stopped.map(|(task, _)| task.clone()).collect()
    }

    /// Cancels takes before their orders are sent if the machine isn't up any more, isn't vacated in
    /// time, or isn't needed by its new pool any more. The machines accept work again. Other moves
    /// end the tasks that are left after [`MAX_VACATING_TIME`], but here they can be on time.
    pub(super) fn cancel_unneeded_busy_moves(
        &mut self,
        now: Now,
        pools: &mut BTreeMap<PoolName, PoolView>,
    ) {
        let machines = &mut self.machines;
        let listed = &machines.listed;
        machines.operations.retain(|machine, operation| {
            let MachineWork::Move(to) = &operation.work else { return true };
            if !is_vacating_take(operation) {
                return true;
            }
            let Some(info) = listed.get(machine) else { return true };
            let Some(pool) = pools.get_mut(to) else { return true };
            let is_late = matches!(
                operation.stage,
                OperationStage::Vacating { since } if now >= since + MAX_VACATING_TIME
            );
            let is_useful = info.state == MachineState::Up && !is_late;
            let is_needed = is_useful && !pool.can_forgo_arriving_machine();
            if !is_needed {
                pool.remove_arriving_machine(&info.labels);
            }
            is_needed
        });
    }

    /// Cancels the operations of vacating machines that no task leaves any more, so that they
    /// accept work again.
    fn cancel_stalled_operations(&mut self, now: Now) {
        let machines: Vec<MachineId> = self.machines.operations.keys().cloned().collect();
        for machine in machines {
            let (long_running, others) = self.task_counts_on(&machine);
            let operation = self.machines.operations.get_mut(&machine).expect("just listed");
            if long_running + others < operation.tasks {
                operation.last_progress_at = now;
            }
            operation.tasks = long_running + others;
            let is_stuck = now.saturating_sub(operation.last_progress_at) >= STALLED_AFTER;
            if is_stuck && matches!(operation.stage, OperationStage::Vacating { .. }) {
                self.machines.operations.remove(&machine);
            }
        }
    }

    /// Cancels the operation of one vacating machine if a long-running task has waited for long and
    /// could run there.
    pub(super) fn reopen_machine(&mut self, now: Now) {
        let long_waiting_task = |job: &Job| {
            let has_waited_long = |index: &&TaskIndex| {
                job.step(**index).is_long_running
                    && job.tasks[**index].phase == Phase::Waiting
                    && now.saturating_sub(job.waiting_since(**index)) >= REOPEN_FOR_WAIT
            };
            job.startable.iter().find(has_waited_long).copied()
        };
        let open_jobs = self.open_jobs.values().flatten().filter_map(|id| self.jobs.get(id));
        let long_running = open_jobs.filter(|job| job.has_long_running_tasks());
        let mut waiting = long_running.filter_map(|job| Some((job, long_waiting_task(job)?)));
        let machine = waiting.find_map(|(job, index)| self.reopenable_machine(job, index));
        if let Some(machine) = machine {
            self.machines.operations.remove(&machine);
        }
    }

    /// Returns a vacating machine whose executor has room for a task.
    fn reopenable_machine(&self, job: &Job, index: TaskIndex) -> Option<MachineId> {
        let service = &self.queues.get(&job.queue)?.service;
        let permissions = self.permissions(job, index);
        let could_run = |(machine, operation): &(&MachineId, &MachineOperation)| {
            let executor =
                operation.executor.as_ref().and_then(|id| Some((id, self.executors.get(id)?)));
            matches!(operation.stage, OperationStage::Vacating { .. })
                && self.machines.listed.get(*machine).is_some_and(|info| info.pool == *service)
                && executor.is_some_and(|(id, executor)| {
                    has_room_for(executor, job, index, None)
                        && permissions.allows(id, executor) != Some(false)
                })
        };
        self.machines.operations.iter().find(could_run).map(|(machine, _)| machine.clone())
    }

    fn is_vacated(&self, now: Now, machine: &MachineId, since: Now) -> bool {
        let (_, others) = self.task_counts_on(machine);
        let is_empty = others == 0 || now >= since + MAX_VACATING_TIME;
        is_empty && self.can_lose_machine(now, machine)
    }

    /// Marks the long-running tasks on a machine as away from the moment that its order is sent.
    fn mark_long_running_away(&mut self, machine: &MachineId) {
        let Some(id) = self.machines.listed.get(machine).and_then(|info| info.executor.clone())
        else {
            return;
        };
        let Some(executor) = self.executors.get(&id) else { return };
        for (job_id, index) in &executor.tasks {
            if let Some(job) = self.jobs.get_mut(job_id) {
                job.tasks[*index].at_work_since = None;
            }
        }
    }
}

/// Whether the order of a machine that was taken while it was busy is still to be sent.
fn is_vacating_take(operation: &MachineOperation) -> bool {
    operation.is_busy_move && !operation.is_away()
}

/// Takes a slot of the wave's bound on machines away and returns whether there was one. An
/// operation whose order was already sent needs no further slot.
fn take_slot(slots: &mut BTreeMap<WaveNumber, usize>, operation: &MachineOperation) -> bool {
    let MachineWork::Maintain(number) = operation.work else { return true };
    if operation.is_away() {
        return true;
    }
    let Some(left) = slots.get_mut(&number).filter(|left| **left > 0) else { return false };
    *left -= 1;
    true
}

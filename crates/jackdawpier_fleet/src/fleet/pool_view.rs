//! Supply and demand of each pool, the input for planning moves.
//!
//! The demand of a pool is its running tasks, its waiting tasks that can still end in time, and
//! arrivals at the current rate. Tasks that wait for a label are also counted separately, since
//! machines with the label that are full of other tasks can't run them.
//!
//! Primary demand excludes late jobs and those beyond the share of their client account. Counted in
//! full, the late backlog of one pool held 239 of 350 machines while on-time work of three others
//! waited. See `docs/design/overload.md#3-machines-for-on-time-work`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{PoolName, ServiceName},
};

use super::{
    Fleet,
    busy_machines::BusyMachine,
    fitting::count_fitting,
    label_need::LabelNeed,
    label_shares::ShareBounds,
    pool_demand::{
        PrimaryDemand, SecondaryJobs, SecondaryReason, elapsed, has_running_tasks, min_machines,
        min_start_millicores, standing_of_task, start_group_size, time_run,
    },
};
use crate::{
    executor::{Executor, TaskRef},
    job::{Job, TaskIndex},
    job_rank::{Rank, rank},
    machines::{MachineId, MachineState, MachineWork},
    policy::Policy,
    spec::{Label, Queue, Resources},
};

/// A job is checked for being stuck once it has waited for this long.
const STUCK_CHECK_AFTER: Duration = Duration::from_secs(5);

/// A task, or its gang, that never finds room beside the long-running tasks of its pool.
#[derive(Debug, Clone)]
pub(super) struct StuckTask {
    since: Now,
    pub(super) task: TaskRef,
}

/// Supply and demand of one pool.
#[derive(Debug, Default, Clone)]
pub(super) struct PoolView {
    /// Machines that are up and stay in the pool.
    pub(super) up_machines: usize,
    /// Machines on their way to the pool.
    arriving_machines: usize,
    /// Machines of the pool that run nothing.
    pub(super) idle_machines: Vec<MachineId>,
    /// Machines of the pool that run tasks; see [`Fleet::add_busy_machines`].
    pub(super) busy_machines: Vec<BusyMachine>,
    /// Whether any task waits in the pool, also of jobs whose demand isn't primary.
    has_waiting: bool,
    /// Capacity of one machine.
    machine_capacity: Resources,
    /// Demand of running, waiting and arriving tasks.
    need_millicores: u64,
    /// Part of the demand for which other pools give up machines.
    primary: PrimaryDemand,
    /// Machines that the waiting long-running steps need under their limits on tasks per executor.
    min_machines: usize,
    /// Additional machines that a stuck job needs beside long-running tasks.
    missing_for_stuck: usize,
    /// The task that has been stuck longest.
    pub(super) stuck: Option<StuckTask>,
    /// Supply and demand by label, for the labels that open jobs require.
    labels: BTreeMap<Label, LabelNeed>,
}

impl PoolView {
    pub(super) fn needed_machines(&self) -> usize {
        self.machines_for(self.need_millicores)
    }

    /// Returns the number of machines needed for primary demand.
    pub(super) fn primary_machines(&self) -> usize {
        self.machines_for(self.primary.need_millicores)
    }

    fn machines_for(&self, millicores: u64) -> usize {
        let for_demand = millicores.div_ceil(self.machine_capacity.cpu_millicores.max(1)) as usize;
        for_demand.max(self.min_machines)
    }

    /// Whether the pool has demand that isn't primary.
    pub(super) fn has_secondary_demand(&self) -> bool {
        self.need_millicores > self.primary.need_millicores
    }

    /// Returns the highest priority of the waiting primary tasks that require a label, or no label.
    pub(super) fn urgency(&self, label: Option<&Label>) -> Option<u32> {
        self.primary.urgency.get(&label.cloned()).copied()
    }

    pub(super) fn total_machines(&self) -> usize {
        self.up_machines + self.arriving_machines
    }

    /// Returns the number of machines that are up or on their way; with a label only those that
    /// have it.
    pub(super) fn machines_with_label(&self, label: Option<&Label>) -> usize {
        label.map_or(self.total_machines(), |label| {
            self.labels.get(label).map_or(0, |need| need.machines)
        })
    }

    pub(super) fn missing_machines(&self) -> usize {
        let for_demand = self.needed_machines().saturating_sub(self.total_machines());
        for_demand.max(self.missing_for_stuck.saturating_sub(self.arriving_machines))
    }

    /// Returns the number of machines missing for primary demand.
    pub(super) fn missing_for_primary(&self) -> usize {
        let for_demand = self.primary_machines().saturating_sub(self.total_machines());
        for_demand.max(self.primary.missing_for_stuck.saturating_sub(self.arriving_machines))
    }

    /// Returns the number of machines missing for primary demand when a busy machine could arrive.
    pub(super) fn missing_at_arrival(&self) -> usize {
        let machines = self.total_machines();
        let supply_millicores = self.machine_capacity.cpu_millicores * machines as u64;
        let needed = self.primary.outlook.millicores_at_arrival(supply_millicores);
        let for_demand = self.machines_for(needed).saturating_sub(machines);
        let for_stuck = self.primary.missing_for_stuck.saturating_sub(self.arriving_machines);
        for_demand.max(for_stuck).min(self.missing_for_primary())
    }

    /// Returns how many machines of the pool become idle by themselves soon and can be given up.
    /// While tasks wait, they are refilled.
    pub(super) fn idle_soon(&self, kept: usize) -> usize {
        if self.has_waiting {
            return 0;
        }
        let outlook = &self.primary.outlook;
        let lasting = outlook.long_running_millicores.saturating_add(outlook.arriving_millicores);
        let needed = kept.max(self.machines_for(lasting)) + self.idle_machines.len();
        let ending = self.busy_machines.iter().filter(|machine| machine.is_idle_soon()).count();
        ending.min(self.up_machines.saturating_sub(needed))
    }

    /// Returns the number of missing machines for each label.
    pub(super) fn missing_by_label(&self) -> impl Iterator<Item = (&Label, usize)> {
        self.labels
            .iter()
            .map(|(label, need)| (label, need.missing_machines(&self.machine_capacity)))
    }

    /// Whether a machine with these labels can leave the pool. Each required label keeps at least
    /// one machine, and enough room for its waiting tasks.
    pub(super) fn can_spare(&self, labels: &[Label]) -> bool {
        labels.iter().filter_map(|label| self.labels.get(label)).all(|need| {
            let left_tasks =
                need.tasks_with_room.saturating_sub(need.tasks_fitting(&self.machine_capacity));
            need.machines > 1 && left_tasks >= need.waiting
        })
    }

    /// Returns the bounds of the pool's share of the machines with a label.
    pub(super) fn share_bounds(&self, label: &Label) -> ShareBounds {
        let need = self.labels.get(label);
        need.map_or_else(ShareBounds::default, |need| need.share_bounds(&self.machine_capacity))
    }

    /// Subtracts a machine with these labels that is about to leave.
    pub(super) fn remove_machine_labels(&mut self, labels: &[Label]) {
        for label in labels {
            if let Some(need) = self.labels.get_mut(label) {
                need.machines = need.machines.saturating_sub(1);
                need.tasks_with_room =
                    need.tasks_with_room.saturating_sub(need.tasks_fitting(&self.machine_capacity));
            }
        }
    }

    /// Adds a machine with these labels that is on its way to the pool.
    pub(super) fn add_arriving_machine(&mut self, labels: &[Label]) {
        self.arriving_machines += 1;
        let room = self.machine_capacity;
        self.add_machine_labels(labels, &room);
    }

    /// Whether the pool has enough machines for primary demand without one that is on its way.
    pub(super) fn can_forgo_arriving_machine(&self) -> bool {
        let is_enough = self.primary_machines() < self.total_machines();
        is_enough && self.primary.missing_for_stuck < self.arriving_machines.max(1)
    }

    /// Subtracts a machine with these labels that won't arrive.
    pub(super) fn remove_arriving_machine(&mut self, labels: &[Label]) {
        self.arriving_machines = self.arriving_machines.saturating_sub(1);
        self.remove_machine_labels(labels);
    }

    /// Adds a machine with these labels and this free room to the supply by label.
    fn add_machine_labels(&mut self, labels: &[Label], room: &Resources) {
        for label in labels {
            if let Some(need) = self.labels.get_mut(label) {
                need.machines += 1;
                need.tasks_with_room =
                    need.tasks_with_room.saturating_add(need.tasks_fitting(room));
            }
        }
    }
}

impl Fleet {
    /// Returns the supply and demand of each pool, and the running jobs whose demand is secondary.
    pub(super) fn pool_views(&mut self, now: Now) -> (BTreeMap<PoolName, PoolView>, SecondaryJobs) {
        let mut pools: BTreeMap<PoolName, PoolView> = self
            .queues
            .values()
            .map(|queue| (queue.service.clone(), PoolView::default()))
            .collect();
        self.set_machine_capacities(&mut pools);
        let scarce = self.scarce_labels();
        self.add_label_needs(&mut pools, &scarce);
        let secondary_jobs = self.add_waiting(now, &mut pools);
        for info in self.machines.listed.values() {
            let operation = self.machines.operations.get(&info.id);
            if let Some(MachineWork::Move(to)) = operation.map(|operation| &operation.work) {
                if let Some(pool) = pools.get_mut(to) {
                    pool.add_arriving_machine(&info.labels);
                }
                continue;
            }
            let Some(pool) = pools.get_mut(&info.pool) else { continue };
            let executor = info.executor.as_ref().and_then(|id| self.executors.get(id));
            let Some(executor) = executor.filter(|_| info.state == MachineState::Up) else {
                continue;
            };
            let Some(known) = &executor.info else { continue };
            let allocated_millicores = executor.allocated.cpu_millicores;
            pool.need_millicores += allocated_millicores;
            pool.primary.need_millicores += allocated_millicores
                .saturating_sub(self.secondary_millicores(executor, &secondary_jobs));
            // A frozen executor accepts no work for some seconds, so it isn't supply.
            if known.is_draining || operation.is_some() || executor.is_frozen() {
                continue;
            }
            pool.up_machines += 1;
            pool.add_machine_labels(&info.labels, &executor.free());
            let shared = info.labels.iter().filter(|label| scarce.contains(label));
            shared.for_each(|label| self.add_labelled_load(pool, label, executor));
            let is_held = self.machines.is_locked(now, &info.id);
            if executor.tasks.is_empty() && executor.is_synced && !is_held {
                pool.idle_machines.push(info.id.clone());
            }
        }
        self.add_stuck_jobs(now, &mut pools);
        for (name, pool) in &mut pools {
            let policy = self.settings.policy;
            let mut arriving = |policy| {
                self.arrivals.get_mut(name).map_or(0, |one| one.demand_millicores(now, policy))
            };
            // Extrapolating the first second of steady arrivals triples them. Moving idle machines
            // unnecessarily costs nothing, but moving busy ones costs the work that they ran.
            let steady = Policy { detects_bursts: false, extrapolates_trend: false, ..policy };
            pool.primary.outlook.arriving_millicores = arriving(steady);
            let arriving = arriving(policy);
            pool.primary.need_millicores = pool.primary.need_millicores.max(arriving);
            pool.need_millicores = pool.need_millicores.max(pool.primary.need_millicores);
        }
        (pools, secondary_jobs)
    }

    /// Returns the CPU that the tasks of secondary jobs use on an executor.
    fn secondary_millicores(&self, executor: &Executor, secondary_jobs: &SecondaryJobs) -> u64 {
        if secondary_jobs.is_empty() {
            return 0;
        }
        let jobs =
            executor.tasks.iter().filter_map(|(id, index)| Some((self.jobs.get(id)?, *index)));
        jobs.filter(|(job, index)| standing_of_task(job, *index, secondary_jobs).is_some())
            .map(|(job, index)| job.step(index).allocated().cpu_millicores)
            .sum()
    }

    /// Lists the busy machines of each pool. Called only if they are needed, since it examines all
    /// running tasks.
    pub(super) fn add_busy_machines(
        &self,
        now: Now,
        pools: &mut BTreeMap<PoolName, PoolView>,
        secondary_jobs: &SecondaryJobs,
    ) {
        for info in self.machines.listed.values() {
            let Some(pool) = pools.get_mut(&info.pool) else { continue };
            let is_movable = info.state == MachineState::Up
                && !self.machines.operations.contains_key(&info.id)
                && !self.machines.is_locked(now, &info.id);
            let executor = info.executor.as_ref().and_then(|id| self.executors.get(id));
            let Some(executor) = executor.filter(|executor| {
                is_movable
                    && executor.is_usable()
                    && executor.is_responsive(now)
                    && !executor.is_isolating(now)
                    && !executor.tasks.is_empty()
            }) else {
                continue;
            };
            pool.busy_machines.push(self.busy_machine(now, &info.id, executor, secondary_jobs));
        }
    }

    fn busy_machine(
        &self,
        now: Now,
        id: &MachineId,
        executor: &Executor,
        secondary_jobs: &SecondaryJobs,
    ) -> BusyMachine {
        let mut machine = BusyMachine {
            id: id.clone(),
            has_long_running: false,
            primary_millicores: 0,
            secondary_tasks: 0,
            on_time_remaining: Duration::ZERO,
            remaining: Duration::ZERO,
        };
        for task in &executor.tasks {
            let Some(job) = self.jobs.get(&task.0) else { continue };
            let step = job.step(task.1);
            // A task that exceeds its estimate may go on for as long as it has exceeded it.
            let remaining = step.estimate.abs_diff(elapsed(now, &job.tasks[task.1]));
            let standing = standing_of_task(job, task.1, secondary_jobs);
            machine.has_long_running |= step.is_long_running;
            machine.remaining = machine.remaining.max(remaining);
            if matches!(standing, None | Some(SecondaryReason::OverShare)) {
                machine.on_time_remaining = machine.on_time_remaining.max(remaining);
            }
            match standing {
                None => machine.primary_millicores += step.allocated().cpu_millicores,
                Some(_) => machine.secondary_tasks += 1,
            }
        }
        machine
    }

    /// Sets the machine capacity of each pool to that of its largest machine, or of the fleet's
    /// largest if it has none. An executor that hasn't answered counts only if none of its pool
    /// has: a registration of another writer with an absurd capacity would let the pool appear to
    /// need a single machine.
    fn set_machine_capacities(&self, pools: &mut BTreeMap<PoolName, PoolView>) {
        let has_answered = |executor: &&Executor| executor.clock_read_at().is_some();
        let (answered, silent): (Vec<&Executor>, Vec<&Executor>) =
            self.executors.unordered_values().partition(has_answered);
        for executors in [answered, silent] {
            let is_unknown = |pool: &PoolView| pool.machine_capacity == Resources::default();
            let unknown: BTreeSet<PoolName> = pools
                .iter()
                .filter(|(_, pool)| is_unknown(pool))
                .map(|(name, _)| name.clone())
                .collect();
            let infos = executors.iter().filter_map(|executor| executor.info.as_ref());
            for info in infos.filter(|info| unknown.contains(&info.service)) {
                if let Some(pool) = pools.get_mut(&info.service) {
                    pool.machine_capacity.raise_to(&info.capacity);
                }
            }
        }
        let mut largest = Resources { cpu_millicores: 1, ..Resources::default() };
        pools.values().for_each(|pool| largest.raise_to(&pool.machine_capacity));
        let unknown =
            pools.values_mut().filter(|pool| pool.machine_capacity == Resources::default());
        unknown.for_each(|pool| pool.machine_capacity = largest);
    }

    /// Adds the waiting tasks that require a label.
    fn add_label_needs(&self, pools: &mut BTreeMap<PoolName, PoolView>, scarce: &[&Label]) {
        for (queue, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(queue) else { continue };
            let Some(pool) = pools.get_mut(&queue.service) else { continue };
            for job in ids.iter().filter_map(|id| self.jobs.get(id)) {
                if job.spec.steps.iter().all(|step| step.required_label.is_none()) {
                    continue;
                }
                for label in job.spec.steps.iter().filter_map(|step| step.required_label.as_ref()) {
                    pool.labels.entry(label.clone()).or_default();
                }
                for (slot, _) in job.slots.open() {
                    let step = job.step_of_slot(slot);
                    let Some(label) = &step.required_label else { continue };
                    if let Some(need) = pool.labels.get_mut(label) {
                        need.add_waiting(step, job.waiting_in_slot(slot), scarce.contains(&label));
                    }
                }
            }
        }
    }

    /// Adds the tasks on an executor that require a label of it.
    fn add_labelled_load(&self, pool: &mut PoolView, label: &Label, executor: &Executor) {
        let Some(need) = pool.labels.get_mut(label) else { return };
        let mut is_pinned = false;
        for (id, index) in &executor.tasks {
            let Some(job) = self.jobs.get(id) else { continue };
            let step = job.step(*index);
            if step.required_label.as_ref() == Some(label) {
                need.need_millicores += step.allocated().cpu_millicores;
                is_pinned |= step.is_long_running;
            }
        }
        need.pinned += usize::from(is_pinned);
    }

    /// Finds the job of each pool that has been stuck longest, and the machines that it is missing.
    /// Long-running tasks may leave enough cores in total but on no single executor enough for one
    /// of its tasks. Machines with a label are counted by [`LabelNeed`].
    fn add_stuck_jobs(&self, now: Now, pools: &mut BTreeMap<PoolName, PoolView>) {
        for (queue, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(queue) else { continue };
            let Some(pool) = pools.get_mut(&queue.service) else { continue };
            let waiting = ids.iter().filter_map(|id| self.jobs.get(id));
            let stuck = waiting.filter_map(|job| Some((self.stuck_since(now, job, pool)?, job)));
            let Some((since, job)) = stuck.min_by_key(|(since, job)| (*since, &job.id)) else {
                continue;
            };
            let index = job.startable[0];
            let missing = self.missing_machines_for(job, index, &queue.service, pool);
            if missing == 0 {
                continue;
            }
            if job.step(index).required_label.is_none() {
                pool.missing_for_stuck = pool.missing_for_stuck.max(missing);
                if self.standing(&self.rank_of(now, job, queue)).is_none() {
                    let primary = &mut pool.primary;
                    primary.missing_for_stuck = primary.missing_for_stuck.max(missing);
                }
            }
            let stuck = StuckTask { since, task: (job.id.clone(), index) };
            if pool.stuck.as_ref().is_none_or(|other| since < other.since) {
                pool.stuck = Some(stuck);
            }
        }
    }

    /// Returns since when the next task of a job has been waiting, if it has waited for long and a
    /// machine of the pool could run it.
    fn stuck_since(&self, now: Now, job: &Job, pool: &PoolView) -> Option<Now> {
        let index = *job.startable.front()?;
        let since = job.waiting_since(index);
        let has_waited = now.saturating_sub(since) >= STUCK_CHECK_AFTER;
        let can_ever_run = pool.machine_capacity.fit_count(&job.step(index).allocated()) > 0;
        (has_waited && can_ever_run && self.is_within_cap(job, index)).then_some(since)
    }

    /// Returns how many more machines a task, or its gang, needs beside the long-running tasks of
    /// its service.
    fn missing_machines_for(
        &self,
        job: &Job,
        index: TaskIndex,
        service: &ServiceName,
        pool: &PoolView,
    ) -> usize {
        let of_service = self.by_service.get(service).into_iter().flatten();
        let executors = of_service.filter_map(|id| self.executors.get(id));
        let staying = executors.filter(|executor| executor.is_usable());
        let room = staying.map(|executor| {
            count_fitting(executor, job, index, &self.room_beside_long_running(executor))
        });
        let step = job.step(index);
        let lacking = start_group_size(step).saturating_sub(room.fold(0, usize::saturating_add));
        let per_machine = match step.max_per_executor {
            0 => pool.machine_capacity.fit_count(&step.allocated()),
            most => pool.machine_capacity.fit_count(&step.allocated()).min(most as usize),
        };
        if per_machine == 0 { 0 } else { lacking.div_ceil(per_machine) }
    }

    /// Returns the room on an executor that its long-running tasks leave.
    pub(super) fn room_beside_long_running(&self, executor: &Executor) -> Resources {
        let Some(info) = &executor.info else { return Resources::default() };
        let mut booked = Resources::default();
        for (id, index) in &executor.tasks {
            let step = self.jobs.get(id).map(|job| job.step(*index));
            step.filter(|step| step.is_long_running)
                .iter()
                .for_each(|step| booked.add(&step.allocated()));
        }
        info.capacity.minus(&booked)
    }

    /// Adds the waiting tasks of jobs that can still end in time, within the caps of their
    /// accounts, and returns the jobs with running tasks whose demand is secondary.
    fn add_waiting(&self, now: Now, pools: &mut BTreeMap<PoolName, PoolView>) -> SecondaryJobs {
        let mut headroom = self.accounts.headroom();
        // Secondary jobs must not use up the headroom before primary jobs of the same account.
        let mut primary_headroom = self.accounts.headroom();
        let mut secondary_jobs = Vec::new();
        for (queue, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(queue) else { continue };
            let Some(pool) = pools.get_mut(&queue.service) else { continue };
            let mut least_millicores = 0;
            for job in ids.iter().filter_map(|id| self.jobs.get(id)) {
                let rank = self.rank_of(now, job, queue);
                let standing = self.standing(&rank);
                pool.has_waiting |= !job.startable.is_empty();
                if has_running_tasks(job) {
                    match standing {
                        Some(standing) => secondary_jobs.push((job.id.clone(), standing)),
                        None => pool.primary.add_running(now, job),
                    }
                }
                if rank.is_expired() {
                    least_millicores = least_millicores.max(min_start_millicores(job));
                    continue;
                }
                let mut millicores = 0;
                for (step, tasks) in job.startable_by_step() {
                    let step = &job.spec.steps[step];
                    pool.min_machines = pool.min_machines.max(min_machines(step));
                    millicores += step.allocated().cpu_millicores * tasks;
                }
                pool.need_millicores += headroom.take(job.account.as_ref(), millicores);
                if standing.is_none() {
                    let allowed = primary_headroom.take(job.account.as_ref(), millicores);
                    pool.primary.add_waiting(job, queue.priority, allowed);
                }
            }
            // Expired jobs still have to end, so there must be room for the largest of them.
            pool.need_millicores += least_millicores;
            pool.primary.need_millicores += least_millicores;
        }
        secondary_jobs.into_iter().collect()
    }

    /// Returns the rank of a job, whose running tasks need only the rest of their estimates.
    fn rank_of(&self, now: Now, job: &Job, queue: &Queue) -> Rank {
        rank(now.saturating_sub(time_run(now, job)), job, queue, self.settings.policy)
    }

    /// Returns why the demand of a job is secondary, or `None` if it is primary.
    fn standing(&self, rank: &Rank) -> Option<SecondaryReason> {
        if rank.is_primary() || !self.settings.policy.takes_busy_machines {
            return None;
        }
        Some(match (rank.is_expired(), rank.is_late()) {
            (true, _) => SecondaryReason::Expired,
            (false, true) => SecondaryReason::Late,
            (false, false) => SecondaryReason::OverShare,
        })
    }
}

//! What each pool holds and needs, as the planning of moves sees it.
//!
//! A pool's need is what runs, what waits and may still be of use, and what arrives at the present
//! rate. Tasks that wait for a label are counted for themselves as well: machines with the label that
//! are full of other work are none for them.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{PoolName, ServiceName},
};

use super::{Fleet, label_need::LabelNeed, label_shares::ShareBounds, placement::count_fitting};
use crate::{
    executor::{Executor, TaskRef},
    job::{Job, Phase, TaskIndex},
    machines::{MachineId, MachineState, MachineWork},
    order::rank,
    spec::{Label, Resources, StepSpec},
};

/// A job that has waited for this long may be one for which there never is room.
const STUCK_AFTER: Duration = Duration::from_secs(5);

/// A task, or its gang, for which there is never room beside the lasting work of its pool.
#[derive(Debug, Clone)]
pub(super) struct StuckTask {
    since: Now,
    pub(super) task: TaskRef,
}

/// A pool as planning sees it.
#[derive(Debug, Default, Clone)]
pub(super) struct PoolView {
    /// Machines in it that are up and stay.
    pub(super) up: usize,
    /// Machines on their way to it.
    arriving: usize,
    /// Those of its machines that run nothing.
    pub(super) idle: Vec<MachineId>,
    /// Room of one machine.
    machine: Resources,
    /// What runs, waits and arrives, in thousandths of a core.
    need_millicores: u64,
    /// Machines over which a lasting step has to be spread of which some task waits: it allows so many a machine.
    min_machines: usize,
    /// Machines without which a job that has waited for long never finds room beside lasting work.
    missing: usize,
    /// That job.
    pub(super) stuck: Option<StuckTask>,
    /// Machines and need by label, for the labels that open jobs ask for.
    labels: BTreeMap<Label, LabelNeed>,
}

impl PoolView {
    pub(super) fn needed(&self) -> usize {
        let for_need = self.need_millicores.div_ceil(self.machine.cpu_millicores.max(1)) as usize;
        for_need.max(self.min_machines)
    }

    pub(super) fn holds(&self) -> usize {
        self.up + self.arriving
    }

    /// Machines with a label that are up or on their way; of any kind without one.
    pub(super) fn holds_with_label(&self, label: Option<&Label>) -> usize {
        label.map_or(self.holds(), |label| self.labels.get(label).map_or(0, |need| need.machines))
    }

    pub(super) fn lacks(&self) -> usize {
        let for_need = self.needed().saturating_sub(self.holds());
        for_need.max(self.missing.saturating_sub(self.arriving))
    }

    /// Machines with each label that are missing.
    pub(super) fn lacks_by_label(&self) -> impl Iterator<Item = (&Label, usize)> {
        self.labels.iter().map(|(label, need)| (label, need.missing_machines(&self.machine)))
    }

    /// Whether a machine with these labels can go without one of them missing: each label that is asked
    /// for keeps a machine, and as many as its tasks need.
    pub(super) fn can_spare(&self, labels: &[Label]) -> bool {
        labels.iter().filter_map(|label| self.labels.get(label)).all(|need| {
            let left_tasks = need.tasks_with_room.saturating_sub(need.tasks_fitting(&self.machine));
            need.machines > 1 && left_tasks >= need.waiting
        })
    }

    /// What bounds its part of the machines with a label.
    pub(super) fn share_bounds(&self, label: &Label) -> ShareBounds {
        let need = self.labels.get(label);
        need.map_or_else(ShareBounds::default, |need| need.share_bounds(&self.machine))
    }

    /// A machine with these labels is about to leave.
    pub(super) fn remove_machine_labels(&mut self, labels: &[Label]) {
        for label in labels {
            if let Some(need) = self.labels.get_mut(label) {
                need.machines = need.machines.saturating_sub(1);
                need.tasks_with_room =
                    need.tasks_with_room.saturating_sub(need.tasks_fitting(&self.machine));
            }
        }
    }

    /// A machine with these labels is on its way to the pool.
    pub(super) fn add_arriving_machine(&mut self, labels: &[Label]) {
        self.arriving += 1;
        let room = self.machine;
        self.add_machine_labels(labels, &room);
    }

    /// Counts a machine with these labels that has this room left.
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
    pub(super) fn pool_views(&mut self, now: Now) -> BTreeMap<PoolName, PoolView> {
        let mut pools: BTreeMap<PoolName, PoolView> = self
            .queues
            .values()
            .map(|queue| (queue.service.clone(), PoolView::default()))
            .collect();
        self.size_machines(&mut pools);
        let scarce = self.scarce_labels();
        self.add_label_needs(&mut pools, &scarce);
        for info in self.machines.listed.values() {
            let errand = self.machines.errands.get(&info.id);
            if let Some(MachineWork::Move(to)) = errand.map(|errand| &errand.work) {
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
            pool.need_millicores += executor.booked.cpu_millicores;
            // A frozen executor takes no work for the rest of its life: it is no room for anybody.
            if known.is_draining || errand.is_some() || executor.is_frozen {
                continue;
            }
            pool.up += 1;
            pool.add_machine_labels(&info.labels, &executor.free());
            let shared = info.labels.iter().filter(|label| scarce.contains(label));
            shared.for_each(|label| self.add_labelled_load(pool, label, executor));
            let is_held = self.machines.is_held(now, &info.id);
            if executor.tasks.is_empty() && executor.is_synced && !is_held {
                pool.idle.push(info.id.clone());
            }
        }
        self.add_waiting(now, &mut pools);
        self.add_missing(now, &mut pools);
        for (name, pool) in &mut pools {
            let policy = self.settings.policy;
            let arriving = self.arrivals.get_mut(name).map_or(0, |one| one.millicores(now, policy));
            pool.need_millicores = pool.need_millicores.max(arriving);
        }
        pools
    }

    /// Notes the room of each pool's largest machine; a pool without one is taken for one of the
    /// fleet's largest.
    fn size_machines(&self, pools: &mut BTreeMap<PoolName, PoolView>) {
        let mut largest = Resources { cpu_millicores: 1, ..Resources::default() };
        for info in self.executors.unordered().filter_map(|executor| executor.info.as_ref()) {
            largest.raise_to(&info.capacity);
            if let Some(pool) = pools.get_mut(&info.service) {
                pool.machine.raise_to(&info.capacity);
            }
        }
        let unknown = pools.values_mut().filter(|pool| pool.machine == Resources::default());
        unknown.for_each(|pool| pool.machine = largest);
    }

    /// Counts what waits and can only run on machines with a certain label.
    fn add_label_needs(&self, pools: &mut BTreeMap<PoolName, PoolView>, scarce: &[&Label]) {
        for (queue, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(queue) else { continue };
            let Some(pool) = pools.get_mut(&queue.service) else { continue };
            for job in ids.iter().filter_map(|id| self.jobs.get(id)) {
                if job.spec.steps.iter().all(|step| step.required_label.is_none()) {
                    continue;
                }
                for (index, task) in job.tasks.iter().enumerate() {
                    let step = job.step(index);
                    let Some(label) = &step.required_label else { continue };
                    let need = pool.labels.entry(label.clone()).or_default();
                    let is_open = job.progress[job.slot(index)].is_open;
                    if is_open && task.phase == Phase::Waiting {
                        need.add_waiting(step, scarce.contains(&label));
                    }
                }
            }
        }
    }

    /// Adds what runs on a machine and needs a label of it.
    fn add_labelled_load(&self, pool: &mut PoolView, label: &Label, executor: &Executor) {
        let Some(need) = pool.labels.get_mut(label) else { return };
        let mut is_pinned = false;
        for (id, index) in &executor.tasks {
            let Some(job) = self.jobs.get(id) else { continue };
            let step = job.step(*index);
            if step.required_label.as_ref() == Some(label) {
                need.need_millicores += step.booked().cpu_millicores;
                is_pinned |= step.is_long_running;
            }
        }
        need.pinned += usize::from(is_pinned);
    }

    /// Notes the longest waiting job of each pool if there will never be room for it, and the machines that it lacks:
    /// lasting work may leave enough cores in all and on no executor enough for one of its tasks. Machines with a
    /// label are counted by [`LabelNeed`].
    fn add_missing(&self, now: Now, pools: &mut BTreeMap<PoolName, PoolView>) {
        for (queue, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(queue) else { continue };
            let Some(pool) = pools.get_mut(&queue.service) else { continue };
            let waiting = ids.iter().filter_map(|id| self.jobs.get(id));
            let stuck = waiting.filter_map(|job| Some((self.stuck_since(now, job, pool)?, job)));
            let Some((since, job)) = stuck.min_by_key(|(since, job)| (*since, &job.id)) else {
                continue;
            };
            let index = job.startable[0];
            let missing = self.missing_for(job, index, &queue.service, pool);
            if missing == 0 {
                continue;
            }
            if job.step(index).required_label.is_none() {
                pool.missing = pool.missing.max(missing);
            }
            let stuck = StuckTask { since, task: (job.id.clone(), index) };
            if pool.stuck.as_ref().is_none_or(|other| since < other.since) {
                pool.stuck = Some(stuck);
            }
        }
    }

    /// Since when the next task of a job waits, if that is long and a machine of the pool could run it.
    fn stuck_since(&self, now: Now, job: &Job, pool: &PoolView) -> Option<Now> {
        let index = *job.startable.front()?;
        let since = job.tasks[index].waits_since;
        let has_waited = now.saturating_sub(since) >= STUCK_AFTER;
        let could_run = pool.machine.count(&job.step(index).booked()) > 0;
        (has_waited && could_run && self.is_within_cap(job, index)).then_some(since)
    }

    /// Machines that a task, or its gang, lacks beside the lasting work of its service.
    fn missing_for(
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
            0 => pool.machine.count(&step.booked()),
            most => pool.machine.count(&step.booked()).min(most as usize),
        };
        if per_machine == 0 { 0 } else { lacking.div_ceil(per_machine) }
    }

    /// Room that an executor has once all else than lasting work has ended.
    pub(super) fn room_beside_long_running(&self, executor: &Executor) -> Resources {
        let Some(info) = &executor.info else { return Resources::default() };
        let mut booked = Resources::default();
        for (id, index) in &executor.tasks {
            let step = self.jobs.get(id).map(|job| job.step(*index));
            step.filter(|step| step.is_long_running)
                .iter()
                .for_each(|step| booked.add(&step.booked()));
        }
        info.capacity.minus(&booked)
    }

    /// Adds what waits and may still be of use, as far as the caps of the accounts let it run.
    fn add_waiting(&self, now: Now, pools: &mut BTreeMap<PoolName, PoolView>) {
        let mut headroom = self.accounts.headroom();
        for (queue, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(queue) else { continue };
            let Some(pool) = pools.get_mut(&queue.service) else { continue };
            let mut least_millicores = 0;
            for job in ids.iter().filter_map(|id| self.jobs.get(id)) {
                if rank(now, job, queue, self.settings.policy).is_hopeless() {
                    least_millicores = least_millicores.max(least_room(job));
                    continue;
                }
                let spread = job.startable.iter().map(|&index| min_machines(job.step(index)));
                pool.min_machines = pool.min_machines.max(spread.max().unwrap_or(0));
                let waiting = job.startable.iter().map(|&index| job.step(index).booked());
                let millicores = waiting.map(|need| need.cpu_millicores).sum::<u64>();
                pool.need_millicores += headroom.take(job.account.as_ref(), millicores);
            }
            // What can't earn any more still has to end: there must be room for the largest of it.
            pool.need_millicores += least_millicores;
        }
    }
}

/// Machines that a lasting step can't do without; none if it doesn't say.
fn min_machines(step: &StepSpec) -> usize {
    let is_bounded = step.is_long_running && step.max_per_executor > 0;
    if is_bounded { step.count.div_ceil(step.max_per_executor) as usize } else { 0 }
}

/// Tasks of a step that start only together.
pub(super) fn start_group_size(step: &StepSpec) -> usize {
    if step.is_gang { step.count as usize } else { 1 }
}

/// The room without which the next task of a job, or its gang, can't ever start.
fn least_room(job: &Job) -> u64 {
    job.startable.front().map_or(0, |&index| {
        let step = job.step(index);
        step.booked().cpu_millicores * start_group_size(step) as u64
    })
}

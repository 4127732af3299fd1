//! Which machines change pools.
//!
//! Each pool in its turn is asked for several times its mean, more than it holds, while others have
//! room: a few machines that follow the demand serve more than any fixed split. Idle machines move;
//! nothing is cut short for it.

use std::{collections::BTreeMap, sync::Arc};

use jackdawpier_kernel::{Now, ids::PoolName};

use super::Fleet;
use crate::{
    job::{Job, Phase},
    machines::{MachineId, MachineState, MachineWork},
    order::rank,
};

/// Part of an equal share of all machines that a pool keeps though it needs less now, in percent: its
/// own turn begins without notice, and machines take a second and a half to come. Of 20, 40, 60, 80
/// and 100 the middle earned most over both users' days: 0.92 of their marks against 0.75 with 100.
const KEEP_PERCENT: usize = 50;
/// Machines that a pool keeps free beyond its need.
const SPARE_MACHINES: usize = 1;

/// A pool as planning sees it.
#[derive(Debug, Default, Clone)]
struct Pool {
    /// Machines in it that are up and stay.
    up: usize,
    /// Machines on their way to it.
    arriving: usize,
    /// Those of its machines that run nothing.
    idle: Vec<MachineId>,
    /// Room of one machine, in thousandths of a core.
    machine_millicores: u64,
    /// What runs and what waits, in thousandths of a core.
    need_millicores: u64,
    /// Machines and need by label, for the labels that tasks ask for.
    labels: BTreeMap<Label, OfLabel>,
}

/// What a machine can do.
type Label = Arc<str>;

#[derive(Debug, Default, Clone)]
struct OfLabel {
    machines: usize,
    need_millicores: u64,
}

impl Pool {
    fn needed(&self) -> usize {
        self.need_millicores.div_ceil(self.machine_millicores.max(1)) as usize
    }

    fn holds(&self) -> usize {
        self.up + self.arriving
    }

    fn lacks(&self) -> usize {
        self.needed().saturating_sub(self.holds())
    }

    fn count_labels(&mut self, labels: &[Label]) {
        for label in labels {
            if let Some(of_label) = self.labels.get_mut(label) {
                of_label.machines += 1;
            }
        }
    }

    /// Machines with a label that are missing.
    fn lacks_of(&self, label: &Label) -> usize {
        self.labels.get(label).map_or(0, |of_label| {
            let needed = of_label.need_millicores.div_ceil(self.machine_millicores.max(1)) as usize;
            needed.saturating_sub(of_label.machines)
        })
    }

    /// Whether a machine with these labels can go without one of them missing.
    fn can_spare(&self, labels: &[Label]) -> bool {
        labels.iter().all(|label| {
            self.labels.get(label).is_none_or(|of_label| {
                let left = of_label.machines.saturating_sub(1) as u64;
                left * self.machine_millicores > of_label.need_millicores
            })
        })
    }
}

impl Fleet {
    /// Begins the moves that bring machines to where work waits.
    pub(super) fn plan_pools(&mut self, now: Now) {
        if now < self.machines.orders_from {
            return;
        }
        let mut pools = self.view_pools(now);
        let standby = self.idle_standby(now);
        let total: usize = pools.values().map(Pool::holds).sum();
        let share = (total * KEEP_PERCENT / 100).div_ceil(pools.len().max(1));
        let mut lacking: Vec<(usize, PoolName, Option<Label>)> = Vec::new();
        for (name, pool) in &pools {
            let by_label = pool.labels.keys().map(|label| (pool.lacks_of(label), Some(label)));
            let lacks = by_label.chain([(pool.lacks(), None)]).filter(|(lacks, _)| *lacks > 0);
            lacking.extend(lacks.map(|(lacks, label)| (lacks, name.clone(), label.cloned())));
        }
        lacking.sort_unstable_by(|one, other| other.cmp(one));
        let mut standby = standby;
        for (lacks, to, label) in lacking {
            for _ in 0..lacks {
                let fits = |machine: &MachineId| {
                    self.may_move(machine, &to)
                        && label
                            .as_ref()
                            .is_none_or(|label| self.labels_of(machine).contains(label))
                };
                let machine = self.take_idle(&mut pools, &to, share, fits).or_else(|| {
                    let place = standby.iter().position(fits)?;
                    Some(standby.swap_remove(place))
                });
                let Some(machine) = machine else { break };
                self.begin_errand(now, machine, MachineWork::Move(to.clone()));
            }
        }
    }

    fn labels_of(&self, machine: &MachineId) -> &[Label] {
        self.machines.listed.get(machine).map_or(&[], |info| &info.labels)
    }

    /// Takes an idle machine from the pool that can best do without.
    fn take_idle(
        &self,
        pools: &mut BTreeMap<PoolName, Pool>,
        to: &PoolName,
        share: usize,
        fits: impl Fn(&MachineId) -> bool,
    ) -> Option<MachineId> {
        let surplus = |pool: &Pool| {
            pool.up.saturating_sub(share.max(pool.needed() + SPARE_MACHINES)).min(pool.idle.len())
        };
        let mut donors: Vec<(usize, &mut Pool)> = pools
            .iter_mut()
            .filter(|(name, _)| *name != to)
            .map(|(_, pool)| (surplus(pool), pool))
            .filter(|(surplus, _)| *surplus > 0)
            .collect();
        donors.sort_by_key(|(surplus, _)| std::cmp::Reverse(*surplus));
        for (_, pool) in donors {
            let place = pool
                .idle
                .iter()
                .position(|machine| fits(machine) && pool.can_spare(self.labels_of(machine)));
            let Some(place) = place else { continue };
            let machine = pool.idle.swap_remove(place);
            pool.up -= 1;
            for label in self.labels_of(&machine) {
                if let Some(of_label) = pool.labels.get_mut(label) {
                    of_label.machines -= 1;
                }
            }
            return Some(machine);
        }
        None
    }

    fn may_move(&self, machine: &MachineId, to: &PoolName) -> bool {
        !self.machines.refused_moves.contains(&(machine.clone(), to.clone()))
    }

    fn is_standby(&self, pool: &PoolName) -> bool {
        self.services.get(pool).is_some_and(|service| service.is_standby)
    }

    fn idle_standby(&self, now: Now) -> Vec<MachineId> {
        let listed = self.machines.listed.values();
        listed
            .filter(|info| info.state == MachineState::Up && self.is_standby(&info.pool))
            .filter(|info| !self.machines.errands.contains_key(&info.id))
            .filter(|info| !self.machines.is_held(now, &info.id))
            .map(|info| info.id.clone())
            .collect()
    }

    fn view_pools(&mut self, now: Now) -> BTreeMap<PoolName, Pool> {
        let mut pools: BTreeMap<PoolName, Pool> =
            self.queues.values().map(|queue| (queue.service.clone(), Pool::default())).collect();
        self.add_label_needs(&mut pools);
        let mut largest = 0;
        for info in self.machines.listed.values() {
            let errand = self.machines.errands.get(&info.id);
            if let Some(MachineWork::Move(to)) = errand.map(|errand| &errand.work) {
                if let Some(pool) = pools.get_mut(to) {
                    pool.arriving += 1;
                    pool.count_labels(&info.labels);
                }
                continue;
            }
            let Some(pool) = pools.get_mut(&info.pool) else { continue };
            let executor = info.executor.as_ref().and_then(|id| self.executors.get(id));
            let Some(executor) = executor.filter(|_| info.state == MachineState::Up) else {
                continue;
            };
            let Some(known) = &executor.info else { continue };
            largest = largest.max(known.capacity.cpu_millicores);
            pool.machine_millicores = pool.machine_millicores.max(known.capacity.cpu_millicores);
            pool.need_millicores += executor.booked.cpu_millicores;
            if known.is_draining || errand.is_some() {
                continue;
            }
            pool.up += 1;
            pool.count_labels(&info.labels);
            let is_held = self.machines.is_held(now, &info.id);
            if executor.tasks.is_empty() && executor.is_synced && !is_held {
                pool.idle.push(info.id.clone());
            }
        }
        for pool in pools.values_mut() {
            if pool.machine_millicores == 0 {
                pool.machine_millicores = largest.max(1);
            }
        }
        self.add_waiting(now, &mut pools);
        for (name, pool) in &mut pools {
            let arriving = self.arrivals.get_mut(name).map_or(0, |one| one.millicores(now));
            pool.need_millicores = pool.need_millicores.max(arriving);
        }
        pools
    }

    /// Counts what runs and waits and can only run on machines with a certain label.
    fn add_label_needs(&self, pools: &mut BTreeMap<PoolName, Pool>) {
        for (queue, ids) in &self.open {
            let Some(queue) = self.queues.get(queue) else { continue };
            let Some(pool) = pools.get_mut(&queue.service) else { continue };
            for job in ids.iter().filter_map(|id| self.jobs.get(id)) {
                if job.spec.steps.iter().all(|step| step.required_label.is_none()) {
                    continue;
                }
                for (index, task) in job.tasks.iter().enumerate() {
                    let step = job.step(index);
                    let Some(label) = &step.required_label else { continue };
                    let is_open = job.progress[job.slot(index)].is_open;
                    let counts = is_open && task.phase != Phase::Done;
                    let of_label = pool.labels.entry(label.clone()).or_default();
                    of_label.need_millicores +=
                        if counts { step.booked().cpu_millicores } else { 0 };
                }
            }
        }
    }

    /// Adds what waits and may still be of use.
    fn add_waiting(&self, now: Now, pools: &mut BTreeMap<PoolName, Pool>) {
        for (queue, ids) in &self.open {
            let Some(queue) = self.queues.get(queue) else { continue };
            let Some(pool) = pools.get_mut(&queue.service) else { continue };
            let mut least_millicores = 0;
            for job in ids.iter().filter_map(|id| self.jobs.get(id)) {
                if rank(now, job, queue).is_hopeless() {
                    least_millicores = least_millicores.max(least_room(job));
                    continue;
                }
                let waiting = job.startable.iter().map(|&index| job.step(index).booked());
                pool.need_millicores += waiting.map(|need| need.cpu_millicores).sum::<u64>();
            }
            // What can't earn any more still has to end: there must be room for the largest of it.
            pool.need_millicores += least_millicores;
        }
    }
}

/// The room without which the next task of a job, or its gang, can't ever start.
fn least_room(job: &Job) -> u64 {
    job.startable.front().map_or(0, |&index| {
        let step = job.step(index);
        let together = if step.is_gang { u64::from(step.count) } else { 1 };
        step.booked().cpu_millicores * together
    })
}

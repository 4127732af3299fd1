//! Which machines change pools.
//!
//! Each pool in its turn is asked for several times its mean, more than it holds, while others have
//! room: a few machines that follow the demand serve more than any fixed split. Idle machines move;
//! nothing is cut short for it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{PoolName, ServiceName},
};

use super::{Fleet, openings::Openings, pool_view::Pool};
use crate::{
    machines::{Errand, MachineId, MachineInfo, MachineState, MachineWork, Stage},
    spec::Label,
};

/// Part of an equal share of all machines that a pool keeps though it needs less now, in percent: its
/// own turn begins without notice, and machines take a second and a half to come. Of 20, 40, 60, 80
/// and 100 the middle earned most over both users' days: 0.92 of their marks against 0.75 with 100.
const KEEP_PERCENT: usize = 50;
/// Machines that a pool keeps free beyond its need.
const SPARE_MACHINES: usize = 1;

/// A pool has to lack machines with a label for this long before lasting work makes way for it.
const FREED_AFTER: Duration = Duration::from_secs(1);
/// Machines that lasting work leaves at the same time for the sake of a label.
const FREED_AT_ONCE: usize = 2;

/// A pool that lacks machines, with a label or at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// The pool.
    pub pool: PoolName,
    /// The label; none for machines of any kind.
    pub label: Option<Label>,
    /// Machines of that kind which it holds, those on their way included.
    pub holds: usize,
    /// Machines that it lacks beyond those.
    pub lacks: usize,
}

impl Fleet {
    /// The shortages that the last planning of pools has found.
    pub fn shortages(&self) -> &[Shortage] {
        &self.shortages
    }

    /// Begins the moves that bring machines to where work waits.
    pub(super) fn plan_pools(&mut self, now: Now) {
        if now < self.machines.orders_from {
            return;
        }
        let mut pools = self.view_pools(now);
        let standby = self.idle_standby(now);
        let total: usize = pools.values().map(Pool::holds).sum();
        let keep_percent = if self.settings.policy.keeps_share { KEEP_PERCENT } else { 0 };
        let share = (total * keep_percent / 100).div_ceil(pools.len().max(1));
        let mut lacking: Vec<(usize, PoolName, Option<Label>)> = Vec::new();
        for (name, pool) in &pools {
            let by_label = pool.lacks_by_label().map(|(label, lacks)| (lacks, Some(label)));
            let lacks = by_label.chain([(pool.lacks(), None)]).filter(|(lacks, _)| *lacks > 0);
            lacking.extend(lacks.map(|(lacks, label)| (lacks, name.clone(), label.cloned())));
        }
        lacking.sort_unstable_by(|one, other| other.cmp(one));
        self.shortages.clear();
        self.note_label_lacks(now, &lacking);
        let mut standby = standby;
        for (lacks, to, label) in lacking {
            let shortage = Shortage {
                pool: to.clone(),
                label: label.clone(),
                holds: pools[&to].holds_of(label.as_ref()),
                lacks,
            };
            self.shortages.push(shortage);
            for _ in 0..lacks {
                let fits = |machine: &MachineId| {
                    self.may_move(machine, &to)
                        && label
                            .as_ref()
                            .is_none_or(|label| self.labels_of(machine).contains(label))
                };
                // What needs a label can't wait for its pool's turn: no other machine will do.
                let kept = if label.is_some() { share / 2 } else { share };
                let machine = self.take_idle(&mut pools, &to, kept, fits).or_else(|| {
                    let place = standby.iter().position(fits)?;
                    Some(standby.swap_remove(place))
                });
                let machine = machine.or_else(|| {
                    let label = label.as_ref()?;
                    self.has_lacked_for_long(now, &to, label)
                        .then(|| self.machine_to_free(now, &pools, &to, label))
                        .flatten()
                });
                let Some(machine) = machine else { break };
                self.begin_errand(now, machine, MachineWork::Move(to.clone()));
            }
        }
    }

    /// Remembers since when each pool lacks machines with a label.
    fn note_label_lacks(&mut self, now: Now, lacking: &[(usize, PoolName, Option<Label>)]) {
        let lacks: BTreeSet<(PoolName, Label)> = lacking
            .iter()
            .filter_map(|(_, pool, label)| Some((pool.clone(), label.clone()?)))
            .collect();
        self.label_lacks_since.retain(|lack, _| lacks.contains(lack));
        for lack in lacks {
            self.label_lacks_since.entry(lack).or_insert(now);
        }
    }

    fn has_lacked_for_long(&self, now: Now, pool: &PoolName, label: &Label) -> bool {
        let lack = (pool.clone(), label.clone());
        let since = self.label_lacks_since.get(&lack);
        since.is_some_and(|since| now.saturating_sub(*since) >= FREED_AFTER)
    }

    /// A machine of another pool with a label that runs nothing but lasting work which doesn't need it
    /// and has room elsewhere: its tasks are given away one by one, then it moves. Where few machines
    /// have the label all of them may be taken by such work.
    fn machine_to_free(
        &self,
        now: Now,
        pools: &BTreeMap<PoolName, Pool>,
        to: &PoolName,
        label: &Label,
    ) -> Option<MachineId> {
        let is_freed = |errand: &Errand| {
            matches!((&errand.work, &errand.stage), (MachineWork::Move(_), Stage::Vacating { .. }))
        };
        if self.machines.errands.values().filter(|errand| is_freed(errand)).count() >= FREED_AT_ONCE
        {
            return None;
        }
        let openings = self.openings(now);
        let can_leave = |info: &&MachineInfo| {
            let is_able = info.state == MachineState::Up
                && info.labels.contains(label)
                && info.pool != *to
                && self.may_move(&info.id, to)
                && !self.machines.errands.contains_key(&info.id)
                && !self.machines.is_held(now, &info.id);
            let is_spared =
                || pools.get(&info.pool).is_some_and(|pool| pool.can_spare(&info.labels));
            is_able && is_spared() && self.can_give_away(info, label, &openings)
        };
        self.machines.listed.values().find(can_leave).map(|info| info.id.clone())
    }

    /// Whether all that runs on a machine is lasting work that needs no label of its own and has room
    /// elsewhere.
    fn can_give_away(
        &self,
        info: &MachineInfo,
        label: &Label,
        openings: &HashMap<ServiceName, Openings>,
    ) -> bool {
        let Some(executor) = info.executor.as_ref().and_then(|id| self.executors.get(id)) else {
            return false;
        };
        executor.is_synced
            && executor.tasks.iter().all(|task| {
                let step = self.jobs[&task.0].step(task.1);
                step.is_long_running
                    && step.required_label.as_ref() != Some(label)
                    && self.has_room_elsewhere(task, openings)
            })
    }

    pub(super) fn labels_of(&self, machine: &MachineId) -> &[Label] {
        self.machines.listed.get(machine).map_or(&[], |info| &info.labels)
    }

    /// Takes an idle machine from the pool that can best do without; each keeps `share` machines.
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
            pool.take_labels(self.labels_of(&machine));
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
}

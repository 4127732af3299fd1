//! Which machines change pools.
//!
//! Each pool in its turn is asked for several times its mean, more than it holds, while others have
//! room: a few machines that follow the demand serve more than any fixed split. Idle machines move;
//! nothing is cut short for it.

use std::{cmp::Reverse, collections::BTreeMap};

use jackdawpier_kernel::{Now, ids::PoolName};

use super::{Fleet, label_shares::label_shares, pool_view::PoolView};
use crate::{
    machines::{MachineId, MachineState, MachineWork},
    spec::Label,
};

/// Part of an equal share of all machines that a pool keeps though it needs less now, in percent: its
/// own turn begins without notice, and machines take a second and a half to come. Of 20, 40, 60, 80
/// and 100 the middle earned most over both users' days: 0.92 of their marks against 0.75 with 100.
const KEEP_PERCENT: usize = 50;
/// Machines that a pool keeps free beyond its need.
const SPARE_MACHINES: usize = 1;

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
    /// Machines with the label to which it is entitled, if few machines have it.
    pub entitled: Option<usize>,
}

impl Fleet {
    /// The shortages that the last planning of pools has found.
    pub fn shortages(&self) -> &[Shortage] {
        &self.shortages
    }

    /// Begins the moves that bring machines to where work waits, the greatest shortage first.
    pub(super) fn plan_pools(&mut self, now: Now) {
        if now < self.machines.orders_from {
            return;
        }
        let mut pools = self.pool_views(now);
        let mut standby = self.idle_standby(now);
        let share = self.kept_share(&pools);
        self.shortages = shortages_of(&pools, &self.scarce_labels());
        self.track_label_shortages(now);
        for shortage in self.shortages.clone() {
            for _ in 0..shortage.lacks {
                let found = self.find_machine(now, &shortage, &mut pools, &mut standby, share);
                let Some(machine) = found else {
                    self.begin_defragmentation(now, &shortage, &pools);
                    break;
                };
                self.begin_operation(now, machine, MachineWork::Move(shortage.pool.clone()));
            }
        }
    }

    /// Machines that each pool keeps though it needs less now.
    fn kept_share(&self, pools: &BTreeMap<PoolName, PoolView>) -> usize {
        let total: usize = pools.values().map(PoolView::holds).sum();
        let keep_percent = if self.settings.policy.keeps_share { KEEP_PERCENT } else { 0 };
        (total * keep_percent / 100).div_ceil(pools.len().max(1))
    }

    /// A machine against a shortage: an idle one of a pool that can do without, one that is switched off,
    /// or one with the label that lasting work can leave.
    fn find_machine(
        &self,
        now: Now,
        shortage: &Shortage,
        pools: &mut BTreeMap<PoolName, PoolView>,
        standby: &mut Vec<MachineId>,
        share: usize,
    ) -> Option<MachineId> {
        let Shortage { pool: to, label, .. } = shortage;
        let fits = |machine: &MachineId| {
            let has_label = |label| self.labels_of(machine).contains(label);
            self.may_move(machine, to) && label.as_ref().is_none_or(has_label)
        };
        // What needs a label can't wait for its pool's turn: no other machine will do.
        let kept = if label.is_some() { share / 2 } else { share };
        if let Some(machine) = self.take_idle(pools, to, kept, fits) {
            return Some(machine);
        }
        if let Some(place) = standby.iter().position(fits) {
            return Some(standby.swap_remove(place));
        }
        let machine = self.machine_to_reclaim(now, pools, shortage, label.as_ref()?)?;
        let labels = self.labels_of(&machine);
        let from = self.machines.listed.get(&machine).map(|info| &info.pool);
        from.and_then(|from| pools.get_mut(from))?.remove_machine_labels(labels);
        pools.get_mut(to)?.add_arriving_machine(labels);
        Some(machine)
    }

    pub(super) fn labels_of(&self, machine: &MachineId) -> &[Label] {
        self.machines.listed.get(machine).map_or(&[], |info| &info.labels)
    }

    /// Takes an idle machine from the pool that can best do without; each keeps `share` machines.
    fn take_idle(
        &self,
        pools: &mut BTreeMap<PoolName, PoolView>,
        to: &PoolName,
        share: usize,
        fits: impl Fn(&MachineId) -> bool,
    ) -> Option<MachineId> {
        let surplus = |pool: &PoolView| {
            pool.up.saturating_sub(share.max(pool.needed() + SPARE_MACHINES)).min(pool.idle.len())
        };
        let mut donors: Vec<(usize, &mut PoolView)> = pools
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
            pool.remove_machine_labels(self.labels_of(&machine));
            return Some(machine);
        }
        None
    }

    pub(super) fn may_move(&self, machine: &MachineId, to: &PoolName) -> bool {
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

/// The shortages of all pools, the greatest first.
fn shortages_of(pools: &BTreeMap<PoolName, PoolView>, scarce: &[&Label]) -> Vec<Shortage> {
    let mut shortages = Vec::new();
    for (name, pool) in pools {
        let by_label = pool.lacks_by_label().map(|(label, lacks)| (Some(label), lacks));
        let lacking = by_label.chain([(None, pool.lacks())]).filter(|(_, lacks)| *lacks > 0);
        shortages.extend(lacking.map(|(label, lacks)| {
            Shortage {
                pool: name.clone(),
                label: label.cloned(),
                holds: pool.holds_with_label(label),
                lacks,
                entitled: label
                    .filter(|label| scarce.contains(label))
                    .map(|label| label_shares(pools, label)[name]),
            }
        }));
    }
    shortages.sort_unstable_by_key(|one| Reverse((one.lacks, one.pool.clone(), one.label.clone())));
    shortages
}

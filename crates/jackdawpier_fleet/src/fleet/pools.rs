//! Selects machines that move between pools.
//!
//! The demand peaks of pools alternate, and each peak is several times the pool's mean and more
//! than it holds, while other pools have room. A few machines that follow the demand serve more
//! than any fixed split.
//!
//! Idle machines move first. A pool that lacks machines for primary demand also takes busy machines
//! that run late work, or work beyond the share of its client account, in other pools. See
//! `docs/design/overload.md#3-machines-for-on-time-work`.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use jackdawpier_kernel::{Now, ids::PoolName};

use super::{
    Fleet,
    busy_machines::{Donor, choose_busy_machine},
    label_shares::label_shares,
    pool_demand::SecondaryJobs,
    pool_view::PoolView,
};
use crate::{
    machines::{MachineId, MachineState, MachineWork},
    spec::Label,
};

/// Part of an equal share of all machines that a pool keeps beyond its current need. Its own peak
/// begins without notice, and machines take 1.5 s to arrive. With a full share too few machines
/// follow the demand: the score of the daily load falls from 0.92 to 0.75.
const KEPT_SHARE_PERCENT: usize = 50;
/// Idle machines that a pool keeps beyond its need.
const SPARE_MACHINES: usize = 1;

/// A pool that is short of machines, in total or with a label.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// The pool.
    pub pool: PoolName,
    /// The label, or `None` for machines of any kind.
    pub label: Option<Label>,
    /// Machines of that kind in the pool or on their way to it.
    pub holds: usize,
    /// Additional machines that it needs.
    pub lacks: usize,
    /// The pool's fair share of the machines with the label, if the label is scarce.
    pub entitled: Option<usize>,
}

/// A request for machines to cover a shortage, or a part of it.
#[derive(Debug)]
struct Request {
    shortage: Shortage,
    /// Whether the machines are for primary demand, see [`super::pool_view`].
    is_primary: bool,
}

/// The busy machines that may move, in one planning.
#[derive(Debug)]
struct BusySupply {
    secondary_jobs: SecondaryJobs,
    /// Machines that each pool keeps.
    kept: usize,
    /// Machines that become idle by themselves and aren't assigned to a shortage yet; computed when
    /// a shortage first asks for a busy machine.
    idle_soon: Option<usize>,
}

impl BusySupply {
    /// Assigns machines that become idle by themselves to the rest of a shortage.
    fn note_uncovered(&mut self, lacks: usize) {
        self.idle_soon = self.idle_soon.map(|idle_soon| idle_soon.saturating_sub(lacks));
    }
}

impl Fleet {
    /// Returns the shortages that the last planning of pools found.
    pub fn shortages(&self) -> &[Shortage] {
        &self.shortages
    }

    /// Starts moves of machines to pools that are short of them, the greatest shortage first.
    pub(super) fn plan_pools(&mut self, now: Now) {
        if now < self.machines.orders_allowed_from {
            return;
        }
        let (mut pools, secondary_jobs) = self.pool_views(now);
        self.cancel_unneeded_busy_moves(now, &mut pools);
        let mut standby = self.free_standby_machines(now);
        let kept = self.kept_machines(&pools);
        let mut busy = BusySupply { secondary_jobs, kept, idle_soon: None };
        self.shortages = shortages_of(&pools, &self.scarce_labels());
        self.track_label_shortages(now);
        for request in requests_for(&self.shortages, &pools) {
            let shortage = &request.shortage;
            let to = MachineWork::Move(shortage.pool.clone());
            for found in 0..shortage.lacks {
                if let Some(machine) =
                    self.find_machine(now, &request, &mut pools, &mut standby, kept)
                {
                    self.begin_operation(now, machine, to.clone());
                } else if let Some(machine) =
                    self.take_busy_machine(now, &request, found, &mut pools, &mut busy)
                {
                    self.begin_busy_move(now, machine, shortage.pool.clone());
                } else {
                    self.begin_defragmentation(now, shortage, &pools);
                    busy.note_uncovered(shortage.lacks - found);
                    break;
                }
            }
        }
        self.stop_tasks_for_busy_move(now, &busy.secondary_jobs);
    }

    /// Takes a busy machine for primary demand, if more machines are missing at its arrival than the
    /// `found` ones and those that become idle by themselves before.
    fn take_busy_machine(
        &self,
        now: Now,
        request: &Request,
        found: usize,
        pools: &mut BTreeMap<PoolName, PoolView>,
        busy: &mut BusySupply,
    ) -> Option<MachineId> {
        let Shortage { pool: to, label, .. } = &request.shortage;
        if !request.is_primary || label.is_some() || busy.secondary_jobs.is_empty() {
            return None;
        }
        let kept = busy.kept;
        let idle_soon = *busy.idle_soon.get_or_insert_with(|| {
            self.add_busy_machines(now, pools, &busy.secondary_jobs);
            pools.values().map(|pool| pool.idle_soon(kept)).sum()
        });
        if found + idle_soon >= pools.get(to)?.missing_at_arrival() {
            return None;
        }
        let others = pools.iter().filter(|(name, _)| *name != to);
        let donors = others.map(|(_, pool)| Donor {
            surplus: surplus_over(pool, kept, pool.primary_machines()),
            machines: &pool.busy_machines,
        });
        let fits = |machine: &MachineId| {
            let from = self.machines.listed.get(machine).and_then(|info| pools.get(&info.pool));
            let can_spare = from.is_some_and(|pool| pool.can_spare(self.labels_of(machine)));
            can_spare && self.may_move(machine, to)
        };
        let machine = choose_busy_machine(donors, fits)?.id.clone();
        let pool = pools.get_mut(&self.machines.listed.get(&machine)?.pool)?;
        pool.busy_machines.retain(|one| one.id != machine);
        pool.up_machines -= 1;
        pool.remove_machine_labels(self.labels_of(&machine));
        Some(machine)
    }

    /// Returns how many machines each pool keeps even if it needs fewer now.
    fn kept_machines(&self, pools: &BTreeMap<PoolName, PoolView>) -> usize {
        let total: usize = pools.values().map(PoolView::total_machines).sum();
        let keep_percent =
            if self.settings.policy.keeps_minimum_share { KEPT_SHARE_PERCENT } else { 0 };
        (total * keep_percent / 100).div_ceil(pools.len().max(1))
    }

    /// Returns the largest part of all machines that one pool can hold while the others keep their minimum.
    pub(super) fn max_pool_percent(&self) -> u64 {
        let pools = self.queues.values().map(|queue| &queue.service).collect::<BTreeSet<_>>().len();
        let others = pools.saturating_sub(1);
        let keep_percent =
            if self.settings.policy.keeps_minimum_share { KEPT_SHARE_PERCENT } else { 0 };
        (100 - keep_percent * others / pools.max(1)) as u64
    }

    /// Returns a machine to cover a shortage: an idle one of a pool with a surplus, one on standby,
    /// or one with the label that its long-running tasks can leave.
    fn find_machine(
        &self,
        now: Now,
        request: &Request,
        pools: &mut BTreeMap<PoolName, PoolView>,
        standby: &mut Vec<MachineId>,
        kept: usize,
    ) -> Option<MachineId> {
        let Request { shortage, is_primary } = request;
        let Shortage { pool: to, label, .. } = shortage;
        let fits = |machine: &MachineId| {
            let has_label = |label| self.labels_of(machine).contains(label);
            self.may_move(machine, to) && label.as_ref().is_none_or(has_label)
        };
        // Tasks that require a label can't run on other machines, so pools keep a smaller share of
        // them.
        let kept = if label.is_some() { kept / 2 } else { kept };
        let surplus = |pool: &PoolView| {
            let needed = if *is_primary { pool.primary_machines() } else { pool.needed_machines() };
            surplus_over(pool, kept, needed)
        };
        if let Some(machine) = self.take_idle_machine(pools, to, surplus, fits) {
            return Some(machine);
        }
        if let Some(position) = standby.iter().position(fits) {
            return Some(standby.swap_remove(position));
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

    /// Takes an idle machine from the pool with the largest surplus.
    fn take_idle_machine(
        &self,
        pools: &mut BTreeMap<PoolName, PoolView>,
        to: &PoolName,
        surplus: impl Fn(&PoolView) -> usize,
        fits: impl Fn(&MachineId) -> bool,
    ) -> Option<MachineId> {
        let mut donors: Vec<(usize, &mut PoolView)> = pools
            .iter_mut()
            .filter(|(name, _)| *name != to)
            .map(|(_, pool)| (surplus(pool).min(pool.idle_machines.len()), pool))
            .filter(|(surplus, _)| *surplus > 0)
            .collect();
        donors.sort_by_key(|(surplus, _)| std::cmp::Reverse(*surplus));
        for (_, pool) in donors {
            let position = pool
                .idle_machines
                .iter()
                .position(|machine| fits(machine) && pool.can_spare(self.labels_of(machine)));
            let Some(position) = position else { continue };
            let machine = pool.idle_machines.swap_remove(position);
            pool.up_machines -= 1;
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

    fn free_standby_machines(&self, now: Now) -> Vec<MachineId> {
        let listed = self.machines.listed.values();
        listed
            .filter(|info| info.state == MachineState::Up && self.is_standby(&info.pool))
            .filter(|info| !self.machines.operations.contains_key(&info.id))
            .filter(|info| !self.machines.is_locked(now, &info.id))
            .map(|info| info.id.clone())
            .collect()
    }
}

/// Returns how many machines a pool can give up if it needs `needed` and keeps `kept`.
fn surplus_over(pool: &PoolView, kept: usize, needed: usize) -> usize {
    pool.up_machines.saturating_sub(kept.max(needed + SPARE_MACHINES))
}

/// Splits shortages by the kind of their demand. Primary ones come first, by the highest priority of
/// their waiting tasks; without secondary demand in any pool, by size alone.
fn requests_for(shortages: &[Shortage], pools: &BTreeMap<PoolName, PoolView>) -> Vec<Request> {
    if !pools.values().any(PoolView::has_secondary_demand) {
        let all = shortages.iter().cloned();
        return all.map(|shortage| Request { shortage, is_primary: true }).collect();
    }
    let mut primary = Vec::new();
    let mut secondary = Vec::new();
    for shortage in shortages {
        let pool = &pools[&shortage.pool];
        let urgency = pool.urgency(shortage.label.as_ref());
        let primary_lacks = match &shortage.label {
            None => pool.missing_for_primary().min(shortage.lacks),
            Some(_) if urgency.is_some() => shortage.lacks,
            Some(_) => 0,
        };
        let with = |lacks, is_primary| Request {
            shortage: Shortage { lacks, ..shortage.clone() },
            is_primary,
        };
        if primary_lacks > 0 {
            // Arrivals count although none of them waits yet.
            primary.push((urgency.unwrap_or(u32::MAX), with(primary_lacks, true)));
        }
        if primary_lacks < shortage.lacks {
            secondary.push(with(shortage.lacks - primary_lacks, false));
        }
    }
    primary.sort_by_key(|(urgency, request)| (*urgency, Reverse(request.shortage.lacks)));
    primary.into_iter().map(|(_, request)| request).chain(secondary).collect()
}

/// Returns the shortages of all pools, the greatest first.
fn shortages_of(pools: &BTreeMap<PoolName, PoolView>, scarce: &[&Label]) -> Vec<Shortage> {
    let mut shortages = Vec::new();
    for (name, pool) in pools {
        let by_label = pool.missing_by_label().map(|(label, lacks)| (Some(label), lacks));
        let lacking =
            by_label.chain([(None, pool.missing_machines())]).filter(|(_, lacks)| *lacks > 0);
        shortages.extend(lacking.map(|(label, lacks)| {
            Shortage {
                pool: name.clone(),
                label: label.cloned(),
                holds: pool.machines_with_label(label),
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

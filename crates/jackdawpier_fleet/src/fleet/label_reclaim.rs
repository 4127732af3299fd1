//! Machines with a label that few have, freed of work that could run elsewhere.
//!
//! Lasting work that came before anybody asked for the label may sit on all machines that have it, and
//! would for as long as it lasts. Work that ends fills them anew as long as its pool is busy. Where pools
//! compete for a label, one that holds more machines than its part gives them up though they are busy:
//! without it one of four pools had none for 13 s while 189 of its jobs waited (350 executors, 28 with the
//! label).

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{PoolName, ServiceName},
};

use super::{
    Fleet, Shortage, label_shares::label_shares, placement_round::PlacementRound,
    pool_view::PoolView,
};
use crate::{
    machines::{Errand, MachineId, MachineInfo, MachineState, MachineWork, Stage},
    spec::Label,
};

/// A pool has to lack machines with a label for this long before lasting work makes way for it.
const FREED_AFTER: Duration = Duration::from_secs(1);
/// Machines that lasting work leaves at the same time for the sake of a label.
const FREED_AT_ONCE: usize = 2;

impl Fleet {
    /// Remembers since when each pool lacks machines with a label.
    pub(super) fn track_label_shortages(&mut self, now: Now) {
        let lacks: BTreeSet<(PoolName, Label)> = self
            .shortages
            .iter()
            .filter_map(|shortage| Some((shortage.pool.clone(), shortage.label.clone()?)))
            .collect();
        self.label_shortages_since.retain(|lack, _| lacks.contains(lack));
        for lack in lacks {
            self.label_shortages_since.entry(lack).or_insert(now);
        }
    }

    fn has_lacked_for_long(&self, now: Now, pool: &PoolName, label: &Label) -> bool {
        let lack = (pool.clone(), label.clone());
        let since = self.label_shortages_since.get(&lack);
        since.is_some_and(|since| now.saturating_sub(*since) >= FREED_AFTER)
    }

    /// A machine of another pool with a label that runs nothing but work which doesn't need it, or of one
    /// with more than its part, and no lasting work without room elsewhere: new work goes elsewhere,
    /// lasting tasks are given away one by one, then it moves. Where few machines have the label all of
    /// them may be taken by such work. The one with least on it is empty soonest.
    pub(super) fn machine_to_reclaim(
        &self,
        now: Now,
        pools: &BTreeMap<PoolName, PoolView>,
        shortage: &Shortage,
        label: &Label,
    ) -> Option<MachineId> {
        let to = &shortage.pool;
        if !self.has_lacked_for_long(now, to, label) {
            return None;
        }
        let is_freed = |errand: &Errand| {
            matches!((&errand.work, &errand.stage), (MachineWork::Move(_), Stage::Vacating { .. }))
        };
        if self.machines.errands.values().filter(|errand| is_freed(errand)).count() >= FREED_AT_ONCE
        {
            return None;
        }
        let rounds = self.start_rounds(now);
        let shares = label_shares(pools, label);
        let is_short =
            shortage.entitled.is_some() && pools[to].holds_with_label(Some(label)) < shares[to];
        let can_leave = |info: &&MachineInfo| {
            let is_able = info.state == MachineState::Up
                && info.labels.contains(label)
                && info.pool != *to
                && self.may_move(&info.id, to)
                && !self.machines.errands.contains_key(&info.id)
                && !self.machines.is_held(now, &info.id);
            let Some(pool) = pools.get(&info.pool).filter(|_| is_able) else { return false };
            let has_too_many =
                || is_short && pool.holds_with_label(Some(label)) > shares[&info.pool];
            let is_spared = || pool.can_spare(&info.labels);
            is_spared() && self.can_give_away(info, Some(label), &rounds)
                || has_too_many() && self.can_give_away(info, None, &rounds)
        };
        let free = self.machines.listed.values().filter(can_leave);
        free.min_by_key(|info| self.task_counts_on(&info.id)).map(|info| info.id.clone())
    }

    /// Whether all that runs on a machine ends by itself or has room elsewhere, and nothing of it needs
    /// `wanted`.
    fn can_give_away(
        &self,
        info: &MachineInfo,
        wanted: Option<&Label>,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
    ) -> bool {
        let Some(executor) = info.executor.as_ref().and_then(|id| self.executors.get(id)) else {
            return false;
        };
        executor.is_synced
            && executor.tasks.iter().all(|task| {
                let step = self.jobs[&task.0].step(task.1);
                let ends_or_leaves =
                    || !step.is_long_running || self.has_room_elsewhere(task, rounds);
                let needs_wanted = wanted.is_some() && step.required_label.as_ref() == wanted;
                !needs_wanted && ends_or_leaves()
            })
    }
}

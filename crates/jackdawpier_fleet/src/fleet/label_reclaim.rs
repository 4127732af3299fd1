//! Reclaims machines with a scarce label from tasks that could run elsewhere.
//!
//! Long-running tasks that were placed before any job required the label may occupy all machines that have
//! it, and short tasks refill them as long as their pool is busy. Where pools compete for a label, a pool
//! that holds more machines than its share gives them up even if they are busy: without this, one of four
//! pools had none for 13 s while 189 of its jobs waited (350 executors, 28 with the label).

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
    machines::{
        MachineId, MachineInfo, MachineOperation, MachineState, MachineWork, OperationStage,
    },
    spec::Label,
};

/// How long a pool must lack machines with a label before one is reclaimed for it.
const RECLAIM_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of machines that are vacated for a move at the same time.
const MAX_CONCURRENT_RECLAIMS: usize = 2;

impl Fleet {
    /// Tracks since when each pool lacks machines with a label.
    pub(super) fn track_label_shortages(&mut self, now: Now) {
        let current: BTreeSet<(PoolName, Label)> = self
            .shortages
            .iter()
            .filter_map(|shortage| Some((shortage.pool.clone(), shortage.label.clone()?)))
            .collect();
        self.label_shortages_since.retain(|key, _| current.contains(key));
        for key in current {
            self.label_shortages_since.entry(key).or_insert(now);
        }
    }

    fn is_long_shortage(&self, now: Now, pool: &PoolName, label: &Label) -> bool {
        let key = (pool.clone(), label.clone());
        let since = self.label_shortages_since.get(&key);
        since.is_some_and(|since| now.saturating_sub(*since) >= RECLAIM_AFTER)
    }

    /// Returns the machine to reclaim for a pool that lacks a label. It belongs to another pool; either that
    /// pool can spare it and none of its tasks needs the label, or that pool holds more machines than its
    /// share. Its long-running tasks must have room elsewhere: they are relocated one by one while no new
    /// tasks start there, then the machine moves. Of several machines the one with the least load is chosen,
    /// since it is empty soonest.
    pub(super) fn machine_to_reclaim(
        &self,
        now: Now,
        pools: &BTreeMap<PoolName, PoolView>,
        shortage: &Shortage,
        label: &Label,
    ) -> Option<MachineId> {
        let to = &shortage.pool;
        if !self.is_long_shortage(now, to, label) {
            return None;
        }
        let is_reclaim = |operation: &MachineOperation| {
            let is_vacating_move = matches!(
                (&operation.work, &operation.stage),
                (MachineWork::Move(_), OperationStage::Vacating { .. })
            );
            is_vacating_move && !operation.is_busy_move
        };
        if self.machines.operations.values().filter(|operation| is_reclaim(operation)).count()
            >= MAX_CONCURRENT_RECLAIMS
        {
            return None;
        }
        let rounds = self.start_rounds(now);
        let shares = label_shares(pools, label);
        let is_below_share =
            shortage.entitled.is_some() && pools[to].machines_with_label(Some(label)) < shares[to];
        let is_candidate = |info: &&MachineInfo| {
            let is_movable = info.state == MachineState::Up
                && info.labels.contains(label)
                && info.pool != *to
                && self.may_move(&info.id, to)
                && !self.machines.operations.contains_key(&info.id)
                && !self.machines.is_locked(now, &info.id);
            let Some(pool) = pools.get(&info.pool).filter(|_| is_movable) else { return false };
            let exceeds_share =
                || is_below_share && pool.machines_with_label(Some(label)) > shares[&info.pool];
            let has_spare = || pool.can_spare(&info.labels);
            has_spare() && self.can_vacate(info, Some(label), &rounds)
                || exceeds_share() && self.can_vacate(info, None, &rounds)
        };
        let free = self.machines.listed.values().filter(is_candidate);
        free.min_by_key(|info| self.task_counts_on(&info.id)).map(|info| info.id.clone())
    }

    /// Returns whether all tasks on a machine end by themselves or have room elsewhere, and none of them
    /// needs `label`.
    fn can_vacate(
        &self,
        info: &MachineInfo,
        label: Option<&Label>,
        rounds: &BTreeMap<ServiceName, PlacementRound>,
    ) -> bool {
        let Some(executor) = info.executor.as_ref().and_then(|id| self.executors.get(id)) else {
            return false;
        };
        executor.is_synced
            && executor.tasks.iter().all(|task| {
                let step = self.jobs[&task.0].step(task.1);
                let can_leave = || !step.is_long_running || self.has_room_elsewhere(task, rounds);
                let needs_label = label.is_some() && step.required_label.as_ref() == label;
                !needs_label && can_leave()
            })
    }
}

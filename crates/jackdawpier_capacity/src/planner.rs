//! Planner of moves between pools: makes the fewest moves that keep every target.
//!
//! Pools grow before the learned demand does, and shrink only when a surplus has lasted and is
//! forecast to last. A re-plan examines the changed pools and a bounded number of candidates, so
//! its cost doesn't grow with the fleet.

use std::{collections::BTreeSet, time::Duration};

use jackdawpier_kernel::Now;

use crate::{
    InstanceIx, PoolIx,
    fleet::{Fleet, Phase, PoolTarget},
    reason::MoveReason,
};

/// Number of instances examined for one choice; a choice among the free instances examines at least
/// two per zone.
const MAX_CANDIDATES: usize = 16;

/// A planned move of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The instance.
    pub instance: InstanceIx,
    /// Target pool; `None` if the instance becomes free.
    pub to: Option<PoolIx>,
    /// Reason for the move.
    pub reason: MoveReason,
}

/// Limits that a deployment sets on the planner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ceilings {
    /// Maximum number of moves a day; moves that restore a target may exceed it.
    pub moves_per_day: Option<u32>,
    /// Maximum number of buffer instances; a limit makes shrinking prompt.
    pub buffer_instances: Option<u32>,
}

/// Rules for shrinking a pool.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShrinkPolicy {
    /// Forecast need in the near future.
    pub later_need: u32,
    /// Whether the pool must not shrink because a maintenance wave uses its slack.
    pub is_blocked: bool,
    /// Whether the pool releases a surplus at once because other pools wait for instances.
    pub is_immediate: bool,
}

/// Time for which a surplus must last before it is released.
const MIN_SURPLUS_DURATION: Duration = Duration::from_secs(10 * 60);
const DAY: Duration = Duration::from_secs(24 * 3600);

/// Planner of one fleet.
#[derive(Debug, Default)]
pub struct Planner {
    ceilings: Ceilings,
    changed_pools: BTreeSet<PoolIx>,
    /// Pools that found no suitable free instance; every re-plan retries them.
    unmet_pools: Vec<PoolIx>,
    surplus_since: Vec<Option<Now>>,
    shrinks_today: u32,
    day: u64,
    /// Number of candidates examined so far; tests bound the planner's work with it.
    pub candidates_examined: u64,
}

impl Planner {
    /// Returns a planner with these limits.
    pub fn new(ceilings: Ceilings) -> Self {
        Self { ceilings, ..Self::default() }
    }

    /// Updates the limits.
    pub fn set_ceilings(&mut self, ceilings: Ceilings) {
        self.ceilings = ceilings;
    }

    /// Marks a pool whose target, members or forecast changed for the next re-plan.
    pub fn mark_changed(&mut self, pool: PoolIx) {
        self.changed_pools.insert(pool);
    }

    /// Plans moves for the changed pools. The caller carries them out: an instance that joins a
    /// pool is warming, one that leaves is draining.
    pub fn replan(
        &mut self,
        now: Now,
        fleet: &mut Fleet,
        policy_of: impl Fn(PoolIx) -> ShrinkPolicy,
    ) -> Vec<Move> {
        self.reset_daily_count(now);
        let mut moves = Vec::new();
        for pool in std::mem::take(&mut self.changed_pools) {
            self.grow(fleet, pool, &mut moves);
            let policy = policy_of(pool);
            if !policy.is_blocked {
                self.shrink(now, fleet, pool, policy, &mut moves);
            }
        }
        self.changed_pools.extend(self.unmet_pools.drain(..));
        moves
    }

    fn reset_daily_count(&mut self, now: Now) {
        let day = now.as_secs() / DAY.as_secs();
        if day != self.day {
            self.day = day;
            self.shrinks_today = 0;
        }
    }

    fn grow(&mut self, fleet: &mut Fleet, ix: PoolIx, moves: &mut Vec<Move>) {
        loop {
            let pool = fleet.pool(ix);
            let margin = pool.margin(&pool.committed);
            if margin >= 0 && pool.missing_surge() == 0 {
                return;
            }
            let is_short = pool.committed.total() < pool.target.need;
            let reason = match (margin, is_short) {
                (0.., _) => MoveReason::CarriesWave,
                (_, true) => MoveReason::DemandGrows,
                (_, false) => MoveReason::RestoresMargin,
            };
            let Some(instance) = self.choose_free(fleet, ix) else {
                self.unmet_pools.push(ix);
                return;
            };
            fleet.assign(instance, Some(ix), Phase::Warming);
            moves.push(Move { instance, to: Some(ix), reason });
        }
    }

    /// Returns the free instance whose failure domains the pool uses least, or `None` if no free
    /// instance would bring the pool nearer to its target.
    fn choose_free(&mut self, fleet: &Fleet, ix: PoolIx) -> Option<InstanceIx> {
        let pool = fleet.pool(ix);
        let per_zone = (MAX_CANDIDATES / fleet.free_by_zone().len().max(1)).max(2);
        let candidates: Vec<InstanceIx> = fleet
            .free_by_zone()
            .iter()
            .flat_map(|zone| zone.iter().take(per_zone))
            .copied()
            .collect();
        self.candidates_examined += candidates.len() as u64;
        let location = |instance: &InstanceIx| &fleet.instance(*instance).location;
        let best = candidates
            .iter()
            .min_by_key(|ix| {
                (fleet.instance(**ix).awaits_maintenance, pool.load_at(location(ix)), **ix)
            })
            .copied()?;
        // One more instance in the largest domain helps only if another domain has candidates too.
        let is_in_largest_domain =
            pool.load_at(location(&best)).0 >= pool.committed.worst_loss(pool.target.survive);
        let domain = |instance: &InstanceIx| location(instance).domain(pool.target.survive);
        let has_other_domain = candidates.iter().any(|other| domain(other) != domain(&best));
        let is_short = pool.committed.total() < pool.target.need;
        (is_short || !is_in_largest_domain || has_other_domain).then_some(best)
    }

    fn shrink(
        &mut self,
        now: Now,
        fleet: &mut Fleet,
        ix: PoolIx,
        policy: ShrinkPolicy,
        moves: &mut Vec<Move>,
    ) {
        let later_need = policy.later_need;
        if self.surplus_since.len() <= ix as usize {
            self.surplus_since.resize(ix as usize + 1, None);
        }
        let Some(instance) = Self::choose_surplus(fleet, ix, later_need) else {
            self.surplus_since[ix as usize] = None;
            return;
        };
        let since = *self.surplus_since[ix as usize].get_or_insert(now);
        let is_immediate_release =
            |fleet: &Fleet| policy.is_immediate || fleet.pool(ix).surge_to_return > 0;
        let min_duration =
            if is_immediate_release(fleet) { Duration::ZERO } else { MIN_SURPLUS_DURATION };
        if now < since + min_duration {
            return;
        }
        let mut next = Some(instance);
        while let Some(instance) =
            next.filter(|_| is_immediate_release(fleet) || self.is_within_daily_limit())
        {
            self.shrinks_today += u32::from(fleet.pool(ix).surge_to_return == 0);
            fleet.note_surge_returned(ix);
            fleet.assign(instance, Some(ix), Phase::Draining);
            moves.push(Move { instance, to: None, reason: MoveReason::DemandFell });
            next = Self::choose_surplus(fleet, ix, later_need);
        }
    }

    /// Returns whether the daily limit allows another move. It counts released instances only,
    /// since each of them joins a pool again later.
    fn is_within_daily_limit(&self) -> bool {
        self.ceilings.moves_per_day.is_none_or(|most| self.shrinks_today < most)
    }

    /// Returns a serving instance that the pool can release, both now and at its later need.
    fn choose_surplus(fleet: &Fleet, ix: PoolIx, later_need: u32) -> Option<InstanceIx> {
        let pool = fleet.pool(ix);
        let target = PoolTarget { need: pool.target.need.max(later_need), ..pool.target };
        if target.margin(&pool.serving) < 0 {
            return None;
        }
        let zone = pool.members_by_zone.iter().max_by_key(|zone| zone.len())?;
        zone.iter()
            .filter(|instance| fleet.instance(**instance).phase == Phase::Serving)
            .take(MAX_CANDIDATES)
            .max_by_key(|instance| pool.serving.counts_at(&fleet.instance(**instance).location))
            .filter(|instance| {
                let location = &fleet.instance(**instance).location;
                target.margin_without(&pool.serving, location) >= 0
            })
            .copied()
    }
}

//! Which instance moves to which pool: the smallest change that keeps every target.
//!
//! Growth goes ahead of the learned demand; shrinking waits until the surplus has lasted and will
//! last. A re-plan looks at the pools that changed and at a bounded number of candidates, so it
//! does not grow with the fleet.

use std::{collections::BTreeSet, time::Duration};

use jackdawpier_kernel::Now;

use crate::{
    InstanceIx, PoolIx,
    fleet::{Fleet, Phase, PoolTarget},
    reason::MoveReason,
};

/// Free instances looked at for one choice.
const MAX_CANDIDATES: usize = 16;

/// One decided move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The instance.
    pub instance: InstanceIx,
    /// The pool that it goes to; none means that it becomes free.
    pub to: Option<PoolIx>,
    /// Why.
    pub reason: MoveReason,
}

/// What a deployment prefers, as ceilings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ceilings {
    /// Most moves a day; only what keeps a target goes beyond.
    pub moves_per_day: Option<u32>,
    /// Most spare instances, which makes shrinking prompt.
    pub buffer_instances: Option<u32>,
}

/// What the planner must know of a pool besides its present state.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShrinkPolicy {
    /// The need that the pool will have before long.
    pub later_need: u32,
    /// Whether it may not shrink, because a wave goes through it and uses its slack.
    pub is_blocked: bool,
    /// Whether it gives a surplus up at once, because others wait for instances.
    pub is_immediate: bool,
}

/// How long a surplus must last before it is given up.
const SURPLUS_LASTS: Duration = Duration::from_secs(10 * 60);
const DAY: Duration = Duration::from_secs(24 * 3600);

/// The planner of one fleet.
#[derive(Debug, Default)]
pub struct Planner {
    ceilings: Ceilings,
    dirty: BTreeSet<PoolIx>,
    /// Pools that found no free instance; they are looked at again each time.
    unmet: Vec<PoolIx>,
    surplus_since: Vec<Option<Now>>,
    shrinks_today: u32,
    day: u64,
    /// Candidates looked at so far, the measure of work for regression bounds.
    pub candidates_examined: u64,
}

impl Planner {
    /// Returns a planner that keeps to `ceilings`.
    pub fn new(ceilings: Ceilings) -> Self {
        Self { ceilings, ..Self::default() }
    }

    /// Follows ceilings that were changed.
    pub fn set_ceilings(&mut self, ceilings: Ceilings) {
        self.ceilings = ceilings;
    }

    /// Notes that a pool's target, members or forecast changed.
    pub fn mark_changed(&mut self, pool: PoolIx) {
        self.dirty.insert(pool);
    }

    /// Decides on the pools that changed. The caller carries the moves out: an instance that joins
    /// a pool is warming, one that leaves is draining.
    pub fn replan(
        &mut self,
        now: Now,
        fleet: &mut Fleet,
        policy_of: impl Fn(PoolIx) -> ShrinkPolicy,
    ) -> Vec<Move> {
        self.start_day(now);
        let mut moves = Vec::new();
        for pool in std::mem::take(&mut self.dirty) {
            self.grow(fleet, pool, &mut moves);
            let policy = policy_of(pool);
            if !policy.is_blocked {
                self.shrink(now, fleet, pool, policy, &mut moves);
            }
        }
        self.dirty.extend(self.unmet.drain(..));
        moves
    }

    fn start_day(&mut self, now: Now) {
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
                self.unmet.push(ix);
                return;
            };
            fleet.assign(instance, Some(ix), Phase::Warming);
            moves.push(Move { instance, to: Some(ix), reason });
        }
    }

    /// The free instance whose failure domains the pool uses least; none if no free instance
    /// would bring the pool nearer to its target.
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
        // One more in the worst domain helps only if others can follow in another domain.
        let is_worst =
            pool.load_at(location(&best)).0 >= pool.committed.worst_loss(pool.target.survive);
        let domain = |instance: &InstanceIx| location(instance).domain(pool.target.survive);
        let has_other = candidates.iter().any(|other| domain(other) != domain(&best));
        let is_short = pool.committed.total() < pool.target.need;
        (is_short || !is_worst || has_other).then_some(best)
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
        let is_lent = |fleet: &Fleet| policy.is_immediate || fleet.pool(ix).surge_to_return > 0;
        let lasts = if is_lent(fleet) { Duration::ZERO } else { SURPLUS_LASTS };
        if now < since + lasts {
            return;
        }
        let mut next = Some(instance);
        while let Some(instance) = next.filter(|_| is_lent(fleet) || self.may_move()) {
            self.shrinks_today += u32::from(fleet.pool(ix).surge_to_return == 0);
            fleet.note_surge_returned(ix);
            fleet.assign(instance, Some(ix), Phase::Draining);
            moves.push(Move { instance, to: None, reason: MoveReason::DemandFell });
            next = Self::choose_surplus(fleet, ix, later_need);
        }
    }

    /// Each instance given up is one that joins again later, so the ceiling counts those.
    fn may_move(&self) -> bool {
        self.ceilings.moves_per_day.is_none_or(|most| self.shrinks_today < most)
    }

    /// A serving instance that the pool can do without, now and at its `later` need.
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

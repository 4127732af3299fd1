//! A maintenance wave: as wide as every class's budget allows, with this minute's failures
//! charged first, after a canary, stopping by itself when what it touched fails more.
//!
//! Each instance's step is recorded before it is carried out, so that a new holder goes on without
//! repeating a reboot.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::{Deserialize, Serialize};

use crate::{
    InstanceIx, PoolIx,
    fleet::{Fleet, Phase, Pool},
    reason::HoldReason,
};

/// Instances that must be back before the canary is judged, one of them from a pool; also the most
/// that it takes out of pools.
const CANARY_INSTANCES: usize = 2;
/// One free instance in this many of the fleet is left alone by a wave, to replace failures. Some
/// ten times as many as fail within an hour of an ordinary day.
const FREE_RESERVE_DIVISOR: usize = 250;
/// Failed steps after which the rate is judged.
const MIN_FAILURES: usize = 3;
/// Steps in which the part of the free instances that every pool gets is rounded.
const PARTS: u32 = 32;
/// A wave stops when this part of its recent steps has failed.
const FAILED_SHARE_DIVISOR: usize = 5;
/// Steps that count as recent.
const RECENT_STEPS: usize = 20;
/// Instances looked at for one step of the wave, so that a tick takes bounded time.
const MAX_STARTS: usize = 4096;

/// What the wave has done with an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepProgress {
    /// Not touched yet.
    Pending,
    /// Out, or being drained for it.
    Out,
    /// Back and healthy.
    Done,
    /// Did not come back healthy.
    Failed,
}

/// States of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveState {
    /// It goes on.
    Running,
    /// An operator paused it, or it stopped itself.
    Paused {
        /// Whether it stopped itself.
        by_itself: bool,
    },
    /// An operator ended it; what is out comes back.
    Cancelled,
    /// Every instance is done.
    Finished,
}

/// One maintenance wave.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Wave {
    state: WaveState,
    progress: BTreeMap<InstanceIx, StepProgress>,
    pending: BTreeSet<InstanceIx>,
    out: BTreeSet<InstanceIx>,
    /// Those of `out` that were taken from a pool.
    out_serving: BTreeSet<InstanceIx>,
    recent_failures: Vec<bool>,
    done: usize,
    /// Those done that were taken from a pool; the canary is judged by these.
    done_serving: usize,
}

impl Wave {
    /// Plans a wave over `instances`.
    pub fn new(instances: impl IntoIterator<Item = InstanceIx>) -> Self {
        let pending: BTreeSet<InstanceIx> = instances.into_iter().collect();
        let progress = pending.iter().map(|ix| (*ix, StepProgress::Pending)).collect();
        Self {
            state: WaveState::Running,
            progress,
            pending,
            out: BTreeSet::new(),
            out_serving: BTreeSet::new(),
            recent_failures: Vec::new(),
            done: 0,
            done_serving: 0,
        }
    }

    /// Takes a wave over from its records.
    pub fn restore(
        state: WaveState,
        steps: impl IntoIterator<Item = (InstanceIx, StepProgress, bool)>,
    ) -> Self {
        let mut wave = Self::new([]);
        wave.state = state;
        for (ix, progress, was_serving) in steps {
            wave.progress.insert(ix, progress);
            match progress {
                StepProgress::Pending => {
                    wave.pending.insert(ix);
                }
                StepProgress::Out => {
                    wave.out.insert(ix);
                    if was_serving {
                        wave.out_serving.insert(ix);
                    }
                }
                StepProgress::Done | StepProgress::Failed => {
                    wave.done += 1;
                    wave.done_serving += usize::from(was_serving);
                }
            }
        }
        wave
    }

    /// Adds instances that joined the fleet after the wave was planned.
    pub fn add(&mut self, ix: InstanceIx) {
        if self.progress.insert(ix, StepProgress::Pending).is_none() {
            self.pending.insert(ix);
        }
    }

    /// State of the wave.
    pub fn state(&self) -> WaveState {
        self.state
    }

    /// What the wave has done with an instance, if it belongs to it.
    pub fn progress(&self, ix: InstanceIx) -> Option<StepProgress> {
        self.progress.get(&ix).copied()
    }

    /// Instances that are done.
    pub fn done(&self) -> usize {
        self.done
    }

    /// Instances not touched yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Instances that are out.
    pub fn out(&self) -> &BTreeSet<InstanceIx> {
        &self.out
    }

    /// Pauses the wave on an operator's word; returns whether that changed anything.
    pub fn pause(&mut self) -> bool {
        let changes = self.state == WaveState::Running;
        if changes {
            self.state = WaveState::Paused { by_itself: false };
        }
        changes
    }

    /// Resumes a paused wave; earlier failures no longer count.
    pub fn resume(&mut self) -> bool {
        let changes = matches!(self.state, WaveState::Paused { .. });
        if changes {
            self.state = WaveState::Running;
            self.recent_failures.clear();
        }
        changes
    }

    /// Ends the wave; what is out still comes back.
    pub fn cancel(&mut self) -> bool {
        let changes = !matches!(self.state, WaveState::Cancelled | WaveState::Finished);
        if changes {
            self.state = WaveState::Cancelled;
        }
        changes
    }

    /// Takes out what the budgets allow now. The caller records each start before it drains the
    /// instance. Returns the starts and the reason that holds the rest, if any.
    pub fn start_steps(&mut self, fleet: &mut Fleet) -> (Vec<InstanceIx>, Option<HoldReason>) {
        self.finish_if_done();
        match self.state {
            WaveState::Paused { by_itself: true } => {
                return (Vec::new(), Some(HoldReason::CorrelatedFailures));
            }
            WaveState::Paused { by_itself: false } => {
                return (Vec::new(), Some(HoldReason::Paused));
            }
            WaveState::Cancelled | WaveState::Finished => return (Vec::new(), None),
            WaveState::Running => {}
        }
        let is_canary = self.is_canary(fleet);
        let canary_out = self.done_serving + self.out_serving.len();
        let mut serving_room =
            if is_canary { CANARY_INSTANCES.saturating_sub(canary_out) } else { MAX_STARTS };
        let kept_free = free_reserve(fleet) + missing_surge(fleet) as usize;
        let mut free_room = fleet.free_count().saturating_sub(kept_free);
        let mut starts = Vec::new();
        let mut hold = None;
        for ix in self.order(fleet) {
            let instance = fleet.instance(ix);
            let pool = instance.pool;
            let room = if pool.is_some() { &mut serving_room } else { &mut free_room };
            if *room == 0 {
                hold = Some(if is_canary { HoldReason::Canary } else { HoldReason::Budget });
                continue;
            }
            let is_ready = matches!(instance.phase, Phase::Serving | Phase::Free);
            if !is_ready || !fleet.can_take_out(ix) {
                hold = Some(HoldReason::Budget);
                continue;
            }
            *room -= 1;
            if pool.is_some() {
                self.out_serving.insert(ix);
            }
            fleet.set_awaits_maintenance(ix, false);
            fleet.assign(ix, pool, Phase::InMaintenance);
            self.pending.remove(&ix);
            self.out.insert(ix);
            self.progress.insert(ix, StepProgress::Out);
            starts.push(ix);
        }
        (starts, hold)
    }

    /// Whether too little has come back healthy to go on with the pools.
    fn is_canary(&self, fleet: &Fleet) -> bool {
        let is_judged = self.done >= CANARY_INSTANCES && self.done_serving > 0;
        !is_judged && self.has_serving_pending(fleet)
    }

    fn has_serving_pending(&self, fleet: &Fleet) -> bool {
        self.pending.iter().chain(&self.out).any(|ix| fleet.instance(*ix).pool.is_some())
    }

    /// Whether the wave has instances of this pool left to do.
    pub fn has_remaining_in(&self, fleet: &Fleet, pool: PoolIx) -> bool {
        self.left_by_pool(fleet)[pool as usize] > 0
    }

    fn left_by_pool(&self, fleet: &Fleet) -> Vec<u32> {
        let mut left = vec![0_u32; fleet.pools().len()];
        for ix in self.pending.iter().chain(&self.out_serving) {
            if let Some(pool) = fleet.instance(*ix).pool {
                left[pool as usize] += 1;
            }
        }
        left
    }

    /// Instances that each pool should have on top, so that its own can be out. Free instances are
    /// maintained first and then take the places of a whole pool, so that one step gets through it;
    /// where they are too few, every pool has its part of them.
    pub fn surge_by_pool(&self, fleet: &Fleet) -> Vec<u32> {
        let left = self.left_by_pool(fleet);
        if self.state != WaveState::Running {
            return vec![0; left.len()];
        }
        if self.done == 0 {
            return self.canary_surge_by_pool(fleet, &left);
        }
        let promised: u32 = fleet.pools().iter().map(|pool| pool.wave_surge).sum();
        let granted = promised.saturating_sub(missing_surge(fleet));
        proportional(&left, fleet.free_count() as u32 + granted)
    }

    /// One for the pool that is nearest to it, if no pool can spare an instance for the canary.
    fn canary_surge_by_pool(&self, fleet: &Fleet, left: &[u32]) -> Vec<u32> {
        let mut surge_by_pool = vec![0; left.len()];
        let can_take_out =
            |ix: &&InstanceIx| fleet.instance(**ix).pool.is_some() && fleet.can_take_out(**ix);
        let has_canary =
            !self.out_serving.is_empty() || self.pending.iter().any(|ix| can_take_out(&ix));
        let margin = |pool: &Pool| pool.cautious_margin(&pool.committed);
        let nearest = (0..left.len())
            .filter(|ix| left[*ix] > 0)
            .max_by_key(|ix| (margin(&fleet.pools()[*ix]), Reverse(*ix)));
        if !has_canary && let Some(pool) = nearest {
            surge_by_pool[pool] = 1;
        }
        surge_by_pool
    }

    /// Pending instances, those first whose loss makes the worst domain smaller: the wave then
    /// works through one failure domain at a time, which costs each pool the least margin.
    fn order(&self, fleet: &Fleet) -> Vec<InstanceIx> {
        let mut order: Vec<InstanceIx> = self.pending.iter().copied().collect();
        order.sort_by_key(|ix| {
            let location = fleet.instance(*ix).location;
            (location.zone, location.switch, location.rack, *ix)
        });
        order
    }

    /// Instances not touched yet, in the order of their numbers.
    pub fn pending_instances(&self) -> impl Iterator<Item = InstanceIx> {
        self.pending.iter().copied()
    }

    /// Notes that an instance came back, or did not. A repeated word changes nothing.
    pub fn finish_step(&mut self, ix: InstanceIx, is_healthy: bool) {
        if !self.out.remove(&ix) {
            return;
        }
        let progress = if is_healthy { StepProgress::Done } else { StepProgress::Failed };
        self.progress.insert(ix, progress);
        self.done += 1;
        self.done_serving += usize::from(self.out_serving.remove(&ix));
        self.recent_failures.push(!is_healthy);
        if self.recent_failures.len() > RECENT_STEPS {
            self.recent_failures.remove(0);
        }
        let failed = self.recent_failures.iter().filter(|is_failed| **is_failed).count();
        let is_correlated =
            failed >= MIN_FAILURES && failed * FAILED_SHARE_DIVISOR >= self.recent_failures.len();
        if self.state == WaveState::Running && is_correlated {
            self.state = WaveState::Paused { by_itself: true };
        }
        self.finish_if_done();
    }

    fn finish_if_done(&mut self) {
        let is_done = self.pending.is_empty() && self.out.is_empty() && !self.progress.is_empty();
        if is_done && self.state == WaveState::Running {
            self.state = WaveState::Finished;
        }
    }

    /// Drops an instance that left the fleet.
    pub fn remove_instance(&mut self, ix: InstanceIx) {
        self.progress.remove(&ix);
        self.pending.remove(&ix);
        self.out.remove(&ix);
        self.out_serving.remove(&ix);
    }
}

/// Free instances that pools still wait for, so that the wave can go through them.
fn missing_surge(fleet: &Fleet) -> u32 {
    fleet.pools().iter().map(Pool::missing_surge).sum()
}

/// All of `wanted` if they are no more than `available`, else the same part of each, and one where
/// the part is less than one: a pool with none would hold the whole wave up.
fn proportional(wanted: &[u32], available: u32) -> Vec<u32> {
    let part = |parts: u32| -> Vec<u32> {
        wanted.iter().map(|count| (count * parts).div_ceil(PARTS)).collect()
    };
    (1..=PARTS)
        .rev()
        .map(part)
        .find(|surge_by_pool| surge_by_pool.iter().sum::<u32>() <= available)
        .unwrap_or_else(|| one_each(wanted, available))
}

fn one_each(wanted: &[u32], available: u32) -> Vec<u32> {
    let mut left = available;
    let one = |count: &u32| {
        let extra = (*count).min(1).min(left);
        left -= extra;
        extra
    };
    wanted.iter().map(one).collect()
}

/// Free instances that a wave leaves alone, to replace ordinary failures. What the pools have
/// beyond their targets does the same.
fn free_reserve(fleet: &Fleet) -> usize {
    let surplus = |pool: &Pool| pool.margin(&pool.serving).max(0);
    let surplus: i64 = fleet.pools().iter().map(surplus).sum();
    let wanted = fleet.instances().len() / FREE_RESERVE_DIVISOR;
    wanted.saturating_sub(surplus as usize)
}

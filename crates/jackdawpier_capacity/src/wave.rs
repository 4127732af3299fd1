//! Maintenance waves: rolling maintenance of many instances within the classes' budgets.
//!
//! A wave starts with a canary, then maintains as many instances at once as every budget allows;
//! current failures count against the budgets first. It pauses itself when too many of its recent
//! steps fail. Each step is recorded before it is carried out, so a new holder continues without
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

/// Number of instances, at least one of them from a pool, that must return before the canary phase
/// ends; also the maximum number that the canary takes out of pools.
const CANARY_INSTANCES: usize = 2;
/// A wave leaves one free instance for this many instances of the fleet, to replace failed ones:
/// some ten times as many as fail within an hour of an ordinary day.
const FREE_RESERVE_DIVISOR: usize = 250;
/// Number of failed recent steps below which a wave doesn't pause itself.
const MIN_FAILURES: usize = 3;
/// Every pool gets the same share of its wanted surge, in multiples of one part in this many.
const SURGE_SHARE_PARTS: u32 = 32;
/// A wave pauses itself when one in this many of its recent steps has failed.
const FAILED_SHARE_DIVISOR: usize = 5;
/// Number of steps that count as recent.
const RECENT_STEPS: usize = 20;
/// Maximum number of pool instances taken out by one call, which bounds the time of a tick.
const MAX_STARTS_PER_CALL: usize = 4096;

/// Progress of a wave's step on one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepProgress {
    /// Not started yet.
    Pending,
    /// Out of service for maintenance, or draining for it.
    Out,
    /// Returned healthy.
    Done,
    /// Did not return healthy.
    Failed,
}

/// State of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveState {
    /// Starts steps as budgets allow.
    Running,
    /// Paused by an operator or by itself.
    Paused {
        /// Whether the wave paused itself because of failed steps.
        by_itself: bool,
    },
    /// Cancelled by an operator; instances that are out still return.
    Cancelled,
    /// Every step has ended.
    Finished,
}

/// One maintenance wave.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Wave {
    state: WaveState,
    progress: BTreeMap<InstanceIx, StepProgress>,
    pending: BTreeSet<InstanceIx>,
    out: BTreeSet<InstanceIx>,
    /// Instances of `out` that were taken from a pool.
    out_serving: BTreeSet<InstanceIx>,
    recent_failures: Vec<bool>,
    done: usize,
    /// Number of ended steps on instances from a pool; the canary phase needs at least one.
    done_serving: usize,
}

impl Wave {
    /// Returns a running wave over `instances`.
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

    /// Restores a wave from its records: each instance, its progress and whether it was taken from
    /// a pool.
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

    /// Adds an instance that joined the fleet after the wave was planned.
    pub fn add(&mut self, ix: InstanceIx) {
        if self.progress.insert(ix, StepProgress::Pending).is_none() {
            self.pending.insert(ix);
        }
    }

    /// Returns the state of the wave.
    pub fn state(&self) -> WaveState {
        self.state
    }

    /// Returns the progress of an instance's step, or `None` if the wave doesn't include it.
    pub fn progress(&self, ix: InstanceIx) -> Option<StepProgress> {
        self.progress.get(&ix).copied()
    }

    /// Returns the number of ended steps.
    pub fn done_count(&self) -> usize {
        self.done
    }

    /// Returns the number of steps not started yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns the instances that are out for maintenance.
    pub fn out(&self) -> &BTreeSet<InstanceIx> {
        &self.out
    }

    /// Pauses the wave for an operator; returns whether that changed its state.
    pub fn pause(&mut self) -> bool {
        let changes = self.state == WaveState::Running;
        if changes {
            self.state = WaveState::Paused { by_itself: false };
        }
        changes
    }

    /// Resumes a paused wave and forgets its earlier failures; returns whether that changed its
    /// state.
    pub fn resume(&mut self) -> bool {
        let changes = matches!(self.state, WaveState::Paused { .. });
        if changes {
            self.state = WaveState::Running;
            self.recent_failures.clear();
        }
        changes
    }

    /// Cancels the wave; instances that are out still return. Returns whether that changed its
    /// state.
    pub fn cancel(&mut self) -> bool {
        let changes = !matches!(self.state, WaveState::Cancelled | WaveState::Finished);
        if changes {
            self.state = WaveState::Cancelled;
        }
        changes
    }

    /// Starts the steps that the budgets allow now. Returns the instances to take out and the
    /// reason why the others have to wait, if any. The caller records each start before it drains
    /// the instance.
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
        let is_canary_phase = self.is_canary_phase(fleet);
        let canary_count = self.done_serving + self.out_serving.len();
        let mut serving_room = if is_canary_phase {
            CANARY_INSTANCES.saturating_sub(canary_count)
        } else {
            MAX_STARTS_PER_CALL
        };
        let reserved_free = free_reserve(fleet) + missing_surge(fleet) as usize;
        let mut free_room = fleet.free_count().saturating_sub(reserved_free);
        let mut starts = Vec::new();
        let mut hold_reason = None;
        for ix in self.sorted_pending(fleet) {
            let instance = fleet.instance(ix);
            let pool = instance.pool;
            let room = if pool.is_some() { &mut serving_room } else { &mut free_room };
            if *room == 0 {
                hold_reason =
                    Some(if is_canary_phase { HoldReason::Canary } else { HoldReason::Budget });
                continue;
            }
            let is_ready = matches!(instance.phase, Phase::Serving | Phase::Free);
            if !is_ready || !fleet.can_take_out(ix) {
                hold_reason = Some(HoldReason::Budget);
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
        (starts, hold_reason)
    }

    /// Returns whether the wave is still in its canary phase.
    fn is_canary_phase(&self, fleet: &Fleet) -> bool {
        let is_canary_done = self.done >= CANARY_INSTANCES && self.done_serving > 0;
        !is_canary_done && self.has_unfinished_in_pools(fleet)
    }

    fn has_unfinished_in_pools(&self, fleet: &Fleet) -> bool {
        self.pending.iter().chain(&self.out).any(|ix| fleet.instance(*ix).pool.is_some())
    }

    /// Returns whether the wave has unfinished steps on instances of this pool.
    pub fn has_unfinished_in(&self, fleet: &Fleet, pool: PoolIx) -> bool {
        self.unfinished_by_pool(fleet)[pool as usize] > 0
    }

    fn unfinished_by_pool(&self, fleet: &Fleet) -> Vec<u32> {
        let mut unfinished = vec![0_u32; fleet.pools().len()];
        for ix in self.pending.iter().chain(&self.out_serving) {
            if let Some(pool) = fleet.instance(*ix).pool {
                unfinished[pool as usize] += 1;
            }
        }
        unfinished
    }

    /// Returns the surge for each pool: the extra instances that replace those out for maintenance.
    /// Free instances are maintained first and then replace a whole pool, so that all of it can be
    /// maintained at once; if there are too few, every pool gets its share of them.
    pub fn surge_by_pool(&self, fleet: &Fleet) -> Vec<u32> {
        let unfinished = self.unfinished_by_pool(fleet);
        if self.state != WaveState::Running {
            return vec![0; unfinished.len()];
        }
        if self.done == 0 {
            return self.canary_surge_by_pool(fleet, &unfinished);
        }
        let requested: u32 = fleet.pools().iter().map(|pool| pool.wave_surge).sum();
        let received = requested.saturating_sub(missing_surge(fleet));
        proportional_shares(&unfinished, fleet.free_count() as u32 + received)
    }

    /// Returns a surge of one for the pool with the largest margin if no pool can do without an
    /// instance for the canary.
    fn canary_surge_by_pool(&self, fleet: &Fleet, unfinished: &[u32]) -> Vec<u32> {
        let mut surge_by_pool = vec![0; unfinished.len()];
        let can_take_out =
            |ix: &&InstanceIx| fleet.instance(**ix).pool.is_some() && fleet.can_take_out(**ix);
        let has_canary =
            !self.out_serving.is_empty() || self.pending.iter().any(|ix| can_take_out(&ix));
        let margin = |pool: &Pool| pool.cautious_margin(&pool.committed);
        let pool_with_most_margin = (0..unfinished.len())
            .filter(|ix| unfinished[*ix] > 0)
            .max_by_key(|ix| (margin(&fleet.pools()[*ix]), Reverse(*ix)));
        if !has_canary && let Some(pool) = pool_with_most_margin {
            surge_by_pool[pool] = 1;
        }
        surge_by_pool
    }

    /// Returns the pending instances sorted by failure domain. The wave maintains one domain after
    /// another, which reduces the pools' margins least.
    fn sorted_pending(&self, fleet: &Fleet) -> Vec<InstanceIx> {
        let mut instances: Vec<InstanceIx> = self.pending.iter().copied().collect();
        instances.sort_by_key(|ix| {
            let location = fleet.instance(*ix).location;
            (location.zone, location.switch, location.rack, *ix)
        });
        instances
    }

    /// Returns the instances whose steps haven't started, in the order of their indexes.
    pub fn pending_instances(&self) -> impl Iterator<Item = InstanceIx> {
        self.pending.iter().copied()
    }

    /// Records whether an instance returned healthy. A duplicate changes nothing.
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

    /// Removes an instance that left the fleet.
    pub fn remove_instance(&mut self, ix: InstanceIx) {
        self.progress.remove(&ix);
        self.pending.remove(&ix);
        self.out.remove(&ix);
        self.out_serving.remove(&ix);
    }
}

/// Returns the number of requested surge instances that the pools don't have yet.
fn missing_surge(fleet: &Fleet) -> u32 {
    fleet.pools().iter().map(Pool::missing_surge).sum()
}

/// Returns all of `wanted` if `available` suffices, else the same share of each, rounded up: a pool
/// without any surge would block the whole wave.
fn proportional_shares(wanted: &[u32], available: u32) -> Vec<u32> {
    let shares = |parts: u32| -> Vec<u32> {
        wanted.iter().map(|count| (count * parts).div_ceil(SURGE_SHARE_PARTS)).collect()
    };
    (1..=SURGE_SHARE_PARTS)
        .rev()
        .map(shares)
        .find(|surge_by_pool| surge_by_pool.iter().sum::<u32>() <= available)
        .unwrap_or_else(|| at_most_one_each(wanted, available))
}

fn at_most_one_each(wanted: &[u32], available: u32) -> Vec<u32> {
    let mut remaining = available;
    let one = |count: &u32| {
        let extra = (*count).min(1).min(remaining);
        remaining -= extra;
        extra
    };
    wanted.iter().map(one).collect()
}

/// Returns the number of free instances that a wave leaves to replace failed ones. Surplus
/// instances of the pools reduce it, since they serve the same purpose.
fn free_reserve(fleet: &Fleet) -> usize {
    let surplus = |pool: &Pool| pool.margin(&pool.serving).max(0);
    let surplus: i64 = fleet.pools().iter().map(surplus).sum();
    let wanted = fleet.instances().len() / FREE_RESERVE_DIVISOR;
    wanted.saturating_sub(surplus as usize)
}

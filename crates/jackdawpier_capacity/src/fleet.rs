//! The fleet: which instance stands where, in which pool, and in which phase.
//!
//! An instance has one pool field, so it can't be in two pools; a move is a change of that field
//! after its work was drained.

use std::collections::BTreeSet;

use jackdawpier_settings::declaration::Domain;
use serde::{Deserialize, Serialize};

use crate::{DomainIx, InstanceIx, PoolIx, counts::DomainCounts};

/// Where an instance stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Availability zone.
    pub zone: DomainIx,
    /// Switch.
    pub switch: DomainIx,
    /// Rack.
    pub rack: DomainIx,
}

impl Location {
    /// The domain of this kind that the location belongs to; none for the instance itself.
    pub fn domain(&self, kind: Domain) -> Option<DomainIx> {
        match kind {
            Domain::Instance => None,
            Domain::Rack => Some(self.rack),
            Domain::Switch => Some(self.switch),
            Domain::Zone => Some(self.zone),
        }
    }
}

/// Phases of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// In no pool, ready to be moved into one.
    Free,
    /// In a pool and taking work.
    Serving,
    /// In a pool, finishing its work before it changes pools or is maintained.
    Draining,
    /// Being set up for its pool; no work yet.
    Warming,
    /// Out for maintenance.
    InMaintenance,
    /// Failed.
    Down,
}

/// One instance.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Where it stands.
    pub location: Location,
    /// The pool that it belongs to, if any.
    pub pool: Option<PoolIx>,
    /// Its phase.
    pub phase: Phase,
    /// Whether a wave still has to take it out.
    pub awaits_maintenance: bool,
}

/// What a pool must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTarget {
    /// Instances that its classes need now.
    pub need: u32,
    /// Instances that they might need before a maintenance step ends.
    pub cautious_need: u32,
    /// Instances by which it may fall short.
    pub may_lose: u32,
    /// Failure domain whose loss it survives.
    pub survive: Domain,
}

impl PoolTarget {
    /// Instances that `spread` has beyond what the target asks for after the loss of the worst
    /// domain; negative if it would fall short.
    pub fn margin(&self, spread: &DomainSpread) -> i64 {
        let now = i64::from(spread.total()) - i64::from(self.need);
        let after_loss =
            now - i64::from(spread.worst_loss(self.survive)) + i64::from(self.may_lose);
        after_loss.min(now)
    }
}

impl PoolTarget {
    /// [`PoolTarget::margin`] once an instance at `place` is gone.
    pub fn margin_without(&self, spread: &DomainSpread, location: &Location) -> i64 {
        let now = i64::from(spread.total()) - 1 - i64::from(self.need);
        let eased = i64::from(spread.reduces_worst_loss(self.survive, location));
        let worst = i64::from(spread.worst_loss(self.survive)) - eased;
        now.min(now - worst + i64::from(self.may_lose))
    }
}

/// Instances of a pool by failure domain.
#[derive(Debug, Clone, Default)]
pub struct DomainSpread {
    total: u32,
    zones: DomainCounts,
    switches: DomainCounts,
    racks: DomainCounts,
}

impl DomainSpread {
    /// Instances in all.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Instances lost with the worst domain of this kind.
    pub fn worst_loss(&self, domain: Domain) -> u32 {
        match domain {
            Domain::Instance => self.total.min(1),
            Domain::Rack => self.racks.largest(),
            Domain::Switch => self.switches.largest(),
            Domain::Zone => self.zones.largest(),
        }
    }

    /// Instances in the domains of `place`, of each kind.
    pub fn counts_at(&self, location: &Location) -> (u32, u32, u32) {
        (
            self.zones.get(location.zone),
            self.switches.get(location.switch),
            self.racks.get(location.rack),
        )
    }

    /// Whether taking an instance at `place` away makes the worst domain smaller.
    pub fn reduces_worst_loss(&self, domain: Domain, location: &Location) -> bool {
        let (counts, ix) = match domain {
            Domain::Instance => return false,
            Domain::Rack => (&self.racks, location.rack),
            Domain::Switch => (&self.switches, location.switch),
            Domain::Zone => (&self.zones, location.zone),
        };
        counts.get(ix) == counts.largest() && counts.domains_at_largest() == 1
    }

    fn add(&mut self, location: &Location) {
        self.total += 1;
        self.zones.add(location.zone);
        self.switches.add(location.switch);
        self.racks.add(location.rack);
    }

    fn remove(&mut self, location: &Location) {
        self.total -= 1;
        self.zones.remove(location.zone);
        self.switches.remove(location.switch);
        self.racks.remove(location.rack);
    }
}

/// One pool.
#[derive(Debug, Clone)]
pub struct Pool {
    /// What it must keep.
    pub target: PoolTarget,
    /// Instances wanted on top while a wave goes through the pool, so that some can be out.
    pub wave_surge: u32,
    /// Committed instances that the pool needs beside those on top.
    pub wave_baseline: u32,
    /// Instances that the pool got for a wave and has not given back.
    pub surge_to_return: u32,
    /// Instances that take work.
    pub serving: DomainSpread,
    /// Instances that take work or soon will: serving and warming.
    pub committed: DomainSpread,
    /// The committed ones that no wave has to take out any more.
    pub committed_after_wave: DomainSpread,
    /// All instances of the pool by zone, whatever their phase.
    pub members_by_zone: Vec<BTreeSet<InstanceIx>>,
}

impl Pool {
    /// [`PoolTarget::margin`] of the pool's own target.
    pub fn margin(&self, spread: &DomainSpread) -> i64 {
        self.target.margin(spread)
    }

    /// The margin if the need were what it may become before a maintenance step ends.
    pub fn cautious_margin(&self, spread: &DomainSpread) -> i64 {
        let need = self.target.cautious_need;
        PoolTarget { need, ..self.target }.margin(spread)
    }

    /// Committed instances in the failure domains of `place`, the surviving kind first. Those that
    /// a wave takes out don't count while others take their places.
    pub fn load_at(&self, location: &Location) -> (u32, u32, u32) {
        let spread = if self.wave_surge > 0 { &self.committed_after_wave } else { &self.committed };
        let (zone, switch, rack) = spread.counts_at(location);
        match self.target.survive {
            Domain::Instance | Domain::Zone => (zone, switch, rack),
            Domain::Switch => (switch, rack, zone),
            Domain::Rack => (rack, zone, switch),
        }
    }

    /// Instances that the pool still waits for, so that a wave can go through it.
    pub fn missing_surge(&self) -> u32 {
        let wanted = if self.wave_surge > 0 { self.wave_baseline + self.wave_surge } else { 0 };
        wanted.saturating_sub(self.committed.total())
    }

    /// Whether the pool is below its availability budget at this moment.
    pub fn is_below_budget(&self) -> bool {
        self.serving.total() + self.target.may_lose < self.target.need
    }
}

/// The whole fleet.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    instances: Vec<Instance>,
    pools: Vec<Pool>,
    free: Vec<BTreeSet<InstanceIx>>,
}

impl Fleet {
    /// Returns an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a pool.
    pub fn add_pool(&mut self, target: PoolTarget) -> PoolIx {
        self.pools.push(Pool {
            target,
            wave_surge: 0,
            wave_baseline: 0,
            surge_to_return: 0,
            serving: DomainSpread::default(),
            committed: DomainSpread::default(),
            committed_after_wave: DomainSpread::default(),
            members_by_zone: Vec::new(),
        });
        self.pools.len() as PoolIx - 1
    }

    /// Adds a free instance.
    pub fn add_instance(&mut self, location: Location) -> InstanceIx {
        let ix = self.instances.len() as InstanceIx;
        self.instances.push(Instance {
            location,
            pool: None,
            phase: Phase::Free,
            awaits_maintenance: false,
        });
        set_at(&mut self.free, location.zone).insert(ix);
        ix
    }

    /// All pools.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// One pool.
    pub fn pool(&self, ix: PoolIx) -> &Pool {
        &self.pools[ix as usize]
    }

    /// Changes what a pool must keep.
    pub fn set_target(&mut self, ix: PoolIx, target: PoolTarget) {
        self.pools[ix as usize].target = target;
    }

    /// Asks for instances on top of what the pool has while a wave goes through it. With none the
    /// pool owes back what it got.
    pub fn set_wave_surge(&mut self, ix: PoolIx, extra: u32) {
        let pool = &mut self.pools[ix as usize];
        if pool.wave_surge == 0 {
            // What a wave takes out must not endanger the need that may come before it is back.
            let shortfall = -pool.cautious_margin(&pool.committed).min(0);
            pool.wave_baseline = pool.committed.total() + shortfall as u32;
        }
        if extra == 0 {
            pool.surge_to_return = pool.committed.total().saturating_sub(pool.wave_baseline);
        }
        pool.wave_surge = extra;
    }

    /// Notes that a pool gave an instance back that it got for a wave.
    pub fn note_surge_returned(&mut self, ix: PoolIx) {
        let pool = &mut self.pools[ix as usize];
        pool.surge_to_return = pool.surge_to_return.saturating_sub(1);
    }

    /// All instances.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// One instance.
    pub fn instance(&self, ix: InstanceIx) -> &Instance {
        &self.instances[ix as usize]
    }

    /// Free instances by zone.
    pub fn free_by_zone(&self) -> &[BTreeSet<InstanceIx>] {
        &self.free
    }

    /// Number of free instances.
    pub fn free_count(&self) -> usize {
        self.free.iter().map(BTreeSet::len).sum()
    }

    /// Puts an instance into another phase or pool; every index follows.
    pub fn assign(&mut self, ix: InstanceIx, pool: Option<PoolIx>, phase: Phase) {
        debug_assert_eq!(pool.is_none(), matches!(phase, Phase::Free) || pool.is_none());
        self.unlist(ix);
        let instance = &mut self.instances[ix as usize];
        instance.pool = pool;
        instance.phase = phase;
        self.list(ix);
    }

    /// Notes whether a wave still has to take an instance out.
    pub fn set_awaits_maintenance(&mut self, ix: InstanceIx, awaits_maintenance: bool) {
        if self.instance(ix).awaits_maintenance == awaits_maintenance {
            return;
        }
        self.unlist(ix);
        self.instances[ix as usize].awaits_maintenance = awaits_maintenance;
        self.list(ix);
    }

    fn unlist(&mut self, ix: InstanceIx) {
        let Instance { location, pool, phase, awaits_maintenance } =
            self.instances[ix as usize].clone();
        match pool {
            None => {
                set_at(&mut self.free, location.zone).remove(&ix);
            }
            Some(pool) => {
                let pool = &mut self.pools[pool as usize];
                set_at(&mut pool.members_by_zone, location.zone).remove(&ix);
                if phase == Phase::Serving {
                    pool.serving.remove(&location);
                }
                if is_committed(phase) {
                    pool.committed.remove(&location);
                }
                if is_committed(phase) && !awaits_maintenance {
                    pool.committed_after_wave.remove(&location);
                }
            }
        }
    }

    fn list(&mut self, ix: InstanceIx) {
        let Instance { location, pool, phase, awaits_maintenance } =
            self.instances[ix as usize].clone();
        match pool {
            None if phase == Phase::Free => {
                set_at(&mut self.free, location.zone).insert(ix);
            }
            None => {}
            Some(pool) => {
                let pool = &mut self.pools[pool as usize];
                set_at(&mut pool.members_by_zone, location.zone).insert(ix);
                if phase == Phase::Serving {
                    pool.serving.add(&location);
                }
                if is_committed(phase) {
                    pool.committed.add(&location);
                }
                if is_committed(phase) && !awaits_maintenance {
                    pool.committed_after_wave.add(&location);
                }
            }
        }
    }

    /// Whether the pool of `ix` keeps its target, and survives its worst domain, without it.
    pub fn can_take_out(&self, ix: InstanceIx) -> bool {
        let instance = self.instance(ix);
        let Some(pool) = instance.pool.map(|pool| self.pool(pool)) else { return true };
        if instance.phase != Phase::Serving {
            return true;
        }
        let eased =
            i64::from(pool.serving.reduces_worst_loss(pool.target.survive, &instance.location));
        let now = i64::from(pool.serving.total()) - i64::from(pool.target.cautious_need);
        let worst = i64::from(pool.serving.worst_loss(pool.target.survive));
        let after_loss = now - worst + eased + i64::from(pool.target.may_lose);
        after_loss.min(now + i64::from(pool.target.may_lose)) >= 1
    }
}

fn is_committed(phase: Phase) -> bool {
    matches!(phase, Phase::Serving | Phase::Warming | Phase::InMaintenance)
}

fn set_at(sets: &mut Vec<BTreeSet<InstanceIx>>, zone: DomainIx) -> &mut BTreeSet<InstanceIx> {
    let zone = zone as usize;
    if sets.len() <= zone {
        sets.resize_with(zone + 1, BTreeSet::new);
    }
    &mut sets[zone]
}

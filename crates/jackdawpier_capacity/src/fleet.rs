//! The fleet's state: location, pool and phase of every instance.
//!
//! An instance has one pool field, so it can't be in two pools; a move changes that field after the
//! instance has drained.

use std::collections::BTreeSet;

use jackdawpier_settings::declaration::FailureDomain;
use serde::{Deserialize, Serialize};

use crate::{DomainIx, InstanceIx, PoolIx, counts::DomainCounts};

/// Location of an instance in the failure domains.
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
    /// Returns the domain of this kind that contains the location; `None` for the instance itself.
    pub fn domain(&self, kind: FailureDomain) -> Option<DomainIx> {
        match kind {
            FailureDomain::Instance => None,
            FailureDomain::Rack => Some(self.rack),
            FailureDomain::Switch => Some(self.switch),
            FailureDomain::Zone => Some(self.zone),
        }
    }
}

/// Phase of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// In no pool, ready to be moved into one.
    Free,
    /// In a pool and accepting work.
    Serving,
    /// In a pool, finishing its work before a move or maintenance.
    Draining,
    /// Being set up for its pool; accepts no work yet.
    Warming,
    /// Out for maintenance.
    InMaintenance,
    /// Failed.
    Down,
}

/// One instance.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Location in the failure domains.
    pub location: Location,
    /// The pool that it belongs to, if any.
    pub pool: Option<PoolIx>,
    /// Its phase.
    pub phase: Phase,
    /// Whether a running wave still has to maintain it.
    pub awaits_maintenance: bool,
}

/// Capacity that a pool must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTarget {
    /// Instances that its classes need now.
    pub need: u32,
    /// Upper estimate of that need until a maintenance step that starts now has ended.
    pub cautious_need: u32,
    /// Tolerated shortfall after the loss of a failure domain, in instances.
    pub may_lose: u32,
    /// Kind of failure domain whose loss it must survive.
    pub survive: FailureDomain,
}

impl PoolTarget {
    /// Returns the instances of `spread` in excess of the target, the loss of the largest domain
    /// included; negative if the target isn't met.
    pub fn margin(&self, spread: &DomainSpread) -> i64 {
        let now = i64::from(spread.total()) - i64::from(self.need);
        let after_loss =
            now - i64::from(spread.worst_loss(self.survive)) + i64::from(self.may_lose);
        after_loss.min(now)
    }
}

impl PoolTarget {
    /// Returns [`PoolTarget::margin`] after the removal of an instance at `location`.
    pub fn margin_without(&self, spread: &DomainSpread, location: &Location) -> i64 {
        let now = i64::from(spread.total()) - 1 - i64::from(self.need);
        let reduction = i64::from(spread.reduces_worst_loss(self.survive, location));
        let worst = i64::from(spread.worst_loss(self.survive)) - reduction;
        now.min(now - worst + i64::from(self.may_lose))
    }
}

/// Instance counts of a pool by failure domain.
#[derive(Debug, Clone, Default)]
pub struct DomainSpread {
    total: u32,
    zones: DomainCounts,
    switches: DomainCounts,
    racks: DomainCounts,
}

impl DomainSpread {
    /// Returns the total number of instances.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of instances in the largest domain of this kind.
    pub fn worst_loss(&self, domain: FailureDomain) -> u32 {
        match domain {
            FailureDomain::Instance => self.total.min(1),
            FailureDomain::Rack => self.racks.largest(),
            FailureDomain::Switch => self.switches.largest(),
            FailureDomain::Zone => self.zones.largest(),
        }
    }

    /// Returns the counts in the zone, the switch and the rack of `location`.
    pub fn counts_at(&self, location: &Location) -> (u32, u32, u32) {
        (
            self.zones.get(location.zone),
            self.switches.get(location.switch),
            self.racks.get(location.rack),
        )
    }

    /// Returns whether the removal of an instance at `location` makes the largest domain smaller.
    pub fn reduces_worst_loss(&self, domain: FailureDomain, location: &Location) -> bool {
        let (counts, ix) = match domain {
            FailureDomain::Instance => return false,
            FailureDomain::Rack => (&self.racks, location.rack),
            FailureDomain::Switch => (&self.switches, location.switch),
            FailureDomain::Zone => (&self.zones, location.zone),
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
    /// Capacity that the pool must keep.
    pub target: PoolTarget,
    /// Extra instances requested while a wave takes instances out of the pool.
    pub wave_surge: u32,
    /// Committed instances that the pool needs without the surge.
    pub wave_baseline: u32,
    /// Surge instances that the pool still has to return after a wave.
    pub surge_to_return: u32,
    /// Instances that accept work.
    pub serving: DomainSpread,
    /// Instances that serve, warm up or are in maintenance.
    pub committed: DomainSpread,
    /// Committed instances that no running wave still has to maintain.
    pub committed_after_wave: DomainSpread,
    /// All instances of the pool by zone, whatever their phase.
    pub members_by_zone: Vec<BTreeSet<InstanceIx>>,
}

impl Pool {
    /// Returns [`PoolTarget::margin`] for the pool's own target.
    pub fn margin(&self, spread: &DomainSpread) -> i64 {
        self.target.margin(spread)
    }

    /// Returns the margin for the upper estimate of the need during a maintenance step.
    pub fn cautious_margin(&self, spread: &DomainSpread) -> i64 {
        let need = self.target.cautious_need;
        PoolTarget { need, ..self.target }.margin(spread)
    }

    /// Returns the committed instances in the failure domains of `location`, the kind to survive
    /// first. During a surge, instances that the wave still has to maintain don't count.
    pub fn load_at(&self, location: &Location) -> (u32, u32, u32) {
        let spread = if self.wave_surge > 0 { &self.committed_after_wave } else { &self.committed };
        let (zone, switch, rack) = spread.counts_at(location);
        match self.target.survive {
            FailureDomain::Instance | FailureDomain::Zone => (zone, switch, rack),
            FailureDomain::Switch => (switch, rack, zone),
            FailureDomain::Rack => (rack, zone, switch),
        }
    }

    /// Returns the number of surge instances that the pool doesn't have yet.
    pub fn missing_surge(&self) -> u32 {
        let wanted = if self.wave_surge > 0 { self.wave_baseline + self.wave_surge } else { 0 };
        wanted.saturating_sub(self.committed.total())
    }

    /// Returns whether the pool is below its availability budget now.
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
        zone_set_mut(&mut self.free, location.zone).insert(ix);
        ix
    }

    /// Returns all pools.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Returns one pool.
    pub fn pool(&self, ix: PoolIx) -> &Pool {
        &self.pools[ix as usize]
    }

    /// Changes the target of a pool.
    pub fn set_target(&mut self, ix: PoolIx, target: PoolTarget) {
        self.pools[ix as usize].target = target;
    }

    /// Requests `surge` extra instances for a pool during a wave. Zero ends the surge; the pool
    /// then has to return what it got.
    pub fn set_wave_surge(&mut self, ix: PoolIx, surge: u32) {
        let pool = &mut self.pools[ix as usize];
        if pool.wave_surge == 0 {
            // The pool must cover its cautious need while instances are out for maintenance.
            let shortfall = -pool.cautious_margin(&pool.committed).min(0);
            pool.wave_baseline = pool.committed.total() + shortfall as u32;
        }
        if surge == 0 {
            pool.surge_to_return = pool.committed.total().saturating_sub(pool.wave_baseline);
        }
        pool.wave_surge = surge;
    }

    /// Records that a pool returned one of its surge instances.
    pub fn note_surge_returned(&mut self, ix: PoolIx) {
        let pool = &mut self.pools[ix as usize];
        pool.surge_to_return = pool.surge_to_return.saturating_sub(1);
    }

    /// Returns all instances.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Returns one instance.
    pub fn instance(&self, ix: InstanceIx) -> &Instance {
        &self.instances[ix as usize]
    }

    /// Returns the free instances by zone.
    pub fn free_by_zone(&self) -> &[BTreeSet<InstanceIx>] {
        &self.free
    }

    /// Returns the number of free instances.
    pub fn free_count(&self) -> usize {
        self.free.iter().map(BTreeSet::len).sum()
    }

    /// Sets the pool and the phase of an instance and updates the indexes.
    pub fn assign(&mut self, ix: InstanceIx, pool: Option<PoolIx>, phase: Phase) {
        debug_assert_eq!(pool.is_none(), matches!(phase, Phase::Free) || pool.is_none());
        self.remove_from_indexes(ix);
        let instance = &mut self.instances[ix as usize];
        instance.pool = pool;
        instance.phase = phase;
        self.add_to_indexes(ix);
    }

    /// Sets whether a running wave still has to maintain an instance.
    pub fn set_awaits_maintenance(&mut self, ix: InstanceIx, awaits_maintenance: bool) {
        if self.instance(ix).awaits_maintenance == awaits_maintenance {
            return;
        }
        self.remove_from_indexes(ix);
        self.instances[ix as usize].awaits_maintenance = awaits_maintenance;
        self.add_to_indexes(ix);
    }

    fn remove_from_indexes(&mut self, ix: InstanceIx) {
        let Instance { location, pool, phase, awaits_maintenance } =
            self.instances[ix as usize].clone();
        match pool {
            None => {
                zone_set_mut(&mut self.free, location.zone).remove(&ix);
            }
            Some(pool) => {
                let pool = &mut self.pools[pool as usize];
                zone_set_mut(&mut pool.members_by_zone, location.zone).remove(&ix);
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

    fn add_to_indexes(&mut self, ix: InstanceIx) {
        let Instance { location, pool, phase, awaits_maintenance } =
            self.instances[ix as usize].clone();
        match pool {
            None if phase == Phase::Free => {
                zone_set_mut(&mut self.free, location.zone).insert(ix);
            }
            None => {}
            Some(pool) => {
                let pool = &mut self.pools[pool as usize];
                zone_set_mut(&mut pool.members_by_zone, location.zone).insert(ix);
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

    /// Returns whether the pool of `ix` meets its target, the loss of its largest domain included,
    /// while `ix` is out of service.
    pub fn can_take_out(&self, ix: InstanceIx) -> bool {
        let instance = self.instance(ix);
        let Some(pool) = instance.pool.map(|pool| self.pool(pool)) else { return true };
        if instance.phase != Phase::Serving {
            return true;
        }
        let reduction =
            i64::from(pool.serving.reduces_worst_loss(pool.target.survive, &instance.location));
        let now = i64::from(pool.serving.total()) - i64::from(pool.target.cautious_need);
        let worst = i64::from(pool.serving.worst_loss(pool.target.survive));
        let after_loss = now - worst + reduction + i64::from(pool.target.may_lose);
        after_loss.min(now + i64::from(pool.target.may_lose)) >= 1
    }
}

fn is_committed(phase: Phase) -> bool {
    matches!(phase, Phase::Serving | Phase::Warming | Phase::InMaintenance)
}

fn zone_set_mut(sets: &mut Vec<BTreeSet<InstanceIx>>, zone: DomainIx) -> &mut BTreeSet<InstanceIx> {
    let zone = zone as usize;
    if sets.len() <= zone {
        sets.resize_with(zone + 1, BTreeSet::new);
    }
    &mut sets[zone]
}

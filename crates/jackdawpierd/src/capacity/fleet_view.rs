//! Updates the fleet model from the instance list, the declarations and the demand.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use jackdawpier_capacity::{
    InstanceIx, PoolIx,
    demand::DayKind,
    fleet::{Location, Phase, PoolTarget},
    forecast::{Forecast, forecast},
};
use jackdawpier_kernel::instance::{FREE_POOL, Instance, InstanceState};
use jackdawpier_settings::declaration::Class;

use super::{CapacityState, MILLI, PlanningInputs};

pub(super) fn day_kind(since_epoch: Duration) -> DayKind {
    let weekday = (since_epoch.as_secs() / DAY_S + EPOCH_WEEKDAY) % 7;
    if weekday >= FIRST_WEEKEND_DAY { DayKind::Quiet } else { DayKind::Ordinary }
}

/// Weekday of 1 January 1970, a Thursday, counted from Monday.
const EPOCH_WEEKDAY: u64 = 3;

pub(super) const DAY_S: u64 = 24 * 3600;

const FIRST_WEEKEND_DAY: u64 = 5;

impl CapacityState {
    /// Adds a pool for each service and returns the targets at the declared peaks. The needs of a
    /// service's classes add up; of their other limits the strictest applies.
    pub(super) fn update_pools(&mut self, classes: &[Class]) -> BTreeMap<Arc<str>, PoolTarget> {
        let mut targets: BTreeMap<Arc<str>, PoolTarget> = BTreeMap::new();
        for class in classes {
            let need = class.capacity_instances;
            let may_lose = class.may_lose_instances;
            let survive = class.survive;
            let target = targets.entry(Arc::clone(&class.service)).or_insert(PoolTarget {
                need: 0,
                cautious_need: 0,
                may_lose,
                survive,
            });
            target.need += need;
            target.cautious_need += need;
            target.may_lose = target.may_lose.min(may_lose);
            target.survive = target.survive.max(survive);
        }
        for (service, target) in &targets {
            if !self.pools.contains_key(service) {
                let pool = self.fleet.add_pool(*target);
                self.pools.insert(Arc::clone(service), pool);
            }
        }
        targets
    }

    /// Sets each pool's target to its forecast, which is the declared peak until demand was learned.
    pub(super) fn update_targets(
        &mut self,
        peaks: &BTreeMap<Arc<str>, PoolTarget>,
        inputs: &PlanningInputs,
    ) -> HashMap<PoolIx, Forecast> {
        let Some(holder) = &self.holder else { return HashMap::new() };
        let mut forecasts = HashMap::new();
        for (service, peak) in peaks {
            let (Some(pool), Some(learned)) =
                (self.pools.get(service), holder.learned_demands.get(service))
            else {
                continue;
            };
            let milli = inputs.demand_milli.get(service).copied().unwrap_or(0);
            let present = milli.div_ceil(MILLI).min(peak.need);
            let forecast =
                forecast(&learned.demand, present, inputs.since_epoch, day_kind, &inputs.ceilings);
            let need = forecast.need.max(1);
            let cautious_need = forecast.cautious_need.max(1);
            let target = PoolTarget { need, cautious_need, ..*peak };
            if self.fleet.pool(*pool).target != target {
                self.fleet.set_target(*pool, target);
                self.planner.mark_changed(*pool);
            }
            forecasts.insert(*pool, forecast);
        }
        forecasts
    }

    pub(super) fn update_instances(&mut self, instances: &[Instance]) {
        for instance in instances {
            let ix = match self.by_id.get(&instance.id) {
                Some(ix) => *ix,
                None => self.add_instance(instance),
            };
            let pool = self.pools.get(&instance.pool).copied();
            let is_ordered =
                self.holder.as_ref().is_some_and(|holder| holder.orders.contains_key(&instance.id));
            let phase = match (instance.state, pool) {
                _ if is_ordered => Phase::InMaintenance,
                (InstanceState::Live, Some(_)) => Phase::Serving,
                (InstanceState::Live, None) if &*instance.pool == FREE_POOL => Phase::Free,
                // It is leaving, or no declared class uses its pool.
                _ => Phase::Draining,
            };
            let known = self.fleet.instance(ix);
            if (known.pool, known.phase) != (pool, phase) {
                let before = known.pool;
                self.fleet.assign(ix, pool, phase);
                before.into_iter().chain(pool).for_each(|pool| self.planner.mark_changed(pool));
            }
        }
        let listed: std::collections::HashSet<&str> = instances.iter().map(|i| &*i.id).collect();
        let removed: Vec<InstanceIx> = self
            .by_id
            .iter()
            .filter(|(id, _)| !listed.contains(&***id))
            .map(|(_, ix)| *ix)
            .filter(|ix| self.fleet.instance(*ix).phase != Phase::Down)
            .collect();
        for ix in removed {
            if let Some(pool) = self.fleet.instance(ix).pool {
                self.planner.mark_changed(pool);
            }
            self.fleet.assign(ix, None, Phase::Down);
        }
    }

    fn add_instance(&mut self, instance: &Instance) -> InstanceIx {
        let mut domain_id = |kind: &str, name: &str| {
            let next = self.domain_ids.len() as u32;
            *self.domain_ids.entry(format!("{kind}/{name}")).or_insert(next)
        };
        let rack_name = format!("{}/{}", instance.zone, instance.rack);
        let location = Location {
            zone: domain_id("zone", &instance.zone),
            switch: domain_id("switch", &instance.zone),
            rack: domain_id("rack", &rack_name),
        };
        let ix = self.fleet.add_instance(location);
        self.ids.push(Arc::clone(&instance.id));
        self.by_id.insert(Arc::clone(&instance.id), ix);
        ix
    }
}

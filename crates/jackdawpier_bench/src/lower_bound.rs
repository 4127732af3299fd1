//! Arithmetic lower bounds: what no planner could beat with perfect knowledge.

use jackdawpier_capacity::explain::min_instances;
use jackdawpier_settings::declaration::FailureDomain;

use crate::deployment::{Deployment, PoolSpec};

/// The fewest instances of a pool with `need` at this moment.
pub fn pool_size(deployment: &Deployment, pool: &PoolSpec, need: u32) -> u32 {
    let domains = match pool.survive {
        FailureDomain::Zone => deployment.zones,
        FailureDomain::Switch => deployment.racks().div_ceil(deployment.racks_per_switch),
        FailureDomain::Rack | FailureDomain::Instance => deployment.racks(),
    };
    let domain_size = match pool.survive {
        FailureDomain::Zone => deployment.instances / deployment.zones,
        FailureDomain::Switch => deployment.per_rack * deployment.racks_per_switch,
        FailureDomain::Rack | FailureDomain::Instance => deployment.per_rack,
    };
    min_instances(need, pool.may_lose, domains, pool.survive, domain_size)
}

/// The most instances of a pool of `size` that may be out at once with `need`.
pub fn widest_step(deployment: &Deployment, pool: &PoolSpec, size: u32, need: u32) -> u32 {
    let fits = |out: &u32| {
        let left = size - out;
        let worst = left - left_after_loss(deployment, pool, left);
        left - worst + pool.may_lose >= need
    };
    (0..=size).take_while(fits).last().unwrap_or(0)
}

fn left_after_loss(deployment: &Deployment, pool: &PoolSpec, size: u32) -> u32 {
    let domains = match pool.survive {
        FailureDomain::Zone => deployment.zones,
        _ => deployment.racks(),
    };
    size - size.div_ceil(domains.max(1))
}

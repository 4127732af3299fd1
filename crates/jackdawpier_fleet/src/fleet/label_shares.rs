//! How many of the machines with a scarce label each pool is entitled to.
//!
//! Max-min fair: a pool that needs less than an equal part keeps what it needs, and the others share the
//! rest equally. By what waits alone, the pool with the longest backlog would take all of them, and work
//! of the others that is still in time would wait behind it.

use std::collections::BTreeMap;

use jackdawpier_kernel::ids::PoolName;

use super::pool_view::PoolView;
use crate::spec::Label;

/// What bounds the part of one pool.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct ShareBounds {
    /// Machines that it can't give away.
    pub(super) pinned: usize,
    /// Machines that it has work for.
    pub(super) needed: usize,
}

impl ShareBounds {
    fn share(&self, equal: usize) -> usize {
        equal.min(self.needed).max(self.pinned)
    }
}

/// The largest equal part for which there are machines.
fn equal_part(machines: usize, pools: &[ShareBounds]) -> usize {
    let is_enough =
        |equal: &usize| pools.iter().map(|bounds| bounds.share(*equal)).sum::<usize>() <= machines;
    (1..=machines).take_while(is_enough).last().unwrap_or(0)
}

/// The machines with a label to which each pool that has or wants some is entitled.
pub(super) fn label_shares(
    pools: &BTreeMap<PoolName, PoolView>,
    label: &Label,
) -> BTreeMap<PoolName, usize> {
    let machines = pools.values().map(|pool| pool.holds_with_label(Some(label))).sum();
    let bounds: Vec<ShareBounds> = pools.values().map(|pool| pool.share_bounds(label)).collect();
    let equal = equal_part(machines, &bounds);
    pools.keys().zip(&bounds).map(|(name, bounds)| (name.clone(), bounds.share(equal))).collect()
}

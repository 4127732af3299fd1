//! Divides the machines with a scarce label fairly among the pools.
//!
//! Shares are max-min fair: a pool that needs less than an equal share gets what it needs, and the others
//! share the rest equally. If shares followed the backlog, the pool with the longest one would take all
//! machines, and jobs of the others that could still meet their objectives would wait behind it.

use std::collections::BTreeMap;

use jackdawpier_kernel::ids::PoolName;

use super::pool_view::PoolView;
use crate::spec::Label;

/// The bounds of one pool's share.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct ShareBounds {
    /// Number of machines that it can't give up.
    pub(super) pinned: usize,
    /// Number of machines that it has work for.
    pub(super) needed: usize,
}

impl ShareBounds {
    fn clamp(&self, equal: usize) -> usize {
        equal.min(self.needed).max(self.pinned)
    }
}

/// Returns the largest equal share for which there are enough machines.
fn max_equal_share(machines: usize, pools: &[ShareBounds]) -> usize {
    let fits =
        |equal: &usize| pools.iter().map(|bounds| bounds.clamp(*equal)).sum::<usize>() <= machines;
    (1..=machines).take_while(fits).last().unwrap_or(0)
}

/// Returns the number of machines with a label that each pool is entitled to.
pub(super) fn label_shares(
    pools: &BTreeMap<PoolName, PoolView>,
    label: &Label,
) -> BTreeMap<PoolName, usize> {
    let machines = pools.values().map(|pool| pool.machines_with_label(Some(label))).sum();
    let bounds: Vec<ShareBounds> = pools.values().map(|pool| pool.share_bounds(label)).collect();
    let equal = max_equal_share(machines, &bounds);
    pools.keys().zip(&bounds).map(|(name, bounds)| (name.clone(), bounds.clamp(equal))).collect()
}

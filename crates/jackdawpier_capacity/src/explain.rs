//! Breakdown of a pool's buffer, which answers why its capacity is held back.

use derive_more::Display;
use jackdawpier_settings::declaration::FailureDomain;
use serde::{Deserialize, Serialize};

use crate::fleet::Pool;

/// State of a pool compared with its target.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "have {have}, need {need}; {buffer} held back so that {left_after_loss} are left after the loss \
     of the worst {survive:?} ({worst_loss}); may fall short by {may_lose}; margin {margin}"
)]
pub struct Explanation {
    /// Instances that accept work.
    pub have: u32,
    /// Instances needed.
    pub need: u32,
    /// Instances in excess of the need.
    pub buffer: u32,
    /// Kind of failure domain whose loss the pool must survive.
    pub survive: FailureDomain,
    /// Instances in the largest domain of that kind.
    pub worst_loss: u32,
    /// Instances that remain after the loss of that domain.
    pub left_after_loss: u32,
    /// Tolerated shortfall after such a loss, in instances.
    pub may_lose: u32,
    /// Instances in excess of the target; negative if the target isn't met.
    pub margin: i64,
}

/// Returns the breakdown of a pool.
pub fn explain(pool: &Pool) -> Explanation {
    let have = pool.serving.total();
    let worst_loss = pool.serving.worst_loss(pool.target.survive);
    Explanation {
        have,
        need: pool.target.need,
        buffer: have.saturating_sub(pool.target.need),
        survive: pool.target.survive,
        worst_loss,
        left_after_loss: have - worst_loss,
        may_lose: pool.target.may_lose,
        margin: pool.margin(&pool.serving),
    }
}

/// Returns the smallest number of instances that still covers `need`, less `may_lose`, after the
/// loss of one of `domain_count` equal domains with at most `domain_size` instances each.
pub fn min_instances(
    need: u32,
    may_lose: u32,
    domain_count: u32,
    survive: FailureDomain,
    domain_size: u32,
) -> u32 {
    let mut instances = need;
    loop {
        let worst = match survive {
            FailureDomain::Instance => instances.min(1),
            _ => instances.div_ceil(domain_count.max(1)).min(domain_size.max(1)),
        };
        if instances - worst + may_lose >= need || domain_count <= 1 {
            return instances;
        }
        instances += 1;
    }
}

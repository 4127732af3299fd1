//! "Why is this capacity held back": the buffer of a pool, taken apart.

use derive_more::Display;
use jackdawpier_settings::declaration::Domain;
use serde::{Deserialize, Serialize};

use crate::fleet::Pool;

/// A pool against its target.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "have {have}, need {need}; {buffer} held back so that {left_after_loss} are left after the loss \
     of the worst {survive:?} ({worst_loss}); may fall short by {may_lose}; margin {margin}"
)]
pub struct Explanation {
    /// Instances that take work.
    pub have: u32,
    /// Instances needed.
    pub need: u32,
    /// Instances beyond the need.
    pub buffer: u32,
    /// Failure domain that is survived.
    pub survive: Domain,
    /// Instances lost with the worst such domain.
    pub worst_loss: u32,
    /// Instances left after that loss.
    pub left_after_loss: u32,
    /// Instances by which the pool may fall short.
    pub may_lose: u32,
    /// Instances beyond what the target asks for; negative if it would not be kept.
    pub margin: i64,
}

/// Explains a pool.
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

/// The fewest instances that survive the loss of one of `domains` equal domains.
pub fn min_instances(
    need: u32,
    may_lose: u32,
    domains: u32,
    survive: Domain,
    domain_size: u32,
) -> u32 {
    let mut size = need;
    loop {
        let worst = match survive {
            Domain::Instance => size.min(1),
            _ => size.div_ceil(domains.max(1)).min(domain_size.max(1)),
        };
        if size - worst + may_lose >= need || domains <= 1 {
            return size;
        }
        size += 1;
    }
}

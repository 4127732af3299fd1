//! Decides what a request to an executor may carry, by what is known of the process that receives it.
//!
//! A position in the list of ends, a time by the executor's clock and a start are valid for one incarnation. A request
//! names only the executor, whose next incarnation has the same id and may answer at the same address before the
//! registry shows it. But a connection ends with the process that accepted it. So a request that is valid for one
//! incarnation is sent only over a connection on which an answer has named that incarnation. See
//! `docs/design/lives.md#what-reaches-the-next-incarnation`.

use std::time::Duration;

use jackdawpier_kernel::ids::ExecutorId;

use crate::executor::IncarnationId;

/// An incarnation of an executor, as the process at the other end of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionPeer {
    /// The executor.
    pub executor: ExecutorId,
    /// The incarnation that its answers name; `None` if they name none.
    pub incarnation: Option<IncarnationId>,
}

impl ConnectionPeer {
    /// Whether the process is the one that a request is meant for. An executor whose answers name no incarnation has
    /// another id in each, so its id suffices.
    pub fn is_target(&self, target: &Self) -> bool {
        self.executor == target.executor
            && (self.incarnation.is_none() || self.incarnation == target.incarnation)
    }
}

/// A request for the running and ended tasks of an executor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HoldRequest {
    /// The executor may discard ends up to this sequence number.
    pub acknowledged: u64,
    /// End of the lease by the executor's clock.
    pub lease_until: Option<Duration>,
    /// Maximum time to wait for an end before answering.
    pub wait: Duration,
}

impl HoldRequest {
    /// Returns the part of the request that is valid for any incarnation. It asks for an immediate answer, which
    /// names the incarnation.
    #[must_use]
    pub fn for_unknown_peer(&self) -> Self {
        Self { acknowledged: 0, lease_until: None, wait: Duration::ZERO }
    }
}

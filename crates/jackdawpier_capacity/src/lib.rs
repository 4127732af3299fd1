//! Pure decisions on pools, buffers and maintenance waves.
//!
//! The fleet's state answers in constant or logarithmic time what the loss of any failure domain
//! would leave to a pool, so that a re-plan after one event does not grow with the fleet. See
//! `docs/design/capacity.md` and `docs/design/waves.md`.

pub mod counts;
pub mod demand;
pub mod escrow;
pub mod explain;
pub mod fleet;
pub mod forecast;
pub mod planner;
pub mod reason;
pub mod surge;
pub mod wave;

/// Index of an instance in its [`fleet::Fleet`].
pub type InstanceIx = u32;
/// Index of a pool in its [`fleet::Fleet`].
pub type PoolIx = u32;
/// Index of an availability zone, a switch or a rack.
pub type DomainIx = u32;

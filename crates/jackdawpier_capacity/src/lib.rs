//! Decisions on pools, buffers and maintenance waves, without I/O.
//!
//! The fleet's state tracks for each pool the largest loss by failure domain in constant or
//! logarithmic time, so the cost of a re-plan after one event doesn't grow with the fleet. See
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

//! Pure decisions of the fleet's owner: which task runs on which executor, when a run counts as
//! over, what has to be durable before an order leaves, and which machine changes pool or is
//! maintained next.
//!
//! [`fleet::Fleet`] takes events with the time they came at and returns commands; it holds no I/O,
//! no clock and no random numbers. See `docs/design/platform.md`.

pub mod account;
pub mod crash;
mod demand;
pub mod executor;
pub mod fleet;
pub mod job;
pub mod job_rank;
pub mod machines;
pub mod policy;
pub mod record;
mod sorted_hash_map;
pub mod spec;

//! State machines for membership, shard ownership, durable cells and configuration.
//!
//! Entries coordinate through compare-and-swap operations on the platform's store. The state
//! machines do no I/O: they return the calls to make and take their results. See `docs/design/coordination.md`.

pub mod cell;
pub mod configuration;
pub mod keys;
pub mod membership;
pub mod ownership;
pub mod page_size;

//! Pure decisions on membership, shard ownership, durable cells and configuration.
//!
//! Everything agreed goes through the platform's store by compare-and-swap; these machines decide
//! which calls to make and what their answers mean, and do no I/O themselves. See
//! `docs/design/coordination.md`.

pub mod cell;
pub mod configuration;
pub mod keys;
pub mod membership;
pub mod ownership;
pub mod page_size;

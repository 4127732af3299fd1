//! Decision logic of the fleet's owner: places tasks on executors, determines when a run counts as
//! over and what must be durable before an order is sent, and selects the machines to move between
//! pools or to maintain.
//!
//! [`fleet::Fleet`] is a deterministic state machine: it takes timestamped events and returns
//! commands, without I/O, clock or random numbers. See `docs/design/platform.md`.

pub mod account;
pub mod admission;
pub mod advice;
pub mod attempt_order;
pub mod connection_peer;
pub mod crash;
mod demand;
pub mod end_acks;
pub mod executor;
pub mod fleet;
pub mod job;
pub mod job_rank;
pub mod job_room;
pub mod job_size;
pub mod machines;
pub mod policy;
pub mod record;
pub mod run_times;
mod share_meter;
mod sorted_hash_map;
pub mod spec;

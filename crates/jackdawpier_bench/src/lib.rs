//! Benchmarks, virtual days and capacity slopes with regression bounds.
//!
//! The drivers feed demand, failures and waves from a seed to the pure decisions, in virtual time.
//! `docs/MEASUREMENTS.md` has the figures with the commands that give them.

pub mod coordination;
pub mod days;
pub mod deployment;
pub mod fit;
pub mod job_memory;
pub mod jobs;
pub mod lower_bound;
pub mod owner;
pub mod report;
pub mod routing;
pub mod scale;

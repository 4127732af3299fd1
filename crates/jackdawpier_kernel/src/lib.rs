//! Shared ids, outcomes, diagnostics, hashing, protocols and the registry of roles.
//!
//! The decision crates depend on it, so it contains no I/O and reads no clock: time is a
//! [`std::time::Duration`] since an arbitrary start, supplied by the drivers.
//! See `docs/ARCHITECTURE.md` for how the crates fit together.

pub mod body_budget;
pub mod budget;
pub mod caller_memory;
pub mod diagnostic;
pub mod fair_queue;
pub mod headers;
pub mod ids;
pub mod instance;
pub mod outcome;
pub mod plugin;
pub mod rendezvous;
pub mod task;
pub mod trace;

/// Time since the start of the process or of the test.
///
/// Decisions take it as an argument and never read a clock, so a test can replay any interleaving
/// of time and events.
pub type Now = std::time::Duration;

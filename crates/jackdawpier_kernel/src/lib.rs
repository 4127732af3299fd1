//! Shared ids, outcomes, diagnostics, hashing and the plug-in registry.
//!
//! The decision crates depend on this crate alone, so it holds no I/O and no clock: virtual time
//! is a [`std::time::Duration`] since an arbitrary start, which the drivers supply.
//! See `docs/ARCHITECTURE.md` for how the crates fit together.

pub mod budget;
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

/// Time since the start of the process (or of the test), as given to every decision.
///
/// Decisions never read a clock, so a test can replay any interleaving of time and events.
pub type Now = std::time::Duration;

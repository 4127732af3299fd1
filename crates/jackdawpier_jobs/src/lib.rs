//! Scheduling of durable jobs: queue, placement, size estimates and failure attribution.
//!
//! Does no I/O. A job is accepted only once it is durable, started only under a durable claim, and
//! retried only if it is idempotent or cannot have run. See `docs/design/jobs.md`.

pub mod failures;
pub mod job;
pub mod queue;
pub mod size_estimator;
pub mod workers;

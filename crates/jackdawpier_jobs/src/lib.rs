//! Pure decisions on durable jobs: the queue, placement, learned sizes and blame.
//!
//! A job is accepted only when durable, started only under a durable claim, and repeated only when
//! that can do no harm. See `docs/design/jobs.md`.

pub mod failures;
pub mod job;
pub mod queue;
pub mod size_estimator;
pub mod workers;

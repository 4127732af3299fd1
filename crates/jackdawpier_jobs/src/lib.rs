//! Pure decisions on durable jobs: the queue, placement, learned sizes and blame.
//!
//! A job is accepted only when durable, started only under a durable claim, and repeated only when
//! that can do no harm. See `docs/design/jobs.md`.

pub mod blame;
pub mod job;
pub mod learning;
pub mod queue;
pub mod workers;

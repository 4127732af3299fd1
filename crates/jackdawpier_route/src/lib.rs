//! Decisions on the request path, without I/O: admission, fairness, limits, retries and
//! deduplication.
//!
//! One entry at a time decides for a service, so fairness and slot limits are exact while the
//! membership is stable. `docs/design/routing.md` compares this with independent routing by each
//! entry.

pub mod dedupe;
pub mod dispatcher;
pub mod executors;
pub mod lost_shard;
pub mod routing;
pub mod service_time;

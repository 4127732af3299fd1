//! Pure decisions on the request path: admission, fairness, limits, retries and deduplication.
//!
//! One entry decides for one service at a time, so that fairness and slot limits are exact in a
//! steady view of members; `docs/design/routing.md` weighs this against independent choice.

pub mod dedupe;
pub mod dispatcher;
pub mod executors;
pub mod lost_shard;
pub mod routing;
pub mod service_time;

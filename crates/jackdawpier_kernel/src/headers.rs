//! HTTP header names on the callers' and the executors' side.

/// The customer that a request belongs to; one without it counts as [`NO_CUSTOMER`].
pub const CUSTOMER: &str = "x-customer";
/// Time in milliseconds within which the caller wants the answer.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Key under which a repeat of the request is recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Identity of a request on its way to an executor, which repeats it in the answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Outcome of a request, as `answered`, `not_run`, `failed` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Reason of a refusal.
pub const REASON: &str = "x-reason";
/// Seconds after which a refused caller may come back, rounded up.
pub const RETRY_AFTER: &str = "retry-after";
/// The same in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-retry-after-ms";
/// An executor's word that it did not run the request.
pub const NOT_RUN: &str = "x-not-run";
/// An executor's word on itself; `leaving` means that it wants no new work.
pub const INSTANCE_STATE: &str = "x-instance-state";
/// Value of [`INSTANCE_STATE`] of a leaving executor.
pub const LEAVING: &str = "leaving";
/// Customer of requests that name none.
pub const NO_CUSTOMER: &str = "none";

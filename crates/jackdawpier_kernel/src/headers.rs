//! Names and values of HTTP headers between callers, entries and executors.

/// Customer of a request; [`NO_CUSTOMER`] if the header is missing.
pub const CUSTOMER: &str = "x-customer";
/// Time in milliseconds within which the caller needs the answer.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Idempotency key, by which a repeated request is recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Id of a request sent to an executor, which returns it in the answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Outcome of a request, as `answered`, `not_run`, `failed` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Reason of a refusal.
pub const REASON: &str = "x-reason";
/// Seconds after which a refused caller may retry, rounded up.
pub const RETRY_AFTER: &str = "retry-after";
/// Milliseconds after which a refused caller may retry.
pub const RETRY_AFTER_MS: &str = "x-retry-after-ms";
/// Set by an executor that did not run the request.
pub const NOT_RUN: &str = "x-not-run";
/// State of the answering executor; [`LEAVING`] means that it accepts no new work.
pub const INSTANCE_STATE: &str = "x-instance-state";
/// Value of [`INSTANCE_STATE`] of a leaving executor.
pub const LEAVING: &str = "leaving";
/// Customer of requests that name none.
pub const NO_CUSTOMER: &str = "none";

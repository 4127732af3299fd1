//! Client of the platform's configuration store: compare-and-swap, leases and watches.
//!
//! Requests and answers are plain values, so the decision crates can ask for them without doing
//! I/O, and tests can answer them from a model. `docs/design/store.md` states what is assumed of
//! the platform.

pub mod client;
pub mod error;
pub mod protocol;

pub use client::StoreClient;
pub use error::StoreError;
pub use protocol::{Change, Condition, LeaseId, Record, Request, Response};

/// What became of one request to the store.
pub type StoreResult = Result<Response, StoreError>;

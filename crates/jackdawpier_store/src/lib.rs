//! Client for the platform's configuration store: compare-and-swap, leases and watches.
//!
//! Requests and answers are plain values, so crates without I/O can issue requests, and tests can
//! answer them from a model. `docs/design/store.md` lists the assumptions about the platform.

pub mod client;
pub mod error;
pub mod protocol;

pub use client::StoreClient;
pub use error::StoreError;
pub use protocol::{Change, Condition, LeaseId, Record, Request, Response};

/// Result of one request to the store.
pub type StoreResult = Result<Response, StoreError>;

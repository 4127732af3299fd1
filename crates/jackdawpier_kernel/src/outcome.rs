//! Outcome of a request, passed on unchanged by every layer.
//!
//! The four outcomes are distinct because callers handle them differently: see
//! `docs/operators/outcomes.md`.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason why a request was refused without having run.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The deadline cannot be met with the work already queued.
    #[display("deadline_unreachable")]
    DeadlineUnreachable,
    /// The customer's queue of this class is full.
    #[display("queue_full")]
    QueueFull,
    /// No executor accepts work at the moment.
    #[display("no_executor")]
    NoExecutor,
    /// Every attempt failed to connect and the retry budget is spent.
    #[display("not_connected")]
    NotConnected,
    /// The durable record that this request needs cannot be written now.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// No live entry owns the shard that must decide.
    #[display("no_owner")]
    NoOwner,
    /// The entry is stopping, isolated or has no configuration yet.
    #[display("not_ready")]
    NotReady,
    /// The request names a class that no declaration has.
    #[display("unknown_class")]
    UnknownClass,
    /// The request is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The job is too large for a record of the store.
    #[display("too_large")]
    TooLarge,
    /// The entry has no memory for the request's body.
    #[display("no_memory")]
    NoMemory,
}

/// Complete answer of an executor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Complete body; its length has already been checked.
    #[serde(with = "base64_body")]
    pub body: Vec<u8>,
}

/// Encodes a body as base64 in text formats (store records), since a list of numbers takes four
/// times the space, and as plain bytes in binary formats (messages between entries).
mod base64_body {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            STANDARD.encode(body).serialize(serializer)
        } else {
            body.serialize(serializer)
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            STANDARD.decode(text).map_err(D::Error::custom)
        } else {
            Vec::deserialize(deserializer)
        }
    }
}

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The executor answered and the answer is complete.
    Answered(Answer),
    /// The request did not run: it was not sent, or the executor reported that it did not run it.
    NotRun {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry, computed from the queue.
        retry_after: Duration,
    },
    /// The executor ran the request, and it certainly failed.
    Failed {
        /// Failure as reported by the executor.
        detail: String,
    },
    /// The request may or may not have run.
    Unknown {
        /// What was lost, such as the connection.
        detail: String,
    },
}

impl Outcome {
    /// Returns the stable lower-case name of the outcome for metrics, logs and the response header.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun { .. } => "not_run",
            Self::Failed { .. } => "failed",
            Self::Unknown { .. } => "unknown",
        }
    }
}

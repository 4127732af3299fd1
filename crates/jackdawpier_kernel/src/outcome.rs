//! What became of a request, as a value that every layer passes on unchanged.
//!
//! The four outcomes are kept apart because callers act on them differently: see
//! `docs/operators/outcomes.md`.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a request was refused before any byte of it could reach a back end.
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
    /// The request itself is malformed.
    #[display("bad_request")]
    BadRequest,
    /// No record of the store could hold the job.
    #[display("too_large")]
    TooLarge,
}

/// A whole answer of a back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the back end.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The whole body; its length was checked before this value was made.
    #[serde(with = "base64_body")]
    pub body: Vec<u8>,
}

/// Bodies in text formats (the store's records) are base64 and not lists of numbers, which take
/// four times the room; in binary formats (between entries) they are plain bytes.
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

/// The final state of a request, told to its caller at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The back end answered and the answer is whole.
    Answered(Answer),
    /// The request did not run: no byte that could start it was sent, or the executor said so.
    NotRun {
        /// Why it was refused.
        reason: RefusalReason,
        /// When the caller may come back, computed from the queue.
        retry_after: Duration,
    },
    /// The executor ran the request and it failed for certain.
    Failed {
        /// What the executor reported.
        detail: String,
    },
    /// The request may or may not have run.
    Unknown {
        /// What was lost.
        detail: String,
    },
}

impl Outcome {
    /// Stable lower-case name of the outcome, for metrics, logs and the response header.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun { .. } => "not_run",
            Self::Failed { .. } => "failed",
            Self::Unknown { .. } => "unknown",
        }
    }
}

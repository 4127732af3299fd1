//! Messages between entries, encoded with `postcard`; each request has its own quinn stream.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_coord::configuration::Document;
use jackdawpier_kernel::{
    ids::{ClassName, CustomerName, EntryId, JobId, RequestKey, Revision, ServiceName},
    outcome::Outcome,
    trace::TraceContext,
};
use jackdawpier_peer::MAX_MESSAGE_BYTES;
use jackdawpier_settings::rules::settings::message_size::MAX_PEER_PAYLOAD_BYTES;
use serde::{Deserialize, Serialize};

use crate::{capacity::WaveAction, demand::DemandMilli};

/// Maximum size of a message without the body: path, names, content type and trace.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const _: () = assert!(MAX_PEER_PAYLOAD_BYTES + MAX_HEAD_BYTES <= MAX_MESSAGE_BYTES);

/// A caller's request, as forwarded to the entry that decides on it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WorkRequest {
    /// Unique over all entries; the executor echoes it.
    pub(crate) request_id: String,
    pub(crate) service: ServiceName,
    pub(crate) class: ClassName,
    pub(crate) customer: CustomerName,
    pub(crate) method: String,
    /// Path at the executor, including the query.
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
    pub(crate) key: Option<RequestKey>,
    /// Time left until the deadline.
    pub(crate) time_left: Duration,
    pub(crate) trace: Option<TraceContext>,
}

/// State that an entry reports in its heartbeats.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) entry: EntryId,
    pub(crate) incarnation: u64,
    pub(crate) is_ready: bool,
    /// Time since the last answer of the store to this entry.
    pub(crate) store_age: Option<Duration>,
    /// Number of instances that the services decided by this entry would fill, in thousandths.
    pub(crate) demand_milli: DemandMilli,
    /// Revision of each document in force.
    pub(crate) in_force: BTreeMap<String, Revision>,
}

/// Actions on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobAction {
    Show,
    Cancel,
    /// Runs a parked job again, on an operator's decision.
    Retry,
    /// Cancels a parked job, on an operator's decision.
    Discard,
}

/// Answer to a request about a job. The first two variants are encoded like an `Option<String>`,
/// the answer of earlier versions, whose `None` could also mean that another entry owns the shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum JobAnswer {
    /// The entry doesn't own the shard, or hasn't loaded it yet; nothing was done.
    NotOwner,
    /// State of the job as JSON.
    Shown(String),
    /// The entry owns the shard, and there is no such job.
    NoSuchJob,
}

/// Requests between entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    Work(WorkRequest),
    Heartbeat(Heartbeat),
    Job {
        service: ServiceName,
        job: JobId,
        action: JobAction,
    },
    Wave(WaveAction),
    Explain {
        service: ServiceName,
    },
    /// Explanations of all pools, from the holder of the capacity role.
    Pools,
    /// Sums of each day, from the holder of the capacity role.
    Days,
    /// State of a key whose shard the called entry owned before.
    Recall {
        service: ServiceName,
        key: RequestKey,
    },
    /// Documents that are newer than these revisions.
    Documents {
        known: BTreeMap<String, Revision>,
    },
}

/// Answers between entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerAnswer {
    Outcome(Outcome),
    /// Heartbeat of the answering entry, with small documents that are newer than the sender's.
    Heartbeat {
        heartbeat: Heartbeat,
        newer: Vec<Document>,
    },
    Job(JobAnswer),
    /// State of the key as JSON, if the entry still has it.
    Recalled(Option<String>),
    /// JSON answer of the capacity role's holder; `None` if the called entry is not the holder.
    Capacity(Option<String>),
    /// The requested documents, as many as fit into one answer.
    Documents(Vec<Document>),
}

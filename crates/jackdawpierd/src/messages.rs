//! Messages between entries, encoded by `postcard` over one quinn stream each.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_coord::configuration::Document;
use jackdawpier_kernel::{
    ids::{ClassName, CustomerName, EntryId, JobId, RequestKey, Revision, ServiceName},
    outcome::Outcome,
    trace::TraceContext,
};
use jackdawpier_peer::MAX_MESSAGE_BYTES;
use jackdawpier_settings::rules::settings::message_size::MAX_CARRIED_BYTES;
use serde::{Deserialize, Serialize};

use crate::{capacity::WaveAction, demand::DemandMilli};

/// Room beside a body or an answer for its path, names, content type and trace.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const _: () = assert!(MAX_CARRIED_BYTES + MAX_HEAD_BYTES <= MAX_MESSAGE_BYTES);

/// A caller's request on its way to the entry that decides.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WorkRequest {
    /// Identity, unique over all entries; the executor repeats it.
    pub(crate) request_id: String,
    pub(crate) service: ServiceName,
    pub(crate) class: ClassName,
    pub(crate) customer: CustomerName,
    pub(crate) method: String,
    /// Path at the executor, with the query.
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
    pub(crate) key: Option<RequestKey>,
    /// Time left until the answer is worthless.
    pub(crate) time_left: Duration,
    pub(crate) trace: Option<TraceContext>,
}

/// What an entry says of itself in a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) entry: EntryId,
    pub(crate) incarnation: u64,
    pub(crate) is_ready: bool,
    /// Time since the store last answered it.
    pub(crate) store_age: Option<Duration>,
    /// Instances that the services decided there would fill, in thousandths.
    pub(crate) demand_milli: DemandMilli,
    /// Revision of each document in force.
    pub(crate) in_force: BTreeMap<String, Revision>,
}

/// What can be done with a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobAction {
    Show,
    Cancel,
    /// An operator lets a parked job run again.
    Retry,
    /// An operator gives a parked job up.
    Discard,
}

/// What the asked entry says of a job. Its first two variants are encoded as an optional text is,
/// the answer of earlier versions, in which nothing could also mean that another entry owns the
/// shard.
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
    /// Every pool against its target, from the holder of the capacity role.
    Pools,
    Days,
    /// What the asked entry remembers of a key that it owned before.
    Recall {
        service: ServiceName,
        key: RequestKey,
    },
    /// The documents that are newer than these revisions.
    Documents {
        known: BTreeMap<String, Revision>,
    },
}

/// Answers between entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerAnswer {
    Outcome(Outcome),
    /// The answering entry's own heartbeat, with small documents that the asking one lacks.
    Heartbeat {
        heartbeat: Heartbeat,
        newer: Vec<Document>,
    },
    Job(JobAnswer),
    /// State of a key as JSON, if the entry remembers it.
    Recalled(Option<String>),
    /// JSON of the capacity role's holder, or nothing where the peer is not the holder.
    Capacity(Option<String>),
    /// As many of the documents asked for as one answer holds.
    Documents(Vec<Document>),
}

//! The store's requests and answers, as JSON over HTTP.

use jackdawpier_kernel::ids::Revision;
use serde::{Deserialize, Serialize};

/// Identity of a lease, chosen by the store.
pub type LeaseId = u64;

/// Largest value that the platform's store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One stored record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// Value of the record, JSON text by convention.
    pub value: String,
    /// Revision of the write that made it.
    pub revision: Revision,
    /// Lease whose end deletes the record.
    pub lease: Option<LeaseId>,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Nothing.
    Always,
    /// The key has no record.
    Absent,
    /// The record has this revision.
    Revision(Revision),
}

/// One call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum Request {
    /// Reads one record.
    Get {
        /// Key to read.
        key: String,
    },
    /// Reads the records with a prefix, in the order of their keys.
    Range {
        /// Prefix of the keys.
        prefix: String,
        /// Reads only keys above this one; empty for the first page.
        after_key: String,
        /// Most records in the answer.
        limit: usize,
    },
    /// Writes one record when the condition holds.
    Put {
        /// Key to write.
        key: String,
        /// New value.
        value: String,
        /// What must hold.
        condition: Condition,
        /// Lease to attach the record to.
        lease: Option<LeaseId>,
    },
    /// Deletes one record when the condition holds; an absent record counts as deleted.
    Delete {
        /// Key to delete.
        key: String,
        /// What must hold.
        condition: Condition,
    },
    /// Asks for a lease.
    LeaseGrant {
        /// Time to live in milliseconds.
        ttl_ms: u64,
    },
    /// Extends a lease by its time to live.
    LeaseRenew {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease and deletes its records.
    LeaseRevoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for changes under a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Reports only changes above this revision.
        after_revision: Revision,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
}

/// One change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The record was written.
    Put(Record),
    /// The record was deleted.
    Delete {
        /// Key of the record.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// The store's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Response {
    /// The record, if there is one.
    Record {
        /// The record.
        record: Option<Record>,
        /// Revision of the store at the read.
        store_revision: Revision,
    },
    /// One page of records.
    Records {
        /// The records, in the order of their keys.
        records: Vec<Record>,
        /// Whether another page follows.
        more: bool,
        /// Revision of the store at the read.
        store_revision: Revision,
    },
    /// The write or deletion took effect.
    Written {
        /// Its revision.
        revision: Revision,
    },
    /// The condition did not hold, so nothing changed.
    Conflict {
        /// The record that stands there.
        current: Option<Record>,
    },
    /// The lease lives.
    Lease {
        /// The lease.
        lease: LeaseId,
    },
    /// The lease has ended.
    LeaseGone,
    /// Changes since the revision that the watch named.
    Changes {
        /// The changes in order; the last change of a key stands for the earlier ones.
        changes: Vec<Change>,
        /// Revision up to which the watch has seen.
        store_revision: Revision,
    },
    /// The watch asked for changes that the store no longer has; read the range again.
    Compacted {
        /// Revision of the store.
        store_revision: Revision,
    },
    /// The platform's rate limit refused the call, which had no effect.
    RateLimited,
}

impl Request {
    /// Whether the call changes the store.
    pub fn is_write(&self) -> bool {
        !matches!(self, Self::Get { .. } | Self::Range { .. } | Self::Watch { .. })
    }

    /// The value that the call would store.
    pub fn value(&self) -> Option<&str> {
        match self {
            Self::Put { value, .. } => Some(value),
            _ => None,
        }
    }

    /// Stable name of the operation, for metrics and counts.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::Range { .. } => "range",
            Self::Put { .. } => "put",
            Self::Delete { .. } => "delete",
            Self::LeaseGrant { .. } => "lease_grant",
            Self::LeaseRenew { .. } => "lease_renew",
            Self::LeaseRevoke { .. } => "lease_revoke",
            Self::Watch { .. } => "watch",
        }
    }
}

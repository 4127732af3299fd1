//! Requests to the store and its answers, as JSON over HTTP.

use jackdawpier_kernel::ids::Revision;
use serde::{Deserialize, Serialize};

/// Id of a lease, assigned by the store.
pub type LeaseId = u64;

/// Maximum size of a value in the platform's store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One stored record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// Value of the record; JSON text by convention.
    pub value: String,
    /// Revision of the last write of the record.
    pub revision: Revision,
    /// Lease that the record is attached to; the record is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The write always takes effect.
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
    /// Reads the records with a key prefix, sorted by key.
    Range {
        /// Prefix of the keys.
        prefix: String,
        /// Reads only keys after this one; empty for the first page.
        after_key: String,
        /// Maximum number of records in the answer.
        limit: usize,
    },
    /// Writes one record if the condition holds.
    Put {
        /// Key to write.
        key: String,
        /// New value.
        value: String,
        /// Condition for the write.
        condition: Condition,
        /// Lease to attach the record to.
        lease: Option<LeaseId>,
    },
    /// Deletes one record if the condition holds; deleting an absent record succeeds.
    Delete {
        /// Key to delete.
        key: String,
        /// Condition for the write.
        condition: Condition,
    },
    /// Creates a lease.
    LeaseGrant {
        /// Time to live in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease for its time to live.
    LeaseRenew {
        /// The lease.
        lease: LeaseId,
    },
    /// Revokes a lease and deletes its records.
    LeaseRevoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for changes under a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Reports only changes after this revision.
        after_revision: Revision,
        /// Maximum wait in milliseconds.
        wait_ms: u64,
    },
}

/// A change reported by a watch.
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

/// Answer of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Response {
    /// Result of reading one record.
    Record {
        /// The record, if it exists.
        record: Option<Record>,
        /// Revision of the store at the time of the read.
        store_revision: Revision,
    },
    /// One page of records.
    Records {
        /// The records, sorted by key.
        records: Vec<Record>,
        /// Whether another page follows.
        more: bool,
        /// Revision of the store at the time of the read.
        store_revision: Revision,
    },
    /// The write, deletion or revocation took effect.
    Written {
        /// Revision of the store after it.
        revision: Revision,
    },
    /// The condition did not hold; nothing changed.
    Conflict {
        /// Current record under the key.
        current: Option<Record>,
    },
    /// The lease was granted or renewed.
    Lease {
        /// The lease.
        lease: LeaseId,
    },
    /// The lease has ended.
    LeaseGone,
    /// Changes after the revision given in the watch.
    Changes {
        /// Changes in order; the last change of a key replaces the earlier ones.
        changes: Vec<Change>,
        /// Revision up to which the changes are complete.
        store_revision: Revision,
    },
    /// The store no longer has the requested changes; the range must be read again.
    Compacted {
        /// Current revision of the store.
        store_revision: Revision,
    },
    /// The call was rejected by the platform's rate limit and had no effect.
    RateLimited,
}

impl Request {
    /// Whether the call may change the store.
    pub fn is_write(&self) -> bool {
        !matches!(self, Self::Get { .. } | Self::Range { .. } | Self::Watch { .. })
    }

    /// Returns the value that the call writes, if any.
    pub fn value(&self) -> Option<&str> {
        match self {
            Self::Put { value, .. } => Some(value),
            _ => None,
        }
    }

    /// Returns the stable name of the operation, as used in metrics.
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

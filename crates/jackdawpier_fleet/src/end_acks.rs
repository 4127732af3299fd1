//! Decides up to which position the ends that an executor lists may be acknowledged.
//!
//! An end is acknowledged once the changes that it caused are durable. The end of a completed run whose task was
//! started again must not be: it would count as completed twice. It bars itself and all later ends until the
//! executor's lease has expired, after which acknowledged ends don't count (platform's rules). See
//! `docs/design/lives.md#ends-that-bar-an-executor`.

use std::collections::VecDeque;

use jackdawpier_kernel::ids::JobId;

#[derive(Debug)]
struct PendingAck {
    sequence: u64,
    job: JobId,
    /// Number of changes of the job that must be durable first.
    needed_changes: u64,
}

/// Acknowledgements of one incarnation of an executor.
#[derive(Debug, Default)]
pub struct EndAcks {
    /// Sequence number of the last end that was processed.
    last_processed: u64,
    acknowledged: u64,
    pending: VecDeque<PendingAck>,
    /// Sequence number of the first end that must not be acknowledged before the lease has expired.
    barred_from: Option<u64>,
}

impl EndAcks {
    /// Returns the sequence number of the last end that was processed.
    pub fn last_processed(&self) -> u64 {
        self.last_processed
    }

    /// Records a processed end that may be acknowledged once `needed_changes` of its job are durable.
    pub fn note_processed(&mut self, sequence: u64, job: JobId, needed_changes: u64) {
        self.last_processed = sequence;
        self.pending.push_back(PendingAck { sequence, job, needed_changes });
    }

    /// Keeps an end and all later ones from being acknowledged until the lease has expired. Returns whether the
    /// executor wasn't barred before.
    pub fn bar(&mut self, sequence: u64) -> bool {
        let is_first = self.barred_from.is_none();
        self.barred_from.get_or_insert(sequence);
        is_first
    }

    /// Whether an end must not be acknowledged yet.
    pub fn is_barred(&self) -> bool {
        self.barred_from.is_some()
    }

    /// Lifts the bar, since the lease has expired after all ends that were processed. Returns whether there was one.
    pub fn note_lease_expired(&mut self) -> bool {
        self.barred_from.take().is_some()
    }

    /// Returns the sequence number up to which all ends may be acknowledged.
    pub fn acknowledge(&mut self, durable_changes: impl Fn(&JobId) -> u64) -> u64 {
        while let Some(end) = self.pending.front() {
            let is_barred = self.barred_from.is_some_and(|from| end.sequence >= from);
            if is_barred || durable_changes(&end.job) < end.needed_changes {
                break;
            }
            self.acknowledged = end.sequence;
            self.pending.pop_front();
        }
        self.acknowledged
    }

    /// Whether processed ends aren't acknowledged yet.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }
}

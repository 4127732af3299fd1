//! How many jobs of a queue haven't begun, as any entry can tell.
//!
//! The owner knows and writes it down each second. While there is no owner, or none that reaches the
//! store, the note grows old; then the jobs themselves are counted.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_fleet::{
    record::JobRecord,
    spec::{QueueName, Submission},
};
use serde::{Deserialize, Serialize};

use crate::{
    clock, keys,
    ports::{CallResult, Platform},
};

/// A note older than this is the word of an owner that is gone. Entries' times of day differ by
/// little; where they jump by more, jobs are counted more often than needed.
const FRESH_FOR: Duration = Duration::from_millis(2000);

/// Jobs that haven't begun, by queue.
pub type Counts = BTreeMap<QueueName, u64>;

#[derive(Debug, Serialize, Deserialize)]
struct Note {
    at_ms: u64,
    counts: Counts,
}

/// The owner's note.
pub(crate) fn encode(counts: &Counts) -> Vec<u8> {
    let note = Note { at_ms: clock::wall_ms(), counts: counts.clone() };
    serde_json::to_vec(&note).expect("names and numbers can be written as JSON")
}

/// Reads the note, or counts if it is old.
pub async fn count<P: Platform>(platform: &P, queue: &QueueName) -> CallResult<u64> {
    let note = platform.get(keys::PENDING).await?;
    let fresh = note
        .and_then(|item| serde_json::from_slice::<Note>(&item.value).ok())
        .filter(|note| clock::wall_ms().abs_diff(note.at_ms) < FRESH_FOR.as_millis() as u64);
    match fresh {
        Some(note) => Ok(note.counts.get(queue).copied().unwrap_or(0)),
        None => count_jobs(platform, queue).await,
    }
}

async fn count_jobs<P: Platform>(platform: &P, queue: &QueueName) -> CallResult<u64> {
    let intake = platform.list(keys::INTAKE).await?;
    let records = platform.list(keys::RECORDS).await?;
    let has_begun = |job: &str| {
        let record = records.items.iter().find(|item| item.key[keys::RECORDS.len()..] == *job);
        record
            .and_then(|item| serde_json::from_slice::<JobRecord>(&item.value).ok())
            .is_some_and(|record| record.has_begun || record.outcome.is_some())
    };
    let is_cancelled =
        |job: &str| intake.items.iter().any(|item| item.key == keys::cancellation(job));
    let waiting = intake.items.iter().filter(|item| {
        let Some(job) = item.key.strip_prefix(keys::SUBMISSIONS) else { return false };
        let submission = serde_json::from_slice::<Submission>(&item.value);
        submission.is_ok_and(|submission| submission.queue == *queue)
            && !has_begun(job)
            && !is_cancelled(job)
    });
    Ok(waiting.count() as u64)
}

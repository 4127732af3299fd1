//! How many jobs of a queue haven't begun, as any entry can tell.
//!
//! The owner knows and writes it down each second. While there is no owner, or none that reaches the
//! store, the note grows old; then the jobs themselves are counted, for all who ask within a second
//! at once: a day's records have a megabyte, and an entry that read them for each question filled
//! its link and lost touch with the store.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use jackdawpier_fleet::{
    record::JobRecord,
    spec::{QueueName, Submission},
};
use jackdawpier_kernel::Now;
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use crate::{
    clock, keys,
    ports::{CallResult, Platform},
};

/// A note older than this is the word of an owner that is gone. Entries' times of day differ by
/// little; where they jump by more, jobs are counted more often than needed.
const FRESH_FOR: Duration = Duration::from_millis(2000);

/// A count serves for this long; callers may be told one that is two seconds old.
const COUNT_AGAIN: Duration = Duration::from_millis(1000);

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

/// What this entry has counted itself.
#[derive(Debug, Default)]
pub struct Pending {
    /// Held while somebody counts, so that the others wait for the same count.
    counted: Mutex<Option<(Now, Counts)>>,
}

impl Pending {
    /// Reads the note, or counts if it is old.
    pub async fn count<P: Platform>(&self, platform: &P, queue: &QueueName) -> CallResult<u64> {
        let note = platform.get(keys::PENDING).await?;
        let fresh = note
            .and_then(|item| serde_json::from_slice::<Note>(&item.value).ok())
            .filter(|note| clock::wall_ms().abs_diff(note.at_ms) < FRESH_FOR.as_millis() as u64);
        if let Some(note) = fresh {
            return Ok(note.counts.get(queue).copied().unwrap_or(0));
        }
        let mut counted = self.counted.lock().await;
        let is_old = |(at, _): &(Now, Counts)| clock::since(*at) >= COUNT_AGAIN;
        if counted.as_ref().is_none_or(is_old) {
            let asked_at = clock::now();
            *counted = Some((asked_at, count_jobs(platform).await?));
        }
        let counts = counted.as_ref().map(|(_, counts)| counts);
        Ok(counts.and_then(|counts| counts.get(queue)).copied().unwrap_or(0))
    }
}

async fn count_jobs<P: Platform>(platform: &P) -> CallResult<Counts> {
    let intake = platform.list(keys::INTAKE).await?;
    let records = platform.list(keys::RECORDS).await?;
    let records: HashMap<&str, &[u8]> = records
        .items
        .iter()
        .map(|item| (&item.key[keys::RECORDS.len()..], item.value.as_slice()))
        .collect();
    let has_begun = |job: &str| {
        records
            .get(job)
            .and_then(|value| serde_json::from_slice::<JobRecord>(value).ok())
            .is_some_and(|record| record.has_begun || record.outcome.is_some())
    };
    let is_cancelled =
        |job: &str| intake.items.iter().any(|item| item.key == keys::cancellation(job));
    let mut counts = Counts::new();
    for item in &intake.items {
        let Some(job) = item.key.strip_prefix(keys::SUBMISSIONS) else { continue };
        let Ok(submission) = serde_json::from_slice::<Submission>(&item.value) else { continue };
        if !has_begun(job) && !is_cancelled(job) {
            *counts.entry(submission.queue).or_default() += 1;
        }
    }
    Ok(counts)
}

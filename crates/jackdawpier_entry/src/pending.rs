//! Counts of each queue's pending jobs, available at every entry.
//!
//! The owner writes the counts to a note in the store each second. If there is no owner, or it can't reach the
//! store, the note becomes stale and the entries count the jobs themselves. One of them counts for all: it claims
//! the note, reads the jobs and writes a new note, which the others read. A day's records have a megabyte, and if
//! each of hundreds of entries read them, they saturate the store's link, so that no entry can take over the
//! fleet and all continue to count. See `docs/design/questions.md`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Duration,
};

use jackdawpier_fleet::{record::JobRecord, spec::QueueName};
use jackdawpier_kernel::{Now, ids::Revision};
use serde::{Deserialize, Serialize};
use tokio::{sync::Mutex, time::timeout};

use crate::{
    clock, keys,
    ports::{CallError, CallResult, Item, Platform, Transaction, TransactionOutcome},
};

/// Maximum age of counts in an answer. The entries' wall clocks differ by little; if they jump by more, jobs are
/// counted more often than necessary.
const MAX_AGE: Duration = Duration::from_millis(2000);
/// Counts of an entry that isn't the owner are refreshed at this age, so that fresh ones are always available.
const REFRESH_AGE: Duration = Duration::from_millis(1000);
/// A claim expires after this time: listing the jobs takes no longer over the link of a small instance.
const CLAIM_TTL: Duration = Duration::from_millis(3000);
/// Delay before a failed count is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between reads of the note while another entry counts.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time that a caller waits for a count.
const COUNT_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of pending jobs by queue.
pub type Counts = BTreeMap<QueueName, u64>;

/// The stored note with the counts.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Note {
    /// Wall-clock time of the counts in milliseconds since 1970.
    at_ms: u64,
    counts: Counts,
    /// The counts include all jobs up to this revision, and none has started since; `None` in an owner's note.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    counted_to: Option<Revision>,
    /// Wall-clock time at which an entry began to count, in milliseconds since 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    claimed_ms: Option<u64>,
}

impl Note {
    fn read(item: Option<&Item>) -> Self {
        item.and_then(|item| serde_json::from_slice(&item.value).ok()).unwrap_or_default()
    }

    fn is_fresh(&self) -> bool {
        is_within(self.at_ms, MAX_AGE)
    }

    /// Whether the note was written without an owner and is due for a refresh.
    fn needs_refresh(&self) -> bool {
        self.counted_to.is_some() && !is_within(self.at_ms, REFRESH_AGE)
    }

    /// Returns the time of the counts by this entry's clock.
    fn counted_at(&self) -> Now {
        let age_ms = clock::wall_ms().abs_diff(self.at_ms);
        clock::now().saturating_sub(Duration::from_millis(age_ms))
    }

    fn is_claimed(&self) -> bool {
        self.claimed_ms.is_some_and(|at_ms| is_within(at_ms, CLAIM_TTL))
    }

    fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("names and numbers can be written as JSON")
    }
}

fn is_within(at_ms: u64, time: Duration) -> bool {
    clock::wall_ms().abs_diff(at_ms) < time.as_millis() as u64
}

/// Encodes the owner's note.
pub(crate) fn encode(counts: &Counts) -> Vec<u8> {
    Note { at_ms: clock::wall_ms(), counts: counts.clone(), ..Note::default() }.encode()
}

/// The counts that this entry last made or read.
#[derive(Debug, Default)]
struct CountCache {
    /// The counts and their time.
    latest: RefCell<Option<(Now, Counts)>>,
    is_counting: Cell<bool>,
}

impl CountCache {
    fn recent(&self) -> Option<Counts> {
        let latest = self.latest.borrow();
        let (at, counts) = latest.as_ref()?;
        (clock::since(*at) < MAX_AGE).then(|| counts.clone())
    }

    fn set(&self, counted_at: Now, counts: &Counts) {
        self.latest.replace(Some((counted_at, counts.clone())));
    }
}

/// Counts pending jobs, sharing each count among this entry's callers and all entries.
#[derive(Debug, Default)]
pub struct PendingCounter {
    cache: Rc<CountCache>,
    /// Locked while a caller waits for a new note, so that other callers wait for the same one.
    waiting: Mutex<()>,
}

impl PendingCounter {
    /// Returns the count from the note; if the note is stale, waits for a new one by this or another entry.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer, or if there is no new count within [`COUNT_TIMEOUT`].
    pub async fn count<P: Platform>(&self, platform: &P, queue: &QueueName) -> CallResult<u64> {
        let of_queue = |counts: &Counts| counts.get(queue).copied().unwrap_or(0);
        let stored = platform.get(keys::PENDING).await?;
        let note = Note::read(stored.as_ref());
        if note.is_fresh() {
            if note.needs_refresh() {
                self.start_count(platform, &note, stored.as_ref());
            }
            return Ok(of_queue(&note.counts));
        }
        let waiting = async {
            let _waiting = self.waiting.lock().await;
            self.wait_for_count(platform, stored).await
        };
        let reason = "the jobs that wait are being counted".to_owned();
        let counts = timeout(COUNT_TIMEOUT, waiting).await;
        counts.unwrap_or(Err(CallError::NotDone { reason })).map(|counts| of_queue(&counts))
    }

    /// Starts a count unless an entry already counts, and waits for it. `stored` is the current note.
    async fn wait_for_count<P: Platform>(
        &self,
        platform: &P,
        mut stored: Option<Item>,
    ) -> CallResult<Counts> {
        loop {
            if let Some(counts) = self.cache.recent() {
                return Ok(counts);
            }
            let note = Note::read(stored.as_ref());
            if note.is_fresh() {
                self.cache.set(note.counted_at(), &note.counts);
                return Ok(note.counts);
            }
            self.start_count(platform, &note, stored.as_ref());
            tokio::time::sleep(POLL_INTERVAL).await;
            stored = platform.get(keys::PENDING).await?;
        }
    }

    /// Counts in the background for all entries, unless this or another entry already counts. The count continues
    /// if its caller disconnects, since others wait for it.
    fn start_count<P: Platform>(&self, platform: &P, note: &Note, stored: Option<&Item>) {
        if note.is_claimed() || self.cache.is_counting.replace(true) {
            return;
        }
        let (cache, platform, note) = (self.cache.clone(), platform.clone(), note.clone());
        let revision = stored.map_or(0, |item| item.revision);
        tokio::task::spawn_local(async move {
            if count_for_all(&cache, &platform, note, revision).await.is_err() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            cache.is_counting.set(false);
        });
    }
}

/// Claims the note if it is still at `revision`, counts, and writes a new note.
async fn count_for_all<P: Platform>(
    cache: &CountCache,
    platform: &P,
    last: Note,
    revision: Revision,
) -> CallResult<()> {
    let Some(claimed_at) = claim(platform, &last, revision).await? else { return Ok(()) };
    let (asked_at, at_ms) = (clock::now(), clock::wall_ms());
    let intake = StoredJobs::list(platform).await?;
    let (claimed_at, counts) = if let Some(counted_to) = last.counted_to {
        (claimed_at, count_since(&intake, counted_to, last.counts))
    } else {
        // A claim covers only one listing.
        let Some(claimed_at) = claim(platform, &last, claimed_at).await? else { return Ok(()) };
        (claimed_at, count_all(&intake, &list_begun(platform).await?))
    };
    cache.set(asked_at, &counts);
    let counted_to = Some(intake.revision);
    // An owner's note that was written meanwhile takes precedence.
    write(platform, &Note { at_ms, counts, counted_to, claimed_ms: None }, claimed_at).await?;
    Ok(())
}

/// Marks the note as claimed if it is still at `revision`; returns its new revision.
async fn claim<P: Platform>(
    platform: &P,
    note: &Note,
    revision: Revision,
) -> CallResult<Option<Revision>> {
    write(platform, &Note { claimed_ms: Some(clock::wall_ms()), ..note.clone() }, revision).await
}

/// Replaces the note if it is still at `revision`; returns the new revision, or `None` if the note has changed.
async fn write<P: Platform>(
    platform: &P,
    note: &Note,
    revision: Revision,
) -> CallResult<Option<Revision>> {
    let transaction = Transaction {
        expect: vec![(keys::PENDING.to_owned(), revision)],
        puts: vec![(keys::PENDING.to_owned(), note.encode(), None)],
        removes: Vec::new(),
    };
    match platform.commit(&transaction).await {
        Ok(TransactionOutcome::Committed(revision)) => Ok(Some(revision)),
        Ok(TransactionOutcome::Conflict(_)) => Ok(None),
        // The answer is lost: the note shows whether the write took effect.
        Err(CallError::Unanswered { .. }) => {
            let stored = platform.get(keys::PENDING).await?;
            let written = stored.filter(|item| item.value == transaction.puts[0].1);
            Ok(written.map(|item| item.revision))
        }
        Err(error) => Err(error),
    }
}

/// The queue of a submission; its other fields aren't needed here.
#[derive(Deserialize)]
struct SubmittedQueue {
    queue: QueueName,
}

/// What the intake names, without the jobs' specifications.
#[derive(Debug, Default)]
struct StoredJobs {
    submitted: Vec<SubmittedJob>,
    cancelled: HashSet<String>,
    revision: Revision,
}

#[derive(Debug)]
struct SubmittedJob {
    id: String,
    queue: QueueName,
    revision: Revision,
}

impl StoredJobs {
    async fn list<P: Platform>(platform: &P) -> CallResult<Self> {
        let mut jobs = Self::default();
        let on_page = |items: Vec<Item>| items.iter().for_each(|item| jobs.add(item));
        jobs.revision = platform.list_pages(keys::INTAKE, on_page).await?.revision;
        Ok(jobs)
    }

    fn add(&mut self, item: &Item) {
        if let Some(id) = item.key.strip_prefix(keys::CANCELLATIONS) {
            self.cancelled.insert(id.to_owned());
        } else if let Some(id) = item.key.strip_prefix(keys::SUBMISSIONS)
            && let Ok(SubmittedQueue { queue }) = serde_json::from_slice(&item.value)
        {
            let (id, revision) = (id.to_owned(), item.revision);
            self.submitted.push(SubmittedJob { id, queue, revision });
        }
    }

    /// Returns the jobs that aren't cancelled and were submitted up to the revision of the listing.
    fn pending(&self) -> impl Iterator<Item = &SubmittedJob> {
        let is_listed = |job: &&SubmittedJob| job.revision <= self.revision;
        self.submitted.iter().filter(is_listed).filter(|job| !self.cancelled.contains(&job.id))
    }
}

/// Returns the ids of the jobs of which a task has been ordered to start, or that have ended.
async fn list_begun<P: Platform>(platform: &P) -> CallResult<HashSet<String>> {
    let mut begun = HashSet::new();
    let on_page = |items: Vec<Item>| {
        let of_begun = items.iter().filter(|item| has_begun(&item.value));
        begun.extend(of_begun.map(|item| item.key[keys::RECORDS.len()..].to_owned()));
    };
    platform.list_pages(keys::RECORDS, on_page).await?;
    Ok(begun)
}

fn has_begun(record: &[u8]) -> bool {
    let record = serde_json::from_slice::<JobRecord>(record);
    record.is_ok_and(|record| record.has_begun || record.outcome.is_some())
}

/// Adds the jobs submitted after `counted_to` to previous counts: no job starts while no entry owns the fleet.
fn count_since(intake: &StoredJobs, counted_to: Revision, mut counts: Counts) -> Counts {
    for job in intake.pending().filter(|job| job.revision > counted_to) {
        *counts.entry(job.queue.clone()).or_default() += 1;
    }
    counts
}

fn count_all(intake: &StoredJobs, begun: &HashSet<String>) -> Counts {
    let mut counts = Counts::new();
    for job in intake.pending().filter(|job| !begun.contains(&job.id)) {
        *counts.entry(job.queue.clone()).or_default() += 1;
    }
    counts
}

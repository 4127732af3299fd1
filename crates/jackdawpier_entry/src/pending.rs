//! How many jobs of a queue haven't begun, as any entry can tell.
//!
//! The owner knows and writes it down each second. While there is no owner, or none that reaches the
//! store, the note grows old; then the entries count the jobs themselves. One of them does it for all: it
//! claims the note, reads the jobs and writes a new one, and the others read that. A day's records have a
//! megabyte, and where each of hundreds of entries read them, the store's link carried nothing else: no
//! entry could take the fleet over, so that all went on counting. See `docs/design/questions.md`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use jackdawpier_fleet::{record::JobRecord, spec::QueueName};
use jackdawpier_kernel::{Now, ids::Revision};
use serde::{Deserialize, Serialize};
use tokio::{sync::Mutex, time::timeout};

use crate::{
    clock, keys,
    ports::{CallError, CallResult, Item, Listing, Platform, Transaction, TransactionOutcome},
};

/// Callers may be told a count that is this old. Entries' times of day differ by little; where they jump by
/// more, jobs are counted more often than needed.
const FRESH_FOR: Duration = Duration::from_millis(2000);
/// A count that was made for want of an owner's is made anew at this age, so that there is a fresh one always.
const RENEWED_AFTER: Duration = Duration::from_millis(1000);
/// A claim that is this old was given up by whoever made it: one list of the jobs takes no longer over the
/// link of a small instance.
const CLAIM_HOLDS: Duration = Duration::from_millis(3000);
/// Pause before a count that failed is begun again.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);
/// Pause before the note is read again while another entry counts.
const LOOK_AGAIN: Duration = Duration::from_millis(150);
/// A caller waits this long for a count; then it may come back.
const PATIENCE: Duration = Duration::from_millis(600);

/// Jobs that haven't begun, by queue.
pub type Counts = BTreeMap<QueueName, u64>;

/// What the entries tell each other of the jobs that wait.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Note {
    /// Time of day at which the counts held, in milliseconds since 1970.
    at_ms: u64,
    counts: Counts,
    /// The counts hold all jobs up to this revision, and nothing has begun since; none in an owner's note.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    counted_to: Option<Revision>,
    /// Time of day at which an entry set about counting anew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    claimed_ms: Option<u64>,
}

impl Note {
    fn read(item: Option<&Item>) -> Self {
        item.and_then(|item| serde_json::from_slice(&item.value).ok()).unwrap_or_default()
    }

    fn is_fresh(&self) -> bool {
        is_within(self.at_ms, FRESH_FOR)
    }

    /// Whether nobody but an entry without the fleet will write the next one, and it is time to.
    fn is_aging(&self) -> bool {
        self.counted_to.is_some() && !is_within(self.at_ms, RENEWED_AFTER)
    }

    /// When the counts held, by this entry's clock.
    fn held_at(&self) -> Now {
        let age_ms = clock::wall_ms().abs_diff(self.at_ms);
        clock::now().saturating_sub(Duration::from_millis(age_ms))
    }

    fn is_claimed(&self) -> bool {
        self.claimed_ms.is_some_and(|at_ms| is_within(at_ms, CLAIM_HOLDS))
    }

    fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("names and numbers can be written as JSON")
    }
}

fn is_within(at_ms: u64, time: Duration) -> bool {
    clock::wall_ms().abs_diff(at_ms) < time.as_millis() as u64
}

/// The owner's note.
pub(crate) fn encode(counts: &Counts) -> Vec<u8> {
    Note { at_ms: clock::wall_ms(), counts: counts.clone(), ..Note::default() }.encode()
}

/// What this entry has counted itself, or has waited for.
#[derive(Debug, Default)]
struct Own {
    /// When the counts held.
    counted: RefCell<Option<(Now, Counts)>>,
    is_counting: Cell<bool>,
}

impl Own {
    fn recent(&self) -> Option<Counts> {
        let counted = self.counted.borrow();
        let (at, counts) = counted.as_ref()?;
        (clock::since(*at) < FRESH_FOR).then(|| counts.clone())
    }

    fn keep(&self, held_at: Now, counts: &Counts) {
        self.counted.replace(Some((held_at, counts.clone())));
    }
}

/// The counts, as this entry knows them.
#[derive(Debug, Default)]
pub struct PendingCounter {
    own: Rc<Own>,
    /// Held while somebody waits for a new note, so that the others wait for the same.
    waiting: Mutex<()>,
}

impl PendingCounter {
    /// Reads the note; if it is old, waits for one that this or another entry counts.
    ///
    /// # Errors
    ///
    /// Where the store gives no answer, or there is no new count within [`PATIENCE`].
    pub async fn count<P: Platform>(&self, platform: &P, queue: &QueueName) -> CallResult<u64> {
        let of_queue = |counts: &Counts| counts.get(queue).copied().unwrap_or(0);
        let held = platform.get(keys::PENDING).await?;
        let note = Note::read(held.as_ref());
        if note.is_fresh() {
            if note.is_aging() {
                self.begin_count(platform, &note, held.as_ref());
            }
            return Ok(of_queue(&note.counts));
        }
        let waiting = async {
            let _waiting = self.waiting.lock().await;
            self.wait_for_count(platform, held).await
        };
        let reason = "the jobs that wait are being counted".to_owned();
        let counts = timeout(PATIENCE, waiting).await;
        counts.unwrap_or(Err(CallError::NotDone { reason })).map(|counts| of_queue(&counts))
    }

    /// Sees to it that somebody counts, and waits for it. `held` is the note as it was found.
    async fn wait_for_count<P: Platform>(
        &self,
        platform: &P,
        mut held: Option<Item>,
    ) -> CallResult<Counts> {
        loop {
            if let Some(counts) = self.own.recent() {
                return Ok(counts);
            }
            let note = Note::read(held.as_ref());
            if note.is_fresh() {
                self.own.keep(note.held_at(), &note.counts);
                return Ok(note.counts);
            }
            self.begin_count(platform, &note, held.as_ref());
            tokio::time::sleep(LOOK_AGAIN).await;
            held = platform.get(keys::PENDING).await?;
        }
    }

    /// Counts in the background for all entries, unless this or another one does. The count goes on though the
    /// caller that caused it may leave: others wait for it.
    fn begin_count<P: Platform>(&self, platform: &P, note: &Note, held: Option<&Item>) {
        if note.is_claimed() || self.own.is_counting.replace(true) {
            return;
        }
        let (own, platform, note) = (self.own.clone(), platform.clone(), note.clone());
        let revision = held.map_or(0, |item| item.revision);
        tokio::task::spawn_local(async move {
            if count_for_all(&own, &platform, note, revision).await.is_err() {
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
            own.is_counting.set(false);
        });
    }
}

/// Claims the note as it was at `revision`, counts, and writes a new one.
async fn count_for_all<P: Platform>(
    own: &Own,
    platform: &P,
    last: Note,
    revision: Revision,
) -> CallResult<()> {
    let Some(claimed_at) = claim(platform, &last, revision).await? else { return Ok(()) };
    let (asked_at, at_ms) = (clock::now(), clock::wall_ms());
    let intake = platform.list(keys::INTAKE).await?;
    let (claimed_at, counts) = if let Some(counted_to) = last.counted_to {
        (claimed_at, count_since(&intake, counted_to, last.counts))
    } else {
        // A claim lasts for one list.
        let Some(claimed_at) = claim(platform, &last, claimed_at).await? else { return Ok(()) };
        (claimed_at, count_all(&intake, &platform.list(keys::RECORDS).await?))
    };
    own.keep(asked_at, &counts);
    let counted_to = Some(intake.revision);
    // An owner that has written meanwhile knows better.
    write(platform, &Note { at_ms, counts, counted_to, claimed_ms: None }, claimed_at).await?;
    Ok(())
}

/// Says that this entry counts, on the note as it was at `revision`; returns its new revision.
async fn claim<P: Platform>(
    platform: &P,
    note: &Note,
    revision: Revision,
) -> CallResult<Option<Revision>> {
    write(platform, &Note { claimed_ms: Some(clock::wall_ms()), ..note.clone() }, revision).await
}

/// Writes a note over the one of a revision; returns its own, or none if there is another by now.
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
        // The answer is lost: the note says whether the write was carried out.
        Err(CallError::Unanswered { .. }) => {
            let held = platform.get(keys::PENDING).await?;
            let written = held.filter(|item| item.value == transaction.puts[0].1);
            Ok(written.map(|item| item.revision))
        }
        Err(error) => Err(error),
    }
}

/// The queue of a job that was handed in; the rest of it isn't needed here.
#[derive(Deserialize)]
struct Submitted {
    queue: QueueName,
}

/// Those of the jobs that were handed in and not cancelled, with their ids and queues.
fn submitted(
    intake: &Listing,
    is_meant: impl Fn(&Item) -> bool,
) -> impl Iterator<Item = (&str, QueueName)> {
    let ids = intake.items.iter().filter_map(|item| item.key.strip_prefix(keys::CANCELLATIONS));
    let cancelled: HashSet<&str> = ids.collect();
    intake.items.iter().filter(move |item| is_meant(item)).filter_map(move |item| {
        let job = item.key.strip_prefix(keys::SUBMISSIONS)?;
        let submitted = serde_json::from_slice::<Submitted>(&item.value).ok()?;
        (!cancelled.contains(job)).then_some((job, submitted.queue))
    })
}

/// Adds what has come after `counted_to` to earlier counts: nothing begins where nobody owns the fleet.
fn count_since(intake: &Listing, counted_to: Revision, mut counts: Counts) -> Counts {
    let is_new = |item: &Item| item.revision > counted_to && item.revision <= intake.revision;
    for (_, queue) in submitted(intake, is_new) {
        *counts.entry(queue).or_default() += 1;
    }
    counts
}

fn count_all(intake: &Listing, records: &Listing) -> Counts {
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
    let is_new = |item: &Item| item.revision <= intake.revision;
    let mut counts = Counts::new();
    for (_, queue) in submitted(intake, is_new).filter(|(job, _)| !has_begun(job)) {
        *counts.entry(queue).or_default() += 1;
    }
    counts
}

//! Taking jobs in: a job is accepted once the store holds it, and only then.
//!
//! Jobs that arrive together are written together. A write whose answer is lost may be carried out
//! later, so its job is never refused as "not run": it is written again under the same condition
//! until the store says what it holds, or its caller's time is over and the outcome stays unknown.
//! While the store hangs nobody is held for it: what no write has carried is refused.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use jackdawpier_fleet::spec::Submission;
use jackdawpier_kernel::{
    Now,
    ids::{AccountName, JobId},
};
use serde::Deserialize;
use tokio::{
    sync::{Notify, oneshot},
    time::timeout,
};

use crate::{
    clock, keys,
    ports::{CallError, CallResult, Item, Platform, Transaction, TransactionOutcome},
};

/// Jobs in one transaction: two conditions and a value each, of the 32 rows that it may have.
const JOBS_PER_WRITE: usize = 10;
/// Bytes of jobs in one transaction, but for a job that is larger by itself: a small job doesn't wait for large ones to
/// leave over a slow link.
const BYTES_PER_WRITE: usize = 64 * 1024;
/// Writes under way at once to a store of which nothing is known; with four milliseconds each some
/// 15,000 jobs a second.
const WRITES_AT_ONCE: usize = 4;
/// Writes under way at once to a store that answers, however slowly: with four, a store that took 0.4 s
/// an answer had a quarter of the jobs of a burst refused that it could have taken.
const MOST_WRITES: usize = 16;
/// From the first write of a job that gets no answer until its caller is told that the outcome is
/// unknown, so that it can ask another entry: one call of the store that times out, and one more.
const DOUBT_PATIENCE: Duration = Duration::from_millis(900);
/// A job that no write has carried is refused after this long, as it surely isn't stored: sixty times
/// the time of a write, so that only a store that hangs is met.
const QUEUE_PATIENCE: Duration = Duration::from_millis(250);
/// A store that has left a write unanswered for this long, and answered no other meanwhile, is taken to
/// hang, and what comes is refused at once: a little over the time of a write on slow days.
const SILENT_AFTER: Duration = Duration::from_millis(400);
/// Pause before a write is repeated, so that a failing store isn't pressed.
const REPEAT_PAUSE: Duration = Duration::from_millis(40);

/// What became of a job that was handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The store holds it.
    Accepted,
    /// The store holds a job of another client account under its id.
    Foreign,
    /// The store doesn't and never will hold it by this request.
    Refused,
    /// It may be held, or may yet come to be.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    id: JobId,
    account: Option<AccountName>,
    value: Vec<u8>,
    /// When it is given up.
    deadline: Now,
    /// A write of it went unanswered.
    may_be_stored: bool,
    answer: oneshot::Sender<Acceptance>,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Entry>,
    /// Batches whose jobs don't all have their fate yet.
    unsettled: usize,
    next_write: u64,
    /// When each write that is under way left, oldest first.
    under_way: BTreeMap<u64, Now>,
    /// When a write was last answered.
    answered_at: Option<Now>,
    /// When the last write left that got no answer, if none got one since.
    unanswered_since: Option<Now>,
}

impl Queue {
    fn store_hangs(&self, now: Now) -> bool {
        let oldest = self.under_way.first_key_value();
        let is_old =
            oldest.is_some_and(|(_, left_at)| now.saturating_sub(*left_at) >= SILENT_AFTER);
        is_old && !self.store_answers(now)
    }

    fn store_answers(&self, now: Now) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_sub(at) < SILENT_AFTER)
    }

    /// Whether another write may leave.
    fn may_write(&self, now: Now) -> bool {
        let most = if self.store_answers(now) { MOST_WRITES } else { WRITES_AT_ONCE };
        self.unsettled < most
    }
}

/// How a write ended, as far as it tells of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteEnd {
    /// The store answered.
    Answered,
    /// It didn't.
    Unanswered,
    /// The time of the callers was over first.
    Abandoned,
}

/// The jobs that wait to be written.
#[derive(Debug, Clone, Default)]
pub struct Intake {
    queue: Rc<RefCell<Queue>>,
    /// A job has arrived or a batch is settled.
    changed: Rc<Notify>,
}

impl Intake {
    /// Hands a job in and waits for its fate.
    pub async fn submit(&self, id: JobId, submission: &Submission, deadline: Now) -> Acceptance {
        if self.queue.borrow().store_hangs(clock::now()) {
            return Acceptance::Refused;
        }
        let Ok(value) = serde_json::to_vec(submission) else { return Acceptance::Refused };
        let (answer, mut fate) = oneshot::channel();
        let account = submission.account.clone();
        let entry =
            Entry { id: id.clone(), account, value, deadline, may_be_stored: false, answer };
        self.queue.borrow_mut().waiting.push_back(entry);
        self.changed.notify_one();
        match timeout(QUEUE_PATIENCE, &mut fate).await {
            Ok(fate) => fate.unwrap_or(Acceptance::Unknown),
            Err(_) if self.withdraw(&id) => Acceptance::Refused,
            Err(_) => fate.await.unwrap_or(Acceptance::Unknown),
        }
    }

    /// Takes a job back that no write has carried; returns whether there was one.
    fn withdraw(&self, id: &JobId) -> bool {
        let waiting = &mut self.queue.borrow_mut().waiting;
        let count = waiting.len();
        waiting.retain(|entry| entry.id != *id);
        waiting.len() < count
    }

    fn write_left(&self) -> u64 {
        let mut queue = self.queue.borrow_mut();
        queue.next_write += 1;
        let number = queue.next_write;
        queue.under_way.insert(number, clock::now());
        number
    }

    fn write_ended(&self, number: u64, end: WriteEnd) {
        let mut queue = self.queue.borrow_mut();
        let left_at = queue.under_way.remove(&number);
        match end {
            WriteEnd::Answered => {
                queue.unanswered_since = None;
                queue.answered_at = Some(clock::now());
            }
            WriteEnd::Unanswered => queue.unanswered_since = left_at,
            // It says nothing of the store how little time callers had.
            WriteEnd::Abandoned => {
                let is_old = |at: &Now| clock::since(*at) >= SILENT_AFTER;
                queue.unanswered_since = left_at.filter(is_old).or(queue.unanswered_since);
            }
        }
    }

    fn settled(&self) {
        self.queue.borrow_mut().unsettled -= 1;
        self.changed.notify_one();
    }

    /// When the last write left that got no answer, if none got one since. Until the store is seen
    /// to answer, handing in another job would only hold its caller.
    pub fn unanswered_since(&self) -> Option<Now> {
        self.queue.borrow().unanswered_since
    }

    /// Whether a job waits for a write that may leave.
    fn has_next(&self) -> bool {
        let queue = self.queue.borrow();
        !queue.waiting.is_empty() && queue.may_write(clock::now())
    }

    /// Takes the jobs of the next write; [`Self::settled`] has to follow.
    fn take(&self) -> Vec<Entry> {
        let mut queue = self.queue.borrow_mut();
        queue.unsettled += 1;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.value.len();
            bytes <= BYTES_PER_WRITE
        };
        let count = queue.waiting.iter().take(JOBS_PER_WRITE).take_while(fits).count();
        let count = count.max(1).min(queue.waiting.len());
        queue.waiting.drain(..count).collect()
    }
}

/// Writes what was handed in, for ever.
pub async fn write_jobs<P: Platform>(platform: P, intake: Intake) {
    loop {
        if !intake.has_next() {
            intake.changed.notified().await;
            continue;
        }
        // What was withdrawn while no write could leave is no longer here.
        let batch = intake.take();
        let (platform, intake) = (platform.clone(), intake.clone());
        tokio::task::spawn_local(async move {
            settle(&platform, &intake, batch).await;
            intake.settled();
        });
    }
}

/// Writes a batch until each of its jobs has its fate.
async fn settle<P: Platform>(platform: &P, intake: &Intake, mut batch: Vec<Entry>) {
    let bytes = batch.iter().map(|entry| entry.value.len()).sum();
    let give_up_at = clock::now() + DOUBT_PATIENCE + platform.sending_time(bytes);
    for entry in &mut batch {
        entry.deadline = entry.deadline.min(give_up_at);
    }
    while !batch.is_empty() {
        let number = intake.write_left();
        let (write_end, end) = commit(platform, &batch).await;
        intake.write_ended(number, write_end);
        match end {
            Ok(TransactionOutcome::Committed(_)) => {
                answer_all(batch, Acceptance::Accepted);
                return;
            }
            Ok(TransactionOutcome::Conflict(items)) => {
                let is_held = |entry: &Entry| held_item(entry, &items).is_some();
                let (held, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_held);
                let is_own = |entry: &Entry| belongs_to(entry, &items);
                let (own, foreign): (Vec<_>, Vec<_>) = held.into_iter().partition(is_own);
                answer_all(own, Acceptance::Accepted);
                answer_all(foreign, Acceptance::Foreign);
                batch = rest;
            }
            Err(CallError::NotDone { .. }) => {
                // What no earlier write can have stored is refused at once.
                let (doubtful, rest): (Vec<_>, Vec<_>) =
                    batch.into_iter().partition(|entry| entry.may_be_stored);
                answer_all(rest, Acceptance::Refused);
                batch = doubtful;
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
            Err(_) => {
                batch.iter_mut().for_each(|entry| entry.may_be_stored = true);
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
        }
        let now = clock::now();
        let (late, rest): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|entry| now >= entry.deadline);
        let (doubtful, untried): (Vec<_>, Vec<_>) =
            late.into_iter().partition(|entry| entry.may_be_stored);
        answer_all(doubtful, Acceptance::Unknown);
        answer_all(untried, Acceptance::Refused);
        batch = rest;
    }
}

/// What the store holds under a job's id, among the items of a conflict.
fn held_item<'a>(entry: &Entry, items: &'a [Item]) -> Option<&'a Item> {
    let keys = [keys::submission(&entry.id), keys::record(&entry.id)];
    items.iter().find(|item| keys.contains(&item.key) && item.revision > 0)
}

/// Whether the job that the store holds under an id is the same account's; so is one that was handed in
/// without a key.
fn belongs_to(entry: &Entry, items: &[Item]) -> bool {
    #[derive(Deserialize)]
    struct Owned {
        #[serde(default)]
        account: Option<AccountName>,
    }
    let held = held_item(entry, items).map(|item| serde_json::from_slice::<Owned>(&item.value));
    match held {
        Some(Ok(held)) => held.account.is_none() || held.account == entry.account,
        Some(Err(_)) | None => false,
    }
}

/// Writes a batch once, for no longer than the most patient of its callers waits.
async fn commit<P: Platform>(
    platform: &P,
    batch: &[Entry],
) -> (WriteEnd, CallResult<TransactionOutcome>) {
    let patience = batch.iter().map(|entry| entry.deadline).max().unwrap_or_default();
    let patience = patience.saturating_sub(clock::now());
    match timeout(patience, platform.commit(&transaction(batch))).await {
        Ok(end @ (Ok(_) | Err(CallError::NotDone { .. }))) => (WriteEnd::Answered, end),
        Ok(end) => (WriteEnd::Unanswered, end),
        Err(_) => {
            let reason = "its callers' time was over".to_owned();
            (WriteEnd::Abandoned, Err(CallError::Unanswered { reason }))
        }
    }
}

fn transaction(batch: &[Entry]) -> Transaction {
    Transaction {
        // A job that is over has left nothing but its record.
        expect: batch
            .iter()
            .flat_map(|entry| [(keys::submission(&entry.id), 0), (keys::record(&entry.id), 0)])
            .collect(),
        puts: batch
            .iter()
            .map(|entry| (keys::submission(&entry.id), entry.value.clone(), None))
            .collect(),
        removes: Vec::new(),
    }
}

fn answer_all(entries: Vec<Entry>, fate: Acceptance) {
    for entry in entries {
        // A caller that has gone away needs no answer.
        let _ = entry.answer.send(fate);
    }
}

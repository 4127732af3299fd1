//! Taking jobs in: a job is accepted once the store holds it, and only then.
//!
//! Jobs that arrive together are written together. A write whose answer is lost may be carried out
//! later, so its job is never refused as "not run": it is written again under the same condition
//! until the store says what it holds, or its caller's time is over and the outcome stays unknown.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use jackdawpier_fleet::spec::Submission;
use jackdawpier_kernel::{Now, ids::JobId};
use tokio::sync::{Notify, oneshot};

use crate::{
    clock, keys,
    ports::{CallError, Platform, Transaction, TransactionEnd},
};

/// Jobs in one transaction: a condition and a value each, of the 32 entries that it may have.
const JOBS_PER_WRITE: usize = 15;
/// Writes under way at once; with four milliseconds each some 15,000 jobs a second.
const WRITES_AT_ONCE: usize = 4;
/// A store that gave no answer is asked again for this long; then the caller is told that the outcome
/// is unknown, so that it can ask another entry.
const DOUBT_PATIENCE: Duration = Duration::from_millis(500);
/// Pause before a write is repeated, so that a failing store isn't pressed.
const REPEAT_PAUSE: Duration = Duration::from_millis(40);

/// What became of a job that was handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The store holds it.
    Accepted,
    /// The store doesn't and never will hold it by this request.
    Refused,
    /// It may be held, or may yet come to be.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    id: JobId,
    value: Vec<u8>,
    deadline: Now,
    /// When a write of it first went unanswered.
    unanswered_at: Option<Now>,
    answer: oneshot::Sender<Acceptance>,
}

impl Entry {
    fn may_be_stored(&self) -> bool {
        self.unanswered_at.is_some()
    }

    fn is_given_up(&self, now: Now) -> bool {
        now >= self.deadline || self.unanswered_at.is_some_and(|at| now >= at + DOUBT_PATIENCE)
    }
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Entry>,
}

/// The jobs that wait to be written.
#[derive(Debug, Clone, Default)]
pub struct Intake {
    queue: Rc<RefCell<Queue>>,
    arrived: Rc<Notify>,
}

impl Intake {
    /// Hands a job in and waits for its fate.
    pub async fn submit(&self, id: JobId, submission: &Submission, deadline: Now) -> Acceptance {
        let Ok(value) = serde_json::to_vec(submission) else { return Acceptance::Refused };
        let (answer, fate) = oneshot::channel();
        let entry = Entry { id, value, deadline, unanswered_at: None, answer };
        self.queue.borrow_mut().waiting.push_back(entry);
        self.arrived.notify_one();
        fate.await.unwrap_or(Acceptance::Unknown)
    }

    fn take(&self) -> Vec<Entry> {
        let mut queue = self.queue.borrow_mut();
        let count = queue.waiting.len().min(JOBS_PER_WRITE);
        queue.waiting.drain(..count).collect()
    }
}

/// Writes what was handed in, for ever.
pub async fn write_jobs<P: Platform>(platform: P, intake: Intake) {
    let slots = Rc::new(tokio::sync::Semaphore::new(WRITES_AT_ONCE));
    loop {
        let batch = intake.take();
        if batch.is_empty() {
            intake.arrived.notified().await;
            continue;
        }
        let permit = slots.acquire().await.expect("it is never closed");
        permit.forget();
        let (platform, slots) = (platform.clone(), slots.clone());
        tokio::task::spawn_local(async move {
            settle(&platform, batch).await;
            slots.add_permits(1);
        });
    }
}

/// Writes a batch until each of its jobs has its fate.
async fn settle<P: Platform>(platform: &P, mut batch: Vec<Entry>) {
    while !batch.is_empty() {
        let end = platform.commit(&transaction(&batch)).await;
        match end {
            Ok(TransactionEnd::Committed(_)) => {
                answer_all(batch, Acceptance::Accepted);
                return;
            }
            Ok(TransactionEnd::Conflict(items)) => {
                let is_held = |entry: &Entry| {
                    let key = keys::submission(&entry.id);
                    items.iter().any(|item| item.key == key && item.revision > 0)
                };
                let (held, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_held);
                answer_all(held, Acceptance::Accepted);
                batch = rest;
            }
            Err(CallError::NotDone { .. }) => {
                // What no earlier write can have stored is refused at once.
                let (doubtful, rest): (Vec<_>, Vec<_>) =
                    batch.into_iter().partition(Entry::may_be_stored);
                answer_all(rest, Acceptance::Refused);
                batch = doubtful;
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
            Err(_) => {
                let now = clock::now();
                batch.iter_mut().for_each(|entry| {
                    entry.unanswered_at.get_or_insert(now);
                });
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
        }
        let now = clock::now();
        let (late, rest): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|entry| entry.is_given_up(now));
        let (doubtful, untried): (Vec<_>, Vec<_>) =
            late.into_iter().partition(Entry::may_be_stored);
        answer_all(doubtful, Acceptance::Unknown);
        answer_all(untried, Acceptance::Refused);
        batch = rest;
    }
}

fn transaction(batch: &[Entry]) -> Transaction {
    Transaction {
        expect: batch.iter().map(|entry| (keys::submission(&entry.id), 0)).collect(),
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

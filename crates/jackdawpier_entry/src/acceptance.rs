//! Accepts jobs: a job counts as accepted once the store holds it.
//!
//! Jobs that arrive together are written in one transaction. A write without an answer may still be
//! applied later, so its jobs are never refused: the write is repeated under the same condition until
//! the store reports what it holds, or until the caller's deadline, when the outcome stays unknown.
//! While the store hangs, jobs that were not part of any write are refused without waiting for it.
//!
//! A job that was cancelled before it was stored has a tombstone, at which its write fails; see
//! [`crate::tombstones`].

mod job_writes;

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
use tokio::{
    sync::{Notify, oneshot},
    time::timeout,
};

use crate::{
    clock,
    submitted_jobs::SubmittedJobs,
    tombstones::{StoredTombstone, Tombstones},
};

pub use job_writes::write_jobs;

/// Maximum number of jobs in one transaction: each takes three rows, two conditions and a value, and a
/// transaction has at most 32 rows.
const MAX_JOBS_PER_WRITE: usize = 10;
/// Maximum bytes of jobs in one transaction, except for a single larger job, so that a small job doesn't
/// wait until large ones are sent over a slow link.
const MAX_BYTES_PER_WRITE: usize = 64 * 1024;
/// Maximum number of concurrent batches without a recent answer from the store. At 4 ms a write they
/// carry about 15,000 jobs a second.
const MAX_CONCURRENT_BATCHES: usize = 4;
/// Maximum number of concurrent batches while the store answers. With four, a store that takes 0.4 s an
/// answer would refuse a quarter of the jobs of a burst that it could accept.
const MAX_CONCURRENT_BATCHES_ANSWERING: usize = 16;
/// A job that was not part of any write after this time is refused, since it can't be stored. Sixty times
/// the duration of a write, so that it is reached only if the store hangs.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(250);
/// The store is considered hanging, and new jobs are refused immediately, if a write is unanswered for this
/// time and no other write was answered meanwhile. Slightly more than the duration of a slow write.
const HANG_TIMEOUT: Duration = Duration::from_millis(400);

/// The outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The store holds the job.
    Accepted,
    /// The job was cancelled before the store held it. It is shown as cancelled and never runs.
    Cancelled,
    /// The store holds a job of another client account under the same id.
    Foreign,
    /// The job isn't stored and never will be, by this or any other request to this entry.
    Refused,
    /// The job may be stored, or may be stored later, by this or an earlier request.
    Unknown,
}

#[derive(Debug)]
struct QueuedJob {
    id: JobId,
    account: Option<AccountName>,
    value: Vec<u8>,
    /// When its caller stops waiting.
    deadline: Now,
    /// Whether a write that contains the job got no answer.
    may_be_stored: bool,
    /// The tombstone that the last write of the job met.
    tombstone: Option<StoredTombstone>,
    outcome: oneshot::Sender<Acceptance>,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<QueuedJob>,
    /// Number of batches with jobs whose outcome isn't known yet.
    open_batches: usize,
    last_write: u64,
    /// When each write in flight was sent, by its number.
    in_flight: BTreeMap<u64, Now>,
    /// When a write was last answered.
    answered_at: Option<Now>,
    /// When the last unanswered write was sent, if no write was answered since.
    unanswered_since: Option<Now>,
}

impl Queue {
    fn store_hangs(&self, now: Now) -> bool {
        let oldest = self.in_flight.first_key_value();
        let is_old =
            oldest.is_some_and(|(_, sent_at)| now.saturating_sub(*sent_at) >= HANG_TIMEOUT);
        is_old && !self.store_answers(now)
    }

    fn store_answers(&self, now: Now) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_sub(at) < HANG_TIMEOUT)
    }

    /// Returns whether another batch may be written.
    fn may_write(&self, now: Now) -> bool {
        let max_batches = if self.store_answers(now) {
            MAX_CONCURRENT_BATCHES_ANSWERING
        } else {
            MAX_CONCURRENT_BATCHES
        };
        self.open_batches < max_batches
    }
}

/// How a write ended, as evidence of whether the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    /// The store answered.
    Answered,
    /// The store didn't answer.
    Unanswered,
    /// The deadlines of all callers passed before an answer.
    Abandoned,
}

impl QueuedJob {
    /// Whether the job's own account has cancelled it.
    fn is_cancelled(&self) -> bool {
        let stored = self.tombstone.as_ref();
        stored.is_some_and(|it| it.tombstone.is_cancelled_by(self.account.as_ref()))
    }

    /// Returns the number of rows that the job takes in a transaction. One that replaces a tombstone removes it as well.
    fn rows(&self) -> usize {
        if self.tombstone.is_some() && !self.is_cancelled() { 4 } else { 3 }
    }
}

/// The queue of submitted jobs that wait to be written.
#[derive(Debug, Clone)]
pub struct Intake {
    queue: Rc<RefCell<Queue>>,
    submitted: Rc<RefCell<SubmittedJobs>>,
    /// Notified when a job is submitted or a batch is finished.
    changed: Rc<Notify>,
    tombstones: Tombstones,
}

impl Intake {
    /// Creates an empty queue.
    pub fn new(tombstones: Tombstones) -> Self {
        Self { queue: Rc::default(), submitted: Rc::default(), changed: Rc::default(), tombstones }
    }

    /// Submits a job and waits for the outcome.
    pub async fn submit(&self, id: JobId, submission: &Submission, deadline: Now) -> Acceptance {
        self.submitted.borrow_mut().add(clock::now(), &id);
        let outcome = self.submit_once(id.clone(), submission, deadline).await;
        if outcome != Acceptance::Refused {
            return outcome;
        }
        self.submitted.borrow_mut().on_refused(&id);
        self.refused_outcome(&id)
    }

    /// Returns whether a request to this entry may have stored a job, or may store it later.
    pub fn may_be_stored(&self, id: &JobId) -> bool {
        self.submitted.borrow_mut().contains(clock::now(), id)
    }

    /// Returns the outcome of a request that stores nothing. "Refused" means that the job never runs, which isn't known if
    /// another request may store it.
    pub fn refused_outcome(&self, id: &JobId) -> Acceptance {
        if self.may_be_stored(id) { Acceptance::Unknown } else { Acceptance::Refused }
    }

    async fn submit_once(&self, id: JobId, submission: &Submission, deadline: Now) -> Acceptance {
        if self.queue.borrow().store_hangs(clock::now()) {
            return Acceptance::Refused;
        }
        let Ok(value) = serde_json::to_vec(submission) else { return Acceptance::Refused };
        let (sender, mut outcome) = oneshot::channel();
        let account = submission.account.clone();
        let job = QueuedJob {
            id: id.clone(),
            account,
            value,
            deadline,
            may_be_stored: false,
            tombstone: None,
            outcome: sender,
        };
        self.queue.borrow_mut().waiting.push_back(job);
        self.changed.notify_one();
        match timeout(QUEUE_TIMEOUT, &mut outcome).await {
            Ok(outcome) => outcome.unwrap_or(Acceptance::Unknown),
            Err(_) if self.withdraw(&id) => Acceptance::Refused,
            Err(_) => outcome.await.unwrap_or(Acceptance::Unknown),
        }
    }

    /// Removes a job that was not part of any write; returns whether there was one.
    fn withdraw(&self, id: &JobId) -> bool {
        let waiting = &mut self.queue.borrow_mut().waiting;
        let count = waiting.len();
        waiting.retain(|job| job.id != *id);
        waiting.len() < count
    }

    /// Notes that a write is sent and returns its number.
    fn on_write_sent(&self) -> u64 {
        let mut queue = self.queue.borrow_mut();
        queue.last_write += 1;
        let number = queue.last_write;
        queue.in_flight.insert(number, clock::now());
        number
    }

    fn on_write_result(&self, number: u64, result: WriteResult) {
        let mut queue = self.queue.borrow_mut();
        let sent_at = queue.in_flight.remove(&number);
        match result {
            WriteResult::Answered => {
                queue.unanswered_since = None;
                queue.answered_at = Some(clock::now());
            }
            WriteResult::Unanswered => queue.unanswered_since = sent_at,
            // A write abandoned because of short deadlines is no evidence that the store hangs.
            WriteResult::Abandoned => {
                let is_old = |at: &Now| clock::since(*at) >= HANG_TIMEOUT;
                queue.unanswered_since = sent_at.filter(is_old).or(queue.unanswered_since);
            }
        }
    }

    fn finish_batch(&self) {
        self.queue.borrow_mut().open_batches -= 1;
        self.changed.notify_one();
    }

    /// Returns when the last unanswered write was sent, if no write was answered since. Until the store
    /// answers, submitting another job would only delay its caller.
    pub fn unanswered_since(&self) -> Option<Now> {
        self.queue.borrow().unanswered_since
    }

    /// Returns whether jobs wait and another batch may be written.
    fn has_next_batch(&self) -> bool {
        let queue = self.queue.borrow();
        !queue.waiting.is_empty() && queue.may_write(clock::now())
    }

    /// Removes the jobs of the next batch from the queue; [`Self::finish_batch`] has to follow.
    fn take_batch(&self) -> Vec<QueuedJob> {
        let mut queue = self.queue.borrow_mut();
        queue.open_batches += 1;
        let mut bytes = 0;
        let fits = |job: &&QueuedJob| {
            bytes += job.value.len();
            bytes <= MAX_BYTES_PER_WRITE
        };
        let count = queue.waiting.iter().take(MAX_JOBS_PER_WRITE).take_while(fits).count();
        let count = count.max(1).min(queue.waiting.len());
        queue.waiting.drain(..count).collect()
    }
}

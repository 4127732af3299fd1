//! Writes batches of submitted jobs to the store until the outcome of each job is known.

use std::time::Duration;

use jackdawpier_kernel::ids::AccountName;
use serde::Deserialize;
use serde_json::json;
use tokio::time::timeout;

use super::{Acceptance, Intake, QueuedJob, WriteResult};
use crate::{
    clock,
    events::Events,
    keys,
    ports::{CallError, CallResult, Item, LeaseId, Platform, Transaction, TransactionOutcome},
    tombstones::StoredTombstone,
};

/// Maximum number of rows in one transaction.
const MAX_ROWS_PER_WRITE: usize = 32;
/// Maximum time for writing a batch, after which callers are told that the outcome is unknown and can ask
/// another entry: one call to the store that times out, and one more.
const BATCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a write is repeated, so that a failing store isn't overloaded.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Writes submitted jobs until it is cancelled.
pub async fn write_jobs<P: Platform>(platform: P, intake: Intake, events: Events) {
    loop {
        if !intake.has_next_batch() {
            intake.changed.notified().await;
            continue;
        }
        // Jobs withdrawn while no batch could be written are no longer in the queue.
        let batch = intake.take_batch();
        let (platform, intake, events) = (platform.clone(), intake.clone(), events.clone());
        tokio::task::spawn_local(async move {
            write_batch(&platform, &intake, &events, batch).await;
            intake.finish_batch();
        });
    }
}

/// Writes a batch until the outcome of each of its jobs is known or its deadline has passed.
async fn write_batch<P: Platform>(
    platform: &P,
    intake: &Intake,
    events: &Events,
    mut batch: Vec<QueuedJob>,
) {
    let bytes = batch.iter().map(|job| job.value.len()).sum();
    let give_up_at = clock::now() + BATCH_TIMEOUT + platform.sending_time(bytes);
    for job in &mut batch {
        job.deadline = job.deadline.min(give_up_at);
    }
    loop {
        // Also before the first write, since the process may have been suspended.
        batch = answer_expired(batch);
        if batch.is_empty() {
            return;
        }
        let later = batch.split_off(count_fitting(&batch));
        match commit(platform, intake, &batch).await {
            Ok(TransactionOutcome::Committed(_)) => {
                answer_written(batch);
                batch = Vec::new();
            }
            Ok(TransactionOutcome::Conflict(items)) => {
                batch = answer_stored(events, batch, &items);
            }
            Err(CallError::NotDone { .. }) => {
                // Jobs that no earlier write can have stored are refused immediately.
                let (uncertain, rest): (Vec<_>, Vec<_>) =
                    batch.into_iter().partition(|job| job.may_be_stored);
                answer_all(rest, Acceptance::Refused);
                batch = uncertain;
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(_) => {
                batch.iter_mut().for_each(|job| job.may_be_stored = true);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        batch.extend(later);
    }
}

/// Returns how many jobs of a batch fit into one transaction.
fn count_fitting(batch: &[QueuedJob]) -> usize {
    let mut rows = 0;
    let fits = |job: &&QueuedJob| {
        rows += job.rows();
        rows <= MAX_ROWS_PER_WRITE
    };
    batch.iter().take_while(fits).count()
}

/// Answers the jobs whose deadline has passed and returns the others.
fn answer_expired(batch: Vec<QueuedJob>) -> Vec<QueuedJob> {
    let now = clock::now();
    let (expired, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(|job| now >= job.deadline);
    let (uncertain, not_stored): (Vec<_>, Vec<_>) =
        expired.into_iter().partition(|job| job.may_be_stored);
    answer_all(uncertain, Acceptance::Unknown);
    answer_all(not_stored, Acceptance::Refused);
    rest
}

/// Answers the jobs of a committed write.
fn answer_written(batch: Vec<QueuedJob>) {
    let (cancelled, stored): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(QueuedJob::is_cancelled);
    answer_all(cancelled, Acceptance::Cancelled);
    answer_all(stored, Acceptance::Accepted);
}

/// Answers the jobs that the store holds, by the items of a conflict, and returns the others.
fn answer_stored(events: &Events, batch: Vec<QueuedJob>, items: &[Item]) -> Vec<QueuedJob> {
    let mut rest = Vec::new();
    for mut job in batch {
        let Some(item) = stored_item(&job, items) else {
            job.tombstone = None;
            rest.push(job);
            continue;
        };
        let previous = job.tombstone.take();
        job.tombstone = StoredTombstone::read(item);
        match &job.tombstone {
            None if is_same_account(&job, item) => answer(job, Acceptance::Accepted),
            None => answer(job, Acceptance::Foreign),
            Some(stored) if stored.tombstone.is_submitted => {
                let is_own = stored.account == job.account;
                answer(job, if is_own { Acceptance::Cancelled } else { Acceptance::Foreign });
            }
            Some(_) => {
                if previous.is_none() && job.is_cancelled() {
                    let fields = json!({ "job": *job.id, "account": job.account.as_deref() });
                    events.emit("cancelled_job_refused", fields);
                }
                rest.push(job);
            }
        }
    }
    rest
}

/// Returns the item stored under a job's id, among the items of a conflict.
fn stored_item<'a>(job: &QueuedJob, items: &'a [Item]) -> Option<&'a Item> {
    let keys = [keys::submission(&job.id), keys::record(&job.id)];
    items.iter().find(|item| keys.contains(&item.key) && item.revision > 0)
}

/// Returns whether the stored job belongs to the same account, or was submitted without a key.
fn is_same_account(job: &QueuedJob, stored: &Item) -> bool {
    #[derive(Deserialize)]
    struct Owned {
        #[serde(default)]
        account: Option<AccountName>,
    }
    match serde_json::from_slice::<Owned>(&stored.value) {
        Ok(stored) => stored.account.is_none() || stored.account == job.account,
        Err(_) => false,
    }
}

/// Writes a batch once, until the latest deadline of its callers.
async fn commit<P: Platform>(
    platform: &P,
    intake: &Intake,
    batch: &[QueuedJob],
) -> CallResult<TransactionOutcome> {
    let lease = if batch.iter().any(QueuedJob::is_cancelled) {
        let granted = intake.tombstones.submitted_lease(platform).await;
        // Nothing was written.
        Some(granted.map_err(|error| CallError::NotDone { reason: error.to_string() })?)
    } else {
        None
    };
    let deadline = batch.iter().map(|job| job.deadline).max().unwrap_or_default();
    let time_left = deadline.saturating_sub(clock::now());
    let number = intake.on_write_sent();
    let (result, outcome) =
        match timeout(time_left, platform.commit(&transaction(batch, lease))).await {
            Ok(outcome @ (Ok(_) | Err(CallError::NotDone { .. } | CallError::LeaseEnded))) => {
                (WriteResult::Answered, outcome)
            }
            Ok(outcome) => (WriteResult::Unanswered, outcome),
            Err(_) => {
                let reason = "the deadlines of its callers have passed".to_owned();
                (WriteResult::Abandoned, Err(CallError::Unanswered { reason }))
            }
        };
    intake.on_write_result(number, result);
    if let (Some(lease), Err(CallError::LeaseEnded)) = (lease, &outcome) {
        intake.tombstones.forget_submitted_lease(lease).await;
    }
    outcome
}

/// Builds the transaction of a batch. `lease` is the one of the tombstones in it.
fn transaction(batch: &[QueuedJob], lease: Option<LeaseId>) -> Transaction {
    let mut transaction = Transaction::default();
    for job in batch {
        // Of a job that has ended only its record remains.
        let record_revision = job.tombstone.as_ref().map_or(0, |tombstone| tombstone.revision);
        transaction.expect.push((keys::submission(&job.id), 0));
        transaction.expect.push((keys::record(&job.id), record_revision));
        let submission = (keys::submission(&job.id), job.value.clone(), None);
        match &job.tombstone {
            None => transaction.puts.push(submission),
            Some(tombstone) if job.is_cancelled() => {
                let record = tombstone.encode_submitted(job.account.as_ref());
                transaction.puts.push((keys::record(&job.id), record, lease));
            }
            // Other accounts have cancelled their own jobs of this id, if there are any.
            Some(_) => {
                transaction.puts.push(submission);
                transaction.removes.push(keys::record(&job.id));
            }
        }
    }
    transaction
}

fn answer_all(jobs: Vec<QueuedJob>, outcome: Acceptance) {
    jobs.into_iter().for_each(|job| answer(job, outcome));
}

fn answer(job: QueuedJob, outcome: Acceptance) {
    // The caller may have disconnected.
    let _ = job.outcome.send(outcome);
}

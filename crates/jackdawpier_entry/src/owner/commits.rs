//! Writes the fleet's changes to the store in batches.

use std::{cell::Cell, rc::Rc, time::Duration};

use jackdawpier_fleet::fleet::{Batch, ChangedJob};
use jackdawpier_kernel::ids::Revision;
use serde_json::json;
use tokio::sync::Notify;

use super::Owner;
use crate::{
    clock, keys, link,
    metrics::Latency,
    ports::{CallError, Platform, Transaction, TransactionOutcome},
    record_size::encode_within,
};

/// Maximum rows of records in one transaction. A transaction may have 32 rows, and one is the condition on the
/// owner's key.
const MAX_ROWS_PER_WRITE: usize = 30;
/// A batch with this many rows is full: the next job might not fit.
const FULL_BATCH_ROWS: usize = MAX_ROWS_PER_WRITE - 3;
/// Concurrent writes to a store of usual latency. Concurrent writes concern different jobs.
const MIN_CONCURRENT_WRITES: usize = 4;
/// Maximum concurrent writes to a slow store. With 0.32 s per answer this is about 1,200 records a second, the
/// changes of one burst of demand on 540 executors.
const MAX_CONCURRENT_WRITES: usize = 32;
/// One concurrent write is allowed per this much latency, so that 100 begin each second at any latency. With a
/// fixed limit of four and a latency of 0.32 s, only 175 of 400 jobs ended within four seconds.
const LATENCY_PER_WRITE: Duration = Duration::from_millis(10);
/// Weight of the newest sample in the mean latency.
const NEW_SAMPLE_WEIGHT: f64 = 0.2;
/// Minimum time between two writes of batches that aren't full: limits them to about 40 a second. Adds half of
/// this time to each start, where objectives are at least two seconds.
const PARTIAL_WRITE_INTERVAL: Duration = Duration::from_millis(25);
/// Approximate maximum size of the records of one write, unless a single record is larger.
const MAX_BYTES_PER_WRITE: usize = 512 * 1024;
/// Size of the records in flight at which no further write begins. A record in flight takes some five times its size, as
/// value, as base64 and as request body.
const MAX_BYTES_IN_FLIGHT: usize = 2 * 1024 * 1024;
/// Delay before a write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Size of the records that may be written in a second for each core of the owner. To encode and send them takes some
/// 10 ns a byte, so this is a fifth of the processor; without it, the records of jobs with thousands of running tasks would
/// take all of a small machine's.
const RECORD_BYTES_PER_CORE_S: f64 = 20e6;

/// Share of the link that records may use; the rest is for orders and answers. Changes during the pause go into
/// the job's next record, so fewer records are written. Without this limit records filled a link of 2 Mbit/s,
/// and orders waited behind them for half a second.
const LINK_SHARE: f64 = 0.4;

/// Returns the size of a transaction's records.
fn value_bytes(transaction: &Transaction) -> usize {
    transaction.puts.iter().map(|(_, value, _)| value.len()).sum()
}

/// Tracks the writes in flight and their mean latency.
#[derive(Default)]
struct InFlightWrites {
    count: Cell<usize>,
    /// Size of the records.
    bytes: Cell<usize>,
    mean_latency: Cell<Duration>,
    write_ended: Notify,
}

impl InFlightWrites {
    fn is_full(&self) -> bool {
        let by_latency = self.mean_latency.get().as_millis() / LATENCY_PER_WRITE.as_millis();
        let max_count = (by_latency as usize).clamp(MIN_CONCURRENT_WRITES, MAX_CONCURRENT_WRITES);
        self.count.get() >= max_count || self.bytes.get() >= MAX_BYTES_IN_FLIGHT
    }

    fn begin(&self, bytes: usize) {
        self.count.set(self.count.get() + 1);
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn end(&self, bytes: usize, latency: Duration) {
        self.count.set(self.count.get() - 1);
        self.bytes.set(self.bytes.get() - bytes);
        self.mean_latency.set(
            self.mean_latency.get().mul_f64(1.0 - NEW_SAMPLE_WEIGHT)
                + latency.mul_f64(NEW_SAMPLE_WEIGHT),
        );
        self.write_ended.notify_one();
    }
}

enum WriteOutcome {
    Durable(Vec<Revision>),
    Lost,
}

impl<P: Platform> Owner<P> {
    pub(super) async fn commit_loop(self: Rc<Self>) {
        let in_flight = Rc::new(InFlightWrites::default());
        while self.is_valid() {
            if !self.fleet.borrow().has_changes() {
                // The timeout lets the loop notice the end of the term.
                let _ = tokio::time::timeout(
                    Duration::from_millis(200),
                    self.write_requested.notified(),
                )
                .await;
                continue;
            }
            if in_flight.is_full() {
                in_flight.write_ended.notified().await;
                continue;
            }
            let batch = self.fleet.borrow_mut().take_batch(MAX_ROWS_PER_WRITE, MAX_BYTES_PER_WRITE);
            let Some(mut batch) = batch else { continue };
            let rows: usize = batch.jobs.iter().map(ChangedJob::rows).sum();
            let batch_delay =
                if rows >= FULL_BATCH_ROWS { Duration::ZERO } else { PARTIAL_WRITE_INTERVAL };
            let transaction = self.transaction(&mut batch);
            let bytes = value_bytes(&transaction);
            let link_time =
                link::transfer_time_of_values(bytes, self.settings.link_mbps, LINK_SHARE);
            let encoding_rate = self.settings.cpu_share * RECORD_BYTES_PER_CORE_S;
            let encoding_time = Duration::from_secs_f64(bytes as f64 / encoding_rate.max(1.0));
            let pause = batch_delay.max(link_time).max(encoding_time);
            let (owner, in_flight) = (self.clone(), in_flight.clone());
            in_flight.begin(bytes);
            tokio::task::spawn_local(async move {
                let began_at = clock::now();
                owner.write(batch, transaction).await;
                in_flight.end(bytes, clock::since(began_at));
            });
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn write(self: &Rc<Self>, batch: Batch, transaction: Transaction) {
        let began_at = clock::now();
        let outcome = self.write_until_known(&batch, &transaction).await;
        self.events.metrics().observe(Latency::Write, clock::since(began_at));
        match outcome {
            WriteOutcome::Durable(revisions) => {
                self.fleet.borrow_mut().batch_durable(clock::now(), &batch, &revisions);
                self.log_ended_jobs();
                if self.is_valid() {
                    self.execute_commands();
                    self.wake_acknowledgeable();
                }
            }
            WriteOutcome::Lost => {
                self.events.emit("write_lost", json!({ "batch": batch.number }));
                self.term.mark_lost();
            }
        }
    }

    fn log_ended_jobs(&self) {
        for job in self.fleet.borrow_mut().take_finished() {
            let fields = json!({
                "job": *job.job,
                "queue": *job.queue,
                "end": format!("{:?}", job.outcome),
                "took_ms": job.duration.as_millis() as u64,
                "objective_ms": job.objective.as_millis() as u64,
                "most_failures": job.most_failures,
                "most_crashes": job.most_crashes,
            });
            self.events.emit("job_over", fields);
        }
    }

    /// Builds the transaction of a batch, and takes the records. Removes the submission together with the end of its
    /// job, so that listings of submissions contain only jobs that haven't ended.
    fn transaction(&self, batch: &mut Batch) -> Transaction {
        let mut transaction = Transaction::default();
        transaction.expect.push((keys::OWNER.to_owned(), self.term.fence));
        for ChangedJob { job, record, revision, is_ending, is_cancelled, .. } in &mut batch.jobs {
            let value = encode_within(&std::mem::take(record), self.settings.max_value_bytes);
            transaction.expect.push((keys::record(job), *revision));
            transaction.puts.push((keys::record(job), value, None));
            if *is_ending {
                transaction.removes.push(keys::submission(job));
            }
            if *is_ending && *is_cancelled {
                transaction.removes.push(keys::cancellation(job));
            }
        }
        transaction
    }

    async fn write_until_known(&self, batch: &Batch, transaction: &Transaction) -> WriteOutcome {
        while self.is_valid() {
            match self.platform.commit(transaction).await {
                Ok(TransactionOutcome::Committed(revision)) => {
                    return WriteOutcome::Durable(vec![revision; batch.jobs.len()]);
                }
                // An earlier attempt whose answer was lost, or another owner's write.
                Ok(TransactionOutcome::Conflict(items)) => {
                    let revisions: Option<Vec<Revision>> = transaction
                        .puts
                        .iter()
                        .map(|(key, value, _)| {
                            let stored = items.iter().find(|item| item.key == *key)?;
                            (stored.value == *value).then_some(stored.revision)
                        })
                        .collect();
                    return revisions.map_or(WriteOutcome::Lost, WriteOutcome::Durable);
                }
                Err(error) => {
                    let fields = json!({ "batch": batch.number, "why": error.to_string() });
                    self.events.emit("write_failed", fields);
                    if matches!(error, CallError::LeaseEnded) {
                        return WriteOutcome::Lost;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        WriteOutcome::Lost
    }
}

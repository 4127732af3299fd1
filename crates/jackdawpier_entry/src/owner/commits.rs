//! Writing the fleet's changes in groups.

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
};

/// Rows of records in one transaction: with the condition on the owner's key one less than the 32
/// that it may have.
const ROWS_PER_WRITE: usize = 30;
/// A batch with this many rows is full: the next job might not fit.
const FULL_ROWS: usize = ROWS_PER_WRITE - 3;
/// Writes under way at once to a store that answers as usual; they concern different jobs.
const WRITES_AT_ONCE: usize = 4;
/// The same to a store however slow: with 0.32 s an answer some 1,200 records a second, a turn of demand
/// on 540 executors.
const MOST_WRITES: usize = 32;
/// One write more may be under way for each of these that an answer takes: 100 begin a second, however long
/// each takes. With four always, of 400 jobs that came while the store took 0.32 s 175 were over after four
/// seconds; now all are.
const TIME_PER_WRITE: Duration = Duration::from_millis(10);
/// Part of the newest answer's time in the mean.
const NEW_PART: f64 = 0.2;
/// Shortest time between two writes that aren't full: bounds them to some forty a second. It adds
/// half of it to each start, where objectives are two seconds and more.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);
/// Pause before a write is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(40);

/// Part of the link that records may take: the rest is for orders and answers. What changes meanwhile goes
/// into the next record of its job, so fewer are written. On 2 Mbit/s records filled the link, and orders
/// waited behind them for half a second.
const LINK_PART: f64 = 0.4;

/// The time that a transaction takes of the part of the link that records may have.
fn link_time(transaction: &Transaction, link_mbps: f64) -> Duration {
    let bytes: usize = transaction.puts.iter().map(|(_, value, _)| value.len()).sum();
    link::transfer_time_of_values(bytes, link_mbps, LINK_PART)
}

/// The writes under way, and how long they have taken.
#[derive(Default)]
struct UnderWay {
    count: Cell<usize>,
    mean: Cell<Duration>,
    ended: Notify,
}

impl UnderWay {
    fn is_full(&self) -> bool {
        let by_time = self.mean.get().as_millis() / TIME_PER_WRITE.as_millis();
        self.count.get() >= (by_time as usize).clamp(WRITES_AT_ONCE, MOST_WRITES)
    }

    fn begin(&self) {
        self.count.set(self.count.get() + 1);
    }

    fn end(&self, took: Duration) {
        self.count.set(self.count.get() - 1);
        self.mean.set(self.mean.get().mul_f64(1.0 - NEW_PART) + took.mul_f64(NEW_PART));
        self.ended.notify_one();
    }
}

enum WriteEnd {
    Durable(Vec<Revision>),
    Lost,
}

impl<P: Platform> Owner<P> {
    pub(super) async fn commit_loop(self: Rc<Self>) {
        let under_way = Rc::new(UnderWay::default());
        while self.is_valid() {
            if !self.fleet.borrow().has_changes() {
                // Looks again by itself, so that the end of the term is noticed.
                let _ =
                    tokio::time::timeout(Duration::from_millis(200), self.has_unwritten.notified())
                        .await;
                continue;
            }
            if under_way.is_full() {
                under_way.ended.notified().await;
                continue;
            }
            let batch = self.fleet.borrow_mut().take_batch(ROWS_PER_WRITE);
            let Some(batch) = batch else { continue };
            let rows: usize = batch.jobs.iter().map(ChangedJob::rows).sum();
            let gather = if rows >= FULL_ROWS { Duration::ZERO } else { WRITE_INTERVAL };
            let transaction = self.transaction(&batch);
            let pause = gather.max(link_time(&transaction, self.settings.link_mbps));
            let (owner, under_way) = (self.clone(), under_way.clone());
            under_way.begin();
            tokio::task::spawn_local(async move {
                let began_at = clock::now();
                owner.write(batch, transaction).await;
                under_way.end(clock::since(began_at));
            });
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn write(self: &Rc<Self>, batch: Batch, transaction: Transaction) {
        let began_at = clock::now();
        let end = self.write_until_known(&batch, &transaction).await;
        self.events.metrics().observe(Latency::Write, clock::since(began_at));
        match end {
            WriteEnd::Durable(revisions) => {
                self.fleet.borrow_mut().batch_durable(clock::now(), &batch, &revisions);
                self.log_finished();
                if self.is_valid() {
                    self.execute_commands();
                    self.wake_acknowledgeable();
                }
            }
            WriteEnd::Lost => {
                self.events.emit("write_lost", json!({ "batch": batch.number }));
                self.term.mark_lost();
            }
        }
    }

    fn log_finished(&self) {
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

    /// Writes the records. What was handed in goes with the end of its job, so that listings of it
    /// stay as short as the jobs are that aren't over.
    fn transaction(&self, batch: &Batch) -> Transaction {
        let mut transaction = Transaction::default();
        transaction.expect.push((keys::OWNER.to_owned(), self.term.fence));
        for ChangedJob { job, record, revision, is_ending, is_cancelled, .. } in &batch.jobs {
            let value = serde_json::to_vec(record).expect("a record can be written as JSON");
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

    async fn write_until_known(&self, batch: &Batch, transaction: &Transaction) -> WriteEnd {
        while self.is_valid() {
            match self.platform.commit(transaction).await {
                Ok(TransactionOutcome::Committed(revision)) => {
                    return WriteEnd::Durable(vec![revision; batch.jobs.len()]);
                }
                // An earlier try of this write whose answer was lost, or someone else's write.
                Ok(TransactionOutcome::Conflict(items)) => {
                    let revisions: Option<Vec<Revision>> = transaction
                        .puts
                        .iter()
                        .map(|(key, value, _)| {
                            let held = items.iter().find(|item| item.key == *key)?;
                            (held.value == *value).then_some(held.revision)
                        })
                        .collect();
                    return revisions.map_or(WriteEnd::Lost, WriteEnd::Durable);
                }
                Err(error) => {
                    let fields = json!({ "batch": batch.number, "why": error.to_string() });
                    self.events.emit("write_failed", fields);
                    if matches!(error, CallError::LeaseEnded) {
                        return WriteEnd::Lost;
                    }
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
            }
        }
        WriteEnd::Lost
    }
}

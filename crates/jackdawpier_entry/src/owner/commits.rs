//! Writing the fleet's changes in groups.

use std::{rc::Rc, time::Duration};

use jackdawpier_fleet::fleet::Batch;
use jackdawpier_kernel::ids::Revision;
use serde_json::json;

use super::Owner;
use crate::{
    clock, keys,
    metrics::Latency,
    ports::{CallError, Platform, Transaction, TransactionEnd},
};

/// Records in one transaction: a condition and a value each and the owner's key, of the 32 entries
/// that it may have.
const RECORDS_PER_WRITE: usize = 15;
/// Writes under way at once; they concern different jobs.
const WRITES_AT_ONCE: usize = 4;
/// Shortest time between two writes that aren't full: bounds them to some forty a second. It adds
/// half of it to each start, where objectives are two seconds and more.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);
/// Pause before a write is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(40);

enum WriteEnd {
    Durable(Vec<Revision>),
    Lost,
}

impl<P: Platform> Owner<P> {
    pub(super) async fn commit_loop(self: Rc<Self>) {
        let slots = Rc::new(tokio::sync::Semaphore::new(WRITES_AT_ONCE));
        while self.is_valid() {
            if !self.fleet.borrow().has_changes() {
                // Looks again by itself, so that the end of the term is noticed.
                let _ = tokio::time::timeout(Duration::from_millis(200), self.unwritten.notified())
                    .await;
                continue;
            }
            let permit = slots.acquire().await.expect("it is never closed");
            permit.forget();
            let batch = self.fleet.borrow_mut().take_batch(RECORDS_PER_WRITE);
            let Some(batch) = batch else {
                slots.add_permits(1);
                continue;
            };
            let is_full = batch.records.len() == RECORDS_PER_WRITE;
            let (owner, slots) = (self.clone(), slots.clone());
            tokio::task::spawn_local(async move {
                owner.write(batch).await;
                slots.add_permits(1);
            });
            if !is_full {
                tokio::time::sleep(WRITE_INTERVAL).await;
            }
        }
    }

    async fn write(self: &Rc<Self>, batch: Batch) {
        let began_at = clock::now();
        let end = self.write_until_known(&batch).await;
        self.events.metrics().took(Latency::Write, clock::since(began_at));
        match end {
            WriteEnd::Durable(revisions) => {
                self.fleet.borrow_mut().batch_durable(clock::now(), &batch, &revisions);
                self.log_finished();
                if self.is_valid() {
                    self.pump();
                    self.written.notify_waiters();
                }
            }
            WriteEnd::Lost => {
                self.events.emit("write_lost", json!({ "batch": batch.number }));
                self.term.lose();
            }
        }
    }

    fn log_finished(&self) {
        for job in self.fleet.borrow_mut().take_finished() {
            let fields = json!({
                "job": *job.job,
                "queue": *job.queue,
                "end": format!("{:?}", job.outcome),
                "took_ms": job.took.as_millis() as u64,
                "objective_ms": job.objective.as_millis() as u64,
                "most_failures": job.most_failures,
            });
            self.events.emit("job_over", fields);
        }
    }

    async fn write_until_known(&self, batch: &Batch) -> WriteEnd {
        let mut expect = vec![(keys::OWNER.to_owned(), self.term.fence)];
        expect
            .extend(batch.records.iter().map(|(job, _, revision)| (keys::record(job), *revision)));
        let puts = batch.records.iter().map(|(job, record, _)| {
            let value = serde_json::to_vec(record).expect("a record can be written as JSON");
            (keys::record(job), value, None)
        });
        let transaction = Transaction { expect, puts: puts.collect(), removes: Vec::new() };
        while self.is_valid() {
            match self.platform.commit(&transaction).await {
                Ok(TransactionEnd::Committed(revision)) => {
                    return WriteEnd::Durable(vec![revision; batch.records.len()]);
                }
                // An earlier try of this write whose answer was lost, or someone else's write.
                Ok(TransactionEnd::Conflict(items)) => {
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

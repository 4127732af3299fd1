//! Making changes durable in groups, and what may happen once they are.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    ids::{JobId, Revision},
};

use super::{Command, Fleet};
use crate::{
    job::Phase,
    order::objective,
    record::{JobOutcome, JobRecord},
    spec::{QueueName, TaskKey},
};

/// The durable end of a job, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedJob {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// How it ended.
    pub outcome: JobOutcome,
    /// Time from its begin, which is its acceptance if it isn't repeated.
    pub took: Duration,
    /// The time that it should have taken at most.
    pub objective: Duration,
    /// Failed runs of the task that failed most often.
    pub most_failures: u32,
}

/// Records to be written in one transaction.
#[derive(Debug)]
pub struct Batch {
    /// Number of the batch.
    pub number: u64,
    /// The jobs with their records and the revisions that the store has of them (0: none yet).
    pub records: Vec<(JobId, JobRecord, Revision)>,
    changes: Vec<u64>,
}

impl Fleet {
    /// Takes up to `most` changed jobs to be written. A job is in one batch at a time, so batches
    /// may be written side by side.
    pub fn take_batch(&mut self, most: usize) -> Option<Batch> {
        let mut records = Vec::new();
        let mut changes = Vec::new();
        let mut later = Vec::new();
        while records.len() < most {
            let Some(id) = self.dirty.pop_front() else { break };
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.is_writing {
                later.push(id);
                continue;
            }
            job.is_dirty = false;
            job.is_writing = true;
            changes.push(job.changes);
            records.push((id, job.record(), job.revision));
        }
        self.dirty.extend(later);
        if records.is_empty() {
            return None;
        }
        self.next_batch += 1;
        Some(Batch { number: self.next_batch, records, changes })
    }

    /// Whether something waits to be written.
    pub fn has_changes(&self) -> bool {
        self.dirty.iter().any(|id| self.jobs.get(id).is_some_and(|job| !job.is_writing))
    }

    /// A batch is durable at these revisions, one a record: its placements may be ordered, its ends
    /// acknowledged and its outcomes shown.
    pub fn batch_durable(&mut self, now: Now, batch: &Batch, revisions: &[Revision]) {
        let written = batch.records.iter().zip(&batch.changes).zip(revisions);
        for (((id, record, _), &changes), &revision) in written {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.is_writing = false;
            job.revision = revision;
            job.durable_changes = changes;
            if let Some(outcome) = record.outcome {
                let is_news = job.shown.replace(outcome).is_none();
                if is_news {
                    self.note_finished(now, id, outcome);
                }
                continue;
            }
            self.order_starts(id, record);
        }
    }

    fn note_finished(&mut self, now: Now, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get(id) else { return };
        let queue = self.queues.get(&job.queue);
        let worst = job.tasks.iter().max_by_key(|task| task.failures);
        self.finished.push(FinishedJob {
            job: id.clone(),
            queue: job.queue.clone(),
            outcome,
            took: now.saturating_sub(job.next_began_at()),
            objective: queue.map(|queue| objective(job, queue)).unwrap_or_default(),
            most_failures: worst.map_or(0, |task| task.failures),
        });
    }

    /// Jobs whose ends have become durable since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.finished)
    }

    fn order_starts(&mut self, id: &JobId, record: &JobRecord) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for (index, written) in record.tasks.iter().enumerate() {
            let Phase::Planned { executor } = &job.tasks[index].phase else { continue };
            let is_this_run = written.run == job.tasks[index].run;
            if !is_this_run || written.standing != crate::record::Standing::Placed(executor.clone())
            {
                continue;
            }
            let executor = executor.clone();
            let slot = job.slot(index);
            let ticket = self
                .advice
                .get(&(id.clone(), slot))
                .and_then(|advice| advice.tickets.get(&executor).cloned());
            let key: TaskKey = job.key(index);
            let task = &mut job.tasks[index];
            task.phase = Phase::Starting { executor: executor.clone() };
            self.commands.push(Command::Start {
                executor,
                task: key,
                run: task.run,
                payload: job.spec.payload.clone(),
                checkpoint: task.checkpoint.clone(),
                ticket,
            });
        }
    }

    /// Takes a batch back whose writing is certain to have had no effect.
    pub fn batch_refused(&mut self, batch: &Batch) {
        for (id, _, _) in &batch.records {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.is_writing = false;
            if !job.is_dirty {
                job.is_dirty = true;
                self.dirty.push_back(id.clone());
            }
        }
    }
}

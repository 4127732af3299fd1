//! Making changes durable in groups, and what may happen once they are.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, Revision},
};

use super::{Command, Fleet};
use crate::{
    job::{Phase, Task},
    order::objective,
    record::{JobOutcome, JobRecord},
    spec::{QueueName, TaskKey},
};

/// Rows of a job that is over and was cancelled: a condition, a value, and two keys removed.
const MOST_ROWS_PER_JOB: usize = 4;

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
    /// Executors that crashed under the task under which most did.
    pub most_crashes: usize,
}

/// A job whose record is to be written.
#[derive(Debug)]
pub struct ChangedJob {
    /// The job.
    pub job: JobId,
    /// Its record.
    pub record: JobRecord,
    /// Revision that the store has of the record; 0 if it has none.
    pub revision: Revision,
    /// The job is over with this write: what its caller handed in isn't needed any more.
    pub is_ending: bool,
    /// Its cancellation is in the store.
    pub is_cancelled: bool,
    changes: u64,
}

impl ChangedJob {
    /// Rows that it takes in a transaction: a condition, a value, and what is removed.
    pub fn rows(&self) -> usize {
        2 + usize::from(self.is_ending) * (1 + usize::from(self.is_cancelled))
    }
}

/// Records to be written in one transaction.
#[derive(Debug)]
pub struct Batch {
    /// Number of the batch.
    pub number: u64,
    /// The jobs.
    pub jobs: Vec<ChangedJob>,
}

impl Fleet {
    /// Takes changed jobs that fill up to `most_rows` rows of a transaction, see
    /// [`ChangedJob::rows`]. A job is in one batch at a time, so batches may be written side by side.
    pub fn take_batch(&mut self, most_rows: usize) -> Option<Batch> {
        let mut jobs: Vec<ChangedJob> = Vec::new();
        let mut rows = 0;
        let mut later = Vec::new();
        while rows + MOST_ROWS_PER_JOB <= most_rows {
            let Some(id) = self.changed_jobs.pop_front() else { break };
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.is_writing {
                later.push(id);
                continue;
            }
            job.is_dirty = false;
            job.is_writing = true;
            let changed = ChangedJob {
                job: id,
                record: job.record(),
                revision: job.revision,
                is_ending: job.is_over() && job.shown.is_none(),
                is_cancelled: job.is_cancelled,
                changes: job.changes,
            };
            rows += changed.rows();
            jobs.push(changed);
        }
        self.changed_jobs.extend(later);
        if jobs.is_empty() {
            return None;
        }
        self.next_batch += 1;
        Some(Batch { number: self.next_batch, jobs })
    }

    /// Whether something waits to be written.
    pub fn has_changes(&self) -> bool {
        self.changed_jobs.iter().any(|id| self.jobs.get(id).is_some_and(|job| !job.is_writing))
    }

    /// A batch is durable at these revisions, one a record: its placements may be ordered, its ends
    /// acknowledged and its outcomes shown.
    pub fn batch_durable(&mut self, now: Now, batch: &Batch, revisions: &[Revision]) {
        for (written, &revision) in batch.jobs.iter().zip(revisions) {
            let (id, record) = (&written.job, &written.record);
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.is_writing = false;
            job.revision = revision;
            job.durable_changes = written.changes;
            let settled = job.unsettled.extract_if(.., |(needed, _)| *needed <= written.changes);
            self.acknowledgeable.extend(settled.map(|(_, executor)| executor));
            if let Some(outcome) = record.outcome {
                let is_news = job.shown.replace(outcome).is_none();
                if is_news {
                    self.note_finished(now, id, outcome);
                }
                continue;
            }
            self.order_starts(now, id, record);
        }
    }

    fn note_finished(&mut self, now: Now, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get(id) else { return };
        let queue = self.queues.get(&job.queue);
        let worst = job.tasks.iter().max_by_key(|task| task.failures());
        self.finished.push(FinishedJob {
            job: id.clone(),
            queue: job.queue.clone(),
            outcome,
            took: now.saturating_sub(job.next_began_at()),
            objective: queue.map(|queue| objective(job, queue)).unwrap_or_default(),
            most_failures: worst.map_or(0, Task::failures),
            most_crashes: job.tasks.iter().map(|task| task.crashes().len()).max().unwrap_or(0),
        });
    }

    /// Jobs whose ends have become durable since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.finished)
    }

    /// Executors of which more ends have become durable since the last call, so that more of them may be
    /// acknowledged. One may be named several times.
    pub fn take_acknowledgeable(&mut self) -> Vec<ExecutorId> {
        std::mem::take(&mut self.acknowledgeable)
    }

    fn order_starts(&mut self, now: Now, id: &JobId, record: &JobRecord) {
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
            task.ordered_at = now;
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
        for written in &batch.jobs {
            let Some(job) = self.jobs.get_mut(&written.job) else { continue };
            job.is_writing = false;
            if !job.is_dirty {
                job.is_dirty = true;
                self.changed_jobs.push_back(written.job.clone());
            }
        }
    }
}

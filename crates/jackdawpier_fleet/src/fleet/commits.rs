//! Commits changed jobs to the store in batches, and acts on them once they are durable.

use std::time::Duration;

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, Revision},
};

use super::{Command, Fleet};
use crate::{
    advice::StepKey,
    job::{Job, Phase, TaskIndex},
    job_rank::objective,
    record::{JobOutcome, JobRecord},
    spec::{QueueName, RunNumber, TaskKey},
};

/// Maximum number of transaction rows per job, that of an ended and cancelled one: a condition, a
/// value, and two removed keys.
const MAX_ROWS_PER_JOB: usize = 4;

/// A job whose end is durable, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedJob {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// How it ended.
    pub outcome: JobOutcome,
    /// Time from its start, which is its acceptance if it isn't repeated.
    pub duration: Duration,
    /// Its latency objective.
    pub objective: Duration,
    /// Failed runs of the task that failed most often.
    pub most_failures: u32,
    /// Number of crashes that count against the task with most of them.
    pub most_crashes: usize,
}

/// A task whose placement is written.
#[derive(Debug)]
struct PlannedStart {
    index: TaskIndex,
    run: RunNumber,
    executor: ExecutorId,
}

/// A changed job with the record to write.
#[derive(Debug)]
pub struct ChangedJob {
    /// The job.
    pub job: JobId,
    /// Its record. It isn't read again, so that whoever has encoded it may take it.
    pub record: JobRecord,
    /// Revision of the record in the store; 0 if the store has none.
    pub revision: Revision,
    /// The job ends with this write, so its submission is removed.
    pub is_ending: bool,
    /// The job was cancelled, so its cancellation key is removed as well.
    pub is_cancelled: bool,
    changes: u64,
    outcome: Option<JobOutcome>,
    planned_starts: Vec<PlannedStart>,
}

impl ChangedJob {
    /// Returns its number of rows in a transaction: a condition, a value, and the removed keys.
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

/// Takes the change of a job that is about to be written.
fn take_change(id: JobId, job: &mut Job) -> ChangedJob {
    job.is_dirty = false;
    job.is_writing = true;
    let planned_starts = job.tasks.placed().filter_map(|(index, task)| match &task.phase {
        Phase::Planned { executor } => {
            Some(PlannedStart { index, run: task.run, executor: executor.clone() })
        }
        _ => None,
    });
    ChangedJob {
        job: id,
        record: job.record(),
        revision: job.revision,
        is_ending: job.is_over() && job.durable_outcome.is_none(),
        is_cancelled: job.is_cancelled,
        changes: job.changes,
        outcome: job.outcome,
        planned_starts: planned_starts.collect(),
    }
}

impl Fleet {
    /// Takes a batch of changed jobs with at most `max_rows` rows in a transaction, see
    /// [`ChangedJob::rows`], and with records of at most about `max_bytes`, unless there is only one. A job is in one
    /// batch at a time, so batches may be written concurrently.
    pub fn take_batch(&mut self, max_rows: usize, max_bytes: usize) -> Option<Batch> {
        let mut jobs: Vec<ChangedJob> = Vec::new();
        let (mut rows, mut bytes) = (0, 0);
        let mut deferred = Vec::new();
        while rows + MAX_ROWS_PER_JOB <= max_rows {
            let Some(id) = self.changed_jobs.pop_front() else { break };
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.is_writing {
                deferred.push(id);
                continue;
            }
            bytes += job.record_bytes();
            if bytes > max_bytes && !jobs.is_empty() {
                self.changed_jobs.push_front(id);
                break;
            }
            let changed = take_change(id, job);
            rows += changed.rows();
            jobs.push(changed);
        }
        self.changed_jobs.extend(deferred);
        if jobs.is_empty() {
            return None;
        }
        self.next_batch += 1;
        Some(Batch { number: self.next_batch, jobs })
    }

    /// Returns whether changed jobs wait to be written.
    pub fn has_changes(&self) -> bool {
        self.changed_jobs.iter().any(|id| self.jobs.get(id).is_some_and(|job| !job.is_writing))
    }

    /// Handles a batch that is durable at `revisions`, one per record: its placements may be ordered, its
    /// ends acknowledged and its outcomes shown.
    pub fn batch_durable(&mut self, now: Now, batch: &Batch, revisions: &[Revision]) {
        for (written, &revision) in batch.jobs.iter().zip(revisions) {
            let id = &written.job;
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.is_writing = false;
            job.revision = revision;
            job.durable_changes = written.changes;
            let acknowledgeable =
                job.unacknowledged_ends.extract_if(.., |(needed, _)| *needed <= written.changes);
            self.acknowledgeable.extend(acknowledgeable.map(|(_, executor)| executor));
            if let Some(outcome) = written.outcome {
                let is_first_time = job.durable_outcome.replace(outcome).is_none();
                if is_first_time {
                    self.record_finished_job(now, id, outcome);
                }
                self.reduce_if_settled(id);
                continue;
            }
            self.order_starts(now, id, &written.planned_starts);
        }
    }

    fn record_finished_job(&mut self, now: Now, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get(id) else { return };
        let queue = self.queues.get(&job.queue);
        self.finished.push(FinishedJob {
            job: id.clone(),
            queue: job.queue.clone(),
            outcome,
            duration: now.saturating_sub(job.next_occurrence_began_at()),
            objective: queue.map(|queue| objective(job, queue)).unwrap_or_default(),
            most_failures: job.tasks.most_failures(),
            most_crashes: job.tasks.most_crashes(),
        });
    }

    /// Takes the jobs whose ends have become durable since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.finished)
    }

    /// Takes the executors of which further ends may be acknowledged, because they have become durable since
    /// the last call. May contain duplicates.
    pub fn take_acknowledgeable(&mut self) -> Vec<ExecutorId> {
        std::mem::take(&mut self.acknowledgeable)
    }

    fn order_starts(&mut self, now: Now, id: &JobId, planned_starts: &[PlannedStart]) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for PlannedStart { index, run, executor } in planned_starts {
            let task = &job.tasks[*index];
            let is_planned = task.phase == Phase::Planned { executor: executor.clone() };
            if !is_planned || task.run != *run {
                continue;
            }
            let executor = executor.clone();
            let key: TaskKey = job.key(*index);
            let ticket = self.advice.ticket(&StepKey::from(&key), &executor);
            let task = &mut job.tasks[*index];
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

    /// Handles a batch whose write is certain to have had no effect: its jobs are queued for writing again.
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

//! Durable job queue of one shard: acceptance, claims, task leases, completion and preemption.

mod placement;
mod tasks;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    fair_queue::FairQueue,
    ids::{ClassName, JobId, Ticket, WorkerId},
    task::{StartTask, TaskAction, TaskCommand, TaskReport, TaskResources},
};
use jackdawpier_settings::declaration::Class;

use crate::{
    failures::FailureTracker,
    job::{Job, JobState},
    size_estimator::SizeEstimator,
    workers::{WorkerInfo, Workers},
};

/// Action that the queue requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Write this state durably and pass the number of the write to [`JobQueue::on_write_queued`].
    Write(Job),
    /// Answer the caller that the job is accepted; it is durable.
    Accepted(JobId),
    /// Start this task and pass the outcome to [`JobQueue::on_start_outcome`].
    Start {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: StartTask,
    },
    /// Send this task command to the worker.
    Send {
        /// The worker.
        worker: WorkerId,
        /// The command.
        command: TaskCommand,
    },
    /// Drop the state of this job, whose retention is over.
    Forget(JobId),
}

/// Outcome of the request to start a task.
#[derive(Debug, Clone, PartialEq)]
pub enum StartOutcome {
    /// The worker answered.
    Reported(TaskReport),
    /// The request was not sent.
    NotSent,
    /// The request was sent but not answered; the task may run.
    Unanswered,
}

/// Progress of a job, including writes that are not durable yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The first write is in flight.
    Accepting,
    Queued,
    /// The write of the claim is in flight.
    Claiming,
    /// The request to start the task is in flight.
    Starting,
    Running,
    /// The write of a final state, or of a return to the queue, is in flight.
    Finishing,
    Finished,
}

#[derive(Debug)]
struct TrackedJob {
    job: Job,
    phase: Phase,
    ticket: Ticket,
    /// Number of the latest write of this job.
    last_write: u64,
    reserved: TaskResources,
    renewed_at: Now,
    /// When the start of the current attempt was requested.
    started_at: Now,
    is_stopping: bool,
    is_cancelled: bool,
}

impl TrackedJob {
    fn worker(&self) -> Option<&WorkerId> {
        match &self.job.state {
            JobState::Claimed { worker } => Some(worker),
            _ => None,
        }
    }

    fn command(&self, action: TaskAction) -> Option<Command> {
        let worker = self.worker()?.clone();
        let command = TaskCommand { job: self.job.id.clone(), attempt: self.job.attempts, action };
        Some(Command::Send { worker, command })
    }
}

#[derive(Debug)]
struct ClassQueue {
    finish_within: Duration,
    queue: FairQueue,
    /// No placement is tried for this class before then.
    retry_placement_at: Now,
    /// Tasks being stopped to make room for the head of this class.
    preempting: BTreeSet<JobId>,
}

/// Durable job queue of one shard.
#[derive(Debug)]
pub struct JobQueue {
    task_lease: Duration,
    retention: Duration,
    classes: BTreeMap<ClassName, ClassQueue>,
    jobs: HashMap<JobId, TrackedJob>,
    tickets: HashMap<Ticket, JobId>,
    next_ticket: Ticket,
    /// Writes in flight, by number.
    uncommitted: VecDeque<(u64, JobId)>,
    /// Jobs assigned to a worker, from the claim until the end of the attempt.
    claimed: BTreeSet<JobId>,
    by_worker: BTreeMap<WorkerId, BTreeSet<JobId>>,
    /// When the retention of each finished job ends.
    retained_until: BTreeSet<(Now, JobId)>,
    workers: Workers,
    size_estimator: SizeEstimator,
    failures: FailureTracker,
}

impl JobQueue {
    /// Creates an empty queue that keeps finished jobs for `retention`.
    pub fn new(task_lease: Duration, retention: Duration) -> Self {
        Self {
            task_lease,
            retention,
            classes: BTreeMap::new(),
            jobs: HashMap::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            uncommitted: VecDeque::new(),
            claimed: BTreeSet::new(),
            by_worker: BTreeMap::new(),
            retained_until: BTreeSet::new(),
            workers: Workers::default(),
            size_estimator: SizeEstimator::default(),
            failures: FailureTracker::default(),
        }
    }

    /// Sets the parameters of the shard's classes.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a Class>) {
        for class in classes {
            self.ensure_class(&class.name).finish_within = class.finish_within();
        }
    }

    fn ensure_class(&mut self, name: &ClassName) -> &mut ClassQueue {
        self.classes.entry(name.clone()).or_insert_with(|| ClassQueue {
            finish_within: Duration::from_secs(3600),
            queue: FairQueue::default(),
            retry_placement_at: Now::ZERO,
            preempting: BTreeSet::new(),
        })
    }

    /// Adds or updates a worker.
    pub fn upsert_worker(&mut self, info: WorkerInfo) {
        self.workers.upsert(info);
    }

    /// Removes the workers for which `keep` returns false. Their tasks stay until their leases expire.
    pub fn retain_workers(&mut self, keep: impl Fn(&str) -> bool) {
        let removed: Vec<WorkerId> = self.workers.ids().filter(|id| !keep(id)).cloned().collect();
        removed.iter().for_each(|id| self.workers.remove(id));
    }

    /// Returns the workers, for reports.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Returns the workers that have tasks.
    pub fn busy_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.by_worker.keys()
    }

    /// Returns the failures of jobs and workers, for reports.
    pub fn failures(&self) -> &FailureTracker {
        &self.failures
    }

    /// Returns a job by id.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id).map(|tracked| &tracked.job)
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().map(|tracked| &tracked.job)
    }

    /// Submits a job, which is accepted once it is durable. Submissions are idempotent: a known job
    /// isn't changed, and is accepted again if it is durable.
    pub fn submit(&mut self, job: Job) -> Vec<Command> {
        if let Some(tracked) = self.jobs.get(&job.id) {
            let is_durable = tracked.phase != Phase::Accepting;
            return is_durable.then_some(Command::Accepted(job.id)).into_iter().collect();
        }
        self.insert(job.clone(), Phase::Accepting);
        vec![Command::Write(job)]
    }

    fn insert(&mut self, job: Job, phase: Phase) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, job.id.clone());
        let tracked = TrackedJob {
            phase,
            ticket,
            last_write: 0,
            reserved: TaskResources::default(),
            renewed_at: Now::ZERO,
            started_at: Now::ZERO,
            is_stopping: false,
            is_cancelled: false,
            job,
        };
        self.jobs.insert(tracked.job.id.clone(), tracked);
        ticket
    }

    /// Restores a durable job of an earlier owner. A claimed job may be running, so its worker is
    /// queried, and its task lease counts from `now`.
    pub fn recover(&mut self, now: Now, job: Job) {
        let id = job.id.clone();
        let (class, customer) = (job.class.clone(), job.customer.clone());
        match &job.state {
            JobState::Queued => {
                let ticket = self.insert(job, Phase::Queued);
                self.ensure_class(&class).queue.push(&customer, ticket);
            }
            JobState::Claimed { worker } => {
                let worker = worker.clone();
                let reserved = self.size_estimator.estimate(&class, &customer, job.declared);
                self.insert(job, Phase::Running);
                self.workers.reserve(&worker, &reserved);
                let tracked = self.jobs.get_mut(&id).expect("inserted above");
                tracked.renewed_at = now;
                tracked.reserved = reserved;
                self.claimed.insert(id.clone());
                self.by_worker.entry(worker).or_default().insert(id);
            }
            JobState::Done | JobState::Cancelled => {
                self.insert(job, Phase::Finished);
                self.retained_until.insert((now + self.retention, id));
            }
            JobState::Parked { .. } => {
                self.insert(job, Phase::Finished);
            }
        }
    }

    /// Records that write `number` carries the latest state of `job`.
    pub fn on_write_queued(&mut self, number: u64, job: JobId) {
        if let Some(tracked) = self.jobs.get_mut(&job) {
            tracked.last_write = number;
        }
        self.uncommitted.push_back((number, job));
    }

    /// Advances the jobs whose writes up to number `up_to` are now durable.
    pub fn on_committed(&mut self, now: Now, up_to: u64) -> Vec<Command> {
        let count = self.uncommitted.iter().take_while(|(number, _)| *number <= up_to).count();
        let durable: Vec<(u64, JobId)> = self.uncommitted.drain(..count).collect();
        durable.iter().flat_map(|(number, id)| self.on_durable(now, *number, id)).collect()
    }

    fn on_durable(&mut self, now: Now, number: u64, id: &JobId) -> Vec<Command> {
        let task_lease = self.task_lease;
        let Some(tracked) = self.jobs.get_mut(id) else { return Vec::new() };
        if number < tracked.last_write {
            // Superseded by an operator's decision on the parked job, whose write is in flight.
            return Vec::new();
        }
        match tracked.phase {
            Phase::Accepting => {
                let accepted = vec![Command::Accepted(id.clone())];
                if tracked.is_cancelled {
                    return accepted
                        .into_iter()
                        .chain(self.finish(id, JobState::Cancelled))
                        .collect();
                }
                self.enqueue(id);
                accepted
            }
            Phase::Claiming => {
                let Some(worker) = tracked.worker().cloned() else { return Vec::new() };
                if tracked.is_cancelled {
                    // The start wasn't requested yet, so the claim is withdrawn without a wait.
                    self.release_worker(id);
                    return self.finish(id, JobState::Cancelled);
                }
                tracked.phase = Phase::Starting;
                tracked.renewed_at = now;
                tracked.started_at = now;
                let job = &tracked.job;
                let task = StartTask {
                    job: id.clone(),
                    attempt: job.attempts,
                    class: job.class.clone(),
                    customer: job.customer.clone(),
                    size: job.declared,
                    lease_ms: task_lease.as_millis() as u64,
                    payload: job.payload.clone(),
                };
                vec![Command::Start { worker, task }]
            }
            Phase::Finishing if tracked.job.state == JobState::Queued => {
                self.enqueue(id);
                Vec::new()
            }
            Phase::Finishing => {
                tracked.phase = Phase::Finished;
                if !matches!(tracked.job.state, JobState::Parked { .. }) {
                    self.retained_until.insert((now + self.retention, id.clone()));
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn enqueue(&mut self, id: &JobId) {
        let Some(tracked) = self.jobs.get_mut(id) else { return };
        tracked.phase = Phase::Queued;
        tracked.is_stopping = false;
        let (class, customer, ticket) =
            (tracked.job.class.clone(), tracked.job.customer.clone(), tracked.ticket);
        self.ensure_class(&class).queue.push(&customer, ticket);
    }

    /// Writes the state in which the job is queued again or finished.
    fn finish(&mut self, id: &JobId, state: JobState) -> Vec<Command> {
        let Some(tracked) = self.jobs.get_mut(id) else { return Vec::new() };
        tracked.phase = Phase::Finishing;
        tracked.job.state = state;
        if tracked.job.state.is_final() {
            self.failures.forget_job(id);
        }
        vec![Command::Write(self.jobs[id].job.clone())]
    }

    /// Releases the reservation of a job on its worker.
    fn release_worker(&mut self, id: &JobId) {
        let Some(tracked) = self.jobs.get_mut(id) else { return };
        let Some(worker) = tracked.worker().cloned() else { return };
        let reserved = std::mem::take(&mut tracked.reserved);
        self.workers.release(&worker, &reserved);
        self.claimed.remove(id);
        self.classes.values_mut().for_each(|class| {
            class.preempting.remove(id);
        });
        if let Some(jobs) = self.by_worker.get_mut(&worker) {
            jobs.remove(id);
            if jobs.is_empty() {
                self.by_worker.remove(&worker);
            }
        }
    }

    /// Cancels a job. Returns false if the job is unknown or finished, or its attempt has just ended.
    pub fn cancel(&mut self, id: &JobId) -> (bool, Vec<Command>) {
        let Some(tracked) = self.jobs.get_mut(id) else { return (false, Vec::new()) };
        match tracked.phase {
            Phase::Finished | Phase::Finishing => (false, Vec::new()),
            Phase::Accepting | Phase::Claiming => {
                tracked.is_cancelled = true;
                (true, Vec::new())
            }
            Phase::Queued => {
                let (class, customer, ticket) =
                    (tracked.job.class.clone(), tracked.job.customer.clone(), tracked.ticket);
                self.ensure_class(&class).queue.remove(&customer, ticket);
                (true, self.finish(id, JobState::Cancelled))
            }
            Phase::Starting | Phase::Running => {
                tracked.is_cancelled = true;
                tracked.is_stopping = true;
                (true, tracked.command(TaskAction::Stop).into_iter().collect())
            }
        }
    }

    /// Applies an operator's decision on a parked job: queues it again or cancels it. Returns whether
    /// the job was parked. A job counts as parked before its parking is durable, because it is
    /// already reported as parked and a decision made at once must not be dropped.
    pub fn resolve_parked(&mut self, id: &JobId, is_retry: bool) -> (bool, Vec<Command>) {
        let is_parked = self.jobs.get(id).is_some_and(|tracked| {
            matches!(tracked.phase, Phase::Finishing | Phase::Finished)
                && matches!(tracked.job.state, JobState::Parked { .. })
        });
        if !is_parked {
            return (false, Vec::new());
        }
        self.failures.forget_job(id);
        let state = if is_retry { JobState::Queued } else { JobState::Cancelled };
        (true, self.finish(id, state))
    }

    /// Removes jobs past their retention, expires task leases and places queued jobs.
    pub fn tick(&mut self, now: Now) -> Vec<Command> {
        let mut commands = self.expire_finished(now);
        commands.extend(self.expire_task_leases(now));
        commands.extend(self.place(now));
        commands
    }

    fn expire_finished(&mut self, now: Now) -> Vec<Command> {
        let mut commands = Vec::new();
        while self.retained_until.first().is_some_and(|(at, _)| *at <= now) {
            let (_, id) = self.retained_until.pop_first().expect("checked by the loop condition");
            if let Some(tracked) = self.jobs.remove(&id) {
                self.tickets.remove(&tracked.ticket);
            }
            commands.push(Command::Forget(id));
        }
        commands
    }
}

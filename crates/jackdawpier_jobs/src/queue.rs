//! The durable job queue of one shard: acceptance, claims, leases, ends and preemption.

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

/// What the queue wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Make this state durable and call [`JobQueue::on_write_queued`] with the number of the write.
    Write(Job),
    /// The job is durable: tell its caller that it is accepted.
    Accepted(JobId),
    /// Start this task and report by [`JobQueue::on_start_outcome`].
    Start {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: StartTask,
    },
    /// Send this about a task.
    Send {
        /// The worker.
        worker: WorkerId,
        /// The command.
        command: TaskCommand,
    },
    /// The last state of this job may be forgotten.
    Forget(JobId),
}

/// How the attempt to start a task ended.
#[derive(Debug, Clone, PartialEq)]
pub enum StartOutcome {
    /// The worker answered.
    Reported(TaskReport),
    /// Nothing was sent.
    NotSent,
    /// No answer came; the task may run.
    Unanswered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Accepting,
    Queued,
    Claiming,
    Starting,
    Running,
    Ending,
    Over,
}

#[derive(Debug)]
struct Live {
    job: Job,
    phase: Phase,
    ticket: Ticket,
    /// Number of the write that carries the last state.
    last_write: u64,
    reserved: TaskResources,
    renewed_at: Now,
    /// When its present run was ordered.
    started_at: Now,
    is_stopping: bool,
    is_cancelled: bool,
}

impl Live {
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
    no_room_until: Now,
    /// Tasks being stopped to make room for the head of this class.
    preempting: BTreeSet<JobId>,
}

/// The jobs of one shard.
#[derive(Debug)]
pub struct JobQueue {
    task_lease: Duration,
    retention: Duration,
    classes: BTreeMap<ClassName, ClassQueue>,
    jobs: HashMap<JobId, Live>,
    tickets: HashMap<Ticket, JobId>,
    next_ticket: Ticket,
    uncommitted: VecDeque<(u64, JobId)>,
    running: BTreeSet<JobId>,
    by_worker: BTreeMap<WorkerId, BTreeSet<JobId>>,
    expiring: BTreeSet<(Now, JobId)>,
    workers: Workers,
    size_estimator: SizeEstimator,
    failures: FailureTracker,
}

impl JobQueue {
    /// Returns an empty queue. Finished jobs are shown for `retention`.
    pub fn new(task_lease: Duration, retention: Duration) -> Self {
        Self {
            task_lease,
            retention,
            classes: BTreeMap::new(),
            jobs: HashMap::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            uncommitted: VecDeque::new(),
            running: BTreeSet::new(),
            by_worker: BTreeMap::new(),
            expiring: BTreeSet::new(),
            workers: Workers::default(),
            size_estimator: SizeEstimator::default(),
            failures: FailureTracker::default(),
        }
    }

    /// Takes over the classes of the shard.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a Class>) {
        for class in classes {
            self.ensure_class(&class.name).finish_within = class.finish_within();
        }
    }

    fn ensure_class(&mut self, name: &ClassName) -> &mut ClassQueue {
        self.classes.entry(name.clone()).or_insert_with(|| ClassQueue {
            finish_within: Duration::from_secs(3600),
            queue: FairQueue::default(),
            no_room_until: Now::ZERO,
            preempting: BTreeSet::new(),
        })
    }

    /// Adds or updates a worker.
    pub fn upsert_worker(&mut self, info: WorkerInfo) {
        self.workers.upsert(info);
    }

    /// Forgets the workers that `keep` refuses. Their tasks wait out their leases.
    pub fn retain_workers(&mut self, keep: impl Fn(&str) -> bool) {
        let gone: Vec<WorkerId> = self.workers.ids().filter(|id| !keep(id)).cloned().collect();
        gone.iter().for_each(|id| self.workers.remove(id));
    }

    /// The workers, for reports.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Workers that have tasks to ask about.
    pub fn busy_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.by_worker.keys()
    }

    /// Failures of jobs and workers, for reports.
    pub fn failures(&self) -> &FailureTracker {
        &self.failures
    }

    /// One job.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id).map(|live| &live.job)
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().map(|live| &live.job)
    }

    /// Takes a job in; it is accepted once durable. A job that is known already is not changed,
    /// so that a repeated submission does no harm: it is accepted again if it is durable.
    pub fn submit(&mut self, job: Job) -> Vec<Command> {
        if let Some(live) = self.jobs.get(&job.id) {
            let is_durable = live.phase != Phase::Accepting;
            return is_durable.then_some(Command::Accepted(job.id)).into_iter().collect();
        }
        self.insert(job.clone(), Phase::Accepting);
        vec![Command::Write(job)]
    }

    fn insert(&mut self, job: Job, phase: Phase) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, job.id.clone());
        let live = Live {
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
        self.jobs.insert(live.job.id.clone(), live);
        ticket
    }

    /// Takes over a durable job from an earlier owner. A claimed one may be running: its worker
    /// is asked, and its lease is waited out from now.
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
                let live = self.jobs.get_mut(&id).expect("it was just inserted");
                live.renewed_at = now;
                live.reserved = reserved;
                self.running.insert(id.clone());
                self.by_worker.entry(worker).or_default().insert(id);
            }
            JobState::Done | JobState::Cancelled => {
                self.insert(job, Phase::Over);
                self.expiring.insert((now + self.retention, id));
            }
            JobState::Parked { .. } => {
                self.insert(job, Phase::Over);
            }
        }
    }

    /// Says that durable write `number` carries the last state of `job`.
    pub fn on_write_queued(&mut self, number: u64, job: JobId) {
        if let Some(live) = self.jobs.get_mut(&job) {
            live.last_write = number;
        }
        self.uncommitted.push_back((number, job));
    }

    /// Goes on with the jobs whose last state is durable now.
    pub fn on_committed(&mut self, now: Now, up_to: u64) -> Vec<Command> {
        let count = self.uncommitted.iter().take_while(|(number, _)| *number <= up_to).count();
        let durable: Vec<(u64, JobId)> = self.uncommitted.drain(..count).collect();
        durable.iter().flat_map(|(number, id)| self.on_durable(now, *number, id)).collect()
    }

    fn on_durable(&mut self, now: Now, number: u64, id: &JobId) -> Vec<Command> {
        let task_lease = self.task_lease;
        let Some(live) = self.jobs.get_mut(id) else { return Vec::new() };
        if number < live.last_write {
            // An operator has decided on the parked job since: only its last state counts.
            return Vec::new();
        }
        match live.phase {
            Phase::Accepting => {
                let accepted = vec![Command::Accepted(id.clone())];
                if live.is_cancelled {
                    return accepted
                        .into_iter()
                        .chain(self.finish(id, JobState::Cancelled))
                        .collect();
                }
                self.enqueue(id);
                accepted
            }
            Phase::Claiming => {
                let Some(worker) = live.worker().cloned() else { return Vec::new() };
                if live.is_cancelled {
                    // Nothing was sent yet, so the claim can be taken back without a wait.
                    self.free_worker(id);
                    return self.finish(id, JobState::Cancelled);
                }
                live.phase = Phase::Starting;
                live.renewed_at = now;
                live.started_at = now;
                let job = &live.job;
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
            Phase::Ending if live.job.state == JobState::Queued => {
                self.enqueue(id);
                Vec::new()
            }
            Phase::Ending => {
                live.phase = Phase::Over;
                if !matches!(live.job.state, JobState::Parked { .. }) {
                    self.expiring.insert((now + self.retention, id.clone()));
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn enqueue(&mut self, id: &JobId) {
        let Some(live) = self.jobs.get_mut(id) else { return };
        live.phase = Phase::Queued;
        live.is_stopping = false;
        let (class, customer, ticket) =
            (live.job.class.clone(), live.job.customer.clone(), live.ticket);
        self.ensure_class(&class).queue.push(&customer, ticket);
    }

    /// Writes a state after which the job waits again or is over.
    fn finish(&mut self, id: &JobId, state: JobState) -> Vec<Command> {
        let Some(live) = self.jobs.get_mut(id) else { return Vec::new() };
        live.phase = Phase::Ending;
        live.job.state = state;
        if live.job.state.is_final() {
            self.failures.forget_job(id);
        }
        vec![Command::Write(self.jobs[id].job.clone())]
    }

    /// Gives the worker's reservation back.
    fn free_worker(&mut self, id: &JobId) {
        let Some(live) = self.jobs.get_mut(id) else { return };
        let Some(worker) = live.worker().cloned() else { return };
        let reserved = std::mem::take(&mut live.reserved);
        self.workers.release(&worker, &reserved);
        self.running.remove(id);
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

    /// Cancels a job. Returns whether it can still be cancelled.
    pub fn cancel(&mut self, id: &JobId) -> (bool, Vec<Command>) {
        let Some(live) = self.jobs.get_mut(id) else { return (false, Vec::new()) };
        match live.phase {
            Phase::Over | Phase::Ending => (false, Vec::new()),
            Phase::Accepting | Phase::Claiming => {
                live.is_cancelled = true;
                (true, Vec::new())
            }
            Phase::Queued => {
                let (class, customer, ticket) =
                    (live.job.class.clone(), live.job.customer.clone(), live.ticket);
                self.ensure_class(&class).queue.remove(&customer, ticket);
                (true, self.finish(id, JobState::Cancelled))
            }
            Phase::Starting | Phase::Running => {
                live.is_cancelled = true;
                live.is_stopping = true;
                (true, live.command(TaskAction::Stop).into_iter().collect())
            }
        }
    }

    /// Carries an operator's decision on a parked job out: it waits again from now on, or is given
    /// up. Returns whether the job was parked; it is from the moment that it is shown so, also
    /// while the store has yet to confirm it, or a decision made at once would be lost unseen.
    pub fn resolve_parked(&mut self, id: &JobId, runs_again: bool) -> (bool, Vec<Command>) {
        let is_parked = self.jobs.get(id).is_some_and(|live| {
            matches!(live.phase, Phase::Ending | Phase::Over)
                && matches!(live.job.state, JobState::Parked { .. })
        });
        if !is_parked {
            return (false, Vec::new());
        }
        self.failures.forget_job(id);
        let state = if runs_again { JobState::Queued } else { JobState::Cancelled };
        (true, self.finish(id, state))
    }

    /// Forgets old jobs, gives silent tasks up, and places what fits.
    pub fn tick(&mut self, now: Now) -> Vec<Command> {
        let mut commands = self.expire(now);
        commands.extend(self.expire_task_leases(now));
        commands.extend(self.place(now));
        commands
    }

    fn expire(&mut self, now: Now) -> Vec<Command> {
        let mut commands = Vec::new();
        while self.expiring.first().is_some_and(|(at, _)| *at <= now) {
            let (_, id) = self.expiring.pop_first().expect("it was there above");
            if let Some(live) = self.jobs.remove(&id) {
                self.tickets.remove(&live.ticket);
            }
            commands.push(Command::Forget(id));
        }
        commands
    }
}

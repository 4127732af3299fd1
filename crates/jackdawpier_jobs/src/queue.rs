//! The durable job queue of one shard: acceptance, claims, leases, ends and preemption.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    fair_queue::FairQueue,
    ids::{ClassName, JobId, Ticket, WorkerId},
    task::{Size, StartTask, TaskAction, TaskCommand, TaskReport, TaskState},
};
use jackdawpier_settings::declaration::Class;

use crate::{
    blame::{Blame, Verdict},
    job::{Job, JobState, ParkReason},
    learning::Learning,
    workers::{WorkerInfo, Workers},
};

/// Renewals a task lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Waited beyond a task lease before a silent task is taken for stopped.
const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// A class may preempt another whose time to finish is this many times longer.
const PREEMPTION_RATIO: u32 = 10;
/// Jobs placed in one pass, so that a pass takes bounded time.
const MAX_PLACEMENTS: usize = 64;
/// Tasks looked at for one preemption.
const MAX_VICTIMS: usize = 256;
/// Wait after a pass that found no room for the head of a class.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(200);

/// What the queue wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Make this state durable and call [`JobQueue::recording`] with the number of the write.
    Write(Job),
    /// The job is durable: tell its caller that it is accepted.
    Accepted(JobId),
    /// Start this task and report by [`JobQueue::start_ended`].
    Start {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: StartTask,
    },
    /// Send this about a task.
    Tell {
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
pub enum StartEnd {
    /// The worker answered.
    Reported(TaskReport),
    /// Nothing was sent.
    NotSent,
    /// No answer came; the task may run.
    Lost,
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
    reserved: Size,
    renewed_at: Now,
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
        Some(Command::Tell { worker, command })
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
    by_worker: HashMap<WorkerId, BTreeSet<JobId>>,
    expiring: BTreeSet<(Now, JobId)>,
    workers: Workers,
    learning: Learning,
    blame: Blame,
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
            by_worker: HashMap::new(),
            expiring: BTreeSet::new(),
            workers: Workers::default(),
            learning: Learning::default(),
            blame: Blame::default(),
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
    pub fn blame(&self) -> &Blame {
        &self.blame
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
            reserved: Size::default(),
            renewed_at: Now::ZERO,
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
                let reserved = self.learning.expected(&class, &customer, job.declared);
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
    pub fn recording(&mut self, number: u64, job: JobId) {
        self.uncommitted.push_back((number, job));
    }

    /// Goes on with the jobs whose last state is durable now.
    pub fn committed(&mut self, now: Now, up_to: u64) -> Vec<Command> {
        let count = self.uncommitted.iter().take_while(|(number, _)| *number <= up_to).count();
        let ids: Vec<JobId> = self.uncommitted.drain(..count).map(|(_, id)| id).collect();
        ids.iter().flat_map(|id| self.on_durable(now, id)).collect()
    }

    fn on_durable(&mut self, now: Now, id: &JobId) -> Vec<Command> {
        let task_lease = self.task_lease;
        let Some(live) = self.jobs.get_mut(id) else { return Vec::new() };
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
            self.blame.forget(id);
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
    /// up. Returns whether the job was parked.
    pub fn unpark(&mut self, id: &JobId, runs_again: bool) -> (bool, Vec<Command>) {
        let is_parked = self.jobs.get(id).is_some_and(|live| {
            live.phase == Phase::Over && matches!(live.job.state, JobState::Parked { .. })
        });
        if !is_parked {
            return (false, Vec::new());
        }
        self.blame.forget(id);
        let state = if runs_again { JobState::Queued } else { JobState::Cancelled };
        (true, self.finish(id, state))
    }

    /// Learns how the start of a task went.
    pub fn start_ended(
        &mut self,
        now: Now,
        id: &JobId,
        attempt: u32,
        end: StartEnd,
    ) -> Vec<Command> {
        let Some(live) = self.jobs.get_mut(id) else { return Vec::new() };
        if live.phase != Phase::Starting || live.job.attempts != attempt {
            return Vec::new();
        }
        match end {
            StartEnd::Reported(report) => {
                live.phase = Phase::Running;
                self.on_report(now, &report)
            }
            StartEnd::NotSent => {
                let worker = live.worker().cloned();
                let is_cancelled = live.is_cancelled;
                self.free_worker(id);
                if let Some(worker) = worker {
                    self.leave_out(&worker);
                }
                let state = if is_cancelled { JobState::Cancelled } else { JobState::Queued };
                self.finish(id, state)
            }
            // The worker is asked, and the lease is waited out.
            StartEnd::Lost => {
                live.phase = Phase::Running;
                Vec::new()
            }
        }
    }

    /// Takes no new work to a worker that can't be reached, until the list says otherwise.
    fn leave_out(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// Takes the reports of one worker that answered; tasks that it doesn't know are not running.
    pub fn on_reports(
        &mut self,
        now: Now,
        worker: &WorkerId,
        reports: &[TaskReport],
    ) -> Vec<Command> {
        let mut commands: Vec<Command> =
            reports.iter().flat_map(|report| self.on_report(now, report)).collect();
        let known: BTreeSet<&JobId> = reports.iter().map(|report| &report.job).collect();
        let missing: Vec<JobId> = self
            .by_worker
            .get(worker)
            .into_iter()
            .flatten()
            .filter(|id| !known.contains(id))
            .filter(|id| self.jobs[*id].phase == Phase::Running)
            // A start that was lost may still arrive within the lease.
            .filter(|id| now >= self.jobs[*id].renewed_at + self.task_lease + LEASE_MARGIN)
            .cloned()
            .collect();
        commands.extend(missing.iter().flat_map(|id| self.on_unknown(id)));
        commands
    }

    /// Takes the report of one task.
    pub fn on_report(&mut self, now: Now, report: &TaskReport) -> Vec<Command> {
        let Some(live) = self.jobs.get_mut(&report.job) else { return Vec::new() };
        let is_current = live.job.attempts == report.attempt
            && matches!(live.phase, Phase::Starting | Phase::Running);
        if !is_current {
            return Vec::new();
        }
        let Some(worker) = live.worker().cloned() else { return Vec::new() };
        let (id, class, customer) =
            (report.job.clone(), live.job.class.clone(), live.job.customer.clone());
        self.learning.observe(&class, &customer, live.job.declared, report.usage);
        match report.state {
            TaskState::Running => {
                live.phase = Phase::Running;
                Vec::new()
            }
            TaskState::Done => {
                self.blame.succeeded(&id, &worker);
                self.free_worker(&id);
                self.finish(&id, JobState::Done)
            }
            TaskState::Failed => self.on_failed(now, &id, &worker),
            TaskState::Stopped => self.on_stopped(&id),
        }
    }

    fn on_failed(&mut self, now: Now, id: &JobId, worker: &WorkerId) -> Vec<Command> {
        let rack =
            self.workers.info(worker).map_or_else(|| worker.clone(), |info| info.rack.clone());
        let verdict = self.blame.failed(now, id, worker, &rack);
        self.free_worker(id);
        let live = &self.jobs[id];
        let state = if live.is_cancelled {
            JobState::Cancelled
        } else if !live.job.is_idempotent {
            JobState::Parked { reason: ParkReason::Failed }
        } else if verdict == Verdict::JobNeverRuns {
            JobState::Parked { reason: ParkReason::NeverRuns }
        } else {
            JobState::Queued
        };
        self.finish(id, state)
    }

    /// The task stopped before its end, by our word or by the end of its lease.
    fn on_stopped(&mut self, id: &JobId) -> Vec<Command> {
        self.free_worker(id);
        let live = &self.jobs[id];
        let state = if live.is_cancelled {
            JobState::Cancelled
        } else if live.job.is_idempotent {
            JobState::Queued
        } else {
            JobState::Parked { reason: ParkReason::OutcomeUnknown }
        };
        self.finish(id, state)
    }

    /// The lease is over and nobody knows how the task ended.
    fn on_unknown(&mut self, id: &JobId) -> Vec<Command> {
        self.free_worker(id);
        let is_idempotent = self.jobs[id].job.is_idempotent;
        let state = if is_idempotent {
            JobState::Queued
        } else {
            JobState::Parked { reason: ParkReason::OutcomeUnknown }
        };
        self.finish(id, state)
    }

    /// Notes that a renewal reached the worker, sent at `sent_at`.
    pub fn renewed(&mut self, sent_at: Now, id: &str) {
        if let Some(live) = self.jobs.get_mut(id) {
            live.renewed_at = live.renewed_at.max(sent_at);
        }
    }

    /// Renewals that are due, for tasks that run.
    pub fn renewals(&self, now: Now) -> Vec<Command> {
        let interval = self.task_lease / RENEWALS_PER_LEASE;
        self.running
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|live| live.phase == Phase::Running && now >= live.renewed_at + interval)
            .filter_map(|live| {
                let action = if live.is_stopping { TaskAction::Stop } else { TaskAction::Renew };
                live.command(action)
            })
            .collect()
    }

    /// Renewals of every task that may run, for an owner that can't rely on its lease: whoever
    /// owns the shard later finds the tasks running. A renewal by two entries does no harm.
    pub fn keep_alive(&self) -> Vec<(WorkerId, TaskCommand)> {
        self.running
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|live| matches!(live.phase, Phase::Starting | Phase::Running))
            .filter(|live| !live.is_stopping)
            .filter_map(|live| match live.command(TaskAction::Renew)? {
                Command::Tell { worker, command } => Some((worker, command)),
                _ => None,
            })
            .collect()
    }

    /// Forgets old jobs, gives silent tasks up, and places what fits.
    pub fn tick(&mut self, now: Now) -> Vec<Command> {
        let mut commands = self.expire(now);
        commands.extend(self.give_up_silent(now));
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

    fn give_up_silent(&mut self, now: Now) -> Vec<Command> {
        let wait = self.task_lease + LEASE_MARGIN;
        let silent: Vec<JobId> = self
            .running
            .iter()
            .filter(|id| self.jobs[*id].phase == Phase::Running)
            .filter(|id| now >= self.jobs[*id].renewed_at + wait)
            .cloned()
            .collect();
        silent.iter().flat_map(|id| self.on_unknown(id)).collect()
    }

    fn place(&mut self, now: Now) -> Vec<Command> {
        let mut commands = Vec::new();
        let mut names: Vec<(Duration, ClassName)> = self
            .classes
            .iter()
            .filter(|(_, class)| !class.queue.is_empty() && now >= class.no_room_until)
            .map(|(name, class)| (class.finish_within, name.clone()))
            .collect();
        names.sort();
        // Room that is being made for urgent work must not go to the work that was stopped for it.
        let mut reserved_below = Duration::MAX;
        for (finish_within, name) in names {
            if finish_within >= reserved_below {
                break;
            }
            for _ in 0..MAX_PLACEMENTS {
                let Some(ticket) = self.classes[&name].queue.peek() else { break };
                let id = self.tickets[&ticket].clone();
                let placed = self.place_one(now, &name, &id);
                let Some(placed) = placed else { break };
                commands.extend(placed);
            }
            if !self.classes[&name].preempting.is_empty() {
                reserved_below = finish_within * PREEMPTION_RATIO;
            }
        }
        commands
    }

    /// Places the head of a class, or returns `None` if it has to wait.
    fn place_one(&mut self, now: Now, name: &ClassName, id: &JobId) -> Option<Vec<Command>> {
        let job = &self.jobs[id].job;
        let expected = self.learning.expected(&job.class, &job.customer, job.declared);
        let failed_on: BTreeSet<WorkerId> = self.blame.failed_on(id).cloned().collect();
        let avoid =
            |worker: &str| failed_on.contains(worker) || self.blame.is_quarantined(now, worker);
        let chosen = self.workers.best_fit(&expected, avoid).or_else(|| {
            self.workers.best_fit(&expected, |worker| self.blame.is_quarantined(now, worker))
        });
        if let Some(worker) = chosen {
            self.classes.get_mut(name)?.queue.pop(expected.cores_milli);
            return Some(self.claim(id, worker, expected));
        }
        let declared = self.jobs[id].job.declared;
        if !self.workers.is_empty() && !self.workers.is_possible(&declared) {
            self.classes.get_mut(name)?.queue.pop(1);
            return Some(self.finish(id, JobState::Parked { reason: ParkReason::TooLarge }));
        }
        if !self.classes[name].preempting.is_empty() {
            return None;
        }
        let victims = self.choose_victims(now, name, &expected);
        let class = self.classes.get_mut(name)?;
        if victims.is_empty() {
            class.no_room_until = now + NO_ROOM_BACKOFF;
            return None;
        }
        class.preempting = victims.iter().cloned().collect();
        Some(self.stop_all(&victims))
    }

    fn claim(&mut self, id: &JobId, worker: WorkerId, reserved: Size) -> Vec<Command> {
        self.workers.reserve(&worker, &reserved);
        let live = self.jobs.get_mut(id).expect("a queued job is known");
        live.phase = Phase::Claiming;
        live.reserved = reserved;
        live.job.attempts += 1;
        live.job.state = JobState::Claimed { worker: worker.clone() };
        self.running.insert(id.clone());
        self.by_worker.entry(worker).or_default().insert(id.clone());
        vec![Command::Write(self.jobs[id].job.clone())]
    }

    /// Idempotent tasks of much slower classes on one worker, whose end would make room for `size`.
    fn choose_victims(&self, now: Now, name: &ClassName, size: &Size) -> Vec<JobId> {
        let urgent = self.classes[name].finish_within;
        let is_victim = |live: &&Live| {
            let slower = self.classes.get(&live.job.class);
            live.phase == Phase::Running
                && !live.is_stopping
                && live.job.is_idempotent
                && slower.is_some_and(|class| class.finish_within >= urgent * PREEMPTION_RATIO)
        };
        let mut by_worker: BTreeMap<&WorkerId, (Size, Vec<JobId>)> = BTreeMap::new();
        let victims = self.running.iter().filter_map(|id| self.jobs.get(id)).filter(is_victim);
        for live in victims.take(MAX_VICTIMS) {
            let Some(worker) = live.worker() else { continue };
            if self.blame.is_quarantined(now, worker) {
                continue;
            }
            let (freed, ids) = by_worker.entry(worker).or_default();
            if freed.cores_milli < size.cores_milli || freed.memory_mb < size.memory_mb {
                freed.cores_milli += live.reserved.cores_milli;
                freed.memory_mb += live.reserved.memory_mb;
                freed.accelerators += live.reserved.accelerators;
                ids.push(live.job.id.clone());
            }
            let is_enough =
                freed.cores_milli >= size.cores_milli && freed.memory_mb >= size.memory_mb;
            if is_enough {
                return ids.clone();
            }
        }
        Vec::new()
    }

    fn stop_all(&mut self, ids: &[JobId]) -> Vec<Command> {
        let mut commands = Vec::new();
        for id in ids {
            if let Some(live) = self.jobs.get_mut(id).filter(|live| !live.is_stopping) {
                live.is_stopping = true;
                commands.extend(live.command(TaskAction::Stop));
            }
        }
        commands
    }
}

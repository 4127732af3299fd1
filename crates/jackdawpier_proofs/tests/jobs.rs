//! Checks the invariants of durable jobs over seeded histories of owner changes, delayed messages,
//! partitions and worker restarts.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_jobs::{
    job::{Job, JobState, ParkReason},
    queue::{Command, JobQueue, StartOutcome},
    workers::WorkerInfo,
};
use jackdawpier_kernel::{
    Now,
    ids::{JobId, WorkerId},
    task::{StartTask, TaskAction, TaskReport, TaskResources, TaskState},
};
use jackdawpier_settings::declaration::{Class, FailureDomain, WorkKind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(100);
const LEASE: Duration = Duration::from_secs(3);
const RETENTION: Duration = Duration::from_secs(3600);
const FAULTY_STEPS: u32 = 600;
const RECOVERY_STEPS: u32 = 600;
const WORKERS: u32 = 4;
const SEEDS: u64 = 60;

/// Mechanisms disabled by a test to show that the checks detect their absence.
#[derive(Debug, Clone, Copy, Default)]
struct Mutations {
    /// Starts tasks before their claim is durable.
    skips_claim: bool,
    /// Treats claimed jobs as queued when a new owner recovers them.
    requeues_claimed: bool,
    /// Reports a job as accepted before it is durable.
    accepts_early: bool,
}

struct Task {
    attempt: u32,
    state: TaskState,
    ends_at: Now,
    lease_until: Now,
    will_fail: bool,
}

#[derive(Default)]
struct Worker {
    tasks: BTreeMap<JobId, Task>,
    is_partitioned: bool,
}

enum Message {
    Start { owner_epoch: u64, worker: WorkerId, task: StartTask },
    Answer { owner_epoch: u64, job: JobId, attempt: u32, outcome: StartOutcome },
    Commit { owner_epoch: u64, write_number: u64 },
}

struct World {
    mutations: Mutations,
    random: ChaCha8Rng,
    now: Now,
    owner_epoch: u64,
    queue: JobQueue,
    workers: BTreeMap<WorkerId, Worker>,
    durable: BTreeMap<JobId, Job>,
    pending_writes: Vec<(u64, Job)>,
    last_write: u64,
    in_transit: Vec<(Now, Message)>,
    accepted: Vec<JobId>,
    run_counts: BTreeMap<JobId, u32>,
    completions: BTreeMap<JobId, u32>,
    next_job: u32,
}

fn class() -> Class {
    Class {
        name: "nightly".into(),
        service: "refresh".into(),
        kind: WorkKind::Refresh,
        idempotent: true,
        finish_within_ms: 3_600_000,
        capacity_instances: 1,
        may_lose_instances: 0,
        survive: FailureDomain::Rack,
    }
}

fn new_queue() -> JobQueue {
    let mut queue = JobQueue::new(LEASE, RETENTION);
    queue.set_classes([&class()]);
    upsert_workers(&mut queue);
    queue
}

fn upsert_workers(queue: &mut JobQueue) {
    for index in 0..WORKERS {
        queue.upsert_worker(WorkerInfo {
            id: format!("worker-{index}").into(),
            zone: "riga-1".into(),
            rack: format!("rack-{index}").into(),
            capacity: TaskResources { cores_milli: 4_000, memory_mb: 65_536, accelerators: 0 },
            is_leaving: false,
        });
    }
}

impl World {
    fn new(seed: u64, mutations: Mutations) -> Self {
        let workers = (0..WORKERS).map(|ix| (format!("worker-{ix}").into(), Worker::default()));
        Self {
            mutations,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Now::ZERO,
            owner_epoch: 1,
            queue: new_queue(),
            workers: workers.collect(),
            durable: BTreeMap::new(),
            pending_writes: Vec::new(),
            last_write: 0,
            in_transit: Vec::new(),
            accepted: Vec::new(),
            run_counts: BTreeMap::new(),
            completions: BTreeMap::new(),
            next_job: 0,
        }
    }

    fn run(mut self) -> Result<usize, String> {
        for step in 0..FAULTY_STEPS + RECOVERY_STEPS {
            self.now += STEP;
            let is_faulty = step < FAULTY_STEPS;
            if is_faulty {
                self.inject_fault();
            } else {
                self.workers.values_mut().for_each(|worker| worker.is_partitioned = false);
            }
            if step < FAULTY_STEPS && step % 5 == 0 {
                self.submit();
            }
            self.deliver();
            self.advance_tasks();
            self.commit(is_faulty);
            let commands = self.queue.tick(self.now);
            self.apply_commands(commands);
            if step % 5 == 0 {
                self.renew_and_poll(is_faulty);
            }
            if step % 50 == 0 {
                upsert_workers(&mut self.queue);
            }
            self.check_single_runs()?;
        }
        self.check_final_states()?;
        Ok(self.completions.len())
    }

    fn inject_fault(&mut self) {
        match self.random.random_range(0..120) {
            0 => self.change_owner(),
            1 | 2 => {
                let index = self.random.random_range(0..WORKERS);
                let worker =
                    self.workers.get_mut(&*format!("worker-{index}")).expect("the worker exists");
                worker.is_partitioned = !worker.is_partitioned;
            }
            3 => {
                // The worker restarts and loses its tasks.
                let index = self.random.random_range(0..WORKERS);
                let worker =
                    self.workers.get_mut(&*format!("worker-{index}")).expect("the worker exists");
                worker.tasks.clear();
            }
            4 => {
                let accepted: Vec<JobId> = self.accepted.clone();
                if !accepted.is_empty() {
                    let id = &accepted[self.random.random_range(0..accepted.len())];
                    let (_, commands) = self.queue.cancel(id);
                    self.apply_commands(commands);
                }
            }
            _ => {}
        }
    }

    /// Replaces the owner. Any prefix of its pending writes becomes durable, and its start messages
    /// may still arrive later.
    fn change_owner(&mut self) {
        let written = self.random.random_range(0..=self.pending_writes.len());
        for (_, job) in self.pending_writes.drain(..written) {
            self.durable.insert(job.id.clone(), job);
        }
        self.pending_writes.clear();
        self.owner_epoch += 1;
        self.queue = new_queue();
        for job in self.durable.values() {
            let mut job = job.clone();
            if self.mutations.requeues_claimed && matches!(job.state, JobState::Claimed { .. }) {
                job.state = JobState::Queued;
            }
            self.queue.recover(self.now, job);
        }
    }

    fn submit(&mut self) {
        self.next_job += 1;
        let is_idempotent = self.random.random_bool(0.5);
        let job = Job {
            id: format!("job-{}", self.next_job).into(),
            class: "nightly".into(),
            customer: format!("customer-{}", self.next_job % 3).into(),
            is_idempotent,
            declared: TaskResources { cores_milli: 1_000, memory_mb: 1_024, accelerators: 0 },
            payload: String::new(),
            attempts: 0,
            state: JobState::Queued,
        };
        if self.mutations.accepts_early {
            self.accepted.push(job.id.clone());
        }
        let commands = self.queue.submit(job);
        self.apply_commands(commands);
    }

    fn apply_commands(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Write(job) => {
                    self.last_write += 1;
                    self.queue.on_write_queued(self.last_write, job.id.clone());
                    if self.mutations.skips_claim
                        && let JobState::Claimed { worker } = &job.state
                    {
                        let task = start_task(&job);
                        let message =
                            Message::Start { owner_epoch: 0, worker: worker.clone(), task };
                        self.in_transit.push((self.now, message));
                    }
                    self.pending_writes.push((self.last_write, job));
                }
                Command::Accepted(id) => self.accepted.push(id),
                Command::Start { worker, task } => self.send_start(worker, task),
                Command::Send { worker, command } => self.send_command(&worker, &command),
                Command::Forget(_) => {}
            }
        }
    }

    fn send_start(&mut self, worker: WorkerId, task: StartTask) {
        let delay_steps =
            if self.random.random_bool(0.2) { self.random.random_range(1..60) } else { 1 };
        let owner_epoch = self.owner_epoch;
        let at = self.now + STEP * delay_steps;
        if delay_steps > 10 {
            let (job, attempt) = (task.job.clone(), task.attempt);
            let answer =
                Message::Answer { owner_epoch, job, attempt, outcome: StartOutcome::Unanswered };
            self.in_transit.push((self.now + STEP * 10, answer));
        }
        self.in_transit.push((at, Message::Start { owner_epoch, worker, task }));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(at, _)| *at <= now);
        self.in_transit = rest;
        for (_, message) in due {
            match message {
                Message::Start { owner_epoch, worker, task } => {
                    self.on_start(owner_epoch, &worker, &task);
                }
                Message::Answer { owner_epoch, job, attempt, outcome }
                    if owner_epoch == self.owner_epoch =>
                {
                    let commands = self.queue.on_start_outcome(self.now, &job, attempt, outcome);
                    self.apply_commands(commands);
                }
                Message::Commit { owner_epoch, write_number }
                    if owner_epoch == self.owner_epoch =>
                {
                    let commands = self.queue.on_committed(self.now, write_number);
                    self.apply_commands(commands);
                }
                Message::Answer { .. } | Message::Commit { .. } => {}
            }
        }
    }

    fn on_start(&mut self, owner_epoch: u64, id: &WorkerId, task: &StartTask) {
        let duration_steps = self.random.random_range(5..40);
        let will_fail = self.random.random_bool(0.05);
        let is_answer_lost = self.random.random_bool(0.2);
        let worker = self.workers.get_mut(id).expect("the worker exists");
        let answer = |outcome| Message::Answer {
            owner_epoch,
            job: task.job.clone(),
            attempt: task.attempt,
            outcome,
        };
        if worker.is_partitioned {
            let message = answer(StartOutcome::NotSent);
            self.in_transit.push((self.now + STEP, message));
            return;
        }
        let is_duplicate =
            worker.tasks.get(&task.job).is_some_and(|existing| existing.attempt >= task.attempt);
        if !is_duplicate {
            *self.run_counts.entry(task.job.clone()).or_default() += 1;
            let started = Task {
                attempt: task.attempt,
                state: TaskState::Running,
                ends_at: self.now + STEP * duration_steps,
                lease_until: self.now + LEASE,
                will_fail,
            };
            worker.tasks.insert(task.job.clone(), started);
        }
        let report = task_report(&task.job, &worker.tasks[&task.job]);
        let outcome =
            if is_answer_lost { StartOutcome::Unanswered } else { StartOutcome::Reported(report) };
        let message = answer(outcome);
        self.in_transit.push((self.now + STEP, message));
    }

    fn send_command(&mut self, id: &WorkerId, command: &jackdawpier_kernel::task::TaskCommand) {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("the worker exists");
        if worker.is_partitioned {
            return;
        }
        let Some(task) = worker.tasks.get_mut(&command.job) else { return };
        if task.attempt != command.attempt || task.state != TaskState::Running {
            return;
        }
        match command.action {
            TaskAction::Renew => task.lease_until = now + LEASE,
            TaskAction::Stop => task.state = TaskState::Stopped,
            TaskAction::Checkpoint | TaskAction::Throttle => {}
        }
        self.queue.on_renewed(now, &command.job);
        let report = task_report(&command.job, &self.workers[id].tasks[&command.job]);
        let commands = self.queue.on_report(now, &report);
        self.apply_commands(commands);
    }

    fn advance_tasks(&mut self) {
        for worker in self.workers.values_mut() {
            for (job, task) in &mut worker.tasks {
                if task.state != TaskState::Running {
                    continue;
                }
                if self.now >= task.lease_until {
                    task.state = TaskState::Stopped;
                } else if self.now >= task.ends_at {
                    task.state = if task.will_fail { TaskState::Failed } else { TaskState::Done };
                    if !task.will_fail {
                        *self.completions.entry(job.clone()).or_default() += 1;
                    }
                }
            }
        }
    }

    fn commit(&mut self, is_faulty: bool) {
        if self.pending_writes.is_empty() || is_faulty && self.random.random_bool(0.3) {
            return;
        }
        let write_number = self.pending_writes.last().expect("there are pending writes").0;
        for (_, job) in self.pending_writes.drain(..) {
            self.durable.insert(job.id.clone(), job);
        }
        let message = Message::Commit { owner_epoch: self.owner_epoch, write_number };
        self.in_transit.push((self.now + STEP, message));
    }

    fn renew_and_poll(&mut self, is_faulty: bool) {
        let renewals = self.queue.renewals(self.now);
        self.apply_commands(renewals);
        let busy: Vec<WorkerId> = self.queue.busy_workers().cloned().collect();
        for id in busy {
            let is_reply_lost = is_faulty && self.random.random_bool(0.2);
            let worker = &self.workers[&id];
            if worker.is_partitioned || is_reply_lost {
                continue;
            }
            let reports: Vec<TaskReport> =
                worker.tasks.iter().map(|(job, task)| task_report(job, task)).collect();
            let commands = self.queue.on_reports(self.now, &id, &reports);
            self.apply_commands(commands);
        }
    }

    fn check_single_runs(&self) -> Result<(), String> {
        for (job, count) in &self.run_counts {
            let is_idempotent = self.durable.get(job).is_some_and(|job| job.is_idempotent);
            if *count > 1 && !is_idempotent {
                return Err(format!("{job} ran twice"));
            }
        }
        Ok(())
    }

    /// Checks that every accepted job completed, was parked for an operator or was cancelled.
    fn check_final_states(&self) -> Result<(), String> {
        for id in &self.accepted {
            let Some(job) = self.queue.job(id) else { return Err(format!("{id} is lost")) };
            if !job.state.is_final() {
                return Err(format!("{id} is not final: {:?}", job.state));
            }
            let has_run = self.completions.contains_key(id);
            if job.state == JobState::Done && !has_run {
                return Err(format!("{id} is done but never ran"));
            }
            // Random failures on three workers park a job as one that never runs.
            let is_parked = matches!(&job.state,
                JobState::Parked { reason } if *reason != ParkReason::NeverRuns);
            if job.is_idempotent && is_parked {
                return Err(format!("{id} was parked although it is idempotent"));
            }
        }
        Ok(())
    }
}

fn start_task(job: &Job) -> StartTask {
    StartTask {
        job: job.id.clone(),
        attempt: job.attempts,
        class: job.class.clone(),
        customer: job.customer.clone(),
        size: job.declared,
        lease_ms: LEASE.as_millis() as u64,
        payload: String::new(),
    }
}

fn task_report(job: &JobId, task: &Task) -> TaskReport {
    TaskReport {
        job: job.clone(),
        attempt: task.attempt,
        state: task.state,
        usage: TaskResources::default(),
        ran_ms: 0,
    }
}

fn seed_count() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn first_violation(mutations: Mutations) -> Option<String> {
    (0..seed_count()).find_map(|seed| {
        World::new(seed, mutations).run().err().map(|text| format!("seed {seed}: {text}"))
    })
}

#[test]
fn invariants_hold() {
    assert_eq!(first_violation(Mutations::default()), None);
}

#[test]
fn work_done() {
    let done: usize = (0..5)
        .map(|seed| World::new(seed, Mutations::default()).run().expect("the invariants hold"))
        .sum();
    assert!(done > 300, "{done} jobs completed in five histories");
}

#[test]
fn claim_off() {
    let violation = first_violation(Mutations { skips_claim: true, ..Mutations::default() });
    assert!(violation.as_ref().is_some_and(|text| text.contains("ran twice")), "{violation:?}");
}

#[test]
fn recovery_off() {
    let violation = first_violation(Mutations { requeues_claimed: true, ..Mutations::default() });
    assert!(violation.as_ref().is_some_and(|text| text.contains("ran twice")), "{violation:?}");
}

#[test]
fn durability_off() {
    let violation = first_violation(Mutations { accepts_early: true, ..Mutations::default() });
    assert!(violation.as_ref().is_some_and(|text| text.contains("is lost")), "{violation:?}");
}

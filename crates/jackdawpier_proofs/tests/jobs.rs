//! Durable jobs over seeded histories: owners die, starts and answers come late, workers vanish.

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
const HEALING_STEPS: u32 = 600;
const WORKERS: u32 = 4;
const SEEDS: u64 = 60;

/// Mechanisms that a test may turn off.
#[derive(Debug, Clone, Copy, Default)]
struct Switches {
    /// Tasks are started before their claim is durable.
    skips_claim: bool,
    /// A new owner takes claimed jobs for waiting ones.
    forgets_claims: bool,
    /// The caller is told "accepted" before the job is durable.
    accepts_early: bool,
}

struct Task {
    attempt: u32,
    state: TaskState,
    ends_at: Now,
    lease_until: Now,
    is_failing: bool,
}

#[derive(Default)]
struct Worker {
    tasks: BTreeMap<JobId, Task>,
    is_cut: bool,
}

enum Message {
    Start { owner: u64, worker: WorkerId, task: StartTask },
    Answer { owner: u64, job: JobId, attempt: u32, end: StartOutcome },
    Commit { owner: u64, number: u64 },
}

struct World {
    switches: Switches,
    random: ChaCha8Rng,
    now: Now,
    owner: u64,
    queue: JobQueue,
    workers: BTreeMap<WorkerId, Worker>,
    durable: BTreeMap<JobId, Job>,
    unwritten: Vec<(u64, Job)>,
    writes: u64,
    later: Vec<(Now, Message)>,
    accepted: Vec<JobId>,
    runs: BTreeMap<JobId, u32>,
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
    list_workers(&mut queue);
    queue
}

fn list_workers(queue: &mut JobQueue) {
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
    fn new(seed: u64, switches: Switches) -> Self {
        let workers = (0..WORKERS).map(|ix| (format!("worker-{ix}").into(), Worker::default()));
        Self {
            switches,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Now::ZERO,
            owner: 1,
            queue: new_queue(),
            workers: workers.collect(),
            durable: BTreeMap::new(),
            unwritten: Vec::new(),
            writes: 0,
            later: Vec::new(),
            accepted: Vec::new(),
            runs: BTreeMap::new(),
            completions: BTreeMap::new(),
            next_job: 0,
        }
    }

    fn run(mut self) -> Result<usize, String> {
        for step in 0..FAULTY_STEPS + HEALING_STEPS {
            self.now += STEP;
            let is_faulty = step < FAULTY_STEPS;
            if is_faulty {
                self.go_wrong();
            } else {
                self.workers.values_mut().for_each(|worker| worker.is_cut = false);
            }
            if step < FAULTY_STEPS && step % 5 == 0 {
                self.submit();
            }
            self.deliver();
            self.run_workers();
            self.commit(is_faulty);
            let commands = self.queue.tick(self.now);
            self.follow(commands);
            if step % 5 == 0 {
                self.tend(is_faulty);
            }
            if step % 50 == 0 {
                list_workers(&mut self.queue);
            }
            self.check()?;
        }
        self.check_healed()?;
        Ok(self.completions.len())
    }

    fn go_wrong(&mut self) {
        match self.random.random_range(0..120) {
            0 => self.change_owner(),
            1 | 2 => {
                let index = self.random.random_range(0..WORKERS);
                let worker = self.workers.get_mut(&*format!("worker-{index}")).expect("it exists");
                worker.is_cut = !worker.is_cut;
            }
            3 => {
                // The worker restarts and knows nothing any more.
                let index = self.random.random_range(0..WORKERS);
                let worker = self.workers.get_mut(&*format!("worker-{index}")).expect("it exists");
                worker.tasks.clear();
            }
            4 => {
                let known: Vec<JobId> = self.accepted.clone();
                if !known.is_empty() {
                    let id = &known[self.random.random_range(0..known.len())];
                    let (_, commands) = self.queue.cancel(id);
                    self.follow(commands);
                }
            }
            _ => {}
        }
    }

    /// The owner dies; what was under way may be written or not, and its starts may come late.
    fn change_owner(&mut self) {
        let written = self.random.random_range(0..=self.unwritten.len());
        for (_, job) in self.unwritten.drain(..written) {
            self.durable.insert(job.id.clone(), job);
        }
        self.unwritten.clear();
        self.owner += 1;
        self.queue = new_queue();
        for job in self.durable.values() {
            let mut job = job.clone();
            if self.switches.forgets_claims && matches!(job.state, JobState::Claimed { .. }) {
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
        if self.switches.accepts_early {
            self.accepted.push(job.id.clone());
        }
        let commands = self.queue.submit(job);
        self.follow(commands);
    }

    fn follow(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Write(job) => {
                    self.writes += 1;
                    self.queue.on_write_queued(self.writes, job.id.clone());
                    if self.switches.skips_claim
                        && let JobState::Claimed { worker } = &job.state
                    {
                        let task = start_of(&job);
                        let message = Message::Start { owner: 0, worker: worker.clone(), task };
                        self.later.push((self.now, message));
                    }
                    self.unwritten.push((self.writes, job));
                }
                Command::Accepted(id) => self.accepted.push(id),
                Command::Start { worker, task } => self.send_start(worker, task),
                Command::Send { worker, command } => self.tell(&worker, &command),
                Command::Forget(_) => {}
            }
        }
    }

    fn send_start(&mut self, worker: WorkerId, task: StartTask) {
        let delay = if self.random.random_bool(0.2) { self.random.random_range(1..60) } else { 1 };
        let owner = self.owner;
        let at = self.now + STEP * delay;
        if delay > 10 {
            let (job, attempt) = (task.job.clone(), task.attempt);
            let answer = Message::Answer { owner, job, attempt, end: StartOutcome::Unanswered };
            self.later.push((self.now + STEP * 10, answer));
        }
        self.later.push((at, Message::Start { owner, worker, task }));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
        self.later = rest;
        for (_, message) in due {
            match message {
                Message::Start { owner, worker, task } => self.on_start(owner, &worker, &task),
                Message::Answer { owner, job, attempt, end } if owner == self.owner => {
                    let commands = self.queue.on_start_outcome(self.now, &job, attempt, end);
                    self.follow(commands);
                }
                Message::Commit { owner, number } if owner == self.owner => {
                    let commands = self.queue.on_committed(self.now, number);
                    self.follow(commands);
                }
                Message::Answer { .. } | Message::Commit { .. } => {}
            }
        }
    }

    fn on_start(&mut self, owner: u64, id: &WorkerId, task: &StartTask) {
        let length = self.random.random_range(5..40);
        let is_failing = self.random.random_bool(0.05);
        let is_answer_lost = self.random.random_bool(0.2);
        let worker = self.workers.get_mut(id).expect("it exists");
        let answer =
            |end| Message::Answer { owner, job: task.job.clone(), attempt: task.attempt, end };
        if worker.is_cut {
            let message = answer(StartOutcome::NotSent);
            self.later.push((self.now + STEP, message));
            return;
        }
        let is_known =
            worker.tasks.get(&task.job).is_some_and(|known| known.attempt >= task.attempt);
        if !is_known {
            *self.runs.entry(task.job.clone()).or_default() += 1;
            let started = Task {
                attempt: task.attempt,
                state: TaskState::Running,
                ends_at: self.now + STEP * length,
                lease_until: self.now + LEASE,
                is_failing,
            };
            worker.tasks.insert(task.job.clone(), started);
        }
        let report = report(&task.job, &worker.tasks[&task.job]);
        let end =
            if is_answer_lost { StartOutcome::Unanswered } else { StartOutcome::Reported(report) };
        let message = answer(end);
        self.later.push((self.now + STEP, message));
    }

    fn tell(&mut self, id: &WorkerId, command: &jackdawpier_kernel::task::TaskCommand) {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("it exists");
        if worker.is_cut {
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
        let report = report(&command.job, &self.workers[id].tasks[&command.job]);
        let commands = self.queue.on_report(now, &report);
        self.follow(commands);
    }

    fn run_workers(&mut self) {
        for worker in self.workers.values_mut() {
            for (job, task) in &mut worker.tasks {
                if task.state != TaskState::Running {
                    continue;
                }
                if self.now >= task.lease_until {
                    task.state = TaskState::Stopped;
                } else if self.now >= task.ends_at {
                    task.state = if task.is_failing { TaskState::Failed } else { TaskState::Done };
                    if !task.is_failing {
                        *self.completions.entry(job.clone()).or_default() += 1;
                    }
                }
            }
        }
    }

    fn commit(&mut self, is_faulty: bool) {
        if self.unwritten.is_empty() || is_faulty && self.random.random_bool(0.3) {
            return;
        }
        let number = self.unwritten.last().expect("it is not empty").0;
        for (_, job) in self.unwritten.drain(..) {
            self.durable.insert(job.id.clone(), job);
        }
        let message = Message::Commit { owner: self.owner, number };
        self.later.push((self.now + STEP, message));
    }

    fn tend(&mut self, is_faulty: bool) {
        let renewals = self.queue.renewals(self.now);
        self.follow(renewals);
        let busy: Vec<WorkerId> = self.queue.busy_workers().cloned().collect();
        for id in busy {
            let is_lost = is_faulty && self.random.random_bool(0.2);
            let worker = &self.workers[&id];
            if worker.is_cut || is_lost {
                continue;
            }
            let reports: Vec<TaskReport> =
                worker.tasks.iter().map(|(job, task)| report(job, task)).collect();
            let commands = self.queue.on_reports(self.now, &id, &reports);
            self.follow(commands);
        }
    }

    fn check(&self) -> Result<(), String> {
        for (job, count) in &self.runs {
            let is_idempotent = self.durable.get(job).is_some_and(|job| job.is_idempotent);
            if *count > 1 && !is_idempotent {
                return Err(format!("{job} ran twice"));
            }
        }
        Ok(())
    }

    /// Nothing accepted is lost: it ran, or an operator sees it, or its caller gave it up.
    fn check_healed(&self) -> Result<(), String> {
        for id in &self.accepted {
            let Some(job) = self.queue.job(id) else { return Err(format!("{id} is lost")) };
            if !job.state.is_final() {
                return Err(format!("{id} still is {:?}", job.state));
            }
            let has_run = self.completions.contains_key(id);
            if job.state == JobState::Done && !has_run {
                return Err(format!("{id} counts as done and never ran"));
            }
            // Chance may fail a job on three workers, which is what parks one that never runs.
            let is_parked = matches!(&job.state,
                JobState::Parked { reason } if *reason != ParkReason::NeverRuns);
            if job.is_idempotent && is_parked {
                return Err(format!("{id} was parked though it may be repeated"));
            }
        }
        Ok(())
    }
}

fn start_of(job: &Job) -> StartTask {
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

fn report(job: &JobId, task: &Task) -> TaskReport {
    TaskReport {
        job: job.clone(),
        attempt: task.attempt,
        state: task.state,
        usage: TaskResources::default(),
        ran_ms: 0,
    }
}

fn seeds() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn first_violation(switches: Switches) -> Option<String> {
    (0..seeds()).find_map(|seed| {
        World::new(seed, switches).run().err().map(|text| format!("seed {seed}: {text}"))
    })
}

#[test]
fn promises_hold() {
    assert_eq!(first_violation(Switches::default()), None);
}

#[test]
fn work_done() {
    let done: usize =
        (0..5).map(|seed| World::new(seed, Switches::default()).run().expect("it holds")).sum();
    assert!(done > 300, "{done} jobs ran in five histories");
}

#[test]
fn claim_off() {
    let violation = first_violation(Switches { skips_claim: true, ..Switches::default() });
    assert!(violation.as_ref().is_some_and(|text| text.contains("ran twice")), "{violation:?}");
}

#[test]
fn recovery_off() {
    let violation = first_violation(Switches { forgets_claims: true, ..Switches::default() });
    assert!(violation.as_ref().is_some_and(|text| text.contains("ran twice")), "{violation:?}");
}

#[test]
fn durability_off() {
    let violation = first_violation(Switches { accepts_early: true, ..Switches::default() });
    assert!(violation.as_ref().is_some_and(|text| text.contains("is lost")), "{violation:?}");
}

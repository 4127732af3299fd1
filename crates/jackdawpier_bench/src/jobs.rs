//! The job queue in virtual time: urgent starts with a full fleet, packing with declared sizes far
//! off, poison jobs, workers that fail everything, and waves of cancellations.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use hdrhistogram::Histogram;
use jackdawpier_jobs::{
    job::{Job, JobState},
    queue::{Command, JobQueue, StartOutcome},
    workers::WorkerInfo,
};
use jackdawpier_kernel::{
    Now,
    ids::{JobId, WorkerId},
    task::{TaskAction, TaskReport, TaskResources, TaskState},
};
use jackdawpier_settings::declaration::{Class, FailureDomain, WorkKind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);
/// Interval of group commits, and time of one.
const COMMIT_INTERVAL: Duration = Duration::from_millis(125);
const COMMIT_TIME: Duration = Duration::from_millis(5);
/// Time for a worker to take or to stop a task.
const WORKER_TIME: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Usage is reported this long after a task's start.
const USAGE_LAG: Duration = Duration::from_secs(10);
const TASK_LEASE: Duration = Duration::from_secs(5);
const RETENTION: Duration = Duration::from_secs(60);
const URGENT: &str = "urgent";
const NIGHTLY: &str = "nightly";
const CUSTOMERS: u32 = 12;
const WORKER_CORES_MILLI: u64 = 64_000;
const WORKER_MEMORY_MB: u64 = 256 * 1024;

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct JobRun {
    /// Seed.
    pub seed: u64,
    /// Workers.
    pub workers: u32,
    /// Virtual time.
    pub time: Duration,
    /// Whether declared sizes are right (perfect knowledge), or off by up to four times.
    pub is_declared_right: bool,
    /// Urgent jobs a second; zero for none.
    pub urgent_per_s: f64,
    /// Workers that fail everything they start.
    pub bad_workers: u32,
    /// One job in this many can never run; zero for none.
    pub poison_every: u32,
    /// Jobs cancelled at once in the middle of the run.
    pub cancelled: u32,
}

/// What came out.
#[derive(Debug, Clone, Copy, Default)]
pub struct JobOutcome {
    /// 99th percentile from an urgent job's submission to its start.
    pub urgent_start_p99: Duration,
    /// Mean share of the fleet's cores that tasks really used, in the second half of the run.
    pub packing: f64,
    /// Accepted jobs that are neither waiting, running nor in a final state.
    pub lost: u64,
    /// Jobs that ran to their end more than once.
    pub ran_twice: u64,
    /// Jobs done.
    pub done: u64,
    /// Poison jobs parked, and healthy ones parked by mistake.
    pub parked_right: u64,
    /// Healthy jobs parked by mistake.
    pub parked_wrong: u64,
    /// Bad workers left out at the end.
    pub quarantined: u64,
    /// Share of worker time with more cores used than there are.
    pub overloaded: f64,
    /// Commands that the cancellations caused, for each of them.
    pub commands_per_cancel: f64,
}

#[derive(Debug)]
struct Running {
    worker: WorkerId,
    attempt: u32,
    started_at: Now,
    ends_at: Now,
    used: TaskResources,
    is_failing: bool,
}

struct Sim {
    run: JobRun,
    queue: JobQueue,
    random: ChaCha8Rng,
    now: Now,
    next_job: u64,
    writes: u64,
    durable: u64,
    commit: Option<(Now, u64)>,
    last_commit_at: Now,
    later: BTreeMap<(Now, u64), Message>,
    sequence: u64,
    running: BTreeMap<JobId, Running>,
    submitted: HashMap<JobId, Now>,
    accepted: BTreeSet<JobId>,
    completions: HashMap<JobId, u32>,
    urgent: Histogram<u64>,
    used_cores_milli: f64,
    overloaded: f64,
    samples: f64,
    cancelled: u64,
    outcome: JobOutcome,
}

#[derive(Debug)]
enum Message {
    Started { job: JobId, report: TaskReport },
    Stopped { job: JobId },
    Reports { worker: WorkerId },
}

/// Runs the queue.
pub fn run(run: JobRun) -> JobOutcome {
    let mut sim = Sim {
        run,
        queue: JobQueue::new(TASK_LEASE, RETENTION),
        random: ChaCha8Rng::seed_from_u64(run.seed),
        now: Now::ZERO,
        next_job: 0,
        writes: 0,
        durable: 0,
        commit: None,
        last_commit_at: Now::ZERO,
        later: BTreeMap::new(),
        sequence: 0,
        running: BTreeMap::new(),
        submitted: HashMap::new(),
        accepted: BTreeSet::new(),
        completions: HashMap::new(),
        urgent: Histogram::new_with_max(600_000_000, 3).expect("the bounds are valid"),
        used_cores_milli: 0.0,
        overloaded: 0.0,
        samples: 0.0,
        cancelled: 0,
        outcome: JobOutcome::default(),
    };
    sim.start();
    while sim.now < run.time {
        sim.step();
    }
    sim.finish()
}

fn class(name: &str, finish_within: Duration) -> Class {
    Class {
        name: name.into(),
        service: "refresh".into(),
        kind: WorkKind::Refresh,
        idempotent: true,
        finish_within_ms: finish_within.as_millis() as u64,
        capacity_instances: 1,
        may_lose_instances: 0,
        survive: FailureDomain::Rack,
    }
}

impl Sim {
    fn start(&mut self) {
        let classes =
            [class(URGENT, Duration::from_secs(10)), class(NIGHTLY, Duration::from_secs(4 * 3600))];
        self.queue.set_classes(&classes);
        for index in 0..self.run.workers {
            self.queue.upsert_worker(WorkerInfo {
                id: format!("worker-{index}").into(),
                zone: format!("zone-{}", index % 3).into(),
                rack: format!("rack-{}", index / 4).into(),
                capacity: TaskResources {
                    cores_milli: WORKER_CORES_MILLI,
                    memory_mb: WORKER_MEMORY_MB,
                    accelerators: 0,
                },
                is_leaving: false,
            });
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.submit_background();
        self.submit_urgent();
        self.cancel_some();
        self.deliver();
        self.end_tasks();
        let commands = self.queue.tick(self.now);
        self.follow(commands);
        if self.now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
            let renewals = self.queue.renewals(self.now);
            self.follow(renewals);
            let workers: Vec<WorkerId> = self.queue.busy_workers().cloned().collect();
            for worker in workers {
                self.send(WORKER_TIME, Message::Reports { worker });
            }
        }
        self.tick_commit();
        self.sample();
    }

    /// Keeps more background work waiting than the fleet can hold.
    fn submit_background(&mut self) {
        let over = self.outcome.done + self.cancelled;
        let waiting = (self.submitted.len() as u64).saturating_sub(over);
        let wanted = u64::from(self.run.workers) * 12;
        for _ in waiting..wanted.min(waiting + 64) {
            self.submit(NIGHTLY);
        }
    }

    fn submit_urgent(&mut self) {
        let chance = self.run.urgent_per_s * STEP.as_secs_f64();
        let is_warm = self.now > Duration::from_secs(20);
        if is_warm && chance > 0.0 && self.random.random_bool(chance.min(1.0)) {
            self.submit(URGENT);
        }
    }

    fn submit(&mut self, class: &str) {
        self.next_job += 1;
        let is_poison = self.run.poison_every > 0
            && self.next_job.is_multiple_of(u64::from(self.run.poison_every));
        let customer = self.random.random_range(0..CUSTOMERS);
        let used_milli = self.random.random_range(4_000..8_000_u64);
        let factor = if self.run.is_declared_right { 1.0 } else { declared_factor(customer) };
        let declared_milli = (used_milli as f64 * factor) as u64;
        let kind = if is_poison { "poison" } else { "job" };
        let id: JobId = format!("{kind}-{}-{used_milli}", self.next_job).into();
        let job = Job {
            id: id.clone(),
            class: class.into(),
            customer: format!("customer-{customer}").into(),
            is_idempotent: true,
            declared: TaskResources {
                cores_milli: declared_milli,
                memory_mb: 1024,
                accelerators: 0,
            },
            payload: String::new(),
            attempts: 0,
            state: JobState::Queued,
        };
        self.submitted.insert(id, self.now);
        let commands = self.queue.submit(job);
        self.follow(commands);
    }

    fn cancel_some(&mut self) {
        let is_time = self.now == self.run.time / 2;
        if self.run.cancelled == 0 || !is_time {
            return;
        }
        let is_open = |id: &&JobId| self.queue.job(id).is_some_and(|job| !job.state.is_final());
        let ids: Vec<JobId> = self
            .accepted
            .iter()
            .filter(is_open)
            .take(self.run.cancelled as usize)
            .cloned()
            .collect();
        self.cancelled = ids.len() as u64;
        let mut count = 0;
        for id in &ids {
            let (_, commands) = self.queue.cancel(id);
            count += commands.len();
            self.follow(commands);
        }
        self.outcome.commands_per_cancel = count as f64 / ids.len().max(1) as f64;
    }

    fn send(&mut self, after: Duration, message: Message) {
        self.sequence += 1;
        self.later.insert((self.now + after, self.sequence), message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.later.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let message = entry.remove();
            let commands = match message {
                Message::Started { job, report } => {
                    let end = StartOutcome::Reported(report.clone());
                    self.queue.on_start_outcome(self.now, &job, report.attempt, end)
                }
                Message::Stopped { job } => self.stop_task(&job),
                Message::Reports { worker } => {
                    let reports = self.reports(&worker);
                    self.queue.on_reports(self.now, &worker, &reports)
                }
            };
            self.follow(commands);
        }
    }

    fn stop_task(&mut self, job: &JobId) -> Vec<Command> {
        let Some(task) = self.running.remove(job) else { return Vec::new() };
        let report = report_of(job, &task, TaskState::Stopped, self.now);
        self.queue.on_report(self.now, &report)
    }

    fn reports(&self, worker: &WorkerId) -> Vec<TaskReport> {
        let on_worker = self.running.iter().filter(|(_, task)| task.worker == *worker);
        on_worker.map(|(job, task)| report_of(job, task, TaskState::Running, self.now)).collect()
    }

    fn end_tasks(&mut self) {
        let ended: Vec<JobId> = self
            .running
            .iter()
            .filter(|(_, task)| task.ends_at <= self.now)
            .map(|(job, _)| job.clone())
            .collect();
        for job in ended {
            let task = self.running.remove(&job).expect("it was there above");
            let state = if task.is_failing { TaskState::Failed } else { TaskState::Done };
            if state == TaskState::Done {
                *self.completions.entry(job.clone()).or_default() += 1;
                self.outcome.done += 1;
            }
            let report = report_of(&job, &task, state, self.now);
            let commands = self.queue.on_report(self.now, &report);
            self.follow(commands);
        }
    }

    fn follow(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Write(job) => {
                    self.writes += 1;
                    self.queue.on_write_queued(self.writes, job.id);
                }
                Command::Accepted(id) => {
                    self.accepted.insert(id);
                }
                Command::Start { worker, task } => self.start_task(worker, &task),
                Command::Send { command, .. } if command.action == TaskAction::Stop => {
                    self.send(WORKER_TIME, Message::Stopped { job: command.job });
                }
                Command::Send { command, .. } => self.queue.on_renewed(self.now, &command.job),
                Command::Forget(id) => {
                    self.accepted.remove(&id);
                }
            }
        }
    }

    fn start_task(&mut self, worker: WorkerId, task: &jackdawpier_kernel::task::StartTask) {
        let used_milli: u64 =
            task.job.rsplit('-').next().and_then(|t| t.parse().ok()).unwrap_or(1_000);
        let index: u32 = worker.trim_start_matches("worker-").parse().unwrap_or(u32::MAX);
        let is_failing = index < self.run.bad_workers || task.job.starts_with("poison");
        let length_s = if is_failing { 1 } else { self.random.random_range(20..60) };
        if *task.class == *URGENT {
            let waited = self.now.saturating_sub(self.submitted[&task.job]);
            self.urgent.saturating_record((waited + WORKER_TIME).as_micros() as u64);
        }
        let running = Running {
            worker,
            attempt: task.attempt,
            started_at: self.now,
            ends_at: self.now + Duration::from_secs(length_s),
            used: TaskResources { cores_milli: used_milli, memory_mb: 1024, accelerators: 0 },
            is_failing,
        };
        let report = report_of(&task.job, &running, TaskState::Running, self.now);
        self.running.insert(task.job.clone(), running);
        self.send(WORKER_TIME, Message::Started { job: task.job.clone(), report });
    }

    fn tick_commit(&mut self) {
        if let Some((at, up_to)) = self.commit.filter(|(at, _)| *at <= self.now) {
            let _ = at;
            self.commit = None;
            self.durable = up_to;
            let commands = self.queue.on_committed(self.now, up_to);
            self.follow(commands);
        }
        let is_due = self.now >= self.last_commit_at + COMMIT_INTERVAL;
        if self.commit.is_none() && self.writes > self.durable && is_due {
            self.last_commit_at = self.now;
            self.commit = Some((self.now + COMMIT_TIME, self.writes));
        }
    }

    fn sample(&mut self) {
        if self.now < self.run.time / 2 || !self.now.as_millis().is_multiple_of(1000) {
            return;
        }
        let mut by_worker: BTreeMap<&WorkerId, u64> = BTreeMap::new();
        for task in self.running.values() {
            *by_worker.entry(&task.worker).or_default() += task.used.cores_milli;
        }
        let used: u64 = by_worker.values().map(|cores| (*cores).min(WORKER_CORES_MILLI)).sum();
        let over = by_worker.values().filter(|cores| **cores > WORKER_CORES_MILLI).count();
        self.used_cores_milli += used as f64;
        self.overloaded += over as f64 / f64::from(self.run.workers);
        self.samples += 1.0;
    }

    fn finish(mut self) -> JobOutcome {
        let capacity = f64::from(self.run.workers) * WORKER_CORES_MILLI as f64;
        self.outcome.urgent_start_p99 = Duration::from_micros(self.urgent.value_at_quantile(0.99));
        self.outcome.packing = self.used_cores_milli / self.samples.max(1.0) / capacity;
        self.outcome.overloaded = self.overloaded / self.samples.max(1.0);
        self.outcome.ran_twice =
            self.completions.values().filter(|count| **count > 1).count() as u64;
        self.outcome.lost =
            self.accepted.iter().filter(|id| self.queue.job(id).is_none()).count() as u64;
        for job in self.queue.jobs().filter(|job| matches!(job.state, JobState::Parked { .. })) {
            if job.id.starts_with("poison") {
                self.outcome.parked_right += 1;
            } else {
                self.outcome.parked_wrong += 1;
            }
        }
        self.outcome.quarantined = self.queue.failures().quarantined_count(self.now) as u64;
        self.outcome
    }
}

/// How far off a customer's declarations are, from a quarter to four times.
fn declared_factor(customer: u32) -> f64 {
    const FACTORS: [f64; 6] = [0.25, 0.5, 0.8, 1.5, 2.5, 4.0];
    FACTORS[customer as usize % FACTORS.len()]
}

fn report_of(job: &JobId, task: &Running, state: TaskState, now: Now) -> TaskReport {
    let ran = now.saturating_sub(task.started_at);
    let usage = if ran >= USAGE_LAG { task.used } else { TaskResources::default() };
    TaskReport {
        job: job.clone(),
        attempt: task.attempt,
        state,
        usage,
        ran_ms: ran.as_millis() as u64,
    }
}

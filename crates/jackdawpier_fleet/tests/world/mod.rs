//! A deterministic model of the platform for tests of the owner's decisions: executors with fences,
//! leases, ends and late orders; machines; a store with write latency. It checks the invariants after
//! each step.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of the world")]

pub mod accounts;
pub mod advisor;
mod checks;
pub mod crashes;
pub mod executor;
pub mod long_running;
mod machines;
mod orders;
mod owner;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use accounts::Accounts;
use advisor::Advisor;
use crashes::Crashes;
use executor::FakeExecutor;
use jackdawpier_fleet::{
    connection_peer::ConnectionPeer,
    executor::ExecutorInfo,
    fleet::{Batch, Command, Fleet, FleetSettings, JobView},
    machines::{MachineOrder, MachineState, Wave},
    policy::Policy,
    record::{JobOutcome, JobRecord},
    spec::{AdviceCost, JobSpec, Queue, Resources, Service, StepSpec, Submission, TaskKey},
};
use long_running::LongRunning;
pub use orders::Delivery;

/// Time of day at the start of the world.
pub const EPOCH_MS: u64 = 1_000_000;
pub const STEP: Duration = Duration::from_millis(10);
/// Longest lease that executors accept.
pub const LONGEST_LEASE: Duration = Duration::from_secs(6);
pub const MIGRATION: Duration = Duration::from_millis(1500);
pub const MAINTENANCE: Duration = Duration::from_millis(2000);
/// Minimum time between orders of two owners about the same machine.
pub const ORDER_LEASE: Duration = Duration::from_millis(3000);
/// Time for which an owner's order note names a machine after its last order.
const NOTED_FOR: Duration = Duration::from_millis(3500);
/// Time for which an executor waits for an end before it answers a hold, unless a test changes it.
const HOLD_WAIT: Duration = Duration::from_millis(200);
/// Longer than the back-off of a long-running task that is suspected of crashing its executors.
const STARTED_WITHIN: Duration = Duration::from_secs(20);

pub fn settings() -> FleetSettings {
    FleetSettings {
        lease: Duration::from_secs(5),
        longest_lease: LONGEST_LEASE,
        takeover_uncertainty: Duration::from_millis(7500),
        stop_timeout: Duration::from_millis(200),
        maintenance: MAINTENANCE,
        remote_factor: 3.0,
        order_lease: Duration::from_millis(3500),
        max_active_tasks: usize::MAX,
        open_job_bytes: usize::MAX,
        policy: Policy::default(),
    }
}

pub fn queue(name: &str, service: &str) -> Queue {
    Queue {
        name: name.into(),
        service: service.into(),
        priority: 0,
        max_attempts: 3,
        slack_factor: 1.6,
        target: Duration::from_millis(600),
        needs_advice: false,
        advice_cost: AdviceCost::default(),
    }
}

pub fn step(count: u32, cores: u64, run_ms: u64) -> StepSpec {
    StepSpec {
        count,
        need: Resources { cpu_millicores: cores * 1000, memory_mb: 1000, gpus: 0 },
        estimate: Duration::from_millis(run_ms),
        ..StepSpec::default()
    }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: "payload".into(), steps, schedule: None }
}

#[derive(Debug)]
pub struct Machine {
    pub pool: Arc<str>,
    pub executor: Option<Arc<str>>,
    pub back_at: Option<(Duration, Arc<str>)>,
    /// State while the machine is away because of an order.
    pub away_for: Option<MachineState>,
    pub maintained_for: Vec<u64>,
}

pub struct World {
    pub now: Duration,
    pub fleet: Fleet,
    pub fence: u64,
    pub executors: BTreeMap<Arc<str>, FakeExecutor>,
    pub machines: BTreeMap<Arc<str>, Machine>,
    /// The durable records with their revisions.
    pub store: BTreeMap<Arc<str>, (JobRecord, u64)>,
    pub submissions: BTreeMap<Arc<str>, Submission>,
    pub cancelled: Vec<Arc<str>>,
    pub revision: u64,
    /// Duration of a write.
    pub write_delay: Duration,
    writes: Vec<(Duration, Batch)>,
    /// Decides how an order is delivered, by its number.
    pub delivery: Box<dyn FnMut(u64) -> Delivery>,
    order_count: u64,
    late_orders: Vec<(Duration, orders::SentOrder)>,
    pub queues: Vec<Queue>,
    pub services: Vec<Service>,
    /// Client accounts and their jobs.
    pub accounts: Accounts,
    pub machine_orders: Vec<(Duration, MachineOrder)>,
    /// The order note: the time of the last order about each machine, and the owner that sent it.
    noted_orders: BTreeMap<Arc<str>, (Duration, u64)>,
    /// Whether the next owner can't read the order note.
    pub order_note_lost: bool,
    pub commands: Vec<(Duration, Command)>,
    incarnations: u64,
    started: BTreeMap<TaskKey, Vec<Duration>>,
    done: BTreeMap<TaskKey, Duration>,
    /// Whether the machine interface accepts orders.
    pub accepts_machine_orders: bool,
    pub waves: Vec<Wave>,
    /// Whether the list of machines is unavailable.
    pub machine_list_unavailable: bool,
    /// Executor whose registry entry can't be read.
    pub unreadable_executor: Option<Arc<str>>,
    /// The registrations that the owner knows.
    registered: BTreeMap<Arc<str>, ExecutorInfo>,
    /// The connections on which executors have answered, by executor.
    connections: BTreeMap<Arc<str>, ConnectionPeer>,
    /// Executor whose answers are lost.
    pub drops_answers_of: Option<Arc<str>>,
    /// Whether pools refuse machines of other pools.
    pub refuses_moves: bool,
    /// Delay until an order about a machine arrives.
    pub machine_order_delay: Duration,
    machine_orders_in_flight: Vec<(Duration, u64, MachineOrder)>,
    /// When each machine was last ordered, and under which fence.
    last_machine_orders: BTreeMap<Arc<str>, (Duration, u64)>,
    /// Executors that the advisor approves, and the number of requests to it.
    pub approved: Vec<Arc<str>>,
    pub advice_requests: usize,
    pub advisor: Advisor,
    /// Additional labels of machines.
    pub labels: BTreeMap<Arc<str>, Arc<str>>,
    /// Whether an executor keeps its id when it returns after a crash.
    pub restarts_keep_ids: bool,
    /// Whether executors added from now on accept starts beyond their capacity; none may be ordered.
    pub executors_accept_overload: bool,
    /// Time for which an executor waits for an end before it answers a hold.
    pub hold_wait: Duration,
    /// Tasks that crash their executors, and the crashes so far.
    pub crashes: Crashes,
    /// Long-running tasks at work.
    pub long_running: LongRunning,
}

impl World {
    /// Creates a world with `per_pool` executors of eight cores in each pool.
    pub fn new(pools: &[&str], per_pool: usize) -> Self {
        let mut world = Self {
            now: Duration::from_secs(100),
            fleet: Fleet::new(settings(), Duration::from_secs(100)),
            fence: 1,
            executors: BTreeMap::new(),
            machines: BTreeMap::new(),
            store: BTreeMap::new(),
            submissions: BTreeMap::new(),
            cancelled: Vec::new(),
            revision: 1,
            write_delay: Duration::from_millis(10),
            writes: Vec::new(),
            delivery: Box::new(|_| Delivery::Answered),
            order_count: 0,
            late_orders: Vec::new(),
            queues: pools.iter().map(|pool| queue(&format!("q-{pool}"), pool)).collect(),
            services: pools
                .iter()
                .map(|pool| Service { name: (*pool).into(), is_standby: pool.starts_with("off") })
                .collect(),
            accounts: Accounts::default(),
            machine_orders: Vec::new(),
            noted_orders: BTreeMap::new(),
            order_note_lost: false,
            commands: Vec::new(),
            incarnations: 0,
            started: BTreeMap::new(),
            done: BTreeMap::new(),
            accepts_machine_orders: true,
            waves: Vec::new(),
            machine_list_unavailable: false,
            unreadable_executor: None,
            registered: BTreeMap::new(),
            connections: BTreeMap::new(),
            drops_answers_of: None,
            refuses_moves: false,
            machine_order_delay: Duration::ZERO,
            machine_orders_in_flight: Vec::new(),
            last_machine_orders: BTreeMap::new(),
            approved: Vec::new(),
            advice_requests: 0,
            advisor: Advisor::default(),
            labels: BTreeMap::new(),
            restarts_keep_ids: false,
            executors_accept_overload: false,
            hold_wait: HOLD_WAIT,
            crashes: Crashes::default(),
            long_running: LongRunning::default(),
        };
        for pool in pools {
            for number in 0..per_pool {
                let rack = format!("rack-{}", number / 2);
                let machine: Arc<str> = format!("m-{pool}-{number}").into();
                world.add_machine(&machine, pool, &rack);
            }
        }
        world.configure();
        world.run_for(Duration::from_millis(300));
        world
    }

    pub fn configure(&mut self) {
        let (queues, services) = (self.queues.clone(), self.services.clone());
        self.fleet.configure(queues, services, self.accounts.settings());
    }

    fn is_standby(&self, pool: &str) -> bool {
        self.services.iter().any(|service| &*service.name == pool && service.is_standby)
    }

    pub fn add_machine(&mut self, machine: &Arc<str>, pool: &str, rack: &str) {
        let executor = (!self.is_standby(pool)).then(|| self.new_incarnation(pool, rack, machine));
        self.machines.insert(
            machine.clone(),
            Machine {
                pool: pool.into(),
                executor,
                back_at: None,
                away_for: None,
                maintained_for: Vec::new(),
            },
        );
    }

    fn new_incarnation(&mut self, pool: &str, rack: &str, machine: &str) -> Arc<str> {
        let id: Arc<str> = format!("i-{}", self.incarnations + 1).into();
        self.begin_incarnation(id, pool, rack, machine)
    }

    fn begin_incarnation(
        &mut self,
        id: Arc<str>,
        pool: &str,
        rack: &str,
        machine: &str,
    ) -> Arc<str> {
        self.incarnations += 1;
        let info = ExecutorInfo {
            id: id.clone(),
            incarnation: Some(1_000 - self.incarnations),
            service: pool.into(),
            address: format!("{machine}:1").into(),
            zone: "z".into(),
            rack: Some(rack.into()),
            labels: self
                .labels
                .get(machine)
                .into_iter()
                .cloned()
                .chain(["a".into(), rack.into()])
                .collect(),
            capacity: Resources { cpu_millicores: 8000, memory_mb: 64_000, gpus: 0 },
            is_draining: false,
        };
        let mut executor = FakeExecutor::new(info, self.now);
        executor.accepts_overload = self.executors_accept_overload;
        self.executors.insert(id.clone(), executor);
        id
    }

    /// Sets whether all executors accept starts beyond their capacity. The model asserts that none are ordered.
    pub fn accept_overload(&mut self, accepts_overload: bool) {
        self.executors_accept_overload = accepts_overload;
        self.executors.values_mut().for_each(|one| one.accepts_overload = accepts_overload);
    }

    pub fn executor_of(&self, machine: &str) -> Arc<str> {
        self.machines[machine].executor.clone().expect("the machine is up")
    }

    /// Crashes a machine; with `back_after` it returns with another executor.
    pub fn crash(&mut self, machine: &str, back_after: Option<Duration>) {
        let now = self.now;
        let id = self.executor_of(machine);
        let executor = self.executors.get_mut(&id).expect("the executor exists");
        self.crashes.note(now, executor.lost_in_crash());
        executor.crash();
        let back = back_after.map(|after| (now + after, id));
        self.machines.get_mut(machine).expect("it was read above").back_at = back;
    }

    pub fn submit(&mut self, id: &str, queue: &str, spec: JobSpec) {
        self.store_job(id, queue, spec);
        let submission = self.submissions[id].clone();
        self.fleet.add_job(self.now, self.now, self.wall_ms(), id.into(), submission);
    }

    /// Stores a job without notifying the owner.
    pub fn store_job(&mut self, id: &str, queue: &str, spec: JobSpec) {
        let settings = self.queues.iter().find(|one| &*one.name == queue).cloned();
        let account = self.accounts.of_job(id);
        let accepted_ms = self.wall_ms();
        let submission = Submission { queue: queue.into(), settings, account, accepted_ms, spec };
        self.submissions.insert(id.into(), submission);
    }

    pub fn cancel(&mut self, id: &str) {
        self.cancelled.push(id.into());
        self.fleet.cancel(self.now, &id.into());
    }

    pub fn wall_ms(&self) -> u64 {
        EPOCH_MS + self.now.as_millis() as u64
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.advance();
        }
    }

    /// Runs until the job is over and returns its outcome; none after `limit`.
    pub fn run_until_over(&mut self, id: &str, limit: Duration) -> Option<JobOutcome> {
        let until = self.now + limit;
        while self.now < until {
            if let Some(JobView::Over(outcome)) = self.fleet.view(id) {
                return Some(outcome);
            }
            self.run_for(STEP);
        }
        None
    }

    /// Runs until a task of a job runs, which must happen within [`STARTED_WITHIN`].
    pub fn run_until_started(&mut self, id: &str) {
        let until = self.now + STARTED_WITHIN;
        while self.runs_of(id) == 0 {
            assert!(self.now < until, "nothing of {id} starts");
            self.run_for(STEP);
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        self.executors.values_mut().for_each(|executor| executor.advance(now));
        self.apply_task_crashes();
        self.note_long_running();
        self.return_machines();
        let is_listing = now.as_millis().is_multiple_of(200);
        if is_listing {
            self.publish_listings();
        }
        self.execute_late_orders();
        self.deliver_machine_orders();
        self.send_holds();
        self.finish_writes();
        self.answer_advice_requests();
        self.fleet.tick(now, self.wall_ms());
        self.execute_commands();
        while let Some(batch) = self.fleet.take_batch(30, usize::MAX) {
            self.writes.push((now + self.write_delay, batch));
        }
        self.check();
    }

    /// Returns the number of tasks of a job that are at work.
    pub fn at_work_of(&self, id: &str) -> usize {
        let of_job = |task: &&TaskKey| &*task.job == id;
        self.executors.values().flat_map(FakeExecutor::at_work).filter(of_job).count()
    }

    /// Adds a label to a machine and its executor.
    pub fn label(&mut self, machine: &str, label: &str) {
        let id = self.executor_of(machine);
        self.executors.get_mut(&id).expect("the executor exists").info.labels.push(label.into());
        self.labels.insert(machine.into(), label.into());
    }

    /// Whether any task of a job has been started.
    pub fn has_started(&self, id: &str) -> bool {
        let first = TaskKey { job: id.into(), occurrence: 0, step: 0, index: 0 };
        self.started.range(first..).next().is_some_and(|(task, _)| &*task.job == id)
    }

    /// Returns the machine of an executor.
    pub fn machine_with(&self, executor: &str) -> Arc<str> {
        let has_it = |machine: &Machine| machine.executor.as_deref() == Some(executor);
        let found = self.machines.iter().find(|(_, machine)| has_it(machine));
        found.expect("the executor is on a machine").0.clone()
    }

    /// Returns the machine on which a task of a job runs.
    pub fn machine_of_task(&self, id: &str) -> Arc<str> {
        let runs_it = |machine: &Machine| {
            let executor = machine.executor.as_ref().and_then(|one| self.executors.get(one));
            executor.is_some_and(|one| one.running().any(|task| &*task.job == id))
        };
        let found = self.machines.iter().find(|(_, machine)| runs_it(machine));
        found.expect("a task of it runs").0.clone()
    }

    /// Returns the number of running tasks of a job, at work or starting up.
    pub fn runs_of(&self, id: &str) -> usize {
        let of_job = |task: &&TaskKey| &*task.job == id;
        self.executors.values().flat_map(FakeExecutor::running).filter(of_job).count()
    }
}

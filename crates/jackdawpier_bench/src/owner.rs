//! What the owner's decisions cost on a fleet under bursts: processor time of each kind of event.
//!
//! The executors here only count down the run times of what they are given; the decisions are those
//! of `jackdawpier_fleet`. Exchanges with executors and the store are counted, not carried out.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use jackdawpier_fleet::{
    executor::{EndKind, EndedTask, ExecutorInfo, HoldReport, RunningTask},
    fleet::{Command, Fleet, FleetSettings, StartOutcome},
    machines::{MachineInfo, MachineOrderOutcome, MachineState},
    spec::{AdviceCost, JobSpec, Queue, Resources, Service, StepSpec, Submission, TaskKey},
};
use jackdawpier_kernel::ids::ExecutorId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A load on a fleet.
#[derive(Debug, Clone, Copy)]
pub struct OwnerLoad {
    /// Executors in each pool.
    pub per_pool: usize,
    /// Pools with a queue each.
    pub pools: usize,
    /// Jobs a second of a queue on the mean.
    pub jobs_per_s: f64,
    /// Seed of arrivals and sizes.
    pub seed: u64,
}

/// The users' larger deployment: 350 executors in five pools, of which four have queues; in its turn
/// a queue is asked for a little more than its pool holds.
pub const GROWN: OwnerLoad = OwnerLoad { per_pool: 70, pools: 5, jobs_per_s: 24.0, seed: 1 };

/// What a run has cost.
#[derive(Debug, Clone, Default)]
pub struct OwnerCost {
    /// Tasks that ended well.
    pub done: u64,
    /// Orders to start.
    pub starts: u64,
    /// Answers of executors.
    pub holds: u64,
    /// Looks of the decisions at the clock.
    pub ticks: u64,
    /// Transactions.
    pub writes: u64,
    /// Median time from acceptance to the first start, in milliseconds.
    pub median_start_ms: u64,
    /// Processor time by kind of event.
    pub by_event: BTreeMap<&'static str, Duration>,
}

const STEP: Duration = Duration::from_millis(10);
const WRITE_TIME: Duration = Duration::from_millis(30);
const RUN: Duration = Duration::from_secs(20);
/// Each queue in its turn is asked for this many times its mean.
const BURST: f64 = 4.0;
const TURN: Duration = Duration::from_secs(4);

struct Running {
    task: TaskKey,
    run: u32,
    ends_at: Duration,
}

#[derive(Default)]
struct Emulated {
    running: Vec<Running>,
    ended: Vec<EndedTask>,
    next_end: u64,
    asked_at: Duration,
}

struct Bench {
    fleet: Fleet,
    now: Duration,
    executors: BTreeMap<ExecutorId, Emulated>,
    infos: BTreeMap<ExecutorId, ExecutorInfo>,
    estimates: HashMap<(String, u32), Duration>,
    accepted: HashMap<String, Duration>,
    waits_ms: Vec<u64>,
    cost: OwnerCost,
}

impl Bench {
    fn timed<T>(&mut self, event: &'static str, act: impl FnOnce(&mut Fleet) -> T) -> T {
        let began_at = Instant::now();
        let result = act(&mut self.fleet);
        *self.cost.by_event.entry(event).or_default() += began_at.elapsed();
        result
    }

    fn submit(&mut self, number: u64, queue: &Queue, spec: JobSpec) {
        let (now, wall_ms) = (self.now, self.now.as_millis() as u64);
        let id = format!("{number:016x}");
        for (step, of_step) in spec.steps.iter().enumerate() {
            self.estimates.insert((id.clone(), step as u32), of_step.estimate);
        }
        self.accepted.insert(id.clone(), now);
        let submission = Submission {
            account: None,
            queue: queue.name.clone(),
            settings: Some(queue.clone()),
            accepted_ms: wall_ms,
            spec,
        };
        self.timed("add_job", |fleet| {
            fleet.add_job(now, now, wall_ms, id.as_str().into(), submission);
        });
    }

    fn hold(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (id, executor) in &mut self.executors {
            let mut has_ended = false;
            for one in executor.running.extract_if(.., |one| one.ends_at <= now) {
                executor.next_end += 1;
                has_ended = true;
                executor.ended.push(EndedTask {
                    sequence: executor.next_end,
                    task: one.task,
                    run: one.run,
                    kind: EndKind::Done,
                    checkpoint: "".into(),
                });
                self.cost.done += 1;
            }
            if has_ended || now >= executor.asked_at + Duration::from_secs(1) {
                due.push(id.clone());
            }
        }
        for id in due {
            let Some(order) = self.timed("hold_order", |fleet| fleet.hold_directive(now, &id))
            else {
                continue;
            };
            let executor = self.executors.get_mut(&id).expect("it was listed above");
            executor.asked_at = now;
            executor.ended.retain(|end| end.sequence > order.acknowledged);
            let running = executor.running.iter().map(|one| RunningTask {
                task: one.task.clone(),
                run: one.run,
                checkpoint: "".into(),
                speed_percent: 100,
                gauge: 0,
            });
            let report = HoldReport {
                incarnation: None,
                clock: now,
                running: running.collect(),
                ended: executor.ended.clone(),
            };
            self.cost.holds += 1;
            self.timed("hold_answered", |fleet| fleet.hold_answered(now, now, &id, &report));
        }
    }

    fn carry_out(&mut self) {
        let now = self.now;
        for command in self.fleet.take_commands() {
            match command {
                Command::Start { executor, task, run, .. } => {
                    self.cost.starts += 1;
                    if let Some(accepted) = self.accepted.remove(&*task.job) {
                        self.waits_ms.push(now.saturating_sub(accepted).as_millis() as u64);
                    }
                    let takes = self.estimates[&(task.job.to_string(), task.step)];
                    let running = Running { task: task.clone(), run, ends_at: now + takes };
                    self.executors.get_mut(&executor).expect("it lives").running.push(running);
                    self.timed("start_ended", |fleet| {
                        fleet.start_ended(now, &executor, &task, run, StartOutcome::Started, true);
                    });
                }
                // Pools stay as they are, so that a burst meets a full one.
                Command::Machine(order) => {
                    self.fleet.machine_order_ended(now, &order, MachineOrderOutcome::Busy);
                }
                _ => {}
            }
        }
    }

    fn list(&mut self) {
        let now = self.now;
        let listed = self.infos.values().cloned().collect();
        self.timed("replace_executors", |fleet| fleet.replace_executors(now, listed));
        let machines = self.infos.iter().map(|(id, info)| MachineInfo {
            id: id[2..].into(),
            pool: info.service.clone(),
            state: MachineState::Up,
            executor: Some(id.clone()),
            labels: info.labels.clone(),
        });
        let machines = machines.collect();
        self.timed("list_machines", |fleet| fleet.update_machines(now, now, machines));
    }
}

fn step(count: u32, cores: f64, takes: Duration) -> StepSpec {
    let need = Resources {
        cpu_millicores: (cores * 1000.0) as u64,
        memory_mb: (cores * 3700.0) as u64,
        gpus: 0,
    };
    StepSpec { count, need, estimate: takes, ..StepSpec::default() }
}

fn draw_job(random: &mut ChaCha8Rng) -> JobSpec {
    let takes = Duration::from_millis(random.random_range(400..1200));
    let first = step(random.random_range(4..13), random.random_range(3.0..9.0), takes);
    let mut steps = vec![first];
    if random.random_bool(0.5) {
        let mut second = step(random.random_range(4..13), random.random_range(3.0..9.0), takes);
        second.after = vec![0];
        steps.push(second);
    }
    JobSpec { payload: "payload".into(), steps, schedule: None }
}

/// Settings of an owner without bounds on its memory.
pub(crate) fn settings() -> FleetSettings {
    FleetSettings {
        longest_lease: Duration::from_secs(10),
        lease: Duration::from_secs(5),
        takeover_uncertainty: Duration::from_millis(7500),
        stop_timeout: Duration::from_millis(200),
        maintenance: Duration::from_secs(2),
        remote_factor: 3.0,
        order_lease: Duration::ZERO,
        max_active_tasks: usize::MAX,
        open_job_bytes: usize::MAX,
        policy: jackdawpier_fleet::policy::Policy::default(),
    }
}

/// The queue of a pool.
pub(crate) fn queue(pool: usize) -> Queue {
    Queue {
        name: format!("queue-{pool}").into(),
        service: format!("pool-{pool}").into(),
        priority: 0,
        max_attempts: 4,
        slack_factor: 1.6,
        target: Duration::from_millis(600),
        needs_advice: false,
        advice_cost: AdviceCost::default(),
    }
}

fn info(load: &OwnerLoad, number: usize) -> ExecutorInfo {
    let rack = format!("rack-{}", number / 8);
    ExecutorInfo {
        id: format!("i-{number:04}").into(),
        incarnation: None,
        service: format!("pool-{}", number / load.per_pool).into(),
        address: "10.0.0.1:1".into(),
        zone: "zone".into(),
        rack: Some(rack.as_str().into()),
        labels: vec!["a".into(), rack.into()],
        capacity: Resources { cpu_millicores: 64_000, memory_mb: 262_144, gpus: 0 },
        is_draining: false,
    }
}

/// Plays twenty seconds of bursts by turns.
pub fn run(load: &OwnerLoad) -> OwnerCost {
    let mut random = ChaCha8Rng::seed_from_u64(load.seed);
    let start = Duration::from_secs(100);
    let infos: BTreeMap<ExecutorId, ExecutorInfo> = (0..load.per_pool * load.pools)
        .map(|number| info(load, number))
        .map(|info| (info.id.clone(), info))
        .collect();
    let mut bench = Bench {
        fleet: Fleet::new(settings(), start),
        now: start,
        executors: infos.keys().map(|id| (id.clone(), Emulated::default())).collect(),
        infos,
        estimates: HashMap::new(),
        accepted: HashMap::new(),
        waits_ms: Vec::new(),
        cost: OwnerCost::default(),
    };
    let queues: Vec<Queue> = (0..load.pools - 1).map(queue).collect();
    let services = (0..load.pools)
        .map(|pool| Service { name: format!("pool-{pool}").into(), is_standby: false });
    bench.fleet.configure(queues.clone(), services.collect(), Vec::new());
    let mut writes = Vec::new();
    let mut number = 0u64;
    while bench.now < start + RUN {
        bench.now += STEP;
        let now = bench.now;
        if now.as_millis().is_multiple_of(400) || now == start + STEP {
            bench.list();
        }
        let turn =
            (now.saturating_sub(start).as_millis() / TURN.as_millis()) as usize % queues.len();
        for (place, queue) in queues.iter().enumerate() {
            let times = if place == turn { BURST } else { 0.2 };
            let expected = load.jobs_per_s * times * STEP.as_secs_f64();
            let arrivals =
                expected.trunc() as u32 + u32::from(random.random_bool(expected.fract()));
            for _ in 0..arrivals {
                number += 1;
                bench.submit(number, queue, draw_job(&mut random));
            }
        }
        bench.hold();
        let wall_ms = now.as_millis() as u64;
        bench.timed("tick", |fleet| fleet.tick(now, wall_ms));
        bench.cost.ticks += 1;
        bench.carry_out();
        while let Some(batch) = bench.timed("take_batch", |fleet| fleet.take_batch(30, usize::MAX))
        {
            writes.push((now + WRITE_TIME, batch));
            bench.cost.writes += 1;
        }
        for (_, batch) in writes.extract_if(.., |(at, _)| *at <= now) {
            let revisions = vec![number; batch.jobs.len()];
            bench.timed("batch_durable", |fleet| fleet.batch_durable(now, &batch, &revisions));
        }
        bench.carry_out();
    }
    bench.waits_ms.sort_unstable();
    bench.cost.median_start_ms =
        bench.waits_ms.get(bench.waits_ms.len() / 2).copied().unwrap_or_default();
    bench.cost
}

/// Executors a pool at which the cost is measured; load and room grow alike.
const SIZES: [usize; 4] = [10, 70, 200, 640];

/// Prints the cost at several sizes.
pub fn print() {
    for per_pool in SIZES {
        let jobs_per_s = GROWN.jobs_per_s * per_pool as f64 / GROWN.per_pool as f64;
        print_one(&OwnerLoad { per_pool, jobs_per_s, ..GROWN });
    }
}

fn print_one(load: &OwnerLoad) {
    let cost = run(load);
    println!("{} executors in {} pools:", load.per_pool * load.pools, load.pools);
    println!(
        "  {} tasks done, {} starts, {} holds, {} ticks, {} writes; median start after {} ms",
        cost.done, cost.starts, cost.holds, cost.ticks, cost.writes, cost.median_start_ms
    );
    let all: Duration = cost.by_event.values().sum();
    for (event, time) in &cost.by_event {
        let per_task_us = time.as_secs_f64() * 1e6 / cost.done.max(1) as f64;
        println!("  {event:16} {:8.1} ms  {per_task_us:6.1} µs a task", time.as_secs_f64() * 1e3);
    }
    let share = all.as_secs_f64() / RUN.as_secs_f64();
    println!("  all              {:8.1} ms  {share:.3} cores", all.as_secs_f64() * 1e3);
}

//! The dispatcher in virtual time: fairness, goodput, retries, and the choices it was weighed
//! against.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use hdrhistogram::Histogram;
use jackdawpier_kernel::{Now, ids::ClassName};
use jackdawpier_route::{
    dispatcher::{AttemptOutcome, Command, Dispatcher, RequestInfo},
    executors::ExecutorInfo,
};
use jackdawpier_settings::declaration::{Class, FailureDomain, WorkKind};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CLASS: &str = "render";
const FINISH_WITHIN: Duration = Duration::from_millis(300);
const MEAN_SERVICE: Duration = Duration::from_millis(5);
const QUEUE_PER_CUSTOMER: usize = 256;
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;
const TICK: Duration = Duration::from_millis(20);

/// One run of the dispatcher.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Executors.
    pub executors: u32,
    /// Offered load as a share of capacity, without the loud customer.
    pub offered: f64,
    /// Customers besides the loud one.
    pub customers: u32,
    /// Times that the loud customer sends as much as each other; zero leaves it out.
    pub loud: u32,
    /// Executors that can't be connected to.
    pub dead: u32,
    /// Whether all customers share one queue, first come first served (baseline).
    pub is_one_queue: bool,
    /// Virtual time of the run.
    pub time: Duration,
}

/// What came out.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// 99th percentile of the quiet customers' answered requests.
    pub quiet_p99: Duration,
    /// Share of the quiet customers' requests that were answered.
    pub quiet_answered: f64,
    /// Answers within the deadline, as a share of what the slots could give.
    pub goodput: f64,
    /// Attempts for each request that was admitted.
    pub attempts_per_request: f64,
    /// Most attempts in flight at one executor.
    pub max_in_flight: u32,
    /// Requests refused.
    pub refused: u64,
    /// Time from a refusal's cause to the answer, the longest.
    pub requests: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { customer: u32 },
    End { ticket: u64, is_dead: bool },
    Tick,
}

fn class() -> Class {
    Class {
        name: CLASS.into(),
        service: "widgets".into(),
        kind: WorkKind::Quick,
        idempotent: true,
        finish_within_ms: FINISH_WITHIN.as_millis() as u64,
        capacity_instances: 1,
        may_lose_instances: 0,
        survive: FailureDomain::Instance,
    }
}

fn exponential(random: &mut impl Rng, mean: Duration) -> Duration {
    let uniform: f64 = random.random_range(1e-9..1.0);
    mean.mul_f64(-uniform.ln())
}

struct Sim {
    load: Load,
    dispatcher: Dispatcher,
    events: BinaryHeap<Reverse<(Now, u64, Event)>>,
    sequence: u64,
    random: ChaCha8Rng,
    arrived_at: HashMap<u64, (Now, u32)>,
    histogram: Histogram<u64>,
    quiet_sent: u64,
    quiet_answered: u64,
    in_time: u64,
    attempts: u64,
    admitted: u64,
    outcome: Outcome,
}

/// Runs the dispatcher under `load`.
pub fn run(load: Load) -> Outcome {
    let mut sim = Sim {
        load,
        dispatcher: Dispatcher::new(QUEUE_PER_CUSTOMER),
        events: BinaryHeap::new(),
        sequence: 0,
        random: ChaCha8Rng::seed_from_u64(load.seed),
        arrived_at: HashMap::new(),
        histogram: Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid"),
        quiet_sent: 0,
        quiet_answered: 0,
        in_time: 0,
        attempts: 0,
        admitted: 0,
        outcome: Outcome::default(),
    };
    sim.start();
    sim.drive();
    sim.finish()
}

impl Sim {
    fn start(&mut self) {
        self.dispatcher.set_classes([&class()]);
        for index in 0..self.load.executors {
            let info = ExecutorInfo {
                id: format!("executor-{index}").into(),
                zone: format!("zone-{}", index % 3).into(),
                slots: SLOTS,
                connections: CONNECTIONS,
                is_leaving: false,
            };
            self.dispatcher.upsert_executor(Now::ZERO, info);
        }
        for customer in 0..=self.load.customers {
            if customer > 0 || self.load.loud > 0 {
                let gap = self.gap(customer);
                self.at(gap, Event::Arrival { customer });
            }
        }
        self.at(TICK, Event::Tick);
    }

    fn capacity_per_s(&self) -> f64 {
        f64::from(self.load.executors * SLOTS) / MEAN_SERVICE.as_secs_f64()
    }

    /// Time to the next arrival of a customer; customer 0 is the loud one.
    fn gap(&mut self, customer: u32) -> Duration {
        let each_per_s = self.capacity_per_s() * self.load.offered / f64::from(self.load.customers);
        let times = if customer == 0 { f64::from(self.load.loud) } else { 1.0 };
        exponential(&mut self.random, Duration::from_secs_f64(1.0 / (each_per_s * times)))
    }

    fn at(&mut self, when: Now, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((when, self.sequence, event)));
    }

    fn drive(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > self.load.time {
                return;
            }
            match event {
                Event::Arrival { customer } => self.arrive(now, customer),
                Event::End { ticket, is_dead } => self.end(now, ticket, is_dead),
                Event::Tick => {
                    let commands = self.dispatcher.tick(now);
                    self.follow(now, commands);
                    self.at(now + TICK, Event::Tick);
                }
            }
        }
    }

    fn arrive(&mut self, now: Now, customer: u32) {
        let gap = self.gap(customer);
        self.at(now + gap, Event::Arrival { customer });
        self.sequence += 1;
        let ticket = self.sequence;
        self.outcome.requests += 1;
        self.quiet_sent += u64::from(customer > 0);
        self.arrived_at.insert(ticket, (now, customer));
        let queue = if self.load.is_one_queue { 0 } else { customer };
        let info = RequestInfo {
            ticket,
            class: ClassName::from(CLASS),
            customer: format!("customer-{queue}").into(),
            deadline: now + FINISH_WITHIN,
            is_idempotent: true,
        };
        let commands = self.dispatcher.submit(now, info);
        let is_refused =
            matches!(commands.first(), Some(Command::Refuse { ticket: t, .. }) if *t == ticket);
        self.admitted += u64::from(!is_refused);
        self.follow(now, commands);
    }

    fn end(&mut self, now: Now, ticket: u64, is_dead: bool) {
        let end = if is_dead { AttemptOutcome::NotConnected } else { AttemptOutcome::Answered };
        if !is_dead && let Some((arrived_at, customer)) = self.arrived_at.remove(&ticket) {
            let took = now.saturating_sub(arrived_at);
            self.in_time += u64::from(took <= FINISH_WITHIN);
            if customer > 0 {
                self.quiet_answered += 1;
                self.histogram.saturating_record(took.as_micros() as u64);
            }
        }
        let commands = self.dispatcher.finish_attempt(now, ticket, end);
        self.follow(now, commands);
    }

    fn follow(&mut self, now: Now, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { ticket, executor } => {
                    self.attempts += 1;
                    let in_flight = self.dispatcher.executors().in_flight(&executor);
                    self.outcome.max_in_flight = self.outcome.max_in_flight.max(in_flight);
                    let index: u32 = executor.trim_start_matches("executor-").parse().unwrap_or(0);
                    let is_dead = index < self.load.dead;
                    let took = if is_dead {
                        Duration::from_micros(100)
                    } else {
                        exponential(&mut self.random, MEAN_SERVICE)
                    };
                    self.at(now + took, Event::End { ticket, is_dead });
                }
                Command::Refuse { ticket, .. }
                | Command::Fail { ticket }
                | Command::Unknown { ticket } => {
                    self.outcome.refused += 1;
                    self.arrived_at.remove(&ticket);
                }
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let possible = self.capacity_per_s() * self.load.time.as_secs_f64();
        self.outcome.quiet_p99 = Duration::from_micros(self.histogram.value_at_quantile(0.99));
        self.outcome.quiet_answered = self.quiet_answered as f64 / self.quiet_sent.max(1) as f64;
        self.outcome.goodput = self.in_time as f64 / possible;
        self.outcome.attempts_per_request = self.attempts as f64 / self.admitted.max(1) as f64;
        self.outcome
    }
}

/// One run of several entries over shared executors.
#[derive(Debug, Clone, Copy)]
pub struct Sharing {
    /// Most requests at one executor beyond its slots.
    pub most_over_slots: u32,
    /// Share of the requests that found no free slot where they were sent.
    pub over_slots_share: f64,
    /// Share of those that did so while another executor had a free slot.
    pub idle_elsewhere_share: f64,
}

/// Baseline: `entries` choose by themselves the less loaded of two executors, each counting only
/// its own requests. The product's choice, one deciding entry a service, has zero by construction.
pub fn independent_choice(entries: u32, executors: u32, offered: f64, seed: u64) -> Sharing {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut own = vec![vec![0_u32; executors as usize]; entries as usize];
    let mut total = vec![0_u32; executors as usize];
    let mut ends: BinaryHeap<Reverse<(Now, usize, usize)>> = BinaryHeap::new();
    let per_s = f64::from(executors * SLOTS) / MEAN_SERVICE.as_secs_f64() * offered;
    let gap = Duration::from_secs_f64(1.0 / per_s);
    let mut now = Now::ZERO;
    let (mut over, mut idle, mut most) = (0_u64, 0_u64, 0);
    let requests = 200_000_u64;
    for _ in 0..requests {
        now += exponential(&mut random, gap);
        while let Some(Reverse((at, entry, executor))) = ends.peek().copied() {
            if at > now {
                break;
            }
            ends.pop();
            own[entry][executor] -= 1;
            total[executor] -= 1;
        }
        let entry = random.random_range(0..entries as usize);
        let a = random.random_range(0..executors as usize);
        let b = random.random_range(0..executors as usize);
        let chosen = if own[entry][a] <= own[entry][b] { a } else { b };
        if total[chosen] >= SLOTS {
            over += 1;
            idle += u64::from(total.iter().any(|busy| *busy < SLOTS));
        }
        own[entry][chosen] += 1;
        total[chosen] += 1;
        most = most.max(total[chosen].saturating_sub(SLOTS));
        ends.push(Reverse((now + exponential(&mut random, MEAN_SERVICE), entry, chosen)));
    }
    Sharing {
        most_over_slots: most,
        over_slots_share: over as f64 / requests as f64,
        idle_elsewhere_share: idle as f64 / requests as f64,
    }
}

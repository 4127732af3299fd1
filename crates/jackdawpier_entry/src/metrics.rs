//! Counters and latency histograms, served as text at the address in the settings.
//!
//! Each event is counted by its kind and outcome, also if its log line is suppressed, so the counts are
//! complete while the volume of the log is bounded.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use jackdawpier_fleet::{
    fleet::{ActiveTasks, Obstacles, WaitingJobs},
    job_room::JobRoom,
};
use jackdawpier_http::request_body::BodyMemory;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

use crate::connections::ConnectionCounts;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClosedLabels {
    why: &'static str,
}

/// Labels of rejected jobs. Both names are from the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RejectionLabels {
    queue: String,
    account: String,
}

/// Maximum number of pairs of queue and account with a counter of their own; the others share one. Pairs of former
/// configurations count too, so the number of time series stays bounded.
const MAX_REJECTION_LABELS: usize = 200;
/// Label of the counter that the others share.
const OTHER: &str = "other";

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ObstacleLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeldLabels {
    what: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    answer: &'static str,
}

/// The measured latencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Latency {
    /// From the arrival of a job to its acceptance or refusal.
    Acceptance,
    /// From the first attempt to write a group of records until it is durable.
    Write,
    /// From an order to start a task until its outcome, including retries.
    Start,
    /// From the begin of a takeover until the state is rebuilt.
    TakeOver,
    /// From the arrival of a query for a job to its answer.
    JobQuery,
}

impl Latency {
    const ALL: [Self; 5] =
        [Self::Acceptance, Self::Write, Self::Start, Self::TakeOver, Self::JobQuery];

    fn name(self) -> &'static str {
        match self {
            Self::Acceptance => "acceptance",
            Self::Write => "record_write",
            Self::Start => "task_start",
            Self::TakeOver => "takeover",
            Self::JobQuery => "question",
        }
    }

    fn help(self) -> &'static str {
        match self {
            Self::Acceptance => "From the arrival of a job to its acceptance or refusal",
            Self::Write => "From the first try to write a group of records until it is durable",
            Self::Start => "From an order to start a task until its outcome, repeats included",
            Self::TakeOver => "From the begin of a take-over until the state is rebuilt",
            Self::JobQuery => "From the arrival of a question for a job to its answer",
        }
    }
}

/// Upper bound of the first bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;
/// Number of buckets, each twice as long as the previous one, up to eight seconds.
const BUCKET_COUNT: u16 = 14;

#[derive(Debug)]
struct Inner {
    registry: Registry,
    events: Family<EventLabels, Counter>,
    latencies: Vec<Histogram>,
    is_owner: Gauge,
    proof_age: Gauge<f64, AtomicU64>,
    waiting_jobs: Family<ClassLabels, Gauge>,
    obstacles: Family<ObstacleLabels, Gauge>,
    frozen_executors: Gauge,
    owner_memory: Family<HeldLabels, Gauge>,
    owner_limits: Family<HeldLabels, Gauge>,
    open_connections: Gauge,
    closed_connections: Family<ClosedLabels, Counter>,
    body_bytes: Gauge,
    body_limit_bytes: Gauge,
    advised_executors: Family<AnswerLabels, Counter>,
    rejections: Family<RejectionLabels, Counter>,
    rejection_labels: HashSet<RejectionLabels>,
}

/// The metrics of the process.
#[derive(Debug, Clone)]
pub struct Metrics(Rc<RefCell<Inner>>);

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jackdawpier");
        let events = Family::<EventLabels, Counter>::default();
        registry.register("events", "Events of the log, by outcome", events.clone());
        let is_owner = Gauge::default();
        registry.register("owner", "1 while this entry owns the fleet", is_owner.clone());
        let proof_age = Gauge::<f64, AtomicU64>::default();
        let help = "Time since the configuration was last known to be the newest, where keys are asked for";
        registry.register_with_unit("key_proof_age", help, Unit::Seconds, proof_age.clone());
        let waiting_jobs = Family::<ClassLabels, Gauge>::default();
        let help = "Jobs of which a task waits, by class, at the entry that owns the fleet";
        registry.register("waiting_jobs", help, waiting_jobs.clone());
        let obstacles = Family::<ObstacleLabels, Gauge>::default();
        let help = "Executors of the services of the longest waiting tasks, by what keeps the task from them";
        registry.register("waiting_obstacles", help, obstacles.clone());
        let frozen_executors = Gauge::default();
        let help = "Executors that get no work until a lease has expired, at the entry that owns the fleet";
        registry.register("frozen_executors", help, frozen_executors.clone());
        let owner_memory = Family::<HeldLabels, Gauge>::default();
        let help = "What the entry that owns the fleet holds: open jobs in bytes, and placed tasks";
        registry.register("owner_held", help, owner_memory.clone());
        let owner_limits = Family::<HeldLabels, Gauge>::default();
        let help = "Maximum of owner_held";
        registry.register("owner_held_limit", help, owner_limits.clone());
        let open_connections = Gauge::default();
        let help = "Open connections of the callers' port";
        registry.register("open_connections", help, open_connections.clone());
        let closed_connections = Family::<ClosedLabels, Counter>::default();
        let help = "Connections of the callers' port that this entry ended, by reason";
        registry.register("closed_connections", help, closed_connections.clone());
        let body_bytes = Gauge::default();
        let help = "Memory of request bodies beyond the part that counts as their connections'";
        registry.register("body_bytes", help, body_bytes.clone());
        let body_limit_bytes = Gauge::default();
        registry.register("body_limit_bytes", "Maximum of body_bytes", body_limit_bytes.clone());
        let advised_executors = Family::<AnswerLabels, Counter>::default();
        let help = "Executors that the placement advisor was asked about, by its answer";
        registry.register("advised_executors", help, advised_executors.clone());
        let rejections = Family::<RejectionLabels, Counter>::default();
        let help = "Jobs that this entry rejected because their accounts exceeded their share";
        registry.register("jobs_turned_away", help, rejections.clone());
        let latencies = Latency::ALL.map(|latency| {
            let histogram = Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
            let (name, help) = (latency.name(), latency.help());
            registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
            histogram
        });
        let latencies = latencies.into();
        Self(Rc::new(RefCell::new(Inner {
            registry,
            events,
            latencies,
            is_owner,
            proof_age,
            waiting_jobs,
            obstacles,
            frozen_executors,
            owner_memory,
            owner_limits,
            open_connections,
            closed_connections,
            body_bytes,
            body_limit_bytes,
            advised_executors,
            rejections,
            rejection_labels: HashSet::new(),
        })))
    }
}

impl Metrics {
    /// Counts an event with its outcome; empty if it has none.
    pub fn count(&self, event: &'static str, outcome: &str) {
        let labels = EventLabels { event, outcome: outcome.to_owned() };
        self.0.borrow().events.get_or_create(&labels).inc();
    }

    /// Counts a job of an account that was rejected because its queue is overloaded.
    pub fn count_rejection(&self, queue: &str, account: &str) {
        let mut inner = self.0.borrow_mut();
        let mut labels = RejectionLabels { queue: queue.to_owned(), account: account.to_owned() };
        if inner.rejection_labels.len() < MAX_REJECTION_LABELS {
            inner.rejection_labels.insert(labels.clone());
        } else if !inner.rejection_labels.contains(&labels) {
            labels = RejectionLabels { queue: OTHER.to_owned(), account: OTHER.to_owned() };
        }
        inner.rejections.get_or_create(&labels).inc();
    }

    /// Counts the executors of an answer of the placement advisor.
    pub fn count_advice(&self, named: usize, approved: usize) {
        let inner = self.0.borrow();
        let by_answer = [("allowed", approved), ("forbidden", named.saturating_sub(approved))];
        for (answer, count) in by_answer {
            let counter = inner.advised_executors.get_or_create(&AnswerLabels { answer });
            counter.inc_by(count as u64);
        }
    }

    /// Records a latency.
    pub fn observe(&self, latency: Latency, time: Duration) {
        let index = Latency::ALL.iter().position(|one| *one == latency);
        let index = index.expect("every latency is in the list");
        self.0.borrow().latencies[index].observe(time.as_secs_f64());
    }

    /// Sets whether this entry owns the fleet.
    pub fn set_owner(&self, is_owner: bool) {
        self.0.borrow().is_owner.set(i64::from(is_owner));
    }

    /// Sets how long ago the configuration was last known to be the newest; none if keys aren't required.
    pub fn set_proof_age(&self, age: Option<Duration>) {
        self.0.borrow().proof_age.set(age.unwrap_or_default().as_secs_f64());
    }

    /// Sets the numbers of waiting jobs over all queues.
    pub fn set_waiting_jobs(&self, waiting: &WaitingJobs) {
        let inner = self.0.borrow();
        let by_class = [
            ("on_time", waiting.on_time),
            ("over_share", waiting.over_share),
            ("late", waiting.late),
            ("expired", waiting.expired),
        ];
        for (class, count) in by_class {
            inner.waiting_jobs.get_or_create(&ClassLabels { class }).set(count as i64);
        }
    }

    /// Sets what keeps the longest waiting tasks from the executors of their services.
    pub fn set_obstacles<'a>(&self, obstacles: impl IntoIterator<Item = &'a Obstacles>) {
        let mut totals: BTreeMap<&'static str, usize> =
            Obstacles::default().by_reason().into_iter().collect();
        for (reason, count) in obstacles.into_iter().flat_map(Obstacles::by_reason) {
            *totals.entry(reason).or_default() += count;
        }
        let inner = self.0.borrow();
        for (reason, count) in totals {
            inner.obstacles.get_or_create(&ObstacleLabels { reason }).set(count as i64);
        }
    }

    /// Sets the number of frozen executors.
    pub fn set_frozen_executors(&self, count: usize) {
        self.0.borrow().frozen_executors.set(count as i64);
    }

    /// Sets what open jobs take of the owner's memory; nothing if this entry isn't the owner.
    pub fn set_job_room(&self, room: &JobRoom) {
        self.set_held("open_job_bytes", room.used_bytes, room.total_bytes);
    }

    /// Sets the number of placed tasks; none if this entry isn't the owner.
    pub fn set_active_tasks(&self, tasks: ActiveTasks) {
        self.set_held("active_tasks", tasks.held, tasks.max);
    }

    fn set_held(&self, what: &'static str, held: usize, limit: usize) {
        let inner = self.0.borrow();
        inner.owner_memory.get_or_create(&HeldLabels { what }).set(held as i64);
        inner.owner_limits.get_or_create(&HeldLabels { what }).set(limit as i64);
    }

    /// Sets the numbers of connections of the callers' port.
    pub fn set_connections(&self, counts: ConnectionCounts) {
        let inner = self.0.borrow();
        inner.open_connections.set(counts.open as i64);
        let closed = [
            ("idle", counts.idle_closed),
            ("room", counts.evicted),
            ("broken_off", counts.aborted),
        ];
        for (why, count) in closed {
            let counter = inner.closed_connections.get_or_create(&ClosedLabels { why });
            counter.inner().store(count, Ordering::Relaxed);
        }
    }

    /// Sets the memory of the request bodies of the callers' port.
    pub fn set_bodies(&self, bodies: &BodyMemory) {
        let inner = self.0.borrow();
        inner.body_bytes.set(bodies.held_bytes() as i64);
        inner.body_limit_bytes.set(bodies.limits().total_bytes as i64);
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.0.borrow().registry).expect("writing to a string can't fail");
        text
    }
}

//! Metrics of this entry, by `prometheus-client`.

use std::{sync::atomic::AtomicU64, time::Duration};

use jackdawpier_kernel::outcome::Outcome;
use jackdawpier_route::dispatcher::AttemptOutcome;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::entry::Entry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    class: String,
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreLabels {
    operation: &'static str,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ForwardLabels {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PoolLabels {
    pool: String,
}

/// All metrics.
pub(crate) struct Metrics {
    registry: Registry,
    outcomes: Family<OutcomeLabels, Counter>,
    latency: Histogram,
    attempts: Family<AttemptLabels, Counter>,
    store_calls: Family<StoreLabels, Counter>,
    forwards: Family<ForwardLabels, Counter>,
    queued: Family<ServiceLabels, Gauge>,
    parked: Family<ServiceLabels, Gauge>,
    owned: Family<ServiceLabels, Gauge>,
    pool_margin: Family<PoolLabels, Gauge>,
    pool_buffer: Family<PoolLabels, Gauge>,
    wave_out: Gauge,
    wave_stopped: Gauge,
    moves: Gauge,
    body_bytes: Gauge,
    body_limit_bytes: Gauge,
    members: Gauge,
    ready: Gauge,
    revision: Gauge<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jackdawpier");
        let metrics = Self {
            outcomes: Family::default(),
            latency: Histogram::new(exponential_buckets(0.0005, 2.0, 18)),
            attempts: Family::default(),
            store_calls: Family::default(),
            forwards: Family::default(),
            queued: Family::default(),
            parked: Family::default(),
            owned: Family::default(),
            pool_margin: Family::default(),
            pool_buffer: Family::default(),
            wave_out: Gauge::default(),
            wave_stopped: Gauge::default(),
            moves: Gauge::default(),
            body_bytes: Gauge::default(),
            body_limit_bytes: Gauge::default(),
            members: Gauge::default(),
            ready: Gauge::default(),
            revision: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register("requests", "Requests by outcome and reason", metrics.outcomes.clone());
        registry.register("latency_seconds", "Time to answer callers", metrics.latency.clone());
        registry.register("attempts", "Attempts at executors by end", metrics.attempts.clone());
        registry.register("store_calls", "Calls to the store", metrics.store_calls.clone());
        registry.register("forwards", "Requests sent to peers", metrics.forwards.clone());
        registry.register("queued_requests", "Requests that wait", metrics.queued.clone());
        registry.register("parked_jobs", "Jobs that need an operator", metrics.parked.clone());
        registry.register("owned_cells", "Whether the cell is open here", metrics.owned.clone());
        let margin = "Instances beyond what the pool's target asks for; negative if it is not kept";
        registry.register("pool_margin", margin, metrics.pool_margin.clone());
        let buffer = "Instances of the pool beyond its need";
        registry.register("pool_buffer", buffer, metrics.pool_buffer.clone());
        registry.register("wave_out", "Instances out for maintenance", metrics.wave_out.clone());
        let stopped = "Whether the wave stopped itself";
        registry.register("wave_stopped", stopped, metrics.wave_stopped.clone());
        let moves = "Instances moved since this entry took the capacity role";
        registry.register("moves", moves, metrics.moves.clone());
        let bodies = "Memory of request bodies beyond the part that counts as their connections'";
        registry.register("body_bytes", bodies, metrics.body_bytes.clone());
        let limit = "Maximum of body_bytes";
        registry.register("body_limit_bytes", limit, metrics.body_limit_bytes.clone());
        registry.register("members", "Members with a live lease", metrics.members.clone());
        registry.register("ready", "Whether callers may be served", metrics.ready.clone());
        registry.register("revision", "Highest revision in force", metrics.revision.clone());
        Self { registry, ..metrics }
    }
}

fn outcome_label(end: AttemptOutcome) -> &'static str {
    match end {
        AttemptOutcome::Answered => "answered",
        AttemptOutcome::NotConnected => "not_connected",
        AttemptOutcome::Declined { .. } => "declined",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Lost => "lost",
    }
}

impl Metrics {
    pub(crate) fn count_outcome(&self, outcome: &Outcome, latency: Duration) {
        let reason = match outcome {
            Outcome::NotRun { reason, .. } => reason.to_string(),
            _ => String::new(),
        };
        let labels = OutcomeLabels { outcome: outcome.name(), reason };
        self.outcomes.get_or_create(&labels).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    pub(crate) fn count_attempt(&self, class: &str, end: AttemptOutcome) {
        let labels = AttemptLabels { class: class.to_owned(), end: outcome_label(end) };
        self.attempts.get_or_create(&labels).inc();
    }

    pub(crate) fn count_store_call(&self, operation: &'static str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        self.store_calls.get_or_create(&StoreLabels { operation, result }).inc();
    }

    pub(crate) fn count_forward(&self, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        self.forwards.get_or_create(&ForwardLabels { result }).inc();
    }

    /// Sets the gauges of the capacity role; the holder alone has pools.
    fn set_capacity_gauges(&self, entry: &Entry) {
        let gauges = entry.capacity.gauges();
        self.pool_margin.clear();
        self.pool_buffer.clear();
        for (pool, margin, buffer) in gauges.pools {
            let labels = PoolLabels { pool };
            self.pool_margin.get_or_create(&labels).set(margin);
            self.pool_buffer.get_or_create(&labels).set(buffer);
        }
        self.wave_out.set(gauges.wave_out as i64);
        self.wave_stopped.set(i64::from(gauges.is_wave_stopped));
        self.moves.set(gauges.moves as i64);
    }

    /// Returns the metrics in the text format, after updating the gauges from `entry`.
    pub(crate) fn scrape(&self, entry: &Entry) -> String {
        for service in entry.services() {
            let figures = service.figures();
            let labels = ServiceLabels { service: service.name.to_string() };
            self.queued.get_or_create(&labels).set(figures.queued as i64);
            self.parked.get_or_create(&labels).set(figures.jobs_parked as i64);
            self.owned.get_or_create(&labels).set(i64::from(figures.owns_cell));
        }
        self.set_capacity_gauges(entry);
        self.body_bytes.set(entry.bodies.held_bytes() as i64);
        self.body_limit_bytes.set(entry.bodies.limits().total_bytes as i64);
        self.ready.set(i64::from(entry.is_ready()));
        {
            let coordination = entry.coordination();
            self.members.set(coordination.view.members().count() as i64);
            let highest = coordination.configuration.revisions().into_values().max();
            self.revision.set(highest.unwrap_or(0));
        }
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string can't fail");
        text
    }
}

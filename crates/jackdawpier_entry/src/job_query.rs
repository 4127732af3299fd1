//! Timing of the queries for jobs, so that a slow query can be traced by the job's id.
//!
//! Most queries take milliseconds and aren't logged; see `docs/OPERATIONS.md`.

use std::time::Duration;

use hyper::StatusCode;
use jackdawpier_kernel::Now;
use serde_json::json;

use crate::{clock, events::Events, metrics::Latency, ports::CallError};

/// A query that takes longer, or fails, is logged. About fifty times the latency of the store.
const SLOW_QUERY: Duration = Duration::from_millis(300);

/// Source of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The fleet that this entry owns.
    Memory,
    /// The store.
    Store,
}

/// A query that is being answered.
#[derive(Debug)]
pub(crate) struct JobQuery {
    arrived_at: Now,
    /// When its key was verified; none before that.
    authorized_at: Option<Now>,
    source: Source,
    /// Number of failed reads from the store.
    failures: u32,
    /// The error of the last failed read.
    last_error: Option<CallError>,
}

impl JobQuery {
    /// Tracks a query that arrived at this time.
    pub(crate) fn new(arrived_at: Now) -> Self {
        let source = Source::Memory;
        Self { arrived_at, authorized_at: None, source, failures: 0, last_error: None }
    }

    /// Notes that the key was verified.
    pub(crate) fn on_authorized(&mut self) {
        self.authorized_at = Some(clock::now());
    }

    /// Notes that the store is read.
    pub(crate) fn on_store_access(&mut self) {
        self.source = Source::Store;
    }

    /// Notes a failed read from the store.
    pub(crate) fn on_store_failure(&mut self, error: CallError) {
        self.failures += 1;
        self.last_error = Some(error);
    }

    /// Records the latency, and logs the query if it was slow or failed. `proof_age` is the age of the
    /// proof with which the key was verified.
    pub(crate) fn log_answer(
        &self,
        events: &Events,
        job: &str,
        status: StatusCode,
        proof_age: Option<Duration>,
    ) {
        let took = clock::since(self.arrived_at);
        events.metrics().observe(Latency::JobQuery, took);
        if took < SLOW_QUERY && !status.is_server_error() {
            return;
        }
        let key_time = self.authorized_at.map_or(took, |at| at.saturating_sub(self.arrived_at));
        let fields = json!({
            "job": job,
            "status": status.as_u16(),
            "source": format!("{:?}", self.source),
            "took_ms": millis(took),
            "key_ms": millis(key_time),
            "store_ms": millis(took.saturating_sub(key_time)),
            "failures": self.failures,
            "why": self.last_error.as_ref().map(ToString::to_string),
            "proof_age_ms": proof_age.map(millis),
        });
        events.emit("question", fields);
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

//! What a question for a job waited for, so that one that is late can be followed from the job's id.
//!
//! Most questions take milliseconds and leave no line; see `docs/OPERATIONS.md`.

use std::time::Duration;

use hyper::StatusCode;
use jackdawpier_kernel::Now;
use serde_json::json;

use crate::{clock, events::Events, metrics::Latency, ports::CallError};

/// A question that takes longer, or isn't answered, leaves a line: some fifty times what the store takes.
const LATE: Duration = Duration::from_millis(300);

/// Where the answer came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The fleet that this entry owns.
    Memory,
    /// The store.
    Store,
}

/// One question on its way.
#[derive(Debug)]
pub(crate) struct JobQuery {
    arrived_at: Now,
    /// When its key was found to stand; none before.
    admitted_at: Option<Now>,
    source: Source,
    /// Tries to read the store that gave nothing.
    failures: u32,
    /// What the last of them met.
    last_error: Option<CallError>,
}

impl JobQuery {
    /// Follows a question that arrived at this time.
    pub(crate) fn new(arrived_at: Now) -> Self {
        let source = Source::Memory;
        Self { arrived_at, admitted_at: None, source, failures: 0, last_error: None }
    }

    /// Its key stands.
    pub(crate) fn admit(&mut self) {
        self.admitted_at = Some(clock::now());
    }

    /// The store is asked.
    pub(crate) fn asks_store(&mut self) {
        self.source = Source::Store;
    }

    /// The store gave no answer that can be used.
    pub(crate) fn failed(&mut self, error: CallError) {
        self.failures += 1;
        self.last_error = Some(error);
    }

    /// Notes the answer. `proof_age` is how old the configuration was that judged the key.
    pub(crate) fn answered(
        &self,
        events: &Events,
        job: &str,
        status: StatusCode,
        proof_age: Option<Duration>,
    ) {
        let took = clock::since(self.arrived_at);
        events.metrics().observe(Latency::JobQuery, took);
        if took < LATE && !status.is_server_error() {
            return;
        }
        let key = self.admitted_at.map_or(took, |at| at.saturating_sub(self.arrived_at));
        let fields = json!({
            "job": job,
            "status": status.as_u16(),
            "source": format!("{:?}", self.source),
            "took_ms": millis(took),
            "key_ms": millis(key),
            "store_ms": millis(took.saturating_sub(key)),
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

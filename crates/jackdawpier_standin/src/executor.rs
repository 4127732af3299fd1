//! A back-end executor: eight slots, 64 connections, and a count of each run by its nonce.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use jackdawpier_http::{Handler, IncomingRequest, Reply};
use jackdawpier_kernel::headers;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::{
    faults::ExecutorFaults,
    process::{bind, json, limits, not_found, parse, serve_forever},
};

/// Answers are padded to this many bytes, so that a truncated one is noticed.
const ANSWER_PADDING_BYTES: usize = 256;
/// Time that a frozen executor holds a request.
const FROZEN_FOR: Duration = Duration::from_secs(600);

/// The work that the load command asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Work {
    /// Identifies the request over all its attempts.
    pub nonce: u64,
    /// Time that the work takes, in microseconds.
    pub work_us: u64,
}

/// An executor's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkDone {
    /// The nonce of the request.
    pub nonce: u64,
    /// Padding of known length.
    pub padding: String,
}

impl WorkDone {
    /// The right answer to the request with `nonce`.
    pub fn new(nonce: u64) -> Self {
        Self { nonce, padding: "x".repeat(ANSWER_PADDING_BYTES) }
    }
}

/// What an executor has seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ExecutorCounts {
    /// Runs by nonce.
    pub runs: HashMap<u64, u32>,
    /// Most requests at once.
    pub max_at_once: u32,
    /// Time with more requests than slots, in microseconds.
    pub over_slots_us: u64,
    /// Requests that came after it said that it leaves.
    pub new_while_leaving: u32,
    /// Time since it said that it leaves when the last of those came, in milliseconds.
    pub last_new_while_leaving_ms: u64,
}

#[derive(Default)]
struct State {
    faults: ExecutorFaults,
    counts: ExecutorCounts,
    at_once: u32,
    over_since: Option<Instant>,
    leaving_since: Option<Instant>,
}

/// Counts a request as inside for as long as it lives; a caller that is gone ends it early.
struct Inside<'a>(&'a ExecutorServer);

impl<'a> Inside<'a> {
    fn new(server: &'a ExecutorServer) -> Self {
        server.enter();
        Self(server)
    }
}

impl Drop for Inside<'_> {
    fn drop(&mut self) {
        self.0.leave();
    }
}

/// The executor's HTTP handler.
#[derive(Clone)]
pub struct ExecutorServer {
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    slot_count: u32,
}

impl ExecutorServer {
    /// Returns an executor with this many slots.
    pub fn new(slot_count: u32) -> Self {
        let slots = Arc::new(Semaphore::new(slot_count as usize));
        Self { state: Arc::default(), slots, slot_count }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn enter(&self) {
        let mut state = self.lock();
        state.at_once += 1;
        state.counts.max_at_once = state.counts.max_at_once.max(state.at_once);
        if state.at_once > self.slot_count && state.over_since.is_none() {
            state.over_since = Some(Instant::now());
        }
    }

    fn leave(&self) {
        let mut state = self.lock();
        state.at_once -= 1;
        if state.at_once <= self.slot_count
            && let Some(since) = state.over_since.take()
        {
            state.counts.over_slots_us += since.elapsed().as_micros() as u64;
        }
    }

    /// Counts a request that came although this executor said that it leaves.
    fn declines(&self) -> bool {
        let mut state = self.lock();
        let Some(since) = state.leaving_since else { return false };
        state.counts.new_while_leaving += 1;
        state.counts.last_new_while_leaving_ms = since.elapsed().as_millis() as u64;
        true
    }

    async fn work(&self, request: &IncomingRequest) -> Reply {
        if self.declines() {
            return Reply::new(503, "text/plain", "leaving\n")
                .with_header(headers::NOT_RUN, "true")
                .with_header(headers::INSTANCE_STATE, headers::LEAVING);
        }
        let work: Work = match parse(request) {
            Ok(work) => work,
            Err(reply) => return reply,
        };
        let _inside = Inside::new(self);
        self.run(request, &work).await
    }

    async fn run(&self, request: &IncomingRequest, work: &Work) -> Reply {
        let permit = self.slots.acquire().await.expect("the semaphore is never closed");
        let faults = self.lock().faults.clone();
        *self.lock().counts.runs.entry(work.nonce).or_default() += 1;
        if faults.is_frozen {
            tokio::time::sleep(FROZEN_FOR).await;
        }
        let time = Duration::from_micros(work.work_us) + Duration::from_millis(faults.slow_ms);
        tokio::time::sleep(time).await;
        drop(permit);
        if faults.is_failing {
            return Reply::new(500, "text/plain", "failed\n");
        }
        let id = if faults.is_mixing_up {
            "another"
        } else {
            request.header(headers::REQUEST_ID).unwrap_or("")
        };
        let mut reply = json(&WorkDone::new(work.nonce)).with_header(headers::REQUEST_ID, id);
        if faults.is_truncating {
            reply.truncate_after_bytes = Some(ANSWER_PADDING_BYTES / 2);
        }
        reply
    }
}

impl Handler for ExecutorServer {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        match request.path.as_str() {
            "/admin/faults" => match parse::<ExecutorFaults>(&request) {
                Ok(faults) => {
                    let mut state = self.lock();
                    state.leaving_since = faults.is_leaving.then(Instant::now);
                    state.faults = faults;
                    json(&"ok")
                }
                Err(reply) => reply,
            },
            "/admin/counts" => json(&self.lock().counts),
            path if path.starts_with("/admin/") => not_found(),
            _ => self.work(&request).await,
        }
    }
}

/// Runs an executor; `on_ready` gets the address that was bound.
pub async fn run(
    address: SocketAddr,
    slots: u32,
    connections: u32,
    on_ready: impl FnOnce(SocketAddr),
) -> std::io::Result<()> {
    let (listener, bound) = bind(address).await?;
    on_ready(bound);
    serve_forever(listener, limits(connections as usize), ExecutorServer::new(slots)).await;
    Ok(())
}

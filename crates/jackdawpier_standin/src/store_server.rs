//! The store stand-in as a process: the model behind HTTP, with faults and counts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use jackdawpier_http::{Handler, IncomingRequest, Reply};
use jackdawpier_store::{Request, Response, protocol::MAX_VALUE_BYTES};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::{
    faults::StoreFaults,
    process::{bind, default_limits, json, not_found, parse, serve_forever},
    store_model::StoreModel,
};

const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

struct Shared {
    model: Mutex<State>,
    changed: watch::Sender<u64>,
    started_at: Instant,
}

struct State {
    model: StoreModel,
    stale: Option<StoreModel>,
    faults: StoreFaults,
    random: ChaCha8Rng,
    second: u64,
    calls_this_second: u32,
}

/// The store's HTTP handler.
#[derive(Clone)]
pub struct StoreServer {
    shared: Arc<Shared>,
}

impl StoreServer {
    /// Returns an empty store whose lost answers are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        let state = State {
            model: StoreModel::default(),
            stale: None,
            faults: StoreFaults::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            second: 0,
            calls_this_second: 0,
        };
        let shared = Shared {
            model: Mutex::new(state),
            changed: watch::channel(0).0,
            started_at: Instant::now(),
        };
        Self { shared: Arc::new(shared) }
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut State, Duration) -> T) -> T {
        let now = self.shared.started_at.elapsed();
        let mut state = self.shared.model.lock().expect("no holder of this lock panics");
        let result = act(&mut state, now);
        let revision = state.model.revision();
        drop(state);
        self.shared.changed.send_if_modified(|known| {
            let is_new = *known != revision;
            *known = revision;
            is_new
        });
        result
    }

    /// Ends leases in time even when nobody calls.
    pub async fn expire_leases(&self) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.with_state(|state, now| state.model.expire(now));
        }
    }

    async fn call(&self, request: Request) -> Reply {
        let slow_ms = self.with_state(|state, _| state.faults.slow_ms);
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        if let Request::Watch { wait_ms, .. } = request {
            return self.watch(&request, Duration::from_millis(wait_ms)).await;
        }
        if request.value().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return Reply::new(413, "text/plain", "the value is too large\n");
        }
        let (response, is_lost) = self.with_state(|state, now| state.answer(now, &request));
        match response {
            None => Reply::new(503, "text/plain", "down\n"),
            Some(response) if is_lost => {
                let mut reply = json(&response);
                reply.truncate_after_bytes = Some(0);
                reply
            }
            Some(response) => json(&response),
        }
    }

    async fn watch(&self, request: &Request, wait: Duration) -> Reply {
        let mut changed = self.shared.changed.subscribe();
        let until = tokio::time::Instant::now() + wait;
        let mut is_first = true;
        loop {
            let response = self.with_state(|state, now| {
                if is_first { state.answer(now, request).0 } else { state.peek(request) }
            });
            is_first = false;
            let is_empty =
                matches!(&response, Some(Response::Changes { changes, .. }) if changes.is_empty());
            match response {
                None => return Reply::new(503, "text/plain", "down\n"),
                Some(response) if !is_empty => return json(&response),
                Some(response) => {
                    if tokio::time::timeout_at(until, changed.changed()).await.is_err() {
                        return json(&response);
                    }
                }
            }
        }
    }
}

impl State {
    /// Answers one call, and says whether the answer is to be lost. `None` while down.
    fn answer(&mut self, now: Duration, request: &Request) -> (Option<Response>, bool) {
        if self.faults.is_down {
            return (None, false);
        }
        if self.is_over_limit(now) {
            return (Some(Response::RateLimited), false);
        }
        if let (Some(stale), false) = (&mut self.stale, request.is_write()) {
            return (Some(stale.call(now, request)), false);
        }
        let response = self.model.call(now, request);
        let is_lost = request.is_write()
            && self.random.random_range(0..1000) < self.faults.lose_answers_permille;
        (Some(response), is_lost)
    }

    /// Answers a watch that goes on waiting, which the platform counts once.
    fn peek(&self, request: &Request) -> Option<Response> {
        let Request::Watch { prefix, after_revision, .. } = request else { return None };
        let model = self.stale.as_ref().unwrap_or(&self.model);
        (!self.faults.is_down).then(|| model.changes(prefix, *after_revision))
    }

    fn is_over_limit(&mut self, now: Duration) -> bool {
        if self.faults.calls_per_s == 0 {
            return false;
        }
        if self.second != now.as_secs() {
            self.second = now.as_secs();
            self.calls_this_second = 0;
        }
        self.calls_this_second += 1;
        self.calls_this_second > self.faults.calls_per_s
    }

    fn set_faults(&mut self, faults: StoreFaults) {
        self.stale = faults.is_stale.then(|| self.model.clone());
        self.faults = faults;
    }
}

impl Handler for StoreServer {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        match request.path.as_str() {
            "/v1/store" => match parse(&request) {
                Ok(call) => self.call(call).await,
                Err(reply) => reply,
            },
            "/admin/faults" => match parse(&request) {
                Ok(faults) => {
                    self.with_state(|state, _| state.set_faults(faults));
                    json(&"ok")
                }
                Err(reply) => reply,
            },
            "/admin/lapse" => {
                self.with_state(|state, _| state.model.lapse_all_leases());
                json(&"ok")
            }
            "/admin/counts" => {
                let counts: BTreeMap<&'static str, u64> =
                    self.with_state(|state, _| state.model.counts().clone());
                json(&counts)
            }
            _ => not_found(),
        }
    }
}

/// Runs the store stand-in; `on_ready` gets the address that was bound.
pub async fn run(
    address: SocketAddr,
    seed: u64,
    on_ready: impl FnOnce(SocketAddr),
) -> std::io::Result<()> {
    let (listener, bound) = bind(address).await?;
    let server = StoreServer::new(seed);
    let expiry = server.clone();
    tokio::spawn(async move { expiry.expire_leases().await });
    on_ready(bound);
    serve_forever(listener, default_limits(), server).await;
    Ok(())
}

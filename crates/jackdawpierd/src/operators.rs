//! The operators' port: health, metrics, status and changes, over `tiny_http`.
//!
//! `tiny_http` has faults that make it unsuitable for the callers' port. They don't matter here,
//! as there are few operators and every answer closes its connection; see `docs/design/callers-port.md`.

use std::{io::Read, sync::Arc, time::Duration};

use jackdawpier_coord::configuration::{Apply, ApplyOutcome, ApplyOutput, WriterId};
use jackdawpier_kernel::outcome::Outcome;
use jackdawpier_settings::loader::{MAX_FILE_BYTES, load_declaration};
use serde::{Deserialize, Serialize};
use tiny_http::{Header, Method, Request, Response, Server};
use tokio::runtime::Handle;

use crate::{
    callers::{act_on_job, whole_seconds},
    capacity::{self, WaveAction},
    entry::Entry,
    messages::{JobAction, PeerAnswer, PeerRequest},
    status,
};

/// Number of threads that serve operators.
const THREADS: usize = 4;
/// Maximum size of a change: a file of the maximum size with every byte escaped, and the other
/// fields. A file that is too large but fits is refused by the loader, which names its limit.
const MAX_CHANGE_BYTES: usize = 2 * MAX_FILE_BYTES + 64 * 1024;
const HOLDER_TIMEOUT: Duration = Duration::from_secs(2);
const JOBS_PATH: &str = "/v1/jobs/";
const EXPLAIN_PATH: &str = "/v1/explain/";
const NO_HOLDER: &str = "no entry holds the capacity role at the moment; try again\n";
/// Interval of reading a change back after a lost answer.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(100);

/// Body of `POST /v1/apply`.
#[derive(Debug, Deserialize)]
struct ApplyBody {
    base: u64,
    file: String,
    text: String,
}

struct Answer {
    status: u16,
    content_type: &'static str,
    body: String,
    /// Value of the `Retry-After` header, if any.
    retry_after: Option<Duration>,
}

fn json(status: u16, value: &impl Serialize) -> Answer {
    json_text(status, serde_json::to_string(value).expect("answers are plain data"))
}

fn json_text(status: u16, body: String) -> Answer {
    Answer { status, content_type: "application/json", body, retry_after: None }
}

fn text(status: u16, body: impl Into<String>) -> Answer {
    let content_type = "text/plain; charset=utf-8";
    Answer { status, content_type, body: body.into(), retry_after: None }
}

/// Starts serving operators.
pub(crate) fn spawn(server: Server, entry: &Arc<Entry>) {
    let server = Arc::new(server);
    for _ in 0..THREADS {
        let (server, entry, runtime) = (Arc::clone(&server), Arc::clone(entry), Handle::current());
        std::thread::spawn(move || {
            let _context = runtime.enter();
            while let Ok(request) = server.recv() {
                serve(&entry, &runtime, request);
            }
        });
    }
}

fn serve(entry: &Arc<Entry>, runtime: &Handle, mut request: Request) {
    let mut body = String::new();
    let read = request.as_reader().take(MAX_CHANGE_BYTES as u64 + 1).read_to_string(&mut body);
    let answer = match read {
        Ok(count) if count > MAX_CHANGE_BYTES => {
            text(413, format!("the change has more than {MAX_CHANGE_BYTES} bytes\n"))
        }
        Ok(_) => handle_request(entry, runtime, &request.method().clone(), request.url(), &body),
        Err(error) => text(400, format!("{error}\n")),
    };
    let header = |name: &str, value: &str| {
        Header::from_bytes(name, value)
            .expect("names are constants, and values are constants or numbers")
    };
    let mut response = Response::from_string(answer.body)
        .with_status_code(answer.status)
        .with_header(header("Content-Type", answer.content_type))
        .with_header(header("Connection", "close"));
    if let Some(retry_after) = answer.retry_after {
        response.add_header(header("Retry-After", &whole_seconds(retry_after).to_string()));
    }
    let _ = request.respond(response);
}

fn handle_request(
    entry: &Arc<Entry>,
    runtime: &Handle,
    method: &Method,
    url: &str,
    body: &str,
) -> Answer {
    match (method, url) {
        (Method::Get, "/healthz") => text(200, "ok\n"),
        (Method::Get, "/readyz") if entry.is_stopping() => text(503, "stopping\n"),
        (Method::Get, "/readyz") if entry.is_ready() => text(200, "ready\n"),
        (Method::Get, "/readyz") => text(503, "no configuration, or cut off\n"),
        (Method::Get, "/metrics") => text(200, entry.metrics.scrape(entry)),
        (Method::Get, "/v1/status") => json(200, &status::collect(entry)),
        (Method::Post, "/v1/apply") => match serde_json::from_str(body) {
            Ok(change) => runtime.block_on(apply(entry, change)),
            Err(error) => text(400, format!("{error}\n")),
        },
        (Method::Get, "/v1/days") => {
            runtime.block_on(holder_answer(entry, entry.capacity.days(), &PeerRequest::Days))
        }
        (Method::Get, "/v1/pools") => {
            runtime.block_on(holder_answer(entry, entry.capacity.pools(), &PeerRequest::Pools))
        }
        (Method::Get, "/v1/wave") => runtime.block_on(wave(entry, WaveAction::Status)),
        (Method::Post, "/v1/wave/start") => runtime.block_on(wave(entry, WaveAction::Start)),
        (Method::Post, "/v1/wave/pause") => runtime.block_on(wave(entry, WaveAction::Pause)),
        (Method::Post, "/v1/wave/resume") => runtime.block_on(wave(entry, WaveAction::Resume)),
        (Method::Post, "/v1/wave/cancel") => runtime.block_on(wave(entry, WaveAction::Cancel)),
        (Method::Post, path) if path.starts_with(JOBS_PATH) => {
            runtime.block_on(job(entry, &path[JOBS_PATH.len()..]))
        }
        (Method::Get, path) if path.starts_with(EXPLAIN_PATH) => {
            runtime.block_on(explain(entry, &path[EXPLAIN_PATH.len()..]))
        }
        (Method::Get, path) => match path.strip_prefix("/v1/config/") {
            Some(deployment) => {
                let coordination = entry.coordination();
                match coordination.configuration.document(deployment) {
                    Some(document) => json(200, document),
                    None => text(404, "no such deployment\n"),
                }
            }
            None => text(404, "not found\n"),
        },
        _ => text(404, "not found\n"),
    }
}

/// Executes an operator's command on the wave at the holder of the capacity role.
async fn wave(entry: &Arc<Entry>, action: WaveAction) -> Answer {
    let own = entry.capacity.wave(entry, action);
    let shown = match own {
        Some(shown) => Some(shown),
        None => call_holder(entry, &PeerRequest::Wave(action)).await,
    };
    let Some(body) = shown else { return text(503, NO_HOLDER) };
    let is_accepted = serde_json::from_str::<serde_json::Value>(&body)
        .is_ok_and(|value| value["accepted"] == true);
    json_text(if is_accepted { 200 } else { 409 }, body)
}

/// Handles `POST /v1/jobs/CLASS/ID/ACTION`, with `show`, `cancel`, `retry` or `discard`.
async fn job(entry: &Arc<Entry>, path: &str) -> Answer {
    let mut parts = path.splitn(2, '/');
    let class = parts.next().unwrap_or_default();
    let (id, action) = parts.next().and_then(|rest| rest.rsplit_once('/')).unwrap_or_default();
    let action = match action {
        "show" => JobAction::Show,
        "cancel" => JobAction::Cancel,
        "retry" => JobAction::Retry,
        "discard" => JobAction::Discard,
        _ => return text(400, "the action is none of show, cancel, retry, discard\n"),
    };
    let service =
        entry.coordination().configuration.class(class).map(|class| class.service.clone());
    let Some(service) = service else { return text(404, "no such class\n") };
    match act_on_job(entry, &service, &id.into(), action).await {
        Ok(Some(body)) => json_text(200, body),
        Ok(None) => text(404, "no such job\n"),
        Err(Outcome::NotRun { reason, retry_after }) => {
            Answer { retry_after: Some(retry_after), ..text(503, format!("not run: {reason}\n")) }
        }
        Err(outcome) => {
            let retry_after = Some(entry.settings.timing.member_lease);
            let detail = match outcome {
                Outcome::Unknown { detail } => detail,
                other => other.name().to_owned(),
            };
            Answer { retry_after, ..text(504, format!("unknown: {detail}\n")) }
        }
    }
}

/// Handles `GET /v1/explain/CLASS`: explains the pool of the class.
async fn explain(entry: &Arc<Entry>, class: &str) -> Answer {
    let service =
        entry.coordination().configuration.class(class).map(|class| class.service.clone());
    let Some(service) = service else { return text(404, "no such class\n") };
    holder_answer(entry, entry.capacity.explain(&service), &PeerRequest::Explain { service }).await
}

/// Answers with `own` if this entry holds the capacity role, else with the holder's answer.
async fn holder_answer(entry: &Arc<Entry>, own: Option<String>, request: &PeerRequest) -> Answer {
    let shown = match own {
        Some(shown) => Some(shown),
        None => call_holder(entry, request).await,
    };
    match shown {
        Some(body) => json_text(200, body),
        None => text(503, NO_HOLDER),
    }
}

async fn call_holder(entry: &Arc<Entry>, request: &PeerRequest) -> Option<String> {
    let address = {
        let coordination = entry.coordination();
        let owner = coordination.view.owner(capacity::SHARD)?;
        coordination.view.member(&owner.entry)?.peer_address.parse().ok()?
    };
    match entry.endpoint.call(address, request, HOLDER_TIMEOUT).await {
        Ok(PeerAnswer::Capacity(shown)) => shown,
        _ => None,
    }
}

async fn apply(entry: &Arc<Entry>, change: ApplyBody) -> Answer {
    let declaration = match load_declaration(&change.file, &change.text) {
        Ok(declaration) => declaration,
        Err(findings) => return json(422, &findings),
    };
    let writer = WriterId {
        entry: entry.name().clone(),
        incarnation: entry.incarnation,
        sequence: u64::try_from(entry.now().as_nanos())
            .expect("the uptime in nanoseconds fits into 64 bits"),
    };
    let known = entry
        .coordination()
        .configuration
        .document(&declaration.deployment)
        .map_or(0, |document| document.revision);
    let mut apply = Apply::new(change.base, known, declaration, writer);
    let mut request = apply.request();
    let outcome = loop {
        let result = entry.call_store(request).await;
        if result.is_err() {
            tokio::time::sleep(READ_BACK_INTERVAL).await;
        }
        match apply.on_result(result) {
            ApplyOutput::Call(next) => request = next,
            ApplyOutput::Done(outcome) => break outcome,
        }
    };
    log::info!(event = "apply"; "{outcome:?}");
    let status = match &outcome {
        ApplyOutcome::Accepted { .. } => {
            entry.coordination().configuration.adopt_if_newer(apply.document().clone());
            crate::heartbeats::refresh_services(entry);
            200
        }
        ApplyOutcome::Conflict { .. } => 409,
        ApplyOutcome::Unavailable { .. } => 503,
        ApplyOutcome::Unknown { .. } => 504,
    };
    json(status, &outcome)
}

//! The callers' port: parses HTTP requests, and turns outcomes into HTTP responses.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use jackdawpier_coord::cell::MAX_ENTRY_BYTES;
use jackdawpier_http::{Handler, HeaderMap, IncomingRequest, Reply};
use jackdawpier_kernel::{
    Now,
    body_budget::NoRoom,
    headers,
    ids::{JobId, ServiceName},
    outcome::{Outcome, RefusalReason},
    trace::TraceContext,
};
use jackdawpier_peer::PeerError;
use jackdawpier_settings::declaration::{Class, WorkKind};

use crate::{
    entry::Entry,
    messages::{JobAction, JobAnswer, PeerAnswer, PeerRequest, WorkRequest},
    router,
    service::OWNER_RETRY_AFTER,
};

/// Maximum size of a customer name or an idempotency key.
const MAX_NAME_BYTES: usize = 256;
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay for callers whose bodies are refused: after this long others that have stalled make room.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Timeout of a call about a job, over all attempts. Connecting to the owner has a timeout of its own.
const JOB_TIMEOUT: Duration = Duration::from_secs(2);
const JOB_ATTEMPTS: u32 = 2;
const JOB_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Path segment between the class and the id of a job.
const JOBS_SEGMENT: &str = "jobs";

/// The handler of the callers' port.
#[derive(Clone)]
pub(crate) struct CallerApi {
    entry: Arc<Entry>,
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard<'a>(&'a Entry);

impl<'a> InFlightGuard<'a> {
    fn new(entry: &'a Entry) -> Self {
        entry.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        Self(entry)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallerApi {
    pub(crate) fn new(entry: &Arc<Entry>) -> Self {
        Self { entry: Arc::clone(entry) }
    }

    async fn handle_work(&self, mut request: IncomingRequest) -> Outcome {
        let entry = &self.entry;
        let refuse = |reason| Outcome::NotRun { reason, retry_after: NOT_READY_RETRY_AFTER };
        if !entry.is_ready() {
            return refuse(RefusalReason::NotReady);
        }
        let Some((class, path)) = split_path(&request.path) else {
            return refuse(RefusalReason::BadRequest);
        };
        let Some(class) = entry.coordination().configuration.class(class).cloned() else {
            return refuse(RefusalReason::UnknownClass);
        };
        let body = std::mem::take(&mut request.body).into();
        let Some(work) = self.parse_request(&request, body, &class, path) else {
            return refuse(RefusalReason::BadRequest);
        };
        let is_job = class.kind == WorkKind::Refresh;
        let needs_owner = is_job || work.key.is_some();
        let is_read = matches!(work.method.as_str(), "GET" | "HEAD");
        let is_repeatable = class.idempotent || is_read || work.key.is_some();
        let span = entry.traces.start_root("request", work.trace, &[("class", &class.name)]);
        let work = WorkRequest { trace: span.context(), ..work };
        let outcome = router::route(entry, work, needs_owner, is_repeatable).await;
        span.end(outcome.name());
        outcome
    }

    /// Parses a caller's request; returns `None` if it is malformed.
    fn parse_request(
        &self,
        request: &IncomingRequest,
        body: Vec<u8>,
        class: &Class,
        path: &str,
    ) -> Option<WorkRequest> {
        let customer = match request.headers.get(headers::CUSTOMER) {
            None => headers::NO_CUSTOMER,
            Some(value) => value.to_str().ok().filter(|name| name.len() <= MAX_NAME_BYTES)?,
        };
        let key = match request.headers.get(headers::IDEMPOTENCY_KEY) {
            None => None,
            Some(value) => {
                let text = value.to_str().ok()?;
                let is_valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
                Some(is_valid.then(|| text.into())?)
            }
        };
        let time_left = match request.headers.get(headers::DEADLINE_MS) {
            None => class.finish_within(),
            Some(value) => {
                let requested = Duration::from_millis(value.to_str().ok()?.parse().ok()?);
                requested.min(class.finish_within())
            }
        };
        Some(WorkRequest {
            request_id: self.entry.new_request_id(),
            service: class.service.clone(),
            class: class.name.clone(),
            customer: customer.into(),
            method: request.method.as_str().to_owned(),
            path: path.to_owned(),
            content_type: request
                .header("content-type")
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body,
            key,
            time_left,
            trace: request.header(headers::TRACEPARENT).and_then(TraceContext::parse),
        })
    }

    /// `GET /CLASS/jobs/ID` shows a job, `DELETE` cancels it.
    async fn handle_job(&self, request: &IncomingRequest) -> Option<Reply> {
        let mut parts = request.path.trim_start_matches('/').splitn(3, '/');
        let (class, segment, id) = (parts.next()?, parts.next()?, parts.next()?);
        let action = match request.method.as_str() {
            "GET" => JobAction::Show,
            "DELETE" => JobAction::Cancel,
            _ => return None,
        };
        if segment != JOBS_SEGMENT {
            return None;
        }
        let class = self.entry.coordination().configuration.class(class).cloned()?;
        if class.kind != WorkKind::Refresh {
            return None;
        }
        let result = act_on_job(&self.entry, &class.service, &id.into(), action).await;
        Some(match result {
            Ok(Some(text)) => Reply::new(200, "application/json", text),
            Ok(None) => Reply::new(404, "text/plain", "no such job\n"),
            Err(outcome @ Outcome::Unknown { .. }) => {
                let retry_after = self.entry.settings.timing.member_lease;
                reply(outcome).with_header(headers::RETRY_AFTER, whole_seconds(retry_after))
            }
            Err(outcome) => reply(outcome),
        })
    }
}

/// Shows a job or acts on it at the entry that owns its shard. Returns `None` if the owner answers
/// that there is no such job. The error is "not run" if no owner answered, and "unknown" if the
/// owner may have acted and its answer was lost.
pub(crate) async fn act_on_job(
    entry: &Arc<Entry>,
    service: &ServiceName,
    job: &JobId,
    action: JobAction,
) -> Result<Option<String>, Outcome> {
    let deadline = entry.now() + JOB_TIMEOUT;
    let mut retry_after = OWNER_RETRY_AFTER;
    for attempts_left in (0..JOB_ATTEMPTS).rev() {
        match call_job_owner(entry, service, job, action, deadline).await {
            Ok(JobAnswer::Shown(text)) => return Ok(Some(text)),
            Ok(JobAnswer::NoSuchJob) => return Ok(None),
            Ok(JobAnswer::NotOwner) => retry_after = OWNER_RETRY_AFTER,
            Err(PeerError::Lost { detail, .. }) if action != JobAction::Show => {
                let detail = format!("this may have been done, look at the job again: {detail}");
                return Err(Outcome::Unknown { detail });
            }
            Err(_) => retry_after = entry.settings.timing.member_lease,
        }
        if attempts_left == 0 || entry.now() + JOB_RETRY_INTERVAL >= deadline {
            break;
        }
        tokio::time::sleep(JOB_RETRY_INTERVAL).await;
    }
    Err(Outcome::NotRun { reason: RefusalReason::NoOwner, retry_after })
}

async fn call_job_owner(
    entry: &Arc<Entry>,
    service: &ServiceName,
    job: &JobId,
    action: JobAction,
    deadline: Now,
) -> Result<JobAnswer, PeerError> {
    let owner = {
        let coordination = entry.coordination();
        let owner = coordination.view.owner(service);
        owner.and_then(|owner| coordination.view.member(&owner.entry)).cloned()
    };
    let Some(owner) = owner else { return Ok(JobAnswer::NotOwner) };
    if owner.entry == *entry.name() {
        return Ok(entry.service(service).job(job, action));
    }
    let Ok(address) = owner.peer_address.parse() else { return Ok(JobAnswer::NotOwner) };
    let request = PeerRequest::Job { service: service.clone(), job: job.clone(), action };
    match entry.endpoint.call(address, &request, deadline.saturating_sub(entry.now())).await? {
        PeerAnswer::Job(answer) => Ok(answer),
        _ => Err(PeerError::Lost { address, detail: "an answer of another kind".to_owned() }),
    }
}

/// Splits `/CLASS/rest` into the class and the executor's path.
fn split_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (class, path) = rest.split_at(end);
    let path = if path.is_empty() { "/" } else { path };
    (!class.is_empty() && path.starts_with('/')).then_some((class, path))
}

/// Returns the time in whole seconds, rounded up, for headers that have no smaller unit.
pub(crate) fn whole_seconds(time: Duration) -> u128 {
    time.as_millis().div_ceil(1000)
}

fn http_status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::UnknownClass => 404,
        RefusalReason::BadRequest => 400,
        RefusalReason::TooLarge => 413,
        RefusalReason::QueueFull => 429,
        _ => 503,
    }
}

/// Returns the reason as text; for a size limit it includes the limit.
fn reason_text(reason: RefusalReason) -> String {
    match reason {
        RefusalReason::TooLarge => {
            format!("{reason}: a job may have at most {MAX_ENTRY_BYTES} bytes in the store")
        }
        other => other.to_string(),
    }
}

fn reply(outcome: Outcome) -> Reply {
    let name = outcome.name();
    let reply = match outcome {
        Outcome::Answered(answer) => Reply::new(answer.status, &answer.content_type, answer.body),
        Outcome::NotRun { reason, retry_after } => {
            let retry_after_s = whole_seconds(retry_after);
            Reply::new(
                http_status(reason),
                "text/plain",
                format!("not run: {}\n", reason_text(reason)),
            )
            .with_header(headers::REASON, reason)
            .with_header(headers::RETRY_AFTER, retry_after_s)
            .with_header(headers::RETRY_AFTER_MS, retry_after.as_millis())
        }
        Outcome::Failed { detail } => Reply::new(502, "text/plain", format!("failed: {detail}\n")),
        Outcome::Unknown { detail } => {
            Reply::new(504, "text/plain", format!("unknown: {detail}\n"))
        }
    };
    reply.with_header(headers::OUTCOME, name)
}

impl Handler for CallerApi {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        let _in_flight = InFlightGuard::new(&self.entry);
        if let Some(reply) = self.handle_job(&request).await {
            return reply;
        }
        let started_at = self.entry.now();
        let outcome = self.handle_work(request).await;
        self.entry.metrics.count_outcome(&outcome, self.entry.now().saturating_sub(started_at));
        reply(outcome)
    }

    /// An earlier request with the same key may have run, so the outcome of one with a key is unknown.
    fn refuse_body(&self, request_headers: &HeaderMap, why: NoRoom) -> Reply {
        let outcome = if request_headers.contains_key(headers::IDEMPOTENCY_KEY) {
            Outcome::Unknown { detail: why.to_string() }
        } else {
            let (reason, retry_after) = (RefusalReason::NoMemory, NO_MEMORY_RETRY_AFTER);
            Outcome::NotRun { reason, retry_after }
        };
        self.entry.metrics.count_outcome(&outcome, Duration::ZERO);
        reply(outcome)
    }
}

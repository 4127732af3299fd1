//! The port that callers use: handing jobs in, asking for them, cancelling them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HOST, RETRY_AFTER},
};
use jackdawpier_fleet::{
    fleet::JobView,
    record::JobRecord,
    spec::{QueueName, Submission},
};
use jackdawpier_kernel::{Now, ids::JobId};
use serde_json::json;

use crate::{
    acceptance::{Acceptance, Intake},
    clock,
    configuration::Active,
    events::Events,
    http_server::Reply,
    keys,
    metrics::Latency,
    owner::OwnerCell,
    pending::Pending,
    ports::{CallError, CallerLimits, Platform, Route, Transaction, TransactionEnd},
};

/// How long a caller is taken to wait if it doesn't say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);
/// An answer has to leave this long before its caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// When a caller that was refused for the store's sake should come back, in seconds.
const RETRY_AFTER_S: &str = "1";
/// A store that can't be reached is asked again for this long; then the caller may try another entry.
const STORE_PATIENCE: Duration = Duration::from_millis(600);
/// Pause before a store that gave no answer is asked again.
const REPEAT_PAUSE: Duration = Duration::from_millis(60);

/// What answering callers needs.
#[derive(Debug)]
pub struct Callers<P> {
    /// The outside.
    pub platform: P,
    /// The configuration in force.
    pub active: Active,
    /// Where jobs are handed in.
    pub intake: Intake,
    /// The fleet, while this entry owns it.
    pub owner: OwnerCell,
    /// Counts of jobs that haven't begun.
    pub pending: Pending,
    /// Log lines.
    pub events: Events,
}

impl<P: Platform> Callers<P> {
    /// Answers one request.
    pub async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let Some(configuration) = self.active.get() else {
            return self.refuse(&path, "no configuration yet");
        };
        let host = request.headers().get(HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
        let Some(route) = self.active.route(host, &path) else {
            return self.problem(&path, StatusCode::NOT_FOUND, "no such queue");
        };
        let deadline = clock::now() + self.patience(&request);
        let id = path[route.prefix.len()..].to_owned();
        if id.is_empty() && request.method() == Method::GET {
            return self.pending(&route.queue.name).await;
        }
        if !self.platform.is_job_id(&id) {
            let why = "the path doesn't end with a job's id";
            return self.problem(&path, StatusCode::BAD_REQUEST, why);
        }
        let id: JobId = id.into();
        match *request.method() {
            Method::POST => self.submit(&route, id, request, configuration.limits, deadline).await,
            Method::GET => self.look(&id, deadline.min(clock::now() + STORE_PATIENCE)).await,
            Method::DELETE => self.cancel(&id, deadline.min(clock::now() + STORE_PATIENCE)).await,
            _ => self.problem(&id, StatusCode::METHOD_NOT_ALLOWED, "POST, GET or DELETE"),
        }
    }

    fn patience(&self, request: &Request<Incoming>) -> Duration {
        request
            .headers()
            .get(self.platform.deadline_header())
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map_or(DEFAULT_PATIENCE, Duration::from_millis)
            .saturating_sub(ANSWER_MARGIN)
    }

    async fn submit(
        &self,
        route: &Route,
        id: JobId,
        request: Request<Incoming>,
        limits: CallerLimits,
        deadline: Now,
    ) -> Reply {
        let body = match Limited::new(request.into_body(), limits.body_bytes).collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => {
                return self.problem(&id, StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
        };
        let spec = match self.platform.read_job(&body) {
            Ok(spec) => spec,
            Err(error) => return self.problem(&id, StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let queue = route.queue.name.clone();
        let settings = Some(route.queue.clone());
        let accepted_ms = clock::wall_ms();
        let submission =
            Submission { queue: queue.clone(), settings, account: None, accepted_ms, spec };
        let arrived_at = clock::now();
        let unanswered = self.intake.unanswered_since();
        if let Some(since) = unanswered.filter(|at| !self.active.is_heard_since(*at)) {
            let silent_ms = clock::since(since).as_millis() as u64;
            let fields =
                json!({ "job": *id, "queue": *queue, "fate": "Refused", "silent_ms": silent_ms });
            self.events.emit("job_in", fields);
            return self.refuse(&id, "the store doesn't answer");
        }
        let fate = self.intake.submit(id.clone(), &submission, deadline).await;
        self.events.metrics().took(Latency::Acceptance, clock::since(arrived_at));
        let took_ms = clock::since(arrived_at).as_millis() as u64;
        let fate_name = format!("{fate:?}");
        let fields = json!({ "job": *id, "queue": *queue, "fate": fate_name, "took_ms": took_ms });
        self.events.emit("job_in", fields);
        match fate {
            Acceptance::Accepted => reply(StatusCode::OK, Vec::new()),
            Acceptance::Refused => self.refuse(&id, "the store can't be reached"),
            Acceptance::Unknown => self.problem(
                &id,
                StatusCode::GATEWAY_TIMEOUT,
                "it isn't known whether the job is stored",
            ),
        }
    }

    async fn look(&self, id: &JobId, deadline: Now) -> Reply {
        if let Some(view) = self.owner.view(id) {
            return reply(StatusCode::OK, self.platform.job_view(view));
        }
        loop {
            match self.look_in_store(id).await {
                Ok(Some(view)) => return reply(StatusCode::OK, self.platform.job_view(view)),
                Ok(None) => return self.problem(id, StatusCode::GONE, "no such job"),
                Err(_) if clock::now() + REPEAT_PAUSE < deadline => {
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
                Err(_) => return self.refuse(id, "the store can't be reached"),
            }
        }
    }

    async fn look_in_store(&self, id: &JobId) -> Result<Option<JobView>, CallError> {
        if let Some(view) = self.look_at_record(id).await? {
            return Ok(Some(view));
        }
        if self.platform.get(&keys::submission(id)).await?.is_some() {
            return Ok(Some(JobView::Queued));
        }
        // It may have ended between the two questions.
        self.look_at_record(id).await
    }

    async fn look_at_record(&self, id: &JobId) -> Result<Option<JobView>, CallError> {
        let Some(item) = self.platform.get(&keys::record(id)).await? else { return Ok(None) };
        let record: JobRecord = serde_json::from_slice(&item.value).map_err(|error| {
            let why = error.to_string();
            self.events.emit("unreadable", json!({ "key": item.key, "why": why }));
            CallError::Unanswered { reason: why }
        })?;
        Ok(Some(match record.outcome {
            Some(outcome) => JobView::Over(outcome),
            None if record.has_begun => JobView::Running,
            None => JobView::Queued,
        }))
    }

    /// A cancellation is acknowledged once it is durable; the owner carries it out.
    async fn cancel(&self, id: &JobId, deadline: Now) -> Reply {
        loop {
            match self.cancel_once(id).await {
                Ok(is_known) => {
                    self.events.emit("cancel_in", json!({ "job": **id, "known": is_known }));
                    return if is_known {
                        reply(StatusCode::OK, Vec::new())
                    } else {
                        self.problem(id, StatusCode::GONE, "no such job")
                    };
                }
                Err(_) if clock::now() + REPEAT_PAUSE < deadline => {
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
                Err(_) => return self.refuse(id, "the store can't be reached"),
            }
        }
    }

    async fn cancel_once(&self, id: &JobId) -> Result<bool, CallError> {
        let Some(submission) = self.platform.get(&keys::submission(id)).await? else {
            // One that is over is known, and there is nothing left to cancel.
            return Ok(self.look_at_record(id).await?.is_some());
        };
        let key = keys::cancellation(id);
        let transaction = Transaction {
            expect: vec![(submission.key, submission.revision), (key.clone(), 0)],
            puts: vec![(key.clone(), b"{}".to_vec(), None)],
            removes: Vec::new(),
        };
        match self.platform.commit(&transaction).await? {
            TransactionEnd::Committed(_) => Ok(true),
            // Cancelled before, or over just now.
            TransactionEnd::Conflict(items) => {
                let is_cancelled = items.iter().any(|item| item.key == key);
                Ok(is_cancelled || self.look_at_record(id).await?.is_some())
            }
        }
    }

    async fn pending(&self, queue: &QueueName) -> Reply {
        if let Some(count) = self.owner.pending(queue) {
            return reply(StatusCode::OK, self.platform.pending(count));
        }
        match self.pending.count(&self.platform, queue).await {
            Ok(count) => reply(StatusCode::OK, self.platform.pending(count)),
            Err(_) => self.refuse(queue, "the store can't be reached"),
        }
    }

    /// Nothing was done, and the caller may come back.
    fn refuse(&self, id: &str, why: &str) -> Reply {
        let mut reply = self.problem(id, StatusCode::SERVICE_UNAVAILABLE, why);
        let retry_after = hyper::header::HeaderValue::from_static(RETRY_AFTER_S);
        reply.headers_mut().insert(RETRY_AFTER, retry_after);
        reply
    }

    /// An error; `id` is the job's, or the path that names none.
    fn problem(&self, id: &str, status: StatusCode, why: &str) -> Reply {
        let fields = json!({ "job": id, "status": status.as_u16(), "why": why });
        self.events.emit("answered", fields);
        reply(status, self.platform.problem(why))
    }
}

fn reply(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

//! The port that callers use: handing jobs in, asking for them, cancelling them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
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
use jackdawpier_kernel::{
    Now,
    ids::{AccountName, JobId},
};
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::time::timeout;

use crate::{
    acceptance::{Acceptance, Intake},
    access::{Access, ApiKey, check_access},
    clock,
    configuration::ActiveConfiguration,
    events::Events,
    http_server::Reply,
    job_query::JobQuery,
    keys,
    metrics::Latency,
    owner::FleetHandle,
    pending::PendingCounter,
    ports::{CallError, CallerLimits, Item, Platform, Route, Transaction, TransactionOutcome},
};

/// How long a caller is taken to wait if it doesn't say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);
/// How long the body of a request may take whose caller doesn't say how long it waits.
const BODY_PATIENCE: Duration = Duration::from_secs(15);
/// An answer has to leave this long before its caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// When a caller that was refused for the store's sake should come back, in seconds.
const RETRY_AFTER_S: &str = "1";
/// A store that can't be reached is asked again for this long; then the caller may try another entry.
const STORE_PATIENCE: Duration = Duration::from_millis(600);
/// A caller whose key can't be vouched for waits this long for the store's word: a hundred times what it
/// takes as a rule.
const PROOF_PATIENCE: Duration = Duration::from_millis(400);
/// Pause before a store that gave no answer is asked again.
const REPEAT_PAUSE: Duration = Duration::from_millis(60);

/// What answering callers needs.
#[derive(Debug)]
pub struct CallerApi<P> {
    /// The outside.
    pub platform: P,
    /// The configuration in force.
    pub active: ActiveConfiguration,
    /// Where jobs are handed in.
    pub intake: Intake,
    /// The fleet, while this entry owns it.
    pub owner: FleetHandle,
    /// Counts of jobs that haven't begun.
    pub pending: PendingCounter,
    /// Log lines.
    pub events: Events,
}

impl<P: Platform> CallerApi<P> {
    /// Answers one request.
    pub async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let arrived_at = clock::now();
        let deadline = arrived_at + self.patience(&request);
        let Some(configuration) = self.active.get() else {
            return self.refuse(&path, "no configuration yet");
        };
        let host = request.headers().get(HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
        let Some(route) = self.active.route(host, &path) else {
            return self.problem(&path, StatusCode::NOT_FOUND, "no such queue");
        };
        let key = request.headers().get(self.platform.key_header());
        let key = key.map(|value| ApiKey::new(value.as_bytes()));
        let credentials = Credentials { key, arrived_at, deadline };
        let id = path[route.prefix.len()..].to_owned();
        let named = if id.is_empty() { &path } else { &id };
        let mut query = JobQuery::new(arrived_at);
        let account = match self.admit(named, &route, &credentials).await {
            Ok(account) => account,
            Err(reply) => {
                if *request.method() == Method::GET {
                    let proof_age = self.active.proof_age();
                    query.answered(&self.events, named, reply.status(), proof_age);
                }
                return reply;
            }
        };
        query.admit();
        if id.is_empty() && request.method() == Method::GET {
            return self.pending(&route.queue.name).await;
        }
        if !self.platform.is_job_id(&id) {
            let why = "the path doesn't end with a job's id";
            return self.problem(&path, StatusCode::BAD_REQUEST, why);
        }
        let id: JobId = id.into();
        match *request.method() {
            Method::POST => {
                self.submit(&route, id, request, configuration.limits, &credentials).await
            }
            Method::GET => self.look(&id, account.as_ref(), store_deadline(deadline), query).await,
            Method::DELETE => self.cancel(&id, account.as_ref(), store_deadline(deadline)).await,
            _ => self.problem(&id, StatusCode::METHOD_NOT_ALLOWED, "POST, GET or DELETE"),
        }
    }

    /// Finds out in whose name a caller asks, or what it is to be told if it may not.
    async fn admit(
        &self,
        id: &str,
        route: &Route,
        credentials: &Credentials,
    ) -> Result<Option<AccountName>, Reply> {
        let Credentials { key, arrived_at, deadline } = credentials;
        let give_up_at = (*deadline).min(clock::now() + PROOF_PATIENCE);
        loop {
            let Some(configuration) = self.active.get() else {
                return Err(self.refuse(id, "no configuration yet"));
            };
            let (proof, now) = (self.active.proof(), clock::now());
            let access = check_access(&configuration, route, key.as_ref(), proof, *arrived_at, now);
            match access {
                Access::Granted(account) => return Ok(account),
                Access::MissingKey => {
                    return Err(self.problem(id, StatusCode::UNAUTHORIZED, "a key is needed"));
                }
                Access::UnknownKey => {
                    let why = "the key isn't known; nothing was done";
                    return Err(self.problem(id, StatusCode::UNAUTHORIZED, why));
                }
                Access::Unverified => {
                    // One from between the request's arrival and now may be too old already.
                    let patience = give_up_at.saturating_sub(now);
                    if !self.active.wait_for_proof_since(now, patience).await {
                        return Err(self.refuse(id, "the key can't be checked now"));
                    }
                }
            }
        }
    }

    /// How long a caller says that it waits.
    fn said_patience(&self, request: &Request<Incoming>) -> Option<Duration> {
        let header = request.headers().get(self.platform.deadline_header())?;
        header.to_str().ok()?.parse().ok().map(Duration::from_millis)
    }

    fn patience(&self, request: &Request<Incoming>) -> Duration {
        let patience = self.said_patience(request).unwrap_or(DEFAULT_PATIENCE);
        patience.saturating_sub(ANSWER_MARGIN)
    }

    async fn submit(
        &self,
        route: &Route,
        id: JobId,
        request: Request<Incoming>,
        limits: CallerLimits,
        credentials: &Credentials,
    ) -> Reply {
        let deadline = credentials.deadline;
        let patience = self.said_patience(&request).unwrap_or(BODY_PATIENCE);
        let read_by = credentials.arrived_at + patience;
        let body = match read_body(request.into_body(), limits.body_bytes, read_by).await {
            Ok(body) => body,
            Err(error) => return self.problem(&id, error.status(), &error.to_string()),
        };
        // The key may have been taken away while the body arrived.
        let account = match self.admit(&id, route, credentials).await {
            Ok(account) => account,
            Err(reply) => return reply,
        };
        let spec = match self.platform.read_job(&body) {
            Ok(spec) => spec,
            Err(error) => {
                return self.problem(&id, StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let queue = route.queue.name.clone();
        let settings = Some(route.queue.clone());
        let accepted_ms = clock::wall_ms();
        let submission = Submission { queue: queue.clone(), settings, account, accepted_ms, spec };
        let arrived_at = clock::now();
        let unanswered = self.intake.unanswered_since();
        if let Some(since) = unanswered.filter(|at| !self.active.has_store_answered_since(*at)) {
            let silent_ms = clock::since(since).as_millis() as u64;
            let fields = json!({
                "job": *id,
                "queue": *queue,
                "account": submission.account.as_deref(),
                "fate": "Refused",
                "silent_ms": silent_ms,
            });
            self.events.emit("job_in", fields);
            return self.refuse(&id, "the store doesn't answer");
        }
        let fate = self.intake.submit(id.clone(), &submission, deadline).await;
        self.events.metrics().observe(Latency::Acceptance, clock::since(arrived_at));
        let took_ms = clock::since(arrived_at).as_millis() as u64;
        let fate_name = format!("{fate:?}");
        let fields = json!({
            "job": *id,
            "queue": *queue,
            "account": submission.account.as_deref(),
            "fate": fate_name,
            "took_ms": took_ms,
        });
        self.events.emit("job_in", fields);
        match fate {
            Acceptance::Accepted => reply(StatusCode::OK, Vec::new()),
            Acceptance::Foreign => self.foreign(&id),
            Acceptance::Refused => self.refuse(&id, "the store can't be reached"),
            Acceptance::Unknown => self.problem(
                &id,
                StatusCode::GATEWAY_TIMEOUT,
                "it isn't known whether the job is stored",
            ),
        }
    }

    async fn look(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
        deadline: Now,
        mut query: JobQuery,
    ) -> Reply {
        let reply = match self.owner.job_with_account(id) {
            Some(known) => {
                let (view, owner) = self.with_end(id, known, &mut query).await;
                self.show(id, view, owner.as_ref(), account)
            }
            None => self.look_until(id, account, deadline, &mut query).await,
        };
        query.answered(&self.events, id, reply.status(), self.active.proof_age());
        reply
    }

    /// What is told of a job that this entry owns. Where its end is on its way to the store, other entries may
    /// tell of it already, so the store has the last word if it can be had.
    async fn with_end(&self, id: &JobId, known: KnownJob, query: &mut JobQuery) -> KnownJob {
        if !self.owner.is_ending(id) {
            return known;
        }
        query.asks_store();
        self.look_at_record(id).await.ok().flatten().unwrap_or(known)
    }

    async fn look_until(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
        deadline: Now,
        query: &mut JobQuery,
    ) -> Reply {
        query.asks_store();
        let mut step = LookStep::Record;
        loop {
            match self.look_in_store(id, &mut step).await {
                Ok(Some((view, owner))) => return self.show(id, view, owner.as_ref(), account),
                Ok(None) => return self.problem(id, StatusCode::GONE, "no such job"),
                Err(error) => query.failed(error),
            }
            if clock::now() + REPEAT_PAUSE >= deadline {
                return self.refuse(id, "the store can't be reached");
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }

    /// Tells a caller of a job, if it is its own.
    fn show(
        &self,
        id: &JobId,
        view: JobView,
        owner: Option<&AccountName>,
        account: Option<&AccountName>,
    ) -> Reply {
        if is_foreign(owner, account) {
            return self.foreign(id);
        }
        reply(StatusCode::OK, self.platform.encode_job_view(view))
    }

    /// Reads on from `step`, and notes how far it has come: a reading that is refused is repeated alone.
    async fn look_in_store(
        &self,
        id: &JobId,
        step: &mut LookStep,
    ) -> Result<Option<KnownJob>, CallError> {
        if *step == LookStep::Record {
            if let Some(known) = self.look_at_record(id).await? {
                return Ok(Some(known));
            }
            *step = LookStep::Submission;
        }
        if *step == LookStep::Submission {
            if let Some(item) = self.platform.get(&keys::submission(id)).await? {
                let submission: Submission = self.parse(&item)?;
                return Ok(Some((JobView::Queued, submission.account)));
            }
            *step = LookStep::RecordAgain;
        }
        self.look_at_record(id).await
    }

    async fn look_at_record(&self, id: &JobId) -> Result<Option<KnownJob>, CallError> {
        let Some(item) = self.platform.get(&keys::record(id)).await? else { return Ok(None) };
        let record: JobRecord = self.parse(&item)?;
        let view = match record.outcome {
            Some(outcome) => JobView::Over(outcome),
            None if record.has_begun => JobView::Running,
            None => JobView::Queued,
        };
        Ok(Some((view, record.account)))
    }

    fn parse<T: DeserializeOwned>(&self, item: &Item) -> Result<T, CallError> {
        serde_json::from_slice(&item.value).map_err(|error| {
            let why = error.to_string();
            self.events.emit("unreadable", json!({ "key": item.key, "why": why }));
            CallError::Unanswered { reason: why }
        })
    }

    /// A cancellation is acknowledged once it is durable; the owner carries it out.
    async fn cancel(&self, id: &JobId, account: Option<&AccountName>, deadline: Now) -> Reply {
        loop {
            match self.cancel_once(id, account).await {
                Ok(end) => {
                    let fields = json!({ "job": **id, "known": end != Cancellation::Unknown });
                    self.events.emit("cancel_in", fields);
                    return match end {
                        Cancellation::Durable => reply(StatusCode::OK, Vec::new()),
                        Cancellation::Unknown => self.problem(id, StatusCode::GONE, "no such job"),
                        Cancellation::Foreign => self.foreign(id),
                    };
                }
                Err(_) if clock::now() + REPEAT_PAUSE < deadline => {
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
                Err(_) => return self.refuse(id, "the store can't be reached"),
            }
        }
    }

    async fn cancel_once(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
    ) -> Result<Cancellation, CallError> {
        let Some(item) = self.platform.get(&keys::submission(id)).await? else {
            return self.cancel_ended(id, account).await;
        };
        let submission: Submission = self.parse(&item)?;
        if is_foreign(submission.account.as_ref(), account) {
            return Ok(Cancellation::Foreign);
        }
        let key = keys::cancellation(id);
        let transaction = Transaction {
            expect: vec![(item.key, item.revision), (key.clone(), 0)],
            puts: vec![(key.clone(), b"{}".to_vec(), None)],
            removes: Vec::new(),
        };
        match self.platform.commit(&transaction).await? {
            TransactionOutcome::Committed(_) => Ok(Cancellation::Durable),
            TransactionOutcome::Conflict(items) if items.iter().any(|item| item.key == key) => {
                Ok(Cancellation::Durable)
            }
            TransactionOutcome::Conflict(_) => self.cancel_ended(id, account).await,
        }
    }

    /// A job that is over is known, and there is nothing left to cancel.
    async fn cancel_ended(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
    ) -> Result<Cancellation, CallError> {
        let known = self.look_at_record(id).await?;
        Ok(match known {
            Some((_, owner)) if is_foreign(owner.as_ref(), account) => Cancellation::Foreign,
            Some(_) => Cancellation::Durable,
            None => Cancellation::Unknown,
        })
    }

    async fn pending(&self, queue: &QueueName) -> Reply {
        if let Some(count) = self.owner.pending_count(queue) {
            return reply(StatusCode::OK, self.platform.encode_pending_count(count));
        }
        match self.pending.count(&self.platform, queue).await {
            Ok(count) => reply(StatusCode::OK, self.platform.encode_pending_count(count)),
            Err(_) => self.refuse(queue, "how many jobs wait can't be said now"),
        }
    }

    /// The job is another client account's.
    fn foreign(&self, id: &str) -> Reply {
        let why = "the job belongs to another client account; nothing was done";
        self.problem(id, StatusCode::FORBIDDEN, why)
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
        reply(status, self.platform.encode_error(why))
    }
}

/// What a caller shows, and until when it waits.
struct Credentials {
    key: Option<ApiKey>,
    arrived_at: Now,
    deadline: Now,
}

/// Why the body of a request can't be used; nothing was done.
#[derive(Debug, Clone, Copy, Display)]
enum BodyError {
    /// Its caller's time was over before it was whole.
    #[display("the body didn't arrive in time; nothing was done")]
    Late,
    /// It is larger than the configuration allows, or its caller broke off.
    #[display("the body is too large")]
    TooLarge,
}

impl BodyError {
    fn status(self) -> StatusCode {
        match self {
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

async fn read_body(body: Incoming, most_bytes: usize, read_by: Now) -> Result<Bytes, BodyError> {
    let left = read_by.saturating_sub(clock::now());
    let read = timeout(left, Limited::new(body, most_bytes).collect()).await;
    let body = read.map_err(|_| BodyError::Late)?.map_err(|_| BodyError::TooLarge)?;
    Ok(body.to_bytes())
}

/// What is read next of a job. One that has only been handed in has no record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LookStep {
    Record,
    /// There was no record.
    Submission,
    /// There was neither: it may have ended between the two readings.
    RecordAgain,
}

/// A job's state and the client account that it belongs to.
type KnownJob = (JobView, Option<AccountName>);

/// How a request to cancel ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cancellation {
    /// The job is cancelled or over, durably.
    Durable,
    /// There is no such job.
    Unknown,
    /// It is another client account's.
    Foreign,
}

/// Whether a job belongs to another client account than the caller's. One that was handed in without a
/// key is nobody's in particular.
fn is_foreign(owner: Option<&AccountName>, account: Option<&AccountName>) -> bool {
    owner.is_some_and(|owner| account != Some(owner))
}

/// Until when the store is asked for a caller that waits until `deadline`.
fn store_deadline(deadline: Now) -> Now {
    deadline.min(clock::now() + STORE_PATIENCE)
}

fn reply(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

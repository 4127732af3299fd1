//! The HTTP API for callers: routes and authorizes their requests, and answers queries for jobs.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Response, StatusCode,
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

use crate::{
    acceptance::Intake,
    access::{Access, ApiKey, check_access},
    admission::AdmissionControl,
    clock,
    configuration::ActiveConfiguration,
    events::Events,
    http_server::Reply,
    job_query::JobQuery,
    job_room::JobRoomCheck,
    keys,
    owner::FleetHandle,
    pending::PendingCounter,
    ports::{CallError, Item, Platform, Route},
    request_body::Request,
    tombstones::Tombstones,
};

/// Timeout of a caller that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for which a request waits, whatever its caller states, so that it doesn't take memory for days.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between sending the answer and the timeout of the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Value of `Retry-After`, in seconds, for requests that are refused because the store is unavailable.
const RETRY_AFTER_S: &str = "1";
/// Maximum time for retries of failed calls to the store; after that the caller may try another entry.
const STORE_RETRY_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time to wait for a proof that the configuration is current, if the caller's key can't be verified
/// without one. A hundred times the usual duration.
const PROOF_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a failed call to the store is retried.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Handles the requests of callers.
#[derive(Debug)]
pub struct CallerApi<P> {
    /// The platform, including the store.
    pub platform: P,
    /// The configuration in force.
    pub active: ActiveConfiguration,
    /// The queue of submitted jobs.
    pub intake: Intake,
    /// Keeps jobs that were cancelled before they were stored from being stored.
    pub tombstones: Tombstones,
    /// The fleet, while this entry owns it.
    pub owner: FleetHandle,
    /// Counts the jobs that haven't started.
    pub pending: PendingCounter,
    /// Decides which jobs are passed to the store while queues are overloaded.
    pub admission: AdmissionControl,
    /// Knows how much room the fleet's owner has for jobs.
    pub job_room: JobRoomCheck,
    /// Upper limit of the timeouts that callers state.
    pub max_timeout: Duration,
    /// Log lines.
    pub events: Events,
}

impl<P: Platform> CallerApi<P> {
    /// Handles a request.
    pub async fn handle(self: Rc<Self>, request: Request) -> Reply {
        let path = request.uri().path().to_owned();
        let arrived_at = clock::now();
        let stated_timeout = self.stated_timeout(&request);
        let deadline = arrived_at + answer_timeout(stated_timeout);
        let Some(configuration) = self.active.get() else {
            return self.refuse(&path, "no configuration yet");
        };
        let host = request.headers().get(HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
        let Some(route) = self.active.route(host, &path) else {
            return self.error_reply(&path, StatusCode::NOT_FOUND, "no such queue");
        };
        let key = request.headers().get(self.platform.key_header());
        let key = key.map(|value| ApiKey::new(value.as_bytes()));
        let is_submission = *request.method() == Method::POST;
        let credentials = Credentials { key, arrived_at, stated_timeout, deadline, is_submission };
        let id = path[route.prefix.len()..].to_owned();
        let logged_id = if id.is_empty() { &path } else { &id };
        let mut query = JobQuery::new(arrived_at);
        let account = match self.authorize(logged_id, &route, &credentials).await {
            Ok(account) => account,
            Err(reply) => {
                if *request.method() == Method::GET {
                    let proof_age = self.active.proof_age();
                    query.log_answer(&self.events, logged_id, reply.status(), proof_age);
                }
                return reply;
            }
        };
        query.on_authorized();
        if id.is_empty() && request.method() == Method::GET {
            return self.pending_reply(&route.queue.name).await;
        }
        if !self.platform.is_job_id(&id) {
            let why = "the path doesn't end with a job's id";
            return self.error_reply(&path, StatusCode::BAD_REQUEST, why);
        }
        let id: JobId = id.into();
        match *request.method() {
            Method::POST => {
                self.submit(&route, id, request.into_body(), configuration.limits, credentials)
                    .await
            }
            Method::GET => {
                self.query_job(&id, account.as_ref(), store_deadline(deadline), query).await
            }
            Method::DELETE => self.cancel(&id, account.as_ref(), store_deadline(deadline)).await,
            _ => self.error_reply(&id, StatusCode::METHOD_NOT_ALLOWED, "POST, GET or DELETE"),
        }
    }

    /// Returns the client account of a request, or the reply if access is denied or can't be verified.
    pub(crate) async fn authorize(
        &self,
        id: &str,
        route: &Route,
        credentials: &Credentials,
    ) -> Result<Option<AccountName>, Reply> {
        let Credentials { key, arrived_at, deadline, is_submission, .. } = credentials;
        let give_up_at = (*deadline).min(clock::now() + PROOF_TIMEOUT);
        loop {
            let Some(configuration) = self.active.get() else {
                return Err(self.refuse(id, "no configuration yet"));
            };
            let (proof, now) = (self.active.proof(), clock::now());
            let access = check_access(&configuration, route, key.as_ref(), proof, *arrived_at, now);
            match access {
                Access::Granted(account) => return Ok(account),
                Access::MissingKey => {
                    return Err(self.error_reply(id, StatusCode::UNAUTHORIZED, "a key is needed"));
                }
                Access::UnknownKey => {
                    let why = "the key isn't known; nothing was done";
                    return Err(self.error_reply(id, StatusCode::UNAUTHORIZED, why));
                }
                Access::Unverified => {
                    // A proof from between the arrival and now may have expired already.
                    let time_left = give_up_at.saturating_sub(now);
                    if !self.active.wait_for_proof_since(now, time_left).await {
                        let why = "the key can't be checked now";
                        return Err(if *is_submission {
                            self.refuse_submission(&id.into(), why)
                        } else {
                            self.refuse(id, why)
                        });
                    }
                }
            }
        }
    }

    /// Returns the timeout that a caller states, up to the maximum.
    fn stated_timeout(&self, request: &Request) -> Option<Duration> {
        let header = request.headers().get(self.platform.deadline_header())?;
        let stated = header.to_str().ok()?.parse().ok().map(Duration::from_millis)?;
        Some(stated.min(self.max_timeout))
    }

    /// Answers a query for a job.
    async fn query_job(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
        deadline: Now,
        mut query: JobQuery,
    ) -> Reply {
        let reply = match self.job_in_memory(id) {
            Some((view, owner)) => self.job_reply(id, view, owner.as_ref(), account),
            None => self.query_store(id, account, deadline, &mut query).await,
        };
        query.log_answer(&self.events, id, reply.status(), self.active.proof_age());
        reply
    }

    /// Returns the state of a job that this entry owns, unless its end is being written to the store: other entries
    /// may already report that end, so only the stored record is certain.
    fn job_in_memory(&self, id: &JobId) -> Option<JobWithAccount> {
        if self.owner.is_ending(id) {
            return None;
        }
        self.owner.job_with_account(id)
    }

    /// Answers with the stored state of a job, or with that in memory if it becomes certain before the store answers.
    async fn query_store(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
        deadline: Now,
        query: &mut JobQuery,
    ) -> Reply {
        query.on_store_access();
        let mut step = LookupStep::Record;
        loop {
            match self.read_from_step(id, &mut step).await {
                Ok(Some((view, owner))) => {
                    return self.job_reply(id, view, owner.as_ref(), account);
                }
                Ok(None) => return self.error_reply(id, StatusCode::GONE, "no such job"),
                Err(error) => query.on_store_failure(error),
            }
            if let Some((view, owner)) = self.job_in_memory(id) {
                return self.job_reply(id, view, owner.as_ref(), account);
            }
            if clock::now() + RETRY_DELAY >= deadline {
                return self.refuse(id, "the store can't be reached");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Answers with the state of a job if it belongs to the caller's account.
    fn job_reply(
        &self,
        id: &JobId,
        view: JobView,
        owner: Option<&AccountName>,
        account: Option<&AccountName>,
    ) -> Reply {
        if is_foreign(owner, account) {
            return self.refuse_foreign(id);
        }
        reply(StatusCode::OK, self.platform.encode_job_view(view))
    }

    /// Reads a job from the store beginning at `step`, which is advanced, so that a retry repeats only the
    /// failed read.
    async fn read_from_step(
        &self,
        id: &JobId,
        step: &mut LookupStep,
    ) -> Result<Option<JobWithAccount>, CallError> {
        if *step == LookupStep::Record {
            if let Some(known) = self.read_record(id).await? {
                return Ok(Some(known));
            }
            *step = LookupStep::Submission;
        }
        if *step == LookupStep::Submission {
            if let Some(item) = self.platform.get(&keys::submission(id)).await? {
                let submission: Submission = self.parse(&item)?;
                return Ok(Some((JobView::Queued, submission.account)));
            }
            *step = LookupStep::RecordRetry;
        }
        self.read_record(id).await
    }

    /// Reads the state of a job from its record. A tombstone shows a job only if it was submitted.
    async fn read_record(&self, id: &JobId) -> Result<Option<JobWithAccount>, CallError> {
        let Some(item) = self.platform.get(&keys::record(id)).await? else { return Ok(None) };
        let record: JobRecord = self.parse(&item)?;
        if record.tombstone.is_some_and(|tombstone| !tombstone.is_submitted) {
            return Ok(None);
        }
        let view = match record.outcome {
            Some(outcome) => JobView::Over(outcome),
            None if record.has_begun => JobView::Running,
            None => JobView::Queued,
        };
        Ok(Some((view, record.account)))
    }

    pub(crate) fn parse<T: DeserializeOwned>(&self, item: &Item) -> Result<T, CallError> {
        serde_json::from_slice(&item.value).map_err(|error| {
            let why = error.to_string();
            self.events.emit_unreadable(&item.key, &why);
            CallError::Unanswered { reason: why }
        })
    }

    /// Answers with the number of pending jobs of a queue.
    async fn pending_reply(&self, queue: &QueueName) -> Reply {
        if let Some(count) = self.owner.pending_count(queue) {
            return reply(StatusCode::OK, self.platform.encode_pending_count(count));
        }
        match self.pending.count(&self.platform, queue).await {
            Ok(count) => reply(StatusCode::OK, self.platform.encode_pending_count(count)),
            Err(_) => self.refuse(queue, "how many jobs wait can't be said now"),
        }
    }

    /// Refuses a request because the job belongs to another client account.
    pub(crate) fn refuse_foreign(&self, id: &str) -> Reply {
        let why = "the job belongs to another client account; nothing was done";
        self.error_reply(id, StatusCode::FORBIDDEN, why)
    }

    /// Refuses a request without any effect; the caller may retry.
    pub(crate) fn refuse(&self, id: &str, why: &str) -> Reply {
        let mut reply = self.error_reply(id, StatusCode::SERVICE_UNAVAILABLE, why);
        let retry_after = hyper::header::HeaderValue::from_static(RETRY_AFTER_S);
        reply.headers_mut().insert(RETRY_AFTER, retry_after);
        reply
    }

    /// Logs and returns an error; `id` is the job's id, or the path if it contains none.
    pub(crate) fn error_reply(&self, id: &str, status: StatusCode, why: &str) -> Reply {
        let fields = json!({ "job": id, "status": status.as_u16(), "why": why });
        self.events.emit("answered", fields);
        reply(status, self.platform.encode_error(why))
    }
}

/// The key and the times of a request.
pub(crate) struct Credentials {
    key: Option<ApiKey>,
    pub(crate) arrived_at: Now,
    pub(crate) stated_timeout: Option<Duration>,
    pub(crate) deadline: Now,
    /// Whether the request submits a job.
    is_submission: bool,
}

impl Credentials {
    /// Notes that the body has been received. The timeout of a caller that states none begins only then.
    pub(crate) fn on_body_received(&mut self) {
        if self.stated_timeout.is_none() {
            self.deadline = clock::now() + answer_timeout(None);
        }
    }
}

/// Returns how long after the arrival of a request its answer has to be sent.
fn answer_timeout(stated: Option<Duration>) -> Duration {
    stated.unwrap_or(DEFAULT_TIMEOUT).saturating_sub(ANSWER_MARGIN)
}

/// What is read next about a job. A job that was only submitted has no record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LookupStep {
    Record,
    /// The submission, since there was no record.
    Submission,
    /// The record again, since the job may have ended between the first two reads.
    RecordRetry,
}

/// A job's state and its client account.
type JobWithAccount = (JobView, Option<AccountName>);

/// Returns whether a job belongs to a client account other than the caller's. A job that was submitted
/// without a key belongs to no account.
pub(crate) fn is_foreign(owner: Option<&AccountName>, account: Option<&AccountName>) -> bool {
    owner.is_some_and(|owner| account != Some(owner))
}

/// Returns until when calls to the store are retried for a request with this deadline.
pub(crate) fn store_deadline(deadline: Now) -> Now {
    deadline.min(clock::now() + STORE_RETRY_TIMEOUT)
}

pub(crate) fn reply(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

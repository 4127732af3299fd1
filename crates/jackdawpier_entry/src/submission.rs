//! Submits jobs at the request of their callers.
//!
//! A refused job never runs. Whether that can be said depends on the other submissions of the job as well; see
//! `docs/design/cancellation.md`.

use std::time::Duration;

use derive_more::{Display, From};
use hyper::{StatusCode, header::RETRY_AFTER};
use jackdawpier_fleet::{admission::Admission, job_size, spec::Submission};
use jackdawpier_http::request_body::{BodyError, BodyReader, BodyRoom, ReceivedBody};
use jackdawpier_kernel::{
    Now,
    body_budget::{BodyFigures, NoRoom},
    ids::JobId,
};
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::{
    acceptance::Acceptance,
    callers::{CallerApi, Credentials, RETRY_DELAY, reply, store_deadline},
    clock,
    http_server::Reply,
    keys,
    metrics::Latency,
    ports::{CallerLimits, Platform, Route},
    request_body::RequestBody,
};

/// Maximum time to receive the body of a request whose caller states no timeout.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(15);

impl<P: Platform> CallerApi<P> {
    /// Writes a job to the store, unless it is refused or rejected before that.
    pub(crate) async fn submit(
        &self,
        route: &Route,
        id: JobId,
        body: RequestBody,
        limits: CallerLimits,
        mut credentials: Credentials,
    ) -> Reply {
        let received = self.receive(route, &id, body, limits, &mut credentials).await;
        // The job keeps its room until it is answered.
        let (submission, _room) = match received {
            Ok(received) => received,
            Err(reply) => return reply,
        };
        let received_at = clock::now();
        if let Some(silent_for) = self.silence_of_store() {
            let outcome = self.intake.refused_outcome(&id);
            let fields = json!({ "silent_ms": silent_for.as_millis() as u64 });
            self.log_outcome(&id, &submission, &format!("{outcome:?}"), fields);
            return self.outcome_reply(&id, outcome, "the store doesn't answer");
        }
        let deadline = credentials.deadline;
        if let Some(retry_after) = self.retry_after_if_rejected(&id, &submission)
            && self.is_certainly_not_stored(&id, store_deadline(deadline)).await
        {
            return self.reject(&id, &submission, retry_after);
        }
        let give_up_at = store_deadline(deadline);
        if let Some(reply) = self.refuse_without_memory(&id, &submission, give_up_at).await {
            return reply;
        }
        let outcome = self.intake.submit(id.clone(), &submission, deadline).await;
        let took = clock::since(received_at);
        self.events.metrics().observe(Latency::Acceptance, took);
        let fields = json!({ "took_ms": took.as_millis() as u64 });
        self.log_outcome(&id, &submission, &format!("{outcome:?}"), fields);
        self.outcome_reply(&id, outcome, "the store can't be reached")
    }

    /// Answers a submission with its outcome; `why` says why it was refused, if it was.
    fn outcome_reply(&self, id: &JobId, outcome: Acceptance, why: &str) -> Reply {
        match outcome {
            Acceptance::Accepted | Acceptance::Cancelled => reply(StatusCode::OK, Vec::new()),
            Acceptance::Foreign => self.refuse_foreign(id),
            Acceptance::Refused => self.refuse(id, why),
            Acceptance::Unknown => {
                let why = "it isn't known whether the job is stored";
                self.error_reply(id, StatusCode::GATEWAY_TIMEOUT, why)
            }
        }
    }

    /// Answers a submission that isn't passed to the store.
    pub(crate) fn refuse_submission(&self, id: &JobId, why: &str) -> Reply {
        self.outcome_reply(id, self.intake.refused_outcome(id), why)
    }

    /// Receives the body of a request and returns the job with its room, or the reply if it can't be submitted.
    async fn receive(
        &self,
        route: &Route,
        id: &JobId,
        body: RequestBody,
        limits: CallerLimits,
        credentials: &mut Credentials,
    ) -> Result<(Submission, BodyRoom), Reply> {
        let body_timeout = credentials.stated_timeout.unwrap_or(DEFAULT_BODY_TIMEOUT);
        let read_by = credentials.arrived_at + body_timeout;
        let body = self.read_body(id, body, limits.body_bytes, read_by).await?;
        credentials.on_body_received();
        // The key may have been revoked while the body was received.
        let account = self.authorize(id, route, credentials).await?;
        let spec = self
            .platform
            .read_job(&body.bytes)
            .map_err(|error| self.error_reply(id, StatusCode::BAD_REQUEST, &error.to_string()))?;
        let room = body.room;
        if let Err(why) = room.reserve(job_size::memory_bytes(&spec)) {
            return Err(self.refuse_body(id, why.into(), room.figures()));
        }
        let queue = route.queue.name.clone();
        let settings = Some(route.queue.clone());
        let submission =
            Submission { queue, settings, account, accepted_ms: clock::wall_ms(), spec };
        Ok((submission, room))
    }

    /// Reads the body of a request. Beyond a stated length that doesn't fit, nothing is read.
    async fn read_body(
        &self,
        id: &JobId,
        body: RequestBody,
        max_bytes: usize,
        read_by: Now,
    ) -> Result<ReceivedBody, Reply> {
        let memory = body.memory();
        let mut reader = BodyReader::new(body, &memory, max_bytes);
        let time_left = read_by.saturating_sub(clock::now());
        let read = timeout(time_left, read_to_end(&mut reader)).await;
        let figures = reader.figures();
        let why = match read {
            Ok(Ok(())) => {
                return reader.finish().map_err(|why| self.refuse_body(id, why.into(), figures));
            }
            Ok(Err(error)) => error.into(),
            Err(_) => Unreceived::Late,
        };
        if why.has_stalled() {
            reader.into_rest().abort();
        }
        Err(self.refuse_body(id, why, figures))
    }

    /// Answers a request whose body wasn't received. The request has no effect, but an earlier one may have stored the job.
    fn refuse_body(&self, id: &JobId, why: Unreceived, figures: BodyFigures) -> Reply {
        let fields = json!({
            "job": **id,
            "how": why.name(),
            "held_bytes": figures.room_bytes,
            "received_bytes": figures.received_bytes,
            "age_ms": figures.age.as_millis() as u64,
            "stalled_ms": figures.stalled_for.as_millis() as u64,
            "budget_held_bytes": figures.budget_held_bytes,
            "budget_bytes": figures.budget_bytes,
        });
        self.events.emit("body_refused", fields);
        match why {
            Unreceived::Late => self.error_reply(id, StatusCode::REQUEST_TIMEOUT, &why.to_string()),
            Unreceived::Body(BodyError::TooLarge) => {
                self.error_reply(id, StatusCode::PAYLOAD_TOO_LARGE, &why.to_string())
            }
            Unreceived::Body(BodyError::Aborted) => {
                self.error_reply(id, StatusCode::BAD_REQUEST, &why.to_string())
            }
            Unreceived::Body(BodyError::NoRoom(_)) => self.refuse_submission(id, &why.to_string()),
        }
    }

    /// Returns for how long the store hasn't answered, if it didn't answer the last write nor any call since.
    fn silence_of_store(&self) -> Option<Duration> {
        let since = self.intake.unanswered_since()?;
        (!self.active.has_store_answered_since(since)).then(|| clock::since(since))
    }

    /// Returns when the caller may submit the job again, if it is rejected because its queue is overloaded. A job that
    /// may be stored isn't rejected.
    fn retry_after_if_rejected(&self, id: &JobId, submission: &Submission) -> Option<Duration> {
        if self.intake.may_be_stored(id) {
            return None;
        }
        let configuration = self.active.get()?;
        match self.admission.admit(&self.platform, &configuration, id, submission) {
            Admission::Admit => None,
            Admission::Reject { retry_after } => Some(retry_after),
        }
    }

    /// Returns whether the store holds neither the job nor its record. Another entry may have stored the job and lost
    /// the answer; a rejection would then be untrue. Without an answer by the deadline the job counts as stored.
    async fn is_certainly_not_stored(&self, id: &JobId, deadline: Now) -> bool {
        // A job that ends meanwhile loses its submission only once it has a record.
        for key in [keys::submission(id), keys::record(id)] {
            loop {
                match self.platform.get(&key).await {
                    Ok(None) => break,
                    Err(_) if clock::now() + RETRY_DELAY < deadline => {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                    Ok(Some(_)) | Err(_) => return false,
                }
            }
        }
        true
    }

    /// Rejects a job before it is written.
    fn reject(&self, id: &JobId, submission: &Submission, retry_after: Duration) -> Reply {
        self.log_outcome(id, submission, "TurnedAway", json!({}));
        let why = "the account exceeds its share and the queue is overloaded; nothing was done";
        let mut reply = self.error_reply(id, StatusCode::TOO_MANY_REQUESTS, why);
        reply.headers_mut().insert(RETRY_AFTER, retry_after.as_secs().into());
        reply
    }

    /// Logs the outcome of a submission, with further fields.
    fn log_outcome(&self, id: &JobId, submission: &Submission, outcome: &str, mut fields: Value) {
        fields["job"] = json!(**id);
        fields["queue"] = json!(*submission.queue);
        fields["account"] = json!(submission.account.as_deref());
        fields["fate"] = json!(outcome);
        self.events.emit("job_in", fields);
    }
}

/// Why the body of a request can't be used.
#[derive(Debug, Clone, Copy, Display, From)]
enum Unreceived {
    /// It wasn't complete before the deadline.
    #[display("the body didn't arrive in time; nothing was done")]
    Late,
    /// It was refused or aborted.
    #[from(BodyError, NoRoom)]
    Body(BodyError),
}

impl Unreceived {
    /// Returns whether the client has stopped sending.
    fn has_stalled(self) -> bool {
        matches!(self, Self::Late | Self::Body(BodyError::NoRoom(NoRoom::Evicted)))
    }

    /// Returns the reason as a label of log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Body(error) => error.name(),
        }
    }
}

async fn read_to_end(reader: &mut BodyReader<RequestBody>) -> Result<(), BodyError> {
    reader.reserve_stated_length()?;
    while !reader.receive().await? {}
    Ok(())
}

//! Sends requests to executors and classifies the outcome of each attempt.

use std::{io, time::Duration};

use jackdawpier_kernel::{headers, outcome::Answer, trace::TraceContext};
use jackdawpier_route::dispatcher::AttemptOutcome;

use crate::messages::WorkRequest;

/// Timeout of connecting to an executor.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to one executor. Below its number of slots, so that other
/// entries can connect too.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Maximum age of an idle connection; shorter than the executors' own idle timeout.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Result of one attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) outcome: AttemptOutcome,
    /// The complete answer, if there is one.
    pub(crate) answer: Option<Answer>,
    /// Status or error of the attempt, for the log.
    pub(crate) detail: String,
    /// Whether the executor's response says that it is leaving.
    pub(crate) is_leaving: bool,
}

impl Attempt {
    fn failed(outcome: AttemptOutcome, detail: impl ToString) -> Self {
        Self { outcome, answer: None, detail: detail.to_string(), is_leaving: false }
    }
}

/// HTTP client for executors. `ureq` never reuses a connection after an error on it.
#[derive(Debug, Clone)]
pub(crate) struct ExecutorClient {
    agent: ureq::Agent,
    max_answer_bytes: u64,
}

impl ExecutorClient {
    pub(crate) fn new(max_answer_bytes: usize) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .max_idle_connections(4096)
            .max_idle_age(MAX_IDLE_AGE)
            .max_redirects(0)
            .build()
            .new_agent();
        Self { agent, max_answer_bytes: max_answer_bytes as u64 }
    }

    /// Sends `work` once. Blocks until the complete answer was read or `limit` has passed.
    pub(crate) fn send(
        &self,
        address: &str,
        work: &WorkRequest,
        trace: Option<TraceContext>,
        limit: Duration,
    ) -> Attempt {
        let request = ureq::http::Request::builder()
            .method(work.method.as_str())
            .uri(format!("http://{address}{}", work.path))
            .header("content-type", &work.content_type)
            .header(headers::CUSTOMER, &*work.customer)
            .header(headers::REQUEST_ID, &work.request_id);
        let request = match trace {
            Some(context) => request.header(headers::TRACEPARENT, context.to_string()),
            None => request,
        };
        let Ok(request) = request.body(work.body.as_slice()) else {
            return Attempt::failed(
                AttemptOutcome::Declined { is_leaving: false },
                "not a valid request",
            );
        };
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(limit))
            .allow_non_standard_methods(true)
            .build();
        match self.agent.run(request) {
            Err(error) => Attempt::failed(classify(&error), error),
            Ok(response) => self.read_answer(work, response),
        }
    }

    fn read_answer(
        &self,
        work: &WorkRequest,
        mut response: ureq::http::Response<ureq::Body>,
    ) -> Attempt {
        let header = |name: &str| {
            response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let is_leaving = header(headers::INSTANCE_STATE).as_deref() == Some(headers::LEAVING);
        let is_not_run = header(headers::NOT_RUN).is_some();
        let echoed_id = header(headers::REQUEST_ID);
        let content_type =
            header("content-type").unwrap_or_else(|| "application/octet-stream".to_owned());
        let status = response.status().as_u16();
        let is_delimited =
            header("content-length").is_some() || header("transfer-encoding").is_some();
        let body = response.body_mut().with_config().limit(self.max_answer_bytes).read_to_vec();
        let outcome = match &body {
            _ if is_not_run => AttemptOutcome::Declined { is_leaving },
            Err(_) => AttemptOutcome::Lost,
            // Without a length or chunked encoding, a complete body looks like a truncated one.
            Ok(body) if !is_delimited && !body.is_empty() => AttemptOutcome::Lost,
            Ok(_) if echoed_id.is_some_and(|id| id != work.request_id) => AttemptOutcome::Lost,
            Ok(_) if status >= MIN_SERVER_ERROR_STATUS => AttemptOutcome::Failed,
            Ok(_) => AttemptOutcome::Answered,
        };
        let detail = match &body {
            Err(error) => error.to_string(),
            Ok(_) => format!("executor's status {status}"),
        };
        let answer = body.ok().filter(|_| outcome == AttemptOutcome::Answered).map(|body| Answer {
            status,
            content_type,
            body,
        });
        Attempt { outcome, answer, detail, is_leaving }
    }
}

/// Classifies an error. Only a failure to connect proves that no byte was sent.
fn classify(error: &ureq::Error) -> AttemptOutcome {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
            AttemptOutcome::NotConnected
        }
        ureq::Error::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused => {
            AttemptOutcome::NotConnected
        }
        _ => AttemptOutcome::Lost,
    }
}

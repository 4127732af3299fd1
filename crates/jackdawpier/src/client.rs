//! HTTP client for the operators' port of an entry.

use std::time::Duration;

use jackdawpier_client::{ClientLimits, is_not_sent};
use serde::Serialize;
use serde_json::Value;

use crate::exit_status::Failure;

/// Limits of calls. There is no timeout for a whole call, because documents and lists of jobs can
/// be of any size.
const LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_secs(15),
    io_timeout: Duration::from_secs(15),
    // The operators' server sends head and body separately, so on a reused connection the body
    // waits 40 ms for a delayed acknowledgement.
    max_idle_connections: 0,
};

/// Client for one entry.
pub(crate) struct Client {
    entry: String,
    agent: ureq::Agent,
}

/// Answer with its HTTP status.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Client {
    pub(crate) fn new(entry: &str) -> Self {
        let agent = jackdawpier_client::agent(LIMITS);
        Self { entry: entry.to_owned(), agent }
    }

    pub(crate) fn get(&self, path: &str) -> Result<Answer, Failure> {
        let call = self.agent.get(format!("http://{}{path}", self.entry)).call();
        call.and_then(read_answer).map_err(|error| self.entry_unreachable(&error))
    }

    /// Requests a change. If the request was sent and its answer is lost, the outcome is unknown.
    pub(crate) fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, Failure> {
        let text = serde_json::to_vec(body).expect("requests are plain data");
        let call = self.agent.post(format!("http://{}{path}", self.entry)).send(&text);
        call.and_then(read_answer).map_err(|error| {
            if is_not_sent(&error) {
                return self.entry_unreachable(&error);
            }
            Failure::LostAnswer { entry: self.entry.clone(), detail: error.to_string() }
        })
    }

    fn entry_unreachable(&self, error: &ureq::Error) -> Failure {
        Failure::EntryUnreachable { entry: self.entry.clone(), detail: error.to_string() }
    }
}

fn read_answer(mut response: ureq::http::Response<ureq::Body>) -> Result<Answer, ureq::Error> {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Ok(Answer { status, body })
}

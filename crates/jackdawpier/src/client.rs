//! Calls to the operators' port of an entry.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;

use crate::exit_status::Failure;

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A client of one entry.
pub(crate) struct Client {
    entry: String,
    agent: ureq::Agent,
}

/// An answer with its status.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Client {
    pub(crate) fn new(entry: &str) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            // A second answer on one connection waits 40 ms for an acknowledgement that the system
            // delays: the port's server sends head and body apart.
            .max_idle_connections(0)
            .build()
            .new_agent();
        Self { entry: entry.to_owned(), agent }
    }

    pub(crate) fn get(&self, path: &str) -> Result<Answer, Failure> {
        let call = self.agent.get(format!("http://{}{path}", self.entry)).call();
        self.read(call)
    }

    pub(crate) fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, Failure> {
        let text = serde_json::to_vec(body).expect("requests are plain data");
        self.read(self.agent.post(format!("http://{}{path}", self.entry)).send(&text))
    }

    fn read(
        &self,
        call: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Answer, Failure> {
        let no_entry = |error: ureq::Error| Failure::NoEntry {
            entry: self.entry.clone(),
            detail: error.to_string(),
        };
        let mut response = call.map_err(no_entry)?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().map_err(no_entry)?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok(Answer { status, body })
    }
}

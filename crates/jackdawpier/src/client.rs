//! Calls to the operators' port of an entry.

use std::time::Duration;

use jackdawpier_client::{ClientLimits, is_not_sent};
use serde::Serialize;
use serde_json::Value;

use crate::exit_status::Failure;

/// How long an entry may be silent. How long a document or a list of jobs is depends on the users.
const LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_secs(15),
    io_timeout: Duration::from_secs(15),
    // A second answer on one connection waits 40 ms for an acknowledgement that the system delays:
    // the port's server sends head and body apart.
    max_idle_connections: 0,
};

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
        let agent = jackdawpier_client::agent(LIMITS);
        Self { entry: entry.to_owned(), agent }
    }

    pub(crate) fn get(&self, path: &str) -> Result<Answer, Failure> {
        let call = self.agent.get(format!("http://{}{path}", self.entry)).call();
        call.and_then(read).map_err(|error| self.no_entry(&error))
    }

    /// Asks for a change. Once it was sent, only its answer can tell whether it was made.
    pub(crate) fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, Failure> {
        let text = serde_json::to_vec(body).expect("requests are plain data");
        let call = self.agent.post(format!("http://{}{path}", self.entry)).send(&text);
        call.and_then(read).map_err(|error| {
            if is_not_sent(&error) {
                return self.no_entry(&error);
            }
            Failure::LostAnswer { entry: self.entry.clone(), detail: error.to_string() }
        })
    }

    fn no_entry(&self, error: &ureq::Error) -> Failure {
        Failure::NoEntry { entry: self.entry.clone(), detail: error.to_string() }
    }
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Result<Answer, ureq::Error> {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Ok(Answer { status, body })
}

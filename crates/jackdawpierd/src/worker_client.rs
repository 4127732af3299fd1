//! HTTP client for the workers' task API.

use std::{io, time::Duration};

use jackdawpier_jobs::queue::StartOutcome;
use jackdawpier_kernel::task::{StartTask, TASKS_PATH, TaskCommand, TaskReport};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_REPORT_BYTES: u64 = 16 << 20;

/// HTTP client for workers.
#[derive(Debug, Clone)]
pub(crate) struct WorkerClient {
    agent: ureq::Agent,
}

impl WorkerClient {
    pub(crate) fn new() -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .new_agent();
        Self { agent }
    }

    /// Starts a task. Blocks for at most the call timeout.
    pub(crate) fn start(&self, address: &str, task: &StartTask) -> StartOutcome {
        let body = serde_json::to_vec(task).expect("tasks are plain data");
        match self.agent.post(format!("http://{address}{TASKS_PATH}")).send(&body) {
            Ok(response) => {
                parse_response(response).map_or(StartOutcome::Unanswered, StartOutcome::Reported)
            }
            Err(error) if is_not_sent(&error) => StartOutcome::NotSent,
            Err(_) => StartOutcome::Unanswered,
        }
    }

    /// Sends a command about a task and returns the worker's report, if it arrived.
    pub(crate) fn send_command(&self, address: &str, command: &TaskCommand) -> Option<TaskReport> {
        let body = serde_json::to_vec(command).expect("commands are plain data");
        let url = format!("http://{address}{TASKS_PATH}/command");
        self.agent.post(url).send(&body).ok().and_then(parse_response)
    }

    /// Reads the reports of all tasks of a worker.
    pub(crate) fn reports(&self, address: &str) -> Option<Vec<TaskReport>> {
        self.agent.get(format!("http://{address}{TASKS_PATH}")).call().ok().and_then(parse_response)
    }
}

fn parse_response<T: serde::de::DeserializeOwned>(
    mut response: ureq::http::Response<ureq::Body>,
) -> Option<T> {
    let body = response.body_mut().with_config().limit(MAX_REPORT_BYTES).read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

fn is_not_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(io) => io.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

//! Blocking HTTP client for the store.

use std::time::Duration;

use jackdawpier_client::{ClientLimits, is_not_sent, upload_time};

use crate::{Request, Response, StoreError, StoreResult};

/// Timeout for opening a connection to the store; nothing is sent before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time without a byte sent or received, in addition to the wait time of a watch.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Maximum size of an answer; a page of records is the largest one.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Client for the store. Clones are cheap and share connections.
#[derive(Debug, Clone)]
pub struct StoreClient {
    agent: ureq::Agent,
    url: String,
}

impl StoreClient {
    /// Returns a client for the store at `base_url` (`http://IP:PORT`).
    pub fn new(base_url: &str) -> Self {
        let agent = jackdawpier_client::agent(ClientLimits {
            connect_timeout: CONNECT_TIMEOUT,
            io_timeout: IO_TIMEOUT,
            max_idle_connections: MAX_IDLE_CONNECTIONS,
        });
        Self { agent, url: format!("{base_url}/v1/store") }
    }

    /// Makes one call. Blocks while data is transferred; without progress, the call fails after the
    /// I/O timeout plus the wait time of a watch.
    pub fn call(&self, request: &Request) -> StoreResult {
        let wait = match request {
            Request::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let body = serde_json::to_vec(request).map_err(StoreError::unavailable)?;
        let mut response = self
            .agent
            .post(&self.url)
            .config()
            .timeout_per_read(Some(IO_TIMEOUT + wait + upload_time(body.len())))
            .build()
            .header("content-type", "application/json")
            .send(&body)
            .map_err(to_store_error)?;
        if response.status().as_u16() == 503 {
            return Err(StoreError::unavailable("status 503"));
        }
        if response.body().content_length().is_some_and(|length| length > MAX_ANSWER_BYTES) {
            let detail = format!("the answer has more than {MAX_ANSWER_BYTES} bytes");
            return Err(StoreError::ambiguous(detail));
        }
        let answer = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()
            .map_err(StoreError::ambiguous)?;
        match serde_json::from_slice(&answer).map_err(StoreError::ambiguous)? {
            Response::RateLimited => Err(StoreError::unavailable("rate limit")),
            response => Ok(response),
        }
    }
}

/// Converts an error: if connecting failed, the call had no effect; otherwise it may have had one.
fn to_store_error(error: ureq::Error) -> StoreError {
    if is_not_sent(&error) { StoreError::unavailable(error) } else { StoreError::ambiguous(error) }
}

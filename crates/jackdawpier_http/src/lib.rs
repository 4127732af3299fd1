//! HTTP server for callers, based on Hyper, with limits on connections, headers and bodies.
//!
//! `tiny_http` stalls on keep-alive connections under load and terminates after one failed accept;
//! `docs/design/callers-port.md` has the measurement and the decision. A slow caller occupies a
//! connection for a bounded time, and never a thread.

pub mod request_body;

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderName, HeaderValue},
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::JoinSet,
    time::Instant,
};

/// Delay after a failed accept, for example while no file descriptor is free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// Minimum transfer rate of a body, so that a caller that trickles bytes can't hold a connection.
const MIN_BODY_BYTES_PER_S: f64 = 16_384.0;

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout for receiving a whole head, and for each pause within a body.
    pub read_timeout: Duration,
    /// Maximum size of a body in bytes.
    pub max_body_bytes: usize,
}

/// A completely received request.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Method.
    pub method: Method,
    /// Path with the query, as received.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl IncomingRequest {
    /// Returns a header's value, if the header is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A complete reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers except the content length; headers with invalid values are omitted.
    pub headers: Vec<(&'static str, String)>,
    /// Complete body.
    pub body: Bytes,
    /// If set, only this many bytes of the body are sent before the connection is aborted; used by
    /// stand-ins.
    pub truncate_after_bytes: Option<usize>,
}

impl Reply {
    /// Returns a reply with a body of the given content type.
    pub fn new(status: u16, content_type: &str, body: impl Into<Bytes>) -> Self {
        let headers = vec![("content-type", content_type.to_owned())];
        Self { status, headers, body: body.into(), truncate_after_bytes: None }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// Handles requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request and returns the reply.
    fn handle(&self, request: IncomingRequest) -> impl Future<Output = Reply> + Send;
}

/// Serves until `stop` becomes true, then completes the requests in flight.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let mut connections = JoinSet::new();
    loop {
        let permit = Arc::clone(&permits).acquire_owned();
        let accepted = tokio::select! {
            () = wait_for_stop(&mut stop) => break,
            accepted = async {
                let permit = permit.await.expect("the semaphore is never closed");
                (permit, listener.accept().await)
            } => accepted,
        };
        match accepted {
            (permit, Ok((stream, _))) => {
                let connection = serve_connection(stream, limits, handler.clone(), stop.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            (_, Err(error)) => {
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    limits: ServerLimits,
    handler: H,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handle_request(request, limits, handler.clone()));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => log_connection_error(result),
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            log_connection_error(connection.await);
        }
    }
}

/// Waits until `stop` becomes true or its sender is dropped.
pub async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|is_stopping| *is_stopping).await;
}

fn log_connection_error(result: hyper::Result<()>) {
    if let Err(error) = result {
        log::debug!(event = "connection_ended"; "{error}");
    }
}

async fn handle_request<H: Handler>(
    request: Request<Incoming>,
    limits: ServerLimits,
    handler: H,
) -> Result<Response<ReplyBody>, Infallible> {
    let (parts, body) = request.into_parts();
    let reply = match read_body(body, limits).await {
        Err(BodyError::TimedOut) => {
            Reply::new(408, "text/plain", "the body did not arrive in time\n")
        }
        Err(BodyError::TooLargeOrAborted) => {
            let max_bytes = limits.max_body_bytes;
            let text = format!("the body has more than {max_bytes} bytes or was cut off\n");
            Reply::new(413, "text/plain", text)
        }
        Ok(body) => {
            let path =
                parts.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string);
            let request =
                IncomingRequest { method: parts.method, path, headers: parts.headers, body };
            handler.handle(request).await
        }
    };
    Ok(into_response(reply))
}

/// Reason why a body was not received completely.
enum BodyError {
    /// The caller paused for too long or sent too slowly.
    TimedOut,
    /// The body is too large, or the connection was closed.
    TooLargeOrAborted,
}

/// Reads a body. There is no timeout for the whole body, only for each pause and for a transfer
/// rate below [`MIN_BODY_BYTES_PER_S`].
async fn read_body(body: Incoming, limits: ServerLimits) -> Result<Bytes, BodyError> {
    let mut body = Limited::new(body, limits.max_body_bytes);
    let mut received = BytesMut::new();
    let started_at = Instant::now();
    loop {
        let transfer_allowance =
            Duration::from_secs_f64(received.len() as f64 / MIN_BODY_BYTES_PER_S);
        let stall_deadline = Instant::now() + limits.read_timeout;
        let deadline = stall_deadline.min(started_at + limits.read_timeout + transfer_allowance);
        let frame = tokio::time::timeout_at(deadline, body.frame()).await;
        let Some(frame) = frame.map_err(|_| BodyError::TimedOut)? else {
            return Ok(received.freeze());
        };
        if let Ok(data) = frame.map_err(|_| BodyError::TooLargeOrAborted)?.into_data() {
            received.extend_from_slice(&data);
        }
    }
}

/// A complete body, or the deliberately truncated one of a stand-in.
type ReplyBody = http_body_util::combinators::BoxBody<Bytes, TruncatedBody>;

/// Error that aborts the connection after a deliberately truncated body.
#[derive(Debug, Clone, Copy, derive_more::Display, derive_more::Error)]
#[display("the body was truncated deliberately")]
pub struct TruncatedBody;

fn into_response(reply: Reply) -> Response<ReplyBody> {
    let length = reply.body.len();
    let body = match reply.truncate_after_bytes {
        None => Full::new(reply.body).map_err(|never| match never {}).boxed(),
        Some(count) => {
            let truncated = reply.body.slice(..count.min(length));
            let frames = [Ok(hyper::body::Frame::data(truncated)), Err(TruncatedBody)];
            http_body_util::StreamBody::new(IterStream(frames.into_iter())).boxed()
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in reply.headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response.headers_mut().append(HeaderName::from_static(name), value);
        }
    }
    if reply.truncate_after_bytes.is_some() {
        response.headers_mut().insert("content-length", HeaderValue::from(length));
    }
    response
}

/// Stream over an iterator; used for the two frames of a truncated body.
struct IterStream<I>(I);

impl<I: Iterator + Unpin> futures_core::Stream for IterStream<I> {
    type Item = I::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        std::task::Poll::Ready(self.0.next())
    }
}

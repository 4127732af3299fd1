//! Hyper server for callers, with limits on connections, headers and bodies.
//!
//! `tiny_http` stalls on kept-alive connections under load and dies of one failed accept; the
//! measurement and the choice are in `docs/design/callers-port.md`. A slow caller holds a
//! connection for a bounded time and never a thread.

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

/// Wait after a failed accept, for example while no file descriptor is free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Largest request head in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// A body that arrives more slowly is given up, so that a byte now and then holds no connection.
const MIN_BODY_BYTES_PER_S: f64 = 16_384.0;

/// Limits on what a caller may hold.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Open connections.
    pub max_connections: usize,
    /// Time to send a whole head, and longest pause within a body.
    pub read_timeout: Duration,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
}

/// A whole request.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Method.
    pub method: Method,
    /// Path with the query, as sent.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl IncomingRequest {
    /// Returns a header as text, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A whole reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Headers besides the length; one that is not valid is left out.
    pub headers: Vec<(&'static str, String)>,
    /// Whole body.
    pub body: Bytes,
    /// Sends only this many bytes of the body and then breaks the connection, for stand-ins.
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

/// What answers requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: IncomingRequest) -> impl Future<Output = Reply> + Send;
}

/// Serves until `stop` turns true, then lets every request in flight finish.
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
                let serving = serve_connection(stream, limits, handler.clone(), stop.clone());
                connections.spawn(async move {
                    serving.await;
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

/// Waits until `stop` turns true, or its sender is gone.
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
            let bound = limits.max_body_bytes;
            let text = format!("the body has more than {bound} bytes or was cut off\n");
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

/// Why there is no whole body.
enum BodyError {
    /// The caller paused for too long, or sends too slowly.
    TimedOut,
    /// It is too long, or the connection ended.
    TooLargeOrAborted,
}

/// Reads a body for as long as it arrives: how long it is, the caller decides.
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

/// A full body, or one that breaks off for a stand-in's truncated answer.
type ReplyBody = http_body_util::combinators::BoxBody<Bytes, TruncatedBody>;

/// The stand-in broke the answer off on purpose.
#[derive(Debug, Clone, Copy, derive_more::Display, derive_more::Error)]
#[display("the answer was cut off on purpose")]
pub struct TruncatedBody;

fn into_response(reply: Reply) -> Response<ReplyBody> {
    let length = reply.body.len();
    let body = match reply.truncate_after_bytes {
        None => Full::new(reply.body).map_err(|never| match never {}).boxed(),
        Some(count) => {
            let start = reply.body.slice(..count.min(length));
            let frames = [Ok(hyper::body::Frame::data(start)), Err(TruncatedBody)];
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

/// Stream over an iterator; enough for the two frames of a cut answer.
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

//! HTTP server for callers, based on Hyper, with limits on connections, headers and bodies.
//!
//! `tiny_http` stalls on keep-alive connections under load and terminates after one failed accept;
//! `docs/design/callers-port.md` has the measurement and the decision. A slow caller occupies a
//! connection for a bounded time, and never a thread.

mod answer_timeout;
mod refusal_log;
pub mod request_body;

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use answer_timeout::AnswerTimeout;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
pub use hyper::HeaderMap;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderName, HeaderValue},
    service::service_fn,
};
use hyper_util::rt::TokioTimer;
use jackdawpier_kernel::{
    body_budget::{BodyLimits, MIN_BYTES_PER_S, NoRoom},
    caller_memory::{BACKLOG, RECEIVE_BUFFER_BYTES},
};
use refusal_log::RefusalLog;
use request_body::{BodyError, BodyMemory, BodyReader, ReceivedBody, discard};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::JoinSet,
    time::{Instant, timeout, timeout_at},
};

/// Delay after a failed accept, for example while no file descriptor is free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a request head in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Time for which a new connection waits before one whose request's body has stalled is closed for it.
const EVICTION_DELAY: Duration = Duration::from_millis(100);
/// Maximum time to wait until that connection is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Value of `Retry-After` of a refused body, in seconds: after this long others that have stalled make room.
const RETRY_AFTER_S: u64 = 1;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout for receiving a whole head, for each pause within a body, and for each pause in which an answer isn't read.
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

    /// Returns the reply to a request whose body isn't received for want of room.
    fn refuse_body(&self, _headers: &HeaderMap, why: NoRoom) -> Reply {
        Reply::new(503, "text/plain", format!("{why}\n")).with_header("retry-after", RETRY_AFTER_S)
    }
}

/// Serves like [`serve_within`], with room for the largest body on each connection.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    stop: watch::Receiver<bool>,
) {
    let total_bytes = limits.max_connections.saturating_mul(limits.max_body_bytes);
    let bodies = BodyMemory::new(BodyLimits::new(total_bytes));
    serve_within(listener, limits, bodies, handler, stop).await;
}

/// Serves until `stop` becomes true, then completes the requests in flight. Their bodies take room from `bodies`.
pub async fn serve_within<H: Handler>(
    listener: TcpListener,
    limits: ServerLimits,
    bodies: BodyMemory,
    handler: H,
    mut stop: watch::Receiver<bool>,
) {
    bound_unread_bytes(&listener);
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let server = Server { limits, bodies, refusal_log: Arc::default(), handler };
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = wait_for_stop(&mut stop) => break,
            accepted = accept(&listener, &permits, &server.bodies) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => {
                let connection = serve_connection(stream, server.clone(), stop.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Bounds the bytes that connections of a listener have received and nobody has read. The limits of the system stay in
/// force where that fails.
fn bound_unread_bytes(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    // Connections inherit the size, which the kernel doubles.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES / 2);
    let _ = socket.listen(BACKLOG as i32);
}

/// Accepts a connection, and waits until there are fewer than the maximum.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    bodies: &BodyMemory,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let (stream, _) = listener.accept().await?;
    let mut max_wait = EVICTION_DELAY;
    loop {
        if let Ok(permit) = timeout(max_wait, Arc::clone(permits).acquire_owned()).await {
            return Ok((stream, permit.expect("the semaphore is never closed")));
        }
        max_wait = if bodies.evict_stalled() { CLOSE_TIMEOUT } else { EVICTION_DELAY };
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    server: Server<H>,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = server.limits;
    let service = service_fn(move |request| handle_request(request, server.clone()));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(AnswerTimeout::new(stream, limits.read_timeout), service);
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

/// What the connections of a server share.
#[derive(Clone)]
struct Server<H> {
    limits: ServerLimits,
    bodies: BodyMemory,
    refusal_log: Arc<RefusalLog>,
    handler: H,
}

async fn handle_request<H: Handler>(
    request: Request<Incoming>,
    server: Server<H>,
) -> Result<Response<ReplyBody>, Infallible> {
    let Server { limits, bodies, refusal_log, handler } = server;
    let (parts, body) = request.into_parts();
    let reader = BodyReader::new(body, &bodies, limits.max_body_bytes);
    let reply = match read_body(reader, limits.read_timeout, &refusal_log).await {
        Err(Unreceived::TimedOut) => {
            Reply::new(408, "text/plain", "the body did not arrive in time\n")
        }
        Err(Unreceived::Body(BodyError::TooLarge | BodyError::Aborted)) => {
            let max_bytes = limits.max_body_bytes;
            let text = format!("the body has more than {max_bytes} bytes or was cut off\n");
            Reply::new(413, "text/plain", text)
        }
        Err(Unreceived::Body(BodyError::NoRoom(why))) => handler.refuse_body(&parts.headers, why),
        Ok(ReceivedBody { bytes, room }) => {
            let path =
                parts.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string);
            let body = bytes.into();
            let request =
                IncomingRequest { method: parts.method, path, headers: parts.headers, body };
            let reply = handler.handle(request).await;
            drop(room);
            reply
        }
    };
    Ok(into_response(reply))
}

/// Reason why a body was not received completely.
#[derive(Debug, derive_more::From)]
enum Unreceived {
    /// The caller paused for too long or sent too slowly.
    TimedOut,
    /// The body was refused, or the connection was closed.
    #[from(BodyError, NoRoom)]
    Body(BodyError),
}

impl Unreceived {
    /// Returns the reason as a label of log lines.
    fn name(&self) -> &'static str {
        match self {
            Self::TimedOut => "late",
            Self::Body(error) => error.name(),
        }
    }
}

/// Reads a body. What remains of one that is too large, or for which there is no room, is discarded beside the answer.
async fn read_body(
    mut reader: BodyReader<Incoming>,
    read_timeout: Duration,
    refusal_log: &RefusalLog,
) -> Result<ReceivedBody, Unreceived> {
    let Err(error) = read_to_end(&mut reader, read_timeout).await else {
        return Ok(reader.finish()?);
    };
    refusal_log.write(error.name(), &reader.figures());
    // The client of an evicted body doesn't send, and its connection is needed.
    if matches!(error, Unreceived::Body(BodyError::TooLarge | BodyError::NoRoom(NoRoom::Full))) {
        tokio::spawn(discard(reader.into_rest()));
    }
    Err(error)
}

/// Reads a body. There is no timeout for the whole body, only for each pause and for a transfer
/// rate below [`MIN_BYTES_PER_S`].
async fn read_to_end(
    reader: &mut BodyReader<Incoming>,
    read_timeout: Duration,
) -> Result<(), Unreceived> {
    reader.reserve_stated_length()?;
    let started_at = Instant::now();
    loop {
        let transfer_allowance =
            Duration::from_secs_f64(reader.received_bytes() as f64 / MIN_BYTES_PER_S);
        let stall_deadline = Instant::now() + read_timeout;
        let deadline = stall_deadline.min(started_at + read_timeout + transfer_allowance);
        let received = timeout_at(deadline, reader.receive()).await;
        if received.map_err(|_| Unreceived::TimedOut)?? {
            return Ok(());
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

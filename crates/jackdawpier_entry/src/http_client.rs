//! HTTP client with keep-alive connections per host, a timeout for every call and a limit on connections.
//!
//! The size of an answer depends on its sender, and its duration on the link. So the timeout of a call
//! applies to the head of the answer; after that, the body may take as long as chunks keep arriving.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use jackdawpier_fleet::connection_peer::ConnectionPeer;
use nix::errno::Errno;
use tokio::{net::TcpStream, time::timeout};

use crate::{
    client_stream::{ClientStream, Closing},
    response_progress::{ResponseGuard, ResponseProgress},
};

/// Maximum number of idle connections kept per host: enough for a long poll and a few concurrent orders.
const MAX_IDLE_PER_HOST: usize = 4;
/// Time for a connection to open; after that the host is considered unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time between two chunks of an answer; after that the host is considered unresponsive.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time for a whole answer, against a host that sends without end. Several times the transfer time of
/// the store's largest value at 2 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// A request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides `Host` and `Content-Type`.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
    /// Tracks the answer while it is received.
    progress: Option<ResponseProgress>,
}

impl Call {
    /// Creates a call without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Vec::new(), progress: None }
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Tracks the answer in `progress` while it is received, unless its status is an error.
    #[must_use]
    pub fn with_progress(mut self, progress: &ResponseProgress) -> Self {
        self.progress = Some(progress.clone());
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

/// Why a request couldn't be sent.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum SendFailure {
    /// The connection wasn't established in time.
    #[display("the connection timed out")]
    Timeout,
    /// The host refused the connection.
    #[display("the connection was refused")]
    Refused,
    /// The limit of open files of this process or system is reached.
    #[display("no file descriptor is free in this process or system")]
    NoDescriptor,
    /// All connections that the client may open are in use.
    #[display("all connections of this client are in use")]
    NoConnectionSlot,
    /// The connection failed for another reason.
    #[display("the connection failed")]
    Failed,
}

impl SendFailure {
    /// Classifies an error of a socket.
    pub(crate) fn from_io(error: &io::Error) -> Self {
        let errno = error.raw_os_error().map(Errno::from_raw);
        match errno {
            Some(Errno::EMFILE | Errno::ENFILE) => Self::NoDescriptor,
            Some(Errno::ECONNREFUSED) => Self::Refused,
            Some(Errno::ETIMEDOUT) => Self::Timeout,
            Some(_) | None => Self::Failed,
        }
    }
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// The request wasn't sent.
    NotSent(SendFailure),
    /// The request may have been received, but there is no complete answer.
    Lost {
        /// Bytes of the answer's body that were received: 0 from an unresponsive host, more from a slow one.
        received_bytes: usize,
    },
}

type Sender = SendRequest<Full<Bytes>>;

/// An open connection to a host.
#[derive(Debug)]
struct Connection {
    sender: Sender,
    /// The executor that an answer on this connection has named.
    peer: Option<ConnectionPeer>,
}

/// An HTTP client with its own connection pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    idle: Rc<RefCell<Idle>>,
    /// Number of connections that are open or being opened.
    open: Rc<Cell<usize>>,
    max_open: usize,
    closing: Closing,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::bounded(usize::MAX)
    }
}

impl HttpClient {
    /// Creates a client with at most `max_open` connections at a time. In a process that calls thousands of
    /// hosts this leaves file descriptors for the connections to the store and to callers.
    pub fn bounded(max_open: usize) -> Self {
        Self { idle: Rc::default(), open: Rc::default(), max_open, closing: Closing::Orderly }
    }

    /// Creates a client that resets its connections when it closes them, so that a request that was given up, or
    /// whose process has ended, isn't delivered later once a network partition heals.
    pub fn resetting() -> Self {
        Self { closing: Closing::Reset, ..Self::default() }
    }

    /// Sends a call and waits for its answer: up to `head_timeout` for the head, and for the body as long as
    /// chunks keep arriving. After a failure neither this connection nor the idle ones to the same host are
    /// used again, since they may be broken as well.
    pub async fn call(
        &self,
        host: &Arc<str>,
        call: &Call,
        head_timeout: Duration,
    ) -> Result<Answer, NoAnswer> {
        let answer = self.exchange(host, call, head_timeout).await;
        self.drop_idle_after_failure(host, &answer);
        answer
    }

    /// Sends a call as [`Self::call`] does, but only over an idle connection that leads to `target`. Returns `None` if
    /// there is none, in which case nothing was sent.
    pub async fn call_peer(
        &self,
        host: &Arc<str>,
        call: &Call,
        target: &ConnectionPeer,
        head_timeout: Duration,
    ) -> Option<Result<Answer, NoAnswer>> {
        let leads_to_target =
            |peer: Option<&ConnectionPeer>| peer.is_some_and(|peer| peer.is_target(target));
        let sending = self.send_over_idle(host, call, leads_to_target);
        let head = timeout(head_timeout, sending).await.unwrap_or(Err(NOTHING_RECEIVED));
        let answer = match head {
            Ok(None) => return None,
            Ok(Some((connection, response))) => {
                self.finish_exchange(host, call, connection, response).await
            }
            Err(no_answer) => Err(no_answer),
        };
        self.drop_idle_after_failure(host, &answer);
        Some(answer)
    }

    /// Sends a call that is valid for any process at the host, over a connection of which no answer has named the
    /// other end, and notes the peer that `identify` reads from the answer.
    pub async fn call_and_identify(
        &self,
        host: &Arc<str>,
        call: &Call,
        head_timeout: Duration,
        identify: impl Fn(&Answer) -> Option<ConnectionPeer>,
    ) -> Result<Answer, NoAnswer> {
        let exchange = async {
            let sending = self.send_call(host, call, |peer| peer.is_none());
            let head = timeout(head_timeout, sending).await;
            let (mut connection, response) = head.unwrap_or(Err(NOTHING_RECEIVED))?;
            let answer = read_answer(response, call.progress.as_ref()).await?;
            connection.peer = identify(&answer);
            self.return_idle(host, connection);
            Ok(answer)
        };
        let answer = exchange.await;
        self.drop_idle_after_failure(host, &answer);
        answer
    }

    fn drop_idle_after_failure(&self, host: &Arc<str>, answer: &Result<Answer, NoAnswer>) {
        if answer.is_err() {
            self.idle.borrow_mut().remove(host);
        }
    }

    async fn exchange(
        &self,
        host: &Arc<str>,
        call: &Call,
        head_timeout: Duration,
    ) -> Result<Answer, NoAnswer> {
        let head = timeout(head_timeout, self.send_call(host, call, |_| true)).await;
        let (connection, response) = head.unwrap_or(Err(NOTHING_RECEIVED))?;
        self.finish_exchange(host, call, connection, response).await
    }

    /// Reads the rest of an answer and keeps the connection for later calls.
    async fn finish_exchange(
        &self,
        host: &Arc<str>,
        call: &Call,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Result<Answer, NoAnswer> {
        let answer = read_answer(response, call.progress.as_ref()).await?;
        self.return_idle(host, connection);
        Ok(answer)
    }

    /// Sends a call over an idle connection for whose peer `is_wanted` returns true, or a new one, and waits for the
    /// head of its answer.
    async fn send_call(
        &self,
        host: &Arc<str>,
        call: &Call,
        is_wanted: impl Fn(Option<&ConnectionPeer>) -> bool,
    ) -> Result<(Connection, Response<Incoming>), NoAnswer> {
        if let Some(sent) = self.send_over_idle(host, call, is_wanted).await? {
            return Ok(sent);
        }
        let sender = connect(host, self.acquire_slot()?, self.closing).await?;
        let mut connection = Connection { sender, peer: None };
        let response = send(&mut connection.sender, host, call).await?;
        Ok((connection, response))
    }

    /// Sends a call over an idle connection and waits for the head of its answer; `None` if no idle connection is
    /// wanted and still open.
    async fn send_over_idle(
        &self,
        host: &Arc<str>,
        call: &Call,
        is_wanted: impl Fn(Option<&ConnectionPeer>) -> bool,
    ) -> Result<Option<(Connection, Response<Incoming>)>, NoAnswer> {
        while let Some(mut connection) = self.take_idle(host, &is_wanted) {
            if connection.sender.ready().await.is_err() {
                continue;
            }
            match send(&mut connection.sender, host, call).await {
                // The host had closed the idle connection and nothing was sent: try the next one.
                Err(NoAnswer::NotSent(_)) => {}
                Err(lost @ NoAnswer::Lost { .. }) => return Err(lost),
                Ok(response) => return Ok(Some((connection, response))),
            }
        }
        Ok(None)
    }

    /// Acquires a slot for a new connection, closing an idle one if none is free.
    fn acquire_slot(&self) -> Result<ConnectionSlot, NoAnswer> {
        if self.open.get() >= self.max_open && !self.close_idle() {
            return Err(NoAnswer::NotSent(SendFailure::NoConnectionSlot));
        }
        self.open.set(self.open.get() + 1);
        Ok(ConnectionSlot(self.open.clone()))
    }

    /// Closes an idle connection; returns whether there was one.
    fn close_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(host) = idle.keys().next().cloned() else { return false };
        pop_idle(&mut idle, &host, |_| true).is_some()
    }

    fn take_idle(
        &self,
        host: &Arc<str>,
        is_wanted: impl Fn(Option<&ConnectionPeer>) -> bool,
    ) -> Option<Connection> {
        pop_idle(&mut self.idle.borrow_mut(), host, is_wanted)
    }

    fn return_idle(&self, host: &Arc<str>, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let of_host = idle.entry(host.clone()).or_default();
        if of_host.len() >= MAX_IDLE_PER_HOST {
            // The least recently used one, which may lead to a process that has ended.
            of_host.remove(0);
        }
        of_host.push(connection);
    }

    /// Closes the idle connections to hosts for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.idle.borrow_mut().retain(|host, _| keep(host));
    }
}

/// Idle connections by host; hosts without one are absent.
type Idle = HashMap<Arc<str>, Vec<Connection>>;

/// Removes the most recently used idle connection for whose peer `is_wanted` returns true.
fn pop_idle(
    idle: &mut Idle,
    host: &Arc<str>,
    is_wanted: impl Fn(Option<&ConnectionPeer>) -> bool,
) -> Option<Connection> {
    let of_host = idle.get_mut(host)?;
    let position = of_host.iter().rposition(|one| is_wanted(one.peer.as_ref()))?;
    let connection = of_host.remove(position);
    if of_host.is_empty() {
        idle.remove(host);
    }
    Some(connection)
}

/// One of the connections that a client may have open; released on drop.
struct ConnectionSlot(Rc<Cell<usize>>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn connect(host: &str, slot: ConnectionSlot, closing: Closing) -> Result<Sender, NoAnswer> {
    let opening = timeout(CONNECT_TIMEOUT, TcpStream::connect(host)).await;
    let opened = opening.map_err(|_| NoAnswer::NotSent(SendFailure::Timeout))?;
    let stream = opened.map_err(|error| NoAnswer::NotSent(SendFailure::from_io(&error)))?;
    let failed = NoAnswer::NotSent(SendFailure::Failed);
    // Otherwise small requests would wait for acknowledgements.
    stream.set_nodelay(true).map_err(|_| failed)?;
    let stream = ClientStream::new(stream, closing).map_err(|_| failed)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| failed)?;
    // Errors of the connection are reported by the sender.
    tokio::task::spawn_local(async move {
        drop(connection.await);
        drop(slot);
    });
    Ok(sender)
}

/// The failure of a call without any part of an answer.
const NOTHING_RECEIVED: NoAnswer = NoAnswer::Lost { received_bytes: 0 };

async fn send(
    sender: &mut Sender,
    host: &str,
    call: &Call,
) -> Result<Response<Incoming>, NoAnswer> {
    let mut request = Request::builder().method(&call.method).uri(&call.path).header(HOST, host);
    if !call.body.is_empty() {
        request = request.header(CONTENT_TYPE, "application/json");
    }
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    let body = Full::new(Bytes::from(call.body.clone()));
    let not_sent = NoAnswer::NotSent(SendFailure::Failed);
    let request = request.body(body).map_err(|_| not_sent)?;
    let sending = sender.send_request(request).await;
    sending.map_err(|error| if error.is_canceled() { not_sent } else { NOTHING_RECEIVED })
}

async fn read_answer(
    response: Response<Incoming>,
    progress: Option<&ResponseProgress>,
) -> Result<Answer, NoAnswer> {
    let status = response.status();
    let is_served = status.is_success() || status == StatusCode::PRECONDITION_FAILED;
    let guard = progress.filter(|_| is_served).map(ResponseProgress::begin_response);
    let mut body = BytesMut::new();
    let reading = read_body(response.into_body(), &mut body, guard.as_ref());
    let is_whole = timeout(BODY_TIMEOUT, reading).await.unwrap_or(false);
    if !is_whole {
        return Err(NoAnswer::Lost { received_bytes: body.len() });
    }
    Ok(Answer { status: status.as_u16(), body: body.freeze() })
}

/// Reads the body as long as chunks keep arriving; returns whether its end was reached.
async fn read_body(
    mut incoming: Incoming,
    body: &mut BytesMut,
    guard: Option<&ResponseGuard>,
) -> bool {
    loop {
        match timeout(CHUNK_TIMEOUT, incoming.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => {
                if let Ok(chunk) = frame.into_data() {
                    body.extend_from_slice(&chunk);
                }
                guard.inspect(|guard| guard.on_chunk());
            }
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}

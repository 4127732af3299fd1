//! HTTP clients: kept-alive connections a host, a timeout for every call, and a bound on connections.
//!
//! How large an answer is, its sender decides, and how long it takes, the link. So the timeout of a call holds for the
//! beginning of its answer; from then on an answer goes on for as long as its parts come.

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
use nix::errno::Errno;
use tokio::{net::TcpStream, time::timeout};

use crate::response_progress::{ResponseGuard, ResponseProgress};

/// Idle connections kept a host: a long poll, and a few orders at a time.
const IDLE_PER_HOST: usize = 4;
/// Time for a connection to open; beyond it the host is taken to be out of reach.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest pause between two parts of an answer; beyond it the host is taken to be silent.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Longest time for a whole answer, against a host that sends without end: several times what the largest value of the
/// store takes over 2 Mbit/s.
const LONGEST_ANSWER: Duration = Duration::from_secs(30);

/// What to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides the usual ones.
    pub headers: Vec<(&'static str, String)>,
    /// Body as JSON; empty for none.
    pub body: Vec<u8>,
    /// Where it is noted that an answer is on its way.
    arrivals: Option<ResponseProgress>,
}

impl Call {
    /// A call without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Vec::new(), arrivals: None }
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Notes the answer while it comes, unless the call is turned away.
    #[must_use]
    pub fn with_progress(mut self, arrivals: &ResponseProgress) -> Self {
        self.arrivals = Some(arrivals.clone());
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// What kept a request from leaving.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum SendFailure {
    /// The connection didn't open in time.
    #[display("it doesn't open connections")]
    Timeout,
    /// The host turned the connection away.
    #[display("it refuses connections")]
    Refused,
    /// This process has as many open files as it may have.
    #[display("no file descriptor is left here")]
    NoDescriptor,
    /// All connections that the client may have open are in use.
    #[display("all connections for such calls are in use")]
    NoConnectionSlot,
    /// Anything else that ended the connection first.
    #[display("the connection failed")]
    Failed,
}

impl SendFailure {
    /// What an error of a socket comes to.
    pub(crate) fn of(error: &io::Error) -> Self {
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
    /// The request didn't leave.
    NotSent(SendFailure),
    /// It may have arrived.
    Lost {
        /// How much of the answer's body had come: none of a silent host, some of a slow one.
        received_bytes: usize,
    },
}

type Sender = SendRequest<Full<Bytes>>;

/// A client with connections of its own.
#[derive(Debug, Clone)]
pub struct HttpClient {
    idle: Rc<RefCell<Idle>>,
    /// Connections that are open or about to be.
    open: Rc<Cell<usize>>,
    max_open: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::bounded(usize::MAX)
    }
}

impl HttpClient {
    /// A client that opens no more connections than these at a time. A process that talks to thousands of
    /// hosts keeps the rest of its descriptors for what it can't do without: its store and its callers.
    pub fn bounded(max_open: usize) -> Self {
        Self { idle: Rc::default(), open: Rc::default(), max_open }
    }

    /// Sends a call and waits for its answer: at most `patience` for its beginning, and for the rest of it as long
    /// as its parts come. A connection on which that fails is never used again, nor are its idle neighbours: they
    /// may be as silent.
    pub async fn call(
        &self,
        host: &Arc<str>,
        call: &Call,
        patience: Duration,
    ) -> Result<Answer, NoAnswer> {
        let answer = self.exchange(host, call, patience).await;
        if answer.is_err() {
            self.idle.borrow_mut().remove(host);
        }
        answer
    }

    async fn exchange(
        &self,
        host: &Arc<str>,
        call: &Call,
        patience: Duration,
    ) -> Result<Answer, NoAnswer> {
        let beginning = timeout(patience, self.begin(host, call)).await;
        let (sender, response) = beginning.unwrap_or(Err(SILENT))?;
        let answer = read_answer(response, call.arrivals.as_ref()).await?;
        self.keep(host, sender);
        Ok(answer)
    }

    /// Sends a call and waits for the head of its answer.
    async fn begin(
        &self,
        host: &Arc<str>,
        call: &Call,
    ) -> Result<(Sender, Response<Incoming>), NoAnswer> {
        while let Some(mut sender) = self.take_idle(host) {
            if sender.ready().await.is_err() {
                continue;
            }
            match send(&mut sender, host, call).await {
                // The host had closed it: nothing left, so a new one may be tried.
                Err(NoAnswer::NotSent(_)) => {}
                Err(lost @ NoAnswer::Lost { .. }) => return Err(lost),
                Ok(response) => return Ok((sender, response)),
            }
        }
        let mut sender = connect(host, self.take_place()?).await?;
        let response = send(&mut sender, host, call).await?;
        Ok((sender, response))
    }

    /// A place for one more connection, if need be that of an idle one.
    fn take_place(&self) -> Result<Place, NoAnswer> {
        if self.open.get() >= self.max_open && !self.close_idle() {
            return Err(NoAnswer::NotSent(SendFailure::NoConnectionSlot));
        }
        self.open.set(self.open.get() + 1);
        Ok(Place(self.open.clone()))
    }

    /// Closes an idle connection; returns whether there was one.
    fn close_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(host) = idle.keys().next().cloned() else { return false };
        take_from(&mut idle, &host).is_some()
    }

    fn take_idle(&self, host: &Arc<str>) -> Option<Sender> {
        take_from(&mut self.idle.borrow_mut(), host)
    }

    fn keep(&self, host: &Arc<str>, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let of_host = idle.entry(host.clone()).or_default();
        if of_host.len() < IDLE_PER_HOST {
            of_host.push(sender);
        }
    }

    /// Forgets the connections to hosts that `keep` refuses.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.idle.borrow_mut().retain(|host, _| keep(host));
    }
}

/// Idle connections by host; a host without one isn't listed.
type Idle = HashMap<Arc<str>, Vec<Sender>>;

fn take_from(idle: &mut Idle, host: &Arc<str>) -> Option<Sender> {
    let senders = idle.get_mut(host)?;
    let sender = senders.pop();
    if senders.is_empty() {
        idle.remove(host);
    }
    sender
}

/// One of the connections that a client may have open.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn connect(host: &str, place: Place) -> Result<Sender, NoAnswer> {
    let opening = timeout(CONNECT_TIMEOUT, TcpStream::connect(host)).await;
    let opened = opening.map_err(|_| NoAnswer::NotSent(SendFailure::Timeout))?;
    let stream = opened.map_err(|error| NoAnswer::NotSent(SendFailure::of(&error)))?;
    let failed = NoAnswer::NotSent(SendFailure::Failed);
    // Without it small requests wait for acknowledgements.
    stream.set_nodelay(true).map_err(|_| failed)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| failed)?;
    // Its errors come back through the sender.
    tokio::task::spawn_local(async move {
        drop(connection.await);
        drop(place);
    });
    Ok(sender)
}

/// Nothing came.
const SILENT: NoAnswer = NoAnswer::Lost { received_bytes: 0 };

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
    sending.map_err(|error| if error.is_canceled() { not_sent } else { SILENT })
}

async fn read_answer(
    response: Response<Incoming>,
    arrivals: Option<&ResponseProgress>,
) -> Result<Answer, NoAnswer> {
    let status = response.status();
    let is_served = status.is_success() || status == StatusCode::PRECONDITION_FAILED;
    let arrival = arrivals.filter(|_| is_served).map(ResponseProgress::begin);
    let mut body = BytesMut::new();
    let reading = read_body(response.into_body(), &mut body, arrival.as_ref());
    let is_whole = timeout(LONGEST_ANSWER, reading).await.unwrap_or(false);
    if !is_whole {
        return Err(NoAnswer::Lost { received_bytes: body.len() });
    }
    Ok(Answer { status: status.as_u16(), body: body.freeze() })
}

/// Reads on for as long as parts come; returns whether the end was reached.
async fn read_body(
    mut incoming: Incoming,
    body: &mut BytesMut,
    arrival: Option<&ResponseGuard>,
) -> bool {
    loop {
        match timeout(LONGEST_PAUSE, incoming.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => {
                if let Ok(part) = frame.into_data() {
                    body.extend_from_slice(&part);
                }
                arrival.inspect(|arrival| arrival.part());
            }
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}

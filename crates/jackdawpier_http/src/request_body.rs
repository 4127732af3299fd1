//! Receives request bodies within the memory that a process has for them.
//!
//! Design: `docs/design/body-memory.md`.

use std::{
    future::poll_fn,
    pin::{Pin, pin},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::BodyExt;
use hyper::body::Body;
use jackdawpier_kernel::{
    Now,
    body_budget::{BodyBudget, BodyFigures, BodyId, BodyLimits, NoRoom},
};
use tokio::time::timeout;

/// Maximum number of bytes of a refused body that are read, so that its sender receives the answer: the largest body
/// under the standard limits.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Maximum time for that.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a body wasn't received.
#[derive(Debug, Clone, Copy, Display, Error, From, PartialEq, Eq)]
pub enum BodyError {
    /// It exceeds the maximum size of a body.
    #[display("the body is too large")]
    TooLarge,
    /// The connection was closed, or the body is malformed.
    #[display("the body is incomplete")]
    Aborted,
    /// The process has no memory for it.
    #[display("{_0}")]
    NoRoom(NoRoom),
}

impl BodyError {
    /// Returns the reason as a label of log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Aborted => "aborted",
            Self::NoRoom(NoRoom::Full) => "no_room",
            Self::NoRoom(NoRoom::Evicted) => "evicted",
        }
    }
}

#[derive(Debug)]
struct Shared {
    budget: Mutex<BodyBudget>,
    started_at: Instant,
}

/// The memory of all request bodies of a process.
#[derive(Debug, Clone)]
pub struct BodyMemory(Arc<Shared>);

impl BodyMemory {
    /// Creates it with these limits.
    pub fn new(limits: BodyLimits) -> Self {
        let budget = Mutex::new(BodyBudget::new(limits));
        Self(Arc::new(Shared { budget, started_at: Instant::now() }))
    }

    /// Returns the limits.
    pub fn limits(&self) -> BodyLimits {
        self.budget().limits()
    }

    /// Returns the bytes that bodies hold, without the uncounted part of each.
    pub fn held_bytes(&self) -> usize {
        self.budget().held_bytes()
    }

    /// Returns the number of bodies that are being received or processed.
    pub fn count(&self) -> usize {
        self.budget().count()
    }

    /// Evicts a body that has stalled, since its connection is needed. Returns whether there was one.
    pub fn evict_stalled(&self) -> bool {
        self.budget().evict_stalled(self.now())
    }

    fn budget(&self) -> MutexGuard<'_, BodyBudget> {
        self.0.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time while the process is suspended doesn't count, since nothing can be received then.
    fn now(&self) -> Now {
        self.0.started_at.elapsed()
    }

    fn begin(&self) -> BodyRoom {
        let id = self.budget().begin(self.now());
        BodyRoom { memory: self.clone(), id }
    }
}

/// The room of one body, given back on drop.
#[derive(Debug)]
pub struct BodyRoom {
    memory: BodyMemory,
    id: BodyId,
}

impl BodyRoom {
    /// Takes more room, so that the request has `bytes` in all.
    pub fn reserve(&self, bytes: usize) -> Result<(), NoRoom> {
        self.memory.budget().reserve(self.id, self.memory.now(), bytes)
    }

    /// Returns the figures of the body.
    pub fn figures(&self) -> BodyFigures {
        self.memory.budget().figures(self.id, self.memory.now())
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.memory.budget().end(self.id);
    }
}

/// A complete body and its room, which has to be kept until the request is answered.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Their room.
    pub room: BodyRoom,
}

/// A body that is being received.
#[derive(Debug)]
pub struct BodyReader<B> {
    body: B,
    room: BodyRoom,
    max_bytes: usize,
    received_bytes: usize,
}

impl<B> BodyReader<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    /// Begins to receive a body of at most `max_bytes`, and of no more than can ever fit.
    pub fn new(body: B, memory: &BodyMemory, max_bytes: usize) -> Self {
        let max_bytes = max_bytes.min(memory.limits().largest_body_bytes());
        Self { body, room: memory.begin(), max_bytes, received_bytes: 0 }
    }

    /// Takes the room for a body whose length is stated, so that it's refused before it is sent. To be called first.
    pub fn reserve_stated_length(&self) -> Result<(), BodyError> {
        let Some(length) = self.body.size_hint().exact() else { return Ok(()) };
        let length = usize::try_from(length).map_err(|_| BodyError::TooLarge)?;
        if length > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        Ok(self.room.reserve(length)?)
    }

    /// Receives some bytes; returns whether the body is complete.
    pub async fn receive(&mut self) -> Result<bool, BodyError> {
        poll_fn(|context| self.poll_receive(context)).await
    }

    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<Result<bool, BodyError>> {
        self.register(context)?;
        match ready!(Pin::new(&mut self.body).poll_frame(context)) {
            None => Poll::Ready(Ok(true)),
            Some(Err(_)) => Poll::Ready(Err(BodyError::Aborted)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.append(&data)?;
                }
                Poll::Ready(Ok(self.body.is_end_stream()))
            }
        }
    }

    fn register(&self, context: &Context<'_>) -> Result<(), NoRoom> {
        let mut budget = self.room.memory.budget();
        if budget.is_evicted(self.room.id) {
            return Err(NoRoom::Evicted);
        }
        budget.set_waker(self.room.id, context.waker());
        Ok(())
    }

    fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        self.received_bytes += data.len();
        if self.received_bytes > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let memory = &self.room.memory;
        Ok(memory.budget().append(self.room.id, memory.now(), data)?)
    }

    /// Returns the number of received bytes.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Returns a body that is complete.
    pub fn finish(self) -> Result<ReceivedBody, NoRoom> {
        let bytes = self.room.memory.budget().complete(self.room.id)?;
        Ok(ReceivedBody { bytes, room: self.room })
    }

    /// Returns the figures of the body.
    pub fn figures(&self) -> BodyFigures {
        self.room.figures()
    }

    /// Gives the room back and returns what hasn't been received.
    pub fn into_rest(self) -> B {
        self.body
    }
}

/// Reads and drops the rest of a body whose request has been answered, within limits. A connection that is closed with
/// unread bytes is reset, and its peer may lose the answer.
pub async fn discard(body: impl Body<Data = Bytes>) {
    let mut body = pin!(body);
    let mut discarded_bytes = 0;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // What remains after that is dropped with the connection.
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}

//! The open connections of a port: tracks which are idle, closes overdue ones, and evicts idle ones at
//! the limit.
//!
//! Design: `docs/design/callers-port.md`.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    task::Waker,
    time::Duration,
};

use jackdawpier_http::request_body::BodyMemory;
use jackdawpier_kernel::{
    Now,
    body_budget::{BodyLimits, MAX_STALL},
    caller_memory::MB,
};
use tokio::{sync::Notify, time::timeout};

use crate::clock;
pub use crate::connection_limits::{
    ConnectionCounts, ConnectionLimits, DEFAULT_IDLE_TIMEOUT, DEFAULT_MAX_OPEN,
};

/// A connection that was used within this time isn't evicted: its caller's next request may be in transit.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);
/// Connections that make room for new ones, in this order, each after this wait; after them those of stalled bodies.
const EVICTION_ORDER: [(Phase, Duration); 3] = [
    (Phase::Idle, MIN_IDLE_BEFORE_EVICTION),
    (Phase::Discarding, Duration::ZERO),
    (Phase::Head, MAX_STALL),
];
/// Maximum time until a request whose body was evicted is answered.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Default size of the request bodies of a port.
const DEFAULT_BODY_BYTES: usize = 16 * MB;
/// Minimum delay between two checks for overdue connections.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl ConnectionLimits {
    fn timeout_of(&self, phase: Phase) -> Duration {
        match phase {
            Phase::Head => self.header_timeout,
            Phase::Idle | Phase::Busy | Phase::Answered | Phase::Discarding => {
                self.idle_timeout.saturating_add(self.idle_margin)
            }
        }
    }
}

/// The phase of a connection in its request cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// No byte of a request has been received since the last answer.
    Idle,
    /// Part of a request head has been received.
    Head,
    /// A request is being answered.
    Busy,
    /// The answer is ready, but may not be sent completely.
    Answered,
    /// The answer was sent, and the rest of the request's body is being discarded.
    Discarding,
}

/// Why a connection is to be closed. It stays open if a request arrives before that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    Overdue,
    Evicted,
    Shutdown,
}

/// How a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// Closes gracefully: no request is unanswered.
    Graceful,
    /// Aborts the connection.
    Abort,
}

type ConnectionId = u64;

/// Sort key of the connections that wait for their peers: by phase, then the longest wait first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitKey {
    phase: Phase,
    since: Now,
    id: ConnectionId,
}

impl WaitKey {
    /// Returns the lowest key of a phase.
    fn lowest(phase: Phase) -> Self {
        Self { phase, since: Now::ZERO, id: 0 }
    }
}

#[derive(Debug)]
struct State {
    id: ConnectionId,
    phase: Cell<Phase>,
    /// Begin of the first wait in the current phase.
    since: Cell<Option<Now>>,
    is_waiting: Cell<bool>,
    /// Whether a part of the request's body is left to discard.
    is_discarding: Cell<bool>,
    close_reason: Cell<Option<CloseReason>>,
    waker: RefCell<Option<Waker>>,
}

#[derive(Debug)]
struct Shared {
    bodies: BodyMemory,
    waiting: RefCell<BTreeMap<WaitKey, Rc<State>>>,
    counts: Cell<ConnectionCounts>,
    last_id: Cell<ConnectionId>,
    /// Notified when a connection was closed, or when its closing was cancelled.
    changed: Notify,
    is_closed: Cell<bool>,
    closed: Notify,
}

/// The open connections of a port.
#[derive(Debug, Clone)]
pub struct Connections(Rc<Shared>);

impl Default for Connections {
    fn default() -> Self {
        Self::new(BodyLimits::new(DEFAULT_BODY_BYTES))
    }
}

impl Connections {
    /// Creates the connections of a port; the bodies of their requests have these limits.
    pub fn new(limits: BodyLimits) -> Self {
        Self(Rc::new(Shared {
            bodies: BodyMemory::new(limits),
            waiting: RefCell::default(),
            counts: Cell::default(),
            last_id: Cell::default(),
            changed: Notify::new(),
            is_closed: Cell::default(),
            closed: Notify::new(),
        }))
    }

    /// Returns the memory for the bodies of their requests.
    pub fn bodies(&self) -> &BodyMemory {
        &self.0.bodies
    }

    /// Returns the numbers of open and closed connections.
    pub fn counts(&self) -> ConnectionCounts {
        self.0.counts.get()
    }

    /// Closes the port: accepts no new connections, closes the idle ones gracefully, and waits until `deadline`
    /// for requests that have arrived to be answered.
    pub async fn close(&self, deadline: Now) {
        self.0.is_closed.set(true);
        self.0.closed.notify_waiters();
        for phase in [Phase::Idle, Phase::Discarding] {
            while let Some(key) = self.0.longest_waiting(phase) {
                self.0.request_close(key, CloseReason::Shutdown);
            }
        }
        loop {
            let changed = self.0.changed.notified();
            let now = clock::now();
            if now >= deadline || self.counts().open <= self.0.partial_heads() {
                return;
            }
            // The loop checks for the deadline.
            let _ = timeout(deadline.saturating_sub(now), changed).await;
        }
    }

    /// Waits until the port is closed.
    pub(crate) async fn closed(&self) {
        let closed = self.0.closed.notified();
        if !self.0.is_closed.get() {
            closed.await;
        }
    }

    /// Registers a new connection.
    pub(crate) fn open(&self) -> Connection {
        let shared = self.0.clone();
        shared.last_id.set(shared.last_id.get() + 1);
        shared.update_counts(|counts| counts.open += 1);
        let state = State {
            id: shared.last_id.get(),
            phase: Cell::new(Phase::Idle),
            since: Cell::new(None),
            is_waiting: Cell::new(false),
            is_discarding: Cell::new(false),
            close_reason: Cell::new(None),
            waker: RefCell::default(),
        };
        let connection = Connection { shared, state: Rc::new(state) };
        connection.start_waiting(Phase::Idle);
        connection
    }

    /// Evicts connections until fewer than `max_open` are open.
    pub(crate) async fn make_room(&self, max_open: usize) {
        while self.counts().open >= max_open {
            self.evict_one(MIN_IDLE_BEFORE_EVICTION).await;
        }
    }

    /// Evicts the connection that others can spare best, if there is one, and waits up to `max_wait` until any
    /// connection is closed.
    pub(crate) async fn evict_one(&self, max_wait: Duration) {
        let changed = self.0.changed.notified();
        let max_wait = match self.0.evictable() {
            Some(key) => {
                self.0.request_close(key, CloseReason::Evicted);
                max_wait
            }
            // The connection of an evicted body is closed once its request is answered.
            None if self.0.bodies.evict_stalled() => MAX_REFUSAL_TIME,
            None => max_wait,
        };
        // The caller checks whether there is room.
        let _ = timeout(max_wait, changed).await;
    }

    /// Closes connections that have waited for too long, until it is cancelled. Changed limits apply from the
    /// next check, which is due at the latest after the shortest of the previous limits.
    pub(crate) async fn close_overdue(&self, limits: impl Fn() -> ConnectionLimits) {
        loop {
            let (limits, now) = (limits(), clock::now());
            let delays = [Phase::Idle, Phase::Head, Phase::Answered]
                .map(|phase| self.0.close_overdue(phase, now, limits.timeout_of(phase)));
            let delay = delays.into_iter().min().unwrap_or_default();
            tokio::time::sleep(delay.max(MIN_CHECK_INTERVAL)).await;
        }
    }
}

impl Shared {
    fn update_counts(&self, change: impl FnOnce(&mut ConnectionCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Returns the connection that has waited longest in a phase.
    fn longest_waiting(&self, phase: Phase) -> Option<WaitKey> {
        let waiting = self.waiting.borrow();
        let (key, _) = waiting.range(WaitKey::lowest(phase)..).next()?;
        (key.phase == phase).then_some(*key)
    }

    /// Returns the waiting connection to evict next.
    fn evictable(&self) -> Option<WaitKey> {
        EVICTION_ORDER.into_iter().find_map(|(phase, min_wait)| {
            self.longest_waiting(phase).filter(|key| clock::since(key.since) >= min_wait)
        })
    }

    /// Returns the number of connections that have received a part of a request head.
    fn partial_heads(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting.range(WaitKey::lowest(Phase::Head)..WaitKey::lowest(Phase::Busy)).count()
    }

    /// Closes the connections that have waited in a phase for `limit`; returns the time until the next one may
    /// be overdue.
    fn close_overdue(&self, phase: Phase, now: Now, limit: Duration) -> Duration {
        while let Some(key) = self.longest_waiting(phase) {
            let time_left = limit.saturating_sub(now.saturating_sub(key.since));
            if !time_left.is_zero() {
                return time_left;
            }
            self.request_close(key, CloseReason::Overdue);
        }
        limit
    }

    /// Requests that a waiting connection closes.
    fn request_close(&self, key: WaitKey, close_reason: CloseReason) {
        let Some(state) = self.waiting.borrow_mut().remove(&key) else {
            return;
        };
        state.is_waiting.set(false);
        state.close_reason.set(Some(close_reason));
        if let Some(waker) = &*state.waker.borrow() {
            waker.wake_by_ref();
        }
    }
}

/// An open connection; deregistered on drop.
#[derive(Debug)]
pub(crate) struct Connection {
    shared: Rc<Shared>,
    state: Rc<State>,
}

impl Connection {
    /// Returns the memory for the bodies of its requests.
    pub(crate) fn bodies(&self) -> &BodyMemory {
        &self.shared.bodies
    }

    /// Sets the waker of the task that serves the connection.
    pub(crate) fn set_waker(&self, waker: &Waker) {
        *self.state.waker.borrow_mut() = Some(waker.clone());
    }

    /// Notes that bytes were received.
    pub(crate) fn on_bytes_received(&self) {
        if self.state.phase.get() == Phase::Idle {
            self.enter_phase(Phase::Head);
        }
    }

    /// Notes that a request head is complete.
    pub(crate) fn on_request(&self) {
        self.enter_phase(Phase::Busy);
    }

    /// Notes that the rest of the request's body is going to be discarded, until [`Self::on_discarded`].
    pub(crate) fn on_discard(&self) {
        self.state.is_discarding.set(true);
    }

    /// Notes that no more of the request's body is going to be discarded.
    pub(crate) fn on_discarded(&self) {
        self.state.is_discarding.set(false);
        if self.state.phase.get() == Phase::Discarding {
            self.wait_for_request();
        }
    }

    /// Notes that the answer to a request is ready.
    pub(crate) fn on_answer_ready(&self) {
        self.enter_phase(Phase::Answered);
    }

    /// Notes that all buffered bytes were sent.
    pub(crate) fn on_flushed(&self) {
        if self.state.phase.get() != Phase::Answered {
            return;
        }
        self.wait_for_request();
    }

    /// Returns whether the connection is to be closed although the rest of a body still arrives.
    pub(crate) fn is_discard_ended(&self) -> bool {
        self.state.phase.get() == Phase::Discarding && self.state.close_reason.get().is_some()
    }

    /// Notes that no byte can be read now. Returns whether the connection is to be closed.
    pub(crate) fn on_read_pending(&self) -> bool {
        self.start_waiting(Phase::Head);
        self.state.close_reason.get().is_some()
    }

    /// Notes that no byte can be written now. Returns whether the connection is to be closed.
    pub(crate) fn on_write_pending(&self) -> bool {
        self.start_waiting(Phase::Answered);
        self.state.close_reason.get().is_some()
    }

    /// Cancels the closing of the connection because bytes have arrived.
    pub(crate) fn cancel_close(&self) {
        self.clear_close_reason();
        self.on_bytes_received();
    }

    /// Counts the connection as closed and returns how to close it.
    pub(crate) fn close(&self) -> CloseMode {
        let is_idle = self.state.phase.get() == Phase::Idle;
        self.shared.update_counts(|counts| match self.state.close_reason.get() {
            Some(CloseReason::Overdue) if is_idle => counts.idle_closed += 1,
            Some(CloseReason::Overdue) => counts.aborted += 1,
            Some(CloseReason::Evicted) => counts.evicted += 1,
            Some(CloseReason::Shutdown) | None => {}
        });
        if is_idle { CloseMode::Graceful } else { CloseMode::Abort }
    }

    /// Enters the phase after an answer has been sent.
    fn wait_for_request(&self) {
        let is_discarding = self.state.is_discarding.get();
        let phase = if is_discarding { Phase::Discarding } else { Phase::Idle };
        self.enter_phase(phase);
        if self.shared.is_closed.get() {
            self.state.close_reason.set(Some(CloseReason::Shutdown));
        }
        self.start_waiting(phase);
        if is_discarding {
            // The connection may be evicted now.
            self.shared.changed.notify_waiters();
        }
    }

    fn enter_phase(&self, phase: Phase) {
        self.stop_waiting();
        self.clear_close_reason();
        self.state.since.set(None);
        self.state.phase.set(phase);
    }

    fn clear_close_reason(&self) {
        if self.state.close_reason.take().is_some() {
            self.shared.changed.notify_waiters();
        }
    }

    /// Registers the connection as waiting if it is in this phase, unless it is being closed.
    fn start_waiting(&self, phase: Phase) {
        let state = &self.state;
        if state.phase.get() != phase
            || state.is_waiting.get()
            || state.close_reason.get().is_some()
        {
            return;
        }
        let since = state.since.get().unwrap_or_else(clock::now);
        state.since.set(Some(since));
        state.is_waiting.set(true);
        let key = WaitKey { phase, since, id: state.id };
        self.shared.waiting.borrow_mut().insert(key, state.clone());
    }

    fn stop_waiting(&self) {
        let state = &self.state;
        if let Some(since) = state.since.get().filter(|_| state.is_waiting.replace(false)) {
            let key = WaitKey { phase: state.phase.get(), since, id: state.id };
            self.shared.waiting.borrow_mut().remove(&key);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.stop_waiting();
        self.shared.update_counts(|counts| counts.open -= 1);
        self.shared.changed.notify_waiters();
    }
}

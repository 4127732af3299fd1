//! Open connections of a port: which are idle, how long they may be, and which make room for others.
//!
//! Design: `docs/design/callers-port.md`.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    task::Waker,
    time::Duration,
};

use jackdawpier_kernel::Now;
use tokio::{sync::Notify, time::timeout};

use crate::clock;

/// Half of the descriptors of the smallest machine.
const MOST_CONNECTIONS: usize = 1500;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle time of a connection where the configuration doesn't say.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// A request that was sent within the idle timeout has this long to arrive; by then its caller has
/// given up waiting for the answer.
const IDLE_MARGIN: Duration = Duration::from_secs(3);
/// A connection that was used within this time doesn't make room: its caller's next request may be on
/// its way.
const SHORTEST_IDLE: Duration = Duration::from_millis(100);
/// Shortest pause between two looks for overdue connections.
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);

/// Limits of a port.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Open connections; beyond it the one that has been idle longest makes room for a new one.
    pub max_open: usize,
    /// Time for a head to be whole after its first byte.
    pub header_timeout: Duration,
    /// Time for which callers may count on an idle connection, and for an answer to be taken.
    pub idle_timeout: Duration,
    /// Time after `idle_timeout` for which an idle connection stays open, since what was sent on it
    /// in time may still be on its way.
    pub idle_margin: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_open: MOST_CONNECTIONS,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            idle_margin: IDLE_MARGIN,
        }
    }
}

impl ConnectionLimits {
    fn of_phase(&self, phase: Phase) -> Duration {
        match phase {
            Phase::Head => self.header_timeout,
            Phase::Idle | Phase::Busy | Phase::Answered => {
                self.idle_timeout.saturating_add(self.idle_margin)
            }
        }
    }
}

/// Connections by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open now.
    pub open: usize,
    /// Closed after the idle timeout.
    pub idle_closed: u64,
    /// Idle ones closed to make room.
    pub evicted: u64,
    /// Broken off, since the rest of a head didn't come or an answer wasn't taken.
    pub aborted: u64,
}

/// What a connection is in the middle of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Nothing: no byte of a request has come since the last answer.
    Idle,
    /// A head has begun.
    Head,
    /// A request is being answered.
    Busy,
    /// The answer is ready, but part of it may not have left.
    Answered,
}

/// Why a connection is to end. It goes on if a request has arrived before it is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Overdue,
    Room,
    Stop,
}

/// What a connection does about its ending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Close {
    /// Close in order: nothing is left to be answered.
    InOrder,
    /// Break it off.
    BreakOff,
}

type ConnectionId = u64;

/// Place among the connections that wait for their peers; the longest wait of a phase stands first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    phase: Phase,
    since: Now,
    id: ConnectionId,
}

impl Place {
    /// The place before all others of a phase.
    fn first(phase: Phase) -> Self {
        Self { phase, since: Now::ZERO, id: 0 }
    }
}

#[derive(Debug)]
struct State {
    id: ConnectionId,
    phase: Cell<Phase>,
    /// Begin of the phase, once the connection has had to wait in it.
    since: Cell<Option<Now>>,
    is_waiting: Cell<bool>,
    ending: Cell<Option<Ending>>,
    waker: RefCell<Option<Waker>>,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: RefCell<BTreeMap<Place, Rc<State>>>,
    counts: Cell<ConnectionCounts>,
    last_id: Cell<ConnectionId>,
    /// A connection has ended, or goes on though it was to end.
    changed: Notify,
    is_closed: Cell<bool>,
    closed: Notify,
}

/// The open connections of a port.
#[derive(Debug, Clone, Default)]
pub struct Connections(Rc<Shared>);

impl Connections {
    /// Number of open connections, and what became of others.
    pub fn counts(&self) -> ConnectionCounts {
        self.0.counts.get()
    }

    /// Ends the port: takes no new connections, closes the idle ones in order, and lets requests that
    /// have arrived be answered until `end_by`.
    pub async fn close(&self, end_by: Now) {
        self.0.is_closed.set(true);
        self.0.closed.notify_waiters();
        while let Some(place) = self.0.first(Phase::Idle) {
            self.0.end(place, Ending::Stop);
        }
        loop {
            let changed = self.0.changed.notified();
            let now = clock::now();
            if now >= end_by || self.counts().open <= self.0.half_sent() {
                return;
            }
            // Elapsed time is seen above.
            let _ = timeout(end_by.saturating_sub(now), changed).await;
        }
    }

    /// Waits until the port is closed.
    pub(crate) async fn closed(&self) {
        let closed = self.0.closed.notified();
        if !self.0.is_closed.get() {
            closed.await;
        }
    }

    /// Takes a new connection in.
    pub(crate) fn open(&self) -> Connection {
        let shared = self.0.clone();
        shared.last_id.set(shared.last_id.get() + 1);
        shared.count(|counts| counts.open += 1);
        let state = State {
            id: shared.last_id.get(),
            phase: Cell::new(Phase::Idle),
            since: Cell::new(None),
            is_waiting: Cell::new(false),
            ending: Cell::new(None),
            waker: RefCell::default(),
        };
        let connection = Connection { shared, state: Rc::new(state) };
        connection.wait_in(Phase::Idle);
        connection
    }

    /// Waits until fewer than `most` connections are open, and has idle ones closed for that.
    pub(crate) async fn make_room(&self, most: usize) {
        while self.counts().open >= most {
            self.close_longest_idle(SHORTEST_IDLE).await;
        }
    }

    /// Has the connection closed that has been idle longest, unless it was used a moment ago, and waits
    /// until any connection has ended, but not for longer than `patience`.
    pub(crate) async fn close_longest_idle(&self, patience: Duration) {
        let changed = self.0.changed.notified();
        if let Some(place) = self.0.first(Phase::Idle)
            && clock::since(place.since) >= SHORTEST_IDLE
        {
            self.0.end(place, Ending::Room);
        }
        // Whoever asked looks whether there is room now.
        let _ = timeout(patience, changed).await;
    }

    /// Ends connections that have waited for too long, for ever. Changed limits count from the next
    /// look, which is never later than the shortest of the former ones.
    pub(crate) async fn close_overdue(&self, limits: impl Fn() -> ConnectionLimits) {
        loop {
            let (limits, now) = (limits(), clock::now());
            let pause = [Phase::Idle, Phase::Head, Phase::Answered]
                .map(|phase| self.0.close_overdue(phase, now, limits.of_phase(phase)));
            let pause = pause.into_iter().min().unwrap_or_default();
            tokio::time::sleep(pause.max(SHORTEST_PAUSE)).await;
        }
    }
}

impl Shared {
    fn count(&self, change: impl FnOnce(&mut ConnectionCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// The connection that has waited longest in a phase.
    fn first(&self, phase: Phase) -> Option<Place> {
        let waiting = self.waiting.borrow();
        let (place, _) = waiting.range(Place::first(phase)..).next()?;
        (place.phase == phase).then_some(*place)
    }

    /// Number of connections whose peers have sent a part of a head.
    fn half_sent(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting.range(Place::first(Phase::Head)..Place::first(Phase::Busy)).count()
    }

    /// Ends the connections that have waited in a phase for `limit`; returns the time until the next
    /// one may have.
    fn close_overdue(&self, phase: Phase, now: Now, limit: Duration) -> Duration {
        while let Some(place) = self.first(phase) {
            let left = limit.saturating_sub(now.saturating_sub(place.since));
            if !left.is_zero() {
                return left;
            }
            self.end(place, Ending::Overdue);
        }
        limit
    }

    /// Tells a waiting connection to end.
    fn end(&self, place: Place, ending: Ending) {
        let Some(state) = self.waiting.borrow_mut().remove(&place) else {
            return;
        };
        state.is_waiting.set(false);
        state.ending.set(Some(ending));
        if let Some(waker) = &*state.waker.borrow() {
            waker.wake_by_ref();
        }
    }
}

/// An open connection, from its acceptance to its end.
#[derive(Debug)]
pub(crate) struct Connection {
    shared: Rc<Shared>,
    state: Rc<State>,
}

impl Connection {
    /// Notes the task that serves it.
    pub(crate) fn set_waker(&self, waker: &Waker) {
        *self.state.waker.borrow_mut() = Some(waker.clone());
    }

    /// Bytes have come.
    pub(crate) fn received(&self) {
        if self.state.phase.get() == Phase::Idle {
            self.enter(Phase::Head);
        }
    }

    /// A request is whole as far as its head goes.
    pub(crate) fn begin(&self) {
        self.enter(Phase::Busy);
    }

    /// The answer to a request is ready.
    pub(crate) fn answer(&self) {
        self.enter(Phase::Answered);
    }

    /// All that was ready has left.
    pub(crate) fn flushed(&self) {
        if self.state.phase.get() != Phase::Answered {
            return;
        }
        self.enter(Phase::Idle);
        if self.shared.is_closed.get() {
            self.state.ending.set(Some(Ending::Stop));
        }
        self.wait_in(Phase::Idle);
    }

    /// No byte has come that the port knows of. Returns whether the connection is to end.
    pub(crate) fn wait_for_bytes(&self) -> bool {
        self.wait_in(Phase::Head);
        self.state.ending.get().is_some()
    }

    /// The peer doesn't take more bytes. Returns whether the connection is to end.
    pub(crate) fn wait_for_peer(&self) -> bool {
        self.wait_in(Phase::Answered);
        self.state.ending.get().is_some()
    }

    /// The connection was to end, but bytes have come.
    pub(crate) fn go_on(&self) {
        self.clear_ending();
        self.received();
    }

    /// Ends the connection as it was told to.
    pub(crate) fn close(&self) -> Close {
        let is_idle = self.state.phase.get() == Phase::Idle;
        self.shared.count(|counts| match self.state.ending.get() {
            Some(Ending::Overdue) if is_idle => counts.idle_closed += 1,
            Some(Ending::Overdue) => counts.aborted += 1,
            Some(Ending::Room) => counts.evicted += 1,
            Some(Ending::Stop) | None => {}
        });
        if is_idle { Close::InOrder } else { Close::BreakOff }
    }

    fn enter(&self, phase: Phase) {
        self.stop_waiting();
        self.clear_ending();
        self.state.since.set(None);
        self.state.phase.set(phase);
    }

    fn clear_ending(&self) {
        if self.state.ending.take().is_some() {
            self.shared.changed.notify_waiters();
        }
    }

    /// Takes a place among the waiting ones if it is in this phase. One that is ending has left its
    /// place for good.
    fn wait_in(&self, phase: Phase) {
        let state = &self.state;
        if state.phase.get() != phase || state.is_waiting.get() || state.ending.get().is_some() {
            return;
        }
        let since = state.since.get().unwrap_or_else(clock::now);
        state.since.set(Some(since));
        state.is_waiting.set(true);
        let place = Place { phase, since, id: state.id };
        self.shared.waiting.borrow_mut().insert(place, state.clone());
    }

    fn stop_waiting(&self) {
        let state = &self.state;
        if let Some(since) = state.since.get().filter(|_| state.is_waiting.replace(false)) {
            let place = Place { phase: state.phase.get(), since, id: state.id };
            self.shared.waiting.borrow_mut().remove(&place);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.stop_waiting();
        self.shared.count(|counts| counts.open -= 1);
        self.shared.changed.notify_waiters();
    }
}

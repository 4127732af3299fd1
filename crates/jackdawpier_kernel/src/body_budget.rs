//! Memory of the request bodies that a process receives and holds.
//!
//! A body takes room before it is filled, and its bytes are copied into segments of one size, so that a byte costs the
//! same however the body is divided into frames, and freed segments fit all other bodies. When there is no room, bodies that have stalled are evicted first.
//! See `docs/design/body-memory.md`.

use std::{cmp::Reverse, collections::BTreeMap, task::Waker, time::Duration};

use derive_more::{Display, Error};

use crate::{Now, caller_memory::CONNECTION_BODY_BYTES};

/// Minimum transfer rate of a body. One that is received more slowly falls behind and may be evicted.
pub const MIN_BYTES_PER_S: f64 = 16_384.0;
/// Time by which a body may be behind; after that it may be evicted.
pub const MAX_STALL: Duration = Duration::from_secs(1);
/// Size of a segment.
const SEGMENT_BYTES: usize = 8 * 1024;

/// Identifies a body of a budget.
pub type BodyId = u64;

/// Limits of a [`BodyBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size of the counted parts of all bodies.
    pub total_bytes: usize,
    /// Size of the part of each body that doesn't count, because the number of connections limits it. A body that
    /// isn't larger is never refused for want of room.
    pub uncounted_bytes: usize,
    /// Time by which a body may be behind the minimum rate; after that it may be evicted.
    pub max_stall: Duration,
}

impl BodyLimits {
    /// Returns the default limits for a budget of this size.
    pub fn new(total_bytes: usize) -> Self {
        Self { total_bytes, uncounted_bytes: CONNECTION_BODY_BYTES, max_stall: MAX_STALL }
    }

    /// Returns the size of the largest body that fits while there is no other.
    pub fn largest_body_bytes(&self) -> usize {
        self.total_bytes.saturating_add(self.uncounted_bytes)
    }

    fn counted(&self, room_bytes: usize) -> usize {
        room_bytes.saturating_sub(self.uncounted_bytes)
    }
}

/// Why a body can't be received.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq)]
pub enum NoRoom {
    /// The other bodies take the room, and too few of them have stalled.
    #[display("there is no memory for the body")]
    Full,
    /// The body had stalled, and others needed its room or its connection.
    #[display("the body was received too slowly while others waited")]
    Evicted,
}

/// Figures of a body for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BodyFigures {
    /// Room that the body took, in bytes; for an evicted body until its eviction.
    pub room_bytes: usize,
    /// Received bytes.
    pub received_bytes: usize,
    /// Time since the head of its request was received.
    pub age: Duration,
    /// Time by which the body is behind the minimum rate.
    pub stalled_for: Duration,
    /// Counted bytes of all bodies.
    pub budget_held_bytes: usize,
    /// Limit of these.
    pub budget_bytes: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Receiving,
    /// The request is being processed.
    Complete,
    Evicted,
}

#[derive(Debug)]
struct Body {
    state: State,
    /// Each has the capacity of a segment, and all but the last one are full.
    segments: Vec<Vec<u8>>,
    room_bytes: usize,
    received_bytes: usize,
    began_at: Now,
    /// Each received byte advances it by the time of a byte at the minimum rate, at most to the present.
    progress_at: Now,
    waker: Option<Waker>,
}

impl Body {
    fn on_received(&mut self, now: Now, bytes: usize) {
        self.received_bytes += bytes;
        let progress = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_S);
        self.progress_at = now.min(self.progress_at + progress);
    }

    fn stalled_for(&self, now: Now) -> Duration {
        now.saturating_sub(self.progress_at)
    }

    fn is_stalled(&self, now: Now, max_stall: Duration) -> bool {
        self.state == State::Receiving && self.stalled_for(now) >= max_stall
    }

    /// Orders bodies by what they cost others: the room that they take times the time for which they have stalled.
    fn cost(&self, now: Now) -> u128 {
        (self.room_bytes as u128 + 1) * self.stalled_for(now).as_nanos()
    }

    /// Adds bytes within the room that has been taken.
    fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let is_full = |segment: &Vec<u8>| segment.len() == SEGMENT_BYTES;
            if self.segments.last().is_none_or(is_full) {
                self.segments.push(Vec::with_capacity(SEGMENT_BYTES));
            }
            let segment = self.segments.last_mut().expect("there is one");
            let (part, rest) = data.split_at(data.len().min(SEGMENT_BYTES - segment.len()));
            segment.extend_from_slice(part);
            data = rest;
        }
    }
}

/// The memory of all request bodies of a process.
#[derive(Debug)]
pub struct BodyBudget {
    limits: BodyLimits,
    held_bytes: usize,
    last_id: BodyId,
    bodies: BTreeMap<BodyId, Body>,
}

impl BodyBudget {
    /// Creates a budget.
    pub fn new(limits: BodyLimits) -> Self {
        Self { limits, held_bytes: 0, last_id: 0, bodies: BTreeMap::new() }
    }

    /// Returns the limits.
    pub fn limits(&self) -> BodyLimits {
        self.limits
    }

    /// Returns the counted bytes of all bodies.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of bodies.
    pub fn count(&self) -> usize {
        self.bodies.len()
    }

    /// Registers a body that takes no room yet.
    pub fn begin(&mut self, now: Now) -> BodyId {
        self.last_id += 1;
        let body = Body {
            state: State::Receiving,
            segments: Vec::new(),
            room_bytes: 0,
            received_bytes: 0,
            began_at: now,
            progress_at: now,
            waker: None,
        };
        self.bodies.insert(self.last_id, body);
        self.last_id
    }

    /// Sets what is woken when the body is evicted.
    pub fn set_waker(&mut self, id: BodyId, waker: &Waker) {
        let current = &mut self.body(id).waker;
        if !current.as_ref().is_some_and(|current| current.will_wake(waker)) {
            *current = Some(waker.clone());
        }
    }

    /// Takes room for a body so that it has `bytes` in all, and evicts stalled bodies if that makes enough room.
    pub fn reserve(&mut self, id: BodyId, now: Now, bytes: usize) -> Result<(), NoRoom> {
        let limits = self.limits;
        let body = self.body(id);
        if body.state == State::Evicted {
            return Err(NoRoom::Evicted);
        }
        let extra = limits.counted(bytes).saturating_sub(limits.counted(body.room_bytes));
        if extra > 0 {
            self.make_room(id, now, extra)?;
        }
        self.held_bytes += extra;
        let body = self.body(id);
        body.room_bytes = body.room_bytes.max(bytes);
        Ok(())
    }

    /// Adds received bytes to a body, and takes room for them if it has too little.
    pub fn append(&mut self, id: BodyId, now: Now, data: &[u8]) -> Result<(), NoRoom> {
        let body = self.body(id);
        body.on_received(now, data.len());
        let needed = body.received_bytes;
        if needed > body.room_bytes {
            self.reserve(id, now, needed.next_multiple_of(SEGMENT_BYTES))?;
        }
        let body = self.body(id);
        if body.state == State::Evicted {
            return Err(NoRoom::Evicted);
        }
        body.append(data);
        Ok(())
    }

    /// Returns the bytes of a body that is complete, in one piece. It keeps its room, and isn't evicted any more.
    pub fn complete(&mut self, id: BodyId) -> Result<Vec<u8>, NoRoom> {
        let body = self.body(id);
        if body.state == State::Evicted {
            return Err(NoRoom::Evicted);
        }
        body.state = State::Complete;
        Ok(std::mem::take(&mut body.segments).concat())
    }

    /// Removes a body and gives its room back.
    pub fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id)
            && body.state != State::Evicted
        {
            self.held_bytes -= self.limits.counted(body.room_bytes);
        }
    }

    /// Returns whether a body was evicted.
    pub fn is_evicted(&self, id: BodyId) -> bool {
        self.bodies.get(&id).is_some_and(|body| body.state == State::Evicted)
    }

    /// Evicts the stalled body that costs others most, since its connection is needed. Returns whether there was one.
    pub fn evict_stalled(&mut self, now: Now) -> bool {
        let costliest = costliest(self.stalled(now), now);
        costliest.into_iter().for_each(|id| self.evict(id));
        costliest.is_some()
    }

    /// Returns the figures of a body.
    pub fn figures(&self, id: BodyId, now: Now) -> BodyFigures {
        self.bodies.get(&id).map_or_else(BodyFigures::default, |body| BodyFigures {
            room_bytes: body.room_bytes,
            received_bytes: body.received_bytes,
            age: now.saturating_sub(body.began_at),
            stalled_for: body.stalled_for(now),
            budget_held_bytes: self.held_bytes,
            budget_bytes: self.limits.total_bytes,
        })
    }

    fn body(&mut self, id: BodyId) -> &mut Body {
        self.bodies.get_mut(&id).expect("a body is registered until its end")
    }

    /// Evicts stalled bodies, the costliest first, until `extra` bytes are free for the body `id`. Evicts none if that
    /// isn't enough.
    fn make_room(&mut self, id: BodyId, now: Now, extra: usize) -> Result<(), NoRoom> {
        if extra <= self.free_bytes() {
            return Ok(());
        }
        let limits = self.limits;
        let others = || self.stalled(now).filter(|(other, _)| *other != id);
        let evictable_bytes: usize =
            others().map(|(_, body)| limits.counted(body.room_bytes)).sum();
        if extra > self.free_bytes() + evictable_bytes {
            return Err(NoRoom::Full);
        }
        while extra > self.free_bytes() {
            let counted = self
                .stalled(now)
                .filter(|(other, body)| *other != id && limits.counted(body.room_bytes) > 0);
            let costliest = costliest(counted, now).expect("the stalled bodies take enough room");
            self.evict(costliest);
        }
        Ok(())
    }

    fn free_bytes(&self) -> usize {
        self.limits.total_bytes.saturating_sub(self.held_bytes)
    }

    fn stalled(&self, now: Now) -> impl Iterator<Item = (BodyId, &Body)> {
        let max_stall = self.limits.max_stall;
        let bodies = self.bodies.iter().map(|(id, body)| (*id, body));
        bodies.filter(move |(_, body)| body.is_stalled(now, max_stall))
    }

    /// Frees the room of a body at once.
    fn evict(&mut self, id: BodyId) {
        let limits = self.limits;
        let body = self.body(id);
        body.state = State::Evicted;
        body.segments = Vec::new();
        if let Some(waker) = body.waker.take() {
            waker.wake();
        }
        let counted = limits.counted(body.room_bytes);
        self.held_bytes -= counted;
    }
}

/// Returns the body that costs others most; the oldest one of several with the same cost.
fn costliest<'a>(bodies: impl Iterator<Item = (BodyId, &'a Body)>, now: Now) -> Option<BodyId> {
    bodies.max_by_key(|(id, body)| (body.cost(now), Reverse(*id))).map(|(id, _)| id)
}

//! Durable single-writer map, stored as a fenced log of group commits.
//!
//! Each commit creates the segment with the next number, under the condition that it doesn't exist
//! yet. Two writers can't create the same segment, so the log acts as the fence: a new owner first
//! creates a takeover segment, and an owner that was paused past its lease then fails its next
//! commit and stops. Only one commit is in flight at a time, and the next one includes all states
//! put in the meantime, so the rate of store writes depends on the number of cells and not on the
//! load. See `docs/design/cell.md`.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{EntryId, Epoch},
};
use jackdawpier_store::{
    Condition, Record, Request, Response, StoreError, StoreResult, protocol::MAX_VALUE_BYTES,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{keys, page_size::PageSize};

/// Maximum size of the entries in one segment. A larger entry gets a segment of its own.
pub const MAX_SEGMENT_BYTES: usize = 512 * 1024;
/// Room in a segment for the fields beside its entries, and for the growth of a state after it was
/// accepted.
const SEGMENT_HEADROOM_BYTES: usize = 16 * 1024;
/// Maximum size of one entry as encoded in a segment.
pub const MAX_ENTRY_BYTES: usize = MAX_VALUE_BYTES - SEGMENT_HEADROOM_BYTES;
/// Maximum number of records read per page when a cell is opened.
const MAX_PAGE_RECORDS: usize = 128;
/// Maximum number of log entries per live state before segments are trimmed.
const TRIM_RATIO: usize = 2;
/// Number of log entries allowed in addition to those that `TRIM_RATIO` allows.
const TRIM_SLACK_ENTRIES: usize = 256;
/// Maximum number of takeover segments kept. The next commit of a paused owner has the number of the
/// takeover segment that ended its epoch, so the owner stays fenced as long as that segment exists.
const MAX_TAKEOVER_SEGMENTS: usize = 64;
/// Maximum number of commit tokens. Tokens accumulate while the cell is idle, so that a single write
/// doesn't wait for the commit interval.
const COMMIT_BURST: u32 = 4;
/// Delay before a failed or unexpectedly answered call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Key of a state in the map.
pub type StateKey = Arc<str>;

/// Segment as stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Segment {
    /// Process that wrote the segment.
    writer: EntryId,
    /// Incarnation of the writer, which distinguishes it from the same entry before a restart.
    incarnation: u64,
    /// Epoch of the writer's ownership.
    epoch: Epoch,
    /// States in the order of their writes, each as JSON text. Empty in a takeover segment.
    entries: Vec<(StateKey, Arc<str>)>,
}

/// Whether a segment can hold `state` of `key`. Must be checked before a state is accepted: a
/// larger one would be retried forever and block all later writes.
pub fn fits_in_segment<S: Serialize>(key: &str, state: &S) -> bool {
    entry_bytes(key, &to_json(state)) <= MAX_ENTRY_BYTES
}

fn to_json<S: Serialize>(state: &S) -> String {
    serde_json::to_string(state).expect("states serialize")
}

/// Returns the encoded size of an entry in a segment, including brackets and commas.
fn entry_bytes(key: &str, text: &str) -> usize {
    json_string_bytes(key) + json_string_bytes(text) + "[,],".len()
}

/// Returns the size of `text` as a JSON string. A state is JSON itself, so many of its characters may
/// need escaping.
fn json_string_bytes(text: &str) -> usize {
    let encoded_bytes = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0x00..=0x1f => 6,
        _ => 1,
    };
    text.bytes().map(encoded_bytes).sum::<usize>() + "\"\"".len()
}

/// Action that the cell requests from its caller, or event that it reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output<S> {
    /// Make this call and pass its result to [`Cell::on_result`].
    Call(Request),
    /// The cell is open, and no other owner can write to it.
    Opened {
        /// Epoch of this ownership.
        epoch: Epoch,
        /// Complete map.
        states: Vec<(StateKey, S)>,
    },
    /// All writes up to this number are durable.
    Committed {
        /// Number of the last durable write, as [`Cell::put`] returned it.
        up_to: u64,
    },
    /// Another owner has taken over, and pending writes were discarded.
    Fenced,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Closed,
    Reading,
    Claiming,
    Open,
    Fenced,
}

#[derive(Debug)]
struct Commit {
    number: u64,
    segment: Segment,
    /// Number of the last write that is durable with this commit.
    up_to: u64,
}

/// Call in flight.
#[derive(Debug)]
enum InFlight {
    None,
    Page,
    Commit,
    Trim(u64),
}

/// Cell at the entry that owns it or is taking it over.
#[derive(Debug)]
pub struct Cell<S> {
    name: String,
    writer: EntryId,
    incarnation: u64,
    commit_interval: Duration,
    phase: Phase,
    epoch: Epoch,
    next_number: u64,
    /// Segment number and JSON text of each durable state.
    states: HashMap<StateKey, (u64, Arc<str>)>,
    /// Keys of the states in each segment.
    segments: BTreeMap<u64, Vec<StateKey>>,
    takeovers: BTreeSet<u64>,
    /// Number of entries in all segments.
    entry_count: usize,
    pending: VecDeque<(StateKey, Arc<str>)>,
    /// Number of the latest write.
    last_write: u64,
    commit: Option<Commit>,
    in_flight: InFlight,
    retry_at: Now,
    commit_tokens: u32,
    next_token_at: Now,
    page_size: PageSize,
    is_stalled: bool,
    marker: std::marker::PhantomData<S>,
}

impl<S: Serialize + DeserializeOwned> Cell<S> {
    /// Creates a closed cell that commits once per `commit_interval` under load. `incarnation` must
    /// differ between restarts of the same entry.
    pub fn new(name: &str, writer: EntryId, incarnation: u64, commit_interval: Duration) -> Self {
        Self {
            name: name.to_owned(),
            writer,
            incarnation,
            commit_interval,
            phase: Phase::Closed,
            epoch: 0,
            next_number: 0,
            states: HashMap::new(),
            segments: BTreeMap::new(),
            takeovers: BTreeSet::new(),
            entry_count: 0,
            pending: VecDeque::new(),
            last_write: 0,
            commit: None,
            in_flight: InFlight::None,
            retry_at: Now::ZERO,
            commit_tokens: COMMIT_BURST,
            next_token_at: Now::ZERO,
            page_size: PageSize::new(MAX_PAGE_RECORDS),
            is_stalled: false,
            marker: std::marker::PhantomData,
        }
    }

    /// Whether the cell accepts writes.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Whether another owner has taken the cell over.
    pub fn is_fenced(&self) -> bool {
        self.phase == Phase::Fenced
    }

    /// Whether every accepted write is durable.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.commit.is_none()
    }

    /// Whether the last call failed, so that a new write would have to wait for the store.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Returns the number of segments in the log.
    pub fn segment_count(&self) -> usize {
        self.segments.len() + self.takeovers.len()
    }

    /// Starts to take the cell over. A cell is opened only once. A later ownership uses a new `Cell`
    /// with another incarnation, so that late results of this one can't be confused with its own.
    pub fn open(&mut self, now: Now) -> Vec<Output<S>> {
        self.phase = Phase::Reading;
        self.retry_at = now;
        self.tick(now)
    }

    /// Queues a new state of `key` for the next commit and returns the number of this write, to be
    /// compared with [`Output::Committed`]. Returns `None` if the cell isn't open.
    pub fn put(&mut self, key: StateKey, state: &S) -> Option<u64> {
        if self.phase != Phase::Open {
            return None;
        }
        self.pending.push_back((key, to_json(state).into()));
        self.last_write += 1;
        Some(self.last_write)
    }

    /// Removes `key` from the map without a write. Its last state may reappear when the cell is
    /// opened again, so that state must be final.
    pub fn forget(&mut self, key: &str) {
        self.states.remove(key);
    }

    /// Returns the call that is due, if any.
    pub fn tick(&mut self, now: Now) -> Vec<Output<S>> {
        if !matches!(self.in_flight, InFlight::None) || now < self.retry_at {
            return Vec::new();
        }
        match self.phase {
            Phase::Closed | Phase::Fenced => Vec::new(),
            Phase::Reading => {
                self.in_flight = InFlight::Page;
                vec![Output::Call(self.page_request())]
            }
            Phase::Claiming => vec![Output::Call(self.commit_request())],
            Phase::Open => self.commit_or_trim(now),
        }
    }

    /// Handles the result of the call in flight.
    pub fn on_result(&mut self, now: Now, result: StoreResult) -> Vec<Output<S>> {
        self.is_stalled = result.is_err();
        match std::mem::replace(&mut self.in_flight, InFlight::None) {
            InFlight::None => Vec::new(),
            InFlight::Page => self.on_page(now, result),
            InFlight::Commit => self.on_commit(now, result),
            InFlight::Trim(number) => self.on_trim(now, number, &result),
        }
    }

    fn page_request(&self) -> Request {
        let after_key = match self.next_number.checked_sub(1) {
            Some(last) => keys::segment(&self.name, last),
            None => String::new(),
        };
        let limit = self.page_size.records();
        Request::Range { prefix: keys::cell(&self.name), after_key, limit }
    }

    fn on_page(&mut self, now: Now, result: StoreResult) -> Vec<Output<S>> {
        if matches!(result, Err(StoreError::Ambiguous { .. })) {
            self.page_size.on_page_lost();
        }
        let Ok(Response::Records { records, more, .. }) = result else {
            self.retry_at = now + RETRY_INTERVAL;
            return Vec::new();
        };
        self.page_size.on_page_received();
        records.iter().for_each(|record| self.replay(record));
        if !more {
            self.start_claim();
        }
        self.tick(now)
    }

    fn replay(&mut self, record: &Record) {
        let Some(number) = keys::segment_number(&record.key) else { return };
        let Ok(segment) = serde_json::from_str::<Segment>(&record.value) else { return };
        self.next_number = number + 1;
        self.epoch = self.epoch.max(segment.epoch);
        self.index_segment(number, segment.entries);
    }

    /// Adds the entries of a durable segment to the map.
    fn index_segment(&mut self, number: u64, entries: Vec<(StateKey, Arc<str>)>) {
        if entries.is_empty() {
            self.takeovers.insert(number);
            return;
        }
        self.entry_count += entries.len();
        let state_keys = entries.iter().map(|(key, _)| Arc::clone(key)).collect();
        self.segments.insert(number, state_keys);
        for (key, text) in entries {
            self.states.insert(key, (number, text));
        }
    }

    fn start_claim(&mut self) {
        self.phase = Phase::Claiming;
        self.epoch += 1;
        self.commit = Some(self.new_commit(Vec::new()));
    }

    fn new_commit(&self, entries: Vec<(StateKey, Arc<str>)>) -> Commit {
        let segment = Segment {
            writer: Arc::clone(&self.writer),
            incarnation: self.incarnation,
            epoch: self.epoch,
            entries,
        };
        let up_to = self.last_write - self.pending.len() as u64;
        Commit { number: self.next_number, segment, up_to }
    }

    fn commit_request(&mut self) -> Request {
        let commit = self.commit.as_ref().expect("the commit is created before its request");
        self.in_flight = InFlight::Commit;
        Request::Put {
            key: keys::segment(&self.name, commit.number),
            value: serde_json::to_string(&commit.segment).expect("segments serialize"),
            condition: Condition::Absent,
            lease: None,
        }
    }

    fn commit_or_trim(&mut self, now: Now) -> Vec<Output<S>> {
        self.refill_commit_tokens(now);
        if self.commit.is_none() && !self.pending.is_empty() && self.commit_tokens > 0 {
            self.commit_tokens -= 1;
            let entries = self.take_batch();
            self.commit = Some(self.new_commit(entries));
        }
        if self.commit.is_some() {
            return vec![Output::Call(self.commit_request())];
        }
        self.trim()
    }

    /// Adds one commit token per interval, up to [`COMMIT_BURST`].
    fn refill_commit_tokens(&mut self, now: Now) {
        if self.next_token_at + self.commit_interval * COMMIT_BURST < now {
            self.commit_tokens = COMMIT_BURST;
            self.next_token_at = now + self.commit_interval;
        }
        while now >= self.next_token_at && !self.commit_interval.is_zero() {
            self.commit_tokens = (self.commit_tokens + 1).min(COMMIT_BURST);
            self.next_token_at += self.commit_interval;
        }
        if self.commit_interval.is_zero() {
            self.commit_tokens = COMMIT_BURST;
        }
    }

    fn take_batch(&mut self) -> Vec<(StateKey, Arc<str>)> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some((key, text)) = self.pending.front() {
            bytes += entry_bytes(key, text);
            if bytes > MAX_SEGMENT_BYTES && !batch.is_empty() {
                break;
            }
            batch.extend(self.pending.pop_front());
        }
        batch
    }

    fn on_commit(&mut self, now: Now, result: StoreResult) -> Vec<Output<S>> {
        match result {
            Ok(Response::Written { .. }) => self.finish_commit(now),
            Ok(Response::Conflict { current }) if self.is_own_commit(current.as_ref()) => {
                self.finish_commit(now)
            }
            Ok(Response::Conflict { current }) => self.on_commit_conflict(now, current.as_ref()),
            // The retry creates the same segment under the same condition. If the failed call took
            // effect, the retry conflicts with the segment of this very commit.
            Ok(_) | Err(StoreError::Ambiguous { .. } | StoreError::Unavailable { .. }) => {
                self.retry_at = now + RETRY_INTERVAL;
                Vec::new()
            }
        }
    }

    /// Whether the conflicting record is the commit in flight.
    fn is_own_commit(&self, current: Option<&Record>) -> bool {
        let Some(commit) = &self.commit else { return false };
        let Some(record) = current else { return false };
        serde_json::from_str::<Segment>(&record.value).is_ok_and(|segment| {
            segment.writer == self.writer
                && segment.incarnation == self.incarnation
                && segment.epoch == commit.segment.epoch
        })
    }

    fn finish_commit(&mut self, now: Now) -> Vec<Output<S>> {
        let commit = self.commit.take().expect("the commit is in flight");
        self.next_number = commit.number + 1;
        self.index_segment(commit.number, commit.segment.entries);
        let mut outputs = Vec::new();
        if self.phase == Phase::Claiming {
            self.phase = Phase::Open;
            outputs.push(Output::Opened { epoch: self.epoch, states: self.parsed_states() });
        } else {
            outputs.push(Output::Committed { up_to: commit.up_to });
        }
        outputs.extend(self.tick(now));
        outputs
    }

    fn parsed_states(&self) -> Vec<(StateKey, S)> {
        let mut states: Vec<(StateKey, S)> = self
            .states
            .iter()
            .filter_map(|(key, (_, text))| {
                serde_json::from_str(text).ok().map(|state| (Arc::clone(key), state))
            })
            .collect();
        states.sort_by(|a, b| a.0.cmp(&b.0));
        states
    }

    /// Handles a segment number that another writer has used. A claim reads on and tries the next
    /// number; an open cell is fenced.
    fn on_commit_conflict(&mut self, now: Now, current: Option<&Record>) -> Vec<Output<S>> {
        self.commit = None;
        if self.phase != Phase::Claiming {
            self.phase = Phase::Fenced;
            self.pending.clear();
            return vec![Output::Fenced];
        }
        if let Some(record) = current {
            self.replay(record);
        }
        self.phase = Phase::Reading;
        self.tick(now)
    }

    /// Deletes the oldest segment, after rewriting its live states, while the log is too long.
    /// Segments are deleted in order and one at a time, so that no state outlives a newer one of the
    /// same key.
    fn trim(&mut self) -> Vec<Output<S>> {
        if self.takeovers.len() > MAX_TAKEOVER_SEGMENTS {
            let oldest = *self.takeovers.first().expect("the set is larger than the limit");
            return self.delete_segment(oldest);
        }
        if self.entry_count <= TRIM_SLACK_ENTRIES + TRIM_RATIO * self.states.len() {
            return Vec::new();
        }
        let Some((&number, state_keys)) = self.segments.first_key_value() else {
            return Vec::new();
        };
        let live: Vec<(StateKey, Arc<str>)> = state_keys
            .iter()
            .filter_map(|key| {
                let (at, text) = self.states.get(key)?;
                (*at == number).then(|| (Arc::clone(key), Arc::clone(text)))
            })
            .collect();
        if live.is_empty() {
            return self.delete_segment(number);
        }
        self.rewrite_live_states(live);
        Vec::new()
    }

    fn delete_segment(&mut self, number: u64) -> Vec<Output<S>> {
        self.in_flight = InFlight::Trim(number);
        let key = keys::segment(&self.name, number);
        vec![Output::Call(Request::Delete { key, condition: Condition::Always })]
    }

    /// Queues the live states of the oldest segment to be written again, so that it can be deleted.
    fn rewrite_live_states(&mut self, live: Vec<(StateKey, Arc<str>)>) {
        for (key, text) in live {
            if !self.pending.iter().any(|(pending_key, _)| *pending_key == key) {
                self.pending.push_back((key, text));
                self.last_write += 1;
            }
        }
    }

    fn on_trim(&mut self, now: Now, number: u64, result: &StoreResult) -> Vec<Output<S>> {
        if !matches!(result, Ok(Response::Written { .. })) {
            self.retry_at = now + RETRY_INTERVAL;
            return Vec::new();
        }
        self.takeovers.remove(&number);
        let state_keys = self.segments.remove(&number).unwrap_or_default();
        self.entry_count -= state_keys.len();
        self.tick(now)
    }
}

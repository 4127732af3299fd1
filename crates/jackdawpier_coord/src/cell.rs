//! A durable map with one writer, kept as a fenced log of group commits.
//!
//! Each commit creates the next numbered segment with "must be absent". Two writers can't both
//! create a number, so the log itself is the fence: a new owner first creates a takeover segment,
//! and an owner that was paused past its lease loses its next commit and stops. One commit is in
//! flight at a time and takes along whatever arrived meanwhile, so that writes a second are bound
//! by the number of cells and not by the load. See `docs/design/cell.md`.

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

/// Most bytes of entries in one segment, but for an entry that is larger by itself.
pub const MAX_SEGMENT_BYTES: usize = 512 * 1024;
/// Room in a segment for its writer, and for what a state grows by after it was accepted.
const SPARE_BYTES: usize = 16 * 1024;
/// Most bytes of one entry, as they stand in a segment.
pub const MAX_ENTRY_BYTES: usize = MAX_VALUE_BYTES - SPARE_BYTES;
/// Most records read a page when a cell is opened.
const PAGE_RECORDS: usize = 128;
/// Segments are trimmed while the log holds more than this many entries for one that is live.
const TRIM_RATIO: usize = 2;
/// Entries that a log may hold without being trimmed.
const TRIM_FLOOR: usize = 256;
/// Takeover segments that are kept. A paused owner can only try the number of the takeover that
/// ended its epoch, so it stays fenced for as long as that segment stands.
const KEPT_TAKEOVERS: usize = 64;
/// Commits that a quiet time saves up, so that a lone write never waits for the interval.
const COMMIT_BURST: u32 = 4;
/// Wait before an unanswered or refused call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Subject of one entry of the map.
pub type StateKey = Arc<str>;

/// One segment, as stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Segment {
    /// The entry that wrote it.
    writer: EntryId,
    /// The writer's incarnation, so that a restarted entry is not taken for its predecessor.
    incarnation: u64,
    /// Ownership change that the writer belongs to.
    epoch: Epoch,
    /// The states, in order; JSON text each.
    entries: Vec<(StateKey, Arc<str>)>,
}

/// Whether a segment can hold `state` of `subject`. One that it can't hold would be written again for
/// ever and keep all others waiting, so whoever takes a state in asks first.
pub fn fits_in_segment<S: Serialize>(subject: &str, state: &S) -> bool {
    entry_bytes(subject, &text_of(state)) <= MAX_ENTRY_BYTES
}

fn text_of<S: Serialize>(state: &S) -> String {
    serde_json::to_string(state).expect("states are plain data with string keys")
}

/// Length of one entry in the text of a segment, with its brackets and commas.
fn entry_bytes(subject: &str, text: &str) -> usize {
    quoted_bytes(subject) + quoted_bytes(text) + "[,],".len()
}

/// Length of `text` as a JSON string: a state is JSON itself, so most of it may have to be escaped.
fn quoted_bytes(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0x00..=0x1f => 6,
        _ => 1,
    };
    text.bytes().map(escaped).sum::<usize>() + "\"\"".len()
}

/// What the cell wants done, or reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output<S> {
    /// Make this call and give its result to [`Cell::on_result`].
    Call(Request),
    /// The cell is open: this is the whole map, and nobody else can write to it.
    Opened {
        /// Epoch of this ownership.
        epoch: Epoch,
        /// The states by subject.
        states: Vec<(StateKey, S)>,
    },
    /// The state of each subject is durable up to the write with this number.
    Committed {
        /// Number of the last durable write, as [`Cell::put`] returned it.
        up_to: u64,
    },
    /// Another owner has taken over; nothing that waits here will be written by this owner.
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
    up_to: u64,
}

#[derive(Debug)]
enum Flight {
    None,
    Page,
    Commit,
    Trim(u64),
}

/// One cell, from the point of view of the entry that owns it or wants to.
#[derive(Debug)]
pub struct Cell<S> {
    name: String,
    writer: EntryId,
    incarnation: u64,
    commit_interval: Duration,
    phase: Phase,
    epoch: Epoch,
    next_number: u64,
    states: HashMap<StateKey, (u64, Arc<str>)>,
    segments: BTreeMap<u64, Vec<StateKey>>,
    takeovers: BTreeSet<u64>,
    entry_count: usize,
    pending: VecDeque<(StateKey, Arc<str>)>,
    writes: u64,
    commit: Option<Commit>,
    flight: Flight,
    retry_at: Now,
    commits_saved: u32,
    next_saved_at: Now,
    page_size: PageSize,
    is_stalled: bool,
    marker: std::marker::PhantomData<S>,
}

impl<S: Serialize + DeserializeOwned> Cell<S> {
    /// Returns a closed cell that commits once each `commit_interval` under load. `incarnation` must differ between two starts of the same entry.
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
            writes: 0,
            commit: None,
            flight: Flight::None,
            retry_at: Now::ZERO,
            commits_saved: COMMIT_BURST,
            next_saved_at: Now::ZERO,
            page_size: PageSize::new(PAGE_RECORDS),
            is_stalled: false,
            marker: std::marker::PhantomData,
        }
    }

    /// Whether this owner may write.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Whether another owner has taken over.
    pub fn is_fenced(&self) -> bool {
        self.phase == Phase::Fenced
    }

    /// Whether every accepted write is durable.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.commit.is_none()
    }

    /// Whether the store did not answer the last call, so that a new write would have to wait.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Segments in the log.
    pub fn segment_count(&self) -> usize {
        self.segments.len() + self.takeovers.len()
    }

    /// Starts to take the cell over. A cell is opened once; a later ownership takes a new value
    /// with another incarnation, so that late results can't be mistaken.
    pub fn open(&mut self, now: Now) -> Vec<Output<S>> {
        self.phase = Phase::Reading;
        self.retry_at = now;
        self.tick(now)
    }

    /// Accepts a new state of `subject` and returns the number of this write, to be compared with
    /// [`Output::Committed`]. Returns `None` when the cell isn't open.
    pub fn put(&mut self, subject: StateKey, state: &S) -> Option<u64> {
        if self.phase != Phase::Open {
            return None;
        }
        self.pending.push_back((subject, text_of(state).into()));
        self.writes += 1;
        Some(self.writes)
    }

    /// Drops `subject` from the map without a write. Its last state may come back when the cell is
    /// opened again, so forget only subjects whose last state is final.
    pub fn forget(&mut self, subject: &str) {
        self.states.remove(subject);
    }

    /// Makes the call that is due, if any.
    pub fn tick(&mut self, now: Now) -> Vec<Output<S>> {
        if !matches!(self.flight, Flight::None) || now < self.retry_at {
            return Vec::new();
        }
        match self.phase {
            Phase::Closed | Phase::Fenced => Vec::new(),
            Phase::Reading => {
                self.flight = Flight::Page;
                vec![Output::Call(self.page_request())]
            }
            Phase::Claiming => vec![Output::Call(self.commit_request())],
            Phase::Open => self.commit_or_trim(now),
        }
    }

    /// Takes the result of the call in flight.
    pub fn on_result(&mut self, now: Now, result: StoreResult) -> Vec<Output<S>> {
        self.is_stalled = result.is_err();
        match std::mem::replace(&mut self.flight, Flight::None) {
            Flight::None => Vec::new(),
            Flight::Page => self.on_page(now, result),
            Flight::Commit => self.on_commit(now, result),
            Flight::Trim(number) => self.on_trim(now, number, &result),
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
        self.adopt(number, segment.entries);
    }

    fn adopt(&mut self, number: u64, entries: Vec<(StateKey, Arc<str>)>) {
        if entries.is_empty() {
            self.takeovers.insert(number);
            return;
        }
        self.entry_count += entries.len();
        let subjects = entries.iter().map(|(subject, _)| Arc::clone(subject)).collect();
        self.segments.insert(number, subjects);
        for (subject, text) in entries {
            self.states.insert(subject, (number, text));
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
        let up_to = self.writes - self.pending.len() as u64;
        Commit { number: self.next_number, segment, up_to }
    }

    fn commit_request(&mut self) -> Request {
        let commit = self.commit.as_ref().expect("a commit was started before its request");
        self.flight = Flight::Commit;
        Request::Put {
            key: keys::segment(&self.name, commit.number),
            value: serde_json::to_string(&commit.segment).expect("segments are plain data"),
            condition: Condition::Absent,
            lease: None,
        }
    }

    fn commit_or_trim(&mut self, now: Now) -> Vec<Output<S>> {
        self.save_commits(now);
        if self.commit.is_none() && !self.pending.is_empty() && self.commits_saved > 0 {
            self.commits_saved -= 1;
            let entries = self.take_batch();
            self.commit = Some(self.new_commit(entries));
        }
        if self.commit.is_some() {
            return vec![Output::Call(self.commit_request())];
        }
        self.trim()
    }

    /// One commit is earned each interval; a few can be saved up.
    fn save_commits(&mut self, now: Now) {
        if self.next_saved_at + self.commit_interval * COMMIT_BURST < now {
            self.commits_saved = COMMIT_BURST;
            self.next_saved_at = now + self.commit_interval;
        }
        while now >= self.next_saved_at && !self.commit_interval.is_zero() {
            self.commits_saved = (self.commits_saved + 1).min(COMMIT_BURST);
            self.next_saved_at += self.commit_interval;
        }
        if self.commit_interval.is_zero() {
            self.commits_saved = COMMIT_BURST;
        }
    }

    fn take_batch(&mut self) -> Vec<(StateKey, Arc<str>)> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some((subject, text)) = self.pending.front() {
            bytes += entry_bytes(subject, text);
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
            Ok(Response::Conflict { current }) if self.is_own(current.as_ref()) => {
                self.finish_commit(now)
            }
            Ok(Response::Conflict { current }) => self.lose_commit(now, current.as_ref()),
            // The same segment is created again under the same condition: if the lost call took
            // effect, the conflict shows our own segment.
            Ok(_) | Err(StoreError::Ambiguous { .. } | StoreError::Unavailable { .. }) => {
                self.retry_at = now + RETRY_INTERVAL;
                Vec::new()
            }
        }
    }

    /// Whether the record that stands in the way is the very commit that is in flight.
    fn is_own(&self, current: Option<&Record>) -> bool {
        let Some(commit) = &self.commit else { return false };
        let Some(record) = current else { return false };
        serde_json::from_str::<Segment>(&record.value).is_ok_and(|segment| {
            segment.writer == self.writer
                && segment.incarnation == self.incarnation
                && segment.epoch == commit.segment.epoch
        })
    }

    fn finish_commit(&mut self, now: Now) -> Vec<Output<S>> {
        let commit = self.commit.take().expect("a commit was in flight");
        self.next_number = commit.number + 1;
        self.adopt(commit.number, commit.segment.entries);
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
            .filter_map(|(subject, (_, text))| {
                serde_json::from_str(text).ok().map(|state| (Arc::clone(subject), state))
            })
            .collect();
        states.sort_by(|a, b| a.0.cmp(&b.0));
        states
    }

    /// A claim that lost its number reads on and tries the next; an open cell is fenced.
    fn lose_commit(&mut self, now: Now, current: Option<&Record>) -> Vec<Output<S>> {
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

    /// Deletes the oldest segment once it is mostly superseded. Strictly in order and one at a
    /// time: an older state must never outlive the newer one of the same subject.
    fn trim(&mut self) -> Vec<Output<S>> {
        if self.takeovers.len() > KEPT_TAKEOVERS {
            let oldest = *self.takeovers.first().expect("there are more than the kept ones");
            return self.delete_segment(oldest);
        }
        if self.entry_count <= TRIM_FLOOR + TRIM_RATIO * self.states.len() {
            return Vec::new();
        }
        let Some((&number, subjects)) = self.segments.first_key_value() else { return Vec::new() };
        let live: Vec<(StateKey, Arc<str>)> = subjects
            .iter()
            .filter_map(|subject| {
                let (at, text) = self.states.get(subject)?;
                (*at == number).then(|| (Arc::clone(subject), Arc::clone(text)))
            })
            .collect();
        if live.is_empty() {
            return self.delete_segment(number);
        }
        self.carry_forward(live);
        Vec::new()
    }

    fn delete_segment(&mut self, number: u64) -> Vec<Output<S>> {
        self.flight = Flight::Trim(number);
        let key = keys::segment(&self.name, number);
        vec![Output::Call(Request::Delete { key, condition: Condition::Always })]
    }

    /// Writes live states of the oldest segment again, so that it can be deleted later.
    fn carry_forward(&mut self, live: Vec<(StateKey, Arc<str>)>) {
        for (subject, text) in live {
            if !self.pending.iter().any(|(waiting, _)| *waiting == subject) {
                self.pending.push_back((subject, text));
                self.writes += 1;
            }
        }
    }

    fn on_trim(&mut self, now: Now, number: u64, result: &StoreResult) -> Vec<Output<S>> {
        if !matches!(result, Ok(Response::Written { .. })) {
            self.retry_at = now + RETRY_INTERVAL;
            return Vec::new();
        }
        self.takeovers.remove(&number);
        let subjects = self.segments.remove(&number).unwrap_or_default();
        self.entry_count -= subjects.len();
        self.tick(now)
    }
}

//! Decides whether the fleet's owner has room for a submitted job.
//!
//! An entry reads the owner's note again once it has accepted jobs of some size since the last reading, so that ordinary
//! jobs cost few readings. Only a job that is large by itself waits for the note. See
//! [`jackdawpier_fleet::job_room`].

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use jackdawpier_fleet::job_room::JobRoomNote;
use jackdawpier_kernel::Now;
use tokio::{task::JoinHandle, time::timeout};

use crate::{
    clock,
    events::Events,
    keys,
    ports::{CallResult, Platform},
};

/// Divisor of the whole room that gives the size of accepted jobs after which the note is read again.
const CHECK_DIVISOR: usize = 1024;
/// Time by which a note may lag behind the accepted jobs.
const NOTE_LAG: Duration = Duration::from_secs(2);
/// Minimum time between two readings of the note.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time for which a large job waits for the note.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct State {
    /// The last note, or what counts without one.
    note: JobRoomNote,
    fetch_began_at: Option<Now>,
    /// Jobs that this entry accepted and that the note may not include, with their sizes.
    unconfirmed: VecDeque<(Now, usize)>,
    unconfirmed_bytes: usize,
}

impl State {
    fn admits(&self, job_bytes: usize) -> bool {
        self.note.admits(self.unconfirmed_bytes, job_bytes)
    }

    fn accept(&mut self, now: Now, job_bytes: usize) {
        self.unconfirmed.push_back((now, job_bytes));
        self.unconfirmed_bytes += job_bytes;
    }

    /// Drops the jobs that a note read at `now` includes.
    fn confirm(&mut self, now: Now) {
        while let Some((accepted_at, bytes)) = self.unconfirmed.front().copied()
            && now.saturating_sub(accepted_at) > NOTE_LAG
        {
            self.unconfirmed.pop_front();
            self.unconfirmed_bytes -= bytes;
        }
    }
}

#[derive(Debug)]
struct Inner {
    events: Events,
    /// The whole room of an owner on this machine.
    total_bytes: usize,
    state: RefCell<State>,
    is_fetching: Cell<bool>,
}

/// Waits for a reading of the note. Without an answer of the store the job can't be written either.
async fn wait_for(fetch: JoinHandle<()>) {
    let _ = timeout(FETCH_TIMEOUT, fetch).await;
}

/// Knows how much room the owner has for open jobs.
#[derive(Debug, Clone)]
pub struct JobRoomCheck(Rc<Inner>);

impl JobRoomCheck {
    /// Creates the check of an entry whose owner's room would be `total_bytes`.
    pub fn new(events: Events, total_bytes: usize) -> Self {
        let state = RefCell::new(State {
            note: JobRoomNote::unpublished(total_bytes),
            fetch_began_at: None,
            unconfirmed: VecDeque::new(),
            unconfirmed_bytes: 0,
        });
        Self(Rc::new(Inner { events, total_bytes, state, is_fetching: Cell::new(false) }))
    }

    /// Returns whether there is room for a job of this size, and counts the job if there is.
    pub async fn admit<P: Platform>(&self, platform: &P, job_bytes: usize) -> bool {
        let check_bytes = self.0.total_bytes / CHECK_DIVISOR;
        let unconfirmed_bytes = self.0.state.borrow().unconfirmed_bytes + job_bytes;
        let is_refused = !self.0.state.borrow().admits(job_bytes);
        if is_refused || unconfirmed_bytes > check_bytes {
            let fetch = self.start_fetch_if_due(platform);
            if let Some(fetch) = fetch.filter(|_| is_refused || job_bytes > check_bytes) {
                wait_for(fetch).await;
            }
        }
        let mut state = self.0.state.borrow_mut();
        let is_admitted = state.admits(job_bytes);
        if is_admitted {
            state.accept(clock::now(), job_bytes);
        }
        is_admitted
    }

    fn start_fetch_if_due<P: Platform>(&self, platform: &P) -> Option<JoinHandle<()>> {
        let began_at = self.0.state.borrow().fetch_began_at;
        let is_recent = |at: Now| clock::since(at) < FETCH_INTERVAL;
        if self.0.is_fetching.get() || began_at.is_some_and(is_recent) {
            return None;
        }
        self.0.is_fetching.set(true);
        let (check, platform) = (self.clone(), platform.clone());
        Some(tokio::task::spawn_local(async move { check.fetch(&platform).await }))
    }

    async fn fetch<P: Platform>(&self, platform: &P) {
        let began_at = clock::now();
        self.0.state.borrow_mut().fetch_began_at = Some(began_at);
        if let Ok(note) = self.read_note(platform).await {
            let mut state = self.0.state.borrow_mut();
            state.note = note.unwrap_or_else(|| JobRoomNote::unpublished(self.0.total_bytes));
            state.confirm(began_at);
        }
        self.0.is_fetching.set(false);
    }

    async fn read_note<P: Platform>(&self, platform: &P) -> CallResult<Option<JobRoomNote>> {
        let Some(item) = platform.get(keys::JOB_ROOM).await? else { return Ok(None) };
        let read = serde_json::from_slice(&item.value);
        let log = |error: &serde_json::Error| {
            self.0.events.emit_unreadable(keys::JOB_ROOM, &error.to_string());
        };
        Ok(read.inspect_err(log).ok())
    }
}

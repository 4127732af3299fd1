//! Publishes the load note while queues are overloaded, see [`crate::admission`].

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use jackdawpier_fleet::{
    admission::{LoadNote, QueueLoad},
    spec::QueueName,
};
use jackdawpier_kernel::Now;
use serde_json::json;

use super::Owner;
use crate::{
    clock, keys,
    ports::{CallResult, Platform, Transaction, TransactionOutcome},
};

/// Interval at which the load is measured. The end of an overload is published at once.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two notes during an overload, and between two attempts to write the last note.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Decides when a note is written: regularly while queues are overloaded, and once when the overload ends.
#[derive(Debug, Default)]
pub struct NoteSchedule {
    write_began_at: Option<Now>,
    is_writing: bool,
    /// Whether the last note that may be stored names overloaded queues.
    is_load_published: bool,
    /// Whether the last attempt was to write an empty note.
    was_empty: bool,
}

impl NoteSchedule {
    /// Returns whether to write a note with these queues now; [`Self::end_write`] has to follow. At most one write is
    /// in flight, so that an older note doesn't replace a newer one.
    pub fn begin_write(&mut self, now: Now, queues: &BTreeMap<QueueName, QueueLoad>) -> bool {
        let is_recent = |at: Now| now.saturating_sub(at) < PUBLISH_INTERVAL;
        let is_early = self.write_began_at.is_some_and(is_recent);
        let is_over = queues.is_empty() && !self.was_empty;
        let is_needed = !queues.is_empty() || self.is_load_published;
        if self.is_writing || !is_needed || (is_early && !is_over) {
            return false;
        }
        self.write_began_at = Some(now);
        self.is_writing = true;
        self.is_load_published = true;
        self.was_empty = queues.is_empty();
        true
    }

    /// Ends a write; `is_written` tells whether it certainly took effect.
    pub fn end_write(&mut self, is_written: bool) {
        self.is_writing = false;
        self.is_load_published = !(is_written && self.was_empty);
    }
}

impl<P: Platform> Owner<P> {
    pub(super) async fn publish_load(self: Rc<Self>) {
        let schedule = Rc::new(RefCell::new(NoteSchedule::default()));
        let mut overloaded_since: Option<Now> = None;
        while self.is_valid() {
            tokio::time::sleep(UPDATE_INTERVAL).await;
            let now = clock::now();
            let queues = self.fleet.borrow_mut().update_load(now);
            self.log_overload(now, &mut overloaded_since, &queues);
            if !self.is_valid() || !schedule.borrow_mut().begin_write(now, &queues) {
                continue;
            }
            let (owner, schedule) = (self.clone(), schedule.clone());
            tokio::task::spawn_local(async move {
                let note = LoadNote { at_ms: clock::wall_ms(), queues };
                let written = owner.write_load(&note).await;
                schedule.borrow_mut().end_write(written == Ok(true));
                if let Err(error) = written {
                    owner.events.emit("load_unpublished", json!({ "why": error.to_string() }));
                }
            });
        }
    }

    /// Writes the note under the condition that this entry is the owner. Returns whether it is stored.
    async fn write_load(&self, note: &LoadNote) -> CallResult<bool> {
        let value = serde_json::to_vec(note).expect("names and numbers can be written as JSON");
        let transaction = Transaction {
            expect: vec![(keys::OWNER.to_owned(), self.term.fence)],
            puts: vec![(keys::LOAD.to_owned(), value, None)],
            removes: Vec::new(),
        };
        match self.platform.commit(&transaction).await? {
            TransactionOutcome::Committed(_) => Ok(true),
            TransactionOutcome::Conflict(_) => {
                self.term.mark_lost();
                Ok(false)
            }
        }
    }

    /// Logs the beginning and the end of an overload in which jobs are rejected.
    fn log_overload(
        &self,
        now: Now,
        overloaded_since: &mut Option<Now>,
        queues: &BTreeMap<QueueName, QueueLoad>,
    ) {
        if queues.is_empty() {
            if let Some(since) = overloaded_since.take() {
                let lasted_ms = now.saturating_sub(since).as_millis() as u64;
                self.events.emit("overload_ended", json!({ "lasted_ms": lasted_ms }));
            }
        } else if overloaded_since.is_none() {
            *overloaded_since = Some(now);
            let accounts: usize = queues.values().map(|queue| queue.accounts.len()).sum();
            let fields = json!({ "queues": queues.len(), "accounts": accounts });
            self.events.emit("overload_began", fields);
        }
    }
}

//! Admission control: rejects a part of the jobs of accounts that exceed their share while queues are overloaded.
//!
//! The owner publishes a load note, and each entry keeps the latest one that it has read. A job is rejected only before
//! its write to the store, and no submission waits for a note: without a current one, all jobs are admitted. See
//! `docs/design/overload.md`.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use jackdawpier_fleet::{
    admission::{AccountLoad, Admission, LoadNote, NOTE_TTL, decide},
    spec::{JobSpec, QueueName, Submission},
};
use jackdawpier_kernel::{
    Now,
    ids::{AccountName, JobId},
};
use serde_json::json;
use tokio::time::timeout;

use crate::{
    clock,
    events::Events,
    keys,
    ports::{Configuration, Platform},
};

/// Minimum time between two reads of the note; the owner writes it as often.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Delay from the first rejected job to the report that contains it and the later ones.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of lines in a report. The metrics count all rejected jobs.
const MAX_LINES_PER_REPORT: usize = 10;

/// The latest load note, and when to read the next one.
#[derive(Debug, Default)]
pub struct NoteCache {
    note: Option<LoadNote>,
    /// When this entry first saw the note.
    seen_at: Now,
    fetch_began_at: Option<Now>,
    is_fetching: bool,
}

impl NoteCache {
    /// Returns whether to read the note now; [`Self::end_fetch`] has to follow.
    pub fn begin_fetch(&mut self, now: Now) -> bool {
        let is_recent = |at: Now| now.saturating_sub(at) < FETCH_INTERVAL;
        if self.is_fetching || self.fetch_began_at.is_some_and(is_recent) {
            return false;
        }
        self.fetch_began_at = Some(now);
        self.is_fetching = true;
        true
    }

    /// Ends a read with the stored note, or without a readable one.
    pub fn end_fetch(&mut self, now: Now, note: Option<LoadNote>) {
        self.is_fetching = false;
        let written_ms = |note: &Option<LoadNote>| note.as_ref().map(|note| note.at_ms);
        if written_ms(&note) != written_ms(&self.note) {
            self.seen_at = now;
            self.note = note;
        }
    }

    /// Ends a read without an answer: the last note stays in effect until it is too old.
    pub fn fail_fetch(&mut self) {
        self.is_fetching = false;
    }

    /// Returns the last note and the time since this entry first saw it.
    pub fn latest(&self, now: Now) -> (Option<&LoadNote>, Duration) {
        (self.note.as_ref(), now.saturating_sub(self.seen_at))
    }
}

/// Rejected jobs of an account since the last report.
#[derive(Debug, Default)]
struct Rejections {
    count: u64,
    load: AccountLoad,
}

#[derive(Debug)]
struct Inner {
    events: Events,
    note: RefCell<NoteCache>,
    rejections: RefCell<BTreeMap<(QueueName, AccountName), Rejections>>,
    /// Whether a report of the rejections is about to be written.
    is_reporting: Cell<bool>,
}

/// Decides which submitted jobs are passed to the store.
#[derive(Debug, Clone)]
pub struct AdmissionControl(Rc<Inner>);

impl AdmissionControl {
    /// Creates the admission control of an entry that has no note.
    pub fn new(events: Events) -> Self {
        Self(Rc::new(Inner {
            events,
            note: RefCell::default(),
            rejections: RefCell::default(),
            is_reporting: Cell::new(false),
        }))
    }

    /// Decides whether a job may be passed to the store. Only jobs of accounts with a weight and without long-running
    /// steps are limited; for these, a new note is read in the background if one is due.
    pub fn admit<P: Platform>(
        &self,
        platform: &P,
        configuration: &Configuration,
        id: &JobId,
        submission: &Submission,
    ) -> Admission {
        let now = clock::now();
        let account = submission.account.as_ref().filter(|name| has_weight(configuration, name));
        let Some(account) = account.filter(|_| !is_long_running(&submission.spec)) else {
            return Admission::Admit;
        };
        self.fetch_if_due(platform, now);
        let note = self.0.note.borrow();
        let (note, age) = note.latest(now);
        let queue = &submission.queue;
        let admission = decide(note, age, queue, Some(account), id, clock::wall_ms());
        if let Admission::Reject { .. } = admission {
            let load = note.and_then(|note| note.queues.get(queue)?.accounts.get(account));
            self.count_rejection(queue, account, load.copied().unwrap_or_default());
        }
        admission
    }

    fn fetch_if_due<P: Platform>(&self, platform: &P, now: Now) {
        if !self.0.note.borrow_mut().begin_fetch(now) {
            return;
        }
        let (control, platform) = (self.clone(), platform.clone());
        tokio::task::spawn_local(async move { control.fetch(&platform).await });
    }

    async fn fetch<P: Platform>(&self, platform: &P) {
        // After this time any note that is read would be outdated.
        let answer = timeout(NOTE_TTL, platform.get(keys::LOAD)).await;
        let mut cache = self.0.note.borrow_mut();
        let Ok(Ok(item)) = answer else { return cache.fail_fetch() };
        let read = item.map(|item| serde_json::from_slice(&item.value)).transpose();
        let note = read.unwrap_or_else(|error| {
            self.0.events.emit_unreadable(keys::LOAD, &error.to_string());
            None
        });
        cache.end_fetch(clock::now(), note);
    }

    /// Counts a rejected job, and starts a report unless one is about to be written.
    fn count_rejection(&self, queue: &QueueName, account: &AccountName, load: AccountLoad) {
        self.0.events.metrics().count_rejection(queue, account);
        let mut rejections = self.0.rejections.borrow_mut();
        let rejected = rejections.entry((queue.clone(), account.clone())).or_default();
        rejected.count += 1;
        rejected.load = load;
        if !self.0.is_reporting.replace(true) {
            let control = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(REPORT_INTERVAL).await;
                control.report();
            });
        }
    }

    /// Logs the accounts with the most rejected jobs since the last report.
    fn report(&self) {
        self.0.is_reporting.set(false);
        let rejections = self.0.rejections.take();
        let mut rejections: Vec<_> = rejections.into_iter().collect();
        rejections.sort_by_key(|(_, rejected)| std::cmp::Reverse(rejected.count));
        for ((queue, account), rejected) in rejections.into_iter().take(MAX_LINES_PER_REPORT) {
            let fields = json!({
                "queue": *queue,
                "account": *account,
                "count": rejected.count,
                "permille": rejected.load.admitted_permille,
                "retry_after_ms": rejected.load.retry_after_ms,
            });
            self.0.events.emit("turned_away", fields);
        }
    }
}

/// Whether an account has a share that its jobs can exceed.
fn has_weight(configuration: &Configuration, account: &AccountName) -> bool {
    configuration.accounts.iter().any(|one| one.name == *account && one.weight > 0.0)
}

/// Whether a job has tasks that run until it is cancelled. Such jobs are placed before all others.
fn is_long_running(spec: &JobSpec) -> bool {
    spec.steps.iter().any(|step| step.is_long_running)
}

//! Proving again and again that the configuration in force is the newest.
//!
//! Neither a watch without news proves that, since it may hear nothing, nor the time of an answer, since
//! the answer may have hung. What proves it is the time at which a question left whose answer was made
//! from the store's newest state. One entry asks for all, by a small write under the condition that the configuration
//! is unchanged, and the others read the note that it writes ([`shared_proof`]). An entry asks by itself
//! where a caller waits, and where the note stands still. A store that leaves writes undone is read instead.

use std::time::Duration;

use jackdawpier_kernel::{Now, ids::Revision};
use serde_json::json;
use tokio::time::timeout;

use crate::{
    clock,
    configuration::{ActiveConfiguration, adopt_item},
    events::Events,
    ports::{CallError, CallResult, Item, Platform, Transaction, TransactionOutcome},
    shared_proof::{self, Reading, SharedProof},
};

/// Time between two looks at the note where nobody asks for a proof.
const INTERVAL: Duration = Duration::from_millis(1200);
/// Least time between two questions, however many callers show keys that aren't known.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// The same after the store has turned a question away, so that it isn't pressed.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);
/// Time until an entry that found the note unchanged looks again, and the spread of it over the entries: who writes
/// late isn't gone, and of many that wait for it one has to be the first to write.
const DOUBT_PAUSE: Duration = Duration::from_millis(200);
const DOUBT_SPREAD: Duration = Duration::from_millis(400);
/// Time for the watch to begin to bring a configuration of which the note tells.
const WATCH_PATIENCE: Duration = Duration::from_millis(200);
/// Pause between two looks whether an answer is whole.
const ARRIVAL_LOOK: Duration = Duration::from_millis(20);
/// An entry whose write was turned away goes by the note for this long, and up to twice as long: hundreds of
/// entries that try again at once are turned away again.
const HOLD_BACK: Duration = Duration::from_millis(1000);
/// Time between two looks for callers meanwhile.
const HELD_BACK_PAUSE: Duration = Duration::from_millis(400);

/// Proves the configuration for as long as the process lives, where keys are asked for.
pub async fn prove_configuration<P: Platform>(
    platform: P,
    active: ActiveConfiguration,
    events: Events,
) {
    let mut was_proved = true;
    let mut prover = Prover::new(platform, active.clone(), events.clone());
    loop {
        // Whether it is time or a caller that waits decides how to ask.
        let is_wanted = timeout(prover.pause(), active.proof_requested()).await.is_ok();
        if !active.requires_keys() {
            tokio::time::sleep(LEAST_PAUSE).await;
            continue;
        }
        wait_for_arrivals(&active).await;
        let outcome = prover.step(is_wanted).await;
        let is_proved = active.proof().is_valid(clock::now());
        if is_proved != was_proved {
            report(is_proved, &outcome, &active, &events);
            was_proved = is_proved;
        }
        tokio::time::sleep(rest_after(&outcome)).await;
    }
}

/// Least pause before the next question, however many wait for it.
fn rest_after(outcome: &CallResult<()>) -> Duration {
    match outcome {
        Err(CallError::NotDone { .. }) => REFUSED_PAUSE,
        Ok(()) | Err(_) => LEAST_PAUSE,
    }
}

/// Keys can be vouched for from now on, or can't any more.
fn report(
    is_proved: bool,
    outcome: &CallResult<()>,
    active: &ActiveConfiguration,
    events: &Events,
) {
    let event = if is_proved { "keys_proved" } else { "keys_unproved" };
    let age_ms = active.proof_age().map(|age| age.as_millis() as u64);
    let why = outcome.as_ref().err().map(ToString::to_string);
    events.emit(event, json!({ "age_ms": age_ms, "why": why }));
}

/// Waits while the changed configuration is on its way: what is in force can't be proved any more, and a second copy
/// would halve the speed of the first.
async fn wait_for_arrivals(active: &ActiveConfiguration) {
    while active.is_receiving() {
        tokio::time::sleep(ARRIVAL_LOOK).await;
    }
}

/// Asks once whether the configuration has changed, and takes a newer one over.
pub(crate) async fn check_for_change<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
) -> CallResult<()> {
    let asked_at = clock::now();
    let key = platform.configuration_key();
    let expect = vec![(key.to_owned(), active.revision())];
    let nothing = Transaction { expect, ..Transaction::default() };
    let end = platform.commit(&nothing).await?;
    active.on_store_answer(asked_at);
    if let TransactionOutcome::Conflict(items) = end {
        let Some(newest) = items.into_iter().find(|item| item.key == key) else { return Ok(()) };
        adopt_item(platform, active, events, &newest);
        if newest.revision != active.revision() {
            return Ok(());
        }
    }
    active.on_proof(asked_at);
    Ok(())
}

/// What the next step is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// A look at the note, when it is time.
    Look,
    /// A look soon, and a write if the note is still unchanged.
    Doubt,
    /// A look at once: the last write may have been carried out though its answer doesn't say so.
    Check,
}

/// What keeps proving at one entry.
struct Prover<P> {
    platform: P,
    active: ActiveConfiguration,
    events: Events,
    shared: SharedProof,
    next: Next,
    /// Writes are turned away until then.
    held_back_until: Now,
    /// Newest configuration that the note has told of.
    told: Revision,
    /// Since when that has been newer than the one in force here.
    behind_since: Option<Now>,
    /// When the whole was last read here.
    read_at: Option<Now>,
}

impl<P: Platform> Prover<P> {
    fn new(platform: P, active: ActiveConfiguration, events: Events) -> Self {
        Self {
            platform,
            active,
            events,
            shared: SharedProof::default(),
            next: Next::Look,
            held_back_until: Now::ZERO,
            told: 0,
            behind_since: None,
            read_at: None,
        }
    }

    /// How long to wait for a caller before the next step.
    fn pause(&self) -> Duration {
        match self.next {
            Next::Look => INTERVAL,
            Next::Doubt => DOUBT_PAUSE + spread(DOUBT_SPREAD),
            Next::Check => Duration::ZERO,
        }
    }

    fn may_write(&self) -> bool {
        clock::now() >= self.held_back_until
    }

    async fn step(&mut self, is_wanted: bool) -> CallResult<()> {
        let step = std::mem::replace(&mut self.next, Next::Doubt);
        if is_wanted && step != Next::Check {
            if self.may_write() {
                return self.write().await;
            }
            tokio::time::sleep(HELD_BACK_PAUSE).await;
        }
        let is_own = self.shared.is_last_writer();
        let reading = self.look().await?;
        if self.is_behind_for_long() && !self.active.is_receiving() && !self.has_read_lately() {
            return self.read().await;
        }
        if self.next == Next::Look {
            return Ok(());
        }
        // The note tells of an older configuration than the one that is in force here already.
        let is_ahead = self.told > 0 && self.told < self.active.revision();
        let is_due = is_ahead || reading == Reading::Unchanged && (is_own || step == Next::Doubt);
        match step {
            Next::Check => self.after_failed_write().await,
            Next::Look | Next::Doubt if !is_due => Ok(()),
            Next::Look | Next::Doubt if self.may_write() => self.write().await,
            Next::Look | Next::Doubt => self.read_if_due().await,
        }
    }

    /// Whether the note has told of a newer configuration for longer than the watch needs to bring it.
    fn is_behind_for_long(&mut self) -> bool {
        if self.told <= self.active.revision() {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert_with(clock::now);
        clock::since(since) >= WATCH_PATIENCE
    }

    /// Reads the note and takes in what it shows.
    async fn look(&mut self) -> CallResult<Reading> {
        let asked_at = clock::now();
        let item = shared_proof::read_note(&self.platform).await?;
        self.active.on_store_answer(asked_at);
        let reading = self.shared.on_read(asked_at, item.as_ref());
        if let Reading::Confirmed { document, at } = reading {
            self.told = self.told.max(document);
            if document == self.active.revision() {
                self.active.on_proof(at);
                self.next = Next::Look;
            }
        }
        Ok(reading)
    }

    /// Asks by a write of the note, which proves the configuration here at once and elsewhere by the next look.
    async fn write(&mut self) -> CallResult<()> {
        let asked_at = clock::now();
        let document = self.active.revision();
        match shared_proof::write_note(&self.platform, document).await {
            Ok(TransactionOutcome::Committed(revision)) => {
                self.shared.on_written(asked_at, revision);
                self.told = self.told.max(document);
                self.active.on_store_answer(asked_at);
                self.active.on_proof(asked_at);
                self.next = Next::Look;
                Ok(())
            }
            Ok(TransactionOutcome::Conflict(items)) => {
                let key = self.platform.configuration_key();
                let newest = items.into_iter().find(|item| item.key == key);
                self.take(asked_at, newest.as_ref());
                Ok(())
            }
            Err(error) => {
                self.next = Next::Check;
                Err(error)
            }
        }
    }

    /// The store answers, though not to the write or without carrying it out.
    async fn after_failed_write(&mut self) -> CallResult<()> {
        self.held_back_until = clock::now() + HOLD_BACK + spread(HOLD_BACK);
        self.read_if_due().await
    }

    /// Reads the configuration where neither writes nor the note have proved it for too long.
    async fn read_if_due(&mut self) -> CallResult<()> {
        let proof = self.active.proof();
        let patience = proof.valid_for.map_or(INTERVAL, |valid_for| valid_for / 2);
        let is_old = proof.asked_at.is_none_or(|at| clock::since(at) >= patience);
        if is_old && !self.has_read_lately() { self.read().await } else { Ok(()) }
    }

    fn has_read_lately(&self) -> bool {
        self.read_at.is_some_and(|at| clock::since(at) < INTERVAL)
    }

    async fn read(&mut self) -> CallResult<()> {
        let asked_at = clock::now();
        self.read_at = Some(asked_at);
        let newest = self.platform.get(self.platform.configuration_key()).await?;
        self.take(asked_at, newest.as_ref());
        Ok(())
    }

    /// Takes over the newest configuration, as a question that left at `asked_at` has brought it.
    fn take(&mut self, asked_at: Now, newest: Option<&Item>) {
        self.active.on_store_answer(asked_at);
        let Some(newest) = newest else { return };
        adopt_item(&self.platform, &self.active, &self.events, newest);
        if newest.revision == self.active.revision() {
            self.active.on_proof(asked_at);
            self.next = Next::Look;
        } else {
            // It can't be used, and each conflict would bring it again.
            self.read_at = Some(clock::now());
            self.held_back_until = clock::now() + 2 * HOLD_BACK;
        }
    }
}

/// A part of a time that differs from entry to entry and from call to call. The clock can't give it: timers end at whole
/// milliseconds, so that entries that wake together would draw alike.
fn spread(most: Duration) -> Duration {
    most.mul_f64(rand::random())
}

impl ActiveConfiguration {
    /// Waits until the store has been asked after `since`, for `patience` at most, and returns whether
    /// it was and answered.
    pub async fn wait_for_proof_since(&self, since: Now, patience: Duration) -> bool {
        let is_since = || self.proof().asked_at.is_some_and(|asked_at| asked_at >= since);
        let waiting = async {
            while !is_since() {
                self.request_proof().await;
            }
        };
        timeout(patience, waiting).await.is_ok()
    }
}

//! Proves continuously that the configuration in force is the newest.
//!
//! A watch without changes is no proof, since it may have missed some, and neither is the time of an answer, which may
//! have been delayed. The proof is the time at which a request was sent whose answer reflects the store's newest
//! state. One entry proves for all, by a small write under the condition that the configuration is unchanged, and the
//! others read the note that it writes ([`shared_proof`]). An entry writes itself if a caller waits, or if the note
//! doesn't change. If the store doesn't carry out writes, the configuration is read instead.

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

/// Interval between reads of the note if no caller requests a proof.
const READ_INTERVAL: Duration = Duration::from_millis(1200);
/// Minimum time between two requests, however many callers send unknown keys.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two requests after the store has refused one, so that it isn't overloaded.
const REFUSED_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before an entry that found the note unchanged reads it again, and its jitter: the last writer may only be
/// late, and of many waiting entries one has to be the first to write.
const RECHECK_DELAY: Duration = Duration::from_millis(200);
const RECHECK_JITTER: Duration = Duration::from_millis(400);
/// Time for the watch to begin to deliver a configuration that the note announces.
const WATCH_GRACE: Duration = Duration::from_millis(200);
/// Interval between checks whether an answer is complete.
const RECEIVING_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum back-off of writes after a refused one; jitter up to doubles it, because hundreds of entries that retry at
/// once are refused again. The entry relies on the note meanwhile.
const WRITE_BACKOFF: Duration = Duration::from_millis(1000);
/// Interval between reads of the note for waiting callers during the back-off.
const BACKOFF_READ_INTERVAL: Duration = Duration::from_millis(400);

/// Proves the configuration for as long as the process runs, while keys are required.
pub async fn prove_configuration<P: Platform>(
    platform: P,
    active: ActiveConfiguration,
    events: Events,
) {
    let mut was_proved = true;
    let mut prover = Prover::new(platform, active.clone(), events.clone());
    loop {
        // A step that a caller requested may write at once.
        let is_wanted = timeout(prover.pause(), active.proof_requested()).await.is_ok();
        if !active.requires_keys() {
            tokio::time::sleep(MIN_REQUEST_INTERVAL).await;
            continue;
        }
        wait_while_receiving(&active).await;
        let outcome = prover.step(is_wanted).await;
        let is_proved = active.proof().is_valid(clock::now());
        if is_proved != was_proved {
            log_proof_change(is_proved, &outcome, &active, &events);
            was_proved = is_proved;
        }
        tokio::time::sleep(pause_after(&outcome)).await;
    }
}

/// Returns the minimum pause before the next request, however many callers wait for it.
fn pause_after(outcome: &CallResult<()>) -> Duration {
    match outcome {
        Err(CallError::NotDone { .. }) => REFUSED_REQUEST_INTERVAL,
        Ok(()) | Err(_) => MIN_REQUEST_INTERVAL,
    }
}

/// Logs that keys have become verifiable or unverifiable.
fn log_proof_change(
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

/// Waits while a changed configuration is being received: the one in force can't be proved any more, and a second
/// transfer would halve the speed of the first.
async fn wait_while_receiving(active: &ActiveConfiguration) {
    while active.is_receiving() {
        tokio::time::sleep(RECEIVING_CHECK_INTERVAL).await;
    }
}

/// Checks once whether the configuration has changed, and adopts a newer one.
pub(crate) async fn check_for_change<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
) -> CallResult<()> {
    let asked_at = clock::now();
    let key = platform.configuration_key();
    let expect = vec![(key.to_owned(), active.revision())];
    let condition = Transaction { expect, ..Transaction::default() };
    let outcome = platform.commit(&condition).await?;
    active.on_store_answer(asked_at);
    if let TransactionOutcome::Conflict(items) = outcome {
        let Some(newest) = items.into_iter().find(|item| item.key == key) else { return Ok(()) };
        adopt_item(platform, active, events, &newest);
        if newest.revision != active.revision() {
            return Ok(());
        }
    }
    active.on_proof(asked_at);
    Ok(())
}

/// The next step of the proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    /// Reads the note at the usual interval.
    Read,
    /// Reads the note soon, and writes it if it is still unchanged.
    Recheck,
    /// Reads the note at once: the last write has failed, but may have taken effect.
    VerifyWrite,
}

/// State of the proof at one entry.
struct Prover<P> {
    platform: P,
    active: ActiveConfiguration,
    events: Events,
    shared: SharedProof,
    next_step: NextStep,
    /// End of the writes' back-off.
    write_backoff_until: Now,
    /// Newest configuration that the note has announced.
    announced: Revision,
    /// When the announced configuration became newer than the one in force here.
    behind_since: Option<Now>,
    /// When this entry last read the configuration.
    read_at: Option<Now>,
}

impl<P: Platform> Prover<P> {
    fn new(platform: P, active: ActiveConfiguration, events: Events) -> Self {
        Self {
            platform,
            active,
            events,
            shared: SharedProof::default(),
            next_step: NextStep::Read,
            write_backoff_until: Now::ZERO,
            announced: 0,
            behind_since: None,
            read_at: None,
        }
    }

    /// Returns how long to wait for a caller's request before the next step.
    fn pause(&self) -> Duration {
        match self.next_step {
            NextStep::Read => READ_INTERVAL,
            NextStep::Recheck => RECHECK_DELAY + jitter(RECHECK_JITTER),
            NextStep::VerifyWrite => Duration::ZERO,
        }
    }

    fn may_write(&self) -> bool {
        clock::now() >= self.write_backoff_until
    }

    async fn step(&mut self, is_wanted: bool) -> CallResult<()> {
        let step = std::mem::replace(&mut self.next_step, NextStep::Recheck);
        if is_wanted && step != NextStep::VerifyWrite {
            if self.may_write() {
                return self.write_note().await;
            }
            tokio::time::sleep(BACKOFF_READ_INTERVAL).await;
        }
        let is_last_writer = self.shared.is_last_writer();
        let reading = self.read_note().await?;
        if self.has_missed_change() && !self.active.is_receiving() && !self.has_read_recently() {
            return self.read().await;
        }
        if self.next_step == NextStep::Read {
            return Ok(());
        }
        // The note announces an older configuration than the one in force here.
        let is_ahead = self.announced > 0 && self.announced < self.active.revision();
        let is_due = is_ahead
            || reading == Reading::Unchanged && (is_last_writer || step == NextStep::Recheck);
        match step {
            NextStep::VerifyWrite => self.after_failed_write().await,
            NextStep::Read | NextStep::Recheck if !is_due => Ok(()),
            NextStep::Read | NextStep::Recheck if self.may_write() => self.write_note().await,
            NextStep::Read | NextStep::Recheck => self.read_if_due().await,
        }
    }

    /// Whether the note has announced a newer configuration for longer than the watch needs to deliver it.
    fn has_missed_change(&mut self) -> bool {
        if self.announced <= self.active.revision() {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert_with(clock::now);
        clock::since(since) >= WATCH_GRACE
    }

    /// Reads the note and applies what it proves.
    async fn read_note(&mut self) -> CallResult<Reading> {
        let asked_at = clock::now();
        let item = shared_proof::read_note(&self.platform).await?;
        self.active.on_store_answer(asked_at);
        let reading = self.shared.on_read(asked_at, item.as_ref());
        if let Reading::Confirmed { document, at } = reading {
            self.announced = self.announced.max(document);
            if document == self.active.revision() {
                self.active.on_proof(at);
                self.next_step = NextStep::Read;
            }
        }
        Ok(reading)
    }

    /// Writes the note, which proves the configuration here at once and at the other entries by their next read.
    async fn write_note(&mut self) -> CallResult<()> {
        let asked_at = clock::now();
        let document = self.active.revision();
        match shared_proof::write_note(&self.platform, document).await {
            Ok(TransactionOutcome::Committed(revision)) => {
                self.shared.on_written(asked_at, revision);
                self.announced = self.announced.max(document);
                self.active.on_store_answer(asked_at);
                self.active.on_proof(asked_at);
                self.next_step = NextStep::Read;
                Ok(())
            }
            Ok(TransactionOutcome::Conflict(items)) => {
                let key = self.platform.configuration_key();
                let newest = items.into_iter().find(|item| item.key == key);
                self.adopt(asked_at, newest.as_ref());
                Ok(())
            }
            Err(error) => {
                self.next_step = NextStep::VerifyWrite;
                Err(error)
            }
        }
    }

    /// Starts the back-off after a write that the store has refused or not answered, while it answers reads.
    async fn after_failed_write(&mut self) -> CallResult<()> {
        self.write_backoff_until = clock::now() + WRITE_BACKOFF + jitter(WRITE_BACKOFF);
        self.read_if_due().await
    }

    /// Reads the configuration if neither writes nor the note have proved it recently.
    async fn read_if_due(&mut self) -> CallResult<()> {
        let proof = self.active.proof();
        let max_age = proof.valid_for.map_or(READ_INTERVAL, |valid_for| valid_for / 2);
        let is_old = proof.asked_at.is_none_or(|at| clock::since(at) >= max_age);
        if is_old && !self.has_read_recently() { self.read().await } else { Ok(()) }
    }

    fn has_read_recently(&self) -> bool {
        self.read_at.is_some_and(|at| clock::since(at) < READ_INTERVAL)
    }

    async fn read(&mut self) -> CallResult<()> {
        let asked_at = clock::now();
        self.read_at = Some(asked_at);
        let newest = self.platform.get(self.platform.configuration_key()).await?;
        self.adopt(asked_at, newest.as_ref());
        Ok(())
    }

    /// Adopts the newest configuration, from the answer to a request that was sent at `asked_at`.
    fn adopt(&mut self, asked_at: Now, newest: Option<&Item>) {
        self.active.on_store_answer(asked_at);
        let Some(newest) = newest else { return };
        adopt_item(&self.platform, &self.active, &self.events, newest);
        if newest.revision == self.active.revision() {
            self.active.on_proof(asked_at);
            self.next_step = NextStep::Read;
        } else {
            // The document is unusable, and each conflict would transfer it again.
            self.read_at = Some(clock::now());
            self.write_backoff_until = clock::now() + 2 * WRITE_BACKOFF;
        }
    }
}

/// Returns a random time up to `max`. The clock is no source of randomness here: timers end at whole milliseconds, so
/// that entries that wake together would draw the same value.
fn jitter(max: Duration) -> Duration {
    max.mul_f64(rand::random())
}

impl ActiveConfiguration {
    /// Waits for a proof by a request that was sent after `since`, at most for `max_wait`; returns whether there is
    /// one.
    pub async fn wait_for_proof_since(&self, since: Now, max_wait: Duration) -> bool {
        let is_since = || self.proof().asked_at.is_some_and(|asked_at| asked_at >= since);
        let waiting = async {
            while !is_since() {
                self.request_proof().await;
            }
        };
        timeout(max_wait, waiting).await.is_ok()
    }
}

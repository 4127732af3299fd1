//! Proving again and again that the configuration in force is the newest.
//!
//! Neither a watch without news proves that, since it may hear nothing, nor the time of an answer, since
//! the answer may have hung. What proves it is the time at which a question left whose answer was made
//! from the store's newest state. The question is a write of nothing under the condition that the
//! configuration is unchanged: some 200 bytes, and the answer that it has changed brings the new one. A store that loses
//! the answers of writes is read instead.

use std::time::Duration;

use jackdawpier_kernel::Now;
use serde_json::json;
use tokio::time::timeout;

use crate::{
    clock,
    configuration::{Active, take_item},
    events::Events,
    ports::{CallError, CallResult, Platform, Transaction, TransactionEnd},
};

/// Time between two proofs where nobody asks for one: three may fail before a key can't be relied on.
const INTERVAL: Duration = Duration::from_millis(1200);
/// Least time between two questions, however many callers show keys that aren't known.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// Pause after the store has turned a question away, so that it isn't pressed.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two looks whether an answer is whole.
const ARRIVAL_LOOK: Duration = Duration::from_millis(20);

/// Proves the configuration for as long as the process lives, where keys are asked for.
pub async fn prove<P: Platform>(platform: P, active: Active, events: Events) {
    let mut was_proved = true;
    let mut question = Question::Condition;
    let mut pause = INTERVAL;
    loop {
        // The other way of asking follows at once where the first has failed.
        if question == Question::Condition {
            // Whether it is time or a caller that waits makes no difference.
            let _ = timeout(pause, active.proof_wanted()).await;
        }
        if !active.asks_for_keys() {
            tokio::time::sleep(LEAST_PAUSE).await;
            continue;
        }
        wait_for_arrivals(&active).await;
        let outcome = ask_and_note(question, &platform, &active, &events).await;
        question = question.after(&outcome, active.proof().is_young(clock::now()));
        pause = if outcome.is_ok() { INTERVAL } else { REFUSED_PAUSE };
        let is_proved = active.proof().holds(clock::now());
        if is_proved != was_proved {
            report(is_proved, &outcome, &active, &events);
            was_proved = is_proved;
        }
        tokio::time::sleep(rest_after(&outcome)).await;
    }
}

/// Least pause before the next question, however many wait for it.
fn rest_after(outcome: &CallResult<bool>) -> Duration {
    match outcome {
        Err(CallError::NotDone { .. }) => REFUSED_PAUSE,
        Ok(_) | Err(_) => LEAST_PAUSE,
    }
}

/// Keys can be vouched for from now on, or can't any more.
fn report(is_proved: bool, outcome: &CallResult<bool>, active: &Active, events: &Events) {
    let event = if is_proved { "keys_proved" } else { "keys_unproved" };
    let age_ms = active.proof_age().map(|age| age.as_millis() as u64);
    let why = outcome.as_ref().err().map(ToString::to_string);
    events.emit(event, json!({ "age_ms": age_ms, "why": why }));
}

/// Waits while the store is sending something large, for as long as the last proof allows: it may be the changed
/// configuration, and a second copy would halve the speed of the first.
async fn wait_for_arrivals(active: &Active) {
    while active.is_receiving() && active.proof().is_young(clock::now()) {
        tokio::time::sleep(ARRIVAL_LOOK).await;
    }
}

/// Asks once whether the configuration has changed, and takes a newer one over.
pub(crate) async fn ask_for_change<P: Platform>(
    platform: &P,
    active: &Active,
    events: &Events,
) -> CallResult<bool> {
    ask_and_note(Question::Condition, platform, active, events).await
}

/// Asks, and notes that the store has answered and what that proves.
async fn ask_and_note<P: Platform>(
    question: Question,
    platform: &P,
    active: &Active,
    events: &Events,
) -> CallResult<bool> {
    let asked_at = clock::now();
    let is_newest = ask(question, platform, active, events).await?;
    active.heard(asked_at);
    if is_newest {
        active.proved(asked_at);
    }
    Ok(is_newest)
}

/// How the store is asked whether the configuration has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Question {
    /// By a write of nothing under the condition that it hasn't.
    Condition,
    /// By reading it.
    Reading,
}

impl Question {
    /// How to ask next. A store that turned the condition away does so for its rate; the document may be large, so it
    /// is read only once the last proof grows old.
    fn after(self, outcome: &CallResult<bool>, is_proof_young: bool) -> Self {
        match outcome {
            Ok(_) => Self::Condition,
            Err(CallError::NotDone { .. }) if is_proof_young => Self::Condition,
            Err(_) => self.other(),
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Condition => Self::Reading,
            Self::Reading => Self::Condition,
        }
    }
}

/// Asks whether the configuration in force is the newest, takes a newer one over, and returns whether
/// the newest is in force now.
async fn ask<P: Platform>(
    question: Question,
    platform: &P,
    active: &Active,
    events: &Events,
) -> CallResult<bool> {
    let key = platform.configuration_key();
    let newest = match question {
        Question::Condition => {
            let expect = vec![(key.to_owned(), active.revision())];
            let nothing = Transaction { expect, ..Transaction::default() };
            match platform.commit(&nothing).await? {
                TransactionEnd::Committed(_) => return Ok(true),
                TransactionEnd::Conflict(items) => items.into_iter().find(|item| item.key == key),
            }
        }
        Question::Reading => platform.get(key).await?,
    };
    let Some(newest) = newest else { return Ok(false) };
    take_item(platform, active, events, &newest);
    Ok(newest.revision == active.revision())
}

impl Active {
    /// Waits until the store has been asked after `since`, for `patience` at most, and returns whether
    /// it was and answered.
    pub async fn prove_since(&self, since: Now, patience: Duration) -> bool {
        let is_since = || self.proof().asked_at.is_some_and(|asked_at| asked_at >= since);
        let waiting = async {
            while !is_since() {
                self.want_proof().await;
            }
        };
        timeout(patience, waiting).await.is_ok()
    }
}

//! What speaks for a task being the cause when executors crash under it.
//!
//! An executor that crashes reports nothing, and all that it ran may be to blame. How the blame is
//! shared is in `docs/design/run_times.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::spec::RunNumber;

/// A run during which its executor crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the start.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// The executor had confirmed the start and was heard of lately; if not, the order may not have
    /// reached it, or the run may have ended.
    #[serde(rename = "c", default)]
    pub is_confirmed: bool,
    /// It may have been the start that the executor didn't survive: nothing was heard of it later.
    #[serde(rename = "s", default)]
    pub is_at_start: bool,
    /// Another task had just begun there and this one hadn't, so that the other is the likelier cause.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_likelier_cause: bool,
    /// It was watched, so that nothing else had begun there since it did.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_isolated: bool,
    /// Another task turned out to be the cause.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_other_cause: bool,
    /// How long the run had lived, at least and at most; none if this owner didn't see its start.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub run_time: Option<RunTimeBounds>,
}

/// How long a run had lived when its executor crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTimeBounds {
    /// From the confirmation of its start to the last that was heard, in milliseconds.
    pub least_ms: u64,
    /// From the order to start it to the first sign of the crash, in milliseconds.
    pub most_ms: u64,
}

impl Crash {
    /// Whether a second one like it leaves no doubt.
    fn is_strong_evidence(&self) -> bool {
        let is_open = !self.has_likelier_cause && !self.has_other_cause;
        self.is_sole_suspect() || (self.is_confirmed && self.is_at_start && is_open)
    }

    /// Whether it was certainly there and nothing else had begun since.
    fn is_sole_suspect(&self) -> bool {
        self.is_confirmed && self.is_isolated && !self.has_likelier_cause
    }
}

/// What follows from the crashes under a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It is placed like any other.
    None,
    /// It starts where nothing else starts beside it, until it has run for this long: then a crash
    /// tells which task it was, and takes no other one along that has just begun.
    Isolated(Duration),
    /// The evidence against it is plain: it isn't started again.
    Conclusive,
}

/// Crashes with which a task is given up, by how many of them it certainly ran during: what may not
/// have been its run counts for less, and is never the last of three. Five starts are all that a task
/// that crashes its executors may have.
const CONCLUSIVE_CRASHES: [usize; 4] = [5, 5, 4, 3];

/// Crashes after which the starts of a task are counted.
const MAX_CRASHES: usize = 3;
/// Crashes that are enough if they are telling: after the first the task was watched.
const CONCLUSIVE_STRONG_CRASHES: usize = 2;
/// Starts that a task may have after the third crash, whatever becomes of them.
const MAX_STARTS_AFTER: u32 = 2;
/// Some thirty times what a task that crashes its executor at once takes for that.
const ISOLATION_AT_START: Duration = Duration::from_millis(300);
/// For a task whose executors crashed later than that; most tasks are over by then.
const ISOLATION_AT_WORK: Duration = Duration::from_secs(2);

/// How long a task that lasts isn't started where the evidence against it may be an accident.
pub const BACKOFF_SUSPECT: Duration = Duration::from_secs(4);
/// The same after what hardly ever is one: two crashes right after its starts, or one on trial.
const BACKOFF_CONCLUSIVE: Duration = Duration::from_secs(60);

/// When a task that lasts is started again after a run that hasn't ended well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Like any other.
    AtOnce,
    /// On trial: once this time is over, where a crash could only be its own.
    After(Duration),
    /// No more: what isn't the cause of all these crashes has lived through one of its trials.
    Never,
}

/// Whether a task isn't started again once this run hasn't ended well. `refused` are runs that certainly
/// never began. One that `is_long_running` would be missed until its job is cancelled, so that it takes one more.
#[must_use]
pub fn is_given_up(
    crashes: &[Crash],
    run: RunNumber,
    refused: &[RunNumber],
    is_long_running: bool,
) -> bool {
    let max_crashes_with_sole_suspect = MAX_CRASHES + usize::from(is_long_running);
    let confirmed = crashes.iter().filter(|crash| crash.is_confirmed).count();
    let was_sole_suspect =
        confirmed >= CONCLUSIVE_STRONG_CRASHES && crashes.iter().any(Crash::is_sole_suspect);
    suspicion(crashes) == Suspicion::Conclusive
        || has_used_up_starts(crashes, run, refused)
        || (was_sole_suspect && crashes.len() >= max_crashes_with_sole_suspect)
}

/// Whether a task has used up its starts with this run. One that is always there with a likelier cause
/// never has.
fn has_used_up_starts(crashes: &[Crash], run: RunNumber, refused: &[RunNumber]) -> bool {
    let Some(third) = crashes.get(MAX_CRASHES - 1) else { return false };
    let is_certain = crashes.iter().any(|crash| crash.is_confirmed);
    let own = own(crashes).count();
    let is_known = own >= CONCLUSIVE_STRONG_CRASHES || (is_certain && own > 0);
    is_known && starts_after(third, run, refused) >= MAX_STARTS_AFTER
}

/// Starts of a task after its third crash that may have been carried out.
fn starts_after(third: &Crash, run: RunNumber, refused: &[RunNumber]) -> u32 {
    let never_began = refused.iter().filter(|refused| **refused > third.run).count() as u32;
    run.saturating_sub(third.run).saturating_sub(never_began)
}

/// Whether a task that lasts has crashed an executor on trial.
#[must_use]
pub fn has_crashed_on_probation(crashes: &[Crash]) -> bool {
    crashes.iter().skip(MAX_CRASHES).any(Crash::is_sole_suspect)
}

/// Whether a task may have crashed its executors after the same time in each run. One that is only there when they
/// crash hardly ever has.
fn run_times_agree(crashes: &[Crash]) -> bool {
    let run_times = || crashes.iter().filter_map(|crash| crash.run_time);
    let least = run_times().map(|run_time| run_time.least_ms).max().unwrap_or(0);
    let most = run_times().map(|run_time| run_time.most_ms).min().unwrap_or(u64::MAX);
    least <= most
}

/// When a task that lasts is started again after this run. One that isn't the cause would be missed until its job is
/// cancelled, so it is tried again, as often as a cause may be started: a trial tells them apart.
#[must_use]
pub fn retry(crashes: &[Crash], run: RunNumber, refused: &[RunNumber]) -> Retry {
    let third = crashes.get(MAX_CRASHES - 1);
    if third.is_some_and(|third| starts_after(third, run, refused) >= MAX_STARTS_AFTER) {
        return Retry::Never;
    }
    if !is_on_probation(crashes) {
        return Retry::AtOnce;
    }
    let at_once =
        crashes.iter().filter(|crash| crash.is_strong_evidence() && crash.is_at_start).count();
    let has_failed_alike = has_crashed_on_probation(crashes) && run_times_agree(crashes);
    let is_plain = at_once >= CONCLUSIVE_STRONG_CRASHES || has_failed_alike;
    Retry::After(if is_plain { BACKOFF_CONCLUSIVE } else { BACKOFF_SUSPECT })
}

/// Whether so much speaks against a task that lasts that each further start is a trial.
#[must_use]
pub fn is_on_probation(crashes: &[Crash]) -> bool {
    crashes.len() >= MAX_CRASHES || suspicion(crashes) == Suspicion::Conclusive
}

/// For how long a task is watched once it starts; none if it isn't. One that `is_long_running` and is tried again has to
/// live for as long as clears it.
#[must_use]
pub fn isolation_time(crashes: &[Crash], is_long_running: bool) -> Option<Duration> {
    match suspicion(crashes) {
        _ if is_long_running && is_on_probation(crashes) => Some(ISOLATION_AT_WORK),
        Suspicion::None if is_long_running => certain(crashes).next().map(|_| ISOLATION_AT_WORK),
        Suspicion::None => None,
        Suspicion::Isolated(time) => Some(time),
        Suspicion::Conclusive => is_long_running.then_some(ISOLATION_AT_WORK),
    }
}

/// Judges a task by its crashes. Those with a likelier cause only let it be watched, so that the next one has
/// none. It isn't watched for those that are explained, up to the third: any number of tasks may be alike.
#[must_use]
pub fn suspicion(crashes: &[Crash]) -> Suspicion {
    if crashes.is_empty() {
        return Suspicion::None;
    }
    let strong = crashes.iter().filter(|crash| crash.is_strong_evidence()).count();
    let confirmed = own(crashes).filter(|crash| crash.is_confirmed).count();
    let enough = CONCLUSIVE_CRASHES[confirmed.min(CONCLUSIVE_CRASHES.len() - 1)];
    let counts_all = crashes.len() >= MAX_CRASHES;
    if own(crashes).count() >= enough || strong >= CONCLUSIVE_STRONG_CRASHES {
        return Suspicion::Conclusive;
    }
    let counted = crashes.iter().filter(|crash| counts_all || !crash.has_other_cause);
    let (sudden, late): (Vec<&Crash>, Vec<&Crash>) = counted.partition(|crash| crash.is_at_start);
    match (sudden.len(), late.len()) {
        (0, 0 | 1) => Suspicion::None,
        (_, 0) => Suspicion::Isolated(ISOLATION_AT_START),
        _ => Suspicion::Isolated(ISOLATION_AT_WORK),
    }
}

/// Crashes during which a task was certainly there, and of which no likelier cause is known.
fn certain(crashes: &[Crash]) -> impl Iterator<Item = &Crash> {
    own(crashes).filter(|crash| crash.is_confirmed && !crash.has_other_cause)
}

/// Crashes that speak against the task itself.
fn own(crashes: &[Crash]) -> impl Iterator<Item = &Crash> {
    crashes.iter().filter(|crash| !crash.has_likelier_cause)
}

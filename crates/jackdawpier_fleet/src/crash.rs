//! Evidence that a task causes its executors to crash.
//!
//! A crashed executor reports nothing, so each task that it ran may be the cause. The attribution rules
//! are described in `docs/design/lives.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::spec::RunNumber;

/// A run during which its executor crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// Whether the executor had confirmed the start and answered recently. Otherwise the order may not have
    /// arrived, or the run may already have ended.
    #[serde(rename = "c", default)]
    pub is_confirmed: bool,
    /// Whether the executor may have crashed right at the start of the run: it didn't answer afterwards.
    #[serde(rename = "s", default)]
    pub is_at_start: bool,
    /// Whether another task had just started on the executor while this one had been running for longer,
    /// which makes the other one the likelier cause.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_likelier_cause: bool,
    /// Whether the start was isolated: nothing else had started on the executor since.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_isolated: bool,
    /// Whether another task was identified as the cause.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_other_cause: bool,
    /// Number of other tasks that may equally be the cause.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub alternatives: u32,
    /// Bounds of the run time until the crash; `None` if the run was started under a previous owner.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub run_time: Option<RunTimeBounds>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde requires a reference")]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Bounds of the time that a run had been running when its executor crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTimeBounds {
    /// From the confirmation of the start to the executor's last answer, in milliseconds.
    pub least_ms: u64,
    /// From the start order to the first sign of the crash, in milliseconds.
    pub most_ms: u64,
}

impl Crash {
    /// Returns whether two such crashes are conclusive.
    fn is_strong_evidence(&self) -> bool {
        let is_open = !self.has_likelier_cause && !self.has_other_cause;
        self.is_sole_suspect() || (self.is_confirmed && self.is_at_start && is_open)
    }

    /// Returns whether the task was certainly running and nothing else had started since.
    fn is_sole_suspect(&self) -> bool {
        self.is_confirmed && self.is_isolated && !self.has_likelier_cause
    }
}

/// Suspicion against a task, derived from the crashes of its executors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// The task is placed like any other.
    None,
    /// The start of the task is isolated: nothing else starts on its executor until it has run for this
    /// time. A crash can then be attributed, and affects no other task that has just started.
    Isolated(Duration),
    /// The evidence is conclusive: the task isn't started again.
    Conclusive,
}

/// Number of crashes after which a task is given up, indexed by the number of confirmed ones. Unconfirmed
/// crashes weigh less and never complete the three. A task that crashes its executors gets at most five
/// starts.
const CONCLUSIVE_CRASHES: [usize; 4] = [5, 5, 4, 3];

/// Number of crashes after which further starts of a task are limited.
const START_LIMIT_CRASHES: usize = 3;
/// Number of crashes with strong evidence that are conclusive; the start after the first was isolated.
const CONCLUSIVE_STRONG_CRASHES: usize = 2;
/// Maximum number of starts after the third crash, whatever their outcome.
const MAX_STARTS_AFTER_LIMIT: u32 = 2;
/// Isolation of tasks whose executors crashed at the start: about thirty times the time that such a crash
/// takes.
const ISOLATION_AT_START: Duration = Duration::from_millis(300);
/// Isolation of tasks whose executors crashed later; most tasks have ended by then.
const ISOLATION_AT_WORK: Duration = Duration::from_secs(2);

/// Back-off of a long-running task whose crashes may be unrelated to it.
pub const BACKOFF_SUSPECT: Duration = Duration::from_secs(4);
/// Back-off of a long-running task whose crashes are hardly ever unrelated to it: two crashes right after
/// its starts, or one on probation.
const BACKOFF_CONCLUSIVE: Duration = Duration::from_secs(60);

/// When a long-running task is started again after a run that didn't complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Immediately, like any other task.
    AtOnce,
    /// On probation: after this back-off, with an isolated start.
    After(Duration),
    /// Not again: a task that isn't the cause would have survived one of its runs on probation.
    Never,
}

/// Returns whether a task isn't started again after `run` didn't complete. `refused` are runs that certainly
/// never started. A long-running task would be missing until its job is cancelled, so it takes one more crash.
#[must_use]
pub fn is_given_up(
    crashes: &[Crash],
    run: RunNumber,
    refused: &[RunNumber],
    is_long_running: bool,
) -> bool {
    let max_crashes_with_sole_suspect = START_LIMIT_CRASHES + usize::from(is_long_running);
    let confirmed = crashes.iter().filter(|crash| crash.is_confirmed).count();
    let was_sole_suspect =
        confirmed >= CONCLUSIVE_STRONG_CRASHES && crashes.iter().any(Crash::is_sole_suspect);
    suspicion(crashes) == Suspicion::Conclusive
        || has_used_up_starts(crashes, run, refused)
        || (was_sole_suspect && crashes.len() >= max_crashes_with_sole_suspect)
}

/// Returns whether `run` was the last start that a task may have. Never true for a task whose crashes all
/// have a likelier cause.
fn has_used_up_starts(crashes: &[Crash], run: RunNumber, refused: &[RunNumber]) -> bool {
    let Some(third) = crashes.get(START_LIMIT_CRASHES - 1) else { return false };
    let is_any_confirmed = crashes.iter().any(|crash| crash.is_confirmed);
    let without_likelier_cause = without_likelier_cause(crashes).count();
    let has_enough_evidence = without_likelier_cause >= CONCLUSIVE_STRONG_CRASHES
        || (is_any_confirmed && without_likelier_cause > 0);
    has_enough_evidence && starts_after_limit(third, run, refused) >= MAX_STARTS_AFTER_LIMIT
}

/// Returns the number of starts after the third crash that may have been executed.
fn starts_after_limit(third: &Crash, run: RunNumber, refused: &[RunNumber]) -> u32 {
    let never_started = refused.iter().filter(|refused| **refused > third.run).count() as u32;
    run.saturating_sub(third.run).saturating_sub(never_started)
}

/// Returns whether an executor of a long-running task crashed during probation.
#[must_use]
pub fn has_crashed_on_probation(crashes: &[Crash]) -> bool {
    crashes.iter().skip(START_LIMIT_CRASHES).any(Crash::is_sole_suspect)
}

/// Returns whether the executors may have crashed after the same run time of the task each time. That is
/// hardly ever the case for a task that isn't the cause.
fn run_times_agree(crashes: &[Crash]) -> bool {
    let run_times = || crashes.iter().filter_map(|crash| crash.run_time);
    let least = run_times().map(|run_time| run_time.least_ms).max().unwrap_or(0);
    let most = run_times().map(|run_time| run_time.most_ms).min().unwrap_or(u64::MAX);
    least <= most
}

/// Determines when a long-running task is started again after `run`. A task that isn't the cause would be
/// missing until its job is cancelled, so it is retried as often as a cause may be started: the run on
/// probation distinguishes the two.
#[must_use]
pub fn retry(crashes: &[Crash], run: RunNumber, refused: &[RunNumber]) -> Retry {
    let third = crashes.get(START_LIMIT_CRASHES - 1);
    if third.is_some_and(|third| starts_after_limit(third, run, refused) >= MAX_STARTS_AFTER_LIMIT)
    {
        return Retry::Never;
    }
    if !is_on_probation(crashes) {
        return Retry::AtOnce;
    }
    let strong_at_start =
        crashes.iter().filter(|crash| crash.is_strong_evidence() && crash.is_at_start).count();
    let has_crashed_alike = has_crashed_on_probation(crashes) && run_times_agree(crashes);
    let is_conclusive = strong_at_start >= CONCLUSIVE_STRONG_CRASHES || has_crashed_alike;
    Retry::After(if is_conclusive { BACKOFF_CONCLUSIVE } else { BACKOFF_SUSPECT })
}

/// Returns whether the evidence puts each further start of a long-running task on probation.
#[must_use]
pub fn is_on_probation(crashes: &[Crash]) -> bool {
    crashes.len() >= START_LIMIT_CRASHES || suspicion(crashes) == Suspicion::Conclusive
}

/// Returns for how long the start of a task is isolated; `None` if it isn't. A long-running task on probation
/// is isolated until it has run long enough to be cleared.
#[must_use]
pub fn isolation_time(crashes: &[Crash], is_long_running: bool) -> Option<Duration> {
    match suspicion(crashes) {
        _ if is_long_running && is_on_probation(crashes) => Some(ISOLATION_AT_WORK),
        Suspicion::None if is_long_running => {
            confirmed_without_other_cause(crashes).next().map(|_| ISOLATION_AT_WORK)
        }
        Suspicion::None => None,
        Suspicion::Isolated(time) => Some(time),
        Suspicion::Conclusive => is_long_running.then_some(ISOLATION_AT_WORK),
    }
}

/// Assesses a task by the crashes of its executors. Crashes with a likelier cause only lead to isolation, so
/// that the next crash has no other candidate. Crashes with another known cause don't lead to isolation
/// before the third: any number of tasks of the same kind may have been affected.
#[must_use]
pub fn suspicion(crashes: &[Crash]) -> Suspicion {
    if crashes.is_empty() {
        return Suspicion::None;
    }
    let strong = crashes.iter().filter(|crash| crash.is_strong_evidence()).count();
    let confirmed = without_likelier_cause(crashes).filter(|crash| crash.is_confirmed).count();
    let conclusive_crashes = CONCLUSIVE_CRASHES[confirmed.min(CONCLUSIVE_CRASHES.len() - 1)];
    let counts_other_causes = crashes.len() >= START_LIMIT_CRASHES;
    if without_likelier_cause(crashes).count() >= conclusive_crashes
        || strong >= CONCLUSIVE_STRONG_CRASHES
    {
        return Suspicion::Conclusive;
    }
    let counted = crashes.iter().filter(|crash| counts_other_causes || !crash.has_other_cause);
    let (at_start, later): (Vec<&Crash>, Vec<&Crash>) =
        counted.partition(|crash| crash.is_at_start);
    match (at_start.len(), later.len()) {
        (0, 0 | 1) => Suspicion::None,
        (_, 0) => Suspicion::Isolated(ISOLATION_AT_START),
        _ => Suspicion::Isolated(ISOLATION_AT_WORK),
    }
}

/// Returns the number of other possible causes of the crash that has the fewest: the strongest evidence against a
/// task.
#[must_use]
pub fn fewest_alternatives(crashes: &[Crash]) -> u32 {
    crashes.iter().map(|crash| crash.alternatives).min().unwrap_or_default()
}

/// Returns the crashes during which the task was certainly running and that have no likelier or known other
/// cause.
fn confirmed_without_other_cause(crashes: &[Crash]) -> impl Iterator<Item = &Crash> {
    without_likelier_cause(crashes).filter(|crash| crash.is_confirmed && !crash.has_other_cause)
}

/// Returns the crashes without a likelier cause.
fn without_likelier_cause(crashes: &[Crash]) -> impl Iterator<Item = &Crash> {
    crashes.iter().filter(|crash| !crash.has_likelier_cause)
}

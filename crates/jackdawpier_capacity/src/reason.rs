//! Typed reasons of decisions, as shown by `explain`, logs and traces.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason why an instance is moved.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The learned demand pattern predicts growth.
    #[display("demand is expected to grow")]
    DemandGrows,
    /// The pool would no longer survive the loss of its worst failure domain.
    #[display("the pool would not survive its worst failure domain")]
    RestoresMargin,
    /// A maintenance wave takes instances out of the pool, which has no slack of its own.
    #[display("a maintenance wave takes instances out of the pool")]
    CarriesWave,
    /// The pool has more instances than it needs now and in the near future.
    #[display("the pool has more instances than it needs")]
    DemandFell,
    /// Too many of the pool's instances are in one failure domain.
    #[display("too many instances of the pool are in one failure domain")]
    Spread,
}

/// Reason why an instance may not be taken out of service for maintenance now.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// Its class would not survive the loss of its worst failure domain.
    #[display("its class would not survive the loss of its worst failure domain")]
    Budget,
    /// The canary instances have not returned healthy yet.
    #[display("the canary is not back yet")]
    Canary,
    /// The wave is paused by an operator.
    #[display("the wave is paused")]
    Paused,
    /// The wave paused itself because too many of its recent steps failed.
    #[display("the wave stopped itself")]
    CorrelatedFailures,
    /// The allowance of this holder is exhausted.
    #[display("the allowance is spent")]
    Allowance,
}

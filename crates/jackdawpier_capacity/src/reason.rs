//! Typed reasons of every decision, as `explain`, the logs and the traces show them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why an instance is moved, or is not.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The learned pattern says that demand is about to grow.
    #[display("demand is about to grow")]
    DemandGrows,
    /// The pool would no longer survive the loss of its worst failure domain.
    #[display("the pool would not survive its worst failure domain")]
    RestoresMargin,
    /// A wave goes through the pool, which has no slack of its own.
    #[display("a wave goes through the pool")]
    CarriesWave,
    /// The pool has more than it will need for some time.
    #[display("the pool has more than it needs")]
    DemandFell,
    /// The pool leans on one failure domain too much.
    #[display("the pool leans on one failure domain")]
    Spread,
}

/// Why an instance may not be taken out for maintenance now.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// Its class would not survive the loss of its worst failure domain.
    #[display("its class would not survive the loss of its worst failure domain")]
    Budget,
    /// The canary has not come back healthy yet.
    #[display("the canary is not back yet")]
    Canary,
    /// The wave is paused by an operator.
    #[display("the wave is paused")]
    Paused,
    /// The wave stopped itself: what it touched fails more than the rest.
    #[display("the wave stopped itself")]
    CorrelatedFailures,
    /// The allowances of this holder are spent.
    #[display("the allowance is spent")]
    Allowance,
}

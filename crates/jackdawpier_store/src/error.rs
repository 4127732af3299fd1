//! Errors of a call to the store, distinguished by whether it may have taken effect.

use derive_more::{Display, Error};

/// Reason why a call returned no usable answer.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect.
    #[display("the store is unavailable: {detail}")]
    Unavailable {
        /// Description of the failure.
        detail: String,
    },
    /// The call may have taken effect; read the record again before deciding.
    #[display("the store's answer was lost: {detail}")]
    Ambiguous {
        /// Description of the failure.
        detail: String,
    },
}

impl StoreError {
    /// Returns an error for a call that had no effect.
    pub fn unavailable(detail: impl ToString) -> Self {
        Self::Unavailable { detail: detail.to_string() }
    }

    /// Returns an error for a call that may have taken effect.
    pub fn ambiguous(detail: impl ToString) -> Self {
        Self::Ambiguous { detail: detail.to_string() }
    }
}

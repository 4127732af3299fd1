//! Failures of a call to the store, told apart by what may have happened.

use derive_more::{Display, Error};

/// Why a call gave no usable answer.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call certainly had no effect.
    #[display("the store is unavailable: {detail}")]
    Unavailable {
        /// What failed.
        detail: String,
    },
    /// The call may have taken effect; read back before deciding.
    #[display("the store's answer was lost: {detail}")]
    Ambiguous {
        /// What failed.
        detail: String,
    },
}

impl StoreError {
    /// Returns an error for a call that certainly had no effect.
    pub fn unavailable(detail: impl ToString) -> Self {
        Self::Unavailable { detail: detail.to_string() }
    }

    /// Returns an error for a call that may have taken effect.
    pub fn ambiguous(detail: impl ToString) -> Self {
        Self::Ambiguous { detail: detail.to_string() }
    }
}

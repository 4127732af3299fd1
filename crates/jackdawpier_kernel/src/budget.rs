//! Token bucket filled by events rather than by time, so that it bounds a ratio.
//!
//! Retries are allowed as a share of the traffic: a budget by time would let retries multiply
//! exactly when traffic drops because everything fails. See `docs/design/retries.md`.

/// Share-of-traffic budget, in thousandths of a token.
#[derive(Debug, Clone)]
pub struct ShareBudget {
    deposit_permille: u32,
    cap: u32,
    level: u32,
}

impl ShareBudget {
    const TOKEN_PERMILLE: u32 = 1000;

    /// Returns a budget that earns `share_permille` thousandths of a token an event and holds at
    /// most `cap` whole tokens. It starts full, so that the first requests after a start can be
    /// retried too; the whole is bounded by the share of the events and `cap`.
    pub fn new(share_permille: u32, cap: u32) -> Self {
        Self {
            deposit_permille: share_permille,
            cap: cap * Self::TOKEN_PERMILLE,
            level: cap * Self::TOKEN_PERMILLE,
        }
    }

    /// Counts one ordinary event.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.deposit_permille).min(self.cap);
    }

    /// Takes one token, or returns false when the budget is spent.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        if self.level < Self::TOKEN_PERMILLE {
            return false;
        }
        self.level -= Self::TOKEN_PERMILLE;
        true
    }
}

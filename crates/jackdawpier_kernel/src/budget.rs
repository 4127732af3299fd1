//! Token bucket that is filled by events instead of time, so it bounds a ratio.
//!
//! It limits retries to a share of the traffic. A bucket filled by time would allow a higher share
//! of retries exactly when traffic drops because requests fail. See `docs/design/retries.md`.

/// Token bucket filled by a fixed amount per event; all amounts are in thousandths of a token.
#[derive(Debug, Clone)]
pub struct ShareBudget {
    deposit_permille: u32,
    cap: u32,
    level: u32,
}

impl ShareBudget {
    const TOKEN_PERMILLE: u32 = 1000;

    /// Returns a budget that gains `share_permille` thousandths of a token per event and holds at
    /// most `cap` whole tokens. It starts full, so the first requests after a start can be retried
    /// too. The total number of withdrawals is at most `cap` plus the share of the events.
    pub fn new(share_permille: u32, cap: u32) -> Self {
        Self {
            deposit_permille: share_permille,
            cap: cap * Self::TOKEN_PERMILLE,
            level: cap * Self::TOKEN_PERMILLE,
        }
    }

    /// Adds the share of one event.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.deposit_permille).min(self.cap);
    }

    /// Withdraws one token; returns false if there is none.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        if self.level < Self::TOKEN_PERMILLE {
            return false;
        }
        self.level -= Self::TOKEN_PERMILLE;
        true
    }
}

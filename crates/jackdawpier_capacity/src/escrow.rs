//! Availability budgets shared by several holders without coordination (escrow).
//!
//! A class's budget is split into allowances, one per holder, each stored in the holder's cell. An
//! allowance is spent before a maintenance step starts and refunded after the step has ended. A
//! transfer between holders takes two durable writes: the sender's record is debited first, the
//! receiver's credited second. A crash between the two leaves the transfer pending and never
//! duplicates it. See `docs/design/escrow.md`.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Id of a transfer, chosen by its sender.
pub type TransferId = u64;

/// Allowance of one holder for one class, as stored in the holder's cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Instances that this holder may take out of service.
    pub granted: u32,
    /// Instances that it has taken out of service, plus failed ones.
    pub spent: u32,
    /// Sent transfers whose receipt isn't confirmed yet.
    pub leaving: BTreeMap<TransferId, u32>,
    /// Received transfers, kept to detect duplicates.
    pub arrived: BTreeMap<TransferId, u32>,
}

/// Error of an operation on an [`Allowance`].
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum EscrowError {
    /// The remaining allowance is too small.
    #[display("the allowance is exhausted")]
    Exhausted,
}

impl Allowance {
    /// Returns an allowance of `granted` instances.
    pub fn new(granted: u32) -> Self {
        Self { granted, ..Self::default() }
    }

    /// Returns the number of instances that may still be taken out of service.
    pub fn remaining(&self) -> u32 {
        self.granted.saturating_sub(self.spent)
    }

    /// Spends one instance; call it before a maintenance step starts.
    pub fn spend(&mut self) -> Result<(), EscrowError> {
        if self.remaining() == 0 {
            return Err(EscrowError::Exhausted);
        }
        self.spent += 1;
        Ok(())
    }

    /// Charges an unplanned failure, even if that exceeds the granted amount.
    pub fn charge_failure(&mut self) {
        self.spent += 1;
    }

    /// Refunds one instance after a step has ended or a failed instance has recovered.
    pub fn refund(&mut self) {
        self.spent = self.spent.saturating_sub(1);
    }

    /// Debits `count` for another holder. The change must be durable before the receiver calls
    /// [`Allowance::receive`].
    pub fn send(&mut self, transfer: TransferId, count: u32) -> Result<(), EscrowError> {
        if self.remaining() < count {
            return Err(EscrowError::Exhausted);
        }
        self.granted -= count;
        self.leaving.insert(transfer, count);
        Ok(())
    }

    /// Credits a transfer; a duplicate changes nothing.
    pub fn receive(&mut self, transfer: TransferId, count: u32) {
        if self.arrived.insert(transfer, count).is_none() {
            self.granted += count;
        }
    }

    /// Removes a sent transfer once its receipt is durable.
    pub fn confirm(&mut self, transfer: TransferId) {
        self.leaving.remove(&transfer);
    }
}

//! Availability budgets that hold across several holders.
//!
//! A class's budget is split into allowances, one for each holder's cell. An allowance is spent
//! before a step starts and given back after it ended; allowances move between cells in two
//! writes, first out of the giver's record and then into the taker's. A cut in between leaves an
//! allowance in transit, never a doubled one. See `docs/design/escrow.md`.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Identity of a transfer, chosen by its giver.
pub type TransferId = u64;

/// The allowance record of one holder for one class; stored in its cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Instances that this holder may take out.
    pub granted: u32,
    /// Instances that it has taken out.
    pub spent: u32,
    /// Transfers given away whose arrival is not confirmed yet.
    pub leaving: BTreeMap<TransferId, u32>,
    /// Transfers taken in, so that a repeat is recognised.
    pub arrived: BTreeMap<TransferId, u32>,
}

/// An allowance can't be changed as asked.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum EscrowError {
    /// Everything granted is spent.
    #[display("the allowance is spent")]
    Exhausted,
}

impl Allowance {
    /// Returns an allowance of `granted` instances.
    pub fn new(granted: u32) -> Self {
        Self { granted, ..Self::default() }
    }

    /// Instances that may still be taken out.
    pub fn remaining(&self) -> u32 {
        self.granted.saturating_sub(self.spent)
    }

    /// Spends one, before a step starts.
    pub fn spend(&mut self) -> Result<(), EscrowError> {
        if self.remaining() == 0 {
            return Err(EscrowError::Exhausted);
        }
        self.spent += 1;
        Ok(())
    }

    /// Charges an unplanned failure first: it counts even beyond what is granted.
    pub fn charge_failure(&mut self) {
        self.spent += 1;
    }

    /// Gives one back, after a step ended or a failed instance returned.
    pub fn refund(&mut self) {
        self.spent = self.spent.saturating_sub(1);
    }

    /// Takes `count` out for another holder. To be durable before [`Allowance::receive`] is tried.
    pub fn send(&mut self, transfer: TransferId, count: u32) -> Result<(), EscrowError> {
        if self.remaining() < count {
            return Err(EscrowError::Exhausted);
        }
        self.granted -= count;
        self.leaving.insert(transfer, count);
        Ok(())
    }

    /// Takes a transfer in; a repeat changes nothing.
    pub fn receive(&mut self, transfer: TransferId, count: u32) {
        if self.arrived.insert(transfer, count).is_none() {
            self.granted += count;
        }
    }

    /// Forgets a transfer whose arrival is durable.
    pub fn confirm(&mut self, transfer: TransferId) {
        self.leaving.remove(&transfer);
    }
}

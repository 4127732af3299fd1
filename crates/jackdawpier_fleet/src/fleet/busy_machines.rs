//! Chooses busy machines for pools that lack machines for primary demand.
//!
//! Machines that run late work are refilled from the backlog before they become idle. If only idle
//! machines moved, on-time work of other pools would lack machines for the whole of an overload.
//! See `docs/design/overload.md#3-machines-for-on-time-work`.

use std::{cmp::Reverse, time::Duration};

use crate::machines::MachineId;

/// Time from choosing a busy machine until it accepts work in its new pool: a move takes 1.5 s, and
/// stopping late tasks with the last on-time ones beside them about a second.
const TIME_TO_ARRIVAL: Duration = Duration::from_millis(2500);
/// Machines whose on-time tasks are expected to run longer than this aren't taken. Vacating them
/// takes longer than most bursts.
const MAX_ON_TIME_REMAINING: Duration = Duration::from_secs(2);
/// A machine whose tasks end within this time counts as idle soon. Vacating a busy one instead
/// wouldn't be faster.
const SOON: Duration = Duration::from_secs(1);

/// A machine that runs tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BusyMachine {
    /// Name of the machine.
    pub id: MachineId,
    /// Whether it runs long-running tasks. Such a machine is never taken.
    pub has_long_running: bool,
    /// CPU that its tasks of primary jobs use.
    pub primary_millicores: u64,
    /// Number of its tasks whose jobs are late or exceed the share of their client account.
    pub secondary_tasks: usize,
    /// Longest remaining estimate of its tasks that can be on time.
    pub on_time_remaining: Duration,
    /// Longest remaining estimate of its tasks.
    pub remaining: Duration,
}

impl BusyMachine {
    /// Returns whether the machine becomes idle by itself before a taken one would be vacated.
    pub(super) fn is_idle_soon(&self) -> bool {
        !self.has_long_running && self.remaining <= SOON
    }

    /// Returns whether taking the machine gains time. A machine with primary work alone stays: its
    /// pool needs it, or it becomes idle by itself.
    fn is_movable(&self) -> bool {
        !self.has_long_running
            && self.secondary_tasks > 0
            && self.on_time_remaining <= MAX_ON_TIME_REMAINING
    }
}

/// A pool that may give up busy machines.
#[derive(Debug)]
pub struct Donor<'a> {
    /// Machines beyond the pool's primary demand and its minimum share.
    pub surplus: usize,
    /// Its busy machines.
    pub machines: &'a [BusyMachine],
}

/// Returns the takeable machine with the least primary work, and of those the one whose tasks end
/// soonest, from the donor with the largest surplus that has one. `can_move` tells whether a machine
/// may move to the pool that needs it.
pub fn choose_busy_machine<'a>(
    donors: impl IntoIterator<Item = Donor<'a>>,
    can_move: impl Fn(&MachineId) -> bool,
) -> Option<&'a BusyMachine> {
    let mut donors: Vec<Donor<'a>> = donors.into_iter().filter(|one| one.surplus > 0).collect();
    donors.sort_by_key(|donor| Reverse(donor.surplus));
    donors.into_iter().find_map(|donor| {
        let machines = donor.machines.iter();
        machines
            .filter(|machine| machine.is_movable() && can_move(&machine.id))
            .min_by_key(|machine| (machine.primary_millicores, machine.remaining, &machine.id))
    })
}

/// Primary demand of a pool, with the remaining work of its short tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemandForecast {
    /// CPU of long-running tasks.
    pub long_running_millicores: u64,
    /// CPU of all other tasks, running or waiting.
    pub short_millicores: u64,
    /// Remaining work of these tasks, in thousandths of a core times milliseconds.
    pub short_millicore_ms: u128,
    /// CPU that work arriving at the current rate needs.
    pub arriving_millicores: u64,
}

impl DemandForecast {
    /// Returns the CPU that the pool needs when a machine arrives that is chosen now, if it has
    /// `supply_millicores` until then. A backlog that is done by that time needs no machine.
    pub fn millicores_at_arrival(&self, supply_millicores: u64) -> u64 {
        let time_ms = TIME_TO_ARRIVAL.as_millis();
        let supply = supply_millicores.saturating_sub(self.long_running_millicores);
        let added = u128::from(self.arriving_millicores) * time_ms;
        let left = (self.short_millicore_ms + added).saturating_sub(u128::from(supply) * time_ms);
        let mean_ms = (self.short_millicore_ms / u128::from(self.short_millicores.max(1))).max(1);
        let backlog = u64::try_from(left / mean_ms).unwrap_or(u64::MAX);
        // Tasks that wait now are the only backlog known; more can't run at once.
        let backlog = backlog.min(self.short_millicores);
        self.long_running_millicores.saturating_add(backlog.max(self.arriving_millicores))
    }
}

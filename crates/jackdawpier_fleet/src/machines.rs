//! Machines: their pools, operations in progress (moves and maintenance), and maintenance waves.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, PoolName},
};

use crate::{fleet::LossEvidence, sorted_hash_map::SortedHashMap, spec::Label};

/// Name of a machine, which stays the same when its executor changes.
pub type MachineId = Arc<str>;
/// Number of a maintenance wave.
pub type WaveNumber = u64;

/// State of a machine, as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// The machine runs, or is switched off in a standby pool.
    Up,
    /// The machine is moving to another pool.
    Moving,
    /// The machine is under maintenance.
    Maintenance,
    /// The machine has failed.
    Down,
}

/// A machine as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineInfo {
    /// Name of the machine.
    pub id: MachineId,
    /// Pool that the machine is in.
    pub pool: PoolName,
    /// State of the machine.
    pub state: MachineState,
    /// Executor that runs on the machine, if any.
    pub executor: Option<ExecutorId>,
    /// Capabilities of the machine; a pool only accepts machines of its own kind.
    pub labels: Vec<Label>,
}

/// A maintenance wave as requested by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub number: WaveNumber,
    /// Machines to maintain.
    pub machines: Vec<MachineId>,
    /// Time from the announcement within which all machines must be maintained.
    pub within: Duration,
    /// Maximum number of machines of the wave that may be away at once.
    pub max_away: usize,
}

/// An order about a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineOrder {
    /// The machine.
    pub machine: MachineId,
    /// Kind of work.
    pub work: MachineWork,
}

/// Work on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineWork {
    /// Move to another pool.
    Move(PoolName),
    /// Maintenance for a wave.
    Maintain(WaveNumber),
}

/// Outcome of an order about a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineOrderOutcome {
    /// The order is being executed, or has been executed before.
    Taken,
    /// The machine isn't up; retry later.
    Busy,
    /// The order can never be executed.
    Refused,
    /// The order may or may not be executed.
    Unanswered,
    /// Nothing was done; retry later.
    NotTaken,
}

/// State of a wave, for operators and for the next owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveState {
    /// Number of the wave.
    pub number: WaveNumber,
    /// Whether all machines of the wave have been maintained.
    pub is_completed: bool,
    /// Machines that have been maintained.
    pub maintained: Vec<MachineId>,
}

/// Stage of an operation on a machine.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum OperationStage {
    /// The executor gets no new work; running tasks may end or are moved away.
    Vacating { since: Now },
    /// The order has been sent. No other is sent until its outcome is known: an answer belongs to one order,
    /// and would be mistaken for the outcome of all.
    Ordered { at: Now, is_in_flight: bool },
    /// The order was accepted; the machine returns with another executor.
    Away { since: Now },
}

/// A move or maintenance of a machine in progress.
#[derive(Debug, Clone)]
pub(crate) struct MachineOperation {
    pub(crate) work: MachineWork,
    pub(crate) stage: OperationStage,
    /// Executor that ran on the machine when the operation began.
    pub(crate) executor: Option<ExecutorId>,
    /// Time before which no order is sent, after a refusal.
    pub(crate) not_before: Now,
    /// Time until which an unanswered order may still be executed, whatever the outcome of later ones.
    pub(crate) may_execute_until: Now,
    /// Number of tasks on the machine at the last check.
    pub(crate) tasks: usize,
    /// When the operation began, or a task last left the machine.
    pub(crate) last_progress_at: Now,
    /// Whether the machine was busy when it was chosen to move, for primary demand of another pool.
    pub(crate) is_busy_move: bool,
}

impl MachineOperation {
    /// Returns whether the order has been sent, so that the machine may be away.
    pub(crate) fn is_away(&self) -> bool {
        !matches!(self.stage, OperationStage::Vacating { .. })
    }
}

/// Progress of a maintenance wave.
#[derive(Debug)]
pub(crate) struct WaveProgress {
    pub(crate) wave: Wave,
    pub(crate) due: Now,
    pub(crate) maintained: BTreeSet<MachineId>,
    pub(crate) refused: BTreeSet<MachineId>,
    pub(crate) is_completed: bool,
}

impl WaveProgress {
    /// Returns whether a machine is neither maintained nor refused yet.
    pub(crate) fn is_pending(&self, machine: &MachineId) -> bool {
        !self.maintained.contains(machine) && !self.refused.contains(machine)
    }

    pub(crate) fn state(&self) -> WaveState {
        WaveState {
            number: self.wave.number,
            is_completed: self.is_completed,
            maintained: self.maintained.iter().cloned().collect(),
        }
    }
}

/// Tracks the machines, the operations in progress and the maintenance waves.
#[derive(Debug)]
pub(crate) struct Machines {
    /// Time until which orders of a previous owner may still arrive, about any machine until it is known which
    /// machines were ordered recently.
    pub(crate) orders_allowed_from: Now,
    /// Machines that a previous owner ordered recently, each with the time until which its order may arrive.
    locked_until: BTreeMap<MachineId, Now>,
    pub(crate) listed: BTreeMap<MachineId, MachineInfo>,
    pub(crate) has_listing: bool,
    /// When the last list was requested; before the first list, the start of this owner.
    last_listing_at: Now,
    /// Time between the requests of the last list and the one before, or the start of this owner.
    last_listing_gap: Duration,
    pub(crate) operations: BTreeMap<MachineId, MachineOperation>,
    pub(crate) waves: BTreeMap<WaveNumber, WaveProgress>,
    /// Moves that a pool refused because it only accepts machines of another kind.
    pub(crate) refused_moves: BTreeSet<(MachineId, PoolName)>,
    machine_of: SortedHashMap<ExecutorId, MachineId>,
    /// Set while the list doesn't name all executors: any machine that seems idle may run one of them.
    pub(crate) has_unlisted_executors: bool,
    /// Machines whose executor ended after the last list, and which may run another one by now.
    outdated_listings: BTreeSet<MachineId>,
}

impl Machines {
    pub(crate) fn new(started_at: Now, orders_allowed_from: Now) -> Self {
        Self {
            orders_allowed_from,
            locked_until: BTreeMap::new(),
            listed: BTreeMap::new(),
            has_listing: false,
            last_listing_at: started_at,
            last_listing_gap: Duration::ZERO,
            operations: BTreeMap::new(),
            waves: BTreeMap::new(),
            refused_moves: BTreeSet::new(),
            machine_of: SortedHashMap::default(),
            has_unlisted_executors: false,
            outdated_listings: BTreeSet::new(),
        }
    }

    /// Records the end of an executor that the list doesn't show yet.
    pub(crate) fn note_executor_ended(&mut self, executor: &ExecutorId) {
        self.outdated_listings.extend(self.machine_of.get(executor).cloned());
    }

    /// Returns whether the last list is current about the executor on a machine.
    pub(crate) fn is_listing_current(&self, machine: &MachineId) -> bool {
        !self.outdated_listings.contains(machine)
    }

    /// Restricts the lock to the machines that a previous owner ordered recently, with the minimum age of each
    /// order.
    pub(crate) fn restore_recent_orders(&mut self, now: Now, machines: Vec<(MachineId, Duration)>) {
        let until = std::mem::replace(&mut self.orders_allowed_from, now);
        let locked_until = machines.into_iter();
        self.locked_until =
            locked_until.map(|(machine, age)| (machine, until.saturating_sub(age))).collect();
    }

    /// Returns the earliest time at which an order about a machine may be sent.
    pub(crate) fn orderable_from(&self, machine: &MachineId) -> Now {
        self.locked_until
            .get(machine)
            .map_or(self.orders_allowed_from, |until| self.orders_allowed_from.max(*until))
    }

    /// Returns whether a previous owner's order about a machine may still arrive.
    pub(crate) fn is_locked(&self, now: Now, machine: &MachineId) -> bool {
        now < self.orderable_from(machine)
    }

    /// Returns whether a previous owner's order about the machine of an executor may still arrive.
    pub(crate) fn is_executor_locked(&self, now: Now, executor: &ExecutorId) -> bool {
        self.machine_of.get(executor).is_some_and(|machine| self.is_locked(now, machine))
    }

    /// Applies a list of machines, and returns the executors' machines by the list before.
    pub(crate) fn apply_listing(
        &mut self,
        asked_at: Now,
        machines: Vec<MachineInfo>,
    ) -> SortedHashMap<ExecutorId, MachineId> {
        let previous_machine_of = std::mem::take(&mut self.machine_of);
        self.machine_of = machines
            .iter()
            .filter_map(|info| Some((info.executor.clone()?, info.id.clone())))
            .collect();
        self.outdated_listings.clear();
        self.listed = machines.into_iter().map(|info| (info.id.clone(), info)).collect();
        for (machine, operation) in &mut self.operations {
            // The machine may have failed and returned before it was ordered.
            if let (OperationStage::Vacating { .. }, Some(info)) =
                (&operation.stage, self.listed.get(machine))
            {
                operation.executor.clone_from(&info.executor);
            }
        }
        self.last_listing_gap = asked_at.saturating_sub(self.last_listing_at);
        self.last_listing_at = asked_at;
        self.has_listing = true;
        previous_machine_of
    }

    /// Whether some machine has a label, or the machines aren't known yet.
    pub(crate) fn may_have_label(&self, label: &Label) -> bool {
        !self.has_listing || self.listed.values().any(|info| info.labels.contains(label))
    }

    /// Returns the executors that the last list names.
    pub(crate) fn listed_executors(&self) -> impl Iterator<Item = &ExecutorId> {
        self.machine_of.keys()
    }

    /// Returns why an executor isn't listed any more: its machine was moved or maintained by an order of this or
    /// a previous owner, or it crashed; `machine` is the one that it was last listed on. An order by itself is no
    /// proof, since it may have been executed before and then changes nothing.
    pub(crate) fn loss_evidence(
        &self,
        executor: &ExecutorId,
        machine: Option<&MachineId>,
    ) -> LossEvidence {
        let state = machine.and_then(|machine| self.listed.get(machine)).map(|info| info.state);
        if matches!(state, Some(MachineState::Moving | MachineState::Maintenance)) {
            return LossEvidence::Taken;
        }
        let is_ordered = self
            .operations
            .values()
            .any(|operation| operation.is_away() && operation.executor.as_ref() == Some(executor));
        if is_ordered { LossEvidence::PerhapsTaken } else { LossEvidence::Unlisted }
    }

    /// Returns the time without a list before the last one, or since it, whichever is longer.
    pub(crate) fn listing_gap(&self, now: Now) -> Duration {
        self.last_listing_gap.max(now.saturating_sub(self.last_listing_at))
    }

    /// Returns when an order about the machine of an executor was sent or accepted; `None` if this owner hasn't
    /// sent one.
    pub(crate) fn ordered_at(&self, executor: &ExecutorId) -> Option<Now> {
        let of_executor =
            |operation: &&MachineOperation| operation.executor.as_ref() == Some(executor);
        self.operations.values().filter(of_executor).find_map(|operation| match operation.stage {
            OperationStage::Vacating { .. } => None,
            OperationStage::Ordered { at, .. } | OperationStage::Away { since: at } => Some(at),
        })
    }

    /// Returns the machine of an executor by the last list.
    pub(crate) fn machine_of(&self, executor: &ExecutorId) -> Option<&MachineId> {
        self.machine_of.get(executor)
    }

    /// Returns whether the last list names an executor.
    pub(crate) fn is_executor_listed(&self, executor: &ExecutorId) -> bool {
        self.machine_of.contains_key(executor)
    }

    /// Returns the executors that get no new work because their machines are about to be moved or maintained.
    pub(crate) fn vacating_executors(&self) -> impl Iterator<Item = &ExecutorId> {
        self.operations.iter().filter_map(|(machine, operation)| {
            let executor = operation.executor.as_ref()?;
            // An executor whose order was sent may be unlisted, while the registry names it a while longer.
            let is_there = operation.is_away() || self.machine_of.get(executor) == Some(machine);
            is_there.then_some(executor)
        })
    }

    /// Returns whether the order that ends an executor has been sent.
    pub(crate) fn is_leaving(&self, executor: &ExecutorId) -> bool {
        self.machine_of.get(executor).and_then(|machine| self.operations.get(machine)).is_some_and(
            |operation| operation.is_away() && operation.executor.as_ref() == Some(executor),
        )
    }

    /// Returns whether the machine of an executor is still to be maintained in a wave.
    pub(crate) fn has_pending_maintenance(&self, executor: &ExecutorId) -> bool {
        self.machine_of.get(executor).is_some_and(|machine| {
            self.waves.values().any(|one| {
                !one.is_completed && one.wave.machines.contains(machine) && one.is_pending(machine)
            })
        })
    }
}

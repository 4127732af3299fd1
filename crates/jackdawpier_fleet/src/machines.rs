//! Machines: which pool they are in, what is being done with them, and waves of maintenance.

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

/// Name of a machine, which it keeps over the lives of its executors.
pub type MachineId = Arc<str>;
/// Number of a wave of maintenance.
pub type WaveNumber = u64;

/// What the platform says of a machine's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// It runs, or is switched off in a standby pool.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is away for maintenance.
    Maintenance,
    /// It has failed.
    Down,
}

/// A machine as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineInfo {
    /// Its name.
    pub id: MachineId,
    /// The pool it is in.
    pub pool: PoolName,
    /// Its state.
    pub state: MachineState,
    /// The executor that lives on it, if one does.
    pub executor: Option<ExecutorId>,
    /// Its capabilities; a pool takes machines of its own kind only.
    pub labels: Vec<Label>,
}

/// A wave of maintenance as operators ask for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: WaveNumber,
    /// The machines to be maintained.
    pub machines: Vec<MachineId>,
    /// From its announcement all have to be maintained within this time.
    pub within: Duration,
    /// Most machines of it that may be away at once.
    pub max_away: usize,
}

/// An order about a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineOrder {
    /// The machine.
    pub machine: MachineId,
    /// What is to happen.
    pub work: MachineWork,
}

/// What is to happen to a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineWork {
    /// It changes its pool.
    Move(PoolName),
    /// It is maintained for a wave.
    Maintain(WaveNumber),
}

/// How an order about a machine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineOrderOutcome {
    /// It is being carried out, or was before.
    Taken,
    /// The machine isn't up; ask later.
    Busy,
    /// It can't be carried out at all.
    Refused,
    /// It may or may not be carried out.
    Unanswered,
    /// Nothing was done; ask later.
    NotTaken,
}

/// The state of a wave, for operators and for a later owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveState {
    /// Its number.
    pub number: WaveNumber,
    /// All of its machines have been maintained.
    pub is_completed: bool,
    /// Those that have.
    pub maintained: Vec<MachineId>,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum OperationStage {
    /// No new work goes there; what runs may end.
    Vacating { since: Now },
    /// The order has left. While its end isn't known no other may leave: an answer tells of one order, and would be
    /// taken for the end of all.
    Ordered { at: Now, is_in_flight: bool },
    /// The order was taken; the machine comes back with another executor.
    Away { since: Now },
}

#[derive(Debug, Clone)]
pub(crate) struct MachineOperation {
    pub(crate) work: MachineWork,
    pub(crate) stage: OperationStage,
    /// The executor that lived there when it began.
    pub(crate) executor: Option<ExecutorId>,
    /// Not to be ordered before this time, after a refusal.
    pub(crate) not_before: Now,
    /// Until then an order that wasn't answered may still be carried out, whatever becomes of later ones.
    pub(crate) may_execute_until: Now,
    /// Tasks that ran there when it was last looked at.
    pub(crate) tasks: usize,
    /// When it began, or a task last left the machine.
    pub(crate) last_progress_at: Now,
}

impl MachineOperation {
    pub(crate) fn is_away(&self) -> bool {
        !matches!(self.stage, OperationStage::Vacating { .. })
    }
}

#[derive(Debug)]
pub(crate) struct WaveProgress {
    pub(crate) wave: Wave,
    pub(crate) due: Now,
    pub(crate) maintained: BTreeSet<MachineId>,
    pub(crate) refused: BTreeSet<MachineId>,
    pub(crate) is_completed: bool,
}

impl WaveProgress {
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

/// Machines and what is being done with them.
#[derive(Debug)]
pub(crate) struct Machines {
    /// Orders of an earlier holder may still arrive before this time, about any machine until it is
    /// known which ones it ordered lately.
    pub(crate) orders_allowed_from: Now,
    /// The machines that it ordered lately, with that time.
    locked_until: BTreeMap<MachineId, Now>,
    pub(crate) listed: BTreeMap<MachineId, MachineInfo>,
    pub(crate) has_listing: bool,
    /// When the last list was asked for; before the first, when this owner began.
    last_listing_at: Now,
    /// How long after the one before, or after this owner's begin, the last list was asked for.
    last_listing_gap: Duration,
    pub(crate) operations: BTreeMap<MachineId, MachineOperation>,
    pub(crate) waves: BTreeMap<WaveNumber, WaveProgress>,
    /// Pools that don't take a machine, since they are of other machines.
    pub(crate) refused_moves: BTreeSet<(MachineId, PoolName)>,
    machine_of: SortedHashMap<ExecutorId, MachineId>,
    /// The list doesn't name all executors yet: one of them may live on any machine that seems idle.
    pub(crate) may_be_occupied: bool,
    /// Machines whose executor's life was over after the last list: another one may be there by now.
    stale_machines: BTreeSet<MachineId>,
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
            may_be_occupied: false,
            stale_machines: BTreeSet::new(),
        }
    }

    /// An executor's life is over, as the list doesn't show yet.
    pub(crate) fn note_executor_ended(&mut self, executor: &ExecutorId) {
        self.stale_machines.extend(self.machine_of.get(executor).cloned());
    }

    /// Whether the last list tells which executor lives on a machine.
    pub(crate) fn knows_executor(&self, machine: &MachineId) -> bool {
        !self.stale_machines.contains(machine)
    }

    /// Only these machines were ordered lately by an earlier holder, at least so long ago.
    pub(crate) fn restore_recent_orders(&mut self, now: Now, machines: Vec<(MachineId, Duration)>) {
        let until = std::mem::replace(&mut self.orders_allowed_from, now);
        let locked_until = machines.into_iter();
        self.locked_until =
            locked_until.map(|(machine, age)| (machine, until.saturating_sub(age))).collect();
    }

    /// When a machine may be ordered first.
    pub(crate) fn orderable_from(&self, machine: &MachineId) -> Now {
        self.locked_until
            .get(machine)
            .map_or(self.orders_allowed_from, |until| self.orders_allowed_from.max(*until))
    }

    /// Whether an earlier holder's order about a machine may still arrive.
    pub(crate) fn is_locked(&self, now: Now, machine: &MachineId) -> bool {
        now < self.orderable_from(machine)
    }

    /// The same of the machine on which an executor lives.
    pub(crate) fn is_executor_locked(&self, now: Now, executor: &ExecutorId) -> bool {
        self.machine_of.get(executor).is_some_and(|machine| self.is_locked(now, machine))
    }

    /// Takes in a listing, and returns on which machines executors lived by the one before.
    pub(crate) fn apply_listing(
        &mut self,
        asked_at: Now,
        machines: Vec<MachineInfo>,
    ) -> SortedHashMap<ExecutorId, MachineId> {
        let former = std::mem::take(&mut self.machine_of);
        self.machine_of = machines
            .iter()
            .filter_map(|info| Some((info.executor.clone()?, info.id.clone())))
            .collect();
        self.stale_machines.clear();
        self.listed = machines.into_iter().map(|info| (info.id.clone(), info)).collect();
        for (machine, operation) in &mut self.operations {
            // It may have failed and come back before its turn came.
            if let (OperationStage::Vacating { .. }, Some(info)) =
                (&operation.stage, self.listed.get(machine))
            {
                operation.executor.clone_from(&info.executor);
            }
        }
        self.last_listing_gap = asked_at.saturating_sub(self.last_listing_at);
        self.last_listing_at = asked_at;
        self.has_listing = true;
        former
    }

    /// The executors that the last listing names.
    pub(crate) fn listed_executors(&self) -> impl Iterator<Item = &ExecutorId> {
        self.machine_of.keys()
    }

    /// Why an executor isn't named any more: its machine was moved or maintained, by this owner's order or an
    /// earlier one's, or it has crashed; `machine` is the one that it was last listed on. An order alone proves
    /// nothing: one that had been carried out before changes nothing.
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

    /// For how long no list was seen before the last one, or has been since.
    pub(crate) fn listing_gap(&self, now: Now) -> Duration {
        self.last_listing_gap.max(now.saturating_sub(self.last_listing_at))
    }

    /// When an order about the machine of an executor left or was taken; none if this owner hasn't ordered it.
    pub(crate) fn ordered_at(&self, executor: &ExecutorId) -> Option<Now> {
        let of_executor =
            |operation: &&MachineOperation| operation.executor.as_ref() == Some(executor);
        self.operations.values().filter(of_executor).find_map(|operation| match operation.stage {
            OperationStage::Vacating { .. } => None,
            OperationStage::Ordered { at, .. } | OperationStage::Away { since: at } => Some(at),
        })
    }

    /// The machine on which an executor lives by the last listing.
    pub(crate) fn machine_of(&self, executor: &ExecutorId) -> Option<&MachineId> {
        self.machine_of.get(executor)
    }

    /// Whether an executor lives on some machine by the last listing.
    pub(crate) fn is_executor_listed(&self, executor: &ExecutorId) -> bool {
        self.machine_of.contains_key(executor)
    }

    /// Executors that get no new work, since their machines are about to be taken.
    pub(crate) fn vacating_executors(&self) -> impl Iterator<Item = &ExecutorId> {
        self.operations.iter().filter_map(|(machine, operation)| {
            let executor = operation.executor.as_ref()?;
            // One that is being taken isn't listed any more, though the registry names it a while longer.
            let is_there = operation.is_away() || self.machine_of.get(executor) == Some(machine);
            is_there.then_some(executor)
        })
    }

    /// Whether the order that ends an executor has left.
    pub(crate) fn is_leaving(&self, executor: &ExecutorId) -> bool {
        self.machine_of.get(executor).and_then(|machine| self.operations.get(machine)).is_some_and(
            |operation| operation.is_away() && operation.executor.as_ref() == Some(executor),
        )
    }

    /// Whether the machine of an executor has maintenance to come.
    pub(crate) fn has_pending_maintenance(&self, executor: &ExecutorId) -> bool {
        self.machine_of.get(executor).is_some_and(|machine| {
            self.waves.values().any(|one| {
                !one.is_completed && one.wave.machines.contains(machine) && one.is_pending(machine)
            })
        })
    }
}

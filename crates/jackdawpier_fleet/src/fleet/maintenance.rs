//! Maintenance waves: selects machines to vacate and orders their maintenance, idle machines first.
//! The number of machines away is bounded by the wave, the number of tasks away by each
//! long-running step.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::Now;

use super::{Command, Fleet};
use crate::machines::{
    MachineId, MachineInfo, MachineOrder, MachineOrderOutcome, MachineState, MachineWork,
    OperationStage, Wave, WaveNumber, WaveProgress, WaveState,
};

/// Interval of machine planning; machine operations take many times as long.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before an order about a machine is retried that was busy or didn't take it.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Time between choosing a busy machine and its return, without the maintenance itself: tasks of
/// about two seconds run to their end, and the return is detected by polling.
const MACHINE_TURNAROUND: Duration = Duration::from_millis(2500);
/// Time that a wave is planned to end before its deadline. A change of owner takes half of it.
const WAVE_DEADLINE_MARGIN: Duration = Duration::from_secs(7);
/// Maximum time that a new executor is in the registry before the list of machines names it.
const REGISTRY_LEAD: Duration = Duration::from_secs(1);
/// A registered executor that no list of machines names and that hasn't answered for this long is
/// taken to run on no machine.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum transit time of the list of machines. The platform's list shows an order at once.
const LISTING_TRANSIT: Duration = Duration::from_millis(400);

impl Fleet {
    /// Applies a complete list of machines, requested from the platform at `asked_at`. The list
    /// names the executor on each machine, so an executor that it doesn't name has ended.
    pub fn update_machines(&mut self, now: Now, asked_at: Now, machines: Vec<MachineInfo>) {
        if machines.is_empty() {
            return;
        }
        let former = self.machines.apply_listing(asked_at, machines);
        for id in self.machines.listed_executors() {
            if let Some(executor) = self.executors.get_mut(id) {
                executor.last_listed_at = asked_at;
            }
        }
        let ended = self.executors.keys_where(|id, executor| {
            !self.machines.is_executor_listed(id) && asked_at > executor.known_at + REGISTRY_LEAD
        });
        for executor in &ended {
            let evidence = self.machines.loss_evidence(executor, former.get(executor));
            self.executor_ended(now, executor, evidence);
        }
        let unlisted = self.executors.keys_where(|id, executor| {
            let is_there =
                executor.is_responsive(now) || now < executor.known_at + UNLISTED_TIMEOUT;
            let is_registered = executor.is_listed && !executor.has_ended;
            is_registered && is_there && !self.machines.is_executor_listed(id)
        });
        self.machines.has_unlisted_executors = !unlisted.is_empty();
        self.end_operations(asked_at);
    }

    /// Adds the waves that operators requested. With `are_all`, known waves that aren't in the list
    /// are dropped. Without it some waves couldn't be read, so all known waves are kept.
    pub fn set_waves(&mut self, now: Now, waves: Vec<(Wave, Duration)>, are_all: bool) {
        let numbers: Vec<WaveNumber> = waves.iter().map(|(wave, _)| wave.number).collect();
        self.machines.waves.retain(|number, _| !are_all || numbers.contains(number));
        for (wave, age) in waves {
            let number = wave.number;
            if self.machines.waves.contains_key(&number) {
                continue;
            }
            let due = (now + wave.within).saturating_sub(age);
            let progress = WaveProgress {
                wave,
                due,
                maintained: std::collections::BTreeSet::new(),
                refused: std::collections::BTreeSet::new(),
                is_completed: false,
            };
            self.commands.push(Command::Wave(progress.state()));
            self.machines.waves.insert(number, progress);
        }
    }

    /// Restores the progress of a wave that a previous owner recorded.
    pub fn recover_wave(&mut self, number: WaveNumber, maintained: Vec<MachineId>) {
        if let Some(progress) = self.machines.waves.get_mut(&number) {
            progress.maintained.extend(maintained);
        }
    }

    /// Whether a wave is known.
    pub fn knows_wave(&self, number: WaveNumber) -> bool {
        self.machines.waves.contains_key(&number)
    }

    /// Whether this is still the latest state of its wave.
    pub fn is_current_wave_state(&self, state: &WaveState) -> bool {
        self.machines.waves.get(&state.number).is_some_and(|progress| progress.state() == *state)
    }

    /// Ends the operations of machines that have returned or never left: the platform also accepts
    /// an order that it had already carried out for a previous owner. A machine whose unanswered
    /// order can't be carried out any more, and that hasn't left, is vacated anew: the order is
    /// only repeated while its tasks can be missed, and it accepts no work meanwhile.
    fn end_operations(&mut self, asked_at: Now) {
        let listed = &self.machines.listed;
        self.machines.operations.retain(|machine, operation| {
            let Some(info) = listed.get(machine) else { return false };
            let is_up = info.state == MachineState::Up;
            match operation.stage {
                OperationStage::Away { since } => asked_at <= since + LISTING_TRANSIT || !is_up,
                OperationStage::Ordered { is_in_flight: false, .. }
                    if is_up
                        && info.executor == operation.executor
                        && asked_at > operation.may_execute_until =>
                {
                    operation.stage = OperationStage::Vacating { since: asked_at };
                    operation.last_progress_at = asked_at;
                    true
                }
                OperationStage::Vacating { .. } | OperationStage::Ordered { .. } => true,
            }
        });
    }

    /// Selects machines to vacate and sends orders for those that are vacated.
    pub(super) fn plan_machines(&mut self, now: Now) {
        if !self.machines.has_listing || now < self.last_machine_planning_at + PLAN_INTERVAL {
            return;
        }
        self.last_machine_planning_at = now;
        let numbers: Vec<WaveNumber> = self.machines.waves.keys().copied().collect();
        numbers.iter().for_each(|number| self.plan_wave(now, *number));
        self.plan_pools(now);
        self.order_vacated_machines(now);
        numbers.iter().for_each(|number| self.complete_wave(*number));
    }

    fn plan_wave(&mut self, now: Now, number: WaveNumber) {
        let progress = &self.machines.waves[&number];
        if progress.is_completed {
            return;
        }
        let operations = &self.machines.operations;
        let is_busy = |machine: &MachineId| operations.contains_key(machine);
        let pending: Vec<MachineId> = progress
            .wave
            .machines
            .iter()
            .filter(|machine| progress.is_pending(machine) && !is_busy(machine))
            .filter(|machine| !self.machines.is_locked(now, machine))
            .filter(|machine| {
                self.machines
                    .listed
                    .get(*machine)
                    .is_some_and(|info| info.state == MachineState::Up)
            })
            .cloned()
            .collect();
        let in_progress = operations
            .values()
            .filter(|operation| operation.work == MachineWork::Maintain(number))
            .count();
        let max_away = progress.wave.max_away.max(1);
        let time_left = progress.due.saturating_sub(now).saturating_sub(WAVE_DEADLINE_MARGIN);
        let time_per_batch = self.settings.maintenance + MACHINE_TURNAROUND;
        let batches = (time_left.as_secs_f64() / time_per_batch.as_secs_f64()).max(1.0);
        let needed = ((pending.len() + in_progress) as f64 / batches).ceil() as usize;
        let mut ranked: Vec<(bool, usize, MachineId)> = pending
            .into_iter()
            .map(|machine| {
                let (long_running, others) = self.task_counts_on(&machine);
                (long_running > 0, long_running + others, machine)
            })
            .collect();
        ranked.sort_unstable();
        let rounds = self.start_rounds(now);
        let mut slots = max_away.saturating_sub(in_progress);
        let mut wanted = needed.min(max_away).saturating_sub(in_progress);
        for (_, load, machine) in ranked {
            if slots == 0 {
                break;
            }
            let is_idle = load == 0;
            let is_ready = || self.can_be_vacated(now, &machine, &rounds);
            if !is_idle && (wanted == 0 || !is_ready()) {
                continue;
            }
            self.begin_operation(now, machine, MachineWork::Maintain(number));
            slots -= 1;
            wanted = wanted.saturating_sub(1);
        }
    }

    /// Returns how many orders of each wave may be sent now within its bound on machines away. Each
    /// call examines all machines of a wave, so it is made once per planning for all vacated
    /// machines: a wave of 1,400 machines may have some 570 chosen at a time.
    pub(super) fn wave_slots(&mut self, now: Now) -> BTreeMap<WaveNumber, usize> {
        let waves = &self.machines.waves;
        let counted: usize = waves.values().map(|progress| progress.wave.machines.len()).sum();
        let slots = waves.iter().map(|(number, progress)| {
            let work = MachineWork::Maintain(*number);
            let operations = self.machines.operations.values();
            let away = operations.filter(|one| one.work == work && one.is_away()).count();
            let max_away = progress.wave.max_away.max(1);
            (*number, max_away.saturating_sub(away + self.away_by_previous_owner(now, progress)))
        });
        let slots = slots.collect();
        self.wave_machines_counted += counted as u64;
        slots
    }

    /// Returns how many machines of a wave are away, or may still go away, by orders of a previous
    /// owner.
    fn away_by_previous_owner(&self, now: Now, progress: &WaveProgress) -> usize {
        let machines = &self.machines;
        let is_away = |machine: &&MachineId| {
            let state = machines.listed.get(*machine).map(|info| info.state);
            machines.is_locked(now, machine) || state == Some(MachineState::Maintenance)
        };
        let is_ours = |machine: &MachineId| machines.operations.contains_key(machine);
        progress.wave.machines.iter().filter(is_away).filter(|one| !is_ours(one)).count()
    }

    /// Applies the outcome of an order about a machine.
    pub fn machine_order_ended(
        &mut self,
        now: Now,
        order: &MachineOrder,
        outcome: MachineOrderOutcome,
    ) {
        let Some(operation) = self.machines.operations.get_mut(&order.machine) else { return };
        if operation.work != order.work {
            return;
        }
        match outcome {
            MachineOrderOutcome::Taken => {
                operation.stage = OperationStage::Away { since: now };
                if let MachineWork::Maintain(number) = order.work
                    && let Some(progress) = self.machines.waves.get_mut(&number)
                {
                    progress.maintained.insert(order.machine.clone());
                    self.commands.push(Command::Wave(progress.state()));
                }
            }
            MachineOrderOutcome::Busy | MachineOrderOutcome::NotTaken => {
                operation.not_before = now + BUSY_RETRY_DELAY;
                operation.stage = if now < operation.may_execute_until {
                    OperationStage::Ordered { at: now, is_in_flight: false }
                } else {
                    // Nothing was done, so all conditions are checked again.
                    OperationStage::Vacating { since: now }
                };
            }
            MachineOrderOutcome::Refused => {
                match &order.work {
                    MachineWork::Maintain(number) => {
                        if let Some(progress) = self.machines.waves.get_mut(number) {
                            progress.refused.insert(order.machine.clone());
                        }
                    }
                    MachineWork::Move(pool) => {
                        let move_to = (order.machine.clone(), pool.clone());
                        self.machines.refused_moves.insert(move_to);
                    }
                }
                self.machines.operations.remove(&order.machine);
            }
            MachineOrderOutcome::Unanswered => {
                operation.may_execute_until = now + self.settings.order_lease;
                if let OperationStage::Ordered { is_in_flight, .. } = &mut operation.stage {
                    *is_in_flight = false;
                }
            }
        }
    }

    fn complete_wave(&mut self, number: WaveNumber) {
        let listed = &self.machines.listed;
        let Some(progress) = self.machines.waves.get_mut(&number) else { return };
        if progress.is_completed {
            return;
        }
        let is_complete =
            progress.wave.machines.iter().all(|machine| {
                progress.maintained.contains(machine) || !listed.contains_key(machine)
            });
        if is_complete {
            progress.is_completed = true;
            self.commands.push(Command::Wave(progress.state()));
        }
    }
}

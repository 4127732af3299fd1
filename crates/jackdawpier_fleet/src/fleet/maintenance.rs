//! Waves of maintenance: machines are emptied and taken in time, idle ones first, within the
//! wave's bound and what long-running work may miss.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::Now;

use super::{Command, Fleet};
use crate::machines::{
    MachineId, MachineInfo, MachineOrder, MachineOrderEnd, MachineState, MachineWork, Stage, Wave,
    WaveNumber, WaveProgress, WaveState,
};

/// How often machines are planned: a small part of the time that anything with them takes.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// A machine that was busy is asked again after this time.
const BUSY_PAUSE: Duration = Duration::from_millis(700);
/// Time from the choice of a busy machine until it is back, beyond the maintenance itself: tasks of
/// about two seconds run out, and its return is seen by polling.
const TURNAROUND: Duration = Duration::from_millis(2500);
/// A wave is planned to be over this long before it is due: a change of owner on the way costs half of
/// it.
const WAVE_RESERVE: Duration = Duration::from_secs(7);
/// A new executor may be in the registry this long before it is in the list of machines.
const LISTING_LAG: Duration = Duration::from_secs(1);
/// A registered executor that no list names and that hasn't answered for this long isn't on any machine.
const UNNAMED_FOR: Duration = Duration::from_secs(3);
/// An order shows in the list of machines at once; this is for the list's way.
const ORDER_LAG: Duration = Duration::from_millis(400);

impl Fleet {
    /// Takes in the whole list of machines, which the platform was asked for at `asked_at`. It
    /// names the executor that lives on each machine, so one that it doesn't name has ended.
    pub fn update_machines(&mut self, now: Now, asked_at: Now, machines: Vec<MachineInfo>) {
        if machines.is_empty() {
            return;
        }
        let former = self.machines.list(asked_at, machines);
        for id in self.machines.executors() {
            if let Some(executor) = self.executors.get_mut(id) {
                executor.named_at = asked_at;
            }
        }
        let ended = self.executors.keys_of(|id, executor| {
            !self.machines.has_executor(id) && asked_at > executor.known_at + LISTING_LAG
        });
        for executor in &ended {
            let evidence = self.machines.why_gone(executor, former.get(executor));
            self.executor_ended(now, executor, evidence);
        }
        let unnamed = self.executors.keys_of(|id, executor| {
            let is_there = executor.is_responsive(now) || now < executor.known_at + UNNAMED_FOR;
            let is_registered = executor.is_listed && !executor.is_over;
            is_registered && is_there && !self.machines.has_executor(id)
        });
        self.machines.may_be_occupied = !unnamed.is_empty();
        self.end_operations(asked_at);
    }

    /// Takes in the waves that operators ask for. If these are all, the others are dropped; if some
    /// couldn't be read, one of those that are known may be among them.
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

    /// Takes over what an earlier owner noted of a wave.
    pub fn recover_wave(&mut self, number: WaveNumber, maintained: Vec<MachineId>) {
        if let Some(progress) = self.machines.waves.get_mut(&number) {
            progress.maintained.extend(maintained);
        }
    }

    /// Whether a wave is known already.
    pub fn knows_wave(&self, number: WaveNumber) -> bool {
        self.machines.waves.contains_key(&number)
    }

    /// Whether this is still the newest state of its wave.
    pub fn is_current_wave_state(&self, state: &WaveState) -> bool {
        self.machines.waves.get(&state.number).is_some_and(|progress| progress.state() == *state)
    }

    /// Machines that have come back are free again, and those that stayed up: the platform also
    /// takes an order that it carried out for an earlier owner.
    fn end_operations(&mut self, asked_at: Now) {
        let listed = &self.machines.listed;
        self.machines.errands.retain(|machine, errand| {
            let Some(info) = listed.get(machine) else { return false };
            match errand.stage {
                Stage::Away { since } => {
                    asked_at <= since + ORDER_LAG || info.state != MachineState::Up
                }
                Stage::Vacating { .. } | Stage::Ordered { .. } => true,
            }
        });
    }

    /// Chooses machines to vacate and orders those that are vacated.
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
        let errands = &self.machines.errands;
        let is_busy = |machine: &MachineId| errands.contains_key(machine);
        let open: Vec<MachineId> = progress
            .wave
            .machines
            .iter()
            .filter(|machine| progress.is_open(machine) && !is_busy(machine))
            .filter(|machine| !self.machines.is_held(now, machine))
            .filter(|machine| {
                self.machines
                    .listed
                    .get(*machine)
                    .is_some_and(|info| info.state == MachineState::Up)
            })
            .cloned()
            .collect();
        let under_way =
            errands.values().filter(|errand| errand.work == MachineWork::Maintain(number)).count();
        let most = progress.wave.most_away.max(1);
        let left = progress.due.saturating_sub(now).saturating_sub(WAVE_RESERVE);
        let each = self.settings.maintenance + TURNAROUND;
        let batches = (left.as_secs_f64() / each.as_secs_f64()).max(1.0);
        let needed = ((open.len() + under_way) as f64 / batches).ceil() as usize;
        let mut ranked: Vec<(bool, usize, MachineId)> = open
            .into_iter()
            .map(|machine| {
                let (lasting, others) = self.task_counts_on(&machine);
                (lasting > 0, lasting + others, machine)
            })
            .collect();
        ranked.sort_unstable();
        let rounds = self.start_rounds(now);
        let mut slots = most.saturating_sub(under_way);
        let mut wanted = needed.min(most).saturating_sub(under_way);
        for (_, load, machine) in ranked {
            if slots == 0 {
                break;
            }
            let is_idle = load == 0;
            let is_ready = || self.can_be_emptied(now, &machine, &rounds);
            if !is_idle && (wanted == 0 || !is_ready()) {
                continue;
            }
            self.begin_operation(now, machine, MachineWork::Maintain(number));
            slots -= 1;
            wanted = wanted.saturating_sub(1);
        }
    }

    /// Orders of each wave that may leave now without more of its machines away than allowed. All its machines are
    /// looked at for that, so it is done once for all that wait: of 1,400 some 570 may be chosen at a time.
    pub(super) fn wave_slots(&mut self, now: Now) -> BTreeMap<WaveNumber, usize> {
        let waves = &self.machines.waves;
        let counted: usize = waves.values().map(|progress| progress.wave.machines.len()).sum();
        let slots = waves.iter().map(|(number, progress)| {
            let work = MachineWork::Maintain(*number);
            let errands = self.machines.errands.values();
            let away = errands.filter(|one| one.work == work && one.is_away()).count();
            let most = progress.wave.most_away.max(1);
            (*number, most.saturating_sub(away + self.away_before(now, progress)))
        });
        let slots = slots.collect();
        self.wave_machines_counted += counted as u64;
        slots
    }

    /// Machines of a wave that are away, or may yet be, by an earlier owner's orders.
    fn away_before(&self, now: Now, progress: &WaveProgress) -> usize {
        let machines = &self.machines;
        let is_away = |machine: &&MachineId| {
            let state = machines.listed.get(*machine).map(|info| info.state);
            machines.is_held(now, machine) || state == Some(MachineState::Maintenance)
        };
        let is_ours = |machine: &MachineId| machines.errands.contains_key(machine);
        progress.wave.machines.iter().filter(is_away).filter(|one| !is_ours(one)).count()
    }

    /// An order about a machine has ended.
    pub fn machine_order_ended(&mut self, now: Now, order: &MachineOrder, end: MachineOrderEnd) {
        let Some(errand) = self.machines.errands.get_mut(&order.machine) else { return };
        if errand.work != order.work {
            return;
        }
        match end {
            MachineOrderEnd::Taken => {
                errand.stage = Stage::Away { since: now };
                if let MachineWork::Maintain(number) = order.work
                    && let Some(progress) = self.machines.waves.get_mut(&number)
                {
                    progress.maintained.insert(order.machine.clone());
                    self.commands.push(Command::Wave(progress.state()));
                }
            }
            MachineOrderEnd::Busy | MachineOrderEnd::NotTaken => {
                errand.not_before = now + BUSY_PAUSE;
                errand.stage = if now < errand.unsure_until {
                    Stage::Ordered { at: now, is_under_way: false }
                } else {
                    // Nothing was done, so all conditions have to hold anew.
                    Stage::Vacating { since: now }
                };
            }
            MachineOrderEnd::Refused => {
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
                self.machines.errands.remove(&order.machine);
            }
            MachineOrderEnd::Unanswered => {
                errand.unsure_until = now + self.settings.order_lease;
                if let Stage::Ordered { is_under_way, .. } = &mut errand.stage {
                    *is_under_way = false;
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
        let is_over =
            progress.wave.machines.iter().all(|machine| {
                progress.maintained.contains(machine) || !listed.contains_key(machine)
            });
        if is_over {
            progress.is_completed = true;
            self.commands.push(Command::Wave(progress.state()));
        }
    }
}

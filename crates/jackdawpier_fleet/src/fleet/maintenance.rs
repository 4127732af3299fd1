//! Waves of maintenance: machines are emptied and taken in time, idle ones first, within the
//! wave's bound and what long-running work may miss.

use std::{collections::HashMap, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, ServiceName},
};

use super::{Command, Fleet, openings::Openings, placement::suits};
use crate::executor::{Executor, TaskRef};
use crate::job::{Phase, Task};
use crate::machines::{
    Errand, MachineId, MachineInfo, MachineOrder, MachineOrderEnd, MachineState, MachineWork,
    Stage, Wave, WaveNumber, WaveProgress, WaveState,
};
use crate::spec::StepSpec;

/// How often machines are planned: a small part of the time that anything with them takes.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// An unanswered order about a machine is repeated after this time.
const REPEAT_ORDER: Duration = Duration::from_millis(600);
/// A machine that was busy is asked again after this time.
const BUSY_PAUSE: Duration = Duration::from_millis(700);
/// Time from the choice of a busy machine until it is back, beyond the maintenance itself: tasks of
/// about two seconds run out, and its return is seen by polling.
const TURNAROUND: Duration = Duration::from_millis(2500);
/// A wave is planned to be over this long before it is due: a change of owner on the way costs half of
/// it.
const WAVE_RESERVE: Duration = Duration::from_secs(7);
/// What runs on a machine that is to be taken gets this long to end before it is cut short.
const LONGEST_VACATING: Duration = Duration::from_secs(4);
/// A new executor may be in the registry this long before it is in the list of machines.
const LISTING_LAG: Duration = Duration::from_secs(1);
/// An order shows in the list of machines at once; this is for the list's way.
const ORDER_LAG: Duration = Duration::from_millis(400);
/// What runs on an executor counts as away once it hasn't answered for this long.
const SILENT_AFTER: Duration = Duration::from_millis(1800);
/// A long-running task counts as back once it has been reported at work for this long. What fails
/// without an order counts only after the notice that operators grant, far longer than a silent
/// executor takes to show.
const SETTLED_AFTER: Duration = Duration::from_millis(400);

impl Fleet {
    /// Takes in the whole list of machines, which the platform was asked for at `asked_at`. It
    /// names the executor that lives on each machine, so one that it doesn't name has ended.
    pub fn list_machines(&mut self, now: Now, asked_at: Now, machines: Vec<MachineInfo>) {
        if machines.is_empty() {
            return;
        }
        self.machines.list(machines);
        let ended: Vec<ExecutorId> = self
            .executors
            .iter()
            .filter(|(id, executor)| {
                !self.machines.has_executor(id) && asked_at > executor.known_at + LISTING_LAG
            })
            .map(|(id, _)| id.clone())
            .collect();
        ended.iter().for_each(|executor| self.executor_ended(now, executor));
        self.end_errands(asked_at);
    }

    /// Takes in the waves that operators ask for; those that are gone are dropped.
    pub fn set_waves(&mut self, now: Now, waves: Vec<(Wave, Duration)>) {
        let numbers: Vec<WaveNumber> = waves.iter().map(|(wave, _)| wave.number).collect();
        self.machines.waves.retain(|number, _| numbers.contains(number));
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
    pub fn is_current(&self, state: &WaveState) -> bool {
        self.machines.waves.get(&state.number).is_some_and(|progress| progress.state() == *state)
    }

    /// Machines that have come back are free again, and those that stayed up: the platform also
    /// takes an order that it carried out for an earlier owner.
    fn end_errands(&mut self, asked_at: Now) {
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
        if !self.machines.has_listing || now < self.machines_planned_at + PLAN_INTERVAL {
            return;
        }
        self.machines_planned_at = now;
        let numbers: Vec<WaveNumber> = self.machines.waves.keys().copied().collect();
        numbers.iter().for_each(|number| self.plan_wave(now, *number));
        self.plan_pools(now);
        self.order_vacated(now);
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
        let rounds = (left.as_secs_f64() / each.as_secs_f64()).max(1.0);
        let needed = ((open.len() + under_way) as f64 / rounds).ceil() as usize;
        let mut ranked: Vec<(bool, usize, MachineId)> = open
            .into_iter()
            .map(|machine| {
                let (lasting, others) = self.load_of(&machine);
                (lasting > 0, lasting + others, machine)
            })
            .collect();
        ranked.sort_unstable();
        let mut slots = most.saturating_sub(under_way);
        let mut wanted = needed.min(most).saturating_sub(under_way);
        for (_, load, machine) in ranked {
            if slots == 0 {
                break;
            }
            let is_idle = load == 0;
            let is_ready =
                self.may_lose(now, &machine) || self.crowded_task(now, &machine).is_some();
            if !is_idle && (wanted == 0 || !is_ready) {
                continue;
            }
            self.begin_errand(now, machine, MachineWork::Maintain(number));
            slots -= 1;
            wanted = wanted.saturating_sub(1);
        }
    }

    pub(super) fn begin_errand(&mut self, now: Now, machine: MachineId, work: MachineWork) {
        let executor = self.machines.listed.get(&machine).and_then(|info| info.executor.clone());
        let stage = Stage::Vacating { since: now };
        let not_before = self.machines.free_from(&machine);
        let errand = Errand { work, stage, executor, not_before };
        self.machines.errands.insert(machine, errand);
    }

    /// Numbers of long-running and other tasks on a machine.
    pub(super) fn load_of(&self, machine: &MachineId) -> (usize, usize) {
        let executor = self
            .machines
            .listed
            .get(machine)
            .and_then(|info| info.executor.as_ref())
            .and_then(|id| self.executors.get(id));
        let Some(executor) = executor else { return (0, 0) };
        let is_lasting = |task: &&crate::executor::TaskRef| {
            self.jobs.get(&task.0).is_some_and(|job| job.step(task.1).is_long_running)
        };
        let lasting = executor.tasks.iter().filter(is_lasting).count();
        (lasting, executor.tasks.len() - lasting)
    }

    /// Whether all long-running steps with tasks on a machine can spare those now.
    pub(super) fn may_lose(&self, now: Now, machine: &MachineId) -> bool {
        let executor = self.machines.listed.get(machine).and_then(|info| info.executor.as_ref());
        executor.is_none_or(|id| self.may_lose_executor(now, id))
    }

    fn may_lose_executor(&self, now: Now, id: &ExecutorId) -> bool {
        let Some(executor) = self.executors.get(id) else { return true };
        executor.per_slot.iter().all(|((job_id, slot), &here)| {
            let Some(job) = self.jobs.get(job_id) else { return true };
            let first = job.tasks_of(*slot).start;
            let step = job.step(first);
            if !step.is_long_running || job.is_over() || step.may_miss == 0 {
                return true;
            }
            let away = job
                .tasks_of(*slot)
                .filter(|&index| job.tasks[index].phase.executor() != Some(id))
                .filter(|&index| !self.is_at_work(now, &job.tasks[index]))
                .count() as u32;
            away + here <= step.may_miss
        })
    }

    /// Whether a task is settled at work, as far as its executor still answers.
    fn is_at_work(&self, now: Now, task: &Task) -> bool {
        let Some(id) = task.phase.executor() else { return false };
        let heard_at = self.executors.get(id).and_then(Executor::heard_at);
        let is_heard = heard_at.is_some_and(|at| now.saturating_sub(at) < SILENT_AFTER);
        let since = task.at_work_since;
        is_heard
            && !self.machines.is_leaving(id)
            && !self.machines.holds_executor(now, id)
            && since.is_some_and(|since| now.saturating_sub(since) >= SETTLED_AFTER)
    }

    fn order_vacated(&mut self, now: Now) {
        let machines: Vec<MachineId> = self.machines.errands.keys().cloned().collect();
        if machines.is_empty() {
            return;
        }
        let openings = self.openings(now);
        for machine in machines {
            let errand = &self.machines.errands[&machine];
            if now < errand.not_before {
                continue;
            }
            let is_due = match errand.stage {
                Stage::Vacating { since } => self.is_vacated(now, &machine, since),
                Stage::Ordered { at } => now >= at + REPEAT_ORDER && self.may_lose(now, &machine),
                Stage::Away { .. } => false,
            };
            if !is_due || !self.has_wave_slot(now, &machine) {
                self.thin_out(now, &machine, &openings);
                continue;
            }
            self.lose_long_running(&machine);
            let errand = self.machines.errands.get_mut(&machine).expect("it was read above");
            errand.stage = Stage::Ordered { at: now };
            let work = errand.work.clone();
            self.commands.push(Command::Machine(MachineOrder { machine, work }));
        }
    }

    /// Stops one long-running task on a machine that can't be taken yet, so that it can be later: one
    /// of a step of which more run there than it may miss, or, once nothing else runs there, any that
    /// its step can spare and that has room elsewhere. A machine holds tasks of many steps, which
    /// seldom can all spare one at the same moment; in a wave of 144 of 350 machines the last tenth
    /// waited for that.
    fn thin_out(
        &mut self,
        now: Now,
        machine: &MachineId,
        openings: &HashMap<ServiceName, Openings>,
    ) {
        if !matches!(self.machines.errands[machine].stage, Stage::Vacating { .. }) {
            return;
        }
        let (_, others) = self.load_of(machine);
        let mut task = self.crowded_task(now, machine);
        if task.is_none() && others == 0 && !self.may_lose(now, machine) {
            let movable = self.task_to_spare(now, machine, |_, _| true);
            task = movable.filter(|task| self.has_room_elsewhere(task, openings));
        }
        if let Some(task) = task {
            self.stop_task(now, &task);
        }
    }

    /// Whether another executor that takes work has room for a task.
    fn has_room_elsewhere(
        &self,
        (id, index): &TaskRef,
        openings: &HashMap<ServiceName, Openings>,
    ) -> bool {
        let job = &self.jobs[id];
        let openings = self.service_of(id).and_then(|service| openings.get(service));
        openings.is_some_and(|openings| {
            let mut others = openings.executors.iter().filter_map(|id| self.executors.get(id));
            others.any(|executor| suits(executor, job, *index, None))
        })
    }

    /// A task of a step of which more run on a machine than it may miss.
    fn crowded_task(&self, now: Now, machine: &MachineId) -> Option<TaskRef> {
        self.task_to_spare(now, machine, |step, here| here > step.may_miss)
    }

    /// A long-running task on a machine that its step can spare now, of a step that `suits` by
    /// itself and by the number of its tasks there.
    fn task_to_spare(
        &self,
        now: Now,
        machine: &MachineId,
        suits: impl Fn(&StepSpec, u32) -> bool,
    ) -> Option<TaskRef> {
        let id = self.machines.listed.get(machine)?.executor.as_ref()?;
        let executor = self.executors.get(id)?;
        executor.per_slot.iter().find_map(|((job_id, slot), &here)| {
            let job = self.jobs.get(job_id)?;
            let indices = job.tasks_of(*slot);
            let step = job.step(indices.start);
            let is_bounded = step.is_long_running && step.may_miss > 0;
            if !is_bounded || !suits(step, here) || job.is_over() {
                return None;
            }
            let is_away = |index: &usize| !self.is_at_work(now, &job.tasks[*index]);
            let away = indices.clone().filter(is_away).count() as u32;
            let runs_here = |index: &usize| {
                let phase = &job.tasks[*index].phase;
                phase.executor() == Some(id) && !matches!(phase, Phase::Stopping { .. })
            };
            (away < step.may_miss)
                .then(|| indices.clone().find(runs_here))
                .flatten()
                .map(|index| (job_id.clone(), index))
        })
    }

    fn is_vacated(&self, now: Now, machine: &MachineId, since: Now) -> bool {
        let (_, others) = self.load_of(machine);
        let is_empty = others == 0 || now >= since + LONGEST_VACATING;
        is_empty && self.may_lose(now, machine)
    }

    /// Whether the order may leave without more machines of its wave away than allowed.
    fn has_wave_slot(&self, now: Now, machine: &MachineId) -> bool {
        let errand = &self.machines.errands[machine];
        let MachineWork::Maintain(number) = errand.work else { return true };
        if errand.is_away() {
            return true;
        }
        let Some(progress) = self.machines.waves.get(&number) else { return false };
        let away = self
            .machines
            .errands
            .values()
            .filter(|one| one.work == errand.work && one.is_away())
            .count();
        away + self.away_before(now, progress) < progress.wave.most_away.max(1)
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

    /// Long-running tasks on a machine count as away from the moment that its order leaves.
    fn lose_long_running(&mut self, machine: &MachineId) {
        let Some(id) = self.machines.listed.get(machine).and_then(|info| info.executor.clone())
        else {
            return;
        };
        let Some(executor) = self.executors.get(&id) else { return };
        for (job_id, index) in &executor.tasks {
            if let Some(job) = self.jobs.get_mut(job_id) {
                job.tasks[*index].at_work_since = None;
            }
        }
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
                // Nothing was done, so all conditions have to hold anew.
                errand.stage = Stage::Vacating { since: now };
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
            MachineOrderEnd::Unanswered => {}
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

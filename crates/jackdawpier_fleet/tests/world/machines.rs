//! What becomes of machines: failures, moves and maintenance, and their return with new executors.

use std::sync::Arc;

use jackdawpier_fleet::machines::{MachineOrder, MachineOrderEnd, MachineState, MachineWork};

use super::{MAINTENANCE, MIGRATION, Machine, ORDER_LEASE, STEP, World};

impl World {
    pub(super) fn state_of(&self, machine: &Machine) -> MachineState {
        let is_dead = machine.executor.as_ref().is_some_and(|id| !self.executors[id].is_alive());
        match machine.away_for {
            Some(state) => state,
            None if is_dead || machine.back_at.is_some() => MachineState::Down,
            None => MachineState::Up,
        }
    }

    /// Machines on which something runs.
    pub fn busy_machines(&self) -> Vec<Arc<str>> {
        let is_busy = |machine: &&Arc<str>| {
            self.executors[&self.executor_of(machine)].running().next().is_some()
        };
        self.machines.keys().filter(is_busy).cloned().collect()
    }

    /// Runs until an order about a machine is under way, and returns it.
    pub fn run_until_ordered(&mut self) -> MachineOrder {
        loop {
            if let Some((.., order)) = self.machine_orders_under_way.first() {
                return order.clone();
            }
            self.run_for(STEP);
        }
    }

    pub(super) fn return_machines(&mut self) {
        let due: Vec<(Arc<str>, Arc<str>)> = self
            .machines
            .iter()
            .filter_map(|(id, machine)| {
                let (at, executor) = machine.back_at.as_ref()?;
                (*at <= self.now).then(|| (id.clone(), executor.clone()))
            })
            .collect();
        for (id, former) in due {
            let rack = self.executors[&former].info.rack.clone().unwrap_or_default();
            let pool = self.machines[&id].pool.clone();
            let keeps_id = self.keeps_ids && self.machines[&id].away_for.is_none();
            self.executors.remove(&former);
            let executor = (!self.is_standby(&pool)).then(|| {
                if keeps_id {
                    return self.begin_life(former, &pool, &rack, &id);
                }
                self.new_life(&pool, &rack, &id)
            });
            let machine = self.machines.get_mut(&id).expect("it was listed above");
            machine.executor = executor;
            machine.back_at = None;
            machine.away_for = None;
        }
    }

    pub(super) fn order_machines(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.machine_orders_under_way)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.machine_orders_under_way = rest;
        for (_, fence, order) in due {
            self.check_holder(&order.machine, fence);
            let end = self.order_machine(&order);
            if fence == self.fence {
                self.fleet.machine_order_ended(now, &order, end);
            }
        }
    }

    /// Holders don't take turns about a machine, and an earlier one's order never comes after a
    /// later one's.
    fn check_holder(&mut self, machine: &Arc<str>, fence: u64) {
        let now = self.now;
        let Some((at, last)) = self.ordered.insert(machine.clone(), (now, fence)) else { return };
        assert!(fence >= last, "{machine} ordered under {fence} after {last}");
        assert!(fence == last || now >= at + ORDER_LEASE, "{machine} ordered by two owners");
    }

    pub(super) fn order_machine(&mut self, order: &MachineOrder) -> MachineOrderEnd {
        if !self.takes_machine_orders {
            return MachineOrderEnd::NotTaken;
        }
        self.machine_orders.push((self.now, order.clone()));
        if self.refuses_moves && matches!(order.work, MachineWork::Move(_)) {
            return MachineOrderEnd::Refused;
        }
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&order.machine) else {
            return MachineOrderEnd::Refused;
        };
        if let MachineWork::Maintain(wave) = &order.work
            && machine.maintained_for.contains(wave)
        {
            return MachineOrderEnd::Taken;
        }
        if machine.back_at.is_some() {
            return MachineOrderEnd::Busy;
        }
        if let Some(executor) = machine.executor.clone() {
            self.check_all_spared(&executor);
        }
        let machine = self.machines.get_mut(&order.machine).expect("it was read above");
        let takes = match &order.work {
            MachineWork::Move(pool) => {
                machine.pool = pool.clone();
                machine.away_for = Some(MachineState::Moving);
                MIGRATION
            }
            MachineWork::Maintain(wave) => {
                machine.maintained_for.push(*wave);
                machine.away_for = Some(MachineState::Maintenance);
                MAINTENANCE
            }
        };
        if let Some(executor) = machine.executor.clone() {
            machine.back_at = Some((now + takes, executor.clone()));
            self.executors.get_mut(&executor).expect("it lives").crash();
            return MachineOrderEnd::Taken;
        }
        machine.away_for = None;
        let pool = machine.pool.clone();
        if !self.is_standby(&pool) {
            let id = self.new_life(&pool, "rack-x", &order.machine);
            self.machines.get_mut(&order.machine).expect("read above").executor = Some(id);
        }
        MachineOrderEnd::Taken
    }
}

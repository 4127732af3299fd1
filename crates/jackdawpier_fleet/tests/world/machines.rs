//! Machines of the model: failures, moves and maintenance, and the return with new executors.

use std::sync::Arc;

use jackdawpier_fleet::machines::{MachineOrder, MachineOrderOutcome, MachineState, MachineWork};

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

    /// Returns the machines on which a task runs.
    pub fn busy_machines(&self) -> Vec<Arc<str>> {
        let is_busy = |machine: &&Arc<str>| {
            self.executors[&self.executor_of(machine)].running().next().is_some()
        };
        self.machines.keys().filter(is_busy).cloned().collect()
    }

    /// Runs until an order about a machine is in flight, and returns it.
    pub fn run_until_ordered(&mut self) -> MachineOrder {
        loop {
            if let Some((.., order)) = self.machine_orders_in_flight.first() {
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
        for (id, previous) in due {
            let rack = self.executors[&previous].info.rack.clone().unwrap_or_default();
            let pool = self.machines[&id].pool.clone();
            let keeps_id = self.restarts_keep_ids && self.machines[&id].away_for.is_none();
            self.executors.remove(&previous);
            let executor = (!self.is_standby(&pool)).then(|| {
                if keeps_id {
                    return self.begin_incarnation(previous, &pool, &rack, &id);
                }
                self.new_incarnation(&pool, &rack, &id)
            });
            let machine = self.machines.get_mut(&id).expect("it was listed above");
            machine.executor = executor;
            machine.back_at = None;
            machine.away_for = None;
        }
    }

    pub(super) fn deliver_machine_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.machine_orders_in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.machine_orders_in_flight = rest;
        for (_, fence, order) in due {
            self.check_machine_order_owner(&order.machine, fence);
            let end = self.apply_machine_order(&order);
            if fence == self.fence {
                self.fleet.machine_order_ended(now, &order, end);
            }
        }
    }

    /// Asserts that two owners don't order a machine within [`ORDER_LEASE`], and that no order arrives after one of
    /// a newer owner.
    fn check_machine_order_owner(&mut self, machine: &Arc<str>, fence: u64) {
        let now = self.now;
        let Some((at, last)) = self.last_machine_orders.insert(machine.clone(), (now, fence))
        else {
            return;
        };
        assert!(fence >= last, "{machine} ordered under {fence} after {last}");
        assert!(fence == last || now >= at + ORDER_LEASE, "{machine} ordered by two owners");
    }

    pub(super) fn apply_machine_order(&mut self, order: &MachineOrder) -> MachineOrderOutcome {
        if !self.accepts_machine_orders {
            return MachineOrderOutcome::NotTaken;
        }
        self.machine_orders.push((self.now, order.clone()));
        if self.refuses_moves && matches!(order.work, MachineWork::Move(_)) {
            return MachineOrderOutcome::Refused;
        }
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&order.machine) else {
            return MachineOrderOutcome::Refused;
        };
        if let MachineWork::Maintain(wave) = &order.work
            && machine.maintained_for.contains(wave)
        {
            return MachineOrderOutcome::Taken;
        }
        if machine.back_at.is_some() {
            return MachineOrderOutcome::Busy;
        }
        if let Some(executor) = machine.executor.clone() {
            self.check_may_miss_on(&executor);
        }
        let machine = self.machines.get_mut(&order.machine).expect("it was read above");
        let duration = match &order.work {
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
            machine.back_at = Some((now + duration, executor.clone()));
            self.executors.get_mut(&executor).expect("the executor is alive").crash();
            return MachineOrderOutcome::Taken;
        }
        machine.away_for = None;
        let pool = machine.pool.clone();
        if !self.is_standby(&pool) {
            let id = self.new_incarnation(&pool, "rack-x", &order.machine);
            self.machines.get_mut(&order.machine).expect("read above").executor = Some(id);
        }
        MachineOrderOutcome::Taken
    }
}

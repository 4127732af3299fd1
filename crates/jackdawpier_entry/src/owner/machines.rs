//! Follows the platform's machines and the operators' maintenance waves, and sends machine orders.

use std::{rc::Rc, time::Duration};

use jackdawpier_fleet::machines::{MachineId, MachineOrder, MachineOrderOutcome, WaveState};
use serde_json::json;

use super::Owner;
use crate::{
    clock, keys, link,
    ports::{Platform, Transaction},
};

/// Minimum interval between two listings of machines and waves. Delays the detection of an executor's end and
/// of a machine's return.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(300);
/// Share of the link that listings may use.
const LINK_SHARE: f64 = 0.1;
/// Size of a machine in a listing.
const BITS_PER_MACHINE: f64 = 2000.0;
/// Delay before a failed write of a wave's state is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the pause after a listing of this many machines over a link of this speed.
fn list_pause(machines: usize, link_mbps: f64) -> Duration {
    let bits = machines as f64 * BITS_PER_MACHINE;
    MIN_LIST_INTERVAL.max(link::transfer_time_of_bits(bits, link_mbps, LINK_SHARE))
}

impl<P: Platform> Owner<P> {
    pub(super) async fn follow_machines(self: Rc<Self>) {
        while self.is_valid() {
            let asked_at = clock::now();
            let mut pause = MIN_LIST_INTERVAL;
            match self.platform.machines().await {
                Ok(machines) if self.is_valid() => {
                    pause = list_pause(machines.len(), self.settings.link_mbps);
                    self.fleet.borrow_mut().update_machines(clock::now(), asked_at, machines);
                }
                Ok(_) => {}
                Err(error) => {
                    self.events.emit("machines_missed", json!({ "why": error.to_string() }));
                }
            }
            self.list_waves().await;
            if self.is_valid() {
                self.execute_commands();
                self.tick_requested.notify_one();
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn list_waves(&self) {
        let Ok(listing) = self.platform.list(self.platform.wave_prefix()).await else { return };
        self.log_left_out(&listing.unreadable);
        let mut waves = Vec::new();
        let mut is_complete = listing.unreadable.is_empty();
        for item in &listing.items {
            match self.platform.read_wave(&item.value) {
                Ok(wave) => waves.push((wave, Duration::ZERO)),
                Err(error) => {
                    is_complete = false;
                    self.log_unreadable(&item.key, &error.to_string());
                }
            }
        }
        let numbers: Vec<u64> = waves.iter().map(|(wave, _)| wave.number).collect();
        let is_new = |number: &u64| !self.fleet.borrow().knows_wave(*number);
        let new: Vec<u64> = numbers.into_iter().filter(is_new).collect();
        let mut maintained = Vec::new();
        for number in new {
            let Ok(item) = self.platform.get(&keys::wave(number)).await else { return };
            let machines: Vec<MachineId> =
                item.and_then(|item| serde_json::from_slice(&item.value).ok()).unwrap_or_default();
            maintained.push((number, machines));
        }
        if !self.is_valid() {
            return;
        }
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_waves(clock::now(), waves, is_complete);
        for (number, machines) in maintained {
            fleet.recover_wave(number, machines);
        }
    }

    /// Sends a machine order after recording it in the store and confirming the ownership, which alone keep a
    /// previous owner's order from conflicting with a later one's. This may take seconds, so the fleet is asked
    /// afterwards whether the order may still be sent.
    pub(super) async fn order_machine(self: Rc<Self>, order: MachineOrder) {
        let is_recorded = self.record_order(&order.machine).await;
        let may_send =
            is_recorded && self.fleet.borrow().may_send_machine_order(clock::now(), &order);
        let outcome = if may_send {
            self.platform.send_order(&order, &self.settings.entry, self.term.fence).await
        } else {
            MachineOrderOutcome::NotTaken
        };
        self.order_note.order_ended(clock::now(), &order.machine);
        let fields = json!({ "machine": *order.machine, "work": format!("{:?}", order.work), "end": format!("{outcome:?}"), "left": may_send });
        self.events.emit("machine_ordered", fields);
        if self.is_valid() {
            self.fleet.borrow_mut().machine_order_ended(clock::now(), &order, outcome);
            self.execute_commands();
            self.tick_requested.notify_one();
        }
    }

    /// Writes the state of a wave for operators and later owners.
    pub(super) async fn publish_wave(self: Rc<Self>, state: WaveState) {
        let (key, value) = self.platform.encode_wave_status(&state);
        let maintained = serde_json::to_vec(&state.maintained).unwrap_or_default();
        let transaction = Transaction {
            expect: vec![(keys::OWNER.to_owned(), self.term.fence)],
            puts: vec![(key, value, None), (keys::wave(state.number), maintained, None)],
            removes: Vec::new(),
        };
        while self.is_valid() && self.fleet.borrow().is_current_wave_state(&state) {
            if self.platform.commit(&transaction).await.is_ok() {
                let fields = json!({ "wave": state.number, "completed": state.is_completed, "maintained": state.maintained.len() });
                self.events.emit("wave", fields);
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

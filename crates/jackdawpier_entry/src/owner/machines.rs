//! Machines and waves of maintenance, as the platform and operators list them.

use std::{rc::Rc, time::Duration};

use jackdawpier_fleet::machines::{MachineId, MachineOrder, MachineOrderOutcome, WaveState};
use serde_json::json;

use super::Owner;
use crate::{
    clock, keys, link,
    ports::{Platform, Transaction},
};

/// Shortest pause between two listings of machines and waves: how late the end of an executor and
/// the return of a machine are seen.
const LIST_PAUSE: Duration = Duration::from_millis(300);
/// Part of the link that listings may take.
const LINK_PART: f64 = 0.1;
/// Size of a machine in a listing, in bits.
const BITS_PER_MACHINE: f64 = 2000.0;
/// Pause before the state of a wave is written again.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// The pause after a listing of this many machines over this link.
fn list_pause(machines: usize, link_mbps: f64) -> Duration {
    let bits = machines as f64 * BITS_PER_MACHINE;
    LIST_PAUSE.max(link::transfer_time_of_bits(bits, link_mbps, LINK_PART))
}

impl<P: Platform> Owner<P> {
    pub(super) async fn follow_machines(self: Rc<Self>) {
        while self.is_valid() {
            let asked_at = clock::now();
            let mut pause = LIST_PAUSE;
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
                self.changed.notify_one();
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn list_waves(&self) {
        let Ok(listing) = self.platform.list(self.platform.wave_prefix()).await else { return };
        let mut waves = Vec::new();
        let mut is_whole = true;
        for item in &listing.items {
            match self.platform.read_wave(&item.value) {
                Ok(wave) => waves.push((wave, Duration::ZERO)),
                Err(error) => {
                    is_whole = false;
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
        fleet.set_waves(clock::now(), waves, is_whole);
        for (number, machines) in maintained {
            fleet.recover_wave(number, machines);
        }
    }

    /// Sends an order about a machine, once it is noted and the store has confirmed the ownership:
    /// nothing else keeps a former owner's order from mixing with a later one's. That may take seconds, after which it is
    /// asked again whether the order may leave.
    pub(super) async fn order_machine(self: Rc<Self>, order: MachineOrder) {
        let is_noted = self.record_order(&order.machine).await;
        let may_leave =
            is_noted && self.fleet.borrow().may_send_machine_order(clock::now(), &order);
        let end = if may_leave {
            self.platform.send_order(&order, &self.settings.entry, self.term.fence).await
        } else {
            MachineOrderOutcome::NotTaken
        };
        self.order_note.order_ended(clock::now(), &order.machine);
        let fields = json!({ "machine": *order.machine, "work": format!("{:?}", order.work), "end": format!("{end:?}"), "left": may_leave });
        self.events.emit("machine_ordered", fields);
        if self.is_valid() {
            self.fleet.borrow_mut().machine_order_ended(clock::now(), &order, end);
            self.execute_commands();
            self.changed.notify_one();
        }
    }

    /// Writes the state of a wave for operators and for later owners.
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
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }
}

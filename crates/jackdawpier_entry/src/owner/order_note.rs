//! A stored note of recent machine orders for the next owner.
//!
//! Machine orders aren't fenced: two owners must not send orders for the same machine within some seconds.
//! Each order is recorded in the note before it is sent, by a write that also confirms the ownership. The next
//! owner waits with orders for the machines in the note, and may send orders for all others at once.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use jackdawpier_fleet::machines::MachineId;
use jackdawpier_kernel::{Now, ids::Revision};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Mutex;

use super::{Owner, fleet_settings};
use crate::{
    clock, keys,
    ports::{CallResult, Platform, Transaction, TransactionOutcome},
};

/// Delay before a failed read of the note is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which outdated orders are removed from the note.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// The last order for a machine, as the note contains it.
#[derive(Debug, Serialize, Deserialize)]
struct RecordedOrder {
    machine: MachineId,
    /// Time from the last order to the write of the note. An age needs no common clock.
    age_ms: u64,
}

/// The note of one term.
#[derive(Debug, Default)]
pub(crate) struct OrderNote {
    /// When the last order for each machine ended; `None` while it is about to be sent or in flight.
    order_ended_at: RefCell<BTreeMap<MachineId, Option<Now>>>,
    /// Number of orders added, and how many of them are in the stored note.
    added: Cell<u64>,
    written: Cell<u64>,
    /// Revision of the stored note; `None` while the outcome of a write is unknown.
    revision: Mutex<Option<Revision>>,
}

impl OrderNote {
    fn add(&self, machine: &MachineId) -> u64 {
        self.order_ended_at.borrow_mut().insert(machine.clone(), None);
        self.added.set(self.added.get() + 1);
        self.added.get()
    }

    /// Notes that an order for a machine has ended, whether it was sent or not.
    pub(super) fn order_ended(&self, at: Now, machine: &MachineId) {
        self.order_ended_at.borrow_mut().insert(machine.clone(), Some(at));
    }

    /// Whether the stored note contains orders that have ended at least `relevant_for` ago.
    fn is_outdated(&self, now: Now, relevant_for: Duration) -> bool {
        let is_old = |at: &Option<Now>| at.is_some_and(|at| now.saturating_sub(at) >= relevant_for);
        self.order_ended_at.borrow().values().any(is_old)
    }

    /// Encodes the orders that ended less than `relevant_for` ago, with their ages.
    fn encode(&self, now: Now, relevant_for: Duration) -> Vec<u8> {
        let mut order_ended_at = self.order_ended_at.borrow_mut();
        let age = |at: &Option<Now>| at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let age_ms = |at: &Option<Now>| age(at).as_millis() as u64;
        order_ended_at.retain(|_, at| age(at) < relevant_for);
        let recorded: Vec<RecordedOrder> = order_ended_at
            .iter()
            .map(|(machine, at)| RecordedOrder { machine: machine.clone(), age_ms: age_ms(at) })
            .collect();
        serde_json::to_vec(&recorded).expect("names and numbers can be written as JSON")
    }
}

impl<P: Platform> Owner<P> {
    /// Reads the previous owner's machine orders, and delays orders for those machines.
    pub(super) async fn recover_machine_orders(&self) {
        while self.is_valid() {
            let Ok(item) = self.platform.get(keys::MACHINE_ORDERS).await else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let now = clock::now();
            let revision = item.as_ref().map_or(0, |item| item.revision);
            let recorded: Vec<RecordedOrder> =
                match item.map(|item| serde_json::from_slice(&item.value)) {
                    None => Vec::new(),
                    Some(Ok(recorded)) => recorded,
                    Some(Err(error)) => {
                        // Without the note, orders for all machines are delayed.
                        self.log_unreadable(keys::MACHINE_ORDERS, &error.to_string());
                        return;
                    }
                };
            *self.order_note.revision.lock().await = Some(revision);
            self.events.emit("machine_orders_recovered", json!({ "machines": recorded.len() }));
            let machines = recorded.into_iter().map(|recorded| {
                let age = Duration::from_millis(recorded.age_ms);
                self.order_note.order_ended(now.saturating_sub(age), &recorded.machine);
                (recorded.machine, age)
            });
            let machines = machines.collect();
            self.fleet.borrow_mut().recover_orders(now, machines);
            return;
        }
    }

    fn order_lease(&self) -> Duration {
        fleet_settings(&self.settings).order_lease
    }

    /// Rewrites the note once it contains outdated orders. Ages are relative to the write of the note, so the
    /// next owner would otherwise delay orders for those machines for up to 3.9 s, when it has most to move.
    pub(super) async fn prune_order_note(self: Rc<Self>) {
        while self.is_valid() {
            tokio::time::sleep(PRUNE_INTERVAL).await;
            if self.order_note.is_outdated(clock::now(), self.order_lease()) {
                let mut revision = self.order_note.revision.lock().await;
                if let Err(error) = self.write_order_note(&mut revision).await {
                    self.events.emit("note_not_tidied", json!({ "why": error.to_string() }));
                }
            }
        }
    }

    /// Records an order in the stored note before it is sent. Returns whether the order may be sent: the note is
    /// stored and the store has just confirmed the ownership.
    pub(super) async fn record_order(&self, machine: &MachineId) -> bool {
        let note = &self.order_note;
        let order_number = note.add(machine);
        let mut revision = note.revision.lock().await;
        // A write that began after the order was added contains it.
        if note.written.get() >= order_number {
            return self.is_valid();
        }
        // Hundreds of orders may have waited for the lock; after the term none of them needs a write.
        if !self.is_valid() {
            return false;
        }
        match self.write_order_note(&mut revision).await {
            Ok(is_written) => is_written && self.is_valid(),
            Err(error) => {
                let fields = json!({ "machine": **machine, "why": error.to_string() });
                self.events.emit("machine_not_noted", fields);
                false
            }
        }
    }

    /// Writes the note under the condition that this entry is the owner and the stored note is unchanged.
    /// Returns whether the note is stored.
    async fn write_order_note(&self, revision: &mut Option<Revision>) -> CallResult<bool> {
        let note = &self.order_note;
        let expected = match *revision {
            Some(expected) => expected,
            None => self.platform.get(keys::MACHINE_ORDERS).await?.map_or(0, |item| item.revision),
        };
        *revision = None;
        let covered = note.added.get();
        let key = keys::MACHINE_ORDERS.to_owned();
        let transaction = Transaction {
            expect: vec![(keys::OWNER.to_owned(), self.term.fence), (key.clone(), expected)],
            puts: vec![(key, note.encode(clock::now(), self.order_lease()), None)],
            removes: Vec::new(),
        };
        match self.platform.commit(&transaction).await? {
            TransactionOutcome::Committed(committed) => {
                *revision = Some(committed);
                note.written.set(covered);
                Ok(true)
            }
            TransactionOutcome::Conflict(items) => {
                let is_owner = |item: &crate::ports::Item| {
                    item.key == keys::OWNER && item.revision == self.term.fence
                };
                if !items.iter().any(is_owner) {
                    self.term.mark_lost();
                }
                Ok(false)
            }
        }
    }
}

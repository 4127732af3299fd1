//! Which machines were ordered lately, as the next owner finds it.
//!
//! Orders about machines aren't fenced: two owners must not order one machine within some seconds.
//! Each order is noted before it leaves, in a write that also confirms the ownership. So the next
//! owner leaves alone what its predecessor ordered, and may order all else at once.

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

/// Pause before a note that couldn't be read is asked for again.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// How often the note is looked at for orders that don't matter any more.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);

/// A machine in the note.
#[derive(Debug, Serialize, Deserialize)]
struct Noted {
    machine: MachineId,
    /// Time from its last order to the write of the note. Ages need no common clock.
    age_ms: u64,
}

/// The note of one term.
#[derive(Debug, Default)]
pub(crate) struct OrderNote {
    /// When the last order about each machine was over; none while it is about to leave or under way.
    ordered_at: RefCell<BTreeMap<MachineId, Option<Now>>>,
    /// Orders that were added, and how many of them the store holds.
    added: Cell<u64>,
    written: Cell<u64>,
    /// Of the note in the store; none while a write of it has an unknown outcome.
    revision: Mutex<Option<Revision>>,
}

impl OrderNote {
    fn add(&self, machine: &MachineId) -> u64 {
        self.ordered_at.borrow_mut().insert(machine.clone(), None);
        self.added.set(self.added.get() + 1);
        self.added.get()
    }

    /// An order about a machine is over, whether it left or not.
    pub(super) fn order_ended(&self, at: Now, machine: &MachineId) {
        self.ordered_at.borrow_mut().insert(machine.clone(), Some(at));
    }

    /// Whether the note in the store names machines whose orders don't matter any more.
    fn is_outdated(&self, now: Now, relevant_for: Duration) -> bool {
        let is_old = |at: &Option<Now>| at.is_some_and(|at| now.saturating_sub(at) >= relevant_for);
        self.ordered_at.borrow().values().any(is_old)
    }

    /// What to write now: the machines whose orders may matter for `relevant_for`, with their ages.
    fn value(&self, now: Now, relevant_for: Duration) -> Vec<u8> {
        let mut ordered_at = self.ordered_at.borrow_mut();
        let age = |at: &Option<Now>| at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let age_ms = |at: &Option<Now>| age(at).as_millis() as u64;
        ordered_at.retain(|_, at| age(at) < relevant_for);
        let noted: Vec<Noted> = ordered_at
            .iter()
            .map(|(machine, at)| Noted { machine: machine.clone(), age_ms: age_ms(at) })
            .collect();
        serde_json::to_vec(&noted).expect("names and numbers can be written as JSON")
    }
}

impl<P: Platform> Owner<P> {
    /// Reads which machines the former owner ordered, and leaves those alone for a while.
    pub(super) async fn recover_machine_orders(&self) {
        while self.is_valid() {
            let Ok(item) = self.platform.get(keys::MACHINE_ORDERS).await else {
                tokio::time::sleep(REPEAT_PAUSE).await;
                continue;
            };
            let now = clock::now();
            let revision = item.as_ref().map_or(0, |item| item.revision);
            let noted: Vec<Noted> = match item.map(|item| serde_json::from_slice(&item.value)) {
                None => Vec::new(),
                Some(Ok(noted)) => noted,
                Some(Err(error)) => {
                    // Without it all machines are left alone for a while.
                    self.log_unreadable(keys::MACHINE_ORDERS, &error.to_string());
                    return;
                }
            };
            *self.order_note.revision.lock().await = Some(revision);
            self.events.emit("machine_orders_recovered", json!({ "machines": noted.len() }));
            let machines = noted.into_iter().map(|noted| {
                let age = Duration::from_millis(noted.age_ms);
                self.order_note.order_ended(now.saturating_sub(age), &noted.machine);
                (noted.machine, age)
            });
            let machines = machines.collect();
            self.fleet.borrow_mut().recover_orders(now, machines);
            return;
        }
    }

    fn order_lease(&self) -> Duration {
        fleet_settings(&self.settings).order_lease
    }

    /// Writes the note anew once orders in it don't matter any more: ages in it are as old as the note, so
    /// the next owner would leave those machines alone for up to 3.9 s, in which it has most to move.
    pub(super) async fn prune_order_note(self: Rc<Self>) {
        while self.is_valid() {
            tokio::time::sleep(TIDY_INTERVAL).await;
            if self.order_note.is_outdated(clock::now(), self.order_lease()) {
                let mut revision = self.order_note.revision.lock().await;
                if let Err(error) = self.write_order_note(&mut revision).await {
                    self.events.emit("note_not_tidied", json!({ "why": error.to_string() }));
                }
            }
        }
    }

    /// Notes that a machine is about to be ordered. Returns whether the order may leave: the store
    /// holds the note and has just confirmed the ownership.
    pub(super) async fn record_order(&self, machine: &MachineId) -> bool {
        let note = &self.order_note;
        let place = note.add(machine);
        let mut revision = note.revision.lock().await;
        // A write that began after the order was added carries it.
        if note.written.get() >= place {
            return self.is_valid();
        }
        // Hundreds may have waited, and none of them may leave any more.
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

    /// Writes the note under the condition that this is the owner and the note is as it was left. Returns
    /// whether the store holds it.
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
            puts: vec![(key, note.value(clock::now(), self.order_lease()), None)],
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

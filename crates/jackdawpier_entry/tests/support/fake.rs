//! An in-memory platform for tests: a store with leases and injectable faults, and the rest of the platform
//! ([`outside`]).

mod outside;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jackdawpier_entry::{
    clock, keys,
    ports::{
        CallError, CallResult, Change, Changes, Item, LeaseId, Listing, ListingEnd, Store,
        Transaction, TransactionOutcome,
    },
    response_progress::ResponseProgress,
};
use jackdawpier_fleet::{
    executor::EndedTask,
    machines::MachineId,
    spec::{RunNumber, TaskKey},
};
use jackdawpier_kernel::Now;

pub use outside::configuration;

/// A fault of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFault {
    /// Applied, but the answer is lost.
    AnswerLost,
    /// Not answered; applied later by [`Fake::apply_delayed_writes`].
    Delayed,
    /// Not answered and never applied.
    Lost,
    /// Refused.
    Refused,
    /// Not answered until the caller times out, and never applied.
    Hangs,
}

#[derive(Debug)]
struct StoredItem {
    value: Vec<u8>,
    revision: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, StoredItem>,
    revision: u64,
    leases: BTreeMap<LeaseId, (Now, Duration)>,
    next_lease: LeaseId,
    write_faults: VecDeque<WriteFault>,
    delayed: Vec<Transaction>,
    commits: usize,
    /// Rows of the largest transaction.
    max_rows: usize,
    listings: usize,
    /// Reads of items and listings, excluding the watches' own.
    reads: usize,
    /// Reads of each item.
    reads_of: BTreeMap<String, usize>,
    /// Bytes of the values that listings have returned.
    listed_bytes: usize,
    /// Listings of each prefix, excluding the watches' own.
    listings_of: BTreeMap<String, usize>,
    ended: Vec<EndedTask>,
    starts: Vec<(TaskKey, RunNumber)>,
    /// Whether starts get no answer.
    are_starts_held: bool,
    is_down: bool,
    /// Whether watches report no changes.
    are_watches_stalled: bool,
    /// Whether watches end at once, without changes.
    do_watches_end_at_once: bool,
    watches: usize,
    /// Duration of a call of the store, half of it before the call takes effect.
    delay: Duration,
    /// One read of an item in this many is served, the others are refused; 0: all are served.
    serves_one_in: usize,
    /// Additional duration of a listing.
    list_delay: Duration,
    /// Whether submitted jobs run until they are cancelled.
    are_jobs_long_running: bool,
    /// Number of machines that a maintenance wave asks for.
    machines_due: usize,
    /// Machine orders, each with the note that the store contained then.
    machine_orders: Vec<(MachineId, Option<String>)>,
}

/// The platform, and whether the connection that this clone and its clones share is disconnected.
#[derive(Debug, Clone, Default)]
pub struct Fake(Rc<RefCell<State>>, Rc<Cell<bool>>);

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 262_144;
/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1_048_576;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Key of the operators' document.
pub const CONFIGURATION: &str = "configuration";
pub const EXECUTOR: &str = "executor-1";
pub const QUEUE: &str = "queue";
/// An unreadable value of the registry or of a wave.
pub const UNREADABLE: &[u8] = b"unreadable";

fn machine_id(number: usize) -> MachineId {
    format!("machine-{number}").as_str().into()
}

impl Fake {
    /// Lets the next writes fail with these faults; later ones succeed.
    pub fn fail_next_writes(&self, faults: &[WriteFault]) {
        self.0.borrow_mut().write_faults.extend(faults);
    }

    /// Lets all further writes succeed.
    pub fn clear_write_faults(&self) {
        self.0.borrow_mut().write_faults.clear();
    }

    /// Returns the number of rows of the largest transaction.
    pub fn max_rows(&self) -> usize {
        self.0.borrow().max_rows
    }

    /// Returns the number of leases.
    pub fn leases(&self) -> usize {
        self.0.borrow().leases.len()
    }

    /// Ends all leases and removes their items.
    pub fn end_leases(&self) {
        let mut state = self.0.borrow_mut();
        state.leases.clear();
        state.items.retain(|_, stored| stored.lease.is_none());
    }

    pub fn apply_delayed_writes(&self) {
        let delayed = std::mem::take(&mut self.0.borrow_mut().delayed);
        delayed.iter().for_each(|transaction| {
            self.apply(transaction);
        });
    }

    /// Returns the same platform over a separate connection.
    pub fn with_own_connection(&self) -> Self {
        Self(self.0.clone(), Rc::default())
    }

    /// Disconnects this connection to the platform for good.
    pub fn disconnect(&self) {
        self.1.set(true);
    }

    pub fn set_down(&self, is_down: bool) {
        self.0.borrow_mut().is_down = is_down;
    }

    /// Takes the store down for a time, during which leases pause.
    pub async fn pause_store(&self, time: Duration) {
        self.set_down(true);
        tokio::time::sleep(time).await;
        let mut state = self.0.borrow_mut();
        state.leases.values_mut().for_each(|(until, _)| *until += time);
        state.is_down = false;
    }

    /// Makes watches report no changes.
    pub fn stall_watches(&self, are_watches_stalled: bool) {
        self.0.borrow_mut().are_watches_stalled = are_watches_stalled;
    }

    /// Makes watches end at once, without changes.
    pub fn end_watches_at_once(&self, do_watches_end_at_once: bool) {
        self.0.borrow_mut().do_watches_end_at_once = do_watches_end_at_once;
    }

    pub fn watches(&self) -> usize {
        self.0.borrow().watches
    }

    /// Sets the duration of each call of the store.
    pub fn set_delay(&self, delay: Duration) {
        self.0.borrow_mut().delay = delay;
    }

    /// Sets the additional duration of each listing, as of one with many items.
    pub fn set_list_delay(&self, delay: Duration) {
        self.0.borrow_mut().list_delay = delay;
    }

    /// Waits for half of a call's duration.
    async fn half_round_trip(&self) {
        let delay = self.0.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay / 2).await;
        }
    }

    /// Lets all further starts wait for their answers for good.
    pub fn hold_starts(&self) {
        self.0.borrow_mut().are_starts_held = true;
    }

    pub fn set_long_running(&self, are_jobs_long_running: bool) {
        self.0.borrow_mut().are_jobs_long_running = are_jobs_long_running;
    }

    pub fn remove(&self, key: &str) {
        self.0.borrow_mut().items.remove(key);
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        let puts = vec![(key.to_owned(), value.to_vec(), None)];
        self.apply(&Transaction { puts, ..Transaction::default() });
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.0.borrow().items.get(key).map(|stored| stored.value.clone())
    }

    pub fn revision(&self, key: &str) -> Option<u64> {
        self.0.borrow().items.get(key).map(|stored| stored.revision)
    }

    pub fn commits(&self) -> usize {
        self.0.borrow().commits
    }

    pub fn request_maintenance(&self) {
        self.request_maintenance_of(1);
    }

    /// Starts a maintenance wave of this many machines.
    pub fn request_maintenance_of(&self, machines: usize) {
        self.0.borrow_mut().machines_due = machines;
        self.put("wave/1", b"");
    }

    pub fn machine_orders(&self) -> Vec<(MachineId, Option<String>)> {
        self.0.borrow().machine_orders.clone()
    }

    pub fn listings(&self) -> usize {
        self.0.borrow().listings
    }

    /// Returns the number of listings of a prefix, excluding the watches' own.
    pub fn listings_of(&self, prefix: &str) -> usize {
        self.0.borrow().listings_of.get(prefix).copied().unwrap_or(0)
    }

    /// Returns the number of bytes of the values that listings have returned.
    pub fn listed_bytes(&self) -> usize {
        self.0.borrow().listed_bytes
    }

    /// Returns the number of reads of an item, excluding the watches' own.
    pub fn reads_of(&self, key: &str) -> usize {
        self.0.borrow().reads_of.get(key).copied().unwrap_or(0)
    }

    pub fn reads(&self) -> usize {
        self.0.borrow().reads
    }

    pub fn starts(&self) -> Vec<(TaskKey, RunNumber)> {
        self.0.borrow().starts.clone()
    }

    fn items_under(&self, prefix: &str) -> CallResult<Listing> {
        self.check_up()?;
        self.0.borrow_mut().listings += 1;
        let state = self.0.borrow();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items = items.map(|(key, stored)| Item {
            key: key.clone(),
            value: stored.value.clone(),
            revision: stored.revision,
        });
        Ok(Listing { items: items.collect(), unreadable: Vec::new(), revision: state.revision })
    }

    fn expire_leases(&self) {
        let mut state = self.0.borrow_mut();
        let now = clock::now();
        let ended: Vec<LeaseId> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            state.leases.remove(&lease);
            state.items.retain(|_, stored| stored.lease != Some(lease));
        }
    }

    fn apply(&self, transaction: &Transaction) -> TransactionOutcome {
        self.expire_leases();
        let mut state = self.0.borrow_mut();
        let holds = transaction.expect.iter().all(|(key, revision)| {
            state.items.get(key).map_or(0, |stored| stored.revision) == *revision
        });
        if !holds {
            let items = transaction.expect.iter().filter_map(|(key, _)| {
                let stored = state.items.get(key)?;
                let (value, revision) = (stored.value.clone(), stored.revision);
                Some(Item { key: key.clone(), value, revision })
            });
            return TransactionOutcome::Conflict(items.collect());
        }
        state.revision += 1;
        let revision = state.revision;
        for (key, value, lease) in &transaction.puts {
            let stored = StoredItem { value: value.clone(), revision, lease: *lease };
            state.items.insert(key.clone(), stored);
        }
        for key in &transaction.removes {
            state.items.remove(key);
        }
        TransactionOutcome::Committed(revision)
    }

    /// Serves one read of an item in this many and refuses the others, as a rate limit does.
    pub fn serve_one_in(&self, reads: usize) {
        self.0.borrow_mut().serves_one_in = reads;
    }

    fn check_rate(&self) -> CallResult<()> {
        let state = self.0.borrow();
        if state.serves_one_in > 1 && !state.reads.is_multiple_of(state.serves_one_in) {
            return Err(CallError::NotDone { reason: "too many reads".to_owned() });
        }
        Ok(())
    }

    fn check_up(&self) -> CallResult<()> {
        if self.0.borrow().is_down || self.1.get() {
            return Err(CallError::NotDone { reason: "down".to_owned() });
        }
        Ok(())
    }
}

impl Store for Fake {
    fn response_progress(&self) -> ResponseProgress {
        ResponseProgress::default()
    }

    fn sending_time(&self, _bytes: usize) -> Duration {
        Duration::ZERO
    }

    async fn get(&self, key: &str) -> CallResult<Option<Item>> {
        self.0.borrow_mut().reads += 1;
        *self.0.borrow_mut().reads_of.entry(key.to_owned()).or_default() += 1;
        self.half_round_trip().await;
        self.check_up()?;
        self.check_rate()?;
        self.expire_leases();
        let item = self.0.borrow().items.get(key).map(|stored| Item {
            key: key.to_owned(),
            value: stored.value.clone(),
            revision: stored.revision,
        });
        self.half_round_trip().await;
        Ok(item)
    }

    async fn list_pages(
        &self,
        prefix: &str,
        mut on_page: impl FnMut(Vec<Item>),
    ) -> CallResult<ListingEnd> {
        self.0.borrow_mut().reads += 1;
        *self.0.borrow_mut().listings_of.entry(prefix.to_owned()).or_default() += 1;
        self.half_round_trip().await;
        let list_delay = self.0.borrow().list_delay;
        tokio::time::sleep(list_delay).await;
        let listing = self.items_under(prefix)?;
        let bytes: usize = listing.items.iter().map(|item| item.value.len()).sum();
        self.0.borrow_mut().listed_bytes += bytes;
        self.half_round_trip().await;
        let end = ListingEnd { unreadable: listing.unreadable, revision: listing.revision };
        on_page(listing.items);
        Ok(end)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> CallResult<Changes> {
        let until = clock::now() + wait;
        self.0.borrow_mut().watches += 1;
        if self.0.borrow().do_watches_end_at_once {
            return Ok(Changes { revision: after, ..Changes::default() });
        }
        loop {
            let listing = self.items_under(prefix)?;
            let changes: Vec<Change> = listing
                .items
                .into_iter()
                .filter(|item| item.revision > after)
                .map(Change::Put)
                .collect();
            let are_watches_stalled = self.0.borrow().are_watches_stalled;
            if are_watches_stalled && clock::now() > until {
                return Ok(Changes { revision: after, ..Changes::default() });
            }
            if !are_watches_stalled && (!changes.is_empty() || clock::now() > until) {
                let revision = listing.revision;
                return Ok(Changes { changes, revision, ..Changes::default() });
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    async fn commit(&self, transaction: &Transaction) -> CallResult<TransactionOutcome> {
        self.half_round_trip().await;
        self.check_up()?;
        if transaction.puts.iter().any(|(_, value, _)| value.len() > MAX_VALUE_BYTES) {
            return Err(CallError::NotDone { reason: "a value is too large".to_owned() });
        }
        let rows = transaction.expect.len() + transaction.puts.len() + transaction.removes.len();
        {
            let mut state = self.0.borrow_mut();
            state.commits += 1;
            state.max_rows = state.max_rows.max(rows);
        }
        let fault = self.0.borrow_mut().write_faults.pop_front();
        let unanswered = Err(CallError::Unanswered { reason: "lost".to_owned() });
        match fault {
            None => {
                let end = self.apply(transaction);
                self.half_round_trip().await;
                Ok(end)
            }
            Some(WriteFault::AnswerLost) => {
                self.apply(transaction);
                unanswered
            }
            Some(WriteFault::Delayed) => {
                self.0.borrow_mut().delayed.push(transaction.clone());
                unanswered
            }
            Some(WriteFault::Lost) => unanswered,
            Some(WriteFault::Hangs) => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                unanswered
            }
            Some(WriteFault::Refused) => Err(CallError::NotDone { reason: "busy".to_owned() }),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> CallResult<LeaseId> {
        self.check_up()?;
        let mut state = self.0.borrow_mut();
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, (clock::now() + ttl, ttl));
        Ok(lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> CallResult<()> {
        self.half_round_trip().await;
        self.check_up()?;
        self.expire_leases();
        {
            let mut state = self.0.borrow_mut();
            let (until, ttl) = state.leases.get_mut(&lease).ok_or(CallError::LeaseEnded)?;
            *until = clock::now() + *ttl;
        }
        self.half_round_trip().await;
        Ok(())
    }

    async fn end_lease(&self, lease: LeaseId) -> CallResult<()> {
        self.check_up()?;
        let mut state = self.0.borrow_mut();
        state.leases.remove(&lease);
        state.items.retain(|_, stored| stored.lease != Some(lease));
        Ok(())
    }
}

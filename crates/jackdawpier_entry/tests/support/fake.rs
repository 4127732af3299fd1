//! A platform in memory: a store with leases whose answers can be lost, and the rest of it
//! ([`outside`]). Everything of it can be told to fail.

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
        CallError, CallResult, Change, Changes, Item, LeaseId, Listing, Store, Transaction,
        TransactionOutcome,
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

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFault {
    /// Carried out, but the answer is lost.
    AnswerLost,
    /// Not answered; carried out later, by [`Fake::apply_delayed_writes`].
    Delayed,
    /// Not answered and never carried out.
    Lost,
    /// Turned away.
    Refused,
    /// Not answered until the caller gives up, and never carried out.
    Hangs,
}

#[derive(Debug)]
struct Held {
    value: Vec<u8>,
    revision: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Held>,
    revision: u64,
    leases: BTreeMap<LeaseId, (Now, Duration)>,
    next_lease: LeaseId,
    fates: VecDeque<WriteFault>,
    late: Vec<Transaction>,
    commits: usize,
    listings: usize,
    /// Readings of items or of listings, without those that a watch makes here.
    reads: usize,
    /// Readings of each item.
    reads_of: BTreeMap<String, usize>,
    /// Bytes of the values that listings have returned.
    listed_bytes: usize,
    /// Listings of each prefix, without those that a watch makes here.
    listings_of: BTreeMap<String, usize>,
    ended: Vec<EndedTask>,
    starts: Vec<(TaskKey, RunNumber)>,
    is_down: bool,
    /// Watches hear nothing.
    is_deaf: bool,
    /// Watches are cut as soon as they wait.
    is_cutting: bool,
    watches: usize,
    /// Time that a call of the store takes, half of it on the way there.
    delay: Duration,
    /// Every so-many-th reading of an item is served, the others are turned away; 0: all are served.
    serves_one_in: usize,
    /// Time that a listing takes besides.
    list_delay: Duration,
    /// Machines for which a wave of maintenance asks.
    due: usize,
    /// Machines that were ordered, each with the note that the store held then.
    machine_orders: Vec<(MachineId, Option<String>)>,
}

/// The platform, and whether the way to it is cut that this clone and its clones take.
#[derive(Debug, Clone, Default)]
pub struct Fake(Rc<RefCell<State>>, Rc<Cell<bool>>);

/// How long a call waits for an answer.
const CALL_PATIENCE: Duration = Duration::from_millis(800);

/// Key of the operators' document.
pub const CONFIGURATION: &str = "configuration";
pub const EXECUTOR: &str = "executor-1";
pub const QUEUE: &str = "queue";
/// A value of the registry or of a wave that can't be read.
pub const UNREADABLE: &[u8] = b"unreadable";

fn machine(number: usize) -> MachineId {
    format!("machine-{number}").as_str().into()
}

impl Fake {
    /// The next writes meet these fates; those after them succeed.
    pub fn fail_next_writes(&self, fates: &[WriteFault]) {
        self.0.borrow_mut().fates.extend(fates);
    }

    pub fn apply_delayed_writes(&self) {
        let late = std::mem::take(&mut self.0.borrow_mut().late);
        late.iter().for_each(|transaction| {
            self.apply(transaction);
        });
    }

    /// The same platform over a way of its own.
    pub fn with_own_connection(&self) -> Self {
        Self(self.0.clone(), Rc::default())
    }

    /// Cuts this way to the platform for good.
    pub fn disconnect(&self) {
        self.1.set(true);
    }

    pub fn set_down(&self, is_down: bool) {
        self.0.borrow_mut().is_down = is_down;
    }

    /// The store is down for a while, and leases pause meanwhile.
    pub async fn pause_store(&self, time: Duration) {
        self.set_down(true);
        tokio::time::sleep(time).await;
        let mut state = self.0.borrow_mut();
        state.leases.values_mut().for_each(|(until, _)| *until += time);
        state.is_down = false;
    }

    /// Makes watches hear nothing, though changes are made.
    pub fn stall_watches(&self, is_deaf: bool) {
        self.0.borrow_mut().is_deaf = is_deaf;
    }

    /// Cuts watches as soon as they wait: they answer at once that nothing has changed.
    pub fn end_watches_at_once(&self, is_cutting: bool) {
        self.0.borrow_mut().is_cutting = is_cutting;
    }

    pub fn watches(&self) -> usize {
        self.0.borrow().watches
    }

    /// Makes each call of the store take this long.
    pub fn set_delay(&self, delay: Duration) {
        self.0.borrow_mut().delay = delay;
    }

    /// Makes each listing take this long besides, as one with many items does.
    pub fn set_list_delay(&self, delay: Duration) {
        self.0.borrow_mut().list_delay = delay;
    }

    /// Half of the time that a call takes.
    async fn half_round_trip(&self) {
        let delay = self.0.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay / 2).await;
        }
    }

    pub fn remove(&self, key: &str) {
        self.0.borrow_mut().items.remove(key);
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        let puts = vec![(key.to_owned(), value.to_vec(), None)];
        self.apply(&Transaction { puts, ..Transaction::default() });
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.0.borrow().items.get(key).map(|held| held.value.clone())
    }

    pub fn revision(&self, key: &str) -> Option<u64> {
        self.0.borrow().items.get(key).map(|held| held.revision)
    }

    pub fn commits(&self) -> usize {
        self.0.borrow().commits
    }

    pub fn request_maintenance(&self) {
        self.request_maintenance_of(1);
    }

    /// A wave asks for so many machines at once.
    pub fn request_maintenance_of(&self, machines: usize) {
        self.0.borrow_mut().due = machines;
        self.put("wave/1", b"");
    }

    pub fn machine_orders(&self) -> Vec<(MachineId, Option<String>)> {
        self.0.borrow().machine_orders.clone()
    }

    pub fn listings(&self) -> usize {
        self.0.borrow().listings
    }

    /// Listings of a prefix, without those that a watch makes here.
    pub fn listings_of(&self, prefix: &str) -> usize {
        self.0.borrow().listings_of.get(prefix).copied().unwrap_or(0)
    }

    /// Bytes of the values that listings have returned.
    pub fn listed_bytes(&self) -> usize {
        self.0.borrow().listed_bytes
    }

    /// Readings of an item, without those that a watch makes here.
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
        let items = items.map(|(key, held)| Item {
            key: key.clone(),
            value: held.value.clone(),
            revision: held.revision,
        });
        Ok(Listing { items: items.collect(), revision: state.revision })
    }

    fn expire(&self) {
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
            state.items.retain(|_, held| held.lease != Some(lease));
        }
    }

    fn apply(&self, transaction: &Transaction) -> TransactionOutcome {
        self.expire();
        let mut state = self.0.borrow_mut();
        let holds = transaction.expect.iter().all(|(key, revision)| {
            state.items.get(key).map_or(0, |held| held.revision) == *revision
        });
        if !holds {
            let items = transaction.expect.iter().filter_map(|(key, _)| {
                let held = state.items.get(key)?;
                let (value, revision) = (held.value.clone(), held.revision);
                Some(Item { key: key.clone(), value, revision })
            });
            return TransactionOutcome::Conflict(items.collect());
        }
        state.revision += 1;
        let revision = state.revision;
        for (key, value, lease) in &transaction.puts {
            let held = Held { value: value.clone(), revision, lease: *lease };
            state.items.insert(key.clone(), held);
        }
        for key in &transaction.removes {
            state.items.remove(key);
        }
        TransactionOutcome::Committed(revision)
    }

    /// Serves one reading of an item in so many and turns the others away, as a rate limit does.
    pub fn serve_one_in(&self, readings: usize) {
        self.0.borrow_mut().serves_one_in = readings;
    }

    fn check_rate(&self) -> CallResult<()> {
        let state = self.0.borrow();
        if state.serves_one_in > 1 && !state.reads.is_multiple_of(state.serves_one_in) {
            return Err(CallError::NotDone { reason: "too many readings".to_owned() });
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
        self.expire();
        let item = self.0.borrow().items.get(key).map(|held| Item {
            key: key.to_owned(),
            value: held.value.clone(),
            revision: held.revision,
        });
        self.half_round_trip().await;
        Ok(item)
    }

    async fn list(&self, prefix: &str) -> CallResult<Listing> {
        self.0.borrow_mut().reads += 1;
        *self.0.borrow_mut().listings_of.entry(prefix.to_owned()).or_default() += 1;
        self.half_round_trip().await;
        let list_delay = self.0.borrow().list_delay;
        tokio::time::sleep(list_delay).await;
        let listing = self.items_under(prefix)?;
        let bytes: usize = listing.items.iter().map(|item| item.value.len()).sum();
        self.0.borrow_mut().listed_bytes += bytes;
        self.half_round_trip().await;
        Ok(listing)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> CallResult<Changes> {
        let until = clock::now() + wait;
        self.0.borrow_mut().watches += 1;
        if self.0.borrow().is_cutting {
            return Ok(Changes { changes: Vec::new(), revision: after });
        }
        loop {
            let listing = self.items_under(prefix)?;
            let news: Vec<Change> = listing
                .items
                .into_iter()
                .filter(|item| item.revision > after)
                .map(Change::Put)
                .collect();
            let is_deaf = self.0.borrow().is_deaf;
            if is_deaf && clock::now() > until {
                return Ok(Changes { changes: Vec::new(), revision: after });
            }
            if !is_deaf && (!news.is_empty() || clock::now() > until) {
                return Ok(Changes { changes: news, revision: listing.revision });
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    async fn commit(&self, transaction: &Transaction) -> CallResult<TransactionOutcome> {
        self.half_round_trip().await;
        self.check_up()?;
        self.0.borrow_mut().commits += 1;
        let fate = self.0.borrow_mut().fates.pop_front();
        let unanswered = Err(CallError::Unanswered { reason: "lost".to_owned() });
        match fate {
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
                self.0.borrow_mut().late.push(transaction.clone());
                unanswered
            }
            Some(WriteFault::Lost) => unanswered,
            Some(WriteFault::Hangs) => {
                tokio::time::sleep(CALL_PATIENCE).await;
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
        self.expire();
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
        state.items.retain(|_, held| held.lease != Some(lease));
        Ok(())
    }
}

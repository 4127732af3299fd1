//! A platform in memory: a store with leases whose answers can be lost, and executors that do their
//! work at once. Everything of it can be told to fail.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jackdawpier_entry::{
    access::ApiKey,
    arrivals::Arrivals,
    clock, keys,
    ports::{
        Advisor, Approval, CallError, CallResult, CallerLimits, Change, Changes, Configuration,
        ExecutorControl, Formats, HoldQuestion, Item, LeaseId, Listing, MachineControl, Malformed,
        OrderTarget, Route, StartOrder, Store, Transaction, TransactionEnd,
    },
};
use jackdawpier_fleet::{
    executor::{EndKind, EndedTask, ExecutorInfo, HoldReport},
    fleet::{JobView, StartEnd, StopEnd},
    machines::{
        MachineId, MachineInfo, MachineOrder, MachineOrderEnd, MachineState, Wave, WaveState,
    },
    record::JobOutcome,
    spec::{JobSpec, Queue, Resources, RunNumber, Service, TaskKey},
};
use jackdawpier_kernel::{
    Now,
    ids::{AccountName, ExecutorId},
};

use super::submission;

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Carried out, but the answer is lost.
    AnswerLost,
    /// Not answered; carried out later, by [`Fake::carry_out_late`].
    Late,
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
    fates: VecDeque<Fate>,
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
    pub fn next_writes(&self, fates: &[Fate]) {
        self.0.borrow_mut().fates.extend(fates);
    }

    pub fn carry_out_late(&self) {
        let late = std::mem::take(&mut self.0.borrow_mut().late);
        late.iter().for_each(|transaction| {
            self.apply(transaction);
        });
    }

    /// The same platform over a way of its own.
    pub fn apart(&self) -> Self {
        Self(self.0.clone(), Rc::default())
    }

    /// Cuts this way to the platform for good.
    pub fn cut(&self) {
        self.1.set(true);
    }

    pub fn set_down(&self, is_down: bool) {
        self.0.borrow_mut().is_down = is_down;
    }

    /// The store is down for a while, and leases pause meanwhile.
    pub async fn pause(&self, time: Duration) {
        self.set_down(true);
        tokio::time::sleep(time).await;
        let mut state = self.0.borrow_mut();
        state.leases.values_mut().for_each(|(until, _)| *until += time);
        state.is_down = false;
    }

    /// Makes watches hear nothing, though changes are made.
    pub fn set_deaf(&self, is_deaf: bool) {
        self.0.borrow_mut().is_deaf = is_deaf;
    }

    /// Cuts watches as soon as they wait: they answer at once that nothing has changed.
    pub fn set_cutting(&self, is_cutting: bool) {
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
    async fn travel(&self) {
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

    pub fn ask_for_maintenance(&self) {
        self.ask_for_maintenance_of(1);
    }

    /// A wave asks for so many machines at once.
    pub fn ask_for_maintenance_of(&self, machines: usize) {
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

    fn apply(&self, transaction: &Transaction) -> TransactionEnd {
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
            return TransactionEnd::Conflict(items.collect());
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
        TransactionEnd::Committed(revision)
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
    fn arrivals(&self) -> Arrivals {
        Arrivals::default()
    }

    fn sending_time(&self, _bytes: usize) -> Duration {
        Duration::ZERO
    }

    async fn get(&self, key: &str) -> CallResult<Option<Item>> {
        self.0.borrow_mut().reads += 1;
        *self.0.borrow_mut().reads_of.entry(key.to_owned()).or_default() += 1;
        self.travel().await;
        self.check_up()?;
        self.check_rate()?;
        self.expire();
        let item = self.0.borrow().items.get(key).map(|held| Item {
            key: key.to_owned(),
            value: held.value.clone(),
            revision: held.revision,
        });
        self.travel().await;
        Ok(item)
    }

    async fn list(&self, prefix: &str) -> CallResult<Listing> {
        self.0.borrow_mut().reads += 1;
        *self.0.borrow_mut().listings_of.entry(prefix.to_owned()).or_default() += 1;
        self.travel().await;
        let list_delay = self.0.borrow().list_delay;
        tokio::time::sleep(list_delay).await;
        let listing = self.items_under(prefix)?;
        let bytes: usize = listing.items.iter().map(|item| item.value.len()).sum();
        self.0.borrow_mut().listed_bytes += bytes;
        self.travel().await;
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

    async fn commit(&self, transaction: &Transaction) -> CallResult<TransactionEnd> {
        self.travel().await;
        self.check_up()?;
        self.0.borrow_mut().commits += 1;
        let fate = self.0.borrow_mut().fates.pop_front();
        let unanswered = Err(CallError::Unanswered { reason: "lost".to_owned() });
        match fate {
            None => {
                let end = self.apply(transaction);
                self.travel().await;
                Ok(end)
            }
            Some(Fate::AnswerLost) => {
                self.apply(transaction);
                unanswered
            }
            Some(Fate::Late) => {
                self.0.borrow_mut().late.push(transaction.clone());
                unanswered
            }
            Some(Fate::Lost) => unanswered,
            Some(Fate::Hangs) => {
                tokio::time::sleep(CALL_PATIENCE).await;
                unanswered
            }
            Some(Fate::Refused) => Err(CallError::NotDone { reason: "busy".to_owned() }),
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
        self.travel().await;
        self.check_up()?;
        self.expire();
        {
            let mut state = self.0.borrow_mut();
            let (until, ttl) = state.leases.get_mut(&lease).ok_or(CallError::LeaseEnded)?;
            *until = clock::now() + *ttl;
        }
        self.travel().await;
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

impl ExecutorControl for Fake {
    async fn start(&self, _target: &OrderTarget, order: &StartOrder) -> StartEnd {
        let mut state = self.0.borrow_mut();
        state.starts.push((order.task.clone(), order.run));
        let end = EndedTask {
            sequence: state.starts.len() as u64,
            task: order.task.clone(),
            run: order.run,
            how: EndKind::Done,
            checkpoint: "".into(),
        };
        state.ended.push(end);
        StartEnd::Started
    }

    async fn stop(&self, _target: &OrderTarget, _task: &TaskKey, _run: RunNumber) -> StopEnd {
        StopEnd::Taken
    }

    async fn pace(
        &self,
        _target: &OrderTarget,
        _task: &TaskKey,
        _run: RunNumber,
        _percent: u32,
    ) -> bool {
        true
    }

    async fn hold(&self, _: &OrderTarget, question: &HoldQuestion) -> CallResult<HoldReport> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let mut state = self.0.borrow_mut();
        state.ended.retain(|end| end.sequence > question.acknowledged);
        let ended = state.ended.clone();
        Ok(HoldReport { life: None, clock: clock::now(), running: Vec::new(), ended })
    }
}

impl MachineControl for Fake {
    async fn machines(&self) -> CallResult<Vec<MachineInfo>> {
        let info = |number| MachineInfo {
            id: machine(number),
            pool: "service".into(),
            state: MachineState::Up,
            executor: (number == 1).then(|| EXECUTOR.into()),
            labels: Vec::new(),
        };
        Ok((1..=self.0.borrow().due).map(info).collect())
    }

    async fn order(&self, order: &MachineOrder, _holder: &str, _fence: u64) -> MachineOrderEnd {
        let note = self.value(keys::MACHINE_ORDERS);
        let note = note.map(|note| String::from_utf8_lossy(&note).into_owned());
        self.0.borrow_mut().machine_orders.push((order.machine.clone(), note));
        MachineOrderEnd::Taken
    }
}

impl Advisor for Fake {
    async fn advise(&self, _: &TaskKey, _: &[ExecutorId]) -> CallResult<Approval> {
        Ok(Approval { approved: Vec::new(), valid_for: Duration::ZERO })
    }
}

impl Formats for Fake {
    fn configuration_key(&self) -> &'static str {
        CONFIGURATION
    }

    fn wave_prefix(&self) -> &'static str {
        "wave/"
    }

    fn executor_prefix(&self) -> &'static str {
        "executors/"
    }

    fn wave_status(&self, state: &WaveState) -> (String, Vec<u8>) {
        (format!("wave-state/{}", state.number), Vec::new())
    }

    fn read_configuration(&self, value: &[u8]) -> Result<Configuration, Malformed> {
        let text = String::from_utf8_lossy(value);
        let (version, keys) =
            text.split_once(' ').map_or((&*text, None), |(version, keys)| (version, Some(keys)));
        let version =
            version.parse().map_err(|_| Malformed { reason: "not a version".to_owned() })?;
        let keys = keys.map(|keys| keys.split(' ').filter_map(read_key).collect());
        Ok(Configuration { keys, ..configuration(version) })
    }

    fn read_wave(&self, value: &[u8]) -> Result<Wave, Malformed> {
        if value == UNREADABLE {
            return Err(Malformed { reason: "unreadable".to_owned() });
        }
        Ok(Wave {
            number: 1,
            machines: (1..=self.0.borrow().due.max(1)).map(machine).collect(),
            within: Duration::from_secs(20),
            most_away: self.0.borrow().due.max(1),
        })
    }

    fn read_executor(&self, _key: &str, value: &[u8]) -> Result<ExecutorInfo, Malformed> {
        if value == UNREADABLE {
            return Err(Malformed { reason: "unreadable".to_owned() });
        }
        Ok(ExecutorInfo {
            id: EXECUTOR.into(),
            life: None,
            service: "service".into(),
            address: "127.0.0.1:1".into(),
            zone: "zone".into(),
            rack: None,
            labels: Vec::new(),
            capacity: Resources { cpu_millicores: 8000, memory_mb: 8000, gpus: 0 },
            is_draining: false,
        })
    }

    fn read_job(&self, _body: &[u8]) -> Result<JobSpec, Malformed> {
        Ok(submission().spec)
    }

    fn is_job_id(&self, text: &str) -> bool {
        !text.is_empty()
    }

    fn job_view(&self, view: JobView) -> Vec<u8> {
        format!("{view:?}").into_bytes()
    }

    fn pending(&self, count: u64) -> Vec<u8> {
        count.to_string().into_bytes()
    }

    fn problem(&self, text: &str) -> Vec<u8> {
        text.as_bytes().to_vec()
    }

    fn deadline_header(&self) -> &'static str {
        "x-deadline-ms"
    }

    fn key_header(&self) -> &'static str {
        "x-key"
    }
}

/// A key and its account, written as `key:account`.
fn read_key(text: &str) -> Option<(ApiKey, AccountName)> {
    let (key, account) = text.split_once(':')?;
    Some((ApiKey::new(key.as_bytes()), account.into()))
}

pub fn configuration(version: u64) -> Configuration {
    let queue = Queue {
        name: QUEUE.into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 3,
        slack_factor: 1.0,
        target: Duration::from_secs(1),
        needs_advice: false,
    };
    let route = |prefix: &str, name: &str| Route {
        host: "host".to_owned(),
        prefix: prefix.to_owned(),
        queue: Queue { name: name.into(), ..queue.clone() },
        is_public: false,
    };
    Configuration {
        version,
        routes: vec![
            route("/a/", QUEUE),
            route("/a/long/", "longer"),
            Route { is_public: true, ..route("/open/", QUEUE) },
        ],
        services: vec![Service { name: "service".into(), is_standby: false }],
        accounts: Vec::new(),
        keys: None,
        limits: CallerLimits {
            body_bytes: 1000,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

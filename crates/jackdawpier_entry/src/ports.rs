//! What an entry needs from the outside, as small traits that an adapter implements.
//!
//! Each outcome says whether something may have been done: decisions depend on that alone, not on
//! how the other side words it.

use std::{future::Future, sync::Arc, time::Duration};

use derive_more::{Display, Error};
use jackdawpier_fleet::{
    account::Account,
    executor::{ExecutorInfo, HoldReport},
    fleet::{JobView, StartOutcome, StopOutcome},
    machines::{MachineInfo, MachineOrder, MachineOrderOutcome, Wave, WaveState},
    spec::{JobSpec, Queue, RunNumber, Service, TaskKey},
};
use jackdawpier_kernel::ids::{ExecutorId, Revision};

use crate::{access::ClientKeys, response_progress::ResponseProgress};

/// Why a call gave no usable answer.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent, or the other side says that nothing was done.
    #[display("not done: {reason}")]
    NotDone {
        /// What was seen.
        reason: String,
    },
    /// No answer: it may have been done, or may yet be.
    #[display("no answer: {reason}")]
    Unanswered {
        /// What was seen.
        reason: String,
    },
    /// The history that a watch needs is gone: list again.
    #[display("the history asked for is gone")]
    HistoryCompacted,
    /// The lease has ended.
    #[display("the lease has ended")]
    LeaseEnded,
    /// The executor obeys a later owner.
    #[display("a later owner has spoken")]
    Fenced,
}

/// The result of a call.
pub type CallResult<T> = Result<T, CallError>;

/// Id of a lease of the store.
pub type LeaseId = u64;

/// One item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: Revision,
}

/// Items under a prefix.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision before the first page was read: a watch from here misses nothing.
    pub revision: Revision,
}

/// One change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An item as it was written.
    Put(Item),
    /// The key was removed.
    Removed(String),
}

/// What a watch has seen.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub revision: Revision,
}

/// A write that takes effect whole or not at all.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// Keys with the revisions that they must have; 0 means that the key must not exist.
    pub expect: Vec<(String, Revision)>,
    /// Keys with their new values and the lease that they end with, if any.
    pub puts: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to be removed.
    pub removes: Vec<String>,
}

/// How a transaction ended.
#[derive(Debug, Clone)]
pub enum TransactionOutcome {
    /// It took effect at this revision.
    Committed(Revision),
    /// A condition didn't hold; the expected keys as they are now.
    Conflict(Vec<Item>),
}

/// The store.
pub trait Store {
    /// Answers with the operators' document that are on their way.
    fn arrivals(&self) -> ResponseProgress;
    /// Time that values of so many bytes take to leave.
    fn sending_time(&self, bytes: usize) -> Duration;
    /// Reads one item, not a stale one.
    fn get(&self, key: &str) -> impl Future<Output = CallResult<Option<Item>>>;
    /// Reads all items under a prefix, page by page.
    fn list(&self, prefix: &str) -> impl Future<Output = CallResult<Listing>>;
    /// Waits for changes under a prefix after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = CallResult<Changes>>;
    /// Writes under a condition.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = CallResult<TransactionOutcome>>;
    /// Asks for a lease.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = CallResult<LeaseId>>;
    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = CallResult<()>>;
    /// Ends a lease and removes its keys.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = CallResult<()>>;
}

/// Which executor an order is meant for, and in whose name.
#[derive(Debug, Clone)]
pub struct OrderTarget {
    /// The executor.
    pub executor: ExecutorId,
    /// Its network address.
    pub address: Arc<str>,
    /// Fencing token of the owner.
    pub fence: u64,
}

/// An order to start a task.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: RunNumber,
    /// What the job's caller gave for its tasks.
    pub payload: Arc<str>,
    /// The lease by the executor's clock.
    pub lease_until: Duration,
    /// Checkpoint to go on from; empty if there is none.
    pub checkpoint: Box<str>,
    /// Permission of the placement advisor.
    pub ticket: Option<Arc<str>>,
}

/// A question to an executor what runs, which renews its lease.
#[derive(Debug, Clone, Copy)]
pub struct HoldRequest {
    /// Ends up to this position may be forgotten.
    pub acknowledged: u64,
    /// The lease by the executor's clock.
    pub lease_until: Option<Duration>,
    /// How long it may wait for an end before it answers.
    pub wait: Duration,
}

/// Control of executors.
pub trait ExecutorControl {
    /// Starts a task.
    fn start(&self, target: &OrderTarget, order: &StartOrder)
    -> impl Future<Output = StartOutcome>;
    /// Stops a task.
    fn stop(
        &self,
        target: &OrderTarget,
        task: &TaskKey,
        run: RunNumber,
    ) -> impl Future<Output = StopOutcome>;
    /// Sets the pace of a task and returns whether it was taken.
    fn pace(
        &self,
        target: &OrderTarget,
        task: &TaskKey,
        run: RunNumber,
        percent: u32,
    ) -> impl Future<Output = bool>;
    /// Renews the lease and asks what runs and what has ended.
    fn hold(
        &self,
        target: &OrderTarget,
        question: &HoldRequest,
    ) -> impl Future<Output = CallResult<HoldReport>>;
}

/// Control of machines.
pub trait MachineControl {
    /// All machines.
    fn machines(&self) -> impl Future<Output = CallResult<Vec<MachineInfo>>>;
    /// Orders something about a machine, in the name of `holder`.
    fn send_order(
        &self,
        order: &MachineOrder,
        holder: &str,
        fence: u64,
    ) -> impl Future<Output = MachineOrderOutcome>;
}

/// The executors that may run a step, with their tickets.
#[derive(Debug, Clone)]
pub struct Approval {
    /// Executors and tickets.
    pub approved: Vec<(ExecutorId, Arc<str>)>,
    /// How long the tickets are valid.
    pub valid_for: Duration,
}

/// The placement advisor.
pub trait Advisor {
    /// Asks which of some executors may run the step of a task.
    fn advise(
        &self,
        task: &TaskKey,
        executors: &[ExecutorId],
    ) -> impl Future<Output = CallResult<Approval>>;
}

/// One way from callers to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The host that callers name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// The queue.
    pub queue: Queue,
    /// Callers need no key.
    pub is_public: bool,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Time for the head of a request to be whole after its first byte.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Its version, which only rises.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The keys by which callers show whose they are; none where nobody needs one.
    pub keys: Option<ClientKeys>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

/// A job or a document that can't be read. The text says where and why.
#[derive(Debug, Display, Error)]
#[display("{reason}")]
pub struct Malformed {
    /// What is wrong.
    pub reason: String,
}

/// Formats of what callers and operators send and read, and the places where operators write.
pub trait Formats {
    /// Key of the configuration.
    fn configuration_key(&self) -> &'static str;
    /// Prefix of waves of maintenance.
    fn wave_prefix(&self) -> &'static str;
    /// Prefix of the executors' own entries.
    fn executor_prefix(&self) -> &'static str;
    /// Key for the state of a wave, and its text.
    fn encode_wave_status(&self, state: &WaveState) -> (String, Vec<u8>);
    /// Reads a configuration.
    fn read_configuration(&self, value: &[u8]) -> Result<Configuration, Malformed>;
    /// Reads a wave.
    fn read_wave(&self, value: &[u8]) -> Result<Wave, Malformed>;
    /// Reads an executor's entry.
    fn read_executor(&self, key: &str, value: &[u8]) -> Result<ExecutorInfo, Malformed>;
    /// Reads a job as its caller sent it.
    fn read_job(&self, body: &[u8]) -> Result<JobSpec, Malformed>;
    /// Whether a text can be the id of a job.
    fn is_job_id(&self, text: &str) -> bool;
    /// The answer to a question for a job.
    fn encode_job_view(&self, view: JobView) -> Vec<u8>;
    /// The answer to a question for a queue.
    fn encode_pending_count(&self, count: u64) -> Vec<u8>;
    /// An answer that says what went wrong.
    fn encode_error(&self, text: &str) -> Vec<u8>;
    /// Name of the header with the time in milliseconds for which a caller waits.
    fn deadline_header(&self) -> &'static str;
    /// Name of the header with a caller's key.
    fn key_header(&self) -> &'static str;
}

/// All that an entry needs from the outside.
pub trait Platform:
    Store + ExecutorControl + MachineControl + Advisor + Formats + Clone + 'static
{
}

impl<T> Platform for T where
    T: Store + ExecutorControl + MachineControl + Advisor + Formats + Clone + 'static
{
}

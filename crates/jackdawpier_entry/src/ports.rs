//! Traits for everything external that an entry uses; an adapter for the platform implements them.
//!
//! Each outcome states whether the request may have taken effect. Decisions depend only on that, not on the
//! other side's texts.

use std::{future::Future, sync::Arc, time::Duration};

use derive_more::{Display, Error};
use jackdawpier_fleet::{
    account::Account,
    connection_peer::{ConnectionPeer, HoldRequest},
    executor::{ExecutorInfo, HoldReport},
    fleet::{JobView, StartOutcome, StopOutcome},
    machines::{MachineInfo, MachineOrder, MachineOrderOutcome, Wave, WaveState},
    spec::{JobSpec, Queue, RunNumber, Service, TaskKey},
};
use jackdawpier_kernel::ids::{ExecutorId, Revision};

use crate::{access::ClientKeys, response_progress::ResponseProgress};

/// Why a call has no usable answer.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// The request wasn't sent, or the other side reports that it took no effect.
    #[display("not done: {reason}")]
    NotDone {
        /// Why it took no effect.
        reason: String,
    },
    /// No answer: the request may have taken effect, or may do so later.
    #[display("no answer: {reason}")]
    Unanswered {
        /// Why there is no answer.
        reason: String,
    },
    /// The store no longer has the changes that the watch asks for: list again.
    #[display("the requested revision is compacted")]
    HistoryCompacted,
    /// The lease has ended.
    #[display("the lease has ended")]
    LeaseEnded,
    /// The executor has accepted a newer fencing token.
    #[display("fenced by a later owner")]
    Fenced,
}

/// The result of a call.
pub type CallResult<T> = Result<T, CallError>;

/// Id of a lease of the store.
pub type LeaseId = u64;

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key of the item.
    pub key: String,
    /// Value of the item.
    pub value: Vec<u8>,
    /// Revision of the item's last change.
    pub revision: Revision,
}

/// An item whose key can't be read, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableItem {
    /// The prefix that was asked for.
    pub key: String,
    /// Why it can't be read.
    pub reason: String,
}

/// What a listing tells beside its items.
#[derive(Debug, Clone, Default)]
pub struct ListingEnd {
    /// The items that were left out.
    pub unreadable: Vec<UnreadableItem>,
    /// The store's revision before the first page was read: a watch from this revision misses no change.
    pub revision: Revision,
}

/// The items under a prefix.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// The items that were left out.
    pub unreadable: Vec<UnreadableItem>,
    /// The store's revision before the first page was read: a watch from this revision misses no change.
    pub revision: Revision,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The item was written.
    Put(Item),
    /// The key was removed.
    Removed(String),
}

/// The answer of a watch.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The changed items that were left out.
    pub unreadable: Vec<UnreadableItem>,
    /// Revision from which to continue.
    pub revision: Revision,
}

/// An atomic conditional write.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// Keys with their required revisions; 0 means that the key must not exist.
    pub expect: Vec<(String, Revision)>,
    /// Keys with their new values and the lease that they are attached to, if any.
    pub puts: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone)]
pub enum TransactionOutcome {
    /// It took effect at this revision.
    Committed(Revision),
    /// A condition failed. Contains the current items of the expected keys.
    Conflict(Vec<Item>),
}

/// The key-value store.
pub trait Store {
    /// Tracks answers with the operators' document that are being received.
    fn response_progress(&self) -> ResponseProgress;
    /// Returns the time that values of this size take to send.
    fn sending_time(&self, bytes: usize) -> Duration;
    /// Reads the newest state of an item.
    fn get(&self, key: &str) -> impl Future<Output = CallResult<Option<Item>>>;
    /// Reads all items under a prefix and passes them on page by page, so that only one page is held. If it fails, some
    /// pages may have been passed on.
    fn list_pages(
        &self,
        prefix: &str,
        on_page: impl FnMut(Vec<Item>),
    ) -> impl Future<Output = CallResult<ListingEnd>>;
    /// Reads all items under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = CallResult<Listing>> {
        async {
            let mut items = Vec::new();
            let end = self.list_pages(prefix, |page| items.extend(page)).await?;
            Ok(Listing { items, unreadable: end.unreadable, revision: end.revision })
        }
    }
    /// Waits for changes under a prefix after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = CallResult<Changes>>;
    /// Commits a transaction.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = CallResult<TransactionOutcome>>;
    /// Creates a lease.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = CallResult<LeaseId>>;
    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = CallResult<()>>;
    /// Ends a lease and removes its keys.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = CallResult<()>>;
}

/// The executor that an order is sent to, and the sender's fencing token.
#[derive(Debug, Clone)]
pub struct OrderTarget {
    /// The executor, and the incarnation that starts, leases and acknowledgements are meant for.
    pub peer: ConnectionPeer,
    /// Network address of the executor.
    pub address: Arc<str>,
    /// Fencing token of the owner.
    pub fence: u64,
}

/// An order to start a task.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The task to start.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// The job's payload for its tasks.
    pub payload: Arc<str>,
    /// End of the lease by the executor's clock.
    pub lease_until: Duration,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Box<str>,
    /// The placement advisor's ticket.
    pub ticket: Option<Arc<str>>,
}

/// An executor's answer to a hold request.
#[derive(Debug, Clone)]
pub struct HoldAnswer {
    /// Its running and ended tasks.
    pub report: HoldReport,
    /// The request that was sent: only the part that is valid for any incarnation, unless the connection leads to the
    /// incarnation that the request is meant for.
    pub sent: HoldRequest,
}

/// Control of executors.
pub trait ExecutorControl {
    /// Starts a task, unless another incarnation than the target's receives orders at its address.
    fn start(&self, target: &OrderTarget, order: &StartOrder)
    -> impl Future<Output = StartOutcome>;
    /// Stops a task.
    fn stop(
        &self,
        target: &OrderTarget,
        task: &TaskKey,
        run: RunNumber,
    ) -> impl Future<Output = StopOutcome>;
    /// Sets the pace of a task and returns whether the executor accepted it.
    fn pace(
        &self,
        target: &OrderTarget,
        task: &TaskKey,
        run: RunNumber,
        percent: u32,
    ) -> impl Future<Output = bool>;
    /// Renews the lease, acknowledges ends and returns the running and ended tasks. To a process that may be another
    /// incarnation than the target's, only [`HoldRequest::for_unknown_peer`] is sent.
    fn hold(
        &self,
        target: &OrderTarget,
        request: &HoldRequest,
    ) -> impl Future<Output = CallResult<HoldAnswer>>;
}

/// Control of machines.
pub trait MachineControl {
    /// Lists all machines.
    fn machines(&self) -> impl Future<Output = CallResult<Vec<MachineInfo>>>;
    /// Sends a machine order on behalf of `holder`.
    fn send_order(
        &self,
        order: &MachineOrder,
        holder: &str,
        fence: u64,
    ) -> impl Future<Output = MachineOrderOutcome>;
}

/// The placement advisor's answer.
#[derive(Debug, Clone)]
pub struct Approval {
    /// The executors that may run the step, with their tickets.
    pub approved: Vec<(ExecutorId, Arc<str>)>,
    /// Validity of the tickets.
    pub valid_for: Duration,
}

/// The placement advisor.
pub trait Advisor {
    /// Returns which of these executors may run the step of a task.
    fn advise(
        &self,
        task: &TaskKey,
        executors: &[ExecutorId],
        timeout: Duration,
    ) -> impl Future<Output = CallResult<Approval>>;
}

/// A route from callers' requests to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Host of the request.
    pub host: String,
    /// Prefix of the request's path.
    pub prefix: String,
    /// The queue.
    pub queue: Queue,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a body in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request to its complete head.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version number, which only increases.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The keys that authenticate callers; `None` if callers need no key.
    pub keys: Option<ClientKeys>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// A job or a document that can't be parsed.
#[derive(Debug, Display, Error)]
#[display("{reason}")]
pub struct Malformed {
    /// Where and why parsing failed.
    pub reason: String,
}

/// Formats of what callers and operators send and read, and the store's keys that others write.
pub trait Formats {
    /// Returns the key of the configuration.
    fn configuration_key(&self) -> &'static str;
    /// Returns the key prefix of maintenance waves.
    fn wave_prefix(&self) -> &'static str;
    /// Returns the key prefix of the executors' registrations.
    fn executor_prefix(&self) -> &'static str;
    /// Returns the key and the encoded value of a wave's state.
    fn encode_wave_status(&self, state: &WaveState) -> (String, Vec<u8>);
    /// Parses a configuration.
    fn read_configuration(&self, value: &[u8]) -> Result<Configuration, Malformed>;
    /// Parses a maintenance wave.
    fn read_wave(&self, value: &[u8]) -> Result<Wave, Malformed>;
    /// Parses an executor's registration.
    fn read_executor(&self, key: &str, value: &[u8]) -> Result<ExecutorInfo, Malformed>;
    /// Parses a job from a caller's request.
    fn read_job(&self, body: &[u8]) -> Result<JobSpec, Malformed>;
    /// Whether a text is a valid job id.
    fn is_job_id(&self, text: &str) -> bool;
    /// Encodes the answer to a query for a job.
    fn encode_job_view(&self, view: JobView) -> Vec<u8>;
    /// Encodes the answer to a query for a queue's pending jobs.
    fn encode_pending_count(&self, count: u64) -> Vec<u8>;
    /// Encodes an error answer.
    fn encode_error(&self, text: &str) -> Vec<u8>;
    /// Returns the name of the header with the caller's deadline in milliseconds.
    fn deadline_header(&self) -> &'static str;
    /// Returns the name of the header with the caller's key.
    fn key_header(&self) -> &'static str;
}

/// Everything external that an entry uses.
pub trait Platform:
    Store + ExecutorControl + MachineControl + Advisor + Formats + Clone + 'static
{
}

impl<T> Platform for T where
    T: Store + ExecutorControl + MachineControl + Advisor + Formats + Clone + 'static
{
}

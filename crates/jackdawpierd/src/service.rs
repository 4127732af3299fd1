//! One service at this entry: the dispatcher, and the durable cell while this entry owns its shard.
//!
//! Every method takes the lock, runs the decision logic, which does no I/O, and performs the
//! resulting actions after the lock is released.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use jackdawpier_coord::cell::Cell;
use jackdawpier_jobs::{job::Job, queue::JobQueue};
use jackdawpier_kernel::{
    Now,
    ids::{EntryId, ExecutorId, JobId, RequestKey, ServiceName, Ticket, WorkerId},
    outcome::{Answer, Outcome, RefusalReason},
    task::TaskCommand,
};
use jackdawpier_route::{
    dedupe::{Dedupe, KeyState},
    dispatcher::Dispatcher,
    lost_shard::LostShardKeys,
};
use jackdawpier_settings::declaration::Class;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    entry::Entry, executor_client::ExecutorClient, messages::WorkRequest, service_jobs,
    worker_client::WorkerClient, writer_query::WriterQuery,
};

/// Retry delay for callers that are refused because the store does not answer.
pub(crate) const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay for callers that are refused while a shard changes owners.
pub(crate) const OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Durable state of one key of a service's cell.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CellState {
    Key(KeyState),
    Job(Job),
}

/// I/O to perform after the lock is released.
#[derive(Debug)]
pub(crate) enum Action {
    Send {
        ticket: Ticket,
        executor: ExecutorId,
        address: String,
        work: Arc<WorkRequest>,
        deadline: Now,
    },
    Store {
        generation: u64,
        request: jackdawpier_store::Request,
    },
    Job(service_jobs::WorkerCall),
    /// Queries `entry`, which wrote the intent of a key, for the outcome.
    QueryWriter {
        entry: EntryId,
        key: RequestKey,
        opened_at: Now,
        deadline: Now,
    },
}

/// A request that has no outcome yet.
pub(crate) struct ActiveRequest {
    pub(crate) work: Arc<WorkRequest>,
    /// Where to send the outcome, unless the caller has been answered already.
    pub(crate) reply: Option<oneshot::Sender<Outcome>>,
    pub(crate) deadline: Now,
    pub(crate) is_idempotent: bool,
}

/// State that only the owner of the service's shard has.
pub(crate) struct OwnedShard {
    /// Number of this acquisition of the shard; results of store calls of earlier ones are ignored.
    pub(crate) generation: u64,
    pub(crate) cell: Cell<CellState>,
    pub(crate) dedupe: Dedupe,
    pub(crate) jobs: JobQueue,
    /// Callers to answer once their job is durable.
    pub(crate) accept_waiters: HashMap<JobId, Vec<oneshot::Sender<Outcome>>>,
    /// Repeats that wait for the outcome of the first request with their key.
    pub(crate) waiters: HashMap<Ticket, oneshot::Sender<Outcome>>,
    /// Requests whose intent isn't durable yet.
    pub(crate) uncommitted_intents: HashSet<Ticket>,
    pub(crate) opened_at: Now,
    pub(crate) is_releasing: bool,
}

/// The state of a service behind its lock.
pub(crate) struct ServiceState {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) requests: HashMap<Ticket, ActiveRequest>,
    pub(crate) executor_addresses: HashMap<ExecutorId, String>,
    pub(crate) worker_addresses: HashMap<WorkerId, String>,
    pub(crate) classes: Vec<Class>,
    /// Lease renewals of the tasks of a shard that this entry lost; they are sent until a successor
    /// is recorded.
    pub(crate) orphaned_task_renewals: Vec<(WorkerId, TaskCommand)>,
    pub(crate) owned: Option<OwnedShard>,
    /// Keys of the shard from before this entry lost it.
    pub(crate) lost_shard_keys: LostShardKeys,
    pub(crate) next_ticket: Ticket,
    pub(crate) next_generation: u64,
}

/// Figures for status and metrics.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct ServiceFigures {
    pub(crate) queued: usize,
    pub(crate) pending: usize,
    pub(crate) slots: u32,
    pub(crate) owns_cell: bool,
    pub(crate) keys: usize,
    pub(crate) jobs_waiting: usize,
    pub(crate) jobs_parked: usize,
    pub(crate) log_segments: usize,
}

/// One service at this entry.
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    pub(crate) entry: Weak<Entry>,
    pub(crate) worker_client: WorkerClient,
    client: ExecutorClient,
    state: Mutex<ServiceState>,
}

pub(crate) fn not_run(reason: RefusalReason, retry_after: Duration) -> Outcome {
    Outcome::NotRun { reason, retry_after }
}

/// Cancels a queued request when the future that waits for its outcome is dropped. Has no effect
/// after the outcome.
struct CancelOnDrop {
    service: Arc<Service>,
    ticket: Ticket,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.service.lock().cancel(self.ticket);
    }
}

impl Service {
    pub(crate) fn new(entry: &Arc<Entry>, name: ServiceName) -> Self {
        let limits = entry.settings.limits;
        let state = ServiceState {
            dispatcher: Dispatcher::new(limits.queue_per_customer),
            requests: HashMap::new(),
            executor_addresses: HashMap::new(),
            worker_addresses: HashMap::new(),
            classes: Vec::new(),
            orphaned_task_renewals: Vec::new(),
            owned: None,
            lost_shard_keys: LostShardKeys::new(entry.settings.timing.answer_retention),
            next_ticket: 0,
            next_generation: 0,
        };
        Self {
            name,
            entry: Arc::downgrade(entry),
            worker_client: WorkerClient::new(),
            client: ExecutorClient::new(limits.answer_bytes),
            state: Mutex::new(state),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn entry(&self) -> Arc<Entry> {
        self.entry.upgrade().expect("the entry exists until the process ends")
    }

    /// Runs `decide` under the lock and performs the actions that it returns.
    pub(crate) fn with_state<T>(
        self: &Arc<Self>,
        decide: impl FnOnce(&mut ServiceState, Now) -> (T, Vec<Action>),
    ) -> T {
        let entry = self.entry();
        let (result, actions) = decide(&mut self.lock(), entry.now());
        for action in actions {
            self.perform(&entry, action);
        }
        result
    }

    fn perform(self: &Arc<Self>, entry: &Arc<Entry>, action: Action) {
        let service = Arc::clone(self);
        let entry = Arc::clone(entry);
        match action {
            Action::Send { ticket, executor, address, work, deadline } => {
                tokio::task::spawn_blocking(move || {
                    service.send(&entry, ticket, &executor, &address, &work, deadline);
                });
            }
            Action::Store { generation, request } => {
                tokio::spawn(async move {
                    let result = entry.call_store(request).await;
                    service.with_state(|state, now| {
                        ((), state.on_cell_result(now, generation, result))
                    });
                });
            }
            Action::QueryWriter { entry: writer, key, opened_at, deadline } => {
                tokio::spawn(async move {
                    let query =
                        WriterQuery { service: &service, writer: &writer, opened_at, deadline };
                    let reply_state = query.run(&entry, &key).await;
                    service.with_state(|state, now| {
                        ((), state.on_writer_reply(now, &key, reply_state))
                    });
                });
            }
            Action::Job(call) => {
                tokio::task::spawn_blocking(move || service_jobs::perform(&service, call));
            }
        }
    }

    fn send(
        self: &Arc<Self>,
        entry: &Entry,
        ticket: Ticket,
        executor: &ExecutorId,
        address: &str,
        work: &WorkRequest,
        deadline: Now,
    ) {
        let span = entry.traces.start("executor", work.trace, &[("executor", executor)]);
        let limit = deadline.saturating_sub(entry.now());
        let attempt = self.client.send(address, work, span.context(), limit);
        span.end(&format!("{:?}", attempt.outcome));
        entry.metrics.count_attempt(&work.class, attempt.outcome);
        if attempt.is_leaving {
            self.lock().dispatcher.mark_leaving(executor);
        }
        self.with_state(|state, now| ((), state.on_attempt(now, ticket, attempt)));
    }

    /// Submits a request to this entry's dispatcher and returns its outcome.
    pub(crate) async fn submit(self: &Arc<Self>, work: WorkRequest) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let ticket = self.with_state(|state, now| state.submit(now, work, reply));
        let _cancel = CancelOnDrop { service: Arc::clone(self), ticket };
        let lost = Outcome::Unknown { detail: "the owner of the request changed".to_owned() };
        outcome.await.unwrap_or(lost)
    }

    /// Applies the classes in force and the instance list.
    pub(crate) fn refresh(self: &Arc<Self>) {
        let entry = self.entry();
        let classes: Vec<Class> = entry
            .coordination()
            .configuration
            .classes()
            .into_values()
            .filter(|class| class.service == self.name)
            .collect();
        let instances = entry.instances();
        self.with_state(|state, now| ((), state.refresh(now, classes, &instances, &self.name)));
    }

    /// Runs the timers.
    pub(crate) fn tick(self: &Arc<Self>) {
        self.with_state(|state, now| ((), state.tick(now)));
    }

    /// Opens the cell after this entry has acquired the shard.
    pub(crate) fn acquire(self: &Arc<Self>) {
        let entry = self.entry();
        self.with_state(|state, now| ((), state.acquire(now, &entry, &self.name)));
    }

    /// Drops the owner's state after the shard was lost.
    pub(crate) fn drop_owned(self: &Arc<Self>) {
        self.with_state(|state, now| {
            state.drop_owned(now);
            ((), Vec::new())
        });
    }

    /// Returns the state of a key whose shard this entry owned before, as JSON.
    pub(crate) fn lost_key_state(&self, key: &str) -> Option<String> {
        let state = self.lock().lost_shard_keys.get(key)?;
        Some(serde_json::to_string(&state).expect("states are plain data"))
    }

    /// Stops accepting durable work; returns whether the shard can be handed over.
    pub(crate) fn begin_release(&self) -> bool {
        let mut state = self.lock();
        let is_settled = state.owned.as_mut().is_none_or(|owned| {
            owned.is_releasing = true;
            owned.cell.is_settled() && owned.uncommitted_intents.is_empty()
        });
        let has_no_keyed_requests =
            state.requests.values().all(|running| running.work.key.is_none());
        is_settled && has_no_keyed_requests
    }

    /// Returns whether another owner has fenced the cell.
    pub(crate) fn is_fenced(&self) -> bool {
        self.lock().owned.as_ref().is_some_and(|owned| owned.cell.is_fenced())
    }

    /// Returns the number of instances that the work at this entry would fill, in thousandths.
    pub(crate) fn demand_milli(&self) -> u32 {
        let state = self.lock();
        let tasks =
            state.owned.as_ref().map_or(0, |owned| owned.jobs.workers().reserved_workers_milli());
        state.dispatcher.demand_milli() + tasks
    }

    pub(crate) fn figures(&self) -> ServiceFigures {
        let state = self.lock();
        let mut figures = ServiceFigures {
            queued: state.dispatcher.queued(),
            pending: state.dispatcher.pending(),
            slots: state.dispatcher.executors().total_slots(),
            ..ServiceFigures::default()
        };
        if let Some(owned) = &state.owned {
            figures.owns_cell = owned.cell.is_open();
            figures.keys = owned.dedupe.len();
            figures.log_segments = owned.cell.segment_count();
            figures.jobs_waiting = owned.jobs.jobs().filter(|job| !job.state.is_final()).count();
            figures.jobs_parked = service_jobs::parked(&owned.jobs).count();
        }
        figures
    }
}

/// Returns the answer to the caller of an accepted job.
pub(crate) fn job_accepted(id: &str) -> Outcome {
    let body = serde_json::to_vec(&serde_json::json!({ "job": id })).expect("it is plain data");
    Outcome::Answered(Answer { status: 202, content_type: "application/json".to_owned(), body })
}

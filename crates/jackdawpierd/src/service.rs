//! One service at this entry: the dispatcher, and the durable cell while this entry owns it.
//!
//! Every method takes the lock, lets the pure decisions run, and carries their commands out after
//! the lock is released.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use jackdawpier_coord::cell::{Cell, Output};
use jackdawpier_jobs::{job::Job, queue::JobQueue};
use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, RequestKey, ServiceName, Ticket, WorkerId},
    instance::{Instance, Role, State as InstanceState},
    outcome::{Answer, Outcome, RefusalReason},
    task::TaskCommand,
};
use jackdawpier_route::{
    dedupe::{Decision, Dedupe, KeyState},
    dispatcher::{Command, Dispatcher, RequestInfo},
    executors::ExecutorInfo,
};
use jackdawpier_settings::declaration::{Class, Kind};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    entry::Entry,
    executor_client::{Attempt, ExecutorClient},
    messages::WorkRequest,
    service_jobs,
    worker_client::WorkerClient,
};

/// Time that a refused caller is told to wait when the store does not answer.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time that a refused caller is told to wait while a shard changes hands.
pub(crate) const OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Durable state of one subject of a service's cell.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CellState {
    Key(KeyState),
    Job(Job),
}

/// Something to do after the lock is released.
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
    Job(service_jobs::JobCall),
}

struct Running {
    work: Arc<WorkRequest>,
    reply: Option<oneshot::Sender<Outcome>>,
    deadline: Now,
    is_idempotent: bool,
}

/// What only the owner of the service's shard has.
pub(crate) struct Owned {
    pub(crate) generation: u64,
    pub(crate) cell: Cell<CellState>,
    pub(crate) dedupe: Dedupe,
    pub(crate) jobs: JobQueue,
    pub(crate) accepting: HashMap<JobId, Vec<oneshot::Sender<Outcome>>>,
    waiters: HashMap<Ticket, oneshot::Sender<Outcome>>,
    uncommitted: HashSet<Ticket>,
    is_releasing: bool,
}

/// The state of a service behind its lock.
pub(crate) struct ServiceState {
    pub(crate) dispatcher: Dispatcher,
    requests: HashMap<Ticket, Running>,
    addresses: HashMap<ExecutorId, String>,
    pub(crate) worker_addresses: HashMap<WorkerId, String>,
    classes: Vec<Class>,
    /// Tasks of a shard that this entry let go without a successor; their leases are renewed
    /// until one is recorded.
    pub(crate) kept_alive: Vec<(WorkerId, TaskCommand)>,
    pub(crate) owned: Option<Owned>,
    next_ticket: Ticket,
    next_generation: u64,
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

fn not_run(reason: RefusalReason, retry_after: Duration) -> Outcome {
    Outcome::NotRun { reason, retry_after }
}

fn fingerprint(work: &WorkRequest) -> u64 {
    let mut hash = xxh3_64_with_seed(work.method.as_bytes(), 0);
    hash = xxh3_64_with_seed(work.path.as_bytes(), hash);
    xxh3_64_with_seed(&work.body, hash)
}

fn key_subject(class: &str, key: &str) -> RequestKey {
    format!("k/{class}/{key}").into()
}

impl Service {
    pub(crate) fn new(entry: &Arc<Entry>, name: ServiceName) -> Self {
        let limits = entry.settings.limits;
        let state = ServiceState {
            dispatcher: Dispatcher::new(limits.queue_per_customer),
            requests: HashMap::new(),
            addresses: HashMap::new(),
            worker_addresses: HashMap::new(),
            classes: Vec::new(),
            kept_alive: Vec::new(),
            owned: None,
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
        self.entry.upgrade().expect("the entry lives as long as the process")
    }

    /// Runs `decide` under the lock and carries out what it asks for.
    pub(crate) fn act<T>(
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
                    service.act(|state, now| ((), state.on_cell_result(now, generation, result)));
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
        span.end(&format!("{:?}", attempt.end));
        entry.metrics.count_attempt(&work.class, attempt.end);
        if attempt.is_leaving {
            self.lock().dispatcher.mark_leaving(executor);
        }
        self.act(|state, now| ((), state.on_attempt(now, ticket, attempt)));
    }

    /// Decides on a request here and returns its outcome.
    pub(crate) async fn submit(self: &Arc<Self>, work: WorkRequest) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        self.act(|state, now| ((), state.submit(now, work, reply)));
        let lost = Outcome::Unknown { detail: "the owner of the request changed".to_owned() };
        outcome.await.unwrap_or(lost)
    }

    /// Takes over the classes in force and the instances of the list.
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
        self.act(|state, now| ((), state.refresh(now, classes, &instances, &self.name)));
    }

    /// Lets time pass.
    pub(crate) fn tick(self: &Arc<Self>) {
        self.act(|state, now| ((), state.tick(now)));
    }

    /// Opens the cell after this entry has acquired the shard.
    pub(crate) fn acquire(self: &Arc<Self>) {
        let entry = self.entry();
        self.act(|state, now| ((), state.acquire(now, &entry, &self.name)));
    }

    /// Drops the cell when the shard was lost.
    pub(crate) fn lose(self: &Arc<Self>) {
        self.lock().drop_owned();
    }

    /// Starts to give the cell up; returns whether it is settled.
    pub(crate) fn release(&self) -> bool {
        let mut state = self.lock();
        let is_settled = state.owned.as_mut().is_none_or(|owned| {
            owned.is_releasing = true;
            owned.cell.is_settled() && owned.uncommitted.is_empty()
        });
        let is_quiet = state.requests.values().all(|running| running.work.key.is_none());
        is_settled && is_quiet
    }

    /// Whether the cell was fenced by another owner.
    pub(crate) fn is_fenced(&self) -> bool {
        self.lock().owned.as_ref().is_some_and(|owned| owned.cell.is_fenced())
    }

    /// Instances that the work here would fill, in thousandths.
    pub(crate) fn demand_milli(&self) -> u32 {
        let state = self.lock();
        let tasks = state.owned.as_ref().map_or(0, |owned| owned.jobs.workers().demand_milli());
        state.dispatcher.demand_milli() + tasks
    }

    pub(crate) fn figures(&self) -> ServiceFigures {
        let state = self.lock();
        let mut figures = ServiceFigures {
            queued: state.dispatcher.queued(),
            pending: state.dispatcher.pending(),
            slots: state.dispatcher.executors().slots(),
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

impl ServiceState {
    fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| &*class.name == name)
    }

    fn submit(
        &mut self,
        now: Now,
        work: WorkRequest,
        reply: oneshot::Sender<Outcome>,
    ) -> Vec<Action> {
        let Some(class) = self.class(&work.class) else {
            let _ = reply.send(not_run(RefusalReason::UnknownClass, STORE_RETRY_AFTER));
            return Vec::new();
        };
        let is_idempotent = class.idempotent || work.method == "GET" || work.method == "HEAD";
        if class.kind == Kind::Refresh {
            return self.submit_job(now, &work, class.idempotent, reply);
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let deadline = now + work.time_left;
        if work.key.is_some() {
            return self.submit_keyed(now, ticket, work, is_idempotent, reply);
        }
        let running = Running { work: Arc::new(work), reply: Some(reply), deadline, is_idempotent };
        self.requests.insert(ticket, running);
        self.arrive(now, ticket)
    }

    /// The reason for which nothing can be made durable now, if there is one.
    pub(crate) fn durable_refusal(&self) -> Option<Outcome> {
        match &self.owned {
            Some(owned) if owned.cell.is_open() && !owned.is_releasing => owned
                .cell
                .is_stalled()
                .then(|| not_run(RefusalReason::StoreUnavailable, STORE_RETRY_AFTER)),
            _ => Some(not_run(RefusalReason::NoOwner, OWNER_RETRY_AFTER)),
        }
    }

    fn submit_keyed(
        &mut self,
        now: Now,
        ticket: Ticket,
        work: WorkRequest,
        is_idempotent: bool,
        reply: oneshot::Sender<Outcome>,
    ) -> Vec<Action> {
        if let Some(refusal) = self.durable_refusal() {
            let _ = reply.send(refusal);
            return Vec::new();
        }
        let deadline = now + work.time_left;
        let admitted = self.dispatcher.admits(now, &work.class, &work.customer, deadline);
        let owned = self.owned.as_mut().expect("only an owner gets here");
        let subject = key_subject(&work.class, work.key.as_deref().unwrap_or_default());
        match owned.dedupe.begin(&subject, fingerprint(&work), ticket) {
            Decision::Wait => {
                owned.waiters.insert(ticket, reply);
            }
            Decision::Repeat(outcome) => {
                let _ = reply.send(outcome);
            }
            Decision::KeyReused => {
                let _ = reply.send(not_run(RefusalReason::BadRequest, Duration::ZERO));
            }
            Decision::Record { state } => {
                if let Err(refusal) = admitted {
                    let outcome = not_run(refusal.reason, refusal.retry_after);
                    // Nothing was written for this key yet, so nothing has to be released.
                    owned.dedupe.end(now, &subject, &outcome);
                    let _ = reply.send(outcome);
                    return Vec::new();
                }
                let number = owned.cell.put(subject, &CellState::Key(state));
                owned.dedupe.recording(number.expect("the cell is open"), ticket);
                owned.uncommitted.insert(ticket);
                let running =
                    Running { work: Arc::new(work), reply: Some(reply), deadline, is_idempotent };
                self.requests.insert(ticket, running);
                return self.tick_cell(now);
            }
        }
        Vec::new()
    }

    fn arrive(&mut self, now: Now, ticket: Ticket) -> Vec<Action> {
        let Some(running) = self.requests.get(&ticket) else { return Vec::new() };
        let info = RequestInfo {
            ticket,
            class: running.work.class.clone(),
            customer: running.work.customer.clone(),
            deadline: running.deadline,
            is_idempotent: running.is_idempotent,
        };
        let commands = self.dispatcher.arrive(now, info);
        self.follow(now, commands)
    }

    /// Turns the dispatcher's commands into actions and answers.
    fn follow(&mut self, now: Now, commands: Vec<Command>) -> Vec<Action> {
        commands.into_iter().flat_map(|command| self.follow_one(now, command)).collect()
    }

    fn follow_one(&mut self, now: Now, command: Command) -> Vec<Action> {
        match command {
            Command::Send { ticket, executor } => {
                let Some(running) = self.requests.get(&ticket) else { return Vec::new() };
                let address = self.addresses.get(&executor).cloned().unwrap_or_default();
                let (work, deadline) = (Arc::clone(&running.work), running.deadline);
                vec![Action::Send { ticket, executor, address, work, deadline }]
            }
            Command::Refuse { ticket, reason, retry_after } => {
                self.finish(now, ticket, not_run(reason, retry_after))
            }
            Command::Fail { ticket } => {
                let detail = "the executor ran the request and failed".to_owned();
                self.finish(now, ticket, Outcome::Failed { detail })
            }
            Command::Unknown { ticket } => {
                let detail = "the executor's answer was lost".to_owned();
                self.finish(now, ticket, Outcome::Unknown { detail })
            }
        }
    }

    fn on_attempt(&mut self, now: Now, ticket: Ticket, attempt: Attempt) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(answer) = attempt.answer {
            actions.extend(self.finish(now, ticket, Outcome::Answered(answer)));
        } else {
            log::debug!(event = "attempt_failed"; "{:?}: {}", attempt.end, attempt.detail);
        }
        let commands = self.dispatcher.attempt_ended(now, ticket, attempt.end);
        actions.extend(self.follow(now, commands));
        actions
    }

    fn finish(&mut self, now: Now, ticket: Ticket, outcome: Outcome) -> Vec<Action> {
        let Some(running) = self.requests.remove(&ticket) else { return Vec::new() };
        let mut actions = Vec::new();
        if let (Some(key), Some(owned)) = (&running.work.key, &mut self.owned) {
            let subject = key_subject(&running.work.class, key);
            if let Some((state, waiters)) = owned.dedupe.end(now, &subject, &outcome) {
                owned.cell.put(subject, &CellState::Key(state));
                for waiter in waiters.iter().filter_map(|ticket| owned.waiters.remove(ticket)) {
                    let _ = waiter.send(outcome.clone());
                }
                actions = self.tick_cell(now);
            }
        }
        if let Some(reply) = running.reply {
            let _ = reply.send(outcome);
        }
        actions
    }

    fn tick(&mut self, now: Now) -> Vec<Action> {
        let commands = self.dispatcher.tick(now);
        let mut actions = self.follow(now, commands);
        self.refuse_unwritten(now);
        actions.extend(self.tick_owned(now));
        actions
    }

    /// Refuses keyed requests whose deadline passes before their intent is durable. The intent may
    /// still be written; it is released as soon as that is known.
    fn refuse_unwritten(&mut self, now: Now) {
        let Some(owned) = &self.owned else { return };
        for ticket in &owned.uncommitted {
            let Some(running) = self.requests.get_mut(ticket) else { continue };
            if running.deadline <= now
                && let Some(reply) = running.reply.take()
            {
                let _ = reply.send(not_run(RefusalReason::StoreUnavailable, STORE_RETRY_AFTER));
            }
        }
    }

    fn tick_owned(&mut self, now: Now) -> Vec<Action> {
        let Some(owned) = &mut self.owned else { return Vec::new() };
        for key in owned.dedupe.expire(now) {
            owned.cell.forget(&key);
        }
        let commands = if owned.cell.is_open() && !owned.is_releasing {
            owned.jobs.tick(now)
        } else {
            Vec::new()
        };
        let mut actions = self.follow_jobs(now, commands);
        actions.extend(self.tick_cell(now));
        actions
    }

    pub(crate) fn tick_cell(&mut self, now: Now) -> Vec<Action> {
        let Some(owned) = &mut self.owned else { return Vec::new() };
        let outputs = owned.cell.tick(now);
        self.follow_cell(now, outputs)
    }

    fn on_cell_result(
        &mut self,
        now: Now,
        generation: u64,
        result: jackdawpier_store::StoreResult,
    ) -> Vec<Action> {
        let Some(owned) = self.owned.as_mut().filter(|owned| owned.generation == generation) else {
            return Vec::new();
        };
        let outputs = owned.cell.on_result(now, result);
        self.follow_cell(now, outputs)
    }

    fn follow_cell(&mut self, now: Now, outputs: Vec<Output<CellState>>) -> Vec<Action> {
        let mut actions = Vec::new();
        for output in outputs {
            let Some(owned) = &mut self.owned else { break };
            match output {
                Output::Call(request) => {
                    actions.push(Action::Store { generation: owned.generation, request });
                }
                Output::Opened { epoch, states } => {
                    log::info!(event = "cell_opened", epoch, states = states.len(); "the cell is open");
                    owned.recover(now, states);
                }
                Output::Committed { up_to } => {
                    let tickets = owned.dedupe.committed(up_to);
                    let commands = owned.jobs.committed(now, up_to);
                    for ticket in tickets {
                        if let Some(owned) = &mut self.owned {
                            owned.uncommitted.remove(&ticket);
                        }
                        actions.extend(self.arrive(now, ticket));
                    }
                    actions.extend(self.follow_jobs(now, commands));
                }
                Output::Fenced => {
                    log::warn!(event = "cell_fenced"; "another entry has taken the shard over");
                    self.drop_owned();
                }
            }
        }
        actions
    }

    fn acquire(&mut self, now: Now, entry: &Entry, name: &ServiceName) -> Vec<Action> {
        self.next_generation += 1;
        let timing = entry.settings.timing;
        let incarnation = entry.incarnation.wrapping_add(self.next_generation);
        let mut cell = Cell::new(name, entry.name().clone(), incarnation, timing.commit_interval);
        let outputs = cell.open(now);
        let mut jobs = JobQueue::new(timing.task_lease, timing.answer_retention);
        jobs.set_classes(&self.classes);
        let owned = Owned {
            generation: self.next_generation,
            cell,
            dedupe: Dedupe::new(timing.answer_retention),
            jobs,
            accepting: HashMap::new(),
            waiters: HashMap::new(),
            uncommitted: HashSet::new(),
            is_releasing: false,
        };
        self.owned = Some(owned);
        self.kept_alive.clear();
        let mut actions = self.refresh_workers(&entry.instances(), name);
        actions.extend(self.follow_cell(now, outputs));
        actions
    }

    /// Drops what only the owner has. Requests that were not sent are refused; those that wait for
    /// another's outcome are told that it is not known here any more.
    fn drop_owned(&mut self) {
        let Some(mut owned) = self.owned.take() else { return };
        self.kept_alive = owned.jobs.keep_alive();
        for ticket in owned.dedupe.fenced() {
            let reply = self.requests.remove(&ticket).and_then(|mut running| running.reply.take());
            if let Some(reply) = reply {
                let _ = reply.send(not_run(RefusalReason::NoOwner, OWNER_RETRY_AFTER));
            }
        }
    }

    fn refresh(
        &mut self,
        now: Now,
        classes: Vec<Class>,
        instances: &[Instance],
        name: &ServiceName,
    ) -> Vec<Action> {
        self.dispatcher.set_classes(&classes);
        if let Some(owned) = &mut self.owned {
            owned.jobs.set_classes(&classes);
        }
        self.classes = classes;
        let executors =
            || instances.iter().filter(|i| i.role == Role::Executor && i.service == *name);
        let present: HashSet<&str> = executors().map(|instance| &*instance.id).collect();
        // An empty list is more likely a fault of the list than the loss of every executor.
        if !present.is_empty() {
            self.dispatcher.retain_executors(|id| present.contains(id));
        }
        let mut commands = Vec::new();
        for instance in executors() {
            self.addresses.insert(instance.id.clone(), instance.address.clone());
            let info = ExecutorInfo {
                id: instance.id.clone(),
                zone: instance.zone.clone(),
                slots: instance.slots,
                connections: instance.connections,
                is_leaving: instance.state == InstanceState::Leaving,
            };
            commands.extend(self.dispatcher.upsert_executor(now, info));
        }
        let mut actions = self.follow(now, commands);
        actions.extend(self.refresh_workers(instances, name));
        actions
    }
}

impl Owned {
    fn recover(&mut self, now: Now, states: Vec<(RequestKey, CellState)>) {
        for (subject, state) in states {
            match state {
                CellState::Key(state) => self.dedupe.recover(now, subject, state),
                CellState::Job(job) => self.jobs.recover(now, job),
            }
        }
    }
}

/// The answer to a caller whose job is accepted.
pub(crate) fn accepted_answer(id: &str) -> Outcome {
    let body = serde_json::to_vec(&serde_json::json!({ "job": id })).expect("it is plain data");
    Outcome::Answered(Answer { status: 202, content_type: "application/json".to_owned(), body })
}

//! Communication with executors: the registry, a polling loop for each, and orders.

use std::{rc::Rc, sync::Arc, time::Duration};

use jackdawpier_fleet::{
    connection_peer::HoldRequest,
    executor::HoldReport,
    fleet::{
        Command, HoldDirective, StartOutcome, StartPermission, StopEvidence, StopOutcome,
        StopReason,
    },
    spec::{RunNumber, TaskKey},
};
use jackdawpier_kernel::{Now, ids::ExecutorId};
use serde_json::json;
use tokio::sync::Notify;

use super::{Owner, order_queue::OrderQueue, registry::RegistryWatch};
use crate::{
    clock,
    metrics::Latency,
    ports::{Approval, CallError, HoldAnswer, OrderTarget, Platform, StartOrder},
    registry::RegistryChange,
};

/// Delay before a failed read of the registry is retried.
const REGISTRY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum time that an executor delays its answer to a hold request until a task ends: one request a second to
/// an idle executor.
const HOLD_WAIT: Duration = Duration::from_millis(1000);
/// Maximum delay of the answer while tasks that end by themselves run there. Where one answer in twenty is lost,
/// the owner learns of the ends in it 0.55 s later instead of 1.4 s; the number of answers that carry an end
/// stays the same.
const BUSY_HOLD_WAIT: Duration = Duration::from_millis(250);
/// Maximum rate of answers without an end for each core of the owner: at about 100 us each they take a tenth of
/// the core. With 540 executors and half a core each executor waits for 1 s; 250 ms would make 2,160 answers a
/// second, two fifths of that owner's processor.
const EMPTY_ANSWERS_PER_CORE_S: f64 = 1000.0;

/// Returns the maximum delay of an answer from a busy executor if this many executors are polled.
fn busy_hold_wait(executors: usize, cpu_share: f64) -> Duration {
    let rate_per_s = (cpu_share * EMPTY_ANSWERS_PER_CORE_S).max(1.0);
    Duration::from_secs_f64(executors as f64 / rate_per_s).clamp(BUSY_HOLD_WAIT, HOLD_WAIT)
}
/// Delay before a failed hold request is retried; shorter after the first failure, which may be a single lost
/// answer.
const HOLD_RETRY_DELAY: Duration = Duration::from_millis(200);
const FIRST_HOLD_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum wait for ends to become durable before the executor is polled again.
const MAX_DURABLE_WAIT: Duration = Duration::from_millis(500);
/// Maximum attempts to start a task on an executor that doesn't answer.
const START_ATTEMPTS: usize = 2;
/// Maximum concurrent orders of a kind to one executor. The orders of a whole step would otherwise open one
/// connection each instead of sharing a few persistent ones, and an unreachable executor gets few futile ones.
const MAX_CONCURRENT_ORDERS: usize = 3;
/// Attempts to stop a task; after these the stop is repeated after each answer to a hold request.
const STOP_ATTEMPTS: usize = 3;

impl<P: Platform> Owner<P> {
    pub(super) async fn follow_executors(self: Rc<Self>) {
        let mut watch = RegistryWatch::default();
        while self.is_valid() {
            match watch.next_changes(&self).await {
                Ok(changes) if !changes.is_empty() && self.is_valid() => {
                    changes.into_iter().for_each(|change| self.apply_registry_change(change));
                    self.tick_requested.notify_one();
                }
                Ok(_) => {}
                Err(error) => {
                    let fields = json!({ "for": "registry", "why": error.to_string() });
                    self.events.emit("store_missed", fields);
                    tokio::time::sleep(REGISTRY_RETRY_DELAY).await;
                }
            }
        }
    }

    fn apply_registry_change(self: &Rc<Self>, change: RegistryChange) {
        match change {
            RegistryChange::Registered(info) => {
                let id = info.id.clone();
                self.fleet.borrow_mut().register_executor(clock::now(), info);
                self.start_polling(id);
            }
            RegistryChange::Unregistered(id) => self.fleet.borrow_mut().unregister_executor(&id),
        }
    }

    /// Starts polling the executors on which a previous owner placed tasks, registered or not.
    pub(super) fn poll_known_executors(self: &Rc<Self>) {
        let known: Vec<ExecutorId> =
            self.fleet.borrow().executors().map(|(id, _)| id.clone()).collect();
        known.into_iter().for_each(|id| self.start_polling(id));
    }

    fn start_polling(self: &Rc<Self>, id: ExecutorId) {
        if self.polled_executors.borrow_mut().insert(id.clone()) {
            tokio::task::spawn_local(self.clone().poll_executor(id));
        }
    }

    fn order_target(&self, executor: &ExecutorId) -> Option<OrderTarget> {
        let address = self.fleet.borrow().executor_address(executor)?;
        let peer = self.fleet.borrow().executor_peer(executor);
        Some(OrderTarget { peer, address, fence: self.term.fence })
    }

    /// Polls one executor for running and ended tasks until the fleet needs it no longer.
    async fn poll_executor(self: Rc<Self>, id: ExecutorId) {
        let mut has_answered = false;
        while self.is_valid() {
            let directive = self.fleet.borrow_mut().hold_directive(clock::now(), &id);
            let Some(directive) = directive else { break };
            let Some(target) = self.order_target(&id) else {
                tokio::time::sleep(HOLD_RETRY_DELAY).await;
                continue;
            };
            let request = self.hold_request(&directive);
            let sent_at = clock::now();
            let answer = self.platform.hold(&target, &request).await;
            if !self.is_valid() {
                break;
            }
            match answer {
                Ok(answer) => {
                    self.log_held_back_ack(&target, &request, &answer);
                    self.apply_report(&id, sent_at, &answer.report, !has_answered);
                    has_answered = true;
                }
                Err(CallError::Fenced) => {
                    self.events.emit("fenced", json!({ "executor": *id }));
                    self.term.mark_lost();
                }
                Err(error) => {
                    self.fleet.borrow_mut().hold_failed(clock::now(), &id);
                    if has_answered {
                        let fields = json!({ "executor": *id, "why": error.to_string() });
                        self.events.emit("executor_silent", fields);
                    }
                    let pause =
                        if has_answered { FIRST_HOLD_RETRY_DELAY } else { HOLD_RETRY_DELAY };
                    has_answered = false;
                    tokio::time::sleep(pause).await;
                }
            }
            if directive.is_frozen {
                tokio::time::sleep(HOLD_WAIT).await;
            } else {
                self.wait_until_ends_durable(&id).await;
            }
        }
        self.polled_executors.borrow_mut().remove(&id);
        self.sessions.borrow_mut().remove(&id);
    }

    fn hold_request(&self, directive: &HoldDirective) -> HoldRequest {
        let busy_wait =
            busy_hold_wait(self.polled_executors.borrow().len(), self.settings.cpu_share);
        let max_wait = if directive.expects_end { busy_wait } else { HOLD_WAIT };
        HoldRequest {
            acknowledged: directive.acknowledged,
            lease_until: directive.lease_until,
            wait: if directive.may_wait { max_wait } else { Duration::ZERO },
        }
    }

    fn log_held_back_ack(&self, target: &OrderTarget, request: &HoldRequest, answer: &HoldAnswer) {
        if answer.sent.acknowledged < request.acknowledged {
            let fields = json!({
                "executor": *target.peer.executor,
                "life": answer.report.incarnation,
                "expected": target.peer.incarnation,
                "acknowledged": request.acknowledged,
            });
            self.events.emit("ack_held_back", fields);
        }
    }

    /// Applies an executor's report; `is_first` if it hasn't answered before, or not the last request.
    fn apply_report(
        self: &Rc<Self>,
        id: &ExecutorId,
        sent_at: Now,
        report: &HoldReport,
        is_first: bool,
    ) {
        if is_first {
            let fields = json!({ "executor": **id, "life": report.incarnation, "running": report.running.len(), "ended": report.ended.len() });
            self.events.emit("executor_heard", fields);
        }
        let now = clock::now();
        self.fleet.borrow_mut().hold_answered(now, sent_at, id, report);
        for end in &report.ended {
            let fields = json!({ "executor": **id, "task": end.task.to_string(), "run": end.run, "how": format!("{:?}", end.kind) });
            self.events.emit("task_ended", fields);
        }
        let stops = self.fleet.borrow_mut().repeat_stops(now, id);
        stops.into_iter().for_each(|stop| self.clone().send_executor_command(stop));
        self.execute_commands();
        self.tick_requested.notify_one();
    }

    async fn wait_until_ends_durable(&self, id: &ExecutorId) {
        let began_at = clock::now();
        let session = self.session(id);
        loop {
            // The directive reflects which ends are durable by now.
            if self.fleet.borrow_mut().hold_directive(clock::now(), id).is_none_or(|it| it.may_wait)
            {
                return;
            }
            if !self.fleet.borrow().has_unacknowledged(id) {
                return;
            }
            let remaining = MAX_DURABLE_WAIT.saturating_sub(clock::since(began_at));
            if remaining.is_zero() || !self.is_valid() {
                return;
            }
            if tokio::time::timeout(remaining, session.acknowledgeable.notified()).await.is_err() {
                return;
            }
        }
    }

    /// Sends a command that concerns one executor.
    pub(super) fn send_executor_command(self: Rc<Self>, command: Command) {
        match command {
            Command::Start { executor, task, run, payload, checkpoint, ticket } => {
                let starts = self.session(&executor).starts.clone();
                let job = task.job.clone();
                let order = Start { executor, task, run, payload, checkpoint, ticket };
                starts.push(job, order, move |order| self.clone().start(order));
            }
            Command::Stop { executor, task, run, reason } => {
                let stops = self.session(&executor).stops.clone();
                let job = task.job.clone();
                let order = Stop { executor, task, run, reason };
                stops.push(job, order, move |order| self.clone().stop(order));
            }
            Command::Pace { executor, task, run, percent } => {
                tokio::task::spawn_local(async move {
                    if let Some(target) = self.order_target(&executor) {
                        let is_accepted = self.platform.pace(&target, &task, run, percent).await;
                        let fields = json!({ "executor": *executor, "task": task.to_string(), "percent": percent, "taken": is_accepted });
                        self.events.emit("pace", fields);
                    }
                });
            }
            Command::Advise { .. } | Command::Machine(_) | Command::Wave(_) => {}
        }
    }

    fn session(&self, executor: &ExecutorId) -> Rc<Session> {
        let mut sessions = self.sessions.borrow_mut();
        sessions.entry(executor.clone()).or_default().clone()
    }

    /// Wakes the polling loops of executors with more ends to acknowledge. Waking all loops after each write
    /// made hundreds of them check in vain a hundred times a second.
    pub(super) fn wake_acknowledgeable(&self) {
        let executors = self.fleet.borrow_mut().take_acknowledgeable();
        let sessions = self.sessions.borrow();
        let waiting = executors.iter().filter_map(|id| sessions.get(id));
        waiting.for_each(|session| session.acknowledgeable.notify_one());
    }

    async fn start(self: Rc<Self>, start: Start) {
        let began_at = clock::now();
        let mut is_certain = true;
        let mut outcome = StartOutcome::Unanswered;
        for _ in 0..START_ATTEMPTS {
            let permission =
                self.fleet.borrow().start_permission(&start.executor, &start.task, start.run);
            if !self.is_valid() || permission == StartPermission::Withdrawn {
                return;
            }
            // The executor has started again, or has just left another order unanswered.
            let is_withheld = permission == StartPermission::OtherIncarnation
                || self.fleet.borrow().is_avoided(clock::now(), &start.executor);
            if is_withheld {
                outcome =
                    if is_certain { StartOutcome::Withheld } else { StartOutcome::Unanswered };
                break;
            }
            let lease = self.fleet.borrow_mut().order_lease(clock::now(), &start.executor);
            let (Some(target), Some(lease_until)) = (self.order_target(&start.executor), lease)
            else {
                outcome = StartOutcome::Unavailable;
                break;
            };
            let order = StartOrder {
                task: start.task.clone(),
                run: start.run,
                payload: start.payload.clone(),
                lease_until,
                checkpoint: start.checkpoint.clone(),
                ticket: start.ticket.clone(),
            };
            outcome = self.platform.start(&target, &order).await;
            if outcome != StartOutcome::Unanswered {
                break;
            }
            is_certain = false;
        }
        let fields = json!({ "executor": *start.executor, "task": start.task.to_string(), "run": start.run, "end": format!("{outcome:?}"), "certain": is_certain });
        self.events.metrics().observe(Latency::Start, clock::since(began_at));
        self.events.emit("task_started", fields);
        if !self.is_valid() {
            return;
        }
        let now = clock::now();
        self.fleet.borrow_mut().start_ended(
            now,
            &start.executor,
            &start.task,
            start.run,
            outcome,
            is_certain,
        );
        self.execute_commands();
        if outcome != StartOutcome::Started {
            self.tick_requested.notify_one();
        }
    }

    async fn stop(self: Rc<Self>, Stop { executor, task, run, reason }: Stop) {
        let mut outcome = StopOutcome::NotTaken;
        for _ in 0..STOP_ATTEMPTS {
            if !self.is_valid() {
                return;
            }
            let may_send = self.fleet.borrow().may_send_stop(clock::now(), &executor, &task, run);
            let Some(target) = self.order_target(&executor).filter(|_| may_send) else { break };
            let evidence = self.fleet.borrow().stop_evidence(clock::now(), &task, run);
            outcome = self.platform.stop(&target, &task, run).await;
            let mut fields = json!({ "executor": *executor, "task": task.to_string(), "run": run, "why": format!("{reason:?}"), "end": format!("{outcome:?}") });
            if let Some(evidence) = evidence {
                add_stop_evidence(&mut fields, evidence);
            }
            self.events.emit("task_stopped", fields);
            if outcome == StopOutcome::Taken {
                break;
            }
        }
        self.fleet.borrow_mut().stop_ended(clock::now(), &task, run, outcome);
    }

    pub(super) async fn request_advice(
        self: Rc<Self>,
        task: TaskKey,
        executors: Vec<ExecutorId>,
        timeout: Duration,
    ) {
        let began_at = clock::now();
        let answer = self.platform.advise(&task, &executors, timeout).await;
        let now = clock::now();
        let (name, named) = (task.to_string(), executors.len());
        let took_ms = now.saturating_sub(began_at).as_millis() as u64;
        match answer {
            Ok(Approval { approved, valid_for }) => {
                let fields = json!({ "task": name, "named": named, "approved": approved.len(), "took_ms": took_ms });
                self.events.emit("advice", fields);
                self.events.metrics().count_advice(named, approved.len());
                self.fleet.borrow_mut().advice_received(now, &task, approved, valid_for);
            }
            Err(error) => {
                let fields = json!({ "task": name, "named": named, "why": error.to_string(), "took_ms": took_ms });
                self.events.emit("advice_failed", fields);
                self.fleet.borrow_mut().advice_failed(now, &task);
            }
        }
        self.tick_requested.notify_one();
    }
}

/// Adds what was known of a long-running task's run when the stop was sent.
fn add_stop_evidence(fields: &mut serde_json::Value, evidence: StopEvidence) {
    fields["listed_ago_ms"] = json!(evidence.listed_ago.map(|ago| ago.as_millis()));
    fields["percent"] = json!(evidence.percent);
    fields["others_away"] = json!(evidence.others_away);
    fields["may_miss"] = json!(evidence.may_miss);
}

/// State that the polling loop and the orders of one executor share.
pub(crate) struct Session {
    /// Starts to send.
    starts: Rc<OrderQueue<Start>>,
    /// Stops to send; separate, so that stops don't wait for starts.
    stops: Rc<OrderQueue<Stop>>,
    /// Notified when more of the executor's ends are durable.
    acknowledgeable: Notify,
}

impl Default for Session {
    fn default() -> Self {
        Self {
            starts: Rc::new(OrderQueue::new(MAX_CONCURRENT_ORDERS)),
            stops: Rc::new(OrderQueue::new(MAX_CONCURRENT_ORDERS)),
            acknowledgeable: Notify::new(),
        }
    }
}

struct Start {
    executor: ExecutorId,
    task: TaskKey,
    run: RunNumber,
    payload: Arc<str>,
    checkpoint: Box<str>,
    ticket: Option<Arc<str>>,
}

struct Stop {
    executor: ExecutorId,
    task: TaskKey,
    run: RunNumber,
    reason: StopReason,
}

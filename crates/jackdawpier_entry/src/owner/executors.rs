//! Talking to executors: the registry, a loop of holds each, and orders.

use std::{rc::Rc, sync::Arc, time::Duration};

use jackdawpier_fleet::{
    fleet::{Command, StartOutcome, StopEvidence, StopOutcome, StopReason},
    spec::{RunNumber, TaskKey},
};
use jackdawpier_kernel::ids::ExecutorId;
use serde_json::json;
use tokio::sync::{Notify, Semaphore};

use super::{Owner, registry::RegistryWatch};
use crate::{
    clock,
    metrics::Latency,
    ports::{CallError, HoldRequest, OrderTarget, Platform, StartOrder},
    registry::RegistryChange,
};

/// Pause after the registry couldn't be read.
const REGISTRY_PAUSE: Duration = Duration::from_millis(100);
/// How long an executor may wait for an end: one question a second where nothing happens.
const HOLD_WAIT: Duration = Duration::from_millis(1000);
/// The same while work runs there that ends by itself. Where one answer in twenty gets lost, the ends
/// behind it are heard of 0.55 s later instead of 1.4 s; answers that come with an end are no more than before.
const BUSY_HOLD_WAIT: Duration = Duration::from_millis(250);
/// Answers without an end that a whole core may have to take in each second: at some 100 us each that is a
/// tenth of it. With 540 executors and half a core each waits for 1 s; 250 ms would make 2,160 answers a
/// second, two fifths of that owner's processor.
const EMPTY_ANSWERS_PER_CORE_S: f64 = 1000.0;

/// How long an executor with work that ends may wait, where this many are asked.
fn busy_hold_wait(executors: usize, cpu_share: f64) -> Duration {
    let rate_per_s = (cpu_share * EMPTY_ANSWERS_PER_CORE_S).max(1.0);
    Duration::from_secs_f64(executors as f64 / rate_per_s).clamp(BUSY_HOLD_WAIT, HOLD_WAIT)
}
/// Pause after a hold that failed; shorter after the first, whose answer alone may be lost.
const HOLD_PAUSE: Duration = Duration::from_millis(200);
const FIRST_HOLD_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for ends to become durable before the executor is asked again.
const DURABLE_WAIT: Duration = Duration::from_millis(500);
/// An order without an answer is sent this many times before its task is given up there.
const START_TRIES: usize = 2;
/// Orders of a kind under way at once at one executor: they share a few kept-alive connections, where a
/// whole step that is placed there would open one each, and an executor out of reach gets few in vain.
const ORDERS_AT_ONCE: usize = 3;
/// Tries of a stop; after these it is repeated with each hold.
const STOP_TRIES: usize = 3;

impl<P: Platform> Owner<P> {
    pub(super) async fn follow_executors(self: Rc<Self>) {
        let mut watch = RegistryWatch::default();
        while self.is_valid() {
            match watch.follow(&self).await {
                Ok(changes) if !changes.is_empty() && self.is_valid() => {
                    changes.into_iter().for_each(|change| self.take_change(change));
                    self.changed.notify_one();
                }
                Ok(_) => {}
                Err(error) => {
                    let fields = json!({ "for": "registry", "why": error.to_string() });
                    self.events.emit("store_missed", fields);
                    tokio::time::sleep(REGISTRY_PAUSE).await;
                }
            }
        }
    }

    fn take_change(self: &Rc<Self>, change: RegistryChange) {
        match change {
            RegistryChange::Registered(info) => {
                let id = info.id.clone();
                self.fleet.borrow_mut().register_executor(clock::now(), info);
                self.follow_if_new(id);
            }
            RegistryChange::Unregistered(id) => self.fleet.borrow_mut().unregister_executor(&id),
        }
    }

    /// Starts the loops of executors on which an earlier owner has placed tasks, registered or not.
    pub(super) fn poll_known_executors(self: &Rc<Self>) {
        let known: Vec<ExecutorId> =
            self.fleet.borrow().executors().map(|(id, _)| id.clone()).collect();
        known.into_iter().for_each(|id| self.follow_if_new(id));
    }

    fn follow_if_new(self: &Rc<Self>, id: ExecutorId) {
        if self.polled_executors.borrow_mut().insert(id.clone()) {
            tokio::task::spawn_local(self.clone().follow(id));
        }
    }

    fn target(&self, executor: &ExecutorId) -> Option<OrderTarget> {
        let address = self.fleet.borrow().executor_address(executor)?;
        Some(OrderTarget { executor: executor.clone(), address, fence: self.term.fence })
    }

    /// Asks one executor again and again what runs there.
    async fn follow(self: Rc<Self>, id: ExecutorId) {
        let mut is_heard = false;
        while self.is_valid() {
            let order = self.fleet.borrow_mut().hold_directive(clock::now(), &id);
            let Some(order) = order else { break };
            let Some(target) = self.target(&id) else {
                tokio::time::sleep(HOLD_PAUSE).await;
                continue;
            };
            let busy_wait =
                busy_hold_wait(self.polled_executors.borrow().len(), self.settings.cpu_share);
            let longest = if order.expects_end { busy_wait } else { HOLD_WAIT };
            let wait = if order.may_wait { longest } else { Duration::ZERO };
            let question = HoldRequest {
                acknowledged: order.acknowledged,
                lease_until: order.lease_until,
                wait,
            };
            let sent_at = clock::now();
            let answer = self.platform.hold(&target, &question).await;
            if !self.is_valid() {
                break;
            }
            match answer {
                Ok(report) => {
                    if !is_heard {
                        let fields = json!({ "executor": *id, "life": report.incarnation, "running": report.running.len(), "ended": report.ended.len() });
                        self.events.emit("executor_heard", fields);
                    }
                    is_heard = true;
                    let now = clock::now();
                    self.fleet.borrow_mut().hold_answered(now, sent_at, &id, &report);
                    for end in &report.ended {
                        let fields = json!({ "executor": *id, "task": end.task.to_string(), "run": end.run, "how": format!("{:?}", end.kind) });
                        self.events.emit("task_ended", fields);
                    }
                    let stops = self.fleet.borrow_mut().repeat_stops(now, &id);
                    stops.into_iter().for_each(|stop| self.clone().send_executor_command(stop));
                    self.execute_commands();
                    self.changed.notify_one();
                }
                Err(CallError::Fenced) => {
                    self.events.emit("fenced", json!({ "executor": *id }));
                    self.term.mark_lost();
                }
                Err(error) => {
                    self.fleet.borrow_mut().hold_failed(clock::now(), &id);
                    if is_heard {
                        let fields = json!({ "executor": *id, "why": error.to_string() });
                        self.events.emit("executor_silent", fields);
                    }
                    let pause = if is_heard { FIRST_HOLD_PAUSE } else { HOLD_PAUSE };
                    is_heard = false;
                    tokio::time::sleep(pause).await;
                }
            }
            if order.is_frozen {
                tokio::time::sleep(HOLD_WAIT).await;
            } else {
                self.wait_until_durable(&id).await;
            }
        }
        self.polled_executors.borrow_mut().remove(&id);
        self.sessions.borrow_mut().remove(&id);
    }

    async fn wait_until_durable(&self, id: &ExecutorId) {
        let began_at = clock::now();
        let session = self.session(id);
        loop {
            // Taking the order looks at what is durable by now.
            if self.fleet.borrow_mut().hold_directive(clock::now(), id).is_none_or(|it| it.may_wait)
            {
                return;
            }
            if !self.fleet.borrow().has_unacknowledged(id) {
                return;
            }
            let left = DURABLE_WAIT.saturating_sub(clock::since(began_at));
            if left.is_zero() || !self.is_valid() {
                return;
            }
            if tokio::time::timeout(left, session.settled.notified()).await.is_err() {
                return;
            }
        }
    }

    /// Carries an order to an executor out.
    pub(super) fn send_executor_command(self: Rc<Self>, command: Command) {
        match command {
            Command::Start { executor, task, run, payload, checkpoint, ticket } => {
                tokio::task::spawn_local(async move {
                    let order = Start { executor, task, run, payload, checkpoint, ticket };
                    self.start(order).await;
                });
            }
            Command::Stop { executor, task, run, reason } => {
                tokio::task::spawn_local(async move {
                    self.stop(executor, task, run, reason).await;
                });
            }
            Command::Pace { executor, task, run, percent } => {
                tokio::task::spawn_local(async move {
                    if let Some(target) = self.target(&executor) {
                        let is_taken = self.platform.pace(&target, &task, run, percent).await;
                        let fields = json!({ "executor": *executor, "task": task.to_string(), "percent": percent, "taken": is_taken });
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

    /// Lets the loops go on whose executors may be told to forget more ends. Only those: woken by each
    /// write, hundreds of them looked in vain a hundred times a second.
    pub(super) fn wake_acknowledgeable(&self) {
        let settled = self.fleet.borrow_mut().take_acknowledgeable();
        let sessions = self.sessions.borrow();
        let waiting = settled.iter().filter_map(|id| sessions.get(id));
        waiting.for_each(|session| session.settled.notify_one());
    }

    async fn start(self: Rc<Self>, start: Start) {
        let session = self.session(&start.executor);
        let _permit = session.starts.acquire().await.expect("it is never closed");
        let began_at = clock::now();
        let mut is_certain = true;
        let mut end = StartOutcome::Unanswered;
        for _ in 0..START_TRIES {
            let is_wanted =
                self.fleet.borrow().may_send_start(&start.executor, &start.task, start.run);
            if !self.is_valid() || !is_wanted {
                return;
            }
            if self.fleet.borrow().is_avoided(clock::now(), &start.executor) {
                // It has just failed to answer another order.
                end = if is_certain { StartOutcome::Withheld } else { StartOutcome::Unanswered };
                break;
            }
            let lease = self.fleet.borrow_mut().order_lease(clock::now(), &start.executor);
            let (Some(target), Some(lease_until)) = (self.target(&start.executor), lease) else {
                end = StartOutcome::Unavailable;
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
            end = self.platform.start(&target, &order).await;
            if end != StartOutcome::Unanswered {
                break;
            }
            is_certain = false;
        }
        let fields = json!({ "executor": *start.executor, "task": start.task.to_string(), "run": start.run, "end": format!("{end:?}"), "certain": is_certain });
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
            end,
            is_certain,
        );
        self.execute_commands();
        if end != StartOutcome::Started {
            self.changed.notify_one();
        }
    }

    async fn stop(
        self: Rc<Self>,
        executor: ExecutorId,
        task: TaskKey,
        run: RunNumber,
        reason: StopReason,
    ) {
        let session = self.session(&executor);
        let _permit = session.stops.acquire().await.expect("it is never closed");
        let mut end = StopOutcome::NotTaken;
        for _ in 0..STOP_TRIES {
            if !self.is_valid() {
                return;
            }
            let may_leave = self.fleet.borrow().may_send_stop(clock::now(), &executor, &task, run);
            let Some(target) = self.target(&executor).filter(|_| may_leave) else { break };
            let signs = self.fleet.borrow().stop_evidence(clock::now(), &task, run);
            end = self.platform.stop(&target, &task, run).await;
            let mut fields = json!({ "executor": *executor, "task": task.to_string(), "run": run, "why": format!("{reason:?}"), "end": format!("{end:?}") });
            if let Some(signs) = signs {
                add_signs(&mut fields, signs);
            }
            self.events.emit("task_stopped", fields);
            if end == StopOutcome::Taken {
                break;
            }
        }
        self.fleet.borrow_mut().stop_ended(clock::now(), &task, run, end);
    }

    pub(super) async fn advise(self: Rc<Self>, task: TaskKey, executors: Vec<ExecutorId>) {
        match self.platform.advise(&task, &executors).await {
            Ok(approval) => {
                let fields =
                    json!({ "task": task.to_string(), "approved": approval.approved.len() });
                self.events.emit("advice", fields);
                self.fleet.borrow_mut().advice_received(
                    clock::now(),
                    &task,
                    approval.approved,
                    approval.valid_for,
                );
                self.changed.notify_one();
            }
            Err(error) => {
                let fields = json!({ "task": task.to_string(), "why": error.to_string() });
                self.events.emit("advice_failed", fields);
            }
        }
    }
}

/// Says what was known of a run of a long-running step when the order to stop it left.
fn add_signs(fields: &mut serde_json::Value, signs: StopEvidence) {
    fields["listed_ago_ms"] = json!(signs.listed_ago.map(|ago| ago.as_millis()));
    fields["percent"] = json!(signs.percent);
    fields["others_away"] = json!(signs.others_away);
    fields["may_miss"] = json!(signs.may_miss);
}

/// What the loop and the orders of one executor share.
pub(crate) struct Session {
    /// Orders to start that may be under way at it.
    starts: Semaphore,
    /// Orders to stop that may be under way at it, apart so that they don't wait behind starts.
    stops: Semaphore,
    /// More of its ends have become durable.
    settled: Notify,
}

impl Default for Session {
    fn default() -> Self {
        Self {
            starts: Semaphore::new(ORDERS_AT_ONCE),
            stops: Semaphore::new(ORDERS_AT_ONCE),
            settled: Notify::new(),
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

//! Talking to executors: the registry, a loop of holds each, and orders.

use std::{rc::Rc, sync::Arc, time::Duration};

use jackdawpier_fleet::{
    fleet::{Command, StartEnd, StopEnd},
    spec::{RunNumber, TaskKey},
};
use jackdawpier_kernel::ids::ExecutorId;
use serde_json::json;
use tokio::sync::Semaphore;

use super::{Owner, registry::Registry};
use crate::{
    clock,
    metrics::Latency,
    ports::{CallError, HoldQuestion, OrderTarget, Platform, StartOrder},
};

/// Pause after the registry couldn't be read.
const REGISTRY_PAUSE: Duration = Duration::from_millis(100);
/// How long an executor may wait for an end: one question a second where nothing happens.
const HOLD_WAIT: Duration = Duration::from_millis(1000);
/// The same while work runs there that ends by itself. Where one answer in twenty gets lost, the ends
/// behind it are heard of 0.55 s later instead of 1.4 s; answers that come with an end are no more than before.
const BUSY_HOLD_WAIT: Duration = Duration::from_millis(250);
/// Pause after a hold that failed; shorter after the first, whose answer alone may be lost.
const HOLD_PAUSE: Duration = Duration::from_millis(200);
const FIRST_HOLD_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for ends to become durable before the executor is asked again.
const DURABLE_WAIT: Duration = Duration::from_millis(500);
/// An order without an answer is sent this many times before its task is given up there.
const START_TRIES: usize = 2;
/// Orders under way at once at one executor: they share a few kept-alive connections, where a whole
/// step that is placed there would open one each.
const ORDERS_AT_ONCE: usize = 3;
/// Tries of a stop; after these it is repeated with each hold.
const STOP_TRIES: usize = 3;

impl<P: Platform> Owner<P> {
    pub(super) async fn follow_executors(self: Rc<Self>) {
        let mut registry = Registry::default();
        while self.is_valid() {
            match registry.follow(&self).await {
                Ok(has_news) if has_news && self.is_valid() => {
                    let listed = registry.executors();
                    self.fleet.borrow_mut().list_executors(clock::now(), listed);
                    self.follow_new();
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

    fn follow_new(self: &Rc<Self>) {
        let known: Vec<ExecutorId> =
            self.fleet.borrow().executors().map(|(id, _)| id.clone()).collect();
        for id in known {
            if self.followed.borrow_mut().insert(id.clone()) {
                tokio::task::spawn_local(self.clone().follow(id));
            }
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
            let order = self.fleet.borrow_mut().hold_order(clock::now(), &id);
            let Some(order) = order else { break };
            let Some(target) = self.target(&id) else {
                tokio::time::sleep(HOLD_PAUSE).await;
                continue;
            };
            let longest = if order.expects_end { BUSY_HOLD_WAIT } else { HOLD_WAIT };
            let wait = if order.may_wait { longest } else { Duration::ZERO };
            let question = HoldQuestion {
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
                        let fields = json!({ "executor": *id, "running": report.running.len(), "ended": report.ended.len() });
                        self.events.emit("executor_heard", fields);
                    }
                    is_heard = true;
                    let now = clock::now();
                    self.fleet.borrow_mut().hold_answered(now, sent_at, &id, &report);
                    for end in &report.ended {
                        let fields = json!({ "executor": *id, "task": end.task.to_string(), "run": end.run, "how": format!("{:?}", end.how) });
                        self.events.emit("task_ended", fields);
                    }
                    let stops = self.fleet.borrow().unconfirmed_stops(&id);
                    stops.into_iter().for_each(|stop| self.clone().order_executor(stop));
                    self.pump();
                    self.changed.notify_one();
                }
                Err(CallError::Fenced) => {
                    self.events.emit("fenced", json!({ "executor": *id }));
                    self.term.lose();
                }
                Err(error) => {
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
        self.followed.borrow_mut().remove(&id);
        self.order_slots.borrow_mut().remove(&id);
    }

    async fn wait_until_durable(&self, id: &ExecutorId) {
        let began_at = clock::now();
        loop {
            // Taking the order looks at what is durable by now.
            if self.fleet.borrow_mut().hold_order(clock::now(), id).is_none_or(|it| it.may_wait) {
                return;
            }
            if !self.fleet.borrow().has_unacknowledged(id) {
                return;
            }
            let left = DURABLE_WAIT.saturating_sub(clock::since(began_at));
            if left.is_zero() || !self.is_valid() {
                return;
            }
            if tokio::time::timeout(left, self.written.notified()).await.is_err() {
                return;
            }
        }
    }

    /// Carries an order to an executor out.
    pub(super) fn order_executor(self: Rc<Self>, command: Command) {
        match command {
            Command::Start { executor, task, run, payload, checkpoint, ticket } => {
                tokio::task::spawn_local(async move {
                    let order = Start { executor, task, run, payload, checkpoint, ticket };
                    self.start(order).await;
                });
            }
            Command::Stop { executor, task, run } => {
                tokio::task::spawn_local(async move { self.stop(executor, task, run).await });
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

    fn order_slot(&self, executor: &ExecutorId) -> Rc<Semaphore> {
        let mut slots = self.order_slots.borrow_mut();
        let slot = slots.entry(executor.clone());
        slot.or_insert_with(|| Rc::new(Semaphore::new(ORDERS_AT_ONCE))).clone()
    }

    async fn start(self: Rc<Self>, start: Start) {
        let slot = self.order_slot(&start.executor);
        let _permit = slot.acquire().await.expect("it is never closed");
        let began_at = clock::now();
        let mut is_certain = true;
        let mut end = StartEnd::Unanswered;
        for _ in 0..START_TRIES {
            let is_wanted = self.fleet.borrow().is_wanted(&start.executor, &start.task, start.run);
            if !self.is_valid() || !is_wanted {
                return;
            }
            if self.fleet.borrow().is_avoided(clock::now(), &start.executor) {
                // It has just failed to answer another order.
                end = if is_certain { StartEnd::Withheld } else { StartEnd::Unanswered };
                break;
            }
            let lease = self.fleet.borrow_mut().order_lease(clock::now(), &start.executor);
            let (Some(target), Some(lease_until)) = (self.target(&start.executor), lease) else {
                end = StartEnd::Unavailable;
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
            if end != StartEnd::Unanswered {
                break;
            }
            is_certain = false;
        }
        let fields = json!({ "executor": *start.executor, "task": start.task.to_string(), "run": start.run, "end": format!("{end:?}"), "certain": is_certain });
        self.events.metrics().took(Latency::Start, clock::since(began_at));
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
        self.pump();
        if end != StartEnd::Started {
            self.changed.notify_one();
        }
    }

    async fn stop(self: Rc<Self>, executor: ExecutorId, task: TaskKey, run: RunNumber) {
        for _ in 0..STOP_TRIES {
            let Some(target) = self.target(&executor) else { return };
            if !self.is_valid() {
                return;
            }
            let end = self.platform.stop(&target, &task, run).await;
            let fields = json!({ "executor": *executor, "task": task.to_string(), "run": run, "end": format!("{end:?}") });
            self.events.emit("task_stopped", fields);
            if end == StopEnd::Taken {
                self.fleet.borrow_mut().stop_ended(clock::now(), &task, run, end);
                return;
            }
        }
    }

    pub(super) async fn advise(self: Rc<Self>, task: TaskKey, executors: Vec<ExecutorId>) {
        match self.platform.advise(&task, &executors).await {
            Ok(approval) => {
                let fields =
                    json!({ "task": task.to_string(), "approved": approval.approved.len() });
                self.events.emit("advice", fields);
                self.fleet.borrow_mut().advised(
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

struct Start {
    executor: ExecutorId,
    task: TaskKey,
    run: RunNumber,
    payload: Arc<str>,
    checkpoint: Box<str>,
    ticket: Option<Arc<str>>,
}

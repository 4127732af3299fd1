//! Decision logic of one service, run under its lock; methods return the actions to perform after it.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use jackdawpier_coord::cell::{Cell, Output};
use jackdawpier_jobs::queue::JobQueue;
use jackdawpier_kernel::{
    Now,
    ids::{RequestKey, ServiceName, Ticket},
    instance::{Instance, InstanceRole, InstanceState},
    outcome::{Outcome, RefusalReason},
};
use jackdawpier_route::{
    dedupe::{Decision, Dedupe, KeyState, Resolution},
    dispatcher::{Command, RequestInfo},
    executors::ExecutorInfo,
    lost_shard::LostShardKeys,
};
use jackdawpier_settings::declaration::{Class, WorkKind};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    entry::Entry,
    executor_client::Attempt,
    messages::WorkRequest,
    service::{
        Action, ActiveRequest, CellState, OWNER_RETRY_AFTER, OwnedShard, STORE_RETRY_AFTER,
        ServiceState, not_run,
    },
};

fn fingerprint(work: &WorkRequest) -> u64 {
    let mut hash = xxh3_64_with_seed(work.method.as_bytes(), 0);
    hash = xxh3_64_with_seed(work.path.as_bytes(), hash);
    xxh3_64_with_seed(&work.body, hash)
}

/// Returns the cell key of an idempotency key, which is scoped to its class and customer. The
/// customer's length distinguishes customer `a/b` with key `c` from customer `a` with key `b/c`.
fn idempotency_cell_key(work: &WorkRequest) -> RequestKey {
    let WorkRequest { class, customer, key, .. } = work;
    let key = key.as_deref().unwrap_or_default();
    format!("k/{class}/{}/{customer}/{key}", customer.len()).into()
}

impl ServiceState {
    fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| &*class.name == name)
    }

    pub(crate) fn submit(
        &mut self,
        now: Now,
        work: WorkRequest,
        reply: oneshot::Sender<Outcome>,
    ) -> (Ticket, Vec<Action>) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        (ticket, self.submit_with_ticket(now, ticket, work, reply))
    }

    /// Cancels a queued request without a key. One with a key still runs, as its intent may be
    /// written: a repeat then gets its outcome.
    pub(crate) fn cancel(&mut self, ticket: Ticket) {
        let is_keyed = |running: &ActiveRequest| running.work.key.is_some();
        if self.requests.get(&ticket).is_none_or(is_keyed) {
            return;
        }
        if self.dispatcher.cancel(ticket) {
            self.requests.remove(&ticket);
        }
    }

    fn submit_with_ticket(
        &mut self,
        now: Now,
        ticket: Ticket,
        work: WorkRequest,
        reply: oneshot::Sender<Outcome>,
    ) -> Vec<Action> {
        let Some(class) = self.class(&work.class) else {
            let _ = reply.send(not_run(RefusalReason::UnknownClass, STORE_RETRY_AFTER));
            return Vec::new();
        };
        let is_idempotent = class.idempotent || work.method == "GET" || work.method == "HEAD";
        let (is_job, is_job_idempotent) = (class.kind == WorkKind::Refresh, class.idempotent);
        let refusal = if is_job || work.key.is_some() { self.durable_refusal() } else { None };
        if let Some(refusal) = refusal {
            let _ = reply.send(refusal);
            return Vec::new();
        }
        if is_job {
            return self.submit_job(now, &work, is_job_idempotent, reply);
        }
        let deadline = now + work.time_left;
        if work.key.is_some() {
            return self.submit_keyed(now, ticket, work, is_idempotent, reply);
        }
        let running =
            ActiveRequest { work: Arc::new(work), reply: Some(reply), deadline, is_idempotent };
        self.requests.insert(ticket, running);
        self.dispatch(now, ticket)
    }

    /// Returns the refusal for durable work, if nothing can be made durable now.
    fn durable_refusal(&self) -> Option<Outcome> {
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
        let deadline = now + work.time_left;
        let admitted = self.dispatcher.check_admission(now, &work.class, &work.customer, deadline);
        let owned = self.owned.as_mut().expect("the caller has checked the ownership");
        let cell_key = idempotency_cell_key(&work);
        match owned.dedupe.begin(&cell_key, fingerprint(&work), ticket) {
            Decision::Wait => {
                owned.waiters.insert(ticket, reply);
            }
            Decision::QueryWriter(entry) => {
                owned.waiters.insert(ticket, reply);
                let opened_at = owned.opened_at;
                return vec![Action::QueryWriter { entry, key: cell_key, opened_at, deadline }];
            }
            Decision::Replay(outcome) => {
                let _ = reply.send(outcome);
            }
            Decision::KeyReused => {
                let _ = reply.send(not_run(RefusalReason::BadRequest, Duration::ZERO));
            }
            Decision::WriteIntent { state } => {
                if let Err(refusal) = admitted {
                    let outcome = not_run(refusal.reason, refusal.retry_after);
                    // No intent was written for this key, so there is none to release.
                    owned.dedupe.record_outcome(now, &cell_key, &outcome);
                    let _ = reply.send(outcome);
                    return Vec::new();
                }
                let number = owned.cell.put(Arc::clone(&cell_key), &CellState::Key(state));
                owned.dedupe.on_intent_write_queued(
                    number.expect("the cell is open"),
                    ticket,
                    &cell_key,
                );
                owned.uncommitted_intents.insert(ticket);
                let running = ActiveRequest {
                    work: Arc::new(work),
                    reply: Some(reply),
                    deadline,
                    is_idempotent,
                };
                self.requests.insert(ticket, running);
                return self.tick_cell(now);
            }
        }
        Vec::new()
    }

    fn dispatch(&mut self, now: Now, ticket: Ticket) -> Vec<Action> {
        let Some(running) = self.requests.get(&ticket) else { return Vec::new() };
        let info = RequestInfo {
            ticket,
            class: running.work.class.clone(),
            customer: running.work.customer.clone(),
            deadline: running.deadline,
            is_idempotent: running.is_idempotent,
        };
        let commands = self.dispatcher.submit(now, info);
        self.apply_commands(now, commands)
    }

    /// Executes the dispatcher's commands: actions and answers.
    fn apply_commands(&mut self, now: Now, commands: Vec<Command>) -> Vec<Action> {
        commands.into_iter().flat_map(|command| self.apply_command(now, command)).collect()
    }

    fn apply_command(&mut self, now: Now, command: Command) -> Vec<Action> {
        match command {
            Command::Send { ticket, executor } => {
                let Some(running) = self.requests.get(&ticket) else { return Vec::new() };
                let address = self.executor_addresses.get(&executor).cloned().unwrap_or_default();
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

    pub(crate) fn on_attempt(&mut self, now: Now, ticket: Ticket, attempt: Attempt) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(answer) = attempt.answer {
            actions.extend(self.finish(now, ticket, Outcome::Answered(answer)));
        } else {
            log::debug!(event = "attempt_failed"; "{:?}: {}", attempt.outcome, attempt.detail);
        }
        let commands = self.dispatcher.finish_attempt(now, ticket, attempt.outcome);
        actions.extend(self.apply_commands(now, commands));
        actions
    }

    fn finish(&mut self, now: Now, ticket: Ticket, outcome: Outcome) -> Vec<Action> {
        let Some(running) = self.requests.remove(&ticket) else { return Vec::new() };
        let mut actions = Vec::new();
        if running.work.key.is_some() {
            actions = self.record_key_outcome(now, &idempotency_cell_key(&running.work), &outcome);
        }
        if let Some(reply) = running.reply {
            let _ = reply.send(outcome);
        }
        actions
    }

    /// Records the outcome of a key. If the shard was lost since the intent, keeps the outcome for
    /// queries of the new owner.
    fn record_key_outcome(&mut self, now: Now, key: &RequestKey, outcome: &Outcome) -> Vec<Action> {
        let Some(owned) = &mut self.owned else {
            self.lost_shard_keys.record_outcome(now, key, outcome);
            return Vec::new();
        };
        let Some((state, waiters)) = owned.dedupe.record_outcome(now, key, outcome) else {
            self.lost_shard_keys.record_outcome(now, key, outcome);
            return Vec::new();
        };
        owned.write_key_state(key, state);
        owned.answer_waiters(&waiters, outcome);
        self.tick_cell(now)
    }

    /// Processes the reply of the previous owner that wrote the intent of a key.
    pub(crate) fn on_writer_reply(
        &mut self,
        now: Now,
        key: &RequestKey,
        reply: Option<KeyState>,
    ) -> Vec<Action> {
        let Some(owned) = &mut self.owned else { return Vec::new() };
        match owned.dedupe.resolve(key, reply) {
            Resolution::WriteEnd(state) => owned.write_key_state(key, state),
            Resolution::Release(waiters) => {
                owned.write_key_state(key, KeyState::Released);
                // The router treats this refusal as a change of owners and retries.
                owned.answer_waiters(&waiters, &not_run(RefusalReason::NoOwner, OWNER_RETRY_AFTER));
            }
            Resolution::Unknown(waiters) => {
                let detail = "an earlier owner may have sent this request".to_owned();
                owned.answer_waiters(&waiters, &Outcome::Unknown { detail });
            }
        }
        self.tick_cell(now)
    }

    pub(crate) fn tick(&mut self, now: Now) -> Vec<Action> {
        self.lost_shard_keys.expire(now);
        let commands = self.dispatcher.tick(now);
        let mut actions = self.apply_commands(now, commands);
        self.refuse_expired_uncommitted(now);
        actions.extend(self.tick_owned(now));
        actions
    }

    /// Refuses keyed requests whose deadline has passed before their intent is durable. The intent
    /// may still be written; it is released once its write is confirmed.
    fn refuse_expired_uncommitted(&mut self, now: Now) {
        let Some(owned) = &self.owned else { return };
        for ticket in &owned.uncommitted_intents {
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
        let mut actions = self.apply_job_commands(now, commands);
        actions.extend(self.tick_cell(now));
        actions
    }

    pub(crate) fn tick_cell(&mut self, now: Now) -> Vec<Action> {
        let Some(owned) = &mut self.owned else { return Vec::new() };
        let outputs = owned.cell.tick(now);
        self.apply_cell_outputs(now, outputs)
    }

    pub(crate) fn on_cell_result(
        &mut self,
        now: Now,
        generation: u64,
        result: jackdawpier_store::StoreResult,
    ) -> Vec<Action> {
        let Some(owned) = self.owned.as_mut().filter(|owned| owned.generation == generation) else {
            return Vec::new();
        };
        let outputs = owned.cell.on_result(now, result);
        self.apply_cell_outputs(now, outputs)
    }

    fn apply_cell_outputs(&mut self, now: Now, outputs: Vec<Output<CellState>>) -> Vec<Action> {
        let mut actions = Vec::new();
        for output in outputs {
            let Some(owned) = &mut self.owned else { break };
            match output {
                Output::Call(request) => {
                    actions.push(Action::Store { generation: owned.generation, request });
                }
                Output::Opened { epoch, states } => {
                    log::info!(event = "cell_opened", epoch, states = states.len(); "opened the cell");
                    owned.opened_at = now;
                    owned.recover(now, states, &mut self.lost_shard_keys);
                }
                Output::Committed { up_to } => {
                    let committed = owned.dedupe.on_committed(up_to);
                    let commands = owned.jobs.on_committed(now, up_to);
                    for (outcome, waiters) in &committed.resolved {
                        owned.answer_waiters(waiters, outcome);
                    }
                    for ticket in committed.sendable {
                        if let Some(owned) = &mut self.owned {
                            owned.uncommitted_intents.remove(&ticket);
                        }
                        actions.extend(self.dispatch(now, ticket));
                    }
                    actions.extend(self.apply_job_commands(now, commands));
                }
                Output::Fenced => {
                    log::warn!(event = "cell_fenced"; "another entry has taken the shard over");
                    self.drop_owned(now);
                }
            }
        }
        actions
    }

    pub(crate) fn acquire(&mut self, now: Now, entry: &Entry, name: &ServiceName) -> Vec<Action> {
        self.drop_owned(now);
        self.next_generation += 1;
        let timing = entry.settings.timing;
        let incarnation = entry.incarnation.wrapping_add(self.next_generation);
        let mut cell = Cell::new(name, entry.name().clone(), incarnation, timing.commit_interval);
        let outputs = cell.open(now);
        let mut jobs = JobQueue::new(timing.task_lease, timing.answer_retention);
        jobs.set_classes(&self.classes);
        let owned = OwnedShard {
            generation: self.next_generation,
            cell,
            dedupe: Dedupe::new(entry.name().clone(), timing.answer_retention),
            jobs,
            accept_waiters: HashMap::new(),
            waiters: HashMap::new(),
            uncommitted_intents: HashSet::new(),
            opened_at: now,
            is_releasing: false,
        };
        self.owned = Some(owned);
        self.orphaned_task_renewals.clear();
        let mut actions = self.refresh_workers(&entry.instances(), name);
        actions.extend(self.apply_cell_outputs(now, outputs));
        actions
    }

    /// Drops the owner's state. Requests that were not sent are refused; requests that wait for the
    /// outcome of another with the same key get "unknown".
    pub(crate) fn drop_owned(&mut self, now: Now) {
        let Some(owned) = self.owned.take() else { return };
        self.orphaned_task_renewals = owned.jobs.keep_alive_renewals();
        for ticket in owned.dedupe.release_ownership(now, &mut self.lost_shard_keys) {
            let reply = self.requests.remove(&ticket).and_then(|mut running| running.reply.take());
            if let Some(reply) = reply {
                let _ = reply.send(not_run(RefusalReason::NoOwner, OWNER_RETRY_AFTER));
            }
        }
    }

    pub(crate) fn refresh(
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
            || instances.iter().filter(|i| i.role == InstanceRole::Executor && i.service == *name);
        let present: HashSet<&str> = executors().map(|instance| &*instance.id).collect();
        // An empty list is more likely a fault of the platform than the loss of every executor.
        if !present.is_empty() {
            self.dispatcher.retain_executors(|id| present.contains(id));
        }
        let mut commands = Vec::new();
        for instance in executors() {
            self.executor_addresses.insert(instance.id.clone(), instance.address.clone());
            let info = ExecutorInfo {
                id: instance.id.clone(),
                zone: instance.zone.clone(),
                slots: instance.slots,
                connections: instance.connections,
                is_leaving: instance.state == InstanceState::Leaving,
            };
            commands.extend(self.dispatcher.upsert_executor(now, info));
        }
        let mut actions = self.apply_commands(now, commands);
        actions.extend(self.refresh_workers(instances, name));
        actions
    }
}

impl OwnedShard {
    fn recover(
        &mut self,
        now: Now,
        states: Vec<(RequestKey, CellState)>,
        lost_shard_keys: &mut LostShardKeys,
    ) {
        let mut keys = Vec::new();
        for (cell_key, state) in states {
            match state {
                CellState::Key(state) => keys.push((cell_key, state)),
                CellState::Job(job) => self.jobs.recover(now, job),
            }
        }
        for (key, state) in self.dedupe.recover(now, keys, lost_shard_keys) {
            self.write_key_state(&key, state);
        }
    }

    fn write_key_state(&mut self, key: &RequestKey, state: KeyState) {
        if let Some(number) = self.cell.put(Arc::clone(key), &CellState::Key(state)) {
            self.dedupe.on_end_write_queued(number, key);
        }
    }

    fn answer_waiters(&mut self, waiters: &[Ticket], outcome: &Outcome) {
        for waiter in waiters.iter().filter_map(|ticket| self.waiters.remove(ticket)) {
            let _ = waiter.send(outcome.clone());
        }
    }
}

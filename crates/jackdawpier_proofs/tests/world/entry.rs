//! One simulated entry: the decision logic of a daemon with its inputs and outputs.

use std::{collections::HashMap, sync::Arc, time::Duration};

use jackdawpier_coord::{
    cell::{Cell, Output as CellOutput},
    configuration::{Configuration, Document, PeerReport},
    keys,
    membership::{Member, Membership, View},
    ownership::{Output as OwnershipOutput, Ownership},
};
use jackdawpier_kernel::{
    Now,
    ids::{EntryId, RequestKey},
    outcome::{Outcome, RefusalReason},
};
use jackdawpier_route::{
    dedupe::{Decision, Dedupe, KeyState, Resolution},
    lost_shard::LostShardKeys,
};
use jackdawpier_store::{Request, Response, StoreResult};

use super::{DEPLOYMENT, Mutations, SHARD};

const LEASE: Duration = Duration::from_secs(3);
const ISOLATION_LIMIT: Duration = Duration::from_secs(2);
const COMMIT_INTERVAL: Duration = Duration::from_millis(125);
const RETENTION: Duration = Duration::from_secs(300);
const VIEW_INTERVAL: Duration = Duration::from_millis(300);
const FINGERPRINT: u64 = 7;

/// Purpose of a call to the store.
#[derive(Debug, Clone)]
pub(crate) enum Purpose {
    Membership,
    Ownership(String),
    Cell(u64),
    View,
    Repair,
    Apply(u64),
}

struct Owned {
    generation: u64,
    cell: Cell<KeyState>,
    dedupe: Dedupe,
    keys: HashMap<u64, RequestKey>,
}

impl Owned {
    fn write_state(&mut self, key: &RequestKey, state: &KeyState) {
        if let Some(number) = self.cell.put(Arc::clone(key), state) {
            self.dedupe.on_end_write_queued(number, key);
        }
    }
}

/// The decision logic of one daemon.
pub(crate) struct Entry {
    pub(crate) name: EntryId,
    pub(crate) incarnation: u64,
    pub(crate) configuration: Configuration,
    pub(crate) highest_revision: u64,
    pub(crate) clock_ahead: Duration,
    pub(crate) calls: Vec<(Purpose, Request)>,
    pub(crate) sends: Vec<(RequestKey, u64)>,
    pub(crate) reported: Vec<(RequestKey, u64, Outcome)>,
    /// Queries about keys with an unresolved intent: (entry that wrote the intent, key).
    pub(crate) writer_queries: Vec<(EntryId, RequestKey)>,
    /// Outcomes of attempts in flight: (step, key, attempt, outcome).
    pub(crate) pending_outcomes: Vec<(u64, RequestKey, u64, Outcome)>,
    membership: Membership,
    view: View,
    ownership: Ownership,
    owned: Option<Owned>,
    lost_keys: LostShardKeys,
    is_view_loaded: bool,
    is_reading_view: bool,
    next_view_read_at: Now,
    generation: u64,
    step: u64,
}

impl Entry {
    pub(crate) fn new(index: usize, incarnation: u64, step: u64) -> Self {
        let name: EntryId = format!("entry-{index}").into();
        let own = Member {
            entry: name.clone(),
            zone: format!("zone-{index}").into(),
            peer_address: String::new(),
            operator_address: String::new(),
            incarnation,
            in_force: std::collections::BTreeMap::new(),
            is_stopping: false,
        };
        Self {
            configuration: Configuration::new(ISOLATION_LIMIT),
            highest_revision: 0,
            clock_ahead: Duration::ZERO,
            calls: Vec::new(),
            sends: Vec::new(),
            reported: Vec::new(),
            writer_queries: Vec::new(),
            pending_outcomes: Vec::new(),
            membership: Membership::new(own, LEASE),
            view: View::default(),
            ownership: Ownership::new(name.clone(), incarnation),
            owned: None,
            lost_keys: LostShardKeys::new(RETENTION),
            is_view_loaded: false,
            is_reading_view: false,
            next_view_read_at: Now::ZERO,
            generation: 0,
            name,
            incarnation,
            step,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.owned.as_ref().is_some_and(|owned| owned.cell.is_open())
    }

    pub(crate) fn revision(&self) -> u64 {
        self.configuration.document(DEPLOYMENT).map_or(0, |document| document.revision)
    }

    pub(crate) fn is_ready(&mut self, now: Now) -> bool {
        let now = now + self.clock_ahead;
        let status = self.membership.status(&self.view);
        self.configuration.is_ready(now, &status)
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        now: Now,
        mutations: Mutations,
        report: PeerReport,
        documents: Vec<Document>,
    ) {
        for document in documents {
            self.adopt(mutations, document);
        }
        self.configuration.on_peer_report(now + self.clock_ahead, report);
    }

    /// Returns the report of a heartbeat and the documents in force.
    pub(crate) fn heartbeat(&mut self, now: Now) -> (PeerReport, Vec<Document>) {
        let is_ready = self.is_ready(now);
        let report = PeerReport {
            peer: self.name.clone(),
            is_ready,
            store_age: self.configuration.store_age(now + self.clock_ahead),
            in_force: self.configuration.revisions(),
        };
        (report, self.configuration.documents().cloned().collect())
    }

    /// Returns the revision that this entry would report as in force everywhere, or 0.
    pub(crate) fn reported_in_force(&mut self, now: Now) -> u64 {
        let revision = self.revision();
        let is_ready = self.is_ready(now);
        let now = now + self.clock_ahead;
        let has_lease = self.membership.lease(now).is_some();
        let lagging =
            self.configuration.lagging_entries(now, &self.view, &self.name, DEPLOYMENT, revision);
        if is_ready && has_lease && lagging.is_some_and(|all| all.is_empty()) {
            revision
        } else {
            0
        }
    }

    fn adopt(&mut self, mutations: Mutations, document: Document) {
        if mutations.adopts_older_revisions && document.revision < self.revision() {
            self.configuration = Configuration::new(ISOLATION_LIMIT);
        }
        self.configuration.adopt_if_newer(document);
    }

    /// Handles a caller's request with an idempotency key.
    pub(crate) fn submit(
        &mut self,
        now: Now,
        mutations: Mutations,
        key: &RequestKey,
        attempt: u64,
    ) {
        let now = now + self.clock_ahead;
        let Some(owned) = &mut self.owned else { return };
        match owned.dedupe.begin(key, FINGERPRINT, attempt) {
            Decision::WriteIntent { state } => {
                let Some(number) = owned.cell.put(Arc::clone(key), &state) else { return };
                owned.keys.insert(attempt, Arc::clone(key));
                if mutations.skips_intent {
                    self.sends.push((Arc::clone(key), attempt));
                } else {
                    owned.dedupe.on_intent_write_queued(number, attempt, key);
                }
                let outputs = owned.cell.tick(now);
                self.apply_cell_outputs(now, mutations, outputs);
            }
            Decision::Replay(outcome) => self.reported.push((Arc::clone(key), attempt, outcome)),
            Decision::QueryWriter(entry) => {
                owned.keys.insert(attempt, Arc::clone(key));
                self.writer_queries.push((entry, Arc::clone(key)));
            }
            Decision::Wait => {
                owned.keys.insert(attempt, Arc::clone(key));
            }
            Decision::KeyReused => {}
        }
    }

    /// Returns the state of a key that this entry owned before it lost the shard.
    pub(crate) fn writer_reply(&self, mutations: Mutations, key: &RequestKey) -> Option<KeyState> {
        if mutations.forgets_outcomes { None } else { self.lost_keys.get(key) }
    }

    /// Handles the reply of the entry that wrote the intent.
    pub(crate) fn on_writer_reply(
        &mut self,
        now: Now,
        mutations: Mutations,
        key: &RequestKey,
        reply: Option<KeyState>,
    ) {
        let now = now + self.clock_ahead;
        let Some(owned) = &mut self.owned else { return };
        let (outcome, waiters) = match owned.dedupe.resolve(key, reply) {
            Resolution::WriteEnd(state) => {
                owned.write_state(key, &state);
                if let (true, KeyState::Ended { outcome, .. }) =
                    (mutations.replies_before_durable, &state)
                {
                    self.reported.push((Arc::clone(key), 0, outcome.clone()));
                }
                (not_run(), Vec::new())
            }
            Resolution::Release(waiters) => {
                owned.write_state(key, &KeyState::Released);
                (not_run(), waiters)
            }
            Resolution::Unknown(waiters) => (Outcome::Unknown { detail: String::new() }, waiters),
        };
        for waiter in waiters {
            self.reported.push((Arc::clone(key), waiter, outcome.clone()));
        }
        let outputs = owned.cell.tick(now);
        self.apply_cell_outputs(now, mutations, outputs);
    }

    /// Returns the owner's decision on a repeated request with `key`.
    pub(crate) fn begin_repeat(&mut self, key: &RequestKey) -> Option<Decision> {
        let owned = self.owned.as_mut().filter(|owned| owned.cell.is_open())?;
        Some(owned.dedupe.begin(key, FINGERPRINT, 0))
    }

    pub(crate) fn tick(&mut self, now: Now, mutations: Mutations) {
        let now = now + self.clock_ahead;
        self.step += 1;
        let revisions = self.configuration.revisions();
        self.configuration.record_members(now, &self.view);
        self.membership.update_own_member(|member| member.in_force = revisions);
        if let Some(request) = self.membership.tick(now) {
            self.calls.push((Purpose::Membership, request));
        }
        if !self.is_reading_view && now >= self.next_view_read_at {
            self.is_reading_view = true;
            let prefix = keys::COORDINATION.to_owned();
            let request = Request::Range { prefix, after_key: String::new(), limit: 100 };
            self.calls.push((Purpose::View, request));
        }
        self.tick_ownership(now);
        self.finish_attempts(now, mutations);
        if let Some(owned) = &mut self.owned {
            let outputs = owned.cell.tick(now);
            self.apply_cell_outputs(now, mutations, outputs);
        }
    }

    fn tick_ownership(&mut self, now: Now) {
        if !self.ownership.is_backed_by(self.membership.lease(now)) {
            self.ownership.drop_all();
            self.drop_owned(now);
        }
        if !self.is_view_loaded {
            return;
        }
        self.ownership.set_shards([SHARD.to_owned()].into());
        let outputs = self.ownership.tick(now, self.membership.lease(now), &self.view);
        self.apply_ownership_outputs(now, outputs);
    }

    fn apply_ownership_outputs(&mut self, now: Now, outputs: Vec<OwnershipOutput>) {
        for output in outputs {
            match output {
                OwnershipOutput::Call { shard, request } => {
                    self.calls.push((Purpose::Ownership(shard), request));
                }
                OwnershipOutput::Acquired { .. } => self.acquire(now),
                OwnershipOutput::Release { shard } => {
                    self.drop_owned(now);
                    self.ownership.on_cell_settled(&shard);
                }
            }
        }
    }

    fn acquire(&mut self, now: Now) {
        self.generation += 1;
        let incarnation = self.incarnation * 1000 + self.generation;
        let mut cell = Cell::new(SHARD, self.name.clone(), incarnation, COMMIT_INTERVAL);
        let outputs = cell.open(now);
        self.owned = Some(Owned {
            generation: self.generation,
            cell,
            dedupe: Dedupe::new(self.name.clone(), RETENTION),
            keys: HashMap::new(),
        });
        self.apply_cell_outputs(now, Mutations::default(), outputs);
    }

    fn drop_owned(&mut self, now: Now) {
        let Some(owned) = self.owned.take() else { return };
        for attempt in owned.dedupe.release_ownership(now, &mut self.lost_keys) {
            if let Some(key) = owned.keys.get(&attempt) {
                self.reported.push((Arc::clone(key), attempt, not_run()));
            }
        }
    }

    fn apply_cell_outputs(
        &mut self,
        now: Now,
        mutations: Mutations,
        outputs: Vec<CellOutput<KeyState>>,
    ) {
        for output in outputs {
            let Some(owned) = &mut self.owned else { return };
            match output {
                CellOutput::Call(request) => {
                    self.calls.push((Purpose::Cell(owned.generation), request));
                }
                CellOutput::Opened { states, .. } => {
                    let is_dropped_intent = |state: &KeyState| {
                        mutations.forgets_intents && matches!(state, KeyState::Intent { .. })
                    };
                    let states = states.into_iter().filter(|(_, state)| !is_dropped_intent(state));
                    for (key, state) in owned.dedupe.recover(now, states, &mut self.lost_keys) {
                        owned.write_state(&key, &state);
                    }
                }
                CellOutput::Committed { up_to } => {
                    let committed = owned.dedupe.on_committed(up_to);
                    for (outcome, waiters) in committed.resolved {
                        for waiter in waiters {
                            let key = Arc::clone(&owned.keys[&waiter]);
                            self.reported.push((key, waiter, outcome.clone()));
                        }
                    }
                    for attempt in committed.sendable {
                        let key = Arc::clone(&owned.keys[&attempt]);
                        self.sends.push((key, attempt));
                    }
                }
                CellOutput::Fenced => self.drop_owned(now),
            }
        }
    }

    fn finish_attempts(&mut self, now: Now, mutations: Mutations) {
        let step = self.step;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_outcomes)
            .into_iter()
            .partition(|(at, ..)| *at <= step);
        self.pending_outcomes = rest;
        for (_, key, attempt, outcome) in due {
            let resolved = self
                .owned
                .as_mut()
                .and_then(|owned| owned.dedupe.record_outcome(now, &key, &outcome));
            if let (Some(owned), Some((state, waiters))) = (&mut self.owned, resolved) {
                owned.write_state(&key, &state);
                for waiter in waiters {
                    if !matches!(outcome, Outcome::NotRun { .. }) {
                        self.reported.push((Arc::clone(&key), waiter, outcome.clone()));
                    }
                }
                let outputs = owned.cell.tick(now);
                self.apply_cell_outputs(now, mutations, outputs);
            } else {
                self.lost_keys.record_outcome(now, &key, &outcome);
            }
            self.reported.push((key, attempt, outcome));
        }
    }

    pub(crate) fn on_result(
        &mut self,
        now: Now,
        mutations: Mutations,
        purpose: Purpose,
        result: StoreResult,
    ) {
        let now = now + self.clock_ahead;
        match purpose {
            Purpose::Membership => {
                self.membership.on_result(now, &result);
                if matches!(result, Ok(Response::Lease { .. })) && self.is_view_loaded {
                    self.configuration.on_store_answer(now, &self.view);
                }
            }
            Purpose::Ownership(shard) => {
                let outputs = self.ownership.on_result(now, &shard, &result);
                self.apply_ownership_outputs(now, outputs);
            }
            Purpose::Cell(generation) => {
                if let Some(owned) =
                    self.owned.as_mut().filter(|owned| owned.generation == generation)
                {
                    let outputs = owned.cell.on_result(now, result);
                    self.apply_cell_outputs(now, mutations, outputs);
                }
            }
            Purpose::View => self.on_view(now, mutations, result),
            Purpose::Repair | Purpose::Apply(_) => {}
        }
    }

    fn on_view(&mut self, now: Now, mutations: Mutations, result: StoreResult) {
        self.is_reading_view = false;
        self.next_view_read_at = now + VIEW_INTERVAL;
        let Ok(Response::Records { records, store_revision, .. }) = result else { return };
        self.view.reset();
        self.view.store_revision = store_revision;
        for record in &records {
            self.view.apply_record(record);
            if record.key.starts_with(keys::CONFIGURATION) {
                if let Ok(document) = serde_json::from_str(&record.value) {
                    self.adopt(mutations, document);
                }
                if let Some(repair) = self.configuration.rollback_repair(record) {
                    self.calls.push((Purpose::Repair, repair));
                }
            }
        }
        self.is_view_loaded = true;
        self.configuration.on_store_answer(now, &self.view);
    }
}

fn not_run() -> Outcome {
    Outcome::NotRun { reason: RefusalReason::NoOwner, retry_after: Duration::ZERO }
}

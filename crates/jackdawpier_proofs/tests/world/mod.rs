//! Simulates several entries over the store model under a seeded schedule of faults.
//!
//! [`World`] runs the decision logic of one daemon per entry, executes its commands in virtual time
//! and counts the runs on executors. [`Mutations`] disable single mechanisms, in the test only, to
//! show that the checks detect their absence.

mod changes;
mod checks;
mod entry;
mod network;
mod schedule;
mod writer_queries;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jackdawpier_coord::configuration::WriterId;
use jackdawpier_kernel::{Now, ids::RequestKey, outcome::Outcome};
use jackdawpier_settings::declaration::{
    CeilingOptions, Class, Declaration, FailureDomain, WorkKind,
};
use jackdawpier_standin::store_model::StoreModel;
use quickcheck::{Gen, QuickCheck, TestResult};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::{
    changes::Change,
    network::{Call, Delivery, ExecutorRun},
    writer_queries::WriterQuery,
};
pub(crate) use self::{
    entry::{Entry, Purpose},
    schedule::{ENTRIES, FAULTY_STEPS, Fault, FaultKind, Schedule},
};

const STEP: Duration = Duration::from_millis(50);
/// Steps after the faults within which the entries must recover.
const RECOVERY_STEPS: u16 = 500;
/// Final steps without new requests, in which all operations in flight end.
const QUIET_STEPS: u16 = 150;
pub(crate) const SHARD: &str = "keys";
pub(crate) const DEPLOYMENT: &str = "proof";

/// Mechanisms that a test may disable.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mutations {
    /// The store ignores the conditions of all writes except those to a cell's log, so that writes
    /// never conflict.
    pub(crate) ignores_conditions: bool,
    /// The store ignores the conditions of writes to a cell's log, so that owners aren't fenced.
    pub(crate) ignores_fence: bool,
    /// Requests are sent before their intent is durable.
    pub(crate) skips_intent: bool,
    /// Ignores intents during recovery.
    pub(crate) forgets_intents: bool,
    /// Entries adopt the document read last, even with an older revision.
    pub(crate) adopts_older_revisions: bool,
    /// Entries keep serving however long they are isolated.
    pub(crate) ignores_isolation: bool,
    /// Entries forget the outcomes that they could not write.
    pub(crate) forgets_outcomes: bool,
    /// Reports an outcome learned from another entry before it is durable.
    pub(crate) replies_before_durable: bool,
    /// Writes operators' changes without checking their base revision.
    pub(crate) ignores_base: bool,
}

/// An invariant that was violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation(pub String);

/// The simulated entries, store, network and executors.
pub(crate) struct World {
    pub(crate) step: u64,
    pub(crate) mutations: Mutations,
    pub(crate) entries: Vec<Option<Entry>>,
    store: StoreModel,
    stale_store: Option<(Now, StoreModel)>,
    calls: Vec<Call>,
    deliveries: Vec<Delivery>,
    runs: Vec<ExecutorRun>,
    writer_queries: Vec<WriterQuery>,
    /// Entries that reported an answer: key, index and incarnation.
    answer_sources: Vec<(RequestKey, usize, u64)>,
    run_counts: BTreeMap<RequestKey, u32>,
    ran_attempts: BTreeSet<u64>,
    reported: Vec<(RequestKey, u64, Outcome)>,
    changes: BTreeMap<u64, Change>,
    accepted: BTreeMap<u64, WriterId>,
    in_force: u64,
    random: ChaCha8Rng,
    active_faults: Vec<Fault>,
    leases_lapsed_at: Option<u64>,
    next_id: u64,
    violations: Vec<Violation>,
    answered: u64,
    open_steps: u64,
}

/// Totals of a history.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Summary {
    /// Keyed requests answered.
    pub(crate) answered: u64,
    /// Steps in which at least one entry had the cell open.
    pub(crate) open_steps: u64,
    /// Changes accepted.
    pub(crate) accepted: u64,
}

pub(crate) fn declaration(capacity_instances: u32) -> Declaration {
    let class = Class {
        name: "assign".into(),
        service: SHARD.into(),
        kind: WorkKind::Quick,
        idempotent: false,
        finish_within_ms: 5_000,
        capacity_instances,
        may_lose_instances: 0,
        survive: FailureDomain::Rack,
    };
    Declaration {
        deployment: DEPLOYMENT.to_owned(),
        classes: vec![class],
        ceilings: CeilingOptions::default(),
    }
}

impl World {
    pub(crate) fn new(seed: u64, mutations: Mutations) -> Self {
        let mut world = Self {
            step: 0,
            mutations,
            entries: Vec::new(),
            store: StoreModel::default(),
            stale_store: None,
            calls: Vec::new(),
            deliveries: Vec::new(),
            runs: Vec::new(),
            writer_queries: Vec::new(),
            answer_sources: Vec::new(),
            run_counts: BTreeMap::new(),
            ran_attempts: BTreeSet::new(),
            reported: Vec::new(),
            changes: BTreeMap::new(),
            accepted: BTreeMap::new(),
            in_force: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            active_faults: Vec::new(),
            leases_lapsed_at: None,
            next_id: 0,
            violations: Vec::new(),
            answered: 0,
            open_steps: 0,
        };
        for index in 0..ENTRIES {
            world.start_entry(index);
        }
        world
    }

    pub(crate) fn now(&self) -> Now {
        STEP * u32::try_from(self.step).expect("histories are short")
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn start_entry(&mut self, index: usize) {
        let incarnation = self.new_id();
        let entry = Entry::new(index, incarnation, self.step);
        if self.entries.len() <= index {
            self.entries.push(Some(entry));
        } else {
            self.entries[index] = Some(entry);
        }
    }

    fn is_active(&self, kind: FaultKind) -> bool {
        self.active_faults.iter().any(|fault| fault.kind == kind)
    }

    fn is_frozen(&self, index: usize) -> bool {
        self.is_active(FaultKind::Freeze(index))
    }

    /// Runs a history and returns its totals, or the first violation.
    pub(crate) fn run(mut self, schedule: &Schedule) -> Result<Summary, Violation> {
        for step in 0..FAULTY_STEPS + RECOVERY_STEPS + QUIET_STEPS {
            self.update_faults(schedule, step);
            if step < FAULTY_STEPS + RECOVERY_STEPS && self.random.random_range(0..4) == 0 {
                self.submit();
            }
            self.advance(step < FAULTY_STEPS);
            if let Some(violation) = self.violations.first() {
                return Err(Violation(format!("step {step}: {}", violation.0)));
            }
        }
        self.check_recovered()?;
        let accepted = self.accepted.len() as u64;
        Ok(Summary { answered: self.answered, open_steps: self.open_steps, accepted })
    }

    fn update_faults(&mut self, schedule: &Schedule, step: u16) {
        let expired: Vec<Fault> = self
            .active_faults
            .iter()
            .copied()
            .filter(|fault| step >= (fault.start_step + fault.duration_steps).min(FAULTY_STEPS))
            .collect();
        self.active_faults
            .retain(|fault| step < (fault.start_step + fault.duration_steps).min(FAULTY_STEPS));
        for fault in expired {
            self.end_fault(fault.kind);
        }
        for fault in schedule.faults.iter().filter(|fault| fault.start_step == step) {
            self.active_faults.push(*fault);
            self.begin_fault(fault.kind);
        }
    }

    fn begin_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Kill(index) => self.entries[index] = None,
            FaultKind::LapseLeases => {
                self.store.lapse_all_leases();
                self.leases_lapsed_at = Some(self.step);
            }
            FaultKind::StaleReads => self.stale_store = Some((self.now(), self.store.clone())),
            FaultKind::ClockStep(index) => {
                if let Some(entry) = &mut self.entries[index] {
                    entry.clock_ahead += Duration::from_secs(2);
                }
            }
            _ => {}
        }
    }

    fn end_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Kill(index) if self.entries[index].is_none() => self.start_entry(index),
            FaultKind::StaleReads => self.stale_store = None,
            _ => {}
        }
    }

    fn advance(&mut self, is_faulty: bool) {
        self.step += 1;
        self.store.expire(self.now());
        self.process_calls();
        self.process_runs();
        self.process_writer_queries();
        self.deliver_results();
        for index in 0..ENTRIES {
            if !self.is_frozen(index) {
                self.tick_entry(index);
            }
        }
        if self.step.is_multiple_of(10) {
            self.exchange_heartbeats();
        }
        if is_faulty && self.random.random_range(0..60) == 0 {
            self.change_configuration();
        }
        self.check_revisions();
        let is_open = self.entries.iter().flatten().any(Entry::is_open);
        self.open_steps += u64::from(is_open);
    }

    fn tick_entry(&mut self, index: usize) {
        let now = self.now();
        let mutations = self.mutations;
        let Some(entry) = &mut self.entries[index] else { return };
        entry.tick(now, mutations);
        let calls = std::mem::take(&mut entry.calls);
        let sends = std::mem::take(&mut entry.sends);
        let writer_queries = std::mem::take(&mut entry.writer_queries);
        let reported = std::mem::take(&mut entry.reported);
        let incarnation = entry.incarnation;
        for (purpose, request) in calls {
            self.call(index, purpose, request);
        }
        for (key, attempt) in sends {
            self.send(index, &key, attempt);
        }
        for (writer, key) in writer_queries {
            self.query_writer(index, &writer, key);
        }
        for (key, attempt, outcome) in reported {
            if matches!(outcome, Outcome::Answered(_)) {
                self.answer_sources.push((Arc::clone(&key), index, incarnation));
            }
            self.report_outcome(key, attempt, outcome);
        }
    }

    /// Sends a request with a new or an earlier key to a random entry that considers itself the
    /// owner.
    fn submit(&mut self) {
        let is_repeat = !self.reported.is_empty() && self.random.random_range(0..3) == 0;
        let id = self.new_id();
        let key: RequestKey = if is_repeat {
            let index = self.random.random_range(0..self.reported.len());
            Arc::clone(&self.reported[index].0)
        } else {
            format!("key-{id}").into()
        };
        let owners: Vec<usize> = (0..ENTRIES)
            .filter(|index| !self.is_frozen(*index))
            .filter(|index| self.entries[*index].as_ref().is_some_and(Entry::is_open))
            .collect();
        if owners.is_empty() {
            return;
        }
        let index = owners[self.random.random_range(0..owners.len())];
        let (now, mutations) = (self.now(), self.mutations);
        let entry = self.entries[index].as_mut().expect("owners are running");
        entry.submit(now, mutations, &key, id);
    }
}

/// Number of histories to run: the environment variable `HISTORIES`, or a default that is small
/// enough for CI.
pub(crate) fn history_count() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(150)
}

/// Runs one history. Reads the mutations from a thread-local, since quickcheck takes a function
/// without captured state.
fn check_history(schedule: Schedule) -> TestResult {
    let mutations = MUTATIONS.with(std::cell::Cell::get);
    match World::new(schedule.seed, mutations).run(&schedule) {
        Ok(_) => TestResult::passed(),
        Err(violation) => TestResult::error(violation.0),
    }
}

/// Runs seeded histories; fails with the first that violates an invariant, shrunk.
pub(crate) fn first_violation(seed: u64, mutations: Mutations, count: u64) -> Result<u64, String> {
    MUTATIONS.with(|cell| cell.set(mutations));
    let generator = Gen::from_size_and_seed(100, seed);
    QuickCheck::new()
        .rng(generator)
        .tests(count)
        .max_tests(count)
        .quicktest(check_history as fn(Schedule) -> TestResult)
        .map_err(|result| format!("{result:?}"))
}

thread_local! {
    static MUTATIONS: std::cell::Cell<Mutations> = const { std::cell::Cell::new(Mutations {
        ignores_conditions: false,
        ignores_fence: false,
        skips_intent: false,
        forgets_intents: false,
        adopts_older_revisions: false,
        ignores_isolation: false,
        forgets_outcomes: false,
        replies_before_durable: false,
        ignores_base: false,
    }) };
}

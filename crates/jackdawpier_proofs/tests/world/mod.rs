//! A world of entries over the store's model, driven by a seeded schedule of faults.
//!
//! It holds the decisions of one daemon each, carries their commands out in virtual time, and
//! counts what an executor would have run. [`Switches`] turn one mechanism off each, here in the
//! test and not in the product, so that every proof can be seen to fail.

mod changes;
mod checks;
mod entry;
mod network;
mod recalls;
mod schedule;

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
    network::{Call, Delivery, Run},
    recalls::Question,
};
pub(crate) use self::{
    entry::{Entry, Purpose},
    schedule::{ENTRIES, FAULTY_STEPS, Fault, FaultKind, Schedule},
};

const STEP: Duration = Duration::from_millis(50);
/// Steps after the faults in which everything must come right again.
const HEALING_STEPS: u16 = 500;
/// The last steps, in which nobody asks for anything and everything under way ends.
const QUIET_STEPS: u16 = 150;
pub(crate) const SHARD: &str = "keys";
pub(crate) const DEPLOYMENT: &str = "proof";

/// Mechanisms that a test may turn off.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Switches {
    /// The store ignores the conditions of all writes but those of a cell's log: no conflict.
    pub(crate) ignores_conditions: bool,
    /// The store ignores the conditions of a cell's log: no fence.
    pub(crate) ignores_fence: bool,
    /// Requests are sent before their intent is durable.
    pub(crate) skips_intent: bool,
    /// A recovered intent counts as unused.
    pub(crate) forgets_intents: bool,
    /// Entries adopt whatever document they read last.
    pub(crate) adopts_older: bool,
    /// Entries serve however long they are cut off.
    pub(crate) ignores_isolation: bool,
    /// Entries forget the ends that they could not write.
    pub(crate) forgets_ends: bool,
    /// An end that was learned from another entry is told before it is durable.
    pub(crate) tells_early: bool,
    /// Operators' changes are written without regard to their base.
    pub(crate) ignores_base: bool,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation(pub String);

/// The whole world.
pub(crate) struct World {
    pub(crate) step: u64,
    pub(crate) switches: Switches,
    pub(crate) entries: Vec<Option<Entry>>,
    store: StoreModel,
    stale: Option<(Now, StoreModel)>,
    calls: Vec<Call>,
    deliveries: Vec<Delivery>,
    runs: Vec<Run>,
    questions: Vec<Question>,
    /// Who gave an answer: its place and incarnation.
    answers: Vec<(RequestKey, usize, u64)>,
    ran: BTreeMap<RequestKey, u32>,
    ran_attempts: BTreeSet<u64>,
    told: Vec<(RequestKey, u64, Outcome)>,
    changes: BTreeMap<u64, Change>,
    accepted: BTreeMap<u64, WriterId>,
    in_force: u64,
    random: ChaCha8Rng,
    active: Vec<Fault>,
    lapsed_at: Option<u64>,
    next_id: u64,
    violations: Vec<Violation>,
    answered: u64,
    open_steps: u64,
}

/// What a history did, for figures.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Summary {
    /// Keyed requests answered.
    pub(crate) answered: u64,
    /// Steps in which some entry had the cell open.
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
    pub(crate) fn new(seed: u64, switches: Switches) -> Self {
        let mut world = Self {
            step: 0,
            switches,
            entries: Vec::new(),
            store: StoreModel::default(),
            stale: None,
            calls: Vec::new(),
            deliveries: Vec::new(),
            runs: Vec::new(),
            questions: Vec::new(),
            answers: Vec::new(),
            ran: BTreeMap::new(),
            ran_attempts: BTreeSet::new(),
            told: Vec::new(),
            changes: BTreeMap::new(),
            accepted: BTreeMap::new(),
            in_force: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            active: Vec::new(),
            lapsed_at: None,
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
        self.active.iter().any(|fault| fault.kind == kind)
    }

    fn is_frozen(&self, index: usize) -> bool {
        self.is_active(FaultKind::Freeze(index))
    }

    /// Runs a whole history and returns what it did, or the first broken promise.
    pub(crate) fn run(mut self, schedule: &Schedule) -> Result<Summary, Violation> {
        for step in 0..FAULTY_STEPS + HEALING_STEPS + QUIET_STEPS {
            self.begin_and_end_faults(schedule, step);
            if step < FAULTY_STEPS + HEALING_STEPS && self.random.random_range(0..4) == 0 {
                self.submit();
            }
            self.one_step(step < FAULTY_STEPS);
            if let Some(violation) = self.violations.first() {
                return Err(Violation(format!("step {step}: {}", violation.0)));
            }
        }
        self.check_healed()?;
        let accepted = self.accepted.len() as u64;
        Ok(Summary { answered: self.answered, open_steps: self.open_steps, accepted })
    }

    fn begin_and_end_faults(&mut self, schedule: &Schedule, step: u16) {
        let ended: Vec<Fault> = self
            .active
            .iter()
            .copied()
            .filter(|fault| step >= (fault.at + fault.length).min(FAULTY_STEPS))
            .collect();
        self.active.retain(|fault| step < (fault.at + fault.length).min(FAULTY_STEPS));
        for fault in ended {
            self.end_fault(fault.kind);
        }
        for fault in schedule.faults.iter().filter(|fault| fault.at == step) {
            self.active.push(*fault);
            self.begin_fault(fault.kind);
        }
    }

    fn begin_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Kill(index) => self.entries[index] = None,
            FaultKind::LapseLeases => {
                self.store.lapse_all_leases();
                self.lapsed_at = Some(self.step);
            }
            FaultKind::StaleReads => self.stale = Some((self.now(), self.store.clone())),
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
            FaultKind::StaleReads => self.stale = None,
            _ => {}
        }
    }

    fn one_step(&mut self, is_faulty: bool) {
        self.step += 1;
        self.store.expire(self.now());
        self.carry_calls();
        self.carry_runs();
        self.carry_questions();
        self.deliver();
        for index in 0..ENTRIES {
            if !self.is_frozen(index) {
                self.tick_entry(index);
            }
        }
        if self.step.is_multiple_of(10) {
            self.heartbeats();
        }
        if is_faulty && self.random.random_range(0..60) == 0 {
            self.change_configuration();
        }
        self.check_configuration();
        let is_open = self.entries.iter().flatten().any(Entry::is_open);
        self.open_steps += u64::from(is_open);
    }

    fn tick_entry(&mut self, index: usize) {
        let now = self.now();
        let switches = self.switches;
        let Some(entry) = &mut self.entries[index] else { return };
        entry.tick(now, switches);
        let calls = std::mem::take(&mut entry.calls);
        let sends = std::mem::take(&mut entry.sends);
        let asks = std::mem::take(&mut entry.asks);
        let told = std::mem::take(&mut entry.told);
        let incarnation = entry.incarnation;
        for (purpose, request) in calls {
            self.call(index, purpose, request);
        }
        for (key, attempt) in sends {
            self.send(index, &key, attempt);
        }
        for (asked, key) in asks {
            self.ask(index, &asked, key);
        }
        for (key, attempt, outcome) in told {
            if matches!(outcome, Outcome::Answered(_)) {
                self.answers.push((Arc::clone(&key), index, incarnation));
            }
            self.tell(key, attempt, outcome);
        }
    }

    /// A caller sends a new key or repeats an earlier one, at any entry that takes itself for the
    /// owner.
    fn submit(&mut self) {
        let is_repeat = !self.told.is_empty() && self.random.random_range(0..3) == 0;
        let id = self.new_id();
        let key: RequestKey = if is_repeat {
            let at = self.random.random_range(0..self.told.len());
            Arc::clone(&self.told[at].0)
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
        let (now, switches) = (self.now(), self.switches);
        let entry = self.entries[index].as_mut().expect("owners live");
        entry.submit(now, switches, &key, id);
    }
}

/// Histories to run: `HISTORIES` in the environment, else few enough for every change.
pub(crate) fn histories() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(150)
}

/// Runs one history; the framework takes a plain function, so the switches travel by thread.
fn holds(schedule: Schedule) -> TestResult {
    let switches = SWITCHES.with(std::cell::Cell::get);
    match World::new(schedule.seed, switches).run(&schedule) {
        Ok(_) => TestResult::passed(),
        Err(violation) => TestResult::error(violation.0),
    }
}

/// Runs seeded histories and returns the first that breaks a promise, shrunk.
pub(crate) fn first_violation(seed: u64, switches: Switches, count: u64) -> Result<u64, String> {
    SWITCHES.with(|cell| cell.set(switches));
    let generator = Gen::from_size_and_seed(100, seed);
    QuickCheck::new()
        .rng(generator)
        .tests(count)
        .max_tests(count)
        .quicktest(holds as fn(Schedule) -> TestResult)
        .map_err(|result| format!("{result:?}"))
}

thread_local! {
    static SWITCHES: std::cell::Cell<Switches> = const { std::cell::Cell::new(Switches {
        ignores_conditions: false,
        ignores_fence: false,
        skips_intent: false,
        forgets_intents: false,
        adopts_older: false,
        ignores_isolation: false,
        forgets_ends: false,
        tells_early: false,
        ignores_base: false,
    }) };
}

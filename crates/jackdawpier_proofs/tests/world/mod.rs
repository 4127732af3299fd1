//! A world of entries over the store's model, driven by a seeded schedule of faults.
//!
//! It holds the decisions of one daemon each, carries their commands out in virtual time, and
//! counts what an executor would have run. [`Switches`] turn one mechanism off each, here in the
//! test and not in the product, so that every proof can be seen to fail.

mod entry;
mod schedule;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jackdawpier_coord::{
    configuration::{Apply, ApplyOutcome, ApplyOutput, WriterId},
    keys,
};
use jackdawpier_kernel::{Now, ids::RequestKey, outcome::Outcome};
use jackdawpier_settings::declaration::{CeilingOptions, Class, Declaration, Domain, Kind};
use jackdawpier_standin::store_model::StoreModel;
use jackdawpier_store::{Condition, Request, Response, StoreError, StoreResult};
use quickcheck::{Gen, QuickCheck, TestResult};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use self::{
    entry::{Entry, Purpose},
    schedule::{ENTRIES, FAULTY_STEPS, Fault, FaultKind, Schedule},
};

const STEP: Duration = Duration::from_millis(50);
/// Steps after the faults in which everything must come right again.
const HEALING_STEPS: u16 = 500;
/// Steps after which an unanswered call counts as ambiguous.
const TIMEOUT_STEPS: u64 = 20;
/// Steps of a member lease.
const LEASE_STEPS: u64 = 60;
pub(crate) const SHARD: &str = "keys";
pub(crate) const DEPLOYMENT: &str = "proof";

/// Mechanisms that a test may turn off.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Switches {
    /// The store ignores the conditions of writes: no fence, no conflict.
    pub(crate) ignores_conditions: bool,
    /// Requests are sent before their intent is durable.
    pub(crate) skips_intent: bool,
    /// A recovered intent counts as unused.
    pub(crate) forgets_intents: bool,
    /// Entries adopt whatever document they read last.
    pub(crate) adopts_older: bool,
    /// Entries serve however long they are cut off.
    pub(crate) ignores_isolation: bool,
    /// Operators' changes are written without regard to their base.
    pub(crate) ignores_base: bool,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation(pub String);

struct Call {
    entry: usize,
    incarnation: u64,
    arrives_at: u64,
    answer_at: Option<u64>,
    request: Request,
    purpose: Purpose,
}

struct Delivery {
    at: u64,
    entry: usize,
    incarnation: u64,
    purpose: Purpose,
    result: StoreResult,
}

struct Run {
    at: u64,
    key: RequestKey,
    attempt: u64,
}

struct Change {
    entry: usize,
    incarnation: u64,
    apply: Apply,
}

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
        kind: Kind::Quick,
        idempotent: false,
        finish_within_ms: 5_000,
        capacity_instances,
        may_lose_instances: 0,
        survive: Domain::Rack,
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
        for step in 0..FAULTY_STEPS + HEALING_STEPS {
            self.begin_and_end_faults(schedule, step);
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
        self.deliver();
        for index in 0..ENTRIES {
            if !self.is_frozen(index) {
                self.tick_entry(index);
            }
        }
        if self.step.is_multiple_of(10) {
            self.heartbeats();
        }
        if self.random.random_range(0..4) == 0 {
            self.submit();
        }
        if is_faulty && self.random.random_range(0..60) == 0 {
            self.change_configuration();
        }
        self.check_configuration();
        let is_open = self.entries.iter().flatten().any(Entry::is_open);
        self.open_steps += u64::from(is_open);
    }

    /// Sends a call of an entry to the store, with whatever goes wrong on the way.
    pub(crate) fn call(&mut self, index: usize, purpose: Purpose, request: Request) {
        let Some(entry) = &self.entries[index] else { return };
        let incarnation = entry.incarnation;
        let mut arrives_at = self.step + 1;
        let mut answer_at = Some(self.step + 2);
        if self.is_active(FaultKind::StoreSlow) {
            answer_at = Some(self.step + self.random.random_range(2..TIMEOUT_STEPS));
        }
        if self.is_active(FaultKind::LateCalls) && self.random.random_range(0..2) == 0 {
            arrives_at = self.step + self.random.random_range(1..80);
            answer_at = (arrives_at < self.step + TIMEOUT_STEPS).then_some(arrives_at + 1);
        }
        let is_lossy = request.is_write() && self.is_active(FaultKind::LoseAnswers);
        if is_lossy && self.random.random_range(0..2) == 0
            || self.is_active(FaultKind::CutAnswers(index))
        {
            answer_at = None;
        }
        let is_cut = self.is_active(FaultKind::CutFromStore(index));
        if self.is_active(FaultKind::StoreDown) {
            let result = Err(StoreError::unavailable("down"));
            self.deliver_later(self.step + 1, index, incarnation, purpose, result);
            return;
        }
        if answer_at.is_none() || is_cut {
            let result = Err(StoreError::ambiguous("no answer"));
            let at = self.step + TIMEOUT_STEPS;
            self.deliver_later(at, index, incarnation, purpose.clone(), result);
        }
        if !is_cut {
            let entry = index;
            self.calls.push(Call { entry, incarnation, arrives_at, answer_at, request, purpose });
        }
    }

    fn deliver_later(
        &mut self,
        at: u64,
        entry: usize,
        incarnation: u64,
        purpose: Purpose,
        result: StoreResult,
    ) {
        self.deliveries.push(Delivery { at, entry, incarnation, purpose, result });
    }

    fn carry_calls(&mut self) {
        let step = self.step;
        let (due, rest) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call: &Call| call.arrives_at <= step);
        self.calls = rest;
        let due: Vec<Call> = due;
        for call in due {
            let result = self.execute(call.request);
            if let Some(at) = call.answer_at {
                self.deliver_later(at, call.entry, call.incarnation, call.purpose, Ok(result));
            }
        }
    }

    fn execute(&mut self, mut request: Request) -> Response {
        let now = self.now();
        if self.switches.ignores_conditions
            && let Request::Put { condition, .. } = &mut request
        {
            *condition = Condition::Always;
        }
        let is_coordination =
            matches!(&request, Request::Range { prefix, .. } if prefix == keys::COORDINATION);
        match &mut self.stale {
            // As old as the fault, with the leases of that time.
            Some((at, stale)) if is_coordination => stale.call(*at, &request),
            _ => self.store.call(now, &request),
        }
    }

    fn carry_runs(&mut self) {
        let step = self.step;
        let due: Vec<Run> = {
            let (due, rest) =
                std::mem::take(&mut self.runs).into_iter().partition(|run: &Run| run.at <= step);
            self.runs = rest;
            due
        };
        for run in due {
            let count = self.ran.entry(Arc::clone(&run.key)).or_default();
            *count += 1;
            if *count > 1 {
                self.violations.push(Violation(format!("{} ran twice", run.key)));
            }
            self.ran_attempts.insert(run.attempt);
            let told_not_run = self.told.iter().any(|(_, attempt, outcome)| {
                *attempt == run.attempt && matches!(outcome, Outcome::NotRun { .. })
            });
            if told_not_run {
                self.violations.push(Violation(format!("{} ran after \"not run\"", run.key)));
            }
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let (due, rest): (Vec<Delivery>, Vec<Delivery>) =
            std::mem::take(&mut self.deliveries).into_iter().partition(|d| {
                d.at <= step && !self.active.iter().any(|f| f.kind == FaultKind::Freeze(d.entry))
            });
        self.deliveries = rest;
        for delivery in due {
            let is_same = self.entries[delivery.entry]
                .as_ref()
                .is_some_and(|entry| entry.incarnation == delivery.incarnation);
            if !is_same {
                continue;
            }
            if let Purpose::Apply(id) = delivery.purpose {
                self.on_apply_result(id, delivery.result);
            } else {
                let now = self.now();
                let switches = self.switches;
                let entry = self.entries[delivery.entry].as_mut().expect("checked above");
                entry.on_result(now, switches, delivery.purpose, delivery.result);
            }
        }
    }

    fn tick_entry(&mut self, index: usize) {
        let now = self.now();
        let switches = self.switches;
        let Some(entry) = &mut self.entries[index] else { return };
        entry.tick(now, switches);
        let calls = std::mem::take(&mut entry.calls);
        let sends = std::mem::take(&mut entry.sends);
        let told = std::mem::take(&mut entry.told);
        for (purpose, request) in calls {
            self.call(index, purpose, request);
        }
        for (key, attempt) in sends {
            self.send(index, &key, attempt);
        }
        for (key, attempt, outcome) in told {
            self.tell(key, attempt, outcome);
        }
    }

    /// An entry sends a request to an executor, which may take long and lose the answer.
    fn send(&mut self, index: usize, key: &RequestKey, attempt: u64) {
        let delay = self.random.random_range(1..30);
        let end = self.random.random_range(0..10);
        let Some(entry) = &mut self.entries[index] else { return };
        let outcome = match end {
            0 => Outcome::NotRun {
                reason: jackdawpier_kernel::outcome::RefusalReason::NotConnected,
                retry_after: Duration::ZERO,
            },
            1 => Outcome::Unknown { detail: "answer lost".to_owned() },
            _ => Outcome::Answered(jackdawpier_kernel::outcome::Answer {
                status: 200,
                content_type: String::new(),
                body: key.as_bytes().to_vec(),
            }),
        };
        let is_run = !matches!(outcome, Outcome::NotRun { .. });
        entry.ends.push((self.step + delay + 1, Arc::clone(key), attempt, outcome));
        if is_run {
            let run = Run { at: self.step + delay, key: Arc::clone(key), attempt };
            self.runs.push(run);
        }
    }

    fn tell(&mut self, key: RequestKey, attempt: u64, outcome: Outcome) {
        if matches!(outcome, Outcome::NotRun { .. }) && self.ran_attempts.contains(&attempt) {
            self.violations.push(Violation(format!("{key} told \"not run\" after it ran")));
        }
        if let Outcome::Answered(answer) = &outcome {
            self.answered += 1;
            let has_run = self.ran.get(&key).copied().unwrap_or(0) == 1;
            if !has_run || answer.body != key.as_bytes() {
                self.violations.push(Violation(format!("{key} got another's or no answer")));
            }
        }
        self.told.push((key, attempt, outcome));
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

    fn heartbeats(&mut self) {
        for from in 0..ENTRIES {
            for to in 0..ENTRIES {
                let is_cut = from == to
                    || self.is_frozen(from)
                    || self.is_frozen(to)
                    || self.is_active(FaultKind::CutFromPeers(from))
                    || self.is_active(FaultKind::CutFromPeers(to));
                if is_cut {
                    continue;
                }
                let now = self.now();
                let Some(sender) = &mut self.entries[from] else { continue };
                let (report, documents) = sender.heartbeat(now);
                if let Some(receiver) = &mut self.entries[to] {
                    receiver.on_heartbeat(now, self.switches, report, documents);
                }
            }
        }
    }

    /// Some operator changes the configuration through some entry, now and then from an old base.
    fn change_configuration(&mut self) {
        let index = self.random.random_range(0..ENTRIES);
        if self.is_frozen(index) {
            return;
        }
        let id = self.new_id();
        let now = self.now();
        let is_old_base = self.random.random_range(0..5) == 0;
        let Some(entry) = &mut self.entries[index] else { return };
        let _ = now;
        let known = entry.revision();
        let base = if is_old_base { known.saturating_sub(1) } else { known };
        let writer =
            WriterId { entry: entry.name.clone(), incarnation: entry.incarnation, sequence: id };
        let incarnation = entry.incarnation;
        let apply = Apply::new(base, known, declaration(1 + id as u32), writer);
        let request = apply.request();
        self.changes.insert(id, Change { entry: index, incarnation, apply });
        self.call(index, Purpose::Apply(id), request);
    }

    fn on_apply_result(&mut self, id: u64, result: StoreResult) {
        let Some(mut change) = self.changes.remove(&id) else { return };
        let result = self.without_base(&change, result);
        match change.apply.on_result(result) {
            ApplyOutput::Call(request) => {
                let index = change.entry;
                self.changes.insert(id, change);
                self.call(index, Purpose::Apply(id), request);
            }
            ApplyOutput::Done(ApplyOutcome::Accepted { revision }) => {
                let document = change.apply.document().clone();
                let writer = document.writer.clone();
                let earlier = self.accepted.insert(revision, writer.clone());
                if earlier.is_some_and(|earlier| earlier != writer) {
                    let text = format!("two changes were accepted as revision {revision}");
                    self.violations.push(Violation(text));
                }
                if let Some(entry) = &mut self.entries[change.entry]
                    && entry.incarnation == change.incarnation
                {
                    entry.configuration.offer(document);
                }
            }
            ApplyOutput::Done(_) => {}
        }
    }

    /// With the switch, a reading shows the base that the operator named, whatever stands there.
    fn without_base(&self, change: &Change, result: StoreResult) -> StoreResult {
        if !self.switches.ignores_base {
            return result;
        }
        match result {
            Ok(Response::Record { record: Some(mut record), store_revision }) => {
                let mut document: jackdawpier_coord::configuration::Document =
                    serde_json::from_str(&record.value).expect("documents are written whole");
                document.revision = change.apply.document().revision - 1;
                record.value = serde_json::to_string(&document).expect("documents are plain data");
                Ok(Response::Record { record: Some(record), store_revision })
            }
            other => other,
        }
    }

    /// What is in force never goes back: whoever serves has at least what was in force before.
    fn check_configuration(&mut self) {
        let now = self.now();
        for index in 0..ENTRIES {
            if self.is_frozen(index) {
                continue;
            }
            let ignores_isolation = self.switches.ignores_isolation;
            let Some(entry) = &mut self.entries[index] else { continue };
            let revision = entry.revision();
            let fell = revision < entry.highest_revision;
            entry.highest_revision = entry.highest_revision.max(revision);
            let serves = entry.is_ready(now) || ignores_isolation && revision > 0;
            let name = entry.name.clone();
            if fell {
                self.violations.push(Violation(format!("{name} went back to {revision}")));
            }
            if serves && revision < self.in_force {
                let text = format!("{name} serves {revision} after {} was in force", self.in_force);
                self.violations.push(Violation(text));
            }
        }
        // A platform that ends leases before their time leaves nothing to count members by, so
        // "in force everywhere" is not claimed for a lease's time; see docs/PROMISES.md.
        if self.lapsed_at.is_some_and(|at| self.step < at + LEASE_STEPS) {
            return;
        }
        for index in (0..ENTRIES).filter(|index| !self.is_frozen(*index)).collect::<Vec<_>>() {
            if let Some(entry) = &mut self.entries[index] {
                self.in_force = self.in_force.max(entry.reported_in_force(now));
            }
        }
    }

    /// After the faults, one entry owns the shard, every entry serves, and nothing accepted is
    /// lost.
    fn check_healed(&mut self) -> Result<(), Violation> {
        let owners = self.entries.iter().flatten().filter(|entry| entry.is_open()).count();
        if owners != 1 {
            return Err(Violation(format!("{owners} owners after healing")));
        }
        let now = self.now();
        let highest = self.accepted.last_key_value().map_or(0, |(revision, _)| *revision);
        for entry in self.entries.iter_mut().flatten() {
            if entry.revision() < highest {
                let text = format!("{} has {} and not {highest}", entry.name, entry.revision());
                return Err(Violation(text));
            }
            if highest > 0 && !entry.is_ready(now) {
                return Err(Violation(format!("{} does not serve after healing", entry.name)));
            }
        }
        Ok(())
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
        skips_intent: false,
        forgets_intents: false,
        adopts_older: false,
        ignores_isolation: false,
        ignores_base: false,
    }) };
}

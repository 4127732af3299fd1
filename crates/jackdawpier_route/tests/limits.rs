//! Random histories of the dispatcher, checked against its invariants: slot limits, one final
//! answer per request, bounded retries and no work for leaving executors.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::Now;
use jackdawpier_route::{
    dispatcher::{AttemptOutcome, Command, Dispatcher, RequestInfo},
    executors::ExecutorInfo,
};
use jackdawpier_settings::declaration::{Class, FailureDomain, WorkKind};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const SEED: u64 = 20_261_202;
const EXECUTORS: u8 = 4;
const SLOTS: u32 = 3;
const RETRY_BUDGET_CAP: u64 = 10;

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive { customer: u8, timeout_ms: u16, is_idempotent: bool },
    End { index: u8, outcome: u8 },
    AdvanceTime { ms: u16 },
    Leave { executor: u8 },
    List { executor: u8 },
    Cancel { index: u8 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::Arrive {
                customer: u8::arbitrary(g) % 3,
                timeout_ms: u16::arbitrary(g) % 800,
                is_idempotent: bool::arbitrary(g),
            },
            5..=8 => Self::End { index: u8::arbitrary(g), outcome: u8::arbitrary(g) },
            9 => Self::AdvanceTime { ms: u16::arbitrary(g) % 500 },
            10 if bool::arbitrary(g) => Self::Leave { executor: u8::arbitrary(g) % EXECUTORS },
            10 => Self::List { executor: u8::arbitrary(g) % EXECUTORS },
            _ => Self::Cancel { index: u8::arbitrary(g) },
        }
    }
}

fn class() -> Class {
    Class {
        name: "render".into(),
        service: "widgets".into(),
        kind: WorkKind::Quick,
        idempotent: false,
        finish_within_ms: 500,
        capacity_instances: 1,
        may_lose_instances: 0,
        survive: FailureDomain::Instance,
    }
}

#[derive(Debug, Default)]
struct Request {
    is_idempotent: bool,
    may_have_run: bool,
    running_on: Option<String>,
    is_final: bool,
    is_cancelled: bool,
}

/// Facts that are hidden from the dispatcher on purpose, to show that the checker detects the
/// fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct HiddenFacts {
    /// The dispatcher isn't told which executors are leaving.
    hides_leaving: bool,
    /// The dispatcher is told that every request is idempotent.
    hides_idempotence: bool,
    /// The dispatcher is told that lost attempts were never sent.
    hides_loss: bool,
}

struct Checker {
    dispatcher: Dispatcher,
    hidden: HiddenFacts,
    now: Now,
    requests: BTreeMap<u64, Request>,
    leaving: BTreeSet<String>,
    in_flight: BTreeMap<String, u32>,
    sends: u64,
    arrived: u64,
    next_ticket: u64,
}

impl Checker {
    fn new(hidden: HiddenFacts) -> Self {
        let mut dispatcher = Dispatcher::new(8);
        dispatcher.set_classes([&class()]);
        let mut checker = Self {
            dispatcher,
            hidden,
            now: Now::ZERO,
            requests: BTreeMap::new(),
            leaving: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sends: 0,
            arrived: 0,
            next_ticket: 0,
        };
        (0..EXECUTORS)
            .for_each(|executor| checker.list(executor).expect("no attempt is running yet"));
        checker
    }

    fn list(&mut self, executor: u8) -> Result<(), String> {
        let info = ExecutorInfo {
            id: format!("executor-{executor}").into(),
            zone: format!("zone-{}", executor % 2).into(),
            slots: SLOTS,
            connections: 64,
            is_leaving: false,
        };
        let commands = self.dispatcher.upsert_executor(self.now, info);
        self.apply_commands(commands)
    }

    fn apply_event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Arrive { customer, timeout_ms, is_idempotent } => {
                self.next_ticket += 1;
                self.arrived += 1;
                let request = Request { is_idempotent, ..Request::default() };
                self.requests.insert(self.next_ticket, request);
                let info = RequestInfo {
                    ticket: self.next_ticket,
                    class: "render".into(),
                    customer: format!("customer-{customer}").into(),
                    deadline: self.now + Duration::from_millis(u64::from(timeout_ms)),
                    is_idempotent: is_idempotent || self.hidden.hides_idempotence,
                };
                let commands = self.dispatcher.submit(self.now, info);
                self.apply_commands(commands)
            }
            Event::End { index, outcome } => self.end_attempt(index, outcome),
            Event::AdvanceTime { ms } => {
                self.now += Duration::from_millis(u64::from(ms));
                let commands = self.dispatcher.tick(self.now);
                self.apply_commands(commands)
            }
            Event::Leave { executor } => {
                let id = format!("executor-{executor}");
                if !self.hidden.hides_leaving {
                    self.dispatcher.mark_leaving(&id);
                }
                self.leaving.insert(id);
                Ok(())
            }
            Event::List { executor } => self.list(executor),
            Event::Cancel { index } => {
                let waiting: Vec<u64> = self
                    .requests
                    .iter()
                    .filter(|(_, r)| !r.is_final && r.running_on.is_none())
                    .map(|(ticket, _)| *ticket)
                    .collect();
                if let Some(ticket) = waiting.get(usize::from(index) % waiting.len().max(1)) {
                    self.dispatcher.cancel(*ticket);
                    let request =
                        self.requests.get_mut(ticket).expect("the ticket is of a known request");
                    request.is_cancelled = true;
                    request.is_final = true;
                }
                Ok(())
            }
        }
    }

    fn end_attempt(&mut self, index: u8, outcome: u8) -> Result<(), String> {
        let running: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.running_on.is_some())
            .map(|(ticket, _)| *ticket)
            .collect();
        if running.is_empty() {
            return Ok(());
        }
        let ticket = running[usize::from(index) % running.len()];
        let request = self.requests.get_mut(&ticket).expect("the ticket is of a known request");
        let executor = request.running_on.take().expect("the request is running");
        let end = match outcome % 8 {
            0 => AttemptOutcome::NotConnected,
            1 => AttemptOutcome::Declined { is_leaving: false },
            2 => AttemptOutcome::Failed,
            3 => AttemptOutcome::Lost,
            _ => AttemptOutcome::Answered,
        };
        request.may_have_run |= matches!(end, AttemptOutcome::Failed | AttemptOutcome::Lost);
        request.is_final = end == AttemptOutcome::Answered;
        *self.in_flight.get_mut(&executor).expect("the attempt was counted as in flight") -= 1;
        let reported = match end {
            AttemptOutcome::Lost if self.hidden.hides_loss => AttemptOutcome::NotConnected,
            end => end,
        };
        let commands = self.dispatcher.finish_attempt(self.now, ticket, reported);
        self.apply_commands(commands)
    }

    fn apply_commands(&mut self, commands: Vec<Command>) -> Result<(), String> {
        for command in commands {
            match command {
                Command::Send { ticket, executor } => self.on_send(ticket, &executor)?,
                Command::Refuse { ticket, .. } => {
                    let request = self.requests.get(&ticket).expect("a known request");
                    if request.may_have_run || request.running_on.is_some() {
                        return Err(format!(
                            "{ticket} was refused as not run though it may have run"
                        ));
                    }
                    self.finish(ticket)?;
                }
                Command::Fail { ticket } | Command::Unknown { ticket } => self.finish(ticket)?,
            }
        }
        Ok(())
    }

    fn on_send(&mut self, ticket: u64, executor: &str) -> Result<(), String> {
        self.sends += 1;
        let request = self.requests.get_mut(&ticket).expect("a known request");
        if request.is_final {
            return Err(format!("{ticket} was sent after its final answer"));
        }
        if request.may_have_run && !request.is_idempotent {
            return Err(format!("{ticket} was sent again though it may have run"));
        }
        if self.leaving.contains(executor) {
            return Err(format!("{executor} got new work while leaving"));
        }
        request.running_on = Some(executor.to_owned());
        let in_flight = self.in_flight.entry(executor.to_owned()).or_default();
        *in_flight += 1;
        if *in_flight > SLOTS {
            return Err(format!("{executor} has {in_flight} requests in {SLOTS} slots"));
        }
        if self.sends * 10 > self.arrived * 11 + RETRY_BUDGET_CAP * 10 {
            return Err(format!("{} attempts for {} requests", self.sends, self.arrived));
        }
        Ok(())
    }

    fn finish(&mut self, ticket: u64) -> Result<(), String> {
        let request = self.requests.get_mut(&ticket).expect("a known request");
        if std::mem::replace(&mut request.is_final, true) {
            return Err(format!("{ticket} got two final answers"));
        }
        Ok(())
    }

    /// Ends all attempts and checks that each request gets its final answer.
    fn drain(&mut self) -> Result<(), String> {
        for _ in 0..10_000 {
            let has_running = self.requests.values().any(|request| request.running_on.is_some());
            if has_running {
                self.end_attempt(0, 7)?;
            } else {
                self.apply_event(Event::AdvanceTime { ms: 400 })?;
            }
            if self.requests.values().all(|request| request.is_final) {
                return Ok(());
            }
        }
        Err("some request never got a final answer".to_owned())
    }
}

fn check(events: &[Event], hidden: HiddenFacts) -> Result<(), String> {
    let mut checker = Checker::new(hidden);
    events.iter().try_for_each(|event| checker.apply_event(*event))?;
    checker.drain()
}

fn history_count() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(500)
}

thread_local! {
    static HIDDEN_FACTS: std::cell::Cell<HiddenFacts> = const {
        std::cell::Cell::new(HiddenFacts {
            hides_leaving: false,
            hides_idempotence: false,
            hides_loss: false,
        })
    };
}

fn no_violation(events: Vec<Event>) -> TestResult {
    match check(&events, HIDDEN_FACTS.with(std::cell::Cell::get)) {
        Ok(()) => TestResult::passed(),
        Err(text) => TestResult::error(text),
    }
}

fn first_violation(hidden: HiddenFacts) -> Result<u64, String> {
    HIDDEN_FACTS.with(|cell| cell.set(hidden));
    let count = history_count();
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(count)
        .quicktest(no_violation as fn(Vec<Event>) -> TestResult)
        .map_err(|result| format!("{result:?}"))
}

fn must_detect(hidden: HiddenFacts, expected: &str) {
    let violation = first_violation(hidden).expect_err("the hidden fact causes no violation");
    assert!(violation.contains(expected), "detected another violation: {violation}");
}

#[test]
fn invariants_hold() {
    let result = first_violation(HiddenFacts::default());
    assert!(result.is_ok(), "{}", result.unwrap_err());
}

#[test]
fn hidden_leaving_detected() {
    must_detect(HiddenFacts { hides_leaving: true, ..HiddenFacts::default() }, "while leaving");
}

#[test]
fn hidden_idempotence_detected() {
    must_detect(HiddenFacts { hides_idempotence: true, ..HiddenFacts::default() }, "sent again");
}

#[test]
fn hidden_loss_detected() {
    must_detect(HiddenFacts { hides_loss: true, ..HiddenFacts::default() }, "may have run");
}

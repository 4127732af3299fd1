//! The dispatcher over random histories: slots, finality, retries and leaving executors.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::Now;
use jackdawpier_route::{
    dispatcher::{AttemptOutcome, Command, Dispatcher, RequestInfo},
    executors::ExecutorInfo,
};
use jackdawpier_settings::declaration::{Class, Domain, Kind};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const SEED: u64 = 20_261_202;
const EXECUTORS: u8 = 4;
const SLOTS: u32 = 3;
const RETRY_BURST: u64 = 10;

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive { customer: u8, time_ms: u16, is_idempotent: bool },
    End { which: u8, how: u8 },
    Pass { ms: u16 },
    Leave { executor: u8 },
    List { executor: u8 },
    Cancel { which: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::Arrive {
                customer: u8::arbitrary(g) % 3,
                time_ms: u16::arbitrary(g) % 800,
                is_idempotent: bool::arbitrary(g),
            },
            5..=8 => Self::End { which: u8::arbitrary(g), how: u8::arbitrary(g) },
            9 => Self::Pass { ms: u16::arbitrary(g) % 500 },
            10 if bool::arbitrary(g) => Self::Leave { executor: u8::arbitrary(g) % EXECUTORS },
            10 => Self::List { executor: u8::arbitrary(g) % EXECUTORS },
            _ => Self::Cancel { which: u8::arbitrary(g) },
        }
    }
}

fn class() -> Class {
    Class {
        name: "render".into(),
        service: "widgets".into(),
        kind: Kind::Quick,
        idempotent: false,
        finish_within_ms: 500,
        capacity_instances: 1,
        may_lose_instances: 0,
        survive: Domain::Instance,
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

/// What the checker leaves out on purpose, to see that it notices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Switches {
    /// The dispatcher is not told which executors leave.
    hides_leaving: bool,
    /// The dispatcher is told of every request that it is idempotent.
    hides_idempotence: bool,
    /// The dispatcher is told that lost attempts were never sent.
    hides_loss: bool,
}

struct Checker {
    dispatcher: Dispatcher,
    switches: Switches,
    now: Now,
    requests: BTreeMap<u64, Request>,
    leaving: BTreeSet<String>,
    in_flight: BTreeMap<String, u32>,
    sends: u64,
    arrived: u64,
    next: u64,
}

impl Checker {
    fn new(switches: Switches) -> Self {
        let mut dispatcher = Dispatcher::new(8);
        dispatcher.set_classes([&class()]);
        let mut checker = Self {
            dispatcher,
            switches,
            now: Now::ZERO,
            requests: BTreeMap::new(),
            leaving: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sends: 0,
            arrived: 0,
            next: 0,
        };
        (0..EXECUTORS).for_each(|executor| checker.list(executor).expect("nothing runs yet"));
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
        self.follow(commands)
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Arrive { customer, time_ms, is_idempotent } => {
                self.next += 1;
                self.arrived += 1;
                let request = Request { is_idempotent, ..Request::default() };
                self.requests.insert(self.next, request);
                let info = RequestInfo {
                    ticket: self.next,
                    class: "render".into(),
                    customer: format!("customer-{customer}").into(),
                    deadline: self.now + Duration::from_millis(u64::from(time_ms)),
                    is_idempotent: is_idempotent || self.switches.hides_idempotence,
                };
                let commands = self.dispatcher.submit(self.now, info);
                self.follow(commands)
            }
            Step::End { which, how } => self.end_attempt(which, how),
            Step::Pass { ms } => {
                self.now += Duration::from_millis(u64::from(ms));
                let commands = self.dispatcher.tick(self.now);
                self.follow(commands)
            }
            Step::Leave { executor } => {
                let id = format!("executor-{executor}");
                if !self.switches.hides_leaving {
                    self.dispatcher.mark_leaving(&id);
                }
                self.leaving.insert(id);
                Ok(())
            }
            Step::List { executor } => self.list(executor),
            Step::Cancel { which } => {
                let waiting: Vec<u64> = self
                    .requests
                    .iter()
                    .filter(|(_, r)| !r.is_final && r.running_on.is_none())
                    .map(|(ticket, _)| *ticket)
                    .collect();
                if let Some(ticket) = waiting.get(usize::from(which) % waiting.len().max(1)) {
                    self.dispatcher.cancel(*ticket);
                    let request = self.requests.get_mut(ticket).expect("it was listed");
                    request.is_cancelled = true;
                    request.is_final = true;
                }
                Ok(())
            }
        }
    }

    fn end_attempt(&mut self, which: u8, how: u8) -> Result<(), String> {
        let running: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.running_on.is_some())
            .map(|(ticket, _)| *ticket)
            .collect();
        if running.is_empty() {
            return Ok(());
        }
        let ticket = running[usize::from(which) % running.len()];
        let request = self.requests.get_mut(&ticket).expect("it was listed");
        let executor = request.running_on.take().expect("it runs");
        let end = match how % 8 {
            0 => AttemptOutcome::NotConnected,
            1 => AttemptOutcome::Declined { is_leaving: false },
            2 => AttemptOutcome::Failed,
            3 => AttemptOutcome::Lost,
            _ => AttemptOutcome::Answered,
        };
        request.may_have_run |= matches!(end, AttemptOutcome::Failed | AttemptOutcome::Lost);
        request.is_final = end == AttemptOutcome::Answered;
        *self.in_flight.get_mut(&executor).expect("it was sent there") -= 1;
        let told = match end {
            AttemptOutcome::Lost if self.switches.hides_loss => AttemptOutcome::NotConnected,
            end => end,
        };
        let commands = self.dispatcher.finish_attempt(self.now, ticket, told);
        self.follow(commands)
    }

    fn follow(&mut self, commands: Vec<Command>) -> Result<(), String> {
        for command in commands {
            match command {
                Command::Send { ticket, executor } => self.on_send(ticket, &executor)?,
                Command::Refuse { ticket, .. } => {
                    let request = self.requests.get(&ticket).expect("a known request");
                    if request.may_have_run || request.running_on.is_some() {
                        return Err(format!("{ticket} told \"not run\" though it may have run"));
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
        if self.sends * 10 > self.arrived * 11 + RETRY_BURST * 10 {
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

    /// Everything ends: each request must have got its final answer.
    fn drain(&mut self) -> Result<(), String> {
        for _ in 0..10_000 {
            let has_running = self.requests.values().any(|request| request.running_on.is_some());
            if has_running {
                self.end_attempt(0, 7)?;
            } else {
                self.step(Step::Pass { ms: 400 })?;
            }
            if self.requests.values().all(|request| request.is_final) {
                return Ok(());
            }
        }
        Err("some request never got a final answer".to_owned())
    }
}

fn check(steps: &[Step], switches: Switches) -> Result<(), String> {
    let mut checker = Checker::new(switches);
    steps.iter().try_for_each(|step| checker.step(*step))?;
    checker.drain()
}

fn histories() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(500)
}

thread_local! {
    static SWITCHES: std::cell::Cell<Switches> = const {
        std::cell::Cell::new(Switches { hides_leaving: false, hides_idempotence: false, hides_loss: false })
    };
}

fn holds(steps: Vec<Step>) -> TestResult {
    match check(&steps, SWITCHES.with(std::cell::Cell::get)) {
        Ok(()) => TestResult::passed(),
        Err(text) => TestResult::error(text),
    }
}

fn first_violation(switches: Switches) -> Result<u64, String> {
    SWITCHES.with(|cell| cell.set(switches));
    let count = histories();
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(count)
        .quicktest(holds as fn(Vec<Step>) -> TestResult)
        .map_err(|result| format!("{result:?}"))
}

fn must_notice(switches: Switches, expected: &str) {
    let violation = first_violation(switches).expect_err("what is off goes unnoticed");
    assert!(violation.contains(expected), "noticed another fault: {violation}");
}

#[test]
fn promises_hold() {
    let result = first_violation(Switches::default());
    assert!(result.is_ok(), "{}", result.unwrap_err());
}

#[test]
fn leaving_off() {
    must_notice(Switches { hides_leaving: true, ..Switches::default() }, "while leaving");
}

#[test]
fn idempotence_off() {
    must_notice(Switches { hides_idempotence: true, ..Switches::default() }, "sent again");
}

#[test]
fn loss_off() {
    must_notice(Switches { hides_loss: true, ..Switches::default() }, "may have run");
}

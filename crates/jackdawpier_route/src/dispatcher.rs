//! Admission, fair order, slots and retries of one service.
//!
//! A request is either admitted with a real prospect of finishing by its deadline, or refused at
//! once with the time to come back. What is admitted but can't make it any more is given up the
//! moment that is known. See `docs/design/admission.md` and `docs/design/retries.md`.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    budget::ShareBudget,
    fair_queue::FairQueue,
    ids::{ClassName, CustomerName, ExecutorId, Ticket},
    outcome::RefusalReason,
};
use jackdawpier_settings::declaration::Class;

use crate::{
    executors::{ExecutorInfo, Executors, Health},
    service_time::ServiceTime,
};

/// Retries allowed, as thousandths of the ordinary attempts of a class.
pub const RETRY_SHARE_PERMILLE: u32 = 100;
/// Retries that a quiet time can save up.
const RETRY_BURST: u32 = 10;
/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 3;
/// Part of the slots that a slow class may hold while a fast one shares the service.
const SLOW_CLASS_SLOTS_PERCENT: u32 = 75;
/// Shortest time that a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time that a caller is told to wait when no executor can be used.
const NO_EXECUTOR_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the dispatcher must know of a request.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Identity within this entry.
    pub ticket: Ticket,
    /// Its class.
    pub class: ClassName,
    /// The customer that sent it.
    pub customer: CustomerName,
    /// When the answer is worthless.
    pub deadline: Now,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
}

/// How one attempt at an executor ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer came.
    Answered,
    /// No byte of the request was sent.
    NotConnected,
    /// The executor said that it did not run the request.
    Declined {
        /// Whether it said that it is leaving.
        is_leaving: bool,
    },
    /// The executor said that it ran the request and failed.
    Failed,
    /// Bytes were sent and no whole answer came.
    Lost,
}

/// What the dispatcher wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Send the request to this executor now.
    Send {
        /// The request.
        ticket: Ticket,
        /// Where to.
        executor: ExecutorId,
    },
    /// Tell the caller that the request did not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Tell the caller that the request failed for certain.
    Fail {
        /// The request.
        ticket: Ticket,
    },
    /// Tell the caller that the request may or may not have run.
    Unknown {
        /// The request.
        ticket: Ticket,
    },
}

/// Why a request can't be admitted now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason for the caller.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct ClassState {
    finish_within: Duration,
    queue: FairQueue,
    service_time: ServiceTime,
    retry_budget: ShareBudget,
    running: u32,
}

#[derive(Debug)]
struct Pending {
    info: RequestInfo,
    latest_start: Now,
    attempts: u32,
    may_have_run: bool,
    running_on: Option<(ExecutorId, Now)>,
    avoid: Option<ExecutorId>,
}

/// The dispatcher of one service.
#[derive(Debug)]
pub struct Dispatcher {
    classes: BTreeMap<ClassName, ClassState>,
    executors: Executors,
    pending: HashMap<Ticket, Pending>,
    by_latest_start: BTreeSet<(Now, Ticket)>,
    orphans: BTreeSet<(Now, Ticket, ExecutorId)>,
    queue_per_customer: usize,
}

impl Dispatcher {
    /// Returns a dispatcher without classes and executors.
    pub fn new(queue_per_customer: usize) -> Self {
        Self {
            classes: BTreeMap::new(),
            executors: Executors::default(),
            pending: HashMap::new(),
            by_latest_start: BTreeSet::new(),
            orphans: BTreeSet::new(),
            queue_per_customer,
        }
    }

    /// Takes over the classes of the service. A class that is gone finishes what it has queued.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a Class>) {
        for class in classes {
            let finish_within = class.finish_within();
            let state = self.classes.entry(class.name.clone()).or_insert_with(|| ClassState {
                finish_within,
                queue: FairQueue::default(),
                service_time: ServiceTime::new(finish_within),
                retry_budget: ShareBudget::new(RETRY_SHARE_PERMILLE, RETRY_BURST),
                running: 0,
            });
            state.finish_within = finish_within;
        }
    }

    /// Adds or updates an executor.
    pub fn upsert_executor(&mut self, now: Now, info: ExecutorInfo) -> Vec<Command> {
        self.executors.upsert(info);
        self.dispatch(now)
    }

    /// Marks an executor as leaving.
    pub fn mark_leaving(&mut self, id: &str) {
        self.executors.mark_leaving(id);
    }

    /// Forgets the executors that `keep` refuses.
    pub fn retain_executors(&mut self, keep: impl Fn(&str) -> bool) {
        let gone: Vec<ExecutorId> = self.executors.ids().filter(|id| !keep(id)).cloned().collect();
        gone.iter().for_each(|id| self.executors.remove(id));
    }

    /// The executors, for reports.
    pub fn executors(&self) -> &Executors {
        &self.executors
    }

    /// Requests that wait, of all classes.
    pub fn queued(&self) -> usize {
        self.classes.values().map(|class| class.queue.len()).sum()
    }

    /// Executors that the requests running and waiting now would fill, in thousandths.
    pub fn demand_milli(&self) -> u32 {
        let executors = self.executors.accepting_count() as u32;
        if executors == 0 {
            return 0;
        }
        let slots_each = (self.executors.slots() / executors).max(1);
        (self.pending.len() as u32).saturating_mul(1000) / slots_each
    }

    /// Requests that this dispatcher has not finished.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Says whether a request of `class` could be admitted, without changing anything.
    pub fn check_admission(
        &self,
        now: Now,
        class: &str,
        customer: &str,
        deadline: Now,
    ) -> Result<(), Refusal> {
        let Some(state) = self.classes.get(class) else {
            let reason = RefusalReason::UnknownClass;
            return Err(Refusal { reason, retry_after: NO_EXECUTOR_RETRY_AFTER });
        };
        if self.executors.slots() == 0 {
            let reason = RefusalReason::NoExecutor;
            return Err(Refusal { reason, retry_after: NO_EXECUTOR_RETRY_AFTER });
        }
        let wait = self.expected_wait(state, customer);
        if state.queue.backlog(customer) >= self.queue_per_customer {
            let retry_after = wait.max(MIN_RETRY_AFTER);
            return Err(Refusal { reason: RefusalReason::QueueFull, retry_after });
        }
        let ready_at = now + wait + state.service_time.upper_estimate();
        if ready_at > deadline {
            let retry_after = ready_at.checked_sub(deadline).unwrap().max(MIN_RETRY_AFTER);
            return Err(Refusal { reason: RefusalReason::DeadlineUnreachable, retry_after });
        }
        Ok(())
    }

    /// Time until a new request of `customer` would start. Customers take turns, so a customer's
    /// own backlog and the number of active customers count, not the longest queue.
    fn expected_wait(&self, state: &ClassState, customer: &str) -> Duration {
        if state.queue.is_empty() && self.executors.has_free_slot() {
            return Duration::ZERO;
        }
        let turns = state.queue.backlog(customer) + 1;
        let active = state.queue.active_customers().max(1);
        let ahead = (turns * active).min(state.queue.len() + 1);
        state.service_time.mean() * ahead as u32 / self.executors.slots().max(1)
    }

    /// Takes a request in, or refuses it at once.
    pub fn submit(&mut self, now: Now, info: RequestInfo) -> Vec<Command> {
        if let Err(refusal) = self.check_admission(now, &info.class, &info.customer, info.deadline)
        {
            let Refusal { reason, retry_after } = refusal;
            return vec![Command::Refuse { ticket: info.ticket, reason, retry_after }];
        }
        let state = self.classes.get_mut(&info.class).expect("admitted requests have a class");
        state.retry_budget.deposit();
        state.queue.push(&info.customer, info.ticket);
        let latest_start = info.deadline.saturating_sub(state.service_time.upper_estimate());
        self.by_latest_start.insert((latest_start, info.ticket));
        let pending = Pending {
            latest_start,
            attempts: 0,
            may_have_run: false,
            running_on: None,
            avoid: None,
            info,
        };
        self.pending.insert(pending.info.ticket, pending);
        self.dispatch(now)
    }

    /// Drops a request whose caller is gone, and returns whether it did. One that runs keeps its
    /// slot until it ends.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let is_waiting =
            self.pending.get(&ticket).is_some_and(|pending| pending.running_on.is_none());
        is_waiting && self.take_queued(ticket).is_some()
    }

    /// Learns that an attempt ended, and decides what follows.
    pub fn finish_attempt(
        &mut self,
        now: Now,
        ticket: Ticket,
        end: AttemptOutcome,
    ) -> Vec<Command> {
        let Some((executor, started_at)) =
            self.pending.get_mut(&ticket).and_then(|pending| pending.running_on.take())
        else {
            return Vec::new();
        };
        self.settle_executor(now, ticket, &executor, end);
        let pending = self.pending.get_mut(&ticket).expect("the attempt belongs to a request");
        pending.may_have_run |= matches!(end, AttemptOutcome::Failed | AttemptOutcome::Lost);
        let class = self.classes.get_mut(&pending.info.class).expect("classes are never dropped");
        class.running -= 1;
        if end == AttemptOutcome::Answered {
            class.service_time.observe(now.saturating_sub(started_at));
            self.pending.remove(&ticket);
            return self.dispatch(now);
        }
        let may_repeat = pending.info.is_idempotent || !pending.may_have_run;
        let has_time = now <= pending.latest_start && pending.attempts < MAX_ATTEMPTS;
        let mut commands = Vec::new();
        if may_repeat && has_time && class.retry_budget.try_withdraw() {
            pending.avoid = Some(executor);
            class.queue.push_front(&pending.info.customer, ticket);
            self.by_latest_start.insert((pending.latest_start, ticket));
        } else {
            let pending = self.pending.remove(&ticket).expect("it was there above");
            commands.push(self.give_up(&pending, end));
        }
        commands.extend(self.dispatch(now));
        commands
    }

    fn settle_executor(
        &mut self,
        now: Now,
        ticket: Ticket,
        executor: &ExecutorId,
        end: AttemptOutcome,
    ) {
        let health = match end {
            AttemptOutcome::Answered | AttemptOutcome::Declined { .. } => Health::Good,
            AttemptOutcome::NotConnected => Health::Unreachable,
            AttemptOutcome::Failed | AttemptOutcome::Lost => Health::Bad,
        };
        self.executors.observe(now, executor, health);
        if end == (AttemptOutcome::Declined { is_leaving: true }) {
            self.executors.mark_leaving(executor);
        }
        if end == AttemptOutcome::Lost {
            // The executor may still be working on it, so its slot isn't free yet.
            let hold = self.orphan_hold(ticket);
            self.orphans.insert((now + hold, ticket, executor.clone()));
        } else {
            self.executors.release_slot(executor);
        }
    }

    fn orphan_hold(&self, ticket: Ticket) -> Duration {
        self.pending
            .get(&ticket)
            .and_then(|pending| self.classes.get(&pending.info.class))
            .map_or(NO_EXECUTOR_RETRY_AFTER, |class| class.service_time.upper_estimate())
    }

    /// The final answer to a request that gets no further attempt: "not run" only if that is
    /// certain for all of its attempts.
    fn give_up(&self, pending: &Pending, end: AttemptOutcome) -> Command {
        let ticket = pending.info.ticket;
        if !pending.may_have_run {
            let class = &self.classes[&pending.info.class];
            let wait = self.expected_wait(class, &pending.info.customer);
            let retry_after = wait.max(MIN_RETRY_AFTER);
            return Command::Refuse { ticket, reason: RefusalReason::NotConnected, retry_after };
        }
        match end {
            AttemptOutcome::Failed => Command::Fail { ticket },
            _ => Command::Unknown { ticket },
        }
    }

    /// Gives up what can't finish any more, frees what timed out, and starts what can start.
    pub fn tick(&mut self, now: Now) -> Vec<Command> {
        self.executors.tick(now);
        while self.orphans.first().is_some_and(|(until, ..)| *until <= now) {
            let (_, _, executor) = self.orphans.pop_first().expect("it was there above");
            self.executors.release_slot(&executor);
        }
        let mut commands = self.expire(now);
        commands.extend(self.dispatch(now));
        commands
    }

    fn expire(&mut self, now: Now) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some(&(latest_start, ticket)) = self.by_latest_start.first() {
            if latest_start >= now {
                break;
            }
            self.by_latest_start.pop_first();
            if let Some(pending) = self.take_queued(ticket) {
                commands.push(self.expired(&pending));
            }
        }
        commands
    }

    fn expired(&self, pending: &Pending) -> Command {
        let ticket = pending.info.ticket;
        if pending.may_have_run {
            return Command::Unknown { ticket };
        }
        let class = &self.classes[&pending.info.class];
        let retry_after = self.expected_wait(class, &pending.info.customer).max(MIN_RETRY_AFTER);
        Command::Refuse { ticket, reason: RefusalReason::DeadlineUnreachable, retry_after }
    }

    fn take_queued(&mut self, ticket: Ticket) -> Option<Pending> {
        let pending = self.pending.remove(&ticket)?;
        self.by_latest_start.remove(&(pending.latest_start, ticket));
        let class = self.classes.get_mut(&pending.info.class)?;
        class.queue.remove(&pending.info.customer, ticket);
        Some(pending)
    }

    fn dispatch(&mut self, now: Now) -> Vec<Command> {
        let mut commands = self.expire(now);
        while self.executors.has_free_slot() {
            let Some(name) = self.next_class() else { break };
            let class = self.classes.get_mut(&name).expect("the class was just chosen");
            let cost = class.service_time.mean().as_micros() as u64;
            let Some(ticket) = class.queue.pop(cost) else { break };
            let pending = self.pending.get_mut(&ticket).expect("queued requests are pending");
            let Some(executor) = self.executors.acquire_slot_avoiding(pending.avoid.as_ref())
            else {
                break;
            };
            class.running += 1;
            pending.attempts += 1;
            pending.running_on = Some((executor.clone(), now));
            self.by_latest_start.remove(&(pending.latest_start, ticket));
            commands.push(Command::Send { ticket, executor });
        }
        commands
    }

    /// The class whose next request must start first, among those below their share of slots.
    fn next_class(&self) -> Option<ClassName> {
        let slots = self.executors.slots();
        let fastest = self.classes.values().map(|class| class.finish_within).min()?;
        self.classes
            .iter()
            .filter(|(_, class)| {
                let is_slow = class.service_time.mean() * 2 > fastest;
                !is_slow || class.running < (slots * SLOW_CLASS_SLOTS_PERCENT / 100).max(1)
            })
            .filter_map(|(name, class)| {
                let ticket = class.queue.peek()?;
                Some((self.pending.get(&ticket)?.latest_start, name))
            })
            .min()
            .map(|(_, name)| name.clone())
    }
}

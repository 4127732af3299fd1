//! Admission, fair queueing, slots and retries of one service.
//!
//! A request is admitted only if it is expected to finish by its deadline; otherwise it is refused
//! at once with a retry time. An admitted request that can no longer meet its deadline is ended as
//! soon as that is known. See `docs/design/admission.md` and `docs/design/retries.md`.

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

/// Maximum share of retries, in thousandths of the admitted requests of a class.
pub const RETRY_SHARE_PERMILLE: u32 = 100;
/// Maximum number of retries that the retry budget accumulates.
const RETRY_BUDGET_CAP: u32 = 10;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum share of the slots for a slow class: one whose mean service time is more than half of
/// the shortest target of the service's classes.
const SLOW_CLASS_SLOTS_PERCENT: u32 = 75;
/// Minimum retry time of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry time of a refusal when there is no executor or no such class.
const NO_EXECUTOR_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Properties of a request that the dispatcher needs.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Id within this entry.
    pub ticket: Ticket,
    /// Class of the request.
    pub class: ClassName,
    /// Customer of the request.
    pub customer: CustomerName,
    /// Time after which the answer is useless.
    pub deadline: Now,
    /// Whether the request may safely run more than once.
    pub is_idempotent: bool,
}

/// Outcome of one attempt at an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer was received.
    Answered,
    /// No byte of the request was sent.
    NotConnected,
    /// The executor reported that it did not run the request.
    Declined {
        /// Whether it reported that it is leaving.
        is_leaving: bool,
    },
    /// The executor reported that it ran the request and failed.
    Failed,
    /// Bytes were sent and no complete answer was received.
    Lost,
}

/// Command of the dispatcher to its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Send the request to an executor now.
    Send {
        /// The request.
        ticket: Ticket,
        /// The executor.
        executor: ExecutorId,
    },
    /// Answer that the request did not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Answer that the request ran and failed.
    Fail {
        /// The request.
        ticket: Ticket,
    },
    /// Answer that the request may or may not have run.
    Unknown {
        /// The request.
        ticket: Ticket,
    },
}

/// Refusal of a request that can't be admitted now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason, for the caller.
    pub reason: RefusalReason,
    /// Time after which the caller may retry.
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
    last_failed_on: Option<ExecutorId>,
}

/// Dispatcher of one service.
#[derive(Debug)]
pub struct Dispatcher {
    classes: BTreeMap<ClassName, ClassState>,
    executors: Executors,
    pending: HashMap<Ticket, Pending>,
    by_latest_start: BTreeSet<(Now, Ticket)>,
    held_slots: BTreeSet<(Now, Ticket, ExecutorId)>,
    queue_per_customer: usize,
}

impl Dispatcher {
    /// Returns a dispatcher without classes and executors that queues up to `queue_per_customer`
    /// requests of each customer and class.
    pub fn new(queue_per_customer: usize) -> Self {
        Self {
            classes: BTreeMap::new(),
            executors: Executors::default(),
            pending: HashMap::new(),
            by_latest_start: BTreeSet::new(),
            held_slots: BTreeSet::new(),
            queue_per_customer,
        }
    }

    /// Adds or updates the classes of the service. No class is removed, so requests that are queued
    /// for a class no longer declared still finish.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a Class>) {
        for class in classes {
            let finish_within = class.finish_within();
            let state = self.classes.entry(class.name.clone()).or_insert_with(|| ClassState {
                finish_within,
                queue: FairQueue::default(),
                service_time: ServiceTime::new(finish_within),
                retry_budget: ShareBudget::new(RETRY_SHARE_PERMILLE, RETRY_BUDGET_CAP),
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

    /// Removes the executors for which `keep` returns false.
    pub fn retain_executors(&mut self, keep: impl Fn(&str) -> bool) {
        let removed: Vec<ExecutorId> =
            self.executors.ids().filter(|id| !keep(id)).cloned().collect();
        removed.iter().for_each(|id| self.executors.remove(id));
    }

    /// Returns the executors, for reports.
    pub fn executors(&self) -> &Executors {
        &self.executors
    }

    /// Returns the number of queued requests of all classes.
    pub fn queued(&self) -> usize {
        self.classes.values().map(|class| class.queue.len()).sum()
    }

    /// Returns the demand of the running and queued requests, in thousandths of an executor.
    pub fn demand_milli(&self) -> u32 {
        let executors = self.executors.accepting_count() as u32;
        if executors == 0 {
            return 0;
        }
        let slots_each = (self.executors.total_slots() / executors).max(1);
        (self.pending.len() as u32).saturating_mul(1000) / slots_each
    }

    /// Returns the number of requests that are queued or running.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Checks whether a request of `class` would be admitted now.
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
        if self.executors.total_slots() == 0 {
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

    /// Returns the expected queueing time of a new request of `customer`. Customers are served in
    /// turn, so it depends on the customer's own backlog and the number of active customers, not on
    /// the longest queue.
    fn expected_wait(&self, state: &ClassState, customer: &str) -> Duration {
        if state.queue.is_empty() && self.executors.has_free_slot() {
            return Duration::ZERO;
        }
        let turns = state.queue.backlog(customer) + 1;
        let active = state.queue.active_customers().max(1);
        let ahead = (turns * active).min(state.queue.len() + 1);
        state.service_time.mean() * ahead as u32 / self.executors.total_slots().max(1)
    }

    /// Admits a request or refuses it at once.
    pub fn submit(&mut self, now: Now, info: RequestInfo) -> Vec<Command> {
        if let Err(refusal) = self.check_admission(now, &info.class, &info.customer, info.deadline)
        {
            let Refusal { reason, retry_after } = refusal;
            return vec![Command::Refuse { ticket: info.ticket, reason, retry_after }];
        }
        let state =
            self.classes.get_mut(&info.class).expect("an admitted request has a known class");
        state.retry_budget.deposit();
        state.queue.push(&info.customer, info.ticket);
        let latest_start = info.deadline.saturating_sub(state.service_time.upper_estimate());
        self.by_latest_start.insert((latest_start, info.ticket));
        let pending = Pending {
            latest_start,
            attempts: 0,
            may_have_run: false,
            running_on: None,
            last_failed_on: None,
            info,
        };
        self.pending.insert(pending.info.ticket, pending);
        self.dispatch(now)
    }

    /// Removes a queued request whose caller has disconnected; returns whether it was queued. A
    /// running request keeps its slot until it ends.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let is_waiting =
            self.pending.get(&ticket).is_some_and(|pending| pending.running_on.is_none());
        is_waiting && self.remove_queued(ticket).is_some()
    }

    /// Records the outcome of an attempt, then retries or ends the request.
    pub fn finish_attempt(
        &mut self,
        now: Now,
        ticket: Ticket,
        outcome: AttemptOutcome,
    ) -> Vec<Command> {
        let Some((executor, started_at)) =
            self.pending.get_mut(&ticket).and_then(|pending| pending.running_on.take())
        else {
            return Vec::new();
        };
        self.update_executor(now, ticket, &executor, outcome);
        let pending =
            self.pending.get_mut(&ticket).expect("a running attempt belongs to a pending request");
        pending.may_have_run |= matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Lost);
        let class = self.classes.get_mut(&pending.info.class).expect("classes are never removed");
        class.running -= 1;
        if outcome == AttemptOutcome::Answered {
            class.service_time.observe(now.saturating_sub(started_at));
            self.pending.remove(&ticket);
            return self.dispatch(now);
        }
        let may_retry = pending.info.is_idempotent || !pending.may_have_run;
        let has_time = now <= pending.latest_start && pending.attempts < MAX_ATTEMPTS;
        let mut commands = Vec::new();
        if may_retry && has_time && class.retry_budget.try_withdraw() {
            pending.last_failed_on = Some(executor);
            class.queue.push_front(&pending.info.customer, ticket);
            self.by_latest_start.insert((pending.latest_start, ticket));
        } else {
            let pending = self.pending.remove(&ticket).expect("the request is pending");
            commands.push(self.final_answer(&pending, outcome));
        }
        commands.extend(self.dispatch(now));
        commands
    }

    fn update_executor(
        &mut self,
        now: Now,
        ticket: Ticket,
        executor: &ExecutorId,
        outcome: AttemptOutcome,
    ) {
        let health = match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Declined { .. } => Health::Healthy,
            AttemptOutcome::NotConnected => Health::Unreachable,
            AttemptOutcome::Failed | AttemptOutcome::Lost => Health::Failing,
        };
        self.executors.observe(now, executor, health);
        if outcome == (AttemptOutcome::Declined { is_leaving: true }) {
            self.executors.mark_leaving(executor);
        }
        if outcome == AttemptOutcome::Lost {
            // The executor may still be running the request, so its slot stays taken for a while.
            let hold_time = self.lost_slot_hold_time(ticket);
            self.held_slots.insert((now + hold_time, ticket, executor.clone()));
        } else {
            self.executors.release_slot(executor);
        }
    }

    fn lost_slot_hold_time(&self, ticket: Ticket) -> Duration {
        self.pending
            .get(&ticket)
            .and_then(|pending| self.classes.get(&pending.info.class))
            .map_or(NO_EXECUTOR_RETRY_AFTER, |class| class.service_time.upper_estimate())
    }

    /// Returns the final answer to a request without further attempts: "not run" only if none of
    /// its attempts can have run.
    fn final_answer(&self, pending: &Pending, outcome: AttemptOutcome) -> Command {
        let ticket = pending.info.ticket;
        if !pending.may_have_run {
            let class = &self.classes[&pending.info.class];
            let wait = self.expected_wait(class, &pending.info.customer);
            let retry_after = wait.max(MIN_RETRY_AFTER);
            return Command::Refuse { ticket, reason: RefusalReason::NotConnected, retry_after };
        }
        match outcome {
            AttemptOutcome::Failed => Command::Fail { ticket },
            _ => Command::Unknown { ticket },
        }
    }

    /// Ends requests that can no longer meet their deadlines, frees slots of lost attempts and
    /// starts queued requests.
    pub fn tick(&mut self, now: Now) -> Vec<Command> {
        self.executors.tick(now);
        while self.held_slots.first().is_some_and(|(until, ..)| *until <= now) {
            let (_, _, executor) =
                self.held_slots.pop_first().expect("the set has a first element");
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
            if let Some(pending) = self.remove_queued(ticket) {
                commands.push(self.expiry_answer(&pending));
            }
        }
        commands
    }

    fn expiry_answer(&self, pending: &Pending) -> Command {
        let ticket = pending.info.ticket;
        if pending.may_have_run {
            return Command::Unknown { ticket };
        }
        let class = &self.classes[&pending.info.class];
        let retry_after = self.expected_wait(class, &pending.info.customer).max(MIN_RETRY_AFTER);
        Command::Refuse { ticket, reason: RefusalReason::DeadlineUnreachable, retry_after }
    }

    fn remove_queued(&mut self, ticket: Ticket) -> Option<Pending> {
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
            let class = self.classes.get_mut(&name).expect("next_class() returns a known class");
            let cost = class.service_time.mean().as_micros() as u64;
            let Some(ticket) = class.queue.pop(cost) else { break };
            let pending = self.pending.get_mut(&ticket).expect("a queued request is pending");
            let Some(executor) =
                self.executors.acquire_slot_avoiding(pending.last_failed_on.as_ref())
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

    /// Returns the class whose next request has the earliest latest start, among the classes below
    /// their share of the slots.
    fn next_class(&self) -> Option<ClassName> {
        let slots = self.executors.total_slots();
        let shortest_target = self.classes.values().map(|class| class.finish_within).min()?;
        self.classes
            .iter()
            .filter(|(_, class)| {
                let is_slow = class.service_time.mean() * 2 > shortest_target;
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

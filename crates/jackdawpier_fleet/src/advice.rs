//! Decides which executors to ask the placement advisor about, and keeps its answers.
//!
//! The advisor names the executors that may run a step. It takes time for each executor, and handles one call at a
//! time, so only a part of a service is asked about at once. What it says of a step doesn't change: an executor is
//! asked about once for each step and incarnation, and after that only for a new ticket. Those of its service that
//! haven't been asked about follow until the step's tasks can start. See `docs/design/advice.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    executor::IncarnationId,
    sorted_hash_map::SortedHashMap,
    spec::{AdviceCost, QueueName, TaskKey},
};

/// Maximum number of executors per request (platform's protocol).
const MAX_EXECUTORS_PER_REQUEST: usize = 100;
/// Maximum number of unanswered requests. The advisor handles one at a time; the others keep it busy while an answer
/// is on its way, or lost.
const MAX_REQUESTS_IN_FLIGHT: usize = 4;
/// Number of executors in the first request of a step; doubled for each further answer that allows none.
const FIRST_REQUEST_SIZE: usize = 30;
/// Number of doublings from [`FIRST_REQUEST_SIZE`] to [`MAX_EXECUTORS_PER_REQUEST`].
const MAX_SIZE_DOUBLINGS: u32 = 2;
/// Minimum number of executors to which the cost of an executor may limit a request.
const MIN_REQUEST_SIZE: usize = 10;
/// A request names no more executors than take this many times the fixed time of a request: a larger one would save
/// little of that time and delay the answer.
const MAX_EXECUTOR_TIME_RATIO: u128 = 4;
/// Number of executors that a request names for each waiting task if they are expected to be allowed. Other tasks may
/// take the room of some in the meantime.
const EXPECTED_PER_TASK: usize = 2;
/// Minimum number of executors that a request names if some are expected to be allowed.
const MIN_EXPECTED: usize = 8;
/// Number of other executors that such a request names for each one that is missing.
const OTHERS_PER_MISSING: usize = 2;
/// Minimum number of tickets that a step holds while no executor has room.
const MIN_TICKETS_AHEAD: usize = 8;
/// Minimum time between two searches for executors to ask about, if the first one found none; doubled for each further
/// one. Each search compares all executors of a service.
const FIRST_SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of times that the search interval is doubled.
const MAX_SEARCH_DOUBLINGS: u32 = 2;
/// A ticket is used for this part of its validity, since a start takes time to arrive.
const USABLE_VALIDITY: f64 = 0.8;
/// Time that an answer may take in addition to the work that the advisor has to do for it; doubled for each
/// consecutive request without an answer.
const FIRST_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of times that the timeout margin is doubled.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// Delay before a step whose request failed is asked about again; doubled for each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of times that the retry delay is doubled.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// Identifies a step of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    job: JobId,
    occurrence: u32,
    step: u32,
}

impl From<&TaskKey> for StepKey {
    fn from(task: &TaskKey) -> Self {
        Self { job: task.job.clone(), occurrence: task.occurrence, step: task.step }
    }
}

/// An executor that a request may name.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// The executor.
    pub executor: &'a ExecutorId,
    /// Its current incarnation; `None` if it doesn't report one.
    pub incarnation: Option<IncarnationId>,
    /// Whether a task of the step could start there now if it were allowed.
    pub has_room: bool,
    /// Whether the step's data is elsewhere.
    pub is_remote: bool,
}

/// A request to the advisor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The executors that it names.
    pub executors: Vec<ExecutorId>,
    /// Time after which an answer is given up.
    pub timeout: Duration,
}

#[derive(Debug)]
struct Ticket {
    text: Arc<str>,
    valid_until: Now,
}

/// What the advisor has said of an executor.
#[derive(Debug)]
struct Verdict {
    incarnation: Option<IncarnationId>,
    ruling: Ruling,
}

#[derive(Debug)]
enum Ruling {
    /// With the last ticket, unless the executor rejected it.
    Allowed(Option<Ticket>),
    Forbidden,
}

impl Verdict {
    fn is_allowed(&self) -> bool {
        matches!(self.ruling, Ruling::Allowed(_))
    }

    fn has_ticket(&self, now: Now) -> bool {
        matches!(&self.ruling, Ruling::Allowed(Some(ticket)) if now < ticket.valid_until)
    }
}

/// What is known of one step.
#[derive(Debug, Default)]
pub struct StepAdvice {
    verdicts: SortedHashMap<ExecutorId, Verdict>,
    /// End of the validity of the last ticket.
    tickets_until: Now,
    /// Whether any executor has been allowed.
    has_allowed: bool,
    /// Consecutive searches that found no executor to ask about.
    empty_searches: u32,
    /// Consecutive answers that allowed none of the executors asked about.
    fruitless_answers: u32,
    /// Consecutive requests without an answer.
    failures: u32,
    /// Time before which no request is sent.
    not_before: Now,
}

#[derive(Debug)]
struct PendingRequest {
    queue: QueueName,
    executors: Vec<(ExecutorId, Option<IncarnationId>)>,
    /// Time that the advisor needs for it.
    cost: Duration,
}

/// Order in which executors are asked about; lower ones first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestOrder {
    lacks_room: bool,
    is_remote: bool,
    expectation: Expectation,
    /// Pseudo-random, so that the steps of a queue don't all ask about the same executors.
    shuffle: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Expectation {
    /// Allowed; a new ticket is needed.
    Allowed,
    /// Allowed for the step of the queue that last asked about it.
    Likely,
    Open,
}

/// The answers of the advisor and the requests to it.
#[derive(Debug, Default)]
pub struct Advice {
    steps: BTreeMap<StepKey, StepAdvice>,
    in_flight: BTreeMap<StepKey, PendingRequest>,
    /// Executors that were allowed when a step of the queue last asked about them.
    recently_allowed: BTreeMap<QueueName, BTreeSet<ExecutorId>>,
    /// Consecutive requests without an answer, over all steps.
    failures: u32,
}

impl Advice {
    /// Returns what is known of a step; `None` if the advisor hasn't been asked about it.
    pub fn of_step(&self, step: &StepKey) -> Option<&StepAdvice> {
        self.steps.get(step)
    }

    /// Returns the last ticket for an executor, also if it has expired.
    pub fn ticket(&self, step: &StepKey, executor: &ExecutorId) -> Option<Arc<str>> {
        match self.steps.get(step)?.verdicts.get(executor)? {
            Verdict { ruling: Ruling::Allowed(ticket), .. } => {
                ticket.as_ref().map(|one| one.text.clone())
            }
            Verdict { ruling: Ruling::Forbidden, .. } => None,
        }
    }

    /// Whether a request for a step may be sent now.
    pub fn may_request(&self, now: Now, step: &StepKey) -> bool {
        self.in_flight.len() < MAX_REQUESTS_IN_FLIGHT
            && !self.in_flight.contains_key(step)
            && self.steps.get(step).is_none_or(|advice| now >= advice.not_before)
    }

    /// Returns a request about the executors that are most likely to let waiting tasks of a step start; `None` if
    /// an answer about any of them would be of no use.
    pub fn request(
        &mut self,
        now: Now,
        step: &StepKey,
        queue: &QueueName,
        cost: AdviceCost,
        waiting_tasks: usize,
        candidates: &[Candidate<'_>],
    ) -> Option<Request> {
        let likely = self.recently_allowed.entry(queue.clone()).or_default();
        if likely.len() > candidates.len() {
            // Most of the others have left.
            let present: BTreeSet<&ExecutorId> =
                candidates.iter().map(|one| one.executor).collect();
            likely.retain(|executor| present.contains(executor));
        }
        let advice = self.steps.entry(step.clone()).or_default();
        let named = advice.executors_to_name(now, step, cost, waiting_tasks, candidates, likely);
        if named.is_empty() {
            let doublings = advice.empty_searches.min(MAX_SEARCH_DOUBLINGS);
            advice.empty_searches += 1;
            advice.not_before = now + FIRST_SEARCH_INTERVAL * (1 << doublings);
            return None;
        }
        advice.empty_searches = 0;
        let request_cost = cost.of_request(named.len());
        let earlier: Duration = self.in_flight.values().map(|pending| pending.cost).sum();
        let margin = FIRST_TIMEOUT_MARGIN * (1 << self.failures.min(MAX_TIMEOUT_DOUBLINGS));
        let timeout = (earlier + request_cost) * 2 + margin;
        let executors = named.iter().map(|one| one.executor.clone()).collect();
        let asked = named.iter().map(|one| (one.executor.clone(), one.incarnation)).collect();
        let pending = PendingRequest { queue: queue.clone(), executors: asked, cost: request_cost };
        self.in_flight.insert(step.clone(), pending);
        Some(Request { executors, timeout })
    }

    /// Applies an answer: the executors that may run the step, with their tickets.
    pub fn apply_answer(
        &mut self,
        now: Now,
        step: &StepKey,
        approved: Vec<(ExecutorId, Arc<str>)>,
        valid_for: Duration,
    ) {
        let Some(request) = self.in_flight.remove(step) else { return };
        self.failures = 0;
        let mut tickets: BTreeMap<ExecutorId, Arc<str>> = approved.into_iter().collect();
        let likely = self.recently_allowed.entry(request.queue).or_default();
        for (executor, _) in &request.executors {
            if tickets.contains_key(executor) {
                likely.insert(executor.clone());
            } else {
                likely.remove(executor);
            }
        }
        // The job may have ended meanwhile.
        let Some(advice) = self.steps.get_mut(step) else { return };
        advice.failures = 0;
        advice.fruitless_answers =
            if tickets.is_empty() { advice.fruitless_answers + 1 } else { 0 };
        let valid_until = now + valid_for.mul_f64(USABLE_VALIDITY);
        if !tickets.is_empty() {
            advice.has_allowed = true;
            advice.tickets_until = advice.tickets_until.max(valid_until);
        }
        for (executor, incarnation) in request.executors {
            let ruling = match tickets.remove(&executor) {
                Some(text) => Ruling::Allowed(Some(Ticket { text, valid_until })),
                None => Ruling::Forbidden,
            };
            advice.verdicts.insert(executor, Verdict { incarnation, ruling });
        }
    }

    /// Records that the request for a step has no usable answer.
    pub fn note_failure(&mut self, now: Now, step: &StepKey) {
        if self.in_flight.remove(step).is_none() {
            return;
        }
        self.failures += 1;
        if let Some(advice) = self.steps.get_mut(step) {
            let doublings = advice.failures.min(MAX_RETRY_DOUBLINGS);
            advice.failures += 1;
            advice.not_before = now + FIRST_RETRY_DELAY * (1 << doublings);
        }
    }

    /// Records that an executor rejected the ticket for a step. The next request waits, since an executor may reject
    /// each ticket until its restart is noticed.
    pub fn reject_ticket(&mut self, now: Now, step: &StepKey, executor: &str) {
        let Some(advice) = self.steps.get_mut(step) else { return };
        advice.not_before = advice.not_before.max(now + FIRST_RETRY_DELAY);
        let verdict = advice.verdicts.get_mut(executor);
        if let Some(Verdict { ruling: Ruling::Allowed(ticket), .. }) = verdict {
            *ticket = None;
        }
    }

    /// Forgets a step that needs no further starts.
    pub fn forget_step(&mut self, step: &StepKey) {
        self.steps.remove(step);
    }

    /// Forgets the steps of a job.
    pub fn forget_job(&mut self, job: &JobId) {
        let first = StepKey { job: job.clone(), occurrence: 0, step: 0 };
        let steps = self.steps.range(first..).map(|(step, _)| step);
        let steps: Vec<StepKey> = steps.take_while(|step| step.job == *job).cloned().collect();
        for step in steps {
            self.steps.remove(&step);
        }
    }
}

impl StepAdvice {
    /// Whether any executor has been allowed so far.
    pub fn has_allowed(&self) -> bool {
        self.has_allowed
    }

    /// Whether any ticket may be valid.
    pub fn may_have_ticket(&self, now: Now) -> bool {
        now < self.tickets_until
    }

    /// Returns whether the step may run on an executor; `None` if the advisor hasn't been asked about it in its current
    /// incarnation.
    pub fn allows(
        &self,
        executor: &ExecutorId,
        incarnation: Option<IncarnationId>,
    ) -> Option<bool> {
        self.verdict(executor, incarnation).map(Verdict::is_allowed)
    }

    /// Whether there is a valid ticket for an executor.
    pub fn has_ticket(
        &self,
        now: Now,
        executor: &ExecutorId,
        incarnation: Option<IncarnationId>,
    ) -> bool {
        self.verdict(executor, incarnation).is_some_and(|verdict| verdict.has_ticket(now))
    }

    fn verdict(
        &self,
        executor: &ExecutorId,
        incarnation: Option<IncarnationId>,
    ) -> Option<&Verdict> {
        self.verdicts.get(executor).filter(|verdict| verdict.incarnation == incarnation)
    }

    /// Returns the candidates to name in the next request. Executors without room are named only if none with room
    /// can be, and the step holds few tickets.
    fn executors_to_name<'a, 'b>(
        &self,
        now: Now,
        step: &StepKey,
        cost: AdviceCost,
        waiting_tasks: usize,
        candidates: &'b [Candidate<'a>],
        likely: &BTreeSet<ExecutorId>,
    ) -> Vec<&'b Candidate<'a>> {
        let mut tickets = 0;
        let mut open: Vec<(RequestOrder, &Candidate<'_>)> = Vec::new();
        let seed = xxh3_64_with_seed(step.job.as_bytes(), u64::from(step.step));
        for candidate in candidates {
            let executor = candidate.executor;
            let expectation = match self.verdict(executor, candidate.incarnation) {
                Some(verdict) if verdict.has_ticket(now) => {
                    tickets += 1;
                    continue;
                }
                Some(verdict) if verdict.is_allowed() => Expectation::Allowed,
                Some(_) => continue,
                None if likely.contains(executor) => Expectation::Likely,
                None => Expectation::Open,
            };
            let order = RequestOrder {
                lacks_room: !candidate.has_room,
                is_remote: candidate.is_remote,
                expectation,
                shuffle: xxh3_64_with_seed(executor.as_bytes(), seed),
            };
            open.push((order, candidate));
        }
        if open.iter().any(|(order, _)| !order.lacks_room) {
            open.retain(|(order, _)| !order.lacks_room);
        } else if tickets >= waiting_tasks.max(MIN_TICKETS_AHEAD) {
            return Vec::new();
        }
        open.sort_unstable_by(|(one, _), (other, _)| one.cmp(other));
        let expected =
            open.iter().take_while(|(order, _)| order.expectation != Expectation::Open).count();
        let enough = (waiting_tasks * EXPECTED_PER_TASK).max(MIN_EXPECTED);
        let size = self.request_size(cost, waiting_tasks);
        let missing = enough.saturating_sub(expected);
        let named = match expected {
            0 => size,
            _ => expected.min(enough) + missing * OTHERS_PER_MISSING,
        };
        open.truncate(named.min(size));
        open.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Returns the maximum size of the next request. Grows with each fruitless answer, but no further than saves
    /// time: a larger request delays the first start and the requests behind it.
    fn request_size(&self, cost: AdviceCost, waiting_tasks: usize) -> usize {
        let doublings = self.fruitless_answers.min(MAX_SIZE_DOUBLINGS);
        let wanted = FIRST_REQUEST_SIZE.max(waiting_tasks) << doublings;
        let max_executor_time = cost.per_request.as_micros() * MAX_EXECUTOR_TIME_RATIO;
        let economical = max_executor_time
            .checked_div(cost.per_executor.as_micros())
            .map_or(MAX_EXECUTORS_PER_REQUEST, |count| count as usize);
        wanted.min(economical.max(MIN_REQUEST_SIZE)).min(MAX_EXECUTORS_PER_REQUEST)
    }
}

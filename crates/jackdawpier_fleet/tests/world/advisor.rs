//! A model of the placement advisor: it takes time for each executor, handles one request at a time, and its tickets
//! hold for one incarnation of an executor.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jackdawpier_fleet::{
    fleet::{Command, StartOutcome},
    spec::{AdviceCost, TaskKey},
};

use super::World;

/// Maximum number of executors in a request.
const MAX_NAMED: usize = 100;
/// Maximum number of waiting requests.
const MAX_WAITING: usize = 32;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Given,
    /// The request is handled, but its answer is lost.
    Lost,
    /// The answer arrives later by this time.
    Late(Duration),
    /// The request is rejected at once.
    Rejected,
}

#[derive(Debug)]
struct Request {
    task: TaskKey,
    executors: Vec<Arc<str>>,
    /// When the answer arrives; none if it is lost.
    answered_at: Option<Duration>,
    times_out_at: Duration,
}

/// A ticket of a step for an executor: its text, the executor's incarnation, and when it expires.
#[derive(Debug)]
struct Ticket {
    text: Arc<str>,
    incarnation: Option<u64>,
    expires_at: Duration,
}

/// Step of an occurrence: job, occurrence and step.
type Step = (Arc<str>, u32, u32);

pub struct Advisor {
    pub cost: AdviceCost,
    pub validity: Duration,
    /// What becomes of each request, by its number.
    pub answers: fn(usize) -> Answer,
    /// Number of executors named in each request.
    pub named: Vec<usize>,
    /// Number of starts with a missing or invalid ticket.
    pub bad_tickets: usize,
    busy_until: Duration,
    pending: Vec<Request>,
    tickets: BTreeMap<(Step, Arc<str>), Ticket>,
}

impl Default for Advisor {
    fn default() -> Self {
        Self {
            cost: AdviceCost::default(),
            validity: Duration::from_secs(3),
            answers: |_| Answer::Given,
            named: Vec::new(),
            bad_tickets: 0,
            busy_until: Duration::ZERO,
            pending: Vec::new(),
            tickets: BTreeMap::new(),
        }
    }
}

fn step_of(task: &TaskKey) -> Step {
    (task.job.clone(), task.occurrence, task.step)
}

impl World {
    pub(super) fn receive_advice_request(
        &mut self,
        task: &TaskKey,
        executors: &[Arc<str>],
        timeout: Duration,
    ) {
        assert!(executors.len() <= MAX_NAMED, "{} executors in a request", executors.len());
        let now = self.now;
        let advisor = &mut self.advisor;
        let answer = (advisor.answers)(advisor.named.len());
        advisor.named.push(executors.len());
        self.advice_requests += 1;
        let is_full = advisor.pending.len() >= MAX_WAITING;
        if answer == Answer::Rejected || is_full {
            self.fleet.advice_failed(now, task);
            return;
        }
        let done_at = now.max(advisor.busy_until) + advisor.cost.of_request(executors.len());
        advisor.busy_until = done_at;
        let answered_at = match answer {
            Answer::Late(delay) => Some(done_at + delay),
            Answer::Given => Some(done_at),
            Answer::Lost | Answer::Rejected => None,
        };
        let (task, executors) = (task.clone(), executors.to_vec());
        let times_out_at = now + timeout;
        advisor.pending.push(Request { task, executors, answered_at, times_out_at });
    }

    pub(super) fn answer_advice_requests(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<Request>, Vec<Request>) =
            std::mem::take(&mut self.advisor.pending).into_iter().partition(|request| {
                now >= request.times_out_at || request.answered_at.is_some_and(|at| now >= at)
            });
        self.advisor.pending = rest;
        for request in due {
            if request.answered_at.is_none_or(|at| at > request.times_out_at) {
                self.fleet.advice_failed(now, &request.task);
                continue;
            }
            let allowed: Vec<Arc<str>> =
                request.executors.into_iter().filter(|id| self.approved.contains(id)).collect();
            let tickets = allowed.into_iter().filter_map(|id| {
                let ticket = self.issue_ticket(&request.task, &id)?;
                Some((id, ticket))
            });
            let approved = tickets.collect();
            self.fleet.advice_received(now, &request.task, approved, self.advisor.validity);
        }
    }

    /// Drops the requests of an owner whose process has ended. The advisor handles them all the same.
    pub(super) fn forget_advice_requests(&mut self) {
        self.advisor.pending.clear();
    }

    fn issue_ticket(&mut self, task: &TaskKey, id: &Arc<str>) -> Option<Arc<str>> {
        let incarnation = self.executors.get(id)?.info.incarnation;
        let expires_at = self.now + self.advisor.validity;
        let text: Arc<str> = format!("ticket-{id}").into();
        let ticket = Ticket { text: text.clone(), incarnation, expires_at };
        self.advisor.tickets.insert((step_of(task), id.clone()), ticket);
        Some(text)
    }

    /// Returns the rejection of a start without a valid ticket, if its queue needs one.
    pub(super) fn ticket_rejection(&mut self, start: &Command) -> Option<StartOutcome> {
        let Command::Start { executor, task, ticket, .. } = start else { return None };
        let queue = &self.submissions[&task.job].queue;
        if !self.queues.iter().any(|one| one.name == *queue && one.needs_advice) {
            return None;
        }
        let known = self.advisor.tickets.get(&(step_of(task), executor.clone()));
        let is_valid = known.is_some_and(|known| {
            Some(&known.text) == ticket.as_ref()
                && self.now < known.expires_at
                && self.executors[executor].info.incarnation == known.incarnation
        });
        if is_valid {
            return None;
        }
        self.advisor.bad_tickets += 1;
        Some(StartOutcome::BadTicket)
    }
}

//! Orders to executors on their way: answered, carried out without an answer, or late.

use std::{sync::Arc, time::Duration};

use jackdawpier_fleet::fleet::{Command, StartOutcome, StopOutcome};

use super::{World, executor::FakeExecutor};

/// What happens to orders to executors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    Answered,
    /// Carried out, but the answer is lost.
    AnswerLost,
    /// Not answered, and carried out this much later.
    Late(Duration),
}

impl World {
    pub(super) fn order(&mut self, command: Command) {
        match &command {
            Command::Machine(order) => {
                let at = self.now + self.machine_order_delay;
                self.noted.insert(order.machine.clone(), (self.now, self.fence));
                self.machine_orders_under_way.push((at, self.fence, order.clone()));
                if self.machine_order_delay.is_zero() {
                    self.order_machines();
                }
                return;
            }
            Command::Wave(_) => return,
            Command::Advise { task, executors } => {
                let approved = executors
                    .iter()
                    .filter(|id| self.approved.contains(*id))
                    .map(|id| (id.clone(), format!("ticket-{id}").into()))
                    .collect();
                self.advised += 1;
                self.fleet.advice_received(self.now, task, approved, Duration::from_secs(3));
                return;
            }
            Command::Start { .. } | Command::Stop { .. } | Command::Pace { .. } => {}
        }
        self.orders += 1;
        let lease = match &command {
            Command::Start { executor, .. } => self.fleet.order_lease(self.now, executor),
            _ => None,
        };
        let mut sent = Sent { fence: self.fence, lease, life: None, command };
        sent.life = sent.target().and_then(|id| self.executors.get(id)?.info.life);
        match (self.delivery)(self.orders) {
            Delivery::Answered => self.deliver(&sent, true),
            Delivery::AnswerLost => self.deliver(&sent, false),
            Delivery::Late(after) => {
                self.report_unanswered(&sent.command);
                self.late.push((self.now + after, sent));
            }
        }
    }

    pub(super) fn carry_out_late(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = rest;
        for (_, sent) in due {
            let is_there = |one: &FakeExecutor| one.info.life == sent.life;
            if sent.target().is_some_and(|id| !self.executors.get(id).is_some_and(is_there)) {
                continue;
            }
            if std::env::var("TRACE").is_ok() {
                println!("{:?} late: {:?} lease {:?}", self.now, sent.command, sent.lease);
            }
            self.execute(&sent);
        }
    }

    fn deliver(&mut self, sent: &Sent, is_answered: bool) {
        if let Command::Stop { executor, task, .. } = &sent.command
            && self.executors.get(executor).is_some_and(FakeExecutor::is_reachable)
        {
            self.check_spared(&executor.clone(), &task.clone());
        }
        let end = self.execute(sent);
        match (&sent.command, end) {
            (Command::Start { executor, task, run, .. }, Some(Executed::Start(end)))
                if is_answered =>
            {
                self.fleet.start_ended(self.now, executor, task, *run, end, true);
            }
            (Command::Stop { task, run, .. }, Some(Executed::Stop(end))) if is_answered => {
                self.fleet.stop_ended(self.now, task, *run, end);
            }
            _ => self.report_unanswered(&sent.command),
        }
    }

    fn report_unanswered(&mut self, command: &Command) {
        match command {
            Command::Start { executor, task, run, .. } => {
                let end = StartOutcome::Unanswered;
                self.fleet.start_ended(self.now, executor, task, *run, end, false);
            }
            Command::Stop { task, run, .. } => {
                self.fleet.stop_ended(self.now, task, *run, StopOutcome::NotTaken);
            }
            _ => {}
        }
    }

    fn execute(&mut self, sent: &Sent) -> Option<Executed> {
        let (now, fence) = (self.now, sent.fence);
        match &sent.command {
            Command::Start { executor, task, run, .. } => {
                let lease = sent.lease?;
                let spec = self.submissions[&task.job].spec.clone();
                let target = self.executors.get_mut(executor)?;
                if !target.is_reachable() {
                    return None;
                }
                Some(Executed::Start(target.start(now, fence, task, *run, &spec, lease)))
            }
            Command::Stop { executor, task, run, .. } => {
                let target = self.executors.get_mut(executor)?;
                if !target.is_reachable() {
                    return None;
                }
                Some(Executed::Stop(target.stop(now, fence, task, *run)))
            }
            Command::Pace { executor, task, percent, .. } => {
                self.executors.get_mut(executor)?.pace(task, *percent);
                None
            }
            _ => None,
        }
    }
}

/// An order on its way.
pub(super) struct Sent {
    fence: u64,
    /// The life that it reaches: an executor that starts again holds nothing of before.
    life: Option<u64>,
    lease: Option<Duration>,
    command: Command,
}

impl Sent {
    fn target(&self) -> Option<&Arc<str>> {
        match &self.command {
            Command::Start { executor, .. } | Command::Stop { executor, .. } => Some(executor),
            _ => None,
        }
    }
}

enum Executed {
    Start(StartOutcome),
    Stop(StopOutcome),
}

//! Delivers, delays and loses store calls, their answers, heartbeats and requests to executors.

use std::{sync::Arc, time::Duration};

use jackdawpier_coord::keys;
use jackdawpier_kernel::{
    ids::RequestKey,
    outcome::{Answer, Outcome, RefusalReason},
};
use jackdawpier_store::{Condition, Request, Response, StoreError, StoreResult};
use rand::RngExt;

use super::{ENTRIES, FaultKind, Mutations, Purpose, Violation, World};

pub(super) struct Call {
    pub(super) entry: usize,
    pub(super) incarnation: u64,
    pub(super) arrives_at: u64,
    pub(super) answer_at: Option<u64>,
    pub(super) request: Request,
    pub(super) purpose: Purpose,
}

pub(super) struct Delivery {
    pub(super) at: u64,
    pub(super) entry: usize,
    pub(super) incarnation: u64,
    pub(super) purpose: Purpose,
    pub(super) result: StoreResult,
}

pub(super) struct ExecutorRun {
    pub(super) at: u64,
    pub(super) key: RequestKey,
    pub(super) attempt: u64,
}

/// Steps after which an unanswered call is reported as ambiguous.
const TIMEOUT_STEPS: u64 = 20;

impl World {
    /// Sends an entry's call to the store, subject to the active faults.
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
        let is_partitioned = self.is_active(FaultKind::CutFromStore(index));
        if self.is_active(FaultKind::StoreDown) {
            let result = Err(StoreError::unavailable("down"));
            self.schedule_delivery(self.step + 1, index, incarnation, purpose, result);
            return;
        }
        if answer_at.is_none() || is_partitioned {
            let result = Err(StoreError::ambiguous("no answer"));
            let at = self.step + TIMEOUT_STEPS;
            self.schedule_delivery(at, index, incarnation, purpose.clone(), result);
        }
        if !is_partitioned {
            let entry = index;
            self.calls.push(Call { entry, incarnation, arrives_at, answer_at, request, purpose });
        }
    }

    pub(super) fn schedule_delivery(
        &mut self,
        at: u64,
        entry: usize,
        incarnation: u64,
        purpose: Purpose,
        result: StoreResult,
    ) {
        self.deliveries.push(Delivery { at, entry, incarnation, purpose, result });
    }

    pub(super) fn process_calls(&mut self) {
        let step = self.step;
        let (due, rest) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call: &Call| call.arrives_at <= step);
        self.calls = rest;
        let due: Vec<Call> = due;
        for call in due {
            let result = self.execute(call.request);
            if let Some(at) = call.answer_at {
                self.schedule_delivery(at, call.entry, call.incarnation, call.purpose, Ok(result));
            }
        }
    }

    pub(super) fn execute(&mut self, mut request: Request) -> Response {
        let now = self.now();
        if let Request::Put { key, condition, .. } = &mut request {
            let is_segment = keys::segment_number(key).is_some();
            let Mutations { ignores_fence, ignores_conditions, .. } = self.mutations;
            if is_segment && ignores_fence || !is_segment && ignores_conditions {
                *condition = Condition::Always;
            }
        }
        let is_coordination =
            matches!(&request, Request::Range { prefix, .. } if prefix == keys::COORDINATION);
        match &mut self.stale_store {
            // The snapshot and its leases stay at the time when the fault began.
            Some((at, stale_store)) if is_coordination => stale_store.call(*at, &request),
            _ => self.store.call(now, &request),
        }
    }

    pub(super) fn process_runs(&mut self) {
        let step = self.step;
        let due: Vec<ExecutorRun> = {
            let (due, rest) = std::mem::take(&mut self.runs)
                .into_iter()
                .partition(|run: &ExecutorRun| run.at <= step);
            self.runs = rest;
            due
        };
        for run in due {
            let count = self.run_counts.entry(Arc::clone(&run.key)).or_default();
            *count += 1;
            if *count > 1 {
                self.violations.push(Violation(format!("{} ran twice", run.key)));
            }
            self.ran_attempts.insert(run.attempt);
            let was_reported_not_run = self.reported.iter().any(|(_, attempt, outcome)| {
                *attempt == run.attempt && matches!(outcome, Outcome::NotRun { .. })
            });
            if was_reported_not_run {
                self.violations.push(Violation(format!("{} ran after \"not run\"", run.key)));
            }
        }
    }

    pub(super) fn deliver_results(&mut self) {
        let step = self.step;
        let (due, rest): (Vec<Delivery>, Vec<Delivery>) =
            std::mem::take(&mut self.deliveries).into_iter().partition(|delivery| {
                delivery.at <= step
                    && !self
                        .active_faults
                        .iter()
                        .any(|fault| fault.kind == FaultKind::Freeze(delivery.entry))
            });
        self.deliveries = rest;
        for delivery in due {
            let is_same_incarnation = self.entries[delivery.entry]
                .as_ref()
                .is_some_and(|entry| entry.incarnation == delivery.incarnation);
            if !is_same_incarnation {
                continue;
            }
            if let Purpose::Apply(id) = delivery.purpose {
                self.on_apply_result(id, delivery.result);
            } else {
                let now = self.now();
                let mutations = self.mutations;
                let entry = self.entries[delivery.entry].as_mut().expect("checked above");
                entry.on_result(now, mutations, delivery.purpose, delivery.result);
            }
        }
    }

    /// Sends a request from an entry to an executor, with a random delay and outcome.
    pub(super) fn send(&mut self, index: usize, key: &RequestKey, attempt: u64) {
        let delay = self.random.random_range(1..30);
        let draw = self.random.random_range(0..10);
        let Some(entry) = &mut self.entries[index] else { return };
        let outcome = match draw {
            0 => {
                Outcome::NotRun { reason: RefusalReason::NotConnected, retry_after: Duration::ZERO }
            }
            1 => Outcome::Unknown { detail: "answer lost".to_owned() },
            _ => Outcome::Answered(Answer {
                status: 200,
                content_type: String::new(),
                body: key.as_bytes().to_vec(),
            }),
        };
        let is_run = !matches!(outcome, Outcome::NotRun { .. });
        entry.pending_outcomes.push((self.step + delay + 1, Arc::clone(key), attempt, outcome));
        if is_run {
            let run = ExecutorRun { at: self.step + delay, key: Arc::clone(key), attempt };
            self.runs.push(run);
        }
    }

    pub(super) fn exchange_heartbeats(&mut self) {
        for from in 0..ENTRIES {
            for to in 0..ENTRIES {
                let is_partitioned = from == to
                    || self.is_frozen(from)
                    || self.is_frozen(to)
                    || self.is_active(FaultKind::CutFromPeers(from))
                    || self.is_active(FaultKind::CutFromPeers(to));
                if is_partitioned {
                    continue;
                }
                let now = self.now();
                let Some(sender) = &mut self.entries[from] else { continue };
                let (report, documents) = sender.heartbeat(now);
                if let Some(receiver) = &mut self.entries[to] {
                    receiver.on_heartbeat(now, self.mutations, report, documents);
                }
            }
        }
    }
}

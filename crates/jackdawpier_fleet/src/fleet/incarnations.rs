//! Handles executors that restart under the same id.
//!
//! A new incarnation has none of the state of the previous one: its clock and its sequence of ends start
//! over. See `docs/design/lives.md`.

use std::collections::BTreeSet;

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{Fleet, StopReason, losses::LossEvidence};
use crate::{
    executor::{Executor, ExecutorInfo, HoldReport, IncarnationId, TaskRef},
    job::{Phase, StopOrder},
};

/// The incarnation of an executor that a report comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportOrigin {
    /// The current one.
    Current,
    /// A previous one: the report was overtaken by later ones.
    Previous,
    /// A new one.
    New(IncarnationId),
}

impl Fleet {
    /// Handles a hold that an executor didn't answer. The next answer may come from a new incarnation.
    pub fn hold_failed(&mut self, now: Now, id: &str) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.failed_at.get_or_insert(now);
        }
    }

    /// Settles the runs of an executor's previous incarnation after the first report of a new one.
    pub(super) fn settle_previous_incarnation(
        &mut self,
        now: Now,
        sent_at: Now,
        id: &ExecutorId,
        report: &HoldReport,
    ) {
        let evidence = match self.machines.loss_evidence(id, self.machines.machine_of(id)) {
            LossEvidence::Unlisted => LossEvidence::Restarted,
            evidence => evidence,
        };
        let still_running: BTreeSet<TaskRef> = report
            .running
            .iter()
            .filter_map(|run| {
                let job = self.jobs.get(&run.task.job)?;
                let index = job.index(&run.task)?;
                (job.tasks[index].run == run.run).then(|| (job.id.clone(), index))
            })
            .collect();
        let Some(executor) = self.executors.get(id) else { return };
        let contact = executor.previous_last_contact;
        let lost: Vec<TaskRef> =
            executor.tasks.iter().filter(|task| !still_running.contains(*task)).cloned().collect();
        self.note_loss(now, id, evidence, &lost);
        if evidence != LossEvidence::Taken {
            self.note_crash(now, id, evidence == LossEvidence::Restarted, contact, &lost);
        }
        lost.iter().for_each(|task| self.settle_lost_run(now, sent_at, task));
        lost.iter().for_each(|task| self.give_up(now, task));
    }

    /// Settles a run that its restarted executor doesn't list. A start order in flight may still reach the
    /// new incarnation, so the run is stopped.
    fn settle_lost_run(&mut self, now: Now, sent_at: Now, task_ref: &TaskRef) {
        let Some(job) = self.jobs.get_mut(&task_ref.0) else { return };
        let task = &mut job.tasks[task_ref.1];
        match &mut task.phase {
            Phase::Running { since, .. } if *since < sent_at => self.end_run(now, task_ref, None),
            Phase::Starting { .. } => {
                self.stop_task(now, task_ref, StopReason::ExecutorRestarted);
            }
            Phase::Stopping { order, .. } => {
                if matches!(order, StopOrder::Taken { .. }) {
                    *order = StopOrder::Unanswered;
                }
                // The answers of the new incarnation don't concern this run.
                task.confirmed_at = None;
            }
            _ => {}
        }
    }
}

impl Executor {
    /// Returns which incarnation a report comes from.
    pub(super) fn report_origin(&mut self, report: &HoldReport) -> ReportOrigin {
        match (self.incarnation, report.incarnation) {
            (_, None) => ReportOrigin::Current,
            (None, Some(incarnation)) => {
                self.incarnation = Some(incarnation);
                ReportOrigin::Current
            }
            (Some(known), Some(incarnation)) if known == incarnation => ReportOrigin::Current,
            (Some(_), Some(incarnation)) if self.previous_incarnations.contains(&incarnation) => {
                ReportOrigin::Previous
            }
            (Some(_), Some(incarnation)) => ReportOrigin::New(incarnation),
        }
    }

    /// Whether an incarnation is neither the current nor a previous one.
    pub(super) fn is_unknown(&self, incarnation: IncarnationId) -> bool {
        self.incarnation != Some(incarnation) && !self.previous_incarnations.contains(&incarnation)
    }

    /// Updates the incarnation from the registry. If the known one is over, a new one begins.
    pub(super) fn note_registered(&mut self, now: Now, info: &ExecutorInfo) {
        let Some(incarnation) = info.incarnation else { return };
        let is_other = self.is_unknown(incarnation);
        match self.incarnation {
            None => self.incarnation = Some(incarnation),
            Some(_) if is_other && self.has_ended => self.begin_incarnation(now, incarnation),
            // Its first report settles the runs of the previous incarnation.
            Some(_) if is_other => {
                self.failed_at.get_or_insert(now);
            }
            Some(_) => {}
        }
    }
}

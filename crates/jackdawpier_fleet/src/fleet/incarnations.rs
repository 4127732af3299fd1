//! Executors that start again under the id that they had.
//!
//! A later life holds nothing of the former one, and its clock and its ends count anew. See
//! `docs/design/lives.md`.

use std::collections::BTreeSet;

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{Fleet, StopReason, losses::LossEvidence};
use crate::{
    executor::{Executor, ExecutorInfo, HoldReport, LifeId, TaskRef},
    job::{Phase, StopOrder},
};

/// What a report says of the life that it comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportOrigin {
    /// The one that is known.
    Current,
    /// One that was over before: the report has been overtaken.
    Previous,
    /// Another one.
    New(LifeId),
}

impl Fleet {
    /// An executor didn't answer a hold: it may be another life that answers the next one.
    pub fn hold_failed(&mut self, now: Now, id: &str) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.failed_at.get_or_insert(now);
        }
    }

    /// Settles what a former life of an executor ran, after its first report in another one.
    pub(super) fn settle_previous_incarnation(
        &mut self,
        now: Now,
        sent_at: Now,
        id: &ExecutorId,
        report: &HoldReport,
    ) {
        let evidence = match self.machines.why_gone(id, self.machines.machine_of(id)) {
            LossEvidence::Unlisted => LossEvidence::Restarted,
            evidence => evidence,
        };
        let here: BTreeSet<TaskRef> = report
            .running
            .iter()
            .filter_map(|run| {
                let job = self.jobs.get(&run.task.job)?;
                let index = job.index(&run.task)?;
                (job.tasks[index].run == run.run).then(|| (job.id.clone(), index))
            })
            .collect();
        let Some(executor) = self.executors.get(id) else { return };
        let signs = executor.former_end;
        let gone: Vec<TaskRef> =
            executor.tasks.iter().filter(|task| !here.contains(*task)).cloned().collect();
        self.note_loss(now, id, evidence, &gone);
        if evidence != LossEvidence::Taken {
            self.note_crash(now, id, evidence == LossEvidence::Restarted, signs, &gone);
        }
        gone.iter().for_each(|task| self.settle_lost_run(now, sent_at, task));
        gone.iter().for_each(|task| self.give_up(now, task));
    }

    /// A run that isn't there after its executor has started again. An order that is under way may reach
    /// the new life, which knows of no stop; so it is told.
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
                // What the new life answers says nothing of this run.
                task.confirmed_at = None;
            }
            _ => {}
        }
    }
}

impl Executor {
    /// Which life a report comes from.
    pub(super) fn report_origin(&mut self, report: &HoldReport) -> ReportOrigin {
        match (self.life, report.life) {
            (_, None) => ReportOrigin::Current,
            (None, Some(life)) => {
                self.life = Some(life);
                ReportOrigin::Current
            }
            (Some(known), Some(life)) if known == life => ReportOrigin::Current,
            (Some(_), Some(life)) if self.former_lives.contains(&life) => ReportOrigin::Previous,
            (Some(_), Some(life)) => ReportOrigin::New(life),
        }
    }

    /// Takes in what the registry says of its life: an executor whose life was over is there again.
    pub(super) fn note_registered(&mut self, now: Now, info: &ExecutorInfo) {
        let Some(life) = info.life else { return };
        let is_other = self.life != Some(life) && !self.former_lives.contains(&life);
        match self.life {
            None => self.life = Some(life),
            Some(_) if is_other && self.is_over => self.begin_life(now, life),
            // What runs there is settled by its own first report.
            Some(_) if is_other => {
                self.failed_at.get_or_insert(now);
            }
            Some(_) => {}
        }
    }
}

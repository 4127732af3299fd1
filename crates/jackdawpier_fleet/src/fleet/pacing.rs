//! Pace control of filler tasks beside tasks that serve users.
//!
//! A tail latency above its bound costs immediately, and the cause of interference changes within
//! seconds. So the pace is cut to zero when a tail approaches its bound and restored in small
//! steps.

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{Command, Fleet};
use crate::executor::{HoldReport, TaskRef};

/// The pace is cut when a tail exceeds this share of its bound.
const CUT_ABOVE_PERCENT: u64 = 85;
/// The pace is restored while all tails are at most at this share of their bounds.
const RESTORE_BELOW_PERCENT: u64 = 60;
/// Share of full speed that each report restores; from zero to full speed takes ten reports.
const RESTORE_STEP_PERCENT: u32 = 10;

impl Fleet {
    /// Adjusts the pace of an executor's filler tasks by the tails in one report.
    pub(super) fn pace_fillers(&mut self, _now: Now, id: &ExecutorId, report: &HoldReport) {
        let Some(executor) = self.executors.get(id) else { return };
        if executor.filler_tasks == 0 {
            return;
        }
        let worst_percent = self.worst_tail_percent(report);
        let fillers: Vec<TaskRef> = executor.tasks.iter().cloned().collect();
        for (job_id, index) in fillers {
            let Some(job) = self.jobs.get_mut(&job_id) else { continue };
            if !job.step(index).is_filler || job.is_over() {
                continue;
            }
            let key = job.key(index);
            let task = &mut job.tasks[index];
            if !matches!(task.phase, crate::job::Phase::Running { .. }) {
                continue;
            }
            let target_percent = match worst_percent {
                Some(percent) if percent > CUT_ABOVE_PERCENT => 0,
                Some(percent) if percent > RESTORE_BELOW_PERCENT => task.pace_percent,
                _ => (task.pace_percent + RESTORE_STEP_PERCENT).min(100),
            };
            // A pace order may have been lost, so the pace that the executor reports is compared,
            // once the task runs.
            let is_applied = task.speed_percent == target_percent || task.speed_percent == 0;
            if target_percent != task.pace_percent || !is_applied {
                task.pace_percent = target_percent;
                let (run, percent) = (task.run, target_percent);
                self.commands.push(Command::Pace { executor: id.clone(), task: key, run, percent });
            }
        }
    }

    /// Returns the tail nearest to its bound, in percent of the bound.
    fn worst_tail_percent(&self, report: &HoldReport) -> Option<u64> {
        let shares = report.running.iter().filter_map(|running| {
            let job = self.jobs.get(&running.task.job)?;
            let target = job.step(job.index(&running.task)?).tail_target?;
            Some(running.gauge * 100 / (target.as_millis() as u64).max(1))
        });
        shares.max()
    }
}

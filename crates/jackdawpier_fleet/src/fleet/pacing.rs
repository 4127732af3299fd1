//! How fast work that fills may go beside work that serves users.
//!
//! Tails over their bound cost at once, and by what they are disturbed changes within seconds: so
//! pace is cut to nothing when a tail nears its bound and comes back in small steps.

use jackdawpier_kernel::{Now, ids::ExecutorId};

use super::{Command, Fleet};
use crate::executor::{HoldReport, TaskRef};

/// Pace is cut when a tail is over this share of its bound, in percent.
const CUT_ABOVE_PERCENT: u64 = 85;
/// Pace comes back while all tails are under this share of their bounds, in percent.
const RETURN_BELOW_PERCENT: u64 = 60;
/// Each step back, in percent of full speed; from nothing to full speed takes ten reports.
const RETURN_STEP_PERCENT: u32 = 10;

impl Fleet {
    /// Adjusts the pace of work that fills, by the tails in one report.
    pub(super) fn pace_fillers(&mut self, _now: Now, id: &ExecutorId, report: &HoldReport) {
        let Some(executor) = self.executors.get(id) else { return };
        if executor.fillers == 0 {
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
            let wanted = match worst_percent {
                Some(percent) if percent > CUT_ABOVE_PERCENT => 0,
                Some(percent) if percent > RETURN_BELOW_PERCENT => task.pace_percent,
                _ => (task.pace_percent + RETURN_STEP_PERCENT).min(100),
            };
            // An order may have been lost: what the executor reports counts, once it is at work.
            let is_obeyed = task.percent == wanted || task.percent == 0;
            if wanted != task.pace_percent || !is_obeyed {
                task.pace_percent = wanted;
                let (run, percent) = (task.run, wanted);
                self.commands.push(Command::Pace { executor: id.clone(), task: key, run, percent });
            }
        }
    }

    /// The tail nearest to its bound, in percent of the bound.
    fn worst_tail_percent(&self, report: &HoldReport) -> Option<u64> {
        let shares = report.running.iter().filter_map(|running| {
            let job = self.jobs.get(&running.task.job)?;
            let target = job.step(job.index(&running.task)?).tail_target?;
            Some(running.gauge * 100 / (target.as_millis() as u64).max(1))
        });
        shares.max()
    }
}

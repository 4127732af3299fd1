//! Orders to stop runs: what is known of a run when one leaves.

use std::time::Duration;

use jackdawpier_kernel::Now;

use super::Fleet;
use crate::spec::{RunNumber, TaskKey};

/// What is known of a run of a long-running step when an order to stop it leaves, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSigns {
    /// How long ago its executor last listed it; none if it never did.
    pub listed_ago: Option<Duration>,
    /// Share of its full speed at that time, in percent.
    pub percent: u32,
    /// Other tasks of its step that aren't settled at work.
    pub others_away: u32,
    /// Tasks that its step may miss.
    pub may_miss: u32,
}

impl Fleet {
    /// What is known of a run now; none if it isn't the present one of a task that lasts.
    pub fn stop_signs(&self, now: Now, key: &TaskKey, run: RunNumber) -> Option<StopSigns> {
        let job = self.jobs.get(&key.job)?;
        let index = job.index(key).filter(|index| job.tasks[*index].run == run)?;
        let (task, step) = (&job.tasks[index], job.step(index));
        step.is_long_running.then(|| StopSigns {
            listed_ago: task.listed_at.map(|at| now.saturating_sub(at)),
            percent: task.listed_at.map_or(0, |_| task.percent),
            others_away: self.others_away(now, job, index),
            may_miss: step.may_miss,
        })
    }
}

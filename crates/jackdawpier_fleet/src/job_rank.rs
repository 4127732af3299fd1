//! The order in which waiting jobs get room.
//!
//! Under a burst of several times a pool's room somebody has to wait. A job that comes too late is
//! worth a fraction, so jobs that can still meet their objective go first, nearest deadline first;
//! those that can't follow in order of acceptance, so that none waits for ever.

use std::time::Duration;

use jackdawpier_kernel::Now;

use crate::{job::Job, policy::Policy, spec::Queue};

/// The place of a job in the order; lower goes first. A repeated job goes by its next occurrence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    priority: u32,
    lateness: Lateness,
    due: Now,
}

impl Rank {
    /// The job can't earn anything any more.
    pub(crate) fn is_expired(&self) -> bool {
        self.lateness == Lateness::Expired
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lateness {
    /// Runs until it is cancelled: every second without it costs.
    LongRunning,
    OnTime,
    Late,
    Expired,
}

/// A late job counts as late up to this many times its objective; after that it earns nothing.
const EXPIRED_AFTER_OBJECTIVES: u32 = 3;

/// The time that the queue gives a job from its acceptance.
pub(crate) fn objective(job: &Job, queue: &Queue) -> Duration {
    job.longest_chain().mul_f64(queue.slack_factor.max(0.0)) + queue.target
}

pub(crate) fn rank(now: Now, job: &Job, queue: &Queue, policy: Policy) -> Rank {
    let objective = objective(job, queue);
    let began_at = job.next_occurrence_began_at();
    let due = began_at + objective;
    let ends_at = now + job.remaining_estimate();
    let lateness = if job.has_long_running_tasks() {
        Lateness::LongRunning
    } else if ends_at <= due {
        Lateness::OnTime
    } else if ends_at <= began_at + objective * EXPIRED_AFTER_OBJECTIVES {
        Lateness::Late
    } else {
        Lateness::Expired
    };
    if !policy.orders_by_due_time && lateness != Lateness::LongRunning {
        return Rank { priority: queue.priority, lateness: Lateness::OnTime, due: began_at };
    }
    Rank { priority: queue.priority, lateness, due }
}

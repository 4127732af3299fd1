//! The order in which waiting jobs are placed.
//!
//! Under a burst that exceeds a pool's capacity several times some jobs must wait. A late job is worth a
//! fraction, so jobs that can still meet their objective go first, by earliest deadline; those that can't
//! follow in order of acceptance, which prevents starvation. Jobs beyond the share of their client account
//! are placed between the two, those first that have begun; see `docs/design/overload.md`.

use std::{cmp::Reverse, time::Duration};

use jackdawpier_kernel::Now;

use crate::{job::Job, policy::Policy, spec::Queue};

/// Sort key of a waiting job; lower ranks are placed first. A repeated job is ranked by its next occurrence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    priority: u32,
    lateness: Lateness,
    order: Order,
}

impl Rank {
    /// Returns the priority of the job's queue; the lowest is the most urgent.
    pub(crate) fn priority(&self) -> u32 {
        self.priority
    }

    /// Returns whether the job can no longer meet its objective.
    pub(crate) fn is_late(&self) -> bool {
        self.lateness >= Lateness::Late
    }

    /// Returns whether the job can meet its objective, or is long-running, and is within the share of its client
    /// account. Only such jobs take machines from other pools.
    pub(crate) fn is_primary(&self) -> bool {
        self.lateness < Lateness::OverShare
    }

    /// Returns whether the job is too late to have any value.
    pub(crate) fn is_expired(&self) -> bool {
        self.lateness == Lateness::Expired
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lateness {
    /// The job runs until it is cancelled, so each second of delay has a cost.
    LongRunning,
    OnTime,
    /// The job can meet its objective but exceeds the share of its client account.
    OverShare,
    Late,
    Expired,
}

/// Order of the jobs of one class of lateness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Order {
    ByDueTime(Now),
    /// By the beginning of the occurrence: under a lasting overload each job would start when it is almost late
    /// if the earliest due time went first.
    NewestFirst(Reverse<Now>),
}

/// Multiple of its objective after which a late job has no value any more.
const EXPIRED_AFTER_OBJECTIVES: u32 = 3;

/// Returns the time from acceptance within which the queue expects a job to complete.
pub(crate) fn objective(job: &Job, queue: &Queue) -> Duration {
    job.longest_chain().mul_f64(queue.slack_factor.max(0.0)) + queue.target
}

/// Computes the rank of a waiting job.
pub(crate) fn rank(now: Now, job: &Job, queue: &Queue, policy: Policy) -> Rank {
    let objective = objective(job, queue);
    let began_at = job.next_occurrence_began_at();
    let due = began_at + objective;
    let ends_at = now + job.remaining_estimate();
    let lateness = if job.has_long_running_tasks() {
        Lateness::LongRunning
    } else if ends_at <= due {
        if job.is_over_share { Lateness::OverShare } else { Lateness::OnTime }
    } else if ends_at <= began_at + objective * EXPIRED_AFTER_OBJECTIVES {
        Lateness::Late
    } else {
        Lateness::Expired
    };
    let priority = queue.priority;
    if !policy.orders_by_due_time && lateness != Lateness::LongRunning {
        return Rank { priority, lateness: Lateness::OnTime, order: Order::ByDueTime(began_at) };
    }
    // New work doesn't overtake work that has begun, of which a part would be wasted.
    let has_begun = job.has_begun || job.last_placed_at.is_some();
    let order = match lateness {
        Lateness::OverShare if !has_begun => Order::NewestFirst(Reverse(began_at)),
        _ => Order::ByDueTime(due),
    };
    Rank { priority, lateness, order }
}

//! Limits how much core time starved jobs get ahead of all others.
//!
//! Precedence keeps a job from waiting for the whole of an overload. Without a limit a backlog of
//! thousands of expired jobs takes all room from jobs that can still be on time, which then expire
//! in turn. See `docs/design/overload.md`.

use std::time::Duration;

use jackdawpier_kernel::Now;

/// Share of a service's cores for short tasks that starved jobs get ahead of others: one in twenty.
/// Work that can be on time keeps 95 % of the room, and under an overload without end a backlog that
/// takes the whole service one second still ends within 20 s.
const STARVED_DIVISOR: u64 = 20;
/// Period over which unused core time is kept, so a backlog of starved jobs gets at most 0.4 s of the
/// service's room at once, less than the slack of a usual objective. With a period of 1 s the first
/// starved jobs of a service of two machines kept a task that needs a whole machine waiting for more
/// than 12 s.
const KEEP_UNUSED: Duration = Duration::from_secs(8);
/// Maximum time until the next start after one that exceeded the budget. Estimates come from
/// callers, so one that is far too long must not end the precedence of all other starved jobs.
const MAX_DEBT: Duration = Duration::from_secs(20);
/// Minimum charge per task, since a caller may estimate nothing at all.
const MIN_TASK_TIME: Duration = Duration::from_millis(100);

/// Core time that the starved jobs of one service may still take ahead of others.
#[derive(Debug)]
pub(super) struct StarvedBudget {
    /// May be negative: a task starts if anything is left, so that those larger than the budget
    /// start, too.
    left_core_us: i64,
    updated_at: Now,
}

impl StarvedBudget {
    /// Creates a full budget of a service with `millicores` for short tasks.
    pub(super) fn new(now: Now, millicores: u64) -> Self {
        Self { left_core_us: share_core_us(millicores, KEEP_UNUSED), updated_at: now }
    }

    /// Adds the share of the time since the last call.
    pub(super) fn refill(&mut self, now: Now, millicores: u64) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let most = share_core_us(millicores, KEEP_UNUSED);
        let least = -share_core_us(millicores, MAX_DEBT);
        let added = share_core_us(millicores, elapsed.min(MAX_DEBT + KEEP_UNUSED));
        self.left_core_us = self.left_core_us.max(least).saturating_add(added).min(most);
    }

    /// Returns whether another task may start.
    pub(super) fn has_left(&self) -> bool {
        self.left_core_us > 0
    }

    /// Takes the core time of `tasks` tasks that start now.
    pub(super) fn take(&mut self, tasks: u64, task_millicores: u64, estimate: Duration) {
        let task_us = estimate.max(MIN_TASK_TIME).as_micros();
        let core_us = u128::from(tasks) * u128::from(task_millicores) * task_us / 1000;
        let core_us = i64::try_from(core_us).unwrap_or(i64::MAX);
        self.left_core_us = self.left_core_us.saturating_sub(core_us);
    }
}

fn share_core_us(millicores: u64, time: Duration) -> i64 {
    let core_us = u128::from(millicores / STARVED_DIVISOR) * time.as_micros() / 1000;
    i64::try_from(core_us).unwrap_or(i64::MAX)
}

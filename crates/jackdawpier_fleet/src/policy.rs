//! Switches for the mechanisms of placement and pool sizing. Each can be disabled to measure its effect
//! (see the table in `docs/design/load.md`); all are enabled in production.

/// Enabled mechanisms; [`Policy::default`] enables all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools, reason = "the switches are independent of each other")]
pub struct Policy {
    /// Orders waiting jobs by lateness and due time; otherwise by arrival.
    pub orders_by_due_time: bool,
    /// Places a task on the executor that it leaves with the least room; otherwise on the first that fits.
    pub uses_best_fit: bool,
    /// Reserves room for jobs that need much of it at once.
    pub reserves_room: bool,
    /// Keeps tasks that need no label off executors with a scarce label.
    pub avoids_scarce_labels: bool,
    /// Excludes an executor from placement for a while after many consecutive failures.
    pub excludes_failing_executors: bool,
    /// Isolates the start of a task whose executors have crashed: nothing else starts on the executor.
    pub isolates_suspects: bool,
    /// Prefers recently started tasks over long-established ones as the cause of an executor's crash.
    pub weighs_run_time: bool,
    /// Clears the other tasks on a crashed executor once one task is identified as the cause.
    pub attributes_crashes: bool,
    /// Includes the arrival rate in a pool's demand, beside running and waiting tasks.
    pub uses_arrival_rate: bool,
    /// Detects bursts over a quarter of a second, beside the rate over a second.
    pub detects_bursts: bool,
    /// Extrapolates a growing arrival rate to the time when moved machines become available.
    pub extrapolates_trend: bool,
    /// Keeps part of an equal share of the machines in a pool that currently needs less.
    pub keeps_minimum_share: bool,
    /// Migrates long-running tasks one by one off a machine that is to be moved or maintained.
    pub migrates_long_running: bool,
    /// Relocates long-running tasks to make room for work that otherwise never fits.
    pub defragments: bool,
    /// Puts jobs beyond the share of their client account behind other jobs.
    pub enforces_shares: bool,
    /// Limits how much room starved jobs get ahead of all others.
    pub limits_starved_jobs: bool,
    /// Moves busy machines from pools with late work to pools that lack machines for work that can be on time.
    pub takes_busy_machines: bool,
    /// Rejects a part of the jobs beyond the share of their client account while they can't end on time.
    pub rejects_over_share: bool,
    /// Lets more executors start suspect tasks in isolation while many of them wait.
    pub widens_isolation: bool,
    /// Keeps new tasks off executors that are observed to be slow.
    pub avoids_slow_executors: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            orders_by_due_time: true,
            uses_best_fit: true,
            reserves_room: true,
            avoids_scarce_labels: true,
            excludes_failing_executors: true,
            isolates_suspects: true,
            weighs_run_time: true,
            attributes_crashes: true,
            uses_arrival_rate: true,
            detects_bursts: true,
            extrapolates_trend: true,
            keeps_minimum_share: true,
            migrates_long_running: true,
            defragments: true,
            enforces_shares: true,
            limits_starved_jobs: true,
            takes_busy_machines: true,
            rejects_over_share: true,
            widens_isolation: true,
            avoids_slow_executors: true,
        }
    }
}

//! The mechanisms of placing and moving that can be switched off one by one, to measure what each is
//! worth (`docs/design/load.md` has the table). All are on in service.

/// Which mechanisms decide; [`Policy::default`] has all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
pub struct Policy {
    /// Waiting jobs go by what they can still reach and by their due time; without it, by arrival.
    pub orders_by_due_time: bool,
    /// A task goes where it leaves least room; without it, to the first executor that has some.
    pub uses_best_fit: bool,
    /// Room is held for jobs that wait for much of it at once.
    pub reserves_room: bool,
    /// Work that needs no label leaves room on executors with a scarce one.
    pub avoids_scarce_labels: bool,
    /// An executor that fails many runs in a row is left out for a while.
    pub excludes_failing_executors: bool,
    /// A task under which executors have crashed starts where nothing else starts beside it.
    pub isolates_suspects: bool,
    /// What had been on an executor for long is hardly blamed for a crash beside what had just begun.
    pub weighs_run_time: bool,
    /// Once a task turns out to be the cause of a crash the others that were there aren't suspected for it.
    pub attributes_crashes: bool,
    /// The rate of arrivals counts towards what a pool needs, not only what runs and waits.
    pub uses_arrival_rate: bool,
    /// A rise within a quarter of a second counts as well as the rate over a second.
    pub detects_bursts: bool,
    /// A rate of arrivals that grows counts as what it will be when machines could come.
    pub extrapolates_trend: bool,
    /// A pool keeps part of an equal share of the machines though it needs less now.
    pub keeps_minimum_share: bool,
    /// A machine that is to be taken gives its long-running tasks away one by one.
    pub migrates_long_running: bool,
    /// Lasting tasks move beside others for work that else never finds room.
    pub defragments: bool,
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
        }
    }
}

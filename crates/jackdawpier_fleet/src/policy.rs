//! The mechanisms of placing and moving that can be switched off one by one, to measure what each is
//! worth (`docs/design/load.md` has the table). All are on in service.

/// Which mechanisms decide; [`Policy::default`] has all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
pub struct Policy {
    /// Waiting jobs go by what they can still reach and by their due time; without it, by arrival.
    pub orders_by_due: bool,
    /// A task goes where it leaves least room; without it, to the first executor that has some.
    pub fits_tightly: bool,
    /// Room is held for jobs that wait for much of it at once.
    pub holds_room: bool,
    /// Work that needs no label leaves room on executors with a scarce one.
    pub spares_labels: bool,
    /// An executor that fails many runs in a row is left out for a while.
    pub leaves_out_suspects: bool,
    /// A task under which executors have crashed starts where nothing else starts beside it.
    pub watches_suspects: bool,
    /// What had been on an executor for long is hardly blamed for a crash beside what had just begun.
    pub weighs_life: bool,
    /// Once a task turns out to be the cause of a crash the others that were there aren't suspected for it.
    pub explains_crashes: bool,
    /// The rate of arrivals counts towards what a pool needs, not only what runs and waits.
    pub follows_arrivals: bool,
    /// A rise within a quarter of a second counts as well as the rate over a second.
    pub sees_rises: bool,
    /// A rate of arrivals that grows counts as what it will be when machines could come.
    pub follows_trend: bool,
    /// A pool keeps part of an equal share of the machines though it needs less now.
    pub keeps_share: bool,
    /// A machine that is to be taken gives its long-running tasks away one by one.
    pub gives_away: bool,
    /// Lasting tasks move beside others for work that else never finds room.
    pub makes_room: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            orders_by_due: true,
            fits_tightly: true,
            holds_room: true,
            spares_labels: true,
            leaves_out_suspects: true,
            watches_suspects: true,
            weighs_life: true,
            explains_crashes: true,
            follows_arrivals: true,
            sees_rises: true,
            follows_trend: true,
            keeps_share: true,
            gives_away: true,
            makes_room: true,
        }
    }
}

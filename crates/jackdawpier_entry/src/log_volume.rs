//! How much is logged: in a burst what there is most of is left out and counted, and the rare decisions,
//! such as those that end a caller's work, stand.

use std::collections::HashMap;

use jackdawpier_kernel::Now;

/// Events of which a busy owner has hundreds a second.
const ROUTINE: [&str; 9] = [
    "answered",
    "job_in",
    "pace",
    "pool_lacks",
    "question",
    "task_ended",
    "task_started",
    "task_suspect",
    "task_waits",
];
/// Lines of one routine kind a second; a busy owner starts and ends some 400 tasks a second.
const ROUTINE_LINES_PER_S: u32 = 500;
/// Lines of any other kind a second: all stops of the largest wave of cancellations.
const RARE_LINES_PER_S: u32 = 4000;

/// Lines of one kind that a second left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuppressedLines {
    /// The kind.
    pub kind: &'static str,
    /// How many.
    pub lines: u64,
}

#[derive(Debug, Default)]
struct Rate {
    written: u32,
    left_out: u64,
}

/// Counts the lines of each kind in a second.
#[derive(Debug, Default)]
pub struct LogVolume {
    rates: HashMap<&'static str, Rate>,
    second: u64,
}

impl LogVolume {
    /// Begins to count anew with each second, and returns what the last one left out.
    pub fn begin_second(&mut self, now: Now) -> Vec<SuppressedLines> {
        if self.second == now.as_secs() {
            return Vec::new();
        }
        self.second = now.as_secs();
        let rates = std::mem::take(&mut self.rates);
        rates
            .into_iter()
            .filter(|(_, rate)| rate.left_out > 0)
            .map(|(kind, rate)| SuppressedLines { kind, lines: rate.left_out })
            .collect()
    }

    /// Whether there have been few enough lines of this kind in this second for one more.
    pub fn admit(&mut self, kind: &'static str) -> bool {
        let most = if is_routine(kind) { ROUTINE_LINES_PER_S } else { RARE_LINES_PER_S };
        let rate = self.rates.entry(kind).or_default();
        let is_admitted = rate.written < most;
        rate.written += u32::from(is_admitted);
        rate.left_out += u64::from(!is_admitted);
        is_admitted
    }
}

/// Whether there are so many of this kind that a burst may leave some out.
pub(crate) fn is_routine(kind: &str) -> bool {
    ROUTINE.contains(&kind)
}

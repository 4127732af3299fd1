//! Rate limits of log lines: in a burst frequent kinds are suppressed and counted, while rare decisions, such
//! as those that end a caller's work, are logged.

use std::collections::HashMap;

use jackdawpier_kernel::Now;

/// Kinds of events that a busy owner emits hundreds of times a second.
const ROUTINE_KINDS: [&str; 11] = [
    "answered",
    "body_refused",
    "job_in",
    "no_job_room",
    "pace",
    "pool_lacks",
    "question",
    "task_ended",
    "task_started",
    "task_suspect",
    "task_waits",
];
/// Maximum lines per second of each routine kind; a busy owner starts and ends about 400 tasks a second.
const MAX_ROUTINE_LINES_PER_S: u32 = 500;
/// Maximum lines per second of each other kind: enough for all stops of the largest wave of cancellations.
const MAX_RARE_LINES_PER_S: u32 = 4000;

/// Number of lines of one kind that were suppressed within a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuppressedLines {
    /// Kind of the event.
    pub kind: &'static str,
    /// Number of suppressed lines.
    pub lines: u64,
}

#[derive(Debug, Default)]
struct LineCounts {
    written: u32,
    suppressed: u64,
}

/// Limits the number of lines of each kind per second.
#[derive(Debug, Default)]
pub struct LogVolume {
    counts: HashMap<&'static str, LineCounts>,
    second: u64,
}

impl LogVolume {
    /// Resets the counts at the begin of each second, and returns the lines suppressed in the previous one.
    pub fn begin_second(&mut self, now: Now) -> Vec<SuppressedLines> {
        if self.second == now.as_secs() {
            return Vec::new();
        }
        self.second = now.as_secs();
        let counts = std::mem::take(&mut self.counts);
        counts
            .into_iter()
            .filter(|(_, counts)| counts.suppressed > 0)
            .map(|(kind, counts)| SuppressedLines { kind, lines: counts.suppressed })
            .collect()
    }

    /// Counts a line and returns whether the limit of its kind allows it in this second.
    pub fn admit(&mut self, kind: &'static str) -> bool {
        let max_lines =
            if is_routine(kind) { MAX_ROUTINE_LINES_PER_S } else { MAX_RARE_LINES_PER_S };
        let counts = self.counts.entry(kind).or_default();
        let is_admitted = counts.written < max_lines;
        counts.written += u32::from(is_admitted);
        counts.suppressed += u64::from(!is_admitted);
        is_admitted
    }
}

/// Returns whether a kind is so frequent that its lines may be suppressed in a burst.
pub(crate) fn is_routine(kind: &str) -> bool {
    ROUTINE_KINDS.contains(&kind)
}

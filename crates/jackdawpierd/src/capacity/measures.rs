//! Daily sums of the users' measures: buffer cost, moves and roll-out time.

use serde::{Deserialize, Serialize};

/// Interval at which the sums of the current day are written.
const WRITE_INTERVAL_S: u64 = 60;

/// Sums of one day; `day` counts the days since 1 January 1970.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DayMeasures {
    pub(crate) day: u64,
    /// Instances beyond the need, in instance seconds.
    pub(crate) buffer_instance_s: f64,
    /// Observed time.
    pub(crate) observed_s: f64,
    /// Number of moves between pools.
    pub(crate) moves: u64,
    /// Number of waves that ended.
    pub(crate) waves: u64,
    /// Total time of these waves from start to end.
    pub(crate) roll_out_s: f64,
}

/// Sums of the current day, and when they were last written.
#[derive(Debug, Default)]
pub(crate) struct Measures {
    pub(crate) today: DayMeasures,
    last_updated_s: Option<u64>,
    last_written_s: u64,
    wave_started_s: Option<u64>,
}

impl Measures {
    /// Continues with the sums that a previous holder wrote.
    pub(crate) fn recover(&mut self, day: DayMeasures) {
        if day.day >= self.today.day {
            self.today = day;
        }
    }

    /// Adds the time since the last call, with this buffer. Returns the sums to write now: those of
    /// the previous day when a day has ended, else those of today when they are due.
    pub(crate) fn accumulate(&mut self, now_s: u64, day: u64, buffer: u64) -> Option<DayMeasures> {
        let finished = (self.today.day != day).then(|| {
            std::mem::replace(&mut self.today, DayMeasures { day, ..DayMeasures::default() })
        });
        let passed_s = self.last_updated_s.map_or(0, |last| now_s.saturating_sub(last));
        self.last_updated_s = Some(now_s);
        self.today.buffer_instance_s += (buffer * passed_s) as f64;
        self.today.observed_s += passed_s as f64;
        if let Some(finished) = finished.filter(|day| day.observed_s > 0.0) {
            return Some(finished);
        }
        let is_due = now_s >= self.last_written_s + WRITE_INTERVAL_S;
        if is_due {
            self.last_written_s = now_s;
        }
        is_due.then(|| self.today.clone())
    }

    /// Tracks whether a wave is in progress, and adds up its duration when it ends.
    pub(crate) fn on_wave_status(&mut self, now_s: u64, is_running: bool) {
        match (self.wave_started_s, is_running) {
            (None, true) => self.wave_started_s = Some(now_s),
            (Some(since), false) => {
                self.wave_started_s = None;
                self.today.waves += 1;
                self.today.roll_out_s += now_s.saturating_sub(since) as f64;
            }
            _ => {}
        }
    }
}

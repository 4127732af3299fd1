//! Learned daily demand pattern in slots of 15 minutes, separate for quiet and ordinary days.
//!
//! Each slot keeps an exponentially smoothed mean and mean deviation. A factor that compares
//! today's demand with the pattern scales the forecast. Everything is learned; no pattern is
//! configured. See `docs/design/demand.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of slots in a day.
pub const SLOTS_PER_DAY: usize = 96;
/// Length of a slot.
pub const SLOT_LENGTH: Duration = Duration::from_secs(15 * 60);
const DAY: Duration = Duration::from_secs(24 * 3600);
/// Excess below this is treated as a rounding error and doesn't add a whole instance.
const ROUNDING_TOLERANCE_INSTANCES: f64 = 0.01;
/// Smoothing factor of a slot, applied once a day.
const SLOT_SMOOTHING: f64 = 0.3;
/// Smoothing factor of the ratio of today's demand to the pattern, applied once a slot.
const TODAY_RATIO_SMOOTHING: f64 = 0.2;

/// Kind of day; each kind has its own pattern.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DayKind {
    /// A working day.
    Ordinary,
    /// A weekend day or a holiday.
    Quiet,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Slot {
    mean: f64,
    #[serde(rename = "spread")]
    deviation: f64,
    days: u32,
}

/// Learned demand of one pool, in instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DemandPattern {
    ordinary: Vec<Slot>,
    quiet: Vec<Slot>,
    #[serde(rename = "today")]
    today_ratio: f64,
    peak: f64,
}

fn slot_index(time: Duration) -> usize {
    ((time.as_secs() % DAY.as_secs()) / SLOT_LENGTH.as_secs()) as usize
}

impl DemandPattern {
    /// Returns a pattern that expects the declared peak in every slot that has no observation yet.
    pub fn new(peak: u32) -> Self {
        let slot = Slot { mean: f64::from(peak), deviation: 0.0, days: 0 };
        Self {
            ordinary: vec![slot.clone(); SLOTS_PER_DAY],
            quiet: vec![slot; SLOTS_PER_DAY],
            today_ratio: 1.0,
            peak: f64::from(peak),
        }
    }

    /// Updates the declared peak.
    pub fn set_peak(&mut self, peak: u32) {
        self.peak = f64::from(peak);
    }

    fn slots(&self, kind: DayKind) -> &[Slot] {
        match kind {
            DayKind::Ordinary => &self.ordinary,
            DayKind::Quiet => &self.quiet,
        }
    }

    /// Records the demand of the slot at `time`, which counts from an arbitrary midnight.
    pub fn observe(&mut self, time: Duration, kind: DayKind, demand: f64) {
        let slots = match kind {
            DayKind::Ordinary => &mut self.ordinary,
            DayKind::Quiet => &mut self.quiet,
        };
        let slot = &mut slots[slot_index(time)];
        if slot.days > 0 {
            let ratio = (demand / slot.mean.max(0.01)).clamp(0.5, 2.0);
            self.today_ratio += (ratio - self.today_ratio) * TODAY_RATIO_SMOOTHING;
        }
        let error = demand - slot.mean;
        if slot.days == 0 {
            slot.mean = demand;
            slot.deviation = demand * 0.05;
        } else {
            slot.mean += error * SLOT_SMOOTHING;
            slot.deviation += (error.abs() - slot.deviation) * SLOT_SMOOTHING;
        }
        slot.days += 1;
    }

    /// Returns the largest demand expected between `from` and `until`, in whole instances:
    /// `safety_factor` mean deviations above the mean, but never above the declared peak.
    pub fn max_expected(
        &self,
        from: Duration,
        until: Duration,
        kind: DayKind,
        safety_factor: f64,
    ) -> u32 {
        let slots = self.slots(kind);
        let (first, last) = (slot_index(from), slot_index(until));
        let count = (last + SLOTS_PER_DAY - first) % SLOTS_PER_DAY;
        let largest = (0..=count)
            .map(|step| &slots[(first + step) % SLOTS_PER_DAY])
            .map(|slot| {
                if slot.days == 0 {
                    self.peak
                } else {
                    slot.mean * self.today_ratio + slot.deviation * safety_factor
                }
            })
            .fold(0.0, f64::max);
        (largest.min(self.peak) - ROUNDING_TOLERANCE_INSTANCES).ceil() as u32
    }
}

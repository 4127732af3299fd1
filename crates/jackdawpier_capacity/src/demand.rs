//! The learned pattern of demand: by the quarter of an hour, apart for quiet and ordinary days.
//!
//! Mornings come at the same time each day, nights and holidays are quiet. Each slot keeps a
//! smoothed mean and spread; today's level against the pattern corrects the forecast. Nothing of
//! it is declared. See `docs/design/demand.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Slots of a day.
pub const SLOTS_PER_DAY: usize = 96;
/// Length of a slot.
pub const SLOT_LENGTH: Duration = Duration::from_secs(15 * 60);
const DAY: Duration = Duration::from_secs(24 * 3600);
/// A hundredth of an instance is rounding and asks for no whole one.
const ROUNDING: f64 = 0.01;
/// Weight of a new day in the pattern.
const SMOOTHING: f64 = 0.3;
/// Weight of a new observation in today's correction.
const TODAY_SMOOTHING: f64 = 0.2;

/// Kinds of days with a pattern of their own.
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
    spread: f64,
    days: u32,
}

/// Demand of one pool, in instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DemandPattern {
    ordinary: Vec<Slot>,
    quiet: Vec<Slot>,
    today: f64,
    peak: f64,
}

fn slot_of(time: Duration) -> usize {
    ((time.as_secs() % DAY.as_secs()) / SLOT_LENGTH.as_secs()) as usize
}

impl DemandPattern {
    /// Returns a pattern that assumes the declared peak at all times, until it has learned.
    pub fn new(peak: u32) -> Self {
        let slot = Slot { mean: f64::from(peak), spread: 0.0, days: 0 };
        Self {
            ordinary: vec![slot.clone(); SLOTS_PER_DAY],
            quiet: vec![slot; SLOTS_PER_DAY],
            today: 1.0,
            peak: f64::from(peak),
        }
    }

    /// Follows a declared peak that was changed.
    pub fn set_peak(&mut self, peak: u32) {
        self.peak = f64::from(peak);
    }

    fn slots(&self, kind: DayKind) -> &[Slot] {
        match kind {
            DayKind::Ordinary => &self.ordinary,
            DayKind::Quiet => &self.quiet,
        }
    }

    /// Learns the demand of a slot, at `time` since some midnight.
    pub fn observe(&mut self, time: Duration, kind: DayKind, demand: f64) {
        let slots = match kind {
            DayKind::Ordinary => &mut self.ordinary,
            DayKind::Quiet => &mut self.quiet,
        };
        let slot = &mut slots[slot_of(time)];
        if slot.days > 0 {
            let ratio = (demand / slot.mean.max(0.01)).clamp(0.5, 2.0);
            self.today += (ratio - self.today) * TODAY_SMOOTHING;
        }
        let error = demand - slot.mean;
        if slot.days == 0 {
            slot.mean = demand;
            slot.spread = demand * 0.05;
        } else {
            slot.mean += error * SMOOTHING;
            slot.spread += (error.abs() - slot.spread) * SMOOTHING;
        }
        slot.days += 1;
    }

    /// The largest demand expected between `from` and `until`, in whole instances, with `safety_factor`
    /// spreads on top of the mean.
    pub fn max_expected(
        &self,
        from: Duration,
        until: Duration,
        kind: DayKind,
        safety_factor: f64,
    ) -> u32 {
        let slots = self.slots(kind);
        let (first, last) = (slot_of(from), slot_of(until));
        let count = (last + SLOTS_PER_DAY - first) % SLOTS_PER_DAY;
        let largest = (0..=count)
            .map(|step| &slots[(first + step) % SLOTS_PER_DAY])
            .map(|slot| {
                if slot.days == 0 {
                    self.peak
                } else {
                    slot.mean * self.today + slot.spread * safety_factor
                }
            })
            .fold(0.0, f64::max);
        (largest.min(self.peak) - ROUNDING).ceil() as u32
    }
}

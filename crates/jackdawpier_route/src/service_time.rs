//! Learned service time of a class: mean and mean deviation of finished attempts.

use std::time::Duration;

/// A new sample has the weight of one part in this many.
const SMOOTHING_DIVISOR: f64 = 16.0;
/// The mean before the first sample is the class's target time divided by this.
const INITIAL_MEAN_DIVISOR: u32 = 8;

/// Exponentially smoothed mean and mean deviation of the time an attempt takes.
#[derive(Debug, Clone)]
pub struct ServiceTime {
    mean_s: f64,
    deviation_s: f64,
    sample_count: u64,
}

impl ServiceTime {
    /// Returns an estimate for a class that must finish within `finish_within`.
    pub fn new(finish_within: Duration) -> Self {
        let mean_s = (finish_within / INITIAL_MEAN_DIVISOR).as_secs_f64();
        Self { mean_s, deviation_s: 0.0, sample_count: 0 }
    }

    /// Adds the time of one finished attempt.
    pub fn observe(&mut self, took: Duration) {
        let sample_s = took.as_secs_f64();
        if self.sample_count == 0 {
            self.mean_s = sample_s;
        }
        self.sample_count += 1;
        let error_s = sample_s - self.mean_s;
        self.mean_s += error_s / SMOOTHING_DIVISOR;
        self.deviation_s += (error_s.abs() - self.deviation_s) / SMOOTHING_DIVISOR;
    }

    /// Returns the mean time of an attempt.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns a time that most attempts don't exceed: the mean plus two mean deviations.
    pub fn upper_estimate(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + 2.0 * self.deviation_s)
    }
}

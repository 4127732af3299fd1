//! Estimates task sizes from reported usage, per class and customer.
//!
//! Declared sizes are inaccurate in both directions. The estimator tracks the mean and the mean
//! deviation of the ratio of used to declared cores and memory, from reports that lag behind the
//! real usage. Placement reserves mean plus deviation, which approaches the mean as the deviation
//! shrinks. See `docs/design/placement.md`.

use std::collections::HashMap;

use jackdawpier_kernel::{
    ids::{ClassName, CustomerName},
    task::TaskResources,
};

/// Weight of one sample in the moving averages is the reciprocal of this.
const SMOOTHING: f64 = 8.0;
/// Mean deviation assumed before the first report, as a share of the declared size.
const INITIAL_DEVIATION: f64 = 0.5;
/// Samples are clamped to this range, because more extreme ones are measuring errors.
const MIN_RATIO: f64 = 0.05;
const MAX_RATIO: f64 = 16.0;

#[derive(Debug, Clone)]
struct Ratio {
    mean: f64,
    deviation: f64,
}

impl Default for Ratio {
    fn default() -> Self {
        Self { mean: 1.0, deviation: INITIAL_DEVIATION }
    }
}

impl Ratio {
    fn observe(&mut self, sample: f64, is_first: bool) {
        let sample = sample.clamp(MIN_RATIO, MAX_RATIO);
        if is_first {
            self.mean = sample;
        }
        let error = sample - self.mean;
        self.mean += error / SMOOTHING;
        self.deviation += (error.abs() - self.deviation) / SMOOTHING;
    }

    /// Returns the mean plus one mean deviation.
    fn upper_estimate(&self) -> f64 {
        self.mean + self.deviation
    }
}

#[derive(Debug, Clone, Default)]
struct SizeRatios {
    cores: Ratio,
    memory: Ratio,
    report_count: u64,
}

/// Size estimates by class and customer.
#[derive(Debug, Default)]
pub struct SizeEstimator {
    by_class_and_customer: HashMap<(ClassName, CustomerName), SizeRatios>,
}

fn ratio(used: u64, declared: u64) -> f64 {
    used as f64 / declared.max(1) as f64
}

fn scale(value: u64, factor: f64) -> u64 {
    (value as f64 * factor).ceil() as u64
}

impl SizeEstimator {
    /// Records the usage that a running task reported.
    pub fn observe(
        &mut self,
        class: &ClassName,
        customer: &CustomerName,
        declared: TaskResources,
        used: TaskResources,
    ) {
        if used == TaskResources::default() {
            return;
        }
        let ratios =
            self.by_class_and_customer.entry((class.clone(), customer.clone())).or_default();
        let is_first = ratios.report_count == 0;
        ratios.cores.observe(ratio(used.cores_milli, declared.cores_milli), is_first);
        ratios.memory.observe(ratio(used.memory_mb, declared.memory_mb), is_first);
        ratios.report_count += 1;
    }

    /// Returns the size to reserve for a task. Until there is a report, this is the declared size,
    /// since a task that runs out of memory kills the other tasks on its worker.
    pub fn estimate(
        &self,
        class: &ClassName,
        customer: &CustomerName,
        declared: TaskResources,
    ) -> TaskResources {
        let Some(ratios) = self.by_class_and_customer.get(&(class.clone(), customer.clone()))
        else {
            return declared;
        };
        TaskResources {
            cores_milli: scale(declared.cores_milli, ratios.cores.upper_estimate()),
            memory_mb: scale(declared.memory_mb, ratios.memory.upper_estimate()),
            accelerators: declared.accelerators,
        }
    }
}

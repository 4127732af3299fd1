//! Learned correction of declared sizes, per class and customer.
//!
//! Declared sizes are far off, in both directions. The ratio of used to declared cores is learned
//! from lagging reports with its spread; placement charges a cautious ratio that falls to the
//! mean as the spread shrinks. See `docs/design/placement.md`.

use std::collections::HashMap;

use jackdawpier_kernel::{
    ids::{ClassName, CustomerName},
    task::TaskResources,
};

const SMOOTHING: f64 = 8.0;
/// Spread assumed before the first report, as a share of the declared size.
const FIRST_SPREAD: f64 = 0.5;
/// Corrections outside this range are taken for measuring errors.
const MIN_RATIO: f64 = 0.05;
const MAX_RATIO: f64 = 16.0;

#[derive(Debug, Clone)]
struct Ratio {
    mean: f64,
    spread: f64,
}

impl Default for Ratio {
    fn default() -> Self {
        Self { mean: 1.0, spread: FIRST_SPREAD }
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
        self.spread += (error.abs() - self.spread) / SMOOTHING;
    }

    /// Mean with one mean deviation on top.
    fn cautious(&self) -> f64 {
        self.mean + self.spread
    }
}

#[derive(Debug, Clone, Default)]
struct Learned {
    cores: Ratio,
    memory: Ratio,
    sample_count: u64,
}

/// Corrections by class and customer.
#[derive(Debug, Default)]
pub struct SizeEstimator {
    by_owner: HashMap<(ClassName, CustomerName), Learned>,
}

fn ratio(used: u64, declared: u64) -> f64 {
    used as f64 / declared.max(1) as f64
}

fn scale(value: u64, factor: f64) -> u64 {
    (value as f64 * factor).ceil() as u64
}

impl SizeEstimator {
    /// Learns from one report of a running task.
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
        let learned = self.by_owner.entry((class.clone(), customer.clone())).or_default();
        let is_first = learned.sample_count == 0;
        learned.cores.observe(ratio(used.cores_milli, declared.cores_milli), is_first);
        learned.memory.observe(ratio(used.memory_mb, declared.memory_mb), is_first);
        learned.sample_count += 1;
    }

    /// The size to reserve for a task. Memory is never reserved below what was declared until a
    /// report has come, since running out of it kills the neighbours.
    pub fn estimate(
        &self,
        class: &ClassName,
        customer: &CustomerName,
        declared: TaskResources,
    ) -> TaskResources {
        let Some(learned) = self.by_owner.get(&(class.clone(), customer.clone())) else {
            return declared;
        };
        TaskResources {
            cores_milli: scale(declared.cores_milli, learned.cores.cautious()),
            memory_mb: scale(declared.memory_mb, learned.memory.cautious()),
            accelerators: declared.accelerators,
        }
    }
}

//! Observed run times of each queue relative to the callers' estimates, and what a run says about the speed of its
//! executor.
//!
//! Estimates are off by a factor whose logarithm has a standard deviation of 0.5 to 0.9, so a single long run proves
//! nothing. Runs are therefore weighed by their likelihood ratio: how much more likely they are on an executor that is
//! slower by a given factor than on one of the usual speed. See `docs/design/overload.md`.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::Now;

use crate::spec::QueueName;

/// Minimum number of jobs over which the mean and the deviation of a queue are averaged.
const AVERAGED_JOBS: f64 = 200.0;
/// Time over which they are averaged if more jobs end in it than [`AVERAGED_JOBS`]. Otherwise a queue with thousands of
/// jobs a second would be known only from some tens of milliseconds, and from the shortest runs of each burst.
const AVERAGED_TIME: Duration = Duration::from_secs(20);
/// Minimum number of ended jobs for the run times of a queue to count as known.
const MIN_JOBS: f64 = 20.0;
/// Minimum time between the first and the last end for the run times of a queue to count as known, as a multiple of
/// the mean run time. The shortest runs end first.
const MIN_MEAN_RUN_TIMES: f64 = 6.0;
/// Bounds of the standard deviation of the logarithm. Below the lower one, delays of reports would count as slowness.
const MIN_LOG_DEVIATION: f64 = 0.4;
const MAX_LOG_DEVIATION: f64 = 1.5;
/// Standard deviation that is assumed with the weight of [`MIN_JOBS`] observed jobs: the largest one known of callers'
/// estimates.
const ASSUMED_LOG_DEVIATION: f64 = 0.9;
/// Added to run time and estimate, since starts and ends are known only some tens of milliseconds late.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Maximum evidence of a single run, so that at least five are needed for an executor to count as slow, or three
/// shortly after a recovery.
const MAX_EVIDENCE: f64 = 2.5;

/// Identifies a queue in [`RunTimes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueIndex(usize);

/// Distribution of the logarithm of run time over estimate. It is modeled as logistic, whose tails are heavier than
/// those of a normal distribution, so that outliers are weak evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTimeModel {
    log_mean: f64,
    scale: f64,
    job_correlation: f64,
}

impl RunTimeModel {
    /// Creates a model with a mean, a standard deviation and the correlation between the tasks of a job.
    pub fn new(log_mean: f64, log_deviation: f64, job_correlation: f64) -> Self {
        let deviation = log_deviation.clamp(MIN_LOG_DEVIATION, MAX_LOG_DEVIATION);
        let scale = deviation * 3.0_f64.sqrt() / std::f64::consts::PI;
        Self { log_mean, scale, job_correlation: job_correlation.clamp(0.0, 1.0) }
    }

    /// Returns the weight of one of several runs of the same job. Together they count as one run if the estimates of a
    /// job are off by the same factor, and each counts fully if the errors are independent.
    pub fn weight_among(&self, runs_of_job: usize) -> f64 {
        1.0 / (1.0 + (runs_of_job.max(1) - 1) as f64 * self.job_correlation)
    }

    /// Returns the logarithm of how much more likely a completed run is on an executor that is slower by
    /// `exp(log_slowdown)`.
    pub fn evidence_of_end(&self, log_ratio: f64, log_slowdown: f64) -> f64 {
        let (usual, shift) = ((log_ratio - self.log_mean) / self.scale, log_slowdown / self.scale);
        let evidence = shift + 2.0 * (softplus(-usual) - softplus(shift - usual));
        evidence.min(MAX_EVIDENCE)
    }

    /// Returns the same for a run that hasn't ended yet; `log_ratio` is that of the time until now.
    pub fn evidence_of_running(&self, log_ratio: f64, log_slowdown: f64) -> f64 {
        let (usual, shift) = ((log_ratio - self.log_mean) / self.scale, log_slowdown / self.scale);
        (softplus(usual) - softplus(usual - shift)).min(MAX_EVIDENCE)
    }
}

/// Returns `ln(1 + exp(value))`.
fn softplus(value: f64) -> f64 {
    value.max(0.0) + (-value.abs()).exp().ln_1p()
}

/// Returns the logarithm of run time over estimate.
pub fn log_ratio(run_time: Duration, estimate: Duration) -> f64 {
    let seconds = |time: Duration| time.saturating_add(REPORT_DELAY).as_secs_f64();
    (seconds(run_time) / seconds(estimate)).ln()
}

/// Sums over the completed runs of a queue, each weighted by its part of its job.
#[derive(Debug, Clone, Copy, Default)]
struct QueueRunTimes {
    jobs: f64,
    log_sum: f64,
    log_square_sum: f64,
    seconds_sum: f64,
    /// Number of pairs of runs of the same job, and half the sum of their squared differences.
    pairs: f64,
    pair_square_sum: f64,
    first_end_at: Now,
    last_end_at: Now,
    model: Option<RunTimeModel>,
}

impl QueueRunTimes {
    fn scale(&mut self, factor: f64) {
        self.jobs *= factor;
        self.log_sum *= factor;
        self.log_square_sum *= factor;
        self.seconds_sum *= factor;
        self.pairs *= factor;
        self.pair_square_sum *= factor;
    }

    fn is_known(&self) -> bool {
        let observed_time = self.last_end_at.saturating_sub(self.first_end_at).as_secs_f64();
        self.jobs >= MIN_JOBS && observed_time >= MIN_MEAN_RUN_TIMES * self.seconds_sum / self.jobs
    }

    fn compute_model(&self) -> Option<RunTimeModel> {
        if !self.is_known() {
            return None;
        }
        let log_mean = self.log_sum / self.jobs;
        let observed =
            (self.log_square_sum / self.jobs - log_mean * log_mean).max(f64::MIN_POSITIVE);
        let assumed = ASSUMED_LOG_DEVIATION * ASSUMED_LOG_DEVIATION;
        let log_variance = (observed * self.jobs + assumed * MIN_JOBS) / (self.jobs + MIN_JOBS);
        // Without pairs, the runs of a job are assumed to be fully correlated.
        let within_job = self.pair_square_sum / (self.pairs + MIN_JOBS);
        Some(RunTimeModel::new(log_mean, log_variance.sqrt(), 1.0 - within_job / observed))
    }
}

/// Mean and deviation of the logarithm of run time over estimate, by queue.
#[derive(Debug, Default)]
pub struct RunTimes {
    indices: BTreeMap<QueueName, usize>,
    queues: Vec<QueueRunTimes>,
}

impl RunTimes {
    /// Returns the index of a queue.
    pub fn index(&mut self, queue: &QueueName) -> QueueIndex {
        if let Some(index) = self.indices.get(queue) {
            return QueueIndex(*index);
        }
        self.queues.push(QueueRunTimes::default());
        self.indices.insert(queue.clone(), self.queues.len() - 1);
        QueueIndex(self.queues.len() - 1)
    }

    /// Returns the index of a queue of which runs have ended.
    pub fn known_index(&self, queue: &str) -> Option<QueueIndex> {
        self.indices.get(queue).map(|index| QueueIndex(*index))
    }

    /// Records a completed run of a job with `tasks` tasks. The estimates of a job tend to be off by the same factor,
    /// so its tasks count as one together.
    pub fn note_end(
        &mut self,
        now: Now,
        queue: QueueIndex,
        run_time: Duration,
        estimate: Duration,
        tasks: usize,
    ) {
        let Some(queue) = self.queues.get_mut(queue.0) else { return };
        if queue.jobs > AVERAGED_JOBS {
            let passed = now.saturating_sub(queue.last_end_at);
            queue.scale((-passed.div_duration_f64(AVERAGED_TIME)).exp());
        }
        if queue.jobs == 0.0 {
            queue.first_end_at = now;
        }
        queue.last_end_at = now;
        let (weight, log_ratio) = (1.0 / tasks.max(1) as f64, log_ratio(run_time, estimate));
        queue.jobs += weight;
        queue.log_sum += weight * log_ratio;
        queue.log_square_sum += weight * log_ratio * log_ratio;
        queue.seconds_sum += weight * run_time.as_secs_f64();
        queue.model = queue.compute_model();
    }

    /// Records two completed runs of the same job by the difference between their logarithms.
    pub fn note_pair(&mut self, queue: QueueIndex, difference: f64) {
        let Some(queue) = self.queues.get_mut(queue.0) else { return };
        queue.pairs += 1.0;
        queue.pair_square_sum += difference * difference / 2.0;
    }

    /// Returns the distribution of a queue; `None` until enough jobs have ended.
    pub fn model(&self, queue: QueueIndex) -> Option<RunTimeModel> {
        self.queues.get(queue.0).and_then(|queue| queue.model)
    }
}

//! Determines which part of the over-share jobs the entries admit while there is an overload.
//!
//! The notes that carry the result are up to a second old at the entries, so a controller that reacts to the
//! backlog alone oscillates. [`LoadController`] computes the fraction from the rate at which new jobs are submitted
//! and the rate at which over-share work is served, and uses the backlog only as a correction. See
//! `docs/design/overload.md`.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::RangeInclusive,
    time::Duration,
};

use jackdawpier_kernel::{Now, ids::AccountName};

use super::Fleet;
use crate::{
    account::Account,
    admission::{AccountLoad, PERMILLE, QueueLoad, position},
    job::{Job, Phase, Slot},
    job_rank::{objective, rank},
    spec::{MAX_CORE_MS, Queue, QueueName},
};

/// Window in which a sudden change of the submission rate is detected.
const SHORT_WINDOW: Duration = Duration::from_millis(500);
/// Window over which a steady submission rate is measured.
const LONG_WINDOW: Duration = Duration::from_millis(3000);
/// Window over which the work that the share covers is measured. A bucket that was full at the beginning of an overload
/// covers several times the share, and has no effect after this time.
const COVERED_WINDOW: Duration = Duration::from_millis(1000);
/// Difference from the expected number of jobs that counts as a change of rate, in standard deviations.
const CHANGE_DEVIATIONS: f64 = 3.0;
/// Excess over the share from which an account is limited, in standard deviations of the estimated rate.
const EXCESS_DEVIATIONS: f64 = 2.0;
/// Time within which a rejected job returns: the longest `Retry-After`, and the age of the note that rejected it.
const RETURN_WINDOW: Duration = Duration::from_secs(6);
/// Minimum part of the jobs that is admitted, since the submission rate is estimated from admitted jobs.
const MIN_ADMITTED_PERMILLE: u32 = 50;
/// Factor on the work that the share covers. Without a margin, random variation lowers the fraction until less
/// than the share is admitted, and nothing raises it again.
const COVERED_MARGIN: f64 = 1.1;
/// Expected wait to which the backlog is brought, as a part of the slack.
const TARGET_WAIT: f64 = 0.5;
/// Time in which the backlog is brought to its target, in seconds. A change of the fraction shows in the backlog after
/// about 1.5 s; correcting in less than twice that causes oscillation.
const CORRECTION_S: f64 = 3.0;
/// Time for which a rejected job keeps returning: four retries of about 2 s each. A rise of the fraction admits the
/// returning jobs of this time besides new ones.
const MAX_RETURNING: Duration = Duration::from_secs(8);
/// Maximum rise of the fraction per second, once all new jobs can be served.
const MAX_RISE_PER_S: f64 = 2.0;
/// Minimum relative fall of the fraction. A smaller fall is random variation, and it is slow to rise again.
const MIN_FALL: f64 = 0.1;
/// Time without waiting work after which the queue can serve more than is admitted. Shorter times are random
/// variation.
const MIN_SERVED: Duration = Duration::from_millis(1000);
/// Minimum slack of a queue, so that one with a tight objective isn't overloaded by each short wait.
const MIN_SLACK: Duration = Duration::from_millis(500);
/// Bounds of the published time until a return. Entries use up to twice that, in whole seconds and at most 4 s, so
/// outside these bounds most or all of the rejected jobs would return after the same time.
const RETRY_AFTER_MS: RangeInclusive<u64> = 1500..=2000;
/// A job is delayed once its next task has waited this long. Other tasks are placed in the next rounds.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// A job of an account as it arrives at the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivedJob {
    /// Position among the jobs of the account, see [`position`].
    pub position: u32,
    /// Estimated work in core-milliseconds.
    pub core_ms: u64,
    /// Whether the job exceeds the share of its account.
    pub is_over_share: bool,
}

/// Over-share work of a queue.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QueueReport {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Mean time that a job can wait and still meet its objective.
    pub slack: Duration,
    /// CPU that over-share tasks use now, in thousandths of a core.
    pub running_millicores: u64,
    /// Waiting work of delayed over-share jobs that still have a value, in core-milliseconds.
    pub waiting_core_ms: u64,
    /// Part of that work whose jobs can be on time.
    pub on_time_core_ms: u64,
    /// Jobs that have arrived since the last update, by account.
    pub arrived: BTreeMap<AccountName, Vec<ArrivedJob>>,
}

impl QueueReport {
    /// Returns the rate at which over-share work is served, in core-milliseconds per second.
    fn served_per_s(&self) -> f64 {
        // One core serves a thousand core-milliseconds per second.
        self.running_millicores as f64
    }

    /// Returns the time in which the waiting work is served, in seconds.
    fn wait_s(&self) -> f64 {
        if self.waiting_core_ms == 0 {
            return 0.0;
        }
        self.waiting_core_ms as f64 / self.served_per_s()
    }

    /// Returns the rate at which over-share work may be admitted, in core-milliseconds per second.
    fn admissible_per_s(&self) -> f64 {
        let target_core_ms = self.served_per_s() * self.target_wait_s();
        let correction = (target_core_ms - self.on_time_core_ms as f64) / CORRECTION_S;
        (self.served_per_s() + correction).max(0.0)
    }

    fn slack_s(&self) -> f64 {
        self.slack.max(MIN_SLACK).as_secs_f64()
    }

    fn target_wait_s(&self) -> f64 {
        self.slack_s() * TARGET_WAIT
    }

    /// Returns the time in which the backlog is expected to be gone, without late jobs: they don't delay new ones.
    fn retry_after_ms(&self) -> u64 {
        // The conversion turns an unknown time, without any work, into 0 and an infinite one into the maximum.
        let wait_ms = (self.on_time_core_ms as f64 / self.served_per_s() * 1000.0) as u64;
        wait_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
    }
}

/// Work that an account submits to a queue, in core-milliseconds per second.
#[derive(Debug, Clone, Copy, Default)]
struct Submitted {
    /// All new jobs, including those that entries reject, but not the returns of rejected ones.
    new: f64,
    /// Work that the share of the account covers. Unless all of the share is used, the last known value counts, since
    /// the admitted jobs show less than it.
    covered: f64,
    /// Whether the new jobs certainly exceed the share, and not only by random variation.
    is_over_share: bool,
}

impl Submitted {
    fn over_share(&self) -> f64 {
        (self.new - self.covered).max(0.0)
    }

    /// Returns the part of the new jobs that makes up `admissible` work.
    fn part(&self, admissible: f64) -> f64 {
        if self.new > 0.0 { (admissible / self.new).min(1.0) } else { 1.0 }
    }
}

/// An account's arrivals and admitted fractions in one queue.
#[derive(Debug)]
struct AccountState {
    arrived: VecDeque<(Now, ArrivedJob)>,
    /// Fractions within [`RETURN_WINDOW`] that were below one.
    limits: VecDeque<(Now, u32)>,
    /// Since when a part of the jobs is rejected.
    limited_since: Option<Now>,
    /// When the submission rate last changed suddenly.
    changed_at: Now,
    /// When over-share work of the queue last waited.
    last_waited_at: Now,
    admitted_permille: u32,
    rates: Submitted,
}

impl Default for AccountState {
    fn default() -> Self {
        Self {
            arrived: VecDeque::new(),
            limits: VecDeque::new(),
            limited_since: None,
            changed_at: Now::ZERO,
            last_waited_at: Now::ZERO,
            admitted_permille: PERMILLE,
            rates: Submitted::default(),
        }
    }
}

impl AccountState {
    /// Whether the account has no recent arrivals and no recent limit, so its state can be dropped.
    fn is_idle(&self) -> bool {
        self.arrived.is_empty() && self.limits.is_empty() && self.limited_since.is_none()
    }

    fn expire(&mut self, now: Now) {
        let is_old = |at: Now, window| now.saturating_sub(at) >= window;
        self.arrived.retain(|(at, _)| !is_old(*at, LONG_WINDOW));
        self.limits.retain(|(at, _)| !is_old(*at, RETURN_WINDOW));
    }

    /// Returns a sample of the new jobs within a time, with the sampled part of them. The entries have admitted all
    /// jobs below the lowest recent fraction at their first submission, whichever note they had, so the sample
    /// contains no returns, and many jobs that return at once don't look like another burst.
    fn sample(&self, now: Now, window: Duration) -> (f64, impl Iterator<Item = &ArrivedJob>) {
        let limits = self.limits.iter().map(|(_, permille)| *permille);
        let limit = limits.chain([self.admitted_permille]).min().unwrap_or(PERMILLE);
        let sample = self.arrived_within(now, window).filter(move |job| job.position < limit);
        (f64::from(limit) / f64::from(PERMILLE), sample)
    }

    /// Ends the window of the submission rate if the rate has changed suddenly.
    fn detect_change(&mut self, now: Now, updates: &Updates) {
        let count = |window| self.sample(now, window).1.count() as f64;
        let window = self.window(now);
        let ratio = updates.covered_s(now, SHORT_WINDOW) / updates.covered_s(now, window);
        let expected = count(window) * ratio;
        let difference = count(SHORT_WINDOW) - expected;
        if difference.abs() > CHANGE_DEVIATIONS * (expected + 1.0).sqrt() {
            // Only the jobs of this update have certainly arrived after the change.
            self.changed_at = now.saturating_sub(updates.last_interval());
        }
    }

    /// Estimates the submission rates from the arrivals since the last change.
    fn measure(&mut self, now: Now, updates: &Updates) {
        let window = self.window(now);
        let (part, sample) = self.sample(now, window);
        let works = sample.map(|job| job.core_ms as f64);
        let (sum, squares) =
            works.fold((0.0, 0.0), |(sum, squares), work| (sum + work, squares + work * work));
        let sampled_s = part * updates.covered_s(now, window);
        let (new, deviation) = (sum / sampled_s, squares.sqrt() / sampled_s);
        let covered_per_s = |window| {
            let covered = self.arrived_within(now, window).filter(|job| !job.is_over_share);
            covered.map(|job| job.core_ms).sum::<u64>() as f64 / updates.covered_s(now, window)
        };
        let is_over_share = new - covered_per_s(window) > EXCESS_DEVIATIONS * deviation;
        let covered = covered_per_s(COVERED_WINDOW);
        let is_share_used = self.arrived_within(now, COVERED_WINDOW).any(|job| job.is_over_share);
        let covered = if is_share_used { covered } else { covered.max(self.rates.covered) };
        self.rates = Submitted { new, covered, is_over_share };
    }

    /// Returns the jobs that have arrived within a time.
    fn arrived_within(&self, now: Now, window: Duration) -> impl Iterator<Item = &ArrivedJob> {
        let arrived = self.arrived.iter().rev();
        let recent = arrived.take_while(move |(at, _)| now.saturating_sub(*at) < window);
        recent.map(|(_, job)| job)
    }

    /// Returns the time since the last change of rate, up to [`LONG_WINDOW`].
    fn window(&self, now: Now) -> Duration {
        now.saturating_sub(self.changed_at).min(LONG_WINDOW)
    }

    /// Moves the fraction towards the one that admits `granted` over-share work.
    fn adjust(&mut self, now: Now, since_last_s: f64, queue: &QueueReport, granted: f64) {
        let rates = self.rates;
        let current = f64::from(self.admitted_permille) / f64::from(PERMILLE);
        let wanted = rates.part(rates.covered + granted);
        let is_overloaded = queue.wait_s() > queue.slack_s() && rates.is_over_share;
        if queue.waiting_core_ms > 0 {
            self.last_waited_at = now;
        }
        // Without waiting work it isn't known how much more could be served.
        let is_all_served = now.saturating_sub(self.last_waited_at) >= MIN_SERVED;
        let next = match self.limited_since {
            None if is_overloaded => wanted,
            None => 1.0,
            Some(_) if wanted >= 1.0 => current + MAX_RISE_PER_S * since_last_s,
            Some(_) if is_all_served => current + since_last_s / MAX_RETURNING.as_secs_f64(),
            Some(_) if wanted < current * (1.0 - MIN_FALL) => wanted,
            Some(since) => {
                let returning = now.saturating_sub(since).min(MAX_RETURNING).as_secs_f64();
                current + (wanted - current).max(0.0) * (since_last_s / returning).min(1.0)
            }
        };
        let next = next.max(rates.part(rates.covered * COVERED_MARGIN)).min(1.0);
        let permille = (next * f64::from(PERMILLE)).round() as u32;
        self.admitted_permille = permille.max(MIN_ADMITTED_PERMILLE);
        if self.admitted_permille < PERMILLE {
            self.limits.push_back((now, self.admitted_permille));
            self.limited_since = self.limited_since.or(Some(now));
        } else {
            self.limited_since = None;
        }
    }
}

/// The times of recent updates, each with the time since the previous one.
#[derive(Debug, Default)]
struct Updates(VecDeque<(Now, Duration)>);

impl Updates {
    /// Adds an update; returns the time since the previous one, or `None` for the first.
    fn add(&mut self, now: Now) -> Option<Duration> {
        let since_last = self.0.back().map(|(at, _)| now.saturating_sub(*at));
        self.0.retain(|(at, _)| now.saturating_sub(*at) < LONG_WINDOW);
        self.0.push_back((now, since_last.unwrap_or(SHORT_WINDOW)));
        since_last
    }

    /// Returns the time between the last two updates.
    fn last_interval(&self) -> Duration {
        self.0.back().map(|(_, since_last)| *since_last).unwrap_or_default()
    }

    /// Returns the time in which the jobs of the updates of a window have arrived, in seconds.
    fn covered_s(&self, now: Now, window: Duration) -> f64 {
        let recent = self.0.iter().filter(|(at, _)| now.saturating_sub(*at) < window);
        recent.map(|(_, since_last)| since_last.as_secs_f64()).sum::<f64>().max(f64::EPSILON)
    }
}

/// Computes the admitted fractions of the accounts with a weight.
#[derive(Debug, Default)]
pub struct LoadController {
    weights: BTreeMap<AccountName, f64>,
    updates: Updates,
    accounts: BTreeMap<(QueueName, AccountName), AccountState>,
}

impl LoadController {
    /// Sets the weights of the accounts. Accounts without a weight above 0 are never limited.
    pub fn configure(&mut self, weights: impl IntoIterator<Item = (AccountName, f64)>) {
        self.weights = weights.into_iter().filter(|(_, weight)| *weight > 0.0).collect();
        if !self.is_enabled() {
            self.updates = Updates::default();
        }
        self.accounts.retain(|(_, account), _| self.weights.contains_key(account));
    }

    /// Whether any account has a weight.
    pub fn is_enabled(&self) -> bool {
        !self.weights.is_empty()
    }

    /// Whether jobs that are found now have arrived since the last update, and not under a previous owner.
    fn has_updated(&self) -> bool {
        !self.updates.0.is_empty()
    }

    /// Adjusts the fractions to the current load, and returns the queues with accounts whose jobs are rejected in
    /// part. Called several times per second.
    pub fn update(
        &mut self,
        now: Now,
        queues: BTreeMap<QueueName, QueueReport>,
    ) -> BTreeMap<QueueName, QueueLoad> {
        let since_last_s = self.updates.add(now).unwrap_or_default().as_secs_f64();
        let reports: BTreeMap<&QueueName, &QueueReport> = queues.iter().collect();
        for (queue, report) in &reports {
            for (account, jobs) in &report.arrived {
                if self.weights.contains_key(account) {
                    let key = ((*queue).clone(), account.clone());
                    let arrived = jobs.iter().map(|job| (now, *job));
                    self.accounts.entry(key).or_default().arrived.extend(arrived);
                }
            }
        }
        self.accounts.values_mut().for_each(|account| account.expire(now));
        self.accounts.retain(|_, account| !account.is_idle());
        for account in self.accounts.values_mut() {
            account.detect_change(now, &self.updates);
            account.measure(now, &self.updates);
        }

        let none = QueueReport::default();
        let mut loads: BTreeMap<QueueName, QueueLoad> = BTreeMap::new();
        let mut grants = self.grants(&reports);
        for ((queue, account), state) in &mut self.accounts {
            let report = reports.get(queue).copied().unwrap_or(&none);
            let granted = grants.remove(&(queue.clone(), account.clone())).unwrap_or(0.0);
            state.adjust(now, since_last_s, report, granted);
            if state.admitted_permille < PERMILLE {
                let load = loads.entry(queue.clone()).or_default();
                load.priority = report.priority;
                let admitted_permille = state.admitted_permille;
                let retry_after_ms = report.retry_after_ms();
                let account_load = AccountLoad { admitted_permille, retry_after_ms };
                load.accounts.insert(account.clone(), account_load);
            }
        }
        loads
    }

    /// Divides the admissible over-share work of each queue by weight. What an account doesn't submit goes to the
    /// others.
    fn grants(
        &self,
        reports: &BTreeMap<&QueueName, &QueueReport>,
    ) -> BTreeMap<(QueueName, AccountName), f64> {
        let mut grants = BTreeMap::new();
        for (queue, report) in reports {
            let of_queue = self.accounts.iter().filter(|((name, _), _)| name == *queue);
            let mut demands: Vec<(f64, f64, &AccountName)> = of_queue
                .map(|((_, account), state)| {
                    (state.rates.over_share(), self.weights[account], account)
                })
                .collect();
            demands.sort_by(|(a, a_weight, _), (b, b_weight, _)| {
                (a / a_weight).total_cmp(&(b / b_weight))
            });
            let mut remaining = report.admissible_per_s();
            let mut weights: f64 = demands.iter().map(|(_, weight, _)| weight).sum();
            for (over_share, weight, account) in demands {
                let granted = over_share.min(remaining * weight / weights);
                remaining -= granted;
                weights -= weight;
                grants.insert(((*queue).clone(), account.clone()), granted);
            }
        }
        grants
    }
}

impl Fleet {
    /// Returns the accounts of each queue whose over-share jobs are rejected in part, for the load note. Called
    /// several times per second.
    pub fn update_load(&mut self, now: Now) -> BTreeMap<QueueName, QueueLoad> {
        if !self.settings.policy.rejects_over_share || !self.load.is_enabled() {
            return BTreeMap::new();
        }
        let mut reports = self.over_share_work(now);
        for (queue, account, job) in self.take_arrived_jobs(now) {
            let arrived = &mut reports.entry(queue).or_default().arrived;
            arrived.entry(account).or_default().push(job);
        }
        self.load.update(now, reports)
    }

    /// Applies the weights of the accounts.
    pub(super) fn configure_load(&mut self, accounts: &[Account]) {
        self.load.configure(accounts.iter().map(|one| (one.name.clone(), one.weight)));
    }

    /// Returns the accounts' jobs that have arrived since the last update, with their queues. Long-running jobs are
    /// never rejected, so they don't count.
    fn take_arrived_jobs(&mut self, now: Now) -> Vec<(QueueName, AccountName, ArrivedJob)> {
        // Of the jobs that a new owner finds it isn't known when they arrived.
        let is_first = !self.load.has_updated();
        let has_ended_since = |at: Now| now.saturating_sub(at) <= LONG_WINDOW;
        let ended = self.ended_jobs.iter().rev().take_while(|(_, at)| has_ended_since(*at));
        let ids = self.open_jobs.values().flatten().chain(ended.map(|(id, _)| id));
        let mut arrived = Vec::new();
        for id in ids {
            let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_arrival_reported) else {
                continue;
            };
            job.is_arrival_reported = true;
            let account = job.account.clone().filter(|_| !is_first);
            let Some(account) = account.filter(|_| !job.has_long_running_tasks()) else { continue };
            let (core_ms, is_over_share) = (job.spec.core_ms(), job.is_over_share);
            let reported = ArrivedJob { position: position(id), core_ms, is_over_share };
            arrived.push((job.queue.clone(), account, reported));
        }
        arrived
    }

    /// Returns the over-share work of each queue that has any.
    fn over_share_work(&self, now: Now) -> BTreeMap<QueueName, QueueReport> {
        let mut reports = BTreeMap::new();
        for (name, ids) in &self.open_jobs {
            let Some(queue) = self.queues.get(name) else { continue };
            let is_counted = |job: &&Job| job.is_over_share && !job.has_long_running_tasks();
            let jobs: Vec<&Job> =
                ids.iter().filter_map(|id| self.jobs.get(id)).filter(is_counted).collect();
            if jobs.is_empty() {
                continue;
            }
            let slack = |job: &Job| objective(job, queue).saturating_sub(job.longest_chain());
            let mut report = QueueReport {
                priority: queue.priority,
                slack: jobs.iter().map(|job| slack(job)).sum::<Duration>() / jobs.len() as u32,
                ..QueueReport::default()
            };
            jobs.iter().for_each(|job| self.add_over_share_job(now, &mut report, job, queue));
            reports.insert(name.clone(), report);
        }
        reports
    }

    fn add_over_share_job(&self, now: Now, report: &mut QueueReport, job: &Job, queue: &Queue) {
        report.running_millicores += running_millicores(job);
        let rank = rank(now, job, queue, self.settings.policy);
        if rank.is_expired() || !self.is_delayed(now, job) {
            return;
        }
        let core_ms = waiting_core_ms(job);
        report.waiting_core_ms += core_ms;
        report.on_time_core_ms += if rank.is_late() { 0 } else { core_ms };
    }

    /// Whether a job waits for an executor. A job at the cap of its account waits for the account's other jobs.
    fn is_delayed(&self, now: Now, job: &Job) -> bool {
        let is_waiting = |index: &usize| job.tasks[*index].phase == Phase::Waiting;
        job.startable.iter().copied().find(is_waiting).is_some_and(|index| {
            let waited = now.saturating_sub(job.waiting_since(index));
            waited >= MIN_DELAY && self.is_within_cap(job, index)
        })
    }
}

/// Returns the CPU that the placed tasks of a job use, in thousandths of a core.
fn running_millicores(job: &Job) -> u64 {
    job.tasks.placed().map(|(index, _)| job.step(index).allocated().cpu_millicores).sum()
}

/// Returns the estimated work of the waiting tasks of a job, in core-milliseconds, without occurrences that aren't
/// due.
fn waiting_core_ms(job: &Job) -> u64 {
    let of_slot = |slot: Slot| {
        let step = job.step_of_slot(slot);
        let millicore_ms = u128::from(step.allocated().cpu_millicores) * step.estimate.as_millis();
        let core_ms = (millicore_ms / 1000).min(u128::from(MAX_CORE_MS)) as u64;
        core_ms * job.waiting_in_slot(slot) as u64
    };
    match job.spec.schedule {
        Some(_) => job.slots.open().map(|(slot, _)| of_slot(slot)).sum(),
        None => (0..job.spec.steps.len()).map(of_slot).sum(),
    }
}

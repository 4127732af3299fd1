//! Recognizes executors that are slower than the others of their service, from the run times of their tasks.
//!
//! New work avoids such executors as long as others have room. See `docs/design/overload.md`.

use std::{collections::VecDeque, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, ServiceName},
};

use super::{Fleet, fitting::is_remote};
use crate::{
    executor::Executor,
    job::{Job, Phase, TaskIndex},
    job_rank::objective,
    run_times::{QueueIndex, RunTimes, log_ratio},
};

/// Interval between reviews of the running tasks.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Slowdown against which the usual speed is tested. Evidence grows for executors at less than half of the usual
/// speed, and shrinks for all others.
const TESTED_SLOWDOWN: f64 = 4.0;
/// Slowdowns of which the most likely one gives the speed of a slow executor.
const SLOWDOWNS: [f64; 6] = [2.0, 3.0, 4.0, 6.0, 9.0, 16.0];
/// Speed according to the largest of them.
const MIN_SPEED: f64 = 1.0 / 16.0;
/// Evidence (logarithm of a likelihood ratio) from which an executor counts as slow. Where the logarithm of the
/// estimates' error has a deviation of 0.9, at most 15 s of 21,000 executor-seconds are then avoided by mistake.
const SLOW_EVIDENCE: f64 = 11.5;
/// The same for an executor that was considered recovered within [`RECENT_RETURN`].
const SLOW_AGAIN_EVIDENCE: f64 = 6.0;
/// Time after a recovery in which less evidence is needed.
const RECENT_RETURN: Duration = Duration::from_secs(4);
/// If more than half of the executors have at least this evidence, the service is slow and not its executors.
const SUSPICIOUS_EVIDENCE: f64 = 3.0;
/// Evidence at or below which a run on a slow executor shows that it has recovered.
const RECOVERED_EVIDENCE: f64 = -0.5;
/// Runs that are still going on count against a recovery if they started at most this long before the completed one.
/// Earlier ones may have been slowed down before the recovery.
const MAX_PEER_LEAD: Duration = Duration::from_millis(300);
/// Evidence from which a run on a slow executor can no longer show that it has recovered, so that another one may start.
const UNDECIDED_EVIDENCE: f64 = 1.0;
/// Minimum time between trials with tasks that would make their jobs late if the executor is still slow.
const COSTLY_TRIAL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum share of the executors of a service that are avoided, in percent.
const MAX_AVOIDED_PERCENT: usize = 40;
/// An executor isn't avoided any longer once no run has shown it to be slow for this time.
const MAX_AVOIDANCE: Duration = Duration::from_secs(10);
/// Bounds of the runs of an executor that are considered: completed ones by number and age, others by number.
const MAX_ENDED_RUNS: usize = 24;
const MAX_END_AGE: Duration = Duration::from_secs(20);
const MAX_RUNNING_TASKS: usize = 64;
/// Maximum time since the previous answer of an executor for its reported ends to count. After a longer silence they
/// may have happened long before.
const MAX_REPORT_GAP: Duration = Duration::from_millis(1500);

/// A run that shows the speed of its executor.
#[derive(Debug, Clone)]
pub struct ObservedRun {
    /// The job. Its tasks count as one, since its estimates tend to be off by the same factor.
    pub job: JobId,
    /// The queue of the job.
    pub queue: QueueIndex,
    /// When the run was confirmed.
    pub started_at: Now,
    /// Logarithm of the run time until now, or until the end, over the estimate.
    pub log_ratio: f64,
}

/// Result of the review of an executor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Assessment {
    /// Logarithm of how much more likely the runs since some point in time are if the executor is slow.
    pub evidence: f64,
    /// Most likely speed relative to the usual one, if it is slow.
    pub speed: f64,
    /// Whether there are any runs that show the speed.
    pub is_observed: bool,
    /// Whether no running task can still show that a slow executor has recovered.
    pub needs_trial: bool,
}

#[derive(Debug, Clone, Copy)]
struct Slow {
    since: Now,
    /// Last time at which a run showed that the executor is slow.
    confirmed_at: Now,
    speed: f64,
    is_trial_due: bool,
    last_trial_at: Option<Now>,
}

/// What is known of the speed of one incarnation of an executor.
#[derive(Debug, Default)]
pub struct SpeedTracker {
    ended: VecDeque<(Now, ObservedRun)>,
    slow: Option<Slow>,
    returned_at: Option<Now>,
    answered_at: Option<Now>,
}

impl SpeedTracker {
    /// Returns the speed relative to the usual one; 1.0 unless there is enough evidence that it is lower.
    pub fn observed_speed(&self) -> f64 {
        self.slow.map_or(1.0, |slow| slow.speed)
    }

    /// Returns since when the executor has been known to be slow.
    pub fn slow_since(&self) -> Option<Now> {
        self.slow.map(|slow| slow.since)
    }

    /// Whether a task should be placed on this slow executor to try it again. `is_costly` says whether the job of the
    /// task would be late if the executor is still slow.
    pub fn is_trial_due(&self, now: Now, is_costly: bool) -> bool {
        self.slow.is_some_and(|slow| {
            let is_recent = |at| now.saturating_sub(at) < COSTLY_TRIAL_INTERVAL;
            slow.is_trial_due && !(is_costly && slow.last_trial_at.is_some_and(is_recent))
        })
    }

    /// Records that a task is placed to try the executor again.
    pub fn begin_trial(&mut self, now: Now) {
        if let Some(slow) = &mut self.slow {
            slow.is_trial_due = false;
            slow.last_trial_at = Some(now);
        }
    }

    /// Records an answer of the executor.
    fn note_answer(&mut self, now: Now) {
        self.answered_at = Some(now);
    }

    /// Whether an end that is reported now happened recently.
    fn reports_in_time(&self, now: Now) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_sub(at) <= MAX_REPORT_GAP)
    }

    /// Returns the logarithm of the last completed run of a job on the executor.
    pub fn last_log_ratio_of(&self, job: &JobId) -> Option<f64> {
        let of_job = |(_, run): &&(Now, ObservedRun)| run.job == *job;
        self.ended.iter().rev().find(of_job).map(|(_, run)| run.log_ratio)
    }

    /// Records a completed run. `running` are the other runs on the executor. A slow executor counts as recovered
    /// if the run has started since then and, with those still running, makes the usual speed more likely.
    pub fn note_end(
        &mut self,
        now: Now,
        run_times: &RunTimes,
        run: ObservedRun,
        running: &[ObservedRun],
    ) {
        let needs_trial = self.needs_trial(run_times, running);
        if let Some(slow) = &mut self.slow
            && run.started_at >= slow.since
            && let Some(model) = run_times.model(run.queue)
        {
            let log_slowdown = TESTED_SLOWDOWN.ln();
            let of_end = model.evidence_of_end(run.log_ratio, log_slowdown);
            let peers_from = slow.since.max(run.started_at.saturating_sub(MAX_PEER_LEAD));
            let of_running = running.iter().filter(|one| one.started_at >= peers_from);
            let evidence = of_end
                + of_running.map(|one| evidence(run_times, one, true, log_slowdown)).sum::<f64>();
            if evidence <= RECOVERED_EVIDENCE {
                self.end_avoidance(now);
                return;
            }
            slow.confirmed_at = now;
            slow.is_trial_due = needs_trial;
        }
        self.ended.push_back((now, run));
        if self.ended.len() > MAX_ENDED_RUNS {
            self.ended.pop_front();
        }
    }

    fn needs_trial(&self, run_times: &RunTimes, running: &[ObservedRun]) -> bool {
        let Some(slow) = self.slow else { return true };
        let newer = running.iter().filter(|run| run.started_at >= slow.since);
        let mut evidences = newer.map(|run| evidence(run_times, run, true, TESTED_SLOWDOWN.ln()));
        evidences.all(|evidence| evidence >= UNDECIDED_EVIDENCE)
    }

    /// Weighs the runs on the executor. Each of them may be the first one on the executor since it became slow, so
    /// the result is the maximum over all of them.
    pub fn assess(&self, now: Now, run_times: &RunTimes, running: &[ObservedRun]) -> Assessment {
        let is_recent = |at: Now| now.saturating_sub(at) <= MAX_END_AGE;
        let ended = self.ended.iter().filter(|(at, _)| is_recent(*at)).map(|(_, run)| (run, false));
        let mut runs: Vec<(&ObservedRun, bool)> =
            ended.chain(running.iter().map(|run| (run, true))).collect();
        // Newest first.
        runs.sort_unstable_by_key(|(run, _)| std::cmp::Reverse(run.started_at));
        let mut runs_of_job = vec![1; runs.len()];
        for (one, (run, _)) in runs.iter().enumerate() {
            for (other, _) in
                runs.iter().enumerate().skip(one + 1).filter(|(_, other)| other.0.job == run.job)
            {
                runs_of_job[one] += 1;
                runs_of_job[other] += 1;
            }
        }
        let weight_of = |(run, count): (&(&ObservedRun, bool), &usize)| {
            run_times.model(run.0.queue).map_or(0.0, |model| model.weight_among(*count))
        };
        let weights: Vec<f64> = runs.iter().zip(&runs_of_job).map(weight_of).collect();
        let sum_of = |count: usize, log_slowdown: f64| -> f64 {
            let parts = runs.iter().zip(&weights).take(count);
            parts
                .map(|((run, is_running), weight)| {
                    weight * evidence(run_times, run, *is_running, log_slowdown)
                })
                .sum()
        };
        let log_slowdown = TESTED_SLOWDOWN.ln();
        let (mut sum, mut highest, mut count_of_highest) = (0.0, 0.0, 0);
        for (position, ((run, is_running), weight)) in runs.iter().zip(&weights).enumerate() {
            sum += weight * evidence(run_times, run, *is_running, log_slowdown);
            if sum > highest {
                (highest, count_of_highest) = (sum, position + 1);
            }
        }
        let speed = if highest < SUSPICIOUS_EVIDENCE {
            1.0
        } else {
            let likelihoods =
                SLOWDOWNS.map(|slowdown| (sum_of(count_of_highest, slowdown.ln()), 1.0 / slowdown));
            likelihoods
                .into_iter()
                .max_by(|one, other| one.0.total_cmp(&other.0))
                .map_or(1.0, |one| one.1)
        };
        let needs_trial = self.needs_trial(run_times, running);
        Assessment { evidence: highest, speed, is_observed: !runs.is_empty(), needs_trial }
    }

    /// Whether an executor with this assessment counts as slow, if enough others don't.
    fn is_slow(&self, now: Now, assessment: &Assessment) -> bool {
        if let Some(slow) = self.slow {
            return now.saturating_sub(slow.confirmed_at) < MAX_AVOIDANCE;
        }
        let is_recently_returned =
            self.returned_at.is_some_and(|at| now.saturating_sub(at) < RECENT_RETURN);
        let needed = if is_recently_returned { SLOW_AGAIN_EVIDENCE } else { SLOW_EVIDENCE };
        assessment.evidence >= needed
    }

    /// Applies the result of a review.
    pub fn set_slow(&mut self, now: Now, is_slow: bool, assessment: &Assessment) {
        let Assessment { speed, needs_trial: is_trial_due, .. } = *assessment;
        match (is_slow, self.slow) {
            (true, None) => {
                let (since, confirmed_at, last_trial_at) = (now, now, None);
                let slow = Slow { since, confirmed_at, speed, is_trial_due, last_trial_at };
                self.slow = Some(slow);
            }
            (true, Some(slow)) => {
                let speed = if speed < 1.0 { speed } else { slow.speed };
                self.slow = Some(Slow { speed, is_trial_due, ..slow });
            }
            (false, Some(_)) => self.end_avoidance(now),
            (false, None) => {}
        }
    }

    fn end_avoidance(&mut self, now: Now) {
        self.slow = None;
        self.returned_at = Some(now);
        self.ended.clear();
    }

    /// Returns the earliest start of runs that count as evidence. Those that were running when the executor was
    /// considered recovered had been slowed down before.
    fn counted_from(&self) -> Now {
        self.returned_at.unwrap_or(Now::ZERO)
    }
}

fn evidence(run_times: &RunTimes, run: &ObservedRun, is_running: bool, log_slowdown: f64) -> f64 {
    run_times.model(run.queue).map_or(0.0, |model| {
        if is_running {
            model.evidence_of_running(run.log_ratio, log_slowdown)
        } else {
            model.evidence_of_end(run.log_ratio, log_slowdown)
        }
    })
}

/// Returns which executors of a service are avoided from now on. None are if the whole service is slow, since speed
/// is relative to the other executors; and never more than [`MAX_AVOIDED_PERCENT`].
pub fn select_slow(now: Now, executors: &[(&SpeedTracker, Assessment)]) -> Vec<bool> {
    let observed = executors.iter().filter(|(_, one)| one.is_observed).count();
    let is_suspicious = |(tracker, one): &&(&SpeedTracker, Assessment)| {
        one.is_observed && (tracker.slow.is_some() || one.evidence >= SUSPICIOUS_EVIDENCE)
    };
    let suspicious = executors.iter().filter(is_suspicious).count();
    let mut result = vec![false; executors.len()];
    if suspicious * 2 > observed {
        return result;
    }
    let mut slow: Vec<usize> = (0..executors.len())
        .filter(|&index| executors[index].0.is_slow(now, &executors[index].1))
        .collect();
    slow.sort_by(|&one, &other| {
        let key = |index: usize| (executors[index].0.slow.is_some(), executors[index].1.evidence);
        let ((one_slow, one), (other_slow, other)) = (key(one), key(other));
        other_slow.cmp(&one_slow).then(other.total_cmp(&one))
    });
    slow.truncate(executors.len() * MAX_AVOIDED_PERCENT / 100);
    slow.iter().for_each(|&index| result[index] = true);
    result
}

/// Preference of a task for an executor by its speed; lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SpeedClass {
    /// The executor is avoided as slow, and the task will show whether it still is slow.
    Trial,
    Usual,
    Slow,
}

impl Fleet {
    /// Returns the observed speed of an executor relative to the usual one: 1.0 unless there is enough evidence that
    /// it is lower.
    pub fn observed_speed(&self, executor: &str) -> f64 {
        if !self.settings.policy.avoids_slow_executors {
            return 1.0;
        }
        self.executors.get(executor).map_or(1.0, |one| one.speed.observed_speed())
    }

    /// Returns the preference of a task for an executor by its speed.
    pub(super) fn speed_class(
        &self,
        now: Now,
        executor: &Executor,
        job: &Job,
        index: TaskIndex,
    ) -> SpeedClass {
        if executor.speed.slow_since().is_none() {
            return SpeedClass::Usual;
        }
        let can_be_trial =
            executor.speed.is_trial_due(now, false) && shows_speed(executor, job, index);
        if !can_be_trial {
            return SpeedClass::Slow;
        }
        let is_known = {
            let queue = self.run_times.known_index(&job.queue);
            queue.is_some_and(|queue| self.run_times.model(queue).is_some())
        };
        let is_costly = self.would_be_late_at(now, job, index, executor.speed.observed_speed());
        if is_known && executor.speed.is_trial_due(now, is_costly) {
            SpeedClass::Trial
        } else {
            SpeedClass::Slow
        }
    }

    /// Whether a job can be on time, but not if a task runs at this speed.
    fn would_be_late_at(&self, now: Now, job: &Job, index: TaskIndex, speed: f64) -> bool {
        let Some(queue) = self.queues.get(&job.queue) else { return false };
        let due = job.next_occurrence_began_at() + objective(job, queue);
        let usual = now + job.remaining_estimate();
        let estimate = job.step(index).estimate;
        usual <= due && usual + estimate.mul_f64(1.0 / speed.max(MIN_SPEED) - 1.0) > due
    }

    /// Records that a task is to be placed on an executor. If its run time will show the speed of a slow executor, no
    /// other trial begins meanwhile.
    pub(super) fn note_chosen(
        &mut self,
        now: Now,
        executor: &ExecutorId,
        job: &JobId,
        index: TaskIndex,
    ) {
        let Some(executor) = self.executors.get_mut(executor) else { return };
        if executor.speed.is_trial_due(now, false)
            && self.jobs.get(job).is_some_and(|job| shows_speed(executor, job, index))
        {
            executor.speed.begin_trial(now);
        }
    }

    /// Records an answer of an executor, after its ends were applied.
    pub(super) fn note_speed_answer(&mut self, now: Now, id: &str) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.speed.note_answer(now);
        }
    }

    /// Records the run time of a task that has just completed. Called before the end is applied.
    pub(super) fn note_run_time(
        &mut self,
        now: Now,
        id: &ExecutorId,
        job: &JobId,
        index: TaskIndex,
    ) {
        if !self.settings.policy.avoids_slow_executors {
            return;
        }
        let (Some(job), Some(executor)) = (self.jobs.get(job), self.executors.get(id)) else {
            return;
        };
        let Some(started_at) = job.tasks[index].confirmed_at.filter(|at| *at > Now::ZERO) else {
            return;
        };
        if !shows_speed(executor, job, index) || !executor.speed.reports_in_time(now) {
            return;
        }
        let (run_time, estimate) = (now.saturating_sub(started_at), job.step(index).estimate);
        let queue = self.run_times.index(&job.queue);
        let is_slow = executor.speed.slow_since().is_some();
        let log_ratio = log_ratio(run_time, estimate);
        if !is_slow {
            self.run_times.note_end(now, queue, run_time, estimate, job.tasks.len());
            if let Some(other) = executor.speed.last_log_ratio_of(&job.id) {
                self.run_times.note_pair(queue, log_ratio - other);
            }
        }
        if started_at < executor.speed.counted_from() {
            return;
        }
        let run = ObservedRun { job: job.id.clone(), queue, started_at, log_ratio };
        let others = if is_slow { self.observed_running(now, executor) } else { Vec::new() };
        let others: Vec<ObservedRun> =
            others.into_iter().filter(|one| one.job != run.job).collect();
        if let Some(executor) = self.executors.get_mut(id) {
            executor.speed.note_end(now, &self.run_times, run, &others);
        }
    }

    /// Returns the tasks of an executor that show its speed, with their run times at its last answer. Those whose start
    /// isn't confirmed count as just started.
    fn observed_running(&self, now: Now, executor: &Executor) -> Vec<ObservedRun> {
        let Some(answered_at) = executor.clock_read_at() else { return Vec::new() };
        let tasks = executor.tasks.iter().take(MAX_RUNNING_TASKS);
        tasks
            .filter_map(|(id, index)| {
                let job = self.jobs.get(id)?;
                let task = &job.tasks[*index];
                let started_at = match task.phase {
                    Phase::Planned { .. } | Phase::Starting { .. } => now,
                    Phase::Running { .. } => task.confirmed_at.filter(|at| *at > Now::ZERO)?,
                    _ => return None,
                };
                let counts = started_at >= executor.speed.counted_from()
                    && shows_speed(executor, job, *index);
                let queue = self.run_times.known_index(&job.queue).filter(|_| counts)?;
                let run_time = answered_at.saturating_sub(started_at);
                let log_ratio = log_ratio(run_time, job.step(*index).estimate);
                Some(ObservedRun { job: id.clone(), queue, started_at, log_ratio })
            })
            .collect()
    }

    /// Reviews the executors of all services, if the last review was long enough ago.
    pub(super) fn review_speeds_if_due(&mut self, now: Now) {
        let is_due = now >= self.last_speed_review_at + REVIEW_INTERVAL;
        if !is_due || !self.settings.policy.avoids_slow_executors {
            return;
        }
        self.last_speed_review_at = now;
        let services: Vec<ServiceName> = self.by_service.keys().cloned().collect();
        services.iter().for_each(|service| self.review_speeds(now, service));
    }

    fn review_speeds(&mut self, now: Now, service: &ServiceName) {
        let ids = &self.by_service[service];
        let known = || ids.iter().filter_map(|id| Some((id, self.executors.get(id)?)));
        let assessed: Vec<(&SpeedTracker, Assessment)> = known()
            .map(|(_, executor)| {
                let running = self.observed_running(now, executor);
                (&executor.speed, executor.speed.assess(now, &self.run_times, &running))
            })
            .collect();
        let is_slow = select_slow(now, &assessed);
        let changed: Vec<(ExecutorId, bool, Assessment)> = known()
            .zip(assessed.iter().zip(is_slow))
            .filter(|(_, ((tracker, _), is_slow))| tracker.slow.is_some() || *is_slow)
            .map(|((id, _), ((_, one), is_slow))| (id.clone(), is_slow, *one))
            .collect();
        for (id, is_slow, assessment) in changed {
            if let Some(executor) = self.executors.get_mut(&id) {
                executor.speed.set_slow(now, is_slow, &assessment);
            }
        }
    }
}

/// Whether the run time of a task shows the speed of its executor. That of others depends on their gang, on the rack
/// of their data, on the progress of an earlier run, or on an ordered pace.
fn shows_speed(executor: &Executor, job: &Job, index: TaskIndex) -> bool {
    let (step, task) = (job.step(index), &job.tasks[index]);
    let may_be_resumed = task.run > 1 && !task.checkpoint.is_empty();
    let is_paced = task.pace_percent != 100 || (1..100).contains(&task.speed_percent);
    !step.is_long_running
        && !step.is_gang
        && !step.is_filler
        && !is_remote(executor, job, index)
        && !may_be_resumed
        && !is_paced
}

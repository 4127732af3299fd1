//! Executors that are slower than the others of their service get no new work while others have room.
//!
//! The first part replays run times on the pure state of each executor, the second part plays a whole fleet.

mod world;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jackdawpier_fleet::{
    fleet::{Assessment, Fleet, JobView, ObservedRun, SpeedTracker, select_slow},
    policy::Policy,
    run_times::{QueueIndex, RunTimes, log_ratio},
    spec::{StepSpec, TaskKey},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{World, job, settings, step};

const TICK: Duration = Duration::from_millis(20);
/// Callers expect two thirds of the mean run time, which is a second.
const UNDERESTIMATED: f64 = 0.67;
const ESTIMATE: Duration = Duration::from_millis(670);

/// Draws from the standard normal distribution.
fn normal(random: &mut ChaCha8Rng) -> f64 {
    let (radius, angle): (f64, f64) = (random.random_range(1e-12..1.0), random.random());
    (-2.0 * radius.ln()).sqrt() * (angle * std::f64::consts::TAU).cos()
}

struct Run {
    job: Arc<str>,
    started_at: Duration,
    /// Remaining time at the usual speed.
    left: Duration,
}

struct Worker {
    tracker: SpeedTracker,
    running: Vec<Run>,
    slowdown: f64,
}

/// Executors of one service with ten tasks each. The estimate of a job is off by a random factor.
struct Service {
    now: Duration,
    random: ChaCha8Rng,
    log_deviation: f64,
    tasks_per_job: usize,
    jobs: usize,
    run_times: RunTimes,
    queue: QueueIndex,
    workers: Vec<Worker>,
    /// Time that executors at usual speed were avoided, over all of them.
    innocent_avoided: Duration,
}

impl Service {
    fn new(seed: u64, workers: usize, log_deviation: f64, tasks_per_job: usize) -> Self {
        let mut run_times = RunTimes::default();
        let queue = run_times.index(&"queue".into());
        let worker =
            || Worker { tracker: SpeedTracker::default(), running: Vec::new(), slowdown: 1.0 };
        Self {
            now: Duration::from_secs(100),
            random: ChaCha8Rng::seed_from_u64(seed),
            log_deviation,
            tasks_per_job,
            jobs: 0,
            run_times,
            queue,
            workers: std::iter::repeat_with(worker).take(workers).collect(),
            innocent_avoided: Duration::ZERO,
        }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            for number in 0..self.workers.len() {
                self.end_runs(number);
                self.start_runs(number);
            }
            if self.now.as_millis().is_multiple_of(200) {
                self.review();
            }
            let avoided = self
                .workers
                .iter()
                .filter(|one| one.slowdown <= 1.0 && one.tracker.slow_since().is_some());
            self.innocent_avoided += TICK * avoided.count() as u32;
        }
    }

    fn observe(&self, run: &Run) -> ObservedRun {
        let log_ratio = log_ratio(self.now.saturating_sub(run.started_at), ESTIMATE);
        let (job, queue, started_at) = (run.job.clone(), self.queue, run.started_at);
        ObservedRun { job, queue, started_at, log_ratio }
    }

    fn end_runs(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        let step = TICK.div_f64(worker.slowdown);
        worker.running.iter_mut().for_each(|run| run.left = run.left.saturating_sub(step));
        let ended: Vec<Run> =
            worker.running.extract_if(.., |run| run.left == Duration::ZERO).collect();
        for run in ended {
            let observed = self.observe(&run);
            let running = self.running(number);
            let tracker = &mut self.workers[number].tracker;
            if tracker.slow_since().is_none() {
                let run_time = self.now.saturating_sub(run.started_at);
                self.run_times.note_end(
                    self.now,
                    self.queue,
                    run_time,
                    ESTIMATE,
                    self.tasks_per_job,
                );
                if let Some(other) = tracker.last_log_ratio_of(&run.job) {
                    self.run_times.note_pair(self.queue, observed.log_ratio - other);
                }
            }
            tracker.note_end(self.now, &self.run_times, observed, &running);
        }
    }

    fn running(&self, number: usize) -> Vec<ObservedRun> {
        self.workers[number].running.iter().map(|run| self.observe(run)).collect()
    }

    /// Fills an executor with tasks; one that is known to be slow gets a new one only if it runs no other new one.
    fn start_runs(&mut self, number: usize) {
        let worker = &self.workers[number];
        let room = match worker.tracker.slow_since() {
            None => 10 - worker.running.len().min(10),
            Some(_) => usize::from(worker.tracker.is_trial_due(self.now, false)),
        };
        self.workers[number].tracker.begin_trial(self.now);
        let mut started = 0;
        while started < room {
            self.jobs += 1;
            let job: Arc<str> = format!("job-{}", self.jobs).into();
            let mean_shift = -self.log_deviation * self.log_deviation / 2.0;
            let factor = (mean_shift + self.log_deviation * normal(&mut self.random)).exp();
            let left = ESTIMATE.mul_f64(factor / UNDERESTIMATED);
            let tasks = self.tasks_per_job.min(room - started);
            for _ in 0..tasks {
                let run = Run { job: job.clone(), started_at: self.now, left };
                self.workers[number].running.push(run);
            }
            started += tasks;
        }
    }

    fn review(&mut self) {
        let assess = |number: usize| {
            let tracker = &self.workers[number].tracker;
            (tracker, tracker.assess(self.now, &self.run_times, &self.running(number)))
        };
        let assessed: Vec<(&SpeedTracker, Assessment)> =
            (0..self.workers.len()).map(assess).collect();
        let is_slow = select_slow(self.now, &assessed);
        let assessed: Vec<Assessment> = assessed.iter().map(|(_, one)| *one).collect();
        for (worker, (is_slow, one)) in self.workers.iter_mut().zip(is_slow.iter().zip(&assessed)) {
            worker.tracker.set_slow(self.now, *is_slow, one);
        }
    }

    /// Runs until an executor is known to be slow, or isn't any more, and returns the time that this took.
    fn run_until(&mut self, number: usize, is_slow: bool) -> Duration {
        let from = self.now;
        while self.workers[number].tracker.slow_since().is_some() != is_slow {
            self.run_for(TICK);
            assert!(self.now < from + Duration::from_secs(30), "not within half a minute");
        }
        self.now.saturating_sub(from)
    }
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

fn assert_innocent_kept(log_deviation: f64) {
    let mut service = Service::new(1, 350, log_deviation, 1);
    service.run_for(Duration::from_secs(60));
    let avoided = service.innocent_avoided;
    assert!(avoided < Duration::from_secs(21), "{avoided:?} of 21,000 s");
}

/// Wrong estimates alone must practically never exclude an executor.
#[test]
fn rough_estimates() {
    assert_innocent_kept(0.5);
}

#[test]
fn very_rough_estimates() {
    assert_innocent_kept(0.9);
}

/// Jobs whose tasks are all too long by the same factor fill an executor. That is the evidence of two or three jobs.
#[test]
fn alike_tasks() {
    let mut service = Service::new(1, 100, 0.9, 4);
    service.run_for(Duration::from_secs(60));
    let avoided = service.innocent_avoided;
    assert!(avoided < Duration::from_secs(6), "{avoided:?} of 6,000 s");
}

/// Returns the median times until a slow executor is recognized, and until it is used again after its recovery.
fn reaction_times(log_deviation: f64, slowdown: f64) -> (Duration, Duration) {
    let times = (0..40).map(|seed| {
        let mut service = Service::new(seed, 10, log_deviation, 1);
        service.run_for(Duration::from_secs(10));
        service.workers[3].slowdown = slowdown;
        let recognized = service.run_until(3, true);
        service.run_for(Duration::from_secs(4));
        service.run_until(3, true);
        service.workers[3].slowdown = 1.0;
        (recognized, service.run_until(3, false))
    });
    let (recognized, returned): (Vec<Duration>, Vec<Duration>) = times.unzip();
    (median(recognized), median(returned))
}

#[test]
fn reactions() {
    for log_deviation in [0.5, 0.7, 0.9] {
        for slowdown in [4.0, 5.0] {
            let (recognized, returned) = reaction_times(log_deviation, slowdown);
            let limit = if log_deviation > 0.7 { 3_000 } else { 2_600 };
            assert!(recognized <= Duration::from_millis(limit), "{log_deviation}: {recognized:?}");
            assert!(returned <= Duration::from_secs(1), "{log_deviation}: {returned:?}");
        }
    }
}

/// Speed is relative to the other executors: a service of which all become slow at once loses none.
#[test]
fn slow_service() {
    let mut service = Service::new(1, 100, 0.7, 1);
    service.run_for(Duration::from_secs(10));
    service.workers.iter_mut().for_each(|worker| worker.slowdown = 4.0);
    let mut avoided = 0;
    for _ in 0..500 {
        service.run_for(TICK);
        avoided += service.workers.iter().filter(|one| one.tracker.slow_since().is_some()).count();
    }
    assert_eq!(avoided, 0, "of 50,000");
}

/// The part of a service that is avoided is bounded, so that the rest isn't overloaded.
#[test]
fn bounded_part() {
    let mut service = Service::new(1, 50, 0.5, 1);
    service.run_for(Duration::from_secs(10));
    service.workers[..24].iter_mut().for_each(|worker| worker.slowdown = 6.0);
    let mut most = 0;
    for _ in 0..300 {
        service.run_for(TICK);
        let slow = service.workers.iter().filter(|one| one.tracker.slow_since().is_some());
        most = most.max(slow.count());
    }
    assert!((15..=20).contains(&most), "{most} of 50");
}

/// Seconds of the replay in which executors are slow; jobs arrive until then, and are awaited until the last second.
const SLOW_SECONDS: std::ops::Range<u64> = 8..14;
const REPLAY_SECONDS: u64 = 17;
const EXECUTORS: usize = 12;
const JOBS_PER_SECOND: u64 = 65;
const RUN_MS: u64 = 400;
const STEP: Duration = world::STEP;

/// Returns the factor by which the estimate of a task is off, from the number at the end of its job's id.
fn estimate_error(task: &TaskKey) -> f64 {
    let number = task.job.rsplit('-').next().and_then(|number| number.parse::<u64>().ok());
    let seed = number.unwrap_or(0) * 100 + u64::from(task.index);
    (0.5 * normal(&mut ChaCha8Rng::seed_from_u64(seed)) - 0.125).exp()
}

/// Returns a world with a pool of executors with eight cores each, and with estimates that are off.
fn pool(avoids_slow_executors: bool) -> World {
    let mut world = World::new(&["view"], EXECUTORS);
    let mut settings = settings();
    settings.policy = Policy { avoids_slow_executors, ..Policy::default() };
    world.fleet = Fleet::new(settings, world.now);
    world.configure();
    world.executors.values_mut().for_each(|executor| {
        executor.hold_due = Duration::ZERO;
        executor.run_factor = estimate_error;
    });
    world.run_for(Duration::from_millis(300));
    world
}

/// Submits a steady load of copies of a job for some time.
fn load(world: &mut World, name: &str, time: Duration, tasks: StepSpec, interval: Duration) {
    let from = world.now;
    let mut submitted = 0;
    while world.now < from + time {
        while from + interval * submitted <= world.now {
            world.submit(&format!("{name}-{submitted}"), "q-view", job(vec![tasks.clone()]));
            submitted += 1;
        }
        world.run_for(STEP);
    }
}

/// Plays a load that needs 52 cores of the pool's 96, of which a third are slow for some time. Returns the number of
/// jobs that arrived in that time and were done within their objective.
fn replay(avoids_slow_executors: bool, slowdown: u32, first_job: u64) -> usize {
    let mut world = pool(avoids_slow_executors);
    let from = world.now;
    // The queue's slack factor times the estimate, and its target.
    let objective = Duration::from_millis(RUN_MS * 8 / 5 + 600);
    let mut on_time = 0;
    let mut open: BTreeMap<String, Duration> = BTreeMap::new();
    let mut submitted = 0;
    while world.now < from + Duration::from_secs(REPLAY_SECONDS) {
        let since_ms = world.now.saturating_sub(from).as_millis() as u64;
        let is_slow = SLOW_SECONDS.contains(&(since_ms / 1_000));
        let third = world.executors.values_mut().step_by(3);
        third.for_each(|executor| executor.slowdown = if is_slow { slowdown } else { 1 });
        while submitted * 1_000 <= since_ms * JOBS_PER_SECOND && since_ms < SLOW_SECONDS.end * 1_000
        {
            let id = format!("job-{}", first_job + submitted);
            submitted += 1;
            world.submit(&id, "q-view", job(vec![step(2, 1, RUN_MS)]));
            if is_slow {
                open.insert(id, world.now);
            }
        }
        world.run_for(STEP);
        open.retain(|id, submitted_at| {
            let is_over = matches!(world.fleet.view(id), Some(JobView::Over(_)));
            let is_late = world.now > *submitted_at + objective;
            on_time += usize::from(is_over && !is_late);
            !is_over && !is_late
        });
    }
    on_time
}

/// The other executors can carry the load. All but a tenth of the jobs that are on time without slow executors must be
/// on time with them: those of the second until they are recognized, and of the trials. Without avoidance, more than
/// half as many again are late.
#[test]
fn slow_third() {
    let over_both = |avoids: bool, slowdown: u32| -> usize {
        [0, 10_000].into_iter().map(|first| replay(avoids, slowdown, first)).sum()
    };
    let (usual, avoided, used) = (over_both(true, 1), over_both(true, 4), over_both(false, 4));
    assert!(avoided * 10 >= usual * 9, "{avoided} of {usual}");
    assert!(
        (usual - used) * 2 >= (usual - avoided) * 3,
        "{used} without avoidance, {avoided} with"
    );
}

/// Returns a world in which the run times of a queue are known, and the id of an executor that takes six times as long
/// for each task from now on.
fn pool_with_slow_executor() -> (World, Arc<str>) {
    let mut world = pool(true);
    load(&mut world, "known", Duration::from_secs(6), step(1, 1, 300), Duration::from_millis(8));
    world.run_for(Duration::from_secs(2));
    let id = world.executors.keys().next().expect("there is one").clone();
    let executor = world.executors.get_mut(&id).expect("it was just listed");
    executor.run_factor = |task| 6.0 * estimate_error(task);
    (world, id)
}

#[test]
fn observed_speed() {
    let (mut world, id) = pool_with_slow_executor();
    load(&mut world, "plain", Duration::from_secs(4), step(1, 1, 300), Duration::from_millis(8));
    assert!(world.fleet.observed_speed(&id) <= 0.5, "{}", world.fleet.observed_speed(&id));
    let others = world.executors.keys().filter(|other| **other != id);
    others.for_each(|other| assert!(world.fleet.observed_speed(other) >= 1.0, "{other}"));
    // Where nothing else has room, tasks start on the slow executor too.
    world.submit("burst-1", "q-view", job(vec![step(96, 1, 300)]));
    world.run_for(Duration::from_millis(100));
    assert!(world.executors[&id].running().count() > 4);
    // A new incarnation is another executor.
    world.restarts_keep_ids = true;
    let machines = world.machines.iter();
    let mut of_id = machines.filter(|(_, machine)| machine.executor.as_ref() == Some(&id));
    let machine = of_id.next().expect("the machine is up").0.clone();
    world.crash(&machine, Some(Duration::from_millis(500)));
    world.run_for(Duration::from_secs(7));
    assert!(world.fleet.observed_speed(&id) >= 1.0);
}

/// Run times of gangs, of tasks away from their data and of fillers depend on other things than the executor's speed.
#[test]
fn no_evidence() {
    let gang = StepSpec { is_gang: true, ..step(2, 1, 300) };
    let remote = StepSpec { data_rack: Some("elsewhere".into()), ..step(1, 1, 100) };
    let filler = StepSpec { is_filler: true, ..step(1, 1, 300) };
    for (name, tasks) in [("gang", gang), ("remote", remote), ("filler", filler)] {
        let (mut world, id) = pool_with_slow_executor();
        load(&mut world, name, Duration::from_secs(4), tasks, Duration::from_millis(10));
        assert!(world.executors[&id].running().count() > 0, "{name} runs there");
        assert!(world.fleet.observed_speed(&id) >= 1.0, "{name}");
    }
}

/// A single run or job proves nothing, however late it ends.
#[test]
fn one_late_job() {
    let mut service = Service::new(1, 10, 0.5, 1);
    service.run_for(Duration::from_secs(10));
    let mut tracker = SpeedTracker::default();
    let (now, queue) = (service.now, service.queue);
    let late = ObservedRun { job: "late".into(), queue, started_at: now, log_ratio: 4.0 };
    for _ in 0..10 {
        tracker.note_end(now, &service.run_times, late.clone(), &[]);
    }
    let assessment = tracker.assess(now, &service.run_times, &[]);
    assert!(assessment.evidence < 3.0, "{assessment:?}");
}

//! Virtual days of one deployment: demand, failures and a wave from a seed, against the planner or
//! a baseline, minute by minute.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_capacity::{
    InstanceIx, PoolIx,
    demand::{DayKind, DemandPattern},
    fleet::{Fleet, Phase, PoolTarget},
    forecast::{Forecast, forecast},
    planner::{Planner, ShrinkPolicy},
    surge::{end_surge, request_surge},
    wave::{Wave, WaveState},
};
use jackdawpier_settings::declaration::FailureDomain;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    deployment::{Deployment, Shape},
    lower_bound,
};

const MINUTES_A_DAY: u32 = 24 * 60;
const SLOT_MINUTES: u32 = 15;
const DRAIN_MINUTES: u32 = 2;
const WARM_MINUTES: u32 = 3;
/// Drain, change, reboot and warm-up of one instance in a wave.
pub const MAINTENANCE_MINUTES: u32 = 10;
const REPAIR_MINUTES: u32 = 45;
const ZONE_OUTAGE_MINUTES: u32 = 120;
/// Chance that an instance fails within a day, from the aim (280 of 32,000).
const FAILURES_A_DAY: f64 = 280.0 / 32_000.0;
/// Days over which the pattern is learned before anything is measured.
const LEARNING_DAYS: u32 = 14;
/// Usual noise of the demand, as a share.
pub const NOISE: f64 = 0.03;

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The product's planner.
    Planner,
    /// Each pool keeps the size that its declared peak needs.
    FixedBuffer,
    /// Sizes and assignment are computed anew each quarter of an hour.
    FromScratch,
}

/// What one run asks for.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Seed of demand and failures.
    pub seed: u64,
    /// Measured days.
    pub days: u32,
    /// Who decides.
    pub policy: Policy,
    /// Minute of each day at which a wave over the whole fleet starts, if one does.
    pub wave_at_minute: Option<u32>,
    /// Days between two waves.
    pub wave_every_days: u32,
    /// Noise of the demand, as a share.
    pub noise: f64,
    /// Whether a zone is lost in the middle of each wave.
    pub loses_zone: bool,
}

/// What came out, summed over the measured days.
#[derive(Debug, Clone, Copy, Default)]
pub struct Measured {
    /// Instance-minutes held beyond the need.
    pub buffer_minutes: f64,
    /// The same of the lower bound.
    pub buffer_bound_minutes: f64,
    /// The same of a bound that knows the pattern and the size of the noise, but not its draws.
    pub buffer_informed_minutes: f64,
    /// Instances that joined a pool.
    pub moves: u32,
    /// Lower bound of that.
    pub moves_bound: f64,
    /// Pool-minutes below the budget, for failures within the target.
    pub below_budget_minutes: u32,
    /// The same for a zone lost to a pool that need only survive a rack, or further failures while
    /// a zone was out.
    pub below_budget_beyond_minutes: u32,
    /// Minutes of all waves.
    pub wave_minutes: u32,
    /// Lower bound of that.
    pub wave_bound_minutes: u32,
    /// Waves that finished.
    pub waves: u32,
    /// Days measured.
    pub days: u32,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Warm(InstanceIx),
    Drained(InstanceIx),
    Maintained(InstanceIx),
    Repaired(InstanceIx),
}

struct Sim<'a> {
    deployment: &'a Deployment,
    run: Run,
    fleet: Fleet,
    planner: Planner,
    demands: Vec<DemandPattern>,
    needs: Vec<u32>,
    random: ChaCha8Rng,
    events: BTreeMap<u32, Vec<Event>>,
    wave: Option<(Wave, u32)>,
    lost_zone: Option<(u32, u32)>,
    extra_failure: bool,
    shortest_wave_minutes: u32,
    minute: u32,
    measured: Measured,
    is_measuring: bool,
}

/// Runs virtual days.
pub fn run(deployment: &Deployment, run: Run) -> Measured {
    let demands = deployment.pools.iter().map(|pool| DemandPattern::new(pool.peak)).collect();
    let mut sim = Sim {
        deployment,
        run,
        fleet: deployment.fleet(),
        planner: Planner::new(deployment.ceilings),
        demands,
        needs: deployment.pools.iter().map(|pool| pool.peak).collect(),
        random: ChaCha8Rng::seed_from_u64(run.seed),
        events: BTreeMap::new(),
        wave: None,
        lost_zone: None,
        extra_failure: false,
        shortest_wave_minutes: 0,
        minute: 0,
        measured: Measured::default(),
        is_measuring: false,
    };
    for _ in 0..(LEARNING_DAYS + run.days) * MINUTES_A_DAY {
        sim.is_measuring = sim.minute >= LEARNING_DAYS * MINUTES_A_DAY;
        sim.one_minute();
        sim.minute += 1;
    }
    sim.measured.days = run.days;
    sim.measured
}

fn day_kind(minute: u32) -> DayKind {
    match minute / MINUTES_A_DAY % 7 {
        5 | 6 => DayKind::Quiet,
        _ => DayKind::Ordinary,
    }
}

/// Demand as a share of the peak, without noise.
fn level(shape: Shape, minute: u32) -> f64 {
    let hour = f64::from(minute % MINUTES_A_DAY) / 60.0;
    let ramp = |from: f64, until: f64| ((hour - from) / (until - from)).clamp(0.0, 1.0);
    let day = ramp(6.0, 8.5) - ramp(18.0, 21.0);
    let level = match shape {
        Shape::Day => 0.5 + 0.47 * day,
        Shape::Night => 0.97 - 0.5 * day,
    };
    match day_kind(minute) {
        DayKind::Ordinary => level,
        DayKind::Quiet => level.min(0.5),
    }
}

impl Sim<'_> {
    fn now(&self) -> Duration {
        Duration::from_secs(u64::from(self.minute) * 60)
    }

    fn one_minute(&mut self) {
        for event in self.events.remove(&self.minute).unwrap_or_default() {
            self.on_event(event);
        }
        if self.minute.is_multiple_of(SLOT_MINUTES) {
            self.new_slot();
        }
        self.fail_some();
        self.tick_wave();
        if self.run.policy == Policy::Planner {
            self.replan();
        }
        self.measure();
    }

    fn later(&mut self, minutes: u32, event: Event) {
        self.events.entry(self.minute + minutes).or_default().push(event);
    }

    fn touch_pool_of(&mut self, ix: InstanceIx) {
        if let Some(pool) = self.fleet.instance(ix).pool {
            self.planner.mark_changed(pool);
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Warm(ix) => {
                let instance = self.fleet.instance(ix).clone();
                if instance.phase == Phase::Warming {
                    self.fleet.assign(ix, instance.pool, Phase::Serving);
                    self.touch_pool_of(ix);
                }
            }
            Event::Drained(ix) => {
                if self.fleet.instance(ix).phase == Phase::Draining {
                    self.touch_pool_of(ix);
                    self.fleet.assign(ix, None, Phase::Free);
                }
            }
            Event::Maintained(ix) => {
                let instance = self.fleet.instance(ix).clone();
                if instance.phase == Phase::InMaintenance {
                    let phase = if instance.pool.is_some() { Phase::Serving } else { Phase::Free };
                    self.fleet.assign(ix, instance.pool, phase);
                    self.touch_pool_of(ix);
                    if let Some((wave, _)) = &mut self.wave {
                        wave.finish_step(ix, true);
                    }
                }
            }
            Event::Repaired(ix) => {
                if self.fleet.instance(ix).phase == Phase::Down {
                    self.fleet.assign(ix, None, Phase::Free);
                    self.planner_touch_all();
                }
            }
        }
    }

    fn planner_touch_all(&mut self) {
        (0..self.deployment.pools.len()).for_each(|pool| self.planner.mark_changed(pool as PoolIx));
    }

    fn new_slot(&mut self) {
        let (now, kind) = (self.now(), day_kind(self.minute));
        for ix in 0..self.deployment.pools.len() {
            let spec = self.deployment.pools[ix];
            let noise = 1.0 + self.run.noise * (self.random.random_range(-1.0..1.0_f64));
            let demand = (f64::from(spec.peak) * level(spec.shape, self.minute) * noise)
                .min(f64::from(spec.peak));
            self.needs[ix] = demand.ceil() as u32;
            self.demands[ix].observe(now, kind, demand);
        }
        self.planner_touch_all();
        match self.run.policy {
            Policy::Planner => {}
            Policy::FixedBuffer => self.fill_fixed(),
            Policy::FromScratch => self.assign_from_scratch(),
        }
    }

    fn forecast(&self, ix: usize) -> Forecast {
        let kind_of = |time: Duration| day_kind((time.as_secs() / 60) as u32);
        let (demand, present) = (&self.demands[ix], self.needs[ix]);
        forecast(demand, present, self.now(), kind_of, &self.deployment.ceilings)
    }

    fn set_target(&mut self, ix: usize, need: u32, cautious_need: u32) {
        let spec = self.deployment.pools[ix];
        // While a zone is out, that loss is the one that is survived; a rack may still go.
        let survive = match (self.lost_zone, spec.survive) {
            (Some(_), FailureDomain::Zone) => FailureDomain::Rack,
            (_, survive) => survive,
        };
        let target = PoolTarget { need, cautious_need, may_lose: spec.may_lose, survive };
        if self.fleet.pools()[ix].target != target {
            self.fleet.set_target(ix as PoolIx, target);
            self.planner.mark_changed(ix as PoolIx);
        }
    }

    fn replan(&mut self) {
        let later: Vec<u32> = (0..self.needs.len())
            .map(|ix| {
                let forecast = self.forecast(ix);
                self.set_target(ix, forecast.need, forecast.cautious_need);
                forecast.later_need
            })
            .collect();
        let is_immediate = self.wave.is_some();
        let held: Vec<bool> = (0..self.needs.len())
            .map(|ix| {
                let wave = self.wave.as_ref();
                wave.is_some_and(|(wave, _)| wave.has_unfinished_in(&self.fleet, ix as PoolIx))
            })
            .collect();
        let outlook = |ix: PoolIx| ShrinkPolicy {
            later_need: later[ix as usize],
            is_blocked: held[ix as usize],
            is_immediate,
        };
        let now = self.now();
        let moves = self.planner.replan(now, &mut self.fleet, outlook);
        for decided in moves {
            match decided.to {
                Some(_) => {
                    self.measured.moves += u32::from(self.is_measuring);
                    self.later(WARM_MINUTES, Event::Warm(decided.instance));
                }
                None => self.later(DRAIN_MINUTES, Event::Drained(decided.instance)),
            }
        }
    }

    /// Baseline: pools keep the size of their declared peak; only failures are replaced.
    fn fill_fixed(&mut self) {
        for ix in 0..self.deployment.pools.len() {
            let spec = self.deployment.pools[ix];
            self.set_target(ix, spec.peak, spec.peak);
        }
        self.planner_touch_all();
        let now = self.now();
        let outlook = |_| ShrinkPolicy { is_blocked: true, ..ShrinkPolicy::default() };
        let moves = self.planner.replan(now, &mut self.fleet, outlook);
        for decided in moves {
            self.measured.moves += u32::from(self.is_measuring);
            self.later(WARM_MINUTES, Event::Warm(decided.instance));
        }
    }

    /// Baseline: everything is assigned anew, in the order of the instances.
    fn assign_from_scratch(&mut self) {
        let sizes: Vec<u32> = (0..self.needs.len())
            .map(|ix| {
                let Forecast { need, cautious_need, .. } = self.forecast(ix);
                self.set_target(ix, need, cautious_need);
                lower_bound::pool_size(self.deployment, &self.deployment.pools[ix], need)
            })
            .collect();
        let usable: Vec<InstanceIx> = (0..self.fleet.instances().len() as InstanceIx)
            .filter(|ix| matches!(self.fleet.instance(*ix).phase, Phase::Free | Phase::Serving))
            .collect();
        let mut wanted = sizes
            .iter()
            .enumerate()
            .flat_map(|(pool, size)| std::iter::repeat_n(Some(pool as PoolIx), *size as usize));
        for ix in usable {
            let pool = wanted.next().flatten();
            if self.fleet.instance(ix).pool != pool {
                self.measured.moves += u32::from(self.is_measuring && pool.is_some());
                let phase = if pool.is_some() { Phase::Serving } else { Phase::Free };
                self.fleet.assign(ix, pool, phase);
            }
        }
    }

    fn fail(&mut self, ix: InstanceIx, repair_minutes: u32) {
        if self.fleet.instance(ix).phase == Phase::Down {
            return;
        }
        self.touch_pool_of(ix);
        let was_in_pool = self.fleet.instance(ix).pool.is_some();
        if let Some((wave, _)) = &mut self.wave {
            wave.finish_step(ix, false);
        }
        self.fleet.assign(ix, None, Phase::Down);
        if self.is_measuring && was_in_pool {
            self.measured.moves_bound += 1.0;
        }
        self.later(repair_minutes, Event::Repaired(ix));
    }

    fn fail_some(&mut self) {
        let chance = FAILURES_A_DAY / f64::from(MINUTES_A_DAY);
        for ix in 0..self.deployment.instances {
            if self.random.random_bool(chance) {
                self.extra_failure |= self.lost_zone.is_some();
                self.fail(ix, REPAIR_MINUTES);
            }
        }
        if self.lost_zone.is_some_and(|(_, until)| self.minute >= until) {
            self.lost_zone = None;
            self.extra_failure = false;
        }
    }

    fn lose_zone(&mut self) {
        let zone = self.random.random_range(0..self.deployment.zones);
        self.lost_zone = Some((zone, self.minute + ZONE_OUTAGE_MINUTES));
        let lost: Vec<InstanceIx> = (0..self.deployment.instances)
            .filter(|ix| self.fleet.instance(*ix).location.zone == zone)
            .collect();
        lost.iter().for_each(|ix| self.fail(*ix, ZONE_OUTAGE_MINUTES));
    }

    fn tick_wave(&mut self) {
        let is_wave_day =
            (self.minute / MINUTES_A_DAY).is_multiple_of(self.run.wave_every_days.max(1));
        let is_start = self.run.wave_at_minute == Some(self.minute % MINUTES_A_DAY);
        if self.wave.is_none() && is_wave_day && is_start {
            self.shortest_wave_minutes = self.wave_bound();
            self.wave = Some((Wave::new(0..self.deployment.instances), self.minute));
        }
        let Some((mut wave, started_at)) = self.wave.take() else { return };
        if self.run.loses_zone && self.minute == started_at + MAINTENANCE_MINUTES + 5 {
            self.wave = Some((wave, started_at));
            self.lose_zone();
            (wave, _) = self.wave.take().expect("it was put there");
        }
        wave.resume();
        request_surge(&wave, &mut self.fleet, &mut self.planner);
        let (starts, _) = wave.start_steps(&mut self.fleet);
        for ix in starts {
            self.later(MAINTENANCE_MINUTES, Event::Maintained(ix));
        }
        for ix in 0..self.deployment.instances {
            if self.fleet.instance(ix).phase == Phase::Down {
                wave.remove_instance(ix);
            }
        }
        let is_finished = wave.state() == WaveState::Finished
            || wave.pending_count() == 0 && wave.out().is_empty();
        if is_finished {
            if self.is_measuring && self.lost_zone.is_none() {
                self.measured.waves += 1;
                self.measured.wave_minutes += self.minute - started_at;
                self.measured.wave_bound_minutes += self.shortest_wave_minutes;
            }
            end_surge(&mut self.fleet, &mut self.planner);
            self.planner_touch_all();
        } else {
            self.wave = Some((wave, started_at));
        }
    }

    /// Instances over the widest step that the budgets allow now, times the time of a step.
    fn wave_bound(&self) -> u32 {
        let pools: u32 = (0..self.needs.len())
            .map(|ix| {
                let size = self.fleet.pools()[ix].serving.total();
                let spec = &self.deployment.pools[ix];
                lower_bound::widest_step(self.deployment, spec, size, self.needs[ix])
            })
            .sum();
        let width = pools + self.fleet.free_count() as u32;
        self.deployment.instances.div_ceil(width.max(1)) * MAINTENANCE_MINUTES
    }

    fn measure(&mut self) {
        if !self.is_measuring {
            return;
        }
        for ix in 0..self.needs.len() {
            let need = self.needs[ix];
            let spec = &self.deployment.pools[ix];
            let pool = &self.fleet.pools()[ix];
            let size = lower_bound::pool_size(self.deployment, spec, need);
            self.measured.buffer_bound_minutes += f64::from(size - need);
            let likely = f64::from(spec.peak) * level(spec.shape, self.minute);
            let most = (likely * (1.0 + self.run.noise)).ceil().min(f64::from(spec.peak)) as u32;
            let informed = lower_bound::pool_size(self.deployment, spec, most);
            self.measured.buffer_informed_minutes += f64::from(informed) - f64::from(need);
            self.measured.buffer_minutes += f64::from(pool.committed.total()) - f64::from(need);
            if pool.serving.total() + spec.may_lose < need {
                let is_beyond = self.extra_failure
                    || self.lost_zone.is_some() && spec.survive != FailureDomain::Zone;
                if is_beyond {
                    self.measured.below_budget_beyond_minutes += 1;
                } else {
                    self.measured.below_budget_minutes += 1;
                }
            }
        }
        if self.minute.is_multiple_of(MINUTES_A_DAY) {
            self.measured.moves_bound += self.pattern_growth();
        }
    }

    /// Instances that the pools must grow by in this day, without noise.
    fn pattern_growth(&self) -> f64 {
        self.deployment
            .pools
            .iter()
            .map(|spec| {
                let size = |minute: u32| {
                    let need = (f64::from(spec.peak) * level(spec.shape, minute)).ceil() as u32;
                    lower_bound::pool_size(self.deployment, spec, need)
                };
                (0..MINUTES_A_DAY)
                    .map(|step| self.minute + step)
                    .map(|minute| size(minute + 1).saturating_sub(size(minute)))
                    .sum::<u32>()
            })
            .map(f64::from)
            .sum()
    }
}

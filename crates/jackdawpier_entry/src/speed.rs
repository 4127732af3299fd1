//! Measures the current speed of this machine relative to its usual speed.
//!
//! An owner on a machine that slows down for some seconds still renews its lease, so no other entry takes over
//! the fleet although its decisions are delayed. The duration of a short fixed computation shows the slowdown
//! and doesn't depend on the load of this process.

use std::{cell::RefCell, collections::VecDeque, hint::black_box, rc::Rc, time::Duration};

use crate::clock;

/// Number of latest measurements whose median is the current duration, so that a few interrupted ones
/// don't count.
const CURRENT_SAMPLES: usize = 9;
/// Number of periodic measurements whose lower quartile is the usual duration. With 20 measurements a second, a slow
/// machine's speed counts as usual after nine seconds; by then another entry owns the fleet.
const WINDOW_SAMPLES: usize = 240;
/// Rounds of the computation, about 12 us: much longer than the clock's resolution and shorter than a decision.
const ROUNDS: u64 = 5_000;
/// A machine at less than this share of its usual speed is slow. Changes of frequency and other load on
/// the same core can reduce the speed to a third for a quarter of a second, which is also the cost of a
/// change of owners.
const MIN_RELATIVE_SPEED: f64 = 0.25;

/// Measures how long the computation takes now.
pub fn measure() -> Duration {
    let began_at = clock::now();
    let sum = (0..ROUNDS).fold(0x9e37_79b9_7f4a_7c15_u64, |sum, round| {
        (sum ^ round).wrapping_mul(0xff51_afd7_ed55_8ccd).rotate_left(31)
    });
    black_box(sum);
    clock::since(began_at)
}

/// Tracks the speed of this machine.
#[derive(Debug, Clone)]
pub struct MachineSpeed {
    measure: fn() -> Duration,
    state: Rc<RefCell<State>>,
}

#[derive(Debug)]
struct State {
    /// The latest periodic measurements, newest last.
    window: VecDeque<Duration>,
    /// The latest measurements of any kind, newest last.
    current: VecDeque<Duration>,
}

impl MachineSpeed {
    /// Takes the first measurements, to which later ones are compared.
    pub fn new(measure: fn() -> Duration) -> Self {
        let state = State {
            window: VecDeque::with_capacity(WINDOW_SAMPLES),
            current: VecDeque::with_capacity(CURRENT_SAMPLES),
        };
        let speed = Self { measure, state: Rc::new(RefCell::new(state)) };
        (0..CURRENT_SAMPLES).for_each(|_| speed.sample());
        speed
    }

    /// Takes a periodic measurement.
    pub fn sample(&self) {
        let took = self.measure_once();
        let mut state = self.state.borrow_mut();
        push_latest(&mut state.window, took, WINDOW_SAMPLES);
        push_latest(&mut state.current, took, CURRENT_SAMPLES);
    }

    /// Takes all measurements of the current speed at once, where periodic ones would be too old. They don't count for
    /// the usual speed: a slow machine that takes them often would count as a fast one.
    pub fn sample_current(&self) {
        for _ in 0..CURRENT_SAMPLES {
            let took = self.measure_once();
            push_latest(&mut self.state.borrow_mut().current, took, CURRENT_SAMPLES);
        }
    }

    fn measure_once(&self) -> Duration {
        (self.measure)().max(Duration::from_nanos(1))
    }

    /// Returns the current speed as a share of the usual speed.
    pub fn relative_speed(&self) -> f64 {
        let state = self.state.borrow();
        let usual = quantile(&state.window, 4);
        let current = quantile(&state.current, 2);
        usual.as_secs_f64() / current.as_secs_f64()
    }

    /// Returns whether the machine is so slow that an entry on another one should own the fleet.
    pub fn is_slow(&self) -> bool {
        self.relative_speed() < MIN_RELATIVE_SPEED
    }
}

/// Appends a measurement and drops the oldest one beyond `capacity`.
fn push_latest(samples: &mut VecDeque<Duration>, took: Duration, capacity: usize) {
    if samples.len() == capacity {
        samples.pop_front();
    }
    samples.push_back(took);
}

/// Returns the measurement below which the `divisor`-th part of the samples lies.
fn quantile(samples: &VecDeque<Duration>, divisor: usize) -> Duration {
    let mut sorted: Vec<Duration> = samples.iter().copied().collect();
    sorted.sort_unstable();
    sorted[sorted.len() / divisor]
}

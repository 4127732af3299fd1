//! How fast this machine runs now, compared with what is usual for it.
//!
//! A machine that slows down for some seconds still renews its leases and answers, so nobody else takes
//! the fleet from it, while everything waits behind its decisions. A short computation whose length is
//! known shows it; load of our own doesn't change what it takes.

use std::{cell::RefCell, collections::VecDeque, hint::black_box, rc::Rc, time::Duration};

use crate::clock;

/// Measurements of which the middle counts, so that a few that were interrupted don't.
const MEASUREMENTS: usize = 9;
/// Measurements that tell what is usual: a quarter of them were faster than that. With 20 a second it takes
/// nine seconds of a slow machine until its slowness passes for usual; by then another entry has the fleet.
const REMEMBERED: usize = 240;
/// Rounds of the computation: some 12 us, long beside the clock's steps and short beside a decision.
const ROUNDS: u64 = 5_000;
/// A machine at less than this part of its usual speed is slow. Frequency steps and neighbours on the same
/// core have made a third of it for a quarter of a second; a change of owners costs as much.
const SLOW_BELOW: f64 = 0.25;

/// Takes one measurement: how long the computation takes now.
pub fn measure() -> Duration {
    let began_at = clock::now();
    let sum = (0..ROUNDS).fold(0x9e37_79b9_7f4a_7c15_u64, |sum, round| {
        (sum ^ round).wrapping_mul(0xff51_afd7_ed55_8ccd).rotate_left(31)
    });
    black_box(sum);
    clock::since(began_at)
}

/// The speed of this machine.
#[derive(Debug, Clone)]
pub struct MachineSpeed {
    measure: fn() -> Duration,
    state: Rc<RefCell<State>>,
}

#[derive(Debug)]
struct State {
    /// The last measurements, newest last.
    measured: VecDeque<Duration>,
}

impl MachineSpeed {
    /// Starts with some measurements, against which later ones are compared.
    pub fn new(measure: fn() -> Duration) -> Self {
        let state = State { measured: VecDeque::with_capacity(REMEMBERED) };
        let speed = Self { measure, state: Rc::new(RefCell::new(state)) };
        (0..MEASUREMENTS).for_each(|_| speed.sample());
        speed
    }

    /// Takes one more measurement.
    pub fn sample(&self) {
        let took = (self.measure)().max(Duration::from_nanos(1));
        let mut state = self.state.borrow_mut();
        if state.measured.len() == REMEMBERED {
            state.measured.pop_front();
        }
        state.measured.push_back(took);
    }

    /// Part of its usual speed that the machine has now.
    pub fn relative_speed(&self) -> f64 {
        let measured = &self.state.borrow().measured;
        let usual = ranked(measured.iter(), 4);
        let now = ranked(measured.iter().rev().take(MEASUREMENTS), 2);
        usual.as_secs_f64() / now.as_secs_f64()
    }

    /// Whether the machine is so slow that another one should decide.
    pub fn is_slow(&self) -> bool {
        self.relative_speed() < SLOW_BELOW
    }
}

/// The measurement that one part in `part` of some lies below.
fn ranked<'a>(measured: impl Iterator<Item = &'a Duration>, part: usize) -> Duration {
    let mut sorted: Vec<Duration> = measured.copied().collect();
    sorted.sort_unstable();
    sorted[sorted.len() / part]
}

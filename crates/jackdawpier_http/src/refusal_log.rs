//! Log lines about refused bodies, at most one a second.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use jackdawpier_kernel::body_budget::BodyFigures;

/// Minimum time between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    written_at: Option<Instant>,
    left_out: u64,
}

/// Writes the lines, each with the number of those that were left out before it.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog(Mutex<State>);

impl RefusalLog {
    /// Writes a line unless another one was written within the last second.
    pub(crate) fn write(&self, how: &str, figures: &BodyFigures) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.written_at.is_some_and(|at| at.elapsed() < MIN_INTERVAL) {
            state.left_out += 1;
            return;
        }
        state.written_at = Some(Instant::now());
        let left_out = std::mem::take(&mut state.left_out);
        drop(state);
        log::warn!(
            event = "body_refused",
            how,
            held_bytes = figures.room_bytes,
            received_bytes = figures.received_bytes,
            age_ms = figures.age.as_millis() as u64,
            stalled_ms = figures.stalled_for.as_millis() as u64,
            budget_held_bytes = figures.budget_held_bytes,
            budget_bytes = figures.budget_bytes,
            left_out;
            "a request body was refused"
        );
    }
}

//! From the learned demand to what a pool needs now, before long, and at the most.

use std::time::Duration;

use crate::{
    demand::{DayKind, DemandPattern},
    planner::Ceilings,
};

/// Growth looks this far ahead; a move takes about half of it.
const GROW_AHEAD: Duration = Duration::from_secs(6 * 60);
/// Shrinking looks this far ahead.
const SHRINK_AHEAD: Duration = Duration::from_secs(3 * 3600);
/// The same where the buffer weighs more than moves.
const SHRINK_AHEAD_PROMPT: Duration = Duration::from_secs(30 * 60);
/// A maintenance step looks this far ahead.
const STEP_AHEAD: Duration = Duration::from_secs(15 * 60);
/// Spreads kept above the mean for growth, before shrinking, and for what a maintenance step must
/// not endanger.
const GROW_CAUTION: f64 = 0.0;
const SHRINK_CAUTION: f64 = 0.5;
const STEP_CAUTION: f64 = 3.0;

/// What a pool needs, in instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// Now, or by the time that an instance could have joined.
    pub need: u32,
    /// At the most before a maintenance step that starts now has ended.
    pub cautious_need: u32,
    /// Before long, so that nothing is given up that is needed again at once.
    pub later_need: u32,
}

/// Forecasts the needs of a pool whose need is `present` now. `time` counts from some midnight;
/// `kind_of` tells the kind of the day of a time.
pub fn forecast(
    demand: &DemandPattern,
    present: u32,
    time: Duration,
    kind_of: impl Fn(Duration) -> DayKind,
    ceilings: &Ceilings,
) -> Forecast {
    let expected = |ahead: Duration, safety_factor: f64| {
        let (today, then) = (kind_of(time), kind_of(time + ahead));
        if today == then {
            return demand.max_expected(time, time + ahead, today, safety_factor);
        }
        let before = demand.max_expected(time, time, today, safety_factor);
        before.max(demand.max_expected(time, time + ahead, then, safety_factor))
    };
    let shrink_ahead =
        if ceilings.buffer_instances.is_some() { SHRINK_AHEAD_PROMPT } else { SHRINK_AHEAD };
    let need = present.max(expected(GROW_AHEAD, GROW_CAUTION));
    Forecast {
        need,
        cautious_need: need.max(expected(STEP_AHEAD, STEP_CAUTION)),
        later_need: expected(shrink_ahead, SHRINK_CAUTION),
    }
}

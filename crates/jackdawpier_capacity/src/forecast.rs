//! Forecast of a pool's needs from its learned demand.

use std::time::Duration;

use crate::{
    demand::{DayKind, DemandPattern},
    planner::Ceilings,
};

/// Forecast horizon for growth; about twice the time that a move takes.
const GROW_HORIZON: Duration = Duration::from_secs(6 * 60);
/// Forecast horizon for shrinking.
const SHRINK_HORIZON: Duration = Duration::from_secs(3 * 3600);
/// Forecast horizon for shrinking where the deployment limits its buffer.
const PROMPT_SHRINK_HORIZON: Duration = Duration::from_secs(30 * 60);
/// Forecast horizon for a maintenance step.
const MAINTENANCE_HORIZON: Duration = Duration::from_secs(15 * 60);
/// Mean deviations added to the mean demand before growing, before shrinking, and for the need that
/// a maintenance step must leave covered.
const GROW_SAFETY_FACTOR: f64 = 0.0;
const SHRINK_SAFETY_FACTOR: f64 = 0.5;
const MAINTENANCE_SAFETY_FACTOR: f64 = 3.0;

/// Forecast needs of a pool, in instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// Need now, or at any time before a new instance can have joined.
    pub need: u32,
    /// Upper estimate of the need until a maintenance step that starts now has ended.
    pub cautious_need: u32,
    /// Need in the near future; prevents the release of instances that would soon be needed again.
    pub later_need: u32,
}

/// Forecasts the needs of a pool whose need is `current_need` now. `time` counts from an arbitrary
/// midnight; `kind_of` returns the kind of the day of a time.
pub fn forecast(
    demand: &DemandPattern,
    current_need: u32,
    time: Duration,
    kind_of: impl Fn(Duration) -> DayKind,
    ceilings: &Ceilings,
) -> Forecast {
    let expected = |ahead: Duration, safety_factor: f64| {
        let (first_kind, last_kind) = (kind_of(time), kind_of(time + ahead));
        if first_kind == last_kind {
            return demand.max_expected(time, time + ahead, first_kind, safety_factor);
        }
        let at_start = demand.max_expected(time, time, first_kind, safety_factor);
        at_start.max(demand.max_expected(time, time + ahead, last_kind, safety_factor))
    };
    let shrink_horizon =
        if ceilings.buffer_instances.is_some() { PROMPT_SHRINK_HORIZON } else { SHRINK_HORIZON };
    let need = current_need.max(expected(GROW_HORIZON, GROW_SAFETY_FACTOR));
    Forecast {
        need,
        cautious_need: need.max(expected(MAINTENANCE_HORIZON, MAINTENANCE_SAFETY_FACTOR)),
        later_need: expected(shrink_horizon, SHRINK_SAFETY_FACTOR),
    }
}

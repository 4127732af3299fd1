//! A target is zero, or longer than a day.
//!
//! A target of zero instances or zero time can't be met, and requests have no deadlines beyond a
//! day.
//!
//! Example: `finish_within_ms: 0`; write the longest time that users accept.

use crate::{
    declaration::DeclarationOptions,
    rules::{Checker, ZERO_TARGET},
};

const DAY_MS: u64 = 24 * 60 * 60 * 1000;

pub(crate) fn check(options: &DeclarationOptions, checker: &mut Checker<'_>) {
    for class in &options.classes {
        let within = &class.finish_within_ms;
        if within.value == 0 || within.value > DAY_MS {
            let message = format!("{} ms is impossible", within.value);
            checker.report(
                &ZERO_TARGET,
                within,
                "classes.finish_within_ms",
                message,
                format!("1 to {DAY_MS}"),
            );
        }
        let capacity = &class.capacity_instances;
        if capacity.value == 0 {
            checker.report(
                &ZERO_TARGET,
                capacity,
                "classes.capacity_instances",
                "is zero",
                "at least 1",
            );
        }
    }
}

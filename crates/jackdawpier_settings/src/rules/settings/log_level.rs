//! The log level is none of the known ones.
//!
//! A misspelt level that fell back to a default would hide the events that were asked for.
//!
//! Example: `log_level: verbose` is refused; write `debug`.

use crate::{
    options::Options,
    rules::{Checker, LOG_LEVEL},
};

const LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

pub(crate) fn check(options: &Options, checker: &mut Checker<'_>) {
    let Some(level) = &options.log_level else { return };
    if !LEVELS.contains(&level.value.as_str()) {
        let message = format!("`{}` is not a level", level.value);
        checker.report(&LOG_LEVEL, level, "log_level", message, LEVELS.join(", "));
    }
}

//! The log level is unknown.
//!
//! If a misspelt level fell back to the default, the requested events would be missing from the log.
//!
//! Example: `log_level: verbose` is rejected; write `debug`.

use crate::{
    options::Options,
    rules::{Checker, LOG_LEVEL},
};

const LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

pub(crate) fn check(options: &Options, checker: &mut Checker<'_>) {
    let Some(level) = &options.log_level else { return };
    if !LEVELS.contains(&level.value.as_str()) {
        let message = format!("`{}` is not a log level", level.value);
        checker.report(&LOG_LEVEL, level, "log_level", message, LEVELS.join(", "));
    }
}

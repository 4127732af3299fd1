//! Structured logs on standard error, one JSON object a line.

use jackdawpier_settings::settings::Settings;
use log::LevelFilter;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::json::JsonEncoder,
};

const APPENDER: &str = "stderr";

/// Initializes logging.
pub(crate) fn init(settings: &Settings) -> Result<(), String> {
    let level: LevelFilter = settings.log_level.parse().unwrap_or(LevelFilter::Info);
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(level))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map(|_| ()).map_err(|error| error.to_string())
}

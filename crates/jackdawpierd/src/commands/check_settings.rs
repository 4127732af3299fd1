//! Reads the settings and prints each finding on one line.

use jackdawpier_settings::{loader::load_settings, settings::Settings};

use crate::exit_status::ExitStatus;

/// Loads the settings. Prints findings and returns the exit status if there are any.
pub(crate) fn load(file: &str) -> Result<Settings, ExitStatus> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("{file}: {error} (fix: name a readable settings file)");
        ExitStatus::BadSettings
    })?;
    load_settings(file, &text).map_err(|findings| {
        findings.iter().for_each(|finding| eprintln!("{finding}"));
        ExitStatus::BadSettings
    })
}

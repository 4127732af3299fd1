//! The daemon's commands, one file each.

mod check_settings;
mod run;

use crate::{args::Args, exit_status::ExitStatus};

/// Runs the command that `args` selects.
pub(crate) fn run(args: &Args) -> ExitStatus {
    let settings = match check_settings::load(&args.settings_file) {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    if args.check_settings {
        println!("{}: no findings", args.settings_file);
        return ExitStatus::Success;
    }
    run::run(settings)
}

//! The operators' command-line tool, as a library for its binary and the reference pages.

mod args;
mod client;
mod commands;
mod exit_status;
mod render;

use std::process::ExitCode;

/// Runs the tool with the process's command-line arguments.
pub fn main() -> ExitCode {
    match commands::run(&args::args().run()) {
        Ok(status) => status.into(),
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit_status().into()
        }
    }
}

/// Returns the command-line reference as Markdown.
pub fn command_line_reference() -> String {
    args::args().render_markdown("jackdawpier")
}

//! The operators' command-line tool, as a library for its binary and for the reference pages.

mod args;
mod client;
mod commands;
mod exit_status;
mod render;

use std::process::ExitCode;

/// Runs the tool's command line; `main` does nothing else.
pub fn main() -> ExitCode {
    match commands::run(&args::args().run()) {
        Ok(status) => status.into(),
        Err(failure) => {
            eprintln!("{failure}");
            failure.status().into()
        }
    }
}

/// The command line as Markdown, for the generated reference.
pub fn command_line_reference() -> String {
    args::args().render_markdown("jackdawpier")
}

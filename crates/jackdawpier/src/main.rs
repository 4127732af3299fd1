//! The operators' command-line tool.

mod args;
mod client;
mod commands;
mod exit_status;
mod render;

use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(&args::args().run()) {
        Ok(status) => status.into(),
        Err(failure) => {
            eprintln!("{failure}");
            failure.status().into()
        }
    }
}

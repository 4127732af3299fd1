//! The entry daemon: wiring of the decisions to HTTP, quinn and the store.
//!
//! Every instance is identical and keeps nothing. `docs/ARCHITECTURE.md` follows a request, a
//! change and a job through these modules.

mod args;
mod callers;
mod capacity;
mod commands;
mod control;
mod demand;
mod entry;
mod executor_client;
mod exit_status;
mod heartbeats;
mod instance_reader;
mod logging;
mod messages;
mod metrics;
mod operators;
mod peers;
mod plugins;
mod router;
mod service;
mod service_jobs;
mod service_state;
mod status;
mod stop;
mod traces;
mod view_sync;
mod worker_client;
mod writer_query;

use std::process::ExitCode;

/// Runs the daemon's command line; `main` does nothing else.
///
/// It is a library so that the development crate can read the registered roles and the command
/// line for the reference pages.
pub fn main() -> ExitCode {
    commands::run(&args::args().run()).into()
}

/// The command line as Markdown, for the generated reference.
pub fn command_line_reference() -> String {
    args::args().render_markdown("jackdawpierd")
}

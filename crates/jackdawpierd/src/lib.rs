//! The entry daemon: connects the decision logic to HTTP, quinn and the store.
//!
//! All daemons are identical and keep no durable state of their own. `docs/ARCHITECTURE.md`
//! describes the path of a request, a configuration change and a job through these modules.

mod args;
mod caller_limits;
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

/// Parses the command line and runs the daemon.
///
/// It is in a library so that the development crate can generate the reference pages from the
/// registered roles and the command line.
pub fn main() -> ExitCode {
    commands::run(&args::args().run()).into()
}

/// Returns the command line reference as Markdown.
pub fn command_line_reference() -> String {
    args::args().render_markdown("jackdawpierd")
}

//! The tool's commands, one module each.

mod apply;
mod explain;
mod get;
mod job;
mod plan;
mod report;
mod status;
mod wave;

use crate::{
    args::Args,
    client::Client,
    exit_status::{ExitStatus, Failure},
};

/// Runs the command given on the command line.
pub(crate) fn run(args: &Args) -> Result<ExitStatus, Failure> {
    match args {
        Args::Plan { common, file } => plan::run(&Client::new(&common.entry), common, file),
        Args::Apply { common, base, wait, file } => {
            apply::run(&Client::new(&common.entry), common, *base, *wait, file)
        }
        Args::Status { common, watch } => status::run(&Client::new(&common.entry), common, *watch),
        Args::Wave { common, action } => wave::run(&Client::new(&common.entry), common, *action),
        Args::Job { common, action, class, id } => {
            job::run(&Client::new(&common.entry), *action, class, id)
        }
        Args::Report { common, svg, days } => {
            report::run(&Client::new(&common.entry), common, svg.as_deref(), *days)
        }
        Args::Explain { common, class } => explain::run(&Client::new(&common.entry), common, class),
        Args::Get { common, deployment } => get::run(&Client::new(&common.entry), deployment),
    }
}

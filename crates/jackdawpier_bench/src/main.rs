//! Command line of the measurements.

use std::{alloc::System, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use jackdawpier_bench::{coordination, job_memory, owner, report, scale};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts what every state holds, for the slopes of memory.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measure the decisions in virtual time
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Buffer, moves, roll-out time and budgets over virtual days, against bounds and baselines
    #[bpaf(command)]
    Days {
        /// Weeks a case
        #[bpaf(argument("N"), fallback(4))]
        weeks: u32,
    },
    /// The trade-off between buffer and moves, as a table and an SVG plot
    #[bpaf(command("trade-off"))]
    TradeOff {
        /// Weeks a point
        #[bpaf(argument("N"), fallback(4))]
        weeks: u32,
        /// SVG file to write
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Fairness, goodput and retries of the dispatcher
    #[bpaf(command)]
    Routing,
    /// Urgent starts, packing and blame of the job queue
    #[bpaf(command)]
    Jobs,
    /// The store's writes for keyed requests
    #[bpaf(command)]
    Keyed,
    /// Processor time of the fleet owner's decisions under bursts
    #[bpaf(command)]
    Owner,
    /// Memory of jobs with thousands of tasks in the fleet's owner
    #[bpaf(command("job-memory"))]
    JobMemory,
    /// Slopes over the size of the fleet, and the figures at the size aimed at
    #[bpaf(command)]
    Scale,
}

fn main() -> ExitCode {
    match command().run() {
        Command::Days { weeks } => report::print_capacity(weeks),
        Command::TradeOff { weeks, file } => {
            if let Err(error) = report::draw_trade_off(&file, weeks) {
                eprintln!("{}: {error}", file.display());
                return ExitCode::FAILURE;
            }
        }
        Command::Routing => report::print_routing(),
        Command::Jobs => report::print_jobs(),
        Command::Keyed => coordination::print(),
        Command::Owner => owner::print(),
        Command::JobMemory => job_memory::print(),
        Command::Scale => scale::print(),
    }
    ExitCode::SUCCESS
}

//! Command line of the generators.

mod generate;

use std::{path::Path, process::ExitCode};

use bpaf::Bpaf;

/// Development helpers
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Write the pages that come from the code; run it in the root of the repository
    #[bpaf(command)]
    Generate {
        /// Only say whether the pages are current
        check: bool,
    },
}

fn main() -> ExitCode {
    let Command::Generate { check } = command().run();
    let root = Path::new(".");
    if check {
        let stale = generate::stale(root);
        stale.iter().for_each(|page| eprintln!("{page} differs from the code: run `generate`"));
        return if stale.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    match generate::write(root) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

//! The operators' command-line tool's binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    jackdawpier::main()
}

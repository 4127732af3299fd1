//! The entry daemon's binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    jackdawpierd::main()
}

//! The toucanhoist binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    toucanhoist::cli::run()
}

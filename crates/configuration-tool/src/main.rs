//! `hingestage-config`: checks, compares and merges configurations.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod arguments;
mod commands;
mod files;

use arguments::HingestageConfig;
use std::process::ExitCode;

/// Exit code for bad usage, I/O errors and invalid configurations.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    let arguments = HingestageConfig::from_env_or_exit();
    match commands::run(&arguments.subcommand) {
        Ok(outcome) => outcome.into(),
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

//! `hingestage-ctl`: tells operators the state of a running system, and what became of requests.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod arguments;
mod commands;
mod health;
mod lines;
mod survey;

use arguments::HingestageCtl;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// The exit code for bad usage, or where the tool itself fails.
const FAILURE: u8 = 2;

fn main() -> ExitCode {
    let arguments = HingestageCtl::from_env_or_exit();
    match run(arguments) {
        Ok(outcome) => outcome.into(),
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::from(FAILURE)
        }
    }
}

fn run(arguments: HingestageCtl) -> eyre::Result<commands::Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, commands::run(arguments.subcommand))
}

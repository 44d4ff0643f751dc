//! `hingestage-ctl`: shows operators the state of a running system and the outcome of requests.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod arguments;
mod commands;
mod format;
mod health;
mod survey;

use arguments::HingestageCtl;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Exit code for invalid usage or a failure of the tool itself.
const FAILURE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments = HingestageCtl::from_env_or_exit();
    match run(arguments) {
        Ok(outcome) => outcome.into(),
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::from(FAILURE_EXIT_CODE)
        }
    }
}

fn run(arguments: HingestageCtl) -> eyre::Result<commands::Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, commands::run(arguments.subcommand))
}

//! Program startup: command line, settings, log and runtime.

use crate::settings::Settings;
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::future::Future;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::task::LocalSet;

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Identifies one run of a process: the start time, Unix time in µs. Not monotonic if the clock is set back.
pub fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Unix time in ms by the system clock; may jump.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Name and description of a program.
pub struct Program {
    /// Name used in the log.
    pub name: &'static str,
    /// One sentence for `--help`.
    pub about: &'static str,
}

/// Runs a program on a single thread until its future completes.
pub fn run<F>(program: &Program, serve: impl FnOnce(Rc<Settings>) -> F) -> ExitCode
where
    F: Future<Output = eyre::Result<()>> + 'static,
{
    let flags = flags::Program::from_env_or_exit();
    if let Some(code) = handle_flags(program, &flags) {
        return code;
    }
    start_log();
    let settings = match Settings::load() {
        Ok(settings) => Rc::new(Settings { first_terms: flags.first_terms, ..settings }),
        Err(message) => {
            eprintln!("{}: settings: {message}", program.name);
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    log::info!("{} starts on {} ({}, {})", program.name, settings.node, settings.zone, settings.region);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{}: runtime: {error}", program.name);
            return ExitCode::FAILURE;
        }
    };
    let tasks = LocalSet::new();
    match tasks.block_on(&runtime, serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{}: {report:#}", program.name);
            ExitCode::FAILURE
        }
    }
}

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// A program of the system. Its settings file is named by the variable HINGESTAGE_SETTINGS.
        cmd program {
            /// Print the version and end.
            optional --version
            /// Check the settings file and end: 0 where it can be used, 2 where not.
            optional --check
            /// Registry: set terms of trials from this file where none have been set; see docs/on-trials.md.
            optional --first-terms file: PathBuf
        }
    }
}

/// Handles the flags that need no running program, and returns their exit code.
fn handle_flags(program: &Program, flags: &flags::Program) -> Option<ExitCode> {
    if flags.version {
        println!("{} {}: {}", program.name, env!("CARGO_PKG_VERSION"), program.about);
        return Some(ExitCode::SUCCESS);
    }
    flags.check.then(|| check_settings(program))
}

fn check_settings(program: &Program) -> ExitCode {
    match Settings::load() {
        Ok(settings) => {
            println!("{}: settings of {} can be used", program.name, settings.node);
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("{}: settings: {message}", program.name);
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

fn start_log() {
    let config = ConfigBuilder::new().set_time_level(LevelFilter::Off).build();
    // Tests may have installed a logger already.
    let _ = WriteLogger::init(LevelFilter::Info, config, std::io::stderr());
}

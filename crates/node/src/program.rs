//! How a program starts: command line, settings, log, runtime.

use crate::settings::Settings;
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::future::Future;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::task::LocalSet;

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// A number that tells the lives of a process apart: the time of day at its start, microseconds. A clock that was set
/// back in between may make it smaller.
pub fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Milliseconds since 1970 by this machine's clock, which may jump.
pub fn time_of_day() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What a program is called and does.
pub struct Program {
    /// Its name, as in the log.
    pub name: &'static str,
    /// One sentence for `--help`.
    pub about: &'static str,
}

/// Runs a program on one thread until its future ends.
pub fn run<F>(program: &Program, serve: impl FnOnce(Rc<Settings>) -> F) -> ExitCode
where
    F: Future<Output = eyre::Result<()>> + 'static,
{
    let flags = flags::Program::from_env_or_exit();
    if let Some(code) = answered_on_the_command_line(program, &flags) {
        return code;
    }
    start_log();
    let settings = match Settings::load() {
        Ok(settings) => Rc::new(Settings { first_terms: flags.first_terms, ..settings }),
        Err(message) => {
            eprintln!("{}: settings: {message}", program.name);
            return ExitCode::from(BAD_SETTINGS);
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

/// Does what needs no running program, and gives the exit code of that.
fn answered_on_the_command_line(program: &Program, flags: &flags::Program) -> Option<ExitCode> {
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
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

fn start_log() {
    let config = ConfigBuilder::new().set_time_level(LevelFilter::Off).build();
    // A logger is there already only in tests.
    let _ = WriteLogger::init(LevelFilter::Info, config, std::io::stderr());
}

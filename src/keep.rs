//! `hingestage keep`: a keeper of the policy as a process.

use crate::{block_on, Failed};
use clap::ValueEnum;
use hingestage_keep::config::Config;
use hingestage_keep::StartMode;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// How what is logged is written.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

/// Runs a keeper of the policy until it is told to end. Ends with 1 where its store takes no more: it says nothing
/// then that it might forget.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// The keeper's file; see `deploy/keeper.example.lisp`.
    file: PathBuf,
    /// Makes its store: it never ran, and is one of the keepers that begin.
    #[arg(long)]
    begin: bool,
    /// Makes its store: it never ran, and is added to keepers that have begun.
    #[arg(long, conflicts_with = "begin")]
    join: bool,
    /// How what is logged is written to the standard error.
    #[arg(long, value_enum, default_value = "text")]
    log: LogForm,
}

/// Runs it.
pub fn run(args: Args) -> Result<(), Failed> {
    let config = Config::load(&args.file).map_err(Failed::Asked)?;
    log(args.log);
    let start = match (args.begin, args.join) {
        (true, _) => StartMode::Bootstrap,
        (_, true) => StartMode::Join,
        _ => StartMode::Restart,
    };
    block_on(async move {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("no signals: {e}"))?;
        let stop = async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        hingestage_keep::run(config, start, stop).await
    })
    .map_err(Failed::Running)
}

fn log(form: LogForm) {
    // The log's library tells of each of its steps.
    let levels = Targets::new().with_default(LevelFilter::WARN).with_target("hingestage", LevelFilter::INFO);
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_target(false);
    let logged = tracing_subscriber::registry().with(levels);
    match form {
        LogForm::Text => logged.with(layer.with_ansi(false)).init(),
        LogForm::Json => logged.with(layer.json()).init(),
    }
}

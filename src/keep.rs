//! `hingestage keep`: runs a keeper, a replica of the policy store.

use crate::{block_on, Failed};
use clap::ValueEnum;
use hingestage_keep::config::Config;
use hingestage_keep::StartMode;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Format of the log.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

/// Runs a keeper of the policy until it is stopped. Exits with 1 if its store can't be written.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// The keeper's configuration file; see `deploy/keeper.example.lisp`.
    file: PathBuf,
    /// Creates the store of a keeper that never ran, as one of the initial keepers.
    #[arg(long)]
    begin: bool,
    /// Creates the store of a keeper that never ran and will be added to running keepers.
    #[arg(long, conflicts_with = "begin")]
    join: bool,
    /// Format of the log on standard error.
    #[arg(long, value_enum, default_value = "text")]
    log: LogFormat,
}

/// Runs the keeper.
pub fn run(args: Args) -> Result<(), Failed> {
    let config = Config::load(&args.file).map_err(Failed::InvalidInput)?;
    init_log(args.log);
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

/// Sets up logging.
fn init_log(format: LogFormat) {
    // Other crates, such as the Raft library, log every step at INFO.
    let levels = Targets::new().with_default(LevelFilter::WARN).with_target("hingestage", LevelFilter::INFO);
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_target(false);
    let logged = tracing_subscriber::registry().with(levels);
    match format {
        LogFormat::Text => logged.with(layer.with_ansi(false)).init(),
        LogFormat::Json => logged.with(layer.json()).init(),
    }
}

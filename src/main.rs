//! The command line. Without a subcommand it is the platform's gatekeeper: it reads its configuration, serves
//! until told to stop, and exits when all is answered.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use hingestage_gateway::config::Config;
use hingestage_gateway::driver::gatekeeper;
use hingestage_gateway::gateway::{serve, Reload};
use hingestage_platform::Tokio;
use std::future::Future;
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

/// Keeps each customer of a shared back end to its plan. Without a subcommand it serves as the platform's
/// gatekeeper, as `RELAY_CONFIG` says.
#[derive(Parser)]
#[command(name = "hingestage", version)]
struct Args {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Shows the gateway at work among stand-ins on loopback sockets.
    Lab(hingestage_lab::Args),
}

fn main() -> ExitCode {
    let args = Args::parse();
    // Requests would wait for ever behind a port that still accepts: better to end and be started again.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(101);
    }));
    let done = match args.command {
        None => start(),
        Some(Command::Lab(args)) => block_on(hingestage_lab::run(args)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hingestage: {message}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let config = Config::load(|name| std::env::var(name).ok())?;
    block_on(run(config))
}

fn block_on(task: impl Future<Output = Result<(), String>> + 'static) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    // As a task of its own: what `block_on` is given itself is polled at every turn of the loop.
    let served = async { spawn_local(task).await };
    LocalSet::new().block_on(&runtime, served).map_err(|e| e.to_string())?
}

async fn run(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    // Without a handler the signal would end the program. It goes on while stopping as well.
    let hang_up = signal(SignalKind::hangup()).map_err(|e| format!("no signals: {e}"))?;
    let (tell, reloads) = mpsc::channel(1);
    spawn_local(read_again(hang_up, tell));
    let stop = async move {
        let _ = term.recv().await;
    };
    serve(Tokio, config, gatekeeper, stop, reloads).await
}

/// Reads the configuration again at each signal.
async fn read_again(mut hang_up: Signal, tell: mpsc::Sender<Reload>) {
    while hang_up.recv().await.is_some() {
        if tell.send(Config::reload(|name| std::env::var(name).ok())).await.is_err() {
            return;
        }
    }
}

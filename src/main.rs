//! One gateway: reads its configuration, serves until told to stop, and exits when all is answered.
#![forbid(unsafe_code)]

use hingestage_gateway::config::Config;
use hingestage_gateway::driver::gatekeeper;
use hingestage_gateway::gateway::{serve, Reload};
use hingestage_platform::Tokio;
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

fn main() -> ExitCode {
    // Requests would wait for ever behind a port that still accepts: better to end and be started again.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(101);
    }));
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hingestage: {message}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let config = Config::load(|name| std::env::var(name).ok())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    // As a task of its own: what `block_on` is given itself is polled at every turn of the loop.
    let served = async { spawn_local(run(config)).await };
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

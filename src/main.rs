//! One gateway: reads its configuration, serves until told to stop, and exits when all is answered.
#![forbid(unsafe_code)]

use hingestage_gateway::config::Config;
use hingestage_gateway::discovery::{Book, Watcher};
use hingestage_gateway::driver::Driver;
use hingestage_gateway::server::Server;
use hingestage_policy::ListScope;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// Past the longest deadline after the call to stop nothing can be owed any more.
const STOP_SPARE: Duration = Duration::from_millis(600);
/// How long discovery may stay silent before the list of an earlier life is gone by.
const KNOWN_WILL_DO: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    // Requests would wait for ever behind a port that still accepts: better to end and be started again.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(101);
    }));
    let run = || -> Result<(), String> {
        let config = Config::load(|name| std::env::var(name).ok())?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
        // As a task of its own: what `block_on` is given itself is polled at every turn of the loop.
        let served = async { spawn_local(serve(config)).await };
        LocalSet::new().block_on(&runtime, served).map_err(|e| e.to_string())?
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hingestage: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| format!("no signals: {e}"))?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("field `listen`: {}: {e}", config.listen))?;
    let bound = listener.local_addr().map_err(|e| format!("field `listen`: {e}"))?;
    eprintln!("hingestage: listening on {bound}");
    let driver = Driver::new(&config);
    let server = Server::new(driver.clone(), &config);
    let book = Book::default();
    book.apply(&driver, &config.known, ListScope::Cached);
    let watcher = Watcher::start(driver.clone(), book, config.discovery, config.known.rev, {
        let server = server.clone();
        move || server.set_ready()
    });
    // Without a handler the signal would end the program. It goes on while stopping as well.
    spawn_local({
        let driver = driver.clone();
        async move {
            while hang_up.recv().await.is_some() {
                reconfigure(&driver, &watcher);
            }
        }
    });
    if !config.known.targets.is_empty() {
        // While discovery is down the list of before is all there is, and serves well enough.
        let server = server.clone();
        spawn_local(async move {
            tokio::time::sleep(KNOWN_WILL_DO).await;
            server.set_ready();
        });
    }
    spawn_local(driver.counter.clone().run());
    spawn_local({
        let server = server.clone();
        async move {
            loop {
                tokio::time::sleep(Duration::from_secs(1)).await;
                driver.workers.retire_idle();
                server.close_stuck();
            }
        }
    });
    tokio::select! {
        () = server.accept(&listener) => {}
        _ = term.recv() => {}
    }
    server.stop(listener, config.longest_deadline() + STOP_SPARE).await;
    Ok(())
}

/// Goes where the file sends it now. What can't be read changes nothing.
fn reconfigure(driver: &Driver, watcher: &Rc<Watcher>) {
    match Config::reload(|name| std::env::var(name).ok()) {
        Ok(config) => {
            eprintln!("hingestage: configuration read again");
            watcher.go_to(config.discovery);
            if let Some(at) = config.counter {
                driver.counter.go_to(at);
            }
        }
        Err(message) => eprintln!("hingestage: the old configuration stays: {message}"),
    }
}

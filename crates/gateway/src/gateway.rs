//! One gateway put together: serves from its start until all is answered after the call to stop.

use crate::config::Config;
use crate::discovery::{Book, Watcher};
use crate::driver::{Driver, MakeDecisions};
use crate::server::Server;
use hingestage_platform::{Listener, Platform};
use hingestage_policy::ListScope;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Past the longest deadline after the call to stop nothing can be owed any more.
const STOP_SPARE: Duration = Duration::from_millis(600);
/// How long discovery may stay silent before the list of an earlier life is gone by.
const KNOWN_WILL_DO: Duration = Duration::from_secs(1);
/// Period of housekeeping.
const TIDY: Duration = Duration::from_secs(1);

/// A configuration read again while running, or why it could not be.
pub type Reload = Result<Config, String>;

/// Serves until `stop` ends, and then until nothing is owed any more. What comes through `reloads` says where
/// discovery and counter are from then on; what could not be read changes nothing.
///
/// # Errors
/// The listening address can't be had; the message names the field.
pub async fn serve<P: Platform>(
    platform: P,
    config: Config,
    decide: MakeDecisions,
    stop: impl Future<Output = ()>,
    reloads: mpsc::Receiver<Reload>,
) -> Result<(), String> {
    let listener = platform.listen(config.listen).await;
    let listener = listener.map_err(|e| format!("field `listen`: {}: {e}", config.listen))?;
    let bound = listener.local_addr().map_err(|e| format!("field `listen`: {e}"))?;
    platform.log(format_args!("listening on {bound}"));
    let driver = Driver::new(platform.clone(), &config, decide);
    let server = Server::new(driver.clone(), &config);
    let book = Book::default();
    book.apply(&driver, &config.known, ListScope::Cached);
    let watcher = Watcher::start(driver.clone(), book, config.discovery, config.known.rev, {
        let server = server.clone();
        move || server.set_ready()
    });
    platform.spawn(follow_reloads(driver.clone(), watcher, reloads));
    if !config.known.targets.is_empty() {
        // While discovery is down the list of before is all there is, and serves well enough.
        let (server, sleep) = (server.clone(), platform.sleep(KNOWN_WILL_DO));
        platform.spawn(async move {
            sleep.await;
            server.set_ready();
        });
    }
    platform.spawn(driver.counter.clone().run());
    platform.spawn(tidy(driver, server.clone()));
    tokio::select! {
        biased;
        () = stop => {}
        () = server.accept(&listener) => {}
    }
    server.stop(listener, config.longest_deadline() + STOP_SPARE).await;
    Ok(())
}

async fn tidy<P: Platform>(driver: Rc<Driver<P>>, server: Rc<Server<P>>) {
    loop {
        driver.platform.sleep(TIDY).await;
        driver.workers.retire_idle();
        driver.gauge();
        server.close_stuck();
    }
}

/// Goes where the file sends it now, while stopping as well.
async fn follow_reloads<P: Platform>(
    driver: Rc<Driver<P>>,
    watcher: Rc<Watcher<P>>,
    mut reloads: mpsc::Receiver<Reload>,
) {
    while let Some(reload) = reloads.recv().await {
        match reload {
            Ok(config) => {
                driver.platform.log(format_args!("configuration read again"));
                watcher.go_to(config.discovery);
                if let Some(at) = config.counter {
                    driver.counter.go_to(at);
                }
            }
            Err(message) => driver.platform.log(format_args!("the old configuration stays: {message}")),
        }
    }
}

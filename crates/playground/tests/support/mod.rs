//! The programs of the system in threads of the test, and waits for what happens, each with a bound.

pub use hingestage_fixtures::block_on;
use hingestage_node::Settings;
use hingestage_platform::{Platform, Tokio};
use hingestage_playground::clients::{is_served, Ask};
use hingestage_playground::http::call;
use hingestage_playground::layout::{Layout, ProcessSpec, Program};
use hingestage_playground::operator::{put_config, Edition};
use hingestage_playground::surroundings::Surroundings;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Pause between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(20);

/// Time for the whole system to come up, on a machine that does other things as well.
pub const START_WITHIN: Duration = Duration::from_secs(10);

/// A small system at addresses that no other process has, with its first configuration.
pub async fn start_system() -> (Layout, Rc<Surroundings>, Threads) {
    let process = std::process::id();
    let layout = Layout::new(2 + (process / 250 % 250) as u8, (process % 250) as u8);
    let surroundings = Surroundings::start(&layout).await.unwrap();
    let threads = Threads::start(&layout);
    put_config(&layout, Edition::First, START_WITHIN).await.unwrap();
    (layout, surroundings, threads)
}

/// Programs in threads; they end with this value.
pub struct Threads {
    running: Vec<(oneshot::Sender<()>, JoinHandle<()>)>,
    directory: PathBuf,
}

impl Threads {
    /// Starts all processes of a layout for the first time.
    pub fn start(layout: &Layout) -> Threads {
        let directory = std::env::temp_dir().join(format!("hingestage-system-test-{}", std::process::id()));
        let start = |process: &ProcessSpec| start(layout, process, &directory);
        Threads { running: layout.processes().iter().map(start).collect(), directory: directory.clone() }
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        let (tells, threads): (Vec<_>, Vec<_>) = self.running.drain(..).unzip();
        drop(tells);
        threads.into_iter().for_each(|thread| drop(thread.join()));
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn start(layout: &Layout, process: &ProcessSpec, directory: &Path) -> (oneshot::Sender<()>, JoinHandle<()>) {
    let text = layout.settings(process, directory, true).unwrap();
    let settings = Settings::parse(&text).unwrap();
    if let Some(dir) = &settings.data_dir {
        std::fs::create_dir_all(dir).unwrap();
    }
    let (tell, told) = oneshot::channel();
    let program = process.program;
    let thread = std::thread::spawn(move || block_on(serve(program, settings, told)));
    (tell, thread)
}

async fn serve(program: Program, settings: Settings, told: oneshot::Receiver<()>) {
    let settings = Rc::new(settings);
    let serving = async {
        match program {
            Program::Registry => hingestage_registry::server::serve(settings).await,
            Program::ConfigStore => hingestage_config_store::server::serve(settings).await,
            Program::Proxy => hingestage_proxy::server::serve(settings).await,
        }
    };
    tokio::select! {
        ended = serving => panic!("a program ended by itself: {ended:?}"),
        _ = told => {}
    }
}

/// Waits until something holds; fails with its name when the time is up.
pub async fn until(what: &str, within: Duration, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + within;
    while !holds().await {
        assert!(Instant::now() < end, "not within {within:?}: {what}");
        Tokio.sleep(LOOK).await;
    }
}

/// Whether the platform is told that a proxy is ready.
pub async fn is_ready(readiness: SocketAddr) -> bool {
    let reply = call(readiness, Method::GET, "/ready", Default::default(), Duration::from_secs(1)).await;
    reply.is_ok_and(|reply| reply.status == StatusCode::OK)
}

/// Whether a request is served at a proxy.
pub async fn serves(proxy: SocketAddr, ask: &Ask) -> bool {
    ask.send_to(proxy).await.is_ok_and(|reply| is_served(&reply))
}

/// The status that a proxy gives a request, where it gives any.
pub async fn status(proxy: SocketAddr, ask: &Ask) -> Option<StatusCode> {
    ask.send_to(proxy).await.ok().map(|reply| reply.status)
}

/// A request that is routed while an edition is in force.
pub fn probe(edition: Edition) -> Ask {
    Ask { mutating: false, path: edition.probe_path(), key: None }
}

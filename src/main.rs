//! The `hingestage` command line. Without a subcommand it runs the gateway until it is stopped and all requests are
//! answered.
#![forbid(unsafe_code)]

mod keep;
mod policy;
mod sites;
mod srv;

use clap::{Parser, Subcommand};
use hingestage_gateway::config::Config;
use hingestage_gateway::driver::gatekeeper;
use hingestage_gateway::gateway::{serve_on, Control};
use hingestage_handover::{Predecessor, SocketOffer, TakenOver};
use hingestage_operator::Operator;
use hingestage_platform::Tokio;
use hingestage_print::say;
use std::ffi::OsString;
use std::future::Future;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle, LocalSet};

/// Keeps each customer of a shared back end to its plan. Without a subcommand it runs the gateway that `RELAY_CONFIG`
/// configures.
#[derive(Parser)]
#[command(name = "hingestage", version)]
struct Args {
    /// The operator file; see `deploy/operator.example.lisp`.
    #[arg(long, env = "RELAY_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Demonstrates the gateway with simulated workers and services on loopback sockets.
    Lab(hingestage_sandbox::Args),
    /// Demonstrates the whole system: registries, stores and proxies as processes on loopback addresses.
    System(hingestage_playground::Args),
    /// Lets trials of a tenant expire on systems of real processes, with faults, and checks what clients saw.
    Expire(hingestage_playground::expiry::Args),
    /// Ends and restarts processes of whole systems under clients that keep their connections, and checks that nothing
    /// that was taken is lost.
    Soak(hingestage_playground::soak::Args),
    /// Checks an operator file. Errors name the field and its place.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Follows the SRV records of a name for a while and shows the accepted endpoints, and why. Exits with 3 if none
    /// were accepted.
    Srv(srv::Args),
    /// Runs a fleet of processes among simulated services, with faults, and checks its behaviour from outside.
    Rehearse(hingestage_rehearse::Args),
    /// Checks and compares policy documents (plans, classes, accounts), and sends changes to the keepers.
    Policy {
        #[command(subcommand)]
        task: policy::Task,
    },
    /// Plans for the loss of sites: where their load goes and what is refused first.
    Sites {
        #[command(subcommand)]
        task: sites::Task,
    },
    /// Runs a keeper of the policy; see `docs/on-change.md`.
    Keep(keep::Args),
    /// Replaces this process by a program that is killed when the given parent process ends.
    #[command(hide = true)]
    Leash {
        /// Process id of the parent.
        parent: u32,
        /// The program.
        program: PathBuf,
        /// Arguments of the program.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    // After a panic the process exits, so that requests don't wait at a port that nobody serves.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(101);
    }));
    let done = match args.command {
        None => start(args.operator),
        Some(Command::Lab(args)) => block_on(hingestage_sandbox::run(args)).map_err(Failed::Running),
        Some(Command::Expire(args)) => {
            block_on(hingestage_playground::expiry::run(args)).map_err(Failed::Running)
        }
        Some(Command::Soak(args)) => {
            block_on(hingestage_playground::soak::run(args)).map_err(Failed::Running)
        }
        Some(Command::System(args)) => block_on(hingestage_playground::run(args)).map_err(Failed::Running),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Srv(args)) => srv::run(args),
        Some(Command::Rehearse(args)) => rehearse(args),
        Some(Command::Policy { task }) => policy::run(task),
        Some(Command::Sites { task }) => sites::run(task),
        Some(Command::Keep(args)) => keep::run(args),
        Some(Command::Leash { parent, program, args }) => {
            Err(Failed::Running(hingestage_rehearse::leash(parent, &program, &args)))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failed) => {
            let (message, code) = match failed {
                Failed::Running(message) => (message, ExitCode::FAILURE),
                Failed::InvalidInput(message) => (message, ExitCode::from(2)),
                Failed::Inconclusive(message) => (message, ExitCode::from(3)),
                Failed::CalledOff(message) => (message, ExitCode::from(4)),
                Failed::Unknown(message) => (message, ExitCode::from(5)),
            };
            eprintln!("hingestage: {message}");
            code
        }
    }
}

/// Why a command failed; each variant has an exit code of its own.
enum Failed {
    /// Error while running; exit code 1.
    Running(String),
    /// Invalid input file or command line; exit code 2.
    InvalidInput(String),
    /// The command ran without a usable result: no response, a machine too slow, or a change that needs confirmation;
    /// exit code 3.
    Inconclusive(String),
    /// A change was called off; exit code 4.
    CalledOff(String),
    /// The result of a change is unknown; exit code 5.
    Unknown(String),
}

/// Runs the gateway.
fn start(operator: Option<PathBuf>) -> Result<(), Failed> {
    let read = read_operator(operator.as_deref()).map_err(Failed::InvalidInput)?;
    let config = Config::load(|name| std::env::var(name).ok()).map_err(Failed::Running)?;
    if config.admin.is_none() && read.fleet.as_ref().is_some_and(|fleet| !fleet.peers.is_empty()) {
        return Err(Failed::InvalidInput(
            "field `fleet.peer`: peers need the operators' address, RELAY_ADMIN".into(),
        ));
    }
    let sites =
        read.sites.map(|file| sites::site_plans(file, &config)).transpose().map_err(Failed::InvalidInput)?;
    let config = Config { srv: read.srv, fleet: read.fleet, policy: read.policy, sites, ..config };
    block_on(run(config, operator)).map_err(Failed::Running)
}

fn read_operator(file: Option<&Path>) -> Result<Operator, String> {
    file.map_or_else(|| Ok(Operator::default()), Operator::load)
}

/// Checks an operator file and prints a summary.
fn check(file: &Path) -> Result<(), Failed> {
    let operator = Operator::load(file).map_err(Failed::InvalidInput)?;
    if operator == Operator::default() {
        say!("nothing is asked for");
    }
    if let Some(srv) = operator.srv {
        say!("srv: {} from {} servers", srv.settings.name, srv.settings.servers.len());
    }
    if let Some(fleet) = operator.fleet {
        let roll = if fleet.roll_call { "with" } else { "without" };
        say!("fleet: {} peers, {roll} a roll call", fleet.peers.len());
    }
    if let Some(sites) = operator.sites {
        say!("sites: {}, {} loads", sites.sites.len(), sites.loads.len());
    }
    if let Some(policy) = operator.policy {
        say!("policy: gateway {} by the word of {} keepers", policy.name, policy.keepers.len());
    }
    Ok(())
}

fn rehearse(args: hingestage_rehearse::Args) -> Result<(), Failed> {
    use hingestage_rehearse::Outcome;
    let outcome = block_on(async { Ok(hingestage_rehearse::run(args).await) });
    match outcome.map_err(Failed::Running)? {
        Outcome::Holds => Ok(()),
        Outcome::Broken(message) => Err(Failed::Running(message)),
        Outcome::Asked(message) => Err(Failed::InvalidInput(message)),
        Outcome::Void(message) => Err(Failed::Inconclusive(message)),
    }
}

/// Runs a task on a new single-threaded runtime.
fn block_on<T: 'static>(task: impl Future<Output = Result<T, String>> + 'static) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    // Spawned, since the future passed to `block_on` itself is polled in every iteration of the event loop.
    let served = async { spawn_local(task).await };
    LocalSet::new().block_on(&runtime, served).map_err(|e| e.to_string())?
}

async fn run(config: Config, operator: Option<PathBuf>) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    // Without a handler SIGHUP would end the process. Reloads also work while stopping.
    let hang_up = signal(SignalKind::hangup()).map_err(|e| format!("no signals: {e}"))?;
    let handover_path = handover_path(&config);
    let (listener, _predecessor) = listen(&config, handover_path.as_deref())?;
    let (sender, controls) = mpsc::channel(4);
    let offered = handover_path.and_then(|path| offer(&path, &listener, sender.clone()));
    spawn_local(reload_on_signal(hang_up, operator, sender.clone()));
    spawn_local(async move {
        if term.recv().await.is_some() {
            // Closes the offered copy of the listening socket: connections queued on it would be lost.
            offered.inspect(|offered| offered.abort());
            let _ = sender.send(Control::Stop).await;
        }
    });
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|e| format!("field `listen`: {e}"))?;
    serve_on(Tokio, config, gatekeeper, listener, controls).await
}

/// Path at which processes of this gateway hand over the listening socket.
fn handover_path(config: &Config) -> Option<PathBuf> {
    hingestage_handover::socket_path(&PathBuf::from(std::env::var_os("TMPDIR")?), config.listen)
}

/// Takes over the listening socket from the process in service, or binds a new one.
fn listen(config: &Config, path: Option<&Path>) -> Result<(TcpListener, Option<Predecessor>), String> {
    let at = config.listen;
    let taken = path.map(|path| hingestage_handover::take_over(path, at)).transpose();
    if let Some(TakenOver { listener, predecessor }) =
        taken.map_err(|e| format!("the process in service: {e}"))?.flatten()
    {
        eprintln!("hingestage: takes over from the process in service");
        return Ok((listener, Some(predecessor)));
    }
    let listener = bind(at).map_err(|e| format!("field `listen`: {at}: {e}"))?;
    Ok((listener, None))
}

/// Binds with the default backlog of 128, so that clients notice an overload instead of waiting in a long queue.
fn bind(at: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Offers the listening socket to a successor. A failure is logged and otherwise ignored.
fn offer(path: &Path, listener: &TcpListener, sender: mpsc::Sender<Control>) -> Option<AbortHandle> {
    let offer = listener.try_clone().and_then(|listener| SocketOffer::new(path, listener));
    match offer {
        Ok(offer) => {
            let serve = offer.serve(move |serves| {
                // Sent from a task, since the channel may be full.
                let sender = sender.clone();
                spawn_local(async move { sender.send(Control::Successor(serves)).await });
            });
            Some(spawn_local(serve).abort_handle())
        }
        Err(e) => {
            eprintln!("hingestage: no process can take over: {}: {e}", path.display());
            None
        }
    }
}

/// Reloads the configuration and the operator file at each SIGHUP.
async fn reload_on_signal(mut hang_up: Signal, operator: Option<PathBuf>, sender: mpsc::Sender<Control>) {
    while hang_up.recv().await.is_some() {
        let reload = Config::reload(|name| std::env::var(name).ok()).and_then(|config| {
            let read = read_operator(operator.as_deref())?;
            let sites = read.sites.map(|file| sites::site_plans(file, &config)).transpose()?;
            Ok(Config { srv: read.srv, fleet: read.fleet, policy: read.policy, sites, ..config })
        });
        if sender.send(Control::Reload(Box::new(reload))).await.is_err() {
            return;
        }
    }
}

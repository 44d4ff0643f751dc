//! The command line. Without a subcommand it is the platform's gatekeeper: it reads its configuration, serves
//! until told to stop, and exits when all is answered.
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

/// Keeps each customer of a shared back end to its plan. Without a subcommand it serves as the platform's
/// gatekeeper, as `RELAY_CONFIG` says.
#[derive(Parser)]
#[command(name = "hingestage", version)]
struct Args {
    /// The operators' own file; see `deploy/operator.example.lisp`.
    #[arg(long, env = "RELAY_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Shows the gateway at work among stand-ins on loopback sockets.
    Lab(hingestage_lab::Args),
    /// Shows the whole system at work: registries, stores and proxies as processes on loopback addresses.
    System(hingestage_playground::Args),
    /// Lets trials of a tenant run out on whole systems of real processes, with faults, and judges what clients saw.
    Expire(hingestage_playground::expiry::Args),
    /// Checks an operators' file; a fault is named with its field and place.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Follows a name's SRV records for a while and tells what would be believed, and why. Ends with 3 where
    /// nothing was believed.
    Srv(srv::Args),
    /// Plays a fleet of processes among stand-ins, with faults between them, and judges it from outside.
    Rehearse(hingestage_rehearse::Args),
    /// Documents of policy: plans, classes, accounts. Checks and compares them, and asks keepers to change to one.
    Policy {
        #[command(subcommand)]
        task: policy::Task,
    },
    /// Plans for the loss of a site: where its load goes and what is refused first.
    Sites {
        #[command(subcommand)]
        task: sites::Task,
    },
    /// Runs a keeper of the policy; see `docs/on-change.md`.
    Keep(keep::Args),
    /// Becomes a program that ends when the process that started this one does.
    #[command(hide = true)]
    Leash {
        /// The process that it ends with.
        parent: u32,
        /// The program.
        program: PathBuf,
        /// What it is told.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
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
        None => start(args.operator),
        Some(Command::Lab(args)) => block_on(hingestage_lab::run(args)).map_err(Failed::Running),
        Some(Command::Expire(args)) => {
            block_on(hingestage_playground::expiry::run(args)).map_err(Failed::Running)
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
                Failed::Asked(message) => (message, ExitCode::from(2)),
                Failed::Unheard(message) => (message, ExitCode::from(3)),
                Failed::CalledOff(message) => (message, ExitCode::from(4)),
                Failed::Unknown(message) => (message, ExitCode::from(5)),
            };
            eprintln!("hingestage: {message}");
            code
        }
    }
}

/// Why the program ends without having done what was asked.
enum Failed {
    /// Something went wrong.
    Running(String),
    /// It was asked for what makes no sense: a fault in the operators' file or the command line.
    Asked(String),
    /// It did, and what came is no answer: nobody was heard, the machine was too slow, a change wants a word
    /// more. A code of its own, so that a script can tell.
    Unheard(String),
    /// A change was called off.
    CalledOff(String),
    /// It is not known what became of it.
    Unknown(String),
}

fn start(operator: Option<PathBuf>) -> Result<(), Failed> {
    let read = read_operator(operator.as_deref()).map_err(Failed::Asked)?;
    let config = Config::load(|name| std::env::var(name).ok()).map_err(Failed::Running)?;
    if config.admin.is_none() && read.fleet.as_ref().is_some_and(|fleet| !fleet.peers.is_empty()) {
        return Err(Failed::Asked(
            "field `fleet.peer`: peers need the operators' address, RELAY_ADMIN".into(),
        ));
    }
    let sites = read.sites.map(|file| sites::planned(file, &config)).transpose().map_err(Failed::Asked)?;
    let config = Config { srv: read.srv, fleet: read.fleet, policy: read.policy, sites, ..config };
    block_on(run(config, operator)).map_err(Failed::Running)
}

fn read_operator(file: Option<&Path>) -> Result<Operator, String> {
    file.map_or_else(|| Ok(Operator::default()), Operator::load)
}

fn check(file: &Path) -> Result<(), Failed> {
    let operator = Operator::load(file).map_err(Failed::Asked)?;
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
        Outcome::Asked(message) => Err(Failed::Asked(message)),
        Outcome::Void(message) => Err(Failed::Unheard(message)),
    }
}

fn block_on<T: 'static>(task: impl Future<Output = Result<T, String>> + 'static) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    // As a task of its own: what `block_on` is given itself is polled at every turn of the loop.
    let served = async { spawn_local(task).await };
    LocalSet::new().block_on(&runtime, served).map_err(|e| e.to_string())?
}

async fn run(config: Config, operator: Option<PathBuf>) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    // Without a handler the signal would end the program. It goes on while stopping as well.
    let hang_up = signal(SignalKind::hangup()).map_err(|e| format!("no signals: {e}"))?;
    let place = handover_place(&config);
    let (listener, _predecessor) = listen(&config, place.as_deref())?;
    let (tell, controls) = mpsc::channel(4);
    let offered = place.and_then(|place| offer(&place, &listener, tell.clone()));
    spawn_local(read_again(hang_up, operator, tell.clone()));
    spawn_local(async move {
        if term.recv().await.is_some() {
            // Its part of the listening socket goes too: a queue that nobody accepts from would lose requests.
            offered.inspect(|offered| offered.abort());
            let _ = tell.send(Control::Stop).await;
        }
    });
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|e| format!("field `listen`: {e}"))?;
    serve_on(Tokio, config, gatekeeper, listener, controls).await
}

/// Where processes of this gateway pass their listening socket on: in the folder that they share.
fn handover_place(config: &Config) -> Option<PathBuf> {
    hingestage_handover::socket_path(&PathBuf::from(std::env::var_os("TMPDIR")?), config.listen)
}

/// The listening socket: that of the process in service, where there is one, else a new one.
fn listen(
    config: &Config,
    place: Option<&std::path::Path>,
) -> Result<(TcpListener, Option<Predecessor>), String> {
    let at = config.listen;
    let taken = place.map(|place| hingestage_handover::take_over(place, at)).transpose();
    if let Some(TakenOver { listener, predecessor }) =
        taken.map_err(|e| format!("the process in service: {e}"))?.flatten()
    {
        eprintln!("hingestage: takes over from the process in service");
        return Ok((listener, Some(predecessor)));
    }
    let listener = bind(at).map_err(|e| format!("field `listen`: {at}: {e}"))?;
    Ok((listener, None))
}

/// With the system library's queue of 128: a longer one would hide a crowd from those who wait behind it.
fn bind(at: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Offers the listening socket to a successor. Without it the gateway serves all the same.
fn offer(
    place: &std::path::Path,
    listener: &TcpListener,
    tell: mpsc::Sender<Control>,
) -> Option<AbortHandle> {
    let offer = listener.try_clone().and_then(|listener| SocketOffer::new(place, listener));
    match offer {
        Ok(offer) => {
            let serve = offer.serve(move |serves| {
                // A full channel means that several things were told within one turn: the task waits its turn.
                let tell = tell.clone();
                spawn_local(async move { tell.send(Control::Successor(serves)).await });
            });
            Some(spawn_local(serve).abort_handle())
        }
        Err(e) => {
            eprintln!("hingestage: no process can take over: {}: {e}", place.display());
            None
        }
    }
}

/// Reads the configuration and the operators' file again at each signal.
async fn read_again(mut hang_up: Signal, operator: Option<PathBuf>, tell: mpsc::Sender<Control>) {
    while hang_up.recv().await.is_some() {
        let reload = Config::reload(|name| std::env::var(name).ok()).and_then(|config| {
            let read = read_operator(operator.as_deref())?;
            let sites = read.sites.map(|file| sites::planned(file, &config)).transpose()?;
            Ok(Config { srv: read.srv, fleet: read.fleet, policy: read.policy, sites, ..config })
        });
        if tell.send(Control::Reload(Box::new(reload))).await.is_err() {
            return;
        }
    }
}

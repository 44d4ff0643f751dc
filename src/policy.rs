//! `hingestage policy`: checks and compares policy documents, and sends changes to the keepers.

use crate::{block_on, Failed};
use clap::Subcommand;
use hingestage_change::rollout::{Change, ChangeOutcome, Micros, Mode, Version};
use hingestage_change::state::{ProposeRequest, Report};
use hingestage_change::{dangers, date, diff, read, Policy};
use hingestage_keep::client::{CallFailure as CallError, KeeperClient};
use hingestage_print::say;
use hyper::Method;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};
use tokio::time::sleep;

/// Time after which the result of a call is unknown; covers an election of a leader.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Polling interval while waiting for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Extra time to wait after the deadline of a change, or after the time at which it comes into force.
const WAIT_MARGIN: Duration = Duration::from_secs(30);
/// Maximum number of gateways named in a line of progress.
const NAMED_MAX: usize = 4;

/// Addresses of the keepers.
#[derive(clap::Args, Debug)]
pub struct At {
    /// The keepers, as `0=127.0.0.1:7000,1=127.0.0.1:7001`.
    #[arg(long, env = "HINGESTAGE_KEEPERS", value_name = "KEEPERS", value_delimiter = ',', value_parser = keeper)]
    keepers: Vec<(u64, SocketAddr)>,
}

/// Parses a keeper as NUMBER=ADDRESS.
fn keeper(text: &str) -> Result<(u64, SocketAddr), String> {
    let pair = text.split_once('=').and_then(|(n, at)| Some((n.parse().ok()?, at.parse().ok()?)));
    pair.ok_or_else(|| format!("`{text}` is no keeper as 0=127.0.0.1:7000"))
}

/// Subcommands of `hingestage policy`.
#[derive(Subcommand)]
pub enum Task {
    /// Checks a document. Exits with 2 on an error, which names the field and its place.
    Check {
        /// The document.
        file: PathBuf,
    },
    /// Shows what one document changes of another, and which changes need confirmation. Exits with 3 if any does.
    Diff {
        /// The version before.
        before: PathBuf,
        /// The version after.
        after: PathBuf,
    },
    /// Proposes a document to the keepers. Exits with 0 once it is proposed (with `--wait`: once it is in force
    /// everywhere), 3 if it needs confirmation, 4 if it was called off, 5 if the result is unknown. Proposing the same
    /// document again has no further effect.
    Propose {
        /// The document.
        file: PathBuf,
        #[command(flatten)]
        at: At,
        /// Earliest time to come into force, such as 2026-12-24T00:00:00Z.
        #[arg(long = "at", value_name = "TIME", value_parser = time)]
        time: Option<Micros>,
        /// Seconds after which the change is called off unless all gateways are ready.
        #[arg(long, default_value_t = 60.0, value_parser = seconds)]
        deadline: f64,
        /// Waits until the change is in force or called off, and shows its progress.
        #[arg(long)]
        wait: bool,
        /// Confirms changes that need it.
        #[arg(long)]
        yes: bool,
    },
    /// Shows the version in force, a change under way and the state of each gateway.
    Status {
        #[command(flatten)]
        at: At,
    },
    /// Calls a change off. Exits with 1 if it is already decided.
    Abort {
        /// Its version.
        version: u64,
        #[command(flatten)]
        at: At,
    },
    /// Shows the results of past changes, or prints the document of a version.
    History {
        #[command(flatten)]
        at: At,
        /// Version whose document is printed.
        #[arg(long, value_name = "VERSION")]
        text: Option<u64>,
    },
    /// Declares a gateway gone, so that changes no longer wait for it. A gateway that still serves may then use an old
    /// version.
    DeclareGone {
        /// Its name.
        gateway: String,
        #[command(flatten)]
        at: At,
    },
    /// Replaces the set of keepers; new ones must already run with `--join`.
    Keepers {
        /// Their numbers.
        #[arg(required = true)]
        numbers: Vec<u64>,
        #[command(flatten)]
        at: At,
    },
}

/// Parses an RFC 3339 time.
fn time(text: &str) -> Result<Micros, String> {
    let at = humantime::parse_rfc3339(text).map_err(|e| e.to_string())?;
    let at = at.duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
    Ok(at.as_micros() as Micros)
}

/// Parses a number of seconds.
fn seconds(text: &str) -> Result<f64, String> {
    let seconds: f64 = text.parse().map_err(|_| format!("`{text}` is no number of seconds"))?;
    let in_range = (0.1..=86_400.0).contains(&seconds);
    if in_range {
        Ok(seconds)
    } else {
        Err(format!("{seconds} is not between 0.1 and 86400"))
    }
}

/// Runs a subcommand.
pub fn run(task: Task) -> Result<(), Failed> {
    match task {
        Task::Check { file } => {
            check(&load(&file)?);
            Ok(())
        }
        Task::Diff { before, after } => compare(&load(&before)?, &load(&after)?),
        Task::Propose { file, at, time, deadline, wait, yes } => {
            let policy = load(&file)?;
            let within = (deadline * 1e6) as Micros;
            let proposed =
                ProposeRequest { text: policy.text(), at: time.unwrap_or(0), within, confirmed: yes };
            with_keepers(at, move |keepers| propose(keepers, proposed, wait))
        }
        Task::Status { at } => with_keepers(at, status),
        Task::Abort { version, at } => with_keepers(at, move |keepers| abort(keepers, version)),
        Task::History { at, text } => with_keepers(at, move |keepers| history(keepers, text)),
        Task::DeclareGone { gateway, at } => with_keepers(at, move |keepers| declare_gone(keepers, gateway)),
        Task::Keepers { numbers, at } => with_keepers(at, move |keepers| change_keepers(keepers, numbers)),
    }
}

fn load(file: &Path) -> Result<Policy, Failed> {
    hingestage_form::load(file, read).map_err(Failed::InvalidInput)
}

fn check(policy: &Policy) {
    say!("version {}, {} plans, {} classes", policy.version, policy.plans.len(), policy.classes.len());
    say!("digest {}", policy.digest());
}

fn compare(before: &Policy, after: &Policy) -> Result<(), Failed> {
    let differences = diff(before, after);
    say!("version {} to {}", before.version, after.version);
    differences.iter().for_each(|difference| say!("  {difference}"));
    if differences.is_empty() {
        say!("  nothing changes");
    }
    let dangers = dangers(before, after);
    dangers.iter().for_each(|danger| say!("wants a word more: {danger}"));
    match dangers.len() {
        0 => Ok(()),
        n => Err(Failed::Inconclusive(format!("{n} things want a word more"))),
    }
}

/// Runs a command with a client of the keepers.
fn with_keepers<F>(at: At, command: impl FnOnce(KeeperClient) -> F + 'static) -> Result<(), Failed>
where
    F: std::future::Future<Output = Result<(), Failed>> + 'static,
{
    let keepers: BTreeMap<u64, SocketAddr> = at.keepers.into_iter().collect();
    if keepers.is_empty() {
        return Err(Failed::InvalidInput("no keepers are named: --keepers or HINGESTAGE_KEEPERS".into()));
    }
    let keepers = KeeperClient::new(keepers, CALL_TIMEOUT);
    block_on(async move { Ok(command(keepers).await) }).map_err(Failed::Running)?
}

/// Converts an error of the client and prints what needs confirmation.
fn failed(error: CallError) -> Failed {
    match error {
        CallError::Refused(why) => Failed::Running(why),
        CallError::NeedsConfirmation(dangers) => {
            dangers.lines().for_each(|danger| say!("wants a word more: {danger}"));
            Failed::Inconclusive("say `--yes` where it is meant".into())
        }
        CallError::OutcomeUnknown(why) => Failed::Unknown(format!("unknown: {why}")),
    }
}

async fn report(keepers: &mut KeeperClient) -> Result<Report, Failed> {
    keepers.ask(Method::GET, "/status", &()).await.map_err(failed)
}

async fn propose(mut keepers: KeeperClient, proposed: ProposeRequest, wait: bool) -> Result<(), Failed> {
    let within = Duration::from_micros(proposed.within);
    let version: Version = keepers.ask(Method::POST, "/propose", &proposed).await.map_err(failed)?;
    say!("version {} is proposed, digest {}", version.number, version.digest);
    if !wait {
        return Ok(());
    }
    let (started, mut last) = (tokio::time::Instant::now(), String::new());
    let mut timeout = within + WAIT_MARGIN;
    while started.elapsed() < timeout {
        let report = match report(&mut keepers).await {
            Ok(report) => report,
            // The keepers may be electing a leader.
            Err(Failed::Unknown(_)) => continue,
            Err(other) => return Err(other),
        };
        if report.in_force == version {
            say!("in force everywhere");
            return Ok(());
        }
        let line = match report.outcome(version) {
            Some(ChangeOutcome::CalledOff(why)) => {
                return Err(Failed::CalledOff(format!("called off: {why}")))
            }
            Some(ChangeOutcome::InForce(from)) => {
                timeout = timeout.max(
                    started.elapsed() + Duration::from_micros(from.saturating_sub(report.now)) + WAIT_MARGIN,
                );
                format!("decided, in force from {}", date(from / 1_000_000))
            }
            None => progress(&report),
        };
        if line != last {
            say!("{line}");
            last = line;
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(Failed::Unknown("unknown: the keepers did not say in time".into()))
}

/// The progress of a proposal in one line.
fn progress(report: &Report) -> String {
    let seconds = |span: Micros| span as f64 / 1e6;
    let describe = |name: &String| {
        let Some(stand) = report.gateways.get(name) else { return name.clone() };
        let silent = seconds(report.now.saturating_sub(stand.last_request));
        match (stand.mode, stand.lease_end.saturating_sub(report.now)) {
            (Mode::Stop, left) if left > 0 => {
                format!("{name}, silent for {silent:.1} s, its lease ends in {:.1}", seconds(left))
            }
            (Mode::Stop, _) => format!("{name}, silent for {silent:.1} s"),
            (Mode::Serve, _) => format!("{name}, silent for {silent:.1} s, serves on"),
        }
    };
    let ready = report.gateways.values().filter(|stand| stand.ready).count();
    let waits: Vec<String> = report.waits_for.iter().take(NAMED_MAX).map(describe).collect();
    let more = match report.waits_for.len().saturating_sub(NAMED_MAX) {
        0 => String::new(),
        n => format!(" and {n} more"),
    };
    match waits.is_empty() {
        true => format!("{ready} of {} ready", report.gateways.len()),
        false => format!("{ready} of {} ready; waits for {}{more}", report.gateways.len(), waits.join("; ")),
    }
}

async fn status(mut keepers: KeeperClient) -> Result<(), Failed> {
    let report = report(&mut keepers).await?;
    say!("in force: version {}, digest {}", report.in_force.number, report.in_force.digest);
    match report.change {
        None => say!("no change is under way"),
        Some(Change::Proposed(version)) => {
            say!("version {} is proposed: {}", version.number, progress(&report))
        }
        Some(Change::Decided(version, from)) => {
            say!("version {} is decided, in force from {}", version.number, date(from / 1_000_000));
        }
    }
    for (name, stand) in &report.gateways {
        let mode = if stand.mode == Mode::Stop { "stop" } else { "serve" };
        let silent = report.now.saturating_sub(stand.last_request) as f64 / 1e6;
        let state = match (stand.lease_ended, stand.ready) {
            (true, _) => "its lease is over",
            (_, true) => "ready",
            _ => "serves",
        };
        say!("  {name} ({mode}): {state}, asked {silent:.1} s ago");
    }
    Ok(())
}

async fn abort(mut keepers: KeeperClient, version: u64) -> Result<(), Failed> {
    let _: serde_json::Value = keepers.ask(Method::POST, "/abort", &version).await.map_err(failed)?;
    say!("version {version} is called off");
    Ok(())
}

async fn history(mut keepers: KeeperClient, text: Option<u64>) -> Result<(), Failed> {
    if let Some(version) = text {
        let text: String =
            keepers.ask(Method::GET, &format!("/text/{version}"), &()).await.map_err(failed)?;
        say!("{}", text.trim_end());
        return Ok(());
    }
    for (version, fate) in report(&mut keepers).await?.history {
        match fate {
            ChangeOutcome::InForce(from) => {
                say!(
                    "version {}: in force from {}, digest {}",
                    version.number,
                    date(from / 1_000_000),
                    version.digest
                )
            }
            ChangeOutcome::CalledOff(why) => say!("version {}: called off, {why}", version.number),
        }
    }
    Ok(())
}

async fn declare_gone(mut keepers: KeeperClient, gateway: String) -> Result<(), Failed> {
    let _: serde_json::Value = keepers.ask(Method::POST, "/gone", &gateway).await.map_err(failed)?;
    say!("gateway {gateway} is declared gone");
    Ok(())
}

async fn change_keepers(mut keepers: KeeperClient, numbers: Vec<u64>) -> Result<(), Failed> {
    let _: serde_json::Value = keepers.ask(Method::POST, "/keepers", &numbers).await.map_err(failed)?;
    say!("the keepers are {numbers:?}");
    Ok(())
}

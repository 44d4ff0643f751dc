//! Implementation of the commands.

use crate::arguments::{Explain, HingestageCtlCmd, Status, Trial};
use crate::format;
use crate::survey::{self, Node};
use hingestage_rpc::status::Explanation;
use std::io::Write;
use std::process::ExitCode;

/// Result of a command that ran to its end; determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All processes answered, and no problem was found or the query had a result.
    Success,
    /// A process has a problem or is unreachable, or nothing was found.
    Problem,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        match outcome {
            Outcome::Success => ExitCode::SUCCESS,
            Outcome::Problem => ExitCode::FAILURE,
        }
    }
}

impl Outcome {
    fn success_if(success: bool) -> Outcome {
        if success {
            Outcome::Success
        } else {
            Outcome::Problem
        }
    }
}

/// Runs a command.
pub async fn run(command: HingestageCtlCmd) -> eyre::Result<Outcome> {
    match command {
        HingestageCtlCmd::Status(arguments) => status(&arguments).await,
        HingestageCtlCmd::Explain(arguments) => explain(&arguments).await,
        HingestageCtlCmd::Trial(arguments) => trial(&arguments).await,
    }
}

async fn status(arguments: &Status) -> eyre::Result<Outcome> {
    let survey = survey::survey(arguments.registry).await;
    if arguments.json {
        write_lines(&[serde_json::to_string_pretty(&survey)?])?;
    } else {
        write_lines(&format::survey(&survey))?;
    }
    Ok(Outcome::success_if(survey.is_healthy()))
}

async fn explain(arguments: &Explain) -> eyre::Result<Outcome> {
    let id_or_tenant = &arguments.id_or_tenant;
    let (registries, proxies) = survey::explain(arguments.registry, id_or_tenant).await;
    let mut found = Vec::new();
    for node in &proxies {
        if let Some(explanation) = &node.state {
            found.extend(format::explanation(&node.name, id_or_tenant, explanation));
        }
    }
    write_lines(&found)?;
    let all_answered =
        report_unreachable("registry", &registries) & report_unreachable::<Explanation>("proxy", &proxies);
    if found.is_empty() {
        eprintln!("nothing is remembered of {id_or_tenant}");
    }
    Ok(Outcome::success_if(all_answered && !found.is_empty()))
}

async fn trial(arguments: &Trial) -> eyre::Result<Outcome> {
    let found = survey::trial(arguments.registry, &arguments.tenant).await;
    let mut output = Vec::new();
    for node in &found.stores {
        let entries = node.state.iter().flatten();
        output.extend(entries.map(|entry| format::audit_entry(&node.name, entry)));
    }
    for node in &found.proxies {
        output.extend(node.state.iter().flatten().map(|view| format::trial_view(&node.name, view)));
    }
    write_lines(&output)?;
    let all_answered = report_unreachable("registry", &found.registries)
        & report_unreachable("store", &found.stores)
        & report_unreachable("proxy", &found.proxies);
    if output.is_empty() {
        eprintln!("{} has no trial", arguments.tenant);
    }
    Ok(Outcome::success_if(all_answered && !output.is_empty()))
}

/// Prints the processes that did not answer to stderr. Returns whether all answered.
fn report_unreachable<State>(kind: &str, nodes: &[Node<State>]) -> bool {
    for node in nodes {
        if let Some(error) = &node.error {
            eprintln!("{kind} {} {}: {error}", node.name, node.addr);
        }
    }
    nodes.iter().all(|node| node.error.is_none())
}

fn write_lines(lines: &[String]) -> eyre::Result<()> {
    let mut stdout = std::io::stdout().lock();
    for line in lines {
        writeln!(stdout, "{line}")?;
    }
    Ok(())
}

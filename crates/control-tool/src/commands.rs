//! What each command does.

use crate::arguments::{Explain, HingestageCtlCmd, Status, Trial};
use crate::lines;
use crate::survey::{self, Node};
use hingestage_rpc::status::Explanation;
use std::io::Write;
use std::process::ExitCode;

/// How a command ends that did its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All is well, or something was found and everybody answered.
    Well,
    /// A node has a problem or is unreachable, or nothing was found.
    Problem,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        match outcome {
            Outcome::Well => ExitCode::SUCCESS,
            Outcome::Problem => ExitCode::FAILURE,
        }
    }
}

impl Outcome {
    fn well_if(well: bool) -> Outcome {
        if well {
            Outcome::Well
        } else {
            Outcome::Problem
        }
    }
}

/// Runs the command that the command line names.
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
        write_lines(&lines::of_survey(&survey))?;
    }
    Ok(Outcome::well_if(survey.is_well()))
}

async fn explain(arguments: &Explain) -> eyre::Result<Outcome> {
    let asked_for = &arguments.id_or_tenant;
    let (registries, proxies) = survey::explain(arguments.registry, asked_for).await;
    let mut found = Vec::new();
    for node in &proxies {
        if let Some(explanation) = &node.state {
            found.extend(lines::of_explanation(&node.name, asked_for, explanation));
        }
    }
    write_lines(&found)?;
    let all_answered =
        report_silent("registry", &registries) & report_silent::<Explanation>("proxy", &proxies);
    if found.is_empty() {
        eprintln!("nothing is remembered of {asked_for}");
    }
    Ok(Outcome::well_if(all_answered && !found.is_empty()))
}

async fn trial(arguments: &Trial) -> eyre::Result<Outcome> {
    let found = survey::trial(arguments.registry, &arguments.tenant).await;
    let mut told = Vec::new();
    for node in &found.stores {
        let entries = node.state.iter().flatten();
        told.extend(entries.map(|entry| lines::of_audit(&node.name, entry)));
    }
    for node in &found.proxies {
        told.extend(node.state.iter().flatten().map(|view| lines::of_trial(&node.name, view)));
    }
    write_lines(&told)?;
    let all_answered = report_silent("registry", &found.registries)
        & report_silent("store", &found.stores)
        & report_silent("proxy", &found.proxies);
    if told.is_empty() {
        eprintln!("{} has no trial", arguments.tenant);
    }
    Ok(Outcome::well_if(all_answered && !told.is_empty()))
}

/// Names the processes that did not answer; true where there are none.
fn report_silent<State>(kind: &str, nodes: &[Node<State>]) -> bool {
    for node in nodes {
        if let Some(error) = &node.error {
            eprintln!("{kind} {} {}: {error}", node.name, node.addr);
        }
    }
    nodes.iter().all(|node| node.error.is_none())
}

fn write_lines(lines: &[String]) -> eyre::Result<()> {
    let mut output = std::io::stdout().lock();
    for line in lines {
        writeln!(output, "{line}")?;
    }
    Ok(())
}

//! Implementation of the commands.

use crate::arguments::{Check, Diff, HingestageConfigCmd, Merge};
use crate::files;
use hingestage_configuration::{diff, merge, Change, Conflict};
use std::process::ExitCode;

/// Result of a command that completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The configuration is valid, there are no differences, or the merge has no conflicts.
    Clean,
    /// There are differences or conflicts.
    Different,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        match outcome {
            Outcome::Clean => ExitCode::SUCCESS,
            Outcome::Different => ExitCode::FAILURE,
        }
    }
}

/// Runs a command.
pub fn run(command: &HingestageConfigCmd) -> eyre::Result<Outcome> {
    match command {
        HingestageConfigCmd::Check(arguments) => check_file(arguments),
        HingestageConfigCmd::Diff(arguments) => diff_files(arguments),
        HingestageConfigCmd::Merge(arguments) => merge_files(arguments),
    }
}

fn check_file(arguments: &Check) -> eyre::Result<Outcome> {
    files::read(&arguments.file)?;
    Ok(Outcome::Clean)
}

fn diff_files(arguments: &Diff) -> eyre::Result<Outcome> {
    let old = files::read(&arguments.old)?;
    let new = files::read(&arguments.new)?;
    let changes = diff(&old, &new);
    let text = if arguments.json { changes_as_json(&changes)? } else { changes_as_lines(&changes) };
    files::write(None, &text)?;
    Ok(if changes.is_empty() { Outcome::Clean } else { Outcome::Different })
}

fn changes_as_json(changes: &[Change]) -> eyre::Result<String> {
    let mut text = serde_json::to_string_pretty(changes)?;
    text.push('\n');
    Ok(text)
}

fn changes_as_lines(changes: &[Change]) -> String {
    changes.iter().map(|change| format!("{change}\n")).collect()
}

fn merge_files(arguments: &Merge) -> eyre::Result<Outcome> {
    let base = files::read(&arguments.base)?;
    let ours = files::read(&arguments.ours)?;
    let theirs = files::read(&arguments.theirs)?;
    match merge(&base, &ours, &theirs) {
        Ok(merged) => {
            let mut text = serde_json::to_string_pretty(&merged)?;
            text.push('\n');
            files::write(arguments.out.as_deref(), &text)?;
            Ok(Outcome::Clean)
        }
        Err(conflicts) => {
            report_conflicts(arguments, &conflicts);
            Ok(Outcome::Different)
        }
    }
}

fn report_conflicts(arguments: &Merge, conflicts: &[Conflict]) {
    let (ours, theirs) = (arguments.ours.display(), arguments.theirs.display());
    for conflict in conflicts {
        eprintln!("{ours}, {theirs}: {conflict}");
    }
}

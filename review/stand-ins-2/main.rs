//! Runs one case of the review: `case NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.

mod handover;
mod kit;
mod silence;
mod undone;

use kit::{Case, Outcome};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let run: fn(&mut Case) -> Outcome<bool> = match name.as_str() {
        "handover" => handover::run,
        "undone" => undone::run,
        "silent-search" => silence::search,
        "unframed" => silence::unframed,
        "silent-answer" => silence::answer,
        _ => {
            eprintln!("no case {name}");
            return ExitCode::from(2);
        }
    };
    let held = Case::new(&PathBuf::from(folder)).and_then(|mut case| {
        let held = run(&mut case)?;
        case.record.say(if held { "the rule held" } else { "the rule was broken" });
        Ok(held)
    });
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(void) => {
            eprintln!("the case could not run: {}", void.0);
            ExitCode::from(2)
        }
    }
}

//! Stand-ins and scripts of the review. `stand-ins CASE FOLDER` runs a case and writes `record.txt` into the folder.
//! It ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cluster;
mod http;
mod late_order;
mod outside;
mod record;
mod replaced_core;
mod silent_worker;

use std::path::PathBuf;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2).map(PathBuf::from)) else {
        println!("stand-ins CASE FOLDER");
        std::process::exit(2);
    };
    if let Err(error) = record::open(&folder) {
        println!("{}: {error}", folder.display());
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::say(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "late-order" => late_order::run(trouble),
        "replaced-core" => replaced_core::run(trouble),
        "silent-worker" => silent_worker::run(trouble),
        _ => Verdict::CouldNotRun("no such case".to_owned()),
    };
    let code = match verdict {
        Verdict::Held => {
            record::say("the rule held");
            0
        }
        Verdict::Broken => {
            record::say("THE RULE WAS BROKEN");
            1
        }
        Verdict::CouldNotRun(why) => {
            record::say(&format!("the case could not run: {why}"));
            2
        }
    };
    record::flush();
    std::process::exit(code);
}

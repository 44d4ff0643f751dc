//! `hingestage-small-worlds`: tries the small worlds of the decisions whole, as deep as asked.
#![forbid(unsafe_code)]

use clap::Parser;
use hingestage_policy::Gatekeeper;
use hingestage_print::say;
use hingestage_small_worlds::decisions::{Kind, World};
use hingestage_small_worlds::search::search;
use std::process::ExitCode;
use std::time::Instant;

/// Tries every order of events in small worlds of the decisions, up to a depth, and holds the rules against
/// each state. Prints a line a world, and `N passed, N failed`.
#[derive(Parser)]
#[command(name = "hingestage-small-worlds", version)]
struct Args {
    /// Steps in a row at most. Each more takes about eight times as long.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u8).range(1..=12))]
    depth: u8,
    /// Only the worlds whose name contains this.
    #[arg(long)]
    only: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let (mut passed, mut failed) = (0, 0);
    say!("| world | states | steps | seconds |\n| --- | ---: | ---: | ---: |");
    for (name, kind) in Kind::all() {
        if args.only.as_ref().is_some_and(|part| !name.contains(part.as_str())) {
            continue;
        }
        let began = Instant::now();
        match search(World::new(kind, Gatekeeper::new), usize::from(args.depth)) {
            Ok(tried) => {
                passed += 1;
                let took = began.elapsed().as_secs_f64();
                say!("| {name} | {} | {} | {took:.1} |", tried.states, tried.steps);
            }
            Err(broken) => {
                failed += 1;
                say!("{name}: {broken}");
            }
        }
    }
    say!("{passed} passed, {failed} failed");
    if passed + failed == 0 {
        eprintln!("no world has such a name");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(failed > 0))
}

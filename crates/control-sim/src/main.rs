//! `hingestage-control-sim`: runs simulations of the control plane for a range of seeds.
#![forbid(unsafe_code)]

use hingestage_control_sim::{run_seed, run_seed_traced, Defect, Options, RunSummary, Violation};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

xflags::xflags! {
    /// Simulates the control plane on a virtual clock, with faults drawn from seeds.
    ///
    /// Exit codes: 0 all invariants held, 1 an invariant was violated, 2 bad usage.
    cmd hingestage-control-sim {
        /// The first seed; default 0.
        optional --from seed: u64
        /// Number of seeds; default 100.
        optional --seeds count: u64
        /// The name of a defect to plant.
        optional --defect name: Defect
        /// Let operators set trial terms.
        optional --trials
        /// Let operators repeat orders after lost ones.
        optional --orders
        /// Print the events of the first seed and run no other.
        optional --history
        /// Number of threads; default all cores.
        optional --jobs count: usize
    }
}

/// Maximum number of violations to print.
const PRINTED_VIOLATIONS_MAX: usize = 10;

fn main() -> ExitCode {
    let flags = match HingestageControlSim::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => return help(&error.to_string()),
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let from = flags.from.unwrap_or_default();
    let options = Options { defect: flags.defect, trials: flags.trials, repeated_orders: flags.orders };
    if flags.history {
        return print_history(from, options);
    }
    let until = from.saturating_add(flags.seeds.unwrap_or(100));
    let jobs = flags.jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from));
    let (runs, violations) = run_seeds(from, until, options, jobs.max(1));
    for violation in violations.iter().take(PRINTED_VIOLATIONS_MAX) {
        println!("{violation}");
    }
    let events: u64 = runs.iter().map(|run| run.events).sum();
    let acknowledged: usize = runs.iter().map(|run| run.acknowledged).sum();
    let digest = runs.iter().fold(0, |sum, run| sum ^ run.digest);
    println!(
        "{} seeds, {} broken; {events} events, {acknowledged} configurations acknowledged",
        until - from,
        violations.len()
    );
    println!("digest {digest:016x}");
    ExitCode::from(u8::from(!violations.is_empty()))
}

fn help(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn print_history(seed: u64, options: Options) -> ExitCode {
    let result = run_seed_traced(seed, options, |at, what| println!("{:>10.3} s  {what}", at as f64 / 1e6));
    match result {
        Ok(_) => ExitCode::SUCCESS,
        Err(violation) => {
            println!("{violation}");
            ExitCode::FAILURE
        }
    }
}

fn run_seeds(from: u64, until: u64, options: Options, jobs: usize) -> (Vec<RunSummary>, Vec<Violation>) {
    let next = AtomicU64::new(from);
    let results = Mutex::new((Vec::new(), Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= until {
                    return;
                }
                let result = run_seed(seed, options);
                let mut results = results.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                match result {
                    Ok(run) => results.0.push(run),
                    Err(violation) => results.1.push(violation),
                }
            });
        }
    });
    let (runs, mut violations) = results.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    violations.sort_by_key(|violation| violation.seed);
    (runs, violations)
}

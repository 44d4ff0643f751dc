//! Measures what each part of the system costs by size, by the code that the programs run.
//!
//! Without arguments it plays every case, each in a process of its own so that memory is that of the case alone, and
//! prints one table. `capacity SECTION SIZE` plays one case. `docs/CAPACITY.md` works with its figures.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod configuration;
mod directory;
mod fixtures;
mod heartbeats;
mod measure;
mod quota;
mod replication;
mod servers;
mod trials;
mod workers;

use eyre::{bail, eyre, Result};
use std::future::Future;
use std::process::Command;
use tokio::task::LocalSet;

/// Sections, each with its sizes.
const CASES: [(&str, &[usize]); 9] = [
    ("configuration", &[18, 2_400, 24_000]),
    ("workers", &[32, 2_400, 24_000]),
    ("directory", &[9, 360, 3_600]),
    ("quota", &[8, 2_400, 100_000]),
    ("replication", &[3, 4, 10]),
    ("trials", &[0, 100, 1_000]),
    ("documents-alone", &[18, 2_400, 24_000]),
    ("documents", &[18, 2_400, 24_000]),
    ("heartbeats", &[9, 100, 400, 1_000, 1_200]),
];

fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => play_all(),
        [section, size] => play(section, size.parse()?),
        _ => bail!("usage: capacity [SECTION SIZE]"),
    }
}

fn play_all() -> Result<()> {
    measure::print_load("at the start");
    for (section, sizes) in CASES {
        for size in sizes {
            let program = std::env::current_exe()?;
            let status = Command::new(program).args([section, &size.to_string()]).status()?;
            if !status.success() {
                return Err(eyre!("{section} {size}: {status}"));
            }
        }
        measure::print_load(&format!("after {section}"));
    }
    Ok(())
}

fn play(section: &str, size: usize) -> Result<()> {
    match section {
        "configuration" => configuration::play(size),
        "workers" => block_on(async move { workers::play(size) }),
        "directory" => directory::play(size),
        "quota" => quota::play(size),
        "replication" => block_on(replication::play(size)),
        "trials" => trials::play(size),
        "documents" => block_on(heartbeats::play_document(size, heartbeats::FEW)),
        "documents-alone" => block_on(heartbeats::play_document(size, 1)),
        "heartbeats" => block_on(heartbeats::play(size)),
        servers::REGISTRY => block_on(servers::serve_registry()),
        servers::STORE => block_on(servers::serve_store()),
        _ => bail!("no such section: {section}"),
    }
}

fn block_on(future: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}

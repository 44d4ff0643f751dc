//! `config-store`: keeps the operator's orders on a core machine's disk.
#![forbid(unsafe_code)]

use hingestage_config_store::server;
use hingestage_node::{run, Program};
use std::process::ExitCode;

fn main() -> ExitCode {
    let program =
        Program { name: "config-store", about: "keeps the operator's orders on a core machine's disk" };
    run(&program, server::serve)
}

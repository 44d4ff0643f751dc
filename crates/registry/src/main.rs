//! `registry`: serves the operator API and client lookups on a core machine.
#![forbid(unsafe_code)]

use hingestage_node::{run, Program};
use hingestage_registry::server;
use std::process::ExitCode;

fn main() -> ExitCode {
    let program = Program { name: "registry", about: "serves the operator API and client lookups" };
    run(&program, server::serve)
}

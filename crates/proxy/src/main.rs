//! `proxy`: forwards clients' requests to workers from an edge machine.
#![forbid(unsafe_code)]

use hingestage_node::{run, Program};
use hingestage_proxy::server;
use std::process::ExitCode;

fn main() -> ExitCode {
    let program = Program { name: "proxy", about: "carries clients' requests to workers" };
    run(&program, server::serve)
}

//! `registry`: takes outside calls on a core machine and knows proxies, workers and orders.
#![forbid(unsafe_code)]

use hingestage_node::{run, Program};
use hingestage_registry::server;
use std::process::ExitCode;

fn main() -> ExitCode {
    let program =
        Program { name: "registry", about: "takes outside calls and knows proxies, workers and orders" };
    run(&program, server::serve)
}

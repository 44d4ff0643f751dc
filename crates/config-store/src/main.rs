//! The `config-store` program: stores the operator's configuration on a core machine.
#![forbid(unsafe_code)]

use hingestage_config_store::server;
use hingestage_node::{run, Program};
use std::process::ExitCode;

fn main() -> ExitCode {
    let program =
        Program { name: "config-store", about: "stores the operator's configuration on a core machine" };
    run(&program, server::serve)
}

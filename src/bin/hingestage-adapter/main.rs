//! Adapter between the simulator's text protocol and the decision code: reads batches of events, prints batches of
//! actions.
//!
//! Malformed input ends the program with a message that names the line and the field.

mod wire;

use hingestage_policy::settings::{Fields, Names};
use hingestage_policy::{Action, Event, Gatekeeper};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use wire::Input;

fn main() -> ExitCode {
    match run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hingestage-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Reads lines and counts them for error messages.
struct Lines<R> {
    input: R,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    fn next(&mut self) -> Result<Option<String>, String> {
        self.number += 1;
        let mut line = String::new();
        let read = self.input.read_line(&mut line).map_err(|e| format!("line {}: {e}", self.number))?;
        while line.ends_with(['\n', '\r']) {
            line.pop();
        }
        Ok((read > 0).then_some(line))
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut lines = Lines { input, number: 0 };
    let mut instances: BTreeMap<u32, (Gatekeeper, Names)> = BTreeMap::new();
    while let Some(head) = lines.next()? {
        if head.is_empty() {
            continue;
        }
        let head = Fields::parse(&head, lines.number)?;
        if head.name != "MARK" {
            return Err(head.error("name", "MARK expected"));
        }
        let (now, turn) = (head.int("nowUs")?, head.int("turn")?);
        let mut reply = String::new();
        loop {
            let line = lines.next()?.ok_or(format!("line {}: input ends inside a batch", lines.number))?;
            if line == "GO" {
                break;
            }
            let fields = Fields::parse(&line, lines.number)?;
            let instance = fields.number("gatekeeper")?;
            let event = match wire::input(&fields, instances.get(&instance).map(|(_, names)| names))? {
                Input::Launch { settings, seed, names } => {
                    instances.insert(instance, (Gatekeeper::new(*settings, seed, now), *names));
                    continue;
                }
                Input::Teardown => {
                    instances.remove(&instance);
                    continue;
                }
                Input::Nothing => continue,
                Input::Workers { scope, rows } => {
                    let mut workers = Vec::new();
                    for _ in 0..rows {
                        let line = lines.next()?.ok_or("input ends inside a list")?;
                        workers.push(wire::row(&Fields::parse(&line, lines.number)?)?);
                    }
                    Event::Workers(hingestage_policy::WorkerList { scope, workers })
                }
                Input::Event(event) => event,
            };
            let Some((gatekeeper, _)) = instances.get_mut(&instance) else {
                return Err(fields.error("gatekeeper", "no such instance"));
            };
            let mut actions: Vec<Action> = Vec::new();
            // A panic in the decision code is reported in the reply.
            match panic::catch_unwind(AssertUnwindSafe(|| gatekeeper.handle(now, event, &mut actions))) {
                Ok(()) => actions.iter().for_each(|action| wire::print(&mut reply, instance, action)),
                Err(_) => wire::internal_error(&mut reply, instance, "panic in the decision code"),
            }
        }
        reply.push_str(&format!("DONE\tturn={turn}\n"));
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
    }
    Ok(())
}

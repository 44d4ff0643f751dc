//! A configuration: its bytes, its reading, its tables, a lookup, its file.

use crate::fixtures::{self, DocumentSize};
use crate::measure::{resident, seconds_each, thread_cpu, Report, RUNS};
use crate::servers::TemporaryDir;
use eyre::Result;
use hingestage_config_store::data_dir::DataDir;
use hingestage_configuration::{Configuration, KeyTable, RouteTable};
use hingestage_registry::transfers::Transfers;
use hingestage_replication::{Disk, Record, State};
use hingestage_rpc::encoded;
use hingestage_rpc::messages::{ConfigDocument, ConfigVersion, RegistryAnswer};
use std::hint::black_box;
use std::rc::Rc;
use std::time::Instant;

const SERIAL: u64 = 7;
/// Lookups in one run.
const LOOKUPS: usize = 100_000;

/// Plays a configuration with so many routes.
pub fn play(routes: usize) -> Result<()> {
    let size = DocumentSize::of_routes(routes);
    let name = format!("{routes} routes, {} tenants, {} services", size.tenants, size.services);
    let report = Report::new("configuration", &name);
    let document = fixtures::document(SERIAL, size);
    report.bytes("JSON", document.json.len() as u64);
    measure_transfers(&report, size, &document);
    measure_tables(&report, size, &document)?;
    let calls = (LOOKUPS / routes).clamp(1, 100);
    let parse = || {
        black_box(Configuration::parse(&document.json).is_ok());
    };
    report.seconds("Configuration::parse", seconds_each(calls, parse));
    measure_file(&report, document)
}

/// The document on its way to a proxy: whole, and as the change to one with another serial.
fn measure_transfers(report: &Report, size: DocumentSize, document: &ConfigDocument) {
    let mut transfers = Transfers::default();
    let mut measure = |newest: ConfigDocument, have: Option<ConfigVersion>, what: &str| {
        transfers.add(newest);
        let started = thread_cpu();
        let Some(transfer) = transfers.newest_for(have).cloned() else { return };
        report.seconds(&format!("packing, {what}"), (thread_cpu() - started).as_secs_f64());
        let unpack = || {
            black_box(transfer.unpack(Some(document)).is_some());
        };
        report.seconds(&format!("unpacking, {what}"), seconds_each(1, unpack));
        let message = RegistryAnswer::Config(Some(transfer.clone()));
        report.bytes(&format!("rpc message, {what}"), encoded(&message).len() as u64);
        let encode = || {
            black_box(encoded(&message));
        };
        report.seconds(&format!("rpc encoding, {what}"), seconds_each(1, encode));
    };
    measure(document.clone(), None, "whole");
    measure(fixtures::document(SERIAL + 1, size), Some(document.version), "a change");
}

fn measure_tables(report: &Report, size: DocumentSize, document: &ConfigDocument) -> Result<()> {
    let before = resident();
    let configuration = Configuration::parse(&document.json)?;
    let parsed = resident();
    let tables = (RouteTable::new(&configuration), KeyTable::new(&configuration));
    let built = resident();
    report.bytes("memory of the parsed configuration", parsed.saturating_sub(before));
    report.bytes("memory of both tables", built.saturating_sub(parsed));
    let calls = (LOOKUPS / size.routes).clamp(1, 100);
    let build = || drop(black_box((RouteTable::new(&configuration), KeyTable::new(&configuration))));
    report.seconds("build of both tables", seconds_each(calls, build));
    let hosts: Vec<_> = (0..size.routes)
        .map(|route| (fixtures::host(route), format!("{}of/a/path", fixtures::prefix(route))))
        .collect();
    let mut next = 0;
    report.seconds(
        "RouteTable::find a request",
        seconds_each(LOOKUPS, || {
            next = (next + 7_919) % size.routes;
            black_box(tables.0.find(&hosts[next].0, &hosts[next].1));
        }),
    );
    let keys: Vec<_> = (0..size.tenants).map(fixtures::key).collect();
    report.seconds(
        "KeyTable::find a request",
        seconds_each(LOOKUPS, || {
            next = (next + 7_919) % size.tenants;
            black_box(tables.1.find(&keys[next]));
        }),
    );
    Ok(())
}

fn measure_file(report: &Report, document: ConfigDocument) -> Result<()> {
    let dir = TemporaryDir::new("files")?;
    let mut files = DataDir::open(dir.path())?;
    files.initialize(&fixtures::store_member(0), false)?;
    let mut round = 0;
    let mut next = || {
        round += 1;
        // Each document has a name of its own, and is written anew.
        let version = ConfigVersion { serial: round, ..document.version };
        let config = Some(Rc::new(ConfigDocument { version, ..document.clone() }));
        Record { state: State { config, ..State::default() }, ..Record::default() }
    };
    let mut failed = Ok(());
    let started = Instant::now();
    let cpu = seconds_each(1, || {
        if let Err(error) = files.write(&next()) {
            failed = Err(error);
        }
    });
    report.seconds("Files::write, processor", cpu);
    report.seconds("Files::write, elapsed, mean", started.elapsed().as_secs_f64() / RUNS as f64);
    Ok(failed?)
}

//! The directory of proxies at a registry, and the message that carries it.

use crate::fixtures;
use crate::measure::{resident, seconds_each, Report};
use eyre::Result;
use hingestage_registry::directory::{Directory, DirectorySettings};
use hingestage_rpc::encoded;
use hingestage_rpc::messages::{Have, RegistryAddress, RegistryAnswer, RegistryRequest, Watched, ZoneDrain};
use std::hint::black_box;

/// Any moment.
const NOW: u64 = 1_000_000;
/// How long a proxy lets a registry wait for news.
const WAIT: u64 = 800_000;
/// Proxies handled in one run, about.
const HANDLED: usize = 200_000;
/// Registries of the aim.
const REGISTRIES: usize = 10;

/// Plays a directory of so many proxies.
pub fn play(count: usize) -> Result<()> {
    let report = Report::new("directory", &format!("{count} proxies"));
    let before = resident();
    let mut directory = Directory::new(DirectorySettings::default());
    for number in 0..count {
        directory.heard(NOW, fixtures::proxy_status(number), WAIT);
    }
    report.bytes("memory", resident().saturating_sub(before));
    let calls = (HANDLED / count).max(1);
    report.seconds(
        "Directory::version",
        seconds_each(calls, || {
            black_box(directory.version(NOW, &fixtures::zone(1)));
        }),
    );
    report.seconds(
        "Directory::neighbors, copied",
        seconds_each(calls, || {
            black_box(directory.neighbors(NOW, &fixtures::zone(1)).into_iter().cloned().collect::<Vec<_>>());
        }),
    );
    report.seconds(
        "Directory::lookup",
        seconds_each(calls, || {
            black_box(directory.lookup(NOW, &fixtures::zone(1), &fixtures::region(1)));
        }),
    );
    report.seconds(
        "Directory::heard",
        seconds_each(calls, || {
            black_box(directory.heard(NOW, fixtures::proxy_status(0), WAIT));
        }),
    );
    measure_messages(&report, &directory, calls);
    Ok(())
}

fn measure_messages(report: &Report, directory: &Directory, calls: usize) {
    let request = RegistryRequest::Watch { status: fixtures::proxy_status(0), have: have(0), wait: WAIT };
    report.bytes("Watch", encoded(&request).len() as u64);
    report.bytes("Watch, orders about all zones", encoded(&watch_with_drains()).len() as u64);
    let quiet = RegistryAnswer::Watched(Box::new(watched(None)));
    report.bytes("Watched without the directory", encoded(&quiet).len() as u64);
    let living = directory.neighbors(NOW, &fixtures::zone(1)).into_iter().cloned().collect();
    let whole = RegistryAnswer::Watched(Box::new(watched(Some(living))));
    report.bytes("Watched with the directory", encoded(&whole).len() as u64);
    report.seconds(
        "Watched with the directory, encoding",
        seconds_each(calls, || {
            black_box(encoded(&whole));
        }),
    );
}

fn have(zones_drained: usize) -> Have {
    let order = ZoneDrain { order: 1, drained: false };
    Have {
        config: Some(fixtures::document(1, fixtures::DocumentSize::of_routes(1)).version),
        drains: (0..zones_drained).map(|number| (fixtures::zone(number), order)).collect(),
        ..Have::default()
    }
}

fn watch_with_drains() -> RegistryRequest {
    RegistryRequest::Watch { status: fixtures::proxy_status(0), have: have(fixtures::ZONES), wait: WAIT }
}

fn watched(directory: Option<Vec<hingestage_rpc::messages::ProxyStatus>>) -> Watched {
    let registries = (0..REGISTRIES).map(|number| RegistryAddress {
        addr: fixtures::proxy_status(number).peer,
        zone: fixtures::zone(number),
    });
    Watched {
        services: Default::default(),
        config_bytes: 0,
        have: have(0),
        directory,
        trials: Vec::new(),
        registries: registries.collect(),
        fresh_age: Some(300),
        members: 3_600,
        settled: true,
    }
}

//! Documents, lists and statuses of any size.

use compact_str::{format_compact, CompactString};
use hingestage_node::Settings;
use hingestage_replication::digest;
use hingestage_rpc::messages::{ConfigDocument, ProcessId, ProxyStatus, StoreMember};
use hingestage_rpc::workers::{ServiceUpdate, ServiceUpdateContent, WorkerRecord, WorkersVersion};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};

/// Regions of the aim.
pub const REGIONS: usize = 28;
/// Zones of the aim.
pub const ZONES: usize = 79;
/// Workers of one service.
const WORKERS_PER_SERVICE: usize = 50;
/// First port of addresses that nobody calls.
const PORT: u16 = 8_080;

/// How large a configuration is.
#[derive(Clone, Copy)]
pub struct DocumentSize {
    /// Routes.
    pub routes: usize,
    /// Tenants, with one key each.
    pub tenants: usize,
    /// Services.
    pub services: usize,
}

impl DocumentSize {
    /// The size that goes with a number of routes.
    pub fn of_routes(routes: usize) -> DocumentSize {
        match routes {
            ..100 => DocumentSize { routes, tenants: 8, services: 3 },
            _ => DocumentSize { routes, tenants: routes * 10, services: services_of(routes) },
        }
    }
}

/// Services that go with a number of workers or routes.
pub fn services_of(count: usize) -> usize {
    count.div_ceil(WORKERS_PER_SERVICE).max(3)
}

/// A valid configuration.
pub fn document(serial: u64, size: DocumentSize) -> ConfigDocument {
    let mut json = format!("{{\"serial\":\"{serial:08x}\",\"routes\":[");
    for route in 0..size.routes {
        let _ = write!(
            json,
            "{}{{\"name\":\"route-{route}\",\"host\":\"{}\",\"prefix\":\"{}\",\"kind\":\"idempotent\",\
             \"timeout\":\"2s\",\"target_time\":\"250ms\",\"prio\":1,\"backend\":\"{}\",\"tries\":3}}",
            comma(route),
            host(route),
            prefix(route),
            service(route % size.services)
        );
    }
    json.push_str("],\"backends\":[");
    for number in 0..size.services {
        let name = service(number);
        let _ = write!(
            json,
            "{}{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":64,\"cold_start\":\"4s\",\
             \"cold_per_s\":5}}",
            comma(number)
        );
    }
    json.push_str("],\"tenants\":[");
    for tenant in 0..size.tenants {
        let _ = write!(
            json,
            "{}{{\"name\":\"tenant-{tenant}\",\"api_keys\":[\"{}\"],\"prio\":1,\"rate_per_s\":50,\"burst\":100}}",
            comma(tenant),
            key(tenant)
        );
    }
    json.push_str("]}");
    let json = json.into_bytes();
    ConfigDocument::new(serial, json)
}

fn comma(place: usize) -> &'static str {
    if place == 0 {
        ""
    } else {
        ","
    }
}

/// Host of a route: ten routes have one host.
pub fn host(route: usize) -> CompactString {
    format_compact!("site-{}.example.com", route / 10)
}

/// Prefix of a route.
pub fn prefix(route: usize) -> CompactString {
    format_compact!("/api/part-{}/", route % 10)
}

/// Key of a tenant.
pub fn key(tenant: usize) -> CompactString {
    format_compact!("key-{:016x}", digest(&tenant.to_le_bytes()))
}

/// Name of a service.
pub fn service(number: usize) -> CompactString {
    format_compact!("service-{number}")
}

/// Name of a zone.
pub fn zone(number: usize) -> CompactString {
    format_compact!("region-{}-zone-{}", number % ZONES % REGIONS, number % ZONES / REGIONS)
}

/// Name of a zone's region.
pub fn region(number: usize) -> CompactString {
    format_compact!("region-{}", number % ZONES % REGIONS)
}

/// The workers of all services, spread over services and zones.
pub fn all_workers(number: u64, count: usize) -> Vec<ServiceUpdate> {
    let services = services_of(count);
    let update = |place: usize| {
        let workers = (place..count).step_by(services).map(|worker| worker_record(worker, services));
        service_update(place, number, ServiceUpdateContent::Snapshot(workers.collect()))
    };
    (0..services).map(update).collect()
}

/// One worker of the first service changes, after a list of the number before.
pub fn worker_change(number: u64, count: usize) -> ServiceUpdate {
    let draining = number.is_multiple_of(2);
    let listed = vec![WorkerRecord { draining, ..worker_record(0, services_of(count)) }];
    let since = version(number - 1);
    service_update(0, number, ServiceUpdateContent::Changes { since, listed, removed: Vec::new() })
}

fn service_update(place: usize, number: u64, news: ServiceUpdateContent) -> ServiceUpdate {
    ServiceUpdate { service: service(place), version: version(number), content: news }
}

fn version(number: u64) -> WorkersVersion {
    WorkersVersion { fence: 1, reader: 1, number }
}

fn worker_record(worker: usize, services: usize) -> WorkerRecord {
    WorkerRecord {
        id: format_compact!("worker-{worker:08x}"),
        service: service(worker % services),
        addr: address(worker),
        zone: zone(worker / services),
        capacity: 8,
        draining: false,
        cold_left: 0,
    }
}

/// What a proxy tells of itself.
pub fn proxy_status(number: usize) -> ProxyStatus {
    ProxyStatus {
        id: ProcessId { node: format_compact!("edge-{number}"), incarnation: 1_790_000_000_000_000 },
        zone: zone(number),
        region: region(number),
        http: address(number),
        peer: address(number),
        ready: true,
    }
}

fn address(number: usize) -> SocketAddr {
    let [_, high, middle, low] = (number as u32).to_be_bytes();
    (Ipv4Addr::new(10, high, middle, low), PORT).into()
}

/// The lines of a settings file that name all zones with their regions.
pub fn zones_in_settings() -> String {
    let lines = (0..ZONES).map(|number| format!("  {}: {}\n", zone(number), region(number)));
    format!("zones:\n{}", lines.collect::<String>())
}

/// Settings of a proxy.
pub fn proxy_settings() -> Settings {
    let zones = zones_in_settings();
    let text = format!(
        "node: edge-0\nip: 127.0.0.1\nzone: {}\nregion: {}\nport_range: [20000, 20010]\n{zones}",
        zone(0),
        region(0)
    );
    Settings::parse(&text).expect("settings that are written here can be read")
}

/// A store, by its number.
pub fn store_member(number: usize) -> StoreMember {
    let (name, zone) = (format_compact!("core-{number}"), zone(number));
    StoreMember { name, zone, addr: proxy_status(number).peer, disk: number as u64 + 1 }
}

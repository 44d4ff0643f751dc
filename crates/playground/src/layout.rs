//! Which machines there are, their addresses, and the settings file of each process.

use serde_json::json;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Ports, alike on all machines.
const HTTP_PORT: u16 = 8200;
const READINESS_PORT: u16 = 8201;
const ADMIN_PORT: u16 = 8202;
const DIRECTORY_PORT: u16 = 8203;
const WORKER_LIST_PORT: u16 = 8205;
const WORKER_PORT: u16 = 8080;
const INNER_PORTS: (u16, u16) = (7600, 7615);
/// Last numbers of the addresses of core machines, proxies, workers and the platform.
const CORES_AT: u8 = 10;
const PROXIES_AT: u8 = 20;
const WORKERS_AT: u8 = 100;
const PLATFORM_AT: u8 = 200;
/// Calls a second that the platform's list takes.
pub const LIST_CALLS_PER_S: f64 = 20.0;

/// Time from SIGTERM to SIGKILL, unless a layout has another.
const GRACE: Duration = Duration::from_secs(6);

/// Where something stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The zone.
    pub zone: &'static str,
    /// Its region.
    pub region: &'static str,
}

/// The zones, each in a region of its own.
pub const PLACES: [Place; 2] =
    [Place { zone: "north-1", region: "north" }, Place { zone: "south-1", region: "south" }];

/// Four zones in two regions.
pub const FOUR_PLACES: [Place; 4] = [
    Place { zone: "north-1", region: "north" },
    Place { zone: "south-1", region: "south" },
    Place { zone: "north-2", region: "north" },
    Place { zone: "south-2", region: "south" },
];

/// A program of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// Knows proxies, workers and orders.
    Registry,
    /// Keeps the operator's orders.
    ConfigStore,
    /// Carries requests.
    Proxy,
}

impl Program {
    /// All programs.
    pub const ALL: [Program; 3] = [Program::Registry, Program::ConfigStore, Program::Proxy];

    /// The file name of the program.
    pub fn file_name(self) -> &'static str {
        match self {
            Program::Registry => "registry",
            Program::ConfigStore => "config-store",
            Program::Proxy => "proxy",
        }
    }
}

/// A machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Where it stands.
    pub place: Place,
}

impl Machine {
    /// Where the operator calls a registry.
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ADMIN_PORT)
    }

    /// Where clients ask a registry which proxies there are.
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }

    /// Where clients send requests to a proxy.
    pub fn http(&self) -> SocketAddr {
        SocketAddr::new(self.ip, HTTP_PORT)
    }

    /// Where the platform asks a proxy whether it is ready.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READINESS_PORT)
    }
}

/// One process: a program on a machine.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// What it runs.
    pub program: Program,
    /// Where it runs.
    pub machine: Machine,
}

impl fmt::Display for ProcessSpec {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} on {}", self.program.file_name(), self.machine.name)
    }
}

/// The machines of a small system on one loopback network.
#[derive(Clone, Debug)]
pub struct Layout {
    network: [u8; 3],
    /// The zones.
    pub places: Vec<Place>,
    /// Machines with a disk, each with a registry and a store.
    pub cores: Vec<Machine>,
    /// Machines with a proxy.
    pub proxies: Vec<Machine>,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
}

impl Layout {
    /// Three core machines and four proxies in two zones, at `127.second.third.x`.
    pub fn new(second: u8, third: u8) -> Layout {
        Layout::of(second, third, &PLACES, 4)
    }

    /// Three core machines and so many proxies, spread over zones, at `127.second.third.x`.
    pub fn of(second: u8, third: u8, places: &[Place], proxies: u8) -> Layout {
        let network = [Ipv4Addr::LOCALHOST.octets()[0], second, third];
        let machine = |kind: &str, number: u8, first: u8| Machine {
            name: format!("{kind}-{}", number + 1),
            ip: address(network, first + number),
            place: places[usize::from(number) % places.len()],
        };
        let cores = (0..3).map(|number| machine("core", number, CORES_AT)).collect();
        let proxies = (0..proxies).map(|number| machine("edge", number, PROXIES_AT)).collect();
        Layout { network, places: places.to_vec(), cores, proxies, grace: GRACE }
    }

    /// Where the platform's list of workers is.
    pub fn worker_list(&self) -> SocketAddr {
        SocketAddr::new(address(self.network, PLATFORM_AT), WORKER_LIST_PORT)
    }

    /// Where a worker listens.
    pub fn worker(&self, number: u8) -> SocketAddr {
        SocketAddr::new(address(self.network, WORKERS_AT + number), WORKER_PORT)
    }

    /// All processes, core machines first.
    pub fn processes(&self) -> Vec<ProcessSpec> {
        let on = |program: Program, machine: &Machine| ProcessSpec { program, machine: machine.clone() };
        let cores = self.cores.iter();
        let cores = cores.flat_map(|core| [on(Program::ConfigStore, core), on(Program::Registry, core)]);
        cores.chain(self.proxies.iter().map(|proxy| on(Program::Proxy, proxy))).collect()
    }

    /// Where a process keeps its files, below a directory.
    pub fn data_dir(&self, process: &ProcessSpec, below: &Path) -> Option<PathBuf> {
        (process.program == Program::ConfigStore).then(|| below.join(&process.machine.name))
    }

    /// The settings of a process, YAML. `bootstrap` is whether the whole system starts for the first time.
    ///
    /// # Errors
    /// A path that is no text.
    pub fn settings(&self, process: &ProcessSpec, below: &Path, bootstrap: bool) -> Result<String, String> {
        let machine = &process.machine;
        let listen = match process.program {
            Program::Registry => json!({ "admin": machine.admin(), "dir": machine.directory() }),
            Program::ConfigStore => json!({}),
            Program::Proxy => json!({ "http": machine.http(), "readiness": machine.readiness() }),
        };
        let zones: serde_json::Map<String, serde_json::Value> =
            self.places.iter().map(|place| (place.zone.to_owned(), json!(place.region))).collect();
        let settings = json!({
            "node": machine.name,
            "role": process.program.file_name(),
            "ip": machine.ip,
            "zone": machine.place.zone,
            "region": machine.place.region,
            "zones": zones,
            "listen": listen,
            "port_range": INNER_PORTS,
            "seeds": self.cores.iter().map(Machine::admin).collect::<Vec<_>>(),
            "bootstrap": bootstrap,
            "data_dir": self.data_dir(process, below),
            "bounds": { "grace": format!("{}ms", self.grace.as_millis()) },
            "tolerate": { "machines": 1, "zones": 0, "regions": 0 },
            "cloud_api": { "addr": self.worker_list(), "rate_per_s": LIST_CALLS_PER_S, "lag": "500ms" },
        });
        serde_norway::to_string(&settings).map_err(|e| format!("settings of {process}: {e}"))
    }
}

fn address(network: [u8; 3], last: u8) -> IpAddr {
    let [first, second, third] = network;
    IpAddr::from([first, second, third, last])
}

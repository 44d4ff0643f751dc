//! The registry and the store as processes of their own on loopback addresses, run by the code of the programs.

use crate::fixtures;
use crate::measure::{process_cpu, process_resident};
use eyre::{bail, Context, Result};
use hingestage_node::settings::{InternalPort, SETTINGS_VARIABLE};
use hingestage_node::Settings;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The section that runs a registry.
pub const REGISTRY: &str = "serve-registry";
/// The section that runs a store.
pub const STORE: &str = "serve-store";
/// First port of the range that machines use, and ports after it.
const PORT: u16 = 23_900;
const ADMIN_PORT: u16 = PORT + 10;
const DIR_PORT: u16 = PORT + 11;
/// How long a process may take to listen.
const STARTS_WITHIN: Duration = Duration::from_secs(10);
/// How long a configuration may take to be acknowledged, and the pause between two tries.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(17);
const PUT_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two looks whether it does.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Runs a registry by the settings file that the environment names.
pub async fn serve_registry() -> Result<()> {
    hingestage_registry::server::serve(settings()?).await
}

/// Runs a store by the settings file that the environment names.
pub async fn serve_store() -> Result<()> {
    hingestage_config_store::server::serve(settings()?).await
}

fn settings() -> Result<Rc<Settings>> {
    Settings::load().map(Rc::new).map_err(eyre::Report::msg)
}

/// A directory that goes with its owner.
pub struct TemporaryDir(PathBuf);

impl TemporaryDir {
    /// Makes one.
    pub fn new(name: &str) -> Result<TemporaryDir> {
        let path = std::env::temp_dir().join(format!("hingestage-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryDir(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One core machine: an address, a settings file, a disk.
pub struct Machine {
    ip: IpAddr,
    settings: PathBuf,
}

impl Machine {
    /// The address of a machine's process for the system's own traffic.
    pub fn addr(&self, port: InternalPort) -> SocketAddr {
        SocketAddr::new(self.ip, PORT + port as u16)
    }

    /// Writes the settings of machine `number`, which knows the first one. `zone` is its place in the list of zones.
    pub fn new(dir: &TemporaryDir, number: u8, zone: usize) -> Result<Machine> {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 77, 0, number));
        let settings = dir.path().join(format!("core-{number}.yaml"));
        let data_dir = dir.path().join(format!("disk-{number}"));
        let text = format!(
            "node: core-{number}\nip: {ip}\nzone: {}\nregion: {}\nport_range: [{PORT}, {}]\nbootstrap: true\n\
             seeds: [\"127.77.0.1:{PORT}\"]\ndata_dir: {}\n\
             listen: {{ admin: \"{ip}:{ADMIN_PORT}\", dir: \"{ip}:{DIR_PORT}\" }}\n{}",
            fixtures::zone(zone),
            fixtures::region(zone),
            PORT + 9,
            data_dir.display(),
            fixtures::zones_in_settings()
        );
        std::fs::write(&settings, text)?;
        Ok(Machine { ip, settings })
    }

    /// Starts a process on it, and waits until it listens.
    pub async fn start(&self, section: &str) -> Result<Process> {
        let program = std::env::current_exe()?;
        let mut command = Command::new(program);
        command.args([section, "0"]).env(SETTINGS_VARIABLE, &self.settings).stdin(Stdio::null());
        let process = Process(command.spawn().wrap_err("starting a process")?);
        let port = if section == REGISTRY { InternalPort::Registry } else { InternalPort::ConfigStore };
        let until = Instant::now() + STARTS_WITHIN;
        while TcpStream::connect(self.addr(port)).await.is_err() {
            if Instant::now() > until {
                bail!("{section} does not listen");
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
        Ok(process)
    }

    /// Sends a configuration as an operator does, again until it is acknowledged.
    ///
    /// # Errors
    /// It is not acknowledged in time; the last answer is told.
    pub async fn put_config(&self, json: &[u8]) -> Result<()> {
        let until = Instant::now() + ACKNOWLEDGED_WITHIN;
        loop {
            let status = self.put_config_once(json).await?;
            if status.starts_with("HTTP/1.1 200") {
                return Ok(());
            }
            if Instant::now() > until {
                bail!("PUT /config: {status}");
            }
            tokio::time::sleep(PUT_PAUSE).await;
        }
    }

    async fn put_config_once(&self, json: &[u8]) -> Result<String> {
        let mut stream = TcpStream::connect(SocketAddr::new(self.ip, ADMIN_PORT)).await?;
        let length = json.len();
        let head = format!(
            "PUT /config HTTP/1.1\r\nhost: core\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(json).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer.lines().next().unwrap_or_default().to_owned())
    }
}

/// A process that ends with its owner.
pub struct Process(Child);

impl Process {
    /// Processor time that it has used.
    pub fn cpu(&self) -> Duration {
        process_cpu(self.0.id())
    }

    /// Its resident bytes.
    pub fn resident(&self) -> u64 {
        process_resident(self.0.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

//! `hingestage srv`: follows the SRV records of a name and shows the accepted endpoints, without a gateway.

use crate::{block_on, Failed};
use hingestage_gateway::srv::{EndpointSink, Follower};
use hingestage_platform::{Platform, Tokio};
use hingestage_print::{put, say};
use hingestage_srv::{Endpoint, Network, SrvSettings};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Arguments of `hingestage srv`.
#[derive(clap::Args)]
pub struct Args {
    /// The name, such as `_registry._tcp.sala.example.org`.
    name: String,
    /// DNS server; may be repeated.
    #[arg(long, required = true, value_name = "ADDR:PORT")]
    server: Vec<SocketAddr>,
    /// Network outside of which addresses are not accepted; may be repeated. Defaults to all networks.
    #[arg(long, value_name = "ADDR/BITS")]
    network: Vec<Network>,
    /// How long to follow the name, in seconds.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    seconds: u64,
}

/// Prints each change of the accepted endpoints.
struct PrintSink {
    /// Set once any endpoints were accepted.
    accepted: Rc<Cell<bool>>,
}

impl EndpointSink for PrintSink {
    fn replace(&self, endpoints: &[Endpoint]) {
        self.accepted.set(true);
        say!("believed: {} workers", endpoints.len());
        for Endpoint { at, priority, size, .. } in endpoints {
            say!("  {at} priority {priority} size {size:.2}");
        }
    }

    fn expire(&self) -> Option<Duration> {
        None
    }
}

/// Follows the name and prints changes.
pub fn run(args: Args) -> Result<(), Failed> {
    let settings = SrvSettings::new(&args.name, args.server).map_err(Failed::InvalidInput)?;
    let networks = if args.network.is_empty() { settings.networks.clone() } else { args.network };
    let settings = SrvSettings { networks, ..settings };
    let seconds = args.seconds;
    let accepted = Rc::new(Cell::new(false));
    let sink = PrintSink { accepted: accepted.clone() };
    block_on(async move {
        let seed = Tokio.unix_time().as_nanos() as u64;
        let follower = Follower::start(Tokio, settings, seed, Box::new(sink));
        Tokio.sleep(Duration::from_secs(seconds)).await;
        put!("{}", follower.explain());
        Ok(())
    })
    .map_err(Failed::Running)?;
    if accepted.get() {
        Ok(())
    } else {
        Err(Failed::Inconclusive("nothing is believed of the name".into()))
    }
}

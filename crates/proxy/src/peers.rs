//! Counts of tenants between proxies: batched adds go to the owner of each tenant, totals come back. Tokens that are lent
//! go the same way.
//!
//! Datagrams: a lost or doubled one changes nothing, as counts are cumulative and told again until confirmed.

use crate::server::Proxy;
use compact_str::CompactString;
use eyre::{Context, Result};
use hingestage_discovery::neighbors;
use hingestage_node::settings::InnerPort;
use hingestage_quota::{owner, Adds, GatewayId, OwnerSettings, OwnerTable, Totals};
use hingestage_replication::digest;
use hingestage_rpc::messages::ProxyStatus;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// Period at which counts are pushed. Totals steer the ordinary path only; the hard bound rests on parts.
pub const PUSH_PERIOD: Duration = Duration::from_millis(1_000);
/// Tenants in one datagram, so that it fits into one packet.
const TENANTS_EACH: usize = 20;
/// The longest datagram, bytes.
const DATAGRAM_MAX: usize = 8 * 1024;
/// Pause after the socket failed.
const FAIL_PAUSE: Duration = Duration::from_millis(100);

/// What proxies say to each other.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Counts, for the owner of the tenants.
    Adds(GatewayId, Adds),
    /// What all proxies together come to.
    Totals(Totals),
    /// Tokens of a tenant are asked for.
    Borrow {
        /// Number of the question.
        number: u64,
        /// Name of the tenant.
        tenant: CompactString,
        /// How many at the most.
        most: f64,
    },
    /// Tokens are given away.
    Lend {
        /// Number of the question.
        number: u64,
        /// How many.
        lent: f64,
    },
}

/// The number of a proxy, the same over its restarts.
pub(crate) fn gateway_id(node: &str) -> GatewayId {
    GatewayId(digest(node.as_bytes()))
}

/// Starts to tell and to hear counts.
///
/// # Errors
/// The address can't be had.
pub(crate) async fn start(proxy: &Rc<Proxy>) -> Result<()> {
    let at = proxy.settings.inner(InnerPort::Proxy);
    let socket = Rc::new(UdpSocket::bind(at).await.wrap_err_with(|| format!("{at}"))?);
    *proxy.peer_socket.borrow_mut() = Some(socket.clone());
    spawn_local(push(proxy.clone(), socket.clone()));
    spawn_local(receive(proxy.clone(), socket));
    Ok(())
}

/// The proxies that keep totals, as every proxy names them.
fn counters(peers: &[ProxyStatus]) -> Vec<GatewayId> {
    let counters = neighbors::counters(peers, |peer| &peer.id.node);
    counters.into_iter().map(|peer| gateway_id(&peer.id.node)).collect()
}

async fn push(proxy: Rc<Proxy>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(PUSH_PERIOD).await;
        let peers: BTreeMap<GatewayId, SocketAddr> =
            proxy.view.borrow().peers().iter().map(|peer| (gateway_id(&peer.id.node), peer.peer)).collect();
        let living: Vec<GatewayId> = counters(proxy.view.borrow().peers());
        let batches = proxy.tenants.borrow_mut().collect_adds(proxy.now(), |tenant| owner(tenant, &living));
        let me = gateway_id(&proxy.settings.node);
        for (owner, adds) in batches {
            let Some(addr) = peers.get(&owner) else { continue };
            for tenants in adds.tenants.chunks(TENANTS_EACH) {
                let part = Adds { tenants: tenants.to_vec(), ..adds.clone() };
                send(&socket, &PeerMessage::Adds(me, part), *addr).await;
            }
        }
    }
}

async fn receive(proxy: Rc<Proxy>, socket: Rc<UdpSocket>) {
    let mut counts = OwnerTable::new(OwnerSettings::default());
    let mut buffer = vec![0; DATAGRAM_MAX];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(FAIL_PAUSE).await;
            continue;
        };
        let decoded = bincode::serde::decode_from_slice(&buffer[..length], bincode::config::standard());
        match decoded {
            Ok((PeerMessage::Adds(gateway, adds), _)) => {
                let totals = counts.receive(proxy.now(), gateway, &adds);
                send(&socket, &PeerMessage::Totals(totals), from).await;
            }
            Ok((PeerMessage::Totals(totals), _)) => {
                proxy.tenants.borrow_mut().apply_totals(proxy.now(), &totals);
            }
            Ok((PeerMessage::Borrow { number, tenant, most }, _)) => {
                let lent = proxy.lend_tokens(&tenant, most);
                send(&socket, &PeerMessage::Lend { number, lent }, from).await;
            }
            Ok((PeerMessage::Lend { number, lent }, _)) => proxy.loans.take(from, number, lent),
            Err(error) => log::debug!("{from}: {error}"),
        }
    }
}

impl Proxy {
    /// Sends a datagram to another proxy.
    pub(crate) async fn tell_peer(&self, message: &PeerMessage, to: SocketAddr) {
        let socket = self.peer_socket.borrow().clone();
        if let Some(socket) = socket {
            send(&socket, message, to).await;
        }
    }
}

async fn send(socket: &UdpSocket, message: &PeerMessage, to: SocketAddr) {
    let Ok(bytes) = bincode::serde::encode_to_vec(message, bincode::config::standard()) else { return };
    // What is lost is told again.
    let _ = socket.send_to(&bytes, to).await;
}

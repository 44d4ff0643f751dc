//! Datagrams between proxies: tenants' request counts go to the owner of each tenant, which answers with totals; lent
//! tokens use the same socket.
//!
//! Counts are cumulative and sent again until confirmed, so lost and duplicate datagrams do no harm.

use crate::server::Proxy;
use compact_str::CompactString;
use eyre::{Context, Result};
use hingestage_discovery::neighbors;
use hingestage_node::settings::InternalPort;
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

/// Interval at which counts are pushed. Only admission below the hard limit depends on totals; the hard limit rests on
/// leased shares.
pub const PUSH_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of tenants per datagram, so that it fits into one packet.
const TENANTS_PER_DATAGRAM: usize = 20;
/// Maximum size of a datagram, bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Pause after a socket error.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// A datagram between proxies, encoded with bincode: the order of variants and fields is fixed.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Request counts, sent to the owner of the tenants.
    Adds(GatewayId, Adds),
    /// Counts over all proxies, sent by the owner.
    Totals(Totals),
    /// Requests tokens of a tenant.
    Borrow {
        /// Identifies the borrow request.
        number: u64,
        /// Name of the tenant.
        tenant: CompactString,
        /// Maximum number of tokens.
        most: f64,
    },
    /// Lends tokens in answer to [`PeerMessage::Borrow`].
    Lend {
        /// Identifies the borrow request.
        number: u64,
        /// Number of tokens.
        lent: f64,
    },
}

/// Id of a proxy, stable across restarts.
pub(crate) fn gateway_id(node: &str) -> GatewayId {
    GatewayId(digest(node.as_bytes()))
}

/// Binds the socket and starts sending and receiving datagrams.
///
/// # Errors
/// The address can't be bound.
pub(crate) async fn start(proxy: &Rc<Proxy>) -> Result<()> {
    let at = proxy.settings.internal_addr(InternalPort::Proxy);
    let socket = Rc::new(UdpSocket::bind(at).await.wrap_err_with(|| format!("{at}"))?);
    *proxy.peer_socket.borrow_mut() = Some(socket.clone());
    spawn_local(push_counts(proxy.clone(), socket.clone()));
    spawn_local(receive(proxy.clone(), socket));
    Ok(())
}

/// Ids of the proxies that may own tenants' totals; equal at all proxies that know the same peers.
fn total_owners(peers: &[ProxyStatus]) -> Vec<GatewayId> {
    let owners = neighbors::counters(peers, |peer| &peer.id.node);
    owners.into_iter().map(|peer| gateway_id(&peer.id.node)).collect()
}

/// Sends counts to the owners of their tenants at each interval.
async fn push_counts(proxy: Rc<Proxy>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(PUSH_INTERVAL).await;
        let peers: BTreeMap<GatewayId, SocketAddr> =
            proxy.view.borrow().peers().iter().map(|peer| (gateway_id(&peer.id.node), peer.peer)).collect();
        let owners: Vec<GatewayId> = total_owners(proxy.view.borrow().peers());
        let batches = proxy.tenants.borrow_mut().collect_adds(proxy.now(), |tenant| owner(tenant, &owners));
        let me = gateway_id(&proxy.settings.node);
        for (owner, adds) in batches {
            let Some(addr) = peers.get(&owner) else { continue };
            for tenants in adds.tenants.chunks(TENANTS_PER_DATAGRAM) {
                let batch = Adds { tenants: tenants.to_vec(), ..adds.clone() };
                send(&socket, &PeerMessage::Adds(me, batch), *addr).await;
            }
        }
    }
}

/// Handles incoming datagrams.
async fn receive(proxy: Rc<Proxy>, socket: Rc<UdpSocket>) {
    let mut counts = OwnerTable::new(OwnerSettings::default());
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(ERROR_PAUSE).await;
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
            Ok((PeerMessage::Lend { number, lent }, _)) => proxy.borrowing.receive(from, number, lent),
            Err(error) => log::debug!("{from}: {error}"),
        }
    }
}

impl Proxy {
    /// Sends a datagram to another proxy.
    pub(crate) async fn send_to_peer(&self, message: &PeerMessage, to: SocketAddr) {
        let socket = self.peer_socket.borrow().clone();
        if let Some(socket) = socket {
            send(&socket, message, to).await;
        }
    }
}

async fn send(socket: &UdpSocket, message: &PeerMessage, to: SocketAddr) {
    let Ok(bytes) = bincode::serde::encode_to_vec(message, bincode::config::standard()) else { return };
    // Counts are sent again until confirmed, and borrowers time out.
    let _ = socket.send_to(&bytes, to).await;
}

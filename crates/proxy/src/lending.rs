//! Lending of tenants' rate-limit tokens between proxies, as requests are not spread evenly over them.
//!
//! A proxy that lacks a token asks a few others of its region at a time. A lender deducts tokens before it sends them,
//! so the global limit holds even if datagrams are lost, duplicated or late.

use crate::peers::PeerMessage;
use crate::server::Proxy;
use compact_str::CompactString;
use hingestage_quota::Borrowing;
use hingestage_replication::Micros;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;

/// Number of proxies asked in one round.
const PEERS_PER_ROUND: usize = 4;
/// Maximum number of rounds.
const MAX_ROUNDS: usize = 3;
/// Fraction of the missing tokens requested from each proxy of a round.
const REQUESTED_FRACTION: f64 = 0.4;
/// Timeout of a round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(9);
/// Lent tokens are discarded if borrowing takes longer than this, microseconds.
const BORROW_TIMEOUT: Micros = 50_000;

/// Pending requests for tokens of other proxies.
#[derive(Default)]
pub(crate) struct TokenBorrowing {
    pending: RefCell<Borrowing<SocketAddr>>,
    answered: Notify,
}

impl TokenBorrowing {
    /// Records tokens that another proxy lent.
    pub fn receive(&self, from: SocketAddr, number: u64, lent: f64) {
        if self.pending.borrow_mut().record_answer(&from, number, lent) {
            self.answered.notify_waiters();
        }
    }

    /// Waits until a borrow request has enough tokens or no answer is pending.
    async fn wait(&self, number: u64) {
        loop {
            let answered = self.answered.notified();
            if self.pending.borrow().is_complete(number) {
                return;
            }
            answered.await;
        }
    }
}

/// Ends a borrow request on drop, also if its client request is cancelled.
struct EndOnDrop<'a> {
    proxy: &'a Proxy,
    number: u64,
}

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.proxy.borrowing.pending.borrow_mut().end(self.proxy.now(), self.number);
    }
}

impl Proxy {
    /// Borrows what a tenant's bucket lacks of a token from other proxies of the region. Returns the borrowed amount.
    pub(crate) async fn borrow_tokens(&self, tenant: &CompactString) -> f64 {
        let now = self.now();
        let lacking = self.tenants.borrow().missing_tokens(now, tenant);
        let Some(number) =
            lacking.and_then(|lacking| self.borrowing.pending.borrow_mut().begin(now, tenant, lacking))
        else {
            return 0.0;
        };
        let _end_on_drop = EndOnDrop { proxy: self, number };
        let asked_at = self.now();
        let mut peers = self.region_peers();
        fastrand::shuffle(&mut peers);
        for peers in peers.chunks(PEERS_PER_ROUND).take(MAX_ROUNDS) {
            let most = self.borrowing.pending.borrow_mut().ask(number, peers) * REQUESTED_FRACTION;
            for peer in peers {
                self.send_to_peer(&PeerMessage::Borrow { number, tenant: tenant.clone(), most }, *peer).await;
            }
            let _ = tokio::time::timeout(ROUND_TIMEOUT, self.borrowing.wait(number)).await;
            if self.borrowing.pending.borrow().has_enough(number) {
                break;
            }
        }
        let lent = self.borrowing.pending.borrow_mut().end(self.now(), number);
        let late = self.now() > asked_at + BORROW_TIMEOUT;
        if late {
            0.0
        } else {
            lent
        }
    }

    /// Addresses of the other proxies of this region.
    fn region_peers(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let nearby = view.peers().iter().filter(|peer| {
            peer.region == self.settings.region.as_str() && peer.id.node != self.settings.node.as_str()
        });
        nearby.map(|peer| peer.peer).collect()
    }

    /// Deducts up to `max_tokens` from a tenant's bucket for another proxy. Returns the amount lent.
    pub(crate) fn lend_tokens(&self, tenant: &str, max_tokens: f64) -> f64 {
        let active = self.view.borrow().active().cloned();
        let Some(active) = active else { return 0.0 };
        let tenant = active.configuration.tenants.iter().find(|known| known.name == tenant);
        let Some(tenant) = tenant.filter(|_| max_tokens.is_finite() && max_tokens > 0.0) else { return 0.0 };
        let part = self.view.borrow().limit_share();
        let Some(limits) = self.lending_limits(tenant, part) else { return 0.0 };
        self.tenants.borrow_mut().lend(self.now(), &tenant.name, limits, part, max_tokens)
    }
}

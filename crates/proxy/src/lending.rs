//! Tokens of tenants that proxies lend each other: parts are even, and requests are not.
//!
//! A proxy that lacks a token asks others of its region, four at a time, and uses what comes within a moment of its
//! question. Whoever lends has given the tokens away by then, so the sum over all proxies holds whether datagrams are
//! lost, doubled or late.

use crate::peers::PeerMessage;
use crate::server::Proxy;
use compact_str::CompactString;
use hingestage_quota::Borrowing;
use hingestage_replication::Micros;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;

/// Proxies that are asked at once, and how often others are asked.
const ASKED_AT_ONCE: usize = 4;
const ROUNDS: usize = 3;
/// Part of what is lacking that each of them is asked for.
const ASKED_OF_EACH: f64 = 0.4;
/// How long their answers may take.
const ANSWER_WITHIN: Duration = Duration::from_millis(9);
/// What comes later than this after the first question is not used, microseconds.
const USED_WITHIN: Micros = 50_000;

/// Requests that wait for tokens of other proxies.
#[derive(Default)]
pub(crate) struct Loans {
    borrowing: RefCell<Borrowing<SocketAddr>>,
    answered: Notify,
}

impl Loans {
    /// Takes in what another proxy lent.
    pub fn take(&self, from: SocketAddr, number: u64, lent: f64) {
        if self.borrowing.borrow_mut().record_answer(&from, number, lent) {
            self.answered.notify_waiters();
        }
    }

    async fn wait(&self, number: u64) {
        loop {
            let answered = self.answered.notified();
            if self.borrowing.borrow().is_complete(number) {
                return;
            }
            answered.await;
        }
    }
}

/// Ends a wait also where its request is given up.
struct Ending<'a>(&'a Proxy, u64);

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        self.0.loans.borrowing.borrow_mut().end(self.0.now(), self.1);
    }
}

impl Proxy {
    /// Asks other proxies of the region for what a tenant's bucket lacks of a token. Gives what they lent.
    pub(crate) async fn borrow_tokens(&self, tenant: &CompactString) -> f64 {
        let now = self.now();
        let lacking = self.tenants.borrow().missing_tokens(now, tenant);
        let Some(number) =
            lacking.and_then(|lacking| self.loans.borrowing.borrow_mut().begin(now, tenant, lacking))
        else {
            return 0.0;
        };
        let _ending = Ending(self, number);
        let asked_at = self.now();
        let mut peers = self.neighbors_of_region();
        fastrand::shuffle(&mut peers);
        for peers in peers.chunks(ASKED_AT_ONCE).take(ROUNDS) {
            let most = self.loans.borrowing.borrow_mut().ask(number, peers) * ASKED_OF_EACH;
            for peer in peers {
                self.tell_peer(&PeerMessage::Borrow { number, tenant: tenant.clone(), most }, *peer).await;
            }
            let _ = tokio::time::timeout(ANSWER_WITHIN, self.loans.wait(number)).await;
            if self.loans.borrowing.borrow().has_enough(number) {
                break;
            }
        }
        let lent = self.loans.borrowing.borrow_mut().end(self.now(), number);
        let late = self.now() > asked_at + USED_WITHIN;
        if late {
            0.0
        } else {
            lent
        }
    }

    /// Other proxies that are near enough to be asked while a request waits.
    fn neighbors_of_region(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let near = view.peers().iter().filter(|peer| {
            peer.region == self.settings.region.as_str() && peer.id.node != self.settings.node.as_str()
        });
        near.map(|peer| peer.peer).collect()
    }

    /// Gives tokens of a tenant away, by the quota in force here.
    pub(crate) fn lend_tokens(&self, tenant: &str, most: f64) -> f64 {
        let active = self.view.borrow().active().cloned();
        let Some(active) = active else { return 0.0 };
        let tenant = active.configuration.tenants.iter().find(|known| known.name == tenant);
        let Some(tenant) = tenant.filter(|_| most.is_finite() && most > 0.0) else { return 0.0 };
        let part = self.view.borrow().part();
        let Some(limits) = self.lendable(tenant, part) else { return 0.0 };
        self.tenants.borrow_mut().lend(self.now(), &tenant.name, limits, part, most)
    }
}

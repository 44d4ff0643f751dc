//! Rate limit on requests to cold workers.

use crate::hash::{hash_bytes, weight};
use crate::lru::{Handle, LruMap};
use crate::{EvenShare, GatewayId, Micros, ShareMeter, SECOND};
use compact_str::CompactString;
use std::collections::VecDeque;

/// Maximum number of tracked workers. Beyond it, no request goes to a new worker until a tracked one was idle
/// for a second.
const MAX_WORKERS: usize = 16_384;
/// Floating-point tolerance for a whole request.
const ROUNDING: f64 = 1e-9;

/// The limit of requests to one cold worker: `per_s x excess + slack` in any second, over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Factor by which the rate may be exceeded.
    pub excess: f64,
    /// Additional requests in a second.
    pub slack: f64,
}

impl ColdLimit {
    /// Whole requests per second for a share of the limit.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn sends(&self, share: f64) -> usize {
        ((self.per_s * self.excess + self.slack) * share + ROUNDING) as usize
    }
}

#[derive(Clone, Debug, Default)]
struct ColdWorker {
    /// Times of the requests within the last second, oldest first.
    sent: VecDeque<Micros>,
    /// Version of the gateway list, and whether it selects this gateway for a whole request per second.
    selected: Option<(u64, bool)>,
}

/// Bounds the requests to each cold worker over all gateways.
///
/// A gateway sends at most `floor(limit x share)` requests within any second, by the smallest share that it
/// held within that second. If this is below one, rendezvous hashing selects `floor(limit)` gateways of the
/// list for each worker, and each of them may send one request per second.
///
/// # Bound over all gateways
/// Take any second that begins at `s`. A gateway's last request within it is sent at `t < s + 1`, so `s` lies
/// within the second that ends at `t`, and the gateway sends at most `limit x` its share at `s` from `s` to
/// `t`. The shares at `s` total at most one. A gateway sends nothing within its first second, since its
/// previous run may have sent. Selection requires that all shares valid at one moment belong to the same list:
/// the grantor of shares lets all leases of one list expire before the next list starts. A gateway uses
/// selection only after it has had its list for a second, so at `s` the same list holds for all senders.
///
/// Requests are counted when they are sent: callers subtract from the slack what network jitter may add on arrival.
#[derive(Clone, Debug)]
pub struct ColdBudget {
    limit: ColdLimit,
    started_at: Micros,
    meter: ShareMeter,
    workers: LruMap<ColdWorker>,
    gateways: Vec<GatewayId>,
    list_version: u64,
    listed_at: Micros,
}

impl ColdBudget {
    /// Creates the budget of a gateway that starts now.
    pub fn new(now: Micros, limit: ColdLimit) -> ColdBudget {
        let (meter, workers) = (ShareMeter::new(now), LruMap::new());
        ColdBudget {
            limit,
            started_at: now,
            meter,
            workers,
            gateways: Vec::new(),
            list_version: 0,
            listed_at: now,
        }
    }

    /// Records the share held from now on. Must be called at each lease renewal.
    pub fn observe_share(&mut self, now: Micros, even_share: EvenShare) {
        self.meter.observe(now, even_share);
    }

    /// Records the list of gateways that the limit is divided among.
    pub fn observe_gateways(&mut self, now: Micros, gateways: &[GatewayId]) {
        if self.gateways != gateways {
            self.gateways = gateways.to_vec();
            self.list_version += 1;
            self.listed_at = now;
        }
    }

    /// Returns whether a request may be sent to a cold worker now, and if so counts it.
    pub fn try_send(&mut self, now: Micros, even_share: EvenShare, gateway: GatewayId, worker: &str) -> bool {
        self.meter.observe(now, even_share);
        let Some(handle) = self.find_or_insert(now, worker) else { return false };
        self.workers.touch(handle);
        let max = self.max_sends(now, even_share, gateway, handle);
        let Some(entry) = self.workers.get_mut(handle) else { return false };
        while entry.sent.front().is_some_and(|at| at + SECOND <= now) {
            entry.sent.pop_front();
        }
        if entry.sent.len() >= max {
            return false;
        }
        entry.sent.push_back(now);
        true
    }

    fn max_sends(&mut self, now: Micros, even_share: EvenShare, gateway: GatewayId, worker: Handle) -> usize {
        if now < self.started_at.saturating_add(SECOND) {
            return 0;
        }
        let share = self.meter.lowest_since(now.saturating_sub(SECOND));
        let sends = self.limit.sends(share);
        if sends > 0 || share <= 0.0 {
            return sends;
        }
        let same_list = even_share.gateways as usize == self.gateways.len();
        let list_stable = now >= self.listed_at + SECOND;
        usize::from(same_list && list_stable && self.is_selected(gateway, worker))
    }

    fn is_selected(&mut self, gateway: GatewayId, worker: Handle) -> bool {
        let Some((name, entry)) = self.workers.get(worker) else { return false };
        if let Some((version, selected)) = entry.selected {
            if version == self.list_version {
                return selected;
            }
        }
        let key = hash_bytes(name.as_bytes());
        let rank = |other: GatewayId| (weight(key, other), other);
        let higher = self.gateways.iter().filter(|other| rank(**other) > rank(gateway)).count();
        let selected = self.gateways.contains(&gateway) && higher < self.limit.sends(1.0);
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.selected = Some((self.list_version, selected));
        }
        selected
    }

    fn find_or_insert(&mut self, now: Micros, worker: &str) -> Option<Handle> {
        if let Some(handle) = self.workers.find(worker) {
            return Some(handle);
        }
        if self.workers.len() >= MAX_WORKERS {
            let oldest = self.workers.oldest()?;
            let (_, entry) = self.workers.get(oldest)?;
            if entry.sent.back().is_some_and(|at| at + SECOND > now) {
                return None;
            }
            self.workers.remove(oldest);
        }
        Some(self.workers.insert(CompactString::from(worker), ColdWorker::default()))
    }
}

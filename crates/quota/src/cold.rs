//! The budget of sends to cold workers.

use crate::hash::{hash_bytes, weight};
use crate::lru::{Handle, LruMap};
use crate::{GatewayId, Micros, Part, PartMeter, SECOND};
use compact_str::CompactString;
use std::collections::VecDeque;

/// Workers kept at most. Beyond, nothing is sent to further cold workers until one has been left alone for a second.
const WORKERS: usize = 16_384;
/// What a product of floating-point numbers may lack for a whole send.
const ROUNDING: f64 = 1e-9;

/// The limit of sends to one cold worker: `per_s x excess + slack` in any second, for all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Sends a second.
    pub per_s: f64,
    /// The factor by which the rule lets them pass.
    pub excess: f64,
    /// Sends besides.
    pub slack: f64,
}

impl ColdLimit {
    /// The sends that a share of the whole comes to.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn sends(&self, share: f64) -> usize {
        ((self.per_s * self.excess + self.slack) * share + ROUNDING) as usize
    }
}

#[derive(Clone, Debug, Default)]
struct ColdWorker {
    /// When the last sends happened, oldest first. Never more than a second's.
    sent: VecDeque<Micros>,
    /// Whether this gateway has one of the few sends there are, by which list of gateways.
    chosen: Option<(u64, bool)>,
}

/// Bounds the sends to each cold worker over all gateways.
///
/// A gateway sends at most `floor(limit x share)` within any second, where its share is the smallest that it held within
/// that second. Where this is below one, the sends are dealt out: of the list of gateways that the parts are of, those
/// `floor(limit)` that rendezvous hashing picks for the worker have one send a second each.
///
/// # The sum over all gateways
/// Take any second that begins at `s`. The last send of a gateway within it comes at `t < s + 1`, so `s` lies within the
/// second that ends at `t`, and all that the gateway sends from `s` to `t` is at most `limit x` its share at `s`. The
/// shares at `s` come to at most one. A gateway sends nothing within its first second, as its
/// former run may have sent.
/// Dealt out sends need that all parts valid at one moment are of the same list: whoever grants parts lets all leases
/// of one list end before another list begins. A gateway sends nothing so until it has had its list for a second, so at
/// `s` the same list holds for all that send.
///
/// Sends are counted when they leave: a caller takes what arrivals may be closer together out of the slack it passes.
#[derive(Clone, Debug)]
pub struct ColdBudget {
    limit: ColdLimit,
    started_at: Micros,
    meter: PartMeter,
    workers: LruMap<ColdWorker>,
    gateways: Vec<GatewayId>,
    list: u64,
    listed_at: Micros,
}

impl ColdBudget {
    /// A budget of a gateway that starts now.
    pub fn new(now: Micros, limit: ColdLimit) -> ColdBudget {
        let (meter, workers) = (PartMeter::new(now), LruMap::new());
        ColdBudget { limit, started_at: now, meter, workers, gateways: Vec::new(), list: 0, listed_at: now }
    }

    /// Takes in the part that holds from now on. Due at each renewal.
    pub fn observe_part(&mut self, now: Micros, part: Part) {
        self.meter.observe(now, part);
    }

    /// Takes in the list of gateways that the part is of.
    pub fn observe_gateways(&mut self, now: Micros, gateways: &[GatewayId]) {
        if self.gateways != gateways {
            self.gateways = gateways.to_vec();
            self.list += 1;
            self.listed_at = now;
        }
    }

    /// Whether a request may be sent to a cold worker now. If so, it counts as sent.
    pub fn try_send(&mut self, now: Micros, part: Part, gateway: GatewayId, worker: &str) -> bool {
        self.meter.observe(now, part);
        let Some(handle) = self.find_or_insert(now, worker) else { return false };
        self.workers.touch(handle);
        let most = self.most_sends(now, part, gateway, handle);
        let Some(entry) = self.workers.get_mut(handle) else { return false };
        while entry.sent.front().is_some_and(|at| at + SECOND <= now) {
            entry.sent.pop_front();
        }
        if entry.sent.len() >= most {
            return false;
        }
        entry.sent.push_back(now);
        true
    }

    fn most_sends(&mut self, now: Micros, part: Part, gateway: GatewayId, worker: Handle) -> usize {
        if now < self.started_at.saturating_add(SECOND) {
            return 0;
        }
        let share = self.meter.lowest_since(now.saturating_sub(SECOND));
        let sends = self.limit.sends(share);
        if sends > 0 || share <= 0.0 {
            return sends;
        }
        let same_list = part.gateways as usize == self.gateways.len();
        let settled = now >= self.listed_at + SECOND;
        usize::from(same_list && settled && self.is_chosen(gateway, worker))
    }

    fn is_chosen(&mut self, gateway: GatewayId, worker: Handle) -> bool {
        let Some((name, entry)) = self.workers.get(worker) else { return false };
        if let Some((list, chosen)) = entry.chosen {
            if list == self.list {
                return chosen;
            }
        }
        let key = hash_bytes(name.as_bytes());
        let rank = |other: GatewayId| (weight(key, other), other);
        let before = self.gateways.iter().filter(|other| rank(**other) > rank(gateway)).count();
        let chosen = self.gateways.contains(&gateway) && before < self.limit.sends(1.0);
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.chosen = Some((self.list, chosen));
        }
        chosen
    }

    fn find_or_insert(&mut self, now: Micros, worker: &str) -> Option<Handle> {
        if let Some(handle) = self.workers.find(worker) {
            return Some(handle);
        }
        if self.workers.len() >= WORKERS {
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

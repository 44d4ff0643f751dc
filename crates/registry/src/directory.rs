//! Which proxies there are, by their heartbeats, and which of them a client is sent to.

use compact_str::CompactString;
use hingestage_discovery::neighbors;
use hingestage_rendezvous::mix;
use hingestage_replication::{digest, Micros};
use hingestage_rpc::messages::ProxyStatus;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a version of the directory is kept where nothing is known to be new.
const VERSION_KEPT: Micros = 100_000;

/// Figures of the directory.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// A proxy that is so late with its next heartbeat is not handed out.
    pub late_after: Micros,
    /// A proxy not heard for so long is forgotten.
    pub forget_after: Micros,
    /// Proxies known at the most.
    pub proxies_max: usize,
    /// Proxies of a client's own zone from which on no others are named.
    pub enough: usize,
    /// Addresses in one answer at the most.
    pub answer_max: usize,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            late_after: 1_300_000,
            forget_after: 60_000_000,
            proxies_max: 8_192,
            enough: 2,
            answer_max: 64,
        }
    }
}

struct Entry {
    status: ProxyStatus,
    heard_at: Micros,
    /// When its next heartbeat is due.
    due_at: Micros,
    /// Digest of the status.
    digest: u64,
}

/// Digests of the living.
struct Versions {
    made_at: Micros,
    zones: BTreeMap<CompactString, u64>,
    /// Of those that keep totals for all.
    counters: u64,
}

/// Proxies by their heartbeats.
pub struct Directory {
    figures: Figures,
    proxies: BTreeMap<CompactString, Entry>,
    /// Digests as they were last made; none once something is new.
    versions: RefCell<Option<Versions>>,
}

impl Directory {
    /// Nobody is known.
    pub fn new(figures: Figures) -> Self {
        Directory { figures, proxies: BTreeMap::new(), versions: RefCell::default() }
    }

    /// A proxy has told of itself. Tells whether anything is new. An older life of it that is still heard, by a
    /// message that was under way, changes nothing.
    ///
    /// `next_within` is how long it may take until it tells again.
    pub fn heard(&mut self, now: Micros, status: ProxyStatus, next_within: Micros) -> bool {
        let new = self.note(now, status, next_within);
        if new {
            self.versions.borrow_mut().take();
        }
        new
    }

    fn note(&mut self, now: Micros, status: ProxyStatus, next_within: Micros) -> bool {
        let due_at = now + next_within;
        let digest = digest_of(&status);
        let known = self.proxies.get_mut(&status.id.node);
        if let Some(entry) = known {
            let revived = now >= entry.due_at + self.figures.late_after;
            // A clock that was set back makes a new life look older than the one before.
            if entry.status.id.incarnation > status.id.incarnation && !revived {
                return false;
            }
            let new = entry.status != status;
            *entry = Entry { status, heard_at: now, due_at, digest };
            return new || revived;
        }
        if self.proxies.len() >= self.figures.proxies_max {
            return false;
        }
        self.proxies.insert(status.id.node.clone(), Entry { status, heard_at: now, due_at, digest });
        true
    }

    /// Forgets those not heard for long.
    pub fn tidy(&mut self, now: Micros) {
        let keep = self.figures.forget_after;
        self.proxies.retain(|_, entry| now < entry.heard_at + keep);
    }

    /// Those heard lately.
    pub fn living(&self, now: Micros) -> impl Iterator<Item = &ProxyStatus> {
        self.living_entries(now).map(|entry| &entry.status)
    }

    fn living_entries(&self, now: Micros) -> impl Iterator<Item = &Entry> {
        let late_after = self.figures.late_after;
        self.proxies.values().filter(move |entry| now < entry.due_at + late_after)
    }

    /// The living that a proxy of a zone is to know: those of its zone, and those that keep totals for all.
    pub fn neighbors(&self, now: Micros, zone: &str) -> Vec<&ProxyStatus> {
        let of_zone = self.living(now).filter(|status| status.zone == zone);
        let members = neighbors::zone_members(zone, of_zone, |status| &status.id.node);
        let counters = neighbors::counters(self.living(now), |status| &status.id.node);
        let all = members.into_iter().chain(counters);
        let by_name: BTreeMap<&CompactString, &ProxyStatus> =
            all.map(|status| (&status.id.node, status)).collect();
        by_name.into_values().collect()
    }

    /// A digest of all the living: another one where they are others.
    pub fn living_digest(&self, now: Micros) -> u64 {
        self.with_versions(now, |versions| versions.zones.values().fold(0, |sum, zone| sum ^ zone))
    }

    /// A digest of what a proxy of a zone is to know: another one where [`neighbors`](Self::neighbors) gives others. It
    /// is kept for a moment, as each heartbeat asks for it; that a proxy has fallen silent shows only after that.
    pub fn version(&self, now: Micros, zone: &str) -> u64 {
        self.with_versions(now, |versions| {
            let of_zone = versions.zones.get(zone).copied().unwrap_or_default();
            mix(of_zone) ^ versions.counters
        })
    }

    fn with_versions<T>(&self, now: Micros, read: impl Fn(&Versions) -> T) -> T {
        let mut kept = self.versions.borrow_mut();
        let young = kept.take().filter(|versions| now < versions.made_at + VERSION_KEPT);
        let versions = young.unwrap_or_else(|| self.make_versions(now));
        let value = read(&versions);
        *kept = Some(versions);
        value
    }

    fn make_versions(&self, now: Micros) -> Versions {
        let mut zones: BTreeMap<CompactString, u64> = BTreeMap::new();
        for entry in self.living_entries(now) {
            let sum = zones.entry(entry.status.zone.clone()).or_default();
            *sum ^= entry.digest;
        }
        let counters = neighbors::counters(self.living_entries(now), |entry| &entry.status.id.node);
        let counters = counters.into_iter().fold(0, |sum, entry| sum ^ entry.digest);
        Versions { made_at: now, zones, counters }
    }

    /// Where a client of a zone and region is sent: to ready proxies of its zone, where there are enough, else
    /// to those of its region as well, else to all; the nearest come first where not all can be named.
    pub fn lookup(&self, now: Micros, zone: &str, region: &str) -> Vec<SocketAddr> {
        let ready = self.living(now).filter(|status| status.ready);
        let mut ready: Vec<(Distance, SocketAddr)> =
            ready.map(|status| (Distance::of(status, zone, region), status.http)).collect();
        ready.sort_by_key(|(distance, _)| *distance);
        let farthest_needed = ready.get(self.figures.enough.saturating_sub(1)).map(|(distance, _)| *distance);
        let reach = farthest_needed.unwrap_or(Distance::Elsewhere);
        let near = ready.into_iter().take_while(|(distance, _)| *distance <= reach);
        near.map(|(_, addr)| addr).take(self.figures.answer_max).collect()
    }
}

fn digest_of(status: &ProxyStatus) -> u64 {
    let text = format!("{} {} {}", status.id.node, status.id.incarnation, status.ready);
    digest(text.as_bytes())
}

/// How far a proxy is from a client.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    Elsewhere,
}

impl Distance {
    fn of(status: &ProxyStatus, zone: &str, region: &str) -> Distance {
        if status.zone == zone {
            Distance::SameZone
        } else if status.region == region {
            Distance::SameRegion
        } else {
            Distance::Elsewhere
        }
    }
}

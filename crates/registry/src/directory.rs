//! Proxies known by their heartbeats, and the lookup that sends clients to them.

use compact_str::CompactString;
use hingestage_discovery::neighbors;
use hingestage_rendezvous::mix;
use hingestage_replication::{digest, Micros};
use hingestage_rpc::messages::ProxyStatus;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Lifetime of cached directory versions when no heartbeat invalidates them.
const VERSION_CACHE_TTL: Micros = 100_000;

/// Timeouts and size limits of the directory.
#[derive(Clone, Copy, Debug)]
pub struct DirectorySettings {
    /// Delay of a due heartbeat after which a proxy is no longer handed out.
    pub heartbeat_grace: Micros,
    /// Silence after which a proxy is removed.
    pub expire_after: Micros,
    /// Maximum number of proxies.
    pub proxies_max: usize,
    /// Number of ready proxies at which a lookup stops widening beyond zone and region.
    pub sufficient: usize,
    /// Maximum number of addresses in one lookup answer.
    pub answer_max: usize,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        DirectorySettings {
            heartbeat_grace: 1_300_000,
            expire_after: 60_000_000,
            proxies_max: 8_192,
            sufficient: 2,
            answer_max: 64,
        }
    }
}

struct Entry {
    status: ProxyStatus,
    last_heartbeat: Micros,
    /// When its next heartbeat is due.
    due_at: Micros,
    /// Digest of the status.
    digest: u64,
}

/// Cached digests of the live proxies.
struct Versions {
    computed_at: Micros,
    zones: BTreeMap<CompactString, u64>,
    /// Digest of the proxies that keep fleet-wide totals.
    counters: u64,
}

/// Proxies known by their heartbeats.
pub struct Directory {
    settings: DirectorySettings,
    proxies: BTreeMap<CompactString, Entry>,
    /// Cached versions; `None` after a change.
    versions: RefCell<Option<Versions>>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(settings: DirectorySettings) -> Self {
        Directory { settings, proxies: BTreeMap::new(), versions: RefCell::default() }
    }

    /// Records a heartbeat and returns whether it changed the directory. A delayed heartbeat of an earlier
    /// incarnation is ignored.
    ///
    /// `next_within` is the longest time until the next heartbeat.
    pub fn heard(&mut self, now: Micros, status: ProxyStatus, next_within: Micros) -> bool {
        let changed = self.insert(now, status, next_within);
        if changed {
            self.versions.borrow_mut().take();
        }
        changed
    }

    fn insert(&mut self, now: Micros, status: ProxyStatus, next_within: Micros) -> bool {
        let due_at = now + next_within;
        let digest = digest_of(&status);
        let known = self.proxies.get_mut(&status.id.node);
        if let Some(entry) = known {
            let revived = now >= entry.due_at + self.settings.heartbeat_grace;
            // After a clock was set back, a new incarnation may have a lower number than the one before.
            if entry.status.id.incarnation > status.id.incarnation && !revived {
                return false;
            }
            let changed = entry.status != status;
            *entry = Entry { status, last_heartbeat: now, due_at, digest };
            return changed || revived;
        }
        if self.proxies.len() >= self.settings.proxies_max {
            return false;
        }
        self.proxies.insert(status.id.node.clone(), Entry { status, last_heartbeat: now, due_at, digest });
        true
    }

    /// Removes proxies that have been silent for too long.
    pub fn remove_expired(&mut self, now: Micros) {
        let expire_after = self.settings.expire_after;
        self.proxies.retain(|_, entry| now < entry.last_heartbeat + expire_after);
    }

    /// Proxies whose heartbeats are not overdue.
    pub fn live_proxies(&self, now: Micros) -> impl Iterator<Item = &ProxyStatus> {
        self.live_entries(now).map(|entry| &entry.status)
    }

    fn live_entries(&self, now: Micros) -> impl Iterator<Item = &Entry> {
        let heartbeat_grace = self.settings.heartbeat_grace;
        self.proxies.values().filter(move |entry| now < entry.due_at + heartbeat_grace)
    }

    /// Live proxies that a proxy of `zone` connects to: members of its zone and those that keep fleet-wide totals.
    pub fn neighbors(&self, now: Micros, zone: &str) -> Vec<&ProxyStatus> {
        let of_zone = self.live_proxies(now).filter(|status| status.zone == zone);
        let members = neighbors::zone_members(zone, of_zone, |status| &status.id.node);
        let counters = neighbors::counters(self.live_proxies(now), |status| &status.id.node);
        let all = members.into_iter().chain(counters);
        let by_name: BTreeMap<&CompactString, &ProxyStatus> =
            all.map(|status| (&status.id.node, status)).collect();
        by_name.into_values().collect()
    }

    /// Digest of all live proxies.
    pub fn live_digest(&self, now: Micros) -> u64 {
        self.with_versions(now, |versions| versions.zones.values().fold(0, |sum, zone| sum ^ zone))
    }

    /// Digest of [`neighbors`](Self::neighbors) of a zone. It is cached, because each heartbeat reads it, so a proxy
    /// that stops sending heartbeats changes it only after the cache expires.
    pub fn version(&self, now: Micros, zone: &str) -> u64 {
        self.with_versions(now, |versions| {
            let of_zone = versions.zones.get(zone).copied().unwrap_or_default();
            mix(of_zone) ^ versions.counters
        })
    }

    fn with_versions<T>(&self, now: Micros, read: impl Fn(&Versions) -> T) -> T {
        let mut cached = self.versions.borrow_mut();
        let valid = cached.take().filter(|versions| now < versions.computed_at + VERSION_CACHE_TTL);
        let versions = valid.unwrap_or_else(|| self.compute_versions(now));
        let value = read(&versions);
        *cached = Some(versions);
        value
    }

    fn compute_versions(&self, now: Micros) -> Versions {
        let mut zones: BTreeMap<CompactString, u64> = BTreeMap::new();
        for entry in self.live_entries(now) {
            let sum = zones.entry(entry.status.zone.clone()).or_default();
            *sum ^= entry.digest;
        }
        let counters = neighbors::counters(self.live_entries(now), |entry| &entry.status.id.node);
        let counters = counters.into_iter().fold(0, |sum, entry| sum ^ entry.digest);
        Versions { computed_at: now, zones, counters }
    }

    /// Addresses of ready proxies for a client: those of its zone, widened to its region and then to all proxies
    /// until there are enough. The nearest come first.
    pub fn lookup(&self, now: Micros, zone: &str, region: &str) -> Vec<SocketAddr> {
        let ready = self.live_proxies(now).filter(|status| status.ready);
        let mut ready: Vec<(Distance, SocketAddr)> =
            ready.map(|status| (Distance::of(status, zone, region), status.http)).collect();
        ready.sort_by_key(|(distance, _)| *distance);
        let farthest_needed =
            ready.get(self.settings.sufficient.saturating_sub(1)).map(|(distance, _)| *distance);
        let max_distance = farthest_needed.unwrap_or(Distance::Elsewhere);
        let near = ready.into_iter().take_while(|(distance, _)| *distance <= max_distance);
        near.map(|(_, addr)| addr).take(self.settings.answer_max).collect()
    }
}

fn digest_of(status: &ProxyStatus) -> u64 {
    let text = format!("{} {} {}", status.id.node, status.id.incarnation, status.ready);
    digest(text.as_bytes())
}

/// Distance of a proxy from a client, nearest first.
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

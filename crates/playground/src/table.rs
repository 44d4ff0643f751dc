//! The live table: traffic of each proxy and zone, and what each registry knows.

use crate::layout::{Layout, PLACES};
use crate::operator::RegistryStatus;
use crate::tally::{ProxyTally, Tally};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// What the table shows beside the tally.
pub struct Observed {
    /// Time since traffic began.
    pub elapsed: Duration,
    /// Time since the table was shown last.
    pub since_last: Duration,
    /// The configuration in force, by proxy, where it can be told.
    pub in_force: BTreeMap<SocketAddr, String>,
    /// What registries tell, none where they don't answer.
    pub registries: Vec<(String, Option<RegistryStatus>)>,
}

/// The table; it remembers what it showed last.
#[derive(Default)]
pub struct Table {
    before: BTreeMap<SocketAddr, u64>,
    events: Vec<String>,
}

impl Table {
    /// Notes something that happens to the system.
    pub fn note(&mut self, event: String) {
        self.events.push(event);
    }

    /// The table as of now.
    pub fn show(&mut self, layout: &Layout, tally: &Tally, observed: &Observed) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{:>4} s  {:<8}{:<9}{:>7}{:>8}{:>8}{:>7}{:>8}{:>8}  {:<9}{:>7}",
            observed.elapsed.as_secs(),
            "proxy",
            "zone",
            "req/s",
            "served",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "config",
            "workers"
        );
        for place in PLACES {
            let mut zone_rate = 0.0;
            for proxy in layout.proxies.iter().filter(|proxy| proxy.place == place) {
                let none = ProxyTally::default();
                let row = tally.proxies.get(&proxy.http()).unwrap_or(&none);
                let rate = self.rate(proxy.http(), row.tries(), observed.since_last);
                zone_rate += rate;
                let config = observed.in_force.get(&proxy.http()).map_or("-", String::as_str);
                let _ = writeln!(
                    text,
                    "        {:<8}{:<9}{rate:>7.0}{:>8}{:>8}{:>7}{:>8.1}{:>8.1}  {config:<9}{:>7}",
                    proxy.name,
                    proxy.place.zone,
                    row.served,
                    row.refused,
                    row.failed,
                    millis(row.percentile(0.5)),
                    millis(row.percentile(0.99)),
                    row.workers.len()
                );
            }
            let _ = writeln!(text, "        {:<8}{:<9}{zone_rate:>7.0}", "all of", place.zone);
        }
        for (name, status) in &observed.registries {
            let _ = match status {
                None => writeln!(text, "        {name:<17}does not answer"),
                Some(status) => writeln!(
                    text,
                    "        {name:<17}config {}, workers {}, proxies {}",
                    status.config.as_deref().unwrap_or("-"),
                    status.workers,
                    status.proxies
                ),
            };
        }
        for event in &self.events {
            let _ = writeln!(text, "  * {event}");
        }
        text
    }

    fn rate(&mut self, proxy: SocketAddr, tries: u64, since_last: Duration) -> f64 {
        let before = self.before.insert(proxy, tries).unwrap_or(0);
        (tries - before) as f64 / since_last.as_secs_f64().max(0.001)
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

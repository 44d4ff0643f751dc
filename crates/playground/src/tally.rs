//! What clients have seen of each proxy.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Latencies kept of each proxy.
const LATENCIES: usize = 2_000;

/// How a client's request ended, after all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole, sealed answer.
    Served,
    /// With no such answer in time.
    Failed,
    /// Nothing is known: its connection broke, and a request that changes things must not be repeated.
    Unknown,
}

/// What came of tries at one proxy.
#[derive(Clone, Debug, Default)]
pub struct ProxyTally {
    /// Answers that count.
    pub served: u64,
    /// Answers that promise that the request has not run.
    pub refused: u64,
    /// All else.
    pub failed: u64,
    /// Latencies of the last that were served.
    latencies: VecDeque<Duration>,
    /// Workers whose answers came this way.
    pub workers: BTreeSet<String>,
}

impl ProxyTally {
    /// Tries so far.
    pub fn tries(&self) -> u64 {
        self.served + self.refused + self.failed
    }

    /// Notes an answer that counts.
    pub fn note_served(&mut self, latency: Duration, worker: &str) {
        self.served += 1;
        if self.latencies.len() >= LATENCIES {
            self.latencies.pop_front();
        }
        self.latencies.push_back(latency);
        if !self.workers.contains(worker) {
            self.workers.insert(worker.to_owned());
        }
    }

    /// The latency that a part of the served stayed within.
    pub fn percentile(&self, part: f64) -> Duration {
        let mut sorted: Vec<Duration> = self.latencies.iter().copied().collect();
        sorted.sort_unstable();
        let place = (sorted.len() as f64 * part) as usize;
        sorted.get(place.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

/// What clients have seen.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Tries, by proxy.
    pub proxies: BTreeMap<SocketAddr, ProxyTally>,
    /// Requests that were served in the end.
    pub served: u64,
    /// Requests that failed for good.
    pub failed: u64,
    /// Requests of which nothing is known, by the proxy whose connection broke.
    pub unknown: BTreeMap<SocketAddr, u64>,
    /// What was last seen of those that failed.
    pub last_failure: Option<String>,
}

impl Tally {
    /// Requests of which nothing is known.
    pub fn unknown_total(&self) -> u64 {
        self.unknown.values().sum()
    }
}

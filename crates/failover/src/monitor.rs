//! Per-site failure detection from the evidence of all its workers.
//!
//! A worker *fails* when an attempt ends without any byte of a response or waits far longer than usual. Any response
//! from any worker of a site proves that the site is reachable and clears its earlier failures. A site is lost once
//! several different workers have failed with no response in between, so a few bad workers among good ones never make
//! a site look lost.
//!
//! | state | evidence | ends |
//! | --- | --- | --- |
//! | healthy | a response | |
//! | slow | responses, three times as late as the other sites' | with them |
//! | warming up | all its workers started recently | when they are warm |
//! | lost | several workers failed with no response in between; or none is listed; or an operator override | with a response to a probe |
//! | cut off | lost, while other gateways still reach it | the same |
//! | recovering | a response after a loss | when all load is back, or it fails again |
//!
//! If every site looks lost, the fault is probably this gateway's own, and nothing is closed. The ramp of a
//! recovering site is enforced only while another site is healthy and takes the rest.

use crate::view::{Admission, Probe, Refused, Shares, View};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that waits for this many usual latencies fails its worker.
const SILENCE_FACTOR: f64 = 6.0;
/// Lower bound of that wait, µs.
const MIN_SILENCE: Micros = 100_000;
/// A cancelled attempt fails its worker after this many usual latencies.
const CANCELLED_FACTOR: f64 = 3.0;
/// Lower bound of that wait, µs.
const MIN_CANCELLED_WAIT: Micros = 30_000;
/// Distinct workers that must have failed for a loss, or all if the site has fewer.
const MIN_FAILED_WORKERS: usize = 3;
/// Failures in all that a loss takes.
const MIN_FAILURES: u32 = 4;
/// One more failed worker is required per this many ready workers of the site.
const READY_PER_EXTRA_FAILED: usize = 24;
/// Upper bound of the failed workers required: in a large fleet a gateway uses only a few workers of each site.
const MAX_FAILED_WORKERS: usize = 5;
/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.05;
/// Time constant of the response rate, µs.
const RATE_WINDOW_US: f64 = 5e6;
/// A site is slow at this multiple of the other sites' latency.
const SLOW_FACTOR: f64 = 3.0;
/// Responses needed to judge a site's latency.
const MIN_LATENCY_SAMPLES: u32 = 8;
/// A ramp step advances when at most this fraction of its attempts failed.
const ADVANCE_MAX_FAILURES: f64 = 0.2;
/// It advances anyway after this many step times, as some workers may stay bad for long.
const MAX_STEP_TIMES: Micros = 4;
/// A ramp step goes back when more than this fraction failed.
const RETREAT_MIN_FAILURES: f64 = 0.5;
/// Attempts needed to judge a step that has failures.
const MIN_STEP_ATTEMPTS: u32 = 4;
/// Maximum number of sites; more are ignored.
const MAX_SITES: usize = 64;
/// Maximum number of workers; more are ignored.
const MAX_WORKERS: usize = 4_096;
/// Maximum number of peers whose reports are kept.
const MAX_PEERS: usize = 256;

/// Settings of the failure detector. Times are in µs.
#[derive(Clone, Debug, PartialEq)]
pub struct MonitorConfig {
    /// Latency assumed until responses have been measured.
    pub initial_latency: Micros,
    /// Interval between two probes of a lost site by this gateway. In a large fleet each gateway probes less often.
    pub probe_interval: Micros,
    /// Share of its load that a recovering site gets first. If the share falls below it, the site is lost again.
    pub initial_share: f64,
    /// Minimum duration of a ramp step. Each step doubles the share, so a ramp from an eighth takes three steps.
    pub ramp_step: Micros,
    /// A loss shorter than this is ignored: all load returns at once.
    pub max_blip: Micros,
    /// The backoff after repeated losses is reset when the site was healthy for this long.
    pub backoff_reset: Micros,
    /// Backoff after the second loss; it doubles with each further loss.
    pub min_backoff: Micros,
    /// Upper bound of the backoff.
    pub max_backoff: Micros,
    /// Warm-up time of a worker after its start.
    pub warm_up: Micros,
}

impl Default for MonitorConfig {
    fn default() -> Self {
        MonitorConfig {
            initial_latency: 50_000,
            probe_interval: 250_000,
            initial_share: 0.125,
            ramp_step: 500_000,
            max_blip: 1_000_000,
            backoff_reset: 60_000_000,
            min_backoff: 500_000,
            max_backoff: 30_000_000,
            warm_up: 5_000_000,
        }
    }
}

/// Cause of a site's loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// Its workers stopped responding.
    Unresponsive,
    /// None of its workers is listed as ready.
    Unlisted,
    /// An operator declared it lost.
    Declared,
}

/// An operator's override of a site's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Override {
    /// Lost, whatever responds.
    Lost,
    /// Healthy, whatever fails.
    Healthy,
    /// The ramp stays at its current share.
    Hold,
}

/// Status of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SiteStatus {
    /// Receives all of its load.
    Healthy,
    /// Receives all of its load; its responses are late.
    Slow,
    /// Receives all of its load; all its workers started recently.
    WarmingUp,
    /// Receives no load.
    Lost(LossCause),
    /// Unreachable from this gateway, while other gateways reach it.
    CutOff,
    /// Receives this share of its load.
    Recovering(f64),
}

/// Result of an attempt, as evidence about its site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// Bytes of any response arrived, this long after the attempt was sent.
    Responded(Micros),
    /// No connection, a broken connection or a timeout.
    Failed,
    /// Cancelled or not sent for reasons of the gateway's own.
    Inconclusive,
}

#[derive(Clone, Debug)]
struct Worker {
    site: usize,
    ready: bool,
    started: Option<Micros>,
    /// Attempts in flight, and since when a response is awaited.
    in_flight: u32,
    awaiting_since: Option<Micros>,
    /// It failed since the site's last response.
    failed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Healthy,
    Lost { since: Micros, cause: LossCause, probe_at: Micros, probe: Option<Probe> },
    Recovering { share: f64, since: Micros, responses: u32, failures: u32 },
}

#[derive(Clone, Debug)]
struct Site {
    name: String,
    state: State,
    /// Failures since its last response.
    failures: u32,
    /// Time of its last response.
    last_response: Option<Micros>,
    /// Mean latency of its responses, and their number.
    latency: f64,
    responses: u32,
    /// Responses per second at the time of the last one, and its maximum.
    rate: f64,
    peak_rate: f64,
    /// Losses without a long healthy time in between, and when it last was not healthy.
    losses: u32,
    last_unhealthy: Micros,
    operator_override: Option<Override>,
    /// When each peer last received a response from it.
    peer_responses: BTreeMap<u32, Micros>,
}

/// Failure detector of one gateway for all sites.
#[derive(Clone, Debug)]
pub struct SiteMonitor {
    config: MonitorConfig,
    /// The site of each zone. If the configuration names no sites, every zone is one.
    zones: BTreeMap<String, usize>,
    named: bool,
    sites: Vec<Site>,
    workers: BTreeMap<u64, Worker>,
    usual_latency: f64,
    probes: u64,
    /// Precomputed load shares by the set of lost sites.
    shares_by_loss: BTreeMap<BTreeSet<usize>, Shares>,
    /// The last view's contents, to report changes only.
    last_view: Option<(Vec<Admission>, Refused)>,
}

impl SiteMonitor {
    /// Creates a monitor for configured sites, each with its zones; if there are none, each zone is a site.
    pub fn new(config: MonitorConfig, sites: &[(String, Vec<String>)]) -> SiteMonitor {
        let usual_latency = config.initial_latency as f64;
        let mut monitor = SiteMonitor {
            config,
            zones: BTreeMap::new(),
            named: !sites.is_empty(),
            sites: Vec::new(),
            workers: BTreeMap::new(),
            usual_latency,
            probes: 0,
            shares_by_loss: BTreeMap::new(),
            last_view: None,
        };
        for (name, zones) in sites.iter().take(MAX_SITES) {
            let index = monitor.add_site(name);
            monitor.zones.extend(zones.iter().map(|zone| (zone.clone(), index)));
        }
        monitor
    }

    /// Replaces the precomputed load shares by the set of lost sites.
    pub fn set_shares(&mut self, shares_by_loss: BTreeMap<BTreeSet<usize>, Shares>) {
        (self.shares_by_loss, self.last_view) = (shares_by_loss, None);
    }

    fn add_site(&mut self, name: &str) -> usize {
        self.sites.push(Site {
            name: name.to_owned(),
            state: State::Healthy,
            failures: 0,
            last_response: None,
            latency: 0.0,
            responses: 0,
            rate: 0.0,
            peak_rate: 0.0,
            losses: 0,
            last_unhealthy: 0,
            operator_override: None,
            peer_responses: BTreeMap::new(),
        });
        self.sites.len() - 1
    }

    /// The site of a zone; adds one if no sites are configured.
    fn site_of(&mut self, zone: &str) -> Option<usize> {
        if let Some(site) = self.zones.get(zone) {
            return Some(*site);
        }
        if self.named || self.sites.len() >= MAX_SITES {
            return None;
        }
        let site = self.add_site(zone);
        self.zones.insert(zone.to_owned(), site);
        Some(site)
    }

    /// Adds or updates a worker: its zone, whether it accepts work, and when it started.
    pub fn upsert_worker(&mut self, id: u64, zone: &str, ready: bool, started: Option<Micros>) {
        let Some(site) = self.site_of(zone) else { return };
        let full = self.workers.len() >= MAX_WORKERS;
        match self.workers.get_mut(&id) {
            Some(known) if known.site == site && known.started == started => known.ready = ready,
            None if full => {}
            // A restarted worker does not inherit the attempts of its previous process.
            _ => {
                let fresh =
                    Worker { site, ready, started, in_flight: 0, awaiting_since: None, failed: false };
                self.workers.insert(id, fresh);
            }
        }
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, id: u64) {
        self.workers.remove(&id);
    }

    /// Removes all workers that are not in a full list.
    pub fn retain_workers(&mut self, listed: &BTreeSet<u64>) {
        self.workers.retain(|id, _| listed.contains(id));
    }

    /// Records an attempt that was sent.
    pub fn attempt_sent(&mut self, now: Micros, id: u64) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.in_flight += 1;
        worker.awaiting_since.get_or_insert(now);
    }

    /// Records the result of an attempt.
    pub fn attempt_finished(&mut self, now: Micros, id: u64, evidence: AttemptEvidence) {
        let cancelled_wait = self.usual_times(CANCELLED_FACTOR, MIN_CANCELLED_WAIT);
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.in_flight = worker.in_flight.saturating_sub(1);
        let site = worker.site;
        match evidence {
            AttemptEvidence::Responded(latency) => {
                // The wait for other attempts in flight starts again.
                worker.awaiting_since = (worker.in_flight > 0).then_some(now);
                self.record_response(now, site, latency);
            }
            AttemptEvidence::Failed => {
                worker.failed = true;
                worker.awaiting_since =
                    (worker.in_flight > 0).then_some(worker.awaiting_since.unwrap_or(now));
                self.record_failure(now, site);
            }
            AttemptEvidence::Inconclusive => {
                // Cancelled attempts count as failures only after a long wait.
                let waited = worker.awaiting_since.map_or(0, |since| now.saturating_sub(since));
                worker.awaiting_since = worker.awaiting_since.filter(|_| worker.in_flight > 0);
                if waited > cancelled_wait {
                    worker.failed = true;
                    self.record_failure(now, site);
                }
            }
        }
    }

    fn record_response(&mut self, now: Micros, site: usize, latency: Micros) {
        // Skips the scan in the usual case without failures.
        if self.sites[site].failures > 0 {
            let workers = self.workers.values_mut().filter(|worker| worker.site == site);
            workers.for_each(|worker| worker.failed = false);
        }
        let latency = latency as f64;
        self.usual_latency += (latency - self.usual_latency) * LATENCY_WEIGHT;
        let (config, workers) = (&self.config, &self.workers);
        let record = &mut self.sites[site];
        record.responses = record.responses.saturating_add(1);
        record.latency += (latency - record.latency) * LATENCY_WEIGHT.max(1.0 / f64::from(record.responses));
        let idle = record.last_response.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        record.rate = record.rate * (-idle / RATE_WINDOW_US).exp() + 1e6 / RATE_WINDOW_US;
        record.peak_rate = record.peak_rate.max(record.rate);
        (record.failures, record.last_response) = (0, Some(now));
        match &mut record.state {
            State::Healthy => {}
            State::Recovering { responses, .. } => *responses += 1,
            // An operator override outranks responses.
            State::Lost { cause: LossCause::Declared, .. } => {}
            State::Lost { since, .. } => {
                let since = *since;
                let new = |worker: &Worker| worker.started.is_some_and(|at| at >= since);
                let restarted = workers.values().any(|worker| worker.site == site && new(worker));
                let brief = now < since + config.max_blip && !restarted;
                record.state = match brief {
                    true => State::Healthy,
                    false => State::Recovering {
                        share: config.initial_share,
                        since: now,
                        responses: 1,
                        failures: 0,
                    },
                };
            }
        }
    }

    fn record_failure(&mut self, now: Micros, site: usize) {
        self.sites[site].failures = self.sites[site].failures.saturating_add(1);
        if let State::Recovering { failures, .. } = &mut self.sites[site].state {
            *failures += 1;
        }
        self.check_loss(now, site);
    }

    /// Declares the site lost if enough workers failed with no response in between.
    fn check_loss(&mut self, now: Micros, site: usize) {
        if self.sites[site].operator_override == Some(Override::Healthy)
            || matches!(self.sites[site].state, State::Lost { .. })
        {
            return;
        }
        let (ready, failed) = self.workers_of(site);
        let needed = (MIN_FAILED_WORKERS + ready / READY_PER_EXTRA_FAILED).min(MAX_FAILED_WORKERS).min(ready);
        if ready > 0 && failed >= needed && self.sites[site].failures >= MIN_FAILURES {
            self.lose(now, site, LossCause::Unresponsive);
        }
    }

    /// Number of a site's ready workers, and of those that failed since its last response.
    fn workers_of(&self, site: usize) -> (usize, usize) {
        let workers = self.workers.values().filter(|worker| worker.site == site && worker.ready);
        workers.fold((0, 0), |(ready, failed), worker| (ready + 1, failed + usize::from(worker.failed)))
    }

    /// A multiple of the usual latency, but at least `min`.
    fn usual_times(&self, factor: f64, min: Micros) -> Micros {
        ((self.usual_latency * factor) as Micros).max(min)
    }

    fn lose(&mut self, now: Micros, site: usize, cause: LossCause) {
        let (reset, min, max) = (self.config.backoff_reset, self.config.min_backoff, self.config.max_backoff);
        let record = &mut self.sites[site];
        if now > record.last_unhealthy.saturating_add(reset) {
            record.losses = 0;
        }
        // Exponential backoff for a flapping site.
        let exponent = record.losses.min(16);
        let backoff = if exponent == 0 { 0 } else { min.saturating_mul(1 << (exponent - 1)).min(max) };
        record.losses = record.losses.saturating_add(u32::from(cause == LossCause::Unresponsive));
        record.last_unhealthy = now;
        let probe_at = now + backoff.max(self.config.probe_interval);
        record.state = State::Lost { since: now, cause, probe_at, probe: None };
    }

    /// Records when, by the local clock, a peer last received a response from a site.
    pub fn record_peer_response(&mut self, from: u32, site: &str, at: Micros) {
        let Some(record) = self.sites.iter_mut().find(|record| record.name == site) else { return };
        if record.peer_responses.len() < MAX_PEERS || record.peer_responses.contains_key(&from) {
            let last = record.peer_responses.entry(from).or_insert(at);
            *last = at.max(*last);
        }
    }

    /// Time since the last response of each site that ever responded, to report to peers.
    pub fn response_ages(&self, now: Micros) -> Vec<(&str, Micros)> {
        let since = |record: &Site| record.last_response.map(|at| now.saturating_sub(at));
        self.sites.iter().filter_map(|record| Some((record.name.as_str(), since(record)?))).collect()
    }

    /// Sets or, with `None`, clears an operator's override of a site.
    ///
    /// # Errors
    /// There is no such site.
    pub fn set_override(&mut self, now: Micros, site: &str, value: Option<Override>) -> Result<(), String> {
        let index = self.sites.iter().position(|record| record.name == site);
        let index = index.ok_or_else(|| format!("there is no site `{site}`"))?;
        let before = std::mem::replace(&mut self.sites[index].operator_override, value);
        match value {
            Some(Override::Lost) => self.lose(now, index, LossCause::Declared),
            Some(Override::Healthy) => self.sites[index].state = State::Healthy,
            Some(Override::Hold) => {}
            None if before == Some(Override::Lost) => self.lose(now, index, LossCause::Unresponsive),
            None => {}
        }
        Ok(())
    }

    /// Advances time and returns the new view if it has changed. To be called at least ten times a second.
    pub fn poll(&mut self, now: Micros, refused: &Refused) -> Option<View> {
        self.fail_overdue(now);
        for site in 0..self.sites.len() {
            if self.sites[site].state != State::Healthy {
                self.sites[site].last_unhealthy = now;
            }
            self.check_listing(now, site);
            self.advance_ramp(now, site);
            self.issue_probe(now, site);
        }
        let lost = self.lost_sites();
        let any_healthy = self.any_healthy();
        let sites: Vec<Admission> =
            (0..self.sites.len()).map(|site| self.admission(site, &lost, any_healthy)).collect();
        if self
            .last_view
            .as_ref()
            .is_some_and(|(last, last_refused)| *last == sites && last_refused == refused)
        {
            return None;
        }
        self.last_view = Some((sites.clone(), refused.clone()));
        let shares = self.shares_by_loss.get(&lost).cloned().unwrap_or_default();
        Some(View::new(self.zones.clone(), sites, shares, refused.clone()))
    }

    /// Fails workers whose response is overdue.
    fn fail_overdue(&mut self, now: Micros) {
        let limit = self.usual_times(SILENCE_FACTOR, MIN_SILENCE);
        let overdue = |worker: &Worker| worker.awaiting_since.is_some_and(|since| now > since + limit);
        let mut failed = Vec::new();
        for worker in self.workers.values_mut().filter(|worker| overdue(worker)) {
            // Restarts the wait, so that a silent worker fails once per wait and not once per poll.
            (worker.failed, worker.awaiting_since) = (true, Some(now));
            failed.push(worker.site);
        }
        failed.into_iter().for_each(|site| self.record_failure(now, site));
    }

    fn check_listing(&mut self, now: Micros, site: usize) {
        let mut workers = self.workers.values().filter(|worker| worker.site == site);
        let ready = workers.any(|worker| worker.ready);
        match (self.sites[site].state, ready) {
            (State::Healthy | State::Recovering { .. }, false) if self.sites[site].responses > 0 => {
                self.lose(now, site, LossCause::Unlisted);
            }
            // Listed again: it may be probed at once.
            (State::Lost { since, cause: LossCause::Unlisted, .. }, true) => {
                let cause = LossCause::Unresponsive;
                self.sites[site].state = State::Lost { since, cause, probe_at: now, probe: None };
            }
            _ => {}
        }
    }

    /// Moves a recovering site to the next or previous ramp step, or declares it lost.
    fn advance_ramp(&mut self, now: Micros, site: usize) {
        let (config, record) = (&self.config, &mut self.sites[site]);
        let State::Recovering { share, since, responses, failures } = record.state else { return };
        if now < since + config.ramp_step
            || responses + failures == 0
            || record.operator_override == Some(Override::Hold)
        {
            return;
        }
        let failure_rate = f64::from(failures) / f64::from(responses + failures);
        // A single bad worker does not end the ramp.
        if failure_rate > ADVANCE_MAX_FAILURES && responses + failures < MIN_STEP_ATTEMPTS {
            return;
        }
        let next = if failure_rate > RETREAT_MIN_FAILURES {
            share / 2.0
        } else if failure_rate <= ADVANCE_MAX_FAILURES || now >= since + MAX_STEP_TIMES * config.ramp_step {
            share * 2.0
        } else {
            return;
        };
        if next >= 1.0 {
            record.state = State::Healthy;
        } else if next < config.initial_share {
            self.lose(now, site, LossCause::Unresponsive);
        } else {
            record.state = State::Recovering { share: next, since: now, responses: 0, failures: 0 };
        }
    }

    /// Issues a new probe of a lost site when one is due.
    fn issue_probe(&mut self, now: Micros, site: usize) {
        let gap = self.config.probe_interval;
        let State::Lost { cause: LossCause::Unresponsive, probe_at, probe, .. } = &mut self.sites[site].state
        else {
            return;
        };
        if now >= *probe_at {
            self.probes += 1;
            (*probe, *probe_at) = (Some(Probe { number: self.probes }), now + gap);
        }
    }

    /// Lost sites that are closed; none if no ready worker would remain.
    pub fn lost_sites(&self) -> BTreeSet<usize> {
        let lost = |record: &Site| matches!(record.state, State::Lost { .. });
        let all: BTreeSet<usize> = (0..self.sites.len()).filter(|site| lost(&self.sites[*site])).collect();
        let remaining = self.workers.values().any(|worker| worker.ready && !all.contains(&worker.site));
        if remaining {
            all
        } else {
            BTreeSet::new()
        }
    }

    /// Whether a healthy site with ready workers can take the load that a recovering one does not get.
    fn any_healthy(&self) -> bool {
        let healthy = |worker: &Worker| worker.ready && self.sites[worker.site].state == State::Healthy;
        self.workers.values().any(healthy)
    }

    fn admission(&self, site: usize, lost: &BTreeSet<usize>, any_healthy: bool) -> Admission {
        match self.sites[site].state {
            State::Lost { probe, .. } if lost.contains(&site) => Admission { share: 0.0, probe },
            State::Recovering { share, .. } if any_healthy => Admission { share, probe: None },
            _ => Admission::ALL,
        }
    }

    /// Whether any site is lost or recovering.
    pub fn is_degraded(&self) -> bool {
        self.sites.iter().any(|record| record.state != State::Healthy)
    }

    /// Name, status and evidence of each site.
    pub fn explain(&self, now: Micros) -> Vec<(&str, SiteStatus, String)> {
        (0..self.sites.len())
            .map(|site| (self.sites[site].name.as_str(), self.status(now, site), self.evidence(now, site)))
            .collect()
    }

    /// Status of a site.
    fn status(&self, now: Micros, site: usize) -> SiteStatus {
        let record = &self.sites[site];
        match record.state {
            State::Lost { since, cause: LossCause::Unresponsive, .. }
                if record.peer_responses.values().any(|at| *at > since + MIN_SILENCE) =>
            {
                SiteStatus::CutOff
            }
            State::Lost { cause, .. } => SiteStatus::Lost(cause),
            State::Recovering { share, .. } => SiteStatus::Recovering(share),
            State::Healthy if self.is_warming_up(now, site) => SiteStatus::WarmingUp,
            State::Healthy if self.is_slow(site) => SiteStatus::Slow,
            State::Healthy => SiteStatus::Healthy,
        }
    }

    fn is_warming_up(&self, now: Micros, site: usize) -> bool {
        let mut workers =
            self.workers.values().filter(|worker| worker.site == site && worker.ready).peekable();
        let new = |worker: &Worker| worker.started.is_some_and(|at| now < at + self.config.warm_up);
        workers.peek().is_some() && workers.all(new)
    }

    fn is_slow(&self, site: usize) -> bool {
        let record = &self.sites[site];
        let others = self
            .sites
            .iter()
            .enumerate()
            .filter(|(n, other)| *n != site && other.responses >= MIN_LATENCY_SAMPLES);
        let fastest = others.map(|(_, other)| other.latency).fold(f64::MAX, f64::min);
        record.responses >= MIN_LATENCY_SAMPLES
            && fastest < f64::MAX
            && record.latency > SLOW_FACTOR * fastest
    }

    fn evidence(&self, now: Micros, site: usize) -> String {
        let record = &self.sites[site];
        let (ready, failed) = self.workers_of(site);
        let heard = match record.last_response {
            Some(at) => format!("heard {:.1} s ago", now.saturating_sub(at) as f64 / 1e6),
            None => "never heard".into(),
        };
        let mut text = format!(
            "{heard}, {:.1} answers a second then, {:.1} at the most, {failed} of {ready} workers failed since",
            record.rate, record.peak_rate
        );
        if let State::Lost { since, probe_at, .. } = record.state {
            let of = |at: Micros| at.saturating_sub(now) as f64 / 1e6;
            text += &format!(
                ", lost for {:.1} s, next probe in {:.1} s",
                now.saturating_sub(since) as f64 / 1e6,
                of(probe_at)
            );
        }
        if record.losses > 1 && record.state != State::Healthy {
            text += &format!(", lost {} times of late", record.losses);
        }
        if let Some(operator_override) = record.operator_override {
            text += match operator_override {
                Override::Lost => ", declared lost",
                Override::Healthy => ", declared well",
                Override::Hold => ", its return is held",
            };
        }
        text
    }
}

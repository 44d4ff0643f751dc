//! Maintains the records and endpoints of one SRV name.
//!
//! A record is removed when the server that supplied it omits it, or when it has expired and another responsive server
//! does not have it. Timeouts, errors and responses that shrink the list too much remove nothing until the configured
//! times have passed. `docs/srv.md` lists the rules.

use crate::message::{Question, RecordKind, Records, SrvRecord};
use crate::resolver::{Ask, Counts, Outcome, Output, Resolver};
use crate::settings::{Addresses, SrvSettings};
use crate::{backoff, Micros, SECOND};
use fastrand::Rng;
use hickory_proto::rr::Name;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Maximum number of records of a name; records with the worst priority beyond it are ignored. About 200 bytes each.
pub const RECORDS_MAX: usize = 1_024;
/// Maximum number of addresses of a target in one family.
pub const ADDRESSES_MAX: usize = 16;
/// Records are refreshed after a random fraction of their lifetime between these bounds, which spreads the queries of
/// gateways that were answered at the same time.
const REFRESH_FRACTION_MIN: f64 = 0.6;
const REFRESH_FRACTION_MAX: f64 = 0.9;
/// Interval in µs at which endpoints are published while address queries are pending.
const PUBLISH_INTERVAL: Micros = SECOND / 20;
/// Bounds of an endpoint's size relative to the mean.
const SIZE_MIN: f64 = 0.1;
const SIZE_MAX: f64 = 10.0;
/// Log entries kept for [`Service::explain`].
const LOG_ENTRIES_MAX: usize = 32;

/// A worker's address, joined from SRV and address records.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Address and port.
    pub at: SocketAddr,
    /// Priority; lower values are preferred.
    pub priority: u16,
    /// Relative size within its priority; the mean is 1.
    pub size: f64,
    /// SRV targets with this address, in order.
    pub names: Vec<Name>,
}

/// Trustworthiness of the current records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// No response has arrived yet.
    Pending,
    /// The records match the last response.
    Fresh,
    /// No server responds; the last good response is in use.
    Stale {
        /// Time of the first failure.
        since: Micros,
    },
    /// Recent responses lack too many of the current records to be trusted yet.
    Unconfirmed {
        /// Time of the first such response.
        since: Micros,
    },
    /// No server responded for too long; all records were dropped.
    Expired,
}

impl AnswerState {
    /// Name for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            AnswerState::Pending => "unheard",
            AnswerState::Fresh => "fresh",
            AnswerState::Stale { .. } => "stale",
            AnswerState::Unconfirmed { .. } => "doubted",
            AnswerState::Expired => "given up",
        }
    }
}

/// An instruction to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a query and report responses until [`Action::Forget`].
    Ask(Ask),
    /// Close the socket of a query.
    Forget(u64),
    /// Replace the endpoints.
    SetEndpoints(Vec<Endpoint>),
    /// Write a log line.
    Log(String),
}

/// State of one SRV record.
#[derive(Clone, Debug)]
struct RecordState {
    priority: u16,
    weight: u64,
    /// Index of the server that supplied it last.
    source: usize,
    expires_at: Micros,
}

/// Addresses of one target in one family.
#[derive(Clone, Debug, Default)]
struct AddressSet {
    addresses: Vec<IpAddr>,
    /// Time of the next query; none while one is pending.
    refresh: Option<Micros>,
    /// Since when responses contain no addresses.
    empty_since: Option<Micros>,
    /// Since when queries fail.
    failing_since: Option<Micros>,
    failures: u32,
}

/// Target and port of a record.
type RecordKey = (Name, u16);

/// State of one followed SRV name.
#[derive(Debug)]
pub struct Service {
    settings: SrvSettings,
    resolver: Resolver,
    rng: Rng,
    records: BTreeMap<RecordKey, RecordState>,
    targets: BTreeMap<Name, BTreeMap<RecordKind, AddressSet>>,
    state: AnswerState,
    /// Index of the server that gave the last good response.
    server: usize,
    /// Time of the next SRV query; none while one is pending.
    refresh: Option<Micros>,
    failures: u32,
    /// Time of the last SRV query.
    queried_at: Micros,
    /// Consecutive responses that were empty or not trusted.
    poor_responses: u32,
    /// Whether the next response is accepted regardless of missing records.
    accept_next: bool,
    /// The endpoints as last published.
    published: Vec<Endpoint>,
    /// Time of the first change that is not published yet.
    changed_at: Option<Micros>,
    log: std::collections::VecDeque<(Micros, String)>,
}

impl Service {
    /// Creates a service without records; the first [`Service::tick`] sends a query.
    pub fn new(settings: SrvSettings, seed: u64, now: Micros) -> Service {
        Service {
            resolver: Resolver::new(settings.clone(), seed, now),
            rng: crate::rng(!seed),
            settings,
            records: BTreeMap::new(),
            targets: BTreeMap::new(),
            state: AnswerState::Pending,
            server: 0,
            refresh: Some(now),
            failures: 0,
            queried_at: now,
            poor_responses: 0,
            accept_next: false,
            published: Vec::new(),
            changed_at: None,
            log: std::collections::VecDeque::new(),
        }
    }

    /// Trustworthiness of the current records.
    pub fn state(&self) -> AnswerState {
        self.state
    }

    /// The endpoints as last published.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.published
    }

    /// Query counters.
    pub fn counts(&self) -> Counts {
        self.resolver.counts
    }

    /// The settings.
    pub fn settings(&self) -> &SrvSettings {
        &self.settings
    }

    /// The latest time for the next call of [`Service::tick`].
    pub fn next_wakeup(&self) -> Option<Micros> {
        let is_active = !self.is_stale();
        let families = self.targets.values().flat_map(|of| of.values()).filter(|_| is_active);
        let publish = self.changed_at.map(|at| at + PUBLISH_INTERVAL);
        let expiry = match self.state {
            AnswerState::Stale { since } => Some(since + self.settings.stale_for),
            AnswerState::Fresh => {
                self.records.values().filter(|r| r.source != self.server).map(|r| r.expires_at).min()
            }
            _ => None,
        };
        let own = [self.refresh, publish, expiry, self.resolver.next_wakeup()];
        families.filter_map(|f| f.refresh).chain(own.into_iter().flatten()).min()
    }

    /// Whether SRV queries fail; address queries are then suspended.
    fn is_stale(&self) -> bool {
        matches!(self.state, AnswerState::Stale { .. })
    }

    /// Whether an address query is due.
    fn is_address_query_due(&self, now: Micros) -> bool {
        let mut families = self.targets.values().flat_map(|of| of.values());
        !self.is_stale() && families.any(|f| f.refresh.is_some_and(|at| at <= now))
    }

    /// Handles timeouts and expiry, and sends queries that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.refresh.is_some_and(|at| at <= now) {
            let question = Question { name: self.settings.name.clone(), kind: RecordKind::Srv };
            self.refresh = (!self.resolver.enqueue(question)).then(|| now + self.settings.retry.0);
            self.queried_at = now;
        }
        let is_active = !self.is_stale();
        for (name, families) in self.targets.iter_mut().filter(|_| is_active) {
            for (kind, family) in families.iter_mut().filter(|(_, f)| f.refresh.is_some_and(|at| at <= now)) {
                let question = Question { name: name.clone(), kind: *kind };
                family.refresh = (!self.resolver.enqueue(question)).then(|| now + self.settings.retry.0);
            }
        }
        let mut outputs = Vec::new();
        self.resolver.tick(now, &mut outputs);
        self.expire(now, out);
        self.handle_outputs(outputs, now, out);
    }

    /// Handles a response to a query.
    pub fn on_response(&mut self, ask: u64, bytes: &[u8], now: Micros, out: &mut Vec<Action>) {
        let mut outputs = Vec::new();
        self.resolver.on_response(ask, bytes, now, &mut outputs);
        self.handle_outputs(outputs, now, out);
    }

    /// Handles the failure of a query's socket.
    pub fn on_failure(&mut self, ask: u64, what: &str, now: Micros, out: &mut Vec<Action>) {
        let mut outputs = Vec::new();
        self.resolver.on_failure(ask, what, now, &mut outputs);
        self.handle_outputs(outputs, now, out);
    }

    /// Queries at once at an operator's request. With `accept`, missing records in the response are trusted.
    pub fn refresh_now(&mut self, accept: bool, now: Micros, out: &mut Vec<Action>) {
        self.accept_next |= accept;
        self.refresh = Some(now);
        self.log(
            now,
            format!("asked for by an operator{}", if accept { ", to be accepted" } else { "" }),
            out,
        );
        self.tick(now, out);
    }

    /// Refreshes the records early because a worker was not reachable at its address; at most once per minimum
    /// lifetime.
    pub fn suspect(&mut self, now: Micros) {
        let soonest = (self.queried_at + self.settings.lifetimes.0).max(now);
        if matches!(self.state, AnswerState::Fresh) {
            self.refresh = self.refresh.map(|at| at.min(soonest));
        }
    }

    fn handle_outputs(&mut self, outputs: Vec<Output>, now: Micros, out: &mut Vec<Action>) {
        for output in outputs {
            match output {
                Output::Ask(ask) => out.push(Action::Ask(ask)),
                Output::Forget(ask) => out.push(Action::Forget(ask)),
                Output::Done { question, outcome, server } if question.kind == RecordKind::Srv => {
                    self.on_records(outcome, server, now, out);
                }
                Output::Done { question, outcome, .. } => self.on_addresses(&question, outcome, now, out),
            }
        }
        // Send follow-up queries in the same step.
        if self.is_address_query_due(now) {
            return self.tick(now, out);
        }
        self.publish(now, out);
    }

    // ---- records ----

    fn on_records(&mut self, outcome: Outcome, server: usize, now: Micros, out: &mut Vec<Action>) {
        match outcome {
            Outcome::Failed(what) => {
                self.failures = self.failures.saturating_add(1);
                self.refresh = Some(self.retry_at(self.failures, now));
                if matches!(
                    self.state,
                    AnswerState::Pending | AnswerState::Fresh | AnswerState::Unconfirmed { .. }
                ) {
                    self.log(now, format!("no answer: {what}; {} records held", self.records.len()), out);
                }
                if matches!(self.state, AnswerState::Fresh | AnswerState::Unconfirmed { .. }) {
                    self.state = AnswerState::Stale { since: now };
                }
            }
            Outcome::Absent { unknown, ttl } => {
                let lifetime = self.settings.lifetime(ttl.unwrap_or(0));
                let what = if unknown { "no such name" } else { "no records" };
                self.on_answer(Vec::new(), lifetime, server, what, now, out);
            }
            Outcome::Found(found) => {
                let lifetime = self.settings.lifetime(found.ttl);
                let Records { records, additional, .. } = found;
                // A single record with the root as target means that the service is not available (RFC 2782).
                let unavailable = matches!(records.as_slice(), [one] if one.target.is_root());
                self.accept_next |= unavailable;
                let records = if unavailable { Vec::new() } else { records };
                let what = if unavailable { "the service is not available" } else { "records" };
                self.on_answer(records, lifetime, server, what, now, out);
                self.on_additional(additional, now);
            }
        }
    }

    fn on_answer(
        &mut self,
        records: Vec<SrvRecord>,
        lifetime: Micros,
        server: usize,
        what: &str,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        let received = self.usable_records(records, now, out);
        (self.failures, self.server) = (0, server);
        let refresh_at = self.refresh_at(lifetime, now);
        let shrink = self.shrink(received.len(), now);
        let (before, accept) = (self.state, std::mem::take(&mut self.accept_next));
        let expires_at = now + lifetime;
        let mut new = Vec::new();
        for (key, (priority, weight)) in &received {
            let held = RecordState { priority: *priority, weight: *weight, source: server, expires_at };
            if self.records.insert(key.clone(), held).is_none() {
                new.push(key.clone());
            }
        }
        self.log_records("new", &new, now, out);
        match shrink {
            Some((since, false)) if !accept => {
                self.state = AnswerState::Unconfirmed { since };
                // Query again soon to confirm.
                self.poor_responses = self.poor_responses.saturating_add(1);
                self.refresh = Some(refresh_at.min(self.retry_at(self.poor_responses, now)));
                if !matches!(before, AnswerState::Unconfirmed { .. }) {
                    let (some, all) = (received.len(), self.records.len());
                    self.log(now, format!("{what}: {some} of {all} records, doubted"), out);
                }
            }
            _ => {
                self.state = AnswerState::Fresh;
                // An empty list is queried again with the retry backoff.
                self.poor_responses =
                    if received.is_empty() { self.poor_responses.saturating_add(1) } else { 0 };
                let soon = self.retry_at(self.poor_responses, now);
                self.refresh = Some(if received.is_empty() { refresh_at.min(soon) } else { refresh_at });
                if !matches!(before, AnswerState::Fresh) {
                    self.log(now, format!("{what}: {} in use", received.len()), out);
                }
                // A confirmed or accepted response replaces the records of all servers.
                let all = accept || shrink.is_some();
                self.remove_records(
                    |key, held| !received.contains_key(key) && (all || held.source == server),
                    now,
                    out,
                );
            }
        }
        self.sync_targets(now);
    }

    /// Valid records, merged by target and port and limited in number.
    fn usable_records(
        &mut self,
        records: Vec<SrvRecord>,
        now: Micros,
        out: &mut Vec<Action>,
    ) -> BTreeMap<RecordKey, (u16, u64)> {
        let all = records.len();
        let mut usable: Vec<SrvRecord> =
            records.into_iter().filter(|r| r.port > 0 && !r.target.is_root()).collect();
        if usable.len() < all {
            self.log(now, format!("{} records without a port or target left out", all - usable.len()), out);
        }
        usable.sort_by(|a, b| (a.priority, &a.target, a.port).cmp(&(b.priority, &b.target, b.port)));
        let mut received: BTreeMap<RecordKey, (u16, u64)> = BTreeMap::new();
        for record in usable {
            let (key, weight) = ((record.target, record.port), u64::from(record.weight));
            let has_room = received.len() < RECORDS_MAX;
            match received.get_mut(&key) {
                // Duplicates keep the better priority and add up their weights.
                Some((_, sum)) => *sum += weight,
                None if has_room => drop(received.insert(key, (record.priority, weight))),
                None => {}
            }
        }
        received
    }

    /// For a response with too few records: since when, and whether for long enough to be trusted. Otherwise none.
    fn shrink(&self, received: usize, now: Micros) -> Option<(Micros, bool)> {
        let held = self.records.len();
        if held == 0 || received as f64 >= self.settings.shrink_to * held as f64 {
            return None;
        }
        let since = match self.state {
            AnswerState::Unconfirmed { since } => since,
            _ => now,
        };
        Some((since, now >= since + self.settings.shrink_for))
    }

    fn remove_records(
        &mut self,
        mut is_removed: impl FnMut(&RecordKey, &RecordState) -> bool,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        let removed: Vec<RecordKey> = self
            .records
            .iter()
            .filter(|(key, held)| is_removed(key, held))
            .map(|(key, _)| key.clone())
            .collect();
        self.records.retain(|key, _| removed.binary_search(key).is_err());
        self.log_records("gone", &removed, now, out);
    }

    /// Logs one line for a set of records, naming the first ones.
    fn log_records(&mut self, what: &str, keys: &[RecordKey], now: Micros, out: &mut Vec<Action>) {
        const SHOWN_MAX: usize = 4;
        if keys.is_empty() {
            return;
        }
        let shown: Vec<String> =
            keys.iter().take(SHOWN_MAX).map(|(name, port)| format!("{name}:{port}")).collect();
        let more = if keys.len() > SHOWN_MAX {
            format!(" and {} more", keys.len() - SHOWN_MAX)
        } else {
            String::new()
        };
        self.log(now, format!("{what}: {}{more}", shown.join(" ")), out);
    }

    /// Removes records whose time has passed.
    fn expire(&mut self, now: Micros, out: &mut Vec<Action>) {
        match self.state {
            AnswerState::Stale { since } if now >= since + self.settings.stale_for => {
                self.log(now, "no answer for too long: all records dropped".into(), out);
                self.state = AnswerState::Expired;
                self.remove_records(|_, _| true, now, out);
                self.sync_targets(now);
            }
            // Expired records of a server other than the one that responds now.
            AnswerState::Fresh => {
                let server = self.server;
                let before = self.records.len();
                self.remove_records(|_, held| held.source != server && held.expires_at <= now, now, out);
                if self.records.len() != before {
                    self.sync_targets(now);
                }
            }
            _ => {}
        }
    }

    // ---- addresses ----

    fn kinds(&self) -> &'static [RecordKind] {
        match self.settings.addresses {
            Addresses::V4 => &[RecordKind::A],
            Addresses::V6 => &[RecordKind::Aaaa],
            Addresses::Both => &[RecordKind::A, RecordKind::Aaaa],
        }
    }

    /// Updates the set of targets after a change of the records.
    fn sync_targets(&mut self, now: Micros) {
        let kinds = self.kinds();
        let wanted: std::collections::BTreeSet<Name> =
            self.records.keys().map(|(name, _)| name.clone()).collect();
        self.targets.retain(|name, _| wanted.contains(name));
        for name in wanted {
            let fresh = || {
                let family = || AddressSet { refresh: Some(now), ..AddressSet::default() };
                kinds.iter().map(|kind| (*kind, family())).collect()
            };
            self.targets.entry(name).or_insert_with(fresh);
        }
        self.changed_at.get_or_insert(now);
    }

    /// Handles addresses from the additional section, which need no query of their own.
    fn on_additional(&mut self, additional: Vec<(Name, IpAddr, u32)>, now: Micros) {
        let mut received: BTreeMap<(Name, RecordKind), (Vec<IpAddr>, u32)> = BTreeMap::new();
        for (name, at, ttl) in additional {
            let kind = if at.is_ipv4() { RecordKind::A } else { RecordKind::Aaaa };
            let (addresses, least) = received.entry((name, kind)).or_insert((Vec::new(), u32::MAX));
            addresses.push(at);
            *least = (*least).min(ttl);
        }
        for ((name, kind), (addresses, ttl)) in received {
            let allowed_addresses = self.allowed_addresses(addresses);
            // Refresh only at expiry; the next SRV response usually renews them before.
            let refresh = now + self.settings.lifetime(ttl);
            let Some(family) = self.targets.get_mut(&name).and_then(|of| of.get_mut(&kind)) else { continue };
            if allowed_addresses.is_empty() {
                continue;
            }
            *family =
                AddressSet { addresses: allowed_addresses, refresh: Some(refresh), ..AddressSet::default() };
            self.changed_at.get_or_insert(now);
        }
    }

    fn allowed_addresses(&self, addresses: Vec<IpAddr>) -> Vec<IpAddr> {
        let mut allowed_addresses: Vec<IpAddr> =
            addresses.into_iter().filter(|at| self.settings.allows(*at)).collect();
        allowed_addresses.sort();
        allowed_addresses.dedup();
        allowed_addresses.truncate(ADDRESSES_MAX);
        allowed_addresses
    }

    fn on_addresses(&mut self, question: &Question, outcome: Outcome, now: Micros, out: &mut Vec<Action>) {
        let (stale_for, shrink_for) = (self.settings.stale_for, self.settings.shrink_for);
        let of = self.targets.get(&question.name).and_then(|of| of.get(&question.kind));
        // The record may have been removed meanwhile.
        let Some(mut family) = of.cloned() else { return };
        let before = family.addresses.clone();
        match outcome {
            Outcome::Found(found) => {
                let received = found.addresses.len();
                let allowed_addresses = self.allowed_addresses(found.addresses);
                if allowed_addresses.len() < received.min(ADDRESSES_MAX) {
                    self.log(
                        now,
                        format!("{}: addresses outside of the networks refused", question.name),
                        out,
                    );
                }
                let refresh = Some(self.refresh_at(self.settings.lifetime(found.ttl), now));
                family = AddressSet { addresses: allowed_addresses, refresh, ..AddressSet::default() };
            }
            Outcome::Absent { ttl, .. } => {
                let lifetime = self.settings.lifetime(ttl.unwrap_or(0));
                let since = *family.empty_since.get_or_insert(now);
                (family.failures, family.failing_since) = (0, None);
                let mut refresh = self.refresh_at(lifetime, now);
                if now >= since + shrink_for {
                    family.addresses.clear();
                } else if !family.addresses.is_empty() {
                    refresh = refresh.min((since + shrink_for).max(now + self.settings.retry.0));
                }
                family.refresh = Some(refresh);
            }
            Outcome::Failed(what) => {
                let since = *family.failing_since.get_or_insert(now);
                family.failures = family.failures.saturating_add(1);
                // Log only the first of several failing targets.
                let others = self.targets.values().flat_map(|of| of.values()).any(|f| f.failures > 0);
                if family.failures == 1 && !others {
                    self.log(now, format!("{}: {what}", question.name), out);
                }
                if now >= since + stale_for {
                    family.addresses.clear();
                }
                family.refresh = Some(self.retry_at(family.failures, now));
            }
        }
        if family.addresses != before {
            self.changed_at.get_or_insert(now);
        }
        if let Some(of) = self.targets.get_mut(&question.name) {
            of.insert(question.kind, family);
        }
    }

    // ---- times ----

    /// Time of the next query for records with this lifetime.
    fn refresh_at(&mut self, lifetime: Micros, now: Micros) -> Micros {
        let part = REFRESH_FRACTION_MIN + (REFRESH_FRACTION_MAX - REFRESH_FRACTION_MIN) * self.rng.f64();
        now + ((lifetime as f64 * part) as Micros).max(1)
    }

    /// Time of the next query after this many consecutive failures.
    fn retry_at(&mut self, failures: u32, now: Micros) -> Micros {
        now + backoff(&mut self.rng, self.settings.retry, failures)
    }

    // ---- published endpoints ----

    /// Publishes changes: at once if no query is pending, else at intervals.
    fn publish(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(since) = self.changed_at else { return };
        if !self.resolver.is_idle() && now < since + PUBLISH_INTERVAL {
            return;
        }
        self.changed_at = None;
        let endpoints = self.join_endpoints();
        if endpoints != self.published {
            self.published.clone_from(&endpoints);
            out.push(Action::SetEndpoints(endpoints));
        }
    }

    /// Addresses of a target in all families.
    fn addresses(&self, target: &Name) -> impl Iterator<Item = IpAddr> + '_ {
        let families = self.targets.get(target).into_iter().flat_map(|of| of.values());
        families.flat_map(|family| family.addresses.iter().copied())
    }

    /// Joins records and addresses. Several targets at one address form one endpoint with the sum of their sizes.
    fn join_endpoints(&self) -> Vec<Endpoint> {
        let mut sums: BTreeMap<u16, (u64, u64)> = BTreeMap::new();
        for held in self.records.values() {
            let (sum, count) = sums.entry(held.priority).or_default();
            (*sum, *count) = (*sum + held.weight, *count + 1);
        }
        let mut joined: BTreeMap<SocketAddr, Endpoint> = BTreeMap::new();
        for ((target, port), held) in &self.records {
            let addresses: Vec<IpAddr> = self.addresses(target).collect();
            let (sum, count) = sums.get(&held.priority).copied().unwrap_or((0, 1));
            // If all weights are 0, all sizes are equal.
            let size = if sum == 0 { 1.0 } else { held.weight as f64 * count as f64 / sum as f64 };
            for ip in &addresses {
                let at = SocketAddr::new(*ip, *port);
                let fresh = || Endpoint { at, priority: held.priority, size: 0.0, names: Vec::new() };
                let one = joined.entry(at).or_insert_with(fresh);
                one.priority = one.priority.min(held.priority);
                one.size += size / addresses.len() as f64;
                one.names.push(target.clone());
            }
        }
        let bounded = |one: Endpoint| Endpoint { size: one.size.clamp(SIZE_MIN, SIZE_MAX), ..one };
        joined.into_values().map(bounded).collect()
    }

    fn log(&mut self, now: Micros, what: String, out: &mut Vec<Action>) {
        if self.log.len() >= LOG_ENTRIES_MAX {
            self.log.pop_front();
        }
        self.log.push_back((now, what.clone()));
        out.push(Action::Log(what));
    }

    /// Describes the records and recent changes as text.
    pub fn explain(&self, now: Micros) -> String {
        let ago = |at: Micros| now.saturating_sub(at) as f64 / SECOND as f64;
        let mut text = format!("{} {}\n", self.settings.name, self.state.as_str());
        let left = |at: Micros| at.saturating_sub(now) as f64 / SECOND as f64;
        let next = self.refresh.map_or("under way".into(), |at| format!("in {:.1} s", left(at)));
        let counts = self.resolver.counts;
        text += &format!(
            "  next question {next}; {} asked, {} over TCP, {} without an answer, {} foreign\n",
            counts.asked, counts.tcp, counts.timeouts, counts.foreign
        );
        for ((target, port), held) in &self.records {
            let addresses: Vec<String> = self.addresses(target).map(|at| at.to_string()).collect();
            let who = self.settings.servers.get(held.source).map(ToString::to_string).unwrap_or_default();
            let at = if addresses.is_empty() { "no address".into() } else { addresses.join(" ") };
            text += &format!(
                "  {target}:{port} priority {} weight {}: {at} (told by {who}, {:.0} s left)\n",
                held.priority,
                held.weight,
                left(held.expires_at)
            );
        }
        for (at, what) in &self.log {
            text += &format!("  {:.1} s ago: {what}\n", ago(*at));
        }
        text
    }
}

//! A proxy's view of the control plane, without sockets and requests.

use crate::message::{Envelope, Message, NodeId};
use crate::process::Process;
use crate::{Defect, Micros, MILLI, SECOND};
use compact_str::{format_compact, CompactString};
use fastrand::Rng;
use hingestage_discovery::{Home, Homes, PeerProxy};
use hingestage_proxy::view::{View, ViewSettings};
use hingestage_rpc::messages::{KnownVersions, ProcessId, ProxyStatus, Watched};
use hingestage_rpc::trials::{TrialPosition, TrialRevision};
use hingestage_rpc::workers::KnownServiceVersion;
use hingestage_trial::TrialDecision;

/// Ticks between watches, requests to home proxies, and fallback requests to registries.
const WATCH_TICKS: u64 = 4;
const FOLLOW_TICKS: u64 = 3;
const FALLBACK_TICKS: u64 = 2;
/// Time after which a home that lacks an announced update is considered unresponsive.
const HOME_RESPONSE_TIMEOUT: Micros = 200 * MILLI;
/// How long an unresponsive home is excluded.
const UNRESPONSIVE_HOME_BACKOFF: Micros = 3 * SECOND;
/// Timeout of a request for workers.
const SERVICES_TIMEOUT: Micros = 400 * MILLI;
/// Settings of the view.
const VIEW_SETTINGS: ViewSettings = ViewSettings {
    zone_return_delay: 2_500 * MILLI,
    cold_margin: 300 * MILLI,
    key_lease: Some(4_500 * MILLI),
    share_lease: 11 * SECOND,
    trials: TRIAL_TIMING,
};
/// Timing of trial steps.
pub(crate) const TRIAL_TIMING: hingestage_trial::TrialTiming = hingestage_trial::TrialTiming::DEFAULT;

/// A simulated proxy.
pub(crate) struct ProxyNode {
    pub process: Process,
    pub name: CompactString,
    zone: CompactString,
    number: NodeId,
    cores: usize,
    defect: Option<Defect>,
    pub view: View,
    homes: Homes,
    /// The trial revision last received from each core machine.
    trial_revisions: Vec<TrialRevision>,
    ticks: u64,
}

impl ProxyNode {
    /// Creates a proxy that has not started.
    pub fn new(number: NodeId, cores: usize, zone: &str, defect: Option<Defect>) -> ProxyNode {
        let name = format_compact!("edge-{number}");
        ProxyNode {
            process: Process::default(),
            homes: Homes::new(&name),
            name,
            zone: zone.into(),
            number,
            cores,
            defect,
            view: View::new(view_settings(defect)),
            trial_revisions: vec![TrialRevision::default(); cores],
            ticks: 0,
        }
    }

    pub fn start(&mut self, now: Micros) {
        self.process.start(now);
        if self.defect != Some(Defect::ShareKeptAcrossRestart) {
            self.view = View::new(view_settings(self.defect));
        }
        self.trial_revisions.fill(TrialRevision::default());
        self.homes = Homes::new(&self.name);
    }

    /// The clock used for leases.
    pub fn clock(&self, now: Micros) -> Micros {
        let steady = self.process.clock(now);
        if self.defect == Some(Defect::WallClock) {
            steady + self.process.wall_offset
        } else {
            steady
        }
    }

    /// The trial position that applies to a tenant's requests: none if the proxy would refuse them, the lowest if it knows
    /// no trial.
    pub fn effective_trial_position(&mut self, now: Micros, tenant: &str) -> Option<TrialPosition> {
        let clock = self.clock(now);
        if self.view.limit_share().share(clock) <= 0.0 {
            return None;
        }
        match self.view.evaluate_trial(clock, tenant) {
            TrialDecision::NoTrial => Some(TrialPosition::default()),
            TrialDecision::Unknown(_) => None,
            TrialDecision::Trial(standing) if self.defect == Some(Defect::StepByLocalClock) => {
                let step = standing.terms.step_due(self.process.wall_clock_ms(now));
                Some(TrialPosition { step, ..standing.position })
            }
            TrialDecision::Trial(standing) => Some(standing.position),
        }
    }

    /// Runs periodic work and returns the messages to send.
    pub fn tick(&mut self, now: Micros, random: &mut Rng) -> Vec<Envelope> {
        let clock = self.clock(now);
        self.ticks += 1;
        let mut sent = Vec::new();
        if self.ticks.is_multiple_of(WATCH_TICKS) {
            for core in 0..self.cores {
                let (status, have) =
                    (self.status(), KnownVersions { trials: self.trial_revisions[core], ..self.view.have() });
                sent.push(self.envelope(core, Message::Watch { asked_at: clock, status, have }));
            }
        }
        if self.ticks.is_multiple_of(FOLLOW_TICKS) {
            self.ask_homes(clock, &mut sent);
        }
        if self.ticks.is_multiple_of(FALLBACK_TICKS) {
            let until = clock + SERVICES_TIMEOUT;
            let late = self
                .view
                .followed_mut()
                .next_requests(clock, until, |_, waited| waited >= HOME_RESPONSE_TIMEOUT);
            for have in &late {
                if let Home::Peer(peer) = self.homes.home(clock, &have.service) {
                    self.homes.mark_unresponsive(&peer.name, clock + UNRESPONSIVE_HOME_BACKOFF);
                }
            }
            if !late.is_empty() {
                let core = random.usize(..self.cores);
                sent.push(self.envelope(core, Message::FetchServices(late)));
            }
        }
        sent
    }

    fn ask_homes(&self, clock: Micros, sent: &mut Vec<Envelope>) {
        for peer in self.homes.peers() {
            let followed = self.view.followed();
            let names = followed.names().filter(|name| self.homes.is_home(clock, name, &peer.name));
            let have: Vec<KnownServiceVersion> = names.map(|name| followed.have(name)).collect();
            if !have.is_empty() {
                sent.push(self.envelope(peer.addr.port().into(), Message::FetchServices(have)));
            }
        }
    }

    fn envelope(&self, to: NodeId, message: Message) -> Envelope {
        Envelope {
            from: self.number,
            to,
            to_incarnation: None,
            from_incarnation: self.process.incarnation,
            message,
        }
    }

    fn status(&self) -> ProxyStatus {
        ProxyStatus {
            id: ProcessId { node: self.name.clone(), incarnation: self.process.incarnation.into() },
            zone: self.zone.clone(),
            region: "r".into(),
            http: ([10, 1, 0, 0], 80).into(),
            // The port encodes the machine's index.
            peer: ([10, 1, 0, 0], self.number as u16).into(),
            ready: self.view.can_serve(),
        }
    }

    /// Handles a message and returns the messages to send.
    pub fn deliver(&mut self, now: Micros, envelope: Envelope) -> Vec<Envelope> {
        let clock = self.clock(now);
        match envelope.message {
            Message::Watched { asked_at, update } => {
                let asked_at = if self.defect == Some(Defect::LeaseFromReceipt) { clock } else { asked_at };
                self.apply_watch_answer(clock, envelope.from, asked_at, *update)
            }
            Message::Config(document) => {
                self.view.apply_config(&document);
                Vec::new()
            }
            Message::Services(updates) => {
                self.view.followed_mut().apply_updates(clock, updates);
                Vec::new()
            }
            Message::FetchServices(have) => {
                let updates = self.view.followed().catalog().updates_for(clock, &have);
                let answer = self.envelope(envelope.from, Message::Services(updates));
                vec![Envelope { to_incarnation: Some(envelope.from_incarnation), ..answer }]
            }
            _ => Vec::new(),
        }
    }

    fn apply_watch_answer(
        &mut self,
        clock: Micros,
        from: NodeId,
        asked_at: Micros,
        update: Watched,
    ) -> Vec<Envelope> {
        let mut sent = Vec::new();
        self.view.apply_trials(clock, update.trials);
        self.trial_revisions[from] = update.have.trials;
        if let Some(peers) = update.directory {
            let of_zone = peers.iter().filter(|peer| peer.zone == self.zone);
            let living = of_zone.map(|peer| PeerProxy { name: peer.id.node.clone(), addr: peer.peer });
            self.homes.set_live_proxies(living);
            self.view.set_peers(peers);
        }
        self.view.apply_drains(clock, &update.have.drains);
        self.view.followed_mut().apply_index(clock, &update.services);
        let (homes, until) = (&self.homes, clock + SERVICES_TIMEOUT);
        let due = |name: &CompactString, _| homes.home(clock, name) == Home::Local;
        let asked = self.view.followed_mut().next_requests(clock, until, due);
        if !asked.is_empty() {
            sent.push(self.envelope(from, Message::FetchServices(asked)));
        }
        if update.have.config > self.view.config_version() {
            sent.push(self.envelope(from, Message::FetchConfig));
        }
        self.view.apply_freshness(asked_at, update.fresh_age, update.have.config);
        self.view.apply_members(update.members, update.settled);
        sent
    }
}

fn view_settings(defect: Option<Defect>) -> ViewSettings {
    let mut settings = VIEW_SETTINGS;
    match defect {
        Some(Defect::StepWithoutDelay) => settings.trials.delay = 0,
        Some(Defect::StepWithoutLease) => settings.trials.lease = Micros::MAX / 4,
        _ => {}
    }
    settings
}

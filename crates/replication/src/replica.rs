//! One replica: its state, what it knows of the others, and what follows for acknowledgements and reads.

use crate::quorum::Quorum;
use crate::state::State;
use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::messages::{Change, ConfigDocument, StoreMember, Summary, Update, ZoneDrain};
use std::collections::{BTreeMap, BTreeSet};

/// Periods by which a replica goes.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// A replica not heard for so long is taken to be away.
    pub away_after: Micros,
    /// A configuration that is not known to be durable is handed out after so long all the same: it may be in
    /// force, and what holds it back would hold back all that comes after it.
    pub hand_out_after: Micros,
    /// Replicas known at the most.
    pub members_max: usize,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { away_after: 2_000_000, hand_out_after: 1_500_000, members_max: 64 }
    }
}

/// What is known of another replica.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// What it held when it last said so.
    summary: Summary,
    /// When it was asked for that.
    asked_at: Micros,
    /// Whether it has said anything.
    heard: bool,
}

/// One replica.
pub struct Replica {
    me: StoreMember,
    figures: Figures,
    state: State,
    /// The configuration that gateways may go by.
    in_force: Option<ConfigDocument>,
    adopted_at: Micros,
    members: BTreeMap<CompactString, StoreMember>,
    peers: BTreeMap<CompactString, Peer>,
    recovering: bool,
}

impl Replica {
    /// A replica with what its disk held. `recovering` says that the disk was empty though the system has
    /// started before: what it held is lost, and it speaks for nobody until others have told it.
    pub fn new(
        me: StoreMember,
        state: State,
        members: Vec<StoreMember>,
        recovering: bool,
        figures: Figures,
    ) -> Self {
        let in_force = None;
        let mut replica = Replica {
            members: BTreeMap::from([(me.name.clone(), me.clone())]),
            me,
            figures,
            state,
            in_force,
            adopted_at: 0,
            peers: BTreeMap::new(),
            recovering,
        };
        replica.meet(members);
        replica
    }

    /// Takes in which replicas there are. Tells whether any was new.
    pub fn meet(&mut self, members: Vec<StoreMember>) -> bool {
        let mut new = false;
        for member in members {
            let full = self.members.len() >= self.figures.members_max;
            let known = self.members.get(&member.name);
            if member.name == self.me.name || known == Some(&member) || (known.is_none() && full) {
                continue;
            }
            self.members.insert(member.name.clone(), member);
            new = true;
        }
        new
    }

    /// All replicas, this one among them.
    pub fn members(&self) -> Vec<StoreMember> {
        self.members.values().cloned().collect()
    }

    /// What this replica has.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// This replica.
    pub fn me(&self) -> &StoreMember {
        &self.me
    }

    /// What it has, in short.
    pub fn summary(&self) -> Summary {
        self.state.summary(self.recovering)
    }

    /// Whether what it held is lost and not made up for.
    pub fn recovering(&self) -> bool {
        self.recovering
    }

    /// Turns a change into an update with its version.
    pub fn update_for(&self, change: Change) -> Update {
        match change {
            Change::Config(config) => Update::Config(config),
            Change::Proxies(names) => Update::Proxies(names),
            Change::Drain { zone, drained } => {
                let held = self.newest_drain(&zone);
                let order =
                    if held.order > 0 && held.drained == drained { held.order } else { held.order + 1 };
                Update::Drain { zone, drain: ZoneDrain { order, drained } }
            }
        }
    }

    /// The newest order about a zone that any replica is known to have.
    fn newest_drain(&self, zone: &CompactString) -> ZoneDrain {
        let own = self.state.drains.get(zone).into_iter();
        let others = self.peers.values().filter_map(|peer| peer.summary.drains.get(zone));
        own.chain(others).max().copied().unwrap_or_default()
    }

    /// Whether an update changes anything here. A caller writes it to disk before [`Replica::adopt`].
    pub fn is_news(&self, update: &Update) -> bool {
        self.state.is_news(update)
    }

    /// Takes in an update that is on disk.
    pub fn adopt(&mut self, now: Micros, update: Update) {
        if matches!(update, Update::Config(_)) && self.state.is_news(&update) {
            self.adopted_at = now;
        }
        self.state.apply(update);
        self.refresh(now);
    }

    /// Takes in what another replica said when it was asked at `asked_at`.
    pub fn heard(&mut self, now: Micros, from: &CompactString, asked_at: Micros, summary: Summary) {
        if *from == self.me.name {
            return;
        }
        let peer = self.peers.entry(from.clone()).or_default();
        (peer.summary, peer.heard) = (summary, true);
        peer.asked_at = peer.asked_at.max(asked_at);
        self.rebuild(now);
        self.refresh(now);
    }

    /// What another replica lacks, as far as is known.
    pub fn missing_at(&self, name: &CompactString) -> Vec<Update> {
        let peer = self.peers.get(name).filter(|peer| peer.heard);
        peer.map(|peer| self.state.missing(&peer.summary)).unwrap_or_default()
    }

    /// A recovering replica speaks again once it has what enough others have.
    fn rebuild(&mut self, now: Micros) {
        if !self.recovering {
            return;
        }
        let whole = |peer: &&Peer| {
            peer.heard
                && !peer.summary.recovering
                && now < peer.asked_at + self.figures.away_after
                && covers(&self.state, &peer.summary)
        };
        let told = self.peers.values().filter(whole).count();
        if told >= self.quorum().rebuild() {
            self.recovering = false;
        }
    }

    fn quorum(&self) -> Quorum {
        Quorum::of(self.members.len())
    }

    /// Whether an update, or something newer in its place, is durable.
    pub fn is_durable(&self, now: Micros, update: &Update) -> bool {
        let holders: Vec<&StoreMember> =
            self.members.values().filter(|member| self.holds(&member.name, update)).collect();
        let zones: BTreeSet<&CompactString> = holders.iter().map(|member| &member.zone).collect();
        // A second zone counts only while one of its replicas lives: a loss that has happened is used up.
        let present: BTreeSet<&CompactString> = self
            .members
            .values()
            .filter(|member| self.is_present(now, &member.name))
            .map(|member| &member.zone)
            .collect();
        let spread = zones.len() > 1 || present.len() < 2;
        holders.len() >= self.quorum().durable() && spread
    }

    fn is_present(&self, now: Micros, name: &CompactString) -> bool {
        let heard = self.peers.get(name).filter(|peer| peer.heard);
        *name == self.me.name || heard.is_some_and(|peer| now < peer.asked_at + self.figures.away_after)
    }

    fn holds(&self, name: &CompactString, update: &Update) -> bool {
        if *name == self.me.name {
            return !self.recovering && !self.state.is_news(update);
        }
        let Some(peer) = self.peers.get(name).filter(|peer| peer.heard) else { return false };
        !peer.summary.recovering && summary_covers(&peer.summary, &self.state, update)
    }

    /// The configuration that gateways may go by.
    pub fn in_force(&self) -> Option<&ConfigDocument> {
        self.in_force.as_ref()
    }

    /// Brings what is in force up to date; called as time passes as well.
    pub fn refresh(&mut self, now: Micros) {
        let Some(newest) = self.state.config.clone() else { return };
        if self.in_force.as_ref().is_some_and(|held| held.version >= newest.version) {
            return;
        }
        let waited = now >= self.adopted_at + self.figures.hand_out_after;
        if waited || self.is_durable(now, &Update::Config(newest.clone())) {
            self.in_force = Some(newest);
        }
    }

    /// The latest moment at which nothing newer than what is in force here can have been acknowledged.
    pub fn current_as_of(&self, now: Micros) -> Option<Micros> {
        if self.recovering {
            return None;
        }
        let in_force = self.in_force.as_ref().map(|config| config.version);
        let says_so = |peer: &&Peer| {
            peer.heard
                && !peer.summary.recovering
                && peer.summary.config <= in_force
                && covers_drains(&self.state, &peer.summary)
        };
        let mut times: Vec<Micros> = self.peers.values().filter(says_so).map(|peer| peer.asked_at).collect();
        if self.state.config.as_ref().map(|config| config.version) <= in_force {
            times.push(now);
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.quorum().current() - 1).copied()
    }

    /// Whether so many replicas have been asked since a moment that nothing durable can be missing here.
    pub fn is_current_since(&self, now: Micros, since: Micros) -> bool {
        if self.recovering {
            return false;
        }
        let newest = &self.state;
        let says_so = |peer: &&Peer| {
            peer.heard && !peer.summary.recovering && peer.asked_at >= since && covers(newest, &peer.summary)
        };
        let others = self.peers.values().filter(says_so).count();
        now >= since && others + 1 >= self.quorum().current()
    }
}

/// Whether a state has all that a summary names.
fn covers(state: &State, summary: &Summary) -> bool {
    summary.config <= state.config.as_ref().map(|config| config.version)
        && covers_drains(state, summary)
        && summary.proxies.0 <= state.proxies.len() as u64
}

fn covers_drains(state: &State, summary: &Summary) -> bool {
    summary.drains.iter().all(|(zone, drain)| state.drains.get(zone).is_some_and(|held| held >= drain))
}

/// Whether a replica with this summary has an update, or something newer in its place.
fn summary_covers(summary: &Summary, state: &State, update: &Update) -> bool {
    match update {
        Update::Config(config) => summary.config >= Some(config.version),
        Update::Drain { zone, drain } => summary.drains.get(zone) >= Some(drain),
        Update::Proxies(_) => summary.proxies == state.summary(false).proxies,
    }
}

//! One replica: its state, what it knows of the others, and what follows for acknowledgements and reads.

use crate::quorum::Quorum;
use crate::state::State;
use crate::trials::{DurableTrials, TrialChanges};
use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::messages::{
    Change, ConfigDocument, StoreMember, StoreNews, Summary, Update, ZoneDrain, ZoneDrains,
};
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

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
    /// Replicas that there are at the least: a quorum is counted of so many also before all are known.
    pub members_min: usize,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { away_after: 2_000_000, hand_out_after: 1_500_000, members_max: 64, members_min: 1 }
    }
}

/// What is known of another replica.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Its answer to the latest question that it answered.
    answer: Option<PeerAnswer>,
    /// Orders that it has named besides. When it held them is not known, so they count for nothing else.
    drains: ZoneDrains,
}

/// What a replica answered.
#[derive(Clone, Debug)]
struct PeerAnswer {
    /// What it held.
    summary: Summary,
    /// When it was asked.
    asked_at: Micros,
}

impl Peer {
    /// Its latest answer, unless it speaks for nobody.
    fn valid(&self) -> Option<&PeerAnswer> {
        self.answer.as_ref().filter(|answer| !answer.summary.recovering)
    }
}

/// One replica.
pub struct Replica {
    me: StoreMember,
    figures: Figures,
    state: State,
    /// The configuration that gateways may go by.
    in_force: Option<ConfigDocument>,
    adopted_at: Micros,
    /// Trials that proxies may go by.
    trials: DurableTrials,
    trial_changes: TrialChanges,
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
            trials: DurableTrials::default(),
            trial_changes: TrialChanges::default(),
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

    /// Turns a change into an update with its version. A serial that is held already changes nothing, whatever
    /// comes under it.
    pub fn update_for(&self, change: Change) -> Update {
        match change {
            Change::Config(new) => {
                let held = self.state.config.as_ref();
                let newer = held.filter(|held| held.version.serial >= new.version.serial);
                Update::Config(newer.cloned().unwrap_or(new))
            }
            Change::Proxies(names) => Update::Proxies(names),
            Change::TrialTerms(record) => Update::Trials(vec![self.state.trials.record_for_terms(record)]),
            Change::TrialSteps(steps) => Update::Trials(self.state.trials.records_for_steps(steps)),
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
        let answers = self.peers.values().filter_map(|peer| peer.answer.as_ref());
        let answered = answers.filter_map(|answer| answer.summary.drains.get(zone));
        let named = self.peers.values().filter_map(|peer| peer.drains.get(zone));
        own.chain(answered).chain(named).max().copied().unwrap_or_default()
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
        if let Update::Trials(records) = &update {
            self.trial_changes.note(self.state.trials.version(), self.state.trials.news_of(records));
        }
        self.state.apply(update);
        self.refresh(now);
    }

    /// Takes in what another replica answered when it was asked at `asked_at`. An answer to an older question than
    /// the latest one that was answered replaces nothing.
    pub fn heard(&mut self, now: Micros, from: &CompactString, asked_at: Micros, summary: Summary) {
        if *from == self.me.name {
            return;
        }
        let peer = self.peers.entry(from.clone()).or_default();
        if peer.answer.as_ref().is_some_and(|answer| asked_at < answer.asked_at) {
            return;
        }
        peer.answer = Some(PeerAnswer { summary, asked_at });
        self.rebuild(now);
        self.refresh(now);
    }

    /// Takes in what another replica said unasked, at a moment that is not known.
    pub fn told(&mut self, from: &CompactString, summary: Summary) {
        if *from != self.me.name {
            self.peers.entry(from.clone()).or_default().drains = summary.drains;
        }
    }

    /// What another replica lacks, as far as is known.
    pub fn missing_at(&self, name: &CompactString) -> Vec<Update> {
        let Some(answer) = self.peers.get(name).and_then(|peer| peer.answer.as_ref()) else {
            return Vec::new();
        };
        let mut missing = self.state.missing(&answer.summary);
        let changes = self.trial_changes.since(answer.summary.trials);
        for update in &mut missing {
            if let (Update::Trials(records), Some(changes)) = (update, &changes) {
                records.clone_from(changes);
            }
        }
        missing
    }

    /// A recovering replica speaks again once it has what enough others have. Where its whole zone has lost its disks
    /// there may not be enough: then it takes all replicas of other zones, as a durable change has a copy outside.
    /// The others are asked only when nobody can count the copies any more that were lost with the disk: see
    /// [`Replica::holds`].
    fn rebuild(&mut self, now: Micros) {
        let known = self.members.len() >= self.figures.members_min;
        if !self.recovering || !known {
            return;
        }
        let enough = self.peers.keys().filter(|name| self.is_made_up_for(now, name)).count();
        if enough >= self.quorum().rebuild() || (self.zone_is_lost(now) && self.has_all_outside(now)) {
            self.recovering = false;
        }
    }

    /// Whether all replicas of this zone say that they lost their disks as well.
    fn zone_is_lost(&self, now: Micros) -> bool {
        let others =
            self.members.values().filter(|member| member.zone == self.me.zone && member.name != self.me.name);
        others.map(|member| self.peers.get(&member.name)).all(|peer| {
            let answer = peer.and_then(|peer| peer.answer.as_ref());
            answer.is_some_and(|answer| answer.summary.recovering && self.is_recent(now, answer))
        })
    }

    /// Whether this replica has what all replicas of other zones have.
    fn has_all_outside(&self, now: Micros) -> bool {
        let mut outside = self.members.values().filter(|member| member.zone != self.me.zone).peekable();
        outside.peek().is_some() && outside.all(|member| self.is_made_up_for(now, &member.name))
    }

    /// Whether this replica has what another one was asked for lately, and long enough after this one's start.
    fn is_made_up_for(&self, now: Micros, name: &CompactString) -> bool {
        let answer = self.peers.get(name).and_then(Peer::valid);
        answer.is_some_and(|answer| {
            let trials = answer.summary.trials == self.state.trials.version();
            trials && self.is_recent(now, answer) && covers(&self.state, &answer.summary)
        })
    }

    /// Whether a question was asked lately, and long enough after this replica's start.
    fn is_recent(&self, now: Micros, answer: &PeerAnswer) -> bool {
        answer.asked_at >= self.figures.away_after && now < answer.asked_at + self.figures.away_after
    }

    fn quorum(&self) -> Quorum {
        Quorum::of(self.members.len().max(self.figures.members_min))
    }

    /// Whether an update, or something newer in its place, is durable.
    ///
    /// An order that a contrary one has overtaken is not: it has no effect, and its caller has to ask again.
    pub fn is_durable(&self, now: Micros, update: &Update) -> bool {
        if self.is_overtaken(update) {
            return false;
        }
        let holders: Vec<&StoreMember> =
            self.members.values().filter(|member| self.holds(now, &member.name, update)).collect();
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

    fn is_overtaken(&self, update: &Update) -> bool {
        let Update::Drain { zone, drain } = update else { return false };
        let newest = self.newest_drain(zone);
        newest > *drain && newest.drained != drain.drained
    }

    /// Whether a replica lives, as far as is known; right after a start all do.
    fn is_present(&self, now: Micros, name: &CompactString) -> bool {
        let answer = self.peers.get(name).and_then(|peer| peer.answer.as_ref());
        let asked_at = answer.map_or(0, |answer| answer.asked_at);
        *name == self.me.name || now < asked_at + self.figures.away_after
    }

    /// Whether a replica has an update on its disk. What it said long ago does not count: its disk may have been
    /// lost since, and it may have been rebuilt from others that had not got the update yet.
    fn holds(&self, now: Micros, name: &CompactString, update: &Update) -> bool {
        if *name == self.me.name {
            return !self.recovering && !self.state.is_news(update);
        }
        let answer = self.peers.get(name).and_then(Peer::valid);
        answer.is_some_and(|answer| {
            now < answer.asked_at + self.figures.away_after
                && summary_covers(&answer.summary, &self.state, update)
        })
    }

    /// The configuration that gateways may go by.
    pub fn in_force(&self) -> Option<&ConfigDocument> {
        self.in_force.as_ref()
    }

    /// Brings what is in force up to date; called as time passes as well.
    pub fn refresh(&mut self, now: Micros) {
        self.refresh_trials(now);
        let Some(newest) = self.state.config.clone() else { return };
        if self.in_force.as_ref().is_some_and(|held| held.version >= newest.version) {
            return;
        }
        let waited = now >= self.adopted_at + self.figures.hand_out_after;
        if waited || self.is_durable(now, &Update::Config(newest.clone())) {
            self.in_force = Some(newest);
        }
    }

    /// Trials are durable as a whole: replicas tell each other one digest of all.
    fn refresh_trials(&mut self, now: Micros) {
        let all = Update::Trials(Vec::new());
        if self.trials.version() != self.state.trials.version() && self.is_durable(now, &all) {
            self.trials.take(now, &self.state.trials);
        }
    }

    /// The latest moment at which nothing newer than what is in force here can have been acknowledged.
    pub fn current_as_of(&self, now: Micros) -> Option<Micros> {
        if self.recovering {
            return None;
        }
        let in_force = self.in_force.as_ref().map(|config| config.version);
        let names = self.state.names_version();
        // Other names, even as many, may be names that are missing here.
        let says_so = |answer: &&PeerAnswer| {
            answer.summary.config <= in_force
                && covers_drains(&self.state, &answer.summary)
                && answer.summary.proxies == names
                && answer.summary.trials == self.trials.version()
        };
        let answers = self.peers.values().filter_map(Peer::valid).filter(says_so);
        let mut times: Vec<Micros> = answers.map(|answer| answer.asked_at).collect();
        let all_trials_durable = self.state.trials.version() == self.trials.version();
        if all_trials_durable && self.state.config.as_ref().map(|config| config.version) <= in_force {
            times.push(now);
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.quorum().current() - 1).copied()
    }

    /// What is in force, to be told to a registry that has some of it.
    pub fn news(&mut self, now: Micros, have: &Summary) -> StoreNews {
        self.refresh(now);
        let mut summary = self.summary();
        summary.config = self.in_force.as_ref().map(|config| config.version);
        let config = self.in_force.as_ref().filter(|config| Some(config.version) > have.config).cloned();
        let proxies = (summary.proxies != have.proxies).then(|| self.state.proxies.clone());
        summary.trials = self.trials.version();
        let trials = (summary.trials != have.trials).then(|| self.trials.news(now));
        let fresh_age = self.current_as_of(now).map(|at| now.saturating_sub(at) / MILLI + 1);
        StoreNews { summary, config, proxies, trials, fresh_age }
    }

    /// Whether so many replicas have been asked since a moment that nothing durable can be missing here.
    pub fn is_current_since(&self, now: Micros, since: Micros) -> bool {
        if self.recovering {
            return false;
        }
        let says_so = |answer: &&PeerAnswer| answer.asked_at >= since && covers(&self.state, &answer.summary);
        let others = self.peers.values().filter_map(Peer::valid).filter(says_so).count();
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
        Update::Proxies(_) => summary.proxies == state.names_version(),
        Update::Trials(_) => summary.trials == state.trials.version(),
    }
}

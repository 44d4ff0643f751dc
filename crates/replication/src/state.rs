//! The replicated state and the changes that apply to it.

use crate::trials::TrialSet;
use compact_str::CompactString;
use hingestage_rpc::digest;
use hingestage_rpc::messages::{
    Change, ConfigDocument, Membership, Part, Proposed, ProxyNames, Summary, Transfer, ZoneDrain, ZoneDrains,
};
use hingestage_rpc::trials::TrialRecord;
use std::rc::Rc;

/// The replicated state. Large parts are shared between copies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The latest configuration.
    pub config: Option<Rc<ConfigDocument>>,
    /// The latest drain order of each zone.
    pub drains: ZoneDrains,
    /// Proxies that share rate limits; names are only added.
    pub proxies: Rc<ProxyNames>,
    /// The latest trial of each tenant.
    pub trials: Rc<TrialSet>,
    /// The voters.
    pub membership: Membership,
}

impl State {
    /// Versions of all parts.
    pub fn summary(&self) -> Summary {
        Summary {
            config: self.config.as_ref().map(|config| config.version),
            drains: self.drains.clone(),
            proxies: self.proxies_version(),
            trials: self.trials.version(),
            recovering: false,
        }
    }

    /// Count and digest of the proxy names.
    pub fn proxies_version(&self) -> (u64, u64) {
        (self.proxies.len() as u64, names_digest(&self.proxies))
    }

    /// A transfer of this state to a replica that has the parts in `have`.
    pub fn transfer(&self, have: &Summary) -> Transfer {
        let target = self.summary();
        let mut parts = Vec::new();
        if let Some(config) = self.config.as_ref().filter(|_| have.config != target.config) {
            parts.push(Part::Config(ConfigDocument::clone(config)));
        }
        if have.proxies != target.proxies {
            parts.push(Part::Proxies(ProxyNames::clone(&self.proxies)));
        }
        if have.trials != target.trials {
            parts.push(Part::Trials(self.trials.records().cloned().collect()));
        }
        Transfer { target, membership: self.membership.clone(), parts }
    }

    /// A transfer of this state to a replica that has the state `base`, with only the changed trials.
    pub fn transfer_from(&self, base: &State) -> Transfer {
        let mut transfer = self.transfer(&base.summary());
        for part in &mut transfer.parts {
            if let Part::Trials(records) = part {
                *part = Part::TrialChanges(base.trials.newer_records(records));
            }
        }
        transfer
    }

    /// Applies a transfer to this state; `None` if parts are missing or do not match their digests.
    pub fn with_transfer(&self, transfer: Transfer) -> Option<State> {
        let mut state =
            State { drains: transfer.target.drains.clone(), membership: transfer.membership, ..self.clone() };
        for part in transfer.parts {
            match part {
                Part::Config(config) if digest(&config.json) == config.version.digest => {
                    state.config = Some(Rc::new(config));
                }
                Part::Config(_) => return None,
                Part::Proxies(names) => state.proxies = Rc::new(names),
                Part::Trials(records) => state.trials = Rc::new(records.into_iter().collect()),
                Part::TrialChanges(records) => drop(state.add_trials(records)),
            }
        }
        (state.summary() == Summary { recovering: false, ..transfer.target }).then_some(state)
    }

    /// Applies a change; returns its outcome if the resulting state is decided.
    ///
    /// Invariant *one content*: the document of a serial is never replaced by another one.
    pub fn apply(&mut self, change: &Change) -> Proposed {
        match change {
            Change::Config(document) => self.apply_config(document),
            Change::Drain { zone, drained } => self.apply_drain(zone, *drained),
            Change::Proxies(names) => self.add_proxies(names),
            Change::TrialTerms(record) => self.apply_terms(record),
            Change::TrialSteps(steps) => self.add_trials(self.trials.records_for_steps(steps.clone())),
        }
    }

    fn apply_config(&mut self, document: &ConfigDocument) -> Proposed {
        let held = self.config.as_ref().map(|held| held.version);
        match held {
            Some(held) if held.serial == document.version.serial && held != document.version => {
                Proposed::SerialTaken
            }
            Some(held) if held.serial >= document.version.serial => Proposed::Durable,
            _ => {
                self.config = Some(Rc::new(document.clone()));
                Proposed::Durable
            }
        }
    }

    /// Repeating the order in effect does not advance its number.
    fn apply_drain(&mut self, zone: &CompactString, drained: bool) -> Proposed {
        let held = self.drains.get(zone).copied().unwrap_or_default();
        if held.order == 0 || held.drained != drained {
            self.drains.insert(zone.clone(), ZoneDrain { order: held.order + 1, drained });
        }
        Proposed::Durable
    }

    fn add_proxies(&mut self, names: &ProxyNames) -> Proposed {
        if names.iter().any(|(name, settled)| self.proxies.get(name) < Some(settled)) {
            let all = Rc::make_mut(&mut self.proxies);
            for (name, settled) in names {
                *all.entry(name.clone()).or_default() |= settled;
            }
        }
        Proposed::Durable
    }

    fn apply_terms(&mut self, record: &TrialRecord) -> Proposed {
        if !self.trials.has_room_for(&record.tenant) {
            return Proposed::Full;
        }
        let newest = self.trials.record_for_terms(record.clone());
        self.add_trials(vec![newest]);
        match self.trials.has_terms_of(&record.tenant, &record.position) {
            true => Proposed::Durable,
            false => Proposed::Overtaken,
        }
    }

    fn add_trials(&mut self, records: Vec<TrialRecord>) -> Proposed {
        if records.iter().any(|record| self.trials.is_newer(record)) {
            let trials = Rc::make_mut(&mut self.trials);
            for record in records {
                trials.apply(record);
            }
        }
        Proposed::Durable
    }
}

fn names_digest(names: &ProxyNames) -> u64 {
    names
        .iter()
        .fold(0, |sum, (name, settled)| sum ^ digest(name.as_bytes()).rotate_left(u32::from(*settled)))
}

//! One round of a proposer: a ballot is prepared at a read quorum, then a state is accepted by an accept quorum.
//!
//! Invariant *highest first*: a round builds on the proposal with the highest ballot that its read quorum has
//! accepted, so that its proposal includes everything decided before.

use crate::quorum::{self, DiskSet};
use crate::state::State;
use crate::Micros;
use hingestage_rpc::messages::{Ballot, Membership, Proposed, Standing, StoreMember};
use std::collections::BTreeMap;

/// An acceptor's promise.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    pub member: StoreMember,
    pub standing: Standing,
}

/// A state with the ballot that it was proposed under.
#[derive(Clone, Debug)]
pub(crate) struct Base {
    pub ballot: Ballot,
    pub state: State,
}

/// Phase of a round.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Waiting for promises.
    Preparing,
    /// Waiting for acceptances of the proposal.
    Accepting(Proposal),
}

/// A proposed state.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub state: State,
    pub accepted: DiskSet,
    /// Outcomes of the included changes by ticket, valid once the state is decided.
    pub outcomes: Vec<(u64, Proposed)>,
}

/// A round of one ballot.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub ballot: Ballot,
    pub started_at: Micros,
    pub phase: Phase,
    pub promises: BTreeMap<u64, Promise>,
    /// Acceptors that have refused in this phase.
    pub refused: DiskSet,
    /// Stores that were sent a `Prepare`.
    pub asked: Vec<StoreMember>,
    /// State of the highest accepted proposal, if it was fetched.
    pub fetched: Option<Base>,
    /// Ballot of the proposal that is being fetched.
    pub fetching: Option<Ballot>,
}

/// Next step of a round in its prepare phase.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Wait for more answers.
    Wait,
    /// Fetch the state of a proposal from a store that has accepted it.
    Fetch(StoreMember, Ballot),
    /// Send `Prepare` to more stores.
    Ask(Vec<StoreMember>),
    /// Propose a state built on this base.
    Build(Base),
}

impl Round {
    pub fn new(ballot: Ballot, now: Micros) -> Round {
        Round {
            ballot,
            started_at: now,
            phase: Phase::Preparing,
            promises: BTreeMap::new(),
            refused: DiskSet::new(),
            asked: Vec::new(),
            fetched: None,
            fetching: None,
        }
    }

    /// The next step after the promises received so far. `own` is what this store has accepted; `lost` returns the
    /// lost disks among some voters.
    pub fn step(&mut self, own: &Base, lost: impl Fn(&[StoreMember]) -> DiskSet) -> Step {
        let Some(highest) = self.promises.values().max_by_key(|promise| promise.standing.accepted) else {
            return Step::Wait;
        };
        let ballot = highest.standing.accepted;
        let fetched = self.fetched.as_ref().filter(|base| base.ballot == ballot);
        let Some(base) = (if own.ballot == ballot { Some(own) } else { fetched }) else {
            return self.fetch(highest.member.clone(), ballot);
        };
        let decided = self.promises.values().any(|promise| promise.standing.decided >= ballot);
        let disks: DiskSet = self.promises.keys().copied().collect();
        let reads = |membership: &Membership| {
            let mut all_lost = lost(&membership.voters);
            all_lost.extend(lost(&membership.previous));
            quorum::is_read_quorum(membership, &disks, &all_lost)
        };
        if reads(&base.state.membership) && (decided || reads(&own.state.membership)) {
            return Step::Build(base.clone());
        }
        let voters = distinct_voters(&base.state.membership).into_iter();
        let unasked: Vec<StoreMember> =
            voters.filter(|voter| !self.asked.iter().any(|asked| asked.addr == voter.addr)).collect();
        if unasked.is_empty() {
            return Step::Wait;
        }
        self.asked.extend(unasked.iter().cloned());
        Step::Ask(unasked)
    }

    fn fetch(&mut self, member: StoreMember, ballot: Ballot) -> Step {
        if self.fetching == Some(ballot) {
            return Step::Wait;
        }
        self.fetching = Some(ballot);
        Step::Fetch(member, ballot)
    }

    /// Whether the acceptors that have not refused no longer form the quorum of this phase. `own` is the membership
    /// that this store has accepted.
    pub fn cannot_succeed(&self, own: &Membership, lost: &DiskSet, unreachable: &DiskSet) -> bool {
        let membership = match &self.phase {
            Phase::Preparing => own,
            Phase::Accepting(proposal) => &proposal.state.membership,
        };
        let voters = voters_of(membership).map(|voter| voter.disk);
        let remaining: DiskSet =
            voters.filter(|disk| !self.refused.contains(disk) && !lost.contains(disk)).collect();
        match &self.phase {
            Phase::Preparing => !quorum::is_read_quorum(membership, &remaining, lost),
            Phase::Accepting(_) => !quorum::is_accept_quorum(membership, &remaining, unreachable),
        }
    }
}

/// Voters of the current set, followed by those that are only in the previous set.
pub(crate) fn voters_of(membership: &Membership) -> impl Iterator<Item = &StoreMember> {
    let Membership { voters, previous, .. } = membership;
    let leaving = previous.iter().filter(|voter| !voters.contains(voter));
    voters.iter().chain(leaving)
}

/// Like [`voters_of`], but once per address: a machine with a replaced disk is asked only as its new member.
pub(crate) fn distinct_voters(membership: &Membership) -> Vec<StoreMember> {
    let mut members: Vec<StoreMember> = Vec::new();
    for voter in voters_of(membership) {
        if !members.iter().any(|member| member.addr == voter.addr) {
            members.push(voter.clone());
        }
    }
    members
}

//! One round of a proposer: a ballot prepared at a majority, then a state accepted by one.
//!
//! Invariant *highest first*: a round builds on the proposal with the highest ballot that its majority has accepted, so
//! that whatever was decided before is in what it proposes.

use crate::quorum::{self, Disks};
use crate::state::State;
use crate::Micros;
use hingestage_rpc::messages::{Ballot, Membership, Proposed, Standing, StoreMember};
use std::collections::BTreeMap;

/// A store's promise.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    pub member: StoreMember,
    pub standing: Standing,
}

/// What a round builds on.
#[derive(Clone, Debug)]
pub(crate) struct Base {
    pub ballot: Ballot,
    pub state: State,
}

/// How far a round is.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Promises are awaited.
    Preparing,
    /// The proposed state is to be accepted.
    Accepting(Proposal),
}

/// A state that is proposed.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub state: State,
    pub accepted: Disks,
    /// What becomes of changes once the state is decided.
    pub outcomes: Vec<(u64, Proposed)>,
}

/// A round.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub ballot: Ballot,
    pub started_at: Micros,
    pub phase: Phase,
    pub promises: BTreeMap<u64, Promise>,
    /// Stores that have refused.
    pub refused: Disks,
    /// Stores that were asked for a promise.
    pub asked: Vec<StoreMember>,
    /// The state of the highest proposal, where it was fetched.
    pub fetched: Option<Base>,
    pub fetching: Option<Ballot>,
}

/// What a round needs next.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Answers.
    Wait,
    /// The state of a proposal that a store has accepted.
    Fetch(StoreMember, Ballot),
    /// Promises of more stores.
    Ask(Vec<StoreMember>),
    /// Nothing: it is to build on this.
    Build(Base),
}

impl Round {
    pub fn new(ballot: Ballot, now: Micros) -> Round {
        Round {
            ballot,
            started_at: now,
            phase: Phase::Preparing,
            promises: BTreeMap::new(),
            refused: Disks::new(),
            asked: Vec::new(),
            fetched: None,
            fetching: None,
        }
    }

    /// What is to be done with the promises that have come. `mine` is what this store has accepted, `lost` tells which
    /// disks of some voters are lost.
    pub fn step(&mut self, mine: &Base, lost: impl Fn(&[StoreMember]) -> Disks) -> Step {
        let Some(highest) = self.promises.values().max_by_key(|promise| promise.standing.accepted) else {
            return Step::Wait;
        };
        let ballot = highest.standing.accepted;
        let fetched = self.fetched.as_ref().filter(|base| base.ballot == ballot);
        let Some(base) = (if mine.ballot == ballot { Some(mine) } else { fetched }) else {
            return self.fetch(highest.member.clone(), ballot);
        };
        let decided = self.promises.values().any(|promise| promise.standing.decided >= ballot);
        let disks: Disks = self.promises.keys().copied().collect();
        let reads = |membership: &Membership| {
            let mut gone = lost(&membership.voters);
            gone.extend(lost(&membership.previous));
            quorum::reads(membership, &disks, &gone)
        };
        if reads(&base.state.membership) && (decided || reads(&mine.state.membership)) {
            return Step::Build(base.clone());
        }
        let voters = askable(&base.state.membership).into_iter();
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

    /// Whether those that have not refused can't do any more what this phase needs. `mine` is the membership that this
    /// store has accepted.
    pub fn is_hopeless(&self, mine: &Membership, lost: &Disks, silent: &Disks) -> bool {
        let membership = match &self.phase {
            Phase::Preparing => mine,
            Phase::Accepting(proposal) => &proposal.state.membership,
        };
        let voters = voters_of(membership).map(|voter| voter.disk);
        let left: Disks =
            voters.filter(|disk| !self.refused.contains(disk) && !lost.contains(disk)).collect();
        match &self.phase {
            Phase::Preparing => !quorum::reads(membership, &left, lost),
            Phase::Accepting(_) => !quorum::accepts(membership, &left, silent),
        }
    }
}

/// All who have a say in a proposal with this membership.
pub(crate) fn voters_of(membership: &Membership) -> impl Iterator<Item = &StoreMember> {
    let Membership { voters, previous, .. } = membership;
    let leaving = previous.iter().filter(|voter| !voters.contains(voter));
    voters.iter().chain(leaving)
}

/// The same, one for each address: a lost disk's machine is asked as what it is now.
pub(crate) fn askable(membership: &Membership) -> Vec<StoreMember> {
    let mut members: Vec<StoreMember> = Vec::new();
    for voter in voters_of(membership) {
        if !members.iter().any(|member| member.addr == voter.addr) {
            members.push(voter.clone());
        }
    }
    members
}

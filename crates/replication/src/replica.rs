//! A replica of the replicated state: acceptor, proposer and membership of one store.
//!
//! The state is a single register changed by compare-and-set under ballots, without a log or a leader
//! (`docs/agreement.md`).

use crate::acceptor::{Acceptor, Disk, Record};
use crate::peers::Peers;
use crate::planner::{Planner, VoterPolicy};
use crate::proposer::{distinct_voters, voters_of, Base, Phase, Promise, Proposal, Round, Step};
use crate::quorum::{self, DiskSet};
use crate::state::State;
use crate::trials::DurableTrials;
use crate::Micros;
use hingestage_rpc::messages::{
    Ballot, Change, Membership, PeerAnswer, PeerRequest, Proposed, Standing, StoreMember, StoreUpdate,
    Summary,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

/// Timeouts and limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaConfig {
    /// A replica that has not answered for this long is considered unreachable.
    pub unreachable_after: Micros,
    /// Voters that accepted a proposal start a round to complete it after it was undecided for this long.
    pub completion_delay: Micros,
    /// Timeout of a round.
    pub round_timeout: Micros,
    /// Timeout of a round that has a majority and waits for a second zone.
    pub zone_timeout: Micros,
    /// Upper bound of the random backoff after an abandoned round.
    pub backoff_max: Micros,
    /// How long to keep non-voting replicas that do not answer, and outcomes that no caller takes.
    pub forget_after: Micros,
    /// Maximum number of other replicas tracked.
    pub peers_max: usize,
    /// Maximum number of pending changes.
    pub pending_changes_max: usize,
    /// Policy for choosing the voters.
    pub voter_policy: VoterPolicy,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        ReplicaConfig {
            unreachable_after: 2_000 * MILLI,
            completion_delay: 400 * MILLI,
            round_timeout: 700 * MILLI,
            zone_timeout: 3_000 * MILLI,
            backoff_max: 200 * MILLI,
            forget_after: 30_000 * MILLI,
            peers_max: 64,
            pending_changes_max: 64,
            voter_policy: VoterPolicy {
                replace_after: 2_000 * MILLI,
                remove_after: 6_000 * MILLI,
                voters_min: 1,
            },
        }
    }
}

/// A request to another replica.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRequest {
    /// The replica to send to.
    pub to: StoreMember,
    /// The request.
    pub request: PeerRequest,
}

/// A change that is not decided yet.
#[derive(Clone, Debug)]
struct PendingChange {
    ticket: u64,
    change: Change,
    /// Deadline of the caller; the change is no longer proposed after it.
    until: Micros,
}

/// A replica as a state machine: the caller supplies time, storage and transport.
#[derive(Clone, Debug)]
pub struct Replica {
    me: StoreMember,
    config: ReplicaConfig,
    /// Addresses of the initial voters; empty unless this replica bootstraps the system.
    founders: Vec<SocketAddr>,
    acceptor: Acceptor,
    peers: Peers,
    /// The latest proposal known to be decided, with its state.
    decided: Base,
    /// Decided trials, with the time at which each was learnt.
    trials: DurableTrials,
    /// When the accepted proposal was first seen undecided.
    undecided_since: Option<Micros>,
    round: Option<Round>,
    next_round_at: Micros,
    /// The highest round number seen in any ballot.
    highest_round: u64,
    pending: Vec<PendingChange>,
    outcomes: BTreeMap<u64, (Micros, Proposed)>,
    next_ticket: u64,
    leaving: bool,
    /// A decision that is missing here, and a replica that has it.
    missing_decision: Option<(StoreMember, Ballot)>,
    /// Whether a round of this replica was decided and not announced to the others yet.
    unannounced: bool,
    /// State of the xorshift generator for the backoff.
    rng_state: u64,
}

impl Replica {
    /// Creates a replica from its stored record. `founders` are the addresses of the initial voters if this
    /// replica bootstraps the system, else empty. `seed` seeds the random backoff.
    pub fn new(
        me: StoreMember,
        record: Record,
        founders: Vec<SocketAddr>,
        config: ReplicaConfig,
        seed: u64,
    ) -> Self {
        let undecided = record.accepted > Ballot::ZERO;
        let mut replica = Replica {
            peers: Peers::new(me.clone(), config.unreachable_after, config.peers_max),
            highest_round: record.promised.round,
            acceptor: Acceptor::new(me.clone(), record),
            me,
            config,
            founders,
            decided: Base { ballot: Ballot::ZERO, state: State::default() },
            trials: DurableTrials::default(),
            undecided_since: undecided.then_some(0),
            round: None,
            next_round_at: 0,
            pending: Vec::new(),
            outcomes: BTreeMap::new(),
            next_ticket: 1,
            leaving: false,
            missing_decision: None,
            unannounced: false,
            rng_state: seed | 1,
        };
        let known: Vec<StoreMember> = voters_of(replica.membership()).cloned().collect();
        replica.peers.add_members(0, &known);
        replica.bootstrap();
        replica
    }

    /// The identity of this replica.
    pub fn me(&self) -> &StoreMember {
        &self.me
    }

    /// The durable acceptor record.
    pub fn record(&self) -> &Record {
        self.acceptor.record()
    }

    /// The latest decided state known here.
    pub fn state(&self) -> &State {
        &self.decided.state
    }

    /// The membership in the accepted state.
    pub fn membership(&self) -> &Membership {
        &self.record().state.membership
    }

    /// All known replicas, including this one.
    pub fn members(&self) -> Vec<StoreMember> {
        self.peers.members()
    }

    /// The accepted and decided ballots, as reported to other replicas.
    pub fn standing(&self) -> Standing {
        Standing { accepted: self.record().accepted, decided: self.decided.ballot, leaving: self.leaving }
    }

    /// Whether no decision is known here yet, so that reads cannot be answered.
    pub fn is_recovering(&self) -> bool {
        self.decided.ballot == Ballot::ZERO
    }

    /// Versions of the decided state's parts.
    pub fn summary(&self) -> Summary {
        Summary { recovering: self.is_recovering(), ..self.decided.state.summary() }
    }

    /// Adds replicas reported by others; returns whether any was new.
    pub fn add_known_members(&mut self, now: Micros, members: &[StoreMember]) -> bool {
        self.peers.add_members(now, members)
    }

    /// The periodic request that exchanges ballots and known members with another replica.
    pub fn exchange_request(&self) -> PeerRequest {
        PeerRequest::Exchange { from: self.me.clone(), standing: self.standing(), known: self.members() }
    }

    /// Starts handing the vote over to a standby replica, before the process stops.
    pub fn begin_handover(&mut self) {
        self.leaving = true;
    }

    /// Whether the handover is complete, or no membership change is left that could complete it.
    pub fn is_handover_complete(&self, now: Micros) -> bool {
        let settled = self.membership().previous.is_empty();
        !self.is_voter() || (settled && self.next_membership(now, &self.decided.state).is_none())
    }

    /// Whether this replica is a voter of the current or the previous voter set.
    pub fn is_voter(&self) -> bool {
        voters_of(self.membership()).any(|voter| *voter == self.me)
    }

    /// Handles a request of another replica.
    pub fn handle_request(&mut self, now: Micros, request: PeerRequest, disk: &mut impl Disk) -> PeerAnswer {
        match request {
            PeerRequest::Exchange { from, standing, known } => {
                self.peers.add_members(now, &known);
                self.peers.add_members(now, std::slice::from_ref(&from));
                self.note_remote_decision(now, &from, standing.decided);
                let (from, standing) = (self.me.clone(), self.standing());
                PeerAnswer::Exchanged { from, standing, known: self.members() }
            }
            PeerRequest::Prepare { ballot } => {
                self.highest_round = self.highest_round.max(ballot.round);
                self.acceptor.prepare(now, ballot, self.standing(), disk)
            }
            PeerRequest::Accept { ballot, transfer } => {
                self.highest_round = self.highest_round.max(ballot.round);
                let answer = self.acceptor.accept(ballot, transfer, disk);
                self.update_undecided_since(now);
                answer
            }
            PeerRequest::Fetch { ballot, have } => self.answer_fetch(ballot, &have),
        }
    }

    /// Answers a `Fetch`: the accepted state if its ballot matches, else a decided state at least as new.
    fn answer_fetch(&self, ballot: Ballot, have: &Summary) -> PeerAnswer {
        let record = self.record();
        let (ballot, state) = if record.accepted == ballot {
            (ballot, &record.state)
        } else if self.decided.ballot >= ballot {
            (self.decided.ballot, &self.decided.state)
        } else {
            return PeerAnswer::Failed;
        };
        let decided = ballot <= self.decided.ballot;
        PeerAnswer::Fetched { ballot, decided, transfer: state.transfer(have) }
    }

    /// Starts or clears the timer for an undecided proposal.
    fn update_undecided_since(&mut self, now: Micros) {
        let undecided = self.record().accepted > self.decided.ballot;
        self.undecided_since = undecided.then(|| self.undecided_since.unwrap_or(now));
    }

    /// Handles an answer to a request that was sent at `asked_at`; returns the requests to send next.
    pub fn handle_answer(
        &mut self,
        now: Micros,
        asked_at: Micros,
        answer: PeerAnswer,
        disk: &mut impl Disk,
    ) -> Vec<OutgoingRequest> {
        let mut outgoing = Vec::new();
        match answer {
            PeerAnswer::Exchanged { from, standing, known } => {
                self.peers.add_members(now, &known);
                self.handle_exchanged(now, asked_at, &from, standing);
            }
            PeerAnswer::Promised { from, ballot, standing } => self.handle_promise(ballot, from, standing),
            PeerAnswer::Accepted { from, ballot } => self.handle_acceptance(now, ballot, &from),
            PeerAnswer::Lacks { from, ballot, have } => {
                outgoing.extend(self.resend_proposal(ballot, from, &have))
            }
            PeerAnswer::Refused { from, ballot, promised } => {
                self.handle_refusal(now, ballot, &from, promised)
            }
            PeerAnswer::Fetched { ballot, decided, transfer } => {
                if let Some(state) = self.record().state.with_transfer(transfer) {
                    self.handle_fetched(now, ballot, decided, state, disk);
                }
            }
            PeerAnswer::Failed => {}
        }
        outgoing.extend(self.poll(now, disk));
        outgoing
    }

    fn handle_exchanged(&mut self, now: Micros, asked_at: Micros, from: &StoreMember, standing: Standing) {
        self.peers.record_answer(asked_at, from, standing);
        self.highest_round = self.highest_round.max(standing.accepted.round);
        self.bootstrap();
        self.peers.update_contact(now, &self.acceptor.record().state.membership);
        self.note_remote_decision(now, from, standing.decided);
        let accepted = self.record().accepted;
        if accepted > self.decided.ballot && self.is_decided(now) {
            self.install_decision(now, accepted, self.record().state.clone());
        }
    }

    /// Learns that another replica knows this ballot to be decided.
    fn note_remote_decision(&mut self, now: Micros, from: &StoreMember, decided: Ballot) {
        let accepted = self.record().accepted;
        if decided > accepted {
            self.missing_decision = Some((from.clone(), decided));
        } else if decided == accepted && accepted > self.decided.ballot {
            self.install_decision(now, accepted, self.record().state.clone());
        }
    }

    /// Requests the decision that is missing here.
    fn fetch_missing_decision(&mut self) -> Option<OutgoingRequest> {
        let (to, ballot) = self.missing_decision.take()?;
        let have = self.record().state.summary();
        (ballot > self.record().accepted)
            .then_some(OutgoingRequest { to, request: PeerRequest::Fetch { ballot, have } })
    }

    /// Whether a quorum reports the proposal accepted here.
    fn is_decided(&self, now: Micros) -> bool {
        let mut acceptors = self.peers.acceptors_of(self.record().accepted);
        acceptors.insert(self.me.disk);
        quorum::is_accept_quorum(self.membership(), &acceptors, &self.unreachable_voters(now))
    }

    fn unreachable_voters(&self, now: Micros) -> DiskSet {
        let voters: Vec<StoreMember> = voters_of(self.membership()).cloned().collect();
        self.peers.unreachable(now, &voters, self.config.unreachable_after)
    }

    /// Sets the initial voters on a founder with an empty record, once every founder has answered.
    fn bootstrap(&mut self) {
        let record = self.record();
        if self.founders.is_empty() || record.accepted > Ballot::ZERO || !self.membership().voters.is_empty()
        {
            return;
        }
        let member_at = |addr: &SocketAddr| match self.me.addr == *addr {
            true => Some(self.me.clone()),
            false => self
                .peers
                .by_addr(*addr)
                .filter(|peer| peer.last_answer.is_some())
                .map(|peer| peer.member.clone()),
        };
        let Some(mut voters) = self.founders.iter().map(member_at).collect::<Option<Vec<StoreMember>>>()
        else {
            return;
        };
        voters.sort();
        voters.dedup();
        if voters.contains(&self.me) {
            let membership = Membership { epoch: 0, voters, previous: Vec::new() };
            self.acceptor.bootstrap(State { membership, ..State::default() });
        }
    }

    /// Takes a proposal that is known to be decided as the current state, unless a newer one is known.
    fn install_decision(&mut self, now: Micros, ballot: Ballot, state: State) {
        if ballot <= self.decided.ballot {
            return;
        }
        if state.trials.version() != self.trials.version() {
            self.trials.update(now, &state.trials);
        }
        self.decided = Base { ballot, state };
        self.undecided_since = None;
        self.update_undecided_since(now);
    }

    fn handle_promise(&mut self, ballot: Ballot, member: StoreMember, standing: Standing) {
        if let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) {
            round.promises.insert(member.disk, Promise { member, standing });
        }
    }

    /// Counts an acceptance in the current round, and decides the proposal at a quorum.
    fn handle_acceptance(&mut self, now: Micros, ballot: Ballot, from: &StoreMember) {
        let unreachable = self.unreachable_voters(now);
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else { return };
        let Phase::Accepting(proposal) = &mut round.phase else { return };
        proposal.accepted.insert(from.disk);
        if quorum::is_accept_quorum(&proposal.state.membership, &proposal.accepted, &unreachable) {
            let state = proposal.state.clone();
            let outcomes = std::mem::take(&mut proposal.outcomes);
            self.round = None;
            self.unannounced = true;
            self.install_decision(now, ballot, state);
            self.resolve_changes(now, outcomes);
        }
    }

    /// Whether a decision should be announced to the others now; clears the flag.
    pub fn take_announcement(&mut self) -> bool {
        std::mem::take(&mut self.unannounced)
    }

    /// Removes changes from the pending ones and stores their outcomes for the callers.
    fn resolve_changes(&mut self, now: Micros, outcomes: Vec<(u64, Proposed)>) {
        for (ticket, outcome) in outcomes {
            self.pending.retain(|change| change.ticket != ticket);
            self.outcomes.insert(ticket, (now, outcome));
        }
    }

    /// Sends the proposal again with the parts that an acceptor lacks.
    fn resend_proposal(&self, ballot: Ballot, to: StoreMember, have: &Summary) -> Option<OutgoingRequest> {
        let round = self.round.as_ref().filter(|round| round.ballot == ballot)?;
        let Phase::Accepting(proposal) = &round.phase else { return None };
        let request = PeerRequest::Accept { ballot, transfer: proposal.state.transfer(have) };
        Some(OutgoingRequest { to, request })
    }

    fn handle_refusal(&mut self, now: Micros, ballot: Ballot, from: &StoreMember, promised: Ballot) {
        self.highest_round = self.highest_round.max(promised.round);
        let unreachable = self.unreachable_voters(now);
        let voters: Vec<StoreMember> = voters_of(self.membership()).cloned().collect();
        let lost = quorum::lost_disks(&voters, self.peers.responders());
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else { return };
        round.refused.insert(from.disk);
        if round.cannot_succeed(&self.acceptor.record().state.membership, &lost, &unreachable) {
            self.abandon_round(now);
        }
    }

    fn handle_fetched(
        &mut self,
        now: Micros,
        ballot: Ballot,
        decided: bool,
        state: State,
        disk: &mut impl Disk,
    ) {
        if decided && self.acceptor.learn(ballot, state.clone(), disk) {
            self.install_decision(now, ballot, state);
        } else if let Some(round) = &mut self.round {
            round.fetched = Some(Base { ballot, state });
        }
    }

    /// Ends a round without a decision. The next one starts after a random backoff, so that competing proposers
    /// do not collide again.
    fn abandon_round(&mut self, now: Micros) {
        if let Some(round) = self.round.take() {
            self.acceptor.release(round.ballot);
        }
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.next_round_at = now + 20 * MILLI + self.rng_state % self.config.backoff_max;
    }

    /// Queues a change for a caller that waits until the deadline `until`, and returns its ticket; `None` if the
    /// queue is full.
    pub fn propose(&mut self, change: Change, until: Micros) -> Option<u64> {
        if self.pending.len() >= self.config.pending_changes_max {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.pending.push(PendingChange { ticket, change, until });
        Some(ticket)
    }

    /// Takes the outcome of a change, once it is known.
    pub fn take_outcome(&mut self, ticket: u64) -> Option<Proposed> {
        self.outcomes.remove(&ticket).map(|(_, outcome)| outcome)
    }

    /// Discards a change whose caller no longer waits.
    pub fn withdraw(&mut self, ticket: u64) {
        self.pending.retain(|change| change.ticket != ticket);
        self.outcomes.remove(&ticket);
    }

    /// Whether a round, a change or a fetch is pending, so that `poll` must run more often.
    pub fn has_pending_work(&self) -> bool {
        let pending = self.round.is_some() || !self.pending.is_empty();
        pending || self.undecided_since.is_some() || self.missing_decision.is_some()
    }

    /// Runs timers and starts or continues a round; returns the requests to send.
    pub fn poll(&mut self, now: Micros, disk: &mut impl Disk) -> Vec<OutgoingRequest> {
        self.pending.retain(|change| now < change.until);
        let keep = self.config.forget_after;
        self.outcomes.retain(|_, (at, _)| now < *at + keep);
        self.peers.update_contact(now, &self.acceptor.record().state.membership);
        self.peers.forget(now, &self.acceptor.record().state.membership, keep);
        if self.round.as_ref().is_some_and(|round| self.is_timed_out(now, round)) {
            self.abandon_round(now);
        }
        let mut outgoing: Vec<OutgoingRequest> = self.fetch_missing_decision().into_iter().collect();
        if self.round.is_none() && now >= self.next_round_at && self.needs_round(now) {
            outgoing.extend(self.start_round(now, disk));
        } else {
            outgoing.extend(self.advance_round(now, disk));
        }
        outgoing
    }

    fn is_timed_out(&self, now: Micros, round: &Round) -> bool {
        let waits_for_zone = match &round.phase {
            Phase::Preparing => false,
            Phase::Accepting(proposal) => {
                quorum::has_majority(&proposal.state.membership.voters, &proposal.accepted)
            }
        };
        let timeout = if waits_for_zone { self.config.zone_timeout } else { self.config.round_timeout };
        now >= round.started_at + timeout
    }

    /// Whether there is a reason to start a round: pending changes, an undecided proposal, or a membership change.
    fn needs_round(&self, now: Micros) -> bool {
        if self.membership().voters.is_empty() {
            return false;
        }
        let undecided = self.undecided_since.is_some_and(|since| now >= since + self.config.completion_delay);
        let unbootstrapped = self.record().accepted == Ballot::ZERO;
        let coordinates = self.is_coordinator(now);
        !self.pending.is_empty()
            || (undecided && self.is_voter())
            || (coordinates && (unbootstrapped || !self.membership().previous.is_empty()))
            || ((coordinates || self.leaving) && self.next_membership(now, &self.decided.state).is_some())
    }

    /// Whether this replica is the first reachable voter, which proposes membership changes.
    fn is_coordinator(&self, now: Micros) -> bool {
        let mut reachable =
            self.membership().voters.iter().filter(|voter| self.peers.is_reachable(now, voter));
        reachable.next() == Some(&self.me)
    }

    fn next_membership(&self, now: Micros, state: &State) -> Option<Membership> {
        let (policy, me, standing) = (self.config.voter_policy, &self.me, self.standing());
        Planner { policy, now, me, standing, peers: &self.peers }.next_membership(&state.membership)
    }

    fn other_voters(&self, membership: &Membership) -> Vec<StoreMember> {
        let voters = distinct_voters(membership).into_iter();
        voters.filter(|voter| voter.addr != self.me.addr).collect()
    }

    /// Starts a round with the next higher ballot.
    fn start_round(&mut self, now: Micros, disk: &mut impl Disk) -> Vec<OutgoingRequest> {
        let ballot = Ballot { round: self.highest_round + 1, proposer: self.me.disk };
        self.highest_round = ballot.round;
        let standing = self.standing();
        // The ballot is durable before it is sent, so that it is never used twice.
        let PeerAnswer::Promised { from, .. } = self.acceptor.prepare(now, ballot, standing, disk) else {
            self.abandon_round(now);
            return Vec::new();
        };
        let mut round = Round::new(ballot, now);
        round.asked = self.other_voters(self.membership());
        let outgoing = prepare_requests(&round.asked, ballot);
        round.asked.push(self.me.clone());
        self.round = Some(round);
        self.handle_promise(ballot, from, standing);
        outgoing.into_iter().chain(self.advance_round(now, disk)).collect()
    }

    /// Continues the current round with the answers received so far.
    fn advance_round(&mut self, now: Micros, disk: &mut impl Disk) -> Vec<OutgoingRequest> {
        let Some(round) = self.round.as_mut().filter(|round| matches!(round.phase, Phase::Preparing)) else {
            return self.recheck_acceptance(now);
        };
        let record = self.acceptor.record();
        let own = Base { ballot: record.accepted, state: record.state.clone() };
        let peers = &self.peers;
        let lost = |voters: &[StoreMember]| quorum::lost_disks(voters, peers.responders());
        match round.step(&own, lost) {
            Step::Wait => Vec::new(),
            Step::Ask(members) => prepare_requests(&members, round.ballot),
            Step::Fetch(to, ballot) => {
                let request = PeerRequest::Fetch { ballot, have: own.state.summary() };
                vec![OutgoingRequest { to, request }]
            }
            Step::Build(base) => self.propose_next_state(now, base, disk),
        }
    }

    /// Checks the current proposal again: once a zone counts as unreachable, fewer acceptances suffice.
    fn recheck_acceptance(&mut self, now: Micros) -> Vec<OutgoingRequest> {
        if let Some(ballot) = self.round.as_ref().map(|round| round.ballot) {
            if self.record().accepted == ballot {
                let me = self.me.clone();
                self.handle_acceptance(now, ballot, &me);
            }
        }
        Vec::new()
    }

    /// Builds the next state from the base state, the pending changes and a membership change, and proposes it.
    ///
    /// Invariant *acknowledged*: the outcome of a change is decided under a ballot of its own round, also if it leaves the
    /// state as it is. A store outside the read quorum may hold an earlier proposal with a ballot above the base's, which
    /// would be completed later.
    fn propose_next_state(&mut self, now: Micros, base: Base, disk: &mut impl Disk) -> Vec<OutgoingRequest> {
        let Some(round) = &mut self.round else { return Vec::new() };
        let known_decided = round.promises.values().any(|promise| promise.standing.decided >= base.ballot);
        let decided = known_decided || base.ballot <= self.decided.ballot;
        let ballot = round.ballot;
        let mut state = base.state.clone();
        let outcomes: Vec<(u64, Proposed)> =
            self.pending.iter().map(|pending| (pending.ticket, state.apply(&pending.change))).collect();
        if decided && !state.membership.previous.is_empty() {
            state.membership.previous = Vec::new();
        } else if let Some(next) = self.next_membership(now, &state) {
            state.membership = next;
        }
        if outcomes.is_empty() && decided && state == base.state && base.ballot > Ballot::ZERO {
            self.round = None;
            if base.ballot > self.record().accepted {
                self.acceptor.learn(base.ballot, base.state.clone(), disk);
            }
            self.install_decision(now, base.ballot, base.state);
            return Vec::new();
        }
        self.send_proposal(now, ballot, base, state, outcomes, disk)
    }

    /// Accepts a proposal locally and sends it to the other voters.
    fn send_proposal(
        &mut self,
        now: Micros,
        ballot: Ballot,
        base: Base,
        state: State,
        outcomes: Vec<(u64, Proposed)>,
        disk: &mut impl Disk,
    ) -> Vec<OutgoingRequest> {
        let own = self.acceptor.accept(ballot, state.transfer_from(&self.record().state), disk);
        self.update_undecided_since(now);
        let outgoing = self.other_voters(&state.membership).into_iter().map(|to| {
            let last_answer = self.peers.get(&to.name).and_then(|peer| peer.last_answer);
            // A replica with another base than assumed answers `Lacks`.
            let has_base = last_answer.is_some_and(|answer| answer.standing.accepted == base.ballot);
            let transfer = match has_base {
                true => state.transfer_from(&base.state),
                false => state.transfer(&Summary::default()),
            };
            let request = PeerRequest::Accept { ballot, transfer };
            OutgoingRequest { to, request }
        });
        let outgoing = outgoing.collect();
        if let Some(round) = &mut self.round {
            round.refused.clear();
            round.phase = Phase::Accepting(Proposal { state, accepted: DiskSet::new(), outcomes });
        }
        if let PeerAnswer::Accepted { from, .. } = own {
            self.handle_acceptance(now, ballot, &from);
        }
        outgoing
    }

    /// The latest moment up to which the decided state here includes every decision made anywhere.
    ///
    /// Invariant *contact*: a majority of the voters was asked at or after it, and none had accepted anything newer.
    pub fn current_as_of(&self, now: Micros) -> Option<Micros> {
        if self.is_recovering() {
            return None;
        }
        let membership = &self.decided.state.membership;
        let previous_as_of = if membership.previous.is_empty() {
            Some(now)
        } else {
            self.majority_confirmed_at(now, &membership.previous)
        };
        Some(self.majority_confirmed_at(now, &membership.voters)?.min(previous_as_of?))
    }

    /// The latest moment since which a majority of these voters confirmed the decided state.
    fn majority_confirmed_at(&self, now: Micros, voters: &[StoreMember]) -> Option<Micros> {
        let mut times: Vec<Micros> =
            voters.iter().filter_map(|voter| self.confirmed_at(now, voter)).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(quorum::majority_size(voters.len()) - 1).copied()
    }

    /// When a voter was last asked, if it had accepted nothing newer than the decided state here.
    fn confirmed_at(&self, now: Micros, voter: &StoreMember) -> Option<Micros> {
        if *voter == self.me {
            return (self.record().accepted <= self.decided.ballot).then_some(now);
        }
        let answer = self.peers.get(&voter.name).filter(|peer| peer.member == *voter)?.last_answer?;
        (answer.standing.accepted <= self.decided.ballot).then_some(answer.asked_at)
    }

    /// Whether the decided state here includes everything that was decided before `since`.
    pub fn is_current_since(&self, now: Micros, since: Micros) -> bool {
        self.current_as_of(now).is_some_and(|moment| moment >= since)
    }

    /// The decided state's parts that differ from those that a registry has.
    pub fn updates_for(&mut self, now: Micros, have: &Summary) -> StoreUpdate {
        let state = &self.decided.state;
        let summary = self.summary();
        let newer = state.config.as_ref().filter(|config| Some(config.version) != have.config);
        let config = newer.map(|config| config.as_ref().clone());
        let proxies = (summary.proxies != have.proxies).then(|| state.proxies.as_ref().clone());
        let trials = (summary.trials != have.trials).then(|| self.trials.records_with_age(now));
        let fresh_age = self.current_as_of(now).map(|at| now.saturating_sub(at) / MILLI + 1);
        StoreUpdate { summary, config, proxies, trials, fresh_age }
    }
}

fn prepare_requests(members: &[StoreMember], ballot: Ballot) -> Vec<OutgoingRequest> {
    let request =
        |to: &StoreMember| OutgoingRequest { to: to.clone(), request: PeerRequest::Prepare { ballot } };
    members.iter().map(request).collect()
}

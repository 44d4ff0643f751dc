//! One replica: what it has accepted, what it knows of the others, and the round that it proposes in.
//!
//! A register that is changed by compare-and-set under ballots, without a log or a leader (`docs/agreement.md`).

use crate::acceptor::{Acceptor, Disk, Record};
use crate::peers::Peers;
use crate::planner::{Plan, Planner};
use crate::proposer::{askable, voters_of, Base, Phase, Promise, Proposal, Round, Step};
use crate::quorum::{self, Disks};
use crate::state::State;
use crate::trials::DurableTrials;
use crate::Micros;
use hingestage_rpc::messages::{
    Ballot, Change, Membership, PeerAnswer, PeerRequest, Proposed, Standing, StoreMember, StoreNews, Summary,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

/// Periods by which a replica goes.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// A replica not heard for so long is taken to be away.
    pub away_after: Micros,
    /// Contact with a majority holds for so long: what rests on it may be said without asking again.
    pub contact_lease: Micros,
    /// A proposal that stays undecided for so long is completed by whoever has accepted it.
    pub complete_after: Micros,
    /// A round is given up after so long.
    pub round_within: Micros,
    /// The same for one that waits only for a zone that may be away.
    pub zone_within: Micros,
    /// Pause after a round that was given up, at the most.
    pub pause_max: Micros,
    /// Replicas that neither vote nor were heard for so long are forgotten.
    pub forget_after: Micros,
    /// Replicas known at the most.
    pub peers_max: usize,
    /// Changes that wait at the most.
    pub changes_max: usize,
    /// Which replicas are to vote.
    pub plan: Plan,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            away_after: 2_000 * MILLI,
            contact_lease: 2_500 * MILLI,
            complete_after: 400 * MILLI,
            round_within: 700 * MILLI,
            zone_within: 3_000 * MILLI,
            pause_max: 200 * MILLI,
            forget_after: 30_000 * MILLI,
            peers_max: 64,
            changes_max: 64,
            plan: Plan { replace_after: 2_000 * MILLI, remove_after: 6_000 * MILLI, voters_min: 1 },
        }
    }
}

/// A request to another replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Whom to ask.
    pub to: StoreMember,
    /// What.
    pub request: PeerRequest,
}

/// A change that waits for its round.
#[derive(Clone, Debug)]
struct Waiting {
    ticket: u64,
    change: Change,
    /// Nobody waits for it from then on, and it is not proposed any more.
    until: Micros,
}

/// One replica. Cloning it forks time.
#[derive(Clone, Debug)]
pub struct Replica {
    me: StoreMember,
    figures: Figures,
    /// Addresses of the stores that found the system, where it starts for the first time.
    founders: Vec<SocketAddr>,
    acceptor: Acceptor,
    peers: Peers,
    /// The latest proposal that is known to be decided, and its state.
    decided: Base,
    /// Trials that proxies may go by.
    trials: DurableTrials,
    /// Since when the accepted proposal has been undecided.
    undecided_since: Option<Micros>,
    round: Option<Round>,
    next_round_at: Micros,
    /// The highest round heard of.
    highest_round: u64,
    waiting: Vec<Waiting>,
    outcomes: BTreeMap<u64, (Micros, Proposed)>,
    next_ticket: u64,
    leaving: bool,
    /// A decision that is missing here, and who has it.
    behind: Option<(StoreMember, Ballot)>,
    /// Whether a round of this replica has decided something that others are to hear of.
    announces: bool,
    random: u64,
}

impl Replica {
    /// A replica with what its disk held. `founders` are the addresses of those that found the system, where its disk
    /// is as new as the system. `seed` is for pauses.
    pub fn new(
        me: StoreMember,
        record: Record,
        founders: Vec<SocketAddr>,
        figures: Figures,
        seed: u64,
    ) -> Self {
        let undecided = record.accepted > Ballot::ZERO;
        let mut replica = Replica {
            peers: Peers::new(me.clone(), figures.away_after, figures.peers_max),
            highest_round: record.promised.round,
            acceptor: Acceptor::new(me.clone(), record),
            me,
            figures,
            founders,
            decided: Base { ballot: Ballot::ZERO, state: State::default() },
            trials: DurableTrials::default(),
            undecided_since: undecided.then_some(0),
            round: None,
            next_round_at: 0,
            waiting: Vec::new(),
            outcomes: BTreeMap::new(),
            next_ticket: 1,
            leaving: false,
            behind: None,
            announces: false,
            random: seed | 1,
        };
        let known: Vec<StoreMember> = voters_of(replica.membership()).cloned().collect();
        replica.peers.told_of(0, &known);
        replica.found();
        replica
    }

    /// This replica.
    pub fn me(&self) -> &StoreMember {
        &self.me
    }

    /// What is on its disk.
    pub fn record(&self) -> &Record {
        self.acceptor.record()
    }

    /// The state that is known to be decided.
    pub fn state(&self) -> &State {
        &self.decided.state
    }

    /// Which replicas vote, by what is on disk here.
    pub fn membership(&self) -> &Membership {
        &self.record().state.membership
    }

    /// All replicas that are known, this one among them.
    pub fn members(&self) -> Vec<StoreMember> {
        self.peers.members()
    }

    /// How far it is.
    pub fn standing(&self) -> Standing {
        Standing { accepted: self.record().accepted, decided: self.decided.ballot, leaving: self.leaving }
    }

    /// Whether it knows of no decision: it speaks for nobody.
    pub fn recovering(&self) -> bool {
        self.decided.ballot == Ballot::ZERO
    }

    /// What is decided, in short.
    pub fn summary(&self) -> Summary {
        Summary { recovering: self.recovering(), ..self.decided.state.summary() }
    }

    /// Takes in which replicas others tell of. Tells whether any was new.
    pub fn told_of(&mut self, now: Micros, members: &[StoreMember]) -> bool {
        self.peers.told_of(now, members)
    }

    /// What it asks others regularly.
    pub fn exchange(&self) -> PeerRequest {
        PeerRequest::Exchange { from: self.me.clone(), standing: self.standing(), known: self.members() }
    }

    /// The process is to end: another replica takes its vote where one stands by.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether one that is to end has done what it can to hand its vote over.
    pub fn has_left(&self, now: Micros) -> bool {
        let settled = self.membership().previous.is_empty();
        !self.votes() || (settled && self.next_membership(now, &self.decided.state).is_none())
    }

    /// Whether it has a vote.
    pub fn votes(&self) -> bool {
        voters_of(self.membership()).any(|voter| *voter == self.me)
    }

    /// Answers another replica.
    pub fn handle(&mut self, now: Micros, request: PeerRequest, disk: &mut impl Disk) -> PeerAnswer {
        match request {
            PeerRequest::Exchange { from, standing, known } => {
                self.peers.told_of(now, &known);
                self.peers.told_of(now, std::slice::from_ref(&from));
                self.told_decision(now, &from, standing.decided);
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
                self.note_accepted(now);
                answer
            }
            PeerRequest::Fetch { ballot, have } => self.hand_over(ballot, &have),
        }
    }

    fn hand_over(&self, ballot: Ballot, have: &Summary) -> PeerAnswer {
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

    fn note_accepted(&mut self, now: Micros) {
        let undecided = self.record().accepted > self.decided.ballot;
        self.undecided_since = undecided.then(|| self.undecided_since.unwrap_or(now));
    }

    /// Takes in what another replica answered to what it was asked at `asked_at`.
    pub fn answered(
        &mut self,
        now: Micros,
        asked_at: Micros,
        answer: PeerAnswer,
        disk: &mut impl Disk,
    ) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        match answer {
            PeerAnswer::Exchanged { from, standing, known } => {
                self.peers.told_of(now, &known);
                self.heard(now, asked_at, &from, standing);
            }
            PeerAnswer::Promised { from, ballot, standing } => self.promised(ballot, from, standing),
            PeerAnswer::Accepted { from, ballot } => self.accepted(now, ballot, &from),
            PeerAnswer::Lacks { from, ballot, have } => outgoing.extend(self.complete(ballot, from, &have)),
            PeerAnswer::Refused { from, ballot, promised } => self.refused(now, ballot, &from, promised),
            PeerAnswer::Fetched { ballot, decided, transfer } => {
                if let Some(state) = self.record().state.with(transfer) {
                    self.fetched(now, ballot, decided, state, disk);
                }
            }
            PeerAnswer::Failed => {}
        }
        outgoing.extend(self.poll(now, disk));
        outgoing
    }

    fn heard(&mut self, now: Micros, asked_at: Micros, from: &StoreMember, standing: Standing) {
        self.peers.heard(asked_at, from, standing);
        self.highest_round = self.highest_round.max(standing.accepted.round);
        self.found();
        self.peers.watch_contact(now, &self.acceptor.record().state.membership);
        self.told_decision(now, from, standing.decided);
        let accepted = self.record().accepted;
        if accepted > self.decided.ballot && self.is_decided(now) {
            self.decide(now, accepted, self.record().state.clone());
        }
    }

    /// Another replica knows that a proposal is decided.
    fn told_decision(&mut self, now: Micros, from: &StoreMember, decided: Ballot) {
        let accepted = self.record().accepted;
        if decided > accepted {
            self.behind = Some((from.clone(), decided));
        } else if decided == accepted && accepted > self.decided.ballot {
            self.decide(now, accepted, self.record().state.clone());
        }
    }

    /// Asks for the decision that is missing here.
    fn catch_up(&mut self) -> Option<Outgoing> {
        let (to, ballot) = self.behind.take()?;
        let have = self.record().state.summary();
        (ballot > self.record().accepted)
            .then_some(Outgoing { to, request: PeerRequest::Fetch { ballot, have } })
    }

    /// Whether enough replicas say that they have accepted the same proposal.
    fn is_decided(&self, now: Micros) -> bool {
        let mut holders = self.peers.holders(self.record().accepted);
        holders.insert(self.me.disk);
        quorum::accepts(self.membership(), &holders, &self.silent(now))
    }

    fn silent(&self, now: Micros) -> Disks {
        let voters: Vec<StoreMember> = voters_of(self.membership()).cloned().collect();
        self.peers.silent(now, &voters, self.figures.away_after)
    }

    /// Founders begin with themselves as voters, once each of them is known.
    fn found(&mut self) {
        let record = self.record();
        if self.founders.is_empty() || record.accepted > Ballot::ZERO || !self.membership().voters.is_empty()
        {
            return;
        }
        let at = |addr: &SocketAddr| match self.me.addr == *addr {
            true => Some(self.me.clone()),
            false => self.peers.at(*addr).filter(|peer| peer.heard.is_some()).map(|peer| peer.member.clone()),
        };
        let Some(mut voters) = self.founders.iter().map(at).collect::<Option<Vec<StoreMember>>>() else {
            return;
        };
        voters.sort();
        voters.dedup();
        if voters.contains(&self.me) {
            let membership = Membership { epoch: 0, voters, previous: Vec::new() };
            self.acceptor.found(State { membership, ..State::default() });
        }
    }

    fn decide(&mut self, now: Micros, ballot: Ballot, state: State) {
        if ballot <= self.decided.ballot {
            return;
        }
        if state.trials.version() != self.trials.version() {
            self.trials.take(now, &state.trials);
        }
        self.decided = Base { ballot, state };
        self.undecided_since = None;
        self.note_accepted(now);
    }

    fn promised(&mut self, ballot: Ballot, member: StoreMember, standing: Standing) {
        if let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) {
            round.promises.insert(member.disk, Promise { member, standing });
        }
    }

    fn accepted(&mut self, now: Micros, ballot: Ballot, from: &StoreMember) {
        let silent = self.silent(now);
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else { return };
        let Phase::Accepting(proposal) = &mut round.phase else { return };
        proposal.accepted.insert(from.disk);
        if quorum::accepts(&proposal.state.membership, &proposal.accepted, &silent) {
            let state = proposal.state.clone();
            let outcomes = std::mem::take(&mut proposal.outcomes);
            self.round = None;
            self.announces = true;
            self.decide(now, ballot, state);
            self.resolve(now, outcomes);
        }
    }

    /// Whether others are to hear at once of what was decided; told once.
    pub fn take_announcement(&mut self) -> bool {
        std::mem::take(&mut self.announces)
    }

    fn resolve(&mut self, now: Micros, outcomes: Vec<(u64, Proposed)>) {
        for (ticket, outcome) in outcomes {
            self.waiting.retain(|waiting| waiting.ticket != ticket);
            self.outcomes.insert(ticket, (now, outcome));
        }
    }

    fn complete(&self, ballot: Ballot, to: StoreMember, have: &Summary) -> Option<Outgoing> {
        let round = self.round.as_ref().filter(|round| round.ballot == ballot)?;
        let Phase::Accepting(proposal) = &round.phase else { return None };
        let request = PeerRequest::Accept { ballot, transfer: proposal.state.transfer(have) };
        Some(Outgoing { to, request })
    }

    fn refused(&mut self, now: Micros, ballot: Ballot, from: &StoreMember, promised: Ballot) {
        self.highest_round = self.highest_round.max(promised.round);
        let silent = self.silent(now);
        let voters: Vec<StoreMember> = voters_of(self.membership()).cloned().collect();
        let lost = quorum::lost(&voters, self.peers.speakers());
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else { return };
        round.refused.insert(from.disk);
        if round.is_hopeless(&self.acceptor.record().state.membership, &lost, &silent) {
            self.give_up(now);
        }
    }

    fn fetched(&mut self, now: Micros, ballot: Ballot, decided: bool, state: State, disk: &mut impl Disk) {
        if decided && self.acceptor.learn(ballot, state.clone(), disk) {
            self.decide(now, ballot, state);
        } else if let Some(round) = &mut self.round {
            round.fetched = Some(Base { ballot, state });
        }
    }

    /// Ends a round without a decision. The next one begins after a pause by chance, so that one of several goes first.
    fn give_up(&mut self, now: Micros) {
        if let Some(round) = self.round.take() {
            self.acceptor.release(round.ballot);
        }
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.next_round_at = now + 20 * MILLI + self.random % self.figures.pause_max;
    }

    /// Asks for a change on behalf of a caller who waits until a moment. None where too many wait.
    pub fn propose(&mut self, now: Micros, change: Change, until: Micros) -> Option<u64> {
        if self.waiting.len() >= self.figures.changes_max {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        match self.holds_for_good(now, &change) {
            Some(outcome) => self.resolve(now, vec![(ticket, outcome)]),
            None => self.waiting.push(Waiting { ticket, change, until }),
        }
        Some(ticket)
    }

    /// What becomes of a change that the decided state answers once and for all. It is said only in contact with a majority.
    fn holds_for_good(&self, now: Micros, change: &Change) -> Option<Proposed> {
        let lasts = matches!(change, Change::Config(_) | Change::Proxies(_) | Change::TrialSteps(_));
        if !lasts || !self.is_in_contact(now) {
            return None;
        }
        let mut state = self.decided.state.clone();
        let outcome = state.apply(change);
        (state == self.decided.state).then_some(outcome)
    }

    /// What became of a change; told once.
    pub fn outcome(&mut self, ticket: u64) -> Option<Proposed> {
        self.outcomes.remove(&ticket).map(|(_, outcome)| outcome)
    }

    /// Nobody waits for a change any more.
    pub fn withdraw(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.outcomes.remove(&ticket);
    }

    /// Whether a round is under way or waited for: time matters.
    pub fn is_busy(&self) -> bool {
        let waits = self.round.is_some() || !self.waiting.is_empty();
        waits || self.undecided_since.is_some() || self.behind.is_some()
    }

    /// Does what is due as time passes.
    pub fn poll(&mut self, now: Micros, disk: &mut impl Disk) -> Vec<Outgoing> {
        self.waiting.retain(|waiting| now < waiting.until);
        let keep = self.figures.forget_after;
        self.outcomes.retain(|_, (at, _)| now < *at + keep);
        self.peers.watch_contact(now, &self.acceptor.record().state.membership);
        self.peers.forget(now, &self.acceptor.record().state.membership, keep);
        if self.round.as_ref().is_some_and(|round| self.is_late(now, round)) {
            self.give_up(now);
        }
        let mut outgoing: Vec<Outgoing> = self.catch_up().into_iter().collect();
        if self.round.is_none() && now >= self.next_round_at && self.wants_round(now) {
            outgoing.extend(self.begin(now, disk));
        } else {
            outgoing.extend(self.go_on(now, disk));
        }
        outgoing
    }

    fn is_late(&self, now: Micros, round: &Round) -> bool {
        let waits_for_zone = match &round.phase {
            Phase::Preparing => false,
            Phase::Accepting(proposal) => {
                quorum::has_majority(&proposal.state.membership.voters, &proposal.accepted)
            }
        };
        let within = if waits_for_zone { self.figures.zone_within } else { self.figures.round_within };
        now >= round.started_at + within
    }

    fn wants_round(&self, now: Micros) -> bool {
        if self.membership().voters.is_empty() {
            return false;
        }
        let undecided = self.undecided_since.is_some_and(|since| now >= since + self.figures.complete_after);
        let begins = self.record().accepted == Ballot::ZERO;
        let mine = self.is_first(now);
        !self.waiting.is_empty()
            || (undecided && self.votes())
            || (mine && (begins || !self.membership().previous.is_empty()))
            || ((mine || self.leaving) && self.next_membership(now, &self.decided.state).is_some())
    }

    /// Whether this is the first of the voters that are present: it sees to the membership.
    fn is_first(&self, now: Micros) -> bool {
        let mut present = self.membership().voters.iter().filter(|voter| self.peers.is_present(now, voter));
        present.next() == Some(&self.me)
    }

    fn next_membership(&self, now: Micros, state: &State) -> Option<Membership> {
        let (plan, me, standing) = (self.figures.plan, &self.me, self.standing());
        Planner { plan, now, me, standing, peers: &self.peers }.next(&state.membership)
    }

    fn others_of(&self, membership: &Membership) -> Vec<StoreMember> {
        let voters = askable(membership).into_iter();
        voters.filter(|voter| voter.addr != self.me.addr).collect()
    }

    fn begin(&mut self, now: Micros, disk: &mut impl Disk) -> Vec<Outgoing> {
        let ballot = Ballot { round: self.highest_round + 1, proposer: self.me.disk };
        self.highest_round = ballot.round;
        let standing = self.standing();
        // The ballot is on disk before anybody hears of it, so that none is used twice.
        let PeerAnswer::Promised { from, .. } = self.acceptor.prepare(now, ballot, standing, disk) else {
            self.give_up(now);
            return Vec::new();
        };
        let mut round = Round::new(ballot, now);
        round.asked = self.others_of(self.membership());
        let outgoing = ask(&round.asked, ballot);
        round.asked.push(self.me.clone());
        self.round = Some(round);
        self.promised(ballot, from, standing);
        outgoing.into_iter().chain(self.go_on(now, disk)).collect()
    }

    fn go_on(&mut self, now: Micros, disk: &mut impl Disk) -> Vec<Outgoing> {
        let Some(round) = self.round.as_mut().filter(|round| matches!(round.phase, Phase::Preparing)) else {
            return self.look_again(now);
        };
        let record = self.acceptor.record();
        let mine = Base { ballot: record.accepted, state: record.state.clone() };
        let peers = &self.peers;
        let lost = |voters: &[StoreMember]| quorum::lost(voters, peers.speakers());
        match round.step(&mine, lost) {
            Step::Wait => Vec::new(),
            Step::Ask(members) => ask(&members, round.ballot),
            Step::Fetch(to, ballot) => {
                let request = PeerRequest::Fetch { ballot, have: mine.state.summary() };
                vec![Outgoing { to, request }]
            }
            Step::Build(base) => self.build(now, base, disk),
        }
    }

    /// A proposal may be decided by what time has shown: a zone is away.
    fn look_again(&mut self, now: Micros) -> Vec<Outgoing> {
        if let Some(ballot) = self.round.as_ref().map(|round| round.ballot) {
            if self.record().accepted == ballot {
                let me = self.me.clone();
                self.accepted(now, ballot, &me);
            }
        }
        Vec::new()
    }

    /// Proposes the state that follows: what was promised, and all that waits.
    fn build(&mut self, now: Micros, base: Base, disk: &mut impl Disk) -> Vec<Outgoing> {
        let Some(round) = &mut self.round else { return Vec::new() };
        let told = round.promises.values().any(|promise| promise.standing.decided >= base.ballot);
        let decided = told || base.ballot <= self.decided.ballot;
        let ballot = round.ballot;
        let mut state = base.state.clone();
        let outcomes: Vec<(u64, Proposed)> =
            self.waiting.iter().map(|waiting| (waiting.ticket, state.apply(&waiting.change))).collect();
        if decided && !state.membership.previous.is_empty() {
            state.membership.previous = Vec::new();
        } else if let Some(next) = self.next_membership(now, &state) {
            state.membership = next;
        }
        if decided && state == base.state && base.ballot > Ballot::ZERO {
            self.round = None;
            if base.ballot > self.record().accepted {
                self.acceptor.learn(base.ballot, base.state.clone(), disk);
            }
            self.decide(now, base.ballot, base.state);
            self.resolve(now, outcomes);
            return Vec::new();
        }
        self.offer(now, ballot, base, state, outcomes, disk)
    }

    fn offer(
        &mut self,
        now: Micros,
        ballot: Ballot,
        base: Base,
        state: State,
        outcomes: Vec<(u64, Proposed)>,
        disk: &mut impl Disk,
    ) -> Vec<Outgoing> {
        let own = self.acceptor.accept(ballot, state.transfer_from(&self.record().state), disk);
        self.note_accepted(now);
        let outgoing = self.others_of(&state.membership).into_iter().map(|to| {
            let known = self.peers.get(&to.name).and_then(|peer| peer.heard);
            // Whoever has something else says what it lacks.
            let has_base = known.is_some_and(|heard| heard.standing.accepted == base.ballot);
            let transfer = match has_base {
                true => state.transfer_from(&base.state),
                false => state.transfer(&Summary::default()),
            };
            let request = PeerRequest::Accept { ballot, transfer };
            Outgoing { to, request }
        });
        let outgoing = outgoing.collect();
        if let Some(round) = &mut self.round {
            round.refused.clear();
            round.phase = Phase::Accepting(Proposal { state, accepted: Disks::new(), outcomes });
        }
        if let PeerAnswer::Accepted { from, .. } = own {
            self.accepted(now, ballot, &from);
        }
        outgoing
    }

    /// Whether a majority has been heard within the lease.
    pub fn is_in_contact(&self, now: Micros) -> bool {
        let as_of = self.current_as_of(now);
        as_of.is_some_and(|moment| now < moment + self.figures.contact_lease)
    }

    /// The latest moment at which nothing newer than what is decided here can have been decided anywhere.
    ///
    /// Invariant *contact*: a majority of the voters was asked since, and none of it had accepted anything newer.
    pub fn current_as_of(&self, now: Micros) -> Option<Micros> {
        if self.recovering() {
            return None;
        }
        let membership = &self.decided.state.membership;
        let of_previous = if membership.previous.is_empty() {
            Some(now)
        } else {
            self.heard_since(now, &membership.previous)
        };
        Some(self.heard_since(now, &membership.voters)?.min(of_previous?))
    }

    fn heard_since(&self, now: Micros, voters: &[StoreMember]) -> Option<Micros> {
        let mut times: Vec<Micros> = voters.iter().filter_map(|voter| self.agreed_at(now, voter)).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(quorum::majority(voters.len()) - 1).copied()
    }

    /// When a voter was asked that had accepted nothing newer than what is decided here.
    fn agreed_at(&self, now: Micros, voter: &StoreMember) -> Option<Micros> {
        if *voter == self.me {
            return (self.record().accepted <= self.decided.ballot).then_some(now);
        }
        let heard = self.peers.get(&voter.name).filter(|peer| peer.member == *voter)?.heard?;
        (heard.standing.accepted <= self.decided.ballot).then_some(heard.asked_at)
    }

    /// Whether so many replicas have been asked since a moment that nothing decided can be missing here.
    pub fn is_current_since(&self, now: Micros, since: Micros) -> bool {
        self.current_as_of(now).is_some_and(|moment| moment >= since)
    }

    /// What is in force, to be told to a registry that has some of it.
    pub fn news(&mut self, now: Micros, have: &Summary) -> StoreNews {
        let state = &self.decided.state;
        let summary = self.summary();
        let newer = state.config.as_ref().filter(|config| Some(config.version) != have.config);
        let config = newer.map(|config| config.as_ref().clone());
        let proxies = (summary.proxies != have.proxies).then(|| state.proxies.as_ref().clone());
        let trials = (summary.trials != have.trials).then(|| self.trials.news(now));
        let fresh_age = self.current_as_of(now).map(|at| now.saturating_sub(at) / MILLI + 1);
        StoreNews { summary, config, proxies, trials, fresh_age }
    }
}

fn ask(members: &[StoreMember], ballot: Ballot) -> Vec<Outgoing> {
    let ask = |to: &StoreMember| Outgoing { to: to.clone(), request: PeerRequest::Prepare { ballot } };
    members.iter().map(ask).collect()
}

//! Quorum leases on shares of a common resource.
//!
//! # The protocol
//! The gateways `0..n` have one vote each, the counter has `w`. A gateway's *contact* with a voter is the time
//! at which it sent the latest heartbeat that the voter has acknowledged. Each acknowledgement carries the
//! voter's list of absent gateways: those without a new heartbeat for `absence_timeout`.
//!
//! 1. A voter counts for a gateway while its contact is younger than `lease`, once this has been so without a
//!    gap for `warm_up` since the first acknowledgement. A gateway counts for itself. It *holds* the lease
//!    while more than half of all votes count.
//! 2. A gateway without the lease uses only `reserved_fraction` of its own share.
//! 3. A gateway with the lease uses its own share, and `1 - reserved_fraction` of the shares of the gateways
//!    that all counting voters and it itself list as absent, divided by the number of gateways not so listed.
//!
//! # Safety
//! With `absence_timeout >= lease` and `warm_up >= lease`, the total in use never exceeds the whole, for any
//! number of gateways, with views of any age, under message loss, delay, stalls and restarts.
//!
//! *Nobody uses more than `reserved_fraction` of a share that another gateway has taken over.* Let `i` hold the
//! lease and list `j`, and assume that `j` holds it as well. Two majorities have a voter `x` in common. (a) `j`
//! has held without a gap since the last heartbeat that `x` acknowledged before listing `j`: `x` received it no
//! earlier than it was sent, and listed `j` at least `absence_timeout` later, when the contact was `lease` old:
//! `x` no longer counts for `j`. (b) `x` received a new heartbeat of `j` after listing it: later
//! acknowledgements to `i` do not list `j`, and earlier ones answer heartbeats of `i` sent before, which by
//! rule 1 count for at most `lease` from then on. `j` counts `x` no earlier than `warm_up` after it knew of the
//! acknowledgement. So `j` does not hold; it uses `reserved_fraction`, and takers use `1 - reserved_fraction`.
//!
//! *A leave message* is sent by an instance that no longer holds from then on, whatever its contacts (it uses
//! `reserved_fraction` until it ends). Voters list it at once. In (a) it has not held since it left, and a
//! later instance sends a new heartbeat (b).
//!
//! *Takers divide what is taken over.* By the above, a gateway that holds is listed by no gateway that holds.
//! So the takers are among the gateways that none of them lists, and the taken shares are divided by the number
//! of these.
//!
//! *Two processes with the same number*, by mistake or while one is stalled, are one gateway to all others. The
//! older one uses nothing once it has learned of the newer. Until then it uses at most `reserved_fraction` of
//! the share, because a voter that has heard the newer one acknowledges no other: the whole is exceeded by at
//! most `reserved_fraction / n`, and by the rest of the share for `lease` if the older one held the lease until
//! then.
//!
//! The clocks of gateways need not agree but must run at the same rate; in practice `lease` is shorter than the two
//! other timeouts by a margin. The counter receives a heartbeat when a gateway increments its mark for a time slot,
//! and lists every gateway without a mark in the latest slots; see `hingestage_fleet::roll_call` for the margins.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A voter that acknowledges heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Voter {
    /// Another gateway.
    Gateway(u32),
    /// The shared counter, by the heartbeat marks on it.
    Counter,
}

/// Protocol parameters. They must be equal on all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Number of gateways that the resource is divided among; one vote each.
    pub gateways: u32,
    /// Votes of the counter.
    pub counter_votes: u32,
    /// Maximum age of a contact that counts, µs.
    pub lease: Micros,
    /// Time without a heartbeat after which a voter lists a gateway as absent, µs.
    pub absence_timeout: Micros,
    /// Time without a gap in contact before a voter counts, µs.
    pub warm_up: Micros,
    /// Fraction of its own share that a gateway may use without the lease, 0 to 1.
    pub reserved_fraction: f64,
}

impl LeaseConfig {
    /// Smallest number of votes that is a majority.
    pub fn quorum(&self) -> u32 {
        (self.gateways + self.counter_votes) / 2 + 1
    }
}

/// A share of the common resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Fraction of the whole, 0 to 1.
    pub fraction: f64,
    /// Time from which the share must be computed anew, since it may have shrunk.
    pub valid_until: Micros,
    /// Version of the view it was computed from.
    pub view_version: u64,
}

/// A gateway's view of its lease, from which its share of any resource is computed.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseView {
    /// Version, incremented with each change of a field other than `valid_until`.
    pub version: u64,
    /// Number of this gateway.
    pub me: u32,
    /// Number of gateways that the resource is divided among.
    pub gateways: u32,
    /// Fraction of its own share usable without the lease; 0 for a superseded instance.
    pub reserved_fraction: f64,
    /// Whether this gateway holds the lease.
    pub holds_lease: bool,
    /// Gateways whose shares may be taken over; empty without the lease.
    pub absent: BTreeSet<u32>,
    /// Expiry of the lease, unless a later view extends it.
    pub valid_until: Micros,
}

impl LeaseView {
    /// Whether both views have the same version; they may differ in expiry.
    pub fn same_version(&self, other: &LeaseView) -> bool {
        self.version == other.version
    }

    /// Gateways not listed as absent.
    pub fn live_gateways(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.gateways).filter(|gateway| !self.absent.contains(gateway))
    }

    /// This gateway's share of a resource divided evenly among `spread` gateways, starting with `first`.
    pub fn share(&self, now: Micros, first: u32, spread: u32) -> Share {
        let fraction =
            self.share_multiple(now, first, spread) / f64::from(spread.clamp(1, self.gateways.max(1)));
        Share { fraction, valid_until: self.valid_until, view_version: self.version }
    }

    /// The share as a multiple of the even share. A gateway outside the set has no share of its own, but takes
    /// part in the takeover if the whole set is absent.
    pub fn share_multiple(&self, now: Micros, first: u32, spread: u32) -> f64 {
        let all = self.gateways.max(1);
        let spread = spread.clamp(1, all);
        let member = (self.me + all - first % all) % all < spread;
        let gone = match self.absent.is_empty() {
            true => 0,
            false => (0..spread).filter(|n| self.absent.contains(&((first + n) % all))).count() as u32,
        };
        self.share_multiple_of_set(now, member, spread, gone)
    }

    /// The same for any set that all gateways agree on: `member` tells whether this gateway belongs to it,
    /// `spread` is the size of the set, and `gone` the number of its absent members.
    pub fn share_multiple_of_set(&self, now: Micros, member: bool, spread: u32, gone: u32) -> f64 {
        if !self.holds_lease || now >= self.valid_until {
            return if member { self.reserved_fraction } else { 0.0 };
        }
        let all = self.gateways.max(1);
        let taken_over = (1.0 - self.reserved_fraction) * f64::from(gone);
        match (member, spread - gone) {
            (true, present @ 1..) => 1.0 + taken_over / f64::from(present),
            (false, 0) => taken_over / f64::from(all - self.absent.len() as u32),
            _ => 0.0,
        }
    }
}

/// State of a lease, for status reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Held, with this number of votes.
    Held(u32),
    /// Not held: only the reserved fraction may be used. Carries the number of votes that count.
    NotHeld(u32),
    /// A newer instance of this gateway exists; this one never holds the lease again.
    Superseded,
}

/// The latest acknowledgement of a voter.
#[derive(Clone)]
struct Contact {
    /// When the acknowledged heartbeat was sent.
    issued: Micros,
    /// Start of the current period of contact without a gap.
    since: Micros,
    absent: BTreeSet<u32>,
}

/// One gateway's lease on its share and on those of absent gateways.
#[derive(Clone)]
pub struct Lease {
    me: u32,
    config: LeaseConfig,
    contacts: BTreeMap<Voter, Contact>,
    superseded: bool,
    released: bool,
    /// Version and content of the latest view.
    version: u64,
    last_view: (bool, f64, BTreeSet<u32>),
}

impl Lease {
    /// Creates the lease of a gateway that has just started. Contacts never outlive a restart.
    pub fn new(me: u32, config: LeaseConfig) -> Lease {
        let (contacts, last_view) = (BTreeMap::new(), (false, config.reserved_fraction, BTreeSet::new()));
        Lease { me, config, contacts, superseded: false, released: false, version: 0, last_view }
    }

    /// Records that a voter acknowledged a heartbeat sent at `issued`, with the voter's list of absent
    /// gateways. Contact starts now, on receipt, since the time at which the voter received the heartbeat is
    /// unknown.
    pub fn record_ack(&mut self, now: Micros, voter: Voter, issued: Micros, absent: BTreeSet<u32>) {
        let known =
            matches!(voter, Voter::Counter) || matches!(voter, Voter::Gateway(n) if n < self.config.gateways);
        if !known || voter == Voter::Gateway(self.me) {
            return;
        }
        let since = match self.contacts.get(&voter) {
            // Acknowledgements may be reordered; ignore an older one.
            Some(last) if issued < last.issued => return,
            Some(last) if issued < last.issued + self.config.lease => last.since,
            _ => now,
        };
        self.contacts.insert(voter, Contact { issued, since, absent });
    }

    /// A newer instance of this gateway exists: this one never holds the lease again.
    pub fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Gives up the lease before a shutdown: only the reserved fraction is used from now on.
    pub fn release(&mut self) {
        self.released = true;
    }

    /// Contacts that count now.
    fn counting(&self, now: Micros) -> impl Iterator<Item = (&Voter, &Contact)> {
        let LeaseConfig { lease, warm_up, .. } = self.config;
        self.contacts
            .iter()
            .filter(move |(_, contact)| contact.issued + lease > now && contact.since + warm_up <= now)
    }

    fn votes(&self, now: Micros) -> u32 {
        let weight = |voter: &Voter| match voter {
            Voter::Gateway(_) => 1,
            Voter::Counter => self.config.counter_votes,
        };
        1 + self.counting(now).map(|(voter, _)| weight(voter)).sum::<u32>()
    }

    /// State of the lease.
    pub fn state(&self, now: Micros) -> LeaseState {
        let votes = self.votes(now);
        match (self.superseded, votes >= self.config.quorum() && !self.released) {
            (true, _) => LeaseState::Superseded,
            (_, true) => LeaseState::Held(votes),
            (_, false) => LeaseState::NotHeld(votes),
        }
    }

    /// Gateways whose shares may be taken over; `unheard` are those that this gateway itself lists as absent.
    fn absent(&self, now: Micros, unheard: &BTreeSet<u32>) -> BTreeSet<u32> {
        let mut absent = unheard.clone();
        absent.remove(&self.me);
        for (_, contact) in self.counting(now) {
            absent.retain(|gateway| contact.absent.contains(gateway));
        }
        absent
    }

    /// The current view; `unheard` are the gateways that this gateway itself lists as absent.
    pub fn view(&mut self, now: Micros, unheard: &BTreeSet<u32>) -> LeaseView {
        let holds_lease = matches!(self.state(now), LeaseState::Held(_));
        let absent = if holds_lease { self.absent(now, unheard) } else { BTreeSet::new() };
        let reserved_fraction = if self.superseded { 0.0 } else { self.config.reserved_fraction };
        let current = (holds_lease, reserved_fraction, absent);
        if self.last_view != current {
            (self.version, self.last_view) = (self.version + 1, current.clone());
        }
        let (holds_lease, reserved_fraction, absent) = current;
        let LeaseConfig { gateways, .. } = self.config;
        LeaseView {
            version: self.version,
            me: self.me,
            gateways,
            reserved_fraction,
            holds_lease,
            absent,
            valid_until: self.earliest_expiry(now),
        }
    }

    /// Earliest expiry of the contacts that count. A single gateway holds the lease forever.
    fn earliest_expiry(&self, now: Micros) -> Micros {
        let default = if self.config.quorum() == 1 { Micros::MAX } else { now };
        self.counting(now).map(|(_, contact)| contact.issued + self.config.lease).min().unwrap_or(default)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;
    const CONFIG: LeaseConfig = LeaseConfig {
        gateways: 10,
        counter_votes: 5,
        lease: 2 * S,
        absence_timeout: 3 * S,
        warm_up: 3 * S,
        reserved_fraction: 0.5,
    };

    fn set(members: impl IntoIterator<Item = u32>) -> BTreeSet<u32> {
        members.into_iter().collect()
    }

    /// A lease of gateway 0 with 4 s of contact with `voters`, which list `absent`.
    fn lease(voters: &[Voter], absent: &[u32]) -> Lease {
        let mut lease = Lease::new(0, CONFIG);
        for second in 0..5 {
            voters.iter().for_each(|voter| {
                lease.record_ack(second * S, *voter, second * S, set(absent.iter().copied()))
            });
        }
        lease
    }

    fn gateways(range: std::ops::Range<u32>) -> Vec<Voter> {
        range.map(Voter::Gateway).collect()
    }

    #[test]
    fn lease_is_held_by_a_majority_of_votes() {
        assert_eq!(CONFIG.quorum(), 8);
        for (voters, expected) in [
            (gateways(1..8), LeaseState::Held(8)),
            (gateways(1..7), LeaseState::NotHeld(7)),
            (vec![Voter::Counter, Voter::Gateway(1), Voter::Gateway(2)], LeaseState::Held(8)),
            (vec![Voter::Counter, Voter::Gateway(1)], LeaseState::NotHeld(7)),
            (vec![], LeaseState::NotHeld(1)),
            (vec![Voter::Counter, Voter::Gateway(0), Voter::Gateway(77)], LeaseState::NotHeld(6)),
        ] {
            assert_eq!(lease(&voters, &[]).state(4 * S), expected, "{voters:?}");
        }
    }

    #[test]
    fn voter_counts_after_warm_up_and_until_its_contact_expires() {
        let mut lease = Lease::new(0, LeaseConfig { gateways: 2, counter_votes: 0, ..CONFIG });
        let other = Voter::Gateway(1);
        let holds = |lease: &Lease, at| matches!(lease.state(at), LeaseState::Held(_));
        for second in 0..4 {
            lease.record_ack(second * S, other, second * S, set([]));
        }
        assert!(!holds(&lease, 3 * S - 1) && holds(&lease, 3 * S));
        assert!(holds(&lease, 5 * S - 1) && !holds(&lease, 5 * S));
        lease.record_ack(5 * S, other, 5 * S, set([]));
        assert!(!holds(&lease, 5 * S), "a gap as long as the lease restarts the warm-up");
        (6..9).for_each(|second| lease.record_ack(second * S, other, second * S, set([])));
        assert!(!holds(&lease, 8 * S - 1) && holds(&lease, 8 * S));
    }

    #[test]
    fn warm_up_starts_when_a_delayed_acknowledgement_arrives() {
        let mut lease = Lease::new(0, LeaseConfig { gateways: 2, counter_votes: 0, ..CONFIG });
        let other = Voter::Gateway(1);
        // Sent at 0 and delayed by 1.5 s: the voter may have listed this gateway as absent until then.
        lease.record_ack(3 * S / 2, other, 0, set([]));
        (1..5).for_each(|second| lease.record_ack(3 * S / 2 + second, other, second * S, set([])));
        assert_eq!(lease.state(4 * S), LeaseState::NotHeld(1));
        assert_eq!(lease.state(9 * S / 2), LeaseState::Held(2));
    }

    #[test]
    fn reordered_older_acknowledgement_is_ignored() {
        let mut lease = lease(&gateways(1..8), &[9]);
        lease.record_ack(4 * S, Voter::Gateway(1), 3 * S, set([8, 9]));
        assert_eq!(lease.absent(4 * S, &set([8, 9])), set([9]));
    }

    #[test]
    fn shares_of_unanimously_absent_gateways_are_taken_over_and_divided() {
        let voters = [Voter::Counter, Voter::Gateway(1), Voter::Gateway(2)];
        let gone: Vec<u32> = (3..10).collect();
        let unheard = set(gone.iter().copied());
        let mut all = lease(&voters, &gone);
        let share = all.view(4 * S, &unheard).share(4 * S, 0, 10);
        assert!((share.fraction - (0.1 + 0.05 * 7.0 / 3.0)).abs() < 1e-12);
        assert_eq!(share.valid_until, 6 * S);
        // Sets without this gateway: all members absent, one member present, and with the lease expired.
        assert!((all.view(4 * S, &unheard).share(4 * S, 5, 2).fraction - 0.5 / 3.0).abs() < 1e-12);
        assert_eq!(all.view(4 * S, &unheard).share(4 * S, 2, 2).fraction, 0.0);
        assert_eq!(all.view(9 * S, &unheard).share(9 * S, 5, 2).fraction, 0.0);
        // A set of this gateway and one absent gateway.
        assert!((all.view(4 * S, &unheard).share(4 * S, 9, 2).fraction - 0.75).abs() < 1e-12);
        // Nothing is taken from a gateway that this one, or any voter, has heard.
        assert!((all.view(4 * S, &set([9])).share(4 * S, 0, 10).fraction - (0.1 + 0.05 / 9.0)).abs() < 1e-12);
        all.record_ack(4 * S, Voter::Gateway(2), 4 * S, set([9]));
        assert!((all.view(4 * S, &unheard).share(4 * S, 0, 10).fraction - (0.1 + 0.05 / 9.0)).abs() < 1e-12);
    }

    #[test]
    fn without_a_quorum_only_the_reserve_is_used_and_nothing_once_superseded() {
        let mut few = lease(&gateways(1..4), &[9]);
        assert_eq!(few.view(4 * S, &set([9])).share(4 * S, 0, 10).fraction, 0.05);
        let mut old = lease(&gateways(1..10), &[]);
        assert_eq!(old.view(4 * S, &set([])).share(4 * S, 0, 10).fraction, 0.1);
        old.supersede();
        assert_eq!(
            (old.state(4 * S), old.view(4 * S, &set([])).share(4 * S, 0, 10).fraction),
            (LeaseState::Superseded, 0.0)
        );
    }

    #[test]
    fn after_release_only_the_reserve_is_used_despite_acknowledgements() {
        let mut leaving = lease(&gateways(1..10), &[9]);
        assert!(leaving.view(4 * S, &set([9])).share(4 * S, 0, 10).fraction > 0.1);
        leaving.release();
        assert_eq!(leaving.view(4 * S, &set([9])).share(4 * S, 0, 10).fraction, 0.05);
        assert_eq!(leaving.state(4 * S), LeaseState::NotHeld(10));
    }

    #[test]
    fn view_version_changes_only_with_its_content() {
        let mut lease = lease(&gateways(1..10), &[9]);
        let first = lease.view(4 * S, &set([])).share(4 * S, 0, 10).view_version;
        assert_eq!(lease.view(4 * S, &set([])).share(4 * S, 3, 2).view_version, first);
        assert_eq!(lease.view(4 * S, &set([9])).share(4 * S, 0, 10).view_version, first + 1);
        assert_eq!(lease.view(9 * S, &set([9])).share(9 * S, 0, 10).view_version, first + 2);
    }

    #[test]
    fn single_gateway_holds_the_lease_by_its_own_vote() {
        let alone = LeaseConfig { gateways: 1, counter_votes: 0, ..CONFIG };
        assert_eq!(Lease::new(0, alone).view(0, &set([])).share(0, 0, 1).fraction, 1.0);
    }
}

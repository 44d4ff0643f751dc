//! The sending side: picks the owner of each name, batches increments for it and resolves those without a reply.
//!
//! Each call ends exactly once: with a total, as not delivered (then the counter itself is called) or as timed out.
//! An increment that may have been delivered is never sent again. A peer that does not reply is suspended with
//! exponential backoff.

use crate::message::{Increment, Reply, MAX_BATCH};
use crate::{owner, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Prefix of names that grant from a ceiling. Their totals must never be too low, so they bypass the owners.
const GRANT_PREFIX: char = '^';
/// Concurrent batches to one peer: an owner that waits for the counter does not delay other names.
const MAX_IN_FLIGHT: usize = 3;
/// Queued increments per peer; more go to the counter.
const MAX_QUEUE: usize = 256;
/// First suspension of a peer that did not reply, µs; doubles with each further failure.
const MIN_SUSPENSION: Micros = 1_000_000;
/// Longest suspension, µs.
const MAX_SUSPENSION: Micros = 16_000_000;

/// Where a call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// This gateway owns the name.
    Local,
    /// Queued for the next batch to this peer.
    Peer(u32),
    /// The counter itself.
    Counter,
}

/// How the sending of a batch ended.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutcome {
    /// The owner replied.
    Replied(Vec<Reply>),
    /// It was never sent.
    NotSent,
    /// No valid reply in time.
    NoReply,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// Added; the new total.
    Total(f64),
    /// Not added; the caller must use the counter itself.
    Counter,
    /// Unknown whether it was added.
    Timeout,
}

#[derive(Default)]
struct Peer {
    queue: VecDeque<Increment>,
    in_flight: usize,
    suspended_until: Micros,
    /// Consecutive failed batches.
    failures: u32,
}

/// Queues and suspensions of one gateway's peers.
pub struct Forwarder {
    me: u32,
    peers: BTreeMap<u32, Peer>,
}

impl Forwarder {
    /// Creates a forwarder to these peers; `me` is left out.
    pub fn new(me: u32, peers: impl Iterator<Item = u32>) -> Forwarder {
        let peers = peers.filter(|peer| *peer != me).map(|peer| (peer, Peer::default())).collect();
        Forwarder { me, peers }
    }

    /// Picks the destination of a call and queues it if a peer owns it.
    pub fn route(&mut self, now: Micros, increment: &Increment, is_alive: impl Fn(u32) -> bool) -> Route {
        if increment.name.starts_with(GRANT_PREFIX) {
            return Route::Counter;
        }
        let available = self.peers.iter().filter(|(n, peer)| now >= peer.suspended_until && is_alive(**n));
        let candidates = available.map(|(number, _)| *number).chain([self.me]);
        let Some(number) = owner(&increment.name, candidates).filter(|number| *number != self.me) else {
            return Route::Local;
        };
        match self.peers.get_mut(&number).filter(|peer| peer.queue.len() < MAX_QUEUE) {
            Some(peer) => {
                peer.queue.push_back(increment.clone());
                Route::Peer(number)
            }
            None => Route::Counter,
        }
    }

    /// The next batch for a peer, if one may be sent now.
    pub fn next_batch(&mut self, to: u32) -> Option<Vec<Increment>> {
        let peer = self
            .peers
            .get_mut(&to)
            .filter(|peer| peer.in_flight < MAX_IN_FLIGHT && !peer.queue.is_empty())?;
        peer.in_flight += 1;
        let count = peer.queue.len().min(MAX_BATCH);
        Some(peer.queue.drain(..count).collect())
    }

    /// Resolves a finished batch. On failure the increments still queued for that peer go to the counter.
    pub fn batch_finished(
        &mut self,
        now: Micros,
        to: u32,
        increments: Vec<Increment>,
        outcome: BatchOutcome,
    ) -> Vec<(Increment, CallOutcome)> {
        let Some(peer) = self.peers.get_mut(&to) else { return Vec::new() };
        peer.in_flight = peer.in_flight.saturating_sub(1);
        let call_outcome = match outcome {
            BatchOutcome::Replied(replies) if replies.len() == increments.len() => {
                peer.failures = 0;
                return increments.into_iter().zip(replies.into_iter().map(CallOutcome::from)).collect();
            }
            BatchOutcome::NotSent => CallOutcome::Counter,
            _ => CallOutcome::Timeout,
        };
        // Batches that fail together count as one failure.
        if now >= peer.suspended_until {
            let suspension = MIN_SUSPENSION.saturating_mul(1 << peer.failures.min(8)).min(MAX_SUSPENSION);
            (peer.suspended_until, peer.failures) = (now + suspension, peer.failures + 1);
        }
        let queued =
            std::mem::take(&mut peer.queue).into_iter().map(|increment| (increment, CallOutcome::Counter));
        increments.into_iter().map(|increment| (increment, call_outcome)).chain(queued).collect()
    }

    /// Peers that are suspended now.
    pub fn suspended_peers(&self, now: Micros) -> Vec<u32> {
        let suspended = self.peers.iter().filter(|(_, peer)| now < peer.suspended_until);
        suspended.map(|(number, _)| *number).collect()
    }
}

impl From<Reply> for CallOutcome {
    fn from(reply: Reply) -> CallOutcome {
        match reply {
            Reply::Total(total) => CallOutcome::Total(total),
            Reply::Declined => CallOutcome::Counter,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn increment(n: usize) -> Increment {
        Increment { name: format!("acc{n}.1"), amount: 1.0, ttl_ms: 1_000 }
    }

    /// The first name that `to` owns when all gateways are alive.
    fn name_of(to: u32) -> Increment {
        (0..).map(increment).find(|increment| owner(&increment.name, 0..4) == Some(to)).unwrap()
    }

    fn forwarder() -> Forwarder {
        Forwarder::new(0, 0..4)
    }

    #[test]
    fn each_name_has_one_owner_among_live_gateways() {
        let mut forwarder = forwarder();
        for n in 0..200 {
            let increment = increment(n);
            let wanted = match owner(&increment.name, [0, 1, 3].into_iter()) {
                Some(0) => Route::Local,
                other => Route::Peer(other.unwrap()),
            };
            assert_eq!(forwarder.route(S, &increment, |g| g != 2), wanted);
        }
        assert_eq!(Forwarder::new(0, [].into_iter()).route(S, &increment(1), |_| true), Route::Local);
    }

    #[test]
    fn grants_from_a_ceiling_go_to_the_counter() {
        let (mut forwarder, mut lone) = (forwarder(), Forwarder::new(0, [].into_iter()));
        for n in 0..50 {
            let increment = Increment { name: format!("^{}", increment(n).name), ..increment(n) };
            assert_eq!(forwarder.route(S, &increment, |_| true), Route::Counter);
            assert_eq!(lone.route(S, &increment, |_| true), Route::Counter);
        }
    }

    #[test]
    fn batches_drain_the_queue_within_the_in_flight_limit() {
        let mut forwarder = forwarder();
        let increment = name_of(2);
        assert_eq!(forwarder.next_batch(2), None);
        (0..70).for_each(|_| assert_eq!(forwarder.route(S, &increment, |_| true), Route::Peer(2)));
        assert_eq!(forwarder.next_batch(2).unwrap().len(), MAX_BATCH);
        assert_eq!(forwarder.next_batch(2).unwrap().len(), 6);
        for _ in 0..2 {
            forwarder.route(S, &increment, |_| true);
            let third = forwarder.next_batch(2);
            assert!(third.is_some() || forwarder.peers[&2].in_flight == MAX_IN_FLIGHT);
        }
        assert_eq!(forwarder.next_batch(2), None, "a fourth batch has to wait");
        let replies = vec![Reply::Total(1.0); 6];
        let ended =
            forwarder.batch_finished(S, 2, vec![increment.clone(); 6], BatchOutcome::Replied(replies));
        assert!(
            ended.iter().all(|(_, call_outcome)| *call_outcome == CallOutcome::Total(1.0))
                && ended.len() == 6
        );
        assert_eq!(forwarder.next_batch(2).unwrap().len(), 1);
        for _ in 0..MAX_QUEUE {
            forwarder.route(S, &increment, |_| true);
        }
        assert_eq!(forwarder.route(S, &increment, |_| true), Route::Counter, "the queue is full");
    }

    #[test]
    fn possibly_delivered_increments_are_not_resent() {
        let mut forwarder = forwarder();
        let increment = name_of(1);
        for (outcome, wanted) in
            [(BatchOutcome::NotSent, CallOutcome::Counter), (BatchOutcome::NoReply, CallOutcome::Timeout)]
        {
            forwarder.route(S, &increment, |_| true);
            let sent = forwarder.next_batch(1).unwrap();
            forwarder.route(S, &increment, |_| true);
            let ended = forwarder.batch_finished(S, 1, sent, outcome);
            assert_eq!(ended, [(increment.clone(), wanted), (increment.clone(), CallOutcome::Counter)]);
            forwarder.peers.get_mut(&1).unwrap().suspended_until = 0;
        }
        forwarder.route(S, &increment, |_| true);
        let sent = forwarder.next_batch(1).unwrap();
        let short = forwarder.batch_finished(S, 1, sent, BatchOutcome::Replied(vec![]));
        assert_eq!(
            short,
            [(increment.clone(), CallOutcome::Timeout)],
            "a reply of the wrong length is no reply"
        );
        forwarder.peers.get_mut(&1).unwrap().suspended_until = 0;
        forwarder.route(S, &increment, |_| true);
        let sent = forwarder.next_batch(1).unwrap();
        let ended = forwarder.batch_finished(S, 1, sent, BatchOutcome::Replied(vec![Reply::Declined]));
        assert_eq!(ended, [(increment, CallOutcome::Counter)]);
    }

    #[test]
    fn unresponsive_peer_is_suspended_with_backoff_and_retried() {
        let mut forwarder = forwarder();
        let increment = name_of(3);
        let mut now = S;
        for span in [1, 2, 4, 8, 16, 16] {
            assert_eq!(forwarder.route(now, &increment, |_| true), Route::Peer(3));
            let first = forwarder.next_batch(3).unwrap();
            forwarder.route(now, &increment, |_| true);
            let second = forwarder.next_batch(3).unwrap();
            forwarder.batch_finished(now, 3, first, BatchOutcome::NoReply);
            forwarder.batch_finished(now, 3, second, BatchOutcome::NoReply);
            assert_ne!(forwarder.route(now + span * S - 1, &increment, |_| true), Route::Peer(3));
            assert_eq!(forwarder.suspended_peers(now), [3]);
            now += span * S;
        }
        forwarder.route(now, &increment, |_| true);
        let sent = forwarder.next_batch(3).unwrap();
        forwarder.batch_finished(now, 3, sent, BatchOutcome::Replied(vec![Reply::Total(1.0)]));
        forwarder.route(now, &increment, |_| true);
        let sent = forwarder.next_batch(3).unwrap();
        forwarder.batch_finished(now, 3, sent, BatchOutcome::NotSent);
        assert_eq!(
            forwarder.route(now + S, &increment, |_| true),
            Route::Peer(3),
            "a reply resets the backoff"
        );
    }
}

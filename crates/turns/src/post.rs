//! The sending side: picks the owner of each name, batches increments for it and resolves those without a reply.
//!
//! Each call ends exactly once: with a total, as not delivered (then the counter itself is called) or as timed out.
//! An increment that may have been delivered is never sent again. A peer that does not reply is suspended with
//! exponential backoff.

use crate::word::{Said, Told, NAMES};
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
    Here,
    /// Queued for the next batch to this peer.
    To(u32),
    /// The counter itself.
    Counter,
}

/// How the sending of a batch ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// The owner replied.
    Answered(Vec<Said>),
    /// It was never sent.
    NeverSent,
    /// No valid reply in time.
    Unanswered,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// Added; the new total.
    Total(f64),
    /// Not added; the caller must use the counter itself.
    Counter,
    /// Unknown whether it was added.
    Timeout,
}

#[derive(Default)]
struct Peer {
    queue: VecDeque<Told>,
    in_flight: usize,
    suspended_until: Micros,
    /// Consecutive failed batches.
    failures: u32,
}

/// Queues and suspensions of one gateway's peers.
pub struct Post {
    me: u32,
    peers: BTreeMap<u32, Peer>,
}

impl Post {
    /// Creates a forwarder to these peers; `me` is left out.
    pub fn new(me: u32, peers: impl Iterator<Item = u32>) -> Post {
        let peers = peers.filter(|peer| *peer != me).map(|peer| (peer, Peer::default())).collect();
        Post { me, peers }
    }

    /// Picks the destination of a call and queues it if a peer owns it.
    pub fn route(&mut self, now: Micros, told: &Told, living: impl Fn(u32) -> bool) -> Route {
        if told.name.starts_with(GRANT_PREFIX) {
            return Route::Counter;
        }
        let available = self.peers.iter().filter(|(n, peer)| now >= peer.suspended_until && living(**n));
        let candidates = available.map(|(number, _)| *number).chain([self.me]);
        let Some(number) = owner(&told.name, candidates).filter(|number| *number != self.me) else {
            return Route::Here;
        };
        match self.peers.get_mut(&number).filter(|peer| peer.queue.len() < MAX_QUEUE) {
            Some(peer) => {
                peer.queue.push_back(told.clone());
                Route::To(number)
            }
            None => Route::Counter,
        }
    }

    /// The next batch for a peer, if one may be sent now.
    pub fn word(&mut self, to: u32) -> Option<Vec<Told>> {
        let peer = self
            .peers
            .get_mut(&to)
            .filter(|peer| peer.in_flight < MAX_IN_FLIGHT && !peer.queue.is_empty())?;
        peer.in_flight += 1;
        let count = peer.queue.len().min(NAMES);
        Some(peer.queue.drain(..count).collect())
    }

    /// Resolves a finished batch. On failure the increments still queued for that peer go to the counter.
    pub fn ended(&mut self, now: Micros, to: u32, told: Vec<Told>, outcome: Word) -> Vec<(Told, Ending)> {
        let Some(peer) = self.peers.get_mut(&to) else { return Vec::new() };
        peer.in_flight = peer.in_flight.saturating_sub(1);
        let ending = match outcome {
            Word::Answered(said) if said.len() == told.len() => {
                peer.failures = 0;
                return told.into_iter().zip(said.into_iter().map(Ending::from)).collect();
            }
            Word::NeverSent => Ending::Counter,
            _ => Ending::Timeout,
        };
        // Batches that fail together count as one failure.
        if now >= peer.suspended_until {
            let suspension = MIN_SUSPENSION.saturating_mul(1 << peer.failures.min(8)).min(MAX_SUSPENSION);
            (peer.suspended_until, peer.failures) = (now + suspension, peer.failures + 1);
        }
        let queued = std::mem::take(&mut peer.queue).into_iter().map(|told| (told, Ending::Counter));
        told.into_iter().map(|told| (told, ending)).chain(queued).collect()
    }

    /// Peers that are suspended now.
    pub fn left_out(&self, now: Micros) -> Vec<u32> {
        let suspended = self.peers.iter().filter(|(_, peer)| now < peer.suspended_until);
        suspended.map(|(number, _)| *number).collect()
    }
}

impl From<Said> for Ending {
    fn from(said: Said) -> Ending {
        match said {
            Said::Total(total) => Ending::Total(total),
            Said::Elsewhere => Ending::Counter,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn told(n: usize) -> Told {
        Told { name: format!("acc{n}.1"), amount: 1.0, keep_ms: 1_000 }
    }

    /// The first name that `to` owns when all gateways are alive.
    fn name_of(to: u32) -> Told {
        (0..).map(told).find(|told| owner(&told.name, 0..4) == Some(to)).unwrap()
    }

    fn post() -> Post {
        Post::new(0, 0..4)
    }

    #[test]
    fn each_name_has_one_owner_among_live_gateways() {
        let mut post = post();
        for n in 0..200 {
            let told = told(n);
            let wanted = match owner(&told.name, [0, 1, 3].into_iter()) {
                Some(0) => Route::Here,
                other => Route::To(other.unwrap()),
            };
            assert_eq!(post.route(S, &told, |g| g != 2), wanted);
        }
        assert_eq!(Post::new(0, [].into_iter()).route(S, &told(1), |_| true), Route::Here);
    }

    #[test]
    fn grants_from_a_ceiling_go_to_the_counter() {
        let (mut post, mut lone) = (post(), Post::new(0, [].into_iter()));
        for n in 0..50 {
            let told = Told { name: format!("^{}", told(n).name), ..told(n) };
            assert_eq!(post.route(S, &told, |_| true), Route::Counter);
            assert_eq!(lone.route(S, &told, |_| true), Route::Counter);
        }
    }

    #[test]
    fn batches_drain_the_queue_within_the_in_flight_limit() {
        let mut post = post();
        let told = name_of(2);
        assert_eq!(post.word(2), None);
        (0..70).for_each(|_| assert_eq!(post.route(S, &told, |_| true), Route::To(2)));
        assert_eq!(post.word(2).unwrap().len(), NAMES);
        assert_eq!(post.word(2).unwrap().len(), 6);
        for _ in 0..2 {
            post.route(S, &told, |_| true);
            let third = post.word(2);
            assert!(third.is_some() || post.peers[&2].in_flight == MAX_IN_FLIGHT);
        }
        assert_eq!(post.word(2), None, "a fourth batch has to wait");
        let said = vec![Said::Total(1.0); 6];
        let ended = post.ended(S, 2, vec![told.clone(); 6], Word::Answered(said));
        assert!(ended.iter().all(|(_, ending)| *ending == Ending::Total(1.0)) && ended.len() == 6);
        assert_eq!(post.word(2).unwrap().len(), 1);
        for _ in 0..MAX_QUEUE {
            post.route(S, &told, |_| true);
        }
        assert_eq!(post.route(S, &told, |_| true), Route::Counter, "the queue is full");
    }

    #[test]
    fn possibly_delivered_increments_are_not_resent() {
        let mut post = post();
        let told = name_of(1);
        for (word, wanted) in [(Word::NeverSent, Ending::Counter), (Word::Unanswered, Ending::Timeout)] {
            post.route(S, &told, |_| true);
            let sent = post.word(1).unwrap();
            post.route(S, &told, |_| true);
            let ended = post.ended(S, 1, sent, word);
            assert_eq!(ended, [(told.clone(), wanted), (told.clone(), Ending::Counter)]);
            post.peers.get_mut(&1).unwrap().suspended_until = 0;
        }
        post.route(S, &told, |_| true);
        let sent = post.word(1).unwrap();
        let short = post.ended(S, 1, sent, Word::Answered(vec![]));
        assert_eq!(short, [(told.clone(), Ending::Timeout)], "a reply of the wrong length is no reply");
        post.peers.get_mut(&1).unwrap().suspended_until = 0;
        post.route(S, &told, |_| true);
        let sent = post.word(1).unwrap();
        let ended = post.ended(S, 1, sent, Word::Answered(vec![Said::Elsewhere]));
        assert_eq!(ended, [(told, Ending::Counter)]);
    }

    #[test]
    fn unresponsive_peer_is_suspended_with_backoff_and_retried() {
        let mut post = post();
        let told = name_of(3);
        let mut now = S;
        for span in [1, 2, 4, 8, 16, 16] {
            assert_eq!(post.route(now, &told, |_| true), Route::To(3));
            let first = post.word(3).unwrap();
            post.route(now, &told, |_| true);
            let second = post.word(3).unwrap();
            post.ended(now, 3, first, Word::Unanswered);
            post.ended(now, 3, second, Word::Unanswered);
            assert_ne!(post.route(now + span * S - 1, &told, |_| true), Route::To(3));
            assert_eq!(post.left_out(now), [3]);
            now += span * S;
        }
        post.route(now, &told, |_| true);
        let sent = post.word(3).unwrap();
        post.ended(now, 3, sent, Word::Answered(vec![Said::Total(1.0)]));
        post.route(now, &told, |_| true);
        let sent = post.word(3).unwrap();
        post.ended(now, 3, sent, Word::NeverSent);
        assert_eq!(post.route(now + S, &told, |_| true), Route::To(3), "a reply resets the backoff");
    }
}

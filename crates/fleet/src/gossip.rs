//! Gossip among gateways: each keeps a table of the heartbeats that it has heard of.
//!
//! A gateway numbers its messages with a heartbeat counter (*beat*) and sends them to its peers in turn, each with the
//! heartbeats that it knows; the answer confirms the message and carries those that the peer knows. So heartbeats reach
//! gateways that have no direct connection. A new heartbeat shows that its sender is alive; the age of the newest one
//! decides whether it is suspect or gone.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Maximum size of a fleet that gossips. The number of messages grows with its square: of 64 gateways each sends up to
/// 50 messages per second and reaches every peer once in 1.3 s.
pub const GATEWAYS_MAX: u32 = 64;
/// The longest message in bytes: a line of 60 for each gateway, and the head.
pub const MESSAGE_BYTES_MAX: usize = 60 * (GATEWAYS_MAX as usize + 1);

/// Beats from here on are goodbyes, the last messages of an incarnation, which holds no part any more. The lower bits
/// are the last slot of the roll call that it may have marked. Versions without goodbyes read them as newer beats.
const GOODBYE: u64 = 1 << 63;
/// Goodbye of a gateway that takes no part in the roll call.
const NO_SLOT: u64 = u64::MAX;

/// Liveness of a gateway as seen by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// A recent heartbeat is known.
    Alive,
    /// No heartbeat for half of the time after which it is gone, or its clients have moved here.
    Suspect,
    /// No heartbeat for long, or ever; or it said goodbye.
    Gone,
}

/// The newest heartbeat of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Heard {
    incarnation: u64,
    beat: u64,
    /// When it was first received here, directly or through another gateway.
    at: Micros,
    /// Clients of this gateway have moved to others.
    suspected: bool,
}

/// A gossip message, sent as a request and as its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Number of the sender.
    pub from: u32,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Heartbeat of the sender.
    pub beat: u64,
    /// Heartbeats that the sender knows: number, incarnation, beat.
    pub known: Vec<(u32, u64, u64)>,
    /// Gateways that the sender lists as absent.
    pub absent: BTreeSet<u32>,
}

/// Format tag at the start of a message.
const FORMAT: &str = "fleet-1";

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> String {
        let mut text = format!("{FORMAT} {} {} {}\n", self.from, self.incarnation, self.beat);
        for (number, incarnation, beat) in &self.known {
            let state = if self.absent.contains(number) { "absent" } else { "heard" };
            let _ = writeln!(text, "{number} {incarnation} {beat} {state}");
        }
        for number in self.absent.iter().filter(|n| !self.known.iter().any(|(known, ..)| known == *n)) {
            let _ = writeln!(text, "{number} 0 0 absent");
        }
        text
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The fault in the text.
    pub fn decode(text: &str) -> Result<Message, String> {
        if text.len() > MESSAGE_BYTES_MAX {
            return Err("too long".into());
        }
        let mut lines = text.lines();
        let head: Vec<&str> = lines.next().unwrap_or_default().split(' ').collect();
        let [format, from, incarnation, beat] = head[..] else { return Err("no head".into()) };
        if format != FORMAT {
            return Err(format!("not of the form {FORMAT}"));
        }
        let mut message = Message {
            from: parse_gateway(from)?,
            incarnation: parse_number(incarnation)?,
            beat: parse_number(beat)?,
            known: Vec::new(),
            absent: BTreeSet::new(),
        };
        for line in lines {
            let words: Vec<&str> = line.split(' ').collect();
            let [of, incarnation, beat, state] = words[..] else {
                return Err("a line without four words".into());
            };
            let of = parse_gateway(of)?;
            if state == "absent" {
                message.absent.insert(of);
            }
            if (incarnation, beat) != ("0", "0") {
                message.known.push((of, parse_number(incarnation)?, parse_number(beat)?));
            }
        }
        Ok(message)
    }
}

fn parse_number(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| "no number".to_owned())
}

fn parse_gateway(text: &str) -> Result<u32, String> {
    let number = text.parse().ok().filter(|n| *n < GATEWAYS_MAX);
    number.ok_or_else(|| "no number of a gateway".to_owned())
}

/// The heartbeats that one gateway knows, at most one for each gateway of the fleet.
pub struct GossipTable {
    me: u32,
    incarnation: u64,
    beat: u64,
    gateways: u32,
    gone_after: Micros,
    heard: BTreeMap<u32, Heard>,
    /// Set once all messages are goodbyes.
    left: bool,
    /// The peer asked last, for round robin.
    turn: u32,
    /// A newer incarnation of this gateway is known.
    superseded: bool,
}

impl GossipTable {
    /// Creates a table; `incarnation` must exceed that of all earlier processes, as the start time does.
    pub fn new(me: u32, incarnation: u64, gateways: u32, gone_after: Micros) -> GossipTable {
        let (heard, gateways) = (BTreeMap::new(), gateways.min(GATEWAYS_MAX));
        let (left, superseded) = (false, false);
        GossipTable { me, incarnation, beat: 0, gateways, gone_after, heard, left, turn: me, superseded }
    }

    /// The next message to send, with a new beat in each call.
    pub fn next_message(&mut self, now: Micros) -> Message {
        self.beat += u64::from(!self.left);
        let known =
            self.heard.iter().map(|(number, heard)| (*number, heard.incarnation, heard.beat)).collect();
        Message {
            from: self.me,
            incarnation: self.incarnation,
            beat: self.beat,
            known,
            absent: self.absent(now),
        }
    }

    /// Makes all further messages goodbyes: this incarnation holds no part any more, and others may list it as absent
    /// at once. It still answers, and its vote counts until it ends. `last_slot` is the last slot of the roll call that
    /// it may have marked, if it takes part in one.
    pub fn leave(&mut self, last_slot: Option<u64>) {
        if !self.left {
            self.beat = last_slot.map_or(NO_SLOT, |slot| GOODBYE | slot);
            self.left = true;
        }
    }

    /// Gateways whose newest beat is a goodbye, with the last slot of the roll call that each may have marked.
    pub fn goodbyes(&self) -> BTreeMap<u32, u64> {
        let dated = self.heard.iter().filter(|(_, heard)| (GOODBYE..NO_SLOT).contains(&heard.beat));
        dated.map(|(number, heard)| (*number, heard.beat & !GOODBYE)).collect()
    }

    /// Merges a message into the table; false if its sender does not belong to this fleet.
    pub fn apply(&mut self, now: Micros, message: &Message) -> bool {
        if message.from >= self.gateways {
            return false;
        }
        self.record(now, message.from, message.incarnation, message.beat);
        message
            .known
            .iter()
            .for_each(|(number, incarnation, beat)| self.record(now, *number, *incarnation, *beat));
        true
    }

    fn record(&mut self, now: Micros, number: u32, incarnation: u64, beat: u64) {
        if number == self.me {
            // Own heartbeats come back; one of a later incarnation means that two processes share the number.
            self.superseded |= incarnation > self.incarnation;
            return;
        }
        let newer =
            self.heard.get(&number).is_none_or(|known| (known.incarnation, known.beat) < (incarnation, beat));
        if newer && number < self.gateways {
            self.heard.insert(number, Heard { incarnation, beat, at: now, suspected: false });
        }
    }

    /// Whether a newer incarnation of this gateway is known.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Clients of the set of `spread` gateways from `first` on have come here. Unless this gateway belongs to the set,
    /// its gateways are suspected until a new heartbeat of them arrives.
    pub fn suspect_set(&mut self, first: u32, spread: u32) {
        let all = self.gateways.max(1);
        let of_set: Vec<u32> = (0..spread.min(all)).map(|n| (first + n) % all).collect();
        if of_set.contains(&self.me) {
            return;
        }
        for number in of_set {
            self.heard.entry(number).and_modify(|heard| heard.suspected = true);
        }
    }

    /// Liveness of a gateway.
    pub fn liveness(&self, now: Micros, number: u32) -> Liveness {
        if number == self.me {
            return Liveness::Alive;
        }
        let Some(heard) = self.heard.get(&number) else { return Liveness::Gone };
        match now.saturating_sub(heard.at) {
            _ if heard.beat >= GOODBYE => Liveness::Gone,
            age if age >= self.gone_after => Liveness::Gone,
            age if heard.suspected || age * 2 >= self.gone_after => Liveness::Suspect,
            _ => Liveness::Alive,
        }
    }

    /// All gateways that are gone.
    pub fn absent(&self, now: Micros) -> BTreeSet<u32> {
        (0..self.gateways).filter(|n| self.liveness(now, *n) == Liveness::Gone).collect()
    }

    /// The peer to ask next: suspected ones first, otherwise round robin. `None` if there is no other gateway.
    pub fn next_peer(&mut self, now: Micros) -> Option<u32> {
        let others = (1..=self.gateways).map(|n| (self.turn + n) % self.gateways);
        let others: Vec<u32> = others.filter(|n| *n != self.me).collect();
        let suspect = others.iter().find(|n| {
            let suspected = self.heard.get(n).is_some_and(|heard| heard.suspected);
            suspected && self.liveness(now, **n) == Liveness::Suspect
        });
        if let Some(suspect) = suspect.copied() {
            // Asked once per suspicion, whether or not it answers.
            self.heard.entry(suspect).and_modify(|heard| heard.suspected = false);
            return Some(suspect);
        }
        self.turn = *others.first()?;
        Some(self.turn)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    fn table(me: u32) -> GossipTable {
        GossipTable::new(me, 100 + u64::from(me), 4, 3 * SECOND)
    }

    #[test]
    fn messages_round_trip() {
        let mut one = table(1);
        one.record(SECOND, 2, 9, 4);
        one.record(SECOND, 3, 9, 4);
        let message = one.next_message(3 * SECOND);
        assert_eq!(Message::decode(&message.encode()), Ok(message.clone()));
        assert_eq!((message.absent, message.known.len()), ([0].into(), 2));
    }

    #[test]
    fn malformed_messages_are_refused() {
        for (text, wanted) in [
            ("", "no head"),
            ("fleet-2 1 1 1\n", "not of the form"),
            ("fleet-1 64 1 1\n", "no number of a gateway"),
            ("fleet-1 -1 1 1\n", "no number of a gateway"),
            ("fleet-1 1 x 1\n", "no number"),
            ("fleet-1 1 1 1\n2 3\n", "four words"),
            ("fleet-1 1 1 1\n2 3 99999999999999999999 heard\n", "no number"),
        ] {
            let error = Message::decode(text).unwrap_err();
            assert!(error.contains(wanted), "{text}: {error}");
        }
        assert!(Message::decode(&"x".repeat(MESSAGE_BYTES_MAX + 1)).is_err());
        let beyond = Message { from: 9, incarnation: 1, beat: 1, known: vec![], absent: BTreeSet::new() };
        assert!(!table(0).apply(0, &beyond));
    }

    #[test]
    fn heartbeats_arrive_through_other_gateways_and_old_ones_do_not_count() {
        let (mut a, mut b, mut c) = (table(0), table(1), table(2));
        b.apply(SECOND, &c.next_message(SECOND));
        a.apply(2 * SECOND, &b.next_message(2 * SECOND));
        assert_eq!(a.liveness(4 * SECOND, 2), Liveness::Suspect);
        a.apply(4 * SECOND, &b.next_message(4 * SECOND));
        assert_eq!(a.liveness(5 * SECOND, 2), Liveness::Gone, "a repeated beat does not count");
        assert_eq!(a.liveness(5 * SECOND, 1), Liveness::Alive);
        assert_eq!(a.absent(5 * SECOND), [2, 3].into());
    }

    #[test]
    fn goodbye_makes_a_gateway_gone_at_once_until_its_next_incarnation() {
        let (mut a, mut b, mut c) = (table(0), table(1), table(2));
        a.apply(SECOND, &c.next_message(SECOND));
        assert_eq!(a.liveness(SECOND, 2), Liveness::Alive);
        c.leave(Some(17));
        b.apply(SECOND, &c.next_message(SECOND));
        b.apply(SECOND, &c.next_message(SECOND));
        a.apply(SECOND, &b.next_message(SECOND));
        assert_eq!((a.liveness(SECOND, 2), b.absent(SECOND)), (Liveness::Gone, [0, 2, 3].into()));
        assert_eq!(a.goodbyes(), [(2, 17)].into());
        let message = b.next_message(SECOND);
        assert_eq!(Message::decode(&message.encode()), Ok(message));
        let mut next = GossipTable::new(2, 200, 4, 3 * SECOND);
        a.apply(2 * SECOND, &next.next_message(2 * SECOND));
        a.apply(2 * SECOND, &c.next_message(2 * SECOND));
        assert_eq!(
            a.liveness(2 * SECOND, 2),
            Liveness::Alive,
            "a late message of the former incarnation does not count"
        );
        assert_eq!(a.goodbyes(), [].into());
        next.leave(None);
        a.apply(2 * SECOND, &next.next_message(2 * SECOND));
        assert_eq!(
            (a.liveness(2 * SECOND, 2), a.goodbyes()),
            (Liveness::Gone, [].into()),
            "a goodbye without a slot"
        );
    }

    #[test]
    fn a_later_incarnation_is_newer_whatever_its_beat() {
        let mut a = table(0);
        a.record(SECOND, 1, 100, 77);
        a.record(2 * SECOND, 1, 200, 1);
        a.record(4 * SECOND, 1, 100, 78);
        assert_eq!(a.heard[&1], Heard { incarnation: 200, beat: 1, at: 2 * SECOND, suspected: false });
    }

    #[test]
    fn a_later_incarnation_of_the_same_number_supersedes() {
        let mut a = table(0);
        a.record(SECOND, 0, 100, 5);
        assert!(!a.superseded());
        a.record(SECOND, 0, 101, 1);
        assert!(a.superseded());
    }

    #[test]
    fn peers_are_asked_in_turn_and_suspected_ones_first() {
        let mut a = table(0);
        let asked: Vec<_> = (0..5).map(|_| a.next_peer(SECOND).unwrap()).collect();
        assert_eq!(asked, [1, 2, 3, 1, 2]);
        a.record(SECOND, 1, 9, 9);
        a.record(SECOND, 2, 9, 9);
        a.suspect_set(2, 2);
        assert_eq!((a.liveness(SECOND, 2), a.liveness(SECOND, 1)), (Liveness::Suspect, Liveness::Alive));
        assert_eq!((a.next_peer(SECOND), a.next_peer(SECOND)), (Some(2), Some(3)));
        a.suspect_set(3, 2);
        assert_eq!(
            a.liveness(SECOND, 3),
            Liveness::Gone,
            "a set that includes this gateway raises no suspicion"
        );
        assert_eq!(GossipTable::new(0, 1, 1, SECOND).next_peer(SECOND), None);
    }
}

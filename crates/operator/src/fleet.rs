//! The section `fleet`.

use hingestage_form::{once, Form};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most gateways that tell each other; see `hingestage_fleet::gossip`.
const PEERS_MAX: f64 = 64.0;
/// Most votes of the counter.
const VOTES_MAX: f64 = 10_000.0;
/// The longest lease, seconds.
const LONGEST: f64 = 600.0;
/// How much longer others wait than a lease lasts, for clocks that do not run quite alike: a hundredth at least.
const MARGIN: f64 = 1.01;

/// How a gateway learns who is there, and what it may do with parts of those who are not.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The operators' addresses of other gateways, by their numbers.
    pub peers: BTreeMap<u32, SocketAddr>,
    /// Whether there is a roll call on the counter.
    pub roll_call: bool,
    /// Votes of the counter; half as many as there are gateways where not said.
    pub counter_votes: Option<u32>,
    /// What a gateway uses of its part in any case.
    pub kept: f64,
    /// How old a contact may be.
    pub lease: Duration,
    /// After so long a gateway is listed as absent.
    pub absent: Duration,
    /// After so long a contact counts.
    pub settles: Duration,
    /// Whether gateways take turns at the counter.
    pub turns: bool,
}

/// Reads the section.
pub fn read(section: &Form) -> Result<Fleet, String> {
    let mut fleet = Fleet {
        peers: BTreeMap::new(),
        roll_call: false,
        counter_votes: None,
        kept: 0.5,
        lease: Duration::from_millis(1_800),
        absent: Duration::from_secs(2),
        settles: Duration::from_secs(2),
        turns: false,
    };
    for field in once(&section.rest()?, "fleet", &["peer"]) {
        let (head, name, field) = field?;
        let span = || -> Result<Duration, String> {
            Ok(Duration::from_secs_f64(field.one(&name)?.number(&name, 0.1, LONGEST)?))
        };
        match head.as_str() {
            "peer" => peer(&mut fleet, &field, &name)?,
            "roll-call" => fleet.roll_call = field.one(&name)?.flag(&name)?,
            "counter-votes" => {
                fleet.counter_votes = Some(field.one(&name)?.whole(&name, 0.0, VOTES_MAX)? as u32)
            }
            "kept" => fleet.kept = field.one(&name)?.number(&name, 0.0, 0.5)?,
            "lease" => fleet.lease = span()?,
            "absent" => fleet.absent = span()?,
            "settles" => fleet.settles = span()?,
            "turns" => fleet.turns = field.one(&name)?.flag(&name)?,
            _ => return Err(field.error(&name, "no such field")),
        }
    }
    if fleet.turns && fleet.peers.is_empty() {
        return Err(section.error("fleet.turns", "no `peer` is given to take turns with"));
    }
    let least = fleet.lease.mul_f64(MARGIN);
    for (name, given) in [("absent", fleet.absent), ("settles", fleet.settles)] {
        if given < least {
            let what =
                format!("must be a hundredth longer than the lease of {} s", fleet.lease.as_secs_f64());
            return Err(section.error(&format!("fleet.{name}"), &what));
        }
    }
    Ok(fleet)
}

fn peer(fleet: &mut Fleet, field: &Form, name: &str) -> Result<(), String> {
    let rest = field.rest()?;
    let [number, at] = rest.as_slice() else {
        return Err(field.error(name, "a number and an address are wanted"));
    };
    let number = number.whole(name, 0.0, PEERS_MAX - 1.0)? as u32;
    let text = at.text(name)?;
    let at: Option<SocketAddr> = text.parse().ok().filter(|at: &SocketAddr| at.port() > 0);
    let at = at.ok_or_else(|| field.error(name, &format!("`{text}` is no address with a port")))?;
    match fleet.peers.insert(number, at) {
        None => Ok(()),
        Some(_) => Err(field.error(name, &format!("gateway {number} is given twice"))),
    }
}

#[cfg(test)]
mod tests {
    use crate::Operator;
    use std::time::Duration;

    #[test]
    fn every_field_is_read() {
        let text = "(fleet (peer 1 \"127.0.0.2:3001\") (peer 2 \"127.0.0.3:3001\") (roll-call yes)
                     (counter-votes 3) (kept 0.4) (lease 3) (absent 4) (settles 5) (turns yes))";
        let fleet = Operator::parse(text).unwrap().fleet.unwrap();
        assert_eq!((fleet.peers.len(), fleet.roll_call, fleet.counter_votes), (2, true, Some(3)));
        assert!(fleet.turns);
        assert_eq!(
            (fleet.kept, fleet.lease, fleet.settles),
            (0.4, Duration::from_secs(3), Duration::from_secs(5))
        );
        assert!(Operator::parse("(fleet)").unwrap().fleet.is_some());
    }

    #[test]
    fn every_fault_is_named_with_its_field_and_place() {
        for (field, wanted) in [
            ("(colour red)", "1:8: field `fleet.colour`: no such field"),
            ("(kept 0.5) (kept 0.5)", "field `fleet.kept`: given twice"),
            ("(kept 0.6)", "field `fleet.kept`: 0.6 is not between 0 and 0.5"),
            ("(peer 1)", "field `fleet.peer`: a number and an address are wanted"),
            ("(peer 64 \"127.0.0.1:1\")", "field `fleet.peer`: 64 is not between 0 and 63"),
            ("(peer 1 \"there\")", "field `fleet.peer`: `there` is no address"),
            ("(peer 1 \"127.0.0.1:1\") (peer 1 \"127.0.0.1:2\")", "gateway 1 is given twice"),
            ("(counter-votes 1.5)", "field `fleet.counter-votes`: 1.5 is no whole number"),
            ("(turns yes)", "field `fleet.turns`: no `peer` is given"),
            ("(roll-call maybe)", "field `fleet.roll-call`: `maybe` is neither"),
            ("(lease 2)", "field `fleet.absent`: must be a hundredth longer than the lease of 2 s"),
            ("(lease 2) (absent 3) (settles 2)", "field `fleet.settles`: must be"),
            ("(lease 0)", "field `fleet.lease`: 0 is not between 0.1 and 600"),
        ] {
            let error = Operator::parse(&format!("(fleet {field})")).unwrap_err();
            assert!(error.contains(wanted), "{field}: {error}");
        }
        let twice = Operator::parse("(fleet)(fleet)").unwrap_err();
        assert!(twice.contains("field `fleet`: given twice"), "{twice}");
    }
}

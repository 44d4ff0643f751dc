//! Section `fleet` of the operator file: membership of gateways and use of the shares of absent ones.

use hingestage_form::{unique_fields, Form};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most gateways that tell each other; see `hingestage_fleet::gossip`.
const GATEWAYS_MAX: f64 = 64.0;
/// Most votes of the counter.
const COUNTER_VOTES_MAX: f64 = 10_000.0;
/// The longest lease, seconds.
const DURATION_SECONDS_MAX: f64 = 600.0;
/// How much longer others wait than a lease lasts, for clocks that do not run quite alike: a hundredth at least.
const CLOCK_DRIFT_MARGIN: f64 = 1.01;

/// Settings of the gateway fleet: peer detection, and use of the shares of absent gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Operator addresses of the other gateways by gateway number.
    pub peers: BTreeMap<u32, SocketAddr>,
    /// Whether gateways register their presence through the counter.
    pub roll_call: bool,
    /// Votes of the counter; half the number of gateways if not set.
    pub counter_votes: Option<u32>,
    /// Fraction of its share that a gateway may always use.
    pub reserved_fraction: f64,
    /// How long a contact with another gateway remains valid.
    pub lease: Duration,
    /// Time without contact after which a gateway counts as absent.
    pub absent_after: Duration,
    /// Time after which a new contact counts.
    pub warm_up: Duration,
    /// Whether gateways take turns in querying the counter.
    pub turns: bool,
}

/// Reads the section.
pub fn read(section: &Form) -> Result<Fleet, String> {
    let mut fleet = Fleet {
        peers: BTreeMap::new(),
        roll_call: false,
        counter_votes: None,
        reserved_fraction: 0.5,
        lease: Duration::from_millis(1_800),
        absent_after: Duration::from_secs(2),
        warm_up: Duration::from_secs(2),
        turns: false,
    };
    for field in unique_fields(&section.arguments()?, "fleet", &["peer"]) {
        let (head, name, field) = field?;
        let duration = || -> Result<Duration, String> {
            Ok(Duration::from_secs_f64(field.only_argument(&name)?.number(
                &name,
                0.1,
                DURATION_SECONDS_MAX,
            )?))
        };
        match head.as_str() {
            "peer" => peer(&mut fleet, &field, &name)?,
            "roll-call" => fleet.roll_call = field.only_argument(&name)?.flag(&name)?,
            "counter-votes" => {
                fleet.counter_votes =
                    Some(field.only_argument(&name)?.integer(&name, 0.0, COUNTER_VOTES_MAX)? as u32)
            }
            "kept" => fleet.reserved_fraction = field.only_argument(&name)?.number(&name, 0.0, 0.5)?,
            "lease" => fleet.lease = duration()?,
            "absent" => fleet.absent_after = duration()?,
            "settles" => fleet.warm_up = duration()?,
            "turns" => fleet.turns = field.only_argument(&name)?.flag(&name)?,
            _ => return Err(field.error(&name, "no such field")),
        }
    }
    if fleet.turns && fleet.peers.is_empty() {
        return Err(section.error("fleet.turns", "no `peer` is given to take turns with"));
    }
    let min = fleet.lease.mul_f64(CLOCK_DRIFT_MARGIN);
    for (name, given) in [("absent", fleet.absent_after), ("settles", fleet.warm_up)] {
        if given < min {
            let what =
                format!("must be a hundredth longer than the lease of {} s", fleet.lease.as_secs_f64());
            return Err(section.error(&format!("fleet.{name}"), &what));
        }
    }
    Ok(fleet)
}

fn peer(fleet: &mut Fleet, field: &Form, name: &str) -> Result<(), String> {
    let rest = field.arguments()?;
    let [number, at] = rest.as_slice() else {
        return Err(field.error(name, "a number and an address are wanted"));
    };
    let number = number.integer(name, 0.0, GATEWAYS_MAX - 1.0)? as u32;
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
    fn all_fields_are_read() {
        let text = "(fleet (peer 1 \"127.0.0.2:3001\") (peer 2 \"127.0.0.3:3001\") (roll-call yes)
                     (counter-votes 3) (kept 0.4) (lease 3) (absent 4) (settles 5) (turns yes))";
        let fleet = Operator::parse(text).unwrap().fleet.unwrap();
        assert_eq!((fleet.peers.len(), fleet.roll_call, fleet.counter_votes), (2, true, Some(3)));
        assert!(fleet.turns);
        assert_eq!(
            (fleet.reserved_fraction, fleet.lease, fleet.warm_up),
            (0.4, Duration::from_secs(3), Duration::from_secs(5))
        );
        assert!(Operator::parse("(fleet)").unwrap().fleet.is_some());
    }

    #[test]
    fn errors_name_the_field_and_position() {
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

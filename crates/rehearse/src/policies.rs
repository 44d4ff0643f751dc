//! Which policy requests were served under, as two accounts tell from outside: one is blocked in odd versions, the
//! other in even ones. No I/O.
//!
//! A request that is served began between the client's asking and the worker's having it. Whoever is served then
//! shows that a version in which it is not blocked was in force at some instant of that span, give or take what
//! clocks may differ by. One served when only versions that block it were in force breaks the rule: it began under
//! an old version later than the error after a new one was in force, or under a new one before.

use std::time::Duration;

/// Microseconds since clients began; what was before is negative.
pub type At = i64;

/// Versions in force, each with when it came into force, and the accounts that tell them apart.
#[derive(Clone, Debug, Default)]
pub struct Policies {
    /// Versions by when they came into force, the first one long before.
    pub in_force: Vec<(u64, At)>,
    /// What became of proposals: the version, how it ended in words, when it was made, and how long that took.
    pub proposals: Vec<(u64, String, Duration, Duration)>,
    /// The version in force at the end.
    pub last: Option<u64>,
}

/// A request of an account that tells versions apart, which was served.
#[derive(Clone, Debug)]
pub struct Witness {
    /// Its id.
    pub id: String,
    /// Whether its account is blocked in odd versions, or in even ones.
    pub blocked_in_odd: bool,
    /// When its client asked.
    pub asked: At,
    /// When a worker had it.
    pub began_by: At,
}

impl Policies {
    /// The first request that was served under a version that was not in force.
    pub fn broken(&self, served: &[Witness], error: Duration) -> Option<(At, String)> {
        let error = error.as_micros() as At;
        served.iter().find_map(|one| {
            let (from, to) = (one.asked - error, one.began_by + error);
            let within = self.within(from, to);
            let fits = within.iter().any(|version| (version % 2 == 1) != one.blocked_in_odd);
            let parity = if one.blocked_in_odd { "an even" } else { "an odd" };
            let what = || {
                format!(
                    "{}: served under {parity} version between {:.3} and {:.3} s, where {within:?} was in force",
                    one.id,
                    one.asked as f64 / 1e6,
                    one.began_by as f64 / 1e6
                )
            };
            (!fits).then(|| (one.began_by, what()))
        })
    }

    /// Versions in force at some instant of a span.
    fn within(&self, from: At, to: At) -> Vec<u64> {
        let ends = self.in_force.iter().skip(1).map(|(_, at)| *at).chain([At::MAX]);
        let spans = self.in_force.iter().zip(ends);
        spans
            .filter(|((_, begins), ends)| *begins <= to && *ends >= from)
            .map(|((version, _), _)| *version)
            .collect()
    }

    /// Changes that were in force, each seen by a request that was served under it.
    pub fn seen(&self, served: &[Witness]) -> usize {
        let ends: Vec<At> = self.in_force.iter().skip(1).map(|(_, at)| *at).chain([At::MAX]).collect();
        let changes = self.in_force.iter().zip(ends).skip(1);
        let shows = |version: u64, begins: At, ends: At| {
            served.iter().any(|one| {
                (version % 2 == 1) != one.blocked_in_odd && one.asked >= begins && one.began_by < ends
            })
        };
        changes.filter(|((version, begins), ends)| shows(*version, *begins, *ends)).count()
    }

    /// Whether the last version that was proposed is in force.
    pub fn holds_last(&self) -> bool {
        let proposed = self.proposals.iter().map(|(version, ..)| *version).max();
        proposed.is_some() && proposed == self.last
    }

    /// When policies were changing: from each proposal until its end, and a little longer, as what has come into force
    /// shows at the next request.
    pub fn changing(&self) -> Vec<(Duration, Duration)> {
        let of = |(.., at, took): &(u64, String, Duration, Duration)| (*at, *at + *took + SHOWS);
        self.proposals.iter().map(of).collect()
    }

    /// Seconds from proposing to in force, the middle and the longest.
    pub fn took(&self) -> Option<(f64, f64)> {
        let done = self.proposals.iter().filter(|(_, how, ..)| how == IN_FORCE);
        let mut took: Vec<f64> = done.map(|(.., took)| took.as_secs_f64()).collect();
        took.sort_by(f64::total_cmp);
        Some((took.get(took.len() / 2).copied()?, took.last().copied()?))
    }
}

/// What a change costs shows for so long after it.
const SHOWS: Duration = Duration::from_millis(500);

/// How a proposal ended that is in force.
pub const IN_FORCE: &str = "in force";

#[cfg(test)]
mod tests {
    use super::*;

    const S: At = 1_000_000;
    const ERROR: Duration = Duration::from_millis(100);

    fn policies() -> Policies {
        Policies { in_force: vec![(1, At::MIN), (2, 5 * S), (4, 9 * S), (5, 12 * S)], ..Policies::default() }
    }

    fn served(blocked_in_odd: bool, asked: At, began_by: At) -> Vec<Witness> {
        vec![Witness { id: "7".into(), blocked_in_odd, asked, began_by }]
    }

    #[test]
    fn whoever_is_served_shows_a_version_that_was_in_force() {
        let broken = |odd, asked, by| policies().broken(&served(odd, asked, by), ERROR).is_some();
        assert!(!broken(false, S, S) && broken(true, S, S), "the first version is odd");
        assert!(!broken(true, 6 * S, 6 * S) && broken(false, 6 * S, 6 * S));
        assert!(broken(false, 10 * S, 10 * S), "both of the even ones block it");
        assert!(!broken(false, 4 * S, 6 * S), "it may have begun before the change");
        assert!(!broken(false, 5 * S + S / 10, 6 * S) && broken(false, 5 * S + S / 5, 6 * S), "by the error");
        assert!(!broken(true, 4 * S, 5 * S - S / 10) && broken(true, 4 * S, 5 * S - S / 5));
    }

    #[test]
    fn a_change_that_nobody_was_served_under_was_not_seen() {
        assert_eq!(policies().seen(&served(true, 6 * S, 6 * S)), 1);
        assert_eq!(policies().seen(&served(true, 4 * S, 6 * S)), 0, "it may have begun before");
        let both = [served(true, 9 * S, 10 * S), served(false, 13 * S, 14 * S)].concat();
        assert_eq!(policies().seen(&both), 2);
    }

    #[test]
    fn the_last_proposal_is_in_force_or_is_not() {
        let proposal = |version, how: &str| {
            (version, how.to_owned(), Duration::from_secs(10 * version), Duration::from_secs(version))
        };
        let mut policies = Policies { last: Some(4), ..policies() };
        assert!(!policies.holds_last());
        policies.proposals = vec![proposal(2, IN_FORCE), proposal(3, "called off"), proposal(4, IN_FORCE)];
        assert!(policies.holds_last());
        assert_eq!(policies.took(), Some((4.0, 4.0)));
        policies.proposals.push(proposal(5, "unknown"));
        assert!(!policies.holds_last());
    }
}

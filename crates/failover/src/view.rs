//! The result of failure detection that the policy applies: admission per site, load shares per plan and class, and
//! refused fractions.

use crate::{unit, Micros};
use std::collections::BTreeMap;

/// How long an account stays refused or admitted, µs: some accounts are served fully rather than all in part.
const REFUSAL_PERIOD: Micros = 10_000_000;
/// Fractional part of the golden ratio, which spreads an account's refused periods evenly.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// A single request that may go to a lost site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Sequence number over all sites; each probe has a higher one than those before.
    pub number: u64,
}

/// How much of a site's load is admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Admission {
    /// Fraction of requests that may go there; 1 if the site is healthy, 0 if it is lost.
    pub share: f64,
    /// A request that may go there even if the fraction is 0.
    pub probe: Option<Probe>,
}

impl Admission {
    /// Admits all requests.
    pub const ALL: Admission = Admission { share: 1.0, probe: None };
}

/// Load shares by site, for each plan and class, by their indexes in the settings.
pub type Shares = BTreeMap<(usize, usize), Vec<f64>>;
/// Refused fraction of each plan's and class's accounts.
pub type Refused = BTreeMap<(usize, usize), f64>;

/// State of all sites, as the policy applies it. The default view restricts nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Index into `sites` of each zone. Zones that are not listed belong to no site.
    zones: BTreeMap<String, usize>,
    sites: Vec<Admission>,
    shares: Shares,
    refused: Refused,
    /// Fast path: all sites are fully admitted and no load is assigned to a site.
    unrestricted: bool,
}

impl View {
    /// Creates a view.
    pub fn new(
        zones: BTreeMap<String, usize>,
        sites: Vec<Admission>,
        shares: Shares,
        refused: Refused,
    ) -> View {
        let unrestricted = shares.is_empty() && sites.iter().all(|site| site.share >= 1.0);
        View { zones, sites, shares, refused, unrestricted }
    }

    /// Admission of a zone's site.
    pub fn admission(&self, zone: &str) -> Admission {
        self.zones.get(zone).and_then(|site| self.sites.get(*site)).copied().unwrap_or(Admission::ALL)
    }

    /// Whether a request may go to a zone. `bits` are the same for all attempts of a request, so that a growing share
    /// only adds requests. `probed` is the last probe that was used. Only requests with `may_probe`, first attempts
    /// that are safe to repeat elsewhere, may be probes.
    pub fn admits(&self, zone: &str, bits: u64, may_probe: bool, probed: u64) -> bool {
        if self.unrestricted {
            return true;
        }
        let admission = self.admission(zone);
        unit(bits) < admission.share || (may_probe && self.probes(zone, probed))
    }

    /// Whether a zone's site has an unused probe.
    pub fn probes(&self, zone: &str, probed: u64) -> bool {
        !self.unrestricted && self.admission(zone).probe.is_some_and(|probe| probe.number > probed)
    }

    /// The number of the probe that an attempt in this zone uses up.
    pub fn probe(&self, zone: &str) -> Option<u64> {
        if self.unrestricted {
            return None;
        }
        self.admission(zone).probe.map(|probe| probe.number)
    }

    /// Whether a request's load is assigned to a zone's site, drawn by the request's bits from the shares of the
    /// failover plan. Without a plan every zone is preferred.
    pub fn prefers(&self, zone: &str, key: (usize, usize), bits: u64) -> bool {
        let Some(shares) = self.shares.get(&key).filter(|_| !self.unrestricted) else { return true };
        let Some(site) = self.zones.get(zone) else { return false };
        // Shares sum to the served fraction, so the draw is scaled by it.
        let total: f64 = shares.iter().sum();
        let mut left = unit(bits.rotate_left(32)) * total;
        for (index, share) in shares.iter().enumerate() {
            left -= share;
            if left < 0.0 {
                return index == *site;
            }
        }
        total <= 0.0
    }

    /// Whether an account's request is refused. `account` is a hash of its name alone, so gateways with the same
    /// fraction refuse the same accounts. The refused accounts rotate every ten seconds, each at its own offset.
    pub fn refuses(&self, key: (usize, usize), account: u64, now: Micros) -> bool {
        let Some(fraction) = self.refused.get(&key).copied().filter(|fraction| *fraction > 0.0) else {
            return false;
        };
        let period = (now + account % REFUSAL_PERIOD) / REFUSAL_PERIOD;
        (unit(account) + period as f64 * GOLDEN_FRACTION).fract() < fraction
    }

    /// The refused fraction of a plan's and class's accounts.
    pub fn refused(&self, key: (usize, usize)) -> f64 {
        self.refused.get(&key).copied().unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn zones() -> BTreeMap<String, usize> {
        [("a1", 0), ("a2", 0), ("b", 1), ("c", 2)].map(|(zone, site)| (zone.to_owned(), site)).into()
    }

    fn view_with(shares: [f64; 3]) -> View {
        let sites = shares.map(|share| Admission { share, probe: None }).to_vec();
        View::new(zones(), sites, Shares::new(), Refused::new())
    }

    #[test]
    fn default_view_admits_all() {
        let view = View::default();
        assert!(view.admits("anywhere", 7, false, 0) && view.prefers("x", (0, 0), 1));
        assert!(!view.refuses((0, 0), 1, 1) && view.probe("x").is_none());
    }

    #[test]
    fn growing_share_only_adds_requests() {
        let admitted = |share: f64| -> Vec<u64> {
            (0..10_000).filter(|bits| view_with([share, 1.0, 1.0]).admits("a2", *bits, true, 0)).collect()
        };
        let (few, more) = (admitted(0.125), admitted(0.5));
        assert!((few.len() as f64 - 1_250.0).abs() < 120.0, "{}", few.len());
        assert!((more.len() as f64 - 5_000.0).abs() < 200.0, "{}", more.len());
        assert!(few.iter().all(|bits| more.contains(bits)));
        assert!(admitted(0.0).is_empty());
    }

    #[test]
    fn probe_admits_one_repeatable_request_to_a_lost_site() {
        let probe = Some(Probe { number: 3 });
        let sites = vec![Admission { share: 0.0, probe }, Admission::ALL, Admission::ALL];
        let view = View::new(zones(), sites, Shares::new(), Refused::new());
        assert!(view.admits("a1", 1, true, 2));
        assert!(!view.admits("a1", 1, false, 2), "a request that must not run twice is no probe");
        assert_eq!(view.probe("a1"), Some(3));
        assert!(!view.admits("a1", 1, true, 3), "used");
        assert!(view.admits("b", 1, false, 3));
    }

    #[test]
    fn load_follows_the_failover_plan() {
        let shares = [((1, 0), vec![0.0, 0.6, 0.2])].into();
        let sites = vec![Admission { share: 0.0, probe: None }, Admission::ALL, Admission::ALL];
        let view = View::new(zones(), sites, shares, Refused::new());
        let to = |zone: &str| (0..10_000).filter(|bits| view.prefers(zone, (1, 0), *bits)).count();
        assert_eq!((to("a1"), to("b") + to("c")), (0, 10_000));
        assert!((to("b") as f64 - 7_500.0).abs() < 200.0, "three quarters of what is served: {}", to("b"));
        assert_eq!(to("elsewhere"), 0);
        assert!(view.prefers("a1", (0, 0), 1), "without a plan every zone is preferred");
    }

    #[test]
    fn refused_accounts_are_stable_and_rotate() {
        let view = View::new(zones(), Vec::new(), Shares::new(), [((0, 0), 0.3)].into());
        let at = |account: u64, now: Micros| view.refuses((0, 0), account * 7_919, now);
        let share = (0..10_000).filter(|account| at(*account, 5)).count();
        assert!((share as f64 - 3_000.0).abs() < 150.0, "{share}");
        assert!(!view.refuses((0, 1), 5, 5), "another class");
        // Each account changes at most once within ten seconds, and each is refused at some time.
        for account in 0..200 {
            let seen: Vec<bool> = (0..400).map(|n| at(account, n * 250_000)).collect();
            let changes = |span: &[bool]| span.windows(2).filter(|two| two[0] != two[1]).count();
            assert!(seen.windows(40).all(|span| changes(span) <= 1), "account {account}");
            let refused = seen.iter().filter(|refused| **refused).count();
            assert!((40..=220).contains(&refused), "account {account}: {refused} of 400");
        }
    }

    #[test]
    fn larger_fraction_refuses_a_superset() {
        let with = |part: f64| View::new(zones(), Vec::new(), Shares::new(), [((0, 0), part)].into());
        let (small, large) = (with(0.2), with(0.4));
        assert!((0..2_000).all(|n| !small.refuses((0, 0), n, 9) || large.refuses((0, 0), n, 9)));
    }
}

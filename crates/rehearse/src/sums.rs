//! Sums over a fleet: what each gateway, account and quarter of a second had, and how even it was.

use crate::places::Service;
use crate::script::{Hold, Script};
use hingestage_rules::asked::Asked;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Length of a bucket.
pub const BUCKET: Duration = Duration::from_millis(250);
/// Least requests of one that counts for fairness.
const LEAST_ASKS: usize = 10;

/// A request and what came of it.
#[derive(Clone, Debug)]
pub struct Try {
    /// What was asked.
    pub asked: Asked,
    /// When, from when clients began.
    pub at: Duration,
    /// Whether one gateway with sight of everything would have found it inside the quota.
    pub inside: bool,
    /// The status of its answer.
    pub status: Option<u16>,
    /// When it was first sent to a worker.
    pub sent: Option<Duration>,
    /// The worker that had it first.
    pub worker: Option<usize>,
    /// How long its client waited for the answer.
    pub took: Option<Duration>,
}

/// What a span of time had.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Requests asked.
    pub asked: usize,
    /// Requests answered with 200, by when they were asked.
    pub served: usize,
    /// Requests answered with 429 or 503.
    pub refused: usize,
    /// Requests with another answer or none.
    pub failed: usize,
    /// Units sent to workers.
    pub units: f64,
    /// Calls that the counter had.
    pub calls: u64,
    /// Most connections of a worker.
    pub connections: usize,
}

/// Processor time that processes have had so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spent {
    /// Gateways.
    pub gateways: Duration,
    /// Keepers.
    pub keepers: Duration,
}

/// Served and asked.
pub type Share = (usize, usize);

/// All sums of a run.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    /// By time.
    pub buckets: Vec<Bucket>,
    /// Of requests inside quotas, by gateway.
    pub gateways: BTreeMap<usize, Share>,
    /// The same by account.
    pub accounts: BTreeMap<u64, Share>,
    /// Units sent on by account and bucket.
    pub units: BTreeMap<u64, Vec<f64>>,
    /// How sites served, where there are any.
    pub service: Service,
    /// Changes of the policy seen in force, and whether the last one is.
    pub changes: (usize, bool),
    /// When policies were changing: from a proposal until shortly after it came into force or was called off.
    pub changing: Vec<(Duration, Duration)>,
    /// Processor time of all processes.
    pub spent: Spent,
    /// Which gateway sent to which worker, and when.
    met: Vec<(Duration, (usize, usize))>,
    /// When requests were asked that were served, and how long they took.
    answers: Vec<(Duration, Duration)>,
    /// When requests inside quotas were asked, and whether they were served.
    inside: Vec<(Duration, bool)>,
}

/// Jain's index of values: 1 where all are equal, 1/n where one has all. 1 of none.
pub fn jain(values: &[f64]) -> f64 {
    let (sum, squares) = values.iter().fold((0.0, 0.0), |(s, q), v| (s + v, q + v * v));
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (values.len() as f64 * squares)
}

fn bucket(at: Duration) -> usize {
    (at.as_millis() / BUCKET.as_millis()) as usize
}

impl Sums {
    /// Of a run that lasts so long.
    pub fn new(lasts: Duration) -> Sums {
        Sums { buckets: vec![Bucket::default(); bucket(lasts) + 1], ..Sums::default() }
    }

    /// Takes in a request and what came of it.
    pub fn take(&mut self, one: &Try) {
        let last = self.buckets.len() - 1;
        let served = one.status == Some(200);
        let own = &mut self.buckets[bucket(one.at).min(last)];
        own.asked += 1;
        match one.status {
            Some(200) => own.served += 1,
            Some(429 | 503) => own.refused += 1,
            _ => own.failed += 1,
        }
        if one.inside {
            let add = |share: &mut Share| *share = (share.0 + usize::from(served), share.1 + 1);
            add(self.gateways.entry(one.asked.gateway).or_default());
            add(self.accounts.entry(one.asked.account).or_default());
            self.inside.push((one.at, served));
        }
        self.answers.extend(one.took.filter(|_| served).map(|took| (one.at, took)));
        if let Some(sent) = one.sent {
            self.met.extend(one.worker.map(|worker| (sent, (one.asked.gateway, worker))));
            let at = bucket(sent).min(last);
            self.buckets[at].units += one.asked.units;
            let of_account = self.units.entry(one.asked.account).or_insert_with(|| vec![0.0; last + 1]);
            of_account[at] += one.asked.units;
        }
    }

    /// Takes in figures read at an instant: calls since the last ones, and most connections of a worker.
    pub fn sample(&mut self, at: Duration, calls: u64, connections: usize) {
        let last = self.buckets.len() - 1;
        let bucket = &mut self.buckets[bucket(at).min(last)];
        bucket.calls += calls;
        bucket.connections = bucket.connections.max(connections);
    }

    /// The served share of requests inside quotas asked in a span; 1 of none.
    pub fn served(&self, from: Duration, to: Duration) -> f64 {
        let span = self.inside.iter().filter(|(at, _)| (from..to).contains(at));
        let (all, served) = span.fold((0u32, 0u32), |(n, s), (_, served)| (n + 1, s + u32::from(*served)));
        if all == 0 {
            1.0
        } else {
            f64::from(served) / f64::from(all)
        }
    }

    /// Units of an account a second of a span.
    pub fn through(&self, account: u64, from: Duration, to: Duration) -> f64 {
        let units = self.units.get(&account).map_or(&[][..], Vec::as_slice);
        let (from, to) = (bucket(from), bucket(to));
        let sum: f64 = units.iter().skip(from).take(to - from).sum();
        sum / ((to - from).max(1) as f64 * BUCKET.as_secs_f64())
    }

    /// Jain's index of the served share over gateways.
    pub fn fair_gateways(&self) -> f64 {
        fair(self.gateways.values())
    }

    /// Jain's index of the served share over accounts.
    pub fn fair_accounts(&self) -> f64 {
        fair(self.accounts.values())
    }

    /// Of the pairs of gateway and worker at work in a span, the share that was not in an earlier one; 0 of none.
    pub fn new_pairs(&self, before: (Duration, Duration), after: (Duration, Duration)) -> f64 {
        let of = |(from, to): (Duration, Duration)| -> BTreeSet<(usize, usize)> {
            self.met.iter().filter(|(at, _)| (from..to).contains(at)).map(|(_, pair)| *pair).collect()
        };
        let (old, new) = (of(before), of(after));
        new.difference(&old).count() as f64 / new.len().max(1) as f64
    }

    /// Whether an instant lies in a change of the policy.
    fn changes_at(&self, at: Duration) -> bool {
        self.changing.iter().any(|(from, to)| (*from..*to).contains(&at))
    }

    /// How long the slowest hundredth of served requests waited at the least, while policies were changing and while
    /// none was. None where there are fewer than a hundred of either.
    pub fn waits(&self) -> Option<(Duration, Duration)> {
        let hundredth = |changing: bool| {
            let mut some: Vec<Duration> = self
                .answers
                .iter()
                .filter(|(at, _)| self.changes_at(*at) == changing)
                .map(|(_, took)| *took)
                .collect();
            some.sort_unstable();
            let place = (some.len() >= 100).then(|| some.len() * 99 / 100);
            place.map(|place| some[place])
        };
        hundredth(true).zip(hundredth(false))
    }

    /// Of requests inside quotas, the share served while policies were changing against that while none was. 1 where
    /// there is neither.
    pub fn goodput(&self) -> f64 {
        let share = |changing: bool| {
            let some = self.inside.iter().filter(|(at, _)| self.changes_at(*at) == changing);
            let (all, served) =
                some.fold((0u32, 0u32), |(n, s), (_, served)| (n + 1, s + u32::from(*served)));
            (all > 0).then(|| f64::from(served) / f64::from(all))
        };
        match (share(true), share(false)) {
            (Some(changing), Some(calm)) if calm > 0.0 => changing / calm,
            _ => 1.0,
        }
    }

    /// Processor time of gateways for each request that was asked, milliseconds.
    pub fn cpu_a_request(&self) -> f64 {
        let asked: usize = self.buckets.iter().map(|bucket| bucket.asked).sum();
        self.spent.gateways.as_secs_f64() * 1e3 / asked.max(1) as f64
    }

    /// Most calls to the counter in a second.
    pub fn most_calls(&self) -> u64 {
        let second = (1.0 / BUCKET.as_secs_f64()) as usize;
        self.buckets.windows(second).map(|w| w.iter().map(|b| b.calls).sum()).max().unwrap_or(0)
    }

    /// Most connections of a worker.
    pub fn most_connections(&self) -> usize {
        self.buckets.iter().map(|b| b.connections).max().unwrap_or(0)
    }

    /// What a hold is about, as measured, and whether it is kept.
    pub fn measure(&self, script: &Script, hold: &Hold) -> (String, f64, bool) {
        let span =
            |from: &Duration, to: &Duration| format!("{} to {} s", from.as_secs_f64(), to.as_secs_f64());
        match hold {
            Hold::Served(least, from, to) => {
                let value = self.served(*from, *to);
                (
                    format!("served inside quotas, {}, at least {least}", span(from, to)),
                    value,
                    value >= *least,
                )
            }
            Hold::Through(account, from, to, least, most) => {
                let plan = script.accounts().find(|(n, _)| n == account).map(|(_, group)| group.plan);
                let rate = plan.and_then(|plan| script.plans.get(plan)).map_or(1.0, |plan| plan.rate);
                let value = self.through(*account, *from, *to) / rate;
                let what = format!("account {account} of its quota, {}, {least} to {most}", span(from, to));
                (what, value, (*least..=*most).contains(&value))
            }
            Hold::FairGateways(least) => {
                let value = self.fair_gateways();
                (format!("Jain's index over gateways, at least {least}"), value, value >= *least)
            }
            Hold::FairAccounts(least) => {
                let value = self.fair_accounts();
                (format!("Jain's index over accounts, at least {least}"), value, value >= *least)
            }
            Hold::Calls(most) => {
                let value = self.most_calls() as f64;
                (format!("calls to the counter in a second, {most} at most"), value, value <= *most)
            }
            Hold::Connections(most) => {
                let value = self.most_connections() as f64;
                (format!("connections of a worker, {most} at most"), value, value <= *most)
            }
            Hold::NewPairs(most, before, after) => {
                let value = self.new_pairs(*before, *after);
                let what = format!(
                    "pairs of gateway and worker that are new, {} against {}, at most {most}",
                    span(&after.0, &after.1),
                    span(&before.0, &before.1)
                );
                (what, value, value <= *most)
            }
            Hold::Goodput(least) => {
                let value = self.goodput();
                (
                    format!("served while a policy changes against else, at least {least}"),
                    value,
                    value >= *least,
                )
            }
            Hold::Waits(most) => {
                let what =
                    format!("the slowest hundredth waits while a policy changes, at most {most} s more");
                let more =
                    self.waits().map_or(0.0, |(changing, calm)| changing.as_secs_f64() - calm.as_secs_f64());
                (what, more, more <= *most)
            }
            Hold::Changes(least) => {
                let seen = self.changes.0;
                (format!("changes seen in force, at least {least}"), seen as f64, seen >= *least)
            }
            Hold::Worth(least, from, to) => {
                let value = self.service.worth(*from, *to);
                (
                    format!("worth served, {}, at least {least} of the best", span(from, to)),
                    value,
                    value >= *least,
                )
            }
            Hold::Inversions(most, from, to) => {
                let value = self.service.inversions(*from, *to);
                (
                    format!("refused beside what is worth less, {}, at most {most}", span(from, to)),
                    value,
                    value <= *most,
                )
            }
            Hold::Steady(least, from, to) => {
                let value = self.service.steady(*from, *to);
                (
                    format!(
                        "of an account's requests come to the same, {}, at least {least}",
                        span(from, to)
                    ),
                    value,
                    value >= *least,
                )
            }
            Hold::LastChange => {
                let kept = self.changes.1;
                ("the last change is in force".to_owned(), f64::from(u8::from(kept)), kept)
            }
        }
    }
}

fn fair<'a>(shares: impl Iterator<Item = &'a Share>) -> f64 {
    let often = shares.filter(|(_, asked)| *asked >= LEAST_ASKS);
    let values: Vec<f64> = often.map(|(served, asked)| *served as f64 / *asked as f64).collect();
    jain(&values)
}

#[cfg(test)]
mod tests {
    use super::*;
    use hingestage_rules::Class;

    fn one(gateway: usize, account: u64, at: u64, status: Option<u16>, sent: Option<u64>) -> Try {
        let asked = Asked {
            gateway,
            life: 1,
            class: Class::Pull,
            account,
            plan: 0,
            units: 2.0,
            number: 0,
            line: String::new(),
            body: Vec::new(),
        };
        let ms = Duration::from_millis;
        let worker = sent.map(|_| account as usize);
        let took = status.map(|_| ms(10));
        Try { asked, at: ms(at), inside: true, status, sent: sent.map(ms), worker, took }
    }

    #[test]
    fn jains_index_is_one_where_all_are_equal_and_a_share_where_one_has_all() {
        assert_eq!(jain(&[3.0, 3.0, 3.0]), 1.0);
        assert_eq!(jain(&[4.0, 0.0, 0.0, 0.0]), 0.25);
        assert_eq!(jain(&[]), 1.0);
        assert_eq!(jain(&[0.0, 0.0]), 1.0);
    }

    #[test]
    fn each_request_counts_when_it_was_asked_and_its_units_when_they_were_sent() {
        let mut sums = Sums::new(Duration::from_secs(2));
        sums.take(&one(0, 7, 100, Some(200), Some(300)));
        sums.take(&one(0, 7, 100, Some(429), None));
        sums.take(&one(0, 7, 600, None, Some(9_000)));
        let first = &sums.buckets[0];
        assert_eq!((first.asked, first.served, first.refused, first.units), (2, 1, 1, 0.0));
        assert_eq!((sums.buckets[1].units, sums.buckets[2].failed), (2.0, 1));
        assert_eq!(sums.buckets[8].units, 2.0, "what comes after the end counts in the last bucket");
        assert_eq!(sums.served(Duration::ZERO, Duration::from_millis(500)), 0.5);
        assert_eq!(sums.through(7, Duration::ZERO, Duration::from_secs(1)), 2.0);
        assert_eq!(sums.through(8, Duration::ZERO, Duration::from_secs(1)), 0.0);
    }

    #[test]
    fn fairness_leaves_out_those_who_hardly_asked() {
        let mut sums = Sums::new(Duration::from_secs(1));
        for _ in 0..20 {
            sums.take(&one(0, 1, 0, Some(200), None));
            sums.take(&one(1, 1, 0, Some(200), None));
        }
        sums.take(&one(2, 2, 0, None, None));
        assert_eq!((sums.fair_gateways(), sums.fair_accounts()), (1.0, 1.0));
        (0..20).for_each(|_| sums.take(&one(2, 2, 0, None, None)));
        assert!(sums.fair_gateways() < 0.7 && sums.fair_accounts() < 0.6);
    }

    #[test]
    fn pairs_that_were_there_before_are_not_new() {
        let mut sums = Sums::new(Duration::from_secs(4));
        let s = Duration::from_secs;
        for (gateway, worker, at) in [(0, 1, 500), (0, 2, 600), (0, 2, 2_500), (1, 2, 2_600), (1, 2, 2_700)] {
            sums.take(&one(gateway, worker, at, Some(200), Some(at)));
        }
        assert_eq!(sums.new_pairs((s(0), s(1)), (s(2), s(3))), 0.5);
        assert_eq!(sums.new_pairs((s(0), s(1)), (s(3), s(4))), 0.0);
    }

    #[test]
    fn what_a_change_costs_is_told_beside_what_there_is_without() {
        let (mut sums, ms) = (Sums::new(Duration::from_secs(4)), Duration::from_millis);
        sums.changing = vec![(ms(1_000), ms(2_000))];
        for n in 0..400 {
            let slow = (1_000..2_000).contains(&(n * 10));
            let wait = if slow { 30 } else { 10 };
            // Every fifth is refused in the change, every tenth else.
            let served = n % if slow { 5 } else { 10 } != 0;
            let took = Some(ms(wait));
            sums.take(&Try { took, ..one(0, 1, n * 10, Some(if served { 200 } else { 429 }), None) });
        }
        assert_eq!(sums.waits(), None, "eighty served requests have no hundredth");
        sums.changing = vec![(ms(1_000), ms(3_000))];
        let (changing, calm) = sums.waits().unwrap();
        assert_eq!((changing, calm), (ms(30), ms(10)));
        assert!((sums.goodput() - 0.85 / 0.9).abs() < 1e-9);
    }

    #[test]
    fn calls_are_summed_over_any_second() {
        let mut sums = Sums::new(Duration::from_secs(3));
        (0..8).for_each(|n| sums.sample(Duration::from_millis(n * 250), n, n as usize));
        assert_eq!((sums.most_calls(), sums.most_connections()), (4 + 5 + 6 + 7, 7));
    }
}

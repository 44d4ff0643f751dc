//! Total admissions over all gateways under changing shares, restarts, expired leases, refunds and borrowing.

mod common;

use common::{Grants, ROUNDING};
use hingestage_quota::{
    Admission, BucketLimit, EvenShare, Incarnation, Micros, ShareMeter, SharedBucket, TableSettings,
    TenantLimits, TenantTable,
};
use proptest::prelude::*;

const S: Micros = 1_000_000;
const GATEWAYS: usize = 5;
/// Maximum transit time of lent tokens, µs.
const MAX_TRANSIT: Micros = 60_000;

#[derive(Clone, Debug)]
enum Step {
    Wait(Micros),
    /// Grants a share to one gateway, if the leases of the others permit it.
    Grant {
        gateway: usize,
        gateways: u32,
        lease: Micros,
    },
    Restart(usize),
    Request {
        gateway: usize,
        requests: usize,
    },
    /// Ends the oldest open request of one gateway.
    End {
        gateway: usize,
        ran: bool,
    },
    /// Evicts the tenant by requests of others.
    Evict(usize),
    /// One gateway borrows tokens from another and uses them after a delay.
    Borrow {
        gateway: usize,
        from: usize,
        tenths: u32,
        after: Micros,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;
    prop_oneof![
        2 => (1..2 * S).prop_map(Step::Wait),
        1 => (2 * S..40 * S).prop_map(Step::Wait),
        4 => (gateway.clone(), 1..=GATEWAYS as u32, S..60 * S)
            .prop_map(|(gateway, gateways, lease)| Step::Grant { gateway, gateways, lease }),
        1 => gateway.clone().prop_map(Step::Restart),
        6 => (gateway.clone(), 1_usize..12).prop_map(|(gateway, requests)| Step::Request { gateway, requests }),
        4 => (gateway.clone(), any::<bool>()).prop_map(|(gateway, ran)| Step::End { gateway, ran }),
        3 => (gateway.clone(), gateway.clone(), 1_u32..25, 0..MAX_TRANSIT)
            .prop_map(|(gateway, from, tenths, after)| Step::Borrow { gateway, from, tenths, after }),
        1 => gateway.prop_map(Step::Evict),
    ]
}

/// One gateway and the admission times of its open requests.
struct Gateway {
    table: TenantTable,
    open: Vec<Micros>,
}

struct Cluster {
    now: Micros,
    limits: TenantLimits,
    gateways: Vec<Gateway>,
    grants: Grants,
    runs: u64,
    /// Admission times of requests that ran or may still run.
    ran: Vec<Micros>,
}

impl Cluster {
    fn new(limits: TenantLimits) -> Cluster {
        let new = || Gateway { table: new_table(0, 0), open: Vec::new() };
        let gateways = (0..GATEWAYS).map(|_| new()).collect();
        Cluster { now: 0, limits, gateways, grants: Grants::none(GATEWAYS), runs: 0, ran: Vec::new() }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait(span) => self.now += span,
            Step::Grant { gateway, gateways, lease } => self.grant(gateway, gateways, lease),
            Step::Restart(gateway) => self.restart(gateway),
            Step::Request { gateway, requests } => (0..requests).for_each(|_| self.request(gateway)),
            Step::End { gateway, ran } => self.end(gateway, ran),
            Step::Evict(gateway) => self.evict(gateway),
            Step::Borrow { gateway, from, tenths, after } => {
                self.borrow(gateway, from, f64::from(tenths) / 10.0, after);
            }
        }
    }

    fn grant(&mut self, gateway: usize, gateways: u32, lease: Micros) {
        let part = EvenShare { gateways, valid_until: self.now + lease };
        if self.grants.grant(self.now, gateway, part) {
            self.gateways[gateway].table.observe_share(self.now, part);
        }
    }

    fn restart(&mut self, gateway: usize) {
        self.runs += 1;
        let restarted = &mut self.gateways[gateway];
        self.ran.append(&mut restarted.open);
        restarted.table = new_table(self.now, self.runs);
    }

    fn request(&mut self, gateway: usize) {
        let (part, Gateway { table, open }) = (self.grants.0[gateway], &mut self.gateways[gateway]);
        if table.admit(self.now, "acme", self.limits, part, 0) == Admission::Admitted {
            open.push(self.now);
        }
    }

    fn borrow(&mut self, gateway: usize, from: usize, max: f64, after: Micros) {
        if gateway == from {
            return;
        }
        let lent = self.gateways[from].table.lend(self.now, "acme", self.limits, self.grants.0[from], max);
        self.now += after;
        let (part, Gateway { table, open }) = (self.grants.0[gateway], &mut self.gateways[gateway]);
        if table.admit_with(self.now, "acme", self.limits, part, 0, lent) == Admission::Admitted {
            open.push(self.now);
        }
    }

    fn end(&mut self, gateway: usize, ran: bool) {
        let ended = &mut self.gateways[gateway];
        if ended.open.is_empty() {
            return;
        }
        let admitted_at = ended.open.remove(0);
        ended.table.record_end(self.now, "acme", ran);
        if ran {
            self.ran.push(admitted_at);
        }
    }

    fn evict(&mut self, gateway: usize) {
        let (part, table) = (self.grants.0[gateway], &mut self.gateways[gateway].table);
        for name in ["one", "two", "three"] {
            if table.admit(self.now, name, self.limits, part, 0) == Admission::Admitted {
                table.record_end(self.now, name, true);
            }
        }
    }

    /// Maximum over all windows of the admissions beyond the rate.
    fn max_excess(mut self) -> f64 {
        self.gateways.iter_mut().for_each(|gateway| self.ran.append(&mut gateway.open));
        self.ran.sort_unstable();
        let excess = |from: usize, to: usize| {
            let window = (self.ran[to] - self.ran[from]) as f64 / S as f64;
            (to - from + 1) as f64 - window * self.limits.rate_per_s
        };
        let windows = (0..self.ran.len()).flat_map(|from| (from..self.ran.len()).map(move |to| (from, to)));
        windows.map(|(from, to)| excess(from, to)).fold(0.0, f64::max)
    }
}

fn new_table(now: Micros, run: u64) -> TenantTable {
    TenantTable::new(now, Incarnation(run), TableSettings { entries: 2, ..TableSettings::default() })
}

fn max_excess(limits: TenantLimits, steps: &[Step]) -> f64 {
    let mut cluster = Cluster::new(limits);
    steps.iter().for_each(|step| cluster.apply(step));
    cluster.max_excess()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn total_admissions_stay_within_rate_burst_and_slack(
        steps in prop::collection::vec(step(), 1..120),
        (rate, burst, slack) in (1_u32..20, 10_u32..30, 0_u32..10),
        exempt: bool,
        whole_tokens: bool,
    ) {
        let (rate_per_s, burst, slack) = (rate.into(), burst.into(), slack.into());
        let limits = TenantLimits { rate_per_s, burst, slack, open_cap: None, exempt, reserve: 0.0, whole_tokens };
        let in_transit = rate_per_s * MAX_TRANSIT as f64 / S as f64;
        prop_assert!(max_excess(limits, &steps) <= burst + slack + in_transit + ROUNDING);
    }

    /// A rarely refreshed bucket never exceeds one that is refreshed at every change of the share.
    #[test]
    fn rarely_refreshed_bucket_does_not_exceed_a_continuously_refreshed_one(
        changes in prop::collection::vec((1_u32..12, S / 10..3 * S, S / 10..3 * S), 1..150),
    ) {
        let limit = BucketLimit { rate: 8.0, depth: 30.0, min_capacity: 1.0 };
        let (mut now, mut meter) = (0, ShareMeter::new(0));
        meter.observe(0, EvenShare { gateways: 1, valid_until: 10 * S });
        let mut continuous = SharedBucket::new(&meter, limit, 30.0);
        let mut rarely_refreshed = continuous.clone();
        for (gateways, lease, span) in changes {
            meter.observe(now, EvenShare { gateways, valid_until: now + lease });
            continuous.refresh(&meter, limit);
            meter.advance(now + span.min(lease));
            continuous.refresh(&meter, limit);
            now += span;
            meter.advance(now);
            let mut rarely_refreshed = rarely_refreshed.clone();
            rarely_refreshed.refresh(&meter, limit);
            prop_assert!(rarely_refreshed.level() <= continuous.level() + ROUNDING);
        }
        rarely_refreshed.refresh(&meter, limit);
        prop_assert!(rarely_refreshed.level() <= 30.0 * meter.share().max(1.0 / 30.0));
    }

    #[test]
    fn shares_below_one_token_add_at_most_one_token_per_gateway(
        steps in prop::collection::vec(step(), 1..120),
        (rate, burst) in (0.05_f64..2.0, 0.0_f64..5.0),
    ) {
        let limits = TenantLimits { rate_per_s: rate, burst, slack: 0.0, open_cap: None, exempt: true, reserve: 0.0, whole_tokens: true };
        prop_assert!(max_excess(limits, &steps) <= burst + GATEWAYS as f64 + ROUNDING);
    }
}

#[test]
fn even_shares_admit_the_whole_limit() {
    let limits = TenantLimits {
        rate_per_s: 10.0,
        burst: 20.0,
        slack: 0.0,
        open_cap: None,
        exempt: true,
        reserve: 0.0,
        whole_tokens: true,
    };
    let mut steps = Vec::new();
    let all = 0..GATEWAYS;
    steps.extend(all.clone().map(|gateway| Step::Grant { gateway, gateways: 5, lease: 1_000 * S }));
    for _ in 0..100 {
        steps.push(Step::Wait(S));
        steps.extend(all.clone().map(|gateway| Step::Request { gateway, requests: 9 }));
    }
    let mut cluster = Cluster::new(limits);
    steps.iter().for_each(|step| cluster.apply(step));
    let admitted: usize = cluster.gateways.iter().map(|gateway| gateway.open.len()).sum();
    assert!((995..=1_020).contains(&admitted), "{admitted}");
}

#[test]
fn share_below_one_token_sustains_its_rate() {
    let limits = TenantLimits {
        rate_per_s: 0.5,
        burst: 1.0,
        slack: 0.0,
        open_cap: None,
        exempt: true,
        reserve: 0.0,
        whole_tokens: true,
    };
    let mut cluster = Cluster::new(limits);
    cluster.apply(&Step::Grant { gateway: 0, gateways: 5, lease: 100_000 * S });
    for _ in 0..1_000 {
        cluster.apply(&Step::Wait(S));
        cluster.apply(&Step::Request { gateway: 0, requests: 2 });
    }
    let admitted = cluster.gateways[0].open.len();
    assert!((99..=101).contains(&admitted), "{admitted}");
    assert_eq!(SharedBucket::worst_depth(1.0, 5), 5.0);
}

//! Admission decisions of one gateway, and eviction from its table.

use hingestage_quota::{
    Admission, EvenShare, GatewayId, Incarnation, Micros, RefusalReason, ShareMeter, TableSettings,
    TenantLimits, TenantTable, TenantTotal, Totals,
};

const S: Micros = 1_000_000;
const SOLE: EvenShare = EvenShare { gateways: 1, valid_until: 10_000 * S };
const HALF: EvenShare = EvenShare { gateways: 2, valid_until: 10_000 * S };
/// Limits with a window of 2 s.
const LIMITS: TenantLimits = TenantLimits {
    rate_per_s: 5.0,
    burst: 10.0,
    slack: 0.0,
    open_cap: None,
    exempt: false,
    reserve: 0.0,
    whole_tokens: true,
};

/// A table that holds `part` from time 0 on.
fn table_with(part: EvenShare, settings: TableSettings) -> TenantTable {
    let mut table = TenantTable::new(0, Incarnation(1), settings);
    table.observe_share(0, part);
    table
}

fn table(part: EvenShare) -> TenantTable {
    table_with(part, TableSettings::default())
}

fn reason(admission: Admission) -> Option<RefusalReason> {
    match admission {
        Admission::Admitted => None,
        Admission::Refused { reason, .. } => Some(reason),
    }
}

/// Sends `requests` requests at one time, ends the admitted ones and returns their number.
fn burst(table: &mut TenantTable, now: Micros, limits: TenantLimits, part: EvenShare, requests: u64) -> u64 {
    let ask = |spread: &u64| table.admit(now, "acme", limits, part, *spread) == Admission::Admitted;
    let admitted = (0..requests).filter(ask).count() as u64;
    (0..admitted).for_each(|_| table.record_end(now, "acme", true));
    admitted
}

#[test]
fn new_tenant_starts_with_its_share_of_the_burst() {
    assert_eq!(burst(&mut table(SOLE), 60 * S, LIMITS, SOLE, 30), 10);
    assert_eq!(burst(&mut table(HALF), 60 * S, LIMITS, HALF, 30), 5);
}

#[test]
fn restarted_gateway_starts_with_empty_buckets() {
    assert_eq!(burst(&mut table(SOLE), 0, LIMITS, SOLE, 30), 0);
    assert_eq!(burst(&mut table(SOLE), S, LIMITS, SOLE, 30), 5);
}

#[test]
fn growing_share_raises_the_rate_but_not_the_level() {
    let mut table = table(HALF);
    assert_eq!(burst(&mut table, 60 * S, LIMITS, HALF, 3), 3);
    assert_eq!(burst(&mut table, 60 * S, LIMITS, SOLE, 30), 2);
    assert_eq!(burst(&mut table, 61 * S, LIMITS, SOLE, 30), 5);
}

#[test]
fn growing_limit_raises_the_rate_but_not_the_level() {
    let raised = TenantLimits { rate_per_s: 50.0, burst: 100.0, ..LIMITS };
    let mut table = table(SOLE);
    assert_eq!(burst(&mut table, 60 * S, LIMITS, SOLE, 10), 10);
    assert_eq!(burst(&mut table, 61 * S, raised, SOLE, 99), 5);
    assert_eq!(burst(&mut table, 62 * S, raised, SOLE, 99), 50);
    assert_eq!(burst(&mut table, 99 * S, LIMITS, SOLE, 1), 1);
    assert_eq!(burst(&mut table, 200 * S, raised, SOLE, 99), 10);
}

#[test]
fn meter_earns_nothing_after_lease_expiry() {
    let mut meter = ShareMeter::new(0);
    meter.observe(0, EvenShare { gateways: 2, valid_until: 10 * S });
    meter.advance(30 * S);
    assert_eq!((meter.share(), meter.earned()), (0.0, 5.0));
}

#[test]
fn lease_expiry_empties_the_bucket() {
    let lapsed = EvenShare { gateways: 1, valid_until: 20 * S };
    let mut table = table(lapsed);
    assert_eq!(burst(&mut table, 10 * S, LIMITS, lapsed, 1), 1);
    let refusal = table.admit(20 * S, "acme", LIMITS, lapsed, 1);
    assert!(matches!(refusal, Admission::Refused { retry_after, reason: RefusalReason::NoLease }
        if (250_000..=375_000).contains(&retry_after)));
    table.observe_share(30 * S, SOLE);
    assert_eq!(burst(&mut table, 31 * S, LIMITS, SOLE, 30), 5);
}

#[test]
fn unlimited_tenants_need_no_lease() {
    let unlimited = TenantLimits { rate_per_s: 0.0, ..LIMITS };
    assert_eq!(burst(&mut table(EvenShare::NONE), 60 * S, unlimited, EvenShare::NONE, 300), 300);
}

#[test]
fn penalized_tenant_is_limited_to_its_rate_and_remaining_quota_for_one_window() {
    let slack = TenantLimits { slack: 10.0, ..LIMITS };
    let mut table = table(SOLE);
    assert_eq!(burst(&mut table, 60 * S, slack, SOLE, 10), 10);
    assert!(!table.is_penalized(60 * S, "acme"));
    table.observe_share(62 * S, SOLE);
    // Ten tokens: the first request starts the penalty; then only tokens above a quarter of the slack are usable.
    assert_eq!(burst(&mut table, 61 * S, slack, SOLE, 9), 7);
    assert!(table.is_penalized(61 * S, "acme"));
    let refusal = table.admit(61 * S, "acme", slack, SOLE, 0);
    assert!(matches!(refusal, Admission::Refused { retry_after, reason: RefusalReason::PenaltyBox }
        if (200_000..=300_000).contains(&retry_after)));
    assert_eq!(burst(&mut table, 61 * S + S / 5, slack, SOLE, 9), 1, "one request at the rate");
    assert!(table.is_penalized(63 * S - 1, "acme"));
    assert!(!table.is_penalized(63 * S, "acme"), "the penalty ends after one window");
    assert!(burst(&mut table, 64 * S, slack, SOLE, 5) > 1, "bursts are admitted again");
}

#[test]
fn exempt_tenant_is_never_penalized_but_stays_within_the_hard_bound() {
    let exempt = TenantLimits { exempt: true, slack: 10.0, ..LIMITS };
    let mut table = table(SOLE);
    let mut admitted = 0;
    for tenth in 600..700 {
        let now = tenth * S / 10;
        admitted += burst(&mut table, now, exempt, SOLE, 3);
        assert!(!table.is_penalized(now, "acme"));
        assert_ne!(reason(table.admit(now, "acme", exempt, SOLE, 0)), Some(RefusalReason::PenaltyBox));
    }
    assert!((10..=70).contains(&admitted), "{admitted}");
}

#[test]
fn open_requests_are_capped_by_the_share_of_recent_counts() {
    let capped = TenantLimits { open_cap: Some(8), rate_per_s: 100.0, burst: 1_000.0, ..LIMITS };
    let mut table = table(HALF);
    let now = 60 * S;
    let admit = |table: &mut TenantTable| reason(table.admit(now, "acme", capped, HALF, 0));
    for _ in 0..4 {
        assert_eq!(admit(&mut table), None, "half of eight by the share");
    }
    assert_eq!(admit(&mut table), Some(RefusalReason::OpenCap));
    table.apply_totals(now, &totals(4, 4.0, 4.0));
    assert_eq!(admit(&mut table), None, "all of eight, since no other gateway has requests");
    table.apply_totals(now, &totals(4, 400.0, 4.0));
    assert_eq!(admit(&mut table), Some(RefusalReason::OpenCap));
    (0..5).for_each(|_| table.record_end(now, "acme", true));
    assert_eq!(admit(&mut table), None, "at least one");
}

fn totals(counted: u64, total: f64, yours: f64) -> Totals {
    let tenant = TenantTotal { tenant: "acme".into(), counted, total, yours, open: 0, gateways: 2 };
    Totals { incarnation: Incarnation(1), sequence: 1, tenants: vec![tenant] }
}

#[test]
fn counts_of_other_gateways_cause_a_penalty_until_they_are_stale() {
    let penalized = |age: Micros| {
        let mut table = table(HALF);
        assert_eq!(burst(&mut table, 60 * S, LIMITS, HALF, 1), 1);
        table.apply_totals(60 * S, &totals(1, 12.0, 1.0));
        burst(&mut table, 60 * S + age, LIMITS, HALF, 1);
        table.is_penalized(60 * S + age, "acme")
    };
    assert!(penalized(0));
    assert!(penalized(4 * S - 1));
    assert!(!penalized(4 * S));
}

#[test]
fn counts_of_other_gateways_are_extrapolated() {
    let mut table = table(HALF);
    assert_eq!(burst(&mut table, 60 * S, LIMITS, HALF, 1), 1);
    table.apply_totals(60 * S, &totals(1, 5.0, 1.0));
    table.apply_totals(60 * S + S / 4, &totals(1, 6.0, 1.0));
    burst(&mut table, 60 * S + S / 2, LIMITS, HALF, 1);
    assert!(!table.is_penalized(60 * S + S / 2, "acme"));
    burst(&mut table, 61 * S + S / 2, LIMITS, HALF, 1);
    assert!(table.is_penalized(61 * S + S / 2, "acme"), "three local and ten extrapolated requests");
}

#[test]
fn totals_of_another_run_are_ignored() {
    let mut table = table(HALF);
    assert_eq!(burst(&mut table, 60 * S, LIMITS, HALF, 1), 1);
    let stale = Totals { incarnation: Incarnation(0), ..totals(1, 99.0, 1.0) };
    table.apply_totals(60 * S, &stale);
    burst(&mut table, 60 * S, LIMITS, HALF, 1);
    assert!(!table.is_penalized(60 * S, "acme"));
}

#[test]
fn request_that_never_ran_is_refunded() {
    let exempt = TenantLimits { exempt: true, ..LIMITS };
    let mut table = table(SOLE);
    let now = 60 * S;
    for _ in 0..10 {
        assert_eq!(reason(table.admit(now, "acme", exempt, SOLE, 0)), None);
    }
    assert_eq!(reason(table.admit(now, "acme", exempt, SOLE, 0)), Some(RefusalReason::HardBound));
    (0..3).for_each(|_| table.record_end(now, "acme", false));
    (0..7).for_each(|_| table.record_end(now, "acme", true));
    assert_eq!(burst(&mut table, now, exempt, SOLE, 9), 3);
    assert_eq!(table.collect_adds(now, |_| Some(GatewayId(1)))[0].1.tenants[0].cumulative, 10);
}

#[test]
fn refund_does_not_restore_tokens_lost_to_overflow() {
    let mut table = table(SOLE);
    assert_eq!(reason(table.admit(60 * S, "acme", LIMITS, SOLE, 0)), None);
    assert_eq!(burst(&mut table, 80 * S, LIMITS, SOLE, 9), 9);
    table.record_end(80 * S, "acme", false);
    assert_eq!(burst(&mut table, 80 * S, LIMITS, SOLE, 9), 1);
}

#[test]
fn table_evicts_the_least_recently_used_tenant_without_open_requests() {
    let settings = TableSettings { entries: 3, ..TableSettings::default() };
    let mut table = table_with(SOLE, settings);
    let admit = |table: &mut TenantTable, second: Micros, name: &str| {
        reason(table.admit(second * S, name, LIMITS, SOLE, 0))
    };
    for (second, name) in [(60, "a"), (70, "b"), (80, "c")] {
        assert_eq!(admit(&mut table, second, name), None);
    }
    table.record_end(85 * S, "c", true);
    table.record_end(85 * S, "b", true);
    assert_eq!(admit(&mut table, 90, "d"), None, "c is evicted");
    assert_eq!(admit(&mut table, 100, "e"), None, "b is evicted");
    assert_eq!(table.len(), 3);
    assert_eq!(admit(&mut table, 110, "f"), Some(RefusalReason::OpenCap), "all are busy");
    table.record_end(110 * S, "a", true);
    assert_eq!(admit(&mut table, 120, "f"), None, "a is evicted");
    assert_eq!(table.len(), 3);
}

#[test]
fn evicted_tenant_regains_no_used_tokens() {
    let settings = TableSettings { entries: 1, ..TableSettings::default() };
    let mut table = table_with(SOLE, settings);
    assert_eq!(burst(&mut table, 60 * S, LIMITS, SOLE, 10), 10);
    let mut admit = |now, name| reason(table.admit(now, name, LIMITS, SOLE, 0));
    assert_eq!(admit(60 * S, "other"), Some(RefusalReason::HardBound));
    assert_eq!(admit(60 * S, "acme"), Some(RefusalReason::HardBound));
    assert_eq!(admit(61 * S, "other"), None, "refilled since");
}

#[test]
fn idle_tenants_are_evicted() {
    let mut table = table(SOLE);
    assert_eq!(burst(&mut table, 60 * S, LIMITS, SOLE, 1), 1);
    assert_eq!(reason(table.admit(299 * S, "busy", LIMITS, SOLE, 0)), None);
    assert_eq!(table.len(), 2);
    assert_eq!(reason(table.admit(300 * S, "busy", LIMITS, SOLE, 0)), None);
    assert_eq!(table.len(), 1);
    assert_eq!(reason(table.admit(600 * S, "other", LIMITS, SOLE, 0)), None);
    assert_eq!(table.len(), 2, "entries with open requests stay");
}

#[test]
fn retry_delays_are_jittered() {
    let mut table = table(SOLE);
    burst(&mut table, 60 * S, LIMITS, SOLE, 10);
    let mut wait = |spread| match table.admit(60 * S, "acme", LIMITS, SOLE, spread) {
        Admission::Refused { retry_after, .. } => retry_after,
        Admission::Admitted => 0,
    };
    let mut waits: Vec<Micros> = (0..20).map(&mut wait).collect();
    assert!(waits.iter().all(|wait| (200_000..=300_000).contains(wait)), "{waits:?}");
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 15);
}

#[test]
fn borrowed_fractions_make_a_whole_token_and_lenders_lend_only_what_they_have() {
    let small = TenantLimits { whole_tokens: false, slack: 0.0, ..LIMITS };
    // Each of 40 gateways holds a quarter of a token.
    let part = EvenShare { gateways: 40, valid_until: 1_000 * S };
    let mut tables: Vec<TenantTable> = (0..5).map(|_| table(part)).collect();
    let (borrower, lenders) = tables.split_first_mut().expect("tables");
    let now = 100 * S;
    let alone = borrower.admit(now, "acme", small, part, 0);
    assert_eq!(reason(alone), Some(RefusalReason::HardBound));
    assert!((borrower.missing_tokens(now, "acme").expect("lacks a fraction") - 0.75).abs() < 1e-6);
    let lent: f64 = lenders.iter_mut().map(|lender| lender.lend(now, "acme", small, part, 0.2)).sum();
    assert!((lent - 0.8).abs() < 1e-6);
    assert_eq!(borrower.admit_with(now, "acme", small, part, 0, lent), Admission::Admitted);
    let left: f64 = lenders.iter_mut().map(|lender| lender.lend(now, "acme", small, part, 9.0)).sum();
    assert!((left - 0.2).abs() < 1e-6, "the rest of four quarters");
    assert_eq!(lenders[0].lend(now, "acme", small, part, 9.0), 0.0);
    let again = borrower.admit(now, "acme", small, part, 0);
    assert_eq!(reason(again), Some(RefusalReason::HardBound), "the lent tokens are used up");
    assert_eq!(lenders[0].lend(now, "other", small, EvenShare::NONE, 9.0), 0.0, "no lending without a share");
}

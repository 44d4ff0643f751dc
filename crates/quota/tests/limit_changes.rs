//! Limits that change in steps on all gateways at once, and requests that must leave a reserve.

use hingestage_quota::{Admission, EvenShare, Incarnation, Micros, TableSettings, TenantLimits, TenantTable};
use std::collections::VecDeque;

const S: Micros = 1_000_000;
const GATEWAYS: u32 = 5;
const PART: EvenShare = EvenShare { gateways: GATEWAYS, valid_until: 1_000 * S };
const LIMITS: TenantLimits = TenantLimits {
    rate_per_s: 50.0,
    burst: 50.0,
    slack: 20.0,
    open_cap: None,
    exempt: false,
    reserve: 0.0,
    whole_tokens: true,
};

fn scaled(share: f64) -> TenantLimits {
    TenantLimits {
        rate_per_s: LIMITS.rate_per_s * share,
        burst: LIMITS.burst * share,
        slack: LIMITS.slack * share,
        ..LIMITS
    }
}

fn tables() -> Vec<TenantTable> {
    let table = |number: u32| {
        let mut table = TenantTable::new(0, Incarnation(u64::from(number)), TableSettings::default());
        table.observe_share(0, PART);
        table
    };
    (0..GATEWAYS).map(table).collect()
}

/// Sends `demand` requests per second to all gateways in turn from `from` to `until`; returns the times of
/// admission.
fn send(
    tables: &mut [TenantTable],
    from: Micros,
    until: Micros,
    demand: u64,
    limits: TenantLimits,
) -> Vec<Micros> {
    let mut admitted = Vec::new();
    for number in 0..(until - from) * demand / S {
        let now = from + number * S / demand;
        let index = (number % u64::from(GATEWAYS)) as usize;
        if tables[index].admit(now, "t", limits, PART, number) == Admission::Admitted {
            tables[index].record_end(now, "t", true);
            admitted.push(now);
        }
    }
    admitted
}

/// Maximum number of admissions in any window of 5 s that starts at or after `from`.
fn max_in_a_window(admitted: &[Micros], from: Micros) -> usize {
    let mut window: VecDeque<Micros> = VecDeque::new();
    let mut max = 0;
    for now in admitted.iter().filter(|now| **now >= from) {
        window.push_back(*now);
        while window.front().is_some_and(|first| now - first >= 5 * S) {
            window.pop_front();
        }
        max = max.max(window.len());
    }
    max
}

fn window_bound(limits: TenantLimits) -> usize {
    (limits.rate_per_s * 5.0 + limits.burst + limits.slack).ceil() as usize
}

#[test]
fn overloading_tenant_stays_within_the_limit_of_each_step() {
    let mut tables = tables();
    let demand = 8 * LIMITS.rate_per_s as u64;
    for (number, share) in [1.0, 0.6, 0.3, 0.1].into_iter().enumerate() {
        let from = (10 + 10 * number as u64) * S;
        let admitted = send(&mut tables, from, from + 10 * S, demand, scaled(share));
        let max = max_in_a_window(&admitted, from);
        assert!(max <= window_bound(scaled(share)), "{max} admitted with {share} of the limit");
        let expected_min = LIMITS.rate_per_s * share * 10.0 * 0.6;
        assert!(
            admitted.len() as f64 >= expected_min,
            "{} admitted with {share} of the limit: too few",
            admitted.len()
        );
    }
}

#[test]
fn quota_change_within_a_step_is_enforced() {
    let mut tables = tables();
    send(&mut tables, 10 * S, 20 * S, 100, scaled(0.6));
    let lowered = TenantLimits { rate_per_s: 10.0, burst: 10.0, slack: 20.0, ..LIMITS };
    let lowered_step = TenantLimits { rate_per_s: 6.0, burst: 6.0, slack: 12.0, ..lowered };
    let admitted = send(&mut tables, 20 * S, 40 * S, 100, lowered_step);
    assert!(max_in_a_window(&admitted, 20 * S) <= window_bound(lowered_step));
    // A growing limit must not raise the levels at once.
    let admitted = send(&mut tables, 40 * S, 60 * S, 400, LIMITS);
    assert!(max_in_a_window(&admitted, 40 * S) <= window_bound(LIMITS));
}

#[test]
fn requests_with_a_reserve_are_refused_first() {
    let mut tables = tables();
    let limits = TenantLimits { exempt: true, ..scaled(0.6) };
    let reserving = TenantLimits { reserve: 0.5, ..limits };
    // Both kinds of requests alternate and exceed the limit.
    let (mut with_reserve, mut without_reserve) = (0, 0);
    for number in 0..4_000 {
        let now = 10 * S + number * S / 200;
        let table = &mut tables[(number / 2 % u64::from(GATEWAYS)) as usize];
        let limits = if number % 2 == 0 { reserving } else { limits };
        if table.admit(now, "t", limits, PART, number) == Admission::Admitted {
            table.record_end(now, "t", true);
            *(if number % 2 == 0 { &mut with_reserve } else { &mut without_reserve }) += 1;
        }
    }
    assert!(
        without_reserve > 20 * with_reserve / 10,
        "{without_reserve} without reserve, {with_reserve} with"
    );
    // Without competing requests, those with a reserve get the whole rate.
    let alone = send(&mut tables, 40 * S, 60 * S, 400, reserving).len();
    assert!(alone as f64 > limits.rate_per_s * 20.0 * 0.9, "{alone}");
}

//! A limit that shrinks in steps at all gateways at once, and requests that leave a reserve to others.

use hingestage_quota::{Admission, Incarnation, Micros, Part, TableSettings, TenantLimits, TenantTable};
use std::collections::VecDeque;

const S: Micros = 1_000_000;
const GATEWAYS: u32 = 5;
const PART: Part = Part { gateways: GATEWAYS, valid_until: 1_000 * S };
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
        table.observe_part(0, PART);
        table
    };
    (0..GATEWAYS).map(table).collect()
}

/// Asks all gateways for `demand` requests a second from `from` to `until`, and tells when each was let pass.
fn ask(
    tables: &mut [TenantTable],
    from: Micros,
    until: Micros,
    demand: u64,
    limits: TenantLimits,
) -> Vec<Micros> {
    let mut passed = Vec::new();
    for number in 0..(until - from) * demand / S {
        let now = from + number * S / demand;
        let place = (number % u64::from(GATEWAYS)) as usize;
        if tables[place].admit(now, "t", limits, PART, number) == Admission::Admitted {
            tables[place].ended(now, "t", true);
            passed.push(now);
        }
    }
    passed
}

/// The most in any window of five seconds that begins at or after a moment.
fn most_in_a_window(passed: &[Micros], from: Micros) -> usize {
    let mut window: VecDeque<Micros> = VecDeque::new();
    let mut most = 0;
    for now in passed.iter().filter(|now| **now >= from) {
        window.push_back(*now);
        while window.front().is_some_and(|first| now - first >= 5 * S) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

fn whole(limits: TenantLimits) -> usize {
    (limits.rate_per_s * 5.0 + limits.burst + limits.slack).ceil() as usize
}

#[test]
fn a_tenant_at_eight_times_its_rate_gets_no_more_than_each_step_leaves() {
    let mut tables = tables();
    let demand = 8 * LIMITS.rate_per_s as u64;
    for (number, share) in [1.0, 0.6, 0.3, 0.1].into_iter().enumerate() {
        let from = (10 + 10 * number as u64) * S;
        let passed = ask(&mut tables, from, from + 10 * S, demand, scaled(share));
        let most = most_in_a_window(&passed, from);
        assert!(most <= whole(scaled(share)), "{most} passed with {share} of the limit");
        let usual = LIMITS.rate_per_s * share * 10.0 * 0.6;
        assert!(passed.len() as f64 >= usual, "{} passed with {share}: what is left is used", passed.len());
    }
}

#[test]
fn a_quota_that_changes_within_a_step_binds_as_a_step_does() {
    let mut tables = tables();
    ask(&mut tables, 10 * S, 20 * S, 100, scaled(0.6));
    let lowered = TenantLimits { rate_per_s: 10.0, burst: 10.0, slack: 20.0, ..LIMITS };
    let under_step = TenantLimits { rate_per_s: 6.0, burst: 6.0, slack: 12.0, ..lowered };
    let passed = ask(&mut tables, 20 * S, 40 * S, 100, under_step);
    assert!(most_in_a_window(&passed, 20 * S) <= whole(under_step));
    // Paid: the limit grows again, and levels don't jump.
    let passed = ask(&mut tables, 40 * S, 60 * S, 400, LIMITS);
    assert!(most_in_a_window(&passed, 40 * S) <= whole(LIMITS));
}

#[test]
fn requests_that_leave_a_reserve_are_refused_before_those_that_do_not() {
    let mut tables = tables();
    let limits = TenantLimits { exempt: true, ..scaled(0.6) };
    let reserving = TenantLimits { reserve: 0.5, ..limits };
    // Both kinds ask for more than there is, in turns.
    let (mut ordinary, mut last) = (0, 0);
    for number in 0..4_000 {
        let now = 10 * S + number * S / 200;
        let table = &mut tables[(number / 2 % u64::from(GATEWAYS)) as usize];
        let limits = if number % 2 == 0 { reserving } else { limits };
        if table.admit(now, "t", limits, PART, number) == Admission::Admitted {
            table.ended(now, "t", true);
            *(if number % 2 == 0 { &mut ordinary } else { &mut last }) += 1;
        }
    }
    assert!(last > 20 * ordinary / 10, "{last} that are refused last, {ordinary} others");
    // Alone they get what there is.
    let alone = ask(&mut tables, 40 * S, 60 * S, 400, reserving).len();
    assert!(alone as f64 > limits.rate_per_s * 20.0 * 0.9, "{alone}");
}

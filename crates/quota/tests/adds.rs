//! Aggregation of counts by an owner under lost, duplicated and reordered messages, restarts and full tables.

use hingestage_quota::{
    owner, Adds, EvenShare, GatewayId, Incarnation, Micros, OwnerSettings, OwnerTable, TableSettings,
    TenantAdd, TenantLimits, TenantTable, Totals,
};
use proptest::prelude::*;

const S: Micros = 1_000_000;
const SOLE: EvenShare = EvenShare { gateways: 1, valid_until: 1_000_000 * S };
const LIMITS: TenantLimits = TenantLimits {
    rate_per_s: 1_000.0,
    burst: 60_000.0,
    slack: 0.0,
    open_cap: None,
    exempt: true,
    reserve: 0.0,
    whole_tokens: true,
};
const OWNER: GatewayId = GatewayId(9);

fn gateway(incarnation: u64) -> TenantTable {
    let mut table = TenantTable::new(0, Incarnation(incarnation), TableSettings::default());
    table.observe_share(0, SOLE);
    table
}

fn run(table: &mut TenantTable, now: Micros, requests: u64) {
    for _ in 0..requests {
        table.admit(now, "acme", LIMITS, SOLE, 0);
        table.record_end(now, "acme", true);
    }
}

fn push(table: &mut TenantTable, now: Micros) -> Option<Adds> {
    table.collect_adds(now, |_| Some(OWNER)).pop().map(|(_, adds)| adds)
}

fn total(totals: &Totals) -> u64 {
    totals.tenants[0].total.round() as u64
}

fn add(cumulative: u64, sequence: u64) -> Adds {
    let (recent, window) = (cumulative as u32, 10 * S);
    let tenants = vec![TenantAdd { tenant: "acme".into(), cumulative, recent, open: 0, window }];
    Adds { incarnation: Incarnation(1), sequence, tenants }
}

#[test]
fn counts_are_pushed_until_a_total_confirms_them() {
    let (mut one, mut two) = (gateway(1), gateway(1));
    let mut owner = OwnerTable::new(OwnerSettings::default());
    run(&mut one, 60 * S, 5);
    run(&mut two, 60 * S, 7);
    owner.receive(0, GatewayId(1), &push(&mut one, 60 * S).unwrap());
    let totals = owner.receive(0, GatewayId(2), &push(&mut two, 60 * S).unwrap());
    assert_eq!((total(&totals), totals.tenants[0].gateways), (12, 2));
    assert_eq!(totals.tenants[0].yours, 7.0);
    assert!(push(&mut one, 60 * S + S / 5).is_none(), "not before the push interval");
    assert!(push(&mut one, 61 * S).is_some(), "sent again until it is confirmed");
    two.apply_totals(60 * S, &totals);
    assert!(push(&mut two, 61 * S).is_some(), "already queued before the confirmation");
    assert!(push(&mut two, 62 * S).is_none(), "confirmed");
}

#[test]
fn push_is_bounded_and_the_next_one_sends_the_rest() {
    let settings = TableSettings { push_batch: 2, ..TableSettings::default() };
    let mut table = TenantTable::new(0, Incarnation(1), settings);
    let mut pushed = Vec::new();
    for name in ["a", "b", "c"] {
        table.admit(60 * S, name, LIMITS, SOLE, 0);
    }
    table.observe_share(0, SOLE);
    table.admit(61 * S, "a", LIMITS, SOLE, 0);
    table.admit(61 * S, "b", LIMITS, SOLE, 0);
    table.admit(61 * S, "c", LIMITS, SOLE, 0);
    for second in 62..64 {
        let tenants = push(&mut table, second * S).unwrap().tenants;
        assert_eq!(tenants.len(), 2);
        pushed.extend(tenants.into_iter().map(|add| add.tenant));
    }
    pushed.sort_unstable();
    pushed.dedup();
    assert_eq!(pushed.len(), 3);
}

#[test]
fn evicted_tenants_take_no_space_in_a_push() {
    let settings = TableSettings { entries: 2, push_batch: 2, ..TableSettings::default() };
    let mut table = TenantTable::new(0, Incarnation(1), settings);
    table.observe_share(0, SOLE);
    for number in 0..9 {
        let name = format!("tenant-{number}");
        table.admit(60 * S + number * S, &name, LIMITS, SOLE, 0);
        table.record_end(60 * S + number * S, &name, true);
    }
    assert_eq!(push(&mut table, 70 * S).unwrap().tenants.len(), 2);
}

#[test]
fn restart_resets_the_count_and_messages_of_the_previous_run_are_ignored() {
    let mut owner = OwnerTable::new(OwnerSettings::default());
    owner.receive(0, GatewayId(1), &add(5, 8));
    let restarted = Adds { incarnation: Incarnation(2), ..add(2, 1) };
    assert_eq!(total(&owner.receive(0, GatewayId(1), &restarted)), 7);
    assert!(owner.receive(0, GatewayId(1), &add(6, 9)).tenants.is_empty());
    assert_eq!(total(&owner.receive(0, GatewayId(1), &restarted)), 7);
}

#[test]
fn reordered_message_is_ignored() {
    let mut owner = OwnerTable::new(OwnerSettings::default());
    owner.receive(0, GatewayId(1), &add(5, 2));
    assert_eq!(total(&owner.receive(0, GatewayId(1), &add(3, 1))), 5);
}

#[test]
fn refunded_requests_are_subtracted_from_the_total() {
    let mut owner = OwnerTable::new(OwnerSettings::default());
    owner.receive(0, GatewayId(1), &add(5, 1));
    assert_eq!(total(&owner.receive(0, GatewayId(1), &add(3, 2))), 3);
}

#[test]
fn new_owner_starts_from_recent_counts_and_totals_slide() {
    let mut owner = OwnerTable::new(OwnerSettings::default());
    let long =
        Adds { tenants: vec![TenantAdd { recent: 4, ..add(1_000, 1).tenants.remove(0) }], ..add(0, 1) };
    assert_eq!(total(&owner.receive(0, GatewayId(1), &long)), 4);
    let later = |at: Micros| {
        let mut owner = owner.clone();
        total(&owner.receive(at, GatewayId(1), &Adds { sequence: 1, ..long.clone() }))
    };
    assert_eq!((later(10 * S), later(15 * S), later(20 * S)), (4, 2, 0));
}

#[test]
fn owner_table_is_bounded_and_evicts_idle_tenants() {
    let settings = OwnerSettings { entries: 5, idle: 10 * S };
    let mut owner = OwnerTable::new(settings);
    let named = |name: &str, sequence| {
        let tenant = TenantAdd { tenant: name.into(), ..add(3, sequence).tenants.remove(0) };
        Adds { tenants: vec![tenant], ..add(0, sequence) }
    };
    for number in 0..20 {
        owner.receive(0, GatewayId(1), &named(&format!("tenant-{number}"), number + 1));
    }
    assert_eq!(owner.len(), 5);
    let stale = owner.receive(0, GatewayId(1), &named("tenant-0", 1));
    assert!(stale.tenants.is_empty(), "a message sent before the eviction");
    owner.receive(10 * S, GatewayId(1), &named("other", 40));
    assert_eq!(owner.len(), 1);
}

#[test]
fn only_tenants_of_a_removed_gateway_change_owner() {
    let all: Vec<GatewayId> = (0..10).map(GatewayId).collect();
    let fewer = &all[1..];
    let names: Vec<String> = (0..1_000).map(|number| format!("tenant-{number}")).collect();
    let moved = names.iter().filter(|name| owner(name, &all) != owner(name, fewer)).count();
    let owned = names.iter().filter(|name| owner(name, &all) == Some(GatewayId(0))).count();
    assert_eq!(moved, owned);
    assert!((60..150).contains(&owned), "{owned}");
    assert_eq!(owner("acme", &[]), None);
    assert_eq!(owner("acme", &all), Some(GatewayId(6)), "stable across versions");
}

proptest! {
    /// Under loss, duplication and reordering, the total never exceeds the true count and is exact after one
    /// more message.
    #[test]
    fn lost_duplicated_and_reordered_adds_never_count_twice(
        steps in prop::collection::vec((0_u64..5, 0_usize..3, 0_usize..8), 1..60),
    ) {
        let mut gateways = [gateway(1), gateway(1), gateway(1)];
        let mut owner = OwnerTable::new(OwnerSettings::default());
        let mut in_flight: Vec<(usize, Adds)> = Vec::new();
        let mut actual = 0;
        let mut now = 60 * S;
        for (requests, sender, delivered) in steps {
            now += S / 4;
            run(&mut gateways[sender], now, requests);
            actual += requests;
            in_flight.extend(push(&mut gateways[sender], now).map(|adds| (sender, adds)));
            // Messages stay in flight and may be delivered again or late; an index out of range delivers nothing.
            if let Some((from, adds)) = in_flight.get(delivered) {
                let totals = owner.receive(now, GatewayId(*from as u64), adds);
                prop_assert!(totals.tenants.iter().all(|tenant| tenant.total <= actual as f64));
                gateways[*from].apply_totals(now, &totals);
            }
        }
        let mut last = None;
        for (sender, table) in gateways.iter_mut().enumerate() {
            run(table, now + S, 1);
            let adds = push(table, now + S).unwrap();
            last = Some(owner.receive(now + S, GatewayId(sender as u64), &adds));
        }
        prop_assert_eq!(total(&last.unwrap()), actual + 3);
    }

    /// Messages survive serialization.
    #[test]
    fn messages_round_trip_through_serialization(cumulative in 0..u64::from(u32::MAX), sequence: u64) {
        let adds = add(cumulative, sequence);
        let text = serde_json::to_string(&adds).unwrap();
        prop_assert_eq!(&adds, &serde_json::from_str::<Adds>(&text).unwrap());
    }
}

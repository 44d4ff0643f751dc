//! Counts that gateways tell an owner: lost, doubled and reordered messages, restarts, bounds.

use hingestage_quota::{
    owner, Adds, GatewayId, Incarnation, Micros, OwnerSettings, OwnerTable, Part, TableSettings, TenantAdd,
    TenantLimits, TenantTable, Totals,
};
use proptest::prelude::*;

const S: Micros = 1_000_000;
const ALONE: Part = Part { gateways: 1, valid_until: 1_000_000 * S };
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
    table.observe_part(0, ALONE);
    table
}

fn run(table: &mut TenantTable, now: Micros, requests: u64) {
    for _ in 0..requests {
        table.admit(now, "acme", LIMITS, ALONE, 0);
        table.ended(now, "acme", true);
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
fn a_total_is_read_back_and_confirms_what_was_told() {
    let (mut one, mut two) = (gateway(1), gateway(1));
    let mut owner = OwnerTable::new(OwnerSettings::default());
    run(&mut one, 60 * S, 5);
    run(&mut two, 60 * S, 7);
    owner.receive(0, GatewayId(1), &push(&mut one, 60 * S).unwrap());
    let totals = owner.receive(0, GatewayId(2), &push(&mut two, 60 * S).unwrap());
    assert_eq!((total(&totals), totals.tenants[0].gateways), (12, 2));
    assert_eq!(totals.tenants[0].yours, 7.0);
    assert!(push(&mut one, 60 * S + S / 5).is_none(), "not before the push interval");
    assert!(push(&mut one, 61 * S).is_some(), "told again until it is confirmed");
    two.apply_totals(60 * S, &totals);
    assert!(push(&mut two, 61 * S).is_some(), "a push that was under way");
    assert!(push(&mut two, 62 * S).is_none(), "confirmed");
}

#[test]
fn a_push_is_bounded_and_the_next_one_has_the_rest() {
    let settings = TableSettings { push_batch: 2, ..TableSettings::default() };
    let mut table = TenantTable::new(0, Incarnation(1), settings);
    let mut told = Vec::new();
    for name in ["a", "b", "c"] {
        table.admit(60 * S, name, LIMITS, ALONE, 0);
    }
    table.observe_part(0, ALONE);
    table.admit(61 * S, "a", LIMITS, ALONE, 0);
    table.admit(61 * S, "b", LIMITS, ALONE, 0);
    table.admit(61 * S, "c", LIMITS, ALONE, 0);
    for second in 62..64 {
        let tenants = push(&mut table, second * S).unwrap().tenants;
        assert_eq!(tenants.len(), 2);
        told.extend(tenants.into_iter().map(|add| add.tenant));
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 3);
}

#[test]
fn tenants_that_were_forgotten_take_no_room_in_a_push() {
    let settings = TableSettings { entries: 2, push_batch: 2, ..TableSettings::default() };
    let mut table = TenantTable::new(0, Incarnation(1), settings);
    table.observe_part(0, ALONE);
    for number in 0..9 {
        let name = format!("tenant-{number}");
        table.admit(60 * S + number * S, &name, LIMITS, ALONE, 0);
        table.ended(60 * S + number * S, &name, true);
    }
    assert_eq!(push(&mut table, 70 * S).unwrap().tenants.len(), 2);
}

#[test]
fn a_restarted_gateway_counts_anew_and_its_former_run_is_not_heard_any_longer() {
    let mut owner = OwnerTable::new(OwnerSettings::default());
    owner.receive(0, GatewayId(1), &add(5, 8));
    let restarted = Adds { incarnation: Incarnation(2), ..add(2, 1) };
    assert_eq!(total(&owner.receive(0, GatewayId(1), &restarted)), 7);
    assert!(owner.receive(0, GatewayId(1), &add(6, 9)).tenants.is_empty());
    assert_eq!(total(&owner.receive(0, GatewayId(1), &restarted)), 7);
}

#[test]
fn a_late_message_changes_nothing() {
    let mut owner = OwnerTable::new(OwnerSettings::default());
    owner.receive(0, GatewayId(1), &add(5, 2));
    assert_eq!(total(&owner.receive(0, GatewayId(1), &add(3, 1))), 5);
}

#[test]
fn requests_given_back_leave_the_total() {
    let mut owner = OwnerTable::new(OwnerSettings::default());
    owner.receive(0, GatewayId(1), &add(5, 1));
    assert_eq!(total(&owner.receive(0, GatewayId(1), &add(3, 2))), 3);
}

#[test]
fn totals_slide_and_an_owner_that_is_new_takes_what_is_recent() {
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
fn the_owner_is_bounded_and_ages() {
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
    let forgotten = owner.receive(0, GatewayId(1), &named("tenant-0", 1));
    assert!(forgotten.tenants.is_empty(), "a message from before it was forgotten");
    owner.receive(10 * S, GatewayId(1), &named("other", 40));
    assert_eq!(owner.len(), 1);
}

#[test]
fn only_tenants_of_a_gateway_that_goes_change_hands() {
    let all: Vec<GatewayId> = (0..10).map(GatewayId).collect();
    let fewer = &all[1..];
    let names: Vec<String> = (0..1_000).map(|number| format!("tenant-{number}")).collect();
    let moved = names.iter().filter(|name| owner(name, &all) != owner(name, fewer)).count();
    let owned = names.iter().filter(|name| owner(name, &all) == Some(GatewayId(0))).count();
    assert_eq!(moved, owned);
    assert!((60..150).contains(&owned), "{owned}");
    assert_eq!(owner("acme", &[]), None);
    assert_eq!(owner("acme", &all), Some(GatewayId(6)), "the same in every version");
}

proptest! {
    /// Whatever is lost, doubled or reordered: the total is never above the truth, and exact after one more message.
    #[test]
    fn lost_doubled_and_reordered_adds_never_count_twice(
        steps in prop::collection::vec((0_u64..5, 0_usize..3, 0_usize..8), 1..60),
    ) {
        let mut gateways = [gateway(1), gateway(1), gateway(1)];
        let mut owner = OwnerTable::new(OwnerSettings::default());
        let mut under_way: Vec<(usize, Adds)> = Vec::new();
        let mut truth = 0;
        let mut now = 60 * S;
        for (requests, who, fate) in steps {
            now += S / 4;
            run(&mut gateways[who], now, requests);
            truth += requests;
            under_way.extend(push(&mut gateways[who], now).map(|adds| (who, adds)));
            // Fates beyond the messages under way: nothing arrives. Others stay under way and arrive again, or late.
            if let Some((from, adds)) = under_way.get(fate) {
                let totals = owner.receive(now, GatewayId(*from as u64), adds);
                prop_assert!(totals.tenants.iter().all(|tenant| tenant.total <= truth as f64));
                gateways[*from].apply_totals(now, &totals);
            }
        }
        let mut last = None;
        for (who, table) in gateways.iter_mut().enumerate() {
            run(table, now + S, 1);
            let adds = push(table, now + S).unwrap();
            last = Some(owner.receive(now + S, GatewayId(who as u64), &adds));
        }
        prop_assert_eq!(total(&last.unwrap()), truth + 3);
    }

    /// Messages survive their way over the wire.
    #[test]
    fn messages_are_the_same_when_read_back(cumulative in 0..u64::from(u32::MAX), sequence: u64) {
        let adds = add(cumulative, sequence);
        let text = serde_json::to_string(&adds).unwrap();
        prop_assert_eq!(&adds, &serde_json::from_str::<Adds>(&text).unwrap());
    }
}

//! Tenants' common limits at a proxy, and the choice of a tenant's owner.

use crate::measure::{resident, seconds_each, thread_cpu, Report};
use compact_str::{format_compact, CompactString};
use eyre::Result;
use hingestage_quota::{owner, EvenShare, GatewayId, Incarnation, TableSettings, TenantLimits, TenantTable};
use hingestage_replication::digest;
use std::hint::black_box;

/// Proxies among which an owner is chosen.
const PROXIES: [u64; 3] = [9, 360, 3_600];
/// Tenants for which an owner is chosen in one run.
const CHOICES: usize = 2_000;
/// Requests in one run.
const REQUESTS: usize = 200_000;
/// Microseconds between two requests.
const STEP: u64 = 10;
const LIMITS: TenantLimits = TenantLimits {
    rate_per_s: 50.0,
    burst: 100.0,
    slack: 20.0,
    open_cap: None,
    exempt: false,
    reserve: 0.0,
    whole_tokens: true,
};
const PART: EvenShare = EvenShare { gateways: 9, valid_until: u64::MAX };

/// Plays a table of so many tenants.
pub fn play(count: usize) -> Result<()> {
    let report = Report::new("quota", &format!("{count} tenants"));
    let names: Vec<CompactString> = (0..count).map(|tenant| format_compact!("tenant-{tenant}")).collect();
    let before = resident();
    let mut table = TenantTable::new(0, Incarnation(1), TableSettings::default());
    let mut now = 1;
    for name in &names {
        table.admit(now, name, LIMITS, PART, now);
        table.record_end(now, name, true);
    }
    report.bytes("memory of the table", resident().saturating_sub(before));
    let mut next = 0;
    report.seconds(
        "admit and ended, known tenants",
        seconds_each(REQUESTS, || {
            now += STEP;
            next = (next + 7_919) % count;
            black_box(table.admit(now, &names[next], LIMITS, PART, now));
            table.record_end(now, &names[next], true);
        }),
    );
    for proxies in PROXIES {
        measure_push(&report, &mut table, now, proxies);
        now += 1_000_000;
    }
    Ok(())
}

fn measure_push(report: &Report, table: &mut TenantTable, now: u64, proxies: u64) {
    let living: Vec<GatewayId> =
        (0..proxies).map(|number| GatewayId(digest(&number.to_le_bytes()))).collect();
    let mut tenant = 0;
    let choice = seconds_each(CHOICES, || {
        tenant += 1;
        black_box(owner(&format_compact!("tenant-{tenant}"), &living));
    });
    report.seconds(&format!("choice of an owner among {proxies}"), choice);
    let before = thread_cpu();
    let batches = table.collect_adds(now + 1_000_000, |tenant| owner(tenant, &living));
    let told: usize = batches.iter().map(|(_, adds)| adds.tenants.len()).sum();
    report.seconds(&format!("collect_adds among {proxies}, one push"), (thread_cpu() - before).as_secs_f64());
    report.row(&format!("tenants in that push, to {} owners", batches.len()), told as f64, "tenants");
}

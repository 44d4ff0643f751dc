//! Totals of tenants that one gateway aggregates for all gateways.

use crate::lru::{Handle, LruMap};
use crate::{Adds, GatewayId, Incarnation, Micros, SlidingCount, TenantAdd, TenantTotal, Totals, SECOND};
use std::collections::BTreeMap;

/// Number of windows without a message after which a gateway's count of a tenant is evicted.
const SOURCE_EXPIRY_WINDOWS: Micros = 3;
/// Minimum time without a message before a gateway's count is evicted.
const MIN_SOURCE_EXPIRY: Micros = 10 * SECOND;
/// Maximum number of entries checked for expiry with each message.
const EXPIRY_BATCH: usize = 8;
/// Maximum number of gateways whose runs are tracked.
const MAX_GATEWAYS: usize = 16_384;

/// Limits of an [`OwnerTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Maximum number of tenants.
    pub entries: usize,
    /// Time without a message after which a tenant is evicted.
    pub idle: Micros,
}

impl Default for OwnerSettings {
    fn default() -> OwnerSettings {
        OwnerSettings { entries: 100_000, idle: 240 * SECOND }
    }
}

/// The latest count of a tenant from one gateway.
#[derive(Clone, Debug)]
struct Source {
    run: Incarnation,
    sequence: u64,
    cumulative: u64,
    open: u32,
    last_seen: Micros,
    count: SlidingCount,
}

#[derive(Clone, Debug)]
struct OwnedTenant {
    count: SlidingCount,
    open: u32,
    sources: BTreeMap<GatewayId, Source>,
    contributors: u32,
    refreshed_at: Micros,
    last_seen: Micros,
}

/// The latest run of a gateway. Messages of earlier runs are ignored, as are those up to sequence number
/// `floor` for tenants whose counts were evicted.
#[derive(Clone, Copy, Debug)]
struct Run {
    incarnation: Incarnation,
    floor: u64,
    last_seen: Micros,
}

/// Aggregates the counts of all gateways into totals per tenant, on the owner's clock.
///
/// Gateways send cumulative counts with sequence numbers, so the next message makes up for a lost one, and
/// duplicated or reordered messages have no effect.
#[derive(Clone, Debug)]
pub struct OwnerTable {
    settings: OwnerSettings,
    tenants: LruMap<OwnedTenant>,
    runs: BTreeMap<GatewayId, Run>,
}

impl OwnerTable {
    /// Creates an empty table.
    pub fn new(settings: OwnerSettings) -> OwnerTable {
        OwnerTable { settings, tenants: LruMap::new(), runs: BTreeMap::new() }
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records a gateway's counts and returns the totals.
    pub fn receive(&mut self, now: Micros, from: GatewayId, adds: &Adds) -> Totals {
        self.evict_idle(now);
        let mut tenants = Vec::new();
        if self.is_current_run(now, from, adds.incarnation) {
            tenants =
                adds.tenants.iter().filter_map(|add| self.record(now, from, adds.sequence, add)).collect();
        }
        Totals { incarnation: adds.incarnation, sequence: adds.sequence, tenants }
    }

    fn is_current_run(&mut self, now: Micros, from: GatewayId, incarnation: Incarnation) -> bool {
        if self.runs.len() >= MAX_GATEWAYS && !self.runs.contains_key(&from) {
            self.evict_oldest_run();
        }
        let run = self.runs.entry(from).or_insert(Run { incarnation, floor: 0, last_seen: now });
        if incarnation < run.incarnation {
            return false;
        }
        if incarnation > run.incarnation {
            *run = Run { incarnation, floor: 0, last_seen: now };
        }
        run.last_seen = now;
        true
    }

    fn evict_oldest_run(&mut self) {
        let oldest = self.runs.iter().min_by_key(|(_, run)| run.last_seen).map(|(gateway, _)| *gateway);
        if let Some(gateway) = oldest {
            self.runs.remove(&gateway);
        }
    }

    fn record(
        &mut self,
        now: Micros,
        from: GatewayId,
        sequence: u64,
        add: &TenantAdd,
    ) -> Option<TenantTotal> {
        let run = *self.runs.get(&from)?;
        let handle = match self.tenants.find(&add.tenant) {
            Some(handle) => handle,
            None => self.insert(now, add),
        };
        self.tenants.touch(handle);
        let tenant = self.tenants.get_mut(handle)?;
        tenant.last_seen = now;
        tenant.count.set_window(now, add.window);
        tenant.refresh_sources(now, &mut self.runs);
        tenant.add(now, from, &run, sequence, add);
        tenant.total(now, from, add)
    }

    fn insert(&mut self, now: Micros, add: &TenantAdd) -> Handle {
        while self.tenants.len() >= self.settings.entries.max(1) {
            let Some(oldest) = self.tenants.oldest() else { break };
            self.evict(oldest);
        }
        let tenant = OwnedTenant {
            count: SlidingCount::new(now, add.window),
            open: 0,
            sources: BTreeMap::new(),
            contributors: 0,
            refreshed_at: now,
            last_seen: now,
        };
        self.tenants.insert(add.tenant.clone(), tenant)
    }

    fn evict_idle(&mut self, now: Micros) {
        for _ in 0..EXPIRY_BATCH {
            let Some(oldest) = self.tenants.oldest() else { return };
            let Some((_, tenant)) = self.tenants.get(oldest) else { return };
            if now.saturating_sub(tenant.last_seen) < self.settings.idle {
                return;
            }
            self.evict(oldest);
        }
    }

    fn evict(&mut self, handle: Handle) {
        let Some(tenant) = self.tenants.remove(handle) else { return };
        for (gateway, source) in tenant.sources {
            raise_floor(&mut self.runs, gateway, source.sequence);
        }
    }
}

fn raise_floor(runs: &mut BTreeMap<GatewayId, Run>, gateway: GatewayId, sequence: u64) {
    if let Some(run) = runs.get_mut(&gateway) {
        run.floor = run.floor.max(sequence);
    }
}

impl OwnedTenant {
    /// Twice per window, evicts silent gateways and recounts the contributing ones.
    fn refresh_sources(&mut self, now: Micros, runs: &mut BTreeMap<GatewayId, Run>) {
        let window = self.count.window();
        if now.saturating_sub(self.refreshed_at) < window / 2 {
            return;
        }
        self.refreshed_at = now;
        let (mut open, mut contributors) = (0, 0);
        self.sources.retain(|gateway, source| {
            let silence = now.saturating_sub(source.last_seen);
            if silence >= window.saturating_mul(SOURCE_EXPIRY_WINDOWS).max(MIN_SOURCE_EXPIRY) {
                raise_floor(runs, *gateway, source.sequence);
                return false;
            }
            open += source.open;
            contributors += u32::from(silence < window);
            true
        });
        self.open = open;
        self.contributors = contributors;
    }

    fn add(&mut self, now: Micros, from: GatewayId, run: &Run, sequence: u64, add: &TenantAdd) {
        let recent = add.recent as f32;
        let Some(source) = self.sources.get_mut(&from) else {
            if sequence > run.floor {
                self.add_source(now, from, run.incarnation, sequence, add);
            }
            return;
        };
        // The sequence number and the cumulative count of a new run start over.
        let new_run = source.run != run.incarnation;
        if !new_run && sequence <= source.sequence {
            return;
        }
        let stale = now.saturating_sub(source.last_seen) >= add.window;
        let units = match (new_run, stale) {
            (true, _) => recent,
            (false, true) => difference(add.cumulative, source.cumulative).min(recent),
            (false, false) => difference(add.cumulative, source.cumulative),
        };
        self.count.add(now, units);
        source.count.set_window(now, add.window);
        source.count.add(now, units);
        self.open = (self.open + add.open).saturating_sub(source.open);
        source.run = run.incarnation;
        source.sequence = sequence;
        source.cumulative = add.cumulative;
        source.open = add.open;
        source.last_seen = now;
    }

    fn add_source(
        &mut self,
        now: Micros,
        from: GatewayId,
        incarnation: Incarnation,
        sequence: u64,
        add: &TenantAdd,
    ) {
        let mut count = SlidingCount::new(now, add.window);
        count.add(now, add.recent as f32);
        self.count.add(now, add.recent as f32);
        self.open += add.open;
        self.contributors += 1;
        let source = Source {
            run: incarnation,
            sequence,
            cumulative: add.cumulative,
            open: add.open,
            last_seen: now,
            count,
        };
        self.sources.insert(from, source);
    }

    fn total(&mut self, now: Micros, from: GatewayId, add: &TenantAdd) -> Option<TenantTotal> {
        let total = self.count.count(now);
        let source = self.sources.get_mut(&from)?;
        Some(TenantTotal {
            tenant: add.tenant.clone(),
            counted: source.cumulative,
            total,
            yours: source.count.count(now),
            open: self.open,
            gateways: self.contributors,
        })
    }
}

/// Change of a cumulative count; negative if requests were refunded.
#[allow(clippy::cast_precision_loss)]
fn difference(count: u64, previous: u64) -> f32 {
    if count >= previous {
        (count - previous) as f32
    } else {
        -((previous - count) as f32)
    }
}

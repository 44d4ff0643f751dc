//! The totals of the tenants that one gateway keeps for all.

use crate::lru::{Handle, LruMap};
use crate::{Adds, GatewayId, Incarnation, Micros, SlidingCount, TenantAdd, TenantTotal, Totals, SECOND};
use std::collections::BTreeMap;

/// Windows without a word after which a gateway's last count of a tenant is forgotten.
const SOURCE_WINDOWS: Micros = 3;
/// A gateway is never forgotten sooner.
const SILENCE_LEAST: Micros = 10 * SECOND;
/// Entries looked at for their age with each message.
const AGED_AT_ONCE: usize = 8;
/// Gateways whose runs are remembered.
const GATEWAYS: usize = 16_384;

/// The bounds of an [`OwnerTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Tenants kept at most.
    pub entries: usize,
    /// A tenant that nobody told anything of for so long is forgotten.
    pub idle: Micros,
}

impl Default for OwnerSettings {
    fn default() -> OwnerSettings {
        OwnerSettings { entries: 100_000, idle: 240 * SECOND }
    }
}

/// What one gateway last told of a tenant.
#[derive(Clone, Debug)]
struct Source {
    heard_run: Incarnation,
    sequence: u64,
    cumulative: u64,
    open: u32,
    heard_at: Micros,
    count: SlidingCount,
}

#[derive(Clone, Debug)]
struct OwnedTenant {
    count: SlidingCount,
    open: u32,
    sources: BTreeMap<GatewayId, Source>,
    contributors: u32,
    reviewed_at: Micros,
    heard_at: Micros,
}

/// What is known of a gateway's run: messages of earlier runs are ignored, and those up to `floor` for tenants whose
/// last count has been forgotten.
#[derive(Clone, Copy, Debug)]
struct Run {
    incarnation: Incarnation,
    floor: u64,
    heard_at: Micros,
}

/// Totals of tenants from the counts of all gateways, on the clock of the owner.
///
/// Gateways tell cumulative counts with a sequence number, so a message that is lost is made up for by the next one,
/// and one that comes twice or late changes nothing.
#[derive(Clone, Debug)]
pub struct OwnerTable {
    settings: OwnerSettings,
    tenants: LruMap<OwnedTenant>,
    runs: BTreeMap<GatewayId, Run>,
}

impl OwnerTable {
    /// An empty table.
    pub fn new(settings: OwnerSettings) -> OwnerTable {
        OwnerTable { settings, tenants: LruMap::new(), runs: BTreeMap::new() }
    }

    /// Tenants kept.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes in a gateway's counts, and answers with the totals.
    pub fn receive(&mut self, now: Micros, from: GatewayId, adds: &Adds) -> Totals {
        self.age(now);
        let mut tenants = Vec::new();
        if self.is_current_run(now, from, adds.incarnation) {
            tenants =
                adds.tenants.iter().filter_map(|add| self.take(now, from, adds.sequence, add)).collect();
        }
        Totals { incarnation: adds.incarnation, sequence: adds.sequence, tenants }
    }

    fn is_current_run(&mut self, now: Micros, from: GatewayId, incarnation: Incarnation) -> bool {
        if self.runs.len() >= GATEWAYS && !self.runs.contains_key(&from) {
            self.forget_oldest_run();
        }
        let run = self.runs.entry(from).or_insert(Run { incarnation, floor: 0, heard_at: now });
        if incarnation < run.incarnation {
            return false;
        }
        if incarnation > run.incarnation {
            *run = Run { incarnation, floor: 0, heard_at: now };
        }
        run.heard_at = now;
        true
    }

    fn forget_oldest_run(&mut self) {
        let oldest = self.runs.iter().min_by_key(|(_, run)| run.heard_at).map(|(gateway, _)| *gateway);
        if let Some(gateway) = oldest {
            self.runs.remove(&gateway);
        }
    }

    fn take(&mut self, now: Micros, from: GatewayId, sequence: u64, add: &TenantAdd) -> Option<TenantTotal> {
        let run = *self.runs.get(&from)?;
        let handle = match self.tenants.find(&add.tenant) {
            Some(handle) => handle,
            None => self.insert(now, add),
        };
        self.tenants.touch(handle);
        let tenant = self.tenants.get_mut(handle)?;
        tenant.heard_at = now;
        tenant.count.set_window(now, add.window);
        tenant.review(now, &mut self.runs);
        tenant.add(now, from, &run, sequence, add);
        tenant.total(now, from, add)
    }

    fn insert(&mut self, now: Micros, add: &TenantAdd) -> Handle {
        while self.tenants.len() >= self.settings.entries.max(1) {
            let Some(oldest) = self.tenants.oldest() else { break };
            self.forget(oldest);
        }
        let tenant = OwnedTenant {
            count: SlidingCount::new(now, add.window),
            open: 0,
            sources: BTreeMap::new(),
            contributors: 0,
            reviewed_at: now,
            heard_at: now,
        };
        self.tenants.insert(add.tenant.clone(), tenant)
    }

    fn age(&mut self, now: Micros) {
        for _ in 0..AGED_AT_ONCE {
            let Some(oldest) = self.tenants.oldest() else { return };
            let Some((_, tenant)) = self.tenants.get(oldest) else { return };
            if now.saturating_sub(tenant.heard_at) < self.settings.idle {
                return;
            }
            self.forget(oldest);
        }
    }

    fn forget(&mut self, handle: Handle) {
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
    /// Forgets gateways that have been silent, and counts those that contribute: twice in a window.
    fn review(&mut self, now: Micros, runs: &mut BTreeMap<GatewayId, Run>) {
        let window = self.count.window();
        if now.saturating_sub(self.reviewed_at) < window / 2 {
            return;
        }
        self.reviewed_at = now;
        let (mut open, mut contributors) = (0, 0);
        self.sources.retain(|gateway, source| {
            let silent = now.saturating_sub(source.heard_at);
            if silent >= window.saturating_mul(SOURCE_WINDOWS).max(SILENCE_LEAST) {
                raise_floor(runs, *gateway, source.sequence);
                return false;
            }
            open += source.open;
            contributors += u32::from(silent < window);
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
        // The first message of a new run counts anew: its sequence begins again, and its count does.
        let anew = source.heard_run != run.incarnation;
        if !anew && sequence <= source.sequence {
            return;
        }
        let long_ago = now.saturating_sub(source.heard_at) >= add.window;
        let units = match (anew, long_ago) {
            (true, _) => recent,
            (false, true) => difference(add.cumulative, source.cumulative).min(recent),
            (false, false) => difference(add.cumulative, source.cumulative),
        };
        self.count.add(now, units);
        source.count.set_window(now, add.window);
        source.count.add(now, units);
        self.open = (self.open + add.open).saturating_sub(source.open);
        source.heard_run = run.incarnation;
        source.sequence = sequence;
        source.cumulative = add.cumulative;
        source.open = add.open;
        source.heard_at = now;
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
            heard_run: incarnation,
            sequence,
            cumulative: add.cumulative,
            open: add.open,
            heard_at: now,
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

/// How much a cumulative count has grown; it shrinks when requests are given back.
#[allow(clippy::cast_precision_loss)]
fn difference(count: u64, before: u64) -> f32 {
    if count >= before {
        (count - before) as f32
    } else {
        -((before - count) as f32)
    }
}

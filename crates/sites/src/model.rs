//! Sites, their capacity and their load.

use std::collections::{BTreeMap, BTreeSet};

/// A site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Zones that belong to it.
    pub zones: Vec<String>,
    /// Numbers of its gateways; if empty, the gateways in its zones.
    pub gateways: BTreeSet<u32>,
    /// Whether the shared counter runs there.
    pub counter: bool,
    /// Number of workers, of equal size.
    pub workers: usize,
    /// Requests per second of each class that it serves when it serves nothing else. Classes share the site: half of
    /// one class's capacity leaves room for half of another's. Classes that are missing can't be served there.
    pub capacity: BTreeMap<String, f64>,
    /// Fraction of it that plans leave unused.
    pub reserve: f64,
    /// Sites that take its load, the preferred one first.
    pub fallbacks: Vec<String>,
}

/// A load: requests of one class by accounts of one plan, whose clients use one site.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The site.
    pub site: String,
    /// The plan.
    pub plan: String,
    /// The class.
    pub class: String,
    /// Requests per second.
    pub rate: f64,
    /// Worth of a served request.
    pub worth: f64,
}

/// Sites and loads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sites {
    /// The sites.
    pub sites: Vec<Site>,
    /// The loads.
    pub loads: Vec<Load>,
    /// Classes that are served at their own site or refused.
    pub pinned_classes: BTreeSet<String>,
}

impl Sites {
    /// A site by its name.
    pub fn site(&self, name: &str) -> Option<&Site> {
        self.sites.iter().find(|site| site.name == name)
    }

    /// Without the capacity of some sites, and with all loads multiplied. Clients of a lost site still come: they are
    /// sent to other sites.
    pub fn without(&self, lost: &[String], factor: f64) -> Sites {
        let mut left = self.clone();
        for site in left.sites.iter_mut().filter(|site| lost.contains(&site.name)) {
            site.capacity.clear();
            site.workers = 0;
        }
        left.loads.iter_mut().for_each(|load| load.rate *= factor);
        left
    }

    /// The site of a gateway: the one that lists its number, or else its zone.
    pub fn home(&self, gateway: u32, zone: &str) -> Option<usize> {
        let named = self.sites.iter().position(|site| site.gateways.contains(&gateway));
        named.or_else(|| self.sites.iter().position(|site| site.zones.iter().any(|own| own == zone)))
    }

    /// With the loads of each plan and class multiplied.
    pub fn scaled(&self, factors: &BTreeMap<(String, String), f64>) -> Sites {
        let mut scaled = self.clone();
        for load in &mut scaled.loads {
            load.rate *= factors.get(&(load.plan.clone(), load.class.clone())).copied().unwrap_or(1.0);
        }
        scaled
    }

    /// Sites that may serve a load, the preferred one first, each with the fraction of the site that one request per
    /// second takes.
    pub fn candidates(&self, load: &Load) -> Vec<(usize, f64)> {
        let Some(home) = self.sites.iter().position(|site| site.name == load.site) else { return Vec::new() };
        let others = self.sites[home].fallbacks.iter().filter(|_| !self.pinned_classes.contains(&load.class));
        let others = others.filter_map(|name| self.sites.iter().position(|site| site.name == *name));
        let able = |site: usize| {
            let capacity = self.sites[site].capacity.get(&load.class).copied().filter(|c| *c > 0.0)?;
            Some((site, 1.0 / capacity))
        };
        std::iter::once(home).chain(others).filter_map(able).collect()
    }

    /// The fraction of a site that plans may use.
    pub fn usable_fraction(&self, site: usize) -> f64 {
        1.0 - self.sites[site].reserve
    }
}

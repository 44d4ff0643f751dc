//! Tables that answer, for each request, which route and which tenant it belongs to.

use crate::model::{Configuration, Route};
use compact_str::CompactString;
use std::collections::HashMap;

/// A host without its port, in small letters.
pub(crate) fn normal_host(host: &str) -> CompactString {
    let mut name = CompactString::from(without_port(host));
    name.make_ascii_lowercase();
    name
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// The routes of a configuration, found by host and longest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    hosts: HashMap<CompactString, HostRoutes>,
}

/// The routes of one host, as places in the table.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<CompactString, usize>,
    longest: usize,
}

impl HostRoutes {
    fn insert(&mut self, prefix: &CompactString, index: usize) {
        self.longest = self.longest.max(prefix.len());
        self.by_prefix.insert(prefix.clone(), index);
    }

    /// Looks up the beginnings of the path that end with a slash, longest first. No longer ones than the
    /// longest prefix are tried, so that a path of many slashes costs no more than others.
    fn find(&self, path: &str) -> Option<usize> {
        let mut end = path.len().min(self.longest);
        while let Some(slash) = path.as_bytes()[..end].iter().rposition(|byte| *byte == b'/') {
            if let Some(index) = self.by_prefix.get(&path[..=slash]) {
                return Some(*index);
            }
            end = slash;
        }
        None
    }
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<CompactString, HostRoutes> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            hosts.entry(normal_host(&route.host)).or_default().insert(&route.prefix, index);
        }
        RouteTable { routes: configuration.routes.clone(), hosts }
    }

    /// The route of this host with the longest prefix that begins the path.
    ///
    /// The host may be in any case of letters and carry a port; the path is without query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host_routes = self.hosts.get(&normal_host(host))?;
        host_routes.find(path).map(|index| &self.routes[index])
    }
}

/// The keys of a configuration's tenants.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    tenants: HashMap<CompactString, usize>,
}

impl KeyTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut tenants = HashMap::new();
        for (index, tenant) in configuration.tenants.iter().enumerate() {
            let keys = tenant.api_keys.iter().filter(|key| !key.is_empty());
            tenants.extend(keys.map(|key| (key.clone(), index)));
        }
        KeyTable { tenants }
    }

    /// The place, in the configuration's `tenants`, of the tenant that has this key.
    pub fn find(&self, key: &str) -> Option<usize> {
        self.tenants.get(key).copied()
    }
}

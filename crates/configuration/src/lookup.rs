//! Lookup tables from requests to routes and tenants.

use crate::model::{Configuration, Route};
use compact_str::CompactString;
use std::collections::HashMap;

/// Normalizes a host: lower case, without port.
pub(crate) fn normalize_host(host: &str) -> CompactString {
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

/// Routes indexed by host and longest matching prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    hosts: HashMap<CompactString, HostRoutes>,
}

/// Routes of one host, as indexes into the table.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<CompactString, usize>,
    max_prefix_len: usize,
}

impl HostRoutes {
    fn insert(&mut self, prefix: &CompactString, index: usize) {
        self.max_prefix_len = self.max_prefix_len.max(prefix.len());
        self.by_prefix.insert(prefix.clone(), index);
    }

    /// Tries the prefixes of the path that end with a slash, longest first. Prefixes longer than any route's are
    /// skipped, which bounds the cost of paths with many slashes.
    fn find(&self, path: &str) -> Option<usize> {
        let mut end = path.len().min(self.max_prefix_len);
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
    /// Builds the route table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<CompactString, HostRoutes> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            hosts.entry(normalize_host(&route.host)).or_default().insert(&route.prefix, index);
        }
        RouteTable { routes: configuration.routes.clone(), hosts }
    }

    /// Finds the route of the host with the longest prefix of the path.
    ///
    /// The host is case-insensitive and may have a port; the path has no query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host_routes = self.hosts.get(&normalize_host(host))?;
        host_routes.find(path).map(|index| &self.routes[index])
    }
}

/// Tenants indexed by API key.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    tenants: HashMap<CompactString, usize>,
}

impl KeyTable {
    /// Builds the key table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut tenants = HashMap::new();
        for (index, tenant) in configuration.tenants.iter().enumerate() {
            let keys = tenant.api_keys.iter().filter(|key| !key.is_empty());
            tenants.extend(keys.map(|key| (key.clone(), index)));
        }
        KeyTable { tenants }
    }

    /// Index in the configuration's `tenants` of the tenant with this key.
    pub fn find(&self, key: &str) -> Option<usize> {
        self.tenants.get(key).copied()
    }
}

//! Validation of configurations.

use crate::lookup::normalize_host;
use crate::model::{Configuration, Route};
use crate::{Entry, Invalid, Rule};
use compact_str::CompactString;
use garde::Validate;
use std::collections::{HashMap, HashSet};

impl Configuration {
    /// Parses and validates a JSON document.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, Invalid> {
        let parsed = serde_json::from_slice::<Configuration>(bytes);
        let configuration = parsed.map_err(|error| Invalid::Unreadable { reason: error.to_string() })?;
        configuration.check()?;
        Ok(configuration)
    }

    /// Validates the configuration and returns the first problem found.
    pub fn check(&self) -> Result<(), Invalid> {
        self.check_fields()?;
        self.check_names()?;
        self.check_prefixes()?;
        self.check_backends()?;
        self.check_keys()
    }

    fn check_fields(&self) -> Result<(), Invalid> {
        for route in &self.routes {
            check_entry(route, || Entry::Route(route.name.clone()))?;
        }
        for backend in &self.backends {
            check_entry(backend, || Entry::Backend(backend.name.clone()))?;
        }
        for tenant in &self.tenants {
            check_entry(tenant, || Entry::Tenant(tenant.name.clone()))?;
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), Invalid> {
        check_distinct(self.routes.iter().map(|route| &route.name), Entry::Route)?;
        check_distinct(self.backends.iter().map(|backend| &backend.name), Entry::Backend)?;
        check_distinct(self.tenants.iter().map(|tenant| &tenant.name), Entry::Tenant)
    }

    fn check_prefixes(&self) -> Result<(), Invalid> {
        let mut seen = HashMap::with_capacity(self.routes.len());
        for route in &self.routes {
            let key = (normalize_host(&route.host), &route.prefix);
            if let Some(first) = seen.insert(key, &route.name) {
                return Err(Invalid::DuplicatePrefix { first: first.clone(), second: route.name.clone() });
            }
        }
        Ok(())
    }

    fn check_backends(&self) -> Result<(), Invalid> {
        let known: HashSet<&str> = self.backends.iter().map(|backend| backend.name.as_str()).collect();
        self.routes.iter().try_for_each(|route| check_route_backends(route, &known))
    }

    fn check_keys(&self) -> Result<(), Invalid> {
        let mut owners: HashMap<&str, usize> = HashMap::new();
        for (index, tenant) in self.tenants.iter().enumerate() {
            for key in &tenant.api_keys {
                let owner = *owners.entry(key).or_insert(index);
                if owner != index {
                    let first = self.tenants[owner].name.clone();
                    return Err(Invalid::SharedKey { first, second: tenant.name.clone() });
                }
            }
        }
        Ok(())
    }
}

fn check_entry<T>(value: &T, entry: impl FnOnce() -> Entry) -> Result<(), Invalid>
where
    T: Validate<Context = ()>,
{
    let Err(report) = value.validate() else { return Ok(()) };
    let broken = report.iter().find_map(|(path, error)| {
        let rule = Rule::from_code(error.message())?;
        Some((path.to_string(), rule))
    });
    let (field, rule) = broken.expect("every rule error carries its code");
    Err(Invalid::Field { entry: entry(), field, rule })
}

fn check_distinct<'a>(
    names: impl Iterator<Item = &'a CompactString>,
    entry: fn(CompactString) -> Entry,
) -> Result<(), Invalid> {
    let mut seen = HashSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(Invalid::DuplicateName { entry: entry(name.clone()) });
        }
    }
    Ok(())
}

fn check_route_backends(route: &Route, known: &HashSet<&str>) -> Result<(), Invalid> {
    let unknown = |field: String, backend: &CompactString| Invalid::UnknownBackend {
        route: route.name.clone(),
        field,
        backend: backend.clone(),
    };
    if let Some(backend) = &route.backend {
        if !known.contains(backend.as_str()) {
            return Err(unknown("backend".to_owned(), backend));
        }
    }
    for (index, share) in route.split.iter().enumerate() {
        if !known.contains(share.backend.as_str()) {
            return Err(unknown(format!("split[{index}].backend"), &share.backend));
        }
    }
    Ok(())
}

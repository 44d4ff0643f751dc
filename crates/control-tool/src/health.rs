//! Health checks on the status of a process.

use crate::survey::{Node, Survey};
use hingestage_rpc::status::{KeyLease, ProxyState, RegistryStatus, StoreStatus};

/// A status that can be checked for problems.
pub trait Health {
    /// The problem, if there is one.
    fn problem(&self) -> Option<&'static str>;
}

impl Health for RegistryStatus {
    fn problem(&self) -> Option<&'static str> {
        match self.fresh_age {
            None => Some("its store speaks for nobody"),
            Some(_) => None,
        }
    }
}

impl Health for StoreStatus {
    fn problem(&self) -> Option<&'static str> {
        if self.recovering {
            return Some("recovering");
        }
        match self.current_age {
            None => Some("too few stores have answered"),
            Some(_) if self.held.is_some() && !self.durable => Some("newest version is not durable"),
            Some(_) => None,
        }
    }
}

impl Health for ProxyState {
    fn problem(&self) -> Option<&'static str> {
        if !self.status.ready {
            Some("not ready")
        } else if self.keys == KeyLease::Expired {
            Some("refuses keys")
        } else if self.part_left.is_none() {
            Some("no part of common limits")
        } else {
            None
        }
    }
}

impl<State: Health> Node<State> {
    /// The problem, if there is one.
    pub fn problem(&self) -> Option<&str> {
        match &self.state {
            Some(state) => state.problem(),
            None => Some(self.error.as_deref().unwrap_or("unreachable")),
        }
    }
}

impl Survey {
    /// Whether every process answered without a problem.
    pub fn is_healthy(&self) -> bool {
        self.registries.iter().all(|node| node.problem().is_none())
            && self.stores.iter().all(|node| node.problem().is_none())
            && self.proxies.iter().all(|node| node.problem().is_none())
    }
}

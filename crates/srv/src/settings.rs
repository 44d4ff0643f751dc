//! What an operator says of a name to follow, checked where it is read.

use crate::{Micros, SECOND};
use hickory_proto::rr::Name;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// Which kinds of addresses are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Addresses {
    /// A records alone.
    V4,
    /// AAAA records alone.
    V6,
    /// Both.
    Both,
}

/// A block of addresses, as `127.0.0.0/8`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    base: IpAddr,
    prefix: u8,
}

/// The bits of an address that lie in its first `prefix`.
fn masked(address: IpAddr, prefix: u8) -> u128 {
    let (bits, width) = match address {
        IpAddr::V4(v4) => (u128::from(u32::from(v4)), 32),
        IpAddr::V6(v6) => (u128::from(v6), 128),
    };
    bits.checked_shr(width - u32::from(prefix)).unwrap_or(0)
}

impl Network {
    /// Whether an address lies in it.
    pub fn holds(&self, address: IpAddr) -> bool {
        address.is_ipv4() == self.base.is_ipv4()
            && masked(address, self.prefix) == masked(self.base, self.prefix)
    }
}

impl FromStr for Network {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bad = || format!("`{text}` is no network such as 127.0.0.0/8");
        let (base, prefix) = text.split_once('/').ok_or_else(bad)?;
        let base: IpAddr = base.parse().map_err(|_| bad())?;
        let prefix: u8 = prefix.parse().map_err(|_| bad())?;
        match prefix <= if base.is_ipv4() { 32 } else { 128 } {
            true => Ok(Network { base, prefix }),
            false => Err(bad()),
        }
    }
}

impl fmt::Display for Network {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.base, self.prefix)
    }
}

/// A name to follow, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct SrvSettings {
    /// The name, absolute: `_registry._tcp.sala.example.org.`
    pub name: Name,
    /// Who is asked, the first that answers.
    pub servers: Vec<SocketAddr>,
    /// Addresses outside of these are not believed.
    pub networks: Vec<Network>,
    /// Which kinds of addresses are asked for.
    pub addresses: Addresses,
    /// The shortest and longest that an answer is gone by, whatever its own word, µs.
    pub lifetimes: (Micros, Micros),
    /// Time that a server has for an answer, µs.
    pub timeout: Micros,
    /// Time between two tries at what failed, µs: at first, and at the longest. Drawn at random between.
    pub retry: (Micros, Micros),
    /// How long the last good answer is gone by while none comes, µs.
    pub stale_for: Micros,
    /// An answer with less than this part of what is believed is doubted ...
    pub shrink_to: f64,
    /// ... until it was given for so long, µs.
    pub shrink_for: Micros,
    /// How long a worker may finish what it has once its record has vanished, µs.
    pub grace: Micros,
    /// Questions a second, at the most.
    pub questions: f64,
}

impl SrvSettings {
    /// With the usual figures.
    ///
    /// # Errors
    /// The name is no name.
    pub fn new(name: &str, servers: Vec<SocketAddr>) -> Result<Self, String> {
        let mut parsed = Name::from_ascii(name).map_err(|e| format!("`{name}` is no name: {e}"))?;
        parsed.set_fqdn(true);
        let own = parsed.iter().filter(|label| !label.starts_with(b"_")).count();
        if own == 0 || !parsed.iter().take(2).all(|label| label.starts_with(b"_")) {
            return Err(format!(
                "`{name}` does not begin with a service and a protocol, as `_registry._tcp.`"
            ));
        }
        Ok(SrvSettings {
            name: parsed.to_lowercase(),
            servers,
            networks: [IpAddr::from([0; 4]), IpAddr::from([0; 16])]
                .map(|base| Network { base, prefix: 0 })
                .into(),
            addresses: Addresses::V4,
            lifetimes: (5 * SECOND, 300 * SECOND),
            timeout: SECOND,
            retry: (SECOND, 30 * SECOND),
            stale_for: 3_600 * SECOND,
            shrink_to: 0.5,
            shrink_for: 60 * SECOND,
            grace: 30 * SECOND,
            questions: 20.0,
        })
    }

    /// Whether an address may be a worker's: one of the operator's networks, and one that a single machine can
    /// have at all.
    pub fn allows(&self, address: IpAddr) -> bool {
        let broadcast = matches!(address, IpAddr::V4(v4) if v4.is_broadcast());
        !address.is_unspecified()
            && !address.is_multicast()
            && !broadcast
            && self.networks.iter().any(|network| network.holds(address))
    }

    /// A lifetime as it is gone by. Past 2^31 - 1 seconds it counts as nothing (RFC 2181, section 8).
    pub fn lifetime(&self, ttl: u32) -> Micros {
        let told = if ttl > i32::MAX as u32 { 0 } else { u64::from(ttl) * SECOND };
        told.clamp(self.lifetimes.0, self.lifetimes.1.max(self.lifetimes.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn networks_hold_what_lies_in_them() {
        for (network, inside, outside) in [
            ("127.0.0.0/8", "127.255.0.1", "128.0.0.1"),
            ("10.1.2.3/32", "10.1.2.3", "10.1.2.2"),
            ("0.0.0.0/0", "9.9.9.9", "::1"),
            ("fd00::/8", "fdab::1", "fe80::1"),
            ("::/0", "::1", "1.2.3.4"),
        ] {
            let parsed: Network = network.parse().unwrap();
            assert!(parsed.holds(inside.parse().unwrap()), "{network}");
            assert!(!parsed.holds(outside.parse().unwrap()), "{network}");
        }
        for bad in ["", "127.0.0.0", "127.0.0.0/33", "::/129", "x/8", "127.0.0.0/-1"] {
            assert!(bad.parse::<Network>().is_err(), "{bad}");
        }
    }

    #[test]
    fn lifetimes_stay_between_the_least_and_the_longest() {
        let settings = SrvSettings::new("_r._tcp.example.org", vec![]).unwrap();
        for (ttl, seconds) in [(0, 5), (4, 5), (60, 60), (4_000, 300), (i32::MAX as u32, 300)] {
            assert_eq!(settings.lifetime(ttl), seconds * SECOND, "{ttl}");
        }
        assert_eq!(settings.lifetime(1 << 31), 5 * SECOND, "the highest bit means nothing, not for ever");
    }

    #[test]
    fn a_name_begins_with_service_and_protocol() {
        for bad in ["", "example.org", "_r.example.org", "_r._tcp", "_r._tcp..org", "r._tcp.example.org"] {
            assert!(SrvSettings::new(bad, vec![]).is_err(), "{bad}");
        }
        let long = format!("_r._tcp.{}.org", "x".repeat(64));
        assert!(SrvSettings::new(&long, vec![]).is_err());
    }

    #[test]
    fn addresses_that_no_worker_has_are_refused_whatever_the_networks() {
        let settings = SrvSettings::new("_r._tcp.example.org", vec![]).unwrap();
        for bad in ["0.0.0.0", "255.255.255.255", "224.0.0.1", "::", "ff02::1"] {
            assert!(!settings.allows(bad.parse().unwrap()), "{bad}");
        }
        assert!(settings.allows("127.0.0.1".parse().unwrap()));
    }
}

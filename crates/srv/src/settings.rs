//! Validated settings of a followed SRV name.

use crate::{Micros, SECOND};
use hickory_proto::rr::Name;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// Address families to resolve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Addresses {
    /// A records only.
    V4,
    /// AAAA records only.
    V6,
    /// A and AAAA records.
    Both,
}

/// A network in CIDR notation, such as `127.0.0.0/8`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    base: IpAddr,
    prefix: u8,
}

/// The first `prefix` bits of an address.
fn prefix_bits(address: IpAddr, prefix: u8) -> u128 {
    let (bits, width) = match address {
        IpAddr::V4(v4) => (u128::from(u32::from(v4)), 32),
        IpAddr::V6(v6) => (u128::from(v6), 128),
    };
    bits.checked_shr(width - u32::from(prefix)).unwrap_or(0)
}

impl Network {
    /// Whether the network contains an address.
    pub fn contains(&self, address: IpAddr) -> bool {
        address.is_ipv4() == self.base.is_ipv4()
            && prefix_bits(address, self.prefix) == prefix_bits(self.base, self.prefix)
    }
}

impl FromStr for Network {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("`{text}` is no network such as 127.0.0.0/8");
        let (base, prefix) = text.split_once('/').ok_or_else(invalid)?;
        let base: IpAddr = base.parse().map_err(|_| invalid())?;
        let prefix: u8 = prefix.parse().map_err(|_| invalid())?;
        match prefix <= if base.is_ipv4() { 32 } else { 128 } {
            true => Ok(Network { base, prefix }),
            false => Err(invalid()),
        }
    }
}

impl fmt::Display for Network {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.base, self.prefix)
    }
}

/// Settings of a followed SRV name.
#[derive(Clone, Debug, PartialEq)]
pub struct SrvSettings {
    /// The fully qualified name, such as `_registry._tcp.sala.example.org.`
    pub name: Name,
    /// DNS servers in order of preference.
    pub servers: Vec<SocketAddr>,
    /// Addresses outside these networks are rejected.
    pub networks: Vec<Network>,
    /// Address families to resolve.
    pub addresses: Addresses,
    /// Bounds to which the TTL of a response is clamped, in µs: minimum and maximum.
    pub lifetimes: (Micros, Micros),
    /// Timeout of a query, in µs.
    pub timeout: Micros,
    /// Backoff between retries, in µs: minimum and maximum.
    pub retry: (Micros, Micros),
    /// How long the last good response is used while no server responds, in µs.
    pub stale_for: Micros,
    /// A response with less than this fraction of the current records is not trusted at once ...
    pub shrink_to: f64,
    /// ... but only after it has been repeated for this time, in µs.
    pub shrink_for: Micros,
    /// Drain period of a worker after its record was removed, in µs.
    pub grace: Micros,
    /// Rate limit of queries, per second.
    pub questions: f64,
}

impl SrvSettings {
    /// Settings with default values.
    ///
    /// # Errors
    /// The name is not a valid SRV name.
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

    /// Whether an address is a unicast address within the allowed networks.
    pub fn allows(&self, address: IpAddr) -> bool {
        let broadcast = matches!(address, IpAddr::V4(v4) if v4.is_broadcast());
        !address.is_unspecified()
            && !address.is_multicast()
            && !broadcast
            && self.networks.iter().any(|network| network.contains(address))
    }

    /// A TTL clamped to the configured bounds. Values above 2^31 - 1 seconds count as 0 (RFC 2181, section 8).
    pub fn lifetime(&self, ttl: u32) -> Micros {
        let stated = if ttl > i32::MAX as u32 { 0 } else { u64::from(ttl) * SECOND };
        stated.clamp(self.lifetimes.0, self.lifetimes.1.max(self.lifetimes.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn networks_contain_their_addresses_only() {
        for (network, inside, outside) in [
            ("127.0.0.0/8", "127.255.0.1", "128.0.0.1"),
            ("10.1.2.3/32", "10.1.2.3", "10.1.2.2"),
            ("0.0.0.0/0", "9.9.9.9", "::1"),
            ("fd00::/8", "fdab::1", "fe80::1"),
            ("::/0", "::1", "1.2.3.4"),
        ] {
            let parsed: Network = network.parse().unwrap();
            assert!(parsed.contains(inside.parse().unwrap()), "{network}");
            assert!(!parsed.contains(outside.parse().unwrap()), "{network}");
        }
        for bad in ["", "127.0.0.0", "127.0.0.0/33", "::/129", "x/8", "127.0.0.0/-1"] {
            assert!(bad.parse::<Network>().is_err(), "{bad}");
        }
    }

    #[test]
    fn lifetimes_are_clamped_to_their_bounds() {
        let settings = SrvSettings::new("_r._tcp.example.org", vec![]).unwrap();
        for (ttl, seconds) in [(0, 5), (4, 5), (60, 60), (4_000, 300), (i32::MAX as u32, 300)] {
            assert_eq!(settings.lifetime(ttl), seconds * SECOND, "{ttl}");
        }
        assert_eq!(settings.lifetime(1 << 31), 5 * SECOND, "a TTL with the highest bit set counts as 0");
    }

    #[test]
    fn names_without_service_and_protocol_are_rejected() {
        for bad in ["", "example.org", "_r.example.org", "_r._tcp", "_r._tcp..org", "r._tcp.example.org"] {
            assert!(SrvSettings::new(bad, vec![]).is_err(), "{bad}");
        }
        let long = format!("_r._tcp.{}.org", "x".repeat(64));
        assert!(SrvSettings::new(&long, vec![]).is_err());
    }

    #[test]
    fn non_unicast_addresses_are_rejected_in_any_network() {
        let settings = SrvSettings::new("_r._tcp.example.org", vec![]).unwrap();
        for bad in ["0.0.0.0", "255.255.255.255", "224.0.0.1", "::", "ff02::1"] {
            assert!(!settings.allows(bad.parse().unwrap()), "{bad}");
        }
        assert!(settings.allows("127.0.0.1".parse().unwrap()));
    }
}

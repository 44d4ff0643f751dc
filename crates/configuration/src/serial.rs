//! Serial numbers of configurations.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

const DIGITS: usize = 8;
const RADIX: u32 = 16;
/// Largest value that fits in eight hexadecimal digits.
const MAX_VALUE: u64 = 0xffff_ffff;

/// Version of a configuration, written as eight hexadecimal digits. The highest one wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Serial(pub u64);

impl Serial {
    /// The next serial, or `None` if it does not fit in eight digits.
    pub fn next(self) -> Option<Serial> {
        (self.0 < MAX_VALUE).then(|| Serial(self.0 + 1))
    }
}

impl fmt::Display for Serial {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

/// Error parsing a [`Serial`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidSerial;

impl fmt::Display for InvalidSerial {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("serial: not eight hexadecimal digits")
    }
}

impl std::error::Error for InvalidSerial {}

impl FromStr for Serial {
    type Err = InvalidSerial;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let well_formed = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !well_formed {
            return Err(InvalidSerial);
        }
        u64::from_str_radix(text, RADIX).map(Serial).map_err(|_| InvalidSerial)
    }
}

impl Serialize for Serial {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Serial {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = compact_str::CompactString::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

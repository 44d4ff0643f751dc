//! Serde helpers for durations, numbers, and null or empty values.

use compact_str::CompactString;
use serde::{Deserialize, Deserializer};

/// Deserializes `null` as the default value.
pub(crate) fn null_as_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// Deserializes an empty name as `None`.
pub(crate) fn empty_as_none<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<CompactString>, D::Error> {
    let name = Option::<CompactString>::deserialize(deserializer)?;
    Ok(name.filter(|name| !name.is_empty()))
}

/// Durations with the unit `ms` or `s`, such as `500ms` or `1.5s`.
pub(crate) mod duration {
    use compact_str::CompactString;
    use serde::{de, Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    const NANOS_PER_MILLI: u128 = 1_000_000;
    const MILLIS_PER_SECOND: f64 = 1000.0;

    /// Parses a duration; `None` if the text is malformed.
    pub(crate) fn parse(text: &str) -> Option<Duration> {
        match text.strip_suffix("ms") {
            Some(number) => seconds(number, MILLIS_PER_SECOND),
            None => seconds(text.strip_suffix('s')?, 1.0),
        }
    }

    fn seconds(number: &str, units_per_second: f64) -> Option<Duration> {
        let well_formed = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        if !well_formed {
            return None;
        }
        let value: f64 = number.parse().ok()?;
        Duration::try_from_secs_f64(value / units_per_second).ok()
    }

    /// Formats a duration in milliseconds, with a fraction if needed.
    pub(crate) fn format(duration: Duration) -> String {
        let nanos = duration.as_nanos();
        if nanos.is_multiple_of(NANOS_PER_MILLI) {
            return format!("{}ms", nanos / NANOS_PER_MILLI);
        }
        format!("{}ms", nanos as f64 / NANOS_PER_MILLI as f64)
    }

    pub(crate) fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format(*duration))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = CompactString::deserialize(deserializer)?;
        parse(&text).ok_or_else(|| {
            de::Error::custom(format_args!("{text:?} is not a duration such as `500ms` or `1.5s`"))
        })
    }
}

/// Floating-point numbers, serialized as integers if they are whole.
pub(crate) mod number {
    use serde::{Deserialize, Deserializer, Serializer};

    /// 2^53, up to which every integer has an exact `f64` representation.
    const EXACT_INTEGER_MAX: f64 = 9_007_199_254_740_992.0;

    pub(crate) fn serialize<S: Serializer>(value: &f64, serializer: S) -> Result<S::Ok, S::Error> {
        let whole = value.fract() == 0.0 && value.abs() < EXACT_INTEGER_MAX;
        if whole {
            serializer.serialize_i64(*value as i64)
        } else {
            serializer.serialize_f64(*value)
        }
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        f64::deserialize(deserializer)
    }
}

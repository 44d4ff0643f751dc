//! A gateway's report about sites to its peers: time since each site's last response, and its shedding level. It is one
//! line of the membership exchange, which versions without sites ignore.

use crate::Micros;
use std::fmt::Write;

/// Longest line, bytes; longer ones are rejected, and sites that do not fit are left out.
const MAX_LINE_BYTES: usize = 2_048;
/// Longest time since a response that is accepted, µs.
const MAX_AGE: Micros = 3_600_000_000;

/// Report about sites.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteReport {
    /// Site names, and the time since each one's last response, µs.
    pub response_ages: Vec<(String, Micros)>,
    /// Shedding level, if there are tiers.
    pub level: Option<f64>,
}

/// Whether a name is safe to write in a line; others are left out.
fn is_safe_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 64
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

impl SiteReport {
    /// Encodes the line: `level=1.25 a=1200 b=88000`.
    pub fn encode(&self) -> String {
        let mut text = self.level.map_or(String::new(), |level| format!("level={level:.4}"));
        for (name, ago) in self.response_ages.iter().filter(|(name, _)| is_safe_name(name) && name != "level")
        {
            if text.len() + name.len() + 24 > MAX_LINE_BYTES {
                break;
            }
            let _ = write!(text, "{}{name}={ago}", if text.is_empty() { "" } else { " " });
        }
        text
    }

    /// Decodes a line.
    ///
    /// # Errors
    /// What is wrong with it; no part of the line is used.
    pub fn decode(text: &str) -> Result<SiteReport, String> {
        if text.len() > MAX_LINE_BYTES {
            return Err("line too long".into());
        }
        let mut report = SiteReport::default();
        for part in text.split(' ').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').ok_or("expected `name=value`")?;
            if name == "level" {
                let level: f64 = value.parse().map_err(|_| "invalid level")?;
                report.level = Some(level).filter(|level| level.is_finite() && *level >= 0.0);
                continue;
            }
            let ago = value.parse().ok().filter(|ago| *ago <= MAX_AGE && is_safe_name(name));
            report.response_ages.push((name.to_owned(), ago.ok_or("invalid age")?));
        }
        Ok(report)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn report_round_trips() {
        let report = SiteReport {
            response_ages: vec![("a".into(), 0), ("zone-b.2".into(), 88_000)],
            level: Some(1.25),
        };
        assert_eq!(report.encode(), "level=1.2500 a=0 zone-b.2=88000");
        assert_eq!(SiteReport::decode(&report.encode()), Ok(report));
        assert_eq!(SiteReport::decode(""), Ok(SiteReport::default()));
    }

    #[test]
    fn unsafe_and_excess_names_are_left_out() {
        let response_ages = ["", "two words", "a=b", "level", "ok"].map(|name| (name.to_owned(), 1)).to_vec();
        assert_eq!(SiteReport { response_ages, level: None }.encode(), "ok=1");
        let response_ages = (0..500).map(|n| (format!("a-rather-long-name-{n}"), 1)).collect();
        let text = SiteReport { response_ages, level: None }.encode();
        assert!(text.len() <= MAX_LINE_BYTES && SiteReport::decode(&text).is_ok());
    }

    #[test]
    fn malformed_lines_are_rejected() {
        for text in ["a", "a=", "a=x", "a=-1", "a=99999999999", "=1", "level=x", "a b=1"] {
            assert!(SiteReport::decode(text).is_err(), "{text}");
        }
        assert!(SiteReport::decode(&"a=1 ".repeat(1_000)).is_err());
        for level in ["level=NaN", "level=inf", "level=-1"] {
            assert_eq!(SiteReport::decode(level).unwrap().level, None, "{level}");
        }
    }
}

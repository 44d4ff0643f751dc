//! The operator's terms of a trial: parsing, validation and evaluation.

use compact_str::CompactString;
use garde::Validate;
use hingestage_rpc::trials::TERMS_BYTES_MAX;
use serde::Deserialize;
use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum number of steps before the end.
pub const STEPS_MAX: usize = 16;
/// Maximum number of route or kind names in one list.
const CLASSES_MAX: usize = 64;

/// Terms of a tenant's trial. Without an `end` there is no trial: the tenant has paid, or it was cancelled.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Terms {
    /// Version; terms with a higher version replace those with a lower one.
    #[garde(range(min = 1))]
    pub version: u64,
    /// End of the trial as Unix time in milliseconds; written in RFC 3339 format.
    #[serde(default, deserialize_with = "unix_millis")]
    #[garde(skip)]
    pub end: Option<u64>,
    /// Reductions of the quota before the end, earliest first.
    #[serde(default)]
    #[garde(length(max = STEPS_MAX), dive, custom(steps_in_order))]
    pub steps: Vec<StepTerms>,
    /// Requests that are refused last: route names or route kinds.
    #[serde(default)]
    #[garde(length(max = CLASSES_MAX))]
    pub refused_last: Vec<CompactString>,
    /// Requests that wait within their deadline instead of being refused: route names or route kinds.
    #[serde(default)]
    #[garde(length(max = CLASSES_MAX), custom(no_duplicate_class(&self.refused_last)))]
    pub deferred: Vec<CompactString>,
    /// How long after the end requests that are refused last keep the share of the last step.
    #[serde(default, deserialize_with = "duration")]
    #[garde(skip)]
    pub grace: Duration,
    /// Fraction of the quota left after the end.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub after_end: f64,
}

/// A step before the end.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct StepTerms {
    /// How long before the end the step starts.
    #[serde(deserialize_with = "duration")]
    #[garde(skip)]
    pub before_end: Duration,
    /// Fraction of the quota left from then on.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
}

/// The reason why terms are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidTerms(String);

impl fmt::Display for InvalidTerms {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for InvalidTerms {}

/// Phase of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The whole quota.
    Full,
    /// A step before the end, numbered from 1.
    Slowed(u32),
    /// The trial has ended; requests that are refused last keep the share of the last step.
    Grace,
    /// The trial has ended.
    Ended,
}

/// The quota that a step leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLevel {
    /// Phase of the step.
    pub phase: Phase,
    /// Fraction of the quota for all requests.
    pub share: f64,
    /// Fraction of the quota for requests that are refused last.
    pub share_of_last: f64,
}

/// Priority of a request among those of the same trial tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// May use all of the remaining quota.
    RefusedLast,
    /// Leaves a reserve to requests that are refused last.
    Ordinary,
    /// Waits for quota that the others leave.
    Deferred,
}

impl Terms {
    /// Parses and validates terms.
    ///
    /// # Errors
    /// The terms are invalid; the error names the field.
    pub fn parse(json: &[u8]) -> Result<Terms, InvalidTerms> {
        if json.len() > TERMS_BYTES_MAX {
            return Err(InvalidTerms(format!("longer than {TERMS_BYTES_MAX} bytes")));
        }
        let terms: Terms = serde_json::from_slice(json).map_err(|error| InvalidTerms(error.to_string()))?;
        terms.validate().map_err(|report| InvalidTerms(report.to_string().trim_end().replace('\n', "; ")))?;
        Ok(terms)
    }

    /// Number of the last step.
    pub fn last_step(&self) -> u32 {
        if self.end.is_some() {
            self.steps.len() as u32 + 2
        } else {
            0
        }
    }

    /// The quota that a step leaves. Numbers beyond the last step count as the last.
    pub fn level(&self, step: u32) -> QuotaLevel {
        let number = step.min(self.last_step()) as usize;
        if number == 0 {
            return QuotaLevel { phase: Phase::Full, share: 1.0, share_of_last: 1.0 };
        }
        if let Some(step) = self.steps.get(number - 1) {
            return QuotaLevel {
                phase: Phase::Slowed(number as u32),
                share: step.share,
                share_of_last: step.share,
            };
        }
        let last_share = self.steps.last().map_or(1.0, |step| step.share).max(self.after_end);
        if number == self.steps.len() + 1 {
            return QuotaLevel { phase: Phase::Grace, share: self.after_end, share_of_last: last_share };
        }
        QuotaLevel { phase: Phase::Ended, share: self.after_end, share_of_last: self.after_end }
    }

    /// Number of the step that is due at a Unix time in milliseconds.
    pub fn step_due(&self, unix_millis: u64) -> u32 {
        let Some(end) = self.end else { return 0 };
        let has_started = |step: &&StepTerms| unix_millis >= end.saturating_sub(millis(step.before_end));
        let slowed = self.steps.iter().take_while(has_started).count() as u32;
        if unix_millis >= end.saturating_add(millis(self.grace)) {
            return self.last_step();
        }
        if unix_millis >= end {
            return self.last_step() - 1;
        }
        slowed
    }

    /// The class of requests of a route, given its name and kind.
    pub fn class_of(&self, route: &str, kind: &str) -> RequestClass {
        let contains = |list: &[CompactString]| list.iter().any(|name| name == route || name == kind);
        if contains(&self.refused_last) {
            RequestClass::RefusedLast
        } else if contains(&self.deferred) {
            RequestClass::Deferred
        } else {
            RequestClass::Ordinary
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Checks that steps are in order of time and that shares do not increase.
fn steps_in_order(steps: &[StepTerms], _: &()) -> garde::Result {
    for pair in steps.windows(2) {
        if pair[1].before_end >= pair[0].before_end {
            return Err(garde::Error::new("a step begins no later than the one before it"));
        }
        if pair[1].share > pair[0].share {
            return Err(garde::Error::new("a step leaves more than the one before it"));
        }
    }
    Ok(())
}

fn no_duplicate_class<'a>(
    others: &'a [CompactString],
) -> impl Fn(&[CompactString], &()) -> garde::Result + 'a {
    move |names, _| match names.iter().find(|name| others.contains(name)) {
        Some(name) => Err(garde::Error::new(format!("`{name}` is refused last as well"))),
        None => Ok(()),
    }
}

fn duration<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = CompactString::deserialize(deserializer)?;
    let invalid = |error| serde::de::Error::custom(format!("`{text}` is not a duration: {error}"));
    humantime::parse_duration(&text).map_err(invalid)
}

fn unix_millis<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    let Some(text) = Option::<CompactString>::deserialize(deserializer)? else { return Ok(None) };
    let invalid = |error| serde::de::Error::custom(format!("end: `{text}` is not an RFC 3339 time: {error}"));
    let time: SystemTime = humantime::parse_rfc3339_weak(&text).map_err(invalid)?;
    let since = time.duration_since(UNIX_EPOCH).map_err(serde::de::Error::custom)?;
    Ok(Some(millis(since)))
}

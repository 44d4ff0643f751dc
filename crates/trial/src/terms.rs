//! The operator's terms of a trial: read and checked.

use compact_str::CompactString;
use garde::Validate;
use hingestage_rpc::trials::TERMS_BYTES_MAX;
use serde::Deserialize;
use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Steps before the end at the most.
pub const STEPS_MAX: usize = 16;
/// Names of routes or kinds in one list at the most.
const CLASSES_MAX: usize = 64;

/// Terms of a tenant's trial. Without an `end` there is none: the tenant has paid, or the trial is cancelled.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Terms {
    /// Of two terms for one tenant the higher version holds.
    #[garde(range(min = 1))]
    pub version: u64,
    /// When the trial ends, milliseconds since 1970 in universal time; written as in RFC 3339.
    #[serde(default, deserialize_with = "time_of_day")]
    #[garde(skip)]
    pub end: Option<u64>,
    /// What is left of the quota before the end, from the earliest step to the latest.
    #[serde(default)]
    #[garde(length(max = STEPS_MAX), dive, custom(steps_in_order))]
    pub steps: Vec<StepTerms>,
    /// Requests that are refused last: names of routes, or kinds of routes.
    #[serde(default)]
    #[garde(length(max = CLASSES_MAX))]
    pub refused_last: Vec<CompactString>,
    /// Requests that wait within their deadline in place of being refused: names of routes, or kinds.
    #[serde(default)]
    #[garde(length(max = CLASSES_MAX), custom(no_class_twice(&self.refused_last)))]
    pub deferred: Vec<CompactString>,
    /// For how long after the end requests that are refused last still have the share of the last step.
    #[serde(default, deserialize_with = "span")]
    #[garde(skip)]
    pub grace: Duration,
    /// Part of the quota that is left after the end.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub after_end: f64,
}

/// One step before the end.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct StepTerms {
    /// How long before the end it begins.
    #[serde(deserialize_with = "span")]
    #[garde(skip)]
    pub before_end: Duration,
    /// Part of the quota that is left from then on.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
}

/// Why terms are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidTerms(String);

impl fmt::Display for InvalidTerms {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for InvalidTerms {}

/// What a step is, to those who read of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The whole quota.
    Full,
    /// A step before the end, from 1 on.
    Slowed(u32),
    /// The trial has ended; requests that are refused last have the share of the last step.
    Grace,
    /// The trial has ended.
    Ended,
}

/// What a step leaves of the quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// What the step is.
    pub phase: Phase,
    /// Part of the quota for all requests.
    pub share: f64,
    /// Part of the quota for requests that are refused last.
    pub share_of_last: f64,
}

/// How a request of a trial tenant is treated beside its others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// It may use what is left to the tenant as a whole.
    RefusedLast,
    /// It leaves a reserve to requests that are refused last.
    Ordinary,
    /// It waits for what the others leave.
    Deferred,
}

impl Terms {
    /// Reads and checks terms.
    ///
    /// # Errors
    /// What is wrong, and with which field.
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

    /// What a step leaves of the quota. A step beyond the last is the last.
    pub fn level(&self, step: u32) -> Level {
        let place = step.min(self.last_step()) as usize;
        if place == 0 {
            return Level { phase: Phase::Full, share: 1.0, share_of_last: 1.0 };
        }
        if let Some(step) = self.steps.get(place - 1) {
            return Level {
                phase: Phase::Slowed(place as u32),
                share: step.share,
                share_of_last: step.share,
            };
        }
        let last_share = self.steps.last().map_or(1.0, |step| step.share).max(self.after_end);
        if place == self.steps.len() + 1 {
            return Level { phase: Phase::Grace, share: self.after_end, share_of_last: last_share };
        }
        Level { phase: Phase::Ended, share: self.after_end, share_of_last: self.after_end }
    }

    /// Number of the step that is due at a time of day, milliseconds since 1970.
    pub fn step_due(&self, time_of_day: u64) -> u32 {
        let Some(end) = self.end else { return 0 };
        let begun = |step: &&StepTerms| time_of_day >= end.saturating_sub(millis(step.before_end));
        let slowed = self.steps.iter().take_while(begun).count() as u32;
        if time_of_day >= end.saturating_add(millis(self.grace)) {
            return self.last_step();
        }
        if time_of_day >= end {
            return self.last_step() - 1;
        }
        slowed
    }

    /// How requests of a route are treated, by the route's name and kind.
    pub fn class_of(&self, route: &str, kind: &str) -> RequestClass {
        let names = |list: &[CompactString]| list.iter().any(|name| name == route || name == kind);
        if names(&self.refused_last) {
            RequestClass::RefusedLast
        } else if names(&self.deferred) {
            RequestClass::Deferred
        } else {
            RequestClass::Ordinary
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Steps come one after the other, and each leaves no more than the one before.
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

fn no_class_twice<'a>(others: &'a [CompactString]) -> impl Fn(&[CompactString], &()) -> garde::Result + 'a {
    move |names, _| match names.iter().find(|name| others.contains(name)) {
        Some(name) => Err(garde::Error::new(format!("`{name}` is refused last as well"))),
        None => Ok(()),
    }
}

fn span<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = CompactString::deserialize(deserializer)?;
    let wrong = |error| serde::de::Error::custom(format!("`{text}` is no span: {error}"));
    humantime::parse_duration(&text).map_err(wrong)
}

fn time_of_day<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    let Some(text) = Option::<CompactString>::deserialize(deserializer)? else { return Ok(None) };
    let wrong = |error| serde::de::Error::custom(format!("end: `{text}` is no time of day: {error}"));
    let time: SystemTime = humantime::parse_rfc3339_weak(&text).map_err(wrong)?;
    let since = time.duration_since(UNIX_EPOCH).map_err(serde::de::Error::custom)?;
    Ok(Some(millis(since)))
}

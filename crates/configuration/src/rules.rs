//! Field validators for garde. An error carries the code of its [`Rule`].

use crate::model::{Kind, Share};
use crate::Rule;
use compact_str::CompactString;
use std::time::Duration;

/// A target time must be below the timeout plus this margin.
const TARGET_MARGIN: Duration = Duration::from_secs(60);

fn require(holds: bool, rule: Rule) -> garde::Result {
    if holds {
        return Ok(());
    }
    Err(garde::Error::new(rule.code()))
}

pub(crate) fn host(host: &CompactString, _: &()) -> garde::Result {
    require(!crate::lookup::normalize_host(host).is_empty(), Rule::EmptyHost)
}

pub(crate) fn prefix(prefix: &CompactString, _: &()) -> garde::Result {
    require(prefix.starts_with('/') && prefix.ends_with('/'), Rule::PrefixWithoutSlashes)
}

pub(crate) fn kind(kind: &Kind, _: &()) -> garde::Result {
    require(!matches!(kind, Kind::Unknown(_)), Rule::UnknownKind)
}

pub(crate) fn timeout(timeout: &Duration, _: &()) -> garde::Result {
    require(!timeout.is_zero(), Rule::NoTimeout)
}

pub(crate) fn target_time(timeout: &Duration) -> impl FnOnce(&Duration, &()) -> garde::Result + '_ {
    move |target_time, _| {
        let limit = timeout.saturating_add(TARGET_MARGIN);
        require(*target_time < limit, Rule::TargetPastTimeout)
    }
}

pub(crate) fn weight(weight: &f64, _: &()) -> garde::Result {
    require(*weight >= 0.0, Rule::NegativeWeight)
}

pub(crate) fn split(backend: &Option<CompactString>) -> impl FnOnce(&Vec<Share>, &()) -> garde::Result + '_ {
    move |split, _| {
        if split.is_empty() {
            return require(backend.is_some(), Rule::NoBackend);
        }
        let negative = split.iter().any(|share| share.weight < 0.0 || share.weight.is_nan());
        if negative {
            return Ok(()); // reported by the rule for weights
        }
        let total: f64 = split.iter().map(|share| share.weight).sum();
        require(total > 0.0 && total.is_finite(), Rule::NoWeight)
    }
}

pub(crate) fn rate(rate: &f64, _: &()) -> garde::Result {
    require(rate.is_finite() && *rate >= 0.0, Rule::InvalidRate)
}

//! Parses settings from `path=value` pairs, as sent on the wire, and flattens nested configuration
//! into such pairs.

use crate::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;

/// A message: its name and its fields.
pub struct Fields<'a> {
    /// Kind of message.
    pub name: &'a str,
    values: BTreeMap<&'a str, &'a str>,
    /// Line number in the input, for errors; 0 if there is none.
    line: u64,
}

impl<'a> Fields<'a> {
    /// Parses a line of tab-separated fields.
    pub fn parse(text: &'a str, line: u64) -> Result<Self, String> {
        let mut parts = text.split('\t');
        let name = parts.next().unwrap_or_default();
        let mut values = BTreeMap::new();
        for part in parts {
            let (key, value) =
                part.split_once('=').ok_or_else(|| format!("line {line}: field `{part}`: no `=`"))?;
            values.insert(key, value);
        }
        Ok(Fields { name, values, line })
    }

    /// Builds a message from pairs that were not read from a line.
    pub fn from_pairs(name: &'a str, pairs: &'a [(String, String)]) -> Self {
        let values = pairs.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
        Fields { name, values, line: 0 }
    }

    /// Formats an error with line, message and field.
    pub fn error(&self, field: &str, what: &str) -> String {
        let line = if self.line > 0 { format!("line {}: ", self.line) } else { String::new() };
        format!("{line}{}: field `{field}`: {what}", self.name)
    }

    /// A text; empty if absent.
    pub fn text_or_empty(&self, field: &str) -> &'a str {
        self.values.get(field).copied().unwrap_or_default()
    }

    /// A required text.
    pub fn text(&self, field: &str) -> Result<&'a str, String> {
        self.values.get(field).copied().ok_or_else(|| self.error(field, "missing"))
    }

    /// An optional value.
    pub fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, String> {
        let Some(value) = self.values.get(field) else { return Ok(None) };
        value.parse().map(Some).map_err(|_| self.error(field, &format!("`{value}` is not a proper value")))
    }

    /// A required value.
    pub fn number<T: FromStr>(&self, field: &str) -> Result<T, String> {
        self.optional(field)?.ok_or_else(|| self.error(field, "missing"))
    }

    /// A required whole number.
    pub fn int(&self, field: &str) -> Result<u64, String> {
        self.number(field)
    }

    /// A required finite number.
    pub fn float(&self, field: &str) -> Result<f64, String> {
        self.checked(field)?.ok_or_else(|| self.error(field, "missing"))
    }

    /// An optional finite number.
    pub fn checked(&self, field: &str) -> Result<Option<f64>, String> {
        match self.optional::<f64>(field)? {
            Some(n) if !n.is_finite() => Err(self.error(field, "not a finite number")),
            n => Ok(n),
        }
    }

    /// A finite number; 0 if absent.
    pub fn float_or_zero(&self, field: &str) -> Result<f64, String> {
        Ok(self.checked(field)?.unwrap_or(0.0))
    }

    /// A duration in microseconds; 0 if absent.
    pub fn span_or_zero(&self, field: &str) -> Result<Micros, String> {
        Ok(self.optional(field)?.unwrap_or(0))
    }

    /// A boolean; false if absent.
    pub fn flag(&self, field: &str) -> Result<bool, String> {
        match self.values.get(field).copied() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(self.error(field, &format!("`{other}` is neither 1 nor 0"))),
        }
    }

    /// A required choice from the given names.
    pub fn choice<T: Copy>(&self, field: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let value = self.text(field)?;
        let found = choices.iter().find(|(name, _)| *name == value).map(|(_, choice)| *choice);
        found.ok_or_else(|| self.error(field, &format!("`{value}` is not a known word")))
    }
}

/// Names of the classes and plans.
#[derive(Clone, Debug)]
pub struct Names {
    /// Class names, in order.
    pub classes: Vec<String>,
    /// Plan names, in order.
    pub plans: Vec<String>,
}

/// Parses the settings of a gatekeeper.
pub fn settings(f: &Fields) -> Result<(Settings, Names), String> {
    let mut names = Names { classes: Vec::new(), plans: Vec::new() };
    let mut classes = Vec::new();
    for i in 0..f.optional::<usize>("services.count")?.unwrap_or(0) {
        let at = |key: &str| format!("services.{i}.{key}");
        use {DedupGroup::*, Effect::*};
        let effects =
            [("idempotent", Idempotent), ("deduplicated", Deduplicated), ("at_most_once", AtMostOnce)];
        let groups = [("all", All), ("zone", Zone), ("cell", Cell)];
        let effect = f.choice(&at("effect"), &effects)?;
        names.classes.push(f.text(&at("name"))?.into());
        classes.push(Class {
            aim: f.int(&at("aimUs"))?,
            deadline: f.int(&at("giveUpUs"))?,
            effect,
            group: if effect == Deduplicated { f.choice(&at("group"), &groups)? } else { All },
            key_window: f.span_or_zero(&at("keyTtlUs"))?,
            attempts: 0,
        });
    }
    let mut plans = Vec::new();
    for i in 0..f.optional::<usize>("tiersOfService.count")?.unwrap_or(0) {
        let number = |key: &str| f.float_or_zero(&format!("tiersOfService.{i}.{key}"));
        names.plans.push(f.text(&format!("tiersOfService.{i}.name"))?.into());
        plans.push(Plan {
            rate: number("rate")?,
            burst: number("storeSize")?,
            max_open: number("open")?,
            ceiling_rate: number("hardRate")?,
            ceiling_burst: number("capDepth")?,
            ceiling_slack: number("ceilingSlack")?,
            over_quota_value: number("beyondEarns")?,
            over_quota_cost: number("overCost")?,
        });
    }
    let settings = Settings {
        instances: f.number("instances")?,
        me: f.optional("me")?.unwrap_or(0),
        resolution: f.span_or_zero("resolutionUs")?,
        zone: Zone(f.text_or_empty("zone").into()),
        counter: f.flag("familyInfo.mayCount")?,
        counter_timeout: f.span_or_zero("familyInfo.countWaitUs")?,
        max_units: f.float_or_zero("familyInfo.mostUnits")?,
        units_estimated: f.flag("familyInfo.costAfter")?,
        subscribe: f.text_or_empty("registryMode") == "on_request",
        classes,
        plans,
        limits: Limits {
            max_attempts: f.number("limits.maxAttempts")?,
            second_copies: f.flag("limits.mayDuplicate")?,
            hedge: f.flag("limits.mayDuplicate")?,
            cancel: f.flag("limits.mayCancel")?,
            max_retry_after: if f.flag("limits.retryAfter")? { f.int("limits.maxRetryAfterUs")? } else { 0 },
            max_retry_budget: 0.0,
            refusals_promise: false,
        },
        rules: WarmUpRules {
            initial_capacity: f.float("rules.coldFrom")?,
            warm_up_time: f.int("rules.coldUs")?,
            overload_multiple: f.float("rules.fallMultiple")?,
            overload_window: f.int("rules.tipAfterUs")?,
        },
    };
    Ok((settings, names))
}

/// Flattens nested settings into pairs: `a.b` for objects, `a.count` and `a.0` for lists.
pub fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let at = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| flatten(&at(key), value, pairs)),
        Value::Array(items) => {
            pairs.push((at("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(i, item)| flatten(&at(&i.to_string()), item, pairs));
        }
        Value::Null => {}
        Value::String(text) => pairs.push((path.to_owned(), text.clone())),
        // Formats whole floats without a decimal point, so that durations may be written as `5.0`.
        Value::Number(n) if n.is_f64() => {
            pairs.push((path.to_owned(), n.as_f64().unwrap_or_default().to_string()))
        }
        other => pairs.push((path.to_owned(), other.to_string())),
    }
}

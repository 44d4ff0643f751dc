//! Detects changes that are likely mistakes. An operator must confirm them.

use crate::document::{Plan, Policy};
use std::fmt;

/// A limit may fall to this fraction without confirmation.
const MIN_LIMIT_RATIO: f64 = 0.5;
/// A limit may rise to this multiple without confirmation.
const MAX_LIMIT_RATIO: f64 = 4.0;
/// Accounts that may be blocked or exempted at once without confirmation.
const MAX_NEW_ACCOUNTS: usize = 20;

/// A change that needs confirmation.
#[derive(Clone, Debug, PartialEq)]
pub enum Danger {
    /// A plan's quota or ceiling becomes zero.
    ZeroLimit(String),
    /// A plan's limit falls far: plan, limit, before, after.
    LargeDecrease(String, &'static str, f64, f64),
    /// A plan's limit rises far, which may overload cold workers: plan, limit, before, after.
    LargeIncrease(String, &'static str, f64, f64),
    /// A plan or class is removed: kind, name.
    Removed(&'static str, String),
    /// A class that was not retried becomes retryable.
    BecomesRetryable(String),
    /// Many accounts are blocked or exempted at once: list, number.
    ManyAccounts(&'static str, usize),
    /// The version number does not increase: before, after.
    VersionNotIncreasing(u64, u64),
}

impl fmt::Display for Danger {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Danger::ZeroLimit(plan) => write!(f, "accounts of plan `{plan}` could have nothing"),
            Danger::LargeDecrease(plan, what, a, b) => {
                write!(f, "plan `{plan}`: {what} falls from {a} to {b}")
            }
            Danger::LargeIncrease(plan, what, a, b) => {
                write!(f, "plan `{plan}`: {what} rises from {a} to {b}")
            }
            Danger::Removed(kind, name) => write!(f, "{kind} `{name}` is taken away"),
            Danger::BecomesRetryable(class) => {
                write!(f, "class `{class}` would be repeated where it was not")
            }
            Danger::ManyAccounts(what, n) => write!(f, "{n} more accounts are {what}"),
            Danger::VersionNotIncreasing(a, b) => write!(f, "version {b} does not follow {a}"),
        }
    }
}

/// Lists what needs confirmation in a change.
pub fn dangers(before: &Policy, after: &Policy) -> Vec<Danger> {
    let mut all = Vec::new();
    if after.version <= before.version {
        all.push(Danger::VersionNotIncreasing(before.version, after.version));
    }
    for (name, plan) in &after.plans {
        let is_zero =
            |bucket: Option<(f64, f64)>| bucket.is_some_and(|(rate, depth)| rate == 0.0 || depth == 0.0);
        let was = before.plans.get(name);
        let has_zero_limit =
            |plan: &Plan| is_zero(plan.quota) || is_zero(plan.ceiling.map(|(r, d, _)| (r, d)));
        if has_zero_limit(plan) && !was.is_some_and(has_zero_limit) {
            all.push(Danger::ZeroLimit(name.clone()));
        } else if let Some(was) = was {
            compare_limits(&mut all, name, was, plan);
        }
    }
    all.extend(removed("plan", before.plans.keys(), |name| after.plans.contains_key(name)));
    all.extend(removed("class", before.classes.keys(), |name| after.classes.contains_key(name)));
    for (name, class) in &after.classes {
        let retryable = |effect| effect != crate::Effect::AtMostOnce;
        let was = before.classes.get(name);
        if was.is_some_and(|was| !retryable(was.effect) && retryable(class.effect)) {
            all.push(Danger::BecomesRetryable(name.clone()));
        }
    }
    for (what, before, after) in
        [("exempt", &before.exempt, &after.exempt), ("blocked", &before.blocked, &after.blocked)]
    {
        let more = after.difference(before).count();
        if more > MAX_NEW_ACCOUNTS {
            all.push(Danger::ManyAccounts(what, more));
        }
    }
    all
}

fn removed<'a>(
    kind: &'static str,
    before: impl Iterator<Item = &'a String>,
    remains: impl Fn(&String) -> bool,
) -> Vec<Danger> {
    before.filter(|name| !remains(name)).map(|name| Danger::Removed(kind, name.clone())).collect()
}

/// Adds limits of a plan that fall or rise far.
fn compare_limits(all: &mut Vec<Danger>, name: &str, before: &Plan, after: &Plan) {
    let quota = |plan: &Plan| plan.quota.map(|(rate, _)| rate);
    let ceiling = |plan: &Plan| plan.ceiling.map(|(rate, ..)| rate);
    for (what, a, b) in [("quota", quota(before), quota(after)), ("ceiling", ceiling(before), ceiling(after))]
    {
        match (a, b) {
            (Some(a), Some(b)) if b < a * MIN_LIMIT_RATIO => {
                all.push(Danger::LargeDecrease(name.to_owned(), what, a, b))
            }
            (Some(a), Some(b)) if b > a * MAX_LIMIT_RATIO => {
                all.push(Danger::LargeIncrease(name.to_owned(), what, a, b))
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::read;

    const BEFORE: &str =
        "(policy (form 1) (version 7) (plan ente (quota 40 60) (ceiling 80 100 10)) (plan base)
        (class push (aim 0.6) (give-up 1.5) (effect at-most-once)))";

    fn found(from: &str, to: &str) -> Vec<String> {
        let after = BEFORE.replace("(version 7)", "(version 8)").replace(from, to);
        dangers(&read(BEFORE).unwrap(), &read(&after).unwrap()).iter().map(ToString::to_string).collect()
    }

    #[test]
    fn an_ordinary_change_needs_no_confirmation() {
        assert!(found("(quota 40 60)", "(quota 30 60)").is_empty());
        assert!(found("(ceiling 80 100 10)", "(ceiling 160 200 10)").is_empty());
        assert!(found("(plan base)", "(plan base) (plan scuola) (blocked 1 2 3)").is_empty());
    }

    #[test]
    fn likely_mistakes_need_confirmation() {
        for (from, to, wanted) in [
            ("(quota 40 60)", "(quota 0 60)", "accounts of plan `ente` could have nothing"),
            ("(quota 40 60)", "(quota 4 60)", "plan `ente`: quota falls from 40 to 4"),
            ("(ceiling 80 100 10)", "(ceiling 800 1000 10)", "plan `ente`: ceiling rises from 80 to 800"),
            ("(plan base)", "", "plan `base` is taken away"),
            ("at-most-once", "idempotent", "class `push` would be repeated where it was not"),
            ("(version 8)", "(version 7)", "version 7 does not follow 7"),
        ] {
            assert_eq!(found(from, to), [wanted], "{from} to {to}");
        }
        let many: String = (0..21).map(|n| format!(" {n}")).collect();
        let blocked = format!("(plan base) (blocked{many})");
        assert_eq!(found("(plan base)", &blocked), ["21 more accounts are blocked"]);
    }
}

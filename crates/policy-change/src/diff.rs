//! Differences between two versions in readable form.

use crate::document::{date, Class, Plan, Policy};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One difference.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// What differs: a plan, a class or a list of accounts.
    pub subject: String,
    /// Description of the difference.
    pub description: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.description)
    }
}

/// Lists all differences from `before` to `after`, except the version number.
pub fn diff(before: &Policy, after: &Policy) -> Vec<Difference> {
    let mut all = Vec::new();
    compare_maps(&mut all, "plan", &before.plans, &after.plans, plan);
    compare_maps(&mut all, "class", &before.classes, &after.classes, class);
    compare_sets(&mut all, "exempt", &before.exempt, &after.exempt);
    compare_sets(&mut all, "blocked", &before.blocked, &after.blocked);
    compare_maps(&mut all, "account", &before.overrides, &after.overrides, |before, after| {
        let describe = |o: &crate::Override| format!("plan `{}` until {}", o.plan, date(o.until));
        if before == after {
            Vec::new()
        } else {
            vec![format!("{} becomes {}", describe(before), describe(after))]
        }
    });
    all
}

fn compare_maps<K: Ord + fmt::Display, V>(
    all: &mut Vec<Difference>,
    kind: &str,
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
    changes: impl Fn(&V, &V) -> Vec<String>,
) {
    let names: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    for name in names {
        let subject = format!("{kind} `{name}`");
        match (before.get(name), after.get(name)) {
            (Some(_), None) => all.push(Difference { subject, description: "is taken away".into() }),
            (None, Some(_)) => all.push(Difference { subject, description: "is new".into() }),
            (Some(before), Some(after)) => {
                let changes = changes(before, after);
                all.extend(
                    changes
                        .into_iter()
                        .map(|description| Difference { subject: subject.clone(), description }),
                );
            }
            (None, None) => {}
        }
    }
}

fn compare_sets(all: &mut Vec<Difference>, name: &str, before: &BTreeSet<u64>, after: &BTreeSet<u64>) {
    for (description, accounts) in [("no longer", before - after), ("from now on", after - before)] {
        if !accounts.is_empty() {
            let listed: Vec<String> = accounts.iter().map(u64::to_string).collect();
            all.push(Difference {
                subject: name.into(),
                description: format!("{description} {}", listed.join(", ")),
            });
        }
    }
}

/// Adds the difference of a number, if any.
fn compare_numbers(
    changes: &mut Vec<String>,
    name: &str,
    before: Option<f64>,
    after: Option<f64>,
    unit: &str,
) {
    let change = match (before, after) {
        (Some(a), Some(b)) if a != b => format!("{name} {a} to {b}{unit}"),
        (Some(a), None) => format!("{name} {a}{unit} is taken away"),
        (None, Some(b)) => format!("{name} {b}{unit} is new"),
        _ => return,
    };
    changes.push(change);
}

fn plan(before: &Plan, after: &Plan) -> Vec<String> {
    let mut changes = Vec::new();
    let quota = |plan: &Plan, at: usize| plan.quota.map(|(rate, burst)| [rate, burst][at]);
    let ceiling = |plan: &Plan, at: usize| plan.ceiling.map(|(rate, depth, slack)| [rate, depth, slack][at]);
    for (at, name, unit) in [(0, "quota", " a second"), (1, "store", " units")] {
        compare_numbers(&mut changes, name, quota(before, at), quota(after, at), unit);
    }
    for (at, name, unit) in
        [(0, "ceiling", " a second"), (1, "ceiling's store", " units"), (2, "slack", " units")]
    {
        compare_numbers(&mut changes, name, ceiling(before, at), ceiling(after, at), unit);
    }
    compare_numbers(&mut changes, "worth", Some(before.worth), Some(after.worth), "");
    changes
}

fn class(before: &Class, after: &Class) -> Vec<String> {
    let mut changes = Vec::new();
    let spans = [("aim", before.aim, after.aim), ("give-up", before.give_up, after.give_up)];
    for (name, a, b) in spans {
        compare_numbers(&mut changes, name, Some(a.as_secs_f64()), Some(b.as_secs_f64()), " s");
    }
    if before.effect != after.effect {
        changes.push(format!("effect {} to {}", before.effect.name(), after.effect.name()));
    }
    let attempts = (f64::from(before.attempts), f64::from(after.attempts));
    compare_numbers(&mut changes, "attempts", Some(attempts.0), Some(attempts.1), "");
    changes
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::read;

    const BEFORE: &str =
        "(policy (form 1) (version 7) (plan ente (quota 40 60) (ceiling 80 100 10)) (plan base)
        (class pull (aim 0.6) (give-up 1.5) (effect idempotent)) (blocked 5 6))";

    fn describe(from: &str, to: &str) -> Vec<String> {
        let (before, after) = (read(BEFORE).unwrap(), read(&BEFORE.replace(from, to)).unwrap());
        diff(&before, &after).iter().map(ToString::to_string).collect()
    }

    #[test]
    fn differences_are_described() {
        assert_eq!(describe("(version 7)", "(version 8)"), Vec::<String>::new());
        assert_eq!(
            describe("(ceiling 80 100 10)", "(ceiling 60 100 10)"),
            ["plan `ente`: ceiling 80 to 60 a second"]
        );
        assert_eq!(describe(" (ceiling 80 100 10)", "").len(), 3);
        assert_eq!(
            describe("(plan base)", "(plan scuola)"),
            ["plan `base`: is taken away", "plan `scuola`: is new"]
        );
        assert_eq!(describe("(aim 0.6)", "(aim 0.5)"), ["class `pull`: aim 0.6 to 0.5 s"]);
        assert_eq!(
            describe("idempotent", "at-most-once"),
            ["class `pull`: effect idempotent to at-most-once"]
        );
        assert_eq!(
            describe("(blocked 5 6)", "(blocked 6 9)"),
            ["blocked: no longer 5", "blocked: from now on 9"]
        );
        let until = "(override 4 ente (until \"2026-12-24T00:00:00Z\")) (blocked 5 6)";
        assert_eq!(describe("(blocked 5 6)", until), ["account `4`: is new"]);
    }

    #[test]
    fn equal_documents_have_no_differences_and_diff_is_symmetric() {
        let one = read(BEFORE).unwrap();
        assert!(diff(&one, &one).is_empty());
        let other =
            read(&BEFORE.replace("(quota 40 60)", "(quota 30 60)").replace("(plan base)", "")).unwrap();
        assert_eq!(diff(&one, &other).len(), diff(&other, &one).len());
    }
}

//! Combines a policy document with a gateway's settings: classes and plans in the order of the settings, and
//! the plan of each account. A document that does not fit the settings is rejected as a whole.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use hingestage_policy::settings::Names;
use hingestage_policy::{Class, ClassId, Effect, Micros, Plan, PlanId, Settings, Terms};
use hingestage_policy_change as change;
use hingestage_policy_change::Policy;
use std::collections::{BTreeMap, BTreeSet};

/// A policy document combined with one gateway's settings.
#[derive(Clone, Debug)]
pub struct Rules {
    terms: Terms,
    /// Number of limited plans: those of the settings in their order, then others of the document. The same
    /// number without quotas follows, for exempt accounts.
    plans: usize,
    exempt: BTreeSet<u64>,
    blocked: BTreeSet<u64>,
    /// Plan by account, and its expiry as Unix time in seconds.
    overrides: BTreeMap<u64, (usize, u64)>,
}

impl Rules {
    /// Combines a document with settings. The settings define the names and order of plans and classes on the
    /// wire, and all that the document does not cover (open requests, key windows).
    ///
    /// # Errors
    /// A plan or class of the settings is missing from the document, or the gateway does not support what it
    /// asks for.
    pub fn new(policy: &Policy, settings: &Settings, names: &Names) -> Result<Rules, String> {
        if let Some(unknown) = policy.classes.keys().find(|name| !names.classes.contains(name)) {
            return Err(format!("class `{unknown}` is not one of this gateway's settings"));
        }
        let known = names.classes.iter().zip(&settings.classes);
        let classes =
            known.map(|(name, base)| class(policy, settings, name, base)).collect::<Result<_, _>>()?;
        let mut order: Vec<&String> = Vec::new();
        for name in &names.plans {
            if !policy.plans.contains_key(name) {
                return Err(format!("plan `{name}` of this gateway's settings is not in the document"));
            }
            order.push(name);
        }
        order.extend(policy.plans.keys().filter(|name| !names.plans.contains(name)));
        let limited: Vec<Plan> = order
            .iter()
            .enumerate()
            .map(|(at, name)| plan(&policy.plans[*name], settings.plans.get(at)))
            .collect();
        let unlimited =
            limited.iter().map(|plan| Plan { rate: 0.0, burst: 0.0, max_open: 0.0, ..plan.clone() });
        let plan_index = |name: &String| order.iter().position(|known| *known == name);
        let overrides = policy.overrides.iter();
        let overrides =
            overrides.filter_map(|(account, o)| Some((*account, (plan_index(&o.plan)?, o.until)))).collect();
        let (plans, exempt, blocked) = (limited.len(), policy.exempt.clone(), policy.blocked.clone());
        let all_plans = limited.iter().cloned().chain(unlimited).collect();
        Ok(Rules { terms: Terms { classes, plans: all_plans }, plans, exempt, blocked, overrides })
    }

    /// Classes and plans for request decisions.
    pub fn terms(&self) -> Terms {
        self.terms.clone()
    }

    /// Retry semantics of a class.
    pub fn effect(&self, class: ClassId) -> Option<Effect> {
        self.terms.classes.get(class.0).map(|class| class.effect)
    }

    /// Longest deadline of any class.
    pub fn max_deadline(&self) -> Micros {
        self.terms.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }

    /// Effective plan of an account at a time, µs; `None` if the account is blocked or its plan unknown.
    pub fn plan_of(&self, account: u64, default_plan: PlanId, now: Micros) -> Option<PlanId> {
        if self.blocked.contains(&account) {
            return None;
        }
        let other = self.overrides.get(&account).filter(|(_, until)| now / 1_000_000 < *until);
        let plan = other.map_or(default_plan.0, |(plan, _)| *plan);
        let unlimited = if self.exempt.contains(&account) { self.plans } else { 0 };
        (plan < self.plans).then_some(PlanId(plan + unlimited))
    }
}

fn class(policy: &Policy, settings: &Settings, name: &str, base: &Class) -> Result<Class, String> {
    let Some(wanted) = policy.classes.get(name) else {
        return Err(format!("class `{name}` of this gateway's settings is not in the document"));
    };
    let effect = match wanted.effect {
        change::Effect::Idempotent => Effect::Idempotent,
        change::Effect::AtMostOnce => Effect::AtMostOnce,
        change::Effect::Deduplicated if base.key_window > 0 => Effect::Deduplicated,
        change::Effect::Deduplicated => {
            return Err(format!(
                "class `{name}`: this gateway's settings say nothing of how long repeats are dropped"
            ))
        }
    };
    let attempts = wanted.attempts as usize;
    if attempts > settings.limits.max_attempts {
        let most = settings.limits.max_attempts;
        return Err(format!("class `{name}`: {attempts} attempts, this gateway's settings allow {most}"));
    }
    let micros = |span: std::time::Duration| span.as_micros() as Micros;
    let (aim, deadline) = (micros(wanted.aim), micros(wanted.give_up));
    Ok(Class { aim, deadline, effect, attempts, ..base.clone() })
}

fn plan(wanted: &change::Plan, base: Option<&Plan>) -> Plan {
    let (rate, burst) = wanted.quota.unwrap_or_default();
    let (ceiling_rate, ceiling_burst, ceiling_slack) = wanted.ceiling.unwrap_or_default();
    // A plan that the settings do not have is held to its quota.
    let base = base.cloned().unwrap_or(Plan { over_quota_cost: 1.0, ..Plan::default() });
    Plan { rate, burst, ceiling_rate, ceiling_burst, ceiling_slack, ..base }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hingestage_policy::{DedupGroup, Limits};

    const DOCUMENT: &str = "(policy (form 1) (version 7)
      (plan \"base\" (quota 2 8))
      (plan \"ente\" (quota 40 60) (ceiling 80 100 10))
      (plan \"extra\" (quota 90 90))
      (class \"pull\" (aim 0.6) (give-up 1.5) (effect idempotent) (attempts 3))
      (class \"push\" (aim 0.75) (give-up 2.5) (effect deduplicated))
      (exempt 3) (blocked 99) (override 17 \"extra\" (until \"2026-12-24T00:00:00Z\")))";
    const UNTIL: Micros = 1_798_070_400_000_000;

    fn base() -> (Settings, Names) {
        let keyed = Class { key_window: 9, group: DedupGroup::Zone, ..Class::default() };
        let settings = Settings {
            classes: vec![keyed, Class::default()],
            plans: vec![Plan { max_open: 5.0, over_quota_value: 0.2, ..Plan::default() }, Plan::default()],
            limits: Limits { max_attempts: 4, ..Limits::default() },
            ..Settings::default()
        };
        let names = |all: [&str; 2]| all.iter().map(ToString::to_string).collect();
        (settings, Names { classes: names(["push", "pull"]), plans: names(["ente", "base"]) })
    }

    fn rules(text: &str) -> Result<Rules, String> {
        let (settings, names) = base();
        Rules::new(&change::read(text).unwrap(), &settings, &names)
    }

    #[test]
    fn plans_and_classes_follow_the_order_of_the_settings() {
        let terms = rules(DOCUMENT).unwrap().terms();
        assert_eq!(terms.classes.iter().map(|class| class.attempts).collect::<Vec<_>>(), [1, 3]);
        assert_eq!(
            (terms.classes[0].effect, terms.classes[0].group),
            (Effect::Deduplicated, DedupGroup::Zone)
        );
        assert_eq!((terms.classes[1].aim, terms.classes[1].deadline), (600_000, 1_500_000));
        let rates: Vec<f64> = terms.plans.iter().map(|plan| plan.rate).collect();
        assert_eq!(rates, [40.0, 2.0, 90.0, 0.0, 0.0, 0.0]);
        let ente = &terms.plans[0];
        assert_eq!(
            (ente.ceiling_rate, ente.ceiling_slack, ente.max_open, ente.over_quota_value),
            (80.0, 10.0, 5.0, 0.2)
        );
        let exempt = &terms.plans[3];
        assert_eq!(
            (exempt.ceiling_rate, exempt.max_open),
            (80.0, 0.0),
            "its ceiling holds an exempt account, too"
        );
    }

    #[test]
    fn the_effective_plan_of_an_account_respects_lists_and_overrides() {
        let rules = rules(DOCUMENT).unwrap();
        let of = |account, now| rules.plan_of(account, PlanId(1), now).map(|plan| plan.0);
        assert_eq!((of(1, 0), of(3, 0), of(99, 0)), (Some(1), Some(4), None));
        assert_eq!((of(17, UNTIL - 1), of(17, UNTIL)), (Some(2), Some(1)), "until its end");
        assert_eq!(rules.plan_of(1, PlanId(3), 0), None, "no plan of the settings");
    }

    #[test]
    fn unsupported_documents_are_rejected() {
        for (from, to, wanted) in [
            (
                "(plan \"base\" (quota 2 8))",
                "",
                "plan `base` of this gateway's settings is not in the document",
            ),
            ("\"pull\"", "\"fetch\"", "class `fetch` is not one of this gateway's settings"),
            ("(attempts 3)", "(attempts 5)", "5 attempts, this gateway's settings allow 4"),
            ("(effect idempotent)", "(effect deduplicated)", "say nothing of how long repeats are dropped"),
        ] {
            let error = rules(&DOCUMENT.replace(from, to)).unwrap_err();
            assert!(error.contains(wanted), "{error}");
        }
    }
}

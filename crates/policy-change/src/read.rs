//! Parser for policy documents. Errors name the field with line and column.

use crate::document::{Class, Effect, Override, Plan, Policy, FORMAT_VERSION};
use hingestage_s_expression::{unique_fields, Form};
use std::collections::BTreeSet;
use std::time::{Duration, UNIX_EPOCH};

/// Maximum rate, units a second, and maximum capacity, units.
const MAX_UNITS: f64 = 1e9;
/// Maximum value of a unit.
const MAX_WORTH: f64 = 1e6;
/// Maximum time that a client waits, seconds.
const MAX_WAIT_SECONDS: f64 = 3_600.0;
/// Maximum attempts of a request.
const MAX_ATTEMPTS: f64 = 32.0;
/// Account numbers are below this.
const ACCOUNT_NUMBER_LIMIT: f64 = 8_589_934_592.0;
/// Version numbers are exact in an `f64` up to here.
const MAX_VERSION: f64 = 9_007_199_254_740_992.0;
/// Maximum number of plans, and of classes.
const NAMES_MAX: usize = 256;
/// Maximum number of listed accounts.
const MAX_LISTED_ACCOUNTS: usize = 10_000;
/// Maximum length of a name, bytes.
const NAME_MAX: usize = 64;

/// Parses and validates a document.
///
/// # Errors
/// One message that names the field and its place.
pub fn read(text: &str) -> Result<Policy, String> {
    let whole = hingestage_s_expression::read(text)?;
    let section = &whole.only_section("policy")?;
    let (mut policy, mut seen) = (Policy::default(), BTreeSet::new());
    for field in section.arguments()? {
        let head = field.head()?;
        if ["form", "version"].contains(&head.as_str()) && !seen.insert(head.clone()) {
            return Err(field.error(&head, "given twice"));
        }
        parse_field(&mut policy, &field, &head)?;
    }
    for wanted in ["form", "version"] {
        if !seen.contains(wanted) {
            return Err(section.error(wanted, "missing"));
        }
    }
    check(&policy, section)?;
    Ok(policy)
}

fn parse_field(policy: &mut Policy, field: &Form, head: &str) -> Result<(), String> {
    match head {
        "form" => match field.only_argument(head)?.integer(head, 0.0, MAX_VERSION)? {
            form if form == u64::from(FORMAT_VERSION) => {}
            other => {
                return Err(field.error(head, &format!("this build reads form {FORMAT_VERSION}, not {other}")))
            }
        },
        "version" => policy.version = field.only_argument(head)?.integer(head, 0.0, MAX_VERSION)?,
        "plan" => {
            let (name, rest) = split_name(field, head)?;
            if policy.plans.insert(name.clone(), plan(field, &rest)?).is_some() {
                return Err(field.error(head, &format!("`{name}` is given twice")));
            }
        }
        "class" => {
            let (name, rest) = split_name(field, head)?;
            if policy.classes.insert(name.clone(), class(field, &rest)?).is_some() {
                return Err(field.error(head, &format!("`{name}` is given twice")));
            }
        }
        "exempt" => accounts(&mut policy.exempt, field, head)?,
        "blocked" => accounts(&mut policy.blocked, field, head)?,
        "override" => {
            let (account, other) = parse_override(field)?;
            if policy.overrides.insert(account, other).is_some() {
                return Err(field.error(head, &format!("account {account} is given twice")));
            }
        }
        _ => return Err(field.error(head, "no such field")),
    }
    Ok(())
}

/// Checks across fields.
fn check(policy: &Policy, section: &Form) -> Result<(), String> {
    let fault = |field: &str, what: String| Err(section.error(field, &what));
    for (field, count) in [("plan", policy.plans.len()), ("class", policy.classes.len())] {
        match count {
            0 => return fault(field, "missing".into()),
            n if n > NAMES_MAX => return fault(field, format!("{n} are too many, {NAMES_MAX} at most")),
            _ => {}
        }
    }
    let accounts = policy.exempt.len() + policy.blocked.len() + policy.overrides.len();
    if accounts > MAX_LISTED_ACCOUNTS {
        return fault("exempt", format!("{accounts} accounts are too many, {MAX_LISTED_ACCOUNTS} at most"));
    }
    if let Some(both) = policy.exempt.intersection(&policy.blocked).next() {
        return fault("blocked", format!("account {both} is exempt as well"));
    }
    if let Some((account, other)) = policy.overrides.iter().find(|(_, o)| !policy.plans.contains_key(&o.plan))
    {
        return fault("override", format!("account {account}: no plan `{}`", other.plan));
    }
    Ok(())
}

fn split_name<'a>(field: &Form<'a>, head: &str) -> Result<(String, Vec<Form<'a>>), String> {
    let mut rest = field.arguments()?;
    if rest.is_empty() {
        return Err(field.error(head, "a name is missing"));
    }
    let name = rest.remove(0).text(head)?.to_owned();
    match name.len() {
        1..=NAME_MAX => Ok((name, rest)),
        n => Err(field.error(head, &format!("a name of {n} bytes; 1 to {NAME_MAX} are wanted"))),
    }
}

/// Rounds to thousandths, so that the canonical text parses to the same value.
fn parse_thousandths(form: &Form, name: &str, max: f64) -> Result<f64, String> {
    Ok((form.number(name, 0.0, max)? * 1e3).round() / 1e3)
}

fn parse_numbers<const N: usize>(field: &Form, name: &str) -> Result<[f64; N], String> {
    let numbers: Vec<f64> = field
        .arguments()?
        .iter()
        .map(|form| parse_thousandths(form, name, MAX_UNITS))
        .collect::<Result<_, _>>()?;
    let count = numbers.len();
    numbers.try_into().map_err(|_| field.error(name, &format!("{N} values are wanted, {count} are given")))
}

fn plan(section: &Form, fields: &[Form]) -> Result<Plan, String> {
    let mut plan = Plan { quota: None, ceiling: None, worth: 1.0 };
    for field in unique_fields(fields, "plan", &[]) {
        let (head, name, field) = field?;
        match head.as_str() {
            "quota" => plan.quota = Some(parse_numbers::<2>(&field, &name)?.into()),
            "ceiling" => plan.ceiling = Some(parse_numbers::<3>(&field, &name)?.into()),
            "worth" => plan.worth = parse_thousandths(&field.only_argument(&name)?, &name, MAX_WORTH)?,
            _ => return Err(field.error(&name, "no such field")),
        }
    }
    let (Some((rate, burst)), Some((ceiling_rate, depth, _))) = (plan.quota, plan.ceiling) else {
        return Ok(plan);
    };
    match ceiling_rate < rate || depth < burst {
        true => {
            Err(section.error("plan.ceiling", "is below the quota: no account could have what it may use"))
        }
        false => Ok(plan),
    }
}

fn class(section: &Form, fields: &[Form]) -> Result<Class, String> {
    let (mut aim, mut give_up, mut effect, mut attempts) = (None, None, None, 1);
    for field in fields {
        let head = field.head()?;
        let name = format!("class.{head}");
        let one = field.only_argument(&name)?;
        match head.as_str() {
            "aim" => aim = Some(parse_seconds(&one, &name)?),
            "give-up" => give_up = Some(parse_seconds(&one, &name)?),
            "attempts" => attempts = one.number(&name, 1.0, MAX_ATTEMPTS)? as u32,
            "effect" => {
                let word = one.text(&name)?;
                let known = Effect::NAMES.iter().find(|(name, _)| *name == word).map(|(_, effect)| *effect);
                effect = Some(known.ok_or_else(|| one.error(&name, &format!("no effect `{word}`")))?);
            }
            _ => return Err(field.error(&name, "no such field")),
        }
    }
    let missing = |field: &str| section.error(&format!("class.{field}"), "missing");
    let class = Class {
        aim: aim.ok_or_else(|| missing("aim"))?,
        give_up: give_up.ok_or_else(|| missing("give-up"))?,
        effect: effect.ok_or_else(|| missing("effect"))?,
        attempts,
    };
    match class.aim > class.give_up {
        true => Err(section.error("class.aim", "is longer than a client waits")),
        false => Ok(class),
    }
}

/// Rounds to microseconds, so that the canonical text parses to the same value.
fn parse_seconds(form: &Form, field: &str) -> Result<Duration, String> {
    Ok(Duration::from_micros((form.number(field, 0.001, MAX_WAIT_SECONDS)? * 1e6).round() as u64))
}

fn accounts(set: &mut BTreeSet<u64>, field: &Form, head: &str) -> Result<(), String> {
    for form in field.arguments()? {
        let account = form.integer(head, 0.0, ACCOUNT_NUMBER_LIMIT - 1.0)?;
        if !set.insert(account) {
            return Err(form.error(head, &format!("account {account} is given twice")));
        }
    }
    Ok(())
}

fn parse_override(field: &Form) -> Result<(u64, Override), String> {
    let rest = field.arguments()?;
    let [account, plan, until] = rest.as_slice() else {
        return Err(field.error("override", "an account, a plan and `(until \"DATE\")` are wanted"));
    };
    let account = account.integer("override", 0.0, ACCOUNT_NUMBER_LIMIT - 1.0)?;
    let plan = plan.text("override")?.to_owned();
    if until.head()? != "until" {
        return Err(until.error("override", "`(until \"DATE\")` is wanted here"));
    }
    let date = until.only_argument("override.until")?;
    let text = date.text("override.until")?;
    let at = humantime::parse_rfc3339(text).ok().and_then(|at| at.duration_since(UNIX_EPOCH).ok());
    let at = at.ok_or_else(|| {
        date.error("override.until", &format!("`{text}` is no date as 2026-12-24T00:00:00Z"))
    })?;
    Ok((account, Override { plan, until: at.as_secs() }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    pub const VALID_DOCUMENT: &str = "(policy (form 1) (version 7)
      (plan \"ente\" (quota 40 60) (ceiling 80 100 10) (worth 1.4))
      (plan \"base\" (quota 2 8))
      (class \"pull\" (aim 0.6) (give-up 1.5) (effect idempotent) (attempts 6))
      (class \"push\" (aim 0.75) (give-up 2.5) (effect at-most-once))
      (exempt 3 1) (blocked 99)
      (override 17 \"ente\" (until \"2026-12-24T00:00:00Z\")))";

    #[test]
    fn every_field_is_read() {
        let policy = read(VALID_DOCUMENT).unwrap();
        assert_eq!((policy.version, policy.plans.len(), policy.classes.len()), (7, 2, 2));
        assert_eq!(policy.plans["ente"].ceiling, Some((80.0, 100.0, 10.0)));
        assert_eq!(policy.classes["push"].attempts, 1);
        assert_eq!(policy.overrides[&17].until, 1_798_070_400);
    }

    #[test]
    fn the_canonical_text_parses_to_an_equal_document_and_digest() {
        let policy = read(VALID_DOCUMENT).unwrap();
        let again = read(&policy.text()).unwrap();
        assert_eq!((&again, again.text(), again.digest()), (&policy, policy.text(), policy.digest()));
        let other =
            VALID_DOCUMENT.replace("(exempt 3 1) (blocked 99)", "(blocked 99)\n(exempt 1) (exempt 3)");
        assert_eq!(read(&other).unwrap().digest(), policy.digest(), "order and lines say nothing");
        assert_ne!(
            read(&VALID_DOCUMENT.replace("(quota 2 8)", "(quota 2 9)")).unwrap().digest(),
            policy.digest()
        );
    }

    #[test]
    fn errors_name_the_field_and_position() {
        let with = |from: &str, to: &str| VALID_DOCUMENT.replace(from, to);
        for (text, wanted) in [
            (with("(form 1)", "(form 2)"), "field `form`: this build reads form 1, not 2"),
            (with("(form 1) ", ""), "field `form`: missing"),
            (with("(version 7)", "(version 7) (version 8)"), "field `version`: given twice"),
            (with("(version 7)", "(version 7.5)"), "field `version`: 7.5 is no whole number"),
            (with("(version 7)", "(version 7) (colour 1)"), "1:30: field `colour`: no such field"),
            (with("\"base\"", "\"ente\""), "field `plan`: `ente` is given twice"),
            (with("\"base\"", "\"\""), "field `plan`: a name of 0 bytes"),
            (with("(quota 2 8)", "(quota 2)"), "field `plan.quota`: 2 values are wanted, 1 are given"),
            (with("(quota 2 8)", "(quota 2 8) (quota 2 8)"), "field `plan.quota`: given twice"),
            (with("(quota 2 8)", "(quota -2 8)"), "field `plan.quota`: -2 is not between"),
            (with("(quota 2 8)", "(size 1)"), "field `plan.size`: no such field"),
            (with("(ceiling 80", "(ceiling 30"), "field `plan.ceiling`: is below the quota"),
            (with("(aim 0.6)", "(aim 1.6)"), "field `class.aim`: is longer than a client waits"),
            (with("(aim 0.6) ", ""), "field `class.aim`: missing"),
            (with("idempotent", "often"), "field `class.effect`: no effect `often`"),
            (with("(attempts 6)", "(attempts 0)"), "field `class.attempts`: 0 is not between 1 and 32"),
            (with("(exempt 3 1)", "(exempt 3 3)"), "account 3 is given twice"),
            (with("(exempt 3 1)", "(exempt 99)"), "field `blocked`: account 99 is exempt as well"),
            (with("17 \"ente\"", "17 \"gold\""), "field `override`: account 17: no plan `gold`"),
            (with("2026-12-24T00:00:00Z", "soon"), "field `override.until`: `soon` is no date"),
            ("(policy (form 1) (version 1))".into(), "field `plan`: missing"),
            ("(plans)".into(), "the file begins with `policy`"),
            (String::new(), "one is wanted, 0 are given"),
        ] {
            let error = read(&text).unwrap_err();
            assert!(error.contains(wanted), "{text}\n  {error}\n  wanted: {wanted}");
        }
    }

    proptest! {
        #[test]
        fn canonical_text_round_trips(
            rate in 0u64..1_000_000_000_000, burst in 0u64..1_000_000_000_000, aim in 1u64..2_000, account in 0u64..1 << 33,
            until in 0u64..4_000_000_000, name in "[a-z\"\\\\ é]{1,20}",
        ) {
            let mut policy = read(VALID_DOCUMENT).unwrap();
            let (rate, burst) = (rate as f64 / 1e3, burst as f64 / 1e3);
            policy.plans.insert(name.clone(), Plan { quota: Some((rate, burst)), ceiling: None, worth: 0.1 });
            policy.classes.get_mut("push").unwrap().aim = Duration::from_millis(aim);
            policy.overrides.insert(account, Override { plan: name, until });
            prop_assert_eq!(read(&policy.text()), Ok(policy));
        }

        #[test]
        fn no_text_causes_a_panic(text in "[()a-z0-9\" .\\\\-]{0,200}") {
            let _ = read(&format!("(policy (form 1) {text}"));
        }
    }
}

//! Reads and validates site files. An error is one message with field, line and column.

use crate::model::{Load, Site, Sites};
use hingestage_s_expression::{unique_fields, Form};
use std::collections::BTreeSet;

/// Maximum number of sites.
const SITES_MAX: usize = 50;
/// Maximum number of loads.
const LOADS_MAX: usize = 5_000;
/// Largest rate in requests per second, and largest worth of a request.
const MAX_RATE_OR_WORTH: f64 = 1e6;
/// Highest gateway number.
const MAX_GATEWAY: f64 = 1e6;
/// Maximum number of workers per site.
const MAX_WORKERS: f64 = 100_000.0;

/// Reads and checks a file: `(sites (site ...) (load ...) (stays ...))`.
///
/// # Errors
/// One message that names the field and its place.
pub fn parse(text: &str) -> Result<Sites, String> {
    parse_section(&hingestage_s_expression::read(text)?.only_section("sites")?)
}

/// Reads and checks the list `(sites ...)` where a file holds others beside it.
///
/// # Errors
/// As [`parse`].
pub fn parse_section(section: &Form) -> Result<Sites, String> {
    let mut sites = Sites::default();
    for field in section.arguments()? {
        match field.head()?.as_str() {
            "site" => sites.sites.push(parse_site(&field, &sites)?),
            "load" => sites.loads.push(parse_load(&field)?),
            "stays" => sites.pinned_classes.extend(parse_texts(&field.arguments()?, "stays")?),
            other => return Err(field.error(other, "no such field")),
        }
    }
    validate(&sites, section)?;
    Ok(sites)
}

/// Checks that span several fields.
fn validate(sites: &Sites, section: &Form) -> Result<(), String> {
    let fault = |field: &str, what: String| Err(section.error(field, &what));
    match (sites.sites.len(), sites.loads.len()) {
        (0, _) => return fault("site", "missing".into()),
        (n, _) if n > SITES_MAX => return fault("site", format!("{n} are too many, {SITES_MAX} at most")),
        (_, n) if n > LOADS_MAX => return fault("load", format!("{n} are too many, {LOADS_MAX} at most")),
        _ => {}
    }
    let (mut zones, mut gateways) = (BTreeSet::new(), BTreeSet::new());
    if sites.sites.iter().filter(|site| site.counter).count() > 1 {
        return fault("site.counter", "the counter is at one site".into());
    }
    for site in &sites.sites {
        if let Some(unknown) =
            site.fallbacks.iter().find(|name| sites.site(name).is_none() || **name == site.name)
        {
            return fault("site.to", format!("site `{}`: `{unknown}` is no other site", site.name));
        }
        if let Some(duplicate) = site.gateways.iter().find(|gateway| !gateways.insert(**gateway)) {
            return fault("site.gateways", format!("gateway {duplicate} belongs to two sites"));
        }
        if let Some(duplicate) = site.zones.iter().find(|zone| !zones.insert(zone.as_str())) {
            return fault("site.zones", format!("zone `{duplicate}` belongs to two sites"));
        }
    }
    for load in &sites.loads {
        if sites.site(&load.site).is_none() {
            return fault("load", format!("no site `{}`", load.site));
        }
        if !sites.sites.iter().any(|site| site.capacity.contains_key(&load.class)) {
            return fault("load", format!("no site serves the class `{}`", load.class));
        }
    }
    let same = |a: &Load, b: &Load| (&a.site, &a.plan, &a.class) == (&b.site, &b.plan, &b.class);
    let duplicate =
        sites.loads.iter().enumerate().find(|(n, a)| sites.loads[..*n].iter().any(|b| same(a, b)));
    match duplicate {
        Some((_, load)) => {
            fault("load", format!("{} {} at `{}` is given twice", load.plan, load.class, load.site))
        }
        None => Ok(()),
    }
}

fn parse_texts(forms: &[Form], name: &str) -> Result<Vec<String>, String> {
    forms.iter().map(|form| form.text(name).map(str::to_owned)).collect()
}

fn parse_site(section: &Form, known: &Sites) -> Result<Site, String> {
    let rest = section.arguments()?;
    let Some((name, fields)) = rest.split_first() else {
        return Err(section.error("site", "a name is missing"));
    };
    let name = name.text("site")?.to_owned();
    if known.site(&name).is_some() {
        return Err(section.error("site", &format!("`{name}` is given twice")));
    }
    let mut site = Site { zones: vec![name.clone()], name, workers: 1, ..Site::default() };
    for field in unique_fields(fields, "site", &[]) {
        let (head, place, field) = field?;
        match head.as_str() {
            "zones" => site.zones = parse_texts(&field.arguments()?, &place)?,
            "to" => site.fallbacks = parse_texts(&field.arguments()?, &place)?,
            "gateways" => {
                for number in field.arguments()? {
                    site.gateways.insert(number.integer(&place, 0.0, MAX_GATEWAY)? as u32);
                }
            }
            "counter" => site.counter = field.only_argument(&place)?.flag(&place)?,
            "workers" => {
                site.workers = field.only_argument(&place)?.integer(&place, 1.0, MAX_WORKERS)? as usize
            }
            "reserve" => site.reserve = field.only_argument(&place)?.number(&place, 0.0, 0.9)?,
            "capacity" => {
                for pair in field.arguments()? {
                    let parts = pair.items()?;
                    let [class, rate] = parts.as_slice() else {
                        return Err(pair.error(&place, "a class and requests a second are wanted"));
                    };
                    let (class, rate) =
                        (class.text(&place)?.to_owned(), rate.number(&place, 0.001, MAX_RATE_OR_WORTH)?);
                    if site.capacity.insert(class.clone(), rate).is_some() {
                        return Err(pair.error(&place, &format!("class `{class}` is given twice")));
                    }
                }
            }
            _ => return Err(field.error(&place, "no such field")),
        }
    }
    match site.capacity.is_empty() {
        true => Err(section.error("site.capacity", "missing")),
        false => Ok(site),
    }
}

fn parse_load(field: &Form) -> Result<Load, String> {
    let rest = field.arguments()?;
    let [site, plan, class, rate, worth] = rest.as_slice() else {
        return Err(
            field.error("load", "a site, a plan, a class, requests a second and their worth are wanted")
        );
    };
    let text = |form: &Form| form.text("load").map(str::to_owned);
    let (rate, worth) =
        (rate.number("load", 0.0, MAX_RATE_OR_WORTH)?, worth.number("load", 0.0, MAX_RATE_OR_WORTH)?);
    Ok(Load { site: text(site)?, plan: text(plan)?, class: text(class)?, rate, worth })
}

#[cfg(test)]
mod tests {
    use super::*;

    const USUAL: &str = "(sites
      (site \"a\" (zones \"a1\" \"a2\") (workers 4) (gateways 0 1) (counter yes) (capacity (\"pull\" 400) (\"push\" 100)) (reserve 0.1) (to \"b\"))
      (site \"b\" (capacity (\"pull\" 200)) (to \"a\"))
      (load \"a\" \"ente\" \"pull\" 120 1.4)
      (stays \"push\"))";

    #[test]
    fn all_fields_are_parsed() {
        let sites = parse(USUAL).unwrap();
        let a = sites.site("a").unwrap();
        assert_eq!(
            (a.workers, a.reserve, a.fallbacks.as_slice(), a.zones.len()),
            (4, 0.1, ["b".to_owned()].as_slice(), 2)
        );
        assert_eq!(
            (a.capacity["push"], sites.site("b").unwrap().zones.as_slice()),
            (100.0, ["b".to_owned()].as_slice())
        );
        assert!(a.counter && a.gateways == [0, 1].into());
        assert_eq!((sites.home(1, "b"), sites.home(7, "b"), sites.home(7, "z")), (Some(0), Some(1), None));
        assert_eq!((sites.loads[0].rate, sites.loads[0].worth, sites.pinned_classes.len()), (120.0, 1.4, 1));
    }

    #[test]
    fn shipped_example_is_valid() {
        assert_eq!(parse(include_str!("../../../deploy/sites.example.lisp")).unwrap().sites.len(), 3);
    }

    #[test]
    fn errors_name_field_and_position() {
        for (from, to, wanted) in [
            ("(stays \"push\")", "(colour 1)", "5:7: field `colour`: no such field"),
            ("(site \"b\"", "(site \"a\"", "3:7: field `site`: `a` is given twice"),
            ("(reserve 0.1)", "(reserve 1)", "field `site.reserve`: 1 is not between 0 and 0.9"),
            ("(gateways 0 1)", "(gateways -1)", "field `site.gateways`: -1 is not between 0"),
            ("(site \"b\"", "(site \"b\" (gateways 1)", "gateway 1 belongs to two sites"),
            ("(site \"b\"", "(site \"b\" (counter yes)", "field `site.counter`: the counter is at one site"),
            ("(reserve 0.1)", "(size 1)", "field `site.size`: no such field"),
            ("(capacity (\"pull\" 200))", "", "field `site.capacity`: missing"),
            ("(\"pull\" 200)", "(\"pull\" 200) (\"pull\" 1)", "class `pull` is given twice"),
            ("(\"pull\" 200)", "(\"pull\")", "a class and requests a second are wanted"),
            ("(to \"b\")", "(to \"c\")", "field `site.to`: site `a`: `c` is no other site"),
            ("(to \"b\")", "(to \"a\")", "field `site.to`: site `a`: `a` is no other site"),
            ("\"a2\"", "\"b\"", "zone `b` belongs to two sites"),
            ("(load \"a\"", "(load \"z\"", "field `load`: no site `z`"),
            ("\"ente\" \"pull\"", "\"ente\" \"fetch\"", "no site serves the class `fetch`"),
            ("120 1.4", "120", "a site, a plan, a class, requests a second and their worth"),
            ("(stays \"push\")", "(load \"a\" \"ente\" \"pull\" 1 1)", "ente pull at `a` is given twice"),
        ] {
            let error = parse(&USUAL.replace(from, to)).unwrap_err();
            assert!(error.contains(wanted), "{error}, wanted: {wanted}");
        }
        assert!(parse("(sites)").unwrap_err().contains("field `site`: missing"));
        assert!(parse("(zones)").unwrap_err().contains("begins with `sites`"));
    }
}

//! Files of sites, checked like any configuration: what is wrong is one message with field, line and column.

use crate::model::{Load, Site, Sites};
use hingestage_form::{unique_fields, Form};
use std::collections::BTreeSet;

/// Most sites.
const SITES_MAX: usize = 50;
/// Most loads.
const LOADS_MAX: usize = 5_000;
/// Most requests a second, and the most that one is worth.
const MOST: f64 = 1e6;
/// The highest number of a gateway.
const GATEWAYS_MAX: f64 = 1e6;
/// Most workers of a site.
const WORKERS_MAX: f64 = 100_000.0;

/// Reads and checks a file: `(sites (site ...) (load ...) (stays ...))`.
///
/// # Errors
/// One message that names the field and its place.
pub fn read(text: &str) -> Result<Sites, String> {
    read_section(&hingestage_form::read(text)?.only_section("sites")?)
}

/// Reads and checks the list `(sites ...)` where a file holds others beside it.
///
/// # Errors
/// As [`read`].
pub fn read_section(section: &Form) -> Result<Sites, String> {
    let mut sites = Sites::default();
    for field in section.arguments()? {
        match field.head()?.as_str() {
            "site" => sites.sites.push(site(&field, &sites)?),
            "load" => sites.loads.push(load(&field)?),
            "stays" => sites.stays.extend(texts(&field.arguments()?, "stays")?),
            other => return Err(field.error(other, "no such field")),
        }
    }
    check(&sites, section)?;
    Ok(sites)
}

/// What no field shows alone.
fn check(sites: &Sites, section: &Form) -> Result<(), String> {
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
        if let Some(strange) = site.to.iter().find(|name| sites.site(name).is_none() || **name == site.name) {
            return fault("site.to", format!("site `{}`: `{strange}` is no other site", site.name));
        }
        if let Some(twice) = site.gateways.iter().find(|gateway| !gateways.insert(**gateway)) {
            return fault("site.gateways", format!("gateway {twice} belongs to two sites"));
        }
        if let Some(twice) = site.zones.iter().find(|zone| !zones.insert(zone.as_str())) {
            return fault("site.zones", format!("zone `{twice}` belongs to two sites"));
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
    let twice = sites.loads.iter().enumerate().find(|(n, a)| sites.loads[..*n].iter().any(|b| same(a, b)));
    match twice {
        Some((_, load)) => {
            fault("load", format!("{} {} at `{}` is given twice", load.plan, load.class, load.site))
        }
        None => Ok(()),
    }
}

fn texts(forms: &[Form], name: &str) -> Result<Vec<String>, String> {
    forms.iter().map(|form| form.text(name).map(str::to_owned)).collect()
}

fn site(section: &Form, known: &Sites) -> Result<Site, String> {
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
            "zones" => site.zones = texts(&field.arguments()?, &place)?,
            "to" => site.to = texts(&field.arguments()?, &place)?,
            "gateways" => {
                for number in field.arguments()? {
                    site.gateways.insert(number.integer(&place, 0.0, GATEWAYS_MAX)? as u32);
                }
            }
            "counter" => site.counter = field.only_argument(&place)?.flag(&place)?,
            "workers" => {
                site.workers = field.only_argument(&place)?.integer(&place, 1.0, WORKERS_MAX)? as usize
            }
            "reserve" => site.reserve = field.only_argument(&place)?.number(&place, 0.0, 0.9)?,
            "capacity" => {
                for pair in field.arguments()? {
                    let parts = pair.items()?;
                    let [class, rate] = parts.as_slice() else {
                        return Err(pair.error(&place, "a class and requests a second are wanted"));
                    };
                    let (class, rate) = (class.text(&place)?.to_owned(), rate.number(&place, 0.001, MOST)?);
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

fn load(field: &Form) -> Result<Load, String> {
    let rest = field.arguments()?;
    let [site, plan, class, rate, worth] = rest.as_slice() else {
        return Err(
            field.error("load", "a site, a plan, a class, requests a second and their worth are wanted")
        );
    };
    let text = |form: &Form| form.text("load").map(str::to_owned);
    let (rate, worth) = (rate.number("load", 0.0, MOST)?, worth.number("load", 0.0, MOST)?);
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
    fn every_field_is_read() {
        let sites = read(USUAL).unwrap();
        let a = sites.site("a").unwrap();
        assert_eq!(
            (a.workers, a.reserve, a.to.as_slice(), a.zones.len()),
            (4, 0.1, ["b".to_owned()].as_slice(), 2)
        );
        assert_eq!(
            (a.capacity["push"], sites.site("b").unwrap().zones.as_slice()),
            (100.0, ["b".to_owned()].as_slice())
        );
        assert!(a.counter && a.gateways == [0, 1].into());
        assert_eq!((sites.home(1, "b"), sites.home(7, "b"), sites.home(7, "z")), (Some(0), Some(1), None));
        assert_eq!((sites.loads[0].rate, sites.loads[0].worth, sites.stays.len()), (120.0, 1.4, 1));
    }

    #[test]
    fn the_shipped_example_is_good() {
        assert_eq!(read(include_str!("../../../deploy/sites.example.lisp")).unwrap().sites.len(), 3);
    }

    #[test]
    fn every_fault_is_named_with_its_field_and_place() {
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
            let error = read(&USUAL.replace(from, to)).unwrap_err();
            assert!(error.contains(wanted), "{error}, wanted: {wanted}");
        }
        assert!(read("(sites)").unwrap_err().contains("field `site`: missing"));
        assert!(read("(zones)").unwrap_err().contains("begins with `sites`"));
    }
}

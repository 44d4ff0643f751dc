//! Section `srv` of the operator file: worker discovery through DNS.

use hingestage_s_expression::{unique_fields, Form};
use hingestage_srv::{Addresses, Micros, SrvSettings, SECOND};
use std::net::SocketAddr;

/// Maximum configurable duration in seconds: one week.
const DURATION_SECONDS_MAX: f64 = 604_800.0;
/// Maximum number of DNS servers.
const SERVERS_MAX: usize = 8;

/// Settings of worker discovery through SRV records.
#[derive(Clone, Debug, PartialEq)]
pub struct Srv {
    /// The SRV name and how it is followed.
    pub settings: SrvSettings,
    /// Whether workers from the discovery list are used as well.
    pub use_discovery_list: bool,
    /// Whether workers in the first response start cold.
    pub cold_at_start: bool,
}

/// Reads the section.
pub fn read(section: &Form) -> Result<Srv, String> {
    let fields = section.arguments()?;
    unique_fields(&fields, "srv", &[]).try_for_each(|field| field.map(drop))?;
    let named = |name: &str| fields.iter().find(|field| field.head().is_ok_and(|head| head == name));
    let missing = |name: &str| section.error(&format!("srv.{name}"), "missing");
    let name = named("name").ok_or_else(|| missing("name"))?;
    let servers = named("servers").ok_or_else(|| missing("servers"))?;
    let text = name.only_argument("srv.name")?;
    let settings = SrvSettings::new(text.text("srv.name")?, self::servers(servers)?);
    let settings = settings.map_err(|e| text.error("srv.name", &e))?;
    let mut srv = Srv { settings, use_discovery_list: false, cold_at_start: true };
    for field in &fields {
        read_field(&mut srv, field)?;
    }
    Ok(srv)
}

fn read_field(srv: &mut Srv, field: &Form) -> Result<(), String> {
    let head = field.head()?;
    let name = format!("srv.{head}");
    let settings = &mut srv.settings;
    match head.as_str() {
        "name" | "servers" => {}
        "networks" => {
            let one = |form: &Form| form.text(&name)?.parse().map_err(|e: String| form.error(&name, &e));
            settings.networks = field.arguments()?.iter().map(one).collect::<Result<_, String>>()?;
            if settings.networks.is_empty() {
                return Err(field.error(&name, "names none"));
            }
        }
        "addresses" => {
            let one = field.only_argument(&name)?;
            settings.addresses = match one.text(&name)? {
                "ipv4" => Addresses::V4,
                "ipv6" => Addresses::V6,
                "both" => Addresses::Both,
                other => return Err(one.error(&name, &format!("`{other}` is none of ipv4, ipv6 and both"))),
            }
        }
        "lifetimes" => settings.lifetimes = duration_range(field, &name)?,
        "retry" => settings.retry = duration_range(field, &name)?,
        "timeout" => settings.timeout = duration(&field.only_argument(&name)?, &name, 0.05, 30.0)?,
        "stale-for" => {
            settings.stale_for = duration(&field.only_argument(&name)?, &name, 0.0, DURATION_SECONDS_MAX)?
        }
        "shrink-to" => settings.shrink_to = field.only_argument(&name)?.number(&name, 0.0, 1.0)?,
        "shrink-for" => {
            settings.shrink_for = duration(&field.only_argument(&name)?, &name, 0.0, DURATION_SECONDS_MAX)?
        }
        "grace" => settings.grace = duration(&field.only_argument(&name)?, &name, 0.0, 3_600.0)?,
        "questions-per-second" => {
            settings.questions = field.only_argument(&name)?.number(&name, 0.1, 10_000.0)?
        }
        "beside-list" => srv.use_discovery_list = field.only_argument(&name)?.flag(&name)?,
        "at-start" => {
            let one = field.only_argument(&name)?;
            srv.cold_at_start = match one.text(&name)? {
                "cold" => true,
                "warm" => false,
                other => return Err(one.error(&name, &format!("`{other}` is neither cold nor warm"))),
            }
        }
        _ => return Err(field.error(&name, "no such field")),
    }
    Ok(())
}

fn servers(field: &Form) -> Result<Vec<SocketAddr>, String> {
    let one = |form: &Form| -> Result<SocketAddr, String> {
        let text = form.text("srv.servers")?;
        let at: Result<SocketAddr, _> = text.parse();
        let at = at.ok().filter(|at| at.port() > 0 && !at.ip().is_unspecified());
        at.ok_or_else(|| form.error("srv.servers", &format!("`{text}` is no address with a port")))
    };
    let servers = field.arguments()?.iter().map(one).collect::<Result<Vec<_>, _>>()?;
    match servers.len() {
        0 => Err(field.error("srv.servers", "names none")),
        n if n > SERVERS_MAX => {
            Err(field.error("srv.servers", &format!("{n} are too many, {SERVERS_MAX} at most")))
        }
        _ => Ok(servers),
    }
}

/// Reads a duration in seconds and converts it to microseconds.
fn duration(form: &Form, field: &str, min: f64, max: f64) -> Result<Micros, String> {
    Ok((form.number(field, min, max)? * SECOND as f64) as Micros)
}

/// Reads the minimum and maximum of a duration.
fn duration_range(field: &Form, name: &str) -> Result<(Micros, Micros), String> {
    match field.arguments()?.as_slice() {
        [min, max] => {
            let range = (
                duration(min, name, 0.1, DURATION_SECONDS_MAX)?,
                duration(max, name, 0.1, DURATION_SECONDS_MAX)?,
            );
            match range.0 <= range.1 {
                true => Ok(range),
                false => Err(field.error(name, "the least is more than the longest")),
            }
        }
        other => Err(field.error(name, &format!("two values are wanted, {} are given", other.len()))),
    }
}

#[cfg(test)]
mod tests {
    use crate::Operator;

    /// The shortest valid section.
    const MINIMAL: &str = "(srv (name \"_r._tcp.example.org\") (servers \"127.0.0.1:53\"))";

    #[test]
    fn shipped_example_is_valid_and_shows_every_field() {
        let text = include_str!("../../../deploy/operator.example.lisp");
        let srv = Operator::parse(text).unwrap().srv.unwrap();
        assert_eq!(srv.settings.servers.len(), 2);
        for field in [
            "name",
            "servers",
            "networks",
            "addresses",
            "beside-list",
            "at-start",
            "lifetimes",
            "timeout",
            "retry",
            "stale-for",
            "shrink-to",
            "shrink-for",
            "grace",
            "questions-per-second",
        ] {
            assert!(text.contains(&format!("({field} ")), "{field}");
        }
    }

    #[test]
    fn empty_file_gives_defaults() {
        assert_eq!(Operator::parse("; nothing\n").unwrap(), Operator::default());
    }

    #[test]
    fn errors_name_the_field_and_position() {
        let with = |field: &str| MINIMAL.replace("(servers", &format!("{field}\n  (servers"));
        for (text, wanted) in [
            (with("(colour red)"), "1:35: field `srv.colour`: no such field"),
            (with("(name \"x\")"), "1:35: field `srv.name`: given twice"),
            (with("(grace 1 2)"), "field `srv.grace`: one value is wanted, 2 are given"),
            (with("(grace soon)"), "1:42: field `srv.grace`: `soon` is no number"),
            (with("(grace -1)"), "field `srv.grace`: -1 is not between 0 and 3600"),
            (with("(lifetimes 60 5)"), "field `srv.lifetimes`: the least is more than the longest"),
            (with("(networks \"10.0.0.0/40\")"), "field `srv.networks`: `10.0.0.0/40` is no network"),
            (with("(networks)"), "field `srv.networks`: names none"),
            (with("(addresses ipv5)"), "field `srv.addresses`: `ipv5` is none of"),
            (with("(at-start lukewarm)"), "field `srv.at-start`: `lukewarm` is neither"),
            (with("(beside-list maybe)"), "field `srv.beside-list`: `maybe` is neither"),
            (
                MINIMAL.replace("127.0.0.1:53", "dns.example.org"),
                "field `srv.servers`: `dns.example.org` is no address",
            ),
            (MINIMAL.replace("\"127.0.0.1:53\"", ""), "field `srv.servers`: names none"),
            (MINIMAL.replace("_r._tcp.", ""), "1:12: field `srv.name`: `example.org` does not begin"),
            ("\n (srv)".into(), "2:2: field `srv.name`: missing"),
            (format!("{MINIMAL}{MINIMAL}"), "field `srv`: given twice"),
            ("(planner)".into(), "field `planner`: no such section"),
            ("srv".into(), "1:1: field `srv`: a list is wanted here"),
            ("(\"srv\")".into(), "a list that begins with a name"),
            ("(srv".into(), ":"),
            ("(srv))".into(), ":"),
            ("(".repeat(100_000), "nested more than 32 deep"),
        ] {
            let error = Operator::parse(&text).unwrap_err();
            assert!(error.contains(wanted), "{}: {error}", text.chars().take(80).collect::<String>());
        }
    }
}

//! Files of rehearsals, checked like any configuration: what is wrong is one message with field, line and column.

use crate::places::{self, Loss, Place};
use crate::script::{
    Drawn, Fault, Fleet, Group, Harm, Hold, Keepers, Known, Script, Target, Timed, Ways, Which, WORKER_MOODS,
};
use hingestage_s_expression::Form;
use hingestage_test_servers::site::{self, Plan};
use hingestage_test_servers::{counter, worker};
use std::time::Duration;

/// The longest rehearsal, seconds.
const LONGEST: f64 = 3_600.0;
/// Most gateways: each is a process.
const GATEWAYS_MAX: f64 = 1_000.0;
/// Most workers.
const WORKERS_MAX: f64 = 1_000.0;
/// Most accounts of a group.
const ACCOUNTS_MAX: f64 = 10_000.0;
/// Most requests a second of a group.
const RATE_MAX: f64 = 20_000.0;
/// Most faults that are drawn.
const DRAWN_MAX: f64 = 200.0;
/// Most that a clock is ahead or behind, seconds.
const CLOCK_MAX: f64 = 3_600.0;
/// Most keepers.
const KEEPERS_MAX: f64 = 9.0;

/// Reads and checks a rehearsal.
///
/// # Errors
/// One message that names the field and its place.
pub fn read(text: &str) -> Result<Script, String> {
    let whole = hingestage_s_expression::read(text)?;
    let section = &whole.only_section("rehearsal")?;
    let mut script = empty();
    let (mut named, mut plans) = (Vec::new(), Vec::new());
    let fields = section.arguments()?;
    // Plans are named by accounts, and the number of gateways bounds their spread, wherever these stand.
    for field in &fields {
        match field.head()?.as_str() {
            "plan" => plans.push(plan(field)?),
            "fleet" => script.fleet = fleet(field)?,
            _ => {}
        }
    }
    if !plans.is_empty() {
        script.plans = plans;
    }
    let sites = script.fleet.sites.len();
    for field in &fields {
        let head = field.head()?;
        if !["plan", "accounts", "at", "holds"].contains(&head.as_str()) && named.contains(&head) {
            return Err(field.error(&head, "given twice"));
        }
        one_field(&mut script, field, &head, sites)?;
        named.push(head);
    }
    for wanted in ["name", "seconds", "fleet", "accounts"] {
        if !named.iter().any(|name| name == wanted) {
            return Err(section.error(wanted, "missing"));
        }
    }
    script.faults.sort_by_key(|timed| timed.at);
    check(&script, section)?;
    Ok(script)
}

fn empty() -> Script {
    Script {
        name: String::new(),
        lasts: Duration::ZERO,
        fleet: Fleet {
            gateways: 1,
            reserve: 0,
            instances: 1,
            workers: 1,
            cores: 2,
            queue: 16,
            counter_pace: Duration::from_micros(700),
            operator: None,
            peers: false,
            twins: Vec::new(),
            keepers: None,
            sites: Vec::new(),
            clocks: Vec::new(),
        },
        plans: site::PLANS.to_vec(),
        groups: Vec::new(),
        notices: Duration::from_millis(500),
        faults: Vec::new(),
        drawn: None,
        holds: Vec::new(),
    }
}

fn one_field(script: &mut Script, field: &Form, head: &str, sites: usize) -> Result<(), String> {
    match head {
        "plan" | "fleet" => {}
        "name" => script.name = field.only_argument(head)?.text(head)?.to_owned(),
        "seconds" => script.lasts = span(&field.only_argument(head)?, head, 1.0)?,
        "notices" => script.notices = span(&field.only_argument(head)?, head, 0.0)?,
        "accounts" => script.groups.push(group(script, field)?),
        "at" => script.faults.push(timed(field, sites)?),
        "drawn" => script.drawn = Some(drawn(field)?),
        "holds" => {
            for hold in field.arguments()? {
                script.holds.push(one_hold(&hold)?);
            }
        }
        _ => return Err(field.error(head, "no such field")),
    }
    Ok(())
}

/// What no field shows alone.
fn check(script: &Script, section: &Form) -> Result<(), String> {
    let (gateways, workers) = (script.most_gateways(), script.fleet.workers);
    let keepers = script.fleet.keepers.as_ref().map_or(0, |keepers| keepers.count);
    let witnesses = script.accounts().filter(|(_, group)| group.witness).count();
    if ![0, 2].contains(&witnesses) {
        return Err(
            section.error("accounts.witness", &format!("two accounts are wanted, {witnesses} are given"))
        );
    }
    if script.fleet.twins.iter().any(|(twin, number)| *twin.max(number) >= gateways) {
        return Err(section.error("fleet.twin", &format!("there are {gateways} gateways, from 0")));
    }
    for timed in &script.faults {
        let text = timed.to_string();
        let fault = |what: String| Err(section.error("at", &format!("`{text}`: {what}")));
        if timed.ends() > script.lasts {
            return fault("is not over when the rehearsal ends".into());
        }
        let (which, target) = match &timed.fault {
            Fault::Kill(which)
            | Fault::Start(which, _)
            | Fault::Term(which)
            | Fault::HangUp(which)
            | Fault::Succeed(which)
            | Fault::Clock(which, _)
            | Fault::Drain(which) => (Some(which), None),
            Fault::Stall(which) if timed.lasts.is_none() => {
                return fault(format!("{which} would never go on: `for` is missing"));
            }
            Fault::Stall(which) | Fault::Mute(which) => (Some(which), None),
            Fault::Links(which, target, _) => (Some(which), Some(target)),
            Fault::StallKeepers(_) if timed.lasts.is_none() => {
                return fault("they would never go on: `for` is missing".into());
            }
            Fault::Propose(..) if script.witnesses().is_none() || script.fleet.keepers.is_none() => {
                return fault(
                    "`(fleet (keepers N))` and two accounts with `(witness yes)` are wanted".into(),
                );
            }
            Fault::DeclareGone(gateway) if *gateway >= gateways => {
                return fault(format!("there are {gateways} gateways, from 0"));
            }
            Fault::Worker(worker, _) | Fault::Deploy(worker) if *worker >= workers => {
                return fault(format!("there are {workers} workers, from 0"));
            }
            _ => (None, None),
        };
        let none: &[usize] = &[];
        let named = which.map_or(none, |which| if let Which::Some(some) = which { some } else { none });
        let (far, most, what) = match target {
            Some(Target::Workers(some)) => (some.as_slice(), workers, "workers"),
            Some(Target::Peers(some)) => (some.as_slice(), gateways, "gateways"),
            Some(Target::Keepers(some)) => (some.as_slice(), keepers, "keepers"),
            _ => (none, 0, ""),
        };
        let of_keepers: Vec<usize> = match &timed.fault {
            Fault::KillKeepers(some) | Fault::StallKeepers(some) => some.clone(),
            Fault::KeeperLinks(from, to, _) => from.iter().chain(to).copied().collect(),
            _ => Vec::new(),
        };
        if of_keepers.iter().any(|n| *n >= keepers) {
            return fault(format!("there are {keepers} keepers, from 0"));
        }
        if named.iter().any(|n| *n >= gateways) {
            return fault(format!("there are {gateways} gateways, from 0"));
        }
        if far.iter().any(|n| *n >= most) {
            return fault(format!("there are {most} {what}, from 0"));
        }
    }
    check_sites(script, section)?;
    let accounts = script.accounts().count() as u64;
    for hold in &script.holds {
        match hold {
            Hold::Through(account, ..) if !(1..=accounts).contains(account) => {
                return Err(section.error("through", &format!("there are {accounts} accounts, from 1")));
            }
            Hold::Through(_, from, to, ..)
            | Hold::Served(_, from, to)
            | Hold::Worth(_, from, to)
            | Hold::Inversions(_, from, to)
            | Hold::Steady(_, from, to)
            | Hold::NewPairs(_, (from, to), _)
            | Hold::NewPairs(_, _, (from, to))
                if from >= to =>
            {
                return Err(section.error("holds", "a span ends before it begins"));
            }
            _ => {}
        }
    }
    Ok(())
}

fn span(form: &Form, field: &str, least: f64) -> Result<Duration, String> {
    Ok(Duration::from_secs_f64(form.number(field, least, LONGEST)?))
}

fn count(form: &Form, field: &str, least: f64, most: f64) -> Result<usize, String> {
    Ok(form.integer(field, least, most)? as usize)
}

fn two(form: &Form, field: &str) -> Result<(Duration, Duration), String> {
    match form.arguments()?.as_slice() {
        [from, to] => Ok((span(from, field, 0.0)?, span(to, field, 0.0)?)),
        other => Err(form.error(field, &format!("two values are wanted, {} are given", other.len()))),
    }
}

fn fleet(section: &Form) -> Result<Fleet, String> {
    let mut fleet = empty().fleet;
    let mut instances = None;
    for field in section.arguments()? {
        let head = field.head()?;
        let name = format!("fleet.{head}");
        let one = || field.only_argument(&name);
        match head.as_str() {
            "gateways" => fleet.gateways = count(&one()?, &name, 1.0, GATEWAYS_MAX)?,
            "reserve" => fleet.reserve = count(&one()?, &name, 0.0, GATEWAYS_MAX)?,
            "instances" => instances = Some(count(&one()?, &name, 1.0, GATEWAYS_MAX)?),
            "workers" => fleet.workers = count(&one()?, &name, 1.0, WORKERS_MAX)?,
            "cores" => fleet.cores = count(&one()?, &name, 1.0, 256.0)?,
            "queue" => fleet.queue = count(&one()?, &name, 0.0, 10_000.0)?,
            "counter-pace" => fleet.counter_pace = span(&one()?, &name, 0.0)?,
            "peers" => fleet.peers = one()?.flag(&name)?,
            "twin" => match numbers(&field.arguments()?, &name)?.as_slice() {
                [twin, number] => fleet.twins.push((*twin, *number)),
                _ => return Err(field.error(&name, "a gateway and the number that it bears are wanted")),
            },
            "clock" => fleet.clocks.push(clock(&field, &name)?),
            "keepers" => fleet.keepers = Some(keepers(&field, &name)?),
            "site" => {
                let place = place(&field, &name, fleet.sites.len())?;
                fleet.sites.push(place);
            }
            "operator" => fleet.operator = Some(one()?.text(&name)?.to_owned()),
            _ => return Err(field.error(&name, "no such field")),
        }
    }
    fleet.instances = instances.unwrap_or(fleet.gateways);
    Ok(fleet)
}

/// `(clock N SECONDS)`: whose clock is ahead, and by how much.
fn clock(field: &Form, name: &str) -> Result<(usize, f64), String> {
    match field.arguments()?.as_slice() {
        [of, ahead] => Ok((count(of, name, 0.0, GATEWAYS_MAX)?, ahead.number(name, -CLOCK_MAX, CLOCK_MAX)?)),
        _ => Err(field.error(name, "whose clock, and by how many seconds it is ahead")),
    }
}

fn keepers(section: &Form, name: &str) -> Result<Keepers, String> {
    let rest = section.arguments()?;
    let Some((first, fields)) = rest.split_first() else {
        return Err(section.error(name, "a number is wanted"));
    };
    let (lease, error) = (Duration::from_secs(1), Duration::from_millis(100));
    let (count, clocks) = (count(first, name, 1.0, KEEPERS_MAX)?, Vec::new());
    let mut keepers = Keepers { count, serve: false, lease, error, clocks };
    for field in fields {
        match field.head()?.as_str() {
            "lease" => keepers.lease = span(&field.only_argument(name)?, name, 0.2)?,
            "error" => keepers.error = span(&field.only_argument(name)?, name, 0.001)?,
            "clock" => keepers.clocks.push(clock(field, name)?),
            "mode" => {
                keepers.serve = match field.only_argument(name)?.text(name)? {
                    "stop" => false,
                    "serve" => true,
                    other => return Err(field.error(name, &format!("`{other}` is neither stop nor serve"))),
                }
            }
            other => return Err(field.error(&format!("{name}.{other}"), "no such field")),
        }
    }
    Ok(keepers)
}

fn plan(section: &Form) -> Result<Plan, String> {
    let (mut name, mut quota, mut ceiling, mut soft) = (None, None, (0.0, 0.0, 0.0), false);
    for field in section.arguments()? {
        let head = field.head()?;
        let place = format!("plan.{head}");
        let figures = || -> Result<Vec<f64>, String> {
            field.arguments()?.iter().map(|form| form.number(&place, 0.0, 1e6)).collect()
        };
        match (head.as_str(), field.arguments()?.len()) {
            ("name", 1) => name = Some(field.only_argument(&place)?.text(&place)?.to_owned()),
            ("quota", 2) => quota = figures()?.try_into().ok().map(|[rate, burst]: [f64; 2]| (rate, burst)),
            ("ceiling", 3) => {
                let all: Option<[f64; 3]> = figures()?.try_into().ok();
                ceiling = all.map_or(ceiling, |[rate, depth, slack]| (rate, depth, slack));
            }
            ("soft", 1) => soft = field.only_argument(&place)?.flag(&place)?,
            ("name" | "quota" | "ceiling" | "soft", n) => {
                return Err(field.error(&place, &format!("{n} values are not what is wanted")));
            }
            _ => return Err(field.error(&place, "no such field")),
        }
    }
    let missing = |field: &str| section.error(&format!("plan.{field}"), "missing");
    let (rate, burst) = quota.ok_or_else(|| missing("quota"))?;
    let name = name.ok_or_else(|| missing("name"))?.into();
    let (ceiling_rate, ceiling_depth, ceiling_slack) = ceiling;
    Ok(Plan { name, rate, burst, ceiling_rate, ceiling_depth, ceiling_slack, soft })
}

fn group(script: &Script, section: &Form) -> Result<Group, String> {
    let lasts = Duration::from_secs_f64(LONGEST);
    let mut group = Group {
        count: 1,
        plan: 0,
        spread: 0,
        rate: 10.0,
        units: 1,
        pushes: 0.0,
        work: (5, 20),
        span: (Duration::ZERO, lasts),
        witness: false,
        worth: (1.0, 1.0),
        again: 0,
    };
    for field in section.arguments()? {
        let head = field.head()?;
        let name = format!("accounts.{head}");
        let one = || field.only_argument(&name);
        match head.as_str() {
            "count" => group.count = count(&one()?, &name, 1.0, ACCOUNTS_MAX)?,
            "spread" => group.spread = count(&one()?, &name, 1.0, GATEWAYS_MAX)?,
            "rate" => group.rate = one()?.number(&name, 0.01, RATE_MAX)?,
            "units" => group.units = count(&one()?, &name, 1.0, site::MOST_UNITS)? as u64,
            "again" => group.again = count(&one()?, &name, 0.0, 20.0)?,
            "witness" => group.witness = one()?.flag(&name)?,
            "pushes" => group.pushes = one()?.number(&name, 0.0, 1.0)?,
            "worth" => match field.arguments()?.as_slice() {
                [pull, push] => {
                    group.worth = (pull.number(&name, 0.0, 1e6)?, push.number(&name, 0.0, 1e6)?);
                }
                _ => return Err(field.error(&name, "two values are wanted")),
            },
            "between" => group.span = two(&field, &name)?,
            "work" => match field.arguments()?.as_slice() {
                [least, most] => {
                    group.work = (
                        count(least, &name, 0.0, 10_000.0)? as u64,
                        count(most, &name, 0.0, 10_000.0)? as u64,
                    );
                }
                _ => return Err(field.error(&name, "two values are wanted")),
            },
            "plan" => {
                let wanted = one()?.text(&name)?;
                let place = script.plans.iter().position(|plan| plan.name == wanted);
                group.plan = place.ok_or_else(|| field.error(&name, &format!("no plan `{wanted}`")))?;
            }
            _ => return Err(field.error(&name, "no such field")),
        }
    }
    if group.work.0 > group.work.1 {
        return Err(section.error("accounts.work", "the least is more than the most"));
    }
    if group.spread > script.most_gateways() {
        return Err(section.error("accounts.spread", "is more than there are gateways"));
    }
    Ok(group)
}

fn drawn(section: &Form) -> Result<Drawn, String> {
    match section.arguments()?.as_slice() {
        [n, from, to] => {
            let span = (span(from, "drawn", 0.0)?, span(to, "drawn", 0.0)?);
            match span.0 < span.1 {
                true => Ok(Drawn { count: count(n, "drawn", 1.0, DRAWN_MAX)?, span }),
                false => Err(section.error("drawn", "ends before it begins")),
            }
        }
        other => Err(section
            .error("drawn", &format!("a number and a span are wanted, {} values are given", other.len()))),
    }
}

fn timed(section: &Form, sites: usize) -> Result<Timed, String> {
    let (at, fault, lasts) = match section.arguments()?.as_slice() {
        [at, fault] => (*at, *fault, None),
        [at, fault, lasts] if lasts.head()? == "for" => {
            (*at, *fault, Some(span(&lasts.only_argument("for")?, "for", 0.0)?))
        }
        _ => return Err(section.error("at", "a time, a fault, and perhaps `(for SECONDS)` are wanted")),
    };
    Ok(Timed { at: span(&at, "at", 0.0)?, fault: self::fault(&fault, sites)?, lasts })
}

fn fault(form: &Form, sites: usize) -> Result<Fault, String> {
    let (head, rest) = (form.head()?, form.arguments()?);
    let wrong = |what: &str| Err(form.error(&head, what));
    let of_keepers = |form: &Form| form.head().is_ok_and(|head| head == "keepers");
    let keepers = |form: &Form| numbers(&form.arguments()?, "keepers");
    Ok(match (head.as_str(), rest.as_slice()) {
        ("kill", [some]) if of_keepers(some) => Fault::KillKeepers(keepers(some)?),
        ("stall", [some]) if of_keepers(some) => Fault::StallKeepers(keepers(some)?),
        ("links", [from, to, harm]) if of_keepers(from) => {
            if !of_keepers(to) {
                return wrong("keepers are linked to `(keepers ...)`");
            }
            Fault::KeeperLinks(keepers(from)?, keepers(to)?, self::harm(harm)?)
        }
        ("propose", fields) => propose(fields)?,
        ("declare-gone", [n]) => Fault::DeclareGone(count(n, "declare-gone", 0.0, GATEWAYS_MAX)?),
        ("site", [name, loss]) => Fault::Site(places::named(name, sites)?, self::loss(loss)?),
        ("kill", [which]) => Fault::Kill(self::which(which)?),
        ("term", [which]) => Fault::Term(self::which(which)?),
        ("hang-up", [which]) => Fault::HangUp(self::which(which)?),
        ("drain", [which]) => Fault::Drain(self::which(which)?),
        ("succeed", [which]) => Fault::Succeed(self::which(which)?),
        ("clock", [which, ahead]) => {
            Fault::Clock(self::which(which)?, ahead.number("clock", -CLOCK_MAX, CLOCK_MAX)?)
        }
        ("stall", [which]) => Fault::Stall(self::which(which)?),
        ("mute", [which]) => Fault::Mute(self::which(which)?),
        ("start", [which]) => Fault::Start(self::which(which)?, Known::Now),
        ("start", [which, known]) => Fault::Start(self::which(which)?, self::known(known)?),
        ("links", [which, target, harm]) => {
            Fault::Links(self::which(which)?, self::target(target)?, self::harm(harm)?)
        }
        ("counter", [mood]) => counter_fault(mood)?,
        ("worker", [n, mood]) => Fault::Worker(count(n, "worker", 0.0, WORKERS_MAX)?, worker_mood(mood)?),
        ("deploy", [n]) => Fault::Deploy(count(n, "deploy", 0.0, WORKERS_MAX)?),
        (
            "kill" | "term" | "hang-up" | "drain" | "succeed" | "clock" | "stall" | "mute" | "start"
            | "links" | "counter" | "worker" | "deploy" | "site",
            _,
        ) => {
            return wrong("not the values that are wanted");
        }
        _ => return wrong("no such fault"),
    })
}

fn loss(form: &Form) -> Result<Loss, String> {
    if form.head().is_ok_and(|head| head == "cut") {
        return Ok(Loss::Cut(harm(&form.only_argument("cut")?)?));
    }
    match form.text("site")? {
        "killed" => Ok(Loss::Killed),
        "stalled" => Ok(Loss::Stalled),
        "unlisted" => Ok(Loss::Unlisted),
        other => Err(form.error("site", &format!("`{other}` is none of killed, stalled, unlisted and cut"))),
    }
}

/// A site of the fleet. They come in the order of their names.
fn place(field: &Form, name: &str, before: usize) -> Result<Place, String> {
    let rest = field.arguments()?;
    let Some((first, fields)) = rest.split_first() else {
        return Err(field.error(name, "a name is wanted"));
    };
    if places::NAMES.get(before).copied() != Some(first.text(name)?) {
        return Err(first.error(name, "sites are named a, b, c and so on, in this order"));
    }
    let mut place = Place::default();
    for field in fields {
        match field.head()?.as_str() {
            "gateways" => place.gateways = numbers(&field.arguments()?, name)?,
            "workers" => place.workers = numbers(&field.arguments()?, name)?,
            "counter" => place.counter = field.only_argument(name)?.flag(name)?,
            other => return Err(field.error(&format!("{name}.{other}"), "no such field")),
        }
    }
    Ok(place)
}

/// Every gateway and worker belongs to one site, where there are any.
fn check_sites(script: &Script, section: &Form) -> Result<(), String> {
    let fleet = &script.fleet;
    if fleet.sites.is_empty() {
        return Ok(());
    }
    let sorted = |of: &dyn Fn(&Place) -> &Vec<usize>| {
        let mut all: Vec<usize> = fleet.sites.iter().flat_map(|place| of(place).clone()).collect();
        all.sort_unstable();
        all
    };
    for (what, most, all) in [
        ("gateway", script.most_gateways(), sorted(&|place| &place.gateways)),
        ("worker", fleet.workers, sorted(&|place| &place.workers)),
    ] {
        if all != (0..most).collect::<Vec<usize>>() {
            let what = format!("every {what} from 0 to {} belongs to one site", most - 1);
            return Err(section.error("fleet.site", &what));
        }
    }
    Ok(())
}

fn propose(fields: &[Form]) -> Result<Fault, String> {
    let (mut deadline, mut killed) = (Duration::from_secs(5), None);
    for field in fields {
        let head = field.head()?;
        let time = span(&field.only_argument(&head)?, &head, 0.0)?;
        match head.as_str() {
            "deadline" => deadline = time,
            "killed" => killed = Some(time),
            other => return Err(field.error(other, "neither deadline nor killed")),
        }
    }
    Ok(Fault::Propose(deadline, killed))
}

fn which(form: &Form) -> Result<Which, String> {
    if form.head()? != "gateways" {
        return Err(form.error("gateways", "`(gateways ...)` is wanted here"));
    }
    let rest = form.arguments()?;
    if let [one] = rest.as_slice() {
        if one.text("gateways").is_ok_and(|text| text == "all") {
            return Ok(Which::All);
        }
        if one.head().is_ok_and(|head| head == "share") {
            return Ok(Which::Share(one.only_argument("share")?.number("share", 0.0, 1.0)?));
        }
    }
    Ok(Which::Some(numbers(&rest, "gateways")?))
}

/// Numbers, and spans of them as `(to 3 9)`.
fn numbers(forms: &[Form], field: &str) -> Result<Vec<usize>, String> {
    let mut numbers = Vec::new();
    for form in forms {
        if !form.head().is_ok_and(|head| head == "to") {
            numbers.push(count(form, field, 0.0, GATEWAYS_MAX)?);
            continue;
        }
        match form.arguments()?.as_slice() {
            [from, to] => {
                numbers.extend(count(from, field, 0.0, GATEWAYS_MAX)?..=count(to, field, 0.0, GATEWAYS_MAX)?)
            }
            _ => return Err(form.error(field, "`(to FIRST LAST)` is wanted here")),
        }
    }
    Ok(numbers)
}

fn known(form: &Form) -> Result<Known, String> {
    match (form.head()?.as_str(), form.only_argument("known")?.text("known")?) {
        ("known", "old") => Ok(Known::Old),
        ("known", "nothing") => Ok(Known::Nothing),
        ("known", "now") => Ok(Known::Now),
        (_, other) => Err(form.error("known", &format!("`{other}` is none of now, old and nothing"))),
    }
}

fn target(form: &Form) -> Result<Target, String> {
    if let Ok(word) = form.text("links") {
        return match word {
            "counter" => Ok(Target::Counter),
            "discovery" => Ok(Target::Discovery),
            "workers" => Ok(Target::Workers(Vec::new())),
            "peers" => Ok(Target::Peers(Vec::new())),
            "keepers" => Ok(Target::Keepers(Vec::new())),
            other => {
                Err(form.error("links", &format!("`{other}` is none of counter, discovery, workers, peers")))
            }
        };
    }
    match form.head()?.as_str() {
        "workers" => Ok(Target::Workers(numbers(&form.arguments()?, "workers")?)),
        "peers" => Ok(Target::Peers(numbers(&form.arguments()?, "peers")?)),
        "keepers" => Ok(Target::Keepers(numbers(&form.arguments()?, "keepers")?)),
        other => Err(form.error("links", &format!("`{other}` is neither workers nor peers"))),
    }
}

fn harm(form: &Form) -> Result<Harm, String> {
    let head = form.head()?;
    let time = || span(&form.only_argument(&head)?, &head, 0.0);
    match head.as_str() {
        "reset" => Ok(Harm::Reset),
        "hold" => Ok(Harm::Hold),
        "delay" => Ok(Harm::Delay(time()?)),
        "trickle" => Ok(Harm::Trickle(time()?)),
        "silent" => match form.only_argument(&head)?.text(&head)? {
            "both" => Ok(Harm::Silent(Ways::Both)),
            "out" => Ok(Harm::Silent(Ways::Out)),
            "in" => Ok(Harm::Silent(Ways::In)),
            other => Err(form.error(&head, &format!("`{other}` is none of both, out and in"))),
        },
        other => Err(form.error(other, "none of silent, reset, hold, delay and trickle")),
    }
}

fn counter_fault(form: &Form) -> Result<Fault, String> {
    use counter::Mood;
    if form.head().is_ok_and(|head| head == "late") {
        return Ok(Fault::Counter(Mood::Late(span(&form.only_argument("late")?, "late", 0.0)?)));
    }
    Ok(match form.text("counter")? {
        "forgets" => Fault::Forget,
        "good" => Fault::Counter(Mood::Good),
        "busy" => Fault::Counter(Mood::Busy),
        "spoilt" => Fault::Counter(Mood::Spoilt),
        "silent" => Fault::Counter(Mood::Silent),
        "breaks" => Fault::Counter(Mood::Breaks),
        other => return Err(form.error("counter", &format!("no mood `{other}`"))),
    })
}

fn worker_mood(form: &Form) -> Result<worker::Mood, String> {
    if form.head().is_ok_and(|head| head == "slower") {
        return Ok(worker::Mood::Slower(form.only_argument("slower")?.number("slower", 0.01, 1_000.0)?));
    }
    let text = form.text("worker")?;
    let mood = WORKER_MOODS.iter().find(|(name, _)| *name == text).map(|(_, mood)| *mood);
    mood.ok_or_else(|| form.error("worker", &format!("no mood `{text}`")))
}

fn one_hold(form: &Form) -> Result<Hold, String> {
    let head = form.head()?;
    let rest = form.arguments()?;
    let number = |at: usize, most: f64| match rest.get(at) {
        Some(form) => form.number(&head, 0.0, most),
        None => Err(form.error(&head, "a value is missing")),
    };
    let time = |at: usize| Ok::<_, String>(Duration::from_secs_f64(number(at, LONGEST)?));
    match (head.as_str(), rest.len()) {
        ("worth", 3) => Ok(Hold::Worth(number(0, 1.0)?, time(1)?, time(2)?)),
        ("inversions", 3) => Ok(Hold::Inversions(number(0, 1.0)?, time(1)?, time(2)?)),
        ("steady", 3) => Ok(Hold::Steady(number(0, 1.0)?, time(1)?, time(2)?)),
        ("served", 3) => Ok(Hold::Served(number(0, 1.0)?, time(1)?, time(2)?)),
        ("through", 5) => {
            Ok(Hold::Through(number(0, 1e9)? as u64, time(1)?, time(2)?, number(3, 1e6)?, number(4, 1e6)?))
        }
        ("fair-gateways", 1) => Ok(Hold::FairGateways(number(0, 1.0)?)),
        ("fair-accounts", 1) => Ok(Hold::FairAccounts(number(0, 1.0)?)),
        ("calls", 1) => Ok(Hold::Calls(number(0, 1e6)?)),
        ("new-pairs", 5) => Ok(Hold::NewPairs(number(0, 1.0)?, (time(1)?, time(2)?), (time(3)?, time(4)?))),
        ("goodput", 1) => Ok(Hold::Goodput(number(0, 1.0)?)),
        ("waits", 1) => Ok(Hold::Waits(number(0, 60.0)?)),
        ("changes", 1) => Ok(Hold::Changes(number(0, 1e6)? as usize)),
        ("last-change", 0) => Ok(Hold::LastChange),
        ("connections", 1) => Ok(Hold::Connections(number(0, 1e6)?)),
        (
            "worth" | "inversions" | "steady" | "served" | "through" | "fair-gateways" | "fair-accounts"
            | "calls" | "connections" | "new-pairs" | "goodput" | "waits" | "changes",
            n,
        ) => Err(form.error(&head, &format!("{n} values are not what is wanted"))),
        _ => Err(form.error(&head, "no such hold")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEAST: &str = "(rehearsal (name x) (seconds 20) (fleet (gateways 4) (workers 2)) (accounts))";

    #[test]
    fn every_field_is_read() {
        let script = read(
            "(rehearsal (name \"all\") (seconds 20) (notices 0.2) (drawn 3 1 9)
             (fleet (gateways 4) (reserve 2) (instances 9) (workers 3) (cores 1) (queue 5) (counter-pace 0.001)
                    (peers yes) (operator \"(fleet @peers)\"))
             (plan (name p) (quota 10 20) (ceiling 18 30 4) (soft no))
             (accounts (count 3) (plan p) (spread 2) (rate 12) (units 3) (pushes 0.2) (work 1 9) (between 2 8))
             (at 3 (links (gateways (to 1 3)) (workers 0 2) (silent in)) (for 2))
             (at 1 (counter forgets))
             (at 4 (drain (gateways 0)) (for 1))
             (holds (served 0.9 1 9) (through 2 1 9 0.5 1.5) (fair-gateways 0.8) (fair-accounts 0.7) (calls 500)
                    (connections 30)))",
        )
        .unwrap();
        assert_eq!((script.fleet.instances, script.most_gateways(), script.fleet.queue), (9, 6, 5));
        assert_eq!((script.plans[0].rate, script.plans[0].ceiling_slack), (10.0, 4.0));
        let group = &script.groups[0];
        assert_eq!((group.count, group.spread, group.units, group.work), (3, 2, 3, (1, 9)));
        assert_eq!(script.faults[0].fault, Fault::Forget, "faults stand by time");
        let harmed = (Which::Some(vec![1, 2, 3]), Target::Workers(vec![0, 2]));
        assert_eq!(script.faults[1].fault, Fault::Links(harmed.0, harmed.1, Harm::Silent(Ways::In)));
        assert_eq!(script.faults[2].fault, Fault::Drain(Which::Some(vec![0])));
        assert_eq!(
            (script.holds.len(), script.faults.iter().map(Timed::ends).max()),
            (6, Some(Duration::from_secs(5)))
        );
    }

    #[test]
    fn every_fault_is_named_with_its_field_and_place() {
        let with = |field: &str| LEAST.replace("(accounts)", &format!("(accounts)\n {field}"));
        for (text, wanted) in [
            (with("(colour red)"), "2:2: field `colour`: no such field"),
            (with("(name y)"), "2:2: field `name`: given twice"),
            (LEAST.replace("(seconds 20)", ""), "field `seconds`: missing"),
            (LEAST.replace("20", "0"), "field `seconds`: 0 is not between 1 and 3600"),
            (
                LEAST.replace("(gateways 4)", "(gateways 1.5)"),
                "field `fleet.gateways`: 1.5 is no whole number",
            ),
            (LEAST.replace("(gateways 4)", "(colour 4)"), "field `fleet.colour`: no such field"),
            (
                LEAST.replace("(gateways 4)", "(gateways 4) (twin 4 1)"),
                "field `fleet.twin`: there are 4 gateways",
            ),
            (LEAST.replace("(gateways 4)", "(gateways 4) (twin 1)"), "field `fleet.twin`: a gateway and"),
            (LEAST.replace("(accounts)", "(accounts (plan q))"), "field `accounts.plan`: no plan `q`"),
            (LEAST.replace("(accounts)", "(accounts (spread 5))"), "field `accounts.spread`: is more than"),
            (LEAST.replace("(accounts)", "(accounts (work 5 1))"), "field `accounts.work`: the least"),
            (LEAST.replace("(accounts)", "(accounts (colour 1))"), "field `accounts.colour`: no such field"),
            (with("(plan (name q))"), "field `plan.quota`: missing"),
            (with("(plan (name q) (quota 1))"), "field `plan.quota`: 1 values are not"),
            (with("(at 2 (explode))"), "field `explode`: no such fault"),
            (with("(at 2 (kill))"), "field `kill`: not the values"),
            (with("(at 2 (kill (workers 1)))"), "field `gateways`: `(gateways ...)` is wanted"),
            (
                with("(at 2 (kill (gateways 4)))"),
                "field `at`: `(at 2 (kill (gateways 4)))`: there are 4 gateways",
            ),
            (with("(at 2 (stall (gateways 1)))"), "would never go on"),
            (with("(at 19 (kill (gateways 1)) (for 2))"), "is not over when the rehearsal ends"),
            (with("(at 2 (deploy 2))"), "there are 2 workers"),
            (with("(at 2 (links (gateways 1) moon (reset)))"), "`moon` is none of"),
            (with("(at 2 (links (gateways 1) (workers 2) (reset)))"), "there are 2 workers"),
            (with("(at 2 (links (gateways 1) counter (silent up)))"), "`up` is none of both, out and in"),
            (with("(at 2 (links (gateways 1) counter (melt)))"), "field `melt`: none of silent"),
            (with("(at 2 (counter angry))"), "no mood `angry`"),
            (with("(at 2 (worker 0 angry))"), "no mood `angry`"),
            (with("(at 2 (start (gateways 1) (known young)))"), "`young` is none of"),
            (with("(drawn 5 9 2)"), "field `drawn`: ends before it begins"),
            (with("(holds (colour 1))"), "field `colour`: no such hold"),
            (with("(holds (served 0.5))"), "field `served`: 1 values are not"),
            (with("(holds (through 2 0 5 0 1))"), "there are 1 accounts"),
            (with("(holds (served 0.5 9 5))"), "a span ends before it begins"),
            ("(fleet)".into(), "the file begins with `rehearsal`"),
            (LEAST.replace("(workers 2)", "(workers 2) (site b)"), "sites are named a, b, c"),
            (
                LEAST.replace("(workers 2)", "(workers 2) (site a (gateways 0 1) (workers 0 1))"),
                "every gateway from 0 to 3 belongs to one site",
            ),
            (
                LEAST.replace("(workers 2)", "(workers 2) (site a (colour 1))"),
                "field `fleet.site.colour`: no such",
            ),
            (with("(at 2 (site a killed))"), "no site `a`; there are 0"),
            (String::new(), "one is wanted, 0 are given"),
        ] {
            let error = read(&text).unwrap_err();
            assert!(error.contains(wanted), "{text}\n  {error}\n  wanted: {wanted}");
        }
    }

    #[test]
    fn the_shipped_rehearsals_are_good() {
        let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/rehearsals");
        let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
        let files: Vec<_> = files.filter(|path| path.extension().is_some_and(|e| e == "lisp")).collect();
        assert!(!files.is_empty());
        for file in files {
            let text = std::fs::read_to_string(&file).unwrap();
            read(&text).unwrap_or_else(|e| panic!("{}:{e}", file.display()));
        }
    }
}

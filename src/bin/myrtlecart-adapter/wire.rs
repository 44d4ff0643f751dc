//! The wire's words: parsing of events and settings, printing of actions. No decisions.

use myrtlecart::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

/// One line: its name, its fields and its number in the input.
pub struct Fields<'a> {
    pub name: &'a str,
    values: BTreeMap<&'a str, &'a str>,
    line: u64,
}

impl<'a> Fields<'a> {
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

    pub fn error(&self, field: &str, what: &str) -> String {
        format!("line {}: {}: field `{field}`: {what}", self.line, self.name)
    }

    fn text(&self, field: &str) -> Result<&'a str, String> {
        self.values.get(field).copied().ok_or_else(|| self.error(field, "missing"))
    }

    fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, String> {
        let Some(value) = self.values.get(field) else { return Ok(None) };
        value.parse().map(Some).map_err(|_| self.error(field, &format!("`{value}` is not a proper value")))
    }

    pub fn number<T: FromStr>(&self, field: &str) -> Result<T, String> {
        self.optional(field)?.ok_or_else(|| self.error(field, "missing"))
    }

    pub fn int(&self, field: &str) -> Result<u64, String> {
        self.number(field)
    }

    fn float(&self, field: &str) -> Result<f64, String> {
        self.checked(field)?.ok_or_else(|| self.error(field, "missing"))
    }

    fn checked(&self, field: &str) -> Result<Option<f64>, String> {
        match self.optional::<f64>(field)? {
            Some(n) if !n.is_finite() => Err(self.error(field, "not a finite number")),
            n => Ok(n),
        }
    }

    fn float_or_zero(&self, field: &str) -> Result<f64, String> {
        Ok(self.checked(field)?.unwrap_or(0.0))
    }

    fn span_or_zero(&self, field: &str) -> Result<Micros, String> {
        Ok(self.optional(field)?.unwrap_or(0))
    }

    fn flag(&self, field: &str) -> Result<bool, String> {
        match self.values.get(field).copied() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(self.error(field, &format!("`{other}` is neither 1 nor 0"))),
        }
    }

    fn choice<T: Copy>(&self, field: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let value = self.text(field)?;
        let found = choices.iter().find(|(name, _)| *name == value).map(|(_, choice)| *choice);
        found.ok_or_else(|| self.error(field, &format!("`{value}` is not a known word")))
    }

    fn request(&self) -> Result<RequestId, String> {
        self.text("ticket").map(|id| RequestId(id.into()))
    }
}

/// The names that the settings gave to classes and plans.
pub struct Names {
    classes: Vec<String>,
    plans: Vec<String>,
}

/// What one line asks of the host.
pub enum Input {
    Launch { settings: Box<Settings>, seed: u64, names: Box<Names> },
    Teardown,
    Workers { scope: ListScope, rows: usize },
    Event(Event),
    Nothing,
}

const OUTCOMES: [(&str, Outcome); 8] = [
    ("GOOD", Outcome::Ok),
    ("BAD", Outcome::Error),
    ("FULL", Outcome::Full),
    ("LATE", Outcome::Timeout),
    ("NOCONN", Outcome::ConnectFailed),
    ("RST", Outcome::Reset),
    ("CXL", Outcome::Cancelled),
    ("NOP", Outcome::NotSent),
];

pub fn input(f: &Fields, names: Option<&Names>) -> Result<Input, String> {
    if f.name == "LAUNCH" {
        let (settings, names) = settings(f)?;
        return Ok(Input::Launch {
            settings: Box::new(settings),
            seed: f.int("randomSeed")?,
            names: Box::new(names),
        });
    }
    if f.name == "TEARDOWN" {
        return Ok(Input::Teardown);
    }
    let Some(names) = names else { return Err(f.error("gatekeeper", "no such instance")) };
    let event = match f.name {
        "FLEET" => {
            use ListScope::*;
            let scope = f.choice("scope", &[("0", Failed), ("1", Full), ("2", Delta), ("3", Cached)])?;
            return Ok(Input::Workers { scope, rows: f.optional("items")?.unwrap_or(0) });
        }
        "DEMAND" => {
            let place = |names: &[String], value: &str| names.iter().position(|name| name == value);
            Event::Request(Request {
                id: f.request()?,
                customer: CustomerId(f.text("caller")?.into()),
                class: place(&names.classes, f.text("type")?).map(ClassId),
                plan: place(&names.plans, f.text("contract")?).map(PlanId),
                units: f.float("quotaUnits")?,
                gateways: f.number("width")?,
                time_left: f.optional::<i64>("graceUs")?.ok_or_else(|| f.error("graceUs", "missing"))?.max(0)
                    as u64,
            })
        }
        "WAKE" => Event::Timer(TimerToken(f.int("nonce")?)),
        "RESOLVED" => {
            f.optional::<f64>("seenUse")?;
            Event::AttemptDone(AttemptDone {
                request: f.request()?,
                attempt: f.number("n")?,
                outcome: f.choice("status", &OUTCOMES)?,
                latency: f.span_or_zero("latencyUs")?,
                closed: f.flag("terminal")?,
                true_units: f.checked("billed")?.filter(|units| *units != 0.0),
            })
        }
        "HEAD_RECEIVED" => Event::StreamStarted { request: f.request()? },
        "GONE" => Event::ClientGone(f.request()?),
        "COUNTED" => {
            let status = f.text("status")?;
            let outcome = match status {
                "GOOD" => CounterOutcome::Total(f.float("reading")?),
                "FULL" | "NOCONN" => CounterOutcome::Refused,
                "LATE" => CounterOutcome::Timeout,
                other => return Err(f.error("status", &format!("`{other}` is not a known word"))),
            };
            Event::Counter { name: CounterName(f.text("counter")?.into()), outcome }
        }
        "HEALTH_RESULT" => {
            f.int("worker")?;
            return Ok(Input::Nothing);
        }
        "NOTE_FROM" => {
            f.int("by")?;
            return Ok(Input::Nothing);
        }
        other => return Err(f.error("name", &format!("`{other}` is not a known event"))),
    };
    Ok(Input::Event(event))
}

pub fn row(f: &Fields) -> Result<WorkerInfo, String> {
    if f.name != "ROW" {
        return Err(f.error("name", "ROW expected"));
    }
    use Availability::*;
    Ok(WorkerInfo {
        id: WorkerId(f.int("worker")?),
        availability: f.choice("availability", &[("0", Gone), ("1", Ready), ("2", Draining)])?,
        zone: Zone(f.values.get("zone").copied().unwrap_or_default().into()),
        cell: f.span_or_zero("block")?,
        size: f.checked("powerHint")?.unwrap_or(1.0),
        started: f.optional("lastStartUs")?.filter(|at| *at > 0),
    })
}

fn settings(f: &Fields) -> Result<(Settings, Names), String> {
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
        });
    }
    let mut plans = Vec::new();
    for i in 0..f.optional::<usize>("tiersOfService.count")?.unwrap_or(0) {
        let number = |key: &str| f.float_or_zero(&format!("tiersOfService.{i}.{key}"));
        names.plans.push(f.text(&format!("tiersOfService.{i}.name"))?.into());
        plans.push(Plan {
            rate: number("rate")?,
            burst: number("storeSize")?,
            open: number("open")?,
            ceiling_rate: number("hardRate")?,
            ceiling_burst: number("capDepth")?,
            ceiling_slack: number("ceilingSlack")?,
            over_earns: number("beyondEarns")?,
            over_cost: number("overCost")?,
        });
    }
    let settings = Settings {
        instances: f.number("instances")?,
        resolution: f.span_or_zero("resolutionUs")?,
        zone: Zone(f.values.get("zone").copied().unwrap_or_default().into()),
        counter: f.flag("familyInfo.mayCount")?,
        counter_timeout: f.span_or_zero("familyInfo.countWaitUs")?,
        most_units: f.float_or_zero("familyInfo.mostUnits")?,
        settles: f.flag("familyInfo.costAfter")?,
        subscribe: f.values.get("registryMode") == Some(&"on_request"),
        classes,
        plans,
        limits: Limits {
            max_attempts: f.number("limits.maxAttempts")?,
            second_copies: f.flag("limits.mayDuplicate")?,
            cancel: f.flag("limits.mayCancel")?,
            max_retry_after: if f.flag("limits.retryAfter")? { f.int("limits.maxRetryAfterUs")? } else { 0 },
        },
        rules: RuleFigures {
            cold_from: f.float("rules.coldFrom")?,
            cold_for: f.int("rules.coldUs")?,
            fall_multiple: f.float("rules.fallMultiple")?,
            fall_after: f.int("rules.tipAfterUs")?,
        },
    };
    Ok((settings, names))
}

/// Prints one action as a line of the reply.
pub fn print(reply: &mut String, instance: u32, action: &Action) {
    let line = match action {
        Action::Send { request, worker, timeout } => {
            format!(
                "TRY\tgatekeeper={instance}\tticket={}\ttimeoutUs={timeout}\tworker={}",
                request.0, worker.0
            )
        }
        Action::Cancel { request, attempt } => {
            format!("ABORT_ATTEMPT\tgatekeeper={instance}\tticket={}\tn={attempt}", request.0)
        }
        Action::Refuse { request, retry_after } => {
            format!("OVERLOAD_REPLY\tgatekeeper={instance}\tticket={}\tbackoffUs={retry_after}", request.0)
        }
        Action::Fail(request) => format!("END_FAILED\tgatekeeper={instance}\tticket={}", request.0),
        Action::SetTimer { token, after } => {
            format!("NOTIFY_ME\tgatekeeper={instance}\tnonce={}\tafterUs={after}", token.0)
        }
        Action::Count { name, amount, keep } => {
            format!("TALLY\tgatekeeper={instance}\tcounter={}\tn={amount}\tkeepForUs={keep}", name.0)
        }
        Action::Subscribe => format!("WATCH\tgatekeeper={instance}\tenable=1"),
    };
    let _ = writeln!(reply, "{line}");
}

/// Prints that the decision code has failed.
pub fn internal_error(reply: &mut String, instance: u32, what: &str) {
    let _ = writeln!(reply, "INTERNAL_ERROR\tgatekeeper={instance}\twhat={what}");
}

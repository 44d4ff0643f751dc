//! Encoding of the text protocol: parses events and settings, prints actions.

use hingestage_policy::settings::{settings, Fields, Names};
use hingestage_policy::*;
use std::fmt::Write;

/// A parsed line of input.
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

/// The request id in the field `ticket`.
fn ticket(f: &Fields) -> Result<RequestId, String> {
    f.text("ticket").map(|id| RequestId(id.into()))
}

/// Parses a line within a batch; `names` belong to the instance that it addresses.
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
            let index = |names: &[String], value: &str| names.iter().position(|name| name == value);
            Event::Request(Request {
                id: ticket(f)?,
                customer: CustomerId(f.text("caller")?.into()),
                class: index(&names.classes, f.text("type")?).map(ClassId),
                plan: index(&names.plans, f.text("contract")?).map(PlanId),
                units: f.float("quotaUnits")?,
                gateways: f.number("width")?,
                first: 0,
                time_left: f.optional::<i64>("graceUs")?.ok_or_else(|| f.error("graceUs", "missing"))?.max(0)
                    as u64,
            })
        }
        "WAKE" => Event::Timer(TimerToken(f.int("nonce")?)),
        "RESOLVED" => {
            f.optional::<f64>("seenUse")?;
            Event::AttemptDone(AttemptDone {
                request: ticket(f)?,
                attempt: f.number("n")?,
                outcome: f.choice("status", &OUTCOMES)?,
                latency: f.span_or_zero("latencyUs")?,
                closed: f.flag("terminal")?,
                true_units: f.checked("billed")?.filter(|units| *units != 0.0),
            })
        }
        "HEAD_RECEIVED" => Event::StreamStarted { request: ticket(f)? },
        "GONE" => Event::ClientGone(ticket(f)?),
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

/// Parses a row of a list of workers.
pub fn row(f: &Fields) -> Result<WorkerInfo, String> {
    if f.name != "ROW" {
        return Err(f.error("name", "ROW expected"));
    }
    use Availability::*;
    Ok(WorkerInfo {
        id: WorkerId(f.int("worker")?),
        availability: f.choice("availability", &[("0", Gone), ("1", Ready), ("2", Draining)])?,
        zone: Zone(f.text_or_empty("zone").into()),
        cell: f.span_or_zero("block")?,
        // Worker numbers are the same at every gateway.
        hash: f.int("worker")?,
        size: f.checked("powerHint")?.unwrap_or(1.0),
        started: f.optional("lastStartUs")?.filter(|at| *at > 0),
        tier: 0,
        cold_rate: None,
    })
}

/// Prints one action as a line of the reply.
pub fn print(reply: &mut String, instance: u32, action: &Action) {
    let line = match action {
        Action::Send { request, worker, timeout, .. } => {
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

/// Prints an internal error as a line of the reply.
pub fn internal_error(reply: &mut String, instance: u32, what: &str) {
    let _ = writeln!(reply, "INTERNAL_ERROR\tgatekeeper={instance}\twhat={what}");
}

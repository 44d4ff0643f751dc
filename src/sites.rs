//! `hingestage sites`: computes and prints plans for the loss of sites, and talks to the admin servers of gateways.

use crate::Failed;
use clap::{Subcommand, ValueEnum};
use hingestage_gateway::config::Config;
use hingestage_gateway::sites::{PlanFuture, SitePlans};
use hingestage_keep::http_client::Connection;
use hingestage_print::say;
use hingestage_sites::{greedy, parse, plan, total_worth, FailoverPlans, GatewayIdentity, Plan, Sites};
use hyper::{Method, StatusCode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Smallest refused share that is printed.
const PRINTED_SHARE_MIN: f64 = 5e-4;

/// Subcommands of `hingestage sites`.
#[derive(Subcommand)]
pub enum Task {
    /// Checks a file of sites. Exits with 2 on an error, which names the field and its place.
    Check {
        /// The file; see `deploy/sites.example.lisp`.
        file: PathBuf,
    },
    /// Shows for the loss of each site where its load goes, what is refused and what would help.
    Plan {
        /// The file.
        file: PathBuf,
        /// Factor applied to all loads.
        #[arg(long, default_value_t = 1.0, value_parser = factor)]
        load: f64,
        /// Includes the loss of every pair of sites.
        #[arg(long)]
        pairs: bool,
        /// Writes a page with plots of what is refused as load grows, for each loss.
        #[arg(long, value_name = "FILE")]
        page: Option<PathBuf>,
    },
    /// Shows one loss in full: where each load goes, and from which total load on it is refused, in that order.
    WhatIf {
        /// The file.
        file: PathBuf,
        /// The sites that are lost; without any, the plan of normal operation.
        #[arg(long, value_name = "SITE")]
        lose: Vec<String>,
        /// Factor applied to all loads.
        #[arg(long, default_value_t = 1.0, value_parser = factor)]
        load: f64,
    },
    /// Shows the state of each site as seen by gateways.
    Show {
        /// Admin addresses of the gateways.
        #[arg(required = true, value_name = "ADDRESS")]
        gateways: Vec<SocketAddr>,
    },
    /// Declares the state of a site to gateways. Exits with 1 if any of them could not be told.
    Declare {
        /// The site.
        site: String,
        /// The declared state.
        #[arg(value_name = "WORD")]
        state: DeclaredState,
        /// Admin addresses of the gateways.
        #[arg(required = true, value_name = "ADDRESS")]
        gateways: Vec<SocketAddr>,
    },
}

/// A state that an operator declares.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum DeclaredState {
    /// No load is sent there, even if workers answer.
    Lost,
    /// Load is sent there, even if requests fail; ends a gradual return at once.
    Well,
    /// Stops a gradual return at its present share.
    Hold,
    /// Withdraws the declaration.
    Nothing,
}

/// Timeout for the response of a gateway.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Parses a load factor, optionally with a leading `x`.
fn factor(text: &str) -> Result<f64, String> {
    let times: f64 = text.trim_start_matches('x').parse().map_err(|_| format!("`{text}` is no multiple"))?;
    if (0.01..=100.0).contains(&times) {
        Ok(times)
    } else {
        Err(format!("{times} is not between 0.01 and 100"))
    }
}

/// Computes the plans of a gateway's file; plans for other loads are computed on a separate thread.
pub fn site_plans(file: Sites, config: &Config) -> Result<SitePlans, String> {
    let settings = &config.settings;
    let who =
        GatewayIdentity { number: settings.me, gateways: settings.instances, zone: settings.zone.0.clone() };
    let (plans, classes) = (config.names.plans.clone(), config.names.classes.clone());
    let ahead = FailoverPlans::new(&file, &who, &plans, &classes)?;
    let replan = move |times: BTreeMap<(usize, usize), f64>| -> PlanFuture {
        let named = |((plan, class), times): ((usize, usize), f64)| {
            Some(((plans.get(plan)?.clone(), classes.get(class)?.clone()), times))
        };
        let scaled = file.scaled(&times.into_iter().filter_map(named).collect());
        let (who, plans, classes) = (who.clone(), plans.clone(), classes.clone());
        let made =
            tokio::task::spawn_blocking(move || FailoverPlans::new(&scaled, &who, &plans, &classes).ok());
        Box::pin(async move { made.await.ok().flatten() })
    };
    Ok(SitePlans { ahead, replan: Rc::new(replan) })
}

/// Runs a subcommand.
pub fn run(task: Task) -> Result<(), Failed> {
    let load = |file: &Path| hingestage_form::load(file, parse).map_err(Failed::InvalidInput);
    match task {
        Task::Check { file } => {
            let sites = load(&file)?;
            say!("{} sites, {} loads", sites.sites.len(), sites.loads.len());
            Ok(())
        }
        Task::Plan { file, load: times, pairs, page } => {
            let sites = load(&file)?;
            plan_all(&sites, times, pairs).map_err(Failed::Running)?;
            let Some(page) = page else { return Ok(()) };
            let drawn = hingestage_sites::page(&sites).map_err(Failed::Running)?;
            std::fs::write(&page, drawn).map_err(|e| Failed::Running(format!("{}: {e}", page.display())))
        }
        Task::WhatIf { file, lose, load: times } => {
            let sites = load(&file)?;
            if let Some(unknown) = lose.iter().find(|name| sites.site(name).is_none()) {
                return Err(Failed::InvalidInput(format!("there is no site `{unknown}`")));
            }
            what_if(&sites, &lose, times).map_err(Failed::Running)
        }
        Task::Show { gateways } => ask(&gateways, &Method::GET, "/sites"),
        Task::Declare { site, state, gateways } => {
            let state = state.to_possible_value().map_or(String::new(), |state| state.get_name().to_owned());
            ask(&gateways, &Method::POST, &format!("/sites/{site}/{state}"))
        }
    }
}

/// Sends a request to each gateway and prints the responses.
fn ask(gateways: &[SocketAddr], method: &Method, path: &str) -> Result<(), Failed> {
    let (all, method, path) = (gateways.to_vec(), method.clone(), path.to_owned());
    let failures = crate::block_on(async move {
        let mut failures = 0;
        for at in all {
            let mut connection = Connection::new(at);
            let call = connection.call(method.clone(), &path, Vec::new());
            let answer =
                tokio::time::timeout(RESPONSE_TIMEOUT, call).await.map_err(|_| "no answer".to_owned());
            let (ok, text) = match answer.and_then(|answer| answer) {
                Ok((status, body)) => (status == StatusCode::OK, String::from_utf8_lossy(&body).into_owned()),
                Err(why) => (false, why),
            };
            failures += usize::from(!ok);
            say!("{at}: {}", text.trim_end().replace('\n', &format!("\n{at}: ")));
        }
        Ok(failures)
    });
    match failures.map_err(Failed::Running)? {
        0 => Ok(()),
        some => Err(Failed::Running(format!("{some} of {} did not hear it", gateways.len()))),
    }
}

/// Prints the plans for all losses of one site, and of two if asked for.
fn plan_all(sites: &Sites, times: f64, pairs: bool) -> Result<(), String> {
    let names: Vec<String> = sites.sites.iter().map(|site| site.name.clone()).collect();
    let mut losses: Vec<Vec<String>> = names.iter().map(|name| vec![name.clone()]).collect();
    if pairs {
        let pairs = names
            .iter()
            .enumerate()
            .flat_map(|(n, one)| names[n + 1..].iter().map(|two| vec![one.clone(), two.clone()]));
        losses.extend(pairs);
    }
    for lost in losses {
        let left = sites.without(&lost, times);
        let made = plan(&left)?;
        say!("losing `{}`: {}", lost.join("` and `"), summary(&left, &made));
        for (place, site) in left.sites.iter().enumerate().filter(|(_, site)| !lost.contains(&site.name)) {
            say!("  `{}` is {:.0}% used{}", site.name, made.used[place] * 100.0, gain(&made, place));
        }
        say!(
            "  a fixed order would serve {:.1}% of the worth, this plan {:.1}%",
            worth_fraction(&made, total_worth(&left, &greedy(&left))) * 100.0,
            worth_fraction(&made, made.served_worth) * 100.0
        );
    }
    Ok(())
}

/// A worth as a fraction of the total worth that is asked for.
fn worth_fraction(made: &Plan, worth: f64) -> f64 {
    worth / made.requested_worth.max(f64::MIN_POSITIVE)
}

/// What one more worker at a site would gain, in words.
fn gain(made: &Plan, place: usize) -> String {
    match made.marginal_worth[place] {
        more if more > 0.0 => format!("; one worker more there would serve {more:.1} of worth a second"),
        _ => String::new(),
    }
}

/// What is refused, by plan and class, in one line.
fn summary(sites: &Sites, made: &Plan) -> String {
    let mut sums: Vec<(String, f64, f64)> = Vec::new();
    for part in &made.placements {
        let load = &sites.loads[part.load];
        let name = format!("{} of `{}`", load.class, load.plan);
        if !sums.iter().any(|(known, ..)| *known == name) {
            sums.push((name.clone(), 0.0, 0.0));
        }
        for (_, refused, asked) in sums.iter_mut().filter(|(known, ..)| *known == name) {
            *refused += part.refused * load.rate;
            *asked += load.rate;
        }
    }
    let parts: Vec<String> = sums
        .iter()
        .filter(|(_, refused, asked)| *refused > PRINTED_SHARE_MIN * asked)
        .map(|(name, refused, asked)| format!("{:.0}% of {name}", refused / asked * 100.0))
        .collect();
    if parts.is_empty() {
        "nothing is refused".into()
    } else {
        format!("refuses {}", parts.join(", "))
    }
}

/// Prints the plan for one loss in full.
fn what_if(sites: &Sites, lose: &[String], times: f64) -> Result<(), String> {
    let left = sites.without(lose, times);
    let made = plan(&left)?;
    say!(
        "{}; {:.1}% of the worth is served",
        summary(&left, &made),
        worth_fraction(&made, made.served_worth) * 100.0
    );
    say!(
        "{:<10} {:<10} {:<8} {:>8}  {:<32} {:>8}",
        "site",
        "plan",
        "class",
        "a second",
        "goes to",
        "refused"
    );
    for part in &made.placements {
        let load = &left.loads[part.load];
        let goes: Vec<String> = part
            .shares
            .iter()
            .map(|(at, share)| format!("{} {:.0}%", left.sites[*at].name, share * 100.0))
            .collect();
        say!(
            "{:<10} {:<10} {:<8} {:>8.1}  {:<32} {:>7.0}%",
            load.site,
            load.plan,
            load.class,
            load.rate,
            goes.join(", "),
            part.refused * 100.0
        );
    }
    for (place, site) in left.sites.iter().enumerate().filter(|(_, site)| !lose.contains(&site.name)) {
        say!("`{}` is {:.0}% used{}", site.name, made.used[place] * 100.0, gain(&made, place));
    }
    say!("refused first, as load grows from this:");
    for refusal in Plan::refusals(&left)? {
        let load = &left.loads[refusal.load];
        match refusal.threshold {
            Some(from) => {
                say!("  {} of `{}` at `{}`, from {from:.2} times on", load.class, load.plan, load.site)
            }
            None => {
                say!("  {} of `{}` at `{}`, at no load that was looked at", load.class, load.plan, load.site)
            }
        }
    }
    Ok(())
}

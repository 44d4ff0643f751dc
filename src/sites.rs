//! `hingestage sites`: plans for the loss of a site, made ahead and told in words.

use crate::Failed;
use clap::{Subcommand, ValueEnum};
use hingestage_gateway::config::Config;
use hingestage_gateway::sites::{PlanFuture, SitePlans};
use hingestage_keep::call::Way;
use hingestage_print::say;
use hingestage_sites::{greedy, plan, read, worth, Ahead, Plan, Sites, Who};
use hyper::{Method, StatusCode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Below this a share is not worth a line.
const SHARE: f64 = 5e-4;

/// What is to be done with sites.
#[derive(Subcommand)]
pub enum Task {
    /// Checks a file of sites; a fault is named with its field and place, and ends with 2.
    Check {
        /// The file; see `deploy/sites.example.lisp`.
        file: PathBuf,
    },
    /// Tells for every loss of one site where its load goes, what is refused and what would help.
    Plan {
        /// The file.
        file: PathBuf,
        /// Loads as many times as high.
        #[arg(long, default_value_t = 1.0, value_parser = times)]
        load: f64,
        /// The loss of every two sites as well.
        #[arg(long)]
        pairs: bool,
        /// Writes a page with plots here: what is refused as load grows, for each loss.
        #[arg(long, value_name = "FILE")]
        page: Option<PathBuf>,
    },
    /// Tells of one loss in full: each load, and from what load on it is refused, the first refused first.
    WhatIf {
        /// The file.
        file: PathBuf,
        /// The sites that are lost; none shows the day as it is.
        #[arg(long, value_name = "SITE")]
        lose: Vec<String>,
        /// Loads as many times as high.
        #[arg(long, default_value_t = 1.0, value_parser = times)]
        load: f64,
    },
    /// Shows what gateways believe of each site, by their operators' addresses.
    Show {
        /// The operators' addresses.
        #[arg(required = true, value_name = "ADDRESS")]
        gateways: Vec<SocketAddr>,
    },
    /// Tells gateways what to take a site for; ends with 1 where one of them did not hear it.
    Declare {
        /// The site.
        site: String,
        /// What it is to be taken for.
        word: Word,
        /// The operators' addresses.
        #[arg(required = true, value_name = "ADDRESS")]
        gateways: Vec<SocketAddr>,
    },
}

/// What an operator says of a site.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Word {
    /// Nothing goes there, whatever answers.
    Lost,
    /// All goes there, whatever fails; a return that is under way is hastened to its end.
    Well,
    /// A return goes no further than it is.
    Hold,
    /// What was said is taken back: evidence alone counts.
    Nothing,
}

/// A gateway that has not answered by then is not there.
const ANSWERS: Duration = Duration::from_secs(3);

fn times(text: &str) -> Result<f64, String> {
    let times: f64 = text.trim_start_matches('x').parse().map_err(|_| format!("`{text}` is no multiple"))?;
    if (0.01..=100.0).contains(&times) {
        Ok(times)
    } else {
        Err(format!("{times} is not between 0.01 and 100"))
    }
}

/// The plans of a gateway's file, and the way to make them anew: on a thread of their own.
pub fn planned(file: Sites, config: &Config) -> Result<SitePlans, String> {
    let settings = &config.settings;
    let who = Who { number: settings.me, gateways: settings.instances, zone: settings.zone.0.clone() };
    let (plans, classes) = (config.names.plans.clone(), config.names.classes.clone());
    let ahead = Ahead::new(&file, &who, &plans, &classes)?;
    let replan = move |times: BTreeMap<(usize, usize), f64>| -> PlanFuture {
        let named = |((plan, class), times): ((usize, usize), f64)| {
            Some(((plans.get(plan)?.clone(), classes.get(class)?.clone()), times))
        };
        let scaled = file.scaled(&times.into_iter().filter_map(named).collect());
        let (who, plans, classes) = (who.clone(), plans.clone(), classes.clone());
        let made = tokio::task::spawn_blocking(move || Ahead::new(&scaled, &who, &plans, &classes).ok());
        Box::pin(async move { made.await.ok().flatten() })
    };
    Ok(SitePlans { ahead, replan: Rc::new(replan) })
}

/// Does it.
pub fn run(task: Task) -> Result<(), Failed> {
    let load = |file: &Path| hingestage_form::load(file, read).map_err(Failed::Asked);
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
            if let Some(strange) = lose.iter().find(|name| sites.site(name).is_none()) {
                return Err(Failed::Asked(format!("there is no site `{strange}`")));
            }
            what_if(&sites, &lose, times).map_err(Failed::Running)
        }
        Task::Show { gateways } => ask(&gateways, &Method::GET, "/sites"),
        Task::Declare { site, word, gateways } => {
            let word = word.to_possible_value().map_or(String::new(), |word| word.get_name().to_owned());
            ask(&gateways, &Method::POST, &format!("/sites/{site}/{word}"))
        }
    }
}

/// Asks each gateway the same, and says what it answers.
fn ask(gateways: &[SocketAddr], method: &Method, path: &str) -> Result<(), Failed> {
    let (all, method, path) = (gateways.to_vec(), method.clone(), path.to_owned());
    let unheard = crate::block_on(async move {
        let mut unheard = 0;
        for at in all {
            let mut way = Way::new(at);
            let call = way.call(method.clone(), &path, Vec::new());
            let answer = tokio::time::timeout(ANSWERS, call).await.map_err(|_| "no answer".to_owned());
            let (heard, text) = match answer.and_then(|answer| answer) {
                Ok((status, body)) => (status == StatusCode::OK, String::from_utf8_lossy(&body).into_owned()),
                Err(why) => (false, why),
            };
            unheard += usize::from(!heard);
            say!("{at}: {}", text.trim_end().replace('\n', &format!("\n{at}: ")));
        }
        Ok(unheard)
    });
    match unheard.map_err(Failed::Running)? {
        0 => Ok(()),
        some => Err(Failed::Running(format!("{some} of {} did not hear it", gateways.len()))),
    }
}

fn plan_all(sites: &Sites, times: f64, pairs: bool) -> Result<(), String> {
    let names: Vec<String> = sites.sites.iter().map(|site| site.name.clone()).collect();
    let mut losses: Vec<Vec<String>> = names.iter().map(|name| vec![name.clone()]).collect();
    if pairs {
        let two = names
            .iter()
            .enumerate()
            .flat_map(|(n, one)| names[n + 1..].iter().map(|two| vec![one.clone(), two.clone()]));
        losses.extend(two);
    }
    for lost in losses {
        let left = sites.without(&lost, times);
        let made = plan(&left)?;
        say!("losing `{}`: {}", lost.join("` and `"), summary(&left, &made));
        for (place, site) in left.sites.iter().enumerate().filter(|(_, site)| !lost.contains(&site.name)) {
            say!("  `{}` is {:.0}% used{}", site.name, made.used[place] * 100.0, helps(&made, place));
        }
        say!(
            "  a fixed order would serve {:.1}% of the worth, this plan {:.1}%",
            part(&made, worth(&left, &greedy(&left))) * 100.0,
            part(&made, made.worth.0) * 100.0
        );
    }
    Ok(())
}

/// A part of what is asked, in worth.
fn part(made: &Plan, worth: f64) -> f64 {
    worth / made.worth.1.max(f64::MIN_POSITIVE)
}

fn helps(made: &Plan, place: usize) -> String {
    match made.one_more[place] {
        more if more > 0.0 => format!("; one worker more there would serve {more:.1} of worth a second"),
        _ => String::new(),
    }
}

/// What is refused by plan and class, in a line.
fn summary(sites: &Sites, made: &Plan) -> String {
    let mut sums: Vec<(String, f64, f64)> = Vec::new();
    for part in &made.parts {
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
        .filter(|(_, refused, asked)| *refused > SHARE * asked)
        .map(|(name, refused, asked)| format!("{:.0}% of {name}", refused / asked * 100.0))
        .collect();
    if parts.is_empty() {
        "nothing is refused".into()
    } else {
        format!("refuses {}", parts.join(", "))
    }
}

fn what_if(sites: &Sites, lose: &[String], times: f64) -> Result<(), String> {
    let left = sites.without(lose, times);
    let made = plan(&left)?;
    say!("{}; {:.1}% of the worth is served", summary(&left, &made), part(&made, made.worth.0) * 100.0);
    say!(
        "{:<10} {:<10} {:<8} {:>8}  {:<32} {:>8}",
        "site",
        "plan",
        "class",
        "a second",
        "goes to",
        "refused"
    );
    for part in &made.parts {
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
        say!("`{}` is {:.0}% used{}", site.name, made.used[place] * 100.0, helps(&made, place));
    }
    say!("refused first, as load grows from this:");
    for refusal in Plan::refusals(&left)? {
        let load = &left.loads[refusal.load];
        match refusal.from {
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

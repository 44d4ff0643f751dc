//! Sites of a rehearsal: who belongs to which, how one is lost, and how well the rest served meanwhile, against what
//! could have been served by somebody who knew everything. No I/O.

use crate::script::{Fault, Group, Harm, Script, Timed};
use crate::sums::Try;
use hingestage_rules::Class;
use hingestage_s_expression::Form;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Sites that a rehearsal may have, by their names.
pub const NAMES: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
/// The span that service is weighed over.
const WINDOW: Duration = Duration::from_secs(1);
/// The part of what workers can do at the most that the best of plans is taken to use: they queue beyond it.
const USABLE: f64 = 0.9;
/// An account counts for steadiness in a span where it asked so often.
const ASKS: usize = 4;
/// How long an account is looked at for it.
const STEADY: Duration = Duration::from_secs(2);

/// Who belongs to a site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Place {
    /// Gateways, by their numbers.
    pub gateways: Vec<usize>,
    /// Workers, by their places in the script.
    pub workers: Vec<usize>,
    /// Whether the counter is there.
    pub counter: bool,
}

/// How a site is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    /// Its gateways are killed and its workers are gone; they return as new and cold ones.
    Killed,
    /// All of it stands still.
    Stalled,
    /// Links between it and the others are harmed; it goes on for clients that reach it.
    Cut(Harm),
    /// Its workers drain, alive as they are, and are listed again.
    Unlisted,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Loss::Killed => f.write_str("killed"),
            Loss::Stalled => f.write_str("stalled"),
            Loss::Unlisted => f.write_str("unlisted"),
            Loss::Cut(harm) => write!(f, "(cut {harm})"),
        }
    }
}

/// The place of a site's name.
///
/// # Errors
/// There is no such site; the message names the field and its place.
pub fn named(form: &Form, sites: usize) -> Result<usize, String> {
    let name = form.text("site")?;
    let place = NAMES.iter().take(sites).position(|known| *known == name);
    place.ok_or_else(|| form.error("site", &format!("no site `{name}`; there are {sites}, from a")))
}

/// The site of a gateway or a worker among some; the first where there are none.
pub fn of(sites: &[Place], has: impl Fn(&Place) -> bool) -> usize {
    sites.iter().position(has).unwrap_or(0)
}

/// What a span of time asked and got of one plan and class.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    /// What a request is worth, and its work on the mean, seconds.
    worth: f64,
    work: f64,
    asked: f64,
    served: f64,
    refused: f64,
}

/// How a rehearsal's sites served: asked, served and refused of each plan and class, by second.
#[derive(Clone, Debug, Default)]
pub struct Service {
    windows: Vec<BTreeMap<(usize, bool), Got>>,
    /// Work that can be done in each, seconds.
    able: Vec<f64>,
    /// By account and span: asked, and served.
    accounts: BTreeMap<(u64, usize), (usize, usize)>,
    /// When sites were lost, in words, and until when.
    losses: Vec<(String, Duration, Duration)>,
}

impl Service {
    /// Of a script's sites, with nothing asked yet.
    pub fn new(script: &Script) -> Service {
        let windows = script.lasts.as_secs() as usize + 1;
        let able = (0..windows).map(|n| able(script, WINDOW * n as u32)).collect();
        let lost = |timed: &Timed| {
            let Fault::Site(..) = timed.fault else { return None };
            Some((timed.fault.to_string(), timed.at, over(script, timed)))
        };
        let losses = script.faults.iter().filter_map(lost).collect();
        Service { windows: vec![BTreeMap::new(); windows], able, accounts: BTreeMap::new(), losses }
    }

    /// Takes in a request inside its quota and what came of it.
    pub fn take(&mut self, group: &Group, one: &Try) {
        let n = one.at.as_secs() as usize;
        let (Some(window), true) = (self.windows.get_mut(n), one.inside) else { return };
        let push = one.asked.class == Class::Push;
        let got = window.entry((one.asked.plan, push)).or_default();
        let served = f64::from(u8::from(one.status == Some(200)));
        let refused = f64::from(u8::from(matches!(one.status, Some(429 | 503))));
        got.worth = if push { group.worth.1 } else { group.worth.0 };
        got.work += (work(&one.asked.line) - got.work) / (got.asked + 1.0);
        (got.asked, got.served, got.refused) = (got.asked + 1.0, got.served + served, got.refused + refused);
        let span = (one.at.as_millis() / STEADY.as_millis()) as usize;
        let account = self.accounts.entry((one.asked.account, span)).or_default();
        *account = (account.0 + 1, account.1 + usize::from(one.status == Some(200)));
    }

    fn span(&self, from: Duration, to: Duration) -> std::ops::Range<usize> {
        let last = self.windows.len();
        (from.as_secs() as usize).min(last)..(to.as_secs() as usize).min(last)
    }

    /// What was served in a span, in worth, as a part of what could have been; 1 of nothing.
    pub fn worth(&self, from: Duration, to: Duration) -> f64 {
        let (served, best) = self.span(from, to).fold((0.0, 0.0), |(served, best), n| {
            let got: f64 = self.windows[n].values().map(|got| got.served * got.worth).sum();
            (served + got, best + best_of(&self.windows[n], self.able[n]).max(got))
        });
        if best > 0.0 {
            served / best
        } else {
            1.0
        }
    }

    /// The part of all asked in a span that was refused though something worth less for its work was served in the
    /// same second.
    pub fn inversions(&self, from: Duration, to: Duration) -> f64 {
        let (mut all, mut inverted) = (0.0, 0.0);
        for n in self.span(from, to) {
            let mut order: Vec<Got> = self.windows[n].values().copied().collect();
            order.sort_by(|a, b| a.value().total_cmp(&b.value()));
            all += order.iter().map(|got| got.asked).sum::<f64>();
            for (at, high) in order.iter().enumerate().rev() {
                let below: f64 =
                    order[..at].iter().filter(|low| low.value() < high.value()).map(|low| low.served).sum();
                inverted += high.refused.min(below);
            }
        }
        if all > 0.0 {
            inverted / all
        } else {
            0.0
        }
    }

    /// How much of an account's requests of some seconds came to the same, on the mean: 1 where each account is
    /// served whole or not at all.
    pub fn steady(&self, from: Duration, to: Duration) -> f64 {
        let length = STEADY.as_secs() as usize;
        let of_span = |n: usize| (from.as_secs() as usize..to.as_secs() as usize).contains(&(n * length));
        let often = self.accounts.iter().filter(|((_, n), (asked, _))| of_span(*n) && *asked >= ASKS);
        let parts = often.map(|(_, (asked, served))| (*served).max(asked - served) as f64 / *asked as f64);
        let (sum, all) = parts.fold((0.0, 0), |(sum, all), part| (sum + part, all + 1));
        if all > 0 {
            sum / f64::from(all)
        } else {
            1.0
        }
    }

    /// For each loss, in words: how long until served worth was back at nine tenths of what could be, and stayed so
    /// for the second after; and the same after its end.
    pub fn recoveries(&self) -> Vec<String> {
        let good = |n: usize| {
            let at = Duration::from_secs(n as u64);
            n + 1 >= self.windows.len() || self.worth(at, at + 2 * WINDOW) >= 0.9
        };
        let after = |from: Duration| {
            let first = from.as_secs() as usize;
            (first..self.windows.len())
                .find(|n| good(*n))
                .map_or("never".into(), |n| format!("{} s", n - first))
        };
        let told = |(what, at, ends): &(String, Duration, Duration)| {
            format!("{what}: planned service after {}, all of it {} after the end", after(*at), after(*ends))
        };
        self.losses.iter().map(told).collect()
    }
}

impl Got {
    /// What a request is worth for its work.
    fn value(&self) -> f64 {
        self.worth / self.work.max(1e-6)
    }
}

/// The work that a request asks for, seconds.
fn work(line: &str) -> f64 {
    let ms = line.split("work=").nth(1).and_then(|rest| rest.split('&').next());
    ms.and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(0.0) / 1e3
}

/// The most that could be served: by worth for the work, the best first.
fn best_of(window: &BTreeMap<(usize, bool), Got>, able: f64) -> f64 {
    let mut order: Vec<&Got> = window.values().collect();
    order.sort_by(|a, b| b.value().total_cmp(&a.value()));
    let mut left = able;
    let mut best = 0.0;
    for got in order {
        let part = (left / (got.asked * got.work).max(1e-9)).clamp(0.0, 1.0);
        best += part * got.asked * got.worth;
        left -= part * got.asked * got.work;
    }
    best
}

/// When a site that was lost returns: at the end where not said.
fn over(script: &Script, timed: &Timed) -> Duration {
    timed.lasts.map_or(script.lasts, |_| timed.ends())
}

/// Work that workers can do in the second from `at` on, in seconds: all but those of sites that are lost to all.
fn able(script: &Script, at: Duration) -> f64 {
    let ends = at + WINDOW;
    let lost = |slot: usize| {
        script.faults.iter().any(|timed| {
            let Fault::Site(site, loss) = &timed.fault else { return false };
            let until = over(script, timed);
            let here = script.fleet.sites.get(*site).is_some_and(|place| place.workers.contains(&slot));
            here && !matches!(loss, Loss::Cut(_)) && timed.at < ends && at < until
        })
    };
    let workers = (0..script.fleet.workers).filter(|slot| !lost(*slot)).count();
    (workers * script.fleet.cores) as f64 * USABLE * WINDOW.as_secs_f64()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::file::read;
    use hingestage_rules::asked::Asked;

    const FILE: &str = "(rehearsal (name x) (seconds 20)
        (fleet (gateways 2) (workers 2) (cores 1)
               (site a (gateways 0) (workers 0)) (site b (gateways 1) (workers 1)))
        (plan (name low) (quota 1000 1000)) (plan (name high) (quota 1000 1000))
        (accounts (plan low) (worth 1 2)) (accounts (plan high) (worth 4 8))
        (at 5 (site b killed) (for 5)))";

    fn one(plan: usize, account: u64, at: Duration, status: u16) -> Try {
        let asked = Asked {
            gateway: 0,
            life: 0,
            class: Class::Pull,
            account,
            plan,
            units: 1.0,
            number: 0,
            line: "GET /pull/of/1?work=100&true=1".into(),
            body: Vec::new(),
        };
        Try { asked, at, inside: true, status: Some(status), sent: None, worker: None, took: None }
    }

    /// Each second so many of the low plan and of the high one are asked, and so many served.
    fn service(low: impl Fn(u64) -> (u64, u64), high: impl Fn(u64) -> (u64, u64)) -> Service {
        let script = read(FILE).unwrap();
        let mut service = Service::new(&script);
        for second in 0..20 {
            for (plan, (asked, served)) in [low(second), high(second)].into_iter().enumerate() {
                for n in 0..asked {
                    let at = Duration::from_millis(second * 1_000 + n);
                    let status = if n < served { 200 } else { 429 };
                    service.take(&script.groups[plan], &one(plan, 10 * plan as u64 + n % 2, at, status));
                }
            }
        }
        service
    }

    const ALL: (Duration, Duration) = (Duration::ZERO, Duration::from_secs(20));

    #[test]
    fn the_best_is_what_the_workers_that_are_left_can_do_by_worth() {
        // 0.1 s of work each: 18 a second with both sites, 9 with one.
        let service = service(|_| (9, 9), |_| (9, 9));
        assert_eq!(service.worth(ALL.0, Duration::from_secs(5)), 1.0);
        assert_eq!(service.able[4..11], [1.8, 0.9, 0.9, 0.9, 0.9, 0.9, 1.8]);
        let lost = service_in_loss(0, 9);
        assert!((lost.worth(Duration::from_secs(5), Duration::from_secs(10)) - 1.0).abs() < 1e-9);
        let wrong = service_in_loss(9, 0);
        assert!((wrong.worth(Duration::from_secs(5), Duration::from_secs(10)) - 0.25).abs() < 1e-9);
    }

    /// While the site is lost, so many of each plan are served of nine.
    fn service_in_loss(low: u64, high: u64) -> Service {
        let of = |served: u64| move |s: u64| (9, if (5..10).contains(&s) { served } else { 9 });
        service(of(low), of(high))
    }

    #[test]
    fn a_refusal_of_the_worthier_beside_service_of_the_less_worthy_is_an_inversion() {
        let (from, to) = (Duration::from_secs(5), Duration::from_secs(10));
        assert_eq!(service_in_loss(0, 9).inversions(from, to), 0.0);
        assert!((service_in_loss(9, 0).inversions(from, to) - 0.5).abs() < 1e-9);
        assert!((service_in_loss(2, 6).inversions(from, to) - 2.0 / 18.0).abs() < 1e-9);
    }

    #[test]
    fn an_account_that_is_served_in_part_is_not_steady() {
        let (from, to) = (Duration::from_secs(6), Duration::from_secs(10));
        assert_eq!(service_in_loss(0, 9).steady(from, to), 1.0);
        assert!(service_in_loss(5, 9).steady(from, to) < 0.85);
    }

    #[test]
    fn recoveries_tell_how_long_it_took() {
        let slow = |s: u64| (9, if s == 5 || s == 6 || s == 10 { 0 } else { 9 });
        let low = |s: u64| (9, if (5..10).contains(&s) { 0 } else { 9 });
        let told = service(low, slow).recoveries();
        assert_eq!(told, ["(site b killed): planned service after 2 s, all of it 1 s after the end"]);
    }
}

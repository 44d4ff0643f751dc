//! What a gateway tells its belief about sites, and who hears of it. What follows from the evidence is decided in
//! `hingestage_failover`, and plans are made ahead in `hingestage_sites`; the decisions are told of each new view.

use hingestage_dataplane::driver::Driver;
use hingestage_failover::{
    AttemptEvidence, LoadDrift, LossCause, MonitorConfig, Override, Shedder, SiteMonitor, SiteReport,
    SiteStatus,
};
use hingestage_platform::Platform;
use hingestage_policy::{
    Availability, ClassId, Event, ListScope, Micros, Outcome, PlanId, WarmUpRules, WorkerId, WorkerInfo,
};
use hingestage_sites::FailoverPlans;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Looks come with what happens, but not more often than this, µs ...
const LOOK: Micros = 50_000;
/// ... and this often where nothing does.
const IDLE_LOOK: Duration = Duration::from_millis(250);
/// Gateways that probe a lost site at the pace of one; more of them probe less often each, ...
const PROBERS: u32 = 12;
/// ... but no less often than this, µs.
const PROBE_GAP_MAX: Micros = 3_000_000;
/// How often each site's evidence goes into the log while it is not well.
const TOLD_AGAIN: Micros = 10_000_000;

/// Plans made for loads so many times as high as the file says, by plan and class; none where none can be made.
pub type Plans = Pin<Box<dyn Future<Output = Option<FailoverPlans>>>>;

/// Makes plans for such multiples of the file's loads.
pub type Again = Rc<dyn Fn(BTreeMap<(usize, usize), f64>) -> Plans>;

/// Plans made ahead, and the way to make them anew without holding up what is served.
#[derive(Clone)]
pub struct Planned {
    /// Those of the file's own loads.
    pub ahead: FailoverPlans,
    /// Makes others.
    pub again: Again,
}

/// Sites as one gateway knows them.
pub struct Sites<P: Platform> {
    driver: Weak<Driver<P>>,
    platform: P,
    belief: RefCell<SiteMonitor>,
    order: RefCell<Shedder>,
    /// The part of all work that can't be served while some sites are lost, by the plan made ahead.
    refused: RefCell<BTreeMap<BTreeSet<usize>, f64>>,
    /// Loads against what plans were made for, and how to make others.
    drift: RefCell<LoadDrift>,
    planned: RefCell<Option<Planned>>,
    lost: RefCell<BTreeSet<usize>>,
    looked: Cell<Micros>,
    short: Cell<u64>,
    /// What each site was last said to be, and when.
    said: RefCell<BTreeMap<String, (&'static str, Micros)>>,
}

/// What an attempt's end tells of the worker's site.
fn tells(outcome: Outcome, took: Micros) -> AttemptEvidence {
    match outcome {
        Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Unusable => AttemptEvidence::Responded(took),
        Outcome::ConnectFailed | Outcome::Reset | Outcome::Timeout => AttemptEvidence::Failed,
        Outcome::Cancelled | Outcome::NotSent => AttemptEvidence::Inconclusive,
    }
}

impl<P: Platform> Sites<P> {
    /// Those of a gateway's new life: of a plan where operators made one, and otherwise each zone is a site.
    pub fn new(
        driver: &Rc<Driver<P>>,
        planned: Option<Planned>,
        gateways: u32,
        rules: &WarmUpRules,
    ) -> Rc<Self> {
        let figures = MonitorConfig::default();
        let gap = figures.probe_interval * Micros::from(gateways.div_ceil(PROBERS).max(1));
        let figures =
            MonitorConfig { probe_interval: gap.min(PROBE_GAP_MAX), warm_up: rules.warm_up_time, ..figures };
        let ahead = planned.as_ref().map_or_else(FailoverPlans::default, |planned| planned.ahead.clone());
        let mut belief = SiteMonitor::new(figures, &ahead.sites);
        belief.set_shares(ahead.shares);
        Rc::new(Sites {
            driver: Rc::downgrade(driver),
            platform: driver.platform.clone(),
            belief: RefCell::new(belief),
            order: RefCell::new(Shedder::new(ahead.tiers)),
            refused: RefCell::new(ahead.refused),
            drift: RefCell::new(LoadDrift::new(ahead.rates, driver.micros())),
            planned: RefCell::new(planned),
            lost: RefCell::default(),
            looked: Cell::new(0),
            short: Cell::new(0),
            said: RefCell::default(),
        })
    }

    /// The operators' file was read again: other loads, capacities, places to go to and worths count from now on, also
    /// in the middle of a loss; what is believed of each site stays. Which sites there are, and of which zones, is for
    /// a restart: the evidence is kept by site.
    pub fn go_by(self: &Rc<Self>, planned: Option<Planned>) {
        let Some(driver) = self.driver.upgrade() else { return };
        let sites_of =
            |planned: &Option<Planned>| planned.as_ref().map(|planned| planned.ahead.sites.clone());
        if sites_of(&planned) != sites_of(&self.planned.borrow()) {
            return self.platform.log(format_args!("sites: other sites take a restart; the old plans stay"));
        }
        let Some(Planned { ahead, .. }) = planned.clone() else { return };
        self.belief.borrow_mut().set_shares(ahead.shares);
        *self.order.borrow_mut() = Shedder::new(ahead.tiers);
        *self.refused.borrow_mut() = ahead.refused;
        *self.drift.borrow_mut() = LoadDrift::new(ahead.rates, driver.micros());
        *self.planned.borrow_mut() = planned;
        // What is lost is refused anew, by the new plan.
        self.lost.borrow_mut().clear();
        self.platform.log(format_args!("sites: plans of the file as it is now"));
        self.look(&driver);
    }

    /// Looks now and then for as long as the gateway lives, whatever else happens.
    pub async fn run(self: Rc<Self>) {
        while let Some(driver) = self.driver.upgrade() {
            self.look(&driver);
            drop(driver);
            self.platform.sleep(IDLE_LOOK).await;
        }
    }

    /// News of the workers.
    pub fn listed(&self, workers: &[WorkerInfo], scope: ListScope) {
        let mut belief = self.belief.borrow_mut();
        if !matches!(scope, ListScope::Delta | ListScope::Failed) {
            belief.retain_workers(&workers.iter().map(|worker| worker.id.0).collect());
        }
        for worker in workers {
            match worker.availability {
                Availability::Gone => belief.remove_worker(worker.id.0),
                state => {
                    let ready = state == Availability::Ready;
                    belief.upsert_worker(worker.id.0, &worker.zone.0, ready, worker.started);
                }
            }
        }
    }

    /// Somebody asks.
    pub fn asks(&self, plan: Option<PlanId>, class: ClassId) {
        if let Some(plan) = plan {
            self.order.borrow_mut().record_request((plan.0, class.0));
            self.drift.borrow_mut().record_request((plan.0, class.0));
        }
    }

    /// An attempt goes out whole.
    pub fn sent(&self, now: Micros, worker: WorkerId) {
        self.belief.borrow_mut().attempt_sent(now, worker.0);
    }

    /// An attempt ended.
    pub fn ended(self: &Rc<Self>, now: Micros, worker: WorkerId, outcome: Outcome, took: Duration) {
        self.belief.borrow_mut().attempt_finished(now, worker.0, tells(outcome, took.as_micros() as Micros));
        if now >= self.looked.get() + LOOK {
            self.driver.upgrade().into_iter().for_each(|driver| self.look(&driver));
        }
    }

    /// Goes on as time passes, and tells the decisions where that changes something.
    fn look(self: &Rc<Self>, driver: &Rc<Driver<P>>) {
        let now = driver.micros();
        self.looked.set(now);
        let short = driver.requests_without_worker();
        let mut order = self.order.borrow_mut();
        order.record_unserved(short.saturating_sub(self.short.replace(short)));
        order.poll(now, self.belief.borrow().is_degraded());
        let lost = self.belief.borrow().lost_sites();
        if lost != *self.lost.borrow() {
            let part = self.refused.borrow().get(&lost).copied().unwrap_or(0.0);
            order.raise_to(part);
            self.platform.log(format_args!(
                "sites: {} lost; {:.0}% of the work refused at first",
                lost.len(),
                part * 100.0
            ));
            *self.lost.borrow_mut() = lost;
        }
        let refused = order.refused();
        drop(order);
        let view = self.belief.borrow_mut().poll(now, &refused);
        self.say(now);
        self.plan_again(now);
        if let Some(view) = view {
            driver.handle_event(Event::Sites(view));
        }
    }

    /// Has plans made anew where loads have moved; the last ones are gone by until there are others.
    fn plan_again(self: &Rc<Self>, now: Micros) {
        let Some(again) = self.planned.borrow().as_ref().map(|planned| planned.again.clone()) else { return };
        let Some(times) = self.drift.borrow_mut().poll(now) else { return };
        let (sites, plans) = (self.clone(), again(times));
        self.platform.spawn(async move {
            let Some(ahead) = plans.await else {
                return sites
                    .platform
                    .log(format_args!("sites: no plan for the load of now; the last one holds"));
            };
            // The file may have been read again meanwhile: what was made for the one before is none of it.
            let same = sites.planned.borrow().as_ref().is_some_and(|now| Rc::ptr_eq(&now.again, &again));
            if !same {
                return;
            }
            sites.platform.log(format_args!("sites: plans made anew for the load of now"));
            sites.belief.borrow_mut().set_shares(ahead.shares);
            *sites.refused.borrow_mut() = ahead.refused;
        });
    }

    /// Logs what changes, and what is not well again after a while.
    fn say(&self, now: Micros) {
        if self.lost.borrow().is_empty() && self.said.borrow().is_empty() {
            return;
        }
        let belief = self.belief.borrow();
        let mut said = self.said.borrow_mut();
        for (name, standing, evidence) in belief.explain(now) {
            let word = word(standing);
            let last = said.get(name).copied();
            let again = last.is_some_and(|(_, at)| now >= at + TOLD_AGAIN);
            if last.map(|(word, _)| word) != Some(word) && (last.is_some() || word != "well") || again {
                self.platform.log(format_args!("site `{name}`: {word}: {evidence}"));
                said.insert(name.to_owned(), (word, now));
            }
            if word == "well" {
                said.remove(name);
            }
        }
    }

    /// What an operator says of a site.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn declare(self: &Rc<Self>, site: &str, what: &str) -> Result<(), String> {
        let what = match what {
            "lost" => Some(Override::Lost),
            "well" => Some(Override::Healthy),
            "hold" => Some(Override::Hold),
            "nothing" => None,
            other => return Err(format!("`{other}` is none of lost, well, hold and nothing")),
        };
        let driver = self.driver.upgrade().ok_or("the gateway ends")?;
        self.belief.borrow_mut().set_override(driver.micros(), site, what)?;
        self.look(&driver);
        Ok(())
    }

    /// What other gateways are told.
    pub fn to_tell(&self, now: Micros) -> SiteReport {
        let belief = self.belief.borrow();
        let heard = belief.response_ages(now).into_iter().map(|(name, ago)| (name.to_owned(), ago)).collect();
        SiteReport { response_ages: heard, level: self.order.borrow().level() }
    }

    /// What another gateway tells.
    pub fn told(&self, now: Micros, from: u32, word: &SiteReport) {
        let mut belief = self.belief.borrow_mut();
        word.response_ages
            .iter()
            .for_each(|(name, ago)| belief.record_peer_response(from, name, now.saturating_sub(*ago)));
        word.level.into_iter().for_each(|level| self.order.borrow_mut().record_peer_level(level));
    }

    /// What is believed, for operators.
    pub fn explain(&self, now: Micros) -> String {
        let mut text = String::new();
        for (name, standing, evidence) in self.belief.borrow().explain(now) {
            let _ = match standing {
                SiteStatus::Recovering(share) => {
                    writeln!(text, "site `{name}`: returning, {:.0}% of its load: {evidence}", share * 100.0)
                }
                standing => writeln!(text, "site `{name}`: {}: {evidence}", word(standing)),
            };
        }
        let lost = self.lost.borrow();
        if !lost.is_empty() {
            let part = self.refused.borrow().get(&lost).copied().unwrap_or(0.0);
            let _ = writeln!(text, "the plan refuses {:.0}% of all work", part * 100.0);
        }
        let order = self.order.borrow();
        let _ = writeln!(text, "level of refusal {:.3}", order.level().unwrap_or(0.0));
        for ((plan, class), part) in order.refused() {
            let _ = writeln!(text, "plan {plan}, class {class}: {:.0}% of accounts refused", part * 100.0);
        }
        text
    }
}

fn word(standing: SiteStatus) -> &'static str {
    match standing {
        SiteStatus::Healthy => "well",
        SiteStatus::Slow => "slow",
        SiteStatus::WarmingUp => "cold",
        SiteStatus::Lost(LossCause::Unresponsive) => "lost",
        SiteStatus::Lost(LossCause::Unlisted) => "lost, none of its workers is listed",
        SiteStatus::Lost(LossCause::Declared) => "lost by an operator's word",
        SiteStatus::CutOff => "cut off from here",
        SiteStatus::Recovering(_) => "returning",
    }
}

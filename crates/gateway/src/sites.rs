//! Failure detection and failover of sites: passes evidence to `hingestage_failover`, applies plans made by
//! `hingestage_sites`, and feeds each new view to the decisions.

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

/// Minimum time between updates of the view that attempts trigger, µs.
const UPDATE_INTERVAL_MIN: Micros = 50_000;
/// Interval of updates without attempts.
const IDLE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of gateways that probe a lost site at full rate; in larger fleets each probes less often.
const FULL_RATE_PROBERS: u32 = 12;
/// Maximum time between two probes of a gateway, µs.
const PROBE_GAP_MAX: Micros = 3_000_000;
/// Interval at which the evidence on an unhealthy site is logged again, µs.
const LOG_INTERVAL: Micros = 10_000_000;

/// A running computation of plans; its result is `None` if there is no plan.
pub type PlanFuture = Pin<Box<dyn Future<Output = Option<FailoverPlans>>>>;

/// Starts to compute plans for multiples of the loads in the file, by plan and class.
pub type Replan = Rc<dyn Fn(BTreeMap<(usize, usize), f64>) -> PlanFuture>;

/// Plans made in advance, and the means to compute others in the background.
#[derive(Clone)]
pub struct SitePlans {
    /// Plans for the loads in the file.
    pub ahead: FailoverPlans,
    /// Computes plans for other loads.
    pub replan: Replan,
}

/// The state of all sites as seen by one gateway.
pub struct Sites<P: Platform> {
    driver: Weak<Driver<P>>,
    platform: P,
    belief: RefCell<SiteMonitor>,
    order: RefCell<Shedder>,
    /// By set of lost sites, the part of all work that their plan refuses.
    refused: RefCell<BTreeMap<BTreeSet<usize>, f64>>,
    /// Compares the loads with those of the plans.
    drift: RefCell<LoadDrift>,
    plans: RefCell<Option<SitePlans>>,
    lost: RefCell<BTreeSet<usize>>,
    last_update: Cell<Micros>,
    short: Cell<u64>,
    /// The state that was last logged of each site, and when.
    logged: RefCell<BTreeMap<String, (&'static str, Micros)>>,
}

/// The evidence on a worker's site in the outcome of an attempt.
fn evidence(outcome: Outcome, took: Micros) -> AttemptEvidence {
    match outcome {
        Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Unusable => AttemptEvidence::Responded(took),
        Outcome::ConnectFailed | Outcome::Reset | Outcome::Timeout => AttemptEvidence::Failed,
        Outcome::Cancelled | Outcome::NotSent => AttemptEvidence::Inconclusive,
    }
}

impl<P: Platform> Sites<P> {
    /// Creates the state of a new incarnation. Without plans each zone is a site.
    pub fn new(
        driver: &Rc<Driver<P>>,
        plans: Option<SitePlans>,
        gateways: u32,
        rules: &WarmUpRules,
    ) -> Rc<Self> {
        let figures = MonitorConfig::default();
        let gap = figures.probe_interval * Micros::from(gateways.div_ceil(FULL_RATE_PROBERS).max(1));
        let figures =
            MonitorConfig { probe_interval: gap.min(PROBE_GAP_MAX), warm_up: rules.warm_up_time, ..figures };
        let ahead = plans.as_ref().map_or_else(FailoverPlans::default, |plans| plans.ahead.clone());
        let mut belief = SiteMonitor::new(figures, &ahead.sites);
        belief.set_shares(ahead.shares);
        Rc::new(Sites {
            driver: Rc::downgrade(driver),
            platform: driver.platform.clone(),
            belief: RefCell::new(belief),
            order: RefCell::new(Shedder::new(ahead.tiers)),
            refused: RefCell::new(ahead.refused),
            drift: RefCell::new(LoadDrift::new(ahead.rates, driver.micros())),
            plans: RefCell::new(plans),
            lost: RefCell::default(),
            last_update: Cell::new(0),
            short: Cell::new(0),
            logged: RefCell::default(),
        })
    }

    /// Applies plans from a reloaded file, also while sites are lost; the state of each site stays. The sites and their
    /// zones can't change without a restart, since evidence is kept by site.
    pub fn set_plans(self: &Rc<Self>, plans: Option<SitePlans>) {
        let Some(driver) = self.driver.upgrade() else { return };
        let sites_of = |plans: &Option<SitePlans>| plans.as_ref().map(|plans| plans.ahead.sites.clone());
        if sites_of(&plans) != sites_of(&self.plans.borrow()) {
            return self
                .platform
                .log(format_args!("sites: changed sites need a restart; the old plans stay in use"));
        }
        let Some(SitePlans { ahead, .. }) = plans.clone() else { return };
        self.belief.borrow_mut().set_shares(ahead.shares);
        *self.order.borrow_mut() = Shedder::new(ahead.tiers);
        *self.refused.borrow_mut() = ahead.refused;
        *self.drift.borrow_mut() = LoadDrift::new(ahead.rates, driver.micros());
        *self.plans.borrow_mut() = plans;
        // Makes the next update refuse the work of lost sites by the new plans.
        self.lost.borrow_mut().clear();
        self.platform.log(format_args!("sites: plans of the reloaded file are in use"));
        self.update(&driver);
    }

    /// Updates the view periodically until the gateway ends.
    pub async fn run(self: Rc<Self>) {
        while let Some(driver) = self.driver.upgrade() {
            self.update(&driver);
            drop(driver);
            self.platform.sleep(IDLE_UPDATE_INTERVAL).await;
        }
    }

    /// Applies a change of the list of workers.
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

    /// Counts a request.
    pub fn count_request(&self, plan: Option<PlanId>, class: ClassId) {
        if let Some(plan) = plan {
            self.order.borrow_mut().record_request((plan.0, class.0));
            self.drift.borrow_mut().record_request((plan.0, class.0));
        }
    }

    /// Records that an attempt was sent.
    pub fn sent(&self, now: Micros, worker: WorkerId) {
        self.belief.borrow_mut().attempt_sent(now, worker.0);
    }

    /// Records the outcome of an attempt.
    pub fn ended(self: &Rc<Self>, now: Micros, worker: WorkerId, outcome: Outcome, took: Duration) {
        self.belief.borrow_mut().attempt_finished(
            now,
            worker.0,
            evidence(outcome, took.as_micros() as Micros),
        );
        if now >= self.last_update.get() + UPDATE_INTERVAL_MIN {
            self.driver.upgrade().into_iter().for_each(|driver| self.update(&driver));
        }
    }

    /// Advances the state to the present, and feeds a changed view to the decisions.
    fn update(self: &Rc<Self>, driver: &Rc<Driver<P>>) {
        let now = driver.micros();
        self.last_update.set(now);
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
        self.log_changes(now);
        self.replan(now);
        if let Some(view) = view {
            driver.handle_event(Event::Sites(view));
        }
    }

    /// Computes new plans if loads have changed; the old plans stay in use until then.
    fn replan(self: &Rc<Self>, now: Micros) {
        let Some(replan) = self.plans.borrow().as_ref().map(|plans| plans.replan.clone()) else { return };
        let Some(factors) = self.drift.borrow_mut().poll(now) else { return };
        let (sites, plans) = (self.clone(), replan(factors));
        self.platform.spawn(async move {
            let Some(ahead) = plans.await else {
                return sites
                    .platform
                    .log(format_args!("sites: no plan for the current load; the last one stays in use"));
            };
            // Plans for a file that was replaced meanwhile are dropped.
            let same = sites.plans.borrow().as_ref().is_some_and(|now| Rc::ptr_eq(&now.replan, &replan));
            if !same {
                return;
            }
            sites.platform.log(format_args!("sites: new plans for the current load are in use"));
            sites.belief.borrow_mut().set_shares(ahead.shares);
            *sites.refused.borrow_mut() = ahead.refused;
        });
    }

    /// Logs changes of sites, and periodically the evidence on unhealthy ones.
    fn log_changes(&self, now: Micros) {
        if self.lost.borrow().is_empty() && self.logged.borrow().is_empty() {
            return;
        }
        let belief = self.belief.borrow();
        let mut logged = self.logged.borrow_mut();
        for (name, standing, evidence) in belief.explain(now) {
            let state = state_name(standing);
            let last = logged.get(name).copied();
            let due = last.is_some_and(|(_, at)| now >= at + LOG_INTERVAL);
            if last.map(|(state, _)| state) != Some(state) && (last.is_some() || state != "well") || due {
                self.platform.log(format_args!("site `{name}`: {state}: {evidence}"));
                logged.insert(name.to_owned(), (state, now));
            }
            if state == "well" {
                logged.remove(name);
            }
        }
    }

    /// Applies an operator's declaration on a site.
    ///
    /// # Errors
    /// The site or the state is unknown.
    pub fn declare(self: &Rc<Self>, site: &str, state: &str) -> Result<(), String> {
        let declared = match state {
            "lost" => Some(Override::Lost),
            "well" => Some(Override::Healthy),
            "hold" => Some(Override::Hold),
            "nothing" => None,
            other => return Err(format!("`{other}` is none of lost, well, hold and nothing")),
        };
        let driver = self.driver.upgrade().ok_or("the gateway ends")?;
        self.belief.borrow_mut().set_override(driver.micros(), site, declared)?;
        self.update(&driver);
        Ok(())
    }

    /// The report to other gateways.
    pub fn report(&self, now: Micros) -> SiteReport {
        let belief = self.belief.borrow();
        let response_ages =
            belief.response_ages(now).into_iter().map(|(name, ago)| (name.to_owned(), ago)).collect();
        SiteReport { response_ages, level: self.order.borrow().level() }
    }

    /// Applies another gateway's report.
    pub fn apply_report(&self, now: Micros, from: u32, report: &SiteReport) {
        let mut belief = self.belief.borrow_mut();
        report
            .response_ages
            .iter()
            .for_each(|(name, ago)| belief.record_peer_response(from, name, now.saturating_sub(*ago)));
        report.level.into_iter().for_each(|level| self.order.borrow_mut().record_peer_level(level));
    }

    /// The state as text for operators.
    pub fn explain(&self, now: Micros) -> String {
        let mut text = String::new();
        for (name, standing, evidence) in self.belief.borrow().explain(now) {
            let _ = match standing {
                SiteStatus::Recovering(share) => {
                    writeln!(text, "site `{name}`: returning, {:.0}% of its load: {evidence}", share * 100.0)
                }
                standing => writeln!(text, "site `{name}`: {}: {evidence}", state_name(standing)),
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

/// The name of a state in logs and admin responses.
fn state_name(standing: SiteStatus) -> &'static str {
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

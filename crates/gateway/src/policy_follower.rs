//! Follows the policy that the keepers have put in force: polls them for a lease, fetches documents and passes the
//! terms on to the decisions. `hingestage_change::holder` decides which version is in force.

use crate::admin_client::request;
use hingestage_change::lease_holder::LeaseHolder;
use hingestage_change::rollout::{Change, Version};
use hingestage_change::state::{LeaseCall, NotLeader, Reply};
use hingestage_dataplane::driver::Driver;
use hingestage_enforce::Rules;
use hingestage_operator::Policy as PolicySettings;
use hingestage_platform::Platform;
use hingestage_policy::settings::Names;
use hingestage_policy::{ClassId, CustomerId, Effect, Event, Micros, PlanId, Settings};
use hyper::{Method, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Polls per lease, so that lost messages and a leader election do not let the lease expire.
const POLLS_PER_LEASE: u64 = 8;
/// Maximum time between two polls, µs.
const POLL_INTERVAL_MAX: Micros = 1_000_000;
/// Divisor of the lease that gives the timeout of a poll, so that the next keeper is asked in time.
const POLL_TIMEOUT_DIVISOR: u64 = 6;
/// How often the version in force is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Documents kept: the one in force and the next.
const DOCUMENTS_MAX: usize = 2;
/// The largest answer to a poll, bytes.
const ANSWER_BYTES_MAX: usize = 64 << 10;
/// The largest document, bytes.
const DOCUMENT_BYTES_MAX: usize = 2 << 20;

/// The policy in force as one gateway knows it.
pub struct PolicyFollower<P: Platform> {
    driver: Weak<Driver<P>>,
    platform: P,
    config: PolicySettings,
    settings: Settings,
    names: Names,
    holder: RefCell<LeaseHolder>,
    documents: RefCell<VecDeque<(Version, Rc<Rules>)>>,
    /// The policy of new requests; `None` while none may begin.
    in_force: RefCell<Option<(Version, Rc<Rules>)>>,
    /// How long `in_force` is valid without a new answer.
    valid_until: Cell<Micros>,
    /// The keeper that is polled first.
    leader: Cell<Option<u64>>,
    /// Whether another process of this gateway serves.
    has_successor: Cell<bool>,
    /// The last log line, so that it is not repeated.
    last_logged: RefCell<String>,
}

impl<P: Platform> PolicyFollower<P> {
    /// Creates the follower of a new incarnation, without any policy.
    pub fn new(driver: &Rc<Driver<P>>, config: PolicySettings, settings: Settings, names: Names) -> Rc<Self> {
        let holder = LeaseHolder::new(&config.name, driver.micros(), config.mode, config.figures);
        Rc::new(PolicyFollower {
            driver: Rc::downgrade(driver),
            platform: driver.platform.clone(),
            config,
            settings,
            names,
            holder: RefCell::new(holder),
            documents: RefCell::default(),
            in_force: RefCell::default(),
            valid_until: Cell::new(0),
            leader: Cell::new(None),
            has_successor: Cell::new(false),
            last_logged: RefCell::default(),
        })
    }

    fn now(&self) -> Option<Micros> {
        Some(self.driver.upgrade()?.micros())
    }

    /// Polls the keepers until the gateway ends.
    pub async fn run(self: Rc<Self>) {
        let checks = self.clone();
        self.platform.spawn(async move {
            while let Some(driver) = checks.driver.upgrade() {
                checks.refresh(driver.micros());
                drop(driver);
                checks.platform.sleep(CHECK_INTERVAL).await;
            }
        });
        let lease = self.config.figures.lease;
        let pause = Duration::from_micros((lease / POLLS_PER_LEASE).min(POLL_INTERVAL_MAX));
        while self.driver.strong_count() > 0 {
            let answered = self.poll().await;
            let ready = answered && self.fetch().await;
            // Readiness is reported at once, since the change waits for all gateways.
            if !ready {
                self.platform.sleep(pause).await;
            }
        }
    }

    /// Polls keepers until the leader has answered; false if none did.
    async fn poll(&self) -> bool {
        let mut asked = Vec::new();
        while let Some(number) = self.next_keeper(&asked) {
            asked.push(number);
            let Some(now) = self.now() else { return false };
            let lease_request = self.holder.borrow_mut().next_request(now);
            let lease_call = LeaseCall { request: lease_request, lease_config: self.config.figures };
            let Ok(body) = serde_json::to_string(&lease_call) else { return false };
            let timeout = Duration::from_micros(self.config.figures.lease / POLL_TIMEOUT_DIVISOR);
            let at = self.config.keepers[&number];
            let call = request(&self.platform, at, (Method::POST, "/ask"), body, ANSWER_BYTES_MAX);
            match self.platform.timeout(timeout, call).await {
                Ok(Some((StatusCode::OK, answer))) => {
                    self.leader.set(Some(number));
                    return self.handle_answer(&answer);
                }
                Ok(Some((StatusCode::MISDIRECTED_REQUEST, answer))) => {
                    let not_leader: Option<NotLeader> = serde_json::from_slice(&answer).ok();
                    let leader = not_leader.and_then(|not_leader| not_leader.leader);
                    self.leader.set(leader.filter(|leader| !asked.contains(leader)));
                }
                Ok(Some((StatusCode::GONE, _))) => {
                    self.restart();
                    return false;
                }
                Ok(Some((_, answer))) => {
                    self.log_once(format!("keeper {number}: {}", String::from_utf8_lossy(&answer)));
                    self.leader.set(None);
                }
                Ok(None) | Err(_) => self.leader.set(None),
            }
        }
        false
    }

    /// The keeper to ask next: the leader if it is known, else any that was not asked yet.
    fn next_keeper(&self, asked: &[u64]) -> Option<u64> {
        let leader = self.leader.get().filter(|leader| self.config.keepers.contains_key(leader));
        let other = || {
            let left: Vec<u64> = self.config.keepers.keys().copied().filter(|n| !asked.contains(n)).collect();
            // Spreads the first calls of gateways over the keepers.
            let hash = hingestage_policy::fnv(self.config.name.as_bytes()) as usize;
            left.get(hash % left.len().max(1)).copied()
        };
        leader.filter(|leader| !asked.contains(leader)).or_else(other)
    }

    /// Handles that a later incarnation has asked under this name. That is expected while a successor serves; without
    /// one this process starts over as a new incarnation.
    fn restart(&self) {
        if self.has_successor.get() {
            return;
        }
        let Some(now) = self.now() else { return };
        self.log_once("another process has asked under this gateway's name: starting over".into());
        self.holder.borrow_mut().restart(now);
        self.refresh(now);
    }

    /// Records whether a successor serves.
    pub fn set_successor(&self, serves: bool) {
        self.has_successor.set(serves);
    }

    fn handle_answer(&self, answer: &[u8]) -> bool {
        let Some(now) = self.now() else { return false };
        let Ok(Reply::Answer(answer)) = serde_json::from_slice(answer) else { return false };
        let applied = self.holder.borrow_mut().handle_reply(now, answer);
        if let Err(skew) = applied {
            let how = if skew > 0 { "behind" } else { "ahead of" };
            let ms = skew.unsigned_abs() / 1_000;
            self.log_once(format!("this clock is {ms} ms {how} the keepers': their answer is ignored"));
            return false;
        }
        self.refresh(now);
        true
    }

    /// Fetches missing documents; true if any became ready.
    async fn fetch(&self) -> bool {
        let mut ready = false;
        let wanted = self.holder.borrow().missing_versions();
        for version in wanted {
            let Some(rules) = self.document(version).await else { continue };
            match rules {
                Ok(rules) => {
                    let mut documents = self.documents.borrow_mut();
                    documents.push_back((version, Rc::new(rules)));
                    let excess = documents.len().saturating_sub(DOCUMENTS_MAX);
                    documents.drain(..excess);
                    ready = true;
                }
                Err(why) => self.log_once(format!("version {} can't be applied: {why}", version.number)),
            }
            let can = self.documents.borrow().iter().any(|(known, _)| *known == version);
            self.holder.borrow_mut().record_applied(version, can);
        }
        if let (true, Some(now)) = (ready, self.now()) {
            self.refresh(now);
        }
        ready
    }

    /// The rules of a version's document, or why they can't be applied; `None` if no keeper returns the document.
    async fn document(&self, version: Version) -> Option<Result<Rules, String>> {
        let path = format!("/text/{}", version.number);
        let timeout = Duration::from_micros(self.config.figures.lease / 2);
        let mut asked = Vec::new();
        while let Some(number) = self.next_keeper(&asked) {
            asked.push(number);
            let at = self.config.keepers[&number];
            let call = request(&self.platform, at, (Method::GET, &path), String::new(), DOCUMENT_BYTES_MAX);
            let Ok(Some((StatusCode::OK, body))) = self.platform.timeout(timeout, call).await else {
                continue;
            };
            let Ok(text) = serde_json::from_slice::<String>(&body) else { continue };
            let policy = match hingestage_change::read(&text) {
                Ok(policy) if policy.digest() != version.digest => continue,
                Ok(policy) => policy,
                Err(why) => return Some(Err(why)),
            };
            return Some(Rules::new(&policy, &self.settings, &self.names));
        }
        None
    }

    /// Switches to the version in force at `now`, if it changed.
    pub fn refresh(&self, now: Micros) {
        let Some(driver) = self.driver.upgrade() else { return };
        let (version, until) = {
            let holder = self.holder.borrow();
            (holder.version(now), holder.next_change_at(now))
        };
        self.valid_until.set(until);
        if self.in_force.borrow().as_ref().map(|(version, _)| *version) == version {
            return;
        }
        let documents = self.documents.borrow();
        let found = documents.iter().find(|(known, _)| Some(*known) == version).cloned();
        drop(documents);
        match &found {
            Some((version, _)) => self.log_once(format!("version {} is in force", version.number)),
            None => self.log_once("nothing begins: no valid lease from the keepers".into()),
        }
        let terms = found.as_ref().map(|(_, rules)| rules.terms());
        *self.in_force.borrow_mut() = found;
        driver.handle_event(Event::Terms(terms));
    }

    /// Like [`Self::refresh`], but only once the version known to be in force may have changed.
    pub fn refresh_if_due(&self, now: Micros) {
        if now >= self.valid_until.get() {
            self.refresh(now);
        }
    }

    /// Whether a policy is in force, so that requests may begin.
    pub fn has_policy(&self) -> bool {
        self.in_force.borrow().is_some()
    }

    /// The plan of a customer whose request names one; `None` if the customer is refused.
    pub fn plan_of(&self, customer: &CustomerId, requested: PlanId, now: Micros) -> Option<PlanId> {
        let in_force = self.in_force.borrow();
        // Without a policy nothing begins, so the plan does not matter.
        let Some((_, rules)) = in_force.as_ref() else { return Some(requested) };
        rules.plan_of(u64::from_str_radix(&customer.0, 16).ok()?, requested, now)
    }

    /// The effect of a class by the policy in force.
    pub fn effect(&self, class: ClassId) -> Option<Effect> {
        self.in_force.borrow().as_ref().and_then(|(_, rules)| rules.effect(class))
    }

    /// The longest deadline of the policy in force, µs.
    pub fn max_wait(&self) -> Option<Micros> {
        self.in_force.borrow().as_ref().map(|(_, rules)| rules.max_deadline())
    }

    /// Logs a line unless it repeats the last one.
    fn log_once(&self, what: String) {
        if *self.last_logged.borrow() != what {
            self.platform.log(format_args!("policy: {what}"));
            *self.last_logged.borrow_mut() = what;
        }
    }

    /// The state as text for operators.
    pub fn explain(&self) -> String {
        let Some(now) = self.now() else { return String::new() };
        let mut text = match self.in_force.borrow().as_ref() {
            Some((version, _)) => {
                format!("version {} is in force, digest {}\n", version.number, version.digest)
            }
            None => "nothing begins\n".to_owned(),
        };
        let Some(last) = self.holder.borrow().last() else {
            text.push_str("no word of the keepers yet\n");
            return text;
        };
        match last.change {
            None => {}
            Some(Change::Proposed(version)) => {
                let _ = writeln!(text, "version {} is proposed", version.number);
            }
            Some(Change::Decided(version, from)) => {
                let from = from as f64 / 1e6;
                let _ = writeln!(text, "version {} is decided, in force from {from:.3}", version.number);
            }
        }
        let age = now.saturating_sub(last.sent_at) as f64 / 1e6;
        let _ = writeln!(text, "last asked with an answer {age:.3} s ago");
        text
    }
}

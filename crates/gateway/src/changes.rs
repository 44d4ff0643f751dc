//! Whose word a gateway goes by: asks the keepers, fetches documents, and tells the decisions which policy what begins
//! is under. Which that is, and whether anything may begin, is decided in `hingestage_change::holder`.

use crate::ask::ask;
use hingestage_change::desk::{Asked, Elsewhere, Reply};
use hingestage_change::holder::Holder;
use hingestage_change::keeper::{Change, Version};
use hingestage_dataplane::driver::Driver;
use hingestage_enforce::Rules;
use hingestage_operator::Policy as Figures;
use hingestage_platform::Platform;
use hingestage_policy::settings::Names;
use hingestage_policy::{ClassId, CustomerId, Effect, Event, Micros, PlanId, Settings};
use hyper::{Method, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Keepers are asked so often within a lease: a word lost, and the next, and a choice of who leads, cost no service.
const ASKS: u64 = 8;
/// The longest time between two questions, µs.
const ASK_MAX: Micros = 1_000_000;
/// A question without an answer is given up after this part of a lease, so that the next keeper is asked in time.
const GIVE_UP: u64 = 6;
/// How often is looked whether something has come into force or a lease is over.
const LOOK: Duration = Duration::from_millis(20);
/// Documents that can be gone by: that in force and the next.
const DOCUMENTS: usize = 2;
/// The largest answer to a question, and the largest document, bytes.
const BODIES: (usize, usize) = (64 << 10, 2 << 20);

/// The policy as one gateway knows it.
pub struct Changes<P: Platform> {
    driver: Weak<Driver<P>>,
    platform: P,
    figures: Figures,
    settings: Settings,
    names: Names,
    holder: RefCell<Holder>,
    documents: RefCell<VecDeque<(Version, Rc<Rules>)>>,
    /// What begins now is under this; none where nothing may begin.
    begins: RefCell<Option<(Version, Rc<Rules>)>>,
    /// Until when that holds if nothing is heard.
    holds_until: Cell<Micros>,
    /// The keeper that is asked first.
    leader: Cell<Option<u64>>,
    /// Whether another process serves in this one's place.
    succeeded: Cell<bool>,
    /// What was last said of it, so that it is said once.
    said: RefCell<String>,
}

impl<P: Platform> Changes<P> {
    /// That of a gateway's new life, which knows nothing.
    pub fn new(driver: &Rc<Driver<P>>, figures: Figures, settings: Settings, names: Names) -> Rc<Self> {
        let holder = Holder::new(&figures.name, driver.micros(), figures.mode, figures.figures);
        Rc::new(Changes {
            driver: Rc::downgrade(driver),
            platform: driver.platform.clone(),
            figures,
            settings,
            names,
            holder: RefCell::new(holder),
            documents: RefCell::default(),
            begins: RefCell::default(),
            holds_until: Cell::new(0),
            leader: Cell::new(None),
            succeeded: Cell::new(false),
            said: RefCell::default(),
        })
    }

    fn now(&self) -> Option<Micros> {
        Some(self.driver.upgrade()?.micros())
    }

    /// Asks for as long as the gateway lives. The decisions have been told before that nothing may begin.
    pub async fn run(self: Rc<Self>) {
        let looks = self.clone();
        self.platform.spawn(async move {
            while let Some(driver) = looks.driver.upgrade() {
                looks.look(driver.micros());
                drop(driver);
                looks.platform.sleep(LOOK).await;
            }
        });
        let lease = self.figures.figures.lease;
        let pause = Duration::from_micros((lease / ASKS).min(ASK_MAX));
        while self.driver.strong_count() > 0 {
            let heard = self.ask().await;
            let ready = heard && self.fetch().await;
            // Who has just become ready says so at once: others wait for it.
            if !ready {
                self.platform.sleep(pause).await;
            }
        }
    }

    /// Asks a keeper, and the one that leads if that is another. Whether there was an answer.
    async fn ask(&self) -> bool {
        let mut asked = Vec::new();
        while let Some(number) = self.next(&asked) {
            asked.push(number);
            let Some(now) = self.now() else { return false };
            let question = self.holder.borrow_mut().question(now);
            let asked_with = Asked { question, figures: self.figures.figures };
            let Ok(body) = serde_json::to_string(&asked_with) else { return false };
            let patience = Duration::from_micros(self.figures.figures.lease / GIVE_UP);
            let call =
                ask(&self.platform, self.figures.keepers[&number], (Method::POST, "/ask"), body, BODIES.0);
            match self.platform.timeout(patience, call).await {
                Ok(Some((StatusCode::OK, answer))) => {
                    self.leader.set(Some(number));
                    return self.answered(&answer);
                }
                Ok(Some((StatusCode::MISDIRECTED_REQUEST, answer))) => {
                    let elsewhere: Option<Elsewhere> = serde_json::from_slice(&answer).ok();
                    let leader = elsewhere.and_then(|elsewhere| elsewhere.leader);
                    self.leader.set(leader.filter(|leader| !asked.contains(leader)));
                }
                Ok(Some((StatusCode::GONE, _))) => {
                    self.begin_anew();
                    return false;
                }
                Ok(Some((_, answer))) => {
                    self.say(format!("keeper {number}: {}", String::from_utf8_lossy(&answer)));
                    self.leader.set(None);
                }
                Ok(None) | Err(_) => self.leader.set(None),
            }
        }
        false
    }

    /// The keeper to ask next: who leads as far as it is known, else any that was not asked yet.
    fn next(&self, asked: &[u64]) -> Option<u64> {
        let leads = self.leader.get().filter(|leader| self.figures.keepers.contains_key(leader));
        let other = || {
            let left: Vec<u64> =
                self.figures.keepers.keys().copied().filter(|n| !asked.contains(n)).collect();
            // Not all gateways begin with the same.
            let draw = hingestage_policy::fnv(self.figures.name.as_bytes()) as usize;
            left.get(draw % left.len().max(1)).copied()
        };
        leads.filter(|leader| !asked.contains(leader)).or_else(other)
    }

    /// A later life has asked under this name. While a successor serves that is as it should be; without one this
    /// process is a new life itself.
    fn begin_anew(&self) {
        if self.succeeded.get() {
            return;
        }
        let Some(now) = self.now() else { return };
        self.say("another process has asked by this gateway's name: begins anew".into());
        self.holder.borrow_mut().begin_anew(now);
        self.look(now);
    }

    /// Another process serves in this one's place, or has ended.
    pub fn successor(&self, serves: bool) {
        self.succeeded.set(serves);
    }

    fn answered(&self, answer: &[u8]) -> bool {
        let Some(now) = self.now() else { return false };
        let Ok(Reply::Answer(answer)) = serde_json::from_slice(answer) else { return false };
        let taken = self.holder.borrow_mut().answered(now, answer);
        if let Err(apart) = taken {
            let how = if apart > 0 { "behind" } else { "ahead of" };
            let ms = apart.unsigned_abs() / 1_000;
            self.say(format!("this clock is {ms} ms {how} the keepers': their word is not gone by"));
            return false;
        }
        self.look(now);
        true
    }

    /// Fetches what is named and not here. Whether anything has become ready by it.
    async fn fetch(&self) -> bool {
        let mut ready = false;
        let wanted = self.holder.borrow().wanted();
        for version in wanted {
            let Some(rules) = self.document(version).await else { continue };
            match rules {
                Ok(rules) => {
                    let mut documents = self.documents.borrow_mut();
                    documents.push_back((version, Rc::new(rules)));
                    let spare = documents.len().saturating_sub(DOCUMENTS);
                    documents.drain(..spare);
                    ready = true;
                }
                Err(why) => self.say(format!("version {} can't be gone by: {why}", version.number)),
            }
            let can = self.documents.borrow().iter().any(|(known, _)| *known == version);
            self.holder.borrow_mut().applied(version, can);
        }
        if let (true, Some(now)) = (ready, self.now()) {
            self.look(now);
        }
        ready
    }

    /// A version's document as this gateway would go by it, or why it can't; none where no keeper gives it.
    async fn document(&self, version: Version) -> Option<Result<Rules, String>> {
        let path = format!("/text/{}", version.number);
        let patience = Duration::from_micros(self.figures.figures.lease / 2);
        let mut asked = Vec::new();
        while let Some(number) = self.next(&asked) {
            asked.push(number);
            let at = self.figures.keepers[&number];
            let call = ask(&self.platform, at, (Method::GET, &path), String::new(), BODIES.1);
            let Ok(Some((StatusCode::OK, body))) = self.platform.timeout(patience, call).await else {
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

    /// Goes over to what is in force now, if that is another than before.
    pub fn look(&self, now: Micros) {
        let Some(driver) = self.driver.upgrade() else { return };
        let (version, until) = {
            let holder = self.holder.borrow();
            (holder.version(now), holder.holds_until(now))
        };
        self.holds_until.set(until);
        if self.begins.borrow().as_ref().map(|(version, _)| *version) == version {
            return;
        }
        let documents = self.documents.borrow();
        let found = documents.iter().find(|(known, _)| Some(*known) == version).cloned();
        drop(documents);
        match &found {
            Some((version, _)) => self.say(format!("version {} is in force", version.number)),
            None => self.say("nothing begins: no word of the keepers holds".into()),
        }
        let terms = found.as_ref().map(|(_, rules)| rules.terms());
        *self.begins.borrow_mut() = found;
        driver.handle_event(Event::Terms(terms));
    }

    /// Brings what is in force to an instant at which something may begin.
    pub fn at(&self, now: Micros) {
        if now >= self.holds_until.get() {
            self.look(now);
        }
    }

    /// Whether clients are to be sent here.
    pub fn serves(&self) -> bool {
        self.begins.borrow().is_some()
    }

    /// The plan that holds for a customer who comes with one; none for who is refused.
    pub fn plan_of(&self, customer: &CustomerId, comes_with: PlanId, now: Micros) -> Option<PlanId> {
        let begins = self.begins.borrow();
        // Where nothing may begin it does not matter which.
        let Some((_, rules)) = begins.as_ref() else { return Some(comes_with) };
        rules.plan_of(u64::from_str_radix(&customer.0, 16).ok()?, comes_with, now)
    }

    /// How often the effect of a class may happen, where a policy says so.
    pub fn effect(&self, class: ClassId) -> Option<Effect> {
        self.begins.borrow().as_ref().and_then(|(_, rules)| rules.effect(class))
    }

    /// The longest that a client waits, where a policy says so, µs.
    pub fn longest(&self) -> Option<Micros> {
        self.begins.borrow().as_ref().map(|(_, rules)| rules.longest())
    }

    fn say(&self, what: String) {
        if *self.said.borrow() != what {
            self.platform.log(format_args!("policy: {what}"));
            *self.said.borrow_mut() = what;
        }
    }

    /// What is known, for operators.
    pub fn explain(&self) -> String {
        let Some(now) = self.now() else { return String::new() };
        let mut text = match self.begins.borrow().as_ref() {
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
        let age = now.saturating_sub(last.issued) as f64 / 1e6;
        let _ = writeln!(text, "last asked with an answer {age:.3} s ago");
        text
    }
}

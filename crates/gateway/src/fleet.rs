//! What a gateway tells and hears of its fleet: words to and from other gateways by their operators' addresses,
//! and the roll call on the counter. Who is there and what may be used is decided in `hingestage_fleet` and
//! `hingestage_shares`; the decisions are told of each new view.

use crate::ask::ask_with;
use crate::counter::{Asker, Counter};
use crate::sites::Sites;
use hingestage_dataplane::driver::Driver;
use hingestage_failover::SiteReport;
use hingestage_fleet::roll::Roll;
use hingestage_fleet::table::{Message, Standing, Table, MESSAGE_MAX};
use hingestage_operator::Fleet as Figures;
use hingestage_platform::Platform;
use hingestage_policy::{CounterName, CounterOutcome, Event, LeaseView, Micros};
use hingestage_shares::{Lease, LeaseState, Voter};
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// How often the view is looked at again: a part of the lease small enough that its end is met in time.
const LOOK: Duration = Duration::from_millis(50);
/// All others are asked so often within a lease, so that one lost word is no lost contact.
const ASKS: u32 = 3;
/// The shortest and the longest time between two words.
const PAUSE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(300));
/// Goodbyes are answered by then, or not heard.
const LAST_WORDS: Duration = Duration::from_millis(300);
/// Words without an answer at once; past that none is sent.
const WORDS_MAX: usize = 8;
/// The field of a head that brings what is known of sites.
pub const SITES: &str = "sites";

/// The fleet as one gateway knows it.
pub struct Fleet<P: Platform> {
    driver: Weak<Driver<P>>,
    platform: P,
    /// Where the roll is called, if there is a counter.
    counter: Option<Rc<Counter<P>>>,
    sites: Rc<Sites<P>>,
    figures: Figures,
    me: u32,
    table: RefCell<Table>,
    roll: Option<RefCell<Roll>>,
    lease: RefCell<Lease>,
    view: RefCell<Option<LeaseView>>,
    /// Words that wait for an answer.
    out: Cell<usize>,
}

impl<P: Platform> Fleet<P> {
    /// That of a gateway's new life.
    pub fn new(
        driver: &Rc<Driver<P>>,
        counter: Option<Rc<Counter<P>>>,
        sites: Rc<Sites<P>>,
        figures: Figures,
        (me, gateways): (u32, u32),
    ) -> Rc<Self> {
        let now = driver.micros();
        let micros = |span: Duration| span.as_micros() as Micros;
        let roll = (figures.roll_call && counter.is_some()).then(|| Roll::new(me, gateways, now));
        // A lease outlasts the pause between two marks on the roll, which grows with the fleet.
        let scale = roll.as_ref().map_or(1, |roll| roll.slot().div_ceil(1_000_000).max(1));
        let votes = figures.counter_votes.unwrap_or(gateways / 2);
        let absent = micros(figures.absent) * scale;
        let lease = Lease::new(
            me,
            hingestage_shares::LeaseConfig {
                gateways,
                counter_votes: if roll.is_some() { votes } else { 0 },
                lease: micros(figures.lease) * scale,
                absence_timeout: absent,
                warm_up: micros(figures.settles) * scale,
                reserved_fraction: figures.kept,
            },
        );
        let table = Table::new(me, now, gateways, absent);
        Rc::new(Fleet {
            driver: Rc::downgrade(driver),
            platform: driver.platform.clone(),
            counter,
            sites,
            figures,
            me,
            table: RefCell::new(table),
            roll: roll.map(RefCell::new),
            lease: RefCell::new(lease),
            view: RefCell::default(),
            out: Cell::new(0),
        })
    }

    fn now(&self) -> Option<Micros> {
        Some(self.driver.upgrade()?.micros())
    }

    /// Asks others and calls the roll for as long as the gateway lives.
    pub async fn run(self: Rc<Self>) {
        let asks = self.clone();
        self.platform.spawn(async move { asks.ask_in_turn().await });
        while self.driver.strong_count() > 0 {
            self.call_roll();
            self.look();
            self.platform.sleep(LOOK).await;
        }
    }

    /// Tells the decisions what may be gone by now.
    fn look(&self) {
        let Some(driver) = self.driver.upgrade() else { return };
        let now = driver.micros();
        let (unheard, superseded) = {
            let table = self.table.borrow();
            (table.absent(now), table.superseded())
        };
        self.hear_goodbyes(now);
        if superseded && !matches!(self.lease.borrow().state(now), LeaseState::Superseded) {
            self.platform.log(format_args!("another process has this gateway's number: no parts are used"));
            self.lease.borrow_mut().supersede();
        }
        let view = self.lease.borrow_mut().view(now, &unheard);
        let last = self.view.replace(Some(view.clone()));
        let same = last.as_ref().is_some_and(|last| last.same_version(&view));
        if !same {
            let absent: Vec<u32> = view.absent.iter().copied().collect();
            let how = if view.holds_lease { "holds its part" } else { "keeps to its least" };
            self.platform.log(format_args!("fleet: view {}: {how}; absent: {absent:?}", view.version));
        }
        if last != Some(view.clone()) {
            driver.handle_event(Event::Fleet(view));
        }
    }

    /// The roll goes by goodbyes from when they are heard.
    fn hear_goodbyes(&self, now: Micros) {
        let goodbyes = self.table.borrow().goodbyes();
        let found = self.roll.as_ref().and_then(|roll| roll.borrow_mut().goodbyes(goodbyes));
        if let Some(found) = found {
            self.lease.borrow_mut().record_ack(now, Voter::Counter, found.issued, found.absent);
        }
    }

    /// Clients of a set come here: if it is not this gateway's, the set is doubted.
    pub fn clients_come(&self, first: u32, spread: u32) {
        self.table.borrow_mut().clients_moved(first, spread);
    }

    async fn ask_in_turn(self: Rc<Self>) {
        let others = self.figures.peers.len() as u32;
        let pause = (self.figures.lease / (ASKS * others.max(1))).clamp(PAUSE.0, PAUSE.1);
        if others == 0 {
            return;
        }
        loop {
            let Some(now) = self.now() else { return };
            let next = self.table.borrow_mut().next(now);
            let at = next.and_then(|number| self.figures.peers.get(&number).copied());
            if let (Some(at), true) = (at, self.out.get() < WORDS_MAX) {
                let fleet = self.clone();
                self.platform.spawn(async move { fleet.ask(at).await });
            }
            self.platform.sleep(pause).await;
        }
    }

    /// Sends one word, and takes in what is answered in time.
    async fn ask(self: Rc<Self>, at: SocketAddr) {
        let Some(now) = self.now() else { return };
        let word = self.table.borrow_mut().word(now);
        self.out.set(self.out.get() + 1);
        let answer = self.platform.timeout(self.figures.lease / 2, self.exchange(at, word.text())).await;
        self.out.set(self.out.get() - 1);
        let Ok(Some(message)) = answer else { return };
        let Some(heard) = self.now() else { return };
        if self.table.borrow_mut().take(heard, &message) {
            self.lease.borrow_mut().record_ack(heard, Voter::Gateway(message.from), now, message.absent);
            self.look();
        }
    }

    async fn exchange(&self, at: SocketAddr, word: String) -> Option<Message> {
        let (call, field) = ((Method::POST, "/fleet"), self.of_sites().map(|text| (SITES, text)));
        let (status, head, body) = ask_with(&self.platform, at, call, word, MESSAGE_MAX, field).await?;
        let text = std::str::from_utf8(&body).ok().filter(|_| status == StatusCode::OK)?;
        let message = Message::read(text).ok()?;
        self.hear_of_sites(message.from, head.get(SITES));
        Some(message)
    }

    /// This gateway has been told to end: it holds no part any more, and all others are told at once, so that they
    /// need not wait until it has not been heard for long.
    pub fn goodbye(self: &Rc<Self>) {
        self.lease.borrow_mut().release();
        let last_slot = self.roll.as_ref().map(|roll| roll.borrow_mut().leave());
        self.table.borrow_mut().goodbye(last_slot);
        self.platform.log(format_args!("fleet: goodbye; its part is for the others"));
        self.look();
        for at in self.figures.peers.values().copied() {
            let fleet = self.clone();
            self.platform.spawn(async move { fleet.ask(at).await });
        }
    }

    /// Waits until the words that are out are answered, for a short time at the most: the last ones are goodbyes.
    pub async fn last_words(&self) {
        let answered = async {
            while self.out.get() > 0 {
                self.platform.sleep(PAUSE.0).await;
            }
        };
        let _ = self.platform.timeout(LAST_WORDS, answered).await;
    }

    /// What is told of sites along with a word.
    pub fn of_sites(&self) -> Option<String> {
        Some(self.sites.to_tell(self.now()?).encode())
    }

    /// What another tells of sites. A spoilt word changes nothing.
    fn hear_of_sites(&self, from: u32, field: Option<&HeaderValue>) {
        let word = field.and_then(|field| SiteReport::decode(field.to_str().ok()?).ok());
        if let (Some(word), Some(now)) = (word, self.now()) {
            self.sites.told(now, from, &word);
        }
    }

    /// The answer to another's word, which brought so much of sites along.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn answer(&self, text: &str, of_sites: Option<&HeaderValue>) -> Result<String, String> {
        let message = Message::read(text)?;
        self.hear_of_sites(message.from, of_sites);
        let now = self.now().ok_or("the gateway ends")?;
        let mut table = self.table.borrow_mut();
        match table.take(now, &message) {
            true => Ok(table.word(now).text()),
            false => Err("no gateway of this fleet".into()),
        }
    }

    fn call_roll(&self) {
        let (Some(roll), Some(counter), Some(now)) = (&self.roll, &self.counter, self.now()) else { return };
        let calls = roll.borrow_mut().calls(now);
        for call in calls {
            counter.call(Asker::Roll, CounterName(call.name), call.amount, call.keep);
        }
    }

    /// A call of the roll has ended.
    pub fn counted(&self, name: &CounterName, outcome: CounterOutcome) {
        let Some(roll) = self.roll.as_ref() else { return };
        let total = if let CounterOutcome::Total(total) = outcome { Some(total) } else { None };
        let found = roll.borrow_mut().answered(&name.0, total);
        if let (Some(found), Some(now)) = (found, self.now()) {
            self.lease.borrow_mut().record_ack(now, Voter::Counter, found.issued, found.absent);
        }
    }

    /// This gateway's number.
    pub fn me(&self) -> u32 {
        self.me
    }

    /// Whether another gateway is not known to be gone.
    pub fn lives(&self, now: Micros, number: u32) -> bool {
        self.table.borrow().standing(now, number) != Standing::Gone
    }

    /// What is known, for operators.
    pub fn explain(&self) -> String {
        let Some(now) = self.now() else { return String::new() };
        let (table, lease) = (self.table.borrow(), self.lease.borrow());
        let mut text = match lease.state(now) {
            LeaseState::Held(votes) => format!("holds its part, by {votes} votes\n"),
            LeaseState::NotHeld(votes) => format!("keeps to its least, with {votes} votes\n"),
            LeaseState::Superseded => "another process has this gateway's number\n".to_owned(),
        };
        let view = self.view.borrow();
        for (number, at) in &self.figures.peers {
            let standing = match table.standing(now, *number) {
                Standing::Alive => "alive",
                Standing::Doubtful => "doubtful",
                Standing::Gone => "gone",
            };
            let taken = if view.as_ref().is_some_and(|view| view.absent.contains(number)) {
                ", its part is taken"
            } else {
                ""
            };
            let _ = writeln!(text, "gateway {number} at {at}: {standing}{taken}");
        }
        text
    }
}

//! Turns at the counter, with sockets and time: carries what this gateway counts to the looker of its name, and what
//! others tell it to the counter. Who looks for which name, what is told again and how often the counter is called is
//! decided in `hingestage_turns`.

use crate::counter::{Asker, Counter};
use crate::fleet::Fleet;
use crate::lane::Lanes;
use hingestage_dataplane::driver::Driver;
use hingestage_operator::Fleet as Figures;
use hingestage_platform::Platform;
use hingestage_policy::{CounterName, CounterOutcome, Event, Micros};
use hingestage_turns::aggregator::{AddResult, Aggregator, Command};
use hingestage_turns::forwarder::{BatchOutcome, CallOutcome, Forwarder, Route};
use hingestage_turns::message::{self, Increment, Reply};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;

/// How often is looked whether something is due, while anything is owed.
const LOOK: Duration = Duration::from_millis(5);
/// Pause between two times of forgetting what rests.
const TIDY: Duration = Duration::from_secs(1);

/// Who told a desk something: the decisions of this gateway, or another one's word.
enum Teller {
    Own(CounterName),
    Word(oneshot::Sender<f64>),
}

/// One gateway's turns at the counter.
pub struct Turns<P: Platform> {
    driver: Weak<Driver<P>>,
    platform: P,
    counter: Rc<Counter<P>>,
    fleet: Rc<Fleet<P>>,
    lanes: Lanes<P>,
    post: RefCell<Forwarder>,
    desk: RefCell<Aggregator<Teller>>,
    wait: Duration,
    looking: Cell<bool>,
    /// Words sent, and names told by others, since the start.
    words: Cell<(u64, u64)>,
}

impl<P: Platform> Turns<P> {
    /// That of a gateway's new life; a call to the counter ends after `wait`.
    pub fn new(
        driver: &Rc<Driver<P>>,
        counter: Rc<Counter<P>>,
        fleet: &Rc<Fleet<P>>,
        figures: &Figures,
        (me, gateways): (u32, u32),
        wait: Micros,
    ) -> Rc<Self> {
        let platform = driver.platform.clone();
        Rc::new(Turns {
            driver: Rc::downgrade(driver),
            counter,
            fleet: fleet.clone(),
            lanes: Lanes::new(platform.clone(), figures.peers.clone()),
            platform,
            post: RefCell::new(Forwarder::new(me, figures.peers.keys().copied())),
            desk: RefCell::new(Aggregator::new(gateways, wait)),
            wait: Duration::from_micros(wait),
            looking: Cell::new(false),
            words: Cell::default(),
        })
    }

    /// Forgets what rests, for as long as the gateway lives.
    pub async fn run(self: Rc<Self>) {
        while let Some(driver) = self.driver.upgrade() {
            self.desk.borrow_mut().evict_expired(driver.micros());
            self.lanes.close_idle();
            drop(driver);
            self.platform.sleep(TIDY).await;
        }
    }

    /// Takes over a call of the decisions; false where it is the counter's own.
    pub fn count(self: &Rc<Self>, name: &CounterName, amount: f64, keep: Micros) -> bool {
        let told = Increment { name: name.0.clone(), amount, ttl_ms: keep.div_ceil(1_000).max(1) };
        let Some(now) = self.now() else { return false };
        let fleet = self.fleet.clone();
        let route = self.post.borrow_mut().route(now, &told, |number| fleet.lives(now, number));
        match route {
            Route::Counter => return false,
            Route::Peer(number) => self.send_words(number),
            Route::Local => match self.tell(now, Teller::Own(name.clone()), &told) {
                AddResult::Total(total) => self.own(name.clone(), CounterOutcome::Total(total)),
                AddResult::Pending => {}
                AddResult::Declined => return false,
            },
        }
        true
    }

    fn now(&self) -> Option<Micros> {
        Some(self.driver.upgrade()?.micros())
    }

    fn own(&self, name: CounterName, outcome: CounterOutcome) {
        self.driver.upgrade().into_iter().for_each(|driver| {
            driver.handle_event(Event::Counter { name: name.clone(), outcome });
        });
    }

    fn tell(self: &Rc<Self>, now: Micros, asker: Teller, told: &Increment) -> AddResult {
        let found = self.desk.borrow_mut().add(now, asker, told);
        self.look(now);
        self.look_on();
        found
    }

    fn send_words(self: &Rc<Self>, to: u32) {
        while let Some(told) = self.post.borrow_mut().next_batch(to) {
            let turns = self.clone();
            self.platform.spawn(async move { turns.send_word(to, told).await });
        }
    }

    async fn send_word(self: Rc<Self>, to: u32, told: Vec<Increment>) {
        let text = message::encode_batch(self.fleet.me(), &told);
        self.words.set((self.words.get().0 + 1, self.words.get().1));
        let answer = self.lanes.ask(to, "/turns", text, message::MAX_MESSAGE_BYTES, self.wait).await;
        let word = match answer {
            Err(crate::lane::Failed::NeverSent) => BatchOutcome::NotSent,
            Err(crate::lane::Failed::Unanswered) => BatchOutcome::NoReply,
            Ok(text) => message::decode_replies(&text, told.len())
                .map_or(BatchOutcome::NoReply, BatchOutcome::Replied),
        };
        let Some(now) = self.now() else { return };
        let ended = self.post.borrow_mut().batch_finished(now, to, told, word);
        for (told, ending) in ended {
            let name = CounterName(told.name.clone());
            match ending {
                CallOutcome::Total(total) => self.own(name, CounterOutcome::Total(total)),
                CallOutcome::Timeout => self.own(name, CounterOutcome::Timeout),
                CallOutcome::Counter => {
                    self.counter.call(Asker::Decisions, name, told.amount, told.ttl_ms * 1_000)
                }
            }
        }
        self.send_words(to);
    }

    /// The answer to another's word, once all its totals are known.
    ///
    /// # Errors
    /// What is wrong with it.
    pub async fn answer(self: &Rc<Self>, text: &str) -> Result<String, String> {
        let (_, told) = message::decode_batch(text)?;
        let now = self.now().ok_or("the gateway ends")?;
        self.words.set((self.words.get().0, self.words.get().1 + told.len() as u64));
        let mut found = Vec::with_capacity(told.len());
        for one in &told {
            let (say, later) = oneshot::channel();
            found.push((self.tell(now, Teller::Word(say), one), later));
        }
        let mut said = Vec::with_capacity(found.len());
        for (found, later) in found {
            said.push(match found {
                AddResult::Total(total) => Reply::Total(total),
                AddResult::Declined => Reply::Declined,
                AddResult::Pending => Reply::Total(later.await.map_err(|_| "the gateway ends")?),
            });
        }
        Ok(message::encode_replies(&said))
    }

    /// A call for a name that this gateway looks for has ended.
    pub fn counted(self: &Rc<Self>, name: &CounterName, outcome: CounterOutcome) {
        let Some(now) = self.now() else { return };
        let mut wanted = Vec::new();
        self.desk.borrow_mut().call_finished(now, &name.0, outcome, &mut wanted);
        self.carry_out(wanted);
        self.look_on();
    }

    /// This gateway has been told to end: others look from now on, and the counter gets what it has not.
    pub fn leave(&self) {
        let Some(now) = self.now() else { return };
        let last = self.desk.borrow_mut().drain(now);
        self.carry_out(last);
    }

    fn look(&self, now: Micros) {
        let mut wanted = Vec::new();
        self.desk.borrow_mut().poll(now, &mut wanted);
        self.carry_out(wanted);
    }

    /// Looks again and again while anything is owed.
    fn look_on(self: &Rc<Self>) {
        if self.desk.borrow().is_idle() || self.looking.replace(true) {
            return;
        }
        let turns = self.clone();
        self.platform.spawn(async move {
            while !turns.desk.borrow().is_idle() {
                turns.platform.sleep(LOOK).await;
                let Some(now) = turns.now() else { return };
                turns.look(now);
            }
            turns.looking.set(false);
        });
    }

    fn carry_out(&self, wanted: Vec<Command<Teller>>) {
        for one in wanted {
            match one {
                Command::CallCounter { name, amount, ttl_ms } => {
                    self.counter.call(Asker::Turns, CounterName(name), amount, ttl_ms * 1_000);
                }
                Command::Reply(Teller::Own(name), total) => self.own(name, CounterOutcome::Total(total)),
                // Whoever asked may have gone.
                Command::Reply(Teller::Word(say), total) => drop(say.send(total)),
            }
        }
    }

    /// What is known, for operators.
    pub fn explain(&self) -> String {
        let Some(now) = self.now() else { return String::new() };
        let (names, gap) = self.desk.borrow().stats();
        let left_out = self.post.borrow().suspended_peers(now);
        let (sent, heard) = self.words.get();
        format!(
            "turns: looks for {names} names, a call to the counter in {:.1} ms at most; {sent} words sent, \
             {heard} names told by others; left out: {left_out:?}\n",
            gap / 1e3
        )
    }
}

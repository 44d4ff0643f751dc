//! Turns at the counter: sends this gateway's counts to the gateways that own their names, and counts on behalf of
//! others under the names that it owns itself. `hingestage_turns` decides who owns a name, what is retried and how often
//! the counter is called.

use crate::counter::{Counter, CounterCaller};
use crate::fleet::Fleet;
use crate::peer_connections::{PeerConnections, PeerError};
use hingestage_dataplane::driver::Driver;
use hingestage_operator::Fleet as FleetSettings;
use hingestage_platform::Platform;
use hingestage_policy::{CounterName, CounterOutcome, Event, Micros};
use hingestage_turns::aggregator::{AddResult, Aggregator, Command};
use hingestage_turns::forwarder::{BatchOutcome, CallOutcome, Forwarder, Route};
use hingestage_turns::message::{self, Increment, Reply};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval of checks for due calls while any are pending.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of removing idle state.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// The origin of a count: this gateway's decisions or a message of another gateway.
enum Origin {
    Own(CounterName),
    Peer(oneshot::Sender<f64>),
}

/// The turns at the counter of one gateway.
pub struct Turns<P: Platform> {
    driver: Weak<Driver<P>>,
    platform: P,
    counter: Rc<Counter<P>>,
    fleet: Rc<Fleet<P>>,
    peers: PeerConnections<P>,
    post: RefCell<Forwarder>,
    desk: RefCell<Aggregator<Origin>>,
    timeout: Duration,
    checking: Cell<bool>,
    messages_sent: Cell<u64>,
    counts_received: Cell<u64>,
}

impl<P: Platform> Turns<P> {
    /// Creates the state of a new incarnation; calls to the counter end after `timeout`.
    pub fn new(
        driver: &Rc<Driver<P>>,
        counter: Rc<Counter<P>>,
        fleet: &Rc<Fleet<P>>,
        settings: &FleetSettings,
        (me, gateways): (u32, u32),
        timeout: Micros,
    ) -> Rc<Self> {
        let platform = driver.platform.clone();
        Rc::new(Turns {
            driver: Rc::downgrade(driver),
            counter,
            fleet: fleet.clone(),
            peers: PeerConnections::new(platform.clone(), settings.peers.clone()),
            platform,
            post: RefCell::new(Forwarder::new(me, settings.peers.keys().copied())),
            desk: RefCell::new(Aggregator::new(gateways, timeout)),
            timeout: Duration::from_micros(timeout),
            checking: Cell::new(false),
            messages_sent: Cell::default(),
            counts_received: Cell::default(),
        })
    }

    /// Removes idle state periodically until the gateway ends.
    pub async fn run(self: Rc<Self>) {
        while let Some(driver) = self.driver.upgrade() {
            self.desk.borrow_mut().evict_expired(driver.micros());
            self.peers.close_idle();
            drop(driver);
            self.platform.sleep(HOUSEKEEPING_INTERVAL).await;
        }
    }

    /// Takes over a count of the decisions; false if the counter must be called directly.
    pub fn count(self: &Rc<Self>, name: &CounterName, amount: f64, keep: Micros) -> bool {
        let told = Increment { name: name.0.clone(), amount, ttl_ms: keep.div_ceil(1_000).max(1) };
        let Some(now) = self.now() else { return false };
        let fleet = self.fleet.clone();
        let route = self.post.borrow_mut().route(now, &told, |number| fleet.is_alive(now, number));
        match route {
            Route::Counter => return false,
            Route::Peer(number) => self.send_messages(number),
            Route::Local => match self.add(now, Origin::Own(name.clone()), &told) {
                AddResult::Total(total) => self.report(name.clone(), CounterOutcome::Total(total)),
                AddResult::Pending => {}
                AddResult::Declined => return false,
            },
        }
        true
    }

    fn now(&self) -> Option<Micros> {
        Some(self.driver.upgrade()?.micros())
    }

    /// Passes an outcome to the decisions of this gateway.
    fn report(&self, name: CounterName, outcome: CounterOutcome) {
        self.driver.upgrade().into_iter().for_each(|driver| {
            driver.handle_event(Event::Counter { name: name.clone(), outcome });
        });
    }

    /// Adds to a name that this gateway owns.
    fn add(self: &Rc<Self>, now: Micros, origin: Origin, add: &Increment) -> AddResult {
        let found = self.desk.borrow_mut().add(now, origin, add);
        self.make_due_calls(now);
        self.start_checks();
        found
    }

    /// Sends all messages to a peer that may be sent now.
    fn send_messages(self: &Rc<Self>, to: u32) {
        while let Some(told) = self.post.borrow_mut().next_batch(to) {
            let turns = self.clone();
            self.platform.spawn(async move { turns.send_message(to, told).await });
        }
    }

    async fn send_message(self: Rc<Self>, to: u32, told: Vec<Increment>) {
        let text = message::encode_batch(self.fleet.me(), &told);
        self.messages_sent.set(self.messages_sent.get() + 1);
        let answer = self.peers.post(to, "/turns", text, message::MAX_MESSAGE_BYTES, self.timeout).await;
        let result = match answer {
            Err(PeerError::NotSent) => BatchOutcome::NotSent,
            Err(PeerError::Unanswered) => BatchOutcome::NoReply,
            Ok(text) => message::decode_replies(&text, told.len())
                .map_or(BatchOutcome::NoReply, BatchOutcome::Replied),
        };
        let Some(now) = self.now() else { return };
        let ended = self.post.borrow_mut().batch_finished(now, to, told, result);
        for (told, ending) in ended {
            let name = CounterName(told.name.clone());
            match ending {
                CallOutcome::Total(total) => self.report(name, CounterOutcome::Total(total)),
                CallOutcome::Timeout => self.report(name, CounterOutcome::Timeout),
                CallOutcome::Counter => {
                    self.counter.call(CounterCaller::Decisions, name, told.amount, told.ttl_ms * 1_000)
                }
            }
        }
        self.send_messages(to);
    }

    /// Answers another gateway's message once all its totals are known.
    ///
    /// # Errors
    /// The fault in the message.
    pub async fn answer(self: &Rc<Self>, text: &str) -> Result<String, String> {
        let (_, told) = message::decode_batch(text)?;
        let now = self.now().ok_or("the gateway ends")?;
        self.counts_received.set(self.counts_received.get() + told.len() as u64);
        let mut found = Vec::with_capacity(told.len());
        for one in &told {
            let (sender, later) = oneshot::channel();
            found.push((self.add(now, Origin::Peer(sender), one), later));
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

    /// Handles the outcome of a call under a name that this gateway owns.
    pub fn handle_outcome(self: &Rc<Self>, name: &CounterName, outcome: CounterOutcome) {
        let Some(now) = self.now() else { return };
        let mut actions = Vec::new();
        self.desk.borrow_mut().call_finished(now, &name.0, outcome, &mut actions);
        self.execute(actions);
        self.start_checks();
    }

    /// Gives up all names when this gateway is told to end, and counts what is still pending.
    pub fn leave(&self) {
        let Some(now) = self.now() else { return };
        let actions = self.desk.borrow_mut().drain(now);
        self.execute(actions);
    }

    fn make_due_calls(&self, now: Micros) {
        let mut actions = Vec::new();
        self.desk.borrow_mut().poll(now, &mut actions);
        self.execute(actions);
    }

    /// Starts periodic checks for due calls, which end when nothing is pending.
    fn start_checks(self: &Rc<Self>) {
        if self.desk.borrow().is_idle() || self.checking.replace(true) {
            return;
        }
        let turns = self.clone();
        self.platform.spawn(async move {
            while !turns.desk.borrow().is_idle() {
                turns.platform.sleep(CHECK_INTERVAL).await;
                let Some(now) = turns.now() else { return };
                turns.make_due_calls(now);
            }
            turns.checking.set(false);
        });
    }

    fn execute(&self, actions: Vec<Command<Origin>>) {
        for action in actions {
            match action {
                Command::CallCounter { name, amount, ttl_ms } => {
                    self.counter.call(CounterCaller::Turns, CounterName(name), amount, ttl_ms * 1_000);
                }
                Command::Reply(Origin::Own(name), total) => self.report(name, CounterOutcome::Total(total)),
                // The receiver is gone if the peer has disconnected.
                Command::Reply(Origin::Peer(sender), total) => drop(sender.send(total)),
            }
        }
    }

    /// The state as text for operators.
    pub fn explain(&self) -> String {
        let Some(now) = self.now() else { return String::new() };
        let (names, gap) = self.desk.borrow().stats();
        let left_out = self.post.borrow().suspended_peers(now);
        let (sent, received) = (self.messages_sent.get(), self.counts_received.get());
        format!(
            "turns: looks for {names} names, a call to the counter in {:.1} ms at most; {sent} words sent, \
             {received} names told by others; left out: {left_out:?}\n",
            gap / 1e3
        )
    }
}

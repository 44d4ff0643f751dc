//! Failure detection and leases of a gateway: gossip with peers through their admin addresses, and the roll call on
//! the counter. `hingestage_fleet` decides who is absent and `hingestage_shares` which part of the limits may be used;
//! each new view is passed to the decisions.

use crate::admin_client::request_with_header;
use crate::counter::{Counter, CounterCaller};
use crate::sites::Sites;
use hingestage_dataplane::driver::Driver;
use hingestage_failover::SiteReport;
use hingestage_fleet::gossip::{GossipTable, Liveness, Message, MESSAGE_BYTES_MAX};
use hingestage_fleet::roll_call::RollCall;
use hingestage_operator::Fleet as FleetSettings;
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

/// How often the view is computed anew; much shorter than a lease.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Messages to each peer per lease, so that one may be lost.
const MESSAGES_PER_LEASE: u32 = 3;
/// Minimum time between two messages.
const MESSAGE_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Maximum time between two messages.
const MESSAGE_INTERVAL_MAX: Duration = Duration::from_millis(300);
/// Timeout for the answers to goodbyes.
const GOODBYE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of unanswered messages; beyond it none is sent.
const PENDING_MAX: usize = 8;
/// The header that carries a report on sites.
pub const SITES: &str = "sites";

/// The fleet as seen by one gateway.
pub struct Fleet<P: Platform> {
    driver: Weak<Driver<P>>,
    platform: P,
    /// The counter of the roll call, if there is one.
    counter: Option<Rc<Counter<P>>>,
    sites: Rc<Sites<P>>,
    settings: FleetSettings,
    me: u32,
    table: RefCell<GossipTable>,
    roll: Option<RefCell<RollCall>>,
    lease: RefCell<Lease>,
    view: RefCell<Option<LeaseView>>,
    /// Number of unanswered messages.
    pending: Cell<usize>,
}

impl<P: Platform> Fleet<P> {
    /// Creates the state of a new incarnation.
    pub fn new(
        driver: &Rc<Driver<P>>,
        counter: Option<Rc<Counter<P>>>,
        sites: Rc<Sites<P>>,
        settings: FleetSettings,
        (me, gateways): (u32, u32),
    ) -> Rc<Self> {
        let now = driver.micros();
        let micros = |span: Duration| span.as_micros() as Micros;
        let roll = (settings.roll_call && counter.is_some()).then(|| RollCall::new(me, gateways, now));
        // A lease must outlast a slot of the roll call, which grows with the fleet.
        let scale = roll.as_ref().map_or(1, |roll| roll.slot_length().div_ceil(1_000_000).max(1));
        let votes = settings.counter_votes.unwrap_or(gateways / 2);
        let absent = micros(settings.absent_after) * scale;
        let lease = Lease::new(
            me,
            hingestage_shares::LeaseConfig {
                gateways,
                counter_votes: if roll.is_some() { votes } else { 0 },
                lease: micros(settings.lease) * scale,
                absence_timeout: absent,
                warm_up: micros(settings.warm_up) * scale,
                reserved_fraction: settings.reserved_fraction,
            },
        );
        let table = GossipTable::new(me, now, gateways, absent);
        Rc::new(Fleet {
            driver: Rc::downgrade(driver),
            platform: driver.platform.clone(),
            counter,
            sites,
            settings,
            me,
            table: RefCell::new(table),
            roll: roll.map(RefCell::new),
            lease: RefCell::new(lease),
            view: RefCell::default(),
            pending: Cell::new(0),
        })
    }

    fn now(&self) -> Option<Micros> {
        Some(self.driver.upgrade()?.micros())
    }

    /// Runs gossip and roll call until the gateway ends.
    pub async fn run(self: Rc<Self>) {
        let gossip = self.clone();
        self.platform.spawn(async move { gossip.send_messages().await });
        while self.driver.strong_count() > 0 {
            self.call_roll();
            self.update_view();
            self.platform.sleep(VIEW_INTERVAL).await;
        }
    }

    /// Computes the view of the fleet and passes it to the decisions if it changed.
    fn update_view(&self) {
        let Some(driver) = self.driver.upgrade() else { return };
        let now = driver.micros();
        let (absent, superseded) = {
            let table = self.table.borrow();
            (table.absent(now), table.superseded())
        };
        self.apply_goodbyes(now);
        if superseded && !matches!(self.lease.borrow().state(now), LeaseState::Superseded) {
            self.platform.log(format_args!("another process has this gateway's number: no parts are used"));
            self.lease.borrow_mut().supersede();
        }
        let view = self.lease.borrow_mut().view(now, &absent);
        let last = self.view.replace(Some(view.clone()));
        let same = last.as_ref().is_some_and(|last| last.same_version(&view));
        if !same {
            let absent: Vec<u32> = view.absent.iter().copied().collect();
            let state = if view.holds_lease { "holds its part" } else { "keeps to its least" };
            self.platform.log(format_args!("fleet: view {}: {state}; absent: {absent:?}", view.version));
        }
        if last != Some(view.clone()) {
            driver.handle_event(Event::Fleet(view));
        }
    }

    /// Passes goodbyes received by gossip on to the roll call.
    fn apply_goodbyes(&self, now: Micros) {
        let goodbyes = self.table.borrow().goodbyes();
        let found = self.roll.as_ref().and_then(|roll| roll.borrow_mut().set_goodbyes(goodbyes));
        if let Some(found) = found {
            self.lease.borrow_mut().record_ack(now, Voter::Counter, found.issued, found.absent);
        }
    }

    /// Handles a client of the set of `spread` gateways from `first` on: if this gateway is not in the set, the set is
    /// suspected.
    pub fn client_arrived(&self, first: u32, spread: u32) {
        self.table.borrow_mut().suspect_set(first, spread);
    }

    /// Sends messages to the peers in turn.
    async fn send_messages(self: Rc<Self>) {
        let others = self.settings.peers.len() as u32;
        let pause = (self.settings.lease / (MESSAGES_PER_LEASE * others.max(1)))
            .clamp(MESSAGE_INTERVAL_MIN, MESSAGE_INTERVAL_MAX);
        if others == 0 {
            return;
        }
        loop {
            let Some(now) = self.now() else { return };
            let next = self.table.borrow_mut().next_peer(now);
            let at = next.and_then(|number| self.settings.peers.get(&number).copied());
            if let (Some(at), true) = (at, self.pending.get() < PENDING_MAX) {
                let fleet = self.clone();
                self.platform.spawn(async move { fleet.send(at).await });
            }
            self.platform.sleep(pause).await;
        }
    }

    /// Sends one message and applies the answer if it arrives in time.
    async fn send(self: Rc<Self>, at: SocketAddr) {
        let Some(now) = self.now() else { return };
        let message = self.table.borrow_mut().next_message(now);
        self.pending.set(self.pending.get() + 1);
        let answer =
            self.platform.timeout(self.settings.lease / 2, self.exchange(at, message.encode())).await;
        self.pending.set(self.pending.get() - 1);
        let Ok(Some(message)) = answer else { return };
        let Some(received) = self.now() else { return };
        if self.table.borrow_mut().apply(received, &message) {
            self.lease.borrow_mut().record_ack(received, Voter::Gateway(message.from), now, message.absent);
            self.update_view();
        }
    }

    async fn exchange(&self, at: SocketAddr, text: String) -> Option<Message> {
        let (call, header) = ((Method::POST, "/fleet"), self.site_report().map(|text| (SITES, text)));
        let (status, headers, body) =
            request_with_header(&self.platform, at, call, text, MESSAGE_BYTES_MAX, header).await?;
        let text = std::str::from_utf8(&body).ok().filter(|_| status == StatusCode::OK)?;
        let message = Message::decode(text).ok()?;
        self.apply_site_report(message.from, headers.get(SITES));
        Some(message)
    }

    /// Gives up this gateway's part when it is told to end, and tells all peers, so that they need not wait for a
    /// timeout.
    pub fn goodbye(self: &Rc<Self>) {
        self.lease.borrow_mut().release();
        let last_slot = self.roll.as_ref().map(|roll| roll.borrow_mut().stop());
        self.table.borrow_mut().leave(last_slot);
        self.platform.log(format_args!("fleet: goodbye sent; this gateway gives up its part"));
        self.update_view();
        for at in self.settings.peers.values().copied() {
            let fleet = self.clone();
            self.platform.spawn(async move { fleet.send(at).await });
        }
    }

    /// Waits a short time for the answers to goodbyes.
    pub async fn flush_goodbyes(&self) {
        let answered = async {
            while self.pending.get() > 0 {
                self.platform.sleep(MESSAGE_INTERVAL_MIN).await;
            }
        };
        let _ = self.platform.timeout(GOODBYE_TIMEOUT, answered).await;
    }

    /// This gateway's report on sites, sent along with each message.
    pub fn site_report(&self) -> Option<String> {
        Some(self.sites.report(self.now()?).encode())
    }

    /// Applies another gateway's report on sites; a malformed one is ignored.
    fn apply_site_report(&self, from: u32, header: Option<&HeaderValue>) {
        let report = header.and_then(|header| SiteReport::decode(header.to_str().ok()?).ok());
        if let (Some(report), Some(now)) = (report, self.now()) {
            self.sites.apply_report(now, from, &report);
        }
    }

    /// Applies another gateway's message and report on sites; returns the answer.
    ///
    /// # Errors
    /// The fault in the message.
    pub fn answer(&self, text: &str, site_report: Option<&HeaderValue>) -> Result<String, String> {
        let message = Message::decode(text)?;
        self.apply_site_report(message.from, site_report);
        let now = self.now().ok_or("the gateway ends")?;
        let mut table = self.table.borrow_mut();
        match table.apply(now, &message) {
            true => Ok(table.next_message(now).encode()),
            false => Err("no gateway of this fleet".into()),
        }
    }

    /// Makes the calls of the roll call that are due.
    fn call_roll(&self) {
        let (Some(roll), Some(counter), Some(now)) = (&self.roll, &self.counter, self.now()) else { return };
        let calls = roll.borrow_mut().due_calls(now);
        for call in calls {
            counter.call(CounterCaller::RollCall, CounterName(call.name), call.amount, call.keep);
        }
    }

    /// Handles the outcome of a call of the roll call.
    pub fn handle_outcome(&self, name: &CounterName, outcome: CounterOutcome) {
        let Some(roll) = self.roll.as_ref() else { return };
        let total = if let CounterOutcome::Total(total) = outcome { Some(total) } else { None };
        let found = roll.borrow_mut().handle_answer(&name.0, total);
        if let (Some(found), Some(now)) = (found, self.now()) {
            self.lease.borrow_mut().record_ack(now, Voter::Counter, found.issued, found.absent);
        }
    }

    /// This gateway's number.
    pub fn me(&self) -> u32 {
        self.me
    }

    /// Whether another gateway is not gone.
    pub fn is_alive(&self, now: Micros, number: u32) -> bool {
        self.table.borrow().liveness(now, number) != Liveness::Gone
    }

    /// The state as text for operators.
    pub fn explain(&self) -> String {
        let Some(now) = self.now() else { return String::new() };
        let (table, lease) = (self.table.borrow(), self.lease.borrow());
        let mut text = match lease.state(now) {
            LeaseState::Held(votes) => format!("holds its part, by {votes} votes\n"),
            LeaseState::NotHeld(votes) => format!("keeps to its least, with {votes} votes\n"),
            LeaseState::Superseded => "another process has this gateway's number\n".to_owned(),
        };
        let view = self.view.borrow();
        for (number, at) in &self.settings.peers {
            let standing = match table.liveness(now, *number) {
                Liveness::Alive => "alive",
                Liveness::Suspect => "doubtful",
                Liveness::Gone => "gone",
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

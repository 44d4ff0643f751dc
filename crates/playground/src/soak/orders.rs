//! Operators that send configurations and read them back on connections that they keep.

use super::{ExchangeEnd, Soak};
use crate::http::{call, Connection, Reply};
use crate::layout::Machine;
use crate::operator::{Edition, HOST_NAME};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long an operator waits for an answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
/// How long the final read may take, with all registries asked in turn.
const READ_BACK_WITHIN: Duration = Duration::from_secs(15);
/// The longest pause between two orders, and the one after a connection that could not be opened.
const PAUSE: Duration = Duration::from_millis(250);
const CONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Serials of the changes begin above those of the editions.
const FIRST_SERIAL: u32 = 16;

/// What is asked of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// A configuration is sent.
    Change(u32),
    /// The configuration is read.
    Read,
    /// Proxies are looked up.
    Lookup,
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Order::Change(serial) => write!(f, "configuration {serial:08x}"),
            Order::Read => f.write_str("a read of the configuration"),
            Order::Lookup => f.write_str("a lookup"),
        }
    }
}

/// An order that was sent.
#[derive(Clone, Debug)]
pub struct SentOrder {
    /// What was asked.
    pub order: Order,
    /// The machine of the registry.
    pub machine: String,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: ExchangeEnd,
}

/// Orders that were sent, as they ended.
#[derive(Debug, Default)]
pub struct OrderLog {
    /// All of them.
    pub orders: Vec<SentOrder>,
    /// Whether operators only read for now. A change would overtake an order that is lost meanwhile.
    pub changes_paused: bool,
    last_serial: u32,
}

impl OrderLog {
    fn next_serial(&mut self) -> u32 {
        self.last_serial = self.last_serial.max(FIRST_SERIAL) + 1;
        self.last_serial
    }
}

/// Starts operators and a client of the directory for each registry.
pub fn start(soak: &Rc<Soak>) {
    for core in &soak.layout.cores {
        soak.spawn_user(run(soak.clone(), core.clone(), core.admin(), operator_order));
        soak.spawn_user(run(soak.clone(), core.clone(), core.admin(), operator_order));
        soak.spawn_user(run(soak.clone(), core.clone(), core.directory(), |_| Order::Lookup));
    }
}

fn operator_order(log: &mut OrderLog) -> Order {
    if log.changes_paused || fastrand::u8(..3) == 0 {
        Order::Read
    } else {
        Order::Change(log.next_serial())
    }
}

async fn run(soak: Rc<Soak>, machine: Machine, addr: SocketAddr, next: fn(&mut OrderLog) -> Order) {
    while !soak.stop.get() {
        match Connection::open(addr).await {
            Ok(connection) => use_until_closed(&soak, &machine, connection, next).await,
            Err(_) => sleep(CONNECT_PAUSE).await,
        }
    }
}

async fn use_until_closed(
    soak: &Soak,
    machine: &Machine,
    mut connection: Connection,
    next: fn(&mut OrderLog) -> Order,
) {
    while !soak.stop.get() {
        let order = next(&mut soak.orders.borrow_mut());
        let sent = Instant::now();
        let exchange = connection.send(request(order, machine), ANSWER_WITHIN).await;
        let Some(end) = ExchangeEnd::of(exchange) else { return };
        let machine = machine.name.clone();
        soak.orders.borrow_mut().orders.push(SentOrder { order, machine, sent, ended: Instant::now(), end });
        if !matches!(end, ExchangeEnd::Answered(_)) {
            return;
        }
        sleep(PAUSE.mul_f64(fastrand::f64())).await;
    }
}

fn request(order: Order, machine: &Machine) -> Request<Full<Bytes>> {
    let place = machine.place;
    let lookup = format!("/lookup?name={HOST_NAME}&region={}&zone={}", place.region, place.zone);
    let (method, path, body) = match order {
        Order::Change(serial) => (Method::PUT, "/config", Edition::First.document_under(serial)),
        Order::Read => (Method::GET, "/config", Bytes::new()),
        Order::Lookup => (Method::GET, lookup.as_str(), Bytes::new()),
    };
    let request = Request::builder().method(method).uri(path).header(HOST, machine.ip.to_string());
    request.body(Full::new(body)).expect("every part of an order is valid")
}

/// The serial of a configuration.
#[derive(Deserialize)]
struct SerialOf {
    serial: String,
}

fn serial_of(reply: &Reply) -> Option<u32> {
    let SerialOf { serial } = serde_json::from_slice(&reply.body).ok()?;
    u32::from_str_radix(&serial, 16).ok()
}

/// The serial of the configuration that registries answer in the end.
pub async fn read_back(soak: &Soak) -> Option<u32> {
    let until = Instant::now() + READ_BACK_WITHIN;
    for core in soak.layout.cores.iter().cycle() {
        if Instant::now() >= until {
            break;
        }
        let reply = call(core.admin(), Method::GET, "/config", Bytes::new(), ANSWER_WITHIN).await;
        if let Some(reply) = reply.ok().filter(|reply| reply.status == StatusCode::OK) {
            return serial_of(&reply);
        }
        sleep(PAUSE).await;
    }
    None
}

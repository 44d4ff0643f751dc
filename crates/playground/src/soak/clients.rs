//! Clients that keep their connections to one proxy and use them until these close.

use super::{ExchangeEnd, Soak};
use crate::clients::{attempt_id, is_served, Ask};
use crate::http::Connection;
use crate::operator::{CATALOG_PREFIX, LASTING_KEYS, ORDERS_PREFIX};
use hingestage_test_servers::service_worker::is_whole;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long a client waits for an answer: longer than the deadline that it sends.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
/// Pause after a connection that could not be opened.
const CONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Short pauses between two requests, and long ones, longer than half of the time that a process has to end.
const SHORT_PAUSE: Duration = Duration::from_millis(150);
const LONG_PAUSE: Duration = Duration::from_millis(4_000);

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Its id.
    pub attempt: String,
    /// The proxy.
    pub proxy: SocketAddr,
    /// Whether it changes things.
    pub mutating: bool,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: ExchangeEnd,
    /// Whether a success had the whole body of the worker's answer.
    pub whole: bool,
}

/// Requests that were sent, as they ended.
#[derive(Debug, Default)]
pub struct RequestLog {
    /// All of them.
    pub requests: Vec<SentRequest>,
    /// Connections that closed before a request was sent on them.
    pub closed_idle: u64,
}

/// Waits until each proxy serves.
pub async fn wait_until_served(soak: &Soak, within: Duration) -> Result<(), String> {
    let until = Instant::now() + within;
    for proxy in &soak.layout.proxies {
        let ask = Ask { mutating: false, path: CATALOG_PREFIX.to_owned(), key: Some(LASTING_KEYS[0]) };
        while !ask.send_to(proxy.http()).await.is_ok_and(|reply| is_served(&reply)) {
            if Instant::now() >= until {
                return Err(format!("{} does not serve after {within:?}", proxy.name));
            }
            sleep(CONNECT_PAUSE).await;
        }
    }
    Ok(())
}

/// Starts so many clients for each proxy.
pub fn start(soak: &Rc<Soak>, for_each: usize) {
    for proxy in &soak.layout.proxies {
        for number in 0..for_each {
            soak.spawn_user(run(soak.clone(), proxy.http(), number));
        }
    }
}

async fn run(soak: Rc<Soak>, proxy: SocketAddr, number: usize) {
    while !soak.stop.get() {
        match Connection::open(proxy).await {
            Ok(connection) => use_until_closed(&soak, connection, number).await,
            Err(_) => sleep(CONNECT_PAUSE).await,
        }
    }
}

async fn use_until_closed(soak: &Soak, mut connection: Connection, number: usize) {
    let prefix = if number.is_multiple_of(2) { CATALOG_PREFIX } else { ORDERS_PREFIX };
    while !soak.stop.get() {
        let ask = Ask {
            mutating: prefix == ORDERS_PREFIX,
            path: format!("{prefix}{}", fastrand::u16(..)),
            key: Some(LASTING_KEYS[number % LASTING_KEYS.len()]),
        };
        let (attempt, sent) = (attempt_id(), Instant::now());
        let exchange = connection.send(ask.request(&attempt), ANSWER_WITHIN).await;
        let whole = exchange.as_ref().is_ok_and(|reply| is_whole(&reply.body));
        let Some(end) = ExchangeEnd::of(exchange) else {
            soak.requests.borrow_mut().closed_idle += 1;
            return;
        };
        let (proxy, ended) = (connection.addr(), Instant::now());
        let request = SentRequest { attempt, proxy, mutating: ask.mutating, sent, ended, end, whole };
        soak.requests.borrow_mut().requests.push(request);
        if !matches!(end, ExchangeEnd::Answered(_)) {
            return;
        }
        pause(soak).await;
    }
}

/// Waits before the next request, and less where clients are to end.
async fn pause(soak: &Soak) {
    let longest = if fastrand::bool() { SHORT_PAUSE } else { LONG_PAUSE };
    let until = Instant::now() + longest.mul_f64(fastrand::f64());
    while Instant::now() < until && !soak.stop.get() {
        sleep(SHORT_PAUSE.min(until.saturating_duration_since(Instant::now()))).await;
    }
}

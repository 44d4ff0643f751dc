//! DNS transport of an SRV follower: sends the queries of a [`Service`] and delivers the responses.

use hingestage_operate::SrvMetrics;
use hingestage_platform::{Datagrams, Platform, Task};
use hingestage_srv::resolver::{Ask, STREAM_MAX};
use hingestage_srv::service::Action;
use hingestage_srv::{Endpoint, Micros, Service, SrvSettings};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// Size of the receive buffer, bytes; larger than the datagram size that queries announce.
const DATAGRAM_BYTES_MAX: usize = 4_096;

/// Receives the endpoints that a follower accepts.
pub trait EndpointSink {
    /// Replaces the workers by these endpoints.
    fn replace(&self, endpoints: &[Endpoint]);

    /// Applies timeouts that are due; returns the time until the next one.
    fn expire(&self) -> Option<Duration>;
}

/// Follows the SRV records of one name.
pub struct Follower<P: Platform> {
    platform: P,
    service: RefCell<Service>,
    queries: RefCell<BTreeMap<u64, P::Task>>,
    sink: Box<dyn EndpointSink>,
    wake: Notify,
    started: Instant,
    seed: u64,
    /// Generation of `service`, so that responses to queries of an earlier one are ignored.
    generation: Cell<u64>,
}

impl<P: Platform> Follower<P> {
    /// Starts to follow a name.
    pub fn start(platform: P, settings: SrvSettings, seed: u64, sink: Box<dyn EndpointSink>) -> Rc<Self> {
        let follower = Rc::new(Follower {
            started: platform.now(),
            service: RefCell::new(Service::new(settings, seed, 0)),
            queries: RefCell::default(),
            sink,
            wake: Notify::new(),
            seed,
            generation: Cell::new(0),
            platform,
        });
        let run = follower.clone();
        follower.platform.spawn(async move { run.run().await });
        follower
    }

    /// Replaces the settings. The accepted endpoints stay until the first response under the new ones.
    pub fn set_settings(self: &Rc<Self>, settings: SrvSettings) {
        if *self.service.borrow().settings() == settings {
            return;
        }
        std::mem::take(&mut *self.queries.borrow_mut()).into_values().for_each(|task| task.abort());
        self.generation.set(self.generation.get() + 1);
        let seed = self.seed.wrapping_add(self.generation.get());
        *self.service.borrow_mut() = Service::new(settings, seed, self.now());
        self.wake.notify_one();
    }

    /// Queries now, for an operator. With `accept` the next response is accepted even if it lacks known workers.
    pub fn ask_now(self: &Rc<Self>, accept: bool) {
        self.step(|service, now, actions| service.refresh_now(accept, now, actions));
    }

    /// Reports that a worker was not found at a listed address.
    pub fn suspect(&self) {
        self.service.borrow_mut().suspect(self.now());
        self.wake.notify_one();
    }

    /// The accepted endpoints and the reasons, as text for operators.
    pub fn explain(&self) -> String {
        self.service.borrow().explain(self.now())
    }

    /// Metrics of the follower.
    pub fn figures(&self) -> SrvMetrics {
        let service = self.service.borrow();
        let counts = service.counts();
        SrvMetrics {
            standing: service.state().as_str(),
            believed: service.endpoints().len(),
            asked: counts.asked,
            over_tcp: counts.tcp,
            timeouts: counts.timeouts,
            foreign: counts.foreign,
            failed: counts.failed,
        }
    }

    fn now(&self) -> Micros {
        self.platform.since(self.started).as_micros() as Micros
    }

    async fn run(self: Rc<Self>) {
        loop {
            self.step(Service::tick);
            let next = self.service.borrow().next_wakeup();
            let next = next.map(|at| Duration::from_micros(at.saturating_sub(self.now())));
            let delay = next.into_iter().chain(self.sink.expire()).min();
            // At least a millisecond, to avoid a busy loop.
            let delay = delay.unwrap_or(Duration::from_secs(1)).max(Duration::from_millis(1));
            tokio::select! {
                biased;
                () = self.wake.notified() => {}
                () = self.platform.sleep(delay) => {}
            }
        }
    }

    fn step(self: &Rc<Self>, event: impl FnOnce(&mut Service, Micros, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        event(&mut self.service.borrow_mut(), self.now(), &mut actions);
        actions.into_iter().for_each(|action| self.execute(action));
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Ask(ask) => {
                let (follower, generation, number) = (self.clone(), self.generation.get(), ask.number);
                let task = self.platform.spawn(async move {
                    let result = match ask.tcp {
                        true => follower.query_tcp(&ask, generation).await,
                        false => follower.query_udp(&ask, generation).await,
                    };
                    if let Err(e) = result {
                        let what = e.to_string();
                        follower.apply(generation, |service, now, actions| {
                            service.on_failure(number, &what, now, actions)
                        });
                    }
                });
                self.queries.borrow_mut().insert(number, task);
            }
            Action::Forget(ask) => {
                self.queries.borrow_mut().remove(&ask).into_iter().for_each(|task| task.abort());
            }
            Action::SetEndpoints(endpoints) => self.sink.replace(&endpoints),
            Action::Log(what) => self.platform.log(format_args!("srv: {what}")),
        }
    }

    /// Applies an event to the service, unless its generation has been replaced.
    fn apply(self: &Rc<Self>, generation: u64, event: impl FnOnce(&mut Service, Micros, &mut Vec<Action>)) {
        if generation == self.generation.get() {
            self.step(event);
            self.wake.notify_one();
        }
    }

    /// Queries over UDP. Each query uses a port of its own, so that forged responses have to guess it.
    async fn query_udp(self: &Rc<Self>, ask: &Ask, generation: u64) -> io::Result<()> {
        let any: IpAddr = match ask.server {
            SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
            SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
        };
        let socket = self.platform.datagrams(SocketAddr::new(any, 0), Some(ask.server)).await?;
        socket.send(&ask.bytes, ask.server).await?;
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            let (length, from) = socket.receive(&mut buffer).await?;
            if from == ask.server {
                self.handle_response(ask, generation, &buffer[..length]);
            }
        }
    }

    /// Queries over TCP, on a connection of its own with length-prefixed messages (RFC 7766).
    async fn query_tcp(self: &Rc<Self>, ask: &Ask, generation: u64) -> io::Result<()> {
        let mut stream = self.platform.connect(ask.server).await?;
        let length = u16::try_from(ask.bytes.len()).map_err(|_| io::Error::other("query too long"))?;
        let mut message = length.to_be_bytes().to_vec();
        message.extend_from_slice(&ask.bytes);
        stream.write_all(&message).await?;
        let mut length = [0; 2];
        stream.read_exact(&mut length).await?;
        let mut answer = vec![0; usize::from(u16::from_be_bytes(length)).min(STREAM_MAX)];
        stream.read_exact(&mut answer).await?;
        self.handle_response(ask, generation, &answer);
        Ok(())
    }

    fn handle_response(self: &Rc<Self>, ask: &Ask, generation: u64, bytes: &[u8]) {
        self.apply(generation, |service, now, actions| service.on_response(ask.number, bytes, now, actions));
    }
}

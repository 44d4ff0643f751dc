//! The sockets of a name that is followed: carries the questions of a [`Service`] out and the answers in.

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

/// The longest datagram that is read whole, bytes: more than any server may send to the size we name.
const DATAGRAM_MAX: usize = 4_096;

/// What a follower does beyond asking: hears what is believed, and looks after what ends by time alone, giving
/// how long until then.
pub trait Hears {
    /// These are the workers from now on.
    fn believe(&self, endpoints: &[Endpoint]);

    /// Time has passed; when to be called again at the latest.
    fn lapse(&self) -> Option<Duration>;
}

/// Follows one name for as long as it is held.
pub struct Follower<P: Platform> {
    platform: P,
    service: RefCell<Service>,
    asks: RefCell<BTreeMap<u64, P::Task>>,
    hears: Box<dyn Hears>,
    stir: Notify,
    since: Instant,
    seed: u64,
    /// Asks of services before this one, whose numbers must not be taken for its own.
    life: Cell<u64>,
}

impl<P: Platform> Follower<P> {
    /// Begins to follow a name.
    pub fn start(platform: P, settings: SrvSettings, seed: u64, hears: Box<dyn Hears>) -> Rc<Self> {
        let follower = Rc::new(Follower {
            since: platform.now(),
            service: RefCell::new(Service::new(settings, seed, 0)),
            asks: RefCell::default(),
            hears,
            stir: Notify::new(),
            seed,
            life: Cell::new(0),
            platform,
        });
        let run = follower.clone();
        follower.platform.spawn(async move { run.run().await });
        follower
    }

    /// Goes by other settings. What is believed stays until the first answer under these.
    pub fn go_by(self: &Rc<Self>, settings: SrvSettings) {
        if *self.service.borrow().settings() == settings {
            return;
        }
        std::mem::take(&mut *self.asks.borrow_mut()).into_values().for_each(|task| task.abort());
        self.life.set(self.life.get() + 1);
        let seed = self.seed.wrapping_add(self.life.get());
        *self.service.borrow_mut() = Service::new(settings, seed, self.now());
        self.stir.notify_one();
    }

    /// Asks now, for an operator. With `accept` the answer is believed whatever it lacks.
    pub fn ask_now(self: &Rc<Self>, accept: bool) {
        self.step(|service, now, out| service.ask_now(accept, now, out));
    }

    /// A worker was not where a record says.
    pub fn suspect(&self) {
        self.service.borrow_mut().suspect(self.now());
        self.stir.notify_one();
    }

    /// What is believed and why, to be read.
    pub fn explain(&self) -> String {
        self.service.borrow().explain(self.now())
    }

    /// The figures that operators read beside the others.
    pub fn figures(&self) -> SrvMetrics {
        let service = self.service.borrow();
        let counts = service.counts();
        SrvMetrics {
            standing: service.standing().word(),
            believed: service.believed().len(),
            asked: counts.asked,
            over_tcp: counts.tcp,
            timeouts: counts.timeouts,
            foreign: counts.foreign,
            failed: counts.failed,
        }
    }

    fn now(&self) -> Micros {
        self.platform.since(self.since).as_micros() as Micros
    }

    async fn run(self: Rc<Self>) {
        loop {
            self.step(Service::tick);
            let own = self.service.borrow().wake();
            let own = own.map(|at| Duration::from_micros(at.saturating_sub(self.now())));
            let waits = own.into_iter().chain(self.hears.lapse()).min();
            // Never twice in one instant: whatever is due then was done just now.
            let waits = waits.unwrap_or(Duration::from_secs(1)).max(Duration::from_millis(1));
            tokio::select! {
                biased;
                () = self.stir.notified() => {}
                () = self.platform.sleep(waits) => {}
            }
        }
    }

    fn step(self: &Rc<Self>, event: impl FnOnce(&mut Service, Micros, &mut Vec<Action>)) {
        let mut out = Vec::new();
        event(&mut self.service.borrow_mut(), self.now(), &mut out);
        out.into_iter().for_each(|action| self.act(action));
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Ask(ask) => {
                let (follower, life, number) = (self.clone(), self.life.get(), ask.number);
                let task = self.platform.spawn(async move {
                    let done = match ask.tcp {
                        true => follower.over_stream(&ask, life).await,
                        false => follower.by_datagram(&ask, life).await,
                    };
                    if let Err(e) = done {
                        let what = e.to_string();
                        follower.tell(life, |service, now, out| service.broke(number, &what, now, out));
                    }
                });
                self.asks.borrow_mut().insert(number, task);
            }
            Action::Forget(ask) => {
                self.asks.borrow_mut().remove(&ask).into_iter().for_each(|task| task.abort());
            }
            Action::Believe(endpoints) => self.hears.believe(&endpoints),
            Action::Note(what) => self.platform.log(format_args!("srv: {what}")),
        }
    }

    fn tell(self: &Rc<Self>, life: u64, event: impl FnOnce(&mut Service, Micros, &mut Vec<Action>)) {
        if life == self.life.get() {
            self.step(event);
            self.stir.notify_one();
        }
    }

    /// From a port of its own for each question, so that nobody can guess where the answer is waited for.
    async fn by_datagram(self: &Rc<Self>, ask: &Ask, life: u64) -> io::Result<()> {
        let any: IpAddr = match ask.server {
            SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
            SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
        };
        let socket = self.platform.datagrams(SocketAddr::new(any, 0), Some(ask.server)).await?;
        socket.send(&ask.bytes, ask.server).await?;
        let mut buffer = vec![0; DATAGRAM_MAX];
        loop {
            let (length, from) = socket.receive(&mut buffer).await?;
            if from == ask.server {
                self.heard(ask, life, &buffer[..length]);
            }
        }
    }

    /// One question over a connection of its own, each message with its length before it (RFC 7766).
    async fn over_stream(self: &Rc<Self>, ask: &Ask, life: u64) -> io::Result<()> {
        let mut stream = self.platform.connect(ask.server).await?;
        let length = u16::try_from(ask.bytes.len()).map_err(|_| io::Error::other("too long a question"))?;
        let mut message = length.to_be_bytes().to_vec();
        message.extend_from_slice(&ask.bytes);
        stream.write_all(&message).await?;
        let mut length = [0; 2];
        stream.read_exact(&mut length).await?;
        let mut answer = vec![0; usize::from(u16::from_be_bytes(length)).min(STREAM_MAX)];
        stream.read_exact(&mut answer).await?;
        self.heard(ask, life, &answer);
        Ok(())
    }

    fn heard(self: &Rc<Self>, ask: &Ask, life: u64, bytes: &[u8]) {
        self.tell(life, |service, now, out| service.heard(ask.number, bytes, now, out));
    }
}

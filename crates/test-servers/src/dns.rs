//! A name server with one zone of SRV records, that can also be down, late, cut short, wrong or malicious.

use hickory_proto::op::{Message, MessageType, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hingestage_platform::{Datagrams, Listener, Platform};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The longest message that is read, bytes.
const MESSAGE_MAX: usize = 4_096;

/// One worker as the zone lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name.
    pub target: String,
    /// Its port.
    pub port: u16,
    /// Less is better.
    pub priority: u16,
    /// Its size.
    pub weight: u16,
    /// Its addresses.
    pub at: Vec<IpAddr>,
}

/// What is wrong with the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// Nothing.
    #[default]
    Good,
    /// It says nothing.
    Silent,
    /// It answers so much later.
    Late(Duration),
    /// It answers one datagram in so many, and everything over TCP.
    Lost(u64),
    /// It says that it can't.
    ServFail,
    /// It says that there is no such name.
    Unknown,
    /// It says that there are no records.
    Empty,
    /// It names the first third of what there is.
    Shrunk,
    /// It cuts every datagram and is well over TCP.
    Truncated,
    /// The same, and its TCP side says nothing.
    TruncatedHangs,
    /// The same, and its TCP side ends in the middle of an answer.
    TruncatedCut,
    /// Its answers bear another number.
    WrongId,
    /// Its answers are to another question.
    WrongQuestion,
    /// It slips in addresses of names that nobody asked it about, and of the workers under another zone.
    Forged,
    /// Its names lead in a circle.
    AliasLoop,
    /// It answers through an alias.
    Alias,
    /// Its answer's compression leads in a circle.
    PointerLoop,
    /// It knows no extensions.
    Plain,
    /// It says by one record that there is decidedly no such service.
    Absent,
}

/// All moods, by the words of scripts.
pub const MOODS: [(&str, Mood); 17] = [
    ("good", Mood::Good),
    ("silent", Mood::Silent),
    ("servfail", Mood::ServFail),
    ("unknown", Mood::Unknown),
    ("empty", Mood::Empty),
    ("shrunk", Mood::Shrunk),
    ("truncated", Mood::Truncated),
    ("truncated-hangs", Mood::TruncatedHangs),
    ("truncated-cut", Mood::TruncatedCut),
    ("wrong-id", Mood::WrongId),
    ("wrong-question", Mood::WrongQuestion),
    ("forged", Mood::Forged),
    ("alias-loop", Mood::AliasLoop),
    ("alias", Mood::Alias),
    ("pointer-loop", Mood::PointerLoop),
    ("plain", Mood::Plain),
    ("absent", Mood::Absent),
];

/// Who hears that a client was given the zone, whole or shrunk: who, and what of it.
pub type Given = Rc<dyn Fn(SocketAddr, &[Entry])>;

/// The server.
pub struct Dns<P> {
    platform: P,
    service: Name,
    zone: RefCell<Vec<Entry>>,
    ttl: u32,
    mood: Cell<Mood>,
    /// Whether addresses come along with the records.
    along: Cell<bool>,
    /// Questions that came, each way.
    asked: Cell<u64>,
    given: Given,
}

impl<P: Platform> Dns<P> {
    /// An empty zone for a service such as `_registry._tcp.sala.example.org`, with lifetimes in seconds.
    pub fn new(platform: P, service: &str, ttl: u32, given: Given) -> Rc<Self> {
        Rc::new(Dns {
            platform,
            service: name(service),
            zone: RefCell::default(),
            ttl,
            mood: Cell::default(),
            along: Cell::new(true),
            asked: Cell::new(0),
            given,
        })
    }

    /// Changes the zone.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        change(&mut self.zone.borrow_mut());
    }

    /// What is wrong with it from now on.
    pub fn set(&self, mood: Mood) {
        self.mood.set(mood);
    }

    /// Whether addresses come along with the records from now on.
    pub fn send_along(&self, along: bool) {
        self.along.set(along);
    }

    /// Serves at an address, by datagrams and over TCP, until its task is ended.
    ///
    /// # Errors
    /// The address can't be had.
    pub async fn run(self: Rc<Self>, at: SocketAddr) -> std::io::Result<()> {
        let listener = self.platform.listen(at).await?;
        self.run_on(listener).await
    }

    /// The same on a listener that is held already, so that nobody else can have taken its port meanwhile; datagrams
    /// come to the same port.
    pub async fn run_on(self: Rc<Self>, listener: P::Listener) -> std::io::Result<()> {
        let socket = Rc::new(self.platform.datagrams(listener.local_addr()?, None).await?);
        let streams = self.clone();
        self.platform.spawn(async move {
            while let Ok(stream) = listener.accept().await {
                let dns = streams.clone();
                streams.platform.spawn(async move { drop(dns.stream(stream).await) });
            }
        });
        let mut buffer = vec![0; MESSAGE_MAX];
        loop {
            let (length, from) = socket.receive(&mut buffer).await?;
            let (dns, socket, bytes) = (self.clone(), socket.clone(), buffer[..length].to_vec());
            self.platform.spawn(async move {
                if let Some(answer) = dns.answer(&bytes, from, false).await {
                    let _ = socket.send(&answer, from).await;
                }
            });
        }
    }

    async fn stream(self: Rc<Self>, mut stream: P::Stream) -> std::io::Result<()> {
        loop {
            let mut length = [0; 2];
            stream.read_exact(&mut length).await?;
            let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
            stream.read_exact(&mut bytes).await?;
            // Where a client of a connection calls from plays no part here.
            let nobody = SocketAddr::from(([0, 0, 0, 0], 0));
            let Some(answer) = self.answer(&bytes, nobody, true).await else {
                return std::future::pending().await;
            };
            let mut message = u16::try_from(answer.len()).unwrap_or(u16::MAX).to_be_bytes().to_vec();
            message.extend_from_slice(&answer);
            if self.mood.get() == Mood::TruncatedCut {
                message.truncate(message.len() / 2);
                return stream.write_all(&message).await;
            }
            stream.write_all(&message).await?;
        }
    }

    async fn answer(&self, bytes: &[u8], from: SocketAddr, tcp: bool) -> Option<Vec<u8>> {
        let asked = Message::from_vec(bytes).ok()?;
        self.asked.set(self.asked.get() + 1);
        let mood = self.mood.get();
        if let Mood::Late(by) = mood {
            self.platform.sleep(by).await;
        }
        let query = asked.queries.first()?.clone();
        let mut reply = Message::new(asked.metadata.id, MessageType::Response, asked.metadata.op_code);
        reply.add_query(query.clone());
        reply.metadata.authoritative = true;
        let srv = query.query_type == RecordType::SRV;
        match mood {
            Mood::Silent => return None,
            Mood::Lost(one_in) if !tcp && !self.asked.get().is_multiple_of(one_in.max(1)) => return None,
            Mood::TruncatedHangs if tcp => return None,
            Mood::ServFail => reply.metadata.response_code = ResponseCode::ServFail,
            Mood::Plain if asked.edns.is_some() => {
                let mut refusal =
                    Message::new(asked.metadata.id, MessageType::Response, asked.metadata.op_code);
                refusal.metadata.response_code = ResponseCode::FormErr;
                return refusal.to_vec().ok();
            }
            Mood::Truncated | Mood::TruncatedHangs | Mood::TruncatedCut if !tcp => {
                reply.metadata.truncation = true;
            }
            Mood::Unknown | Mood::Empty if srv => self.nothing(&mut reply, mood == Mood::Unknown),
            Mood::WrongId => {
                reply.metadata.id = reply.metadata.id.wrapping_add(1);
                self.fill(&mut reply, &query.name, query.query_type);
            }
            Mood::WrongQuestion => {
                reply.queries[0].name = name("_other._tcp.example.org");
                self.fill(&mut reply, &query.name, query.query_type);
            }
            Mood::AliasLoop => self.circle(&mut reply, &query.name),
            Mood::Alias if srv => {
                let real = name("real.example.org");
                reply.add_answer(self.record(&query.name, RData::CNAME(CNAME(real.clone()))));
                self.fill(&mut reply, &real, query.query_type);
            }
            Mood::PointerLoop => return Some(pointing_at_itself(&reply)),
            Mood::Absent if srv => {
                reply.add_answer(self.record(&query.name, RData::SRV(SRV::new(0, 0, 0, Name::root()))));
            }
            Mood::Forged => {
                self.fill(&mut reply, &query.name, query.query_type);
                forge(&mut reply);
            }
            Mood::Shrunk if srv => self.fill_with(&mut reply, &query.name, self.zone.borrow().len() / 3),
            _ => self.fill(&mut reply, &query.name, query.query_type),
        }
        let datagram = usize::from(asked.edns.as_ref().map_or(512, |edns| edns.max_payload()));
        let limit = if tcp { usize::from(u16::MAX) } else { datagram };
        let mut bytes = reply.to_vec().unwrap_or_default();
        if !fits(&bytes, limit) {
            // What nobody asked for goes first, and says nothing of it.
            reply.additionals.clear();
            bytes = reply.to_vec().unwrap_or_default();
        }
        if !tcp && !fits(&bytes, limit) {
            let mut cut = Message::new(asked.metadata.id, MessageType::Response, asked.metadata.op_code);
            cut.add_query(query).metadata.truncation = true;
            return cut.to_vec().ok();
        }
        let zone = self.zone.borrow();
        match mood {
            Mood::Good | Mood::Alias | Mood::Plain if srv => (self.given)(from, &zone),
            Mood::Shrunk if srv => (self.given)(from, &zone[..zone.len() / 3]),
            _ => {}
        }
        Some(bytes)
    }

    fn fill(&self, reply: &mut Message, of: &Name, kind: RecordType) {
        if kind == RecordType::SRV {
            return self.fill_with(reply, of, usize::MAX);
        }
        let zone = self.zone.borrow();
        let found = zone.iter().filter(|e| name(&e.target) == *of).flat_map(|e| &e.at);
        let records: Vec<RData> =
            found.filter(|at| at.is_ipv4() == (kind == RecordType::A)).map(address).collect();
        if records.is_empty() {
            let unknown = !zone.iter().any(|e| name(&e.target) == *of);
            return self.nothing(reply, unknown);
        }
        reply.add_answers(records.into_iter().map(|data| self.record(of, data)));
    }

    fn fill_with(&self, reply: &mut Message, of: &Name, most: usize) {
        let zone = self.zone.borrow();
        for entry in zone.iter().take(most) {
            let data = SRV::new(entry.priority, entry.weight, entry.port, name(&entry.target));
            reply.add_answer(self.record(of, RData::SRV(data)));
            for at in entry.at.iter().filter(|_| self.along.get()) {
                reply.add_additional(self.record(&name(&entry.target), address(at)));
            }
        }
        if reply.answers.is_empty() {
            self.nothing(reply, false);
        }
    }

    fn nothing(&self, reply: &mut Message, unknown: bool) {
        if unknown {
            reply.metadata.response_code = ResponseCode::NXDomain;
        }
        let zone = self.service.base_name().base_name();
        let soa = SOA::new(zone.clone(), zone.clone(), 1, 1, 1, 1, self.ttl);
        reply.add_authority(self.record(&zone, RData::SOA(soa)));
    }

    fn circle(&self, reply: &mut Message, from: &Name) {
        let (a, b) = (name("a.example.org"), name("b.example.org"));
        for (from, to) in [(from, &a), (&a, &b), (&b, &a)] {
            reply.add_answer(self.record(from, RData::CNAME(CNAME(to.clone()))));
        }
    }

    fn record(&self, of: &Name, data: RData) -> Record {
        Record::from_rdata(of.clone(), self.ttl, data)
    }
}

/// Whether an answer came out whole; the codec cuts what is longer than any message.
fn fits(bytes: &[u8], limit: usize) -> bool {
    const CUT: u8 = 0x02;
    bytes.len() <= limit && bytes.get(2).is_some_and(|flags| flags & CUT == 0)
}

/// A name of a script; one that is none stands for the root.
fn name(text: &str) -> Name {
    let mut name = Name::from_ascii(text).unwrap_or_else(|_| Name::root());
    name.set_fqdn(true);
    name
}

fn address(at: &IpAddr) -> RData {
    match at {
        IpAddr::V4(v4) => RData::A(A(*v4)),
        IpAddr::V6(v6) => RData::AAAA(AAAA(*v6)),
    }
}

/// Addresses that nobody asked for: of a name that is no target, and of one under another zone.
fn forge(reply: &mut Message) {
    let bad = RData::A(A([127, 66, 66, 66].into()));
    let outside = name("w.elsewhere.example.net");
    reply.add_answer(Record::from_rdata(outside.clone(), 60, bad.clone()));
    for of in ["www.sala.example.org", "w.elsewhere.example.net"] {
        reply.add_additional(Record::from_rdata(name(of), 60, bad.clone()));
    }
}

/// An answer whose record's name is a pointer to itself.
fn pointing_at_itself(reply: &Message) -> Vec<u8> {
    let mut bytes = reply.to_vec().unwrap_or_default();
    if bytes.len() > 12 {
        bytes[7] = 1;
        let here = bytes.len() as u16;
        bytes.extend_from_slice(&(0xc000 | here).to_be_bytes());
        bytes.extend_from_slice(&[0, 33, 0, 1, 0, 0, 0, 60, 0, 7, 0, 0, 0, 0, 0, 80, 0]);
    }
    bytes
}

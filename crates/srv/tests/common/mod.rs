//! Test harness without sockets: a simulated clock, and servers implemented as closures over queries.
#![allow(dead_code)]

use hickory_proto::op::{Message, MessageType, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hingestage_srv::resolver::Ask;
use hingestage_srv::service::Action;
use hingestage_srv::{Endpoint, Micros, Service, SrvSettings, SECOND};
use std::net::{IpAddr, SocketAddr};

pub const NAME: &str = "_r._tcp.sala.example.org";

pub fn name(text: &str) -> Name {
    let mut name = Name::from_ascii(text).unwrap();
    name.set_fqdn(true);
    name
}

pub fn server(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 53))
}

pub fn settings(servers: u8) -> SrvSettings {
    let servers = (1..=servers).map(server).collect();
    SrvSettings { questions: 1_000.0, ..SrvSettings::new(NAME, servers).unwrap() }
}

/// One worker: name, port, priority, weight, last byte of its address.
pub type Row = (&'static str, u16, u16, u16, u8);

/// A server's reaction to a query.
pub enum Reply {
    None,
    SocketError,
    Bytes(Vec<u8>),
}

/// A query received by a server.
pub struct Asked {
    pub message: Message,
    pub server: SocketAddr,
    pub tcp: bool,
}

impl Asked {
    pub fn name(&self) -> &Name {
        &self.message.queries[0].name
    }

    pub fn kind(&self) -> RecordType {
        self.message.queries[0].query_type
    }

    pub fn reply(&self) -> Message {
        let mut reply =
            Message::new(self.message.metadata.id, MessageType::Response, self.message.metadata.op_code);
        reply.add_query(self.message.queries[0].clone());
        reply
    }

    /// Answers from a zone, with the target addresses in the additional section of SRV responses.
    pub fn zone(&self, rows: &[Row], ttl: u32) -> Reply {
        let mut reply = self.reply();
        match self.kind() {
            RecordType::SRV if rows.is_empty() => drop(absent(&mut reply, false, ttl)),
            RecordType::SRV => {
                for row in rows {
                    reply.add_answer(srv(self.name(), row, ttl));
                    reply.add_additional(address(&target(row.0), row.4, ttl));
                }
            }
            _ => {
                for row in rows.iter().filter(|row| target(row.0) == *self.name()) {
                    reply.add_answer(address(self.name(), row.4, ttl));
                }
            }
        }
        bytes(&reply)
    }

    pub fn code(&self, code: ResponseCode) -> Reply {
        let mut reply = self.reply();
        reply.metadata.response_code = code;
        bytes(&reply)
    }
}

pub fn target(host: &str) -> Name {
    name(&format!("{host}.sala.example.org"))
}

pub fn srv(of: &Name, row: &Row, ttl: u32) -> Record {
    let data = SRV::new(row.2, row.3, row.1, target(row.0));
    Record::from_rdata(of.clone(), ttl, RData::SRV(data))
}

pub fn address(of: &Name, last: u8, ttl: u32) -> Record {
    Record::from_rdata(of.clone(), ttl, RData::A(A([127, 0, 1, last].into())))
}

pub fn address6(of: &Name, ttl: u32) -> Record {
    Record::from_rdata(of.clone(), ttl, RData::AAAA(AAAA("::1".parse().unwrap())))
}

pub fn alias(from: &Name, to: &Name, ttl: u32) -> Record {
    Record::from_rdata(from.clone(), ttl, RData::CNAME(CNAME(to.clone())))
}

pub fn absent(reply: &mut Message, unknown: bool, minimum: u32) -> Reply {
    if unknown {
        reply.metadata.response_code = ResponseCode::NXDomain;
    }
    let zone = name("sala.example.org");
    let soa = SOA::new(zone.clone(), zone.clone(), 1, 1, 1, 1, minimum);
    reply.add_authority(Record::from_rdata(zone, 3_600, RData::SOA(soa)));
    bytes(reply)
}

pub fn bytes(reply: &Message) -> Reply {
    Reply::Bytes(reply.to_vec().unwrap())
}

/// Drives a service and records its output.
pub struct Harness {
    pub service: Service,
    pub now: Micros,
    /// Every query: time, server, whether over TCP, name, record type.
    pub asked: Vec<(Micros, SocketAddr, bool, Name, RecordType)>,
    /// Every published list of endpoints with its time.
    pub published: Vec<(Micros, Vec<Endpoint>)>,
    pub logs: Vec<String>,
    open: Vec<u64>,
}

impl Harness {
    pub fn new(settings: SrvSettings) -> Harness {
        Harness::seeded(settings, 7)
    }

    pub fn seeded(settings: SrvSettings, seed: u64) -> Harness {
        let service = Service::new(settings, seed, SECOND);
        let (asked, published, logs, open) = (vec![], vec![], vec![], vec![]);
        Harness { service, now: SECOND, asked, published, logs, open }
    }

    /// Advances the clock to a time; servers answer at once.
    pub fn advance_to(&mut self, end: Micros, mut answer: impl FnMut(&Asked) -> Reply) {
        loop {
            let mut out = Vec::new();
            self.service.tick(self.now, &mut out);
            self.act(out, &mut answer);
            let next = self.service.next_wakeup().map_or(end, |at| at.max(self.now + 1));
            if next >= end {
                self.now = self.now.max(end);
                return;
            }
            self.now = next;
        }
    }

    pub fn advance(&mut self, duration: Micros, answer: impl FnMut(&Asked) -> Reply) {
        self.advance_to(self.now + duration, answer);
    }

    pub fn refresh_by_operator(&mut self, accept: bool, mut answer: impl FnMut(&Asked) -> Reply) {
        let mut out = Vec::new();
        self.service.refresh_now(accept, self.now, &mut out);
        self.act(out, &mut answer);
    }

    fn act(&mut self, mut out: Vec<Action>, answer: &mut impl FnMut(&Asked) -> Reply) {
        while !out.is_empty() {
            let mut more = Vec::new();
            for action in out {
                match action {
                    Action::Ask(Ask { number: ask, server, tcp, bytes }) => {
                        self.open.push(ask);
                        assert!(self.open.len() <= hingestage_srv::resolver::IN_FLIGHT_MAX);
                        let asked = Asked { message: Message::from_vec(&bytes).unwrap(), server, tcp };
                        let of = (self.now, server, tcp, asked.name().clone(), asked.kind());
                        self.asked.push(of);
                        match answer(&asked) {
                            Reply::None => {}
                            Reply::SocketError => {
                                self.service.on_failure(ask, "refused", self.now, &mut more)
                            }
                            Reply::Bytes(bytes) => self.service.on_response(ask, &bytes, self.now, &mut more),
                        }
                    }
                    Action::Forget(ask) => self.open.retain(|open| *open != ask),
                    Action::SetEndpoints(endpoints) => self.published.push((self.now, endpoints)),
                    Action::Log(what) => self.logs.push(what),
                }
            }
            out = more;
        }
    }

    /// The last bytes of the published addresses, in order.
    pub fn address_bytes(&self) -> Vec<u8> {
        let last = |at: IpAddr| match at {
            IpAddr::V4(v4) => v4.octets()[3],
            IpAddr::V6(_) => 0,
        };
        self.service.endpoints().iter().map(|e| last(e.at.ip())).collect()
    }

    pub fn has_logged(&self, what: &str) -> bool {
        self.logs.iter().any(|line| line.contains(what))
    }
}

//! Questions as bytes, and bytes as answers to them. What does not belong to the question is never believed.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::opt::{EdnsCode, EdnsOption};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// The largest answer over UDP that is asked for, bytes: what passes every usual network unbroken.
pub const PAYLOAD: u16 = 1_232;
/// Names that one answer may lead on to, and one question over all its answers.
pub const ALIASES_MAX: usize = 8;
/// Bytes of a client's cookie (RFC 7873).
pub const COOKIE: usize = 8;
/// The longest cookie, the server's part included.
const COOKIE_MAX: usize = 40;
/// The option's number.
const COOKIE_CODE: u16 = 10;

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Which workers there are.
    Srv,
    /// Where one is.
    A,
    /// The same in the other family.
    Aaaa,
}

impl Kind {
    fn record_type(self) -> RecordType {
        match self {
            Kind::Srv => RecordType::SRV,
            Kind::A => RecordType::A,
            Kind::Aaaa => RecordType::AAAA,
        }
    }
}

/// A name and what is asked of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Question {
    /// The name, in lower case.
    pub name: Name,
    /// What is asked.
    pub kind: Kind,
}

/// What tells a question on its way from all others.
#[derive(Clone, Debug, Default)]
pub struct Stamp {
    /// Its number, random.
    pub id: u16,
    /// Whether extensions are spoken (RFC 6891): some old servers know none.
    pub extended: bool,
    /// Our cookie, and the server's behind it where it gave one.
    pub cookie: Vec<u8>,
}

/// One SRV record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SrvRecord {
    /// Where the worker is.
    pub target: Name,
    /// At which port.
    pub port: u16,
    /// Less is better.
    pub priority: u16,
    /// Its size among those of one priority.
    pub weight: u16,
}

/// What an answer holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    /// SRV records, for a question after them.
    pub records: Vec<SrvRecord>,
    /// Addresses, for a question after these.
    pub addresses: Vec<IpAddr>,
    /// The least lifetime of all that it rests on, seconds.
    pub ttl: u32,
    /// Addresses of targets that came along: name, address, lifetime.
    pub along: Vec<(Name, IpAddr, u32)>,
}

/// What came of reading an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Read {
    /// Not an answer to this question: wait on.
    Foreign(&'static str),
    /// It was cut: ask again over TCP.
    Truncated,
    /// The server knows no extensions: ask without.
    Plain,
    /// The server wants its cookie back: ask with it.
    Cookie,
    /// What was asked for.
    Found(Found),
    /// The name leads on to another, which was not answered for; the lifetime so far.
    Leads(Name, u32),
    /// There is none, and how long that holds, where the answer says it.
    Absent {
        /// Whether the name itself is unknown.
        unknown: bool,
        /// Seconds.
        ttl: Option<u32>,
    },
    /// The server can't or won't say.
    Failed(String),
}

/// A question as bytes.
pub fn ask(question: &Question, stamp: &Stamp) -> Vec<u8> {
    let mut message = Message::query();
    message.metadata.id = stamp.id;
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(question.name.clone(), question.kind.record_type()));
    if stamp.extended {
        let mut edns = Edns::new();
        edns.set_max_payload(PAYLOAD);
        if !stamp.cookie.is_empty() {
            edns.options_mut().insert(EdnsOption::Unknown(COOKIE_CODE, stamp.cookie.clone()));
        }
        message.set_edns(edns);
    }
    // Names are checked where they come in, and one name always fits.
    message.to_vec().unwrap_or_default()
}

/// Reads what came from the server that was asked. `cookie` takes the server's cookie where it gave a new one.
pub fn read(bytes: &[u8], question: &Question, stamp: &Stamp, cookie: &mut Vec<u8>) -> Read {
    let Ok(message) = Message::from_vec(bytes) else {
        return unreadable(bytes, stamp);
    };
    if message.metadata.id != stamp.id {
        return Read::Foreign("another number");
    }
    if message.metadata.message_type != MessageType::Response || message.metadata.op_code != OpCode::Query {
        return Read::Foreign("no answer");
    }
    if let Err(what) = own_cookie(&message, stamp, cookie) {
        return Read::Foreign(what);
    }
    let code = message.metadata.response_code;
    let bare = message.queries.is_empty() && matches!(code, ResponseCode::FormErr | ResponseCode::NotImp);
    if !bare && !same_question(&message.queries, question) {
        return Read::Foreign("another question");
    }
    match code {
        ResponseCode::NoError | ResponseCode::NXDomain if message.metadata.truncation => Read::Truncated,
        ResponseCode::NoError | ResponseCode::NXDomain => answer(&message, question),
        ResponseCode::FormErr | ResponseCode::NotImp if stamp.extended => Read::Plain,
        ResponseCode::BADCOOKIE if stamp.extended => Read::Cookie,
        other => Read::Failed(other.to_string()),
    }
}

/// What can't be read may still be an answer that was cut in the middle of a record, and says so in its head.
fn unreadable(bytes: &[u8], stamp: &Stamp) -> Read {
    const HEAD: usize = 12;
    let ours = bytes.len() >= HEAD && bytes[..2] == stamp.id.to_be_bytes() && bytes[2] & 0x80 != 0;
    match ours {
        true if bytes[2] & 0x02 != 0 => Read::Truncated,
        true => Read::Failed("not readable".into()),
        false => Read::Foreign("not readable"),
    }
}

fn own_cookie(message: &Message, stamp: &Stamp, cookie: &mut Vec<u8>) -> Result<(), &'static str> {
    let option = message.edns.as_ref().and_then(|edns| edns.option(EdnsCode::Cookie));
    let Some(EdnsOption::Unknown(_, told)) = option else { return Ok(()) };
    if stamp.cookie.len() < COOKIE || told.len() < COOKIE || told[..COOKIE] != stamp.cookie[..COOKIE] {
        return Err("another cookie");
    }
    if (2 * COOKIE..=COOKIE_MAX).contains(&told.len()) {
        *cookie = told.clone();
    }
    Ok(())
}

fn same_question(asked: &[Query], question: &Question) -> bool {
    // Some servers give names back in another case; the comparison is without it (RFC 4343).
    matches!(asked, [one] if one.name == question.name
        && one.query_type == question.kind.record_type()
        && one.query_class == DNSClass::IN)
}

/// The answer section, followed from the name that was asked for.
fn answer(message: &Message, question: &Question) -> Read {
    let (mut name, mut ttl) = (question.name.clone(), u32::MAX);
    let mut seen = BTreeSet::from([name.clone()]);
    loop {
        let mut found = Found::default();
        let of_name = |r: &&Record| r.name == name && r.dns_class == DNSClass::IN;
        for record in message.answers.iter().filter(of_name) {
            if take(&mut found, &record.data, question.kind) {
                ttl = ttl.min(lifetime(record));
            }
        }
        if !found.records.is_empty() || !found.addresses.is_empty() {
            found.ttl = ttl;
            found.along = along(message, question, &found);
            return Read::Found(found);
        }
        let alias = message.answers.iter().filter(of_name).find_map(|r| match &r.data {
            RData::CNAME(to) => Some((to.0.to_lowercase(), lifetime(r))),
            _ => None,
        });
        let Some((to, lasts)) = alias else { break };
        ttl = ttl.min(lasts);
        if !seen.insert(to.clone()) || seen.len() > ALIASES_MAX {
            return Read::Failed("its names lead in a circle".into());
        }
        name = to;
    }
    if seen.len() > 1 && message.metadata.response_code == ResponseCode::NoError {
        return Read::Leads(name, ttl);
    }
    absent(message)
}

/// Past 2^31 - 1 a lifetime is nothing (RFC 2181), which here is also the least of all.
fn lifetime(record: &Record) -> u32 {
    if record.ttl > i32::MAX as u32 {
        0
    } else {
        record.ttl
    }
}

fn take(found: &mut Found, data: &RData, kind: Kind) -> bool {
    match (kind, data) {
        (Kind::Srv, RData::SRV(srv)) => found.records.push(SrvRecord {
            target: srv.target.to_lowercase(),
            port: srv.port,
            priority: srv.priority,
            weight: srv.weight,
        }),
        (Kind::A, RData::A(at)) => found.addresses.push(at.0.into()),
        (Kind::Aaaa, RData::AAAA(at)) => found.addresses.push(at.0.into()),
        _ => return false,
    }
    true
}

/// Addresses from the additional section: those of targets in the very zone that was asked about. A server
/// may well speak for others too, but nobody asked it for them.
fn along(message: &Message, question: &Question, found: &Found) -> Vec<(Name, IpAddr, u32)> {
    let targets: BTreeSet<&Name> = found.records.iter().map(|r| &r.target).collect();
    let zone = domain(&question.name);
    let ours = |name: &Name| zone.zone_of(name) && targets.contains(name);
    let records = message.additionals.iter().filter(|r| r.dns_class == DNSClass::IN);
    records
        .filter_map(|r| {
            let at: IpAddr = match &r.data {
                RData::A(at) => at.0.into(),
                RData::AAAA(at) => at.0.into(),
                _ => return None,
            };
            let name = r.name.to_lowercase();
            ours(&name).then(|| (name, at, lifetime(r)))
        })
        .collect()
}

/// The name without its service and protocol.
fn domain(name: &Name) -> Name {
    let own = name.iter().filter(|label| !label.starts_with(b"_")).count();
    name.trim_to(own)
}

/// Nothing there, for as long as the zone's own record says (RFC 2308).
fn absent(message: &Message) -> Read {
    let ttl = message.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) => Some(lifetime(r).min(soa.minimum)),
        _ => None,
    });
    Read::Absent { unknown: message.metadata.response_code == ResponseCode::NXDomain, ttl }
}

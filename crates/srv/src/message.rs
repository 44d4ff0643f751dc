//! Encodes DNS queries and parses responses. Records that do not belong to the question are ignored.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::opt::{EdnsCode, EdnsOption};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// Advertised EDNS payload size in bytes; small enough to avoid IP fragmentation.
pub const UDP_PAYLOAD_BYTES_MAX: u16 = 1_232;
/// Maximum length of a CNAME chain, within one response and over all responses to a question.
pub const ALIASES_MAX: usize = 8;
/// Length of a client cookie in bytes (RFC 7873).
pub const CLIENT_COOKIE_BYTES: usize = 8;
/// Maximum length of a client and server cookie together in bytes.
const COOKIE_BYTES_MAX: usize = 40;
/// EDNS option code of the cookie.
const COOKIE_OPTION_CODE: u16 = 10;

/// Record type of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// Targets and ports of the workers.
    Srv,
    /// IPv4 address of a target.
    A,
    /// IPv6 address of a target.
    Aaaa,
}

impl RecordKind {
    fn record_type(self) -> RecordType {
        match self {
            RecordKind::Srv => RecordType::SRV,
            RecordKind::A => RecordType::A,
            RecordKind::Aaaa => RecordType::AAAA,
        }
    }
}

/// A DNS question.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Question {
    /// The name, in lower case.
    pub name: Name,
    /// The record type.
    pub kind: RecordKind,
}

/// Parameters of one query that its response must match.
#[derive(Clone, Debug, Default)]
pub struct QueryParameters {
    /// Random query id.
    pub id: u16,
    /// Whether EDNS is used (RFC 6891); some old servers do not support it.
    pub edns: bool,
    /// The client cookie, followed by the server cookie if known.
    pub cookie: Vec<u8>,
}

/// One SRV record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SrvRecord {
    /// Host name of the worker.
    pub target: Name,
    /// Port of the worker.
    pub port: u16,
    /// Priority; lower values are preferred.
    pub priority: u16,
    /// Relative weight among records of the same priority.
    pub weight: u16,
}

/// Records found in a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Records {
    /// SRV records, if asked for.
    pub records: Vec<SrvRecord>,
    /// Addresses, if asked for.
    pub addresses: Vec<IpAddr>,
    /// Minimum TTL of all records used, in seconds.
    pub ttl: u32,
    /// Target addresses from the additional section: name, address, TTL in seconds.
    pub additional: Vec<(Name, IpAddr, u32)>,
}

/// Result of parsing a response.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Not a response to this query: keep waiting.
    Mismatch(&'static str),
    /// Truncated: retry over TCP.
    Truncated,
    /// The server does not support EDNS: retry without it.
    NoEdns,
    /// The server requires its cookie: retry with it.
    BadCookie,
    /// The records asked for.
    Found(Records),
    /// A CNAME to a name without records in this response, and the minimum TTL so far in seconds.
    Alias(Name, u32),
    /// No such records.
    Absent {
        /// Whether the name does not exist (NXDOMAIN).
        unknown: bool,
        /// TTL of the negative response in seconds, if given.
        ttl: Option<u32>,
    },
    /// The server returned an error.
    Failed(String),
}

/// Encodes a query.
pub fn encode_query(question: &Question, query: &QueryParameters) -> Vec<u8> {
    let mut message = Message::query();
    message.metadata.id = query.id;
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(question.name.clone(), question.kind.record_type()));
    if query.edns {
        let mut edns = Edns::new();
        edns.set_max_payload(UDP_PAYLOAD_BYTES_MAX);
        if !query.cookie.is_empty() {
            edns.options_mut().insert(EdnsOption::Unknown(COOKIE_OPTION_CODE, query.cookie.clone()));
        }
        message.set_edns(edns);
    }
    // Encoding cannot fail: names are validated on input and a single name always fits.
    message.to_vec().unwrap_or_default()
}

/// Parses a response from the queried server. A new server cookie is stored in `cookie`.
pub fn parse_response(
    bytes: &[u8],
    question: &Question,
    query: &QueryParameters,
    cookie: &mut Vec<u8>,
) -> Response {
    let Ok(message) = Message::from_vec(bytes) else {
        return unreadable(bytes, query);
    };
    if message.metadata.id != query.id {
        return Response::Mismatch("another id");
    }
    if message.metadata.message_type != MessageType::Response || message.metadata.op_code != OpCode::Query {
        return Response::Mismatch("no answer");
    }
    if let Err(what) = check_cookie(&message, query, cookie) {
        return Response::Mismatch(what);
    }
    let code = message.metadata.response_code;
    let no_question =
        message.queries.is_empty() && matches!(code, ResponseCode::FormErr | ResponseCode::NotImp);
    if !no_question && !same_question(&message.queries, question) {
        return Response::Mismatch("another question");
    }
    match code {
        ResponseCode::NoError | ResponseCode::NXDomain if message.metadata.truncation => Response::Truncated,
        ResponseCode::NoError | ResponseCode::NXDomain => answer(&message, question),
        ResponseCode::FormErr | ResponseCode::NotImp if query.edns => Response::NoEdns,
        ResponseCode::BADCOOKIE if query.edns => Response::BadCookie,
        other => Response::Failed(other.to_string()),
    }
}

/// Classifies a malformed response by its header; it may be truncated in the middle of a record.
fn unreadable(bytes: &[u8], query: &QueryParameters) -> Response {
    const HEADER_BYTES: usize = 12;
    let ours = bytes.len() >= HEADER_BYTES && bytes[..2] == query.id.to_be_bytes() && bytes[2] & 0x80 != 0;
    match ours {
        true if bytes[2] & 0x02 != 0 => Response::Truncated,
        true => Response::Failed("not readable".into()),
        false => Response::Mismatch("not readable"),
    }
}

fn check_cookie(
    message: &Message,
    query: &QueryParameters,
    cookie: &mut Vec<u8>,
) -> Result<(), &'static str> {
    let option = message.edns.as_ref().and_then(|edns| edns.option(EdnsCode::Cookie));
    let Some(EdnsOption::Unknown(_, received)) = option else { return Ok(()) };
    if query.cookie.len() < CLIENT_COOKIE_BYTES
        || received.len() < CLIENT_COOKIE_BYTES
        || received[..CLIENT_COOKIE_BYTES] != query.cookie[..CLIENT_COOKIE_BYTES]
    {
        return Err("another cookie");
    }
    if (2 * CLIENT_COOKIE_BYTES..=COOKIE_BYTES_MAX).contains(&received.len()) {
        *cookie = received.clone();
    }
    Ok(())
}

fn same_question(asked: &[Query], question: &Question) -> bool {
    // Names are compared without case (RFC 4343): some servers change it.
    matches!(asked, [one] if one.name == question.name
        && one.query_type == question.kind.record_type()
        && one.query_class == DNSClass::IN)
}

/// Evaluates the answer section, following CNAME records from the queried name.
fn answer(message: &Message, question: &Question) -> Response {
    let (mut name, mut ttl) = (question.name.clone(), u32::MAX);
    let mut seen = BTreeSet::from([name.clone()]);
    loop {
        let mut found = Records::default();
        let of_name = |r: &&Record| r.name == name && r.dns_class == DNSClass::IN;
        for record in message.answers.iter().filter(of_name) {
            if add_record(&mut found, &record.data, question.kind) {
                ttl = ttl.min(ttl_of(record));
            }
        }
        if !found.records.is_empty() || !found.addresses.is_empty() {
            found.ttl = ttl;
            found.additional = additional(message, question, &found);
            return Response::Found(found);
        }
        let alias = message.answers.iter().filter(of_name).find_map(|r| match &r.data {
            RData::CNAME(to) => Some((to.0.to_lowercase(), ttl_of(r))),
            _ => None,
        });
        let Some((to, alias_ttl)) = alias else { break };
        ttl = ttl.min(alias_ttl);
        if !seen.insert(to.clone()) || seen.len() > ALIASES_MAX {
            return Response::Failed("CNAME loop".into());
        }
        name = to;
    }
    if seen.len() > 1 && message.metadata.response_code == ResponseCode::NoError {
        return Response::Alias(name, ttl);
    }
    absent(message)
}

/// TTL of a record in seconds; values above 2^31 - 1 count as 0 (RFC 2181).
fn ttl_of(record: &Record) -> u32 {
    if record.ttl > i32::MAX as u32 {
        0
    } else {
        record.ttl
    }
}

fn add_record(found: &mut Records, data: &RData, kind: RecordKind) -> bool {
    match (kind, data) {
        (RecordKind::Srv, RData::SRV(srv)) => found.records.push(SrvRecord {
            target: srv.target.to_lowercase(),
            port: srv.port,
            priority: srv.priority,
            weight: srv.weight,
        }),
        (RecordKind::A, RData::A(at)) => found.addresses.push(at.0.into()),
        (RecordKind::Aaaa, RData::AAAA(at)) => found.addresses.push(at.0.into()),
        _ => return false,
    }
    true
}

/// Target addresses from the additional section, restricted to the zone of the question to prevent cache poisoning.
fn additional(message: &Message, question: &Question, found: &Records) -> Vec<(Name, IpAddr, u32)> {
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
            ours(&name).then(|| (name, at, ttl_of(r)))
        })
        .collect()
}

/// The name without its service and protocol labels.
fn domain(name: &Name) -> Name {
    let own = name.iter().filter(|label| !label.starts_with(b"_")).count();
    name.trim_to(own)
}

/// A negative response, with the TTL of the zone's SOA record (RFC 2308).
fn absent(message: &Message) -> Response {
    let ttl = message.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) => Some(ttl_of(r).min(soa.minimum)),
        _ => None,
    });
    Response::Absent { unknown: message.metadata.response_code == ResponseCode::NXDomain, ttl }
}

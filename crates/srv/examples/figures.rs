//! Simulates the query rate by fleet size and record TTL, and the delay until a change of the zone takes effect.
//!
//! ```text
//! cargo run --release -p hingestage-srv --example figures
//! ```

use hickory_proto::op::{Message, MessageType};
use hickory_proto::rr::rdata::{A, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hingestage_srv::service::Action;
use hingestage_srv::{Micros, Service, SrvSettings, SECOND};

const NAME: &str = "_registry._tcp.sala.example.org.";

/// Answers a query from a zone of `workers` workers, numbered from `first`.
fn answer(asked: &[u8], workers: usize, first: usize, ttl: u32, along: bool) -> Vec<u8> {
    let asked = Message::from_vec(asked).expect("our own question");
    let mut reply = Message::new(asked.metadata.id, MessageType::Response, asked.metadata.op_code);
    let query = asked.queries[0].clone();
    let target = |n: usize| Name::from_ascii(format!("w{n}.sala.example.org.")).expect("a name");
    let at = |n: usize| RData::A(A([127, 1, (n >> 8) as u8, n as u8].into()));
    for n in first..first + workers {
        match query.query_type {
            RecordType::SRV => {
                reply.add_answer(Record::from_rdata(
                    query.name.clone(),
                    ttl,
                    RData::SRV(SRV::new(0, 10, 4000, target(n))),
                ));
                if along {
                    reply.add_additional(Record::from_rdata(target(n), ttl, at(n)));
                }
            }
            _ if target(n) == query.name => {
                reply.add_answer(Record::from_rdata(query.name.clone(), ttl, at(n)));
            }
            _ => {}
        }
    }
    reply.add_query(query);
    reply.to_vec().expect("a small answer")
}

/// Simulates one gateway over a duration. Returns its number of queries and the delay of a change half way.
fn simulate(seed: u64, workers: usize, ttl: u32, along: bool, span: Micros) -> (usize, Micros) {
    let settings = SrvSettings::new(NAME, vec!["127.0.0.1:53".parse().expect("an address")]).expect("a name");
    let settings = SrvSettings { lifetimes: (SECOND, 86_400 * SECOND), questions: 1_000.0, ..settings };
    let mut service = Service::new(settings, seed, 0);
    let (mut now, mut asked, mut late) = (0, 0, None);
    // The change falls at a different point of the TTL for each gateway.
    let change = span / 2 + (seed * 7_919_333) % (u64::from(ttl) * SECOND);
    while now < span {
        let mut out = Vec::new();
        service.tick(now, &mut out);
        while let Some(action) = out.pop() {
            match action {
                Action::Ask(ask) => {
                    asked += 1;
                    let first = usize::from(now >= change);
                    let bytes = answer(&ask.bytes, workers, first, ttl, along);
                    service.on_response(ask.number, &bytes, now, &mut out);
                }
                Action::SetEndpoints(_) if now >= change && late.is_none() => late = Some(now - change),
                _ => {}
            }
        }
        now = service.next_wakeup().unwrap_or(span).max(now + 1);
    }
    (asked, late.unwrap_or(span))
}

fn main() {
    println!("| gateways | workers | lifetime, s | addresses along | questions a second, all | believed after, median s | worst s | of the lifetime |");
    println!("| ---: | ---: | ---: | --- | ---: | ---: | ---: | ---: |");
    for (gateways, workers, ttl, along) in [
        (4, 10, 30, true),
        (100, 10, 30, true),
        (300, 20, 30, true),
        (300, 20, 5, true),
        (100, 10, 30, false),
        (300, 20, 300, true),
    ] {
        let span = 20 * u64::from(ttl) * SECOND;
        let all: Vec<(usize, Micros)> =
            (0..gateways).map(|seed| simulate(seed, workers, ttl, along, span)).collect();
        let asked: usize = all.iter().map(|(asked, _)| asked).sum();
        let mut late: Vec<Micros> = all.iter().map(|(_, late)| *late).collect();
        late.sort_unstable();
        let seconds = |t: Micros| t as f64 / SECOND as f64;
        let (median, worst) = (seconds(late[late.len() / 2]), seconds(late[late.len() - 1]));
        let rate = asked as f64 / seconds(span);
        let part = worst / f64::from(ttl);
        println!(
            "| {gateways} | {workers} | {ttl} | {along} | {rate:.2} | {median:.1} | {worst:.1} | {part:.2} |"
        );
    }
}

//! Replicas, configurations and orders for the tests.
#![allow(dead_code)]

use hingestage_replication::{Figures, Micros, Replica, State};
use hingestage_rpc::messages::{ConfigDocument, StoreMember, Summary, Update, ZoneDrain};

pub const S: Micros = 1_000_000;

/// A replica's machine: `s0` in the first zone, and so on.
pub fn member(number: usize, zone: &str) -> StoreMember {
    let addr = format!("10.0.0.{}:7601", number + 1).parse().expect("an address");
    StoreMember { name: format!("s{number}").into(), zone: zone.into(), addr }
}

/// One machine in each zone that is named.
pub fn members(zones: &[&str]) -> Vec<StoreMember> {
    zones.iter().enumerate().map(|(number, zone)| member(number, zone)).collect()
}

/// The first of some machines, with an empty disk, at the first start of the system.
pub fn first_of(members: &[StoreMember]) -> Replica {
    replica(members, 0, State::default(), false)
}

pub fn replica(members: &[StoreMember], number: usize, state: State, recovering: bool) -> Replica {
    Replica::new(members[number].clone(), state, members.to_vec(), recovering, Figures::default())
}

pub fn document(serial: u64, content: &str) -> ConfigDocument {
    let json = format!("{serial} {content}").into_bytes();
    ConfigDocument::new(serial, json)
}

pub fn config(serial: u64) -> Update {
    Update::Config(document(serial, ""))
}

pub fn drain(zone: &str, order: u64, drained: bool) -> Update {
    Update::Drain { zone: zone.into(), drain: ZoneDrain { order, drained } }
}

/// A state with some updates in it.
pub fn state(updates: &[Update]) -> State {
    let mut state = State::default();
    updates.iter().cloned().for_each(|update| state.apply(update));
    state
}

/// What a replica with some updates tells of itself.
pub fn summary(updates: &[Update]) -> Summary {
    state(updates).summary(false)
}

pub fn serial_in_force(replica: &Replica) -> Option<u64> {
    replica.in_force().map(|config| config.version.serial)
}

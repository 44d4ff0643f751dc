//! Generates the schedule of injected faults from a seed.

use crate::message::NodeId;
use crate::{Micros, MILLI, SECOND};
use fastrand::Rng;

/// Faults begin between these two points in time.
pub(crate) const FAULTS_FROM: Micros = 8 * SECOND;
pub(crate) const FAULTS_UNTIL: Micros = 40 * SECOND;
/// Longest duration of a freeze or a network cut.
const LASTS_MAX: Micros = 7 * SECOND;
/// Duration of the long isolation of a single core machine.
const LONG_CUT: Micros = 20 * SECOND;
/// Longest downtime after a power loss.
const DOWN_MAX: Micros = 3 * SECOND;
/// Half the range of the wall clock offset.
const JUMP_MAX: Micros = 9 * SECOND;

/// A fault to inject.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Machines lose power and come back.
    Power { nodes: Vec<NodeId>, down: Micros },
    /// A core machine loses power and its disk; if `all`, all core machines lose power.
    Wipe { core: NodeId, all: bool, down: Micros },
    /// All core machines of a zone lose their disks.
    WipeZone { zone: usize, down: Micros },
    /// All core machines lose power right after the next acknowledgement; if `wipe`, one loses its disk.
    PowerAfterAck { wipe: bool, down: Micros },
    /// A machine pauses.
    Freeze { node: NodeId, lasts: Micros },
    /// Messages between `nodes` and `others` are dropped, in one or both directions.
    Cut { nodes: Vec<NodeId>, others: Vec<NodeId>, direction: Direction, lasts: Micros },
    /// The wall clock jumps.
    Clock { node: NodeId, to: Micros },
    /// A core machine is removed and a new one starts in its zone: afterwards, or before it if `planned`.
    Replace { core: NodeId, planned: bool },
    /// A proxy starts for the first time.
    Join { proxy: NodeId },
}

/// The direction in which messages are dropped, seen from the nodes of the cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Both,
    Outward,
    Inward,
}

/// Numbers of machines and zones in the system.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    /// All core machines, including spares.
    pub cores: usize,
    /// Core machines that run from the start.
    pub present_cores: usize,
    /// Proxies that run from the start.
    pub proxies: usize,
    /// Proxies that start later.
    pub joining: usize,
    pub zones: usize,
}

impl Size {
    /// Total number of machines, including those that start later.
    pub fn nodes(&self) -> usize {
        self.cores + self.proxies + self.joining
    }
}

/// Draws the faults and their times.
pub(crate) fn draw(random: &mut Rng, size: &Size) -> Vec<(Micros, Fault)> {
    let mut faults = Vec::new();
    let mut at = FAULTS_FROM;
    while at < FAULTS_UNTIL {
        faults.push((at, draw_one(random, size)));
        at += random.u64(50 * MILLI..4 * SECOND);
    }
    for joining in 0..size.joining {
        let proxy = size.cores + size.proxies + joining;
        faults.push((random.u64(FAULTS_FROM..FAULTS_UNTIL), Fault::Join { proxy }));
    }
    faults
}

fn draw_one(random: &mut Rng, size: &Size) -> Fault {
    let present = size.cores + size.proxies;
    let down = random.u64(200 * MILLI..DOWN_MAX);
    let lasts = random.u64(300 * MILLI..LASTS_MAX);
    let all_cores = || (0..size.cores).collect::<Vec<NodeId>>();
    match random.u32(..16) {
        0 => Fault::Power { nodes: vec![random.usize(..present)], down },
        1 => Fault::Power { nodes: some(random, size.cores..present), down },
        2 => Fault::Power { nodes: all_cores(), down },
        3 => Fault::Wipe { core: random.usize(..size.cores), all: random.bool(), down },
        4 => Fault::WipeZone { zone: random.usize(..size.zones), down },
        5 | 6 => Fault::PowerAfterAck { wipe: random.bool(), down },
        7 => Fault::Freeze { node: random.usize(..present), lasts },
        8 => Fault::Freeze { node: random.usize(size.cores..present), lasts },
        9 => {
            let nodes = some(random, 0..size.cores);
            let others = (0..size.cores).filter(|core| !nodes.contains(core)).collect();
            Fault::Cut { nodes, others, direction: direction(random), lasts }
        }
        10 => {
            let nodes = some(random, 0..present);
            let others = (0..size.nodes()).filter(|node| !nodes.contains(node)).collect();
            Fault::Cut { nodes, others, direction: direction(random), lasts }
        }
        11 => {
            let nodes = some(random, size.cores..present);
            Fault::Cut { nodes, others: all_cores(), direction: direction(random), lasts }
        }
        12 | 13 => Fault::Replace { core: random.usize(..size.cores), planned: random.bool() },
        14 => {
            let core = random.usize(..size.cores);
            let others = (0..size.cores).filter(|other| *other != core).collect();
            Fault::Cut { nodes: vec![core], others, direction: Direction::Both, lasts: LONG_CUT }
        }
        _ => Fault::Clock { node: random.usize(..present), to: random.u64(..2 * JUMP_MAX) },
    }
}

fn direction(random: &mut Rng) -> Direction {
    match random.u32(..4) {
        0 => Direction::Outward,
        1 => Direction::Inward,
        _ => Direction::Both,
    }
}

fn some(random: &mut Rng, of: std::ops::Range<NodeId>) -> Vec<NodeId> {
    let first = random.usize(of.clone());
    of.filter(|node| *node == first || random.u32(..3) == 0).collect()
}
